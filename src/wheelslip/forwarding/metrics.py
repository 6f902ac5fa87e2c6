"""Counters and latency histograms of a forwarding node.

Kept as plain numbers; the metrics library is loaded at the first question for them, since it
takes more memory than all the rest of a node and is seldom asked.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterator

BUCKETS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


class LatencyHistogram:
    """Counts of durations by upper bound, their number and their sum."""

    def __init__(self):
        self.counts = [0] * (len(BUCKETS_SECONDS) + 1)
        self.total = 0.0

    def observe(self, seconds: float) -> None:
        """Add one duration."""
        self.counts[bisect_left(BUCKETS_SECONDS, seconds)] += 1
        self.total += seconds

    def cumulative(self) -> list[tuple[str, int]]:
        """Return bound and count of all durations up to it."""
        bounds = [*(f"{bound:g}" for bound in BUCKETS_SECONDS), "+Inf"]
        sums, running = [], 0
        for count in self.counts:
            running += count
            sums.append(running)
        return list(zip(bounds, sums, strict=True))


class ForwardingMetrics:
    """All figures of one node.

    :param gauges: name to a function that gives the present value.
    """

    def __init__(self):
        self.requests: Counter[tuple[str, str]] = Counter()
        self.attempts: Counter[str] = Counter()
        self.first_byte = LatencyHistogram()
        self.duration = LatencyHistogram()
        self.gauges: dict[str, Callable[[], float]] = {}

    def request_ended(self, kind: str, outcome: str, seconds: float) -> None:
        """Count one request by its route's kind and how it ended."""
        self.requests[(kind, outcome)] += 1
        self.duration.observe(seconds)

    def exposition(self) -> bytes:
        """Return all figures in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator:
        """Yield the metric families, for the metrics library."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        requests = CounterMetricFamily(
            "wheelslip_requests", "Requests ended, by kind and outcome", labels=["kind", "outcome"]
        )
        for labels, count in self.requests.items():
            requests.add_metric(labels, count)
        yield requests
        attempts = CounterMetricFamily(
            "wheelslip_attempts", "Attempts at workers, by outcome", labels=["outcome"]
        )
        for outcome, count in self.attempts.items():
            attempts.add_metric([outcome], count)
        yield attempts
        for name, text, histogram in (
            ("wheelslip_first_byte_seconds", "From arrival to a first byte", self.first_byte),
            ("wheelslip_request_seconds", "From arrival to the end", self.duration),
        ):
            yield HistogramMetricFamily(
                name, text, buckets=histogram.cumulative(), sum_value=histogram.total
            )
        for name, value in self.gauges.items():
            yield GaugeMetricFamily(f"wheelslip_{name}", name.replace("_", " "), value=value())
