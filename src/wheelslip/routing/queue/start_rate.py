"""Measured rate at which the workers of one service start requests."""

import math
from collections.abc import Callable

from wheelslip.routing.queue.service_times import ServiceTimes

MEMORY_SECONDS = 1.0
"""Time constant of the measurement. A tenth of the starts of a small service (12 slots of 50 ms) is
then within one standard deviation of the noise."""

PRIOR_SECONDS = 0.1
"""Initial weight of the estimate from capacity and mean duration, as a time of measurement. It
decays with the measurement: engines are limited by prefill long before their slots are full."""

MAX_STEP_SECONDS = 0.2
"""Most time that one update counts as time without starts. Updates are due every 50 ms while
requests wait, so a longer step means that the dispatcher itself stood still."""

MIN_RATE = 0.1
"""Lower bound of every rate, in starts per second."""


class StartRate:
    """Rate of starts per slot while requests wait.

    Starts are only counted while requests wait: at other times they follow the arrivals. The rate
    is kept per slot, so that the loss of a worker changes the estimate at once.

    :param capacity: returns the number of requests that the workers may hold now.
    :param times: how long the workers need for requests.
    :param is_limited_by_slots: returns whether the workers start a request whenever one ends.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        capacity: Callable[[], float],
        times: ServiceTimes,
        is_limited_by_slots: Callable[[], bool] = lambda: False,
    ):
        self._clock = clock
        self._capacity = capacity
        self._times = times
        self._is_limited_by_slots = is_limited_by_slots
        self._slots = capacity()
        self._updated_at = clock()
        self._starts = 0.0
        self._slot_seconds = 0.0
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
            self._prior_seconds *= decay
            self._starts *= decay
            self._slot_seconds = self._slot_seconds * decay + self._slots * elapsed

    def record_start(self, is_busy: bool) -> None:
        """Count a start.

        :param is_busy: requests have waited before it.
        """
        if is_busy:
            self._starts += 1.0

    def rate(self) -> float:
        """Return the expected starts per second; infinite while nothing is known."""
        if not self._slots:
            return MIN_RATE
        weight = self._slots * self._prior_seconds
        mean_seconds = self._times.mean_request_seconds
        if not mean_seconds:
            is_known = self._slot_seconds > weight and self._starts > 0.0
            rate = self._starts / self._slot_seconds if is_known else math.inf
        else:
            starts = self._starts + weight / mean_seconds
            rate = starts / (self._slot_seconds + weight)
            if self._is_limited_by_slots():
                # Fewer starts were counted if nodes were held up, or if all slots end at once.
                rate = max(rate, 1.0 / mean_seconds)
        return max(MIN_RATE, self._slots * rate)
