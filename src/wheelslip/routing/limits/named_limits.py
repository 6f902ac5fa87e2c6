"""Rate limits that workers announce in their responses.

A limit belongs to one incarnation of a worker and applies until that incarnation responds without
one. Responses overtake each other and reports from other nodes arrive late, so every observation
carries the time at which it was made, and an older observation never replaces a newer one.

The module does no I/O; the clock is injected.
"""

from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from wheelslip.deployment import Incarnation

MAX_INCARNATIONS = 4096
"""Maximum number of stored incarnations; the least recently updated is evicted."""

MAX_RATE = 1e6
"""Upper bound of a stored limit, in requests per second."""

RESPONSES_TO_LIFT = 2
"""Consecutive responses without a limit that lift it. A single one may come from a code path of the
worker that does not announce limits."""

REORDER_SECONDS = 0.05
"""Observations closer than this may have been made in either order, since they are dated on
arrival. The lower limit of the two applies."""

LIFTED_REPORT_SECONDS = 5.0
"""Time for which a lifted limit is reported to other nodes."""

RETENTION_SECONDS = 60.0
"""Time after which the observation of an unregistered incarnation expires. Registrations that lapse
during an outage of the store are restored much sooner."""


class LimitReport(NamedTuple):
    """An observation of a worker's limit, as nodes exchange it.

    :ivar incarnation: the observed incarnation of the worker.
    :ivar rate: requests per second, ``None`` for a response without a limit.
    :ivar age: seconds since the observation.
    """

    incarnation: Incarnation
    rate: float | None
    age: float


@dataclass
class _Observation:
    """The most recent observation of one incarnation.

    :ivar rate: requests per second, ``None`` for a lifted limit.
    :ivar observed_at: clock time of the observation.
    :ivar responses_without: consecutive responses without a limit.
    :ivar is_direct: made in a response to this node and not yet returned by
        :meth:`WorkerRateLimits.drain_direct_reports`.
    """

    rate: float | None
    observed_at: float
    responses_without: int = 0
    is_direct: bool = False


class WorkerRateLimits:
    """The rate limits of workers, as far as this node has observed or received them.

    :param clock: steady clock in seconds.
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._observations: dict[Incarnation, _Observation] = {}
        self._rates: dict[Incarnation, float] = {}

    def record_limit(self, incarnation: Incarnation, rate: float) -> LimitReport | None:
        """Record a limit announced in a response to this node.

        :return: the report for other nodes, ``None`` if the limit is unchanged.
        """
        rate = min(rate, MAX_RATE)
        is_changed = self.rate(incarnation) != rate
        self._set(incarnation, _Observation(rate, self._clock(), is_direct=True))
        return self.report(incarnation) if is_changed else None

    def record_no_limit(self, incarnation: Incarnation, sent_at: float) -> LimitReport | None:
        """Record a response to this node that announces no limit.

        :param sent_at: when the request was sent; the response is at most this old.
        :return: the report for other nodes, ``None`` if no older limit is recorded.
        """
        current = self._observations.get(incarnation)
        if current is None or current.rate is None or sent_at <= current.observed_at:
            return None
        self._count_without(incarnation, current)
        return LimitReport(incarnation, None, round(self._clock() - sent_at, 4))

    def _count_without(self, incarnation: Incarnation, current: _Observation) -> None:
        current.responses_without += 1
        if current.responses_without >= RESPONSES_TO_LIFT:
            self._set(incarnation, _Observation(None, self._clock()))

    def count_report(self, report: LimitReport) -> bool:
        """Apply a report on a response to another node; return whether the limit changes.

        A response without a limit counts as if it had been sent to this node.
        """
        current = self._observations.get(report.incarnation)
        if report.rate is not None or current is None or current.rate is None:
            return self.merge(report)
        if self._observed_at(report) > current.observed_at + REORDER_SECONDS:
            self._count_without(report.incarnation, current)
        return self.rate(report.incarnation) is None

    def merge(self, report: LimitReport) -> bool:
        """Apply another node's state if it is newer; return whether the limit changes."""
        current = self._observations.get(report.incarnation)
        observed_at = self._observed_at(report)
        if current is None:
            if report.rate is not None:
                self._set(report.incarnation, _Observation(report.rate, observed_at))
            return report.rate is not None
        distance = observed_at - current.observed_at
        if current.rate == report.rate:
            # Small differences are ignored: they would accumulate while nodes repeat a report.
            if distance > REORDER_SECONDS:
                current.observed_at = observed_at
            return False
        is_lower = _as_number(report.rate) < _as_number(current.rate)
        is_newer = distance >= -REORDER_SECONDS if is_lower else distance > REORDER_SECONDS
        if not is_newer:
            return False
        self._set(report.incarnation, _Observation(report.rate, observed_at))
        return True

    def _observed_at(self, report: LimitReport) -> float:
        return self._clock() - max(0.0, report.age)

    def _set(self, incarnation: Incarnation, observation: _Observation) -> None:
        self._delete(incarnation)
        self._observations[incarnation] = observation
        if observation.rate is not None:
            self._rates[incarnation] = observation.rate
        if len(self._observations) > MAX_INCARNATIONS:
            self._delete(next(iter(self._observations)))

    def _delete(self, incarnation: Incarnation) -> None:
        self._observations.pop(incarnation, None)
        self._rates.pop(incarnation, None)

    def expire(self, registered: Container[Incarnation]) -> None:
        """Delete old observations of incarnations that are not registered."""
        oldest = self._clock() - RETENTION_SECONDS
        for incarnation in [key for key in self._observations if key not in registered]:
            if self._observations[incarnation].observed_at < oldest:
                self._delete(incarnation)

    def rate(self, incarnation: Incarnation) -> float | None:
        """Return the limit of an incarnation in requests per second, ``None`` if it has none."""
        return self._rates.get(incarnation)

    def limited(self, incarnations: Iterable[Incarnation]) -> frozenset[Incarnation]:
        """Return the subset of incarnations that have a limit."""
        return frozenset(incarnation for incarnation in incarnations if incarnation in self._rates)

    def limited_incarnations(self) -> list[Incarnation]:
        """Return all incarnations that have a limit."""
        return list(self._rates)

    def count(self) -> int:
        """Return the number of incarnations that have a limit."""
        return len(self._rates)

    def report(self, incarnation: Incarnation) -> LimitReport:
        """Return the report on a recorded incarnation.

        :raises KeyError: if there is no observation of it.
        """
        current = self._observations[incarnation]
        return LimitReport(incarnation, current.rate, round(self._clock() - current.observed_at, 4))

    def reports(self) -> list[LimitReport]:
        """Return a report on each limit that applies or was lifted recently."""
        oldest = self._clock() - LIFTED_REPORT_SECONDS
        return [
            self.report(incarnation)
            for incarnation, observation in self._observations.items()
            if observation.rate is not None or observation.observed_at >= oldest
        ]

    def drain_direct_reports(self) -> list[LimitReport]:
        """Return reports on limits announced to this node since the last call."""
        fresh = [key for key, observation in self._observations.items() if observation.is_direct]
        for incarnation in fresh:
            self._observations[incarnation].is_direct = False
        return [self.report(incarnation) for incarnation in fresh]

    def corrections(self, reports: Iterable[LimitReport]) -> list[LimitReport]:
        """Return this node's reports on incarnations for which another node's reports differ."""
        return [
            self.report(report.incarnation)
            for report in reports
            if report.incarnation in self._observations
            and self.rate(report.incarnation) != report.rate
        ]


def _as_number(rate: float | None) -> float:
    return float("inf") if rate is None else rate
