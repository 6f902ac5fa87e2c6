"""The registry view: order of changes, outages, and deadlines for replaced weights."""

import asyncio
import json
import random

import pytest

from standins.platform_worker import worker_entry
from wheelslip.forwarding.registry_sync import RegistrySync
from wheelslip.forwarding_settings import BoundsSection
from wheelslip.keyvalue.model import KeyValueUnavailable, RangeResult, WatchBatch, WatchCompacted
from wheelslip.registry.registry import MAX_PROCESS_START_SECONDS

BOUNDS = BoundsSection()


def name_weights(registry, version, revision):
    document = json.dumps({"model_id": "m", "version": version}).encode()
    registry.apply("op/version/m", document, revision)


def enter(registry, worker_id, revision, version=1, state="ready"):
    entry = worker_entry(model="m", version=version, state=state)
    registry.apply(f"servers/{worker_id}", entry, revision)


def test_older_change_of_a_key_is_ignored(registry):
    enter(registry, "a", revision=5, state="draining")
    enter(registry, "a", revision=4)
    assert registry.workers_of("s") == []


def test_older_change_does_not_restore_a_removed_entry(registry):
    enter(registry, "a", revision=5)
    registry.apply("servers/a", None, 6)
    enter(registry, "a", revision=5)
    assert "a" not in registry.workers


def test_listing_without_a_worker_removes_it(registry):
    enter(registry, "a", revision=5)
    registry.replace_all({}, listing_revision=9)
    assert "a" not in registry.workers


def test_requests_may_start_on_replaced_weights_until_the_deadline(registry, clock):
    name_weights(registry, 1, 1)
    clock.now += 20
    registry.confirm(119.5)
    name_weights(registry, 2, 2)
    clock.now += 3
    registry.confirm(122.5)
    name_weights(registry, 3, 3)
    allowed_seconds = BOUNDS.weights_deadline_ms / 1000
    assert registry.start_deadline("m", 1) == 119.5 + allowed_seconds
    assert registry.start_deadline("m", 2) == 122.5 + allowed_seconds
    assert registry.start_deadline("m", 3) == float("inf")


def test_replaced_weights_expire_within_the_contact_time_after_a_start(registry, clock):
    name_weights(registry, 2, 2)
    assert (
        registry.start_deadline("m", 1)
        == 100 - MAX_PROCESS_START_SECONDS + BOUNDS.contact_ms / 1000
    )


def test_deadline_of_a_stalled_node_runs_from_its_last_current_view(registry, clock):
    """Otherwise the deadline of a stalled node would end later than those of the other nodes."""
    registry.confirm(100.0)
    clock.now += 6
    name_weights(registry, 2, 2)
    assert registry.start_deadline("m", 1) == 100 + BOUNDS.weights_deadline_ms / 1000


def test_weights_in_a_late_first_view_count_from_the_node_start(registry, clock):
    """The node receives its first view from a peer, seconds after its start."""
    clock.now += 3
    name_weights(registry, 2, 2)
    assert (
        registry.start_deadline("m", 1)
        == 100 - MAX_PROCESS_START_SECONDS + BOUNDS.contact_ms / 1000
    )


def test_deadline_restarts_after_failed_calls(registry, clock):
    clock.now += 20
    registry.confirm(120.0)
    name_weights(registry, 2, 2)
    clock.now += 5
    registry.record_failed_call(123.9)
    registry.record_failed_call(125.0)
    assert registry.start_deadline("m", 1) == 125 + BOUNDS.weights_deadline_ms / 1000


class ScriptedStore:
    """A store with scripted outcomes, one second a call; after the last one it ends the task."""

    def __init__(self, outcomes, clock):
        self.outcomes = list(outcomes)
        self.clock = clock

    async def range(self, prefix):
        return await self._next(RangeResult(1, ()))

    async def watch(self, prefix, after, wait_seconds):
        return await self._next(WatchBatch(after))

    async def _next(self, result):
        if not self.outcomes:
            raise asyncio.CancelledError
        self.clock.now += 1.0
        outcome = self.outcomes.pop(0)
        if outcome is not None:
            raise outcome
        return result


def synchronize(registry, clock, outcomes):
    sync = RegistrySync(ScriptedStore(outcomes, clock), registry, clock, random.Random(1))
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(sync.run())


def failures(count):
    return [KeyValueUnavailable("reset")] * count


def test_single_failed_call_is_no_outage(registry, clock):
    synchronize(registry, clock, [None, *failures(1), None])
    assert not keeps_removed_worker(registry)


def keeps_removed_worker(registry) -> bool:
    """Return whether a worker whose entry vanishes now stays in use."""
    enter(registry, "probe", revision=1000)
    registry.apply("servers/probe", None, 1001)
    return "probe" in [worker.info.id for worker in registry.workers_of("s")]


def test_consecutive_failed_calls_are_an_outage(registry, clock):
    synchronize(registry, clock, [None, KeyValueUnavailable("a"), KeyValueUnavailable("b"), None])
    assert keeps_removed_worker(registry)


def test_worker_removed_in_an_outage_stays_in_use_for_the_contact_time(registry, clock):
    synchronize(registry, clock, [None, *failures(3), None])
    # The listing is sent at 100 s, the last failed call at 103 s.
    assert registry.health.suspected_outage_at == 103.0
    enter(registry, "a", revision=5)
    registry.apply("servers/a", None, 6)
    assert [worker.info.id for worker in registry.workers_of("s")] == ["a"]
    clock.now = 103.0 + BOUNDS.contact_ms / 1000
    assert registry.workers_of("s") == []
    registry.apply_expirations()
    assert "a" not in registry.workers


def test_worker_missing_after_lost_history_is_removed_at_once(registry, clock):
    """A store that has compacted its history answers, so there is no outage."""
    enter(registry, "a", revision=1)
    synchronize(registry, clock, [WatchCompacted("gone"), None])
    assert not keeps_removed_worker(registry)
    assert "a" not in registry.workers


def test_doubtful_worker_is_not_used_after_the_drain_time(registry, clock):
    """The worker may have departed although calls failed."""
    enter(registry, "a", revision=5)
    registry.confirm(100.0)
    clock.now = 104.0
    registry.record_failed_call(104.0)
    registry.apply("servers/a", None, 6)
    clock.now = 104.0 + BOUNDS.worker_drain_ms / 1000 - 0.2
    assert registry.workers_of("s") == []


def test_short_series_of_failed_calls_does_not_restart_the_deadline(registry, clock):
    """The store may have answered other nodes meanwhile."""
    registry.confirm(120.0)
    clock.now = 120.1
    name_weights(registry, 2, 2)
    registry.record_failed_call(121.0)
    registry.record_failed_call(122.4)
    assert registry.start_deadline("m", 1) == 120 + BOUNDS.weights_deadline_ms / 1000


def test_replaced_weights_expire_in_time_after_a_slow_process_start(registry):
    """The deadline counts from the start of the process, before it first reads its clock."""
    name_weights(registry, 2, 2)
    slowest_start = 1.9
    allowed_until = 100.0 - slowest_start + BOUNDS.contact_ms / 1000
    assert registry.start_deadline("m", 1) <= allowed_until
