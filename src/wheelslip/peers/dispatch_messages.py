"""What nodes and dispatchers tell each other, each in one datagram."""

from typing import NamedTuple

from wheelslip.deployment import Incarnation, PromptPart
from wheelslip.routing.dispatcher import Progress, QueryId
from wheelslip.routing.fleet_choice import RunningRequest
from wheelslip.routing.fleet_memory import CachedPrompt
from wheelslip.routing.placement import PlacementQuery

ASK = "ask"
GRANT = "grant"
TELL = "tell"
RUNNING = "running"
KEPT = "kept"
VOTE = "vote"
VOTED = "voted"
VOTES = "votes"
RELEASED = "released"

MAX_CONNECTED = 8
"""Most idle connections that a question names, so that it fits a packet of 1,400 bytes."""

MAX_EXCLUDED = 24
"""Most workers that a question rules out, for the same reason."""

PART_REQUESTS = 8
"""Running requests in one datagram, for the same reason."""


class WorkerAsk(NamedTuple):
    """Asks for a worker; repeated with the same ticket, it gives the same grant.

    :ivar counts_only: the node chooses the worker by itself; the request is only counted for
        its tenant's limit.
    """

    node: str
    ask: int
    service: str
    stream_group: str
    model: str
    prompt_tokens: int
    output_tokens: int
    prompt: list[tuple[str, int]]
    wall: str
    pause_seconds: float
    target_seconds: float
    priority: int
    zone: str
    connected: list[Incarnation]
    excluded: list[Incarnation]
    begun: bool
    tenant: str = ""
    limit_units: float = 0.0
    counts_only: bool = False

    @classmethod
    def of(cls, query_id: QueryId, query: PlacementQuery, counts_only: bool = False) -> "WorkerAsk":
        """Return the question for one request."""
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
            query.target_seconds,
            query.priority,
            query.zone,
            sorted(query.connected)[:MAX_CONNECTED],
            sorted(query.excluded)[:MAX_EXCLUDED],
            query.sent_before,
            query.tenant,
            query.limit_units,
            counts_only,
        )

    def query_id(self) -> QueryId:
        """Return what names the ticket."""
        return QueryId(self.node, self.ask)

    def query(self) -> PlacementQuery:
        """Return the question as the choice of a worker sees it."""
        return PlacementQuery(
            self.service,
            self.stream_group,
            self.model,
            self.prompt_tokens,
            self.output_tokens,
            tuple(PromptPart(*part) for part in self.prompt),
            self.wall,
            self.pause_seconds,
            self.target_seconds,
            self.priority,
            self.zone,
            frozenset(self.connected),
            frozenset(self.excluded),
            self.begun,
            self.tenant,
            self.limit_units,
        )


class WorkerGrant(NamedTuple):
    """Answers a question.

    :ivar dispatcher: incarnation of the dispatcher.
    :ivar worker: ``None`` when none may take the request now.
    :ivar retry_seconds: then, after how long it may be worth asking again.
    :ivar limited: the tenant is over its limit, and its turn comes after that time.
    :ivar counted: the request was counted for its tenant's limit, as was asked, or for the limit
        that the granted worker names. Builds before such limits never say so of a granted worker.
    :ivar fetch_from: where the worker fetches KV cache; empty for nowhere.
    :ivar save_to: the store to which it saves the prompt; empty for none.
    """

    ask: int
    dispatcher: str
    worker: Incarnation | None = None
    weights_version: int | None = None
    prefill_tokens: int = 0
    fetch_from: str = ""
    save_to: str = ""
    retry_seconds: float = 0.0
    limited: bool = False
    counted: bool = False


class ProgressTold(NamedTuple):
    """How a granted request goes on."""

    node: str
    ask: int
    progress: Progress


class RunningTold(NamedTuple):
    """What a node has running by grants.

    :ivar asks: the numbers of all of it, so what is not among them has ended.
    :ivar requests: a part of it, for a dispatcher that does not know it.
    """

    node: str
    asks: list[int]
    requests: list[RunningRequest]


class KeptTold(NamedTuple):
    """Prompts that workers have read of late, the oldest first."""

    prompts: list[CachedPrompt]


class VoteTold(NamedTuple):
    """Gives the sender's vote for the tenants' limits to the receiver.

    :ivar is_probe: gives no vote, only asks whether the receiver is there.
    """

    is_probe: bool


class VoteTaken(NamedTuple):
    """Answers a vote.

    :ivar fleet: number of nodes, as far as the meter knows.
    """

    fleet: int


class VotesTold(NamedTuple):
    """How many valid votes the sender has, and how long the last of them holds."""

    votes: int
    seconds: float


class VoteReleased(NamedTuple):
    """The sender stops: what it was given as a vote may go to another at once."""

    votes: int
