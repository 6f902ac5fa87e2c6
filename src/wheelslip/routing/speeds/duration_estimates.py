"""Mean durations of requests by service and worker. No I/O.

A worker's duration is compared with the mean of requests of the same priority, so that a worker
which got other requests than its peers does not look slower or faster for that.
"""

import math
from collections.abc import Callable

from wheelslip.deployment import Incarnation

INITIAL_REQUEST_SECONDS = 1.0
"""Assumed duration of a request before anything is known of a service."""

MEAN_SAMPLES = 20
"""Memory of a mean, in samples."""

MAX_DEVIATION = 10.0
"""Durations are clipped to this multiple of the mean: a suspended worker ends requests late."""

MIN_CLIP_SAMPLES = 5
"""Samples before durations are clipped."""

PRIOR_SAMPLES = 2.0
"""Number of samples that the assumption of an average worker counts for."""

FACTOR_DECAY = 0.9
"""Decay of a worker's factor with each sample."""

RELAXATION_SECONDS = 10.0
"""Time constant with which a worker without samples relaxes towards the service's mean."""

MAX_FACTOR = 10.0
"""Bound of the factor of a worker in both directions."""


class _Mean:
    def __init__(self):
        self.value = 0.0
        self.count = 0

    def add(self, value: float) -> None:
        self.count = min(self.count + 1, MEAN_SAMPLES)
        self.value += (value - self.value) / self.count

    def clipped(self, value: float) -> float:
        if self.count < MIN_CLIP_SAMPLES:
            return value
        return min(value, MAX_DEVIATION * self.value)


class _Factor:
    """Decayed mean of a worker's durations relative to the service's."""

    def __init__(self):
        self._total = 0.0
        self._count = 0.0
        self._updated_at = 0.0

    def add(self, ratio: float, now: float) -> None:
        decay = FACTOR_DECAY * self._relaxation(now)
        self._total = self._total * decay + ratio
        self._count = self._count * decay + 1.0
        self._updated_at = now

    def value(self, prior: float, now: float) -> float:
        relaxation = self._relaxation(now)
        total = self._total * relaxation + PRIOR_SAMPLES * prior
        factor = total / (self._count * relaxation + PRIOR_SAMPLES)
        return min(max(factor, 1 / MAX_FACTOR), MAX_FACTOR)

    def _relaxation(self, now: float) -> float:
        return math.exp(min(0.0, self._updated_at - now) / RELAXATION_SECONDS)


class _ServiceDurations:
    def __init__(self):
        self.mean = _Mean()
        self.by_priority: dict[int, _Mean] = {}
        self.factors: dict[Incarnation, _Factor] = {}


class DurationEstimates:
    """Mean durations of the requests of each service and factors of its workers.

    :param initial: estimates that are used until there are own samples.
    """

    def __init__(self, clock: Callable[[], float], initial: "DurationEstimates | None" = None):
        self._clock = clock
        self._initial = initial
        self._services: dict[str, _ServiceDurations] = {}

    def record(
        self, worker: Incarnation, service: str, priority: int, seconds: float, now: float
    ) -> None:
        """Record the time from sending a request to its end."""
        durations = self._services.setdefault(service, _ServiceDurations())
        equal = durations.by_priority.setdefault(priority, _Mean())
        seconds = equal.clipped(seconds)
        equal.add(seconds)
        durations.mean.add(seconds)
        if equal.value > 0.0:
            durations.factors.setdefault(worker, _Factor()).add(seconds / equal.value, now)

    def service_seconds(self, service: str) -> float:
        """Return the mean duration of a request of a service."""
        durations = self._services.get(service)
        if durations is not None:
            return durations.mean.value
        return self._initial.service_seconds(service) if self._initial else INITIAL_REQUEST_SECONDS

    def priority_seconds(self, service: str, priority: int) -> float:
        """Return the mean duration of a request of a service and priority, 0 while unknown."""
        durations = self._services.get(service)
        mean = durations.by_priority.get(priority) if durations else None
        if mean is not None:
            return mean.value
        return self._initial.priority_seconds(service, priority) if self._initial else 0.0

    def factor(self, worker: Incarnation, service: str) -> float:
        """Return the duration of requests at a worker relative to equal requests elsewhere."""
        prior = self._initial.factor(worker, service) if self._initial else 1.0
        durations = self._services.get(service)
        factor = durations.factors.get(worker) if durations else None
        return factor.value(prior, self._clock()) if factor else prior

    def request_seconds(self, worker: Incarnation, service: str) -> float:
        """Return the mean duration of a request at a worker."""
        return self.service_seconds(service) * self.factor(worker, service)

    def forget(self, worker: Incarnation) -> None:
        """Delete the factors of a departed worker."""
        for durations in self._services.values():
            durations.factors.pop(worker, None)
