"""A request that waits at its dispatcher for a worker, and its place in the order."""

from collections.abc import Hashable
from dataclasses import dataclass
from typing import NamedTuple

from wheelslip.routing.placement import PlacementQuery


class QueryId(NamedTuple):
    """Identifies a query: the incarnation of the node and its sequence number there."""

    node: str
    number: int


class QueuedQuery(NamedTuple):
    """A placement query that may wait, as its node submits it.

    All durations are relative, because the clocks of nodes are not comparable.

    :ivar query: ``patience_seconds`` is the time left at the moment of receipt. ``tenant`` is also
        the flow of fair queueing: requests with an empty tenant share one flow, so nodes should
        name the tenant even if it has no limit (``limit_units`` is then 0).
    :ivar waited_seconds: time since the request arrived at its node.
    :ivar deadline_seconds: time left until the deadline at the moment of receipt.
    """

    query: PlacementQuery
    waited_seconds: float = 0.0
    deadline_seconds: float = 10.0


class WorkTimes(NamedTuple):
    """Time that a worker is expected to need for a request, in seconds from its start.

    :ivar response: until the response begins.
    :ivar request: until the response is complete.
    """

    response: float = 0.0
    request: float = 0.0

    def latest_start(self, response_by: float, deadline: float) -> float:
        """Return the latest start of a request whose caller still receives the response.

        :param response_by: time until which the caller waits for the response to begin.
        :param deadline: time until which it waits for the end.
        """
        return min(response_by - self.response, deadline - self.request)


class OrderClass(NamedTuple):
    """Requests between which only fair queueing decides. Smaller classes start first.

    :ivar is_unsent: the request was not sent to a worker before.
    """

    is_unsent: bool
    priority: int


@dataclass(eq=False)
class WaitingRequest:
    """A request that waits or is about to start.

    :ivar arrived_at: arrival at its node, by this node's clock.
    :ivar start_by: latest start at which the caller still receives the response.
    :ivar deadline_at: the caller does not wait for the end of the response after this time.
    """

    query_id: Hashable
    queued: QueuedQuery
    arrived_at: float
    start_by: float
    deadline_at: float
    enqueued_at: float = 0.0
    renewed_at: float = 0.0
    sequence: int = 0

    @property
    def query(self) -> PlacementQuery:
        """The placement query."""
        return self.queued.query

    @property
    def order_class(self) -> OrderClass:
        """The class of the request."""
        return OrderClass(not self.query.sent_before, self.query.priority)

    def remaining_query(self, now: float) -> PlacementQuery:
        """Return the placement query with the time that its caller still waits now."""
        remaining = self.query.patience_seconds - (now - self.enqueued_at)
        return self.query._replace(patience_seconds=remaining)

    @property
    def work(self) -> float:
        """Work by which fair queueing charges the tenant: tokens, or 1 without a model."""
        return float(max(1, self.query.prompt_tokens + self.query.output_tokens))

    @property
    def flow_order(self) -> tuple[float, int]:
        """Position among the requests of the same tenant and class."""
        return self.start_by, self.sequence
