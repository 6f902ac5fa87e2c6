"""Separation of long and short requests by worker.

Chunked prefill stalls the running streams of a worker for the duration of each chunk. A few
workers are therefore reserved for short requests. Nodes select them by rendezvous hashing, sized
by the shares of their own traffic, so that they mostly agree without coordination.
"""

import math
from collections.abc import Collection

from wheelslip.routing import rendezvous

DECAY_SECONDS = 10.0
"""Time constant of the decay of recorded requests."""

SHORT_WORKER_FACTOR = 1.5
"""Workers for short requests as a multiple of their share of the prefill time; above one since
their streams continue after prefill."""

_RANK_KEY = "short requests"


class PromptSeparation:
    """Tracks the prefill time of long and short requests and selects workers for short ones."""

    def __init__(self):
        self._long_seconds = 0.0
        self._short_seconds = 0.0
        self._updated_at = 0.0
        self._ranked_from: Collection[str] = []
        self._ranked: list[str] = []

    def record(self, seconds: float, is_long: bool, now: float) -> None:
        """Record a request.

        :param seconds: prefill time of its whole prompt without any cache.
        """
        decay = math.exp((self._updated_at - now) / DECAY_SECONDS)
        self._long_seconds = self._long_seconds * decay + (seconds if is_long else 0.0)
        self._short_seconds = self._short_seconds * decay + (0.0 if is_long else seconds)
        self._updated_at = now

    def short_workers(
        self, workers: Collection[str], fallback: Collection[str] = ()
    ) -> frozenset[str]:
        """Return the workers for short requests.

        Empty with fewer than two workers, or while only long or only short requests were recorded.

        :param fallback: workers that are selected only when there are not enough others.
        """
        total = self._long_seconds + self._short_seconds
        if len(workers) < 2 or self._long_seconds == 0.0 or self._short_seconds == 0.0:
            return frozenset()
        target = round(len(workers) * SHORT_WORKER_FACTOR * self._short_seconds / total)
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
