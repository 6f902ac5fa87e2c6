"""What a node holds of a worker belongs to one start of it.

A worker that starts again under its id begins with nothing: its versions, its marks and its counts
are those of another process. A node took the higher of both starts' versions, so a worker that came
back with version 1 in place of 2 counted as having 2, got requests that it refused with 421, and no
order to load.
"""

import random

from standins.platform_worker import worker_entry
from wheelslip.deployment import incarnation_of
from wheelslip.forwarding.settings import BoundsSection
from wheelslip.routing.placement import Placement
from wheelslip.routing.worker_choice import WorkerPlacement

BORN = 1_764_700_000_000
NEWER = BORN + 5_000


def entry(born: int | None = BORN, version: int = 1, state: str = "ready") -> bytes:
    return worker_entry(model="m", version=version, state=state, born=born)


def test_weights_of_an_older_start_are_not_those_of_the_newer(registry):
    registry.apply("servers/a", entry(version=2), 1)
    registry.apply("servers/a", entry(NEWER, version=1), 2)
    (worker,) = registry.workers_of("s")
    assert worker.weights == {"m": 1}


def test_news_of_an_older_start_is_passed_over_wherever_it_arrives(registry, clock):
    """An entry that the older start wrote is carried out late; a listing and a record are behind."""
    registry.apply("servers/a", entry(NEWER, version=1), 5)
    registry.replace_all({"servers/a": (entry(BORN, version=2), 4)}, listing_revision=4)
    registry.apply("servers/a", entry(BORN, version=2, state="draining"), 6)
    registry.apply_rollout(frozenset(), {incarnation_of("a", BORN): {"m": 2}})
    registry.record_weights(incarnation_of("a", BORN), "m", 2)
    registry.mark_replaced(incarnation_of("a", BORN))
    (worker,) = registry.workers_of("s")
    assert (worker.info.born, worker.weights) == (NEWER, {"m": 1})


def test_an_older_start_that_goes_on_writing_is_the_one_that_lives(registry, clock):
    """The machine's clock was set back between the two starts, so the newer one seems older."""
    registry.apply("servers/a", entry(NEWER), 5)
    registry.apply("servers/a", entry(BORN), 6)
    clock.now += 3 * BoundsSection().heartbeat_ms / 1000
    registry.apply_expirations()
    (worker,) = registry.workers_of("s")
    assert worker.info.born == BORN


def test_a_start_that_left_is_in_use_again_as_another(registry):
    """Marks of the older start, that another process answered there, are not the newer one's."""
    registry.apply("servers/a", entry(), 1)
    registry.mark_replaced(incarnation_of("a", BORN))
    registry.apply("servers/a", entry(state="draining"), 2)
    assert registry.workers_of("s") == []
    registry.apply("servers/a", entry(NEWER), 3)
    assert [one.info.born for one in registry.workers_of("s")] == [NEWER]


def test_a_worker_that_tells_no_start_keeps_its_id_alone(registry):
    registry.apply("servers/a", entry(None, version=2), 1)
    registry.apply("servers/a", entry(None, version=1), 2)
    (worker,) = registry.workers_of("s")
    assert (worker.info.id, worker.weights) == ("a", {"m": 2})


def test_requests_that_end_after_their_start_has_gone_leave_nothing_behind(registry, clock):
    """Nothing would ever end what was kept of it: each restart of a worker cost some memory."""
    registry.apply("servers/a", entry(), 1)
    records = WorkerPlacement(registry, clock, random.Random(1))
    registry.view.on_removed = records.forget
    placement = Placement(registry.workers_of("s")[0])
    began_at = records.begin(placement)
    registry.apply("servers/a", entry(NEWER), 2)
    records.end(placement, began_at, had_first_token=False)
    records.note_outcome(placement.worker.info.id, failed=True)
    assert records.all_loads(incarnation_of("a", BORN)).running == 0
    assert not records._loads


def test_an_entry_that_cannot_be_used_is_logged_once_a_change(registry, caplog):
    registry.apply("servers/a", entry(), 1)
    with caplog.at_level("WARNING", logger="wheelslip"):
        for revision in range(2, 6):
            registry.apply("servers/a", b'{"service": "s"}', revision)
        registry.apply("servers/a", b"no document", 6)
    refused = [(one.field, one.key) for one in caplog.records]
    assert refused == [("address", "servers/a"), ("", "servers/a")]
    assert registry.refused_entries == 2


def test_what_operators_wrote_last_holds_while_the_newer_cannot_be_read(registry):
    registry.apply("op/config", b'{"version": 3, "services": [{"name": "s"}]}', 1)
    registry.apply("op/version/m", b'{"model_id": "m", "version": 2}', 2)
    registry.apply("op/config", b'{"version": "next"}', 3)
    registry.apply("op/version/m", b"\xff", 4)
    assert (registry.configuration.version, registry.newest_weights("m")) == (3, 2)


def test_one_entry_that_cannot_be_read_stops_no_other_of_a_listing(registry):
    listing = {
        "op/config": (b"[" * 100_000, 1),
        "servers/a": (entry(), 2),
        "servers/b": (b"\x00", 3),
        "servers/c/d": (entry(), 4),
        "servers/e": (entry(), 5),
    }
    registry.replace_all(listing, listing_revision=9)
    assert sorted(one.info.id for one in registry.workers_of("s")) == [f"a/{BORN}", f"e/{BORN}"]


def test_orders_go_to_workers_of_declared_services_alone(registry):
    """An entry of another writer may name a service that is not there, and any address."""
    registry.apply("op/config", b'{"version": 1, "services": [{"name": "s"}]}', 1)
    registry.apply("servers/a", entry(), 2)
    registry.apply("servers/b", worker_entry("elsewhere", model="m"), 3)
    ordered = [one.info.id for one in registry.workers.values() if registry.accepts_orders(one)]
    assert ordered == [f"a/{BORN}"]


def test_nothing_is_ordered_from_a_worker_that_is_out_of_use(registry, clock):
    """It drains, its entry names none, another process answered there, or it is in doubt."""
    registry.apply("op/config", b'{"version": 1, "services": [{"name": "s"}]}', 1)
    for number, worker_id in enumerate("abcde"):
        registry.apply(f"servers/{worker_id}", entry(), 2 + number)
    registry.apply("servers/a", entry(state="draining"), 10)
    registry.apply("servers/b", b"{}", 11)
    registry.mark_replaced(incarnation_of("c", BORN))
    registry.record_outage(clock.now)
    registry.apply("servers/d", None, 12)
    ordered = [one.info.id for one in registry.workers.values() if registry.accepts_orders(one)]
    assert ordered == [f"e/{BORN}"]


def test_an_unusable_worker_whose_entry_goes_is_gone_also_around_an_outage(registry, clock):
    """It was out of use before, so nothing speaks for its return."""
    registry.apply("servers/a", entry(), 1)
    registry.apply("servers/a", b"{}", 2)
    registry.record_outage(clock.now)
    registry.apply("servers/a", None, 3)
    assert not registry.workers


def test_a_document_of_operators_that_is_removed_stays_in_force(registry):
    registry.apply("op/config", b'{"version": 3, "services": [{"name": "s"}]}', 1)
    registry.apply("op/version/m", b'{"model_id": "m", "version": 2}', 2)
    registry.replace_all({}, listing_revision=9)
    assert (registry.configuration.version, registry.newest_weights("m")) == (3, 2)


def test_a_start_that_follows_an_engine_in_doubt_is_in_no_doubt(registry, clock):
    registry.apply("servers/a", entry(), 1)
    registry.record_outage(clock.now)
    registry.apply("servers/a", None, 2)
    registry.apply("servers/a", entry(NEWER), 3)
    (worker,) = registry.workers_of("s")
    assert (worker.info.born, worker.doubtful_until) == (NEWER, None)
