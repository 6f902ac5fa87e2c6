"""Tenants' limits, counted by one node for all. Pure: clock and authority are injected.

The node that dispatches counts what it grants, so a limit costs no message of its own. Each
limit is a token bucket that fills by the node's authority over the limits: a node with half of
the votes fills it half as fast, and a node that begins starts with an empty one, so a restart
or a takeover gives no second burst.
"""

from collections.abc import Callable
from typing import NamedTuple

from wheelslip.deployment import TenantLimit
from wheelslip.routing.limit_authority import VOTE_SECONDS, Authority
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
    """What a request took of a tenant's limit."""

    tenant: str
    units: float


class TenantLimits:
    """The buckets of all tenants at one node.

    :param limits: returns the limits in force by name of tenant.
    :ivar refused: requests refused since the start.
    """

    def __init__(
        self,
        limits: Callable[[], dict[str, TenantLimit]],
        authority: Authority,
        clock: Callable[[], float],
    ):
        self._limits_in_force = limits
        self._authority = authority
        self._clock = clock
        self._limits: dict[str, TenantLimit] | None = None
        self._buckets: dict[str, TokenBucket] = {}
        self._largest: dict[str, float] = {}
        self._most_urgent: dict[str, int] = {}
        self._turn_at: dict[str, float] = {}
        self.refused = 0

    def take(self, query: PlacementQuery) -> Charge | None:
        """Take what a request counts; ``None`` when its tenant has no limit.

        :raises TenantLimited: when the tenant is over its limit.
        :raises NoAuthority: when another node has to be asked.
        """
        self.update()
        limit = self._limits.get(query.tenant)
        if limit is None or not query.limit_units:
            return None
        share = self._authority.share()
        if share <= 0.0:
            raise NoAuthority
        units = query.limit_units
        self._largest[query.tenant] = max(units, self._largest.get(query.tenant, 0.0))
        bucket = self._bucket(query.tenant, limit, share)
        overdraft = URGENT_OVERDRAFT * limit.burst if self._is_most_urgent(query) else 0.0
        wait = bucket.take(units, self._authority.seconds(), overdraft)
        if wait > 0.0:
            self.refused += 1
            raise TenantLimited(query.tenant, self._turn(query, limit, share, wait))
        return Charge(query.tenant, units)

    def give_back(self, charge: Charge | None) -> None:
        """A request that was counted was proven not to run."""
        if charge is not None and charge.tenant in self._buckets:
            self._buckets[charge.tenant].give_back(charge.units)

    def update(self) -> None:
        """Take over the limits in force, if they have changed.

        The buckets of the first configuration begin empty: this node cannot know what was
        given out before. A tenant that comes later had nothing before, so its bucket is full.
        """
        limits = self._limits_in_force()
        if limits is self._limits:
            return
        share, now = self._authority.share(), self._authority.seconds()
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
        share, now = self._authority.share(), self._authority.seconds()
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
            return VOTE_SECONDS
        now = self._clock()
        turn_at = max(now + wait / share, self._turn_at.get(query.tenant, now))
        turn_at = min(turn_at, now + MOST_RETRY_SECONDS)
        self._turn_at[query.tenant] = turn_at + query.limit_units / (limit.rate * share)
        return max(LEAST_RETRY_SECONDS, turn_at - now)
