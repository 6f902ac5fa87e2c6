"""Decoder of the store's documents (PROTOCOL, "Service discovery" and "The operator's API")."""

import math
import re
from typing import Annotated, Literal

import msgspec

from wheelslip.deployment import (
    CacheStore,
    CallerLimits,
    DesiredWeights,
    EngineProfile,
    Route,
    RouteKind,
    RoutingConfiguration,
    Service,
    SplitPart,
    Tenant,
    TenantLimit,
    UnusableEntry,
    WorkerInfo,
    WorkerState,
    incarnation_of,
)
from wheelslip.documents import decode_document
from wheelslip.settings import Address

CONFIGURATION_KEY = "op/config"
WEIGHTS_PREFIX = "op/version/"
WORKER_PREFIX = "servers/"

_TOKENS_UNIT = "tokenize"
"""Value of ``token_unit`` if a tenant's limit counts tokens; otherwise it counts requests."""

_ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}


_PATIENCE_MS, _PATIENCE_OBJECTIVES, _PATIENCE_PAUSES = 2000.0, 4.0, 8.0
"""Callers give a stream up after a gap of this time, this many times its objective or this many
times the pause that they accept, whichever is longest; also before its first event."""

_MISSING_FIELD_PATTERN = re.compile(r"missing required field `([^`]+)`")
_FIELD_PATH_PATTERN = re.compile(r"at `\$\.([^`]+)`")

_WORKER_ID_PATTERN = re.compile(r"[!-.0-~]+")
"""Ids are sent in a header. A key with a further slash is not the key of a worker."""


class _Part(msgspec.Struct):
    service: str
    weight: int = 1


class _Route(msgspec.Struct):
    host: str
    path_prefix: str
    kind: str
    name: str = ""
    timeout_ms: float = 60_000
    target_latency_ms: float = 1000
    priority: int = 5
    service: str = ""
    split: list[_Part] = []
    max_attempts: int = 1
    public: bool = False
    session_affinity: bool = False
    resumable: bool = False
    gap_aim_ms: float = 500


class _Engine(msgspec.Struct):
    capacity: int = 1
    kv_capacity: int = 100_000
    kv_token_bytes: int = 0
    link_mbps: float = 0.0


class _Service(msgspec.Struct):
    name: str
    max_conns: int = 1000
    backend_engine: _Engine | None = None
    kv_store_addr: str = ""
    zone: str = ""
    link_mbps: float = 0.0
    kv_capacity: int = 0


class _Tenant(msgspec.Struct):
    # The unit of rate_per_s and burst_size is tokens if token_unit is _TOKENS_UNIT.
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    isolated: bool = False
    rate_per_s: float = 0.0
    burst_size: float = 0.0
    token_unit: str = ""
    plain_tokens: float = 1.0


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 10_000
    idle_timeout_ms: float = 60_000


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class ModelWeights(msgspec.Struct):
    """Version of a model's weights, as entries and reports name it."""

    name: str
    version: int = 1


class _Worker(msgspec.Struct):
    # Workers always write the required fields; a document without them is not a worker's entry.
    service: str
    address: str
    zone: str
    version: str
    capacity: Annotated[int, msgspec.Meta(ge=1)]
    state: Literal["ready", "draining"]
    cold_left_ms: float
    sequence: int
    model_ids: list[ModelWeights] = []
    born: Annotated[int, msgspec.Meta(ge=0)] = 0


class _NamedVersion(msgspec.Struct):
    model_id: str
    version: int


class PlatformRegistry:
    """Decoder of the keys and documents in the store."""

    def worker_id(self, key: str) -> str | None:
        """Return the worker id in a key (`servers/ID`), ``None`` for the keys of others."""
        if not key.startswith(WORKER_PREFIX):
            return None
        worker_id = key.removeprefix(WORKER_PREFIX)
        return worker_id if _WORKER_ID_PATTERN.fullmatch(worker_id) else None

    def decode(
        self, key: str, value: bytes
    ) -> RoutingConfiguration | WorkerInfo | DesiredWeights | UnusableEntry | None:
        """Return the record of `op/config`, `op/version/MODEL` or `servers/ID`, else ``None``."""
        try:
            if key == CONFIGURATION_KEY:
                return _configuration(decode_document(value, _Configuration))
            if key.startswith(WEIGHTS_PREFIX):
                named = decode_document(value, _NamedVersion)
                return DesiredWeights(named.model_id, named.version)
            if key.startswith(WORKER_PREFIX):
                return self._decode_worker(key, value)
        except (ValueError, KeyError) as error:
            return _unusable_entry(key, str(error))
        return None

    def _decode_worker(self, key: str, value: bytes) -> WorkerInfo | UnusableEntry:
        worker_id = self.worker_id(key)
        if worker_id is None:
            return _unusable_entry(key, "key without a valid worker id")
        document = decode_document(value, _Worker)
        try:
            Address.parse(document.address)
        except ValueError as error:
            return UnusableEntry.of(key, str(error), "address")
        return _worker_info(worker_id, document)


def _unusable_entry(key: str, reason: str) -> UnusableEntry:
    """Return the record of a document that cannot be decoded, with the field that is invalid."""
    match = _MISSING_FIELD_PATTERN.search(reason) or _FIELD_PATH_PATTERN.search(reason)
    return UnusableEntry.of(key, reason, match[1] if match else "")


def _worker_info(worker_id: str, document: _Worker) -> WorkerInfo:
    return WorkerInfo(
        id=incarnation_of(worker_id, document.born),
        service=document.service,
        address=document.address,
        zone=document.zone,
        state=WorkerState(document.state),
        capacity=document.capacity,
        weights={model.name: model.version for model in document.model_ids},
        born=document.born,
        software_version=document.version,
    )


def _configuration(document: _Configuration) -> RoutingConfiguration:
    by_host: dict[str, list[Route]] = {}
    for route in document.routes:
        by_host.setdefault(route.host.lower(), []).append(_route(route))
    for routes in by_host.values():
        routes.sort(key=lambda route: -len(route.path_prefix))
    limits = {
        tenant.name: _tenant_limit(tenant) for tenant in document.tenants if tenant.rate_per_s > 0
    }
    tenants = {
        key: Tenant(tenant.name, tenant.priority, tenant.isolated, limits.get(tenant.name))
        for tenant in document.tenants
        for key in tenant.api_keys
    }
    return RoutingConfiguration(
        version=document.version,
        routes={host: tuple(routes) for host, routes in by_host.items()},
        services={service.name: _service(service) for service in document.services},
        cache_stores=tuple(
            _cache_store(service) for service in document.services if service.kv_store_addr
        ),
        tenants_by_key=tenants,
        keys_required=bool(document.tenants),
        isolated_tenants=tuple(
            sorted(tenant.name for tenant in document.tenants if tenant.isolated)
        ),
        limits=CallerLimits(
            max_header_bytes=document.limits.max_header_bytes,
            max_body_bytes=document.limits.max_body_bytes,
            header_seconds=document.limits.header_timeout_ms / 1000,
            idle_seconds=document.limits.idle_timeout_ms / 1000,
        ),
        tenant_limits=limits,
    )


def _tenant_limit(tenant: _Tenant) -> TenantLimit:
    counts_tokens = tenant.token_unit == _TOKENS_UNIT
    return TenantLimit(tenant.rate_per_s, tenant.burst_size, counts_tokens, tenant.plain_tokens)


def _route(route: _Route) -> Route:
    parts = route.split or [_Part(route.service)]
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=_ROUTE_KINDS[route.kind],
        timeout_seconds=route.timeout_ms / 1000,
        priority=route.priority,
        split=tuple(SplitPart(part.service, part.weight) for part in parts),
        max_attempts=route.max_attempts,
        public=route.public,
        session_affinity=route.session_affinity,
        resumable=route.resumable,
        pause_seconds=route.gap_aim_ms / 1000,
        patience_seconds=_patience_seconds(route),
    )


def _patience_seconds(route: _Route) -> float:
    """Return after how long callers give up a response that has not begun."""
    if _ROUTE_KINDS[route.kind] is not RouteKind.STREAM:
        return math.inf
    objectives_ms = _PATIENCE_OBJECTIVES * route.target_latency_ms
    return max(_PATIENCE_MS, objectives_ms, _PATIENCE_PAUSES * route.gap_aim_ms) / 1000


def _service(service: _Service) -> Service:
    engine = service.backend_engine
    if engine is None:
        return Service(service.name, service.max_conns)
    bandwidth = engine.link_mbps * 1e6 / 8
    profile = EngineProfile(engine.capacity, engine.kv_capacity, engine.kv_token_bytes, bandwidth)
    return Service(service.name, service.max_conns, profile)


def _cache_store(store: _Service) -> CacheStore:
    bandwidth = store.link_mbps * 1e6 / 8
    return CacheStore(store.name, store.kv_store_addr, store.zone, bandwidth, store.kv_capacity)
