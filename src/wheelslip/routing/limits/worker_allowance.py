"""This node's share of the rate limits that workers announce.

A worker's limit applies to all nodes together, like a tenant's limit, and is divided in the same
way: the node that holds the votes of the others (:mod:`wheelslip.routing.limits.limit_authority`) counts
the requests that it grants against a token bucket for each limited worker. A bucket fills in
proportion to the node's authority and starts empty, so that neither a change of the meter nor a
restart allows a second burst. A node without authority sends nothing to limited workers.

The module does no I/O; clock and authority are injected.
"""

from collections.abc import Iterable
from dataclasses import replace

from wheelslip.deployment import Incarnation
from wheelslip.routing.limits.limit_authority import VOTE_VALIDITY_SECONDS, Authority
from wheelslip.routing.limits.named_limits import WorkerRateLimits
from wheelslip.routing.limits.tenant_limits import MIN_METER_SHARE
from wheelslip.routing.limits.token_bucket import TokenBucket
from wheelslip.routing.overload import Overloaded, RetrySchedule
from wheelslip.routing.placement import Placement, PlacementQuery
from wheelslip.routing.worker_choice import WorkerPlacement

BURST_SECONDS = 0.25
"""A bucket holds one request plus the requests that its limit allows in this time, so that uneven
demand can use the full rate."""

PROBE_RATE = 0.2
"""Minimum rate at which the fleet sends requests to a worker, in requests per second. Only
responses show that a limit has been lifted."""


class WorkerAllowance:
    """The token buckets of limited workers at one node.

    :param limits: the limits that workers announce.
    :param authority: this node's share of every limit.
    :ivar granted: requests charged since the node started.
    :ivar refunded: charged requests that were never sent.
    :ivar refused: requests refused because all workers were at their limits.
    """

    def __init__(self, limits: WorkerRateLimits, authority: Authority):
        self.limits = limits
        self._authority = authority
        self._buckets: dict[Incarnation, TokenBucket] = {}
        self.granted = 0
        self.refunded = 0
        self.refused = 0

    def exhausted(self, incarnations: Iterable[Incarnation]) -> frozenset[Incarnation]:
        """Return the subset of workers to which this node may send no request now."""
        limited = self.limits.limited(incarnations)
        if not limited:
            return frozenset()
        # Creates the buckets, which then fill as soon as this node has authority.
        empty = frozenset(
            incarnation for incarnation in limited if self._bucket(incarnation).level < 1.0
        )
        if self._authority.share() <= 0.0:
            return limited
        return empty

    def charge(self, incarnation: Incarnation) -> bool:
        """Charge a request to the limit of a worker that is not exhausted.

        :return: whether the worker has a limit.
        """
        if self.limits.rate(incarnation) is None:
            return False
        self._bucket(incarnation).level -= 1.0
        self.granted += 1
        return True

    def refund(self, incarnation: Incarnation) -> None:
        """Refund a charged request that will not be sent."""
        self.refunded += 1
        if self.limits.rate(incarnation) is not None:
            self._bucket(incarnation).refund(1.0)

    def wait_seconds(self, incarnations: Iterable[Incarnation]) -> float | None:
        """Return the time until the first of some exhausted workers may receive a request.

        :return: seconds, ``None`` if this node has no authority.
        """
        share = self._authority.share()
        if share <= 0.0:
            return None
        buckets = [self._bucket(incarnation) for incarnation in incarnations]
        wait = min((1.0 - bucket.level) / bucket.rate for bucket in buckets)
        return wait / share if share >= MIN_METER_SHARE else VOTE_VALIDITY_SECONDS + wait

    def rate(self, incarnations: Iterable[Incarnation]) -> float:
        """Return the combined rate at which callers of some workers should return.

        A node with a small share gets a regular one, or loses it, within the validity of a vote. By
        the small share, all callers would be told the maximum time and return together.

        :return: requests per second.
        """
        share = self._authority.share()
        rate = sum(self._bucket(incarnation).rate for incarnation in incarnations)
        return rate * share if share >= MIN_METER_SHARE else rate

    def _trim(self) -> None:
        """Delete the buckets of workers whose limit has been lifted."""
        lifted = [key for key in self._buckets if self.limits.rate(key) is None]
        for incarnation in lifted:
            del self._buckets[incarnation]

    def _bucket(self, incarnation: Incarnation) -> TokenBucket:
        """Return the refilled bucket of a limited worker."""
        rate = max(PROBE_RATE, self.limits.rate(incarnation))
        now = self._authority.weighted_seconds()
        bucket = self._buckets.get(incarnation)
        if bucket is None:
            self._trim()
            bucket = self._buckets[incarnation] = TokenBucket(rate, 0.0, 0.0, now)
        bucket.refill(now)
        bucket.rate = rate
        bucket.capacity = 1.0 + rate * BURST_SECONDS
        bucket.level = min(bucket.level, bucket.capacity)
        return bucket


class RateLimitedChoice:
    """Chooses workers within their rate limits.

    :param placement: chooses among the workers that are not exhausted.
    :param allowance: this node's share of the limits.
    """

    def __init__(self, placement: WorkerPlacement, allowance: WorkerAllowance):
        self._placement = placement
        self._allowance = allowance
        self._retry_schedules: dict[str, RetrySchedule] = {}

    def choose(self, query: PlacementQuery, now: float) -> Placement | None:
        """Return the best worker for a request, ``None`` if none is available.

        :raises Overloaded: if no worker can begin the request in time, or all workers are at their
            rate limits.
        """
        exhausted = self._allowance.exhausted(self._limited(query))
        if not exhausted:
            chosen = self._placement.choose(query)
        else:
            chosen = self._placement.choose(query._replace(excluded=query.excluded | exhausted))
            if chosen is None:
                self._raise_overloaded(query, exhausted, now)
        if chosen is not None and self._allowance.charge(chosen.worker.info.id):
            return replace(chosen, rate_limit_charged=True)
        return chosen

    def _limited(self, query: PlacementQuery) -> list[Incarnation]:
        """Return the limited workers that are eligible for a request."""
        limits, placement = self._allowance.limits, self._placement
        return [
            incarnation
            for incarnation in limits.limited_incarnations()
            if incarnation not in query.excluded and placement.serves(incarnation, query.service)
        ]

    def _raise_overloaded(
        self, query: PlacementQuery, exhausted: frozenset[Incarnation], now: float
    ) -> None:
        """Refuse a request for which only exhausted workers remain.

        Callers receive staggered retry times at the combined rate of the workers. A node without
        authority refuses nothing, since another node may hold the authority.

        :raises Overloaded: with the retry time.
        """
        wait = self._allowance.wait_seconds(exhausted)
        if wait is None:
            return
        if query.must_start_soon:
            # The queue sets the retry times of its requests and tries them repeatedly.
            raise Overloaded(wait)
        schedule = self._retry_schedules.setdefault(query.service, RetrySchedule())
        spacing = 1.0 / self._allowance.rate(exhausted)
        self._allowance.refused += 1
        raise Overloaded(schedule.retry_seconds(now, wait, spacing, query.patience_seconds))
