"""Several nodes and engines in virtual time: every decision by the same pure code.

Engines are :class:`standins.engine_model.EngineModel`, the class that also serves in the
stand-in process. A run gives the same figures every time.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

import simpy

from bench.traces import TRACE_BLOCK_TOKENS, TraceRequest
from bench.variants import BaselineNode, NodeOutput, Variant, WheelslipNode
from standins.engine_model import BlockOrigin, EngineModel, EngineProfile, PrefixCache, Sequence
from wheelslip.routing import rendezvous
from wheelslip.routing.model import (
    ENGINE_PRIORITY,
    RECOMPUTE_WEIGHT,
    EngineInfo,
    HomeLookup,
    HomeUpdate,
    RoutingRequest,
    ServiceClass,
)
from wheelslip.routing.prefix import BLOCK_TOKENS

_ZONES = ("zone-a", "zone-b", "zone-c")
_HOP_SECONDS = 0.001
"""Client to node, and node to engine, one way: "about a millisecond away"."""

_CRASH_NOTICE_SECONDS = 0.5
_RESTART_SECONDS = 3.0
_KEYS_PER_ID = TRACE_BLOCK_TOKENS // BLOCK_TOKENS
GIVEN_UP_SECONDS = 300.0
"""First-token time booked for a request that was refused or lost."""


@dataclass(frozen=True)
class Scenario:
    """What a run is made of besides its trace.

    :param report_seconds: interval and age of engines' load reports.
    :param crash_times: when an engine crashes, coming back empty.
    """

    engines: int
    nodes: int = 3
    profile: EngineProfile = field(default_factory=EngineProfile)
    report_seconds: float = 0.1
    crash_times: tuple[float, ...] = ()
    class_priority: bool = True


@dataclass
class RunFigures:
    """Raw outcome of one run."""

    first_token: list[float] = field(default_factory=list)
    interactive_first_token: list[float] = field(default_factory=list)
    prompt_tokens: int = 0
    cached_tokens: int = 0
    wasted_tokens: int = 0
    evicted_tokens: int = 0
    late: int = 0
    refused: int = 0
    lost: int = 0
    retried: int = 0
    home_messages: int = 0
    started: dict[str, int] = field(default_factory=dict)


@dataclass
class _Work:
    request: TraceRequest
    routing: RoutingRequest
    node: int
    arrived: float
    engine: "_Engine | None" = None
    incarnation: int = 0
    first_token_at: float | None = None
    cached_tokens: int = 0


class _Engine:
    """One engine process in virtual time."""

    def __init__(self, run: "EmulatedRun", number: int):
        self.run = run
        self.name = f"engine-{number}"
        self.zone = _ZONES[number % len(_ZONES)]
        self.incarnation = 0
        self.alive = True
        self.model = EngineModel(run.scenario.profile)
        self.wake = run.environment.event()
        run.environment.process(self._step())

    def info(self) -> EngineInfo:
        return EngineInfo(self.name, "", self.zone, str(self.incarnation), "model", "v1")

    def submit(self, work: _Work) -> None:
        routing = work.routing
        priority = 0
        if self.run.scenario.class_priority:
            priority = ENGINE_PRIORITY[routing.service_class]
        sequence = Sequence(
            routing.request_id,
            routing.keys("v1"),
            routing.prompt_tokens,
            routing.output_tokens,
            BlockOrigin(routing.tenant, "v1"),
            priority,
        )
        self.run.figures.started[routing.request_id] = (
            self.run.figures.started.get(routing.request_id, 0) + 1
        )
        self.model.submit(sequence, self.run.environment.now)
        self.run.sequences[routing.request_id] = sequence
        if not self.wake.triggered:
            self.wake.succeed()

    def crash(self) -> None:
        self.alive = False
        self.model = EngineModel(self.run.scenario.profile)
        self.incarnation += 1

    def _step(self) -> Iterator[simpy.Event]:
        environment = self.run.environment
        while True:
            next_time = self.model.next_time()
            if next_time is None:
                self.wake = environment.event()
                yield self.wake
                continue
            yield environment.timeout(max(0.0, next_time - environment.now))
            for event in self.model.advance(environment.now):
                self.run.on_token(event.request_id, event.index, event.finished)


class EmulatedRun:
    """One trace through one variant."""

    def __init__(self, trace: list[TraceRequest], variant: Variant, scenario: Scenario, seed: int):
        self.environment = simpy.Environment()
        self.scenario = scenario
        self.figures = RunFigures()
        self.sequences: dict[str, Sequence] = {}
        self._trace = trace
        self._random = random.Random(seed)
        self._engines = {one.name: one for one in self._make_engines()}
        self._nodes = [
            variant.make(_ZONES[n % len(_ZONES)], random.Random(seed + n))
            for n in range(scenario.nodes)
        ]
        self._works: dict[str, _Work] = {}
        self._seen: set[int] = set()

    def run(self) -> RunFigures:
        """Run to the end of all requests."""
        for node in self._nodes:
            for engine in self._engines.values():
                self._carry_out(node.update_engine(engine.info(), 0.0), node)
        self.environment.process(self._arrive())
        self.environment.process(self._report_load())
        self.environment.process(self._tick())
        for at in self.scenario.crash_times:
            self.environment.process(self._crash(at))
        last = self._trace[-1].timestamp / 1000
        self.environment.run(until=last + GIVEN_UP_SECONDS)
        for work in self._works.values():
            self._book_given_up(work)
        return self.figures

    def _make_engines(self) -> list[_Engine]:
        return [_Engine(self, number) for number in range(self.scenario.engines)]

    def _arrive(self) -> Iterator[simpy.Event]:
        for number, request in enumerate(self._trace):
            at = request.timestamp / 1000
            yield self.environment.timeout(max(0.0, at - self.environment.now))
            node = self._random.randrange(self.scenario.nodes)
            work = _Work(request, _routing_request(request, number, at), node, at)
            self._works[work.routing.request_id] = work
            self._submit(work)

    def _submit(self, work: _Work) -> None:
        now = self.environment.now
        node = self._nodes[work.node]
        self._carry_out(node.submit(work.routing, now), node)

    def _tick(self) -> Iterator[simpy.Event]:
        while True:
            yield self.environment.timeout(0.05)
            for node in self._nodes:
                self._carry_out(node.tick(self.environment.now), node)

    def _report_load(self) -> Iterator[simpy.Event]:
        """Deliver load reports that are as old as the interval between them."""
        while True:
            loads = {
                engine.name: (engine.model.running_count, engine.model.waiting_count)
                for engine in self._engines.values()
            }
            yield self.environment.timeout(self.scenario.report_seconds)
            for node in self._nodes:
                for name, (running, waiting) in loads.items():
                    node.observe_load(name, running, waiting, self.environment.now)

    def _crash(self, at: float) -> Iterator[simpy.Event]:
        yield self.environment.timeout(at)
        engine = self._random.choice(sorted(self._engines.values(), key=lambda one: one.name))
        before = engine.incarnation
        engine.crash()
        lost = [
            work
            for work in self._works.values()
            if work.engine is engine and work.incarnation == before
        ]
        yield self.environment.timeout(_CRASH_NOTICE_SECONDS)
        for node in self._nodes:
            node.remove_engine(engine.name)
        for work in lost:
            self._lose(work)
        yield self.environment.timeout(_RESTART_SECONDS)
        engine.alive = True
        for node in self._nodes:
            self._carry_out(node.update_engine(engine.info(), self.environment.now), node)

    def _lose(self, work: _Work) -> None:
        request_id = work.routing.request_id
        node = self._nodes[work.node]
        self._carry_out(node.failed(request_id, self.environment.now), node)
        work.engine = None
        if not work.request.repeatable:
            self.figures.lost += 1
            del self._works[request_id]
            self._book_first_token(work, GIVEN_UP_SECONDS)
            return
        self.figures.retried += 1
        self._submit(work)

    def _carry_out(self, placements: list[NodeOutput], node: WheelslipNode | BaselineNode) -> None:
        for placement in placements:
            if isinstance(placement, HomeLookup | HomeUpdate):
                self.environment.process(self._talk_to_home(placement, node))
                continue
            work = self._works[placement.request_id]
            if placement.engine is None:
                self.figures.refused += 1
                self.environment.process(self._come_back(work, placement.retry_after_seconds))
                continue
            self.environment.process(self._send(work, self._engines[placement.engine]))

    def _talk_to_home(
        self, message: HomeLookup | HomeUpdate, asker: WheelslipNode
    ) -> Iterator[simpy.Event]:
        """Carry a message to a prefix's home node, and its answer back."""
        names = [str(number) for number in range(self.scenario.nodes)]
        home = self._nodes[int(rendezvous.owner(str(message.head), names))]
        yield self.environment.timeout(_HOP_SECONDS)
        self.figures.home_messages += 1
        if isinstance(message, HomeUpdate):
            home.registry.record(message.head, message.plan, self.environment.now)
            return
        hints = home.registry.lookup(message.head, message.plan, self.environment.now)
        yield self.environment.timeout(_HOP_SECONDS)
        now = self.environment.now
        self._carry_out(asker.handle_home_reply(message.head, hints, now), asker)

    def _come_back(self, work: _Work, seconds: float) -> Iterator[simpy.Event]:
        """Repeat a refused request when its caller was told to; lateness counts from its start."""
        yield self.environment.timeout(seconds)
        work.routing.deadline = self.environment.now + work.request.deadline_seconds
        work.node = self._random.randrange(self.scenario.nodes)
        self._submit(work)

    def _send(self, work: _Work, engine: _Engine) -> Iterator[simpy.Event]:
        work.engine, work.incarnation = engine, engine.incarnation
        yield self.environment.timeout(_HOP_SECONDS)
        if not engine.alive or engine.incarnation != work.incarnation:
            if work.engine is engine and work.routing.request_id in self._works:
                yield self.environment.timeout(_CRASH_NOTICE_SECONDS)
                work.routing.excluded.discard(engine.name)
                if work.engine is engine:
                    self._refused_by_dead(work)
            return
        self._book_prompt(work, engine)
        now = self.environment.now
        waiting = engine.model.waiting_count
        running = engine.model.running_count
        self._nodes[work.node].observe_load(engine.name, running, waiting, now)
        engine.submit(work)

    def _refused_by_dead(self, work: _Work) -> None:
        """Nothing ran: even what may not be repeated is placed anew."""
        node = self._nodes[work.node]
        work.engine = None
        self._carry_out(node.failed(work.routing.request_id, self.environment.now), node)
        self._submit(work)

    def _book_prompt(self, work: _Work, engine: _Engine) -> None:
        """Book hit, waste and eviction by what live engines hold as the request arrives."""
        keys = work.routing.keys("v1")
        here = _held(engine.model.cache, keys)
        best = max(_held(one.model.cache, keys) for one in self._engines.values() if one.alive)
        seen = next((n for n, key in enumerate(keys) if key not in self._seen), len(keys))
        self._seen.update(keys)
        figures = self.figures
        figures.prompt_tokens += work.routing.prompt_tokens
        figures.wasted_tokens += max(0, best - here) * BLOCK_TOKENS
        figures.evicted_tokens += max(0, seen - best) * BLOCK_TOKENS

    def on_token(self, request_id: str, index: int, finished: bool) -> None:
        """Take one token of an engine."""
        work = self._works.get(request_id)
        if work is None:
            return
        now = self.environment.now
        node = self._nodes[work.node]
        if work.first_token_at is None:
            work.first_token_at = now
            self._book_first_token(work, now + 2 * _HOP_SECONDS - work.arrived)
        if index == 0:
            sequence = self.sequences[request_id]
            work.cached_tokens = sequence.cached_tokens
            self.figures.cached_tokens += sequence.cached_tokens
            self._carry_out(node.first_token(request_id, now), node)
        if finished:
            del self._works[request_id]
            self._carry_out(node.finished(request_id, work.cached_tokens, now), node)

    def _book_first_token(self, work: _Work, seconds: float) -> None:
        self.figures.first_token.append(seconds)
        if work.routing.service_class is ServiceClass.INTERACTIVE:
            self.figures.interactive_first_token.append(seconds)
        if seconds > work.request.deadline_seconds:
            self.figures.late += 1

    def _book_given_up(self, work: _Work) -> None:
        if work.first_token_at is None:
            self._book_first_token(work, GIVEN_UP_SECONDS)


def _held(cache: PrefixCache, keys: tuple[int, ...]) -> int:
    return next((n for n, key in enumerate(keys) if key not in cache), len(keys))


def _routing_request(request: TraceRequest, number: int, at: float) -> RoutingRequest:
    keys = tuple(
        hash_id * _KEYS_PER_ID + part
        for hash_id in request.hash_ids
        for part in range(_KEYS_PER_ID)
    )
    service_class = request.service_class
    return RoutingRequest(
        request_id=f"r{number}",
        tenant=request.tenant,
        model="model",
        service_class=service_class,
        keys_for=lambda version: keys,
        prompt_tokens=request.input_length,
        output_tokens=request.output_length,
        arrived=at,
        deadline=at + request.deadline_seconds,
        recompute_weight=RECOMPUTE_WEIGHT[service_class],
    )


def ceilings(trace: list[TraceRequest], scenario: Scenario) -> tuple[float, float]:
    """Return the hit rates of one infinite cache, and of one cache of all engines' memory."""
    profile = scenario.profile
    pooled = PrefixCache(profile.cache_blocks * scenario.engines, profile.idle_eviction_seconds)
    seen: set[int] = set()
    origin = BlockOrigin("", "v1")
    total = infinite = bounded = 0
    for number, request in enumerate(trace):
        at = request.timestamp / 1000
        keys = _routing_request(request, number, at).keys("v1")
        known = next((n for n, key in enumerate(keys) if key not in seen), len(keys))
        infinite += known * BLOCK_TOKENS
        bounded += len(pooled.match(keys, at)) * BLOCK_TOKENS
        total += request.input_length
        seen.update(keys)
        pooled.store(keys, origin, at)
    return infinite / total, bounded / total
