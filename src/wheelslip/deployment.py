"""Records of the routing configuration, of workers, and of requests and responses.

All except :class:`Worker` are immutable; a changed configuration is a new record.
"""

import enum
import math
from dataclasses import dataclass, field
from functools import cached_property
from typing import NamedTuple, NewType

Incarnation = NewType("Incarnation", str)
"""Identifies one run of a worker process: the worker's id, followed by a slash and the start time
in Unix milliseconds if the worker reports one. State about a worker is stored per incarnation."""


def incarnation_of(worker_id: str, born: int) -> Incarnation:
    """Return the identifier of one incarnation of a worker.

    :param born: start time in Unix milliseconds; 0 if the worker reports none.
    """
    return Incarnation(f"{worker_id}/{born}" if born else worker_id)


def worker_id_of(incarnation: Incarnation) -> str:
    """Return the worker's id, which is the same for all its incarnations."""
    return incarnation.partition("/")[0]


def born_of(incarnation: Incarnation) -> int:
    """Return the start time in Unix milliseconds that an incarnation names, 0 if none."""
    return int(incarnation.partition("/")[2] or 0)


class RouteKind(enum.Enum):
    """Retry and response semantics of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True)
class SplitPart:
    """A service of a route and the relative weight of its share of the requests."""

    service: str
    weight: int


@dataclass(frozen=True)
class Route:
    """How requests of one host and path prefix are handled.

    :ivar timeout_seconds: maximum time from a request's arrival to its end.
    :ivar patience_seconds: time from a request's arrival after which its caller gives up if the
        response has not begun; infinite if it waits until its deadline.
    :ivar priority: used for tenants without a priority of their own; 0 is the most urgent.
    :ivar max_attempts: maximum number of attempts that may have run at a worker.
    :ivar resumable: an interrupted stream may continue at another worker after its last complete
        event.
    :ivar pause_seconds: longest pause between events of a response that its callers accept.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_seconds: float
    priority: int
    split: tuple[SplitPart, ...]
    max_attempts: int
    public: bool
    session_affinity: bool
    resumable: bool
    pause_seconds: float = 0.5
    patience_seconds: float = math.inf

    @property
    def repeatable(self) -> bool:
        """Whether a request may be executed more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


@dataclass(frozen=True)
class EngineProfile:
    """Configured properties of a service's model engines.

    :ivar capacity: number of requests that one worker runs concurrently.
    :ivar cache_tokens: KV cache size of one worker, in tokens.
    :ivar token_bytes: KV cache bytes per token.
    :ivar link_bytes_per_second: bandwidth of a worker's link for KV cache transfers.
    """

    capacity: int
    cache_tokens: int
    token_bytes: int
    link_bytes_per_second: float


@dataclass(frozen=True)
class Service:
    """A group of workers of one kind.

    :ivar engine: ``None`` if the workers are not model engines.
    """

    name: str
    max_connections: int
    engine: EngineProfile | None = None


@dataclass(frozen=True)
class CacheStore:
    """A cache store, from which several workers load saved KV cache.

    :ivar link_bytes_per_second: bandwidth of its link for KV cache transfers.
    :ivar cache_tokens: its size, in tokens of KV cache.
    """

    name: str
    address: str
    zone: str
    link_bytes_per_second: float
    cache_tokens: int = 0


class TenantLimit(NamedTuple):
    """Rate limit of a tenant's requests at workers, shared by all nodes.

    :ivar rate: units per second.
    :ivar burst: capacity of the token bucket: units that may be used at once.
    :ivar counts_tokens: whether units are prompt and output tokens; requests otherwise.
    :ivar plain_tokens: tokens charged for a request without token counts.
    """

    rate: float
    burst: float
    counts_tokens: bool = False
    plain_tokens: float = 1.0

    def units(self, prompt_tokens: int, output_tokens: int) -> float:
        """Return the units to charge for a request."""
        if not self.counts_tokens:
            return 1.0
        return float(prompt_tokens + output_tokens) or self.plain_tokens


@dataclass(frozen=True)
class Tenant:
    """A tenant.

    :ivar priority: ``None`` to use the priority of the route.
    :ivar isolated: whether it shares no cached state with other tenants.
    :ivar limit: ``None`` for no rate limit.
    """

    name: str
    priority: int | None
    isolated: bool
    limit: TenantLimit | None = None


@dataclass(frozen=True)
class CallerLimits:
    """Size limits of callers' requests, and timeouts of their connections."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 10.0
    idle_seconds: float = 60.0


@dataclass(frozen=True)
class RoutingConfiguration:
    """A complete configuration.

    :ivar version: increases with each change.
    :ivar routes: by host, longest path prefix first.
    :ivar tenants_by_key: tenants by API key.
    :ivar keys_required: whether callers must send an API key, except on public routes.
    :ivar isolated_tenants: sorted names; part of the cache namespace that other tenants share.
    :ivar tenant_limits: limits by tenant name; tenants without a limit are absent.
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
        """Return the route with the longest matching prefix, or ``None``."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    @cached_property
    def streaming_services(self) -> set[str]:
        """The services that answer with streams."""
        return {
            part.service
            for routes in self.routes.values()
            for route in routes
            if route.kind is RouteKind.STREAM
            for part in route.split
        }


class WorkerState(enum.Enum):
    """Whether a worker accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class WorkerInfo:
    """One incarnation of a worker, as described by its registry entry.

    :ivar weights: version of the weights by model.
    :ivar born: start time in Unix milliseconds; 0 if not reported.
    :ivar software_version: of the worker's program; empty if not known.
    """

    id: Incarnation
    service: str
    address: str
    zone: str
    state: WorkerState
    capacity: int
    weights: dict[str, int] = field(default_factory=dict)
    born: int = 0
    software_version: str = ""

    @property
    def worker_id(self) -> str:
        """The worker's id, which is the same for all its incarnations."""
        return worker_id_of(self.id)


MAX_REASON_CHARACTERS = 160
"""Length to which the reason for refusing a document is truncated; it may quote the document."""


class UnusableEntry(NamedTuple):
    """A registry entry that cannot be decoded or is invalid.

    :ivar field: the missing or invalid field; empty if the error concerns the whole document.
    """

    key: str
    field: str
    reason: str

    @classmethod
    def of(cls, key: str, reason: str, field: str = "") -> "UnusableEntry":
        """Return an entry whose reason is truncated."""
        return cls(key, field, reason[:MAX_REASON_CHARACTERS])


@dataclass
class Worker:
    """One incarnation of a worker and the state that this node observed beyond its entry.

    :ivar weights: highest version by model, from its entry, its responses and the rollout.
    :ivar doubtful_until: time until which the worker is used although its entry vanished around a
        store outage; ``None`` while the entry exists.
    :ivar replaced: a worker with another id responded at its address.
    :ivar restarted_as: start of a later process of the worker that has responded, in Unix
        milliseconds; 0 if the process of its entry still responds, as far as is known.
    :ivar process_seen_at: when that process first responded, in seconds of the steady clock.
    :ivar unusable: its newest entry is invalid.
    """

    info: WorkerInfo
    weights: dict[str, int]
    doubtful_until: float | None = None
    replaced: bool = False
    unusable: bool = False
    restarted_as: int = 0
    process_seen_at: float = 0.0

    @property
    def process(self) -> Incarnation:
        """The incarnation that responds at its address, as far as is known."""
        if not self.restarted_as:
            return self.info.id
        return incarnation_of(self.info.worker_id, self.restarted_as)


@dataclass(frozen=True)
class DesiredWeights:
    """Version of a model's weights that the operator requests."""

    model: str
    version: int


@dataclass(frozen=True)
class PromptPart:
    """One part of a prompt.

    :ivar id: the same for every request that contains the part.
    :ivar tokens: length in tokens.
    """

    id: str
    tokens: int


@dataclass(frozen=True)
class RequestMetadata:
    """Properties of a request that the caller sends in headers.

    :ivar deadline_seconds: how long the caller waits; ``None`` if not given.
    :ivar api_key: ``None`` if not given.
    :ivar last_event_id: event after which a stream is to continue; ``None`` to start at the first.
    :ivar resumed_id: id of the request that brought the first event of a stream that this request
        continues; empty for none.
    """

    request_id: str
    deadline_seconds: float | None
    api_key: str | None
    model: str
    prompt_tokens: int
    output_tokens: int
    prompt: tuple[PromptPart, ...]
    last_event_id: int | None
    resumed_id: str = ""


Headers = list[tuple[bytes, bytes]]
"""Header names, in the case in which they were received, and values."""


@dataclass(frozen=True)
class ForwardedRequest:
    """A complete request as received from a caller.

    :ivar target: path and query, unchanged.
    :ivar arrived: when its head was received, in seconds of the steady clock.
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
        """The target without the query."""
        return self.target.decode("latin-1").partition("?")[0]


@dataclass(frozen=True)
class CachePlan:
    """Instructions for a worker about the KV cache of a prompt.

    :ivar salt: separates cached prompts of different namespaces and weights versions.
    :ivar fetch_from: address to load cached parts from; empty for none.
    :ivar save_to: address of the cache store to save the prompt to; empty for none.
    """

    salt: str
    fetch_from: str = ""
    save_to: str = ""


@dataclass(frozen=True)
class Dispatch:
    """Properties that a node adds to a request when it sends it to a worker.

    :ivar remaining_seconds: time left until the request's deadline.
    :ivar weights_version: weights version that the worker must have; ``None`` for any.
    """

    worker: WorkerInfo
    remaining_seconds: float
    priority: int | None
    tenant: str | None
    weights_version: int | None
    cache: CachePlan | None
    last_event_id: int | None


@dataclass(frozen=True)
class ResponseMetadata:
    """Properties of a worker's response that are sent in headers.

    :ivar signed: whether it has a signature header.
    :ivar not_executed: the worker guarantees that it did not execute the request.
    :ivar instance: id of the worker that responded; ``None`` if not given.
    :ivar keep_alive_seconds: how long the worker keeps an idle connection open; ``None`` if not
        given.
    :ivar closes_connection: the worker closes the connection after the response.
    :ivar leaving: the worker announces that it is about to stop.
    :ivar retry_seconds: backoff that the worker requests; ``None`` if missing or invalid.
    :ivar rate_limit: requests per second that the worker accepts from all nodes together; ``None``
        if missing or invalid.
    :ivar max_rejections: rejections in a second for want of room above which the worker crashes;
        ``None`` if it does not name a number.
    :ivar unreadable_limit: beginning of an invalid rate limit, for the log; empty otherwise.
    """

    request_id: str | None
    signed: bool
    not_executed: bool
    instance: str | None
    weights_version: int | None
    keep_alive_seconds: float | None
    closes_connection: bool
    leaving: bool = False
    retry_seconds: float | None = None
    rate_limit: float | None = None
    unreadable_limit: str = ""
    max_rejections: int | None = None
