"""A request that waits at its dispatcher for a worker, and its place in the order."""

from collections.abc import Hashable
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from wheelslip.routing.placement import PlacementQuery

MAX_LATE_SECONDS = 1.5
"""Latest start after arrival of a request that misses its target: callers of streams give up
after 2 s without an event."""

LATE_DEADLINE_SHARE = 0.5
"""The same limit as a share of the time between arrival and deadline."""


class QueryId(NamedTuple):
    """Identifies a query: the incarnation of the node and its sequence number there."""

    node: str
    number: int


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
