"""Request scheduling for one node: dispatch to an engine, queueing and refusal.

The scheduler performs no I/O and is single-threaded: callers pass ``now`` and carry out the
decisions that it returns. The router task and the discrete-event simulation use the same class.
The cost of an engine for a request is computed in :mod:`wheelslip.routing.cost`.
"""

import random
from dataclasses import dataclass

from wheelslip.errors import ErrorKind
from wheelslip.routing.caches.index import PrefixIndex
from wheelslip.routing.caches.prefills import ActivePrefills, Prefill
from wheelslip.routing.caches.prefix import BLOCK_TOKENS
from wheelslip.routing.caches.prefix_registry import PrefixHint, registry_head
from wheelslip.routing.caches.sharing import LONG_PREFILL_MIN_TOKENS, PrefixRegistryClient
from wheelslip.routing.cost import (
    FOLLOW_MIN_TOKENS,
    Choice,
    EngineChooser,
    SchedulerOptions,
    eligible,
)
from wheelslip.routing.engine_view import EngineView
from wheelslip.routing.model import (
    Decision,
    Dispatch,
    EngineInfo,
    LongPrefill,
    Refusal,
    RoutingRequest,
)
from wheelslip.routing.queue.fair_queue import FairQueue
from wheelslip.routing.retry import Circuit

MIN_RETRY_AFTER_SECONDS = 1.0
_DEPARTURE_SMOOTHING = 0.1


@dataclass(frozen=True)
class _InFlightRequest:
    """A request sent to an engine, with what was assumed about its cached prefix.

    :ivar is_home_estimate: the engine was the rendezvous home and the prefix index had no
        block of the prompt there, so the cached share was estimated.
    :ivar first_block_age: seconds since the first block was last used when the request was
        sent; ``None`` when it was not in the prefix index.
    """

    request: RoutingRequest
    engine: EngineInfo
    keys: tuple[int, ...]
    is_home_estimate: bool
    first_block_age: float | None


@dataclass
class _DepartureRate:
    """Exponentially smoothed time between request completions, to predict queueing time.

    Only time with requests at engines counts: an idle time says nothing about the next requests.
    """

    mean_seconds: float | None = None
    busy_since: float = 0.0

    def record_send(self, is_idle: bool, now: float) -> None:
        """Record that a request is sent.

        :param is_idle: no other request was at an engine.
        """
        if is_idle:
            self.busy_since = now

    def record(self, now: float) -> None:
        """Record that a request has left its engine."""
        interval = now - self.busy_since
        if self.mean_seconds is None:
            self.mean_seconds = interval
        self.mean_seconds += _DEPARTURE_SMOOTHING * (interval - self.mean_seconds)
        self.busy_since = now


class Scheduler:
    """Schedules the requests of one node. Not thread-safe."""

    def __init__(self, options: SchedulerOptions, random_source: random.Random):
        self._options = options
        self._random = random_source
        self._engines: dict[str, EngineView] = {}
        self._index = PrefixIndex()
        self._queue = FairQueue()
        self._in_flight: dict[str, _InFlightRequest] = {}
        self._prefills = ActivePrefills()
        self._registry_client = PrefixRegistryClient(options.home_lookup_timeout_seconds)
        self._chooser = EngineChooser(options, self._engines, self._index, self._prefills)
        self._departures = _DepartureRate()

    @property
    def waiting_count(self) -> int:
        """Number of requests queued at this node."""
        return len(self._queue)

    @property
    def running_count(self) -> int:
        """Number of requests that this node has in flight at engines."""
        return len(self._in_flight)

    @property
    def known_blocks(self) -> int:
        """Number of blocks in the prefix index."""
        return len(self._index)

    def engines(self) -> list[EngineInfo]:
        """Return the registered engines."""
        return [view.info for view in self._engines.values()]

    def update_engine(self, info: EngineInfo, now: float) -> list[Decision]:
        """Add or update an engine; a new incarnation starts with an empty cache."""
        view = self._engines.get(info.name)
        if view is None or view.info.incarnation != info.incarnation:
            self._engines[info.name] = EngineView(info, Circuit(info.incarnation))
            self._index.set_incarnation(info.name, info.incarnation)
            self._prefills.remove_engine(info.name)
        else:
            view.info = info
        return self.tick(now)

    def remove_engine(self, name: str) -> None:
        """Remove an engine and its state."""
        self._engines.pop(name, None)
        self._index.discard_engine(name)
        self._prefills.remove_engine(name)

    def submit(self, request: RoutingRequest, now: float) -> list[Decision]:
        """Dispatch, queue or refuse a new request."""
        if not any(eligible(view, request) for view in self._engines.values()):
            return [self._refuse(request, ErrorKind.NO_ENGINE, MIN_RETRY_AFTER_SECONDS)]
        if len(self._queue) >= self._options.max_waiting:
            return [self._refuse(request, ErrorKind.QUEUE_FULL, MIN_RETRY_AFTER_SECONDS)]
        self._queue.push(request)
        decisions = self.tick(now)
        if request.request_id in self._queue and self._misses_deadline(request, now):
            self._queue.remove(request.request_id)
            wait = self._retry_after_seconds()
            decisions.append(self._refuse(request, ErrorKind.DEADLINE_UNREACHABLE, wait))
        return decisions

    def cancel(self, request_id: str, now: float) -> list[Decision]:
        """Remove a request whose caller has disconnected or whose dispatch was not used."""
        self._queue.remove(request_id)
        return self._release(request_id, now)

    def first_token(self, request_id: str, now: float) -> list[Decision]:
        """Record the end of a prefill: its blocks are cached and its followers may be sent."""
        in_flight = self._in_flight.get(request_id)
        view = self._view_of(in_flight)
        prefill = self._prefills.remove(request_id)
        if view is None:
            return self.tick(now)
        view.record_first_token(request_id, now)
        self._index.record_stored(
            in_flight.engine.name, in_flight.engine.incarnation, in_flight.keys, now
        )
        long_prefill = prefill is not None and prefill.uncached_tokens >= LONG_PREFILL_MIN_TOKENS
        updates = self._home_updates(in_flight, 0.0, now, urgent=True) if long_prefill else []
        return updates + self.tick(now)

    def finished(self, request_id: str, cached_tokens: int | None, now: float) -> list[Decision]:
        """Record a completed request.

        :param cached_tokens: prompt tokens that the engine found in its cache; ``None`` when
            it did not report them.
        """
        in_flight = self._in_flight.get(request_id)
        view = self._view_of(in_flight)
        if view is not None:
            view.circuit.record_success()
            if cached_tokens is not None:
                uncached = in_flight.request.prompt_tokens - cached_tokens
                view.record_prefill_rate(request_id, uncached)
            if self._options.feedback and cached_tokens is not None:
                engine = in_flight.engine
                if in_flight.is_home_estimate:
                    self._chooser.record_home_hit(in_flight.keys, cached_tokens)
                self._index.record_response(
                    engine.name,
                    engine.incarnation,
                    in_flight.keys,
                    cached_tokens,
                    in_flight.first_block_age,
                    now,
                )
        updates = self._home_updates(in_flight, 0.0, now) if view is not None else []
        return updates + self._release(request_id, now)

    def failed(self, request_id: str, now: float) -> list[Decision]:
        """Record that an engine did not respond; repeated failures open its circuit."""
        view = self._view_of(self._in_flight.get(request_id))
        if view is not None:
            view.circuit.record_failure(now, self._random)
        return self._release(request_id, now)

    def observe_load(self, engine: str, running: int, waiting: int, now: float) -> None:
        """Record a load report from a response or from the engine's status endpoint."""
        view = self._engines.get(engine)
        if view is not None:
            view.record_load(running, waiting, now)

    def record_stored(self, engine: str, incarnation: str, keys: tuple[int, ...], now: float):
        """Record blocks that an engine holds according to an external source."""
        self._index.record_stored(engine, incarnation, keys, now)

    def handle_home_reply(
        self, head: int, hints: tuple[PrefixHint, ...], now: float
    ) -> list[Decision]:
        """Apply the hints of a prefix's home node and schedule the waiting requests."""
        keys = self._registry_client.record_reply(head, now)
        if keys is None:
            return []
        for hint in hints:
            view = self._engines.get(hint.engine)
            if view is None or view.info.incarnation != hint.incarnation:
                continue
            hint_keys = keys[: hint.blocks]
            if hint.ready_in_seconds > 0:
                end = now + hint.ready_in_seconds
                prefill = Prefill(hint.engine, hint_keys, now, end, remote_head=head)
                self._prefills.add(f"{hint.engine}/{head}", prefill)
            else:
                used_at = now - hint.idle_seconds
                self._index.record_stored(hint.engine, hint.incarnation, hint_keys, used_at)
        return self.tick(now)

    def tick(self, now: float) -> list[Decision]:
        """Dispatch the requests that can be sent and refuse those past their deadline."""
        for head in self._prefills.remove_due_remote(now):
            self._registry_client.invalidate(head)
        decisions: list[Decision] = []
        follower_seconds: dict[str, float] = {}
        for request in self._service_order():
            if now > request.deadline:
                self._queue.remove(request.request_id)
                wait = self._retry_after_seconds()
                decisions.append(self._refuse(request, ErrorKind.DEADLINE_UNREACHABLE, wait))
                continue
            choice = self._chooser.choose(request, now, follower_seconds)
            if choice is None:
                continue
            lookups = self._home_lookups(request, choice, now)
            if lookups is not None:
                decisions += lookups
                continue
            self._queue.remove(request.request_id)
            long_prefill = self._long_prefill(request, choice, now, follower_seconds)
            decisions += self._send(request, choice, long_prefill, now)
        return decisions

    def next_wakeup(self, now: float) -> float | None:
        """Return when to call :meth:`tick` next; ``None`` when the queue is empty."""
        deadlines = [request.deadline for request in self._queue.in_order()]
        if not deadlines:
            return None
        return min(min(deadlines), now + 0.05)

    def _service_order(self) -> list[RoutingRequest]:
        waiting = list(self._queue.in_order())
        if not self._options.class_priority:
            waiting.sort(key=lambda request: request.arrived)
        return waiting

    def _home_lookups(
        self, request: RoutingRequest, choice: Choice, now: float
    ) -> list[Decision] | None:
        """Return the lookup to send to the home node before a long prefill.

        ``None`` when the request can be dispatched; an empty list while a lookup is pending.
        """
        uncached = request.prompt_tokens - choice.indexed_blocks * BLOCK_TOKENS
        if not self._options.use_home_lookup or uncached < LONG_PREFILL_MIN_TOKENS:
            return None
        engine = choice.engine
        keys = request.keys(engine.info.weights_version)
        head = registry_head(keys)
        if head is None or self._registry_client.is_resolved(head, now):
            return None
        seconds = choice.wait_seconds + engine.prefill_seconds(uncached)
        return self._registry_client.lookup(head, keys, engine.info, seconds, now)

    def _home_updates(
        self, in_flight: _InFlightRequest, seconds: float, now: float, urgent: bool = False
    ) -> list[Decision]:
        if not self._options.use_home_lookup:
            return []
        return self._registry_client.update(in_flight.engine, in_flight.keys, seconds, now, urgent)

    def _long_prefill(
        self,
        request: RoutingRequest,
        choice: Choice,
        now: float,
        follower_seconds: dict[str, float],
    ) -> LongPrefill | None:
        uncached = request.prompt_tokens - choice.indexed_blocks * BLOCK_TOKENS
        if uncached < LONG_PREFILL_MIN_TOKENS:
            return None
        return LongPrefill(
            uncached_tokens=uncached,
            guessed_tokens=choice.cached_tokens - (request.prompt_tokens - uncached),
            waited_seconds=round(now - request.arrived, 3),
            cost_seconds=round(choice.cost_seconds, 3),
            following=self._chooser.skipped_prefills(request, choice, now, follower_seconds),
        )

    def _send(
        self, request: RoutingRequest, choice: Choice, long_prefill: LongPrefill | None, now: float
    ) -> list[Decision]:
        view = choice.engine
        keys = request.keys(view.info.weights_version)
        uncached = max(1, request.prompt_tokens - choice.cached_tokens)
        expected = now + choice.wait_seconds + view.prefill_seconds(uncached)
        view.record_sent(request.request_id, uncached, now)
        is_home_estimate = choice.is_home and choice.indexed_blocks == 0
        first_block_age = self._index.first_block_age(view.info.name, keys, now)
        in_flight = _InFlightRequest(request, view.info, keys, is_home_estimate, first_block_age)
        self._departures.record_send(not self._in_flight, now)
        self._in_flight[request.request_id] = in_flight
        updates: list[Decision] = []
        if uncached >= FOLLOW_MIN_TOKENS:
            prefill = Prefill(view.info.name, keys, now, expected, uncached)
            self._prefills.add(request.request_id, prefill)
        if uncached >= LONG_PREFILL_MIN_TOKENS:
            updates = self._home_updates(in_flight, expected - now, now, urgent=True)
        dispatch = Dispatch(request.request_id, view.info, choice.cached_tokens, long_prefill)
        return [dispatch, *updates]

    def _misses_deadline(self, request: RoutingRequest, now: float) -> bool:
        """Return whether the predicted queueing time exceeds the request's deadline."""
        if self._departures.mean_seconds is None:
            return False
        ahead = 0
        for other in self._queue.in_order():
            if other is request:
                break
            ahead += 1
        return now + (ahead + 1) * self._departures.mean_seconds > request.deadline

    def _release(self, request_id: str, now: float) -> list[Decision]:
        in_flight = self._in_flight.pop(request_id, None)
        self._prefills.remove(request_id)
        if in_flight is not None:
            self._departures.record(now)
            view = self._engines.get(in_flight.engine.name)
            if view is not None:
                view.in_flight.pop(request_id, None)
        return self.tick(now)

    def _view_of(self, in_flight: _InFlightRequest | None) -> EngineView | None:
        """Return the view of the incarnation a request was sent to; ``None`` once replaced."""
        if in_flight is None:
            return None
        view = self._engines.get(in_flight.engine.name)
        if view is None or view.info.incarnation != in_flight.engine.incarnation:
            return None
        return view

    def _refuse(
        self, request: RoutingRequest, kind: ErrorKind, retry_after_seconds: float
    ) -> Refusal:
        return Refusal(request.request_id, kind, retry_after_seconds)

    def _retry_after_seconds(self) -> float:
        return max(MIN_RETRY_AFTER_SECONDS, len(self._queue) * (self._departures.mean_seconds or 0))
