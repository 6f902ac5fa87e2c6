"""How many requests a worker without a model engine is given at once.

The dispatcher learns of a free slot only after the response has passed the node, and the next
request takes as long again to arrive. So a request that is about to end counts as ended, and the
next one is granted some time, the lead, before its slot is expected to be free. A worker that
rejects requests is given them later, then fewer, until it serves again.
"""

import math
from collections.abc import Callable, Iterable

from wheelslip.deployment import Incarnation, WorkerInfo

LEAD_SECONDS = 0.02
"""Initial and maximum lead: a round trip between worker, node and dispatcher, which takes 5 to
30 ms depending on their zones."""

MIN_LEAD_SECONDS = 0.002
"""A worker that rejects with this lead is considered to be faulty rather than full."""

LEAD_DECREASE = 0.8
"""Factor on the lead with each rejected request."""

LEAD_INCREASE_SECONDS = 0.0002
"""Increase of the lead with each served request. A worker that rejects whatever exceeds its
capacity then rejects about one request in 20 with a lead of 20 ms."""

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
        if running < usable or not request_seconds or not usable:
            return running < usable
        ends_after = request_seconds - self._lead(worker.id)
        now = self._clock()
        ending = sum(now - time >= ends_after for time in began_at)
        return running - min(ending, math.ceil(MAX_ENDING_SHARE * usable)) < usable

    def record_rejected(self, worker: WorkerInfo) -> None:
        """Record that a worker rejected or failed a request."""
        lead, usable = self._lead(worker.id), self.usable(worker)
        if lead > MIN_LEAD_SECONDS:
            self._leads[worker.id] = max(MIN_LEAD_SECONDS, lead * LEAD_DECREASE)
        elif usable > 1:
            self._reduced[worker.id] = usable - 1.0
        else:
            self._paused_until[worker.id] = self._clock() + PAUSE_SECONDS

    def record_served(self, worker: WorkerInfo) -> None:
        """Record that a worker served a request."""
        self._paused_until.pop(worker.id, None)
        if worker.id in self._leads:
            lead = self._leads[worker.id] + LEAD_INCREASE_SECONDS
            self._leads[worker.id] = min(lead, LEAD_SECONDS)
        reduced = self._reduced.pop(worker.id, worker.capacity) + RECOVERY_PER_REQUEST
        if reduced < worker.capacity:
            self._reduced[worker.id] = reduced

    def forget(self, worker_id: Incarnation) -> None:
        """Delete the records of a departed worker."""
        for records in (self._reduced, self._leads, self._paused_until):
            records.pop(worker_id, None)

    def _lead(self, worker_id: Incarnation) -> float:
        return self._leads.get(worker_id, LEAD_SECONDS)
