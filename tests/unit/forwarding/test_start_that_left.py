"""A start of a worker that a node had seen leave came up again at that node, and got requests.

Its entry was removed, or said that it drains; then an entry that it had written before was carried out late.
Nodes that read the store with a delay are told the newest value of each key alone, so they did not see the
later start in between: ``engine_down`` and ``engine_up`` of one start of p0, 1.3 to 1.5 s apart, at four of six
nodes, and 1.2 s later ``engine_replaced`` by the start that had been there all the while. Three requests reached
the start that had left, 2.18 to 2.59 s after it had.
"""

from standins.platform_worker import worker_entry
from wheelslip.forwarding.settings import BoundsSection

BORN = 1_764_700_000_000
WAIT_SECONDS = 3 * BoundsSection().heartbeat_ms / 1000


def entry(born: int = BORN, state: str = "ready") -> bytes:
    return worker_entry(model="m", state=state, born=born)


def used(registry) -> list[int]:
    registry.expire_workers()
    return [one.info.born for one in registry.workers_of("s")]


def test_late_entry_does_not_restore_a_removed_incarnation(registry, clock):
    registry.apply("servers/a", entry(), 1)
    registry.apply("servers/a", None, 2)
    registry.apply("servers/a", entry(), 3)
    assert used(registry) == []
    clock.now += 1.2
    registry.apply("servers/a", entry(BORN + 5), 4)
    assert used(registry) == [BORN + 5]


def test_late_entry_does_not_restore_a_draining_incarnation(registry):
    registry.apply("servers/a", entry(), 1)
    registry.apply("servers/a", entry(state="draining"), 2)
    registry.apply("servers/a", entry(), 3)
    assert used(registry) == []


def test_late_entry_does_not_restore_an_incarnation_first_seen_draining(registry):
    registry.apply("servers/a", entry(state="draining"), 1)
    registry.apply("servers/a", None, 2)
    registry.apply("servers/a", entry(), 3)
    assert used(registry) == []


def test_replaced_incarnation_is_not_restored_after_the_newer_one_is_removed(registry):
    registry.apply("servers/a", entry(), 1)
    registry.apply("servers/a", entry(BORN + 5), 2)
    registry.apply("servers/a", None, 3)
    registry.apply("servers/a", entry(), 4)
    assert used(registry) == []


def test_unseen_older_incarnation_is_not_added_after_a_removal(registry):
    registry.apply("servers/a", entry(BORN + 5), 1)
    registry.apply("servers/a", None, 2)
    registry.apply("servers/a", entry(), 3)
    assert used(registry) == []


def test_older_incarnation_is_used_after_the_deferral(registry, clock):
    registry.apply("servers/a", entry(BORN + 5), 1)
    registry.apply("servers/a", entry(), 2)
    clock.now += WAIT_SECONDS
    assert used(registry) == [BORN]
    registry.apply("servers/a", entry(), 3)
    assert used(registry) == [BORN]


def test_returned_incarnation_is_used_after_the_deferral(registry, clock):
    """It was cut off from the store for a while, or thought better of leaving."""
    for revision, state in ((1, "ready"), (2, "draining"), (3, "ready")):
        registry.apply("servers/a", entry(state=state), revision)
    clock.now += WAIT_SECONDS / 2
    registry.apply("servers/a", entry(), 4)
    assert used(registry) == []
    clock.now += WAIT_SECONDS / 2
    assert used(registry) == [BORN]
    registry.apply("servers/a", None, 5)
    registry.apply("servers/a", entry(), 6)
    clock.now += WAIT_SECONDS
    assert used(registry) == [BORN]


def test_entry_expired_in_an_outage_is_used_as_soon_as_it_returns(registry, clock):
    registry.apply("servers/a", entry(), 1)
    registry.confirm(clock.now)
    registry.record_outage(clock.now)
    registry.apply("servers/a", None, 2)
    clock.now += 60
    assert used(registry) == []
    registry.apply("servers/a", entry(), 3)
    assert used(registry) == [BORN]
