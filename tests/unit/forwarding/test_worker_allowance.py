"""The limit that a worker names binds all nodes together, under any history of faults."""

import random
from types import SimpleNamespace

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.unit.forwarding.test_tenant_limits import EVENT, NODES, World, strike
from wheelslip.deployment import Incarnation
from wheelslip.peers.dispatcher_health import DispatcherUnavailable
from wheelslip.peers.limit_votes import TICK_SECONDS
from wheelslip.routing.limit_authority import VOTE_SECONDS, WholeAuthority
from wheelslip.routing.named_limits import NamedLimits
from wheelslip.routing.overload import Overloaded
from wheelslip.routing.placement import Placement, PlacementQuery
from wheelslip.routing.worker_allowance import PROBE_RATE, LimitedChoice, WorkerAllowance

LIMITED, OTHER = Incarnation("a/1"), Incarnation("b/1")
WINDOW_SECONDS = 4.0
SHARE, EXTRA = 1.5, 5


def allowed(rate: float) -> float:
    return SHARE * rate * WINDOW_SECONDS + EXTRA


class Fleet:
    """Nodes before one limited worker; each counts by its own authority."""

    def __init__(self, rate: float):
        self.world = World()
        self.rate = rate
        self._allowances: dict[int, tuple[object, WorkerAllowance]] = {}
        self.sent_at: list[float] = []

    def allowance(self, number: int) -> WorkerAllowance:
        """Return that of the present start of a node."""
        node = self.world.nodes[number]
        known = self._allowances.get(number)
        if known is None or known[0] is not node:
            limits = NamedLimits(self.world.clock)
            limits.note_limit(LIMITED, self.rate)
            known = self._allowances[number] = (node, WorkerAllowance(limits, node.authority))
        return known[1]

    def ask(self, number: int) -> bool:
        """Have a node ask its dispatcher for the worker, or choose by itself; return whether it got it."""
        world = self.world
        if number in world.dead | world.frozen:
            return False
        granted = self._take(self._dispatcher(number))
        if granted:
            self.sent_at.append(world.clock.now)
        return granted

    def _dispatcher(self, number: int) -> int:
        node = self.world.nodes[number]
        try:
            address = node.health.choose(self.world.relays())
        except DispatcherUnavailable:
            return number
        other = int(address)
        if self.world.passes(number, other) and self.world.passes(other, number):
            node.health.record_reply(address, 0.001)
            return other
        node.health.record_timeout(address)
        return number

    def _take(self, number: int) -> bool:
        allowance = self.allowance(number)
        return not allowance.exhausted([LIMITED]) and allowance.take(LIMITED)

    def run(self, ticks: int, source: random.Random) -> None:
        for _ in range(ticks):
            self.world.advance(1)
            for _ in range(40):
                self.ask(source.randrange(NODES))

    def most_in_a_window(self) -> int:
        return max(
            (sum(end - WINDOW_SECONDS < at <= end for at in self.sent_at) for end in self.sent_at),
            default=0,
        )


@pytest.mark.parametrize("rate", [0.5, 1.0, 2.6, 20.0])
def test_the_whole_limit_is_used_and_no_more(rate):
    fleet = Fleet(rate)
    fleet.run(20, random.Random(1))
    fleet.sent_at.clear()
    fleet.run(160, random.Random(2))
    assert 0.9 * rate <= len(fleet.sent_at) / (160 * TICK_SECONDS) <= 1.05 * rate
    assert fleet.most_in_a_window() <= allowed(rate)


@settings(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    history=st.lists(st.tuples(EVENT, st.integers(1, 12)), min_size=1, max_size=8),
    seed=st.integers(0, 2**16),
    rate=st.sampled_from([0.0, 0.5, 1.0, 5.0, 40.0]),
)
def test_no_history_of_faults_gives_a_worker_more_than_the_bound(history, seed, rate):
    source = random.Random(seed)
    fleet = Fleet(rate)
    fleet.run(20, source)
    for (kind, number), ticks in history:
        strike(fleet.world, kind, number)
        fleet.run(ticks, source)
    assert fleet.most_in_a_window() <= allowed(rate)


def test_a_worker_is_used_again_soon_after_the_death_of_the_node_that_counted():
    fleet = Fleet(4.0)
    fleet.run(20, random.Random(1))
    fleet.world.kill(0)
    killed_at = fleet.world.clock.now
    fleet.sent_at.clear()
    while not fleet.sent_at:
        fleet.run(1, random.Random(2))
    assert fleet.world.clock.now - killed_at <= VOTE_SECONDS + 4 * TICK_SECONDS + 1 / 4.0


# One node


@pytest.fixture
def limits(clock):
    return NamedLimits(clock)


@pytest.fixture
def allowance(clock, limits):
    return WorkerAllowance(limits, WholeAuthority(clock))


def fill(clock, allowance) -> None:
    """Let the buckets of all limited workers fill."""
    allowance.exhausted([LIMITED, OTHER])
    clock.now += 100.0


def drained(allowance) -> int:
    """Take all that there is; return how much it was."""
    count = 0
    while not allowance.exhausted([LIMITED]):
        allowance.take(LIMITED)
        count += 1
    return count


def test_a_new_limit_begins_with_nothing(allowance, limits):
    limits.note_limit(LIMITED, 100.0)
    assert allowance.exhausted([LIMITED, OTHER]) == {LIMITED}


def test_a_lowered_limit_counts_at_once(allowance, limits, clock):
    limits.note_limit(LIMITED, 100.0)
    fill(clock, allowance)
    limits.note_limit(LIMITED, 1.0)
    assert drained(allowance) == 1


def test_a_limit_of_nothing_lets_a_trickle_through(allowance, limits, clock):
    limits.note_limit(LIMITED, 0.0)
    fill(clock, allowance)
    assert drained(allowance) == 1
    clock.now += 1.01 / PROBE_RATE
    assert drained(allowance) == 1


def test_what_was_never_sent_is_given_back(allowance, limits, clock):
    limits.note_limit(LIMITED, 1.0)
    fill(clock, allowance)
    assert drained(allowance) == 1
    allowance.give_back(LIMITED)
    assert drained(allowance) == 1


def test_a_worker_without_a_limit_is_not_counted(allowance, limits, clock):
    limits.note_limit(LIMITED, 1.0)
    assert not allowance.take(OTHER)
    for _ in range(2):
        clock.now += 1.0
        limits.note_no_limit(LIMITED, clock.now)
    assert not allowance.exhausted([LIMITED, OTHER]) and not allowance.take(LIMITED)


class _Placement:
    """Chooses the first worker that is not excluded."""

    def __init__(self, *starts: Incarnation):
        self._workers = {one: SimpleNamespace(info=SimpleNamespace(id=one)) for one in starts}

    def serves(self, start, service) -> bool:
        return start in self._workers

    def choose(self, query) -> Placement | None:
        left = [one for start, one in self._workers.items() if start not in query.excluded]
        return Placement(left[0]) if left else None


QUERY = PlacementQuery("s")


def test_requests_go_to_other_workers_when_a_limit_is_used_up(allowance, limits, clock):
    choice = LimitedChoice(_Placement(LIMITED, OTHER), allowance)
    limits.note_limit(LIMITED, 1.0)
    fill(clock, allowance)
    chosen = [choice.choose(QUERY, clock.now) for _ in range(3)]
    assert [one.worker.info.id for one in chosen] == [LIMITED, OTHER, OTHER]
    assert [one.rate_limit_charged for one in chosen] == [True, False, False]


def test_callers_that_find_all_workers_at_their_limits_are_told_turns(allowance, limits, clock):
    choice = LimitedChoice(_Placement(LIMITED), allowance)
    limits.note_limit(LIMITED, 2.0)
    fill(clock, allowance)
    assert choice.choose(QUERY, clock.now).rate_limit_charged
    told = []
    for _ in range(4):
        with pytest.raises(Overloaded) as caught:
            choice.choose(QUERY, clock.now)
        told.append(caught.value.retry_seconds)
    assert told == pytest.approx([0.25, 0.75, 1.25, 1.75])


def test_a_node_without_authority_uses_no_limited_worker(limits, clock):
    nobody = SimpleNamespace(share=lambda: 0.0, seconds=lambda: 0.0)
    choice = LimitedChoice(_Placement(LIMITED), WorkerAllowance(limits, nobody))
    limits.note_limit(LIMITED, 1000.0)
    clock.now += 100.0
    assert choice.choose(QUERY, clock.now) is None
