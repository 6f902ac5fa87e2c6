"""Speeds of workers, learned from the first tokens and the ends of requests. No I/O.

The time to compute a prompt is modelled as ``overhead + tokens / rate``. Both are fitted for each
worker by least squares over recent samples. The weight of a sample is the inverse of its expected
variance, which grows with the work. The fit of a worker with few samples is drawn to the medians
over the workers of its service, so one saturated worker does not change the estimates of others.
"""

import math
from collections.abc import Callable
from statistics import median

from wheelslip.deployment import Incarnation
from wheelslip.routing.speeds.duration_estimates import DurationEstimates
from wheelslip.routing.speeds.prefill_fit import PrefillFit, Speed

INITIAL_PREFILL_RATE = 30_000.0
"""Assumed prefill rate in tokens per second before anything is known of a service."""

INITIAL_OVERHEAD_SECONDS = 0.01
"""Assumed overhead of a first token before anything is known of a service."""

MIN_MEDIAN_SAMPLES = 2.0
"""Recent samples from which a worker counts among those whose median is the service's speed."""

FAST_FACTORS = (2.5, 2.0)
"""A service counts as far faster than an assumed rate from the first factor on, until it is below the
second, so that estimates near the limit do not switch with every sample."""

MIN_PROVEN_SAMPLES = 5.0
"""Recent samples of a worker whose rate may show that its service is far faster than assumed."""

MIN_PROVEN_WORKERS = 2
"""Number of such workers."""

REFRESH_SECONDS = 0.25
"""Interval at which the medians of a service are computed again."""

CHANGE_FACTOR = 2.0
"""A change of a worker's rate by more than this factor is reported."""

MIN_REPORT_SAMPLES = 20
"""Samples before the rate of a worker is a reference for changes."""

MIN_CHANGE_SAMPLES = 6
"""Samples between two reports of a worker, so that an estimate that is still settling after a
change is reported once."""


class _WorkerState:
    """Fit of one worker, and the rate with which changes are compared."""

    def __init__(self):
        self.fit = PrefillFit()
        self.samples = 0
        self.reference_rate: float | None = None

    def changed_from(self, rate: float) -> float | None:
        """Return the previous rate if the rate has changed by more than :data:`CHANGE_FACTOR`."""
        self.samples += 1
        previous = self.reference_rate
        if previous is None:
            if self.samples >= MIN_REPORT_SAMPLES:
                self.reference_rate, self.samples = rate, 0
            return None
        if self.samples < MIN_CHANGE_SAMPLES:
            return None
        if 1 / CHANGE_FACTOR <= rate / previous <= CHANGE_FACTOR:
            return None
        self.reference_rate, self.samples = rate, 0
        return previous


class _ServiceState:
    """Workers of one service and the medians of their fits.

    :ivar speed: the medians, ``None`` before the first ones.
    :ivar proven_rate: median rate of the workers with many samples, ``None`` if too few have them.
    :ivar is_faster: the last answer of :meth:`SpeedEstimates.is_faster`.
    """

    def __init__(self):
        self.workers: dict[Incarnation, _WorkerState] = {}
        self.speed: Speed | None = None
        self.is_faster = False
        self.proven_rate: float | None = None
        self._refreshed_at = -math.inf

    def _median_rate(self, prior: Speed, now: float, samples: float) -> float | None:
        """Return the median rate of the workers with so many recent samples, ``None`` without two."""
        rates = [
            1.0 / worker.fit.speed(prior, now).seconds_per_token
            for worker in self.workers.values()
            if worker.fit.recent_samples(now) >= samples
        ]
        return median(rates) if len(rates) >= MIN_PROVEN_WORKERS else None

    def refresh(self, prior: Speed, now: float) -> None:
        """Compute the medians again; without recent samples the last ones stay."""
        if self.speed is not None and now - self._refreshed_at < REFRESH_SECONDS:
            return
        known = [
            worker.fit.speed(prior, now)
            for worker in self.workers.values()
            if worker.fit.recent_samples(now) >= MIN_MEDIAN_SAMPLES
        ]
        if known:
            self._refreshed_at = now
            self.proven_rate = self._median_rate(prior, now, MIN_PROVEN_SAMPLES)
            self.speed = Speed(
                median(speed.seconds_per_token for speed in known),
                median(speed.overhead_seconds for speed in known),
            )


class SpeedEstimates:
    """Learned speeds by worker incarnation.

    Estimates of a worker without recent samples relax towards the service's.

    :param initial: estimates that are used until there are own samples: a dispatcher starts with
        what its node has learned from the requests that it sent itself.
    :param on_change: called with worker, service, previous and new rate when the rate of a worker
        has changed by more than :data:`CHANGE_FACTOR`.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        initial: "SpeedEstimates | None" = None,
        on_change: Callable[[Incarnation, str, float, float], None] | None = None,
    ):
        self._clock = clock
        self._initial = initial
        self._on_change = on_change
        self._services: dict[str, _ServiceState] = {}
        self._durations = DurationEstimates(clock, initial._durations if initial else None)

    def record_first_token(
        self,
        worker: Incarnation,
        service: str,
        tokens: int,
        seconds: float,
        now: float,
        has_overhead: bool = True,
    ) -> None:
        """Record how long a worker took for the prompt tokens ahead of and of a request.

        :param has_overhead: ``False`` if the time began at another first token of a busy worker.
        """
        state = self._services.setdefault(service, _ServiceState())
        worker_state = state.workers.setdefault(worker, _WorkerState())
        worker_state.fit.add(tokens, seconds, has_overhead, self._prior(worker, service), now)
        state.refresh(self._initial_speed(service), now)
        rate = self.prefill_rate(worker, service)
        previous = worker_state.changed_from(rate)
        if previous is not None and self._on_change is not None:
            self._on_change(worker, service, previous, rate)

    def record_duration(
        self, worker: Incarnation, service: str, priority: int, seconds: float, now: float
    ) -> None:
        """Record the time from sending a request to its end."""
        self._durations.record(worker, service, priority, seconds, now)

    def prefill_rate(self, worker: Incarnation, service: str) -> float:
        """Return the rate of a worker in prompt tokens per second."""
        return 1.0 / self._speed(worker, service).seconds_per_token

    def service_rate(self, service: str) -> float:
        """Return the rate of a worker of a service of which nothing else is known."""
        return 1.0 / self._service_speed(service).seconds_per_token

    def is_faster(self, assumed_rate: float, service: str) -> bool:
        """Return whether a service is far faster than an assumed rate.

        Decided by workers with many samples: a few prompts that were cached without the node's
        knowledge look like a fast engine. A low rate shows overloaded engines as often as slow
        ones.
        """
        state = self._services.get(service)
        if state is None:
            return False
        if state.proven_rate is not None:
            begins, ends = FAST_FACTORS
            factor = ends if state.is_faster else begins
            state.is_faster = state.proven_rate >= factor * assumed_rate
        return state.is_faster

    def first_token_overhead(self, service: str, worker: Incarnation | None = None) -> float:
        """Return the part of the time to a first token that does not depend on the prompt.

        :param worker: worker whose overhead is returned; without it, the median of the service.
        """
        speed = self._service_speed(service) if worker is None else self._speed(worker, service)
        return speed.overhead_seconds

    def request_seconds(self, worker: Incarnation, service: str) -> float:
        """Return the mean duration of a request at a worker."""
        return self._durations.request_seconds(worker, service)

    def service_request_seconds(self, service: str) -> float:
        """Return the mean duration of a request of a service."""
        return self._durations.service_seconds(service)

    def priority_seconds(self, service: str, priority: int) -> float:
        """Return the mean duration of a request of a service and priority, 0 while unknown."""
        return self._durations.priority_seconds(service, priority)

    def duration_factor(self, worker: Incarnation, service: str) -> float:
        """Return the mean duration at a worker relative to that of equal requests elsewhere."""
        return self._durations.factor(worker, service)

    def mean_rate(self) -> float:
        """Return the mean rate over the services with samples, 0 without samples."""
        rates = [
            1.0 / state.speed.seconds_per_token
            for state in self._services.values()
            if state.speed is not None
        ]
        return sum(rates) / len(rates) if rates else 0.0

    def forget(self, worker: Incarnation) -> None:
        """Delete the estimates of a departed worker."""
        for state in self._services.values():
            state.workers.pop(worker, None)
        self._durations.forget(worker)

    def _speed(self, worker: Incarnation, service: str) -> Speed:
        state = self._services.get(service)
        worker_state = state.workers.get(worker) if state else None
        if worker_state is None:
            return self._prior(worker, service)
        now = self._clock()
        speed = worker_state.fit.cached_speed(now)
        return speed or worker_state.fit.speed(self._prior(worker, service), now)

    def _prior(self, worker: Incarnation, service: str) -> Speed:
        """Return the speed towards which a worker's estimate is drawn.

        A worker that the initial estimates know relative to the service's other workers keeps
        that relation.
        """
        speed = self._service_speed(service)
        if self._initial is None:
            return speed
        other = self._initial
        relation = other.service_rate(service) / other.prefill_rate(worker, service)
        return Speed(speed.seconds_per_token * relation, speed.overhead_seconds)

    def _service_speed(self, service: str) -> Speed:
        state = self._services.get(service)
        if state is not None and state.speed is not None:
            return state.speed
        return self._initial_speed(service)

    def _initial_speed(self, service: str) -> Speed:
        if self._initial is not None:
            return self._initial._service_speed(service)
        return Speed(1.0 / INITIAL_PREFILL_RATE, INITIAL_OVERHEAD_SECONDS)
