"""Rollout of weights versions to the workers, driven by the node that holds the holder lease.

The holder publishes a record that names the workers that are loading, so that nodes send their
requests to other workers, and the versions that it has read from the workers' reports, which are
newer than those in the workers' entries. Nodes may act on an outdated record, since every request
carries its weights version as a precondition.

A new holder continues the loads named in the record of the previous one. It does not order a
worker that the previous holder may have ordered until the handover interval has passed, which is
the minimum time between orders of two holders to one worker. All other workers may be ordered
immediately.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from wheelslip.deployment import Incarnation, UnusableEntry, Worker, WorkerInfo
from wheelslip.events import LogEvent, log_event
from wheelslip.forwarding.holder import HOLDER_KEY, ROLLOUT_KEY, HolderLease
from wheelslip.forwarding.rollout_record import RolloutRecord, RolloutView
from wheelslip.forwarding_settings import BoundsSection
from wheelslip.keyvalue.model import KeyValueError, KeyValueUnavailable, Put, Transaction
from wheelslip.registry.interface import (
    KeyValueStore,
    WeightsOrder,
    WorkerControl,
    WorkerUnreachable,
)
from wheelslip.registry.registry import Registry
from wheelslip.routing.worker_choice import WorkerPlacement
from wheelslip.weights.schedule import INITIAL_LOAD_SECONDS, WorkerWeights, next_loads

RECONCILE_INTERVAL_SECONDS = 0.1
REPORT_INTERVAL_SECONDS = 0.15
"""Pause between two report requests to a worker that loads."""

ORDER_RETRY_SECONDS = 0.6
"""An order without visible effect is repeated after this time. The repetition expects the same
sequence number, so the worker carries out only one of the two."""

PRE_ORDER_DRAIN_SECONDS = 0.15
"""Delay between publishing the record and sending an order. Nodes stop sending requests to the
worker, and queued requests start, because an order rejects those that have not started."""

MAX_BACKLOG_SECONDS = 0.15
"""Loads are deferred while the mean prefill backlog per worker exceeds this time."""

INITIAL_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 4.0
"""Limit of the backoff from a worker that gives no report, which doubles with each failure. Must
stay short compared with the time allowed for a rollout after a disruption."""

LOAD_TIME_SMOOTHING = 0.3

_STATUS_ACCEPTED = (200, 202)
_STATUS_CONFLICT = 409
"""Another order is in progress, or the expected sequence number is outdated."""

_STATUS_FENCED = 412
_STATUS_OTHER_INCARNATION = 421


@dataclass
class _Load:
    """A load in progress.

    :ivar last_order_at: when the last order was sent; 0.0 before the first order and after a
        conflict, so that the next order is sent without a delay.
    """

    worker: Worker
    model: str
    version: int
    started_at: float
    last_order_at: float = 0.0
    expected_sequence: int | None = None


class _Backoff(NamedTuple):
    until: float
    seconds: float


class WeightsRollout:
    """The task that orders workers to load weights while this node holds the lease.

    :param view: the rollout records of all holders as seen by this node.
    :param requests_wait: returns whether requests of this node to a service have had to wait for a
        worker recently. Each node sees a sample of all requests.
    :ivar on_unreachable: called with each worker that sends no usable report.
    """

    def __init__(
        self,
        store: KeyValueStore,
        control: WorkerControl,
        registry: Registry,
        view: RolloutView,
        placement: WorkerPlacement,
        lease: HolderLease,
        bounds: Callable[[], BoundsSection],
        requests_wait: Callable[[str], bool],
        clock: Callable[[], float],
    ):
        self._requests_wait = requests_wait
        self._store = store
        self._control = control
        self._registry = registry
        self._view = view
        self._placement = placement
        self._lease = lease
        self._bounds = bounds
        self._clock = clock
        self._loads: dict[Incarnation, _Load] = {}
        self._backoffs: dict[Incarnation, _Backoff] = {}
        self._tasks: set[asyncio.Task] = set()
        self._load_seconds = INITIAL_LOAD_SECONDS
        self._published: RolloutRecord | None = None
        self._order_allowed_at: dict[str, float] = {}
        self._last_order_at: dict[str, float] = {}
        self.on_unreachable: Callable[[WorkerInfo], None] = lambda worker: None

    async def run(self) -> None:
        """Reconcile periodically until cancelled; each step uses only the current state."""
        while True:
            await asyncio.sleep(RECONCILE_INTERVAL_SECONDS)
            try:
                await self._step()
            except KeyValueError as error:
                log_event(LogEvent.LEASE_CALL_FAILED, reason=str(error))

    async def _step(self) -> None:
        token = self._lease.token()
        if token is None:
            self._published = None
            return
        self._drop_expired()
        if self._view.record.fencing_token != token:
            self._defer_orders_after_handover()
        started = []
        for model in self._registry.models():
            started += self._start_loads(model)
        try:
            await self._publish()
        except KeyValueError:
            # No order may be sent to a worker that no published record names as loading.
            for load in started:
                self._loads.pop(load.worker.info.id, None)
            raise
        for load in started:
            task = asyncio.get_running_loop().create_task(self._run_load(load))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _handover_seconds(self) -> float:
        """Return the handover interval."""
        bounds = self._bounds()
        return (bounds.holder_lease_ms + bounds.thaw_slack_ms) / 1000

    def _drop_expired(self) -> None:
        now, handover = self._clock(), self._handover_seconds()
        self._order_allowed_at = {
            worker_id: allowed_at
            for worker_id, allowed_at in self._order_allowed_at.items()
            if now < allowed_at
        }
        self._last_order_at = {
            worker_id: sent_at
            for worker_id, sent_at in self._last_order_at.items()
            if now < sent_at + handover
        }
        current = self._registry.workers
        self._backoffs = {
            incarnation: backoff
            for incarnation, backoff in self._backoffs.items()
            if incarnation in current
        }

    def _defer_orders_after_handover(self) -> None:
        """Defer orders to workers that the previous holder may have ordered.

        Repeated until this node's record replaces that of the previous holder.
        """
        record, handover = self._view.record, self._handover_seconds()
        for worker_id in record.recently_ordered_ids():
            self._order_allowed_at[worker_id] = self._view.latest_order_time(worker_id) + handover

    def _is_inherited_load(self, incarnation: Incarnation) -> bool:
        """Return whether the newest record, of another holder, names a worker as loading."""
        record = self._view.record
        return record.fencing_token != self._lease.token() and incarnation in record.loading

    def _start_loads(self, model: str) -> list[_Load]:
        now = self._clock()
        workers = self._orderable_workers(model)
        by_id = {worker.info.id: worker for worker in workers}
        states = {
            incarnation: self._worker_weights(by_id[incarnation], model) for incarnation in by_id
        }
        started = [
            self._begin_load(by_id[incarnation], model)
            for incarnation, state in states.items()
            if self._is_inherited_load(incarnation)
            and state.deadline is not None
            and not state.loading
        ]
        states |= {
            load.worker.info.id: self._worker_weights(load.worker, model) for load in started
        }
        has_backlog = self._has_backlog(workers)
        for next_id in next_loads(list(states.values()), now, self._load_seconds, has_backlog):
            started.append(self._begin_load(by_id[next_id], model))
        return started

    def _begin_load(self, worker: Worker, model: str) -> _Load:
        load = _Load(worker, model, self._registry.newest_weights(model), self._clock())
        self._loads[worker.info.id] = load
        return load

    def _is_paused(self, worker: Worker) -> bool:
        """Return whether a worker is in backoff or within the handover interval."""
        backoff = self._backoffs.get(worker.info.id)
        if backoff is not None and self._clock() < backoff.until:
            return True
        return not self._is_order_allowed(worker.info.worker_id)

    def _is_order_allowed(self, worker_id: str) -> bool:
        restored_at = self._registry.restored_at
        if restored_at is not None and self._clock() < restored_at + self._handover_seconds():
            # The copy of the store may lack the record of a previous holder.
            return False
        if self._clock() < self._view.unreadable_at + self._handover_seconds():
            # A previous holder may have ordered any worker.
            return False
        return self._clock() >= self._order_allowed_at.get(worker_id, float("-inf"))

    def _back_off(self, incarnation: Incarnation) -> None:
        previous = self._backoffs.get(incarnation)
        seconds = INITIAL_BACKOFF_SECONDS
        if previous is not None:
            seconds = min(MAX_BACKOFF_SECONDS, 2 * previous.seconds)
        self._backoffs[incarnation] = _Backoff(self._clock() + seconds, seconds)

    def _has_backlog(self, workers: list[Worker]) -> bool:
        """Return whether too much work waits to take a worker out of service.

        While requests wait at the dispatcher, the backlog at the workers stays short.
        """
        if any(self._requests_wait(service) for service in {w.info.service for w in workers}):
            return True
        prefill_tokens = sum(
            self._placement.total_load(worker.info.id).prefill_tokens for worker in workers
        )
        return prefill_tokens > sum(
            MAX_BACKLOG_SECONDS * self._placement.prefill_rate(worker) for worker in workers
        )

    def _orderable_workers(self, model: str) -> list[Worker]:
        return [
            worker
            for worker in self._registry.workers.values()
            if model in worker.weights and self._registry.accepts_orders(worker)
        ]

    def _worker_weights(self, worker: Worker, model: str) -> WorkerWeights:
        version = worker.weights[model]
        since = self._registry.pending_since(model, version)
        deadline = None
        if since is not None:
            deadline = since + self._bounds().weights_deadline_ms / 1000
        incarnation = worker.info.id
        running = self._placement.total_load(incarnation).running
        loading, paused = incarnation in self._loads, self._is_paused(worker)
        return WorkerWeights(incarnation, version, deadline, loading, running, paused)

    async def _publish(self) -> None:
        """Write the record if the set of loading workers has changed."""
        token = self._lease.token()
        record = self._build_record()
        if token is None or self._is_published(record):
            return
        put = Put(ROLLOUT_KEY, msgspec.json.encode(record))
        current = self._registry.system_entry(ROLLOUT_KEY)
        # The revision of the record itself is a condition too, so that a delayed write cannot
        # replace a newer record.
        expected = {HOLDER_KEY: token, ROLLOUT_KEY: current[1] if current else 0}
        result = await self._store.transact(Transaction(expected, (put,)))
        if not result.succeeded:
            raise KeyValueUnavailable("the holder key or the rollout record has changed")
        self._published = record

    def _is_published(self, record: RolloutRecord) -> bool:
        if isinstance(self._registry.system_record(ROLLOUT_KEY, RolloutRecord), UnusableEntry):
            return False
        if self._published is None:
            return not record.loading and not self._registry.loading
        return self._published.loading == record.loading

    def _build_record(self) -> RolloutRecord:
        weights = {
            worker.info.id: {
                model: worker.weights[model]
                for model in self._registry.models()
                if model in worker.weights
            }
            for worker in self._registry.workers.values()
        }
        weights = {incarnation: models for incarnation, models in weights.items() if models}
        token = self._lease.token() or 0
        loading = {load.worker.info.worker_id for load in self._loads.values()}
        recent = {*self._last_order_at, *self._order_allowed_at} - loading
        return RolloutRecord(token, sorted(self._loads), weights, sorted(recent))

    async def _run_load(self, load: _Load) -> None:
        info = load.worker.info
        await asyncio.sleep(PRE_ORDER_DRAIN_SECONDS)
        try:
            while not await self._load_step(load):
                await asyncio.sleep(REPORT_INTERVAL_SECONDS)
        except WorkerUnreachable as error:
            self._back_off(info.id)
            self.on_unreachable(info)
            log_event(LogEvent.ORDER_REFUSED, engine=info.worker_id, reason=str(error))
        finally:
            self._loads.pop(info.id, None)

    async def _load_step(self, load: _Load) -> bool:
        """Request a worker's report and send an order if needed.

        :return: whether the load has finished or is abandoned.
        :raises WorkerUnreachable: when the worker gives no report.
        """
        info = load.worker.info
        report = await self._control.report(info)
        if report.born and report.born != info.born:
            self._reject_report(info, report.born)
        self._backoffs.pop(info.id, None)
        version = report.weights.get(load.model, 0)
        if version >= load.version and not report.busy:
            self._finish_load(load, version)
            return True
        if info.id not in self._registry.workers:
            return True
        now = self._clock()
        waiting = load.last_order_at and now - load.last_order_at < ORDER_RETRY_SECONDS
        if report.busy or waiting or not self._is_order_allowed(info.worker_id):
            return False
        token = self._lease.token()
        if token is None:
            return True
        load.last_order_at = self._last_order_at[info.worker_id] = now
        # Includes versions named since the load was started.
        load.version = self._registry.newest_weights(load.model) or load.version
        return await self._send_order(load, report.sequence, token)

    def _reject_report(self, info: WorkerInfo, born: int) -> None:
        """Reject a report of another incarnation than that in the registry.

        :param born: start time of the incarnation that sent the report, in Unix milliseconds.
        :raises WorkerUnreachable: always.
        """
        if born > info.born:
            self._registry.record_process(info.id, born)
        raise WorkerUnreachable(f"report of the incarnation started at {born}, not {info.born}")

    async def _send_order(self, load: _Load, sequence: int, token: int) -> bool:
        """Order a worker to load weights.

        :return: whether the load is abandoned because the order was rejected.
        """
        worker = load.worker.info
        order = WeightsOrder(
            worker, load.model, load.version, self._lease.identity, token, sequence
        )
        fields = {"engine": worker.worker_id, "order": f"{load.model} {load.version}"}
        fields |= {"fencing_token": token, "sequence": sequence}
        try:
            status = await self._control.order_weights(order)
        except WorkerUnreachable as error:
            # The order may have been accepted; the next report shows whether it was.
            log_event(LogEvent.ORDER_REFUSED, reason=str(error), **fields)
            return False
        event = LogEvent.ORDER_GIVEN if status in _STATUS_ACCEPTED else LogEvent.ORDER_REFUSED
        log_event(event, reason=f"status {status}", **fields)
        if status == _STATUS_CONFLICT:
            load.last_order_at = 0.0
        if status == _STATUS_FENCED:
            # The worker has accepted an order with a higher token; a new token is needed.
            await self._lease.release("fenced")
        if status == _STATUS_OTHER_INCARNATION:
            self._registry.mark_replaced(worker.id)
        return status not in (*_STATUS_ACCEPTED, _STATUS_CONFLICT)

    def _finish_load(self, load: _Load, version: int) -> None:
        if load.last_order_at:
            elapsed = self._clock() - load.started_at
            self._load_seconds += LOAD_TIME_SMOOTHING * (elapsed - self._load_seconds)
        self._registry.record_weights(load.worker.info.id, load.model, version)
