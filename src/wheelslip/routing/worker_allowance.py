"""How much of the rate limits that workers name this node may use. Pure: clock and authority are injected.

A limit binds all nodes together, as a tenant's does, and is shared out in the same way: the node
with the votes of the others counts what it grants against a token bucket for each limited worker,
which fills by its authority (:mod:`wheelslip.routing.limit_authority`). A bucket begins empty, so
neither a takeover nor a restart gives a second burst, and a node without authority uses no limited
worker at all.
"""

from collections.abc import Iterable
from dataclasses import replace

from wheelslip.deployment import Incarnation
from wheelslip.routing.limit_authority import Authority
from wheelslip.routing.limits import TokenBucket
from wheelslip.routing.named_limits import WorkerRateLimits
from wheelslip.routing.overload import Overloaded, Turns
from wheelslip.routing.placement import Placement, PlacementQuery
from wheelslip.routing.worker_choice import WorkerPlacement

BURST_SECONDS = 0.25
"""A bucket holds one request and what its limit allows in this time, in seconds. Demand comes
unevenly, and what is not taken when the bucket is full is lost."""

PROBE_RATE = 0.2
"""Requests a second that a worker gets from the whole fleet however low its limit is: only their
answers show that the limit has ended."""

LEAST_RETRY_SECONDS = 0.05


class WorkerAllowance:
    """The token buckets of limited workers at one node.

    :param limits: what the workers name.
    :param authority: this node's part of every limit.
    :ivar granted: requests counted since the start.
    :ivar refunded: those of them that were never sent.
    :ivar refused: requests refused since the start because all workers were at their limits.
    """

    def __init__(self, limits: WorkerRateLimits, authority: Authority):
        self.limits = limits
        self._authority = authority
        self._buckets: dict[Incarnation, TokenBucket] = {}
        self.granted = 0
        self.refunded = 0
        self.refused = 0

    def exhausted(self, starts: Iterable[Incarnation]) -> frozenset[Incarnation]:
        """Return those of some workers to which this node may send nothing now."""
        limited = self.limits.limited(starts)
        if not limited:
            return frozenset()
        if self._authority.share() <= 0.0:
            return limited
        return frozenset(one for one in limited if self._bucket(one).level < 1.0)

    def charge(self, start: Incarnation) -> bool:
        """Count a request to a worker that is not exhausted; return whether it has a limit."""
        if self.limits.rate(start) is None:
            return False
        self._bucket(start).level -= 1.0
        self.granted += 1
        return True

    def refund(self, start: Incarnation) -> None:
        """A request that was counted will never be sent."""
        self.refunded += 1
        if self.limits.rate(start) is not None:
            self._bucket(start).refund(1.0)

    def wait_seconds(self, starts: Iterable[Incarnation]) -> float | None:
        """Return when the first of some exhausted workers may get a request.

        ``None`` when this node has no authority.
        """
        share = self._authority.share()
        if share <= 0.0:
            return None
        buckets = [self._bucket(one) for one in starts]
        return min((1.0 - one.level) / (one.rate * share) for one in buckets)

    def rate(self, starts: Iterable[Incarnation]) -> float:
        """Return the requests a second that this node may send to some workers together."""
        return self._authority.share() * sum(self._bucket(one).rate for one in starts)

    def _trim(self) -> None:
        """Forget the buckets of workers whose limit has ended."""
        ended = [one for one in self._buckets if self.limits.rate(one) is None]
        for start in ended:
            del self._buckets[start]

    def _bucket(self, start: Incarnation) -> TokenBucket:
        """Return the bucket of a limited worker, filled up to now."""
        rate = max(PROBE_RATE, self.limits.rate(start))
        now = self._authority.weighted_seconds()
        bucket = self._buckets.get(start)
        if bucket is None:
            self._trim()
            bucket = self._buckets[start] = TokenBucket(rate, 0.0, 0.0, now)
        bucket.refill(now)
        bucket.rate = rate
        bucket.capacity = 1.0 + rate * BURST_SECONDS
        bucket.level = min(bucket.level, bucket.capacity)
        return bucket


class RateLimitedChoice:
    """Chooses workers within their limits.

    :param placement: what chooses among those that are left.
    """

    def __init__(self, placement: WorkerPlacement, allowance: WorkerAllowance):
        self._placement = placement
        self._allowance = allowance
        self._turns: dict[str, Turns] = {}

    def choose(self, query: PlacementQuery, now: float) -> Placement | None:
        """Return the best worker now, ``None`` when none may take the request.

        :raises Overloaded: when none can begin it in time, or all are at their limits.
        """
        exhausted = self._allowance.exhausted(self._limited(query))
        if not exhausted:
            chosen = self._placement.choose(query)
        else:
            chosen = self._placement.choose(query._replace(excluded=query.excluded | exhausted))
            if chosen is None:
                self._raise_overloaded(query.service, exhausted, now)
        if chosen is not None and self._allowance.charge(chosen.worker.info.id):
            return replace(chosen, is_counted=True)
        return chosen

    def _limited(self, query: PlacementQuery) -> list[Incarnation]:
        """Return the limited workers that may take a request."""
        limits, placement = self._allowance.limits, self._placement
        return [
            start
            for start in limits.limited_incarnations()
            if start not in query.excluded and placement.serves(start, query.service)
        ]

    def _raise_overloaded(
        self, service: str, exhausted: frozenset[Incarnation], now: float
    ) -> None:
        """Refuse a request for which only exhausted workers are left.

        Each caller gets a later turn than the last, at the rate of the workers' limits. A node
        without authority refuses nothing: another node may have it in a moment.

        :raises Overloaded: with the turn.
        """
        wait = self._allowance.wait_seconds(exhausted)
        if wait is None:
            return
        turns = self._turns.setdefault(service, Turns())
        seconds = turns.retry_seconds(now, wait, 1.0 / self._allowance.rate(exhausted))
        self._allowance.refused += 1
        raise Overloaded(max(LEAST_RETRY_SECONDS, seconds))
