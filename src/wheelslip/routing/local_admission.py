"""Admission of requests whose worker this node chooses itself, without a queue.

Without a dispatcher, each node sees the load of the others late and only in part. A worker is
passed over once the requests known to be there reach its capacity.
"""

from collections.abc import Callable

from wheelslip.routing.overload import Overloaded, RetrySchedule
from wheelslip.routing.placement import PlacementQuery
from wheelslip.routing.worker_choice import WorkerPlacement

MIN_RETRY_SECONDS = 0.2
"""Retry time of the first rejected caller; by then the loads of other nodes are reported again."""

RETRY_SPACING_SECONDS = 0.02
"""Interval between the retry times of rejected callers. It is a guess, since the node does not
know how many callers the other nodes reject."""


class LocalAdmission:
    """Excludes occupied workers from the choice of this node.

    :ivar rejected: number of requests rejected since the start because all workers were occupied.
    """

    def __init__(self, records: WorkerPlacement, clock: Callable[[], float]):
        self._records = records
        self._clock = clock
        self._retry_schedules: dict[str, RetrySchedule] = {}
        self.rejected = 0

    def limit(self, query: PlacementQuery) -> PlacementQuery:
        """Return a query that excludes occupied workers.

        A request that was sent to a worker before is not limited, as at a dispatcher.

        :raises Overloaded: if all workers of the service are occupied.
        """
        if query.sent_before:
            return query
        occupancy = self._records.occupancy(query.service)
        occupied = frozenset(worker for worker, is_full in occupancy.items() if is_full)
        available = occupancy.keys() - query.excluded
        if available and available <= occupied:
            raise Overloaded(self._retry_seconds(query.service))
        return query._replace(excluded=query.excluded | occupied)

    def _retry_seconds(self, service: str) -> float:
        self.rejected += 1
        schedule = self._retry_schedules.setdefault(service, RetrySchedule())
        return schedule.retry_seconds(self._clock(), MIN_RETRY_SECONDS, RETRY_SPACING_SECONDS)
