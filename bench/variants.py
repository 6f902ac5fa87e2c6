"""Routing variants for replays: three baselines and the wheelslip scheduler."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from wheelslip.routing import rendezvous
from wheelslip.routing.caches.prefix_registry import PrefixHint, PrefixRegistry
from wheelslip.routing.cost import SchedulerOptions
from wheelslip.routing.model import (
    Decision,
    Dispatch,
    EngineInfo,
    HomeLookup,
    HomeUpdate,
    RoutingRequest,
)
from wheelslip.routing.scheduler import Scheduler


@dataclass(frozen=True)
class Placement:
    """Outcome of the placement of a request.

    :ivar engine: name of the chosen engine; None if the request is rejected.
    :ivar retry_after_seconds: delay before a rejected request may be retried.
    """

    request_id: str
    engine: str | None
    retry_after_seconds: float = 0.0


NodeOutput = Placement | HomeLookup | HomeUpdate


class BaselineNode:
    """Base class of nodes that place each request immediately, by the rule in :meth:`choose`.

    Requests are queued only while no engine is available.
    """

    def __init__(self, zone: str, random_source: random.Random):
        self._random = random_source
        self._engines: dict[str, EngineInfo] = {}
        self._waiting: list[RoutingRequest] = []
        self._in_flight: dict[str, str] = {}
        self._reported_loads: dict[str, int] = {}

    def update_engine(self, info: EngineInfo, now: float) -> list[Placement]:
        """Add or update an engine and return the placements that this allows."""
        self._engines[info.name] = info
        waiting, self._waiting = self._waiting, []
        return [placement for request in waiting for placement in self.submit(request, now)]

    def remove_engine(self, name: str) -> None:
        """Remove an engine."""
        self._engines.pop(name, None)

    def submit(self, request: RoutingRequest, now: float) -> list[Placement]:
        """Place a request, or queue it if there is no engine."""
        if not self._engines:
            self._waiting.append(request)
            return []
        engine = self.choose(request, sorted(self._engines))
        self._in_flight[request.request_id] = engine
        return [Placement(request.request_id, engine)]

    def choose(self, request: RoutingRequest, names: list[str]) -> str:
        """Return the engine for a request."""
        raise NotImplementedError

    def first_token(self, request_id: str, now: float) -> list[Placement]:
        """Ignore the first token: baselines do not use it."""
        return []

    def finished(self, request_id: str, cached_tokens: int, now: float) -> list[Placement]:
        """Record the completion of a request."""
        self._in_flight.pop(request_id, None)
        return []

    def failed(self, request_id: str, now: float) -> list[Placement]:
        """Record the failure of a request."""
        self._in_flight.pop(request_id, None)
        return []

    def observe_load(self, engine: str, running: int, waiting: int, now: float) -> None:
        """Record an engine's load report."""
        self._reported_loads[engine] = running + waiting

    def tick(self, now: float) -> list[Placement]:
        """Return no placements: baselines have no scheduled work."""
        return []


class RoundRobin(BaselineNode):
    """Select engines in rotation, starting at a random offset."""

    def __init__(self, zone: str, random_source: random.Random):
        super().__init__(zone, random_source)
        self._position = random_source.randrange(1000)

    def choose(self, request: RoutingRequest, names: list[str]) -> str:
        """Return the next engine."""
        self._position += 1
        return names[self._position % len(names)]


class LeastLoaded(BaselineNode):
    """Select the engine with the fewest requests.

    An engine's load is the larger of its reported load and this node's in-flight requests on it.
    """

    def choose(self, request: RoutingRequest, names: list[str]) -> str:
        """Return the least loaded engine; ties are broken at random."""
        in_flight = list(self._in_flight.values())

        def load(name: str) -> tuple[int, float]:
            return max(
                self._reported_loads.get(name, 0), in_flight.count(name)
            ), self._random.random()

        return min(names, key=load)


MAX_HASHED_BLOCKS = 8
"""Maximum number of leading prompt blocks that the prefix hash covers."""


class PrefixHash(BaselineNode):
    """Select engines by rendezvous hashing of the prompt's leading blocks, ignoring load."""

    def choose(self, request: RoutingRequest, names: list[str]) -> str:
        """Return the engine that owns the hash of the prompt's leading blocks."""
        keys = request.keys("v1")
        head = keys[min(MAX_HASHED_BLOCKS, len(keys)) - 1] if keys else request.request_id
        return rendezvous.owner(str(head), names)


class WheelslipNode:
    """Node that places requests with the wheelslip scheduler."""

    def __init__(self, options: SchedulerOptions, random_source: random.Random):
        self._scheduler = Scheduler(options, random_source)
        self.registry = PrefixRegistry()

    def handle_home_reply(
        self, head: int, hints: tuple[PrefixHint, ...], now: float
    ) -> list[NodeOutput]:
        """Process the reply of a prefix's home node to a lookup."""
        return _to_node_outputs(self._scheduler.handle_home_reply(head, hints, now))

    def update_engine(self, info: EngineInfo, now: float) -> list[Placement]:
        """Add or update an engine and return the placements that this allows."""
        return _to_node_outputs(self._scheduler.update_engine(info, now))

    def remove_engine(self, name: str) -> None:
        """Remove an engine."""
        self._scheduler.remove_engine(name)

    def submit(self, request: RoutingRequest, now: float) -> list[Placement]:
        """Place, queue or reject a request."""
        return _to_node_outputs(self._scheduler.submit(request, now))

    def first_token(self, request_id: str, now: float) -> list[Placement]:
        """Record a request's first token."""
        return _to_node_outputs(self._scheduler.first_token(request_id, now))

    def finished(self, request_id: str, cached_tokens: int, now: float) -> list[Placement]:
        """Record the completion of a request."""
        return _to_node_outputs(self._scheduler.finished(request_id, cached_tokens, now))

    def failed(self, request_id: str, now: float) -> list[Placement]:
        """Record the failure of a request."""
        return _to_node_outputs(self._scheduler.failed(request_id, now))

    def observe_load(self, engine: str, running: int, waiting: int, now: float) -> None:
        """Record an engine's load report."""
        self._scheduler.observe_load(engine, running, waiting, now)

    def tick(self, now: float) -> list[Placement]:
        """Place queued requests that can be sent and reject those past their deadline."""
        return _to_node_outputs(self._scheduler.tick(now))


def _to_node_outputs(decisions: list[Decision]) -> list[NodeOutput]:
    placements: list[NodeOutput] = []
    for decision in decisions:
        if isinstance(decision, Dispatch):
            placements.append(Placement(decision.request_id, decision.engine.name))
        elif isinstance(decision, HomeLookup | HomeUpdate):
            placements.append(decision)
        else:
            placements.append(Placement(decision.request_id, None, decision.retry_after_seconds))
    return placements


@dataclass(frozen=True)
class Variant:
    """Named factory of nodes.

    :ivar make: create a node from its zone and random source.
    """

    name: str
    make: Callable[[str, random.Random], BaselineNode | WheelslipNode]


def wheelslip_variant(name: str = "wheelslip", **options: object) -> Variant:
    """Return a variant that runs the wheelslip scheduler.

    :param options: further :class:`SchedulerOptions`, such as features disabled for an ablation.
    """
    return Variant(
        name,
        lambda zone, random_source: WheelslipNode(
            SchedulerOptions(zone=zone, max_waiting=4096, **options), random_source
        ),
    )


BASELINES = (
    Variant("round_robin", RoundRobin),
    Variant("least_loaded", LeastLoaded),
    Variant("prefix_hash", PrefixHash),
)
VARIANTS = (*BASELINES, wheelslip_variant())
