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

HEARTBEATS_OF_A_LIVE_START = 3
"""A start writes its entry each heartbeat. An entry of an older start, or of one that had left, that
has stood for so many is no late one: its worker lives, and its clock was set back between two starts,
it was cut off from the store for a while, or it thought better of leaving."""

MAX_LEFT = 4096
"""Workers of which it is remembered which start left last, the newest; some times the workers of the
largest deployment planned for (850)."""


class _DoubtedEntry(NamedTuple):
    """An entry that may have been written long ago, and when it is taken after all."""

    info: WorkerInfo
    taken_at: float


class WorkerView:
    """Keeps one start of each worker.

    :param clock: steady clock in seconds.
    :param notices: what workers said of themselves; it outlives their entries.
    :ivar workers: by incarnation.
    :ivar on_gone: called with each incarnation that is no longer there.
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
        self._doubted: dict[str, _DoubtedEntry] = {}
        self._left: dict[str, int] = {}
        self.workers: dict[Incarnation, Worker] = {}
        self.on_gone: Callable[[Incarnation], None] = lambda incarnation: None

    def of_id(self, worker_id: str) -> Worker | None:
        """Return the start of a worker that is known, ``None`` when none is."""
        incarnation = self._current.get(worker_id)
        return self.workers.get(incarnation) if incarnation is not None else None

    # Changes

    def take(self, info: WorkerInfo) -> None:
        """Take an entry."""
        doubted = self._doubted.pop(info.worker_id, None)
        known = self.of_id(info.worker_id)
        if self._may_be_late(info, known):
            self._doubt(info, doubted)
        elif known is None:
            self._add(info)
            _log(LogEvent.ENGINE_UP, info)
        elif info.id == known.info.id:
            self._renew(known, info)
        else:
            self._replace(known, info)
        if info.state is WorkerState.DRAINING:
            self._note_left(info)

    def _may_be_late(self, info: WorkerInfo, known: Worker | None) -> bool:
        """Whether an entry may have been written before others that came earlier.

        One that allows requests at a start that has left was used for 1.2 s, until the later start's
        own entry came (3 late requests at one of 6 nodes, randomised runs of processes).
        """
        if known is not None and info.born < known.info.born:
            return True
        if known is not None and info.id == known.info.id and known.info.state is WorkerState.READY:
            return False
        left = self._left.get(info.worker_id)
        return info.state is WorkerState.READY and left is not None and info.born <= left

    def _doubt(self, info: WorkerInfo, doubted: _DoubtedEntry | None) -> None:
        """Keep an entry until it has stood for so long that its start lives."""
        wait = HEARTBEATS_OF_A_LIVE_START * self._bounds().heartbeat_ms / 1000
        taken_at = self._clock() + wait
        if doubted is not None and doubted.info.id == info.id:
            taken_at = doubted.taken_at
        self._doubted[info.worker_id] = _DoubtedEntry(info, taken_at)

    def _note_left(self, info: WorkerInfo) -> None:
        """Remember that a start has left, and with it all older ones of its worker."""
        self._left[info.worker_id] = max(info.born, self._left.pop(info.worker_id, info.born))
        if len(self._left) > MAX_LEFT:
            del self._left[next(iter(self._left))]

    def _add(self, info: WorkerInfo) -> None:
        self.workers[info.id] = Worker(info, dict(info.weights))
        self._current[info.worker_id] = info.id

    def _replace(self, known: Worker, info: WorkerInfo) -> None:
        """Forget one start for another; connections kept to it may lead to a process that left."""
        self._note_left(known.info)
        self._forget(known.info)
        self._add(info)
        _log(LogEvent.ENGINE_REPLACED, info)

    def _renew(self, known: Worker, info: WorkerInfo) -> None:
        if info.state is WorkerState.DRAINING and known.info.state is WorkerState.READY:
            _log(LogEvent.ENGINE_LEAVING, info)
        known.info = info
        known.doubtful_until = None
        known.unusable = False
        for model, version in info.weights.items():
            known.weights[model] = max(version, known.weights.get(model, 0))

    def take_unusable(self, worker_id: str) -> None:
        """Take an entry that names no worker: the one known is out of use until another comes."""
        self._doubted.pop(worker_id, None)
        known = self.of_id(worker_id)
        if known is not None:
            known.unusable = True
            known.doubtful_until = None

    def remove(self, worker_id: str, doubtful_until: float | None) -> Worker | None:
        """Take the removal of an entry; return its worker if that is in doubt and not gone.

        :param doubtful_until: until when a worker in use is kept; ``None`` for not at all.
        """
        self._doubted.pop(worker_id, None)
        known = self.of_id(worker_id)
        if known is None:
            return None
        ready = known.info.state is WorkerState.READY and not known.unusable
        if doubtful_until is None or not ready:
            self._note_left(known.info)
            self._drop(known)
            return None
        known.doubtful_until = doubtful_until
        return known

    def expire(self) -> bool:
        """Do what has become due; return whether anything changed.

        Workers in doubt that did not come back in time are dropped, and entries in doubt that
        nobody has replaced are taken.
        """
        now = self._clock()
        lapsed = [
            one
            for one in self.workers.values()
            if one.doubtful_until is not None and one.doubtful_until <= now
        ]
        for worker in lapsed:
            self._drop(worker)
        due = [one.info for one in self._doubted.values() if one.taken_at <= now]
        for info in due:
            del self._doubted[info.worker_id]
            self._left.pop(info.worker_id, None)
            self._take_stood(info)
        return bool(lapsed or due)

    def _take_stood(self, info: WorkerInfo) -> None:
        """Take an entry that has stood for as long as only a live start's does."""
        known = self.of_id(info.worker_id)
        if known is None or known.info.id == info.id:
            self.take(info)
        else:
            self._replace(known, info)

    def _drop(self, worker: Worker) -> None:
        self._forget(worker.info)
        _log(LogEvent.ENGINE_DOWN, worker.info)

    def _forget(self, info: WorkerInfo) -> None:
        """End everything that is held of one start."""
        del self.workers[info.id]
        del self._current[info.worker_id]
        self.on_gone(info.id)

    # What was learned beside the entries

    def mark_replaced(self, incarnation: Incarnation) -> bool:
        """Another process answered at a worker's address; return whether it was known."""
        worker = self.workers.get(incarnation)
        if worker is not None:
            worker.replaced = True
        return worker is not None

    def note_weights(self, incarnation: Incarnation, model: str, version: int) -> bool:
        """A worker said itself which version it has; return whether that is news."""
        worker = self.workers.get(incarnation)
        if worker is None or worker.weights.get(model) == version:
            return False
        worker.weights[model] = version
        return True

    def learn_weights(self, versions: dict[Incarnation, dict[str, int]]) -> None:
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
            if worker.info.service == service and self.takes_requests(worker)
        ]

    def takes_requests(self, worker: Worker) -> bool:
        """Whether a worker takes new requests."""
        until = worker.doubtful_until
        return self._is_serving(worker) and (until is None or self._clock() < until)

    def takes_orders(self, worker: Worker) -> bool:
        """Whether a worker is worth an order: it serves and is not known to be gone."""
        return self._is_serving(worker) and worker.doubtful_until is None

    def _is_serving(self, worker: Worker) -> bool:
        # A worker's own word goes before its entry, which the store may take much later.
        ready = worker.info.state is WorkerState.READY
        ready = ready and not self._notices.is_leaving(worker.info.id)
        return ready and not worker.replaced and not worker.unusable


def _log(event: LogEvent, info: WorkerInfo) -> None:
    log_event(event, engine=info.worker_id, incarnation=info.id, zone=info.zone)
