"""The workers of one node's view: which start of each is in use, and what was learned of it.

All that a node holds of a worker belongs to one start of it and ends with that: a worker that
starts again under its id holds nothing of before. Entries come in the order of the store's
revisions; the judgement of outages stands in :mod:`wheelslip.forwarding.store_health`.
"""

from collections.abc import Callable
from typing import NamedTuple

from wheelslip.deployment import Incarnation, Worker, WorkerInfo, WorkerState
from wheelslip.events import LogEvent, log_event
from wheelslip.forwarding.settings import BoundsSection
from wheelslip.routing.worker_notices import WorkerNotices

DEFERRAL_HEARTBEATS = 3
"""A start writes its entry each heartbeat. An entry of an older start, or of one that had left, that
has stood for so many is no late one: its worker lives, and its clock was set back between two starts,
it was cut off from the store for a while, or it thought better of leaving."""

MAX_DEPARTED_WORKERS = 4096
"""Workers of which it is remembered which start left last, the newest; some times the workers of the
largest deployment planned for (850)."""


class _DeferredEntry(NamedTuple):
    """An entry that may have been written long ago, and when it is taken after all."""

    info: WorkerInfo
    apply_at: float


class WorkerView:
    """Keeps one start of each worker.

    :param clock: steady clock in seconds.
    :param notices: what workers said of themselves; it outlives their entries.
    :ivar workers: by incarnation.
    :ivar on_removed: called with each incarnation that is no longer there.
    """

    def __init__(
        self,
        bounds: Callable[[], BoundsSection],
        clock: Callable[[], float],
        notices: WorkerNotices,
    ):
        self._bounds = bounds
        self._clock = clock
        self._notices = notices
        self._current: dict[str, Incarnation] = {}
        self._deferred: dict[str, _DeferredEntry] = {}
        self._departed: dict[str, int] = {}
        self.workers: dict[Incarnation, Worker] = {}
        self.on_removed: Callable[[Incarnation], None] = lambda incarnation: None

    def by_id(self, worker_id: str) -> Worker | None:
        """Return the start of a worker that is current, ``None`` when none is."""
        incarnation = self._current.get(worker_id)
        return self.workers.get(incarnation) if incarnation is not None else None

    # Changes

    def apply(self, info: WorkerInfo) -> None:
        """Take an entry."""
        deferred = self._deferred.pop(info.worker_id, None)
        current = self.by_id(info.worker_id)
        if self._may_be_stale(info, current):
            self._defer(info, deferred)
        elif current is None:
            self._add(info)
            _log(LogEvent.ENGINE_UP, info)
        elif info.id == current.info.id:
            self._update(current, info)
        else:
            self._replace(current, info)
        if info.state is WorkerState.DRAINING:
            self._record_departure(info)

    def _may_be_stale(self, info: WorkerInfo, current: Worker | None) -> bool:
        """Whether an entry may have been written before others that came earlier.

        One that allows requests at a start that has left was used for 1.2 s, until the later start's
        own entry came (3 late requests at one of 6 nodes, randomised runs of processes).
        """
        if current is not None and info.born < current.info.born:
            return True
        if (
            current is not None
            and info.id == current.info.id
            and current.info.state is WorkerState.READY
        ):
            return False
        departed = self._departed.get(info.worker_id)
        return info.state is WorkerState.READY and departed is not None and info.born <= departed

    def _defer(self, info: WorkerInfo, deferred: _DeferredEntry | None) -> None:
        """Keep an entry until it has stood for so long that its start lives."""
        wait = DEFERRAL_HEARTBEATS * self._bounds().heartbeat_ms / 1000
        apply_at = self._clock() + wait
        if deferred is not None and deferred.info.id == info.id:
            apply_at = deferred.apply_at
        self._deferred[info.worker_id] = _DeferredEntry(info, apply_at)

    def _record_departure(self, info: WorkerInfo) -> None:
        """Remember that a start has left, and with it all older ones of its worker."""
        self._departed[info.worker_id] = max(
            info.born, self._departed.pop(info.worker_id, info.born)
        )
        if len(self._departed) > MAX_DEPARTED_WORKERS:
            del self._departed[next(iter(self._departed))]

    def _add(self, info: WorkerInfo) -> None:
        self.workers[info.id] = Worker(info, dict(info.weights))
        self._current[info.worker_id] = info.id

    def _replace(self, current: Worker, info: WorkerInfo) -> None:
        """Forget one start for another; connections kept to it may lead to a process that left."""
        self._record_departure(current.info)
        self._forget(current.info)
        self._add(info)
        _log(LogEvent.ENGINE_REPLACED, info)

    def _update(self, current: Worker, info: WorkerInfo) -> None:
        if info.state is WorkerState.DRAINING and current.info.state is WorkerState.READY:
            _log(LogEvent.ENGINE_LEAVING, info)
        current.info = info
        current.doubtful_until = None
        current.unusable = False
        for model, version in info.weights.items():
            current.weights[model] = max(version, current.weights.get(model, 0))

    def mark_unusable(self, worker_id: str) -> None:
        """Take an entry that names no worker: the one current is out of use until another comes."""
        self._deferred.pop(worker_id, None)
        current = self.by_id(worker_id)
        if current is not None:
            current.unusable = True
            current.doubtful_until = None

    def remove(self, worker_id: str, doubtful_until: float | None) -> Worker | None:
        """Take the removal of an entry; return its worker if that is in doubt and not gone.

        :param doubtful_until: until when a worker in use is kept; ``None`` for not at all.
        """
        self._deferred.pop(worker_id, None)
        current = self.by_id(worker_id)
        if current is None:
            return None
        ready = current.info.state is WorkerState.READY and not current.unusable
        if doubtful_until is None or not ready:
            self._record_departure(current.info)
            self._drop(current)
            return None
        current.doubtful_until = doubtful_until
        return current

    def expire(self) -> bool:
        """Do what has become due; return whether anything changed.

        Workers in doubt that did not come back in time are dropped, and entries in doubt that
        nobody has replaced are taken.
        """
        now = self._clock()
        expired = [
            one
            for one in self.workers.values()
            if one.doubtful_until is not None and one.doubtful_until <= now
        ]
        for worker in expired:
            self._drop(worker)
        due = [one.info for one in self._deferred.values() if one.apply_at <= now]
        for info in due:
            del self._deferred[info.worker_id]
            self._departed.pop(info.worker_id, None)
            self._apply_deferred(info)
        return bool(expired or due)

    def _apply_deferred(self, info: WorkerInfo) -> None:
        """Take an entry that has stood for as long as only a live start's does."""
        current = self.by_id(info.worker_id)
        if current is None or current.info.id == info.id:
            self.apply(info)
        else:
            self._replace(current, info)

    def _drop(self, worker: Worker) -> None:
        self._forget(worker.info)
        _log(LogEvent.ENGINE_DOWN, worker.info)

    def _forget(self, info: WorkerInfo) -> None:
        """End everything that is held of one start."""
        del self.workers[info.id]
        del self._current[info.worker_id]
        self.on_removed(info.id)

    # What was learned beside the entries

    def mark_replaced(self, incarnation: Incarnation) -> bool:
        """Another process answered at a worker's address; return whether it was current."""
        worker = self.workers.get(incarnation)
        if worker is not None:
            worker.replaced = True
        return worker is not None

    def record_weights(self, incarnation: Incarnation, model: str, version: int) -> bool:
        """A worker said itself which version it has; return whether that is news."""
        worker = self.workers.get(incarnation)
        if worker is None or worker.weights.get(model) == version:
            return False
        worker.weights[model] = version
        return True

    def merge_weights(self, versions: dict[Incarnation, dict[str, int]]) -> None:
        """Take versions that the holder of the rollout has seen at workers."""
        for incarnation, models in versions.items():
            worker = self.workers.get(incarnation)
            for model, version in models.items() if worker is not None else ():
                worker.weights[model] = max(version, worker.weights.get(model, 0))

    # Reading

    def in_use(self, service: str) -> list[Worker]:
        """Return the workers of a service that take new requests."""
        return [
            worker
            for worker in self.workers.values()
            if worker.info.service == service and self.accepts_requests(worker)
        ]

    def accepts_requests(self, worker: Worker) -> bool:
        """Whether a worker takes new requests."""
        until = worker.doubtful_until
        return self._is_serving(worker) and (until is None or self._clock() < until)

    def accepts_orders(self, worker: Worker) -> bool:
        """Whether a worker is worth an order: it serves and is not current to be gone."""
        return self._is_serving(worker) and worker.doubtful_until is None

    def _is_serving(self, worker: Worker) -> bool:
        # A worker's own word goes before its entry, which the store may take much later.
        ready = worker.info.state is WorkerState.READY
        ready = ready and not self._notices.is_leaving(worker.info.id)
        return ready and not worker.replaced and not worker.unusable


def _log(event: LogEvent, info: WorkerInfo) -> None:
    log_event(event, engine=info.worker_id, incarnation=info.id, zone=info.zone)
