"""What a node that reads the store makes of failed calls, of late answers and of other nodes' news.

An outage of the store lets entries of live engines lapse, which are back within two seconds of its end. A
node that judged the end of an outage by another node's first answer, or waited through it with one call,
gave all live engines up at that moment: all of nine nodes did so 0.02 s after 2.5 s of silence.
Another that was left without an answer told nobody until its call had failed for good, and
its followers learnt 2.2 s later that an engine had left, where 2 s are allowed.
"""

import asyncio
import random

import pytest

from standins.platform_worker import worker_entry
from wheelslip.forwarding import registry_sync
from wheelslip.forwarding.entry_log import EntryChange
from wheelslip.forwarding.feed import FeedBatch, FeedPoll, FeedServer
from wheelslip.forwarding.registry import Registry
from wheelslip.forwarding.registry_sync import RegistrySync
from wheelslip.forwarding.settings import BoundsSection
from wheelslip.keyvalue.model import KeyValueUnavailable, WatchBatch, WatchCompacted
from wheelslip.platform.registry import PlatformRegistry
from wheelslip.routing.load_table import LoadAtWorker, LoadTable

BOUNDS = BoundsSection()


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch):
    monkeypatch.setattr(registry_sync, "PEER_POLLS", (1, 1))
    monkeypatch.setattr(registry_sync, "PEER_POLL_PAUSE_SECONDS", (0.0, 0.0))
    monkeypatch.setattr(registry_sync, "COALESCE_SECONDS", 0.0)


def entry():
    return worker_entry(model="m")


def enter(registry, worker_id, revision):
    registry.apply(f"servers/{worker_id}", entry(), revision)


def serving(registry):
    return [one.info.id for one in registry.workers_of("s")]


class FirstRelay:
    """The key of the node that reads the store for all."""

    def token(self):
        return 1

    def node_to_follow(self):
        return None


class TimedStore:
    """Each call takes so many seconds, then fails or answers."""

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
    """Each poll takes so many seconds, then brings a batch."""

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


def refused():
    return KeyValueUnavailable("refused")


def test_outage_remains_recorded_when_the_store_answers_a_peer_first(registry, clock):
    """The store is down for all from 100.2 to 104.0, and entries lapse meanwhile.

    This node's last call is refused at 103.95. While it asks a peer, the store returns and answers
    that peer. That is no proof that the store served others during the outage, so the engine whose
    entry lapsed has the time to return that an outage gives.
    """
    enter(registry, "a", 5)
    registry.confirm(100.0)
    removed = [EntryChange("servers/a", None, 9)]
    stale = FeedBatch(5, False, [], -2.0, 0.5)
    back = FeedBatch(9, False, removed, 0.1, None)
    store = TimedStore(clock, (0.0, refused()), (0.0, refused()))
    sync = reader(registry, clock, store, TimedFeed(clock, (0.1, stale), (0.2, back)))
    clock.now = 103.5
    asyncio.run(sync._read_store())
    clock.now = 103.95
    asyncio.run(sync._read_store())
    registry.expire_workers()
    # 0.15 s after the store's return; its engines are back within two seconds of that.
    assert serving(registry) == ["a"]


def test_outage_remains_recorded_when_the_relay_reports_its_end(registry, clock):
    """A follower looked once during an outage, and was current again by its relay.

    It had no call of its own answered, so a single reset call later counts to the same series,
    and takes the outage back.
    """
    registry.confirm(100.0)
    clock.now = 104.1
    registry.record_failed_call(102.6)
    registry.confirm(104.05)
    clock.now = 104.9
    registry.record_failed_call(104.9)
    assert registry.health.trouble_at == 102.6


def test_outage_during_a_single_call_is_detected(registry, clock):
    """The store is silent for four seconds, and the reader's one watch is answered after that."""
    enter(registry, "a", 5)
    registry.confirm(100.0)
    clock.now = 100.6
    store = TimedStore(clock, (2.1, refused()), (1.9, WatchBatch(9, (("servers/a", None, 9),))))
    feed = TimedFeed(clock, (0.1, FeedBatch(5, False, [], -2.0, 0.5)))
    sync = reader(registry, clock, store, feed)
    asyncio.run(sync._read_store())
    asyncio.run(sync._read_store())
    registry.expire_workers()
    assert serving(registry) == ["a"]


def test_outage_is_revoked_when_a_peer_was_answered_just_before(registry, clock):
    """The peer that was asked first knew nothing; the next tells that it was answered at 102.8.

    Then the store answers this node again, so no failed call follows that would take it back.
    """
    registry.confirm(100.0)
    clock.now = 103.0
    registry.record_failed_call(103.0)
    clock.now = 103.1
    registry.confirm(102.8)
    registry.health.note_answered(103.1, 103.1)
    assert registry.health.trouble_at is None


def test_followers_probe_the_store_when_their_relay_gets_no_answer(registry, clock):
    """Its watch fails after 2.1 s without a sign, and so does each after it."""
    registry.confirm(100.0)
    feed = TimedFeed(clock, (0.1, FeedBatch(5, False, [], -0.2, None)))
    store = TimedStore(clock, (2.1, refused()))
    relay = reader(registry, clock, store, feed)
    asyncio.run(relay._read_store())
    server = FeedServer(registry, LoadTable(), list, clock)
    batch = server._batch(FeedPoll(5), [], False, clock())
    other = Registry(PlatformRegistry(), lambda: BOUNDS, clock)
    follower = RegistrySync(None, other, clock, random.Random(1))
    follower._apply_batch(batch, clock())
    assert follower._seconds_until_probe() <= 0


def test_stale_peer_does_not_remove_newer_entries(registry, clock):
    """History is lost, the listing fails, and the peer that is asked has an older view.

    What was entered after that view is not gone.
    """
    enter(registry, "a", 5)
    enter(registry, "b", 100)
    registry.confirm(100.0)
    old = FeedBatch(90, True, [EntryChange("servers/a", entry(), 5)], -1.0, None)
    store = TimedStore(clock, (0.0, WatchCompacted("gone")), (0.0, refused()))
    sync = reader(registry, clock, store, TimedFeed(clock, (0.1, old)))
    asyncio.run(sync._read_store())
    asyncio.run(sync._read_store())
    assert sorted(serving(registry)) == ["a", "b"]


def test_loads_are_not_exchanged_with_polled_peers(registry, clock):
    """What a peer tells are sums of others' loads, this node's perhaps among them.

    Two nodes that asked each other five times counted one request at an engine as ten.
    """
    told = FeedBatch(5, False, [], -0.2, None, [LoadAtWorker("w", 1, 0)])
    table, polls = LoadTable(), []

    class RecordingFeed:
        async def poll(self, address, poll):
            polls.append(poll)
            return told

    sync = reader(registry, clock, TimedStore(clock, (0.0, refused())), RecordingFeed())
    sync._table, sync._own_loads = table, lambda: [LoadAtWorker("w", 1, 0)]
    asyncio.run(sync._read_store())
    assert [(one.address, one.loads) for one in polls] == [("", [])]
    assert table.at_worker("w", clock.now).running == 0
