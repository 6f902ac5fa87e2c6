"""This node's own network paths to workers, as its attempts to connect show them."""

from collections.abc import Callable
from dataclasses import dataclass

from wheelslip.deployment import Incarnation, WorkerInfo
from wheelslip.events import LogEvent, log_event


@dataclass
class _LostPath:
    """A worker to which no connection could be opened.

    :ivar since: when the first attempt failed.
    """

    since: float


class DirectPaths:
    """Records to which workers this node can open connections."""

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._lost: dict[Incarnation, _LostPath] = {}

    @property
    def lost_count(self) -> int:
        """Number of workers to which the last attempt to connect failed."""
        return len(self._lost)

    def record_connected(self, worker: WorkerInfo) -> None:
        """Record that a connection to a worker was opened."""
        path = self._lost.pop(worker.id, None)
        if path is not None:
            seconds = round(self._clock() - path.since, 3)
            log_event(LogEvent.ENGINE_PATH_REGAINED, **_fields(worker), seconds=seconds)

    def record_failed(self, worker: WorkerInfo, reason: str) -> None:
        """Record that no connection to a worker could be opened."""
        if worker.id in self._lost:
            return
        self._lost[worker.id] = _LostPath(self._clock())
        log_event(LogEvent.ENGINE_PATH_LOST, **_fields(worker), reason=reason)

    def forget(self, incarnation: Incarnation) -> None:
        """Delete the record of a departed worker."""
        self._lost.pop(incarnation, None)


def _fields(worker: WorkerInfo) -> dict[str, object]:
    return {"engine": worker.worker_id, "incarnation": worker.id, "zone": worker.zone}
