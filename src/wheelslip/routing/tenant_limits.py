"""Tenants' limits, counted by one node for all. Pure: clock and authority are injected.

The node that dispatches counts what it grants, so a limit costs no message of its own. Each
limit is a token bucket that fills by the node's authority over the limits: a node with half of
the votes fills it half as fast, and a node that begins starts with an empty one, so a restart
or a takeover gives no second burst.

While the meter does not answer, a standby meter lets requests pass from a reserve: what a limit
may be exceeded by, once. So a pause of the meter refuses nothing below the limits.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from wheelslip.deployment import TenantLimit
from wheelslip.routing.limit_authority import VOTE_VALIDITY_SECONDS, Authority
from wheelslip.routing.limits import TokenBucket
from wheelslip.routing.placement import PlacementQuery

URGENT_OVERDRAFT = 0.05
"""Part of a burst by which the most urgent kind of request of a tenant may overdraw its
bucket, so that it goes first while the tenant is at its limit."""

LEAST_RETRY_SECONDS = 0.05
MOST_RETRY_SECONDS = 10.0
"""Range of what a refused caller is told. Callers wait a third of their time at most: a turn
that is later than that is told, and not waited for."""

PARTIAL_SHARE = 0.5
"""With less than this share a node is no tenant's regular meter: another will be within the
validity of a vote."""


RESERVE_SHARE = 0.5
"""Part of what a limit may be exceeded by in a window that the standby meters hold together."""

RESERVE_WINDOWS = 4.0
"""A reserve that was used fills again in so many windows, so that one window sees it once."""


class LimitTolerance(NamedTuple):
    """By how much more than its limit a tenant may have run within a window.

    :ivar window_seconds: the window over which that is counted.
    :ivar overage: as a part of what the limit allows in a window.
    :ivar slack: and on top of that, in units.
    """

    window_seconds: float = 8.0
    overage: float = 0.0
    slack: float = 0.0

    def excess(self, limit: TenantLimit) -> float:
        """Return how many units that are."""
        return self.overage * (limit.rate * self.window_seconds + limit.burst) + self.slack


class TenantLimited(Exception):
    """A tenant is over its limit.

    :ivar retry_seconds: after how long its turn comes.
    """

    def __init__(self, tenant: str, seconds: float):
        super().__init__(f"tenant {tenant} is over its limit; its turn comes in {seconds:.2f} s")
        self.retry_seconds = seconds


class NoAuthority(Exception):
    """This node may not give out anything of the limits; another may."""


class Charge(NamedTuple):
    """What a request took of a tenant's limit, and gives back if it does not run."""

    tenant: str
    units: float


class TenantLimits:
    """The buckets of all tenants at one node.

    :param limits: returns the limits in force by name of tenant.
    :param tolerance: returns by how much they may be exceeded.
    :ivar refused: requests refused since the start.
    """

    def __init__(
        self,
        limits: Callable[[], dict[str, TenantLimit]],
        authority: Authority,
        clock: Callable[[], float],
        tolerance: Callable[[], LimitTolerance] = LimitTolerance,
    ):
        self._limits_in_force = limits
        self._authority = authority
        self._clock = clock
        self._tolerance = tolerance
        self._reserves: dict[str, TokenBucket] = {}
        self._limits: dict[str, TenantLimit] | None = None
        self._buckets: dict[str, TokenBucket] = {}
        self._largest: dict[str, float] = {}
        self._most_urgent: dict[str, int] = {}
        self._turn_at: dict[str, float] = {}
        self.refused = 0

    def charge(self, query: PlacementQuery) -> Charge | None:
        """Take what a request counts; ``None`` when its tenant has no limit.

        :raises TenantLimited: when the tenant is over its limit.
        :raises NoAuthority: when another node has to be asked.
        """
        self.update()
        limit = self._limits.get(query.tenant)
        if limit is None or not query.limit_units:
            return None
        share = self._authority.share()
        wait = self._take_share(query, limit, share) if share > 0.0 else math.inf
        if wait <= 0.0:
            return Charge(query.tenant, query.limit_units)
        if self._take_reserve(query, limit):
            return Charge(query.tenant, 0.0)
        if wait == math.inf:
            raise NoAuthority
        self.refused += 1
        raise TenantLimited(query.tenant, self._turn(query, limit, share, wait))

    def _take_share(self, query: PlacementQuery, limit: TenantLimit, share: float) -> float:
        """Take from this node's share of the limit; return 0, or the seconds to wait for it.

        They are seconds of the whole authority: with a part of it, it takes longer.
        """
        units = query.limit_units
        self._largest[query.tenant] = max(units, self._largest.get(query.tenant, 0.0))
        bucket = self._bucket(query.tenant, limit, share)
        overdraft = URGENT_OVERDRAFT * limit.burst if self._is_most_urgent(query) else 0.0
        return bucket.acquire(units, self._authority.weighted_seconds(), overdraft)

    def _take_reserve(self, query: PlacementQuery, limit: TenantLimit) -> bool:
        """Take from the reserve of a standby meter."""
        standby_share = self._authority.standby_share
        if standby_share <= 0.0:
            return False
        tolerance, now = self._tolerance(), self._clock()
        room = RESERVE_SHARE * standby_share * tolerance.excess(limit)
        reserve = self._reserves.get(query.tenant)
        if reserve is None:
            reserve = self._reserves[query.tenant] = TokenBucket(0.0, room, room, now)
        reserve.capacity = room
        reserve.rate = room / (RESERVE_WINDOWS * tolerance.window_seconds)
        reserve.refill(now)
        if reserve.level < query.limit_units:
            return False
        reserve.level -= query.limit_units
        return True

    def refund(self, charge: Charge | None) -> None:
        """A request that was counted was proven not to run."""
        if charge is not None and charge.tenant in self._buckets:
            self._buckets[charge.tenant].refund(charge.units)

    def update(self) -> None:
        """Take over the limits in force, if they have changed.

        The buckets of the first configuration begin empty: this node cannot know what was
        given out before. A tenant that comes later had nothing before, so its bucket is full.
        """
        limits = self._limits_in_force()
        if limits is self._limits:
            return
        share, now = self._authority.share(), self._authority.weighted_seconds()
        for tenant, limit in limits.items():
            bucket = self._buckets.get(tenant)
            if bucket is None:
                level = 0.0 if self._limits is None else limit.burst * share
                self._buckets[tenant] = TokenBucket(limit.rate, limit.burst, level, now)
                continue
            bucket.refill(now)
            bucket.rate = limit.rate
        self._limits = limits

    def trim(self) -> None:
        """Give up what the buckets hold beyond this node's share, which may have fallen."""
        self.update()
        share, now = self._authority.share(), self._authority.weighted_seconds()
        for tenant, limit in self._limits.items():
            self._bucket(tenant, limit, share).refill(now)

    def _bucket(self, tenant: str, limit: TenantLimit, share: float) -> TokenBucket:
        """Return a tenant's bucket, as large as this node's share of the limit.

        It always has room for the largest request, which otherwise would never pass.
        """
        bucket = self._buckets[tenant]
        room = min(limit.burst, self._largest.get(tenant, 0.0))
        bucket.capacity = max(limit.burst * share, room)
        return bucket

    def _is_most_urgent(self, query: PlacementQuery) -> bool:
        most = min(query.priority, self._most_urgent.get(query.tenant, query.priority))
        self._most_urgent[query.tenant] = most
        return query.priority == most

    def _turn(self, query: PlacementQuery, limit: TenantLimit, share: float, wait: float) -> float:
        """Return when a refused caller's turn comes: after those that were refused before it."""
        if share < PARTIAL_SHARE:
            return VOTE_VALIDITY_SECONDS
        now = self._clock()
        turn_at = max(now + wait / share, self._turn_at.get(query.tenant, now))
        turn_at = min(turn_at, now + MOST_RETRY_SECONDS)
        self._turn_at[query.tenant] = turn_at + query.limit_units / (limit.rate * share)
        return max(LEAST_RETRY_SECONDS, turn_at - now)
