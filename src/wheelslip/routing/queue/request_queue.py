"""Requests of one service that wait at its dispatcher for a worker.

The module does no I/O; the clock is injected. Requests that can still meet their target come
first, by priority; within a priority by start-time fair queueing over tenants, ties by start
deadline. Requests that can only be served late follow in the same order.
"""

import itertools
from collections.abc import Callable, Hashable, Iterator
from typing import NamedTuple

from wheelslip.routing.queue.fair_class import FairClass
from wheelslip.routing.queue.start_rate import MIN_LOWER_SHARE, StartRate
from wheelslip.routing.queue.waiting_request import Group, OrderClass, QueuedQuery, WaitingRequest

MAX_WAITING = 4096
"""Maximum number of waiting requests of a service."""

RENEWAL_SECONDS = 1.0
"""A request that its node has not renewed for this time is dropped."""

RETURNED_START_SECONDS = 1.0
"""Least time in which a caller that has returned at its reserved time may start, even if its target
has passed. The reservation would lapse after this time too."""

LOWER_PRIORITY_INTERVAL = 8
"""One start in this many goes to a lower priority while one waits."""

MIN_LATE_SHARE = 0.01
"""Share of the starts that late requests are assumed to receive at least. Under lasting overload
requests in time leave them none, so they are rejected at once."""

START_MARGIN_SECONDS = 0.03
"""Time that a grant needs to its node and the request to its worker."""

ARRIVAL_MARGIN = 1.2
"""Factor on the expected wait of a newcomer, for urgent requests that arrive after it."""

WAITING_MARGIN = 0.7
"""Factor on the expected wait of a waiting request. Less than 1, because the estimate varies and
a request that has waited should only be rejected when it was overtaken."""


class _ClassWait(NamedTuple):
    """What determines the expected waits of all requests of one class.

    A request that is not of the first priority waits at most for its turn among the starts that
    are kept for lower priorities.

    :ivar ahead: requests that wait in the classes before.
    :ivar rate: starts per second that more urgent classes leave.
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
    :param due_before: returns the open reservations that fall due before a time, of a priority
        number of at most the given one.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        rate: StartRate,
        due_before: Callable[[float, int], int] = lambda time, priority: 0,
    ):
        self._clock = clock
        self._rate = rate
        self._due_before = due_before
        self._by_id: dict[Hashable, WaitingRequest] = {}
        self._classes: dict[OrderClass, FairClass] = {}
        self._last_arrival: dict[OrderClass, float] = {}
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
        response_seconds: float,
        has_reservation: bool = False,
    ) -> WaitingRequest:
        """Return a request in the group that it would wait in; it does not wait yet.

        :param response_seconds: expected time from the start to the first response.
        """
        now = self._clock()
        target_at = now + queued.query.target_seconds
        start_by = target_at - response_seconds - START_MARGIN_SECONDS
        arrived_at = now - queued.waited_seconds
        deadline_at = now + queued.deadline_seconds
        if has_reservation:
            # The reserved start is kept even if the target was set before the caller returned.
            start_by = min(max(start_by, now + RETURNED_START_SECONDS), deadline_at)
        request = WaitingRequest(
            query_id, queued, arrived_at, start_by, deadline_at, has_reservation, now, now
        )
        request.sequence = next(self._sequence)
        if queued.query.sent_before:
            request.group = Group.RESENT
        elif start_by < now:
            request.group = Group.LATE
        return request

    def is_next(self, request: WaitingRequest) -> bool:
        """Return whether no waiting request starts before a new one."""
        if not self._by_id:
            return True
        key = request.order_class
        ahead = self._ahead(key) + self._class(key).ahead(request)
        return not ahead and not self._lower_priority_due(request)

    def wait_seconds(self, request: WaitingRequest, group: Group | None = None) -> float:
        """Return the expected time until a request starts.

        :param group: group to assume instead of that of the request.
        """
        group = request.group if group is None else group
        key = request.class_in(group)
        wait = self._class_wait(key)
        seconds = wait.seconds(self._class(key).ahead(request))
        if request.has_reservation or group is Group.RESENT:
            return seconds
        due = self._due_before(self._clock() + seconds, request.query.priority)
        return seconds + due / wait.rate

    def available_rate(self, request: WaitingRequest) -> float:
        """Return the starts per second that more urgent requests leave to a request.

        Infinite while nothing is known.
        """
        return self._available(request.class_in(Group.IN_TIME))

    def offer(self, request: WaitingRequest) -> list[WaitingRequest]:
        """Let a new request wait if it can be served.

        :return: the rejected requests: none, the new one, or the last in order if the queue is
            full.
        """
        group = self._servable_group(request, ARRIVAL_MARGIN)
        if group is None:
            return [request]
        request.group = group
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
        self._rate.record_start(request.order_class, is_busy)
        self.remove(request.query_id)
        self._class(request.order_class).record_start(request)
        waiting = self._occupied(Group.IN_TIME)
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
        """Drop requests that are no longer renewed and return those that are to be rejected.

        A request that can only be served late moves behind those that are in time.
        """
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
        key = request.class_in(Group.IN_TIME)
        return any(
            other < key and arrived_at > request.enqueued_at
            for other, arrived_at in self._last_arrival.items()
        )

    def _reject_unservable(self) -> list[WaitingRequest]:
        rejected = []
        for key in self._occupied():
            class_wait, ahead_in_class = self._class_wait(key), 0
            for request in list(self._classes[key].in_order()):
                wait = WAITING_MARGIN * class_wait.seconds(ahead_in_class)
                if self._is_servable(request, wait):
                    ahead_in_class += 1
                    continue
                self.remove(request.query_id)
                request.group = Group.LATE
                if key.group is Group.IN_TIME and self._may_be_late(request, WAITING_MARGIN):
                    self._insert(request)
                else:
                    rejected.append(request)
        return rejected

    def _is_servable(self, request: WaitingRequest, wait_seconds: float) -> bool:
        start_at = self._clock() + wait_seconds
        match request.group:
            case Group.RESENT:
                return self._clock() < request.deadline_at
            case Group.IN_TIME:
                return start_at <= request.start_by
            case Group.LATE:
                return start_at <= request.late_start_by

    def _servable_group(self, request: WaitingRequest, margin: float) -> Group | None:
        """Return the group in which a request can be served."""
        if request.group is Group.RESENT or request.has_reservation:
            return request.group
        wait = margin * self.wait_seconds(request, Group.IN_TIME)
        if self._clock() + wait <= request.start_by:
            return Group.IN_TIME
        return Group.LATE if self._may_be_late(request, margin) else None

    def _may_be_late(self, request: WaitingRequest, margin: float) -> bool:
        start_at = self._clock() + margin * self.wait_seconds(request, Group.LATE)
        return start_at <= request.late_start_by

    def _insert(self, request: WaitingRequest) -> None:
        if not self._by_id:
            self._rate.update(is_busy=False)
        self._by_id[request.query_id] = request
        self._class(request.order_class).add(request)
        self._last_arrival[request.order_class] = request.enqueued_at

    def _available(self, key: OrderClass) -> float:
        return self._rate.available(
            key, MIN_LATE_SHARE if key.group is Group.LATE else MIN_LOWER_SHARE
        )

    def _ahead(self, key: OrderClass) -> int:
        """Return how many requests wait in the classes before one."""
        return sum(fair.size for other, fair in self._classes.items() if other < key)

    def _class_wait(self, key: OrderClass) -> _ClassWait:
        ahead, rate = self._ahead(key), self._available(key)
        waiting = self._occupied(Group.IN_TIME)
        if key.group is not Group.IN_TIME or not waiting or key.priority == waiting[0].priority:
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

    def _occupied(self, group: Group | None = None) -> list[OrderClass]:
        """Return the classes with waiting requests in order, optionally those of one group."""
        return sorted(
            key
            for key, fair_class in self._classes.items()
            if fair_class.size and (group is None or key.group is group)
        )

    def _is_lower_due(self) -> bool:
        return self._starts_since_lower >= LOWER_PRIORITY_INTERVAL - 1

    def _lower_priority_due(self, request: WaitingRequest) -> bool:
        """Return whether a waiting request of lower priority starts before a new one."""
        if not self._is_lower_due():
            return False
        keys = self._occupied(Group.IN_TIME)
        return any(key.priority > request.query.priority for key in keys)

    def _longest_waiting_lower(self) -> WaitingRequest | None:
        """Return the request in time that has waited longest, of all but the first priority."""
        keys = self._occupied(Group.IN_TIME)
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
