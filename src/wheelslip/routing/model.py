"""Typed values that the routing core takes and gives."""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field

from wheelslip.errors import ErrorKind
from wheelslip.routing.prefix_registry import PrefixPlan


class ServiceClass(enum.StrEnum):
    """How a workload weighs waiting: people at a counter, or callers who can wait."""

    INTERACTIVE = "interactive"
    PATIENT = "patient"


ENGINE_PRIORITY = {ServiceClass.INTERACTIVE: 0, ServiceClass.PATIENT: 100}
"""Engine priorities by class; lower runs first. A policy's priority is added."""

RECOMPUTE_WEIGHT = {ServiceClass.INTERACTIVE: 2.0, ServiceClass.PATIENT: 4.0}
"""Seconds of waiting worth one second of computing a prompt again. Above one, because that
second is also taken from everybody else at the engine; patient callers wait longer."""


class EngineState(enum.StrEnum):
    """Whether an engine takes new work."""

    SERVING = "serving"
    LEAVING = "leaving"
    DOWN = "down"


@dataclass(frozen=True)
class EngineInfo:
    """What nodes tell each other about one engine.

    :param incarnation: new at every start of the engine process.
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
    """One request as the scheduler sees it.

    :param keys_for: returns the prefix keys of the prompt under a weights version.
    :param arrived: seconds on the scheduler's clock.
    :param deadline: latest time of the first token, on the same clock.
    :param weight: the tenant's share in the fair queue.
    :param excluded: engines that this request must not be sent to again.
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
        """Return the prefix keys under ``weights_version``, computed once."""
        if weights_version not in self._keys:
            self._keys[weights_version] = self.keys_for(weights_version)
        return self._keys[weights_version]


@dataclass(frozen=True)
class LongPrefill:
    """Why a long prompt is computed now, for the log.

    :param uncached_tokens: what this node does not know to be cached.
    :param guessed_tokens: what is taken to be cached all the same, since other nodes send there.
    :param cost_seconds: what the engine costs the request.
    :param following: engine and cost of each computation of the same prompt that was not
        waited for.
    """

    uncached_tokens: int
    guessed_tokens: int
    waited_seconds: float
    cost_seconds: float
    following: tuple[tuple[str, float], ...]


@dataclass(frozen=True)
class Dispatch:
    """The scheduler's decision to send a request to one engine incarnation."""

    request_id: str
    engine: EngineInfo
    predicted_cached_tokens: int
    long_prefill: LongPrefill | None = None


@dataclass(frozen=True)
class Refusal:
    """The scheduler's decision to give a request up now."""

    request_id: str
    kind: ErrorKind
    retry_after_seconds: float


@dataclass(frozen=True)
class HomeLookup:
    """Ask a prefix's home node before computing the prefix; requests wait meanwhile."""

    head: int
    plan: PrefixPlan


@dataclass(frozen=True)
class HomeUpdate:
    """Tell a prefix's home node where it is computed or was just used."""

    head: int
    plan: PrefixPlan


Decision = Dispatch | Refusal | HomeLookup | HomeUpdate
