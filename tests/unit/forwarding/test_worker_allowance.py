"""Worker rate limits apply to all nodes together, under random fault histories."""

import random
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.unit.forwarding.fault_histories import HISTORIES, HISTORY, NODES, apply_fault
from tests.unit.forwarding.test_tenant_limits import OVERAGE, World
from wheelslip.deployment import Incarnation
from wheelslip.peers.dispatcher_health import DispatcherUnavailable
from wheelslip.peers.limit_votes import TICK_SECONDS
from wheelslip.routing.limits.limit_authority import VOTE_VALIDITY_SECONDS, SingleNodeAuthority
from wheelslip.routing.limits.named_limits import WorkerRateLimits
from wheelslip.routing.limits.worker_allowance import PROBE_RATE, RateLimitedChoice, WorkerAllowance
from wheelslip.routing.overload import Overloaded
from wheelslip.routing.placement import Placement, PlacementQuery

LIMITED, OTHER = Incarnation("a/1"), Incarnation("b/1")
WINDOW_SECONDS = 4.0
MAX_RATIO, MAX_EXTRA = 1.5, 5


def max_allowed(rate: float) -> float:
    return MAX_RATIO * rate * WINDOW_SECONDS + MAX_EXTRA


class Fleet:
    """Nodes that share one limited worker; each charges it by its own authority."""

    def __init__(self, rate: float):
        self.world = World()
        self.rate = rate
        self._allowances: dict[int, tuple[object, WorkerAllowance]] = {}
        self.sent_at: list[float] = []

    def allowance(self, number: int) -> WorkerAllowance:
        """Return the allowance of the current incarnation of a node."""
        node = self.world.nodes[number]
        current = self._allowances.get(number)
        if current is None or current[0] is not node:
            limits = WorkerRateLimits(self.world.clock)
            limits.record_limit(LIMITED, self.rate)
            current = self._allowances[number] = (node, WorkerAllowance(limits, node.authority))
        return current[1]

    def request(self, number: int) -> bool:
        """Request the worker from a node's dispatcher, or locally if there is none.

        :return: whether the request was granted.
        """
        world = self.world
        if number in world.dead | world.frozen:
            return False
        granted = self._charge(self._dispatcher(number))
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

    def _charge(self, number: int) -> bool:
        allowance = self.allowance(number)
        return not allowance.exhausted([LIMITED]) and allowance.charge(LIMITED)

    def run(self, ticks: int, source: random.Random) -> None:
        for _ in range(ticks):
            self.world.advance(1)
            for _ in range(40):
                self.request(source.randrange(NODES))

    def max_in_window(self) -> int:
        return max(
            (
                sum(end - WINDOW_SECONDS < sent_at <= end for sent_at in self.sent_at)
                for end in self.sent_at
            ),
            default=0,
        )


@pytest.mark.parametrize("rate", [0.5, 1.0, 2.6, 20.0])
def test_fleet_uses_full_limit_without_exceeding_it(rate):
    fleet = Fleet(rate)
    fleet.run(20, random.Random(1))
    fleet.sent_at.clear()
    fleet.run(160, random.Random(2))
    assert 0.9 * rate <= len(fleet.sent_at) / (160 * TICK_SECONDS) <= 1.05 * rate
    assert fleet.max_in_window() <= max_allowed(rate)


def play(history, seed: int, rate: float) -> Fleet:
    """Play a fault history on a running fleet that sends far more than the worker takes."""
    source = random.Random(seed)
    fleet = Fleet(rate)
    fleet.run(20, source)
    for (kind, number), ticks in history:
        apply_fault(fleet.world, kind, number)
        fleet.run(ticks, source)
    return fleet


@settings(max_examples=HISTORIES)
@given(
    history=HISTORY,
    seed=st.integers(0, 2**16),
    rate=st.sampled_from([0.0, 0.5, 1.0, 5.0, 40.0]),
)
def test_worker_rate_stays_within_bound_under_any_fault_history(history, seed, rate):
    assert play(history, seed, rate).max_in_window() <= max_allowed(rate)


CUT_THEN_RESTARTS = [
    (("cut", 2), 1),
    (("kill all", 0), 1),
    (("kill", 2), 1),
    (("kill", 0), 4),
    (("restart", 0), 12),
    (("kill", 2), 11),
]


@pytest.mark.parametrize("nodes", [3, 4, 7])
def test_nodes_cut_off_from_all_relays_add_nothing_to_a_restarted_meter(nodes):
    # Failed with 266 requests for 245: all relays restarted on one side of a cut and granted the
    # whole limit, and each node of the other side granted its part besides.
    history = [(("cut", nodes), 8), (("restart lower", nodes), 12), (("wake", 0), 24)]
    fleet = play(history, 1, 40.0)
    assert fleet.max_in_window() <= max_allowed(40.0)
    assert sum(node.authority.share() for node in fleet.world.nodes) <= 1.0 + OVERAGE


HEAL_TOO_SHORT_TO_COUNT_ALL_NODES = [
    (("kill all", 0), 5),
    (("cut", 10), 8),
    (("kill all", 0), 11),
    (("heal", 0), 1),
    (("cut", 2), 8),
    (("cut one way", 3), 11),
    (("cut", 19), 9),
    (("cut", 13), 3),
]


@pytest.mark.parametrize("seed", range(4))
def test_nodes_cut_off_again_do_not_use_an_incomplete_fleet_size(seed):
    # Failed with 257 requests for 245: while the meter counted the nodes of the healed side one
    # after the other, each was told another number, and then was cut off with it.
    fleet = play(HEAL_TOO_SHORT_TO_COUNT_ALL_NODES, seed, 40.0)
    assert fleet.max_in_window() <= max_allowed(40.0)
    assert sum(node.authority.share() for node in fleet.world.nodes) <= 1.0 + OVERAGE


@pytest.mark.parametrize("seed", range(12))
def test_halves_of_a_restarted_fleet_do_not_both_use_the_whole_worker_limit(seed):
    # Failed at seed 5 with 36 requests for 35: each half took its own voters for all nodes.
    fleet = play(CUT_THEN_RESTARTS, seed, 5.0)
    assert fleet.max_in_window() <= max_allowed(5.0)
    assert sum(node.authority.share() for node in fleet.world.nodes) <= 1.0 + OVERAGE


def test_worker_receives_its_limit_two_seconds_after_restart_of_all_nodes():
    fleet = Fleet(5.0)
    fleet.run(20, random.Random(1))
    fleet.world.kill_and_restart(range(NODES))
    fleet.run(8, random.Random(2))
    fleet.sent_at.clear()
    fleet.run(40, random.Random(3))
    assert len(fleet.sent_at) >= 0.95 * 5.0 * 40 * TICK_SECONDS


def test_worker_receives_requests_soon_after_meter_failure():
    fleet = Fleet(4.0)
    fleet.run(20, random.Random(1))
    fleet.world.kill(0)
    killed_at = fleet.world.clock.now
    fleet.sent_at.clear()
    while not fleet.sent_at:
        fleet.run(1, random.Random(2))
    assert fleet.world.clock.now - killed_at <= VOTE_VALIDITY_SECONDS + 4 * TICK_SECONDS + 1 / 4.0


@pytest.fixture
def limits(clock):
    return WorkerRateLimits(clock)


@pytest.fixture
def allowance(clock, limits):
    return WorkerAllowance(limits, SingleNodeAuthority(clock))


def fill(clock, allowance) -> None:
    """Let the buckets of all limited workers fill up."""
    allowance.exhausted([LIMITED, OTHER])
    clock.now += 100.0


def drain(allowance) -> int:
    """Charge requests until the worker is exhausted; return their number."""
    count = 0
    while not allowance.exhausted([LIMITED]):
        allowance.charge(LIMITED)
        count += 1
    return count


def test_new_limit_starts_with_empty_bucket(allowance, limits):
    limits.record_limit(LIMITED, 100.0)
    assert allowance.exhausted([LIMITED, OTHER]) == {LIMITED}


def test_lowered_limit_applies_at_once(allowance, limits, clock):
    limits.record_limit(LIMITED, 100.0)
    fill(clock, allowance)
    limits.record_limit(LIMITED, 1.0)
    assert drain(allowance) == 1


def test_zero_limit_allows_probe_rate(allowance, limits, clock):
    limits.record_limit(LIMITED, 0.0)
    fill(clock, allowance)
    assert drain(allowance) == 1
    clock.now += 1.01 / PROBE_RATE
    assert drain(allowance) == 1


def test_refund_of_unsent_request_allows_another(allowance, limits, clock):
    limits.record_limit(LIMITED, 1.0)
    fill(clock, allowance)
    assert drain(allowance) == 1
    allowance.refund(LIMITED)
    assert drain(allowance) == 1


def test_worker_without_limit_is_not_charged(allowance, limits, clock):
    limits.record_limit(LIMITED, 1.0)
    assert not allowance.charge(OTHER)
    for _ in range(2):
        clock.now += 1.0
        limits.record_no_limit(LIMITED, clock.now)
    assert not allowance.exhausted([LIMITED, OTHER]) and not allowance.charge(LIMITED)


class _Placement:
    """Chooses the first worker that is not excluded."""

    def __init__(self, *incarnations: Incarnation):
        self._workers = {
            incarnation: SimpleNamespace(info=SimpleNamespace(id=incarnation))
            for incarnation in incarnations
        }

    def serves(self, incarnation, service) -> bool:
        return incarnation in self._workers

    def choose(self, query) -> Placement | None:
        available = [
            worker
            for incarnation, worker in self._workers.items()
            if incarnation not in query.excluded
        ]
        return Placement(available[0]) if available else None


QUERY = PlacementQuery("s")


def test_other_workers_are_chosen_when_limit_is_exhausted(allowance, limits, clock):
    choice = RateLimitedChoice(_Placement(LIMITED, OTHER), allowance)
    limits.record_limit(LIMITED, 1.0)
    fill(clock, allowance)
    chosen = [choice.choose(QUERY, clock.now) for _ in range(3)]
    assert [placement.worker.info.id for placement in chosen] == [LIMITED, OTHER, OTHER]
    assert [placement.rate_limit_charged for placement in chosen] == [True, False, False]


def test_callers_receive_staggered_retry_times_when_all_workers_are_exhausted(
    allowance, limits, clock
):
    choice = RateLimitedChoice(_Placement(LIMITED), allowance)
    limits.record_limit(LIMITED, 2.0)
    fill(clock, allowance)
    assert choice.choose(QUERY, clock.now).rate_limit_charged
    retry_seconds = []
    for _ in range(4):
        with pytest.raises(Overloaded) as caught:
            choice.choose(QUERY, clock.now)
        retry_seconds.append(caught.value.retry_seconds)
    assert retry_seconds == pytest.approx([0.25, 0.75, 1.25, 1.75])


def test_bucket_fills_from_the_first_query_that_a_node_without_authority_refused(limits, clock):
    # Failed: the bucket was created at the first query with authority, and was empty then.
    authority = SimpleNamespace(share=lambda: 0.0, weighted_seconds=lambda: 0.0)
    allowance = WorkerAllowance(limits, authority)
    limits.record_limit(LIMITED, 1.0)
    assert allowance.exhausted([LIMITED]) == {LIMITED}
    authority.share, authority.weighted_seconds = lambda: 1.0, lambda: 1.0
    assert not allowance.exhausted([LIMITED])


def test_node_without_authority_uses_no_limited_worker(limits, clock):
    authority = SimpleNamespace(share=lambda: 0.0, weighted_seconds=lambda: 0.0)
    choice = RateLimitedChoice(_Placement(LIMITED), WorkerAllowance(limits, authority))
    limits.record_limit(LIMITED, 1000.0)
    clock.now += 100.0
    assert choice.choose(QUERY, clock.now) is None


class _SmallShare:
    """Authority of a node that does not know the fleet size yet."""

    def share(self) -> float:
        return 0.01

    def weighted_seconds(self) -> float:
        return 0.0


class _OneLimit:
    def rate(self, incarnation: str) -> float:
        return 10.0


def test_callers_return_at_the_whole_rate_while_the_share_is_small():
    """By the small share, every caller was told the maximum time and returned with all others."""
    allowance = WorkerAllowance(_OneLimit(), _SmallShare())
    assert allowance.rate(["w"]) == 10.0
    assert allowance.wait_seconds(["w"]) <= VOTE_VALIDITY_SECONDS + 0.1
