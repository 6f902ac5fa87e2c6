"""Counters and latency histograms of a forwarding node in the Prometheus text format.

``prometheus_client`` is not used: it needs more memory than the rest of a node, and the module ``ssl``,
which deployed nodes do not have.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable

BUCKETS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)

HELP = {
    "wheelslip_requests_total": "Requests ended, by kind and outcome",
    "wheelslip_attempts_total": "Attempts at workers, by outcome",
    "wheelslip_sends_total": "Requests sent to workers, by service and whether they were retries",
    "wheelslip_retries_denied_total": "Retries that the retry budget did not allow, by service",
    "wheelslip_first_byte_seconds": "From arrival to a first byte",
    "wheelslip_request_seconds": "From arrival to the end",
    "wheelslip_queue_wait_seconds": "Wait in the queue of a dispatcher, by priority",
}
"""Help texts by metric family; other families use their name."""


class LatencyHistogram:
    """Histogram of durations.

    :ivar counts: number of durations in each bucket; the last one has no upper bound.
    :ivar total: sum of all durations in seconds.
    """

    def __init__(self):
        self.counts = [0] * (len(BUCKETS_SECONDS) + 1)
        self.total = 0.0

    def observe(self, seconds: float) -> None:
        """Add one duration."""
        self.counts[bisect_left(BUCKETS_SECONDS, seconds)] += 1
        self.total += seconds

    def cumulative(self) -> list[tuple[str, int]]:
        """Return the bound of each bucket with the number of durations up to it."""
        bounds = [*(f"{bound:g}" for bound in BUCKETS_SECONDS), "+Inf"]
        totals, running_total = [], 0
        for count in self.counts:
            running_total += count
            totals.append(running_total)
        return list(zip(bounds, totals, strict=True))


class ForwardingMetrics:
    """Metrics of one node.

    :ivar requests: number of ended requests by kind and outcome.
    :ivar attempts: number of attempts by outcome.
    :ivar sends: number of requests sent to workers, by service and ``first`` or ``retry``.
    :ivar retries_denied: number of retries that the retry budget did not allow, by service.
    :ivar queue_wait: durations of ended waits in the queue of a dispatcher, by priority.
    :ivar gauges: functions that return the current value, by name.
    """

    def __init__(self):
        self.requests: Counter[tuple[str, str]] = Counter()
        self.attempts: Counter[str] = Counter()
        self.sends: Counter[tuple[str, str]] = Counter()
        self.retries_denied: Counter[str] = Counter()
        self.first_byte = LatencyHistogram()
        self.duration = LatencyHistogram()
        self.queue_wait: dict[int, LatencyHistogram] = {}
        self.gauges: dict[str, Callable[[], float]] = {}

    def request_ended(self, kind: str, outcome: str, seconds: float) -> None:
        """Record an ended request.

        :param kind: kind of its route.
        """
        self.requests[(kind, outcome)] += 1
        self.duration.observe(seconds)

    def record_send(self, service: str, is_retry: bool) -> None:
        """Record that a request is sent to a worker."""
        self.sends[(service, "retry" if is_retry else "first")] += 1

    def record_queue_wait(self, priority: int, seconds: float) -> None:
        """Record that a request no longer waits in a queue, whatever was decided."""
        if priority not in self.queue_wait:
            self.queue_wait[priority] = LatencyHistogram()
        self.queue_wait[priority].observe(seconds)

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format, version 0.0.4."""
        lines: list[str] = []
        requests = [
            (f'{{kind="{kind}",outcome="{outcome}"}}', count)
            for (kind, outcome), count in self.requests.items()
        ]
        lines += _family("wheelslip_requests_total", "counter", requests)
        attempts = [(f'{{outcome="{outcome}"}}', count) for outcome, count in self.attempts.items()]
        lines += _family("wheelslip_attempts_total", "counter", attempts)
        sends = [
            (f'{{service="{service}",send="{send}"}}', count)
            for (service, send), count in self.sends.items()
        ]
        lines += _family("wheelslip_sends_total", "counter", sends)
        denied = [
            (f'{{service="{service}"}}', count) for service, count in self.retries_denied.items()
        ]
        lines += _family("wheelslip_retries_denied_total", "counter", denied)
        lines += _histogram("wheelslip_first_byte_seconds", self.first_byte)
        lines += _histogram("wheelslip_request_seconds", self.duration)
        if self.queue_wait:
            lines += _family("wheelslip_queue_wait_seconds", "histogram", [])
        for priority, histogram in sorted(self.queue_wait.items()):
            label = f'priority="{priority}"'
            lines += _histogram_samples("wheelslip_queue_wait_seconds", histogram, label)
        for name, value in self.gauges.items():
            lines += _family(f"wheelslip_{name}", "gauge", [("", value())])
        return ("\n".join(lines) + "\n").encode()


def _family(name: str, kind: str, samples: list[tuple[str, float]]) -> list[str]:
    """Return the lines of one metric family.

    :param samples: pairs of formatted labels, without characters that need escapes, and value.
    """
    return [
        f"# HELP {name} {HELP.get(name, name.replace('_', ' '))}",
        f"# TYPE {name} {kind}",
        *(f"{name}{labels} {float(value)!r}" for labels, value in samples),
    ]


def _histogram(name: str, histogram: LatencyHistogram) -> list[str]:
    return [*_family(name, "histogram", []), *_histogram_samples(name, histogram)]


def _histogram_samples(name: str, histogram: LatencyHistogram, label: str = "") -> list[str]:
    """Return the sample lines of one histogram.

    :param label: formatted label that all lines have, empty for none.
    """
    bounds = histogram.cumulative()
    prefix, labels = (f"{label},", f"{{{label}}}") if label else ("", "")
    return [
        *(f'{name}_bucket{{{prefix}le="{bound}"}} {float(count)!r}' for bound, count in bounds),
        f"{name}_count{labels} {float(bounds[-1][1])!r}",
        f"{name}_sum{labels} {histogram.total!r}",
    ]
