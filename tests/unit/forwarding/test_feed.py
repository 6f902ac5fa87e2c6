"""Age and content of a view that is received from another node."""

import asyncio
import random

import pytest

from wheelslip.forwarding.feed import FeedBatch, FeedPoll, FeedServer
from wheelslip.forwarding.registry_sync import RegistrySync
from wheelslip.forwarding_settings import BoundsSection
from wheelslip.keyvalue.model import WatchBatch
from wheelslip.platform.registry import PlatformRegistry
from wheelslip.registry.entry_log import EntryChange
from wheelslip.registry.registry import Registry
from wheelslip.routing.load_table import LoadTable


class Clock:
    def __init__(self, now: float):
        self.now = now

    def __call__(self) -> float:
        return self.now


def empty_registry(clock: Clock) -> Registry:
    return Registry(PlatformRegistry(), BoundsSection, clock)


def server(registry: Registry, clock: Clock) -> FeedServer:
    return FeedServer(registry, LoadTable(), list, clock)


def follower(clock: Clock) -> tuple[Registry, RegistrySync]:
    registry = empty_registry(clock)
    return registry, RegistrySync(None, registry, clock, None)


def test_delayed_response_counts_from_when_the_poll_was_sent():
    relay_clock, own_clock = Clock(5000.0), Clock(10.0)
    relay = empty_registry(relay_clock)
    relay.apply("wheelslip/x", b"1", 3)
    relay.confirm(4999.0)
    batch = asyncio.run(server(relay, relay_clock).reply(FeedPoll(0)))
    assert batch.confirmed_offset == -1.0
    registry, sync = follower(own_clock)
    sent_at = own_clock.now
    # The response is delayed by five seconds.
    own_clock.now += 5.0
    sync._apply_batch(batch, sent_at)
    assert registry.age() == pytest.approx(6.0)
    assert registry.system_entry("wheelslip/x") == (b"1", 3)


def test_confirmation_during_the_poll_determines_the_view_age():
    clock = Clock(100.0)
    registry, sync = follower(clock)
    sync._apply_batch(FeedBatch(7, False, [], 0.4, None), sent_at=99.0)
    assert registry.age() == pytest.approx(0.6)
    assert registry.entry_log.revision == 7


def test_keys_missing_from_a_snapshot_are_removed():
    clock = Clock(100.0)
    registry, sync = follower(clock)
    registry.apply("wheelslip/x", b"1", 3)
    sync._apply_batch(
        FeedBatch(9, True, [EntryChange("wheelslip/y", b"2", 8)], 0.0, None), sent_at=99.0
    )
    assert registry.system_entry("wheelslip/x") is None
    assert registry.system_entry("wheelslip/y") == (b"2", 8)


class AnsweringStore:
    """Answers each watch without changes."""

    def __init__(self):
        self.watches = 0

    async def watch(self, prefix, after, wait_seconds):
        self.watches += 1
        return WatchBatch(after)


class ScriptedFeed:
    """Returns the next of the given batches for each poll."""

    def __init__(self, *batches):
        self.batches = list(batches)

    async def poll(self, address, poll):
        return self.batches.pop(0)


def test_failed_calls_of_a_relay_are_no_outage_for_its_followers():
    clock = Clock(100.0)
    registry, sync = follower(clock)
    sync._apply_batch(FeedBatch(9, False, [], 0.0, 0.5), sent_at=99.0)
    assert registry.health.suspected_outage_at is None


def test_follower_of_a_failing_relay_probes_the_store():
    clock = Clock(100.0)
    store, registry = AnsweringStore(), empty_registry(clock)
    sync = RegistrySync(store, registry, clock, random.Random(1))
    sync._advance(9)
    for failing_age, watches in ((None, 0), (0.5, 1)):
        sync._feed = ScriptedFeed(FeedBatch(9, False, [], -0.2, failing_age))
        asyncio.run(sync._follow("relay:1"))
        assert store.watches == watches
    # The probe was answered, so the view is confirmed.
    assert registry.age() == 0.0


def test_older_response_does_not_replace_a_newer_view():
    clock = Clock(100.0)
    registry, sync = follower(clock)
    registry.apply("wheelslip/x", b"new", 12)
    sync._advance(12)
    sync._apply_batch(
        FeedBatch(9, False, [EntryChange("wheelslip/x", b"old", 8)], 0.0, None), sent_at=99.0
    )
    assert registry.system_entry("wheelslip/x") == (b"new", 12)
    assert registry.entry_log.revision == 12
