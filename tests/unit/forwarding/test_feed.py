"""How current a view is that another node passed on, by clocks that do not agree."""

import asyncio
import random

import pytest

from wheelslip.forwarding.entry_log import EntryChange
from wheelslip.forwarding.feed import FeedBatch, FeedPoll, FeedServer
from wheelslip.forwarding.registry import Registry
from wheelslip.forwarding.registry_sync import RegistrySync
from wheelslip.forwarding.settings import BoundsSection
from wheelslip.keyvalue.model import WatchBatch
from wheelslip.platform.registry import PlatformRegistry
from wheelslip.routing.load_table import LoadTable


class Clock:
    def __init__(self, now: float):
        self.now = now

    def __call__(self) -> float:
        return self.now


def view(clock: Clock) -> Registry:
    return Registry(PlatformRegistry(), BoundsSection, clock)


def server(registry: Registry, clock: Clock) -> FeedServer:
    return FeedServer(registry, LoadTable(), list, clock)


def follower(clock: Clock) -> tuple[Registry, RegistrySync]:
    registry = view(clock)
    return registry, RegistrySync(None, registry, clock, None)


def test_a_late_answer_claims_no_more_than_was_known_when_it_was_asked_for():
    relay_clock, own_clock = Clock(5000.0), Clock(10.0)
    relay = view(relay_clock)
    relay.apply("wheelslip/x", b"1", 3)
    relay.confirm(4999.0)
    batch = asyncio.run(server(relay, relay_clock).answer(FeedPoll(0)))
    assert batch.confirmed == -1.0
    registry, sync = follower(own_clock)
    sent_at = own_clock.now
    # The answer is held up on its way for five seconds.
    own_clock.now += 5.0
    sync._apply_batch(batch, sent_at)
    assert registry.age() == pytest.approx(6.0)
    assert registry.system_entry("wheelslip/x") == (b"1", 3)


def test_a_view_confirmed_while_the_poll_waited_counts_from_then():
    clock = Clock(100.0)
    registry, sync = follower(clock)
    sync._apply_batch(FeedBatch(7, False, [], 0.4, None), sent_at=99.0)
    assert registry.age() == pytest.approx(0.6)
    assert registry.entry_log.revision == 7


def test_what_is_missing_in_a_whole_listing_has_gone():
    clock = Clock(100.0)
    registry, sync = follower(clock)
    registry.apply("wheelslip/x", b"1", 3)
    sync._apply_batch(
        FeedBatch(9, True, [EntryChange("wheelslip/y", b"2", 8)], 0.0, None), sent_at=99.0
    )
    assert registry.system_entry("wheelslip/x") is None
    assert registry.system_entry("wheelslip/y") == (b"2", 8)


class AnsweringStore:
    """Answers each watch with nothing new."""

    def __init__(self):
        self.watches = 0

    async def watch(self, prefix, after, wait_seconds):
        self.watches += 1
        return WatchBatch(after)


class ScriptedFeed:
    """Plays one batch a poll."""

    def __init__(self, *batches):
        self.batches = list(batches)

    async def poll(self, address, poll):
        return self.batches.pop(0)


def test_a_relays_trouble_with_the_store_is_not_the_followers():
    clock = Clock(100.0)
    registry, sync = follower(clock)
    sync._apply_batch(FeedBatch(9, False, [], 0.0, 0.5), sent_at=99.0)
    assert registry.health.suspected_outage_at is None


def test_a_follower_of_a_relay_that_fails_looks_at_the_store_itself():
    clock = Clock(100.0)
    store, registry = AnsweringStore(), view(clock)
    sync = RegistrySync(store, registry, clock, random.Random(1))
    sync._advance(9)
    for failing_age, watches in ((None, 0), (0.5, 1)):
        sync._feed = ScriptedFeed(FeedBatch(9, False, [], -0.2, failing_age))
        asyncio.run(sync._follow("relay:1"))
        assert store.watches == watches
    # It has been answered itself, and says so to the relay that asks it.
    assert registry.age() == 0.0


def test_an_older_answer_does_not_take_a_newer_view_back():
    clock = Clock(100.0)
    registry, sync = follower(clock)
    registry.apply("wheelslip/x", b"new", 12)
    sync._advance(12)
    sync._apply_batch(
        FeedBatch(9, False, [EntryChange("wheelslip/x", b"old", 8)], 0.0, None), sent_at=99.0
    )
    assert registry.system_entry("wheelslip/x") == (b"new", 12)
    assert registry.entry_log.revision == 12
