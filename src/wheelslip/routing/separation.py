"""Keeps long prompts and running streams on different workers.

A worker reads a prompt piece by piece between the tokens of its running streams, so every
stream beside a long prompt stands still for as long as a piece takes. Each node sets the
same few workers aside for short requests, by rendezvous hashing and the shares of its own
traffic, and so nodes agree without talking.
"""

import math
from collections.abc import Collection

from wheelslip.routing import rendezvous

MEMORY_SECONDS = 10.0
"""Time constant over which the shares of long and short requests are counted."""

SHORT_FACTOR = 1.5
"""Workers for short requests, as a multiple of their share of the reading time: streams run
on after their prompt was read."""

_RANK_KEY = "short requests"


class PromptSeparation:
    """Counts reading time by length and names the workers for short requests."""

    def __init__(self):
        self._long = 0.0
        self._short = 0.0
        self._counted_at = 0.0
        self._ranked_of: Collection[str] = []
        self._ranked: list[str] = []

    def record(self, seconds: float, is_long: bool, now: float) -> None:
        """Count a request by the time that reading its whole prompt takes."""
        fade = math.exp((self._counted_at - now) / MEMORY_SECONDS)
        self._long = self._long * fade + (seconds if is_long else 0.0)
        self._short = self._short * fade + (0.0 if is_long else seconds)
        self._counted_at = now

    def short_workers(self, workers: Collection[str], last: Collection[str] = ()) -> frozenset[str]:
        """Return the workers for short requests; none while there is only one kind.

        :param last: workers that are taken only when there are not enough others.
        """
        total = self._long + self._short
        if len(workers) < 2 or self._long == 0.0 or self._short == 0.0:
            return frozenset()
        wanted = round(len(workers) * SHORT_FACTOR * self._short / total)
        count = max(1, min(len(workers) - 1, wanted))
        if self._ranked_of != workers:
            self._ranked_of, self._ranked = workers, rendezvous.rank(_RANK_KEY, workers)
        # The sort is stable: among either kind the rendezvous rank decides.
        ranked = sorted(self._ranked, key=lambda one: one in last) if last else self._ranked
        return frozenset(ranked[:count])
