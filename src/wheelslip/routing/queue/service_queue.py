"""The queue of one service: which requests wait, and when rejected callers should return."""

from collections import defaultdict
from collections.abc import Callable, Hashable

from wheelslip.routing.overload import Overloaded, RetrySchedule
from wheelslip.routing.queue.request_queue import RequestQueue
from wheelslip.routing.queue.service_times import ServiceTimes, TimesByService
from wheelslip.routing.queue.start_rate import StartRate
from wheelslip.routing.queue.waiting_request import QueuedQuery, WaitingRequest
from wheelslip.routing.worker_choice import WorkerPlacement

SWEEP_SECONDS = 0.05
"""Interval of the search for requests that can no longer be served. A search passes all waiting
requests."""


class QueueRejected(Overloaded):
    """Raised when a queue rejects a request.

    :ivar displaced: the request had waited and a more urgent one arrived after it.
    :ivar waited_seconds: time since the request arrived.
    :ivar wait_seconds: time until the request would have started.
    :ivar waiting: number of waiting requests.
    """

    def __init__(
        self,
        retry_seconds: float,
        displaced: bool,
        waited_seconds: float,
        wait_seconds: float,
        waiting: int,
    ):
        super().__init__(retry_seconds)
        self.displaced = displaced
        self.waited_seconds = waited_seconds
        self.wait_seconds = wait_seconds
        self.waiting = waiting


class ServiceQueue:
    """Decides which requests of a service wait, start next or are rejected.

    :param capacity: returns the number of requests that the workers may hold now.
    :param times: how long the workers need for requests.
    :param is_limited_by_slots: returns whether the workers start a request whenever one ends.
    :ivar queued: number of requests that have waited since the start.
    :ivar displaced: number of waiting requests that were rejected after being overtaken.
    :ivar rejected: number of requests that were rejected for other reasons.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        capacity: Callable[[], float],
        times: ServiceTimes,
        is_limited_by_slots: Callable[[], bool] = lambda: False,
    ):
        self._clock = clock
        self._times = times
        self._rate = StartRate(clock, capacity, times, is_limited_by_slots)
        self.requests = RequestQueue(clock, self._rate)
        self._retry_schedules: defaultdict[int, RetrySchedule] = defaultdict(RetrySchedule)
        self._swept_at = clock()
        self.queued = 0
        self.displaced = 0
        self.rejected = 0

    def submit(self, query_id: Hashable, queued: QueuedQuery) -> WaitingRequest:
        """Return a new request; it does not wait yet."""
        work = self._times.expected(queued.query.priority)
        return self.requests.submit(query_id, queued, work)

    def offer(self, request: WaitingRequest) -> list[WaitingRequest]:
        """Let a request wait; return those that a full queue must reject for it.

        :raises QueueRejected: if its caller would not receive the response.
        """
        rejected = self.requests.offer(request)
        if request in rejected:
            raise self.reject(request)
        self.queued += 1
        return rejected

    def reject(self, request: WaitingRequest) -> QueueRejected:
        """Return the rejection of a request, with the time at which its caller should return."""
        displaced = self.requests.was_overtaken(request)
        if displaced:
            self.displaced += 1
        else:
            self.rejected += 1
        wait = self.requests.wait_seconds(request)
        return QueueRejected(
            self._retry_seconds(request, wait),
            displaced,
            self._clock() - request.arrived_at,
            wait,
            len(self.requests),
        )

    def _retry_seconds(self, request: WaitingRequest, wait: float) -> float:
        """Return after how long a request whose caller has as much time is likely to start.

        By then the queue is so much shorter that such a request may wait in it.

        :param wait: time until the request would have started.
        """
        now = self._clock()
        return self._retry_schedules[request.query.priority].retry_seconds(
            now,
            max(0.0, wait - (request.start_by - request.enqueued_at)),
            1.0 / self.requests.available_rate(request),
            request.deadline_at - now,
        )

    def sweep(self) -> list[WaitingRequest]:
        """Return the waiting requests that are to be rejected now."""
        now = self._clock()
        if now - self._swept_at < SWEEP_SECONDS:
            return []
        self._swept_at = now
        return self.requests.sweep()


class ServiceQueues(dict[str, ServiceQueue]):
    """The queues of all services, each created when it is first used.

    :param capacity: returns how many requests the workers of a service may hold.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        workers: WorkerPlacement,
        times: TimesByService,
        capacity: Callable[[str], float],
    ):
        super().__init__()
        self._clock = clock
        self._workers = workers
        self._capacity = capacity
        self._times = times

    def __missing__(self, service: str) -> ServiceQueue:
        queue = self[service] = ServiceQueue(
            self._clock,
            lambda: self._capacity(service),
            self._times[service],
            lambda: self._workers.is_limited_by_slots(service),
        )
        return queue
