"""A late write of an entry must not put a departed incarnation of a worker back into use."""

from standins.platform_worker import worker_entry
from wheelslip.forwarding_settings import BoundsSection

BORN = 1_764_700_000_000
DEFERRAL_SECONDS = 3 * BoundsSection().heartbeat_ms / 1000


def entry(born: int = BORN, state: str = "ready") -> bytes:
    return worker_entry(model="m", state=state, born=born)


def born_in_use(registry) -> list[int]:
    """Return the start times of the incarnations in use."""
    registry.apply_expirations()
    return [worker.info.born for worker in registry.workers_of("s")]


def test_late_entry_does_not_restore_a_removed_incarnation(registry, clock):
    registry.apply("servers/a", entry(), 1)
    registry.apply("servers/a", None, 2)
    registry.apply("servers/a", entry(), 3)
    assert born_in_use(registry) == []
    clock.now += 1.2
    registry.apply("servers/a", entry(BORN + 5), 4)
    assert born_in_use(registry) == [BORN + 5]


def test_late_entry_does_not_restore_a_draining_incarnation(registry):
    registry.apply("servers/a", entry(), 1)
    registry.apply("servers/a", entry(state="draining"), 2)
    registry.apply("servers/a", entry(), 3)
    assert born_in_use(registry) == []


def test_late_entry_does_not_restore_an_incarnation_first_seen_draining(registry):
    registry.apply("servers/a", entry(state="draining"), 1)
    registry.apply("servers/a", None, 2)
    registry.apply("servers/a", entry(), 3)
    assert born_in_use(registry) == []


def test_replaced_incarnation_is_not_restored_after_the_newer_one_is_removed(registry):
    registry.apply("servers/a", entry(), 1)
    registry.apply("servers/a", entry(BORN + 5), 2)
    registry.apply("servers/a", None, 3)
    registry.apply("servers/a", entry(), 4)
    assert born_in_use(registry) == []


def test_unseen_older_incarnation_is_not_added_after_a_removal(registry):
    registry.apply("servers/a", entry(BORN + 5), 1)
    registry.apply("servers/a", None, 2)
    registry.apply("servers/a", entry(), 3)
    assert born_in_use(registry) == []


def test_older_incarnation_is_used_after_the_deferral(registry, clock):
    registry.apply("servers/a", entry(BORN + 5), 1)
    registry.apply("servers/a", entry(), 2)
    clock.now += DEFERRAL_SECONDS
    assert born_in_use(registry) == [BORN]
    registry.apply("servers/a", entry(), 3)
    assert born_in_use(registry) == [BORN]


def test_returned_incarnation_is_used_after_the_deferral(registry, clock):
    """It was disconnected from the store for a while, or cancelled its departure."""
    for revision, state in ((1, "ready"), (2, "draining"), (3, "ready")):
        registry.apply("servers/a", entry(state=state), revision)
    clock.now += DEFERRAL_SECONDS / 2
    registry.apply("servers/a", entry(), 4)
    assert born_in_use(registry) == []
    clock.now += DEFERRAL_SECONDS / 2
    assert born_in_use(registry) == [BORN]
    registry.apply("servers/a", None, 5)
    registry.apply("servers/a", entry(), 6)
    clock.now += DEFERRAL_SECONDS
    assert born_in_use(registry) == [BORN]


def test_entry_expired_in_an_outage_is_used_as_soon_as_it_returns(registry, clock):
    registry.apply("servers/a", entry(), 1)
    registry.confirm(clock.now)
    registry.record_outage(clock.now)
    registry.apply("servers/a", None, 2)
    clock.now += 60
    assert born_in_use(registry) == []
    registry.apply("servers/a", entry(), 3)
    assert born_in_use(registry) == [BORN]
