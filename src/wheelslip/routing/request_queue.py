"""Requests of one service that wait at its dispatcher for a worker.

The module does no I/O; the clock is injected. Requests that can still meet their target come
first, by priority; within a priority by start-time fair queueing over tenants, ties by start
deadline. Requests that can only be served late follow in the same order.

Each tenant has a flow per order class. Only a start advances the tag of a flow, so requests that
are rejected or leave cost their tenant nothing. Within a flow the earliest start deadline comes
first, so requests that move to another dispatcher keep their order whichever is enqueued first.
"""

import heapq
import itertools
import math
from bisect import bisect_left, insort
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from wheelslip.routing.placement import PlacementQuery
from wheelslip.routing.start_rate import MIN_LOWER_SHARE, StartRate

MAX_WAITING = 4096
"""Maximum number of waiting requests of a service."""

RENEWAL_SECONDS = 1.0
"""A request that its node has not renewed for this time is dropped."""

LOWER_PRIORITY_INTERVAL = 8
"""One start in this many goes to a lower priority while one waits."""

MAX_LATE_SECONDS = 1.5
"""Latest start after arrival of a request that misses its target: callers of streams give up
after 2 s without an event."""

LATE_DEADLINE_SHARE = 0.5
"""The same limit as a share of the time between arrival and deadline."""

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


class QueuedQuery(NamedTuple):
    """A placement query that may wait, as its node submits it.

    All durations are relative, because the clocks of nodes are not comparable.

    :ivar query: ``target_seconds`` is the time left at the moment of receipt. ``tenant`` is also
        the flow of fair queueing: requests with an empty tenant share one flow, so nodes should
        name the tenant even if it has no limit (``limit_units`` is then 0).
    :ivar waited_seconds: time since the request arrived at its node.
    :ivar deadline_seconds: time left until the deadline at the moment of receipt.
    :ivar content: fingerprint of method, target, tenant and body; recognizes a returning caller.
    """

    query: PlacementQuery
    waited_seconds: float = 0.0
    deadline_seconds: float = 10.0
    content: str = ""


class Group(IntEnum):
    """Groups of requests in the order in which they start.

    ``RESENT`` requests were sent to a worker before and are never rejected before their deadline.
    """

    RESENT = 0
    IN_TIME = 1
    LATE = 2


class OrderClass(NamedTuple):
    """Requests between which only fair queueing decides. Smaller classes start first.

    :ivar is_new: the caller has no reservation.
    """

    group: Group
    priority: int
    is_new: bool


@dataclass(eq=False)
class WaitingRequest:
    """A request that waits or is about to start.

    :ivar arrived_at: arrival at its node, by this node's clock.
    :ivar start_by: latest start that meets the target.
    :ivar has_reservation: its caller has returned at the reserved time.
    """

    query_id: Hashable
    queued: QueuedQuery
    arrived_at: float
    start_by: float
    deadline_at: float
    has_reservation: bool = False
    enqueued_at: float = 0.0
    renewed_at: float = 0.0
    group: Group = Group.IN_TIME
    sequence: int = 0

    @property
    def query(self) -> PlacementQuery:
        """The placement query."""
        return self.queued.query

    @property
    def order_class(self) -> OrderClass:
        """The class of the request in its present group."""
        return self.class_in(self.group)

    def remaining_query(self, now: float) -> PlacementQuery:
        """Return the placement query with the time that is left until the target now."""
        remaining = self.query.target_seconds - (now - self.enqueued_at)
        return self.query._replace(target_seconds=remaining)

    def class_in(self, group: Group) -> OrderClass:
        """Return the class that the request has in a group."""
        return OrderClass(group, self.query.priority, not self.has_reservation)

    @property
    def work(self) -> float:
        """Work by which fair queueing charges the tenant: tokens, or 1 without a model."""
        return float(max(1, self.query.prompt_tokens + self.query.output_tokens))

    @property
    def late_start_by(self) -> float:
        """Latest start of the request when it misses its target."""
        allowed = LATE_DEADLINE_SHARE * (self.deadline_at - self.arrived_at)
        return self.arrived_at + min(MAX_LATE_SECONDS, allowed)

    @property
    def flow_order(self) -> tuple[float, int]:
        """Position among the requests of the same tenant and class."""
        return self.start_by, self.sequence


@dataclass
class _Flow:
    """The requests of one tenant in one class, by start deadline.

    :ivar tag: virtual start time of the first request.
    """

    tag: float = 0.0
    work: float = 1.0
    requests: list[WaitingRequest] = field(default_factory=list)

    def position(self, request: WaitingRequest) -> int:
        return bisect_left(self.requests, request.flow_order, key=lambda each: each.flow_order)


class _FairClass:
    """Start-time fair queueing over the flows of one order class."""

    def __init__(self):
        self._flows: dict[str, _Flow] = {}
        self._virtual_time = 0.0
        self.size = 0

    def _flow(self, tenant: str) -> _Flow:
        flow = self._flows.setdefault(tenant, _Flow())
        if not flow.requests:
            flow.tag = max(flow.tag, self._virtual_time)
        return flow

    def add(self, request: WaitingRequest) -> None:
        flow = self._flow(request.query.tenant)
        flow.work = request.work
        insort(flow.requests, request, key=lambda each: each.flow_order)
        self.size += 1

    def remove(self, request: WaitingRequest) -> None:
        flow = self._flows[request.query.tenant]
        del flow.requests[flow.position(request)]
        self.size -= 1

    def record_start(self, request: WaitingRequest) -> None:
        """Advance the virtual time by a request that is not, or no longer, in its flow."""
        flow = self._flow(request.query.tenant)
        self._virtual_time = max(self._virtual_time, flow.tag)
        flow.tag += request.work

    def forget_idle(self) -> None:
        """Delete flows without requests that have no service ahead of the others."""
        self._flows = {
            tenant: flow
            for tenant, flow in self._flows.items()
            if flow.requests or flow.tag > self._virtual_time
        }

    def ahead(self, request: WaitingRequest) -> int:
        """Return how many requests start before one that waits or would wait."""
        own = self._flow(request.query.tenant)
        position = own.position(request)
        tag = own.tag + position * own.work
        count = position
        for flow in self._flows.values():
            if flow is not own and flow.requests and flow.tag <= tag:
                earlier = math.ceil((tag - flow.tag) / flow.work)
                tied = earlier == 0 and flow.requests[0].flow_order < request.flow_order
                count += min(len(flow.requests), earlier + tied)
        return count

    def heads(self) -> Iterator[WaitingRequest]:
        """Yield the first request of each tenant."""
        return (flow.requests[0] for flow in self._flows.values() if flow.requests)

    def last(self) -> WaitingRequest:
        """Return the last request in order."""
        flows = [flow for flow in self._flows.values() if flow.requests]
        longest = max(flows, key=lambda flow: flow.tag + flow.work * len(flow.requests))
        return longest.requests[-1]

    def in_order(self) -> Iterator[WaitingRequest]:
        """Yield the requests in the order in which they start."""
        flows = [flow.requests for flow in self._flows.values() if flow.requests]
        tags = [flow.tag for flow in self._flows.values() if flow.requests]
        heap = [(tags[n], flows[n][0].flow_order, n, 0) for n in range(len(flows))]
        heapq.heapify(heap)
        while heap:
            tag, _, number, position = heap[0]
            request = flows[number][position]
            yield request
            position += 1
            if position == len(flows[number]):
                heapq.heappop(heap)
                continue
            following = flows[number][position].flow_order
            heapq.heapreplace(heap, (tag + request.work, following, number, position))


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
        self._classes: dict[OrderClass, _FairClass] = {}
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
            start_by = min(max(start_by, now + RENEWAL_SECONDS), deadline_at)
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
        rate = self._available(key)
        seconds = self._seconds(key, self._ahead(key), self._class(key).ahead(request))
        if request.has_reservation or group is Group.RESENT:
            return seconds
        due = self._due_before(self._clock() + seconds, request.query.priority)
        return seconds + due / rate

    def available_rate(self, request: WaitingRequest) -> float:
        """Return the starts per second that more urgent requests leave to a request."""
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
            ahead, ahead_in_class = self._ahead(key), 0
            for request in list(self._classes[key].in_order()):
                wait = self._seconds(key, ahead, ahead_in_class)
                if self._is_servable(request, WAITING_MARGIN * wait):
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

    def _seconds(self, key: OrderClass, ahead: int, ahead_in_class: int) -> float:
        """Return the expected time until a request starts.

        A request that is not of the first priority waits at most for its turn among the starts
        that are kept for lower priorities.

        :param ahead: requests that wait in the classes before its own.
        """
        seconds = (ahead + ahead_in_class) / self._available(key)
        waiting = self._occupied(Group.IN_TIME)
        if key.group is not Group.IN_TIME or not waiting or key.priority == waiting[0].priority:
            return seconds
        lower_ahead = ahead_in_class + sum(
            self._classes[other].size
            for other in waiting
            if waiting[0].priority < other.priority and other < key
        )
        turn_seconds = LOWER_PRIORITY_INTERVAL * (lower_ahead + 1) / self._rate.rate()
        return min(seconds, turn_seconds)

    def _class(self, key: OrderClass) -> _FairClass:
        if key not in self._classes:
            self._classes[key] = _FairClass()
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
