"""Checks of the bounds on retries in a randomised run: their sum, attempts and time left."""

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from typing import NamedTuple

from bench.forwarding.judge import RunChecker
from bench.forwarding.record import Call, Component, Record
from standins.platform_site import configuration
from standins.platform_worker import HandedOn

RETRY_RATIO = 0.2
"""Allowed retries of all nodes per request of a service."""

RETRY_WINDOW_SECONDS = 10.0
RETRY_RESERVE = 54
"""Retries that are allowed in a window beyond the ratio."""

MAX_REQUESTS_ABOVE_ATTEMPTS = 3
"""Requests of a run that may run at more workers than their route allows."""

MAX_EXTENDED_REQUESTS = 20
"""Requests of a run that may be sent with more time than is left."""

MAX_EXTENDED_SHARE = 0.2
MAX_ATTEMPTS = {route["path_prefix"]: route["max_attempts"] for route in configuration()["routes"]}
"""Attempts of a request, by the prefix of its path."""

LATENESS_SECONDS = 0.5
"""Time by which a deadline that is passed on may exceed the one of the caller, and pause from which a
retry is compared with the first send."""


class _Window(NamedTuple):
    """Retries of a service in a window of :data:`RETRY_WINDOW_SECONDS`.

    :ivar allowed: from the requests of the window, the one before or half a window before.
    """

    ends_at: float
    retries: int
    allowed: float


class BudgetChecker:
    """Checks the bounds on retries over all nodes.

    :ivar checked: number of retries, of requests by their number of runs, and of deadlines compared.
    :ivar smallest_margin: retries that would still have been allowed in the fullest window.
    """

    def __init__(self, record: Record, checker: RunChecker):
        self._record = record
        self._checker = checker
        self._calls = {call.request_id: call for call in record.calls}
        self.checked: Counter[str] = Counter()
        self.smallest_margin = float("inf")

    def check(self) -> None:
        """Check the complete record."""
        for service in ("plain", "engines"):
            self._check_sum(service)
        self._check_attempts()
        self._check_time_left()

    # Sum of retries

    def _check_sum(self, service: str) -> None:
        sent = [call.sent_at for call in self._record.calls if call.service == service]
        if service == "engines":
            sent += self._record.other_streams.values()
        sent.sort()
        retries = self._retry_times(service)
        self.checked["retries"] += len(retries)
        if not retries:
            return
        worst = min((_window(end, retries, sent) for end in retries), key=_margin)
        self.smallest_margin = min(self.smallest_margin, _margin(worst))
        if _margin(worst) < 0:
            self._record.violations.append(
                f"BUDGET {worst.retries} retries of {service} reached workers in the window that ends at "
                f"{self._record.seconds(worst.ends_at)} s, {worst.allowed:.1f} allowed"
            )

    def _retry_times(self, service: str) -> list[float]:
        """Return when requests reached workers of a service that had reached one before."""
        arrivals: defaultdict[str, list[float]] = defaultdict(list)
        for worker in self._record.workers.values():
            if ("engines" if worker.model else "plain") != service:
                continue
            for request_id, at in worker.arrivals:
                arrivals[request_id].append(at)
        return sorted(at for times in arrivals.values() for at in sorted(times)[1:])

    # Attempts of a request

    def _check_attempts(self) -> None:
        """Check at how many workers requests ran, without those that ended or were cut off."""
        workers: defaultdict[str, set[str]] = defaultdict(set)
        for name, worker in self._record.workers.items():
            for run in worker.runs:
                workers[run.request_id].add(name)
        above = []
        for request_id, names in workers.items():
            call = self._calls.get(request_id)
            if call is None:
                continue
            self.checked["requests that ran"] += 1
            self.checked["requests that ran again"] += len(names) > 1
            counted = [name for name in names if not self._was_disrupted(name, call)]
            if len(counted) > _max_attempts(call.path):
                above.append(request_id)
        if len(above) > MAX_REQUESTS_ABOVE_ATTEMPTS:
            self._record.violations.append(
                f"BUDGET {len(above)} requests ran at more workers than their routes allow: "
                f"{', '.join(sorted(above))}"
            )

    def _was_disrupted(self, worker: str, call: Call) -> bool:
        """Return whether a worker ended, or its link was disrupted, during a call."""
        return any(
            disruption.name == worker
            and disruption.component in (Component.LINK, Component.WORKER)
            and disruption.overlaps(call.sent_at, call.ended_at)
            for disruption in self._record.disruptions
        )

    # Time left

    def _check_time_left(self) -> None:
        """Check that workers are given no more time than callers have left."""
        sends: defaultdict[str, list[HandedOn]] = defaultdict(list)
        for worker in self._record.workers.values():
            for sent in worker.handed_on:
                sends[sent.request_id].append(sent)
        extended, compared = [], 0
        for request_id, of_request in sends.items():
            call = self._calls.get(request_id)
            if call is None or not self._checker.was_undisrupted(call.node, call.ended_at):
                continue
            first, *later = sorted(of_request, key=lambda sent: sent.at)
            late = [sent for sent in later if sent.at > first.at + LATENESS_SECONDS]
            compared += 1 + len(late)
            extended += [request_id] * (_is_extended(first, call) or first.deadline_ms is None)
            extended += [request_id for sent in late if _ends_later(sent, first, call)]
        self.checked["deadlines"] += compared
        if len(extended) > max(MAX_EXTENDED_REQUESTS, MAX_EXTENDED_SHARE * compared):
            self._record.violations.append(
                f"BUDGET {len(extended)} of {compared} sends gave workers more time than was left: "
                f"{', '.join(sorted(set(extended))[:10])}"
            )


def _max_attempts(path: str) -> int:
    return next(count for prefix, count in MAX_ATTEMPTS.items() if path.startswith(prefix))


def _window(ends_at: float, retries: list[float], sent: list[float]) -> _Window:
    def count(times: list[float], end: float) -> int:
        return bisect_right(times, end) - bisect_left(times, end - RETRY_WINDOW_SECONDS)

    requests = max(count(sent, ends_at - RETRY_WINDOW_SECONDS * share) for share in (0.0, 0.5, 1.0))
    return _Window(ends_at, count(retries, ends_at), RETRY_RATIO * requests + RETRY_RESERVE)


def _margin(window: _Window) -> float:
    return window.allowed - window.retries


def _is_extended(sent: HandedOn, call: Call) -> bool:
    """Return whether a worker was given more time than the caller gave."""
    if sent.deadline_ms is None or not call.deadline_ms:
        return False
    return sent.deadline_ms > call.deadline_ms + LATENESS_SECONDS * 1000


def _ends_later(sent: HandedOn, first: HandedOn, call: Call) -> bool:
    """Return whether a retry may run longer than the first send and the caller's own deadline."""
    if sent.deadline_ms is None:
        return True
    ends = [first.at + (first.deadline_ms or 0) / 1000]
    if call.deadline_ms:
        ends.append(call.sent_at + call.deadline_ms / 1000)
    return sent.at + sent.deadline_ms / 1000 > max(ends) + LATENESS_SECONDS
