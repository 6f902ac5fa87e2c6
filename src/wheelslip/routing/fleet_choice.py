"""Selection of workers for the requests of all nodes, from exact loads and cached prompts.

One node per service, the dispatcher, selects workers for all nodes. It is notified of the first
token and the end of each request, so it records the load of each worker, the prompt parts that
each worker has cached or is computing, and the transfers pending on each link. It compares all
workers rather than a random sample, since no other node selects at the same time.
"""

import random
from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

from wheelslip.deployment import CachePlan, CacheStore, EngineProfile, Incarnation, Worker
from wheelslip.routing.caches.cache_moves import TransferEndpoint, TransferSchedule
from wheelslip.routing.caches.fleet_memory import CachedPrompt, FleetCacheIndex
from wheelslip.routing.caches.holdings import Chain
from wheelslip.routing.caches.offers import (
    CacheHolder,
    PromptCacheState,
    WorkerEstimate,
    store_endpoint,
    worker_endpoint,
)
from wheelslip.routing.load_table import LoadAtWorker, LoadTable
from wheelslip.routing.overload import Overloaded, RetrySchedule
from wheelslip.routing.placement import Placement, PlacementQuery
from wheelslip.routing.speeds.worker_speed import SpeedEstimates
from wheelslip.routing.worker_choice import (
    MIN_TRANSFER_TOKENS,
    OTHER_ZONE_SECONDS,
    PREFILL_INTERFERENCE,
    RUNNING_REQUEST_SECONDS,
    DeploymentView,
    WorkerPlacement,
)
from wheelslip.routing.worker_records import PREFILL_TOKENS_PER_SECOND, REQUEST_SMOOTHING
from wheelslip.routing.worker_slots import WorkerSlots

ARRIVAL_MEMORY_SECONDS = 2.0
"""Time constant of the arrival rate estimate."""

RECOMPUTE_SECONDS_PER_TOKEN = 0.0002
"""Extra cost of each token of a recently used shared part that is computed again: a request
prefers to wait 0.2 s for a worker that has 1,000 of its tokens cached."""

MAX_DELAYED_REQUESTS = 4.0
"""Upper bound of the number of requests that one prefill is assumed to delay."""

MAX_WORKER_WAIT_SECONDS = 0.06
"""Longest wait at a model engine of a request that must start soon: twice the longest round trip, so
that no engine idles until the next request arrives."""

RECENT_CONTACT_SECONDS = 0.5
"""A worker that another node reached within this time is not suspected when one node fails to
reach it."""


class RunningRequest(NamedTuple):
    """A running request of a node, reported to a dispatcher without a record of it.

    :ivar query_number: number of the placement query at the node.
    :ivar prefill_tokens: prompt tokens still to be computed; 0 after the first token.
    """

    query_number: int
    worker: Incarnation
    weights_version: int | None
    chain: Chain
    prefill_tokens: int
    held_tokens: int


class FleetPlacement(WorkerPlacement):
    """Selects workers on behalf of all nodes.

    :param table: table of this node, of which only the saved prompts are used and updated.
    :param limits_admission: returns whether requests that no worker can start in time are refused.
    :param speeds: learned speeds; ``None`` to use constants.
    :param learn_speeds: returns whether speeds are learned and used.
    """

    def __init__(
        self,
        registry: DeploymentView,
        clock: Callable[[], float],
        random_source: random.Random,
        table: LoadTable | None = None,
        limits_admission: Callable[[], bool] = lambda: True,
        speeds: SpeedEstimates | None = None,
        learn_speeds: Callable[[], bool] = lambda: True,
    ):
        super().__init__(registry, clock, random_source, table, speeds, learn_speeds)
        self.limits_admission = limits_admission
        self._slots = WorkerSlots(clock)
        self._mean_durations: dict[str, float] = {}
        self._retry_schedule = RetrySchedule()
        self._cache_index = FleetCacheIndex(clock)
        self._transfers = TransferSchedule()
        self._arrivals = 0.0
        self._last_arrival_at = 0.0
        self._last_contact: dict[Incarnation, tuple[str, float]] = {}

    def total_load(self, worker_id: Incarnation) -> LoadAtWorker:
        """Return the load of a worker, summed over all nodes: every request is placed here."""
        load = self.load(worker_id)
        return LoadAtWorker(worker_id, load.running, load.prefill_tokens, load.held_tokens)

    def _unseen_tokens(self, worker_id: Incarnation) -> int:
        return 0

    def forget(self, worker_id: Incarnation) -> None:
        """Delete the records of a departed worker."""
        super().forget(worker_id)
        self._cache_index.forget(worker_id)
        self._last_contact.pop(worker_id, None)
        self._slots.forget(worker_id)

    def start_capacity(self, service: str) -> float:
        """Return how many requests the workers of a service may hold that can be chosen now."""
        engine = self._engine(service)
        workers = self._prefer_reachable(self._registry.workers_of(service))
        if engine is not None:
            return engine.capacity * len(workers)
        # A worker that pauses after rejections accepts a request at the end of the pause.
        return sum(max(1, self._slots.usable(worker.info)) for worker in workers)

    def may_start_soon(self, service: str) -> bool:
        """Return whether any worker of a service has a free slot and a short backlog."""
        engine, now = self._engine(service), self._clock()
        workers = self._registry.workers_of(service)
        if engine is None:
            free = [worker for worker in workers if self._has_free_slot(worker)]
        else:
            free = [worker for worker in workers if self._may_start_at(worker, engine)]
        if any(not self.load(worker.info.id).is_avoided(now) for worker in free):
            return True
        # Unreachable workers are used if there are no others.
        return bool(free) and self._prefer_reachable(workers) == workers

    def _may_start_at(self, worker: Worker, engine: EngineProfile) -> bool:
        """Return whether an engine has a free slot and a short backlog."""
        load = self.load(worker.info.id)
        most_tokens = MAX_WORKER_WAIT_SECONDS * self.prefill_rate(worker)
        return load.running < engine.capacity and load.prefill_tokens <= most_tokens

    def record_duration(self, service: str, seconds: float) -> None:
        """Update the mean duration of the requests of a service."""
        mean = self._mean_durations.get(service, seconds)
        self._mean_durations[service] = mean + REQUEST_SMOOTHING * (seconds - mean)

    def record_served(self, worker: Worker) -> None:
        """Record that a worker served a request, so that it may be given more."""
        self._slots.record_served(worker.info)

    def record_rejected(self, worker: Worker) -> None:
        """Record that a worker rejected or failed a request, so that it is given fewer."""
        running = self.load(worker.info.id).running
        mean_duration = self._mean_durations.get(worker.info.service, 0.0)
        self._slots.record_rejected(worker.info, running, mean_duration)

    def _has_free_slot(self, worker: Worker) -> bool:
        load = self.load(worker.info.id)
        mean_duration = self._mean_durations.get(worker.info.service, 0.0)
        return self._slots.has_free(worker.info, load.running, load.waiting, mean_duration)

    def _choose_without_engine(
        self, query: PlacementQuery, candidates: list[Worker]
    ) -> Placement | None:
        """Return the least loaded worker.

        :raises Overloaded: when the request must start soon and no worker has a free slot.
        """
        if candidates and query.must_start_soon:
            reachable = self._prefer_reachable(candidates)
            candidates = [worker for worker in reachable if self._has_free_slot(worker)]
            if not candidates:
                raise Overloaded(self._mean_durations.get(query.service, 0.0))
        return super()._choose_without_engine(query, candidates)

    def _longest_wait(self, query: PlacementQuery, estimate: WorkerEstimate) -> float:
        """Return how long a request may wait at a worker; negative without a slot.

        A worker at which it need not wait is used whatever the estimate of its prefill.
        """
        worker = estimate.worker
        needs_slot = query.must_start_soon and self.load(worker.info.id).running > 0
        if needs_slot and estimate.slot_wait_seconds:
            return -1.0
        work_seconds = estimate.prefill_seconds + self._first_token_overhead(worker)
        return max(0.0, query.patience_seconds - work_seconds)

    def _choose_engine(
        self, query: PlacementQuery, candidates: list[Worker], engine: EngineProfile
    ) -> Placement:
        """Return the worker of lowest cost among those that can start the request in time.

        :raises Overloaded: when no worker can.
        """
        now = self._clock()
        preferred = self._preferred(query, candidates)
        preferred_ids = {candidate.info.id for candidate in preferred}
        home = self._home(query, preferred)
        store = self._store(query)
        delayed_requests = self._delayed_requests(candidates, now)
        by_version: dict[int | None, list[Worker]] = defaultdict(list)
        for worker in candidates:
            by_version[worker.weights.get(query.model)].append(worker)
        is_limited = self.limits_admission() and not query.sent_before
        must_start_soon = is_limited and query.must_start_soon
        best, best_state, lowest_cost, least_excess = None, None, float("inf"), float("inf")
        for version, workers in by_version.items():
            state = self._cache_state(query, version, workers, engine, store)
            outdated = self._is_outdated(query.model, version)
            for worker in workers:
                other_length = worker.info.id not in preferred_ids
                if must_start_soon and not self._may_start_at(worker, engine):
                    continue
                cost = self._extra_cost(query, worker, other_length, outdated)
                if worker is home:
                    cost -= OTHER_ZONE_SECONDS
                if cost >= lowest_cost:
                    continue
                estimate = self._estimate(query, worker, state, engine, now, delayed_requests)
                longest = self._longest_wait(query, estimate)
                least_excess = min(least_excess, estimate.wait_seconds - longest)
                is_late = is_limited and estimate.wait_seconds > longest
                if not is_late and estimate.cost + cost < lowest_cost:
                    best, best_state, lowest_cost = estimate, state, estimate.cost + cost
        if best is None:
            raise Overloaded(self._retry_seconds(query, engine, len(candidates), least_excess))
        return self._placement(query, best, best_state, engine, store)

    def _retry_seconds(
        self, query: PlacementQuery, engine: EngineProfile, workers: int, wait_seconds: float
    ) -> float:
        """Return after how long a refused request should be retried."""
        if query.must_start_soon:
            # The queue sets the retry times of its requests and tries them repeatedly.
            return max(0.0, wait_seconds)
        work_seconds = query.prompt_tokens / self._service_rate(query.service)
        work_seconds += self._mean_request_seconds(query.service) / max(1, engine.capacity)
        return self._retry_schedule.retry_seconds(
            self._clock(), wait_seconds, work_seconds / workers, query.patience_seconds
        )

    def _cache_state(
        self,
        query: PlacementQuery,
        version: int | None,
        workers: list[Worker],
        engine: EngineProfile,
        store: CacheStore | None,
    ) -> PromptCacheState:
        """Return where a prompt is cached and the best source to fetch it from.

        Of the workers and stores with the longest cached prefix, the source is the one whose
        transfers end first.
        """
        chain = query.chain(version)
        shared = chain[:-1]
        cached, holders = {}, []
        for worker in workers:
            worker_id = worker.info.id
            cached[worker_id] = self._cache_index.cached_tokens(worker_id, engine, chain)
            if not cached[worker_id]:
                continue
            fetchable = self._cache_index.fetchable_tokens(worker_id, engine, shared)
            if fetchable:
                holders.append(CacheHolder(fetchable, worker_endpoint(worker, engine)))
        if store is not None:
            stored = self._cache_index.stored_tokens(store, shared)
            holders.append(CacheHolder(stored, store_endpoint(store)))
        longest = max((holder.tokens for holder in holders), default=0)
        endpoints = [holder.endpoint for holder in holders if holder.tokens == longest and longest]
        source = min(
            endpoints,
            key=lambda endpoint: self._transfers.busy_until(endpoint.address),
            default=None,
        )
        return PromptCacheState(
            chain, cached, source, longest, self._cache_index.recently_used_ranges(shared)
        )

    def _estimate(
        self,
        query: PlacementQuery,
        worker: Worker,
        state: PromptCacheState,
        engine: EngineProfile,
        now: float,
        delayed_requests: float,
    ) -> WorkerEstimate:
        load = self.load(worker.info.id)
        cached = state.cached_tokens[worker.info.id]
        fetched, fetch_seconds = self._fetch_estimate(worker, state, cached, engine, now)
        prefill = max(0, query.prompt_tokens - cached - fetched)
        rate = self.prefill_rate(worker)
        prefill_seconds = prefill / rate
        backlog_seconds = load.prefill_tokens / rate
        cost = backlog_seconds + prefill_seconds * (1.0 + delayed_requests)
        cost += self._first_token_overhead(worker)
        cost += RECOMPUTE_SECONDS_PER_TOKEN * state.recomputed_tokens(cached + fetched)
        cost += (
            load.running * (RUNNING_REQUEST_SECONDS + PREFILL_INTERFERENCE * prefill_seconds)
            + fetch_seconds
        )
        held = load.held_tokens + query.prompt_tokens + query.output_tokens
        slot_wait_seconds = self._slot_wait_seconds(worker, load.running, held, engine)
        return WorkerEstimate(
            cost + slot_wait_seconds,
            worker,
            prefill,
            fetched,
            load.prefill_ahead(query.priority) / rate + slot_wait_seconds,
            slot_wait_seconds,
            prefill_seconds + fetch_seconds,
        )

    def _fetch_estimate(
        self,
        worker: Worker,
        state: PromptCacheState,
        cached: int,
        engine: EngineProfile,
        now: float,
    ) -> tuple[int, float]:
        """Return how many tokens a worker would fetch and how many seconds that would take."""
        fetched = state.source_tokens - cached
        if state.source is None or fetched < MIN_TRANSFER_TOKENS:
            return 0, 0.0
        size = fetched * engine.token_bytes
        seconds = self._transfers.seconds(state.source, worker_endpoint(worker, engine), size, now)
        return (0, 0.0) if seconds is None else (fetched, seconds)

    def _placement(
        self,
        query: PlacementQuery,
        estimate: WorkerEstimate,
        state: PromptCacheState,
        engine: EngineProfile,
        store: CacheStore | None,
    ) -> Placement:
        worker = estimate.worker
        uncached_keys = self._cache_index.uncached_keys(worker.info.id, engine, state.chain)
        version = worker.weights.get(query.model)
        fetch_from, save_to = "", ""
        if sum(tokens for _, tokens in state.chain[:-1]) >= MIN_TRANSFER_TOKENS:
            fetch_from = self._fetch_from(estimate, state, store)
            if store is not None and not self._cache_index.is_saved(store, state.chain):
                save_to = store.address
        return Placement(
            worker,
            version,
            state.chain,
            estimate.prefill_tokens,
            state.cached_tokens[worker.info.id],
            query.prompt_tokens + query.output_tokens,
            CachePlan(query.salt(version), fetch_from, save_to) if state.chain else None,
            estimate.fetched_tokens,
            uncached_keys,
            priority=query.priority,
        )

    def _fetch_from(
        self, estimate: WorkerEstimate, state: PromptCacheState, store: CacheStore | None
    ) -> str:
        """Return the address from which a worker fetches missing KV cache.

        The store is named even without a record of the prompt there, because the records are
        incomplete after a change of dispatcher, a miss is cheap and cached parts are not fetched.
        """
        if estimate.fetched_tokens:
            return state.source.address
        return store.address if store is not None else ""

    def _delayed_requests(self, candidates: list[Worker], now: float) -> float:
        """Return how many requests are delayed by additional prefill work at one worker.

        Additional work delays all requests that arrive at the worker until its backlog is done,
        so recomputing a part costs more the longer the backlogs are.
        """
        self._record_arrival(now)
        # In tokens at the assumed rate, so that the sum is exact while speeds are not learned.
        pending = sum(
            self.load(worker.info.id).prefill_tokens
            * (PREFILL_TOKENS_PER_SECOND / self.prefill_rate(worker))
            for worker in candidates
        )
        count = max(1, len(candidates))
        backlog_seconds = pending / PREFILL_TOKENS_PER_SECOND / count
        rate = self._arrivals / ARRIVAL_MEMORY_SECONDS / count
        return min(MAX_DELAYED_REQUESTS, rate * backlog_seconds)

    def _record_arrival(self, now: float) -> None:
        decay = max(0.0, 1.0 - (now - self._last_arrival_at) / ARRIVAL_MEMORY_SECONDS)
        self._arrivals = self._arrivals * decay + 1.0
        self._last_arrival_at = now

    def _store(self, query: PlacementQuery) -> CacheStore | None:
        return self._store_at(self._store_address(query))

    def _store_at(self, address: str) -> CacheStore | None:
        stores = self._registry.configuration.cache_stores
        return next((store for store in stores if store.address == address), None)

    def begin(self, placement: Placement) -> float:
        """Record that a request is sent and that its worker computes and caches the prompt."""
        began_at = super().begin(placement)
        engine = self._engine(placement.worker.info.service)
        if engine is not None and placement.chain:
            self._cache_index.begin(placement, engine)
            if placement.fetched_tokens:
                self._record_fetch(placement, engine, began_at)
        return began_at

    def _record_fetch(self, placement: Placement, engine: EngineProfile, now: float) -> None:
        address = placement.cache.fetch_from
        store = self._store_at(address)
        if store is not None:
            self._cache_index.record_fetch(store, placement.chain[:-1])
        source = store_endpoint(store) if store is not None else self._endpoint_at(address, engine)
        if source is not None:
            size = placement.fetched_tokens * engine.token_bytes
            self._transfers.add(source, worker_endpoint(placement.worker, engine), size, now)

    def _endpoint_at(self, address: str, engine: EngineProfile) -> TransferEndpoint | None:
        for worker in self._registry.workers.values():
            if worker.info.address == address:
                return worker_endpoint(worker, engine)
        return None

    def first_token(self, placement: Placement, began_at: float) -> None:
        """Record that a prefill has ended and that the prompt is saved if that was planned."""
        super().first_token(placement, began_at)
        engine = self._engine(placement.worker.info.service)
        if (
            engine is None
            or not placement.chain
            or not self._is_registered(placement.worker.info.id)
        ):
            return
        self._cache_index.finish(placement, engine)
        store = self._store_at(placement.cache.save_to) if placement.cache else None
        if store is not None:
            self._cache_index.record_save(store, placement)
            size = sum(tokens for _, tokens in placement.chain) * engine.token_bytes
            source = worker_endpoint(placement.worker, engine)
            self._transfers.add(source, store_endpoint(store), size, self._clock())

    def end(
        self,
        placement: Placement,
        began_at: float,
        had_first_token: bool,
        completed: bool = False,
    ) -> None:
        """Record that a request has left its worker; a prompt without a token is not cached."""
        super().end(placement, began_at, had_first_token, completed)
        is_registered = self._is_registered(placement.worker.info.id)
        if not had_first_token and placement.chain and is_registered:
            self._cache_index.abandon(placement)

    def rebuild_placement(self, running: RunningRequest) -> Placement | None:
        """Return the placement of a running request, ``None`` when its worker is not registered."""
        worker = self._registry.workers.get(running.worker)
        if worker is None:
            return None
        return Placement(
            worker,
            running.weights_version,
            running.chain,
            running.prefill_tokens,
            held_tokens=running.held_tokens,
        )

    def record_cached_prompt(self, prompt: CachedPrompt) -> None:
        """Record a prompt that a worker computed under another dispatcher."""
        worker = self._registry.workers.get(prompt.worker)
        engine = self._engine(worker.info.service) if worker else None
        if engine is not None:
            self._cache_index.record_prompt(prompt, engine)

    def record_contact(self, worker_id: Incarnation, node: str) -> None:
        """Record that a node received a response from a worker."""
        if self._is_registered(worker_id):
            self._last_contact[worker_id] = (node, self._clock())

    def record_unreachable(self, worker_id: Incarnation, node: str) -> bool:
        """Record that a node cannot reach a worker.

        :return: whether the worker is suspected now. It is not if another node reached it within
            :data:`RECENT_CONTACT_SECONDS`.
        """
        last_node, last_at = self._last_contact.get(worker_id, ("", float("-inf")))
        if last_node != node and self._clock() - last_at <= RECENT_CONTACT_SECONDS:
            return False
        self.suspect(worker_id)
        return True
