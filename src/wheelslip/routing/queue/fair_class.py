"""Start-time fair queueing over the waiting requests of one order class.

Each tenant has a flow. Only a start advances the tag of a flow, so requests that are rejected or
leave cost their tenant nothing. Within a flow the earliest start deadline comes first, so requests
that move to another dispatcher keep their order whichever is enqueued first.
"""

import heapq
import math
from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass, field

from wheelslip.routing.queue.waiting_request import WaitingRequest


@dataclass
class _Flow:
    """The requests of one tenant in one class, by start deadline.

    :ivar tag: virtual start time of the first request.
    """

    tag: float = 0.0
    work: float = 1.0
    requests: list[WaitingRequest] = field(default_factory=list)

    def position(self, request: WaitingRequest) -> int:
        """Return how many requests of the flow come before one."""
        return bisect_left(self.requests, request.flow_order, key=lambda each: each.flow_order)


class FairClass:
    """The flows of one order class.

    :ivar size: number of waiting requests.
    """

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
        """Add a waiting request."""
        flow = self._flow(request.query.tenant)
        flow.work = request.work
        insort(flow.requests, request, key=lambda each: each.flow_order)
        self.size += 1

    def remove(self, request: WaitingRequest) -> None:
        """Remove a waiting request."""
        flow = self._flows[request.query.tenant]
        del flow.requests[flow.position(request)]
        self.size -= 1

    def record_start(self, request: WaitingRequest) -> None:
        """Advance the virtual time by a request that is not, or no longer, in its flow.

        When no request waits, all tenants are equal again: none is ahead by more than one request.
        """
        if not self.size:
            self._flows.clear()
            return
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
        if not self.size:
            return 0
        own = self._flows.get(request.query.tenant) or _Flow()
        position = own.position(request)
        own_tag = own.tag if own.requests else max(own.tag, self._virtual_time)
        tag = own_tag + position * own.work
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
