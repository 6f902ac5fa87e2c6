"""Requests that wait at this node for a worker while no dispatcher replies.

The queue has the order and the bounds of a dispatcher's. A request asks for a dispatcher again from
time to time, and then waits there with the time that it has waited here.
"""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TypeVar

from wheelslip.routing.overload import Overloaded
from wheelslip.routing.queue.recent_waits import RecentWaits
from wheelslip.routing.queue.service_queue import QueueRejected, ServiceQueue, ServiceQueues
from wheelslip.routing.queue.service_times import TimesByService
from wheelslip.routing.queue.waiting_request import QueuedQuery, WaitingRequest
from wheelslip.routing.worker_choice import WorkerPlacement

ADVANCE_SECONDS = 0.01
"""Interval at which the first waiting request is tried."""

RECHECK_SECONDS = 0.25
"""Time after which a waiting request asks for a dispatcher again. Shorter than ``RENEWAL_SECONDS``, so
nothing is renewed here."""


Result = TypeVar("Result")


class StillWaiting(Exception):
    """Raised when a request has waited for some time and no worker has room yet."""


@dataclass(eq=False)
class _Waiter:
    """A waiting request.

    :ivar turn: set when the request may try to start, or when its wait ends otherwise.
    :ivar rejection: set when the request is rejected.
    :ivar without_worker: set when no worker accepts requests any more.
    """

    request: WaitingRequest
    turn: asyncio.Event = field(default_factory=asyncio.Event)
    rejection: QueueRejected | None = None
    without_worker: bool = False


class LocalQueue:
    """The queues of this node by service.

    :param records: loads of the workers, as far as this node knows them.
    :param times: how long the workers of each service need for requests.
    :ivar recent_waits: services to which requests have waited here recently.
    :ivar awaits_dispatcher: a dispatcher is expected to reply again soon and to decide then. Until
        then a request is rejected only if it could not start with all workers for this node.
    """

    def __init__(
        self,
        records: WorkerPlacement,
        times: TimesByService,
        clock: Callable[[], float],
    ):
        self._clock = clock
        self._records = records
        self._queues = ServiceQueues(clock, records, times, self._capacity)
        self._waiters: dict[int, _Waiter] = {}
        self.recent_waits = RecentWaits(clock)
        self.awaits_dispatcher = False
        self._numbers = itertools.count()
        self._advancing: asyncio.Task | None = None

    @property
    def rejected(self) -> int:
        """Number of rejected requests since the start."""
        return sum(queue.displaced + queue.rejected for queue in self._queues.values())

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiters)

    def _capacity(self, service: str) -> float:
        if self.awaits_dispatcher:
            return self._records.total_capacity(service)
        return self._records.start_capacity(service)

    async def start(
        self,
        queued: QueuedQuery,
        attempt: Callable[[], Awaitable[Result]],
        on_wait: Callable[[], None],
    ) -> Result | None:
        """Wait until no other request starts before this one and a worker has room for it.

        :param attempt: assigns a worker; raises ``Overloaded`` if none has room.
        :param on_wait: called when the request is about to wait.
        :return: the result of the attempt, ``None`` also if no worker accepts requests.
        :raises QueueRejected: if the caller would not receive the response.
        :raises StillWaiting: after :data:`RECHECK_SECONDS`.
        """
        queue = self._queues[queued.query.service]
        request = queue.submit(next(self._numbers), queued)
        if queue.requests.is_next(request):
            try:
                return await self._attempt(queue, request, attempt)
            except Overloaded:
                pass
        if not self._records.has_worker(queued.query.service):
            return None
        on_wait()
        waiter = self._enqueue(queue, request)
        try:
            return await self._take_turns(queue, waiter, attempt)
        finally:
            del self._waiters[request.query_id]
            queue.requests.remove(request.query_id)

    def _enqueue(self, queue: ServiceQueue, request: WaitingRequest) -> _Waiter:
        """Let a request wait.

        :raises QueueRejected: if its caller would not receive the response.
        """
        displaced = queue.offer(request)
        self.recent_waits.record(request.query.service)
        waiter = self._waiters[request.query_id] = _Waiter(request)
        for each in displaced:
            self._reject(queue, each)
        if self._advancing is None:
            loop = asyncio.get_running_loop()
            self._advancing = loop.create_task(self._advance_while_waiting())
        return waiter

    async def _take_turns(
        self, queue: ServiceQueue, waiter: _Waiter, attempt: Callable[[], Awaitable[Result]]
    ) -> Result | None:
        recheck_at = self._clock() + RECHECK_SECONDS
        while True:
            try:
                async with asyncio.timeout(recheck_at - self._clock()):
                    await waiter.turn.wait()
            except TimeoutError as exc:
                raise StillWaiting from exc
            if waiter.without_worker:
                return None
            if waiter.rejection is not None:
                raise waiter.rejection
            try:
                return await self._attempt(queue, waiter.request, attempt)
            except Overloaded:
                waiter.turn.clear()

    async def _attempt(
        self,
        queue: ServiceQueue,
        request: WaitingRequest,
        attempt: Callable[[], Awaitable[Result]],
    ) -> Result:
        result = await attempt()
        if result is not None:
            queue.requests.record_start(request)
            self._give_turn(queue)
        return result

    async def _advance_while_waiting(self) -> None:
        try:
            while self._waiters:
                await asyncio.sleep(ADVANCE_SECONDS)
                for service, queue in self._queues.items():
                    if self._records.has_worker(service):
                        self._advance(queue)
                    else:
                        self._end_waits(queue)
        finally:
            self._advancing = None

    def _advance(self, queue: ServiceQueue) -> None:
        for request in queue.sweep():
            self._reject(queue, request)
        self._give_turn(queue)

    def _end_waits(self, queue: ServiceQueue) -> None:
        for request in queue.requests.in_order():
            waiter = self._waiters[request.query_id]
            waiter.without_worker = True
            waiter.turn.set()

    def _give_turn(self, queue: ServiceQueue) -> None:
        """Let the first waiting request try to start."""
        request = next(queue.requests.in_order(), None)
        if request is not None:
            self._waiters[request.query_id].turn.set()

    def _reject(self, queue: ServiceQueue, request: WaitingRequest) -> None:
        queue.requests.remove(request.query_id)
        waiter = self._waiters[request.query_id]
        waiter.rejection = queue.reject(request)
        waiter.turn.set()
