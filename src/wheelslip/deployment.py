"""Typed records of a deployment and of what is forwarded to it.

All are immutable but :class:`Worker`; a change of configuration makes a new record.
"""

import enum
from dataclasses import dataclass, field
from typing import NamedTuple, NewType

Incarnation = NewType("Incarnation", str)
"""One start of a worker: its id, and after a slash the Unix millisecond of that start, where it
tells one. What is held of a worker is held under this, and ends with that start."""


def incarnation_of(worker_id: str, born: int) -> Incarnation:
    """Return the name of one start of a worker.

    :param born: Unix millisecond of the start; 0 when the worker tells none.
    """
    return Incarnation(f"{worker_id}/{born}" if born else worker_id)


def worker_id_of(incarnation: Incarnation) -> str:
    """Return the id of a worker, which its other starts have too."""
    return incarnation.partition("/")[0]


class RouteKind(enum.Enum):
    """What a route's requests allow."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True)
class SplitPart:
    """One service of a route and its share of the requests."""

    service: str
    weight: int


@dataclass(frozen=True)
class Route:
    """How requests of one host and path prefix are handled.

    :ivar timeout_seconds: longest time a request may be held.
    :ivar target_seconds: time within which an answer has its full worth.
    :ivar max_attempts: most workers that may run one request.
    :ivar pause_seconds: longest pause between events that keeps an answer in time.
    :ivar resumable: a stream may go on at another worker after its last whole event.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_seconds: float
    target_seconds: float
    priority: int
    split: tuple[SplitPart, ...]
    max_attempts: int
    public: bool
    session_affinity: bool
    resumable: bool
    pause_seconds: float = 0.5

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


@dataclass(frozen=True)
class EngineProfile:
    """What the configuration tells of a service's model engines.

    :ivar cache_tokens: tokens of KV cache one worker can keep.
    :ivar token_bytes: bytes of KV cache a token takes.
    :ivar link_bytes_per_second: bandwidth of a worker's cache moves.
    """

    capacity: int
    cache_tokens: int
    token_bytes: int
    link_bytes_per_second: float


@dataclass(frozen=True)
class Service:
    """A group of workers of one kind; ``engine`` is set for model engines."""

    name: str
    max_connections: int
    engine: EngineProfile | None = None


@dataclass(frozen=True)
class CacheStore:
    """A store of kept KV cache and the bandwidth of its link.

    :ivar cache_tokens: tokens of KV cache that it can keep.
    """

    name: str
    address: str
    zone: str
    link_bytes_per_second: float
    cache_tokens: int = 0


class TenantLimit(NamedTuple):
    """What a tenant may have run at workers, over all nodes together.

    :ivar rate: units a second.
    :ivar burst: units on top of that, at once.
    :ivar counts_tokens: units are tokens of prompt and output; otherwise requests.
    :ivar plain_tokens: tokens that a request counts as when it tells none.
    """

    rate: float
    burst: float
    counts_tokens: bool = False
    plain_tokens: float = 1.0

    def units(self, prompt_tokens: int, output_tokens: int) -> float:
        """Return how much of the limit a request takes."""
        if not self.counts_tokens:
            return 1.0
        return float(prompt_tokens + output_tokens) or self.plain_tokens


@dataclass(frozen=True)
class Tenant:
    """A tenant; an isolated one shares no cached state with others.

    :ivar limit: ``None`` when it may have run whatever it sends.
    """

    name: str
    priority: int | None
    isolated: bool
    limit: TenantLimit | None = None


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send, and how long it may take or rest."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 10.0
    idle_seconds: float = 60.0


@dataclass(frozen=True)
class RoutingConfiguration:
    """One whole configuration; ``version`` only rises.

    :ivar routes: by host, longest path prefix first.
    :ivar tenants_by_key: tenant by API key; empty when callers need no key.
    :ivar isolated_tenants: names in order; part of the salt of shared cache.
    :ivar tenant_limits: by name, of the tenants that have one.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    cache_stores: tuple[CacheStore, ...]
    tenants_by_key: dict[str, Tenant]
    keys_required: bool
    isolated_tenants: tuple[str, ...]
    limits: CallerLimits
    tenant_limits: dict[str, TenantLimit] = field(default_factory=dict)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of the longest prefix, or ``None``."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


class WorkerState(enum.Enum):
    """Whether a worker takes new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class WorkerInfo:
    """One incarnation of a worker, as it told the registry.

    :ivar weights: version of each model's weights.
    :ivar born: Unix millisecond of its start; 0 when it tells none.
    """

    id: Incarnation
    service: str
    address: str
    zone: str
    state: WorkerState
    capacity: int
    weights: dict[str, int] = field(default_factory=dict)
    born: int = 0

    @property
    def worker_id(self) -> str:
        """The id that all starts of the worker have."""
        return worker_id_of(self.id)


class UnusableEntry(NamedTuple):
    """A document of the registry that cannot be read.

    :ivar field: what is missing or wrong, empty when the whole document is.
    """

    key: str
    field: str
    reason: str


@dataclass
class Worker:
    """One start of a worker and what this node learned of it beyond its entry.

    :ivar weights: as its entry, its answers and the rollout told, the highest of each.
    :ivar doubtful_until: the entry vanished around an outage; used until then, unless it returns.
    :ivar replaced: another process answered at its address.
    :ivar unusable: the newest entry names no worker.
    """

    info: WorkerInfo
    weights: dict[str, int]
    doubtful_until: float | None = None
    replaced: bool = False
    unusable: bool = False


@dataclass(frozen=True)
class NamedWeights:
    """The operator wants this version of a model's weights."""

    model: str
    version: int


@dataclass(frozen=True)
class PromptPart:
    """One part of a prompt: an id shared between requests, and its tokens."""

    id: str
    tokens: int


@dataclass(frozen=True)
class RequestMetadata:
    """What a caller told about a request beside its method, target and body.

    :ivar deadline_seconds: how long the caller waits; ``None`` when not told.
    :ivar api_key: the caller's key; ``None`` without one.
    :ivar last_event_id: the event after which a stream goes on.
    """

    request_id: str
    deadline_seconds: float | None
    api_key: str | None
    model: str
    prompt_tokens: int
    output_tokens: int
    prompt: tuple[PromptPart, ...]
    last_event_id: int | None


Headers = list[tuple[bytes, bytes]]
"""Header names as they were sent, and values."""


@dataclass(frozen=True)
class ForwardedRequest:
    """One caller's attempt, whole, as it was received.

    :ivar target: path and query, unchanged.
    :ivar arrived: on the steady clock, when the head had been read.
    """

    method: str
    target: bytes
    host: str
    headers: Headers
    body: bytes
    metadata: RequestMetadata
    arrived: float

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.decode("latin-1").partition("?")[0]


@dataclass(frozen=True)
class CachePlan:
    """Where a worker looks for kept KV cache, and under which salt."""

    salt: str
    fetch_from: str = ""
    save_to: str = ""


@dataclass(frozen=True)
class Dispatch:
    """What a node adds to a request for one worker.

    :ivar remaining_seconds: time left of the request's deadline.
    :ivar weights_version: precondition on the worker's weights; ``None`` for none.
    """

    worker: WorkerInfo
    remaining_seconds: float
    priority: int | None
    tenant: str | None
    weights_version: int | None
    cache: CachePlan | None
    last_event_id: int | None


@dataclass(frozen=True)
class AnswerMetadata:
    """What a worker's answer tells beside its status and body.

    :ivar not_executed: the worker proves that it did not run the request.
    :ivar keep_alive_seconds: how long the worker keeps an idle connection.
    :ivar leaving: the worker says that it is about to end.
    :ivar retry_seconds: after how long it says to come back; ``None`` when it says nothing of use.
    :ivar rate_limit: requests a second that it takes from all nodes together; ``None`` when it
        names no limit that can be read.
    :ivar unreadable_limit: the beginning of what it wrote instead of a number; empty for nothing.
    """

    request_id: str | None
    signed: bool
    not_executed: bool
    instance: str | None
    weights_version: int | None
    keep_alive_seconds: float | None
    closes: bool
    leaving: bool = False
    retry_seconds: float | None = None
    rate_limit: float | None = None
    unreadable_limit: str = ""
