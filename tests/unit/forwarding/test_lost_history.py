"""The store has forgotten the history that a follower needs, and its relay is cut off."""

import asyncio
import random
import time
from types import SimpleNamespace

from standins.platform_worker import worker_entry
from wheelslip.forwarding.feed import FeedBatch
from wheelslip.forwarding.registry_sync import RegistrySync
from wheelslip.forwarding_settings import BoundsSection
from wheelslip.keyvalue.model import RangeResult, WatchCompacted
from wheelslip.platform.registry import PlatformRegistry
from wheelslip.registry.registry import Registry

POLL_SECONDS = 0.1
STALE_SECONDS = 10.0


class Store:
    """A store without history, from which a worker has been removed."""

    def __init__(self):
        self.listings = 0

    async def watch(self, prefix, after, wait_seconds):
        raise WatchCompacted

    async def range(self, prefix):
        self.listings += 1
        return RangeResult(30, ())


class StaleRelay:
    """Feed of a relay that has not reached the store for a while."""

    async def poll(self, address, poll):
        await asyncio.sleep(POLL_SECONDS)
        return FeedBatch(17, False, [], -STALE_SECONDS, 0.1)

    def close(self):
        """Do nothing."""


def test_batch_of_stale_relay_does_not_replace_the_listing_after_lost_history():
    """A removed worker stayed in the view for as long as the relay answered polls."""

    async def play():
        registry = Registry(PlatformRegistry(), BoundsSection, time.monotonic)
        registry.apply("servers/i-1", worker_entry(), 17)
        registry.confirm(time.monotonic() - STALE_SECONDS)
        relay = SimpleNamespace(node_to_follow=lambda: "127.0.0.1:1", token=lambda: None)
        store = Store()
        sync = RegistrySync(store, registry, time.monotonic, random.Random(1), relay)
        sync._feed, sync._revision = StaleRelay(), 17
        task = asyncio.create_task(sync.run())
        for _ in range(40):
            await asyncio.sleep(POLL_SECONDS / 2)
        task.cancel()
        assert store.listings and not registry.workers

    asyncio.run(play())
