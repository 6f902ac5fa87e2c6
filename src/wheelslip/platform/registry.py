"""Keys and documents of the platform's store (PROTOCOL, "Service discovery", "The operator's
API") and their translation to the product's records."""

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
from wheelslip.settings import Address

CONFIGURATION_KEY = "op/config"
WEIGHTS_PREFIX = "op/version/"
WORKER_PREFIX = "servers/"

_TOKENS_UNIT = "tokenize"
"""Value of ``token_unit`` by which a tenant's limit counts tokens; requests without it."""

_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}


MAX_REASON_CHARACTERS = 160
"""Longest reason told of a document that cannot be read: it may quote what another writer wrote."""

_MISSING_FIELD = re.compile(r"missing required field `([^`]+)`")
_FIELD_PATH = re.compile(r"at `\$\.([^`]+)`")

_WORKER_ID = re.compile(r"[!-.0-~]+")
"""Ids go into a header; a slash would be another writer's key below a worker's."""


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
    # rate_per_s and burst_size are in tokens where token_unit says so, whatever their names tell.
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


class _ModelWeights(msgspec.Struct):
    name: str
    version: int = 1


class _Worker(msgspec.Struct):
    # What a worker always tells is required, used here or not: an entry without it is another's.
    service: str
    address: str
    zone: str
    version: str
    capacity: Annotated[int, msgspec.Meta(ge=1)]
    state: Literal["ready", "draining"]
    cold_left_ms: float
    sequence: int
    model_ids: list[_ModelWeights] = []
    born: Annotated[int, msgspec.Meta(ge=0)] = 0


class _NamedVersion(msgspec.Struct):
    model_id: str
    version: int


class PlatformRegistry:
    """The dialect of the store's keys and documents (PROTOCOL, "Service discovery")."""

    def worker_id(self, key: str) -> str | None:
        """Return the worker that a key stands for (`servers/ID`)."""
        if not key.startswith(WORKER_PREFIX):
            return None
        worker_id = key.removeprefix(WORKER_PREFIX)
        return worker_id if _WORKER_ID.fullmatch(worker_id) else None

    def decode(
        self, key: str, value: bytes
    ) -> RoutingConfiguration | WorkerInfo | DesiredWeights | UnusableEntry | None:
        """Return the typed content of one key (`op/config`, `op/version/MODEL`, `servers/ID`)."""
        try:
            if key == CONFIGURATION_KEY:
                return _configuration(msgspec.json.decode(value, type=_Configuration))
            if key.startswith(WEIGHTS_PREFIX):
                named = msgspec.json.decode(value, type=_NamedVersion)
                return DesiredWeights(named.model_id, named.version)
            if key.startswith(WORKER_PREFIX):
                return self._worker(key, value)
        except (ValueError, KeyError, RecursionError) as error:
            return _unusable(key, str(error))
        return None

    def _worker(self, key: str, value: bytes) -> WorkerInfo | UnusableEntry:
        worker_id = self.worker_id(key)
        if worker_id is None:
            return _unusable(key, "no id of a worker")
        document = msgspec.json.decode(value, type=_Worker)
        try:
            Address.parse(document.address)
        except ValueError as error:
            return UnusableEntry(key, "address", str(error)[:MAX_REASON_CHARACTERS])
        return _worker(worker_id, document)


def _unusable(key: str, reason: str) -> UnusableEntry:
    """Return what cannot be read, with the field that a decoder's message names."""
    found = _MISSING_FIELD.search(reason) or _FIELD_PATH.search(reason)
    return UnusableEntry(key, found[1] if found else "", reason[:MAX_REASON_CHARACTERS])


def _worker(worker_id: str, document: _Worker) -> WorkerInfo:
    return WorkerInfo(
        id=incarnation_of(worker_id, document.born),
        service=document.service,
        address=document.address,
        zone=document.zone,
        state=WorkerState(document.state),
        capacity=document.capacity,
        weights={one.name: one.version for one in document.model_ids},
        born=document.born,
    )


def _configuration(document: _Configuration) -> RoutingConfiguration:
    by_host: dict[str, list[Route]] = {}
    for one in document.routes:
        by_host.setdefault(one.host.lower(), []).append(_route(one))
    for routes in by_host.values():
        routes.sort(key=lambda route: -len(route.path_prefix))
    limits = {one.name: _tenant_limit(one) for one in document.tenants if one.rate_per_s > 0}
    tenants = {
        key: Tenant(one.name, one.priority, one.isolated, limits.get(one.name))
        for one in document.tenants
        for key in one.api_keys
    }
    return RoutingConfiguration(
        version=document.version,
        routes={host: tuple(routes) for host, routes in by_host.items()},
        services={one.name: _service(one) for one in document.services},
        cache_stores=tuple(_store(one) for one in document.services if one.kv_store_addr),
        tenants_by_key=tenants,
        keys_required=bool(document.tenants),
        isolated_tenants=tuple(sorted(one.name for one in document.tenants if one.isolated)),
        limits=CallerLimits(
            max_header_bytes=document.limits.max_header_bytes,
            max_body_bytes=document.limits.max_body_bytes,
            header_seconds=document.limits.header_timeout_ms / 1000,
            idle_seconds=document.limits.idle_timeout_ms / 1000,
        ),
        tenant_limits=limits,
    )


def _tenant_limit(one: _Tenant) -> TenantLimit:
    counts_tokens = one.token_unit == _TOKENS_UNIT
    return TenantLimit(one.rate_per_s, one.burst_size, counts_tokens, one.plain_tokens)


def _route(one: _Route) -> Route:
    parts = one.split or [_Part(one.service)]
    return Route(
        name=one.name,
        host=one.host,
        path_prefix=one.path_prefix,
        kind=_KINDS[one.kind],
        timeout_seconds=one.timeout_ms / 1000,
        target_seconds=one.target_latency_ms / 1000,
        priority=one.priority,
        split=tuple(SplitPart(part.service, part.weight) for part in parts),
        max_attempts=one.max_attempts,
        public=one.public,
        session_affinity=one.session_affinity,
        resumable=one.resumable,
        pause_seconds=one.gap_aim_ms / 1000,
    )


def _service(one: _Service) -> Service:
    engine = one.backend_engine
    if engine is None:
        return Service(one.name, one.max_conns)
    profile = EngineProfile(
        engine.capacity,
        engine.kv_capacity,
        engine.kv_token_bytes,
        engine.link_mbps * 1e6 / 8,
    )
    return Service(one.name, one.max_conns, profile)


def _store(one: _Service) -> CacheStore:
    bandwidth = one.link_mbps * 1e6 / 8
    return CacheStore(one.name, one.kv_store_addr, one.zone, bandwidth, one.kv_capacity)
