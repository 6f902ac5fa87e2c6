"""Registry state and load records belong to one incarnation of a worker.

A restarted worker must not inherit weight versions, marks or loads from its previous incarnation.
"""

import random

from standins.platform_worker import worker_entry
from wheelslip.deployment import incarnation_of
from wheelslip.forwarding_settings import BoundsSection
from wheelslip.routing.placement import Placement
from wheelslip.routing.worker_choice import WorkerPlacement

BORN = 1_764_700_000_000
NEWER_BORN = BORN + 5_000


def entry(born: int | None = BORN, version: int = 1, state: str = "ready") -> bytes:
    return worker_entry(model="m", version=version, state=state, born=born)


def test_weights_of_older_incarnation_are_not_inherited(registry):
    registry.apply("servers/a", entry(version=2), 1)
    registry.apply("servers/a", entry(NEWER_BORN, version=1), 2)
    (worker,) = registry.workers_of("s")
    assert worker.weights == {"m": 1}


def test_late_updates_of_older_incarnation_are_ignored(registry, clock):
    """A delayed write, a stale listing and a stale rollout record name the older incarnation."""
    registry.apply("servers/a", entry(NEWER_BORN, version=1), 5)
    registry.replace_all({"servers/a": (entry(BORN, version=2), 4)}, listing_revision=4)
    registry.apply("servers/a", entry(BORN, version=2, state="draining"), 6)
    registry.apply_rollout(frozenset(), {incarnation_of("a", BORN): {"m": 2}})
    registry.record_weights(incarnation_of("a", BORN), "m", 2)
    registry.mark_replaced(incarnation_of("a", BORN))
    (worker,) = registry.workers_of("s")
    assert (worker.info.born, worker.weights) == (NEWER_BORN, {"m": 1})


def test_older_incarnation_that_keeps_writing_replaces_the_expired_newer_one(registry, clock):
    """A clock set back between two starts makes the running incarnation appear older."""
    registry.apply("servers/a", entry(NEWER_BORN), 5)
    registry.apply("servers/a", entry(BORN), 6)
    clock.now += 3 * BoundsSection().heartbeat_ms / 1000
    registry.apply_expirations()
    (worker,) = registry.workers_of("s")
    assert worker.info.born == BORN


def test_worker_that_left_is_used_again_under_a_new_incarnation(registry):
    """The mark that another process answered at the address is not inherited."""
    registry.apply("servers/a", entry(), 1)
    registry.mark_replaced(incarnation_of("a", BORN))
    registry.apply("servers/a", entry(state="draining"), 2)
    assert registry.workers_of("s") == []
    registry.apply("servers/a", entry(NEWER_BORN), 3)
    assert [worker.info.born for worker in registry.workers_of("s")] == [NEWER_BORN]


def test_worker_without_start_time_is_identified_by_its_id_alone(registry):
    registry.apply("servers/a", entry(None, version=2), 1)
    registry.apply("servers/a", entry(None, version=1), 2)
    (worker,) = registry.workers_of("s")
    assert (worker.info.id, worker.weights) == ("a", {"m": 2})


def test_requests_ending_after_their_incarnation_departed_leave_no_records(registry, clock):
    """Records created after the removal would never be deleted: a memory leak at each restart."""
    registry.apply("servers/a", entry(), 1)
    records = WorkerPlacement(registry, clock, random.Random(1))
    registry.view.on_removed = lambda info: records.forget(info.id)
    placement = Placement(registry.workers_of("s")[0])
    began_at = records.begin(placement)
    registry.apply("servers/a", entry(NEWER_BORN), 2)
    records.end(placement, began_at, had_first_token=False)
    records.record_outcome(placement.worker.info.id, failed=True)
    assert records.total_load(incarnation_of("a", BORN)).running == 0
    assert not records._loads


def test_unusable_entry_is_logged_once_per_change(registry, caplog):
    registry.apply("servers/a", entry(), 1)
    with caplog.at_level("WARNING", logger="wheelslip"):
        for revision in range(2, 6):
            registry.apply("servers/a", b'{"service": "s"}', revision)
        registry.apply("servers/a", b"no document", 6)
    refused = [(record.field, record.key) for record in caplog.records]
    assert refused == [("address", "servers/a"), ("", "servers/a")]
    assert registry.refused_entries == 2


def test_last_valid_operator_document_stays_in_force_when_a_newer_one_is_invalid(registry):
    registry.apply("op/config", b'{"version": 3, "services": [{"name": "s"}]}', 1)
    registry.apply("op/version/m", b'{"model_id": "m", "version": 2}', 2)
    registry.apply("op/config", b'{"version": "next"}', 3)
    registry.apply("op/version/m", b"\xff", 4)
    assert (registry.configuration.version, registry.newest_weights("m")) == (3, 2)


def test_invalid_entry_of_a_listing_does_not_affect_the_others(registry):
    listing = {
        "op/config": (b"[" * 100_000, 1),
        "servers/a": (entry(), 2),
        "servers/b": (b"\x00", 3),
        "servers/c/d": (entry(), 4),
        "servers/e": (entry(), 5),
    }
    registry.replace_all(listing, listing_revision=9)
    assert sorted(worker.info.id for worker in registry.workers_of("s")) == [
        f"a/{BORN}",
        f"e/{BORN}",
    ]


def test_only_workers_of_declared_services_receive_orders(registry):
    """An entry written by another program may name an undeclared service and any address."""
    registry.apply("op/config", b'{"version": 1, "services": [{"name": "s"}]}', 1)
    registry.apply("servers/a", entry(), 2)
    registry.apply("servers/b", worker_entry("elsewhere", model="m"), 3)
    ordered = [
        worker.info.id for worker in registry.workers.values() if registry.accepts_orders(worker)
    ]
    assert ordered == [f"a/{BORN}"]


def test_workers_out_of_use_receive_no_orders(registry, clock):
    """The workers are draining, unusable, replaced, or doubtful after a store outage."""
    registry.apply("op/config", b'{"version": 1, "services": [{"name": "s"}]}', 1)
    for number, worker_id in enumerate("abcde"):
        registry.apply(f"servers/{worker_id}", entry(), 2 + number)
    registry.apply("servers/a", entry(state="draining"), 10)
    registry.apply("servers/b", b"{}", 11)
    registry.mark_replaced(incarnation_of("c", BORN))
    registry.record_outage(clock.now)
    registry.apply("servers/d", None, 12)
    ordered = [
        worker.info.id for worker in registry.workers.values() if registry.accepts_orders(worker)
    ]
    assert ordered == [f"e/{BORN}"]


def test_unusable_worker_is_removed_with_its_entry_even_during_an_outage(registry, clock):
    """Only usable workers are retained as doubtful when their entry vanishes in an outage."""
    registry.apply("servers/a", entry(), 1)
    registry.apply("servers/a", b"{}", 2)
    registry.record_outage(clock.now)
    registry.apply("servers/a", None, 3)
    assert not registry.workers


def test_removed_operator_document_stays_in_force(registry):
    registry.apply("op/config", b'{"version": 3, "services": [{"name": "s"}]}', 1)
    registry.apply("op/version/m", b'{"model_id": "m", "version": 2}', 2)
    registry.replace_all({}, listing_revision=9)
    assert (registry.configuration.version, registry.newest_weights("m")) == (3, 2)


def test_new_incarnation_of_a_doubtful_worker_is_not_doubtful(registry, clock):
    registry.apply("servers/a", entry(), 1)
    registry.record_outage(clock.now)
    registry.apply("servers/a", None, 2)
    registry.apply("servers/a", entry(NEWER_BORN), 3)
    (worker,) = registry.workers_of("s")
    assert (worker.info.born, worker.doubtful_until) == (NEWER_BORN, None)
