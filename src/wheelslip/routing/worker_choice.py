"""Selection of a worker for one request by a single node.

The cost of a worker is an estimate of the seconds until the first token::

    pending prefill tokens / prefill rate + running requests * cost of a step
    + tokens to compute / prefill rate + tokens to transfer / link rate

Rendezvous hashing assigns each shared prompt part a home worker. All nodes compute the same
home, so it is likely to have the part cached even if this node never sent the part there.
"""

import math
import random
from collections.abc import Callable, Container
from dataclasses import replace
from typing import Protocol

from wheelslip.deployment import CachePlan, EngineProfile, Incarnation, RoutingConfiguration, Worker
from wheelslip.routing import rendezvous
from wheelslip.routing.caches.holdings import Chain
from wheelslip.routing.load_table import LoadAtWorker, LoadTable
from wheelslip.routing.overload import Overloaded
from wheelslip.routing.placement import Placement, PlacementQuery
from wheelslip.routing.separation import PromptSeparation
from wheelslip.routing.speeds.worker_speed import SpeedEstimates
from wheelslip.routing.worker_records import WorkerRecords
from wheelslip.routing.worker_room import WorkerRoom

LONG_PROMPT_PAUSE_SHARE = 0.125
"""A prompt is long when its prefill exceeds this share of the longest pause that callers accept in a
stream: a worker may compute several prompts between two events."""

SAMPLED_WORKERS = 8
"""Number of randomly drawn workers that are compared with the home."""

OTHER_LENGTH_SECONDS = 0.05
"""Cost of a worker that is set aside for requests of the other length."""

PREFILL_INTERFERENCE = 0.05
"""Extra cost of a prefill for each running stream, as a share of the prefill time."""

RUNNING_REQUEST_SECONDS = 0.002
"""Cost of each request that runs at a worker: it lengthens every step there."""

HOME_CACHED_SHARE = 0.9
"""Share of a shared prompt part that its home is assumed to have cached."""

OUTDATED_WEIGHTS_SECONDS = 0.1
"""Cost of a worker for whose weights a newer version has been announced."""

OTHER_ZONE_SECONDS = 0.003

CONNECT_SECONDS = 0.005
"""Cost of a worker without an idle connection."""

CONNECT_CAPACITY_SHARE = 0.08
"""Cost of a worker without an idle connection at services without model engines, as a share of
the worker's capacity."""

BEGIN_MARGIN_SECONDS = 1.0
"""Requests stop going to outdated weights this long before the deadline, because a request may
wait at its worker before it starts."""

BEGIN_WAIT_FACTOR = 2.0
"""The same margin as a multiple of the longest recent wait at the worker."""

MIN_TRANSFER_TOKENS = 600
"""Shorter shared parts are recomputed, which is faster than a transfer that may wait for others."""

FAILURE_COST_SECONDS = 1.0
"""Cost of a worker that fails all of its requests."""


class DeploymentView(Protocol):
    """The part of a node's view of its deployment that the selection depends on."""

    configuration: RoutingConfiguration | None
    workers: dict[Incarnation, Worker]

    def workers_of(self, service: str) -> list[Worker]:
        """Return the workers of a service that accept new requests."""

    def loading_workers(self) -> frozenset[Incarnation]:
        """Return the workers that are loading weights."""

    def start_deadline(self, model: str, version: int) -> float:
        """Return the time until which requests may start on a version; infinite for the newest."""

    def record_weights(self, incarnation: Incarnation, model: str, version: int) -> None:
        """Record a weights version that was observed at a worker."""


class WorkerPlacement(WorkerRecords):
    """Selects workers from this node's own records and the loads that other nodes report.

    :param table: loads reported by other nodes, and prompts saved to cache stores.
    :param speeds: learned speeds; ``None`` to use constants.
    :param learn_speeds: returns whether speeds are learned and used.
    :param limits_load: returns whether workers that are at their capacity are passed over.
    :ivar room: decides which workers are at their capacity.
    :ivar brittle: services whose workers get no more requests at once than their capacity.
    """

    def __init__(
        self,
        registry: DeploymentView,
        clock: Callable[[], float],
        random_source: random.Random,
        table: LoadTable | None = None,
        speeds: SpeedEstimates | None = None,
        learn_speeds: Callable[[], bool] = lambda: True,
        limits_load: Callable[[], bool] = lambda: False,
    ):
        super().__init__(clock, self._is_registered, speeds, learn_speeds)
        self.room = WorkerRoom()
        self.brittle: Container[str] = frozenset()
        self._limits_load = limits_load
        self._table = table or LoadTable()
        self._registry = registry
        self._random = random_source
        self._separation: dict[str, PromptSeparation] = {}

    def _is_registered(self, worker_id: Incarnation) -> bool:
        return worker_id in self._registry.workers

    def total_load(self, worker_id: Incarnation) -> LoadAtWorker:
        """Return the load of a worker, summed over all nodes."""
        own = self.load(worker_id)
        others = self._table.at_worker(worker_id, self._clock())
        return LoadAtWorker(
            worker_id,
            own.running + others.running,
            own.prefill_tokens + others.prefill_tokens,
            own.held_tokens + others.held_tokens,
        )

    def _unseen_tokens(self, worker_id: Incarnation) -> int:
        """Return the prompt tokens that a worker computes for the requests of other nodes."""
        return self._table.at_worker(worker_id, self._clock()).prefill_tokens

    def choose(self, query: PlacementQuery) -> Placement | None:
        """Return the best worker now, or ``None`` when no worker may take the request.

        :raises Overloaded: if all workers are at their capacity.
        """
        candidates = self._usable_workers(query)
        engine = self._engine(query.service)
        if engine is None:
            return self._choose_without_engine(query, candidates)
        candidates = self._eligible(query, candidates)
        if not candidates:
            return None
        candidates = self._with_room(query, candidates, engine)
        return self._choose_engine(query, candidates, engine)

    def may_queue(self, service: str) -> bool:
        """Return whether requests of a service may wait until a worker can start them.

        Model engines get only what they can start within some 60 ms. Engines that need longer for
        a typical prompt would idle between two prompts, so their speeds must be known, and fast.
        """
        if self._engine(service) is None or self.speeds is None:
            return True
        return self.engine_speeds(service) is not None

    def require_room(self, query: PlacementQuery) -> None:
        """Check that some worker is below its capacity, before the request is charged to a tenant.

        :raises Overloaded: if all workers are at their capacity.
        """
        if not self._limits_load():
            return
        candidates = self._usable_workers(query)
        engine = self._engine(query.service)
        if engine is None:
            candidates = self._prefer_reachable(candidates)
        else:
            candidates = self._eligible(query, candidates)
        if candidates:
            self._with_room(query, candidates, engine)

    def _usable_workers(self, query: PlacementQuery) -> list[Worker]:
        workers = [
            worker
            for worker in self._registry.workers_of(query.service)
            if query.allows(worker.info)
        ]
        if query.service not in self.brittle:
            return workers
        return [worker for worker in workers if self._has_free_capacity(worker)]

    def _has_free_capacity(self, worker: Worker) -> bool:
        return self.total_load(worker.info.id).running < self._capacity(worker)

    def _with_room(
        self, query: PlacementQuery, candidates: list[Worker], engine: EngineProfile | None
    ) -> list[Worker]:
        """Leave out workers at their capacity; requests that were sent before go to any worker.

        :raises Overloaded: if all workers are at their capacity.
        """
        if query.sent_before or not self._limits_load() or not self.may_queue(query.service):
            return candidates
        with_room = [
            worker
            for worker in candidates
            if self.room.has_room(worker, self.total_load(worker.info.id), query, engine)
        ]
        if with_room:
            return with_room
        raise Overloaded(0.0)

    def has_worker(self, service: str, excluded: frozenset[Incarnation] = frozenset()) -> bool:
        """Return whether a service has a worker that is not excluded."""
        workers = self._registry.workers_of(service)
        return any(worker.info.id not in excluded for worker in workers)

    def start_capacity(self, service: str) -> float:
        """Return how many requests of this node the workers may hold that can be chosen now.

        Other nodes are expected to keep the share of the workers that they have now.
        """
        workers = self._prefer_reachable(self._registry.workers_of(service))
        own = 1 + sum(self.load(worker.info.id).running for worker in workers)
        total = 1 + sum(self.total_load(worker.info.id).running for worker in workers)
        return self.total_capacity(service) * own / total

    def total_capacity(self, service: str) -> int:
        """Return how many requests of all nodes the workers may hold that can be chosen now."""
        workers = self._prefer_reachable(self._registry.workers_of(service))
        return sum(self._capacity(worker) for worker in workers)

    def is_limited_by_slots(self, service: str) -> bool:
        """Return whether the slots of workers, not their prefill, limit the rate of starts."""
        return self._engine(service) is None

    def _capacity(self, worker: Worker) -> int:
        engine = self._engine(worker.info.service)
        return worker.info.capacity if engine is None else engine.capacity

    def _engine(self, service: str) -> EngineProfile | None:
        """Return the profile of a service's model engines, ``None`` for other services."""
        cfg = self._registry.configuration
        profile = cfg.services.get(service) if cfg else None
        return profile.engine if profile else None

    def worker(self, worker_id: Incarnation) -> Worker | None:
        """Return a worker of this node's view, ``None`` when it is not registered."""
        return self._registry.workers.get(worker_id)

    def serves(self, worker_id: Incarnation, service: str) -> bool:
        """Return whether a worker of this node's view belongs to a service."""
        worker = self.worker(worker_id)
        return worker is not None and worker.info.service == service

    def accepts(self, worker: Worker, query: PlacementQuery) -> bool:
        """Return whether a worker may take a request now according to this node's view."""
        if not query.allows(worker.info):
            return False
        if worker not in self._registry.workers_of(query.service):
            return False
        return not query.model or self._may_begin(worker, query.model)

    def adopt_weights(self, worker: Worker, model: str, version: int | None) -> None:
        """Adopt a newer weights version that a dispatcher has observed at a worker.

        A node that has just started may know only the version in the worker's entry, which can be
        older. Without the newer one it would use no worker and so never observe the version itself.
        """
        if version is not None and version > worker.weights.get(model, 0):
            self._registry.record_weights(worker.info.id, model, version)

    def _choose_without_engine(
        self, query: PlacementQuery, candidates: list[Worker]
    ) -> Placement | None:
        candidates = self._prefer_reachable(candidates)
        if not candidates:
            return None
        candidates = self._with_room(query, candidates, None)
        best = min(candidates, key=lambda worker: self._load_cost(query, worker))
        return Placement(best, priority=query.priority)

    def _load_cost(self, query: PlacementQuery, worker: Worker) -> tuple[float, float]:
        """Return the cost of a worker without a model engine, as a share of its capacity.

        The share counts in proportion to the mean duration of requests at the worker.
        The second element breaks ties at random.
        """
        load = self.load(worker.info.id)
        running = self.total_load(worker.info.id).running
        share = (running + 1) / max(1, worker.info.capacity) * self._duration_factor(worker)
        other_zone = worker.info.zone != query.zone
        cost = share + 2 * load.recent_failure_rate(self._clock()) + 0.05 * other_zone
        cost += CONNECT_CAPACITY_SHARE * (worker.info.id not in query.connected)
        return cost, self._random.random()

    def _prefer_reachable(self, candidates: list[Worker]) -> list[Worker]:
        """Leave out workers that were recently unreachable, unless there are no others."""
        now = self._clock()
        reachable = [
            worker for worker in candidates if not self.load(worker.info.id).is_avoided(now)
        ]
        return reachable or candidates

    def _eligible(self, query: PlacementQuery, candidates: list[Worker]) -> list[Worker]:
        """Return the workers that may start a request for the model now."""
        deadlines = {
            version: self._registry.start_deadline(query.model, version or 0)
            for version in {worker.weights.get(query.model) for worker in candidates}
        }
        candidates = [
            worker
            for worker in candidates
            if self._begins_before(deadlines[worker.weights.get(query.model)], worker)
        ]
        loading = self._registry.loading_workers()
        candidates = [
            worker for worker in candidates if worker.info.id not in loading
        ] or candidates
        return self._prefer_reachable(candidates)

    def _choose_engine(
        self, query: PlacementQuery, candidates: list[Worker], engine: EngineProfile
    ) -> Placement:
        preferred = self._preferred(query, candidates)
        home = self._home(query, preferred)
        sample = self._sample(candidates, home)
        preferred_ids = {worker.info.id for worker in preferred}

        def cost(placement: Placement) -> float:
            other_length = placement.worker.info.id not in preferred_ids
            outdated = self._is_outdated(query.model, placement.weights_version)
            extra = self._extra_cost(query, placement.worker, other_length, outdated)
            return self._engine_cost(query, placement, engine, home) + extra

        placements = [self._estimated_placement(query, worker, home, engine) for worker in sample]
        best = min(placements, key=cost)
        return replace(best, cache=self._cache_plan(query, best, home, engine))

    def _extra_cost(
        self, query: PlacementQuery, worker: Worker, other_length: bool, outdated: bool
    ) -> float:
        """Return the part of a worker's cost that does not depend on its load or on the prompt.

        :param other_length: the worker is set aside for requests of the other length.
        :param outdated: a newer version than that of the worker's weights has been announced.
        """
        cost = OTHER_LENGTH_SECONDS * other_length + OUTDATED_WEIGHTS_SECONDS * outdated
        if worker.info.zone != query.zone:
            cost += OTHER_ZONE_SECONDS
        if worker.info.id not in query.connected:
            cost += CONNECT_SECONDS
        failure_rate = self.load(worker.info.id).recent_failure_rate(self._clock())
        return cost + FAILURE_COST_SECONDS * failure_rate

    def _sample(self, candidates: list[Worker], home: Worker | None) -> list[Worker]:
        """Return the home and a few random workers.

        All nodes receive the same loads with a delay. If each node compared all workers, they would
        all send to the same least loaded one.
        """
        sample = self._random.sample(candidates, min(SAMPLED_WORKERS, len(candidates)))
        if home is not None and home not in sample:
            sample.append(home)
        return sample

    def _preferred(self, query: PlacementQuery, candidates: list[Worker]) -> list[Worker]:
        """Return the workers that are set aside for requests of this length."""
        separation = self._separation.setdefault(query.stream_group, PromptSeparation())
        is_long = self._is_long(query)
        prefill_seconds = query.prompt_tokens / self._service_rate(query.service)
        engine = self._engine(query.service)
        slot_seconds = self._priority_seconds(query.service, query.priority)
        separation.record(prefill_seconds, is_long, self._clock(), slot_seconds)
        # Streams of short requests last longest and delay the loading of new weights at their
        # worker, so short requests start on the newest weights.
        outdated = self._with_outdated_weights(query.model, candidates)
        workers = [worker.info.id for worker in candidates]
        short = separation.short_workers(workers, outdated, engine.capacity)
        if not short:
            return candidates
        return [worker for worker in candidates if (worker.info.id in short) != is_long]

    def _is_long(self, query: PlacementQuery) -> bool:
        """Return whether the prefill of a prompt stalls streams for a good part of a pause."""
        prefill_seconds = query.prompt_tokens / self._service_rate(query.service)
        return prefill_seconds > LONG_PROMPT_PAUSE_SHARE * query.pause_seconds

    def _with_outdated_weights(self, model: str, workers: list[Worker]) -> frozenset[Incarnation]:
        """Return the workers for whose weights a newer version has been announced."""
        versions = {worker.weights.get(model) for worker in workers}
        outdated = {version for version in versions if self._is_outdated(model, version)}
        return frozenset(
            worker.info.id for worker in workers if worker.weights.get(model) in outdated
        )

    def _may_begin(self, worker: Worker, model: str) -> bool:
        """Return whether a request sent now starts before the deadline for the weights."""
        return self._begins_before(
            self._registry.start_deadline(model, worker.weights.get(model, 0)), worker
        )

    def _begins_before(self, deadline: float, worker: Worker) -> bool:
        if deadline == math.inf:
            return True
        now = self._clock()
        wait = self.load(worker.info.id).expected_wait(now)
        return now + max(BEGIN_MARGIN_SECONDS, BEGIN_WAIT_FACTOR * wait) < deadline

    def _is_outdated(self, model: str, version: int | None) -> bool:
        """Return whether a newer version of the weights has been announced."""
        return self._registry.start_deadline(model, version or 0) != math.inf

    def _home(self, query: PlacementQuery, candidates: list[Worker]) -> Worker | None:
        """Return the rendezvous home of the shared prompt part, ``None`` without such a part."""
        shared = query.shared_part
        if shared is None:
            return None
        by_id = {worker.info.id: worker for worker in candidates}
        return by_id[rendezvous.owner(shared.id, by_id)]

    def _estimated_placement(
        self,
        query: PlacementQuery,
        worker: Worker,
        home: Worker | None,
        engine: EngineProfile,
    ) -> Placement:
        version = worker.weights.get(query.model)
        chain = query.chain(version)
        shared_tokens = sum(tokens for _, tokens in chain[:-1])
        cached = self.cached_parts(worker.info.id, engine).cached_tokens(chain)
        if worker is home:
            cached = max(cached, int(HOME_CACHED_SHARE * shared_tokens))
        prefill = max(0, query.prompt_tokens - max(cached, shared_tokens))
        held = query.prompt_tokens + query.output_tokens
        return Placement(worker, version, chain, prefill, cached, held, priority=query.priority)

    def _has_shared_parts(self, worker: Worker, engine: EngineProfile, chain: Chain) -> bool:
        """Return whether this node has recorded all shared parts of a prompt at a worker."""
        cached = self.cached_parts(worker.info.id, engine).cached_tokens(chain[:-1])
        return cached >= sum(tokens for _, tokens in chain[:-1])

    def _engine_cost(
        self,
        query: PlacementQuery,
        placement: Placement,
        engine: EngineProfile,
        home: Worker | None,
    ) -> float:
        worker = placement.worker
        transferred = max(0, placement.shared_tokens - placement.cached_tokens)
        load = self.total_load(worker.info.id)
        rate = self.prefill_rate(worker)
        prefill_seconds = placement.prefill_tokens / rate
        cost = load.prefill_tokens / rate + prefill_seconds + self._first_token_overhead(worker)
        cost += load.running * (RUNNING_REQUEST_SECONDS + PREFILL_INTERFERENCE * prefill_seconds)
        held = load.held_tokens + placement.held_tokens
        cost += self._slot_wait_seconds(worker, load.running, held, engine)
        cost += 2 * transferred * engine.token_bytes / max(1.0, engine.link_bytes_per_second)
        if worker is home:
            cost -= OTHER_ZONE_SECONDS
        return cost

    def _slot_wait_seconds(
        self, worker: Worker, running: int, held_tokens: int, engine: EngineProfile
    ) -> float:
        """Return how long a request waits for a slot and for memory at a full worker.

        Assumes that all running requests end within the mean duration of a request, so the wait
        is that duration times the exceeded share of slots or memory.

        :param held_tokens: KV cache tokens needed by all requests, including this one.
        """
        slots, memory = max(1, engine.capacity), max(1, engine.cache_tokens)
        excess = max((running + 1 - slots) / slots, (held_tokens - memory) / memory)
        if excess <= 0.0:
            return 0.0
        return excess * self._mean_request_seconds(worker.info.service, worker)

    def _cache_plan(
        self,
        query: PlacementQuery,
        placement: Placement,
        home: Worker | None,
        engine: EngineProfile,
    ) -> CachePlan | None:
        """Return where the worker fetches missing KV cache from and where it saves the prompt."""
        if not placement.chain:
            return None
        salt = query.salt(placement.weights_version)
        if placement.shared_tokens < MIN_TRANSFER_TOKENS:
            return CachePlan(salt)
        store = self._store_address(query)
        other_home = home is not None and home is not placement.worker
        home_has_parts = other_home and self._has_shared_parts(home, engine, placement.chain)
        fetch_from = home.info.address if other_home and (home_has_parts or not store) else store
        save_to = "" if self._table.saved.has(placement.shared_key, self._clock()) else store
        return CachePlan(salt, fetch_from, save_to)

    def _store_address(self, query: PlacementQuery) -> str:
        """Return the address of the cache store for this prompt, which is the same at all nodes.

        Empty without a store.
        """
        cfg = self._registry.configuration
        shared = query.shared_part
        if not cfg or not cfg.cache_stores or shared is None:
            return ""
        return rendezvous.owner(shared.id, [store.address for store in cfg.cache_stores])

    def first_token(self, placement: Placement, began_at: float) -> None:
        """Record that a prefill has ended and that the prompt is saved if that was planned."""
        super().first_token(placement, began_at)
        if placement.cache is not None and placement.cache.save_to:
            self._table.saved.record(placement.shared_key, self._clock())
