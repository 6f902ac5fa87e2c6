"""Choice of the worker for one request, from loads, holdings and the registry view.

Cost of a worker, in seconds until the first token::

    prompt tokens under way / prefill rate + running * cost of a step
    + tokens to read / prefill rate + tokens to move / link rate

Nodes agree on a home for each shared prompt by rendezvous hashing, so that a home is likely
to keep it although this node did not send it there.
"""

import math
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from wheelslip.deployment import CachePlan, EngineProfile, Incarnation, RoutingConfiguration, Worker
from wheelslip.routing import rendezvous
from wheelslip.routing.holdings import Chain
from wheelslip.routing.load_table import LoadAtWorker, LoadTable
from wheelslip.routing.placement import Placement, PlacementQuery
from wheelslip.routing.separation import PromptSeparation
from wheelslip.routing.worker_records import WorkerRecords

PREFILL_TOKENS_PER_SECOND = 30_000.0
"""First guess of how fast a worker reads a prompt; only the ratio of costs depends on it."""

LONG_PAUSE_SHARE = 0.125
"""A prompt is long if reading it takes more than this share of the pause that a stream of
its route may make."""

CANDIDATES = 8
"""Workers drawn at random beside the home, of which the cheapest is taken (docs/PLATFORM.md)."""

OUTSIDE_SECONDS = 0.05
"""Cost of a worker that is meant for requests of the other length."""

INTERFERENCE = 0.05
"""Part of the reading time of a prompt that each stream running beside it loses in worth."""

RUNNING_SECONDS = 0.002
"""Cost of each request this node has at a worker."""

HOME_KEEPS_SHARE = 0.9
"""Part of a shared prompt that its home is believed to keep from other nodes' requests."""

OLD_WEIGHTS_SECONDS = 0.1
"""Cost of a worker whose weights have been replaced by newer ones."""

OTHER_ZONE_SECONDS = 0.003

CONNECT_SECONDS = 0.005
"""Cost of a worker to which a connection must be opened first."""

CONNECT_SHARE = 0.08
"""The same at services without a model, in parts of a worker's capacity."""

BEGIN_MARGIN_SECONDS = 1.0
"""Requests stop going to older weights this long before the bound, since a request may wait
at its worker before it begins."""

BEGIN_WAIT_FACTOR = 2.0
"""The same, as a multiple of the longest wait seen at the worker lately."""

LEAST_MOVED_TOKENS = 600
"""Shorter shared parts are read again rather than moved: reading takes some milliseconds, and
a move waits behind those of long prompts, for up to two seconds."""

FAILURE_COST_SECONDS = 1.0
"""Cost of a worker that fails all of its requests."""


class DeploymentView(Protocol):
    """What a choice reads of a node's view of its deployment."""

    configuration: RoutingConfiguration | None
    workers: dict[Incarnation, Worker]

    def workers_of(self, service: str) -> list[Worker]:
        """Return the workers of a service that take new requests."""

    def loading_now(self) -> frozenset[Incarnation]:
        """Return the workers that load weights."""

    def begins_until(self, model: str, version: int) -> float:
        """Return until when a request may begin on a version; infinite for the newest."""


class WorkerPlacement(WorkerRecords):
    """Chooses workers by what this node knows of each, and by what others told.

    :param table: loads that other nodes told, and prompts that they have saved.
    """

    def __init__(
        self,
        registry: DeploymentView,
        clock: Callable[[], float],
        random_source: random.Random,
        table: LoadTable | None = None,
    ):
        super().__init__(clock, self._is_there)
        self._table = table or LoadTable()
        self._registry = registry
        self._random = random_source
        self._separation: dict[str, PromptSeparation] = {}

    def _is_there(self, worker_id: Incarnation) -> bool:
        return worker_id in self._registry.workers

    def all_loads(self, worker_id: Incarnation) -> LoadAtWorker:
        """Return what all nodes have at a worker."""
        own = self.load(worker_id)
        others = self._table.at_worker(worker_id, self._clock())
        return LoadAtWorker(
            worker_id,
            own.running + others.running,
            own.prompt_tokens + others.prompt_tokens,
            own.held_tokens + others.held_tokens,
        )

    def choose(self, query: PlacementQuery) -> Placement | None:
        """Return the best worker now, or ``None`` when no worker may take the request."""
        candidates = [
            one
            for one in self._registry.workers_of(query.service)
            if one.info.id not in query.excluded
        ]
        engine = self._engine(query.service)
        if engine is None:
            return self._choose_plain(query, candidates)
        candidates = self._eligible(query, candidates)
        if not candidates:
            return None
        return self._choose_engine(query, candidates, engine)

    def _engine(self, service: str) -> EngineProfile | None:
        """Return the profile of a service's model engines, ``None`` for other services."""
        cfg = self._registry.configuration
        profile = cfg.services.get(service) if cfg else None
        return profile.engine if profile else None

    def worker(self, worker_id: Incarnation) -> Worker | None:
        """Return a worker of this node's view."""
        return self._registry.workers.get(worker_id)

    def serves(self, worker_id: Incarnation, service: str) -> bool:
        """Whether a worker of this node's view belongs to a service."""
        worker = self.worker(worker_id)
        return worker is not None and worker.info.service == service

    def accepts(self, worker: Worker, query: PlacementQuery) -> bool:
        """Whether this node's own view allows a worker for a request just now."""
        if worker.info.id in query.excluded:
            return False
        if worker not in self._registry.workers_of(query.service):
            return False
        return not query.model or self._may_begin(worker, query.model)

    def _choose_plain(self, query: PlacementQuery, candidates: list[Worker]) -> Placement | None:
        candidates = self._without_suspects(candidates)
        if not candidates:
            return None
        return Placement(min(candidates, key=lambda one: self._plain_cost(query, one)))

    def _plain_cost(self, query: PlacementQuery, worker: Worker) -> tuple[float, float]:
        load = self.load(worker.info.id)
        running = self.all_loads(worker.info.id).running
        share = (running + 1) / max(1, worker.info.capacity)
        other_zone = worker.info.zone != query.zone
        cost = share + 2 * load.recent_failure(self._clock()) + 0.05 * other_zone
        cost += CONNECT_SHARE * (worker.info.id not in query.connected)
        return cost, self._random.random()

    def _without_suspects(self, candidates: list[Worker]) -> list[Worker]:
        """Leave out workers not reached lately, unless there are no others."""
        now = self._clock()
        sound = [one for one in candidates if not self.load(one.info.id).is_avoided(now)]
        return sound or candidates

    def _eligible(self, query: PlacementQuery, candidates: list[Worker]) -> list[Worker]:
        """Return the workers that may begin a request of a model now."""
        until = {
            version: self._registry.begins_until(query.model, version or 0)
            for version in {one.weights.get(query.model) for one in candidates}
        }
        candidates = [
            one
            for one in candidates
            if self._begins_before(until[one.weights.get(query.model)], one)
        ]
        loading = self._registry.loading_now()
        candidates = [one for one in candidates if one.info.id not in loading] or candidates
        return self._without_suspects(candidates)

    def _choose_engine(
        self, query: PlacementQuery, candidates: list[Worker], engine: EngineProfile
    ) -> Placement:
        preferred = self._preferred(query, candidates)
        home = self._home(query, preferred)
        considered = self._considered(candidates, home)
        preferred_ids = {one.info.id for one in preferred}

        def cost(placement: Placement) -> float:
            outside = placement.worker.info.id not in preferred_ids
            replaced = self._is_replaced(query.model, placement.weights_version)
            extra = self._extra_cost(query, placement.worker, outside, replaced)
            return self._engine_cost(query, placement, engine, home) + extra

        placements = [self._placement(query, one, home, engine) for one in considered]
        best = min(placements, key=cost)
        return replace(best, cache=self._cache_plan(query, best, home, engine))

    def _extra_cost(
        self, query: PlacementQuery, worker: Worker, outside: bool, replaced: bool
    ) -> float:
        """Return the cost of a worker that does not depend on what it has to do.

        :param outside: it is meant for requests of the other length.
        :param replaced: newer weights than its own have been named.
        """
        cost = OUTSIDE_SECONDS * outside + OLD_WEIGHTS_SECONDS * replaced
        if worker.info.zone != query.zone:
            cost += OTHER_ZONE_SECONDS
        if worker.info.id not in query.connected:
            cost += CONNECT_SECONDS
        failure = self.load(worker.info.id).recent_failure(self._clock())
        return cost + FAILURE_COST_SECONDS * failure

    def _considered(self, candidates: list[Worker], home: Worker | None) -> list[Worker]:
        """Return the home and a few others at random.

        All nodes see the same loads, some time old: if each took the least loaded worker of
        all, they would take the same one together.
        """
        considered = self._random.sample(candidates, min(CANDIDATES, len(candidates)))
        if home is not None and home not in considered:
            considered.append(home)
        return considered

    def _preferred(self, query: PlacementQuery, candidates: list[Worker]) -> list[Worker]:
        """Return the workers that are meant for requests of this length."""
        separation = self._separation.setdefault(query.stream_group, PromptSeparation())
        seconds = query.prompt_tokens / PREFILL_TOKENS_PER_SECOND
        is_long = seconds > LONG_PAUSE_SHARE * query.pause_seconds
        separation.record(seconds, is_long, self._clock())
        # A stream of a short request lasts longest, and an order to load waits for it: begun on
        # the newest weights, it holds no load up.
        replaced = self._on_replaced_weights(query.model, candidates)
        short = separation.short_workers([one.info.id for one in candidates], replaced)
        if not short:
            return candidates
        return [one for one in candidates if (one.info.id in short) != is_long]

    def _on_replaced_weights(self, model: str, workers: list[Worker]) -> frozenset[Incarnation]:
        """Return the workers for whose weights newer ones have been named."""
        versions = {one.weights.get(model) for one in workers}
        replaced = {one for one in versions if self._is_replaced(model, one)}
        return frozenset(one.info.id for one in workers if one.weights.get(model) in replaced)

    def _may_begin(self, worker: Worker, model: str) -> bool:
        """Whether a request sent now begins before its weights are too old."""
        return self._begins_before(
            self._registry.begins_until(model, worker.weights.get(model, 0)), worker
        )

    def _begins_before(self, until: float, worker: Worker) -> bool:
        if until == math.inf:
            return True
        now = self._clock()
        wait = self.load(worker.info.id).expected_wait(now)
        return now + max(BEGIN_MARGIN_SECONDS, BEGIN_WAIT_FACTOR * wait) < until

    def _is_replaced(self, model: str, version: int | None) -> bool:
        """Whether newer weights than these have been named."""
        return self._registry.begins_until(model, version or 0) != math.inf

    def _home(self, query: PlacementQuery, candidates: list[Worker]) -> Worker | None:
        shared = query.shared_part
        if shared is None:
            return None
        by_id = {one.info.id: one for one in candidates}
        return by_id[rendezvous.owner(shared.id, by_id)]

    def _placement(
        self,
        query: PlacementQuery,
        worker: Worker,
        home: Worker | None,
        engine: EngineProfile,
    ) -> Placement:
        version = worker.weights.get(query.model)
        chain = query.chain(version)
        shared_tokens = sum(tokens for _, tokens in chain[:-1])
        cached = self.holding(worker.info.id, engine).cached_tokens(chain)
        if worker is home:
            cached = max(cached, int(HOME_KEEPS_SHARE * shared_tokens))
        read = max(0, query.prompt_tokens - max(cached, shared_tokens))
        held = query.prompt_tokens + query.output_tokens
        return Placement(worker, version, chain, read, cached, held)

    def _keeps(self, worker: Worker, engine: EngineProfile, chain: Chain) -> bool:
        """Whether a worker is known to keep all that is shared of a prompt."""
        held = self.holding(worker.info.id, engine).cached_tokens(chain[:-1])
        return held >= sum(tokens for _, tokens in chain[:-1])

    def _engine_cost(
        self,
        query: PlacementQuery,
        placement: Placement,
        engine: EngineProfile,
        home: Worker | None,
    ) -> float:
        worker = placement.worker
        moved = max(0, placement.shared_tokens - placement.cached_tokens)
        there = self.all_loads(worker.info.id)
        read_seconds = placement.read_tokens / PREFILL_TOKENS_PER_SECOND
        cost = there.prompt_tokens / PREFILL_TOKENS_PER_SECOND + read_seconds
        cost += there.running * (RUNNING_SECONDS + INTERFERENCE * read_seconds)
        held = there.held_tokens + placement.held_tokens
        cost += self._turn_seconds(there.running, held, engine)
        cost += 2 * moved * engine.token_bytes / max(1.0, engine.link_bytes_per_second)
        if worker is home:
            cost -= OTHER_ZONE_SECONDS
        return cost

    def _turn_seconds(self, running: int, held_tokens: int, engine: EngineProfile) -> float:
        """Return how long a request waits for a slot and for memory at a full worker.

        What exceeds a worker's slots or memory waits until as much has ended, and in the
        time that a request lasts all that runs there ends once.

        :param held_tokens: of KV cache that all need, this request too.
        """
        slots, memory = max(1, engine.capacity), max(1, engine.cache_tokens)
        over = max((running + 1 - slots) / slots, (held_tokens - memory) / memory)
        return over * self._request_seconds if over > 0.0 else 0.0

    # Kept cache

    def _cache_plan(
        self,
        query: PlacementQuery,
        placement: Placement,
        home: Worker | None,
        engine: EngineProfile,
    ) -> CachePlan | None:
        """Return where the worker fetches what it lacks, and where it saves the prompt."""
        if not placement.chain:
            return None
        salt = query.salt(placement.weights_version)
        if placement.shared_tokens < LEAST_MOVED_TOKENS:
            return CachePlan(salt)
        store = self._store_of(query)
        other_home = home is not None and home is not placement.worker
        home_keeps = other_home and self._keeps(home, engine, placement.chain)
        fetch_from = home.info.address if other_home and (home_keeps or not store) else store
        save_to = "" if self._table.saved.has(placement.shared_key, self._clock()) else store
        return CachePlan(salt, fetch_from, save_to)

    def _store_of(self, query: PlacementQuery) -> str:
        """Return the store that keeps this prompt; all nodes name the same one."""
        cfg = self._registry.configuration
        shared = query.shared_part
        if not cfg or not cfg.cache_stores or shared is None:
            return ""
        return rendezvous.owner(shared.id, [one.address for one in cfg.cache_stores])

    def first_token(self, placement: Placement, began_at: float) -> None:
        """The worker has read the prompt, keeps it, and saves it if it was told to."""
        super().first_token(placement, began_at)
        if placement.cache is not None and placement.cache.save_to:
            self._table.saved.note(placement.shared_key, self._clock())
