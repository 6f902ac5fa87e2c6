"""Measured rate at which the workers of one service start requests."""

import math
from collections.abc import Callable

MEMORY_SECONDS = 1.0
"""Time constant of the estimates. A tenth of the starts of a small service (12 slots of 50 ms) is
then within one standard deviation of the noise."""

PRIOR_SECONDS = 0.1
"""Initial weight of the estimate from capacity and mean duration, as a time of measurement. It
decays with the measurement: engines are limited by prefill long before their slots are full."""

DURATION_SMOOTHING = 0.05
"""Weight of one request in the mean duration, which thus follows a change within 20 requests."""

MIN_LOWER_SHARE = 1.0 / 8.0
"""Share of the starts that lower priorities receive at least."""

MAX_STEP_SECONDS = 0.2
"""Most time that one update counts as time without starts. Updates are due every 50 ms while
requests wait, so a longer step means that the dispatcher itself stood still. One such step lowers
the rate by a fifth, which the margin for waiting requests (``WAITING_MARGIN``) absorbs."""

MIN_RATE = 0.1
"""Lower bound of every rate, in starts per second."""


class StartRate:
    """Rate of starts per slot while requests wait, and the recent starts of each order class.

    Starts are only counted while requests wait: at other times they follow the arrivals. The rate
    is kept per slot, so that the loss of a worker changes the estimate at once.

    :param capacity: returns the number of requests that the workers may hold now.
    """

    def __init__(self, clock: Callable[[], float], capacity: Callable[[], float]):
        self._clock = clock
        self._capacity = capacity
        self._slots = capacity()
        self._updated_at = clock()
        self._starts = 0.0
        self._slot_seconds = 0.0
        self._recent: dict[tuple, float] = {}
        self._mean_duration = 0.0
        self._prior_seconds = PRIOR_SECONDS

    def update(self, is_busy: bool) -> None:
        """Advance the measurement.

        :param is_busy: requests have waited since the last update.
        """
        now = self._clock()
        elapsed, self._updated_at = now - self._updated_at, now
        self._slots = self._capacity()
        if is_busy:
            elapsed = min(elapsed, MAX_STEP_SECONDS)
        decay = math.exp(-elapsed / MEMORY_SECONDS)
        for key in self._recent:
            self._recent[key] *= decay
        if is_busy:
            self._prior_seconds *= decay
            self._starts *= decay
            self._slot_seconds = self._slot_seconds * decay + self._slots * elapsed

    def record_start(self, key: tuple, is_busy: bool) -> None:
        """Count a start.

        :param key: order class of the request; smaller keys start first.
        """
        self._recent[key] = self._recent.get(key, 0.0) + 1.0
        if is_busy:
            self._starts += 1.0

    def record_duration(self, seconds: float) -> None:
        """Record how long a request was at its worker."""
        if not self._mean_duration:
            self._mean_duration = seconds
        self._mean_duration += DURATION_SMOOTHING * (seconds - self._mean_duration)

    def rate(self) -> float:
        """Return the expected starts per second; infinite while nothing is known."""
        if not self._slots:
            return MIN_RATE
        weight = self._slots * self._prior_seconds
        if not self._mean_duration:
            is_known = self._slot_seconds > weight and self._starts > 0.0
            rate = self._starts / self._slot_seconds if is_known else math.inf
        else:
            starts = self._starts + weight / self._mean_duration
            rate = starts / (self._slot_seconds + weight)
        return max(MIN_RATE, self._slots * rate)

    def available(self, key: tuple, min_share: float) -> float:
        """Return the rate that is left to an order class by the classes before it.

        :param min_share: share of all starts that the class receives at least.
        """
        rate = self.rate()
        earlier = sum(count for other, count in self._recent.items() if other < key)
        return max(rate - earlier / MEMORY_SECONDS, rate * min_share, MIN_RATE)
