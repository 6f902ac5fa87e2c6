"""Detection of store outages from failed calls, late answers and the views of peers.

Entries of live workers expire during an outage, so workers must stay in use for some time after it.
"""

import asyncio
import random

import pytest

from standins.platform_worker import worker_entry
from wheelslip.forwarding import registry_sync
from wheelslip.forwarding.feed import FeedBatch, FeedPoll, FeedServer
from wheelslip.forwarding.registry_sync import RegistrySync
from wheelslip.forwarding_settings import BoundsSection
from wheelslip.keyvalue.model import KeyValueUnavailable, WatchBatch, WatchCompacted
from wheelslip.platform.registry import PlatformRegistry
from wheelslip.registry.entry_log import EntryChange
from wheelslip.registry.registry import Registry
from wheelslip.routing.load_table import LoadAtWorker, LoadTable

BOUNDS = BoundsSection()


@pytest.fixture(autouse=True)
def one_peer_poll_without_pauses(monkeypatch):
    monkeypatch.setattr(registry_sync, "PEER_POLLS", (1, 1))
    monkeypatch.setattr(registry_sync, "PEER_POLL_PAUSE_SECONDS", (0.0, 0.0))
    monkeypatch.setattr(registry_sync, "COALESCE_SECONDS", 0.0)


def entry():
    return worker_entry(model="m")


def enter(registry, worker_id, revision):
    registry.apply(f"servers/{worker_id}", entry(), revision)


def serving(registry):
    return [worker.info.id for worker in registry.workers_of("s")]


class FirstRelay:
    """Relay lease of the node that reads the store for all others."""

    def token(self):
        return 1

    def node_to_follow(self):
        return None


class TimedStore:
    """A store whose calls take the given seconds, then fail or return a result."""

    def __init__(self, clock, *outcomes):
        self.clock = clock
        self.outcomes = list(outcomes)

    async def _next(self):
        seconds, outcome = self.outcomes.pop(0)
        self.clock.now += seconds
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    async def watch(self, prefix, after, wait_seconds):
        return await self._next()

    async def range(self, prefix):
        return await self._next()


class TimedFeed:
    """A feed client whose polls take the given seconds, then return a batch."""

    def __init__(self, clock, *answers):
        self.clock = clock
        self.answers = list(answers)

    async def poll(self, address, poll):
        seconds, batch = self.answers.pop(0)
        self.clock.now += seconds
        return batch


def reader(registry, clock, store, feed=None):
    sync = RegistrySync(
        store, registry, clock, random.Random(1), FirstRelay(), lambda: ["peer:1"], "own:1"
    )
    sync._feed = sync._peer_feed = feed
    sync._advance(5)
    return sync


def refusal():
    return KeyValueUnavailable("refused")


def test_outage_remains_recorded_when_the_store_answers_a_peer_first(registry, clock):
    """The store is unavailable from 100.2 to 104.0 and then first answers the polled peer.

    That answer does not show that the store served other nodes during the outage.
    """
    enter(registry, "a", 5)
    registry.confirm(100.0)
    removal = [EntryChange("servers/a", None, 9)]
    stale = FeedBatch(5, False, [], -2.0, 0.5)
    current = FeedBatch(9, False, removal, 0.1, None)
    store = TimedStore(clock, (0.0, refusal()), (0.0, refusal()))
    sync = reader(registry, clock, store, TimedFeed(clock, (0.1, stale), (0.2, current)))
    clock.now = 103.5
    asyncio.run(sync._read_store())
    clock.now = 103.95
    asyncio.run(sync._read_store())
    registry.apply_expirations()
    # 0.15 s after the end of the outage; live workers renew their entries within two seconds.
    assert serving(registry) == ["a"]


def test_outage_remains_recorded_when_the_relay_reports_its_end(registry, clock):
    """A single failed call after the relay's answer must not revoke the recorded outage."""
    registry.confirm(100.0)
    clock.now = 104.1
    registry.record_failed_call(102.6)
    registry.confirm(104.05)
    clock.now = 104.9
    registry.record_failed_call(104.9)
    assert registry.health.suspected_outage_at == 102.6


def test_outage_during_a_single_call_is_detected(registry, clock):
    """The store does not answer for four seconds and then answers the pending watch."""
    enter(registry, "a", 5)
    registry.confirm(100.0)
    clock.now = 100.6
    store = TimedStore(clock, (2.1, refusal()), (1.9, WatchBatch(9, (("servers/a", None, 9),))))
    feed = TimedFeed(clock, (0.1, FeedBatch(5, False, [], -2.0, 0.5)))
    sync = reader(registry, clock, store, feed)
    asyncio.run(sync._read_store())
    asyncio.run(sync._read_store())
    registry.apply_expirations()
    assert serving(registry) == ["a"]


def test_outage_is_revoked_when_a_peer_was_answered_just_before(registry, clock):
    """A peer reports that the store answered it at 102.8; then the store answers this node."""
    registry.confirm(100.0)
    clock.now = 103.0
    registry.record_failed_call(103.0)
    clock.now = 103.1
    registry.confirm(102.8)
    registry.health.record_answered(103.1, 103.1)
    assert registry.health.suspected_outage_at is None


def test_followers_probe_the_store_when_their_relay_gets_no_answer(registry, clock):
    """The relay's watch times out after 2.1 s."""
    registry.confirm(100.0)
    feed = TimedFeed(clock, (0.1, FeedBatch(5, False, [], -0.2, None)))
    store = TimedStore(clock, (2.1, refusal()))
    relay = reader(registry, clock, store, feed)
    asyncio.run(relay._read_store())
    server = FeedServer(registry, LoadTable(), list, clock)
    batch = server._batch(FeedPoll(5), [], False, clock())
    other = Registry(PlatformRegistry(), lambda: BOUNDS, clock)
    follower = RegistrySync(None, other, clock, random.Random(1))
    follower._apply_batch(batch, clock())
    assert follower._seconds_until_probe() <= 0


def test_stale_peer_does_not_remove_newer_entries(registry, clock):
    """History is lost, the listing fails, and the polled peer has an older view."""
    enter(registry, "a", 5)
    enter(registry, "b", 100)
    registry.confirm(100.0)
    old = FeedBatch(90, True, [EntryChange("servers/a", entry(), 5)], -1.0, None)
    store = TimedStore(clock, (0.0, WatchCompacted("gone")), (0.0, refusal()))
    sync = reader(registry, clock, store, TimedFeed(clock, (0.1, old)))
    asyncio.run(sync._read_store())
    asyncio.run(sync._read_store())
    assert sorted(serving(registry)) == ["a", "b"]


def test_loads_are_not_exchanged_with_polled_peers(registry, clock):
    """A peer's loads are totals that may include this node's, which would count them twice."""
    batch = FeedBatch(5, False, [], -0.2, None, [LoadAtWorker("w", 1, 0)])
    table, polls = LoadTable(), []

    class RecordingFeed:
        async def poll(self, address, poll):
            polls.append(poll)
            return batch

    sync = reader(registry, clock, TimedStore(clock, (0.0, refusal())), RecordingFeed())
    sync._table, sync._own_loads = table, lambda: [LoadAtWorker("w", 1, 0)]
    asyncio.run(sync._read_store())
    assert [(poll.address, poll.loads) for poll in polls] == [("", [])]
    assert table.at_worker("w", clock.now).running == 0
