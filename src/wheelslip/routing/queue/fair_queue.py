"""Weighted fair queue of requests: by class, priority, tenant weight and arrival."""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

from wheelslip.routing.model import RoutingRequest, ServiceClass

_CLASS_ORDER = {ServiceClass.INTERACTIVE: 0, ServiceClass.PATIENT: 1}


@dataclass(order=True)
class _Entry:
    class_order: int
    priority: int
    finish_tag: float
    sequence: int
    request: RoutingRequest = field(compare=False)


class FairQueue:
    """Orders requests by class, priority and finish tag of weighted fair queueing.

    Each request advances its tenant's finish tag by ``tokens / weight``, so a tenant that
    exceeds its share delays its own requests and not those of others.
    """

    def __init__(self):
        self._by_id: dict[str, _Entry] = {}
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._by_id

    def get(self, request_id: str) -> RoutingRequest | None:
        """Return a queued request; ``None`` when it is not queued."""
        entry = self._by_id.get(request_id)
        return entry.request if entry else None

    def push(self, request: RoutingRequest) -> None:
        """Enqueue a request."""
        start_tag = max(self._virtual_time, self._finish_tags.get(request.tenant, 0.0))
        work = request.prompt_tokens + request.output_tokens
        finish_tag = start_tag + work / request.weight
        self._finish_tags[request.tenant] = finish_tag
        entry = _Entry(
            _CLASS_ORDER[request.service_class],
            request.priority,
            finish_tag,
            next(self._sequence),
            request,
        )
        self._by_id[request.request_id] = entry

    def remove(self, request_id: str) -> RoutingRequest | None:
        """Remove and return a request from any position; ``None`` when it is not queued."""
        entry = self._by_id.pop(request_id, None)
        if entry is None:
            return None
        self._virtual_time = max(self._virtual_time, entry.finish_tag)
        return entry.request

    def in_order(self) -> Iterator[RoutingRequest]:
        """Yield the queued requests in service order."""
        for entry in sorted(self._by_id.values()):
            yield entry.request
