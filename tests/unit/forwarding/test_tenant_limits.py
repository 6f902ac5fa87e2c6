"""Tenant limits across nodes: votes, token buckets, and the bound under random fault histories."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.unit.forwarding.fault_histories import HISTORIES, HISTORY, NODES, apply_fault
from wheelslip.deployment import TenantLimit
from wheelslip.peers.dispatch_link import MAX_METERS_QUERIED
from wheelslip.peers.dispatch_messages import (
    START_NOTICE,
    VOTE,
    VOTE_COUNT,
    VOTE_RELEASE,
    VOTE_REPLY,
)
from wheelslip.peers.dispatcher_health import DispatcherHealth, DispatcherUnavailable
from wheelslip.peers.limit_votes import TICK_SECONDS, LimitVotes
from wheelslip.routing.limits.limit_authority import (
    DEFAULT_FLEET_SIZE,
    VOTE_VALIDITY_SECONDS,
    SingleNodeAuthority,
    VotedAuthority,
)
from wheelslip.routing.limits.tenant_limits import (
    RESERVE_SHARE,
    URGENT_OVERDRAFT,
    LimitTolerance,
    NoAuthority,
    TenantLimited,
    TenantLimits,
)
from wheelslip.routing.placement import PlacementQuery

RELAYS = 3
RELAY_LEASE_SECONDS = 3.0
WINDOW_SECONDS = 8.0
WINDOW_TICKS = round(WINDOW_SECONDS / TICK_SECONDS) + 1
OVERAGE = 0.1
TOLERANCE = LimitTolerance(WINDOW_SECONDS, OVERAGE, 110_000.0)
LARGEST_REQUEST = 9000.0
LIMIT = TenantLimit(20_000.0, 20_000.0, counts_tokens=True, plain_tokens=200.0)


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def request(units: float, tenant: str = "t", priority: int = 0) -> PlacementQuery:
    return PlacementQuery("s", priority=priority, tenant=tenant, limit_units=units)


class Socket:
    """Delivers vote messages immediately unless the network drops them."""

    def __init__(self, world: "World", number: int):
        self.world, self.number = world, number
        self.receivers = {}

    def register(self, kind, message_type, handle) -> None:
        self.receivers[kind] = handle

    def send(self, address, kind, message) -> None:
        assert kind in (VOTE, VOTE_REPLY, VOTE_COUNT, VOTE_RELEASE, START_NOTICE)
        receiver = self.world.nodes[int(address)]
        if self.world.passes(self.number, receiver.number):
            receiver.socket.receivers[kind](message, str(self.number))

    def send_to(self, addresses, kind, message) -> None:
        for address in addresses:
            self.send(address, kind, message)


class Node:
    """One incarnation of a node."""

    def __init__(self, world: "World", number: int):
        self.number, self.address = number, str(number)
        clock = world.clock
        self.socket = Socket(world, number)
        self.authority = VotedAuthority(self.address, world.relays, lambda: OVERAGE, clock)
        self.limits = TenantLimits(lambda: world.limits, self.authority, clock, lambda: TOLERANCE)
        self.health = DispatcherHealth(clock, random.Random(number))
        self.votes = LimitVotes(
            self.address,
            self.socket,
            self.authority,
            self.limits,
            world.relays,
            self.health.is_responsive,
            lambda: True,
            clock,
        )

    def charge(self, units: float) -> bool:
        """Charge a request at this node; return whether it is admitted."""
        try:
            self.limits.charge(request(units))
        except (TenantLimited, NoAuthority):
            return False
        return True


@dataclass
class World:
    """Nodes, the relays among them, and the state of the network."""

    clock: Clock = field(default_factory=Clock)
    nodes: list[Node] = field(default_factory=list)
    dead: set[int] = field(default_factory=set)
    frozen: set[int] = field(default_factory=set)
    cuts: set[tuple[int, int]] = field(default_factory=set)
    relay_numbers: list[int] = field(default_factory=lambda: list(range(RELAYS)))
    died_at: dict[int, float] = field(default_factory=dict)
    limits: dict[str, TenantLimit] = field(default_factory=lambda: {"t": LIMIT})
    ran: list[tuple[float, float]] = field(default_factory=list)

    def __post_init__(self):
        self.nodes = [Node(self, number) for number in range(NODES)]

    def relays(self) -> list[str]:
        return [str(number) for number in self.relay_numbers]

    def passes(self, sender: int, receiver: int) -> bool:
        stopped = self.dead | self.frozen
        return (sender, receiver) not in self.cuts and not {sender, receiver} & stopped

    def advance(self, ticks: int) -> None:
        """Advance the clock; nodes vote, and failed relays are replaced after their lease."""
        for _ in range(ticks):
            self.clock.now += TICK_SECONDS
            for relay in list(self.relay_numbers):
                if (
                    relay in self.dead
                    and self.clock.now - self.died_at[relay] > RELAY_LEASE_SECONDS
                ):
                    self.relay_numbers.remove(relay)
                    self._elect_relay()
            for node in self.nodes:
                if node.number not in self.dead | self.frozen:
                    node.votes.tick()

    def _elect_relay(self) -> None:
        alive = [n for n in range(NODES) if n not in self.dead | set(self.relay_numbers)]
        if alive:
            self.relay_numbers.append(alive[0])

    def kill(self, number: int) -> None:
        self.dead.add(number)
        self.died_at[number] = self.clock.now

    def restart(self, number: int) -> None:
        self.dead.discard(number)
        self.frozen.discard(number)
        self.nodes[number] = Node(self, number)

    def kill_and_restart(self, numbers: Iterable[int]) -> None:
        for number in numbers:
            self.kill(number)
            self.restart(number)

    def partition(self, first: int, both_ways: bool) -> None:
        """Partition the first nodes, which include relays, from the others."""
        pairs = [(a, b) for a in range(first) for b in range(first, NODES)]
        self.cuts |= {*pairs, *((b, a) for a, b in pairs if both_ways)}

    def send(self, number: int, units: float) -> bool:
        """Send a request to a node; return whether it ran."""
        if number in self.dead | self.frozen:
            return False
        node = self.nodes[number]
        may_run = self._dispatched(node, units)
        for meter in node.votes.available_meters()[:MAX_METERS_QUERIED] if may_run is None else []:
            may_run = self._count(node, meter, units)
            if may_run is not None:
                break
        if may_run is None:
            may_run = node.charge(units)
        if may_run:
            self.ran.append((self.clock.now, units))
        return may_run

    def _dispatched(self, node: Node, units: float) -> bool | None:
        """Return whether the dispatcher admits a request, ``None`` if none responds."""
        try:
            return self._count(node, node.health.choose(self.relays()), units)
        except DispatcherUnavailable:
            return None

    def _count(self, node: Node, meter: str, units: float) -> bool | None:
        """Return whether a meter admits a request, ``None`` if it does not respond."""
        other = self.nodes[int(meter)]
        if other is node:
            return node.charge(units)
        allowed = other.charge(units) if self.passes(node.number, other.number) else None
        if allowed is None or not self.passes(other.number, node.number):
            node.health.record_timeout(meter)
            return None
        node.health.record_reply(meter, 0.001)
        return allowed

    def max_units_in_window(self) -> float:
        """Return the maximum number of units that ran within any window."""
        maximum, total, first = 0.0, 0.0, 0
        for ran_at, units in self.ran:
            total += units
            while self.ran[first][0] <= ran_at - WINDOW_SECONDS:
                total -= self.ran[first][1]
                first += 1
            maximum = max(maximum, total)
        return maximum


BOUND = LIMIT.rate * WINDOW_SECONDS + LIMIT.burst + TOLERANCE.excess(LIMIT)


def test_node_with_all_votes_grants_exactly_the_full_limit():
    world = World()
    world.advance(20)
    for _ in range(200):
        world.advance(1)
        for number in range(NODES):
            world.send(number, 1000.0)
    seconds = 200 * TICK_SECONDS
    ran = sum(units for _, units in world.ran)
    assert ran == pytest.approx(LIMIT.rate * seconds + LIMIT.burst, rel=0.02)
    assert world.max_units_in_window() <= LIMIT.rate * WINDOW_SECONDS + 1.06 * LIMIT.burst


@pytest.mark.parametrize("askers", [1, 3, NODES])
def test_requests_below_limit_are_accepted_for_any_number_of_asking_nodes(askers):
    world = World()
    world.advance(20)
    # 16,000 units per second, below the limit of 20,000, at some of the nodes only.
    for second in range(40):
        world.advance(2)
        assert world.send(second % askers, 8000.0)


def test_request_above_burst_passes_with_full_bucket_and_leaves_negative_level():
    world = World()
    world.advance(20)
    assert world.send(5, 50_000.0)
    assert not world.send(5, 1000.0)
    world.advance(8)
    assert world.send(5, 1000.0)


def test_tenant_is_served_within_vote_validity_after_meter_failure():
    world = World()
    world.advance(WINDOW_TICKS)
    world.kill(0)
    while world.nodes[1].authority.share() < 0.9:
        world.advance(1)
        # A standby meter admits requests from its reserve meanwhile.
        assert all(world.send(number, 500.0) for number in range(5, 15))
    assert world.clock.now - world.died_at[0] <= VOTE_VALIDITY_SECONDS + 2 * TICK_SECONDS


def test_pause_of_meter_moves_no_votes_and_refuses_no_requests():
    world = World()
    world.advance(WINDOW_TICKS)
    world.frozen.add(0)
    world.advance(2)
    assert all(world.send(number, 1000.0) for number in range(1, NODES))
    world.frozen.discard(0)
    world.advance(4)
    assert world.nodes[0].authority.share() == 1.0
    assert world.nodes[1].authority.share() == 0.0


def test_standby_reserves_together_stay_within_allowed_excess():
    world = World()
    world.advance(WINDOW_TICKS)
    world.frozen.add(0)
    admitted = 0.0
    for meter in (1, 2):
        while world.nodes[meter].charge(1000.0):
            admitted += 1000.0
    assert 0 < admitted <= RESERVE_SHARE * TOLERANCE.excess(LIMIT)


def test_stopping_meter_transfers_votes_immediately():
    world = World()
    world.advance(20)
    world.nodes[0].votes.release()
    assert world.nodes[0].authority.share() == 0.0
    world.relay_numbers.remove(0)
    assert world.nodes[1].authority.share() > 0.9


def test_moved_votes_are_counted_once_in_fleet_size():
    world = World()
    # Without a known relay, each node votes for itself.
    relays, world.relay_numbers[:] = list(world.relay_numbers), []
    world.advance(3)
    world.relay_numbers[:] = relays
    world.advance(20)
    assert world.nodes[0].authority.fleet_size == NODES
    assert world.nodes[0].authority.share() == 1.0


def test_resumed_meter_has_no_authority_left():
    world = World()
    world.advance(20)
    world.frozen.add(0)
    for _ in range(8):
        world.advance(1)
        for number in range(1, NODES):
            world.send(number, 1000.0)
    world.frozen.discard(0)
    assert world.nodes[0].authority.share() <= 1 / NODES + OVERAGE
    assert world.nodes[1].authority.share() > 0.9


def test_node_with_unknown_fleet_size_assumes_default_fleet_size():
    clock = Clock()
    authority = VotedAuthority("9", lambda: ["1", "2"], lambda: 0.0, clock)
    authority.record_vote("9")
    assert authority.share() == pytest.approx(1 / DEFAULT_FLEET_SIZE)


def test_restart_of_all_nodes_allows_no_second_burst():
    world = World()
    world.advance(20)
    for number in range(NODES):
        world.kill(number)
    world.advance(4)
    for number in range(NODES):
        world.restart(number)
    world.advance(4)
    admitted = sum(world.send(number, 2000.0) for number in range(NODES)) * 2000.0
    assert admitted <= LIMIT.rate * 4 * TICK_SECONDS + LIMIT.burst * 0.05


def single_node_limits(clock: Clock, limits: dict[str, TenantLimit]) -> TenantLimits:
    return TenantLimits(lambda: limits, SingleNodeAuthority(clock), clock)


def test_highest_priority_is_admitted_first_at_the_limit():
    clock = Clock()
    limits = single_node_limits(clock, {"t": LIMIT})
    limits.update()
    clock.now += 10.0
    limits.charge(request(20_000.0, priority=1))
    limits.charge(request(900.0, priority=0))
    with pytest.raises(TenantLimited):
        limits.charge(request(900.0, priority=1))


def test_refused_callers_receive_staggered_retry_times():
    clock = Clock()
    limits = single_node_limits(clock, {"t": LIMIT})
    limits.update()
    clock.now += 10.0
    limits.charge(request(20_000.0))
    retry_seconds = []
    for _ in range(5):
        with pytest.raises(TenantLimited) as caught:
            limits.charge(request(10_000.0))
        retry_seconds.append(caught.value.retry_seconds)
    assert retry_seconds == pytest.approx([0.45, 0.95, 1.45, 1.95, 2.45])


def test_buckets_start_empty_when_configuration_arrives_after_start():
    # Failed with a full burst: the limits of the first configuration passed as added later.
    clock = Clock()
    configured = None
    limits = TenantLimits(lambda: configured, SingleNodeAuthority(clock), clock)
    assert limits.charge(request(1000.0)) is None
    limits.trim()
    configured = {"t": LIMIT}
    limits.charge(request(URGENT_OVERDRAFT * LIMIT.burst))
    with pytest.raises(TenantLimited):
        limits.charge(request(1000.0))


def test_lowered_limit_applies_at_once_and_new_tenant_starts_with_full_burst():
    clock = Clock()
    configured = {"t": LIMIT}
    limits = TenantLimits(lambda: configured, SingleNodeAuthority(clock), clock)
    limits.update()
    clock.now += 10.0
    configured = {"t": LIMIT._replace(rate=100.0, burst=1000.0), "new": LIMIT}
    limits.charge(request(1000.0))
    with pytest.raises(TenantLimited):
        limits.charge(request(1000.0))
    limits.charge(request(20_000.0, "new"))
    with pytest.raises(TenantLimited):
        limits.charge(request(2000.0, "new"))
    configured = {}
    assert limits.charge(request(1e9)) is None


def play(history, seed: int, ticks_before: int) -> World:
    """Play a fault history on a running fleet while a tenant sends far more than its limit."""
    source = random.Random(seed)
    world = World()
    world.advance(ticks_before)
    for (kind, number), ticks in history:
        apply_fault(world, kind, number)
        flood(world, ticks, source)
    return world


def flood(world: World, ticks: int, source: random.Random) -> None:
    for _ in range(ticks):
        world.advance(1)
        for _ in range(40):
            world.send(source.randrange(NODES), source.choice([900.0, LARGEST_REQUEST]))


@settings(max_examples=HISTORIES)
@given(history=HISTORY, seed=st.integers(0, 2**16))
def test_flooding_tenant_never_exceeds_bound(history, seed):
    assert play(history, seed, WINDOW_TICKS).max_units_in_window() <= BOUND


CUT_THEN_TWO_RESTARTS = [
    (("heal", 0), 18),
    (("kill", 9), 3),
    (("cut", 1), 7),
    (("kill all", 0), 11),
    (("kill all", 0), 7),
]
FEWEST_EVENTS = [(("cut", 1), 7), (("kill all", 0), 11), (("kill all", 0), 7)]
RESTARTS_OF_CUT_METER = [
    (("cut", 1), 1),
    (("kill", 0), 1),
    (("kill", 0), 1),
    (("kill all", 0), 6),
    (("kill", 0), 1),
    (("kill all", 0), 1),
    (("restart", 1), 10),
]


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("history", [CUT_THEN_TWO_RESTARTS, FEWEST_EVENTS, RESTARTS_OF_CUT_METER])
def test_restarts_of_all_nodes_during_cut_refill_no_reserve(history, seed):
    # Failed with up to 340,200 units for 308,000: each start of a standby meter granted its whole
    # reserve again.
    assert play(history, seed, 20).max_units_in_window() <= BOUND


@pytest.mark.parametrize("seed", range(4))
def test_meter_restarted_behind_cut_does_not_claim_the_whole_limit(seed):
    # Failed with a share of 1.0: the meter took the nodes that it could reach for all nodes.
    world = play([(("cut", 1), 8), (("kill all", 0), 8)], seed, 20)
    assert world.nodes[0].authority.share() <= 1 / NODES
    assert sum(node.authority.share() for node in world.nodes) <= 1.0 + OVERAGE


def test_restarted_meter_learns_fleet_size_from_other_meters():
    # Failed with a share of 1.0 for 7 votes: the preferred meter accepted no number from others.
    world = World()
    world.advance(WINDOW_TICKS)
    world.partition(7, both_ways=True)
    world.advance(8)
    world.kill_and_restart([0])
    world.advance(8)
    assert world.nodes[0].authority.fleet_size == NODES
    assert sum(node.authority.share() for node in world.nodes) <= 1.0 + OVERAGE


def test_relay_that_stops_right_after_restart_of_all_nodes_delays_no_count():
    # Failed while the votes of all relays were needed: limits stood still for the relay's lease.
    world = World()
    world.advance(20)
    world.kill_and_restart(range(NODES))
    world.advance(2)
    world.kill(2)
    world.advance(4)
    assert world.nodes[0].authority.share() == 1.0


def test_incomplete_count_after_a_cut_is_not_reported_to_other_nodes():
    # Failed with the number of the other side, and with other numbers as the meter counted on.
    world = World()
    world.advance(20)
    world.partition(10, both_ways=True)
    world.kill_and_restart(range(NODES))
    world.advance(12)
    world.cuts.clear()
    for _ in range(8):
        world.advance(1)
        assert {node.authority.fleet_size for node in world.nodes[10:]} <= {0, NODES}
    assert {node.authority.fleet_size for node in world.nodes} == {NODES}


def test_vote_counts_of_other_nodes_are_no_fleet_size():
    # Failed: a single vote of a node that votes for itself passed as the size of the fleet.
    clock = Clock()
    authority = VotedAuthority("2", lambda: ["1", "2", "3"], lambda: 0.0, clock)
    authority.record_vote("2")
    authority.record_peer_votes("9", 1, VOTE_VALIDITY_SECONDS)
    assert authority.fleet_size == 0
    assert authority.share() == pytest.approx(1 / DEFAULT_FLEET_SIZE)


def test_restarted_voter_holds_back_its_vote_while_an_earlier_one_may_be_valid():
    # Failed: after a restart, a node's vote was valid at two meters at once.
    world = World()
    world.advance(20)
    voter = NODES - 1
    world.cuts |= {(voter, 0), (0, voter)}
    world.advance(8)
    world.cuts.clear()
    world.kill_and_restart([voter])
    holders = set()
    for _ in range(8):
        world.advance(1)
        holding = {n.number for n in world.nodes if str(voter) in n.authority.voters()}
        assert len(holding) <= 1
        holders |= holding
    assert holders == {0, 1}


def test_standby_meter_has_no_reserve_in_its_first_window():
    # Failed: each start and each new standby meter had a whole reserve at once.
    world = World()
    world.advance(WINDOW_TICKS)
    world.kill_and_restart([1])
    world.frozen.add(0)
    world.advance(2)
    assert not world.nodes[1].charge(900.0)
    world.frozen.discard(0)
    world.advance(WINDOW_TICKS)
    world.frozen.add(0)
    assert world.nodes[1].charge(900.0)


@pytest.mark.parametrize("units", [900.0, LARGEST_REQUEST])
def test_limited_tenant_is_served_again_within_two_seconds_of_restart_of_all_nodes(units):
    world = World()
    world.advance(WINDOW_TICKS)
    world.kill_and_restart(range(NODES))
    source = random.Random(1)
    for ticks, expected_rate in [(8, 0.0), (8, 0.95 * LIMIT.rate), (80, 0.95 * LIMIT.rate)]:
        world.ran.clear()
        for _ in range(ticks):
            world.advance(1)
            for _ in range(40):
                world.send(source.randrange(NODES), units)
        ran = sum(ran_units for _, ran_units in world.ran)
        # The largest request waits until the bucket holds it, so one may fall into the next period.
        assert ran + units >= expected_rate * ticks * TICK_SECONDS


def test_steady_tenant_is_not_refused_two_seconds_after_restart_of_all_nodes():
    world = World()
    world.advance(WINDOW_TICKS)
    world.kill_and_restart(range(NODES))
    world.advance(8)
    per_tick = 0.95 * LIMIT.rate * TICK_SECONDS
    for tick in range(80):
        world.advance(1)
        assert world.send(tick % NODES, per_tick)
