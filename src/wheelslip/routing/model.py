"""Types of the scheduler's inputs and decisions."""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field

from wheelslip.errors import ErrorKind
from wheelslip.routing.caches.prefix_registry import PrefixPlan


class ServiceClass(enum.StrEnum):
    """Latency class of a workload: interactive use, or callers that tolerate waiting."""

    INTERACTIVE = "interactive"
    PATIENT = "patient"


ENGINE_PRIORITY = {ServiceClass.INTERACTIVE: 0, ServiceClass.PATIENT: 100}
"""Base priority sent to the engine, lower runs first; a policy's priority is added."""

RECOMPUTE_WEIGHT = {ServiceClass.INTERACTIVE: 2.0, ServiceClass.PATIENT: 4.0}
"""Seconds of waiting that equal one second of prefill in the cost of an engine. Above one,
since a prefill also delays the other requests at the engine."""


class EngineState(enum.StrEnum):
    """Lifecycle state of an engine; only a serving one is sent new requests."""

    SERVING = "serving"
    LEAVING = "leaving"
    DOWN = "down"


@dataclass(frozen=True)
class EngineInfo:
    """Description of an engine, replicated between nodes.

    :param incarnation: identifies one run of the engine process.
    """

    name: str
    address: str
    zone: str
    incarnation: str
    model: str
    weights_version: str
    state: EngineState = EngineState.SERVING


@dataclass
class RoutingRequest:
    """A request to be scheduled.

    :param keys_for: returns the prefix keys of the prompt under a weights version.
    :param arrived: seconds on the scheduler's clock.
    :param deadline: time after which the request is refused if it is still queued, same clock.
    :param weight: weight of the tenant in the fair queue.
    :param priority: order within the service class, lower first.
    :param recompute_weight: see :data:`RECOMPUTE_WEIGHT`.
    :param excluded: names of engines that the request must not be sent to.
    """

    request_id: str
    tenant: str
    model: str
    service_class: ServiceClass
    keys_for: Callable[[str], tuple[int, ...]]
    prompt_tokens: int
    output_tokens: int
    arrived: float
    deadline: float
    weight: float = 1.0
    priority: int = 0
    recompute_weight: float = 1.0
    excluded: set[str] = field(default_factory=set)
    _keys: dict[str, tuple[int, ...]] = field(default_factory=dict)

    def keys(self, weights_version: str) -> tuple[int, ...]:
        """Return the prefix keys for a weights version; cached after the first call."""
        if weights_version not in self._keys:
            self._keys[weights_version] = self.keys_for(weights_version)
        return self._keys[weights_version]


@dataclass(frozen=True)
class LongPrefill:
    """Details of a dispatch that causes a long prefill, for the log.

    :param uncached_tokens: prompt tokens that are not in this node's prefix index.
    :param guessed_tokens: those of them that the home engine is estimated to have cached
        because of requests from other nodes.
    :param waited_seconds: time since the request's arrival.
    :param cost_seconds: cost of the chosen engine for the request.
    :param following: name and cost of each active prefill of the same prefix that the request
        does not wait for.
    """

    uncached_tokens: int
    guessed_tokens: int
    waited_seconds: float
    cost_seconds: float
    following: tuple[tuple[str, float], ...]


@dataclass(frozen=True)
class Dispatch:
    """Decision to send a request to one engine incarnation."""

    request_id: str
    engine: EngineInfo
    predicted_cached_tokens: int
    long_prefill: LongPrefill | None = None


@dataclass(frozen=True)
class Refusal:
    """Decision to refuse a request."""

    request_id: str
    kind: ErrorKind
    retry_after_seconds: float


@dataclass(frozen=True)
class HomeLookup:
    """Look up a prefix at its home node; requests for it wait for the reply."""

    head: int
    plan: PrefixPlan


@dataclass(frozen=True)
class HomeUpdate:
    """Report to a prefix's home node where it is being computed or was last used."""

    head: int
    plan: PrefixPlan


Decision = Dispatch | Refusal | HomeLookup | HomeUpdate
