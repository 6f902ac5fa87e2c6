"""Rate limits of tenants, enforced by one node for all nodes.

The dispatching node charges the requests that it grants, so that limits need no messages of their
own. Each limit is a token bucket that fills in proportion to the node's authority
(:mod:`wheelslip.routing.limits.limit_authority`): a node with half of the votes fills it at half the rate.
Buckets start empty, so that neither a restart nor a change of the meter allows a second burst.

While the meter is unreachable, a standby meter admits requests from a reserve, which is refilled
slowly and holds part of the amount by which a limit may be exceeded. A short pause of the meter
therefore causes no refusals below the limits. A node has a reserve only after it has been a standby
meter for a whole window: what was taken from the reserve before that is not known to it.

The module does no I/O; clock and authority are injected.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from wheelslip.deployment import TenantLimit
from wheelslip.routing.limits.limit_authority import VOTE_VALIDITY_SECONDS, Authority
from wheelslip.routing.limits.token_bucket import TokenBucket
from wheelslip.routing.placement import PlacementQuery

URGENT_OVERDRAFT = 0.05
"""Fraction of the burst by which requests of a tenant's highest priority may overdraw the bucket,
so that they are admitted first at the limit."""

MIN_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 10.0
"""Range of the retry time that a refused caller receives. Callers wait at most a third of the time that
they have left; a later time is told all the same, and not waited for."""

MIN_METER_SHARE = 0.5
"""Smallest share of a regular meter. With less, the retry time of callers is the validity of a
vote, after which votes have moved to another meter."""

RESERVE_SHARE = 0.5
"""Fraction of the allowed excess of a limit that the reserves of all standby meters hold."""

RESERVE_REFILL_WINDOWS = 4.0
"""Windows in which an empty reserve fills up, so that one window contains it about once."""


class LimitTolerance(NamedTuple):
    """The amount by which a tenant may exceed its limit within a window.

    :ivar window_seconds: length of the window.
    :ivar overage: allowed excess as a fraction of what the limit permits in a window.
    :ivar slack: additional allowed excess, in units of the limit.
    """

    window_seconds: float = 8.0
    overage: float = 0.0
    slack: float = 0.0

    def excess(self, limit: TenantLimit) -> float:
        """Return the allowed excess in units of the limit."""
        return self.overage * (limit.rate * self.window_seconds + limit.burst) + self.slack


class TenantLimited(Exception):
    """Raised when a tenant exceeds its rate limit.

    :ivar retry_seconds: time after which the caller should retry.
    """

    def __init__(self, tenant: str, seconds: float):
        super().__init__(f"tenant {tenant} exceeds its rate limit; retry after {seconds:.2f} s")
        self.retry_seconds = seconds


class NoAuthority(Exception):
    """Raised when this node may not grant any part of a limit; another node may."""


class Charge(NamedTuple):
    """Units charged to a tenant's limit, refunded if the request does not run."""

    tenant: str
    units: float


class TenantLimits:
    """The token buckets of all tenants at one node.

    :param limits: returns the configured limits by tenant name, ``None`` until a configuration was
        received.
    :param authority: this node's share of every limit.
    :param clock: steady clock in seconds.
    :param tolerance: returns the amount by which limits may be exceeded.
    :ivar refused: number of requests refused since the node started.
    """

    def __init__(
        self,
        limits: Callable[[], dict[str, TenantLimit] | None],
        authority: Authority,
        clock: Callable[[], float],
        tolerance: Callable[[], LimitTolerance] = LimitTolerance,
    ):
        self._configured_limits = limits
        self._authority = authority
        self._clock = clock
        self._tolerance = tolerance
        self._reserves: dict[str, TokenBucket] = {}
        self._limits: dict[str, TenantLimit] | None = None
        self._buckets: dict[str, TokenBucket] = {}
        self._largest_request: dict[str, float] = {}
        self._highest_priority: dict[str, int] = {}
        self._next_retry_at: dict[str, float] = {}
        self.refused = 0

    def charge(self, query: PlacementQuery) -> Charge | None:
        """Charge a request to its tenant's limit.

        :return: the charge, ``None`` if the tenant has no limit.
        :raises TenantLimited: if the tenant exceeds its limit.
        :raises NoAuthority: if another node must count the request.
        """
        self.update()
        limit = self._limits.get(query.tenant) if self._limits is not None else None
        if limit is None or not query.limit_units:
            return None
        share = self._authority.share()
        wait = self._charge_bucket(query, limit, share) if share > 0.0 else math.inf
        if wait <= 0.0:
            return Charge(query.tenant, query.limit_units)
        if self._charge_reserve(query, limit):
            return Charge(query.tenant, 0.0)
        if wait == math.inf:
            raise NoAuthority
        self.refused += 1
        raise TenantLimited(query.tenant, self._retry_seconds(query, limit, share, wait))

    def check(self, query: PlacementQuery) -> None:
        """Check whether a request could be charged to its tenant's limit, without charging it.

        :raises TenantLimited: if the tenant exceeds its limit.
        """
        self.update()
        limit = self._limits.get(query.tenant)
        share = self._authority.share()
        if limit is None or not query.limit_units or share <= 0.0:
            return
        wait = self._charge_bucket(query, limit, share)
        if wait <= 0.0:
            self._buckets[query.tenant].refund(query.limit_units)
        elif self._authority.standby_share <= 0.0:
            self.refused += 1
            raise TenantLimited(query.tenant, self._retry_seconds(query, limit, share, wait))

    def _charge_bucket(self, query: PlacementQuery, limit: TenantLimit, share: float) -> float:
        """Charge a request to the tenant's bucket.

        :return: 0 if the request is admitted, otherwise the time to wait, in seconds of full
            authority; a node with a smaller share waits longer.
        """
        units = query.limit_units
        self._largest_request[query.tenant] = max(
            units, self._largest_request.get(query.tenant, 0.0)
        )
        bucket = self._bucket(query.tenant, limit, share)
        overdraft = URGENT_OVERDRAFT * limit.burst if self._has_highest_priority(query) else 0.0
        return bucket.acquire(units, self._authority.weighted_seconds(), overdraft)

    def _charge_reserve(self, query: PlacementQuery, limit: TenantLimit) -> bool:
        """Charge a request to the reserve of a standby meter; return whether it is admitted."""
        standby_share = self._authority.standby_share
        if standby_share <= 0.0:
            return False
        tolerance, now = self._tolerance(), self._clock()
        if self._authority.standby_seconds < tolerance.window_seconds:
            # A reserve of an earlier period as standby meter must not outlast that period.
            self._reserves.clear()
            return False
        capacity = RESERVE_SHARE * standby_share * tolerance.excess(limit)
        reserve = self._reserves.get(query.tenant)
        if reserve is None:
            reserve = self._reserves[query.tenant] = TokenBucket(0.0, capacity, capacity, now)
        reserve.capacity = capacity
        reserve.rate = capacity / (RESERVE_REFILL_WINDOWS * tolerance.window_seconds)
        reserve.refill(now)
        if reserve.level < query.limit_units:
            return False
        reserve.level -= query.limit_units
        return True

    def refund(self, charge: Charge | None) -> None:
        """Refund the charge of a request that is known not to have run."""
        if charge is not None and charge.tenant in self._buckets:
            self._buckets[charge.tenant].refund(charge.units)

    def update(self) -> None:
        """Apply the configured limits if they have changed.

        Buckets of the first configuration start empty, since it is unknown what was
        granted before this node started. The bucket of a tenant added later starts full.
        """
        limits = self._configured_limits()
        if limits is None or limits is self._limits:
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
        """Cap the buckets at this node's current share, which may have fallen."""
        self.update()
        share, now = self._authority.share(), self._authority.weighted_seconds()
        for tenant, limit in (self._limits or {}).items():
            self._bucket(tenant, limit, share).refill(now)

    def _bucket(self, tenant: str, limit: TenantLimit, share: float) -> TokenBucket:
        """Return a tenant's bucket, with the capacity set to this node's share of the burst.

        The capacity is at least that of the largest request seen, up to the burst, so that a node
        with a small share can still admit such a request.
        """
        bucket = self._buckets[tenant]
        min_capacity = min(limit.burst, self._largest_request.get(tenant, 0.0))
        bucket.capacity = max(limit.burst * share, min_capacity)
        return bucket

    def _has_highest_priority(self, query: PlacementQuery) -> bool:
        """Return whether no more urgent request of the tenant has been seen."""
        highest = min(query.priority, self._highest_priority.get(query.tenant, query.priority))
        self._highest_priority[query.tenant] = highest
        return query.priority == highest

    def _retry_seconds(
        self, query: PlacementQuery, limit: TenantLimit, share: float, wait: float
    ) -> float:
        """Return the retry time of a refused caller, after those of callers refused earlier."""
        if share < MIN_METER_SHARE:
            return VOTE_VALIDITY_SECONDS
        now = self._clock()
        retry_at = max(now + wait / share, self._next_retry_at.get(query.tenant, now))
        retry_at = min(retry_at, now + MAX_RETRY_SECONDS)
        self._next_retry_at[query.tenant] = retry_at + query.limit_units / (limit.rate * share)
        return max(MIN_RETRY_SECONDS, retry_at - now)
