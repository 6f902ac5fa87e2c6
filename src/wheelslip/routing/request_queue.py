"""Requests of one service that wait at its dispatcher for a worker.

The module does no I/O; the time is passed in. Requests that can still meet their target come
first, by priority; within a priority by start-time fair queueing over tenants, ties by start
deadline. Requests that can only be served late follow in the same order.
"""

from typing import NamedTuple

from wheelslip.routing.placement import PlacementQuery


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
