"""Rollout of named weights by the holder of the lease, and the record that tells all nodes.

The record names the workers that are loading, so that nodes send elsewhere, and the versions
that the holder has seen there, which it knows before their entries say so. It is a hint:
every request carries its version as a precondition.

A new holder goes on with the loads that the record of the one before names. To a worker that
that one may have ordered it gives no order until the time is over within which two holders
must not take turns; all others it may order at once.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from wheelslip.deployment import Incarnation, Worker, WorkerInfo
from wheelslip.events import LogEvent, log_event
from wheelslip.forwarding.holder import HOLDER_KEY, ROLLOUT_KEY, HolderLease
from wheelslip.forwarding.interface import (
    KeyValueStore,
    WeightsOrder,
    WorkerControl,
    WorkerUnreachable,
)
from wheelslip.forwarding.registry import Registry
from wheelslip.forwarding.rollout_record import RolloutRecord, RolloutView
from wheelslip.forwarding.settings import BoundsSection
from wheelslip.keyvalue.model import KeyValueError, KeyValueUnavailable, Put, Transaction
from wheelslip.routing.worker_choice import PREFILL_TOKENS_PER_SECOND, WorkerPlacement
from wheelslip.weights.schedule import INITIAL_LOAD_SECONDS, WorkerWeights, next_loads

STEP_SECONDS = 0.1
REPORT_SECONDS = 0.15
"""Pause between reports of a worker that loads; reports are some hundred ms old."""

REPEAT_ORDER_SECONDS = 0.6
"""An order that shows no effect for this long is given again, with the same expected
sequence: whichever is carried out first makes the other void."""

DRAIN_BEFORE_SECONDS = 0.15
"""Nodes send elsewhere for this long before an order, so that what waits at the worker has
begun by then: an order turns away what has not."""

BEHIND_SECONDS = 0.15
"""Loads wait while the workers have more than this to read on average."""

UNREACHABLE_PAUSE_SECONDS = 1.0
MOST_PAUSE_SECONDS = 4.0
"""A worker that gives no report is left alone this long, and twice as long each time that it
gives none again. It stays short beside the bound within which all workers must have a version
once trouble is over (14 s at the deployments with the least)."""

LOAD_SMOOTHING = 0.3

_ACCEPTED = (200, 202)
_UNDER_WAY = 409
_FENCED = 412
_OTHER_INCARNATION = 421


@dataclass
class _Load:
    worker: Worker
    model: str
    version: int
    began: float
    ordered_at: float = 0.0
    expected_sequence: int | None = None


class _Pause(NamedTuple):
    until: float
    seconds: float


class WeightsRollout:
    """The task that orders workers while this node holds the lease.

    :param view: of the records of all holders.
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
        clock: Callable[[], float],
    ):
        self._store = store
        self._control = control
        self._registry = registry
        self._view = view
        self._placement = placement
        self._lease = lease
        self._bounds = bounds
        self._clock = clock
        self._loads: dict[Incarnation, _Load] = {}
        self._pauses: dict[Incarnation, _Pause] = {}
        self._tasks: set[asyncio.Task] = set()
        self._load_seconds = INITIAL_LOAD_SECONDS
        self._published: RolloutRecord | None = None
        self._orders_from: dict[str, float] = {}
        self._ordered_at: dict[str, float] = {}

    async def run(self) -> None:
        """Reconcile for ever; each step looks only at what is known now."""
        while True:
            await asyncio.sleep(STEP_SECONDS)
            try:
                await self._step()
            except KeyValueError as error:
                log_event(LogEvent.LEASE_CALL_FAILED, reason=str(error))

    async def _step(self) -> None:
        token = self._lease.token()
        if token is None:
            self._published = None
            return
        self._forget_old_orders()
        if self._view.record.fencing_token != token:
            self._take_over()
        started = []
        for model in self._registry.models():
            started += self._start_loads(model)
        try:
            await self._publish()
        except KeyValueError:
            # No order without a record that names its worker.
            for load in started:
                self._loads.pop(load.worker.info.id, None)
            raise
        for load in started:
            task = asyncio.get_running_loop().create_task(self._carry_out(load))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _quiet_seconds(self) -> float:
        """Return how long after one holder's order another may order the same worker."""
        bounds = self._bounds()
        return (bounds.holder_lease_ms + bounds.thaw_slack_ms) / 1000

    def _forget_old_orders(self) -> None:
        now, quiet = self._clock(), self._quiet_seconds()
        self._orders_from = {one: at for one, at in self._orders_from.items() if now < at}
        self._ordered_at = {one: at for one, at in self._ordered_at.items() if now < at + quiet}
        known = self._registry.workers
        self._pauses = {one: pause for one, pause in self._pauses.items() if one in known}

    def _take_over(self) -> None:
        """Learn which workers the holder before may have ordered, until a record of this one
        replaces its record."""
        record, quiet = self._view.record, self._quiet_seconds()
        for worker_id in record.ordered_ids():
            self._orders_from[worker_id] = self._view.last_order(worker_id) + quiet

    def _is_taken_over(self, incarnation: Incarnation) -> bool:
        """Whether the newest record, of another holder, says that a worker loads."""
        record = self._view.record
        return record.fencing_token != self._lease.token() and incarnation in record.loading

    def _start_loads(self, model: str) -> list[_Load]:
        now = self._clock()
        workers = self._workers(model)
        by_id = {one.info.id: one for one in workers}
        states = {one: self._state(by_id[one], model) for one in by_id}
        started = [
            self._begin_load(by_id[one], model)
            for one, state in states.items()
            if self._is_taken_over(one) and state.due is not None and not state.loading
        ]
        states |= {load.worker.info.id: self._state(load.worker, model) for load in started}
        behind = self._is_behind(workers)
        for worker_id in next_loads(list(states.values()), now, self._load_seconds, behind):
            started.append(self._begin_load(by_id[worker_id], model))
        return started

    def _begin_load(self, worker: Worker, model: str) -> _Load:
        load = _Load(worker, model, self._registry.newest_weights(model), self._clock())
        self._loads[worker.info.id] = load
        return load

    def _is_paused(self, worker: Worker) -> bool:
        """Whether a worker gave no report of late, or is another holder's for a while yet."""
        pause = self._pauses.get(worker.info.id)
        if pause is not None and self._clock() < pause.until:
            return True
        return not self._may_order(worker.info.worker_id)

    def _may_order(self, worker_id: str) -> bool:
        return self._clock() >= self._orders_from.get(worker_id, float("-inf"))

    def _pause(self, incarnation: Incarnation) -> None:
        known = self._pauses.get(incarnation)
        seconds = UNREACHABLE_PAUSE_SECONDS
        if known is not None:
            seconds = min(MOST_PAUSE_SECONDS, 2 * known.seconds)
        self._pauses[incarnation] = _Pause(self._clock() + seconds, seconds)

    def _is_behind(self, workers: list[Worker]) -> bool:
        """Whether prompts wait at the workers, so that none can be spared."""
        unread = sum(self._placement.total_load(one.info.id).prefill_tokens for one in workers)
        return unread > BEHIND_SECONDS * PREFILL_TOKENS_PER_SECOND * len(workers)

    def _workers(self, model: str) -> list[Worker]:
        return [
            one
            for one in self._registry.workers.values()
            if model in one.weights and self._registry.accepts_orders(one)
        ]

    def _state(self, worker: Worker, model: str) -> WorkerWeights:
        version = worker.weights[model]
        since = self._registry.pending_since(model, version)
        due = None
        if since is not None:
            due = since + self._bounds().weights_deadline_ms / 1000
        incarnation = worker.info.id
        running = self._placement.total_load(incarnation).running
        loading, paused = incarnation in self._loads, self._is_paused(worker)
        return WorkerWeights(incarnation, version, due, loading, running, paused)

    async def _publish(self) -> None:
        """Write the record when the workers that load have changed."""
        token = self._lease.token()
        record = self._record()
        if token is None or self._is_published(record):
            return
        put = Put(ROLLOUT_KEY, msgspec.json.encode(record))
        known = self._registry.system_entry(ROLLOUT_KEY)
        # The record's own revision too: a write that is done late must not undo a newer one.
        expected = {HOLDER_KEY: token, ROLLOUT_KEY: known[1] if known else 0}
        result = await self._store.transact(Transaction(expected, (put,)))
        if not result.succeeded:
            raise KeyValueUnavailable("the holder's key or its record has changed")
        self._published = record

    def _is_published(self, record: RolloutRecord) -> bool:
        if self._published is None:
            return not record.loading and not self._registry.loading
        return self._published.loading == record.loading

    def _record(self) -> RolloutRecord:
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
        recent = {*self._ordered_at, *self._orders_from} - loading
        return RolloutRecord(token, sorted(self._loads), weights, sorted(recent))

    async def _carry_out(self, load: _Load) -> None:
        info = load.worker.info
        await asyncio.sleep(DRAIN_BEFORE_SECONDS)
        try:
            while not await self._load_step(load):
                await asyncio.sleep(REPORT_SECONDS)
        except WorkerUnreachable as error:
            self._pause(info.id)
            log_event(LogEvent.ORDER_REFUSED, engine=info.worker_id, reason=str(error))
        finally:
            self._loads.pop(info.id, None)

    async def _load_step(self, load: _Load) -> bool:
        """Look at a worker and order it if that shows need; return whether it is done.

        :raises WorkerUnreachable: when the worker gives no report.
        """
        info = load.worker.info
        report = await self._control.report(info)
        if report.born and report.born != info.born:
            self._note_other_start(info, report.born)
        self._pauses.pop(info.id, None)
        version = report.weights.get(load.model, 0)
        if version >= load.version and not report.busy:
            self._finish(load, version)
            return True
        if info.id not in self._registry.workers:
            return True
        now = self._clock()
        waiting = load.ordered_at and now - load.ordered_at < REPEAT_ORDER_SECONDS
        if report.busy or waiting or not self._may_order(info.worker_id):
            return False
        token = self._lease.token()
        if token is None:
            return True
        load.ordered_at = self._ordered_at[info.worker_id] = now
        # Named since this load was planned: one load is enough for both.
        load.version = self._registry.newest_weights(load.model) or load.version
        return await self._order(load, report.sequence, token)

    def _note_other_start(self, info: WorkerInfo, born: int) -> None:
        """Pass a report over that tells of another start of a worker than the one in view.

        :raises WorkerUnreachable: always, since nothing is known of the one in view.
        """
        if born > info.born:
            self._registry.mark_replaced(info.id)
        raise WorkerUnreachable(f"report of the start at {born}, not {info.born}")

    async def _order(self, load: _Load, sequence: int, token: int) -> bool:
        worker = load.worker.info
        order = WeightsOrder(
            worker, load.model, load.version, self._lease.identity, token, sequence
        )
        fields = {"engine": worker.worker_id, "order": f"{load.model} {load.version}"}
        fields |= {"fencing_token": token, "sequence": sequence}
        try:
            status = await self._control.order_weights(order)
        except WorkerUnreachable as error:
            # It may have been taken; the worker's next report tells.
            log_event(LogEvent.ORDER_REFUSED, reason=str(error), **fields)
            return False
        event = LogEvent.ORDER_GIVEN if status in _ACCEPTED else LogEvent.ORDER_REFUSED
        log_event(event, reason=f"status {status}", **fields)
        if status == _UNDER_WAY:
            load.ordered_at = 0.0
        if status == _FENCED:
            # Somebody ordered with a higher token: only a new one may order again.
            await self._lease.resign("fenced")
        if status == _OTHER_INCARNATION:
            self._registry.mark_replaced(worker.id)
        return status not in (*_ACCEPTED, _UNDER_WAY)

    def _finish(self, load: _Load, version: int) -> None:
        if load.ordered_at:
            took = self._clock() - load.began
            self._load_seconds += LOAD_SMOOTHING * (took - self._load_seconds)
        self._registry.record_weights(load.worker.info.id, load.model, version)
