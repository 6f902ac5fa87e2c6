"""Requests of one service that wait at its dispatcher for a worker.

The module does no I/O; the clock is injected. Requests start by priority; within a priority by
start-time fair queueing over tenants, ties by start deadline. A request is rejected once it is not
expected to start before its start deadline, which follows from the time that its caller waits and
from the time that a worker needs for it.
"""

import itertools
from collections.abc import Callable, Hashable, Iterator
from typing import NamedTuple

from wheelslip.routing.queue.fair_class import FairClass
from wheelslip.routing.queue.lasting_arrivals import LastingArrivals
from wheelslip.routing.queue.start_rate import MIN_RATE, StartRate
from wheelslip.routing.queue.waiting_request import (
    OrderClass,
    QueuedQuery,
    WaitingRequest,
    WorkTimes,
)

MAX_WAITING = 4096
"""Maximum number of waiting requests of a service."""

RENEWAL_SECONDS = 1.0
"""A request that its node has not renewed for this time is dropped."""

LOWER_PRIORITY_INTERVAL = 8
"""One start in this many goes to a lower priority while one waits, so that a lasting load of urgent
requests does not shut the others out."""

START_MARGIN_SECONDS = 0.03
"""Time that a grant needs to its node and the request to its worker."""


class _ClassWait(NamedTuple):
    """What determines the expected waits of all requests of one class.

    A request that is not of the first priority waits at most for its turn among the starts that
    are kept for lower priorities.

    :ivar ahead: requests that wait in the classes before.
    :ivar rate: starts per second that the requests of these classes and of this one receive.
    :ivar lower_ahead: those requests ahead that share the starts kept for lower priorities.
    :ivar lower_rate: rate of these starts; 0 for a class without a share in them.
    """

    ahead: int
    rate: float
    lower_ahead: int = 0
    lower_rate: float = 0.0

    def seconds(self, ahead_in_class: int) -> float:
        """Return the expected time until a request starts."""
        seconds = (self.ahead + ahead_in_class) / self.rate
        if not self.lower_rate:
            return seconds
        return min(seconds, (self.lower_ahead + ahead_in_class + 1) / self.lower_rate)


class RequestQueue:
    """The waiting requests of one service.

    :param rate: measured rate of starts of the service.
    """

    def __init__(self, clock: Callable[[], float], rate: StartRate):
        self._clock = clock
        self._rate = rate
        self._by_id: dict[Hashable, WaitingRequest] = {}
        self._classes: dict[OrderClass, FairClass] = {}
        self._last_arrival: dict[OrderClass, float] = {}
        self._arrivals = LastingArrivals(clock)
        self._starts_since_lower = 0
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return len(self._by_id)

    def get(self, query_id: Hashable) -> WaitingRequest | None:
        """Return a waiting request; ``None`` when it does not wait."""
        return self._by_id.get(query_id)

    def submit(
        self,
        query_id: Hashable,
        queued: QueuedQuery,
        work: WorkTimes,
    ) -> WaitingRequest:
        """Return a request; it does not wait yet.

        :param work: time that a worker is expected to need for it.
        """
        now = self._clock()
        response_by = now + queued.query.patience_seconds
        deadline_at = now + queued.deadline_seconds
        start_by = work.latest_start(response_by, deadline_at) - START_MARGIN_SECONDS
        arrived_at = now - queued.waited_seconds
        request = WaitingRequest(query_id, queued, arrived_at, start_by, deadline_at, now, now)
        request.sequence = next(self._sequence)
        return request

    def is_next(self, request: WaitingRequest) -> bool:
        """Return whether no waiting request starts before a new one."""
        if not self._by_id:
            return True
        key = request.order_class
        ahead = self._ahead(key) + self._class(key).ahead(request)
        return not ahead and not self._lower_priority_due(request)

    def wait_seconds(self, request: WaitingRequest) -> float:
        """Return the expected time until a request starts.

        More urgent requests are expected to arrive as before.
        """
        key = request.order_class
        wait = self._class_wait(key, self._rate_left(key))
        return wait.seconds(self._class(key).ahead(request))

    def available_rate(self, request: WaitingRequest) -> float:
        """Return the starts per second that more urgent requests leave to a request.

        Infinite while nothing is known.
        """
        return self._rate_left(request.order_class)

    def offer(self, request: WaitingRequest) -> list[WaitingRequest]:
        """Let a new request wait if it can be served.

        :return: the rejected requests: none, the new one, or the last in order if the queue is
            full.
        """
        if not self._is_servable(request, self.wait_seconds(request)):
            return [request]
        self._insert(request)
        if len(self._by_id) <= MAX_WAITING:
            return []
        last = self._last()
        self.remove(last.query_id)
        return [last]

    def renew(self, query_id: Hashable) -> bool:
        """Record that a node still holds a request; return whether the request waits."""
        request = self._by_id.get(query_id)
        if request is not None:
            request.renewed_at = self._clock()
        return request is not None

    def remove(self, query_id: Hashable) -> WaitingRequest | None:
        """Remove a request; return ``None`` when it does not wait."""
        request = self._by_id.pop(query_id, None)
        if request is not None:
            self._classes[request.order_class].remove(request)
        return request

    def record_start(self, request: WaitingRequest) -> None:
        """Record that a request starts, whether it has waited or not."""
        is_busy = len(self._by_id) > 0
        self._rate.update(is_busy)
        self._rate.record_start(is_busy)
        if self.remove(request.query_id) is None:
            self._arrivals.record(request.order_class)
        self._class(request.order_class).record_start(request)
        waiting = self._occupied_unsent()
        is_lower = any(key.priority < request.query.priority for key in waiting)
        lower_waits = any(key.priority > request.query.priority for key in waiting)
        self._starts_since_lower = (
            0 if is_lower or not lower_waits else self._starts_since_lower + 1
        )

    def in_order(self) -> Iterator[WaitingRequest]:
        """Yield the waiting requests in the order in which they start.

        The queue must not change during the iteration.
        """
        favored = self._longest_waiting_lower() if self._is_lower_due() else None
        if favored is not None:
            yield favored
        for key in self._occupied():
            for request in self._classes[key].in_order():
                if request is not favored:
                    yield request

    def sweep(self) -> list[WaitingRequest]:
        """Drop requests that are no longer renewed and return those that are to be rejected."""
        now = self._clock()
        self._rate.update(len(self._by_id) > 0)
        for request in list(self._by_id.values()):
            if now - request.renewed_at > RENEWAL_SECONDS:
                self.remove(request.query_id)
        rejected = self._reject_unservable()
        for fair_class in self._classes.values():
            fair_class.forget_idle()
        return rejected

    def was_overtaken(self, request: WaitingRequest) -> bool:
        """Return whether a request that starts earlier arrived after this one."""
        key = request.order_class
        return any(
            other < key and arrived_at > request.enqueued_at
            for other, arrived_at in self._last_arrival.items()
        )

    def _reject_unservable(self) -> list[WaitingRequest]:
        """Remove and return the requests that those ahead leave no time, if no others arrive."""
        rejected = []
        rate = self._rate.rate()
        for key in self._occupied():
            class_wait, ahead_in_class = self._class_wait(key, rate), 0
            for request in list(self._classes[key].in_order()):
                if self._is_servable(request, class_wait.seconds(ahead_in_class)):
                    ahead_in_class += 1
                    continue
                self.remove(request.query_id)
                rejected.append(request)
        return rejected

    def _is_servable(self, request: WaitingRequest, wait_seconds: float) -> bool:
        now = self._clock()
        if request.query.sent_before:
            return now < request.deadline_at
        return now + wait_seconds <= request.start_by

    def _insert(self, request: WaitingRequest) -> None:
        if not self._by_id:
            self._rate.update(is_busy=False)
        self._by_id[request.query_id] = request
        self._class(request.order_class).add(request)
        self._last_arrival[request.order_class] = request.enqueued_at
        self._arrivals.record(request.order_class)

    def _ahead(self, key: OrderClass) -> int:
        """Return how many requests wait in the classes before one."""
        return sum(fair.size for other, fair in self._classes.items() if other < key)

    def _rate_left(self, key: OrderClass) -> float:
        """Return the starts per second that the arrivals of earlier classes leave to one."""
        rate = self._rate.rate()
        left = rate - self._arrivals.rate_before(key)
        return max(left, rate / LOWER_PRIORITY_INTERVAL, MIN_RATE)

    def _class_wait(self, key: OrderClass, rate: float) -> _ClassWait:
        """Return what determines the waits of a class.

        :param rate: starts per second that it and the waiting requests ahead of it receive.
        """
        ahead = self._ahead(key)
        waiting = self._occupied_unsent()
        if not key.is_unsent or not waiting or key.priority == waiting[0].priority:
            return _ClassWait(ahead, rate)
        lower_ahead = sum(
            self._classes[other].size
            for other in waiting
            if waiting[0].priority < other.priority and other < key
        )
        return _ClassWait(ahead, rate, lower_ahead, self._rate.rate() / LOWER_PRIORITY_INTERVAL)

    def _class(self, key: OrderClass) -> FairClass:
        if key not in self._classes:
            self._classes[key] = FairClass()
        return self._classes[key]

    def _occupied(self) -> list[OrderClass]:
        """Return the classes with waiting requests in order."""
        return sorted(key for key, fair_class in self._classes.items() if fair_class.size)

    def _occupied_unsent(self) -> list[OrderClass]:
        """Return the same without the requests that were sent to a worker before."""
        return [key for key in self._occupied() if key.is_unsent]

    def _is_lower_due(self) -> bool:
        return self._starts_since_lower >= LOWER_PRIORITY_INTERVAL - 1

    def _lower_priority_due(self, request: WaitingRequest) -> bool:
        """Return whether a waiting request of lower priority starts before a new one."""
        if not self._is_lower_due():
            return False
        keys = self._occupied_unsent()
        return any(key.priority > request.query.priority for key in keys)

    def _longest_waiting_lower(self) -> WaitingRequest | None:
        """Return the request that has waited longest, of all but the first priority."""
        keys = self._occupied_unsent()
        heads = [
            head
            for key in keys
            if key.priority > keys[0].priority
            for head in self._classes[key].heads()
        ]
        return min(heads, key=lambda request: request.arrived_at, default=None)

    def _last(self) -> WaitingRequest:
        """Return the request that would start last."""
        return self._classes[self._occupied()[-1]].last()
