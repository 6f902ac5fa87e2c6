"""Load patterns replayed in virtual time against a dispatcher with its queue, without a network.

Datagrams take 5 ms, like the requests and responses between nodes and workers. Callers honour a
retry time once, if it is at most a third of the time that they have left.
"""

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field
from types import SimpleNamespace

import pytest

from wheelslip.deployment import EngineProfile, Service, Worker, WorkerInfo, WorkerState
from wheelslip.routing.dispatcher import Dispatcher, NoWorker, Progress, QueryId
from wheelslip.routing.fleet_choice import FleetPlacement
from wheelslip.routing.limit_authority import SingleNodeAuthority
from wheelslip.routing.named_limits import WorkerRateLimits
from wheelslip.routing.overload import Overloaded
from wheelslip.routing.placement import Placement, PlacementQuery
from wheelslip.routing.request_queue import QueuedQuery
from wheelslip.routing.service_queue import QueueRejected
from wheelslip.routing.tenant_limits import TenantLimits
from wheelslip.routing.worker_allowance import WorkerAllowance

DELAY = 0.005
RENEWAL_INTERVAL = 0.25
SECONDS = 10.0
SLOTS, SLOT_SECONDS = 6, 0.069
PREFILL_RATE = 30_000.0
TOKEN_SECONDS = 0.01


@dataclass(frozen=True)
class Kind:
    """A class of requests; tokens are 0 at a plain service."""

    priority: int
    target: float
    deadline: float
    prompt_tokens: int = 0
    output_tokens: int = 0


@dataclass(eq=False)
class Caller:
    kind: Kind
    tenant: str
    content: str
    arrived: float
    attempt_at: float = 0.0
    number: int = 0
    was_sent: bool = False
    was_told: bool = False
    served_at: float | None = None
    late_rejection: bool = False


@dataclass(eq=False)
class SimulatedWorker:
    """A plain worker that rejects what exceeds its slots, or an engine with one prefill at a time."""

    worker: Worker
    is_lost: bool = False
    running: int = 0
    prefills: deque = field(default_factory=deque)


class World:
    """Callers, nodes, workers and one dispatcher, driven by one heap of events."""

    def __init__(self, workers: int, engine: EngineProfile | None, seed: int):
        self.now = 0.0
        self.random = random.Random(seed)
        self.engine = engine
        self.events: list = []
        self.order = itertools.count()
        self.numbers = itertools.count(1)
        self.callers: list[Caller] = []
        self.waiting: dict[QueryId, Caller] = {}
        self.rejected_by_worker = 0
        self.most_waiting = 0
        info = [
            WorkerInfo(f"w{n}", "s", f"w{n}", "z", WorkerState.READY, SLOTS, {"m": 1})
            for n in range(workers)
        ]
        self.workers = {each.id: SimulatedWorker(Worker(each, {"m": 1})) for each in info}
        self.dispatcher = self._make_dispatcher()

    def _make_dispatcher(self) -> Dispatcher:
        clock = lambda: self.now  # noqa: E731
        view = SimpleNamespace(
            configuration=SimpleNamespace(
                services={"s": Service("s", 100, self.engine)}, cache_stores=()
            ),
            workers={key: each.worker for key, each in self.workers.items()},
            workers_of=lambda _: [e.worker for e in self.workers.values() if not e.is_lost],
            loading_workers=frozenset,
            start_deadline=lambda *_: float("inf"),
        )
        authority = SingleNodeAuthority(clock)
        return Dispatcher(
            FleetPlacement(view, clock, self.random),
            TenantLimits(dict, authority, clock),
            WorkerAllowance(WorkerRateLimits(clock), authority),
            clock,
            lambda: True,
        )

    def at(self, time: float, action, *arguments) -> None:
        heapq.heappush(self.events, (time, next(self.order), action, arguments))

    def after(self, seconds: float, action, *arguments) -> None:
        self.at(self.now + seconds, action, *arguments)

    def run(self, until: float) -> None:
        self.at(0.0, self._tick)
        while self.events and self.events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)

    def offer(self, kind: Kind, rate: float, tenant: str, begin: float, end: float) -> None:
        """Add callers that arrive at random at a mean rate."""
        time = begin + self.random.expovariate(rate)
        while time < end:
            caller = Caller(kind, tenant, f"{tenant}-{len(self.callers)}", time)
            self.callers.append(caller)
            self.at(time, self._attempt, caller)
            time += self.random.expovariate(rate)

    def lose(self, worker_id: str) -> None:
        """Remove a worker; requests there are lost and are sent again."""
        self.workers[worker_id].is_lost = True

    # A node

    def _attempt(self, caller: Caller) -> None:
        caller.attempt_at = self.now
        self._ask(caller)

    def _ask(self, caller: Caller) -> None:
        caller.number = next(self.numbers)
        self.after(DELAY, self._receive_query, caller, QueryId("n", caller.number), False)

    def _renew(self, caller: Caller, query_id: QueryId) -> None:
        if self.waiting.get(query_id) is caller:
            self._receive_query(caller, query_id, True)
            self.after(RENEWAL_INTERVAL, self._renew, caller, query_id)

    def _decided(self, caller: Caller, query_id: QueryId, decision) -> None:
        if isinstance(decision, Placement):
            caller.was_sent = True
            self.after(DELAY, self._receive_request, caller, query_id, decision)
        else:
            self._rejected(caller, decision)

    def _rejected(self, caller: Caller, decision: QueueRejected) -> None:
        overtaken = isinstance(decision, QueueRejected) and decision.displaced
        caller.late_rejection |= self.now - caller.attempt_at > 0.1 and not overtaken
        left = caller.arrived + caller.kind.deadline - self.now
        if not caller.was_told and decision.retry_seconds <= left / 3:
            caller.was_told = True
            self.after(decision.retry_seconds, self._attempt, caller)

    def _report(self, query_id: QueryId, progress: Progress) -> None:
        self.dispatcher.record_progress(query_id, progress)
        self._advance()

    # The dispatcher

    def _query(self, caller: Caller) -> PlacementQuery:
        kind = caller.kind
        target = caller.attempt_at + kind.target - self.now
        model = "m" if kind.prompt_tokens else ""
        return PlacementQuery(
            "s", "s", model, kind.prompt_tokens, kind.output_tokens, target_seconds=target,
            priority=kind.priority, sent_before=caller.was_sent, tenant=caller.tenant,
        )  # fmt: skip

    def _receive_query(self, caller: Caller, query_id: QueryId, is_enqueue: bool) -> None:
        query = self._query(caller)
        left = caller.arrived + caller.kind.deadline - self.now
        waited = self.now - caller.attempt_at
        try:
            if is_enqueue:
                queued = QueuedQuery(query, waited, left, caller.content)
                placement = self.dispatcher.enqueue(query_id, queued)
                self.most_waiting = max(self.most_waiting, self.dispatcher.queue_depth())
                if placement is None:
                    return
                self.waiting.pop(query_id)
            else:
                placement = self.dispatcher.grant(query_id, query)
        except NoWorker:
            placement = Overloaded(1.0)
        except Overloaded as exc:
            if not is_enqueue:
                self.waiting[query_id] = caller
                self.after(2 * DELAY, self._renew, caller, query_id)
                return
            self.waiting.pop(query_id)
            placement = exc
        self.after(DELAY, self._decided, caller, query_id, placement)

    def _advance(self) -> None:
        for query_id, decision in self.dispatcher.advance_queues():
            caller = self.waiting.pop(query_id)
            self.after(DELAY, self._decided, caller, query_id, decision)

    def _tick(self) -> None:
        self._advance()
        self.after(0.01, self._tick)

    # Workers

    def _receive_request(self, caller: Caller, query_id: QueryId, placement: Placement) -> None:
        worker = self.workers[placement.worker.info.id]
        is_full = self.engine is None and worker.running >= SLOTS
        if worker.is_lost or is_full:
            self.rejected_by_worker += 1
            self.after(2 * DELAY, self._report, query_id, Progress.NOT_RUN)
            self.after(DELAY, self._ask, caller)
            return
        worker.running += 1
        if self.engine is None:
            seconds = SLOT_SECONDS * self.random.uniform(0.7, 1.3)
            self.after(seconds, self._finish, worker, caller, query_id, seconds)
            return
        worker.prefills.append((caller, query_id))
        if len(worker.prefills) == 1:
            self._start_prefill(worker)

    def _start_prefill(self, worker: SimulatedWorker) -> None:
        caller, query_id = worker.prefills[0]
        seconds = caller.kind.prompt_tokens / PREFILL_RATE
        self.after(seconds, self._end_prefill, worker, caller, query_id)

    def _end_prefill(self, worker: SimulatedWorker, caller: Caller, query_id: QueryId) -> None:
        worker.prefills.popleft()
        if worker.prefills:
            self._start_prefill(worker)
        self.after(2 * DELAY, self._report, query_id, Progress.FIRST_TOKEN)
        self._serve(caller)
        seconds = TOKEN_SECONDS * caller.kind.output_tokens
        self.after(seconds, self._finish, worker, caller, query_id, seconds)

    def _finish(self, worker: SimulatedWorker, caller: Caller, query_id: QueryId, _) -> None:
        worker.running -= 1
        if worker.is_lost and self.engine is None:
            self.after(DELAY, self._report, query_id, Progress.FAILED)
            self.after(DELAY, self._ask, caller)
            return
        if self.engine is None:
            self._serve(caller)
        self.after(2 * DELAY, self._report, query_id, Progress.ENDED)

    def _serve(self, caller: Caller) -> None:
        if caller.served_at is None:
            caller.served_at = self.now + DELAY


def share(callers: list[Caller], condition) -> float:
    return sum(map(condition, callers)) / max(1, len(callers))


def in_target(caller: Caller) -> bool:
    return caller.served_at is not None and caller.served_at - caller.arrived <= caller.kind.target


def was_served(caller: Caller) -> bool:
    return caller.served_at is not None


def summary(world: World) -> dict[str, float]:
    callers = world.callers
    urgent = [caller for caller in callers if caller.kind.priority == 0]
    lower = [caller for caller in callers if caller.kind.priority > 0]
    told = [caller for caller in callers if caller.was_told]
    return {
        "urgent": share(urgent, in_target),
        "urgent served": share(urgent, was_served),
        "lower": share(lower, in_target),
        "lower served": share(lower, was_served),
        "all": share(callers, in_target),
        "told": len(told) / len(callers),
        "returned": share(told, was_served),
        "rejected late": share(callers, lambda caller: caller.late_rejection),
    }
