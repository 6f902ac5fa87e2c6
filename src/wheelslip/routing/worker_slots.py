"""How many requests a worker without a model engine is given at once.

A worker is given slightly more than its capacity: the dispatcher learns of a free slot only after
the response has passed the node, and the next request takes as long again to arrive. A worker that
rejects requests is given fewer until it serves again.
"""

import math

from wheelslip.deployment import Incarnation, WorkerInfo

ROUND_TRIP_SECONDS = 0.02
"""Typical time from the end of a request at a worker to the arrival of the next one. It is 5 to
30 ms, depending on the zones of dispatcher, node and worker."""

MAX_ALLOWANCE_SHARE = 0.5
"""Maximum of the additional requests as a share of the capacity, so that an urgent request waits
for at most half a request at its worker."""

RECOVERY_PER_REQUEST = 0.5
"""Increase of a reduced limit below the capacity with each served request: one request in flight
becomes as many as the worker has slots within a few durations."""

ALLOWANCE_RECOVERY_PER_REQUEST = 0.02
"""The same above the capacity. A worker that rejects whatever exceeds its capacity then rejects
about one request in 50."""


class WorkerSlots:
    """Limits of the requests at each worker of a deployment."""

    def __init__(self):
        self._reduced: dict[Incarnation, float] = {}

    def limit(self, worker: WorkerInfo, request_seconds: float) -> int:
        """Return how many requests may be at a worker or on their way to it.

        :param request_seconds: mean duration of a request; 0 if unknown.
        """
        most = worker.capacity + self._allowance(worker, request_seconds)
        return max(1, int(min(most, self._reduced.get(worker.id, most))))

    def record_rejected(self, worker_id: Incarnation, running: int) -> None:
        """Record that a worker rejected or failed a request.

        :param running: the other requests at the worker.
        """
        self._reduced[worker_id] = max(1.0, min(running, self._reduced.get(worker_id, running)))

    def record_served(self, worker: WorkerInfo) -> None:
        """Record that a worker served a request."""
        reduced = self._reduced.get(worker.id)
        if reduced is None:
            return
        below = reduced < worker.capacity
        reduced += RECOVERY_PER_REQUEST if below else ALLOWANCE_RECOVERY_PER_REQUEST
        if reduced >= worker.capacity * (1.0 + MAX_ALLOWANCE_SHARE):
            del self._reduced[worker.id]
        else:
            self._reduced[worker.id] = reduced

    def forget(self, worker_id: Incarnation) -> None:
        """Delete the record of a departed worker."""
        self._reduced.pop(worker_id, None)

    def _allowance(self, worker: WorkerInfo, request_seconds: float) -> int:
        if request_seconds <= 0.0:
            return 1
        needed = math.ceil(worker.capacity * ROUND_TRIP_SECONDS / request_seconds)
        return min(needed, math.ceil(MAX_ALLOWANCE_SHARE * worker.capacity))
