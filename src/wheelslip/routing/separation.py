"""Separation of long and short requests by worker.

Chunked prefill stalls the running streams of a worker for the duration of each chunk. A few
workers are therefore reserved for short requests. Nodes select them by rendezvous hashing, sized
by the shares of their own traffic, so that they mostly agree without coordination.

Where durations of requests are known, the number of these workers also covers the slots that
streams of short requests occupy. Otherwise they overflow to workers that compute long prompts, and
pauses in the streams exceed what their callers accept although first tokens are in time.
"""

import math
from collections.abc import Collection

from wheelslip.routing import rendezvous

DECAY_SECONDS = 10.0
"""Time constant of the decay of recorded requests."""

SHORT_WORKER_FACTOR = 1.5
"""Workers for short requests as a multiple of their share of the prefill time; above one since
their streams continue after prefill."""

SHORT_OCCUPANCY = 0.5
"""Planned share of occupied slots at a worker for short requests; the rest is room for bursts."""

MAX_SHORT_SHARE = 0.5
"""Largest share of the workers that are reserved for short requests because of their slots."""

MIN_RECORDED_WEIGHT = 0.1
"""Requests of less than a second are not extrapolated."""

_RANK_KEY = "short requests"


class PromptSeparation:
    """Tracks the prefill time of long and short requests and selects workers for short ones."""

    def __init__(self):
        self._long_seconds = 0.0
        self._short_seconds = 0.0
        self._short_slot_seconds = 0.0
        self._recorded_weight = 0.0
        self._updated_at = 0.0
        self._ranked_from: Collection[str] = []
        self._ranked: list[str] = []

    def record(self, seconds: float, is_long: bool, now: float, slot_seconds: float = 0.0) -> None:
        """Record a request.

        :param seconds: prefill time of its whole prompt without any cache.
        :param slot_seconds: expected time for which it occupies a slot; 0 if unknown.
        """
        decay = math.exp((self._updated_at - now) / DECAY_SECONDS)
        self._long_seconds = self._long_seconds * decay + (seconds if is_long else 0.0)
        self._short_seconds = self._short_seconds * decay + (0.0 if is_long else seconds)
        self._short_slot_seconds *= decay
        if not is_long:
            self._short_slot_seconds += slot_seconds
        # Recorded time in units of the time constant, 1 after several of these.
        self._recorded_weight = self._recorded_weight * decay + 1.0 - decay
        self._updated_at = now

    def short_workers(
        self, workers: Collection[str], fallback: Collection[str] = (), slots: int = 0
    ) -> frozenset[str]:
        """Return the workers for short requests.

        Empty with fewer than two workers, or while only long or only short requests were recorded.

        :param fallback: workers that are selected only when there are not enough others.
        :param slots: number of requests that one worker runs concurrently; 0 if unknown.
        """
        total = self._long_seconds + self._short_seconds
        if len(workers) < 2 or self._long_seconds == 0.0 or self._short_seconds == 0.0:
            return frozenset()
        target = round(len(workers) * SHORT_WORKER_FACTOR * self._short_seconds / total)
        if slots:
            needed = self._short_concurrency() / (SHORT_OCCUPANCY * slots)
            target = max(target, round(min(needed, MAX_SHORT_SHARE * len(workers))))
        count = max(1, min(len(workers) - 1, target))
        if self._ranked_from != workers:
            self._ranked_from, self._ranked = workers, rendezvous.rank(_RANK_KEY, workers)
        # The sort is stable, so the rendezvous order is preserved within each group.
        ranked = (
            sorted(self._ranked, key=lambda worker: worker in fallback)
            if fallback
            else self._ranked
        )
        return frozenset(ranked[:count])

    def _short_concurrency(self) -> float:
        """Return the number of short requests that run at the same time."""
        recorded_seconds = DECAY_SECONDS * max(MIN_RECORDED_WEIGHT, self._recorded_weight)
        return self._short_slot_seconds / recorded_seconds
