"""Summary statistics of samples."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Summary:
    """Number, median and upper percentiles of samples, in the unit of the samples."""

    count: int
    median: float
    p95: float
    p99: float


def summarize(samples: list[float]) -> Summary:
    """Return the summary of samples; all fields are 0 without samples."""
    if not samples:
        return Summary(0, 0.0, 0.0, 0.0)
    ordered = sorted(samples)
    return Summary(
        len(ordered),
        percentile(ordered, 0.5),
        percentile(ordered, 0.95),
        percentile(ordered, 0.99),
    )


def percentile(ordered: list[float], fraction: float) -> float:
    """Return a percentile of sorted samples without interpolation.

    :param ordered: samples in ascending order.
    :param fraction: percentile as a fraction between 0 and 1.
    :return: the percentile, or 0 without samples.
    """
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
