"""Emulation of several nodes and engines in virtual time.

Engines are modelled by :class:`standins.engine_model.EngineModel`, which the stand-in process
uses too. Runs are deterministic for a given seed.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

import simpy

from bench.traces import TRACE_BLOCK_TOKENS, TraceRequest
from bench.variants import BaselineNode, NodeOutput, Variant, WheelslipNode
from standins.engine_model import BlockOrigin, EngineModel, EngineProfile, PrefixCache, Sequence
from wheelslip.routing import rendezvous
from wheelslip.routing.caches.prefix import BLOCK_TOKENS
from wheelslip.routing.model import (
    ENGINE_PRIORITY,
    RECOMPUTE_WEIGHT,
    EngineInfo,
    HomeLookup,
    HomeUpdate,
    RoutingRequest,
    ServiceClass,
)

_ZONES = ("zone-a", "zone-b", "zone-c")
_HOP_SECONDS = 0.001
"""One-way latency between client and node, node and engine, and two nodes."""

_CRASH_DETECTION_SECONDS = 0.5
_RESTART_SECONDS = 3.0
_KEYS_PER_ID = TRACE_BLOCK_TOKENS // BLOCK_TOKENS
UNANSWERED_SECONDS = 300.0
"""First-token time of unanswered requests; a run ends this long after its last arrival."""


@dataclass(frozen=True)
class Scenario:
    """Conditions of a run.

    :ivar engines: number of engines.
    :ivar nodes: number of nodes.
    :ivar report_seconds: interval between load reports, and their age on delivery.
    :ivar crash_times: times in seconds at which a random engine crashes and restarts empty.
    :ivar class_priority: whether engines order requests by service class.
    """

    engines: int
    nodes: int = 3
    profile: EngineProfile = field(default_factory=EngineProfile)
    report_seconds: float = 0.1
    crash_times: tuple[float, ...] = ()
    class_priority: bool = True


@dataclass
class RunMetrics:
    """Measurements of one run.

    :ivar first_token: seconds from arrival to first token of each request.
    :ivar wasted_tokens: prompt tokens cached by another live engine but not by the chosen one.
    :ivar evicted_tokens: prompt tokens seen before but cached by no live engine.
    :ivar started: number of submissions to engines by request id.
    """

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
class _RequestState:
    """Progress of a request through the run."""

    request: TraceRequest
    routing: RoutingRequest
    node: int
    arrived: float
    engine: "_Engine | None" = None
    incarnation: int = 0
    first_token_at: float | None = None
    cached_tokens: int = 0


class _Engine:
    """Engine process in virtual time."""

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

    def submit(self, state: _RequestState) -> None:
        routing = state.routing
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
        self.run.metrics.started[routing.request_id] = (
            self.run.metrics.started.get(routing.request_id, 0) + 1
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
    """Replay of a trace with one variant."""

    def __init__(self, trace: list[TraceRequest], variant: Variant, scenario: Scenario, seed: int):
        self.environment = simpy.Environment()
        self.scenario = scenario
        self.metrics = RunMetrics()
        self.sequences: dict[str, Sequence] = {}
        self._trace = trace
        self._random = random.Random(seed)
        self._engines = {engine.name: engine for engine in self._make_engines()}
        self._nodes = [
            variant.make(_ZONES[n % len(_ZONES)], random.Random(seed + n))
            for n in range(scenario.nodes)
        ]
        self._unfinished: dict[str, _RequestState] = {}
        self._seen_keys: set[int] = set()

    def run(self) -> RunMetrics:
        """Run until ``UNANSWERED_SECONDS`` after the last arrival and return the measurements."""
        for node in self._nodes:
            for engine in self._engines.values():
                self._apply_outputs(node.update_engine(engine.info(), 0.0), node)
        self.environment.process(self._submit_arrivals())
        self.environment.process(self._report_load())
        self.environment.process(self._tick())
        for crash_time in self.scenario.crash_times:
            self.environment.process(self._crash(crash_time))
        last_arrival = self._trace[-1].timestamp / 1000
        self.environment.run(until=last_arrival + UNANSWERED_SECONDS)
        for state in self._unfinished.values():
            self._record_unanswered(state)
        return self.metrics

    def _make_engines(self) -> list[_Engine]:
        return [_Engine(self, number) for number in range(self.scenario.engines)]

    def _submit_arrivals(self) -> Iterator[simpy.Event]:
        for number, request in enumerate(self._trace):
            arrived = request.timestamp / 1000
            yield self.environment.timeout(max(0.0, arrived - self.environment.now))
            node = self._random.randrange(self.scenario.nodes)
            state = _RequestState(
                request, _routing_request(request, number, arrived), node, arrived
            )
            self._unfinished[state.routing.request_id] = state
            self._submit(state)

    def _submit(self, state: _RequestState) -> None:
        now = self.environment.now
        node = self._nodes[state.node]
        self._apply_outputs(node.submit(state.routing, now), node)

    def _tick(self) -> Iterator[simpy.Event]:
        while True:
            yield self.environment.timeout(0.05)
            for node in self._nodes:
                self._apply_outputs(node.tick(self.environment.now), node)

    def _report_load(self) -> Iterator[simpy.Event]:
        """Deliver load reports to the nodes with a delay of one report interval."""
        while True:
            loads = {
                engine.name: (engine.model.running_count, engine.model.waiting_count)
                for engine in self._engines.values()
            }
            yield self.environment.timeout(self.scenario.report_seconds)
            for node in self._nodes:
                for name, (running, waiting) in loads.items():
                    node.observe_load(name, running, waiting, self.environment.now)

    def _crash(self, crash_time: float) -> Iterator[simpy.Event]:
        yield self.environment.timeout(crash_time)
        engine = self._random.choice(
            sorted(self._engines.values(), key=lambda candidate: candidate.name)
        )
        crashed_incarnation = engine.incarnation
        engine.crash()
        lost = [
            state
            for state in self._unfinished.values()
            if state.engine is engine and state.incarnation == crashed_incarnation
        ]
        yield self.environment.timeout(_CRASH_DETECTION_SECONDS)
        for node in self._nodes:
            node.remove_engine(engine.name)
        for state in lost:
            self._handle_lost(state)
        yield self.environment.timeout(_RESTART_SECONDS)
        engine.alive = True
        for node in self._nodes:
            self._apply_outputs(node.update_engine(engine.info(), self.environment.now), node)

    def _handle_lost(self, state: _RequestState) -> None:
        request_id = state.routing.request_id
        node = self._nodes[state.node]
        self._apply_outputs(node.failed(request_id, self.environment.now), node)
        state.engine = None
        if not state.request.repeatable:
            self.metrics.lost += 1
            del self._unfinished[request_id]
            self._record_first_token(state, UNANSWERED_SECONDS)
            return
        self.metrics.retried += 1
        self._submit(state)

    def _apply_outputs(self, outputs: list[NodeOutput], node: WheelslipNode | BaselineNode) -> None:
        for output in outputs:
            if isinstance(output, HomeLookup | HomeUpdate):
                self.environment.process(self._deliver_to_home(output, node))
                continue
            state = self._unfinished[output.request_id]
            if output.engine is None:
                self.metrics.refused += 1
                self.environment.process(self._resubmit_later(state, output.retry_after_seconds))
                continue
            self.environment.process(self._send(state, self._engines[output.engine]))

    def _deliver_to_home(
        self, message: HomeLookup | HomeUpdate, sender: WheelslipNode
    ) -> Iterator[simpy.Event]:
        """Deliver a message to a prefix's home node, and its reply to the sender."""
        names = [str(number) for number in range(self.scenario.nodes)]
        home = self._nodes[int(rendezvous.owner(str(message.head), names))]
        yield self.environment.timeout(_HOP_SECONDS)
        self.metrics.home_messages += 1
        if isinstance(message, HomeUpdate):
            home.registry.record(message.head, message.plan, self.environment.now)
            return
        hints = home.registry.lookup(message.head, message.plan, self.environment.now)
        yield self.environment.timeout(_HOP_SECONDS)
        now = self.environment.now
        self._apply_outputs(sender.handle_home_reply(message.head, hints, now), sender)

    def _resubmit_later(self, state: _RequestState, seconds: float) -> Iterator[simpy.Event]:
        """Resubmit a rejected request after its retry delay, with a renewed deadline.

        Its first-token time is still measured from its arrival.
        """
        yield self.environment.timeout(seconds)
        state.routing.deadline = self.environment.now + state.request.deadline_seconds
        state.node = self._random.randrange(self.scenario.nodes)
        self._submit(state)

    def _send(self, state: _RequestState, engine: _Engine) -> Iterator[simpy.Event]:
        state.engine, state.incarnation = engine, engine.incarnation
        yield self.environment.timeout(_HOP_SECONDS)
        if not engine.alive or engine.incarnation != state.incarnation:
            if state.engine is engine and state.routing.request_id in self._unfinished:
                yield self.environment.timeout(_CRASH_DETECTION_SECONDS)
                state.routing.excluded.discard(engine.name)
                if state.engine is engine:
                    self._resubmit_unstarted(state)
            return
        self._record_prompt(state, engine)
        now = self.environment.now
        waiting = engine.model.waiting_count
        running = engine.model.running_count
        self._nodes[state.node].observe_load(engine.name, running, waiting, now)
        engine.submit(state)

    def _resubmit_unstarted(self, state: _RequestState) -> None:
        """Resubmit a request that never reached its engine, even if it is not repeatable."""
        node = self._nodes[state.node]
        state.engine = None
        self._apply_outputs(node.failed(state.routing.request_id, self.environment.now), node)
        self._submit(state)

    def _record_prompt(self, state: _RequestState, engine: _Engine) -> None:
        """Record wasted and evicted prompt tokens by the engines' caches on a request's arrival."""
        keys = state.routing.keys("v1")
        local_blocks = _cached_blocks(engine.model.cache, keys)
        best_blocks = max(
            _cached_blocks(candidate.model.cache, keys)
            for candidate in self._engines.values()
            if candidate.alive
        )
        seen_blocks = next(
            (n for n, key in enumerate(keys) if key not in self._seen_keys), len(keys)
        )
        self._seen_keys.update(keys)
        metrics = self.metrics
        metrics.prompt_tokens += state.routing.prompt_tokens
        metrics.wasted_tokens += max(0, best_blocks - local_blocks) * BLOCK_TOKENS
        metrics.evicted_tokens += max(0, seen_blocks - best_blocks) * BLOCK_TOKENS

    def on_token(self, request_id: str, index: int, finished: bool) -> None:
        """Process an output token of an engine."""
        state = self._unfinished.get(request_id)
        if state is None:
            return
        now = self.environment.now
        node = self._nodes[state.node]
        if state.first_token_at is None:
            state.first_token_at = now
            self._record_first_token(state, now + 2 * _HOP_SECONDS - state.arrived)
        if index == 0:
            sequence = self.sequences[request_id]
            state.cached_tokens = sequence.cached_tokens
            self.metrics.cached_tokens += sequence.cached_tokens
            self._apply_outputs(node.first_token(request_id, now), node)
        if finished:
            del self._unfinished[request_id]
            self._apply_outputs(node.finished(request_id, state.cached_tokens, now), node)

    def _record_first_token(self, state: _RequestState, seconds: float) -> None:
        self.metrics.first_token.append(seconds)
        if state.routing.service_class is ServiceClass.INTERACTIVE:
            self.metrics.interactive_first_token.append(seconds)
        if seconds > state.request.deadline_seconds:
            self.metrics.late += 1

    def _record_unanswered(self, state: _RequestState) -> None:
        if state.first_token_at is None:
            self._record_first_token(state, UNANSWERED_SECONDS)


def _cached_blocks(cache: PrefixCache, keys: tuple[int, ...]) -> int:
    return next((n for n, key in enumerate(keys) if key not in cache), len(keys))


def _routing_request(request: TraceRequest, number: int, arrived: float) -> RoutingRequest:
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
        arrived=arrived,
        deadline=arrived + request.deadline_seconds,
        recompute_weight=RECOMPUTE_WEIGHT[service_class],
    )


def hit_rate_ceilings(trace: list[TraceRequest], scenario: Scenario) -> tuple[float, float]:
    """Return the hit rates of an infinite cache and of one cache with the memory of all engines."""
    profile = scenario.profile
    pooled = PrefixCache(profile.cache_blocks * scenario.engines, profile.idle_eviction_seconds)
    seen_keys: set[int] = set()
    origin = BlockOrigin("", "v1")
    total_tokens = infinite_hits = bounded_hits = 0
    for number, request in enumerate(trace):
        arrived = request.timestamp / 1000
        keys = _routing_request(request, number, arrived).keys("v1")
        seen_blocks = next((n for n, key in enumerate(keys) if key not in seen_keys), len(keys))
        infinite_hits += seen_blocks * BLOCK_TOKENS
        bounded_hits += len(pooled.match(keys, arrived)) * BLOCK_TOKENS
        total_tokens += request.input_length
        seen_keys.update(keys)
        pooled.store(keys, origin, arrived)
    return infinite_hits / total_tokens, bounded_hits / total_tokens
