"""How many requests a worker without a model engine is given at once.

The dispatcher learns of a free slot only after the response has passed the node, and the next
request takes as long again to arrive. So a request that is about to end counts as ended, and the
next one is granted some time, the lead, before its slot is expected to be free. A worker that has
rejected a request is given none early until it serves one; repeated rejections shorten its lead,
then reduce the number of its usable slots.
"""

import math
from collections.abc import Callable, Iterable

from wheelslip.deployment import Incarnation, WorkerInfo

LEAD_SECONDS = 0.02
"""Initial and maximum lead: a round trip between worker, node and dispatcher, which takes 5 to
30 ms depending on their zones."""

MIN_LEAD_SHARE = -1.0
"""Minimum lead as a share of the mean duration. It is negative for requests of varying duration,
of which many still run when the mean has passed."""

FULL_SHARE = 0.75
"""Share of the usable slots from which a worker that rejects is considered full rather than
faulty. Some requests may have ended since the rejection."""

LEAD_DECREASE_SECONDS = 0.004
"""Decrease of the lead with each rejected request."""

LEAD_INCREASE_SECONDS = 0.0002
"""Increase of the lead with each served request. A worker that rejects whatever exceeds its
capacity then rejects about one request in 20, a quarter of what nodes may send again."""

RECOVERY_PER_REQUEST = 0.5
"""Increase of a reduced number of slots with each served request: one request in flight becomes
as many as the worker has slots within a few durations."""

PAUSE_SECONDS = 0.5
"""Time without requests after a worker with one usable slot has rejected another request. Without
it, a faulty worker would be given a request in each round trip, as it always has a free slot."""

MAX_ENDING_SHARE = 0.5
"""Maximum of the requests that count as ended, as a share of the slots. A frozen worker is thus
given no more than this beyond its capacity."""


class WorkerSlots:
    """Usable slots and leads of the workers of a deployment."""

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._reduced: dict[Incarnation, float] = {}
        self._leads: dict[Incarnation, float] = {}
        self._paused_until: dict[Incarnation, float] = {}
        self._full: set[Incarnation] = set()

    def usable(self, worker: WorkerInfo) -> int:
        """Return how many requests a worker may run at once."""
        if self._clock() < self._paused_until.get(worker.id, 0.0):
            return 0
        return max(1, int(self._reduced.get(worker.id, worker.capacity)))

    def has_free(
        self, worker: WorkerInfo, running: int, began_at: Iterable[float], request_seconds: float
    ) -> bool:
        """Return whether a slot is free, or will be when a request granted now arrives.

        :param running: requests at the worker.
        :param began_at: times of the grants of these requests.
        :param request_seconds: mean time from a grant to the report of its end; 0 if unknown.
        """
        usable = self.usable(worker)
        is_early = worker.id not in self._full and request_seconds > 0.0
        if running < usable or not usable or not is_early:
            return running < usable
        ends_after = request_seconds - self._lead(worker.id)
        now = self._clock()
        ending = sum(now - time >= ends_after for time in began_at)
        return running - min(ending, math.ceil(MAX_ENDING_SHARE * usable)) < usable

    def record_rejected(self, worker: WorkerInfo, running: int, request_seconds: float) -> None:
        """Record that a worker rejected or failed a request.

        :param running: the other requests at the worker.
        :param request_seconds: mean time from a grant to the report of its end.
        """
        self._full.add(worker.id)
        usable = self.usable(worker)
        if running >= FULL_SHARE * usable and usable > 1:
            lead = self._lead(worker.id) - LEAD_DECREASE_SECONDS
            self._leads[worker.id] = max(MIN_LEAD_SHARE * request_seconds, lead)
        elif usable > 1:
            self._reduced[worker.id] = usable - 1.0
        else:
            self._paused_until[worker.id] = self._clock() + PAUSE_SECONDS

    def record_served(self, worker: WorkerInfo) -> None:
        """Record that a worker served a request."""
        self._full.discard(worker.id)
        self._paused_until.pop(worker.id, None)
        if worker.id in self._leads:
            lead = self._leads[worker.id] + LEAD_INCREASE_SECONDS
            self._leads[worker.id] = min(lead, LEAD_SECONDS)
        reduced = self._reduced.pop(worker.id, worker.capacity) + RECOVERY_PER_REQUEST
        if reduced < worker.capacity:
            self._reduced[worker.id] = reduced

    def forget(self, worker_id: Incarnation) -> None:
        """Delete the records of a departed worker."""
        self._full.discard(worker_id)
        for records in (self._reduced, self._leads, self._paused_until):
            records.pop(worker_id, None)

    def _lead(self, worker_id: Incarnation) -> float:
        return self._leads.get(worker_id, LEAD_SECONDS)
