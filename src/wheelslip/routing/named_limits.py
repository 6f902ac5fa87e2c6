"""Rate limits that workers name in their answers. Pure: the clock is injected.

A limit belongs to one start of a worker and holds until that start answers without one. Answers
overtake each other and news from other nodes arrive late, so every belief carries the moment at
which it was observed, and an older observation never replaces a newer one.
"""

from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from wheelslip.deployment import Incarnation

MAX_STARTS = 4096
"""Starts of which a limit is kept, the most recently observed."""

MAX_RATE = 1e6
"""Greatest limit that is kept, in requests a second; a greater one restricts nothing either."""

ANSWERS_TO_LIFT = 2
"""Answers in a row without a limit that end it; a single one may come from another code path."""

REORDER_SECONDS = 0.05
"""Two observations closer than this may have been made in either order, since they are dated on
arrival. The lower limit of the two holds."""

REPEATED_SECONDS = 5.0
"""That a limit has ended is repeated to other nodes for this long."""

FORGOTTEN_SECONDS = 60.0
"""What was observed of a start that is not in view is forgotten after this long. Entries that lapse in
an outage of the store are back much sooner."""


class LimitReport(NamedTuple):
    """What one node tells another about the limit of a worker.

    :ivar rate: requests a second; ``None`` for an answer that named no limit.
    :ivar age: seconds since it was observed.
    """

    incarnation: Incarnation
    rate: float | None
    age: float


@dataclass
class _Belief:
    """The limit of one start.

    :ivar rate: requests a second; ``None`` for a limit that has ended.
    :ivar answers_without: answers in a row that named none.
    :ivar is_direct: an answer to this node showed it, since it was last reported.
    """

    rate: float | None
    observed_at: float
    answers_without: int = 0
    is_direct: bool = False


class WorkerRateLimits:
    """Limits of workers as this node believes them.

    :param clock: steady clock in seconds.
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._beliefs: dict[Incarnation, _Belief] = {}
        self._limited: dict[Incarnation, float] = {}

    # Answers to this node

    def record_limit(self, start: Incarnation, rate: float) -> LimitReport | None:
        """An answer to this node named a limit; return what to report if it is news."""
        rate = min(rate, MAX_RATE)
        is_news = self.rate(start) != rate
        self._set(start, _Belief(rate, self._clock(), is_direct=True))
        return self.report(start) if is_news else None

    def record_no_limit(self, start: Incarnation, sent_at: float) -> LimitReport | None:
        """An answer to this node named no limit; return what to report if one is current.

        :param sent_at: when the request was sent. The answer is no older than that for certain.
        """
        current = self._beliefs.get(start)
        if current is None or current.rate is None or sent_at <= current.observed_at:
            return None
        self._count_without(start, current)
        return LimitReport(start, None, round(self._clock() - sent_at, 4))

    def _count_without(self, start: Incarnation, current: _Belief) -> None:
        current.answers_without += 1
        if current.answers_without >= ANSWERS_TO_LIFT:
            self._set(start, _Belief(None, self._clock()))

    # Reports of other nodes

    def count_report(self, report: LimitReport) -> bool:
        """Take a report on an answer to another node; return whether that changes the belief.

        An answer without a limit counts like one to this node.
        """
        current = self._beliefs.get(report.incarnation)
        if report.rate is not None or current is None or current.rate is None:
            return self.merge(report)
        if self._observed_at(report) > current.observed_at + REORDER_SECONDS:
            self._count_without(report.incarnation, current)
        return self.rate(report.incarnation) is None

    def merge(self, report: LimitReport) -> bool:
        """Take what another node believes, if that is newer; return whether it is news."""
        current = self._beliefs.get(report.incarnation)
        observed_at = self._observed_at(report)
        if current is None:
            if report.rate is not None:
                self._set(report.incarnation, _Belief(report.rate, observed_at))
            return report.rate is not None
        distance = observed_at - current.observed_at
        if current.rate == report.rate:
            # By less it may be no newer: nodes that repeat to each other would make it younger.
            if distance > REORDER_SECONDS:
                current.observed_at = observed_at
            return False
        is_lower = _as_number(report.rate) < _as_number(current.rate)
        is_newer = distance >= -REORDER_SECONDS if is_lower else distance > REORDER_SECONDS
        if not is_newer:
            return False
        self._set(report.incarnation, _Belief(report.rate, observed_at))
        return True

    def _observed_at(self, report: LimitReport) -> float:
        return self._clock() - max(0.0, report.age)

    def _set(self, start: Incarnation, belief: _Belief) -> None:
        self._forget(start)
        self._beliefs[start] = belief
        if belief.rate is not None:
            self._limited[start] = belief.rate
        if len(self._beliefs) > MAX_STARTS:
            self._forget(next(iter(self._beliefs)))

    def _forget(self, start: Incarnation) -> None:
        self._beliefs.pop(start, None)
        self._limited.pop(start, None)

    def expire(self, in_view: Container[Incarnation]) -> None:
        """Forget starts that are not in view and have not been heard of for long."""
        oldest = self._clock() - FORGOTTEN_SECONDS
        for start in [one for one in self._beliefs if one not in in_view]:
            if self._beliefs[start].observed_at < oldest:
                self._forget(start)

    # Reading

    def rate(self, start: Incarnation) -> float | None:
        """Return the limit of a start in requests a second, ``None`` where there is none."""
        return self._limited.get(start)

    def limited(self, starts: Iterable[Incarnation]) -> frozenset[Incarnation]:
        """Return those of some starts that have a limit."""
        return frozenset(one for one in starts if one in self._limited)

    def limited_incarnations(self) -> list[Incarnation]:
        """Return all starts that have a limit."""
        return list(self._limited)

    def count(self) -> int:
        """Return the number of starts that have a limit."""
        return len(self._limited)

    def report(self, start: Incarnation) -> LimitReport:
        """Return the report on one start that is current."""
        current = self._beliefs[start]
        return LimitReport(start, current.rate, round(self._clock() - current.observed_at, 4))

    def reports(self) -> list[LimitReport]:
        """Return a report on each limit that holds or has just ended."""
        oldest = self._clock() - REPEATED_SECONDS
        return [
            self.report(start)
            for start, one in self._beliefs.items()
            if one.rate is not None or one.observed_at >= oldest
        ]

    def drain_direct_reports(self) -> list[LimitReport]:
        """Return reports on what answers to this node have shown since the last call."""
        fresh = [start for start, one in self._beliefs.items() if one.is_direct]
        for start in fresh:
            self._beliefs[start].is_direct = False
        return [self.report(start) for start in fresh]

    def corrections(self, reports: Iterable[LimitReport]) -> list[LimitReport]:
        """Return what this node believes where another node's reports say otherwise."""
        return [
            self.report(one.incarnation)
            for one in reports
            if one.incarnation in self._beliefs and self.rate(one.incarnation) != one.rate
        ]


def _as_number(rate: float | None) -> float:
    return float("inf") if rate is None else rate
