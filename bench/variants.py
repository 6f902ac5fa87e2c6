"""The variants of a replay: three baselines and wheelslip's scheduler, behind one interface."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from wheelslip.routing import rendezvous
from wheelslip.routing.cost import SchedulerOptions
from wheelslip.routing.model import (
    Decision,
    Dispatch,
    EngineInfo,
    HomeLookup,
    HomeUpdate,
    RoutingRequest,
)
from wheelslip.routing.prefix_registry import PrefixHint, PrefixRegistry
from wheelslip.routing.scheduler import Scheduler


@dataclass(frozen=True)
class Placement:
    """Where a request goes; no engine means that it is refused."""

    request_id: str
    engine: str | None
    retry_after_seconds: float = 0.0


NodeOutput = Placement | HomeLookup | HomeUpdate


class BaselineNode:
    """A node that sends every request at once to the engine its rule names."""

    def __init__(self, zone: str, random_source: random.Random):
        self._random = random_source
        self._engines: dict[str, EngineInfo] = {}
        self._waiting: list[RoutingRequest] = []
        self._own: dict[str, str] = {}
        self._reported: dict[str, int] = {}

    def update_engine(self, info: EngineInfo, now: float) -> list[Placement]:
        """Learn of an engine."""
        self._engines[info.name] = info
        waiting, self._waiting = self._waiting, []
        return [one for request in waiting for one in self.submit(request, now)]

    def remove_engine(self, name: str) -> None:
        """Forget an engine."""
        self._engines.pop(name, None)

    def submit(self, request: RoutingRequest, now: float) -> list[Placement]:
        """Place a request."""
        if not self._engines:
            self._waiting.append(request)
            return []
        engine = self.choose(request, sorted(self._engines))
        self._own[request.request_id] = engine
        return [Placement(request.request_id, engine)]

    def choose(self, request: RoutingRequest, names: list[str]) -> str:
        """Return the engine for a request."""
        raise NotImplementedError

    def first_token(self, request_id: str, now: float) -> list[Placement]:
        """Baselines learn nothing from first tokens."""
        return []

    def finished(self, request_id: str, cached_tokens: int, now: float) -> list[Placement]:
        """Take the end of a request."""
        self._own.pop(request_id, None)
        return []

    def failed(self, request_id: str, now: float) -> list[Placement]:
        """Take the loss of a request."""
        self._own.pop(request_id, None)
        return []

    def observe_load(self, engine: str, running: int, waiting: int, now: float) -> None:
        """Take a load report."""
        self._reported[engine] = running + waiting

    def tick(self, now: float) -> list[Placement]:
        """Baselines hold nothing back."""
        return []


class RoundRobin(BaselineNode):
    """Each engine in turn."""

    def __init__(self, zone: str, random_source: random.Random):
        super().__init__(zone, random_source)
        self._turn = random_source.randrange(1000)

    def choose(self, request: RoutingRequest, names: list[str]) -> str:
        """Return the next engine."""
        self._turn += 1
        return names[self._turn % len(names)]


class LeastLoaded(BaselineNode):
    """The engine with the fewest requests, reported or the node's own, whichever is more."""

    def choose(self, request: RoutingRequest, names: list[str]) -> str:
        """Return the least loaded engine; ties at random."""
        own = list(self._own.values())

        def load(name: str) -> tuple[int, float]:
            return max(self._reported.get(name, 0), own.count(name)), self._random.random()

        return min(names, key=load)


HEAD_BLOCKS = 8
"""Leading blocks that the prefix hash looks at: 512 tokens."""


class PrefixHash(BaselineNode):
    """Rendezvous hashing on the prompt's head, without regard to load."""

    def choose(self, request: RoutingRequest, names: list[str]) -> str:
        """Return the home of the prompt's head."""
        keys = request.keys("v1")
        head = keys[min(HEAD_BLOCKS, len(keys)) - 1] if keys else request.request_id
        return rendezvous.owner(str(head), names)


class WheelslipNode:
    """Wheelslip's own scheduler."""

    def __init__(self, options: SchedulerOptions, random_source: random.Random):
        self._scheduler = Scheduler(options, random_source)
        self.registry = PrefixRegistry()

    def handle_home_reply(
        self, head: int, hints: tuple[PrefixHint, ...], now: float
    ) -> list[NodeOutput]:
        """Take the answer of a prefix's home node."""
        return _placements(self._scheduler.handle_home_reply(head, hints, now))

    def update_engine(self, info: EngineInfo, now: float) -> list[Placement]:
        """Learn of an engine."""
        return _placements(self._scheduler.update_engine(info, now))

    def remove_engine(self, name: str) -> None:
        """Forget an engine."""
        self._scheduler.remove_engine(name)

    def submit(self, request: RoutingRequest, now: float) -> list[Placement]:
        """Place, queue or refuse a request."""
        return _placements(self._scheduler.submit(request, now))

    def first_token(self, request_id: str, now: float) -> list[Placement]:
        """Take a first token."""
        return _placements(self._scheduler.first_token(request_id, now))

    def finished(self, request_id: str, cached_tokens: int, now: float) -> list[Placement]:
        """Take the end of a request."""
        return _placements(self._scheduler.finished(request_id, cached_tokens, now))

    def failed(self, request_id: str, now: float) -> list[Placement]:
        """Take the loss of a request."""
        return _placements(self._scheduler.failed(request_id, now))

    def observe_load(self, engine: str, running: int, waiting: int, now: float) -> None:
        """Take a load report."""
        self._scheduler.observe_load(engine, running, waiting, now)

    def tick(self, now: float) -> list[Placement]:
        """Do what is due."""
        return _placements(self._scheduler.tick(now))


def _placements(decisions: list[Decision]) -> list[NodeOutput]:
    placements: list[NodeOutput] = []
    for one in decisions:
        if isinstance(one, Dispatch):
            placements.append(Placement(one.request_id, one.engine.name))
        elif isinstance(one, HomeLookup | HomeUpdate):
            placements.append(one)
        else:
            placements.append(Placement(one.request_id, None, one.retry_after_seconds))
    return placements


@dataclass(frozen=True)
class Variant:
    """A named way to make nodes."""

    name: str
    make: Callable[[str, random.Random], BaselineNode | WheelslipNode]


def wheelslip_variant(name: str = "wheelslip", **options: object) -> Variant:
    """Return wheelslip's scheduler, with mechanisms turned off for an ablation."""
    return Variant(
        name,
        lambda zone, source: WheelslipNode(
            SchedulerOptions(zone=zone, max_waiting=4096, **options), source
        ),
    )


BASELINES = (
    Variant("round_robin", RoundRobin),
    Variant("least_loaded", LeastLoaded),
    Variant("prefix_hash", PrefixHash),
)
VARIANTS = (*BASELINES, wheelslip_variant())
