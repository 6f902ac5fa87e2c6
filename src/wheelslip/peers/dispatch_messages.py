"""Messages between nodes, dispatchers and meters; each fits in one datagram."""

from typing import NamedTuple

from wheelslip.deployment import CachePlan, Incarnation, PromptPart
from wheelslip.routing.caches.fleet_memory import CachedPrompt
from wheelslip.routing.dispatcher import Decision, Progress, QueryId
from wheelslip.routing.fleet_choice import RunningRequest
from wheelslip.routing.limits.tenant_limits import TenantLimited
from wheelslip.routing.overload import Overloaded
from wheelslip.routing.placement import Placement, PlacementQuery
from wheelslip.routing.queue.request_queue import QueuedQuery

QUERY = "ask"
GRANT = "grant"
PROGRESS = "tell"
RUNNING = "running"
CACHED_PROMPTS = "kept"
BRITTLE = "brittle"
ENQUEUE = "enqueue"
QUEUED = "queued"
WITHDRAWAL = "withdraw"
VOTE = "vote"
VOTE_REPLY = "voted"
VOTE_COUNT = "votes"
VOTE_RELEASE = "released"
START_NOTICE = "started"

MAX_CONNECTED = 8
"""Maximum number of workers with idle connections in a query, which has to fit in 1,400 bytes."""

MAX_EXCLUDED = 24
"""Maximum number of excluded workers in a query, for the same reason."""

TIME_DIGITS = 4
"""Decimal places of the times in an enqueue request, for the same reason."""

ITEMS_PER_DATAGRAM = 8
"""Running requests or cached prompts in one datagram, for the same reason."""


class WorkerQuery(NamedTuple):
    """Requests a worker. A repeated query with the same id returns the same grant.

    :ivar query_number: number of the query at the node.
    :ivar target_seconds: time left until the caller gives up if the response has not begun. Earlier
        builds send the time left until the latency target of the route.
    :ivar sent_before: the request was sent to a worker before.
    :ivar charge_only: the node chooses the worker itself; the request is only charged to the
        rate limit of its tenant.
    """

    node: str
    query_number: int
    service: str
    stream_group: str
    model: str
    prompt_tokens: int
    output_tokens: int
    prompt: list[tuple[str, int]]
    cache_namespace: str
    pause_seconds: float
    target_seconds: float
    priority: int
    zone: str
    connected: list[Incarnation]
    excluded: list[Incarnation]
    sent_before: bool
    tenant: str = ""
    limit_units: float = 0.0
    charge_only: bool = False

    @classmethod
    def of(
        cls, query_id: QueryId, query: PlacementQuery, charge_only: bool = False
    ) -> "WorkerQuery":
        """Return the message for a placement query."""
        return cls(
            *query_id,
            query.service,
            query.stream_group,
            query.model,
            query.prompt_tokens,
            query.output_tokens,
            [(part.id, part.tokens) for part in query.prompt],
            query.cache_namespace,
            query.pause_seconds,
            query.patience_seconds,
            query.priority,
            query.zone,
            sorted(query.connected)[:MAX_CONNECTED],
            sorted(query.excluded)[:MAX_EXCLUDED],
            query.sent_before,
            query.tenant,
            query.limit_units,
            charge_only,
        )

    def query_id(self) -> QueryId:
        """Return the identifier of the query."""
        return QueryId(self.node, self.query_number)

    def placement_query(self) -> PlacementQuery:
        """Return the placement query for the choice of a worker."""
        return PlacementQuery(
            self.service,
            self.stream_group,
            self.model,
            self.prompt_tokens,
            self.output_tokens,
            tuple(PromptPart(*part) for part in self.prompt),
            self.cache_namespace,
            self.pause_seconds,
            self.target_seconds,
            self.priority,
            self.zone,
            frozenset(self.connected),
            frozenset(self.excluded),
            self.sent_before,
            self.tenant,
            self.limit_units,
        )


class WorkerGrant(NamedTuple):
    """Reply to a :class:`WorkerQuery`.

    :ivar query_number: number of the query at the node that sent it.
    :ivar dispatcher: incarnation of the dispatcher.
    :ivar worker: granted worker, or ``None`` if no worker is available.
    :ivar prefill_tokens: prompt tokens that the worker still has to compute.
    :ivar fetch_from: address from which the worker fetches KV cache; empty for none.
    :ivar save_to: cache store to which the worker saves the prompt; empty for none.
    :ivar retry_seconds: delay before a retry if no worker was granted; 0 if none is suggested.
    :ivar tenant_limited: the tenant has exceeded its rate limit; retry after ``retry_seconds``.
    :ivar charged: a charge-only query was charged to the tenant's rate limit, or a grant was
        charged to the rate limit of its worker. Builds without worker rate limits never set it
        for a grant.
    """

    query_number: int
    dispatcher: str
    worker: Incarnation | None = None
    weights_version: int | None = None
    prefill_tokens: int = 0
    fetch_from: str = ""
    save_to: str = ""
    retry_seconds: float = 0.0
    tenant_limited: bool = False
    charged: bool = False

    @classmethod
    def of(cls, query_number: int, dispatcher: str, decision: Decision | None) -> "WorkerGrant":
        """Return the message for a decision, ``None`` if no worker may take the request now."""
        match decision:
            case Placement():
                return cls._of_placement(query_number, dispatcher, decision)
            case Overloaded(retry_seconds=seconds):
                return cls(query_number, dispatcher, retry_seconds=seconds)
            case TenantLimited(retry_seconds=seconds):
                return cls(query_number, dispatcher, retry_seconds=seconds, tenant_limited=True)
        return cls(query_number, dispatcher)

    @classmethod
    def _of_placement(
        cls, query_number: int, dispatcher: str, placement: Placement
    ) -> "WorkerGrant":
        cache = placement.cache or CachePlan("")
        return cls(
            query_number,
            dispatcher,
            placement.worker.info.id,
            placement.weights_version,
            placement.prefill_tokens,
            cache.fetch_from,
            cache.save_to,
            charged=placement.rate_limit_charged,
        )


class EnqueueRequest(NamedTuple):
    """Puts a refused query into the queue of the dispatcher, or renews it there.

    The decision is a :class:`WorkerGrant` with the number of the query. Until then the dispatcher
    replies with a :class:`QueuedNotice`. Builds without a queue ignore the message.

    :ivar query: its ``target_seconds`` is the time left when the message is sent.
    :ivar waited_seconds: time since the request arrived at its node.
    :ivar deadline_seconds: time left until the deadline of the request.
    :ivar content: empty. Earlier builds send a fingerprint of the request.
    """

    query: WorkerQuery
    waited_seconds: float
    deadline_seconds: float
    content: str

    @classmethod
    def of(cls, query_id: QueryId, queued: QueuedQuery) -> "EnqueueRequest":
        """Return the message for a query to be queued."""
        return cls(
            WorkerQuery.of(query_id, queued.query),
            round(queued.waited_seconds, TIME_DIGITS),
            round(queued.deadline_seconds, TIME_DIGITS),
            "",
        )

    def queued_query(self) -> QueuedQuery:
        """Return the query to be queued."""
        query = self.query.placement_query()
        if self.content:
            # An earlier build, which sends the time left until the latency target of the route.
            query = query._replace(patience_seconds=self.deadline_seconds)
        return QueuedQuery(query, self.waited_seconds, self.deadline_seconds)


class QueuedNotice(NamedTuple):
    """Reply to an :class:`EnqueueRequest` whose request waits.

    :ivar query_number: number of the query at the node that sent it.
    :ivar dispatcher: incarnation of the dispatcher.
    :ivar expected_seconds: expected time until the request starts.
    """

    query_number: int
    dispatcher: str
    expected_seconds: float


class Withdrawal(NamedTuple):
    """Removes a query from the queue; a grant that is on its way is not used."""

    node: str
    query_number: int


class ProgressReport(NamedTuple):
    """Reports the progress of a granted request."""

    node: str
    query_number: int
    progress: Progress


class RunningReport(NamedTuple):
    """Reports the granted requests that run at a node.

    :ivar query_numbers: numbers of all running requests; grants that are not listed have ended.
    :ivar requests: some of these requests in full, for a dispatcher that has no record of them.
    """

    node: str
    query_numbers: list[int]
    requests: list[RunningRequest]


class BrittleReport(NamedTuple):
    """Tells a dispatcher that the workers of a service are brittle."""

    service: str


class CachedPromptsReport(NamedTuple):
    """Reports prompts that workers have cached recently, oldest first."""

    prompts: list[CachedPrompt]


class Vote(NamedTuple):
    """Votes for the receiver as the meter of the rate limits.

    :ivar is_probe: the message is no vote and only checks that the receiver responds.
    """

    is_probe: bool


class VoteReply(NamedTuple):
    """Reply to a :class:`Vote`.

    :ivar fleet_size: number of nodes observed by the meter; 0 if unknown.
    """

    fleet_size: int


class VoteCountReport(NamedTuple):
    """Reports the number of valid votes that the sender holds.

    :ivar remaining_seconds: remaining validity of the latest vote.
    """

    votes: int
    remaining_seconds: float


class VoteRelease(NamedTuple):
    """Releases the votes held by the sender, which stops; they may be cast again at once."""

    votes: int


class StartNotice(NamedTuple):
    """Tells the meters that the sender has just started and does not know the fleet size.

    :ivar age_seconds: time since the start.
    """

    age_seconds: float
