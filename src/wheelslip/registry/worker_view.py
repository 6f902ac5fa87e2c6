"""The workers of one node's view, at most one incarnation of each.

All state of a worker belongs to one incarnation and is discarded with it. Entries are applied in
the order of the store's revisions. Outages of the store are detected in
:mod:`wheelslip.registry.store_health`.
"""

from collections.abc import Callable
from typing import NamedTuple

from wheelslip.deployment import Incarnation, Worker, WorkerInfo, WorkerState
from wheelslip.events import LogEvent, log_event
from wheelslip.forwarding_settings import BoundsSection
from wheelslip.routing.worker_notices import WorkerNotices

DEFERRAL_HEARTBEATS = 3
"""Heartbeats after which a deferred entry is applied unless another entry has replaced it. The
incarnation is alive then: the worker's clock was set back before it started, it was disconnected
from the store, or it cancelled its departure."""

MAX_DEPARTED_WORKERS = 4096
"""Number of workers whose newest departed incarnation is recorded; some times the 850 workers of the
largest deployment planned for."""


MAX_PAST_ENTRIES = 1024
"""Number of removed incarnations whose last entry is kept, for streams that may still be taken up."""


class _DeferredEntry(NamedTuple):
    """An entry that may be stale, and the time at which it is applied nevertheless."""

    info: WorkerInfo
    apply_at: float


class WorkerView:
    """The current incarnation of each worker.

    :param bounds: returns the bounds in force.
    :param clock: steady clock in seconds.
    :param notices: what workers reported in their responses; kept independently of their entries.
    :ivar workers: workers by incarnation.
    :ivar on_removed: called with the last entry of each incarnation that is removed.
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
        self._past: dict[Incarnation, WorkerInfo] = {}
        self._restored_at = float("-inf")
        self.workers: dict[Incarnation, Worker] = {}
        self.on_removed: Callable[[WorkerInfo], None] = lambda info: None

    def by_id(self, worker_id: str) -> Worker | None:
        """Return the current incarnation of a worker; ``None`` when it is not in the view."""
        incarnation = self._current.get(worker_id)
        return self.workers.get(incarnation) if incarnation is not None else None

    # Entries of the store

    def record_restored(self) -> None:
        """Record that the store has returned from an older copy."""
        self._restored_at = self._clock()

    def apply(self, info: WorkerInfo) -> None:
        """Apply a worker's entry, or defer it if it may be stale."""
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
        """Return whether an entry may have been written before entries already applied.

        Applied at once, a late write of a departed incarnation would put it back into use.
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
        """Defer an entry until it has lasted as long as only a live incarnation's does.

        :param deferred: the worker's previous deferred entry; one of the same incarnation keeps
            its time.
        """
        heartbeat = self._bounds().heartbeat_ms / 1000
        apply_at = self._clock() + DEFERRAL_HEARTBEATS * heartbeat
        if self._clock() - self._restored_at < DEFERRAL_HEARTBEATS * heartbeat:
            # The entry lapses as long after the return of the store.
            apply_at += heartbeat
        if deferred is not None and deferred.info.id == info.id:
            apply_at = deferred.apply_at
        self._deferred[info.worker_id] = _DeferredEntry(info, apply_at)

    def _record_departure(self, info: WorkerInfo) -> None:
        """Record that an incarnation, and with it every older one of its worker, has departed."""
        self._departed[info.worker_id] = max(
            info.born, self._departed.pop(info.worker_id, info.born)
        )
        if len(self._departed) > MAX_DEPARTED_WORKERS:
            del self._departed[next(iter(self._departed))]

    def _add(self, info: WorkerInfo) -> None:
        self.workers[info.id] = Worker(info, dict(info.weights))
        self._current[info.worker_id] = info.id

    def _replace(self, current: Worker, info: WorkerInfo) -> None:
        """Replace an incarnation, whose pooled connections may lead to a process that ended."""
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
        """Take a worker with an unreadable entry out of use until a valid entry arrives."""
        self._deferred.pop(worker_id, None)
        current = self.by_id(worker_id)
        if current is not None:
            current.unusable = True
            current.doubtful_until = None

    def remove(self, worker_id: str, doubtful_until: float | None) -> Worker | None:
        """Apply the removal of an entry.

        :param doubtful_until: until when a worker in use is kept as doubtful; ``None`` to remove
            it at once.
        :return: the worker when it is kept as doubtful.
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
        """Remove doubtful workers whose time has expired, and apply the deferred entries due.

        :return: whether anything changed.
        """
        now = self._clock()
        expired = [
            candidate
            for candidate in self.workers.values()
            if candidate.doubtful_until is not None and candidate.doubtful_until <= now
        ]
        for worker in expired:
            self._drop(worker)
        due = [entry.info for entry in self._deferred.values() if entry.apply_at <= now]
        for info in due:
            del self._deferred[info.worker_id]
            self._departed.pop(info.worker_id, None)
            self._apply_deferred(info)
        return bool(expired or due)

    def _apply_deferred(self, info: WorkerInfo) -> None:
        """Apply an entry whose deferral has ended, also in place of a newer incarnation."""
        current = self.by_id(info.worker_id)
        if current is None or current.info.id == info.id:
            self.apply(info)
        else:
            self._replace(current, info)

    def _drop(self, worker: Worker) -> None:
        self._forget(worker.info)
        _log(LogEvent.ENGINE_DOWN, worker.info)

    def _forget(self, info: WorkerInfo) -> None:
        """Discard all state of one incarnation."""
        del self.workers[info.id]
        del self._current[info.worker_id]
        self._past[info.id] = info
        if len(self._past) > MAX_PAST_ENTRIES:
            del self._past[next(iter(self._past))]
        self.on_removed(info)

    # Observations beside the entries

    def mark_replaced(self, incarnation: Incarnation) -> bool:
        """Record that another process answered at a worker's address.

        :return: whether the incarnation is in the view.
        """
        worker = self.workers.get(incarnation)
        if worker is not None:
            worker.replaced = True
        return worker is not None

    def record_process(self, incarnation: Incarnation, born: int) -> bool:
        """Record which process of a worker has responded.

        :param born: its start in Unix milliseconds.
        :return: whether that changed.
        """
        worker = self.workers.get(incarnation)
        if worker is None:
            return False
        restarted_as = 0 if born == worker.info.born else born
        if worker.restarted_as == restarted_as:
            return False
        worker.restarted_as = restarted_as
        worker.process_seen_at = self._clock()
        return True

    def record_weights(self, incarnation: Incarnation, model: str, version: int) -> bool:
        """Record the weights version that a worker reported.

        :return: whether the version changed.
        """
        worker = self.workers.get(incarnation)
        if worker is None or worker.weights.get(model) == version:
            return False
        worker.weights[model] = version
        return True

    def merge_weights(self, versions: dict[Incarnation, dict[str, int]]) -> None:
        """Merge weights versions that the rollout's lease holder observed at workers."""
        for incarnation, models in versions.items():
            worker = self.workers.get(incarnation)
            for model, version in models.items() if worker is not None else ():
                worker.weights[model] = max(version, worker.weights.get(model, 0))

    # Availability of workers

    def in_use(self, service: str) -> list[Worker]:
        """Return the workers of a service that accept new requests."""
        return [
            worker
            for worker in self.workers.values()
            if worker.info.service == service and self.accepts_requests(worker)
        ]

    def software_versions(self, service: str) -> set[str]:
        """Return the software versions of the workers of a service, as far as they are known."""
        return {
            worker.info.software_version
            for worker in self.workers.values()
            if worker.info.service == service and not worker.restarted_as
        }

    def version_of(self, incarnation: Incarnation) -> str | None:
        """Return the software version of a present or past incarnation, ``None`` if not known."""
        worker = self.workers.get(incarnation)
        info = worker.info if worker is not None else self._past.get(incarnation)
        return info.software_version if info is not None else None

    def may_end_deliberately(self, info: WorkerInfo) -> bool:
        """Return whether an incarnation is departing or has departed, as far as is known.

        One that a later incarnation has replaced has not, unless it had announced its departure.
        """
        if self._notices.is_leaving(info.id):
            return True
        current = self.by_id(info.worker_id)
        if current is None:
            return True
        known = current.info if current.info.id == info.id else self._past.get(info.id, info)
        is_older = current.info.born < info.born and current.process != info.id
        return known.state is not WorkerState.READY or is_older

    def accepts_requests(self, worker: Worker) -> bool:
        """Return whether a worker accepts new requests."""
        until = worker.doubtful_until
        return self._is_serving(worker) and (until is None or self._clock() < until)

    def accepts_orders(self, worker: Worker) -> bool:
        """Return whether to send control orders to a worker.

        It serves, is not doubtful and has not restarted, as far as is known.
        """
        has_entry = worker.doubtful_until is None and not worker.restarted_as
        return self._is_serving(worker) and has_entry

    def _is_serving(self, worker: Worker) -> bool:
        # A departure that the worker reported itself overrides its entry, which may lag behind.
        ready = worker.info.state is WorkerState.READY
        ready = ready and not self._notices.is_leaving(worker.info.id)
        return ready and not worker.replaced and not worker.unusable


def _log(event: LogEvent, info: WorkerInfo) -> None:
    log_event(
        event,
        engine=info.worker_id,
        incarnation=info.id,
        zone=info.zone,
        software_version=info.software_version,
    )
