"""The scheduler: which engine answers a request, what waits and what is refused.

Pure and single-threaded: callers pass ``now`` and carry out the decisions returned. The
same class runs in the node's router task and in the replay in virtual time. What an engine
costs a request is in :mod:`wheelslip.routing.cost`.
"""

import random
from dataclasses import dataclass

from wheelslip.errors import ErrorKind
from wheelslip.routing.cost import (
    FOLLOW_MIN_TOKENS,
    Choice,
    EngineChooser,
    SchedulerOptions,
    eligible,
)
from wheelslip.routing.engine_view import EngineView
from wheelslip.routing.fair_queue import FairQueue
from wheelslip.routing.index import PrefixIndex
from wheelslip.routing.model import (
    Decision,
    Dispatch,
    EngineInfo,
    LongPrefill,
    Refusal,
    RoutingRequest,
)
from wheelslip.routing.prefills import Prefill, PrefillBoard
from wheelslip.routing.prefix import BLOCK_TOKENS
from wheelslip.routing.prefix_registry import PrefixHint, registry_head
from wheelslip.routing.retry import Circuit
from wheelslip.routing.sharing import SHARE_MIN_TOKENS, PrefixSharing

REFUSAL_RETRY_SECONDS = 1.0
_DEPARTURE_SMOOTHING = 0.1


@dataclass(frozen=True)
class _Sent:
    """A request at an engine, and what this node believed of its prompt there."""

    request: RoutingRequest
    engine: EngineInfo
    keys: tuple[int, ...]
    to_home_unknown: bool
    head_age: float | None


@dataclass
class _DepartureRate:
    """Smoothed time between requests leaving engines: how fast a queue moves."""

    mean_seconds: float | None = None
    last_at: float | None = None

    def record(self, now: float) -> None:
        if self.last_at is not None:
            interval = now - self.last_at
            if self.mean_seconds is None:
                self.mean_seconds = interval
            self.mean_seconds += _DEPARTURE_SMOOTHING * (interval - self.mean_seconds)
        self.last_at = now


class Scheduler:
    """Decides for one node. Not thread-safe: one task owns it."""

    def __init__(self, options: SchedulerOptions, random_source: random.Random):
        self._options = options
        self._random = random_source
        self._engines: dict[str, EngineView] = {}
        self._index = PrefixIndex()
        self._queue = FairQueue()
        self._sent: dict[str, _Sent] = {}
        self._prefills = PrefillBoard()
        self._sharing = PrefixSharing(options.ask_timeout_seconds)
        self._chooser = EngineChooser(options, self._engines, self._index, self._prefills)
        self._departures = _DepartureRate()

    @property
    def waiting_count(self) -> int:
        """Requests waiting at this node."""
        return len(self._queue)

    @property
    def running_count(self) -> int:
        """Requests this node has at engines."""
        return len(self._sent)

    @property
    def known_blocks(self) -> int:
        """Blocks in the prefix index."""
        return len(self._index)

    def engines(self) -> list[EngineInfo]:
        """Return the engines in view."""
        return [view.info for view in self._engines.values()]

    def update_engine(self, info: EngineInfo, now: float) -> list[Decision]:
        """Take new facts of an engine; a new incarnation starts with nothing cached."""
        view = self._engines.get(info.name)
        if view is None or view.info.incarnation != info.incarnation:
            self._engines[info.name] = EngineView(info, Circuit(info.incarnation))
            self._index.set_incarnation(info.name, info.incarnation)
            self._prefills.remove_engine(info.name)
        else:
            view.info = info
        return self.tick(now)

    def remove_engine(self, name: str) -> None:
        """Forget an engine that is gone."""
        self._engines.pop(name, None)
        self._index.forget_engine(name)
        self._prefills.remove_engine(name)

    def submit(self, request: RoutingRequest, now: float) -> list[Decision]:
        """Take a request: it is sent, queued or refused."""
        if not any(eligible(view, request) for view in self._engines.values()):
            return [self._refuse(request, ErrorKind.NO_ENGINE, REFUSAL_RETRY_SECONDS)]
        if len(self._queue) >= self._options.max_waiting:
            return [self._refuse(request, ErrorKind.QUEUE_FULL, REFUSAL_RETRY_SECONDS)]
        self._queue.push(request)
        decisions = self.tick(now)
        if request.request_id in self._queue and self._is_hopeless(request, now):
            self._queue.remove(request.request_id)
            wait = self._retry_after_seconds()
            decisions.append(self._refuse(request, ErrorKind.DEADLINE_UNREACHABLE, wait))
        return decisions

    def cancel(self, request_id: str, now: float) -> list[Decision]:
        """Forget a request whose caller has gone."""
        self._queue.remove(request_id)
        return self._release(request_id, now)

    def first_token(self, request_id: str, now: float) -> list[Decision]:
        """Learn that a prompt is computed: its blocks are cached and followers may go."""
        sent = self._sent.get(request_id)
        view = self._view_of(sent)
        prefill = self._prefills.remove(request_id)
        if view is None:
            return self.tick(now)
        view.record_first_token(request_id, now)
        self._index.record_stored(sent.engine.name, sent.engine.incarnation, sent.keys, now)
        long_prefill = prefill is not None and prefill.uncached_tokens >= SHARE_MIN_TOKENS
        news = self._news(sent, 0.0, now, urgent=True) if long_prefill else []
        return news + self.tick(now)

    def finished(self, request_id: str, cached_tokens: int | None, now: float) -> list[Decision]:
        """Learn that an answer is complete and how much of its prompt was cached."""
        sent = self._sent.get(request_id)
        view = self._view_of(sent)
        if view is not None:
            view.circuit.record_success()
            if cached_tokens is not None:
                uncached = sent.request.prompt_tokens - cached_tokens
                view.record_prefill_rate(request_id, uncached)
            if self._options.feedback and cached_tokens is not None:
                engine = sent.engine
                if sent.to_home_unknown:
                    self._chooser.learn_home(sent.keys, cached_tokens)
                self._index.record_answer(
                    engine.name, engine.incarnation, sent.keys, cached_tokens, sent.head_age, now
                )
        news = self._news(sent, 0.0, now) if view is not None else []
        return news + self._release(request_id, now)

    def failed(self, request_id: str, now: float) -> list[Decision]:
        """Learn that an engine did not answer; opens its circuit after a few."""
        view = self._view_of(self._sent.get(request_id))
        if view is not None:
            view.circuit.record_failure(now, self._random)
        return self._release(request_id, now)

    def observe_load(self, engine: str, running: int, waiting: int, now: float) -> None:
        """Take a load report, in band or from the engine's status."""
        view = self._engines.get(engine)
        if view is not None:
            view.record_load(running, waiting, now)

    def record_stored(self, engine: str, incarnation: str, keys: tuple[int, ...], now: float):
        """Learn from elsewhere that an engine holds blocks."""
        self._index.record_stored(engine, incarnation, keys, now)

    def handle_home_reply(
        self, head: int, hints: tuple[PrefixHint, ...], now: float
    ) -> list[Decision]:
        """Take what a prefix's home node knows; waiting requests are placed with it."""
        asked = self._sharing.answered(head, now)
        if asked is None:
            return []
        for hint in hints:
            view = self._engines.get(hint.engine)
            if view is None or view.info.incarnation != hint.incarnation:
                continue
            keys = asked[: hint.blocks]
            if hint.ready_in_seconds > 0:
                end = now + hint.ready_in_seconds
                elsewhere = Prefill(hint.engine, keys, now, end, elsewhere=head)
                self._prefills.add(f"{hint.engine}/{head}", elsewhere)
            else:
                used_at = now - hint.idle_seconds
                self._index.record_stored(hint.engine, hint.incarnation, keys, used_at)
        return self.tick(now)

    def tick(self, now: float) -> list[Decision]:
        """Send what can be sent and refuse what cannot make its deadline."""
        for head in self._prefills.remove_due_elsewhere(now):
            self._sharing.forget(head)
        decisions: list[Decision] = []
        following: dict[str, float] = {}
        for request in self._service_order():
            if now > request.deadline:
                self._queue.remove(request.request_id)
                wait = self._retry_after_seconds()
                decisions.append(self._refuse(request, ErrorKind.DEADLINE_UNREACHABLE, wait))
                continue
            choice = self._chooser.choose(request, now, following)
            if choice is None:
                continue
            question = self._question(request, choice, now)
            if question is not None:
                decisions += question
                continue
            self._queue.remove(request.request_id)
            long_prefill = self._long_prefill(request, choice, now, following)
            decisions += self._send(request, choice, long_prefill, now)
        return decisions

    def next_wakeup(self, now: float) -> float | None:
        """Return when :meth:`tick` is next worth calling, on the same clock."""
        deadlines = [request.deadline for request in self._queue.in_order()]
        if not deadlines:
            return None
        return min(min(deadlines), now + 0.05)

    def _service_order(self) -> list[RoutingRequest]:
        waiting = list(self._queue.in_order())
        if not self._options.class_priority:
            waiting.sort(key=lambda request: request.arrived)
        return waiting

    def _question(
        self, request: RoutingRequest, choice: Choice, now: float
    ) -> list[Decision] | None:
        """Return the question that comes before so long a prefill; ``None`` to go ahead.

        An empty list means that the question is under way.
        """
        uncached = request.prompt_tokens - choice.known_blocks * BLOCK_TOKENS
        if not self._options.ask_home or uncached < SHARE_MIN_TOKENS:
            return None
        engine = choice.engine
        keys = request.keys(engine.info.weights_version)
        head = registry_head(keys)
        if head is None or self._sharing.has_answer(head, now):
            return None
        seconds = choice.wait_seconds + engine.prefill_seconds(uncached)
        return self._sharing.ask(head, keys, engine.info, seconds, now)

    def _news(
        self, sent: _Sent, seconds: float, now: float, urgent: bool = False
    ) -> list[Decision]:
        if not self._options.ask_home:
            return []
        return self._sharing.news(sent.engine, sent.keys, seconds, now, urgent)

    def _long_prefill(
        self, request: RoutingRequest, choice: Choice, now: float, following: dict[str, float]
    ) -> LongPrefill | None:
        uncached = request.prompt_tokens - choice.known_blocks * BLOCK_TOKENS
        if uncached < SHARE_MIN_TOKENS:
            return None
        return LongPrefill(
            uncached_tokens=uncached,
            guessed_tokens=choice.cached_tokens - (request.prompt_tokens - uncached),
            waited_seconds=round(now - request.arrived, 3),
            cost_seconds=round(choice.cost_seconds, 3),
            following=self._chooser.passed_over(request, choice, now, following),
        )

    def _send(
        self, request: RoutingRequest, choice: Choice, long_prefill: LongPrefill | None, now: float
    ) -> list[Decision]:
        view = choice.engine
        keys = request.keys(view.info.weights_version)
        uncached = max(1, request.prompt_tokens - choice.cached_tokens)
        expected = now + choice.wait_seconds + view.prefill_seconds(uncached)
        view.record_sent(request.request_id, uncached, now)
        unknown = choice.is_home and choice.known_blocks == 0
        head_age = self._index.head_age(view.info.name, keys, now)
        sent = _Sent(request, view.info, keys, unknown, head_age)
        self._sent[request.request_id] = sent
        news: list[Decision] = []
        if uncached >= FOLLOW_MIN_TOKENS:
            prefill = Prefill(view.info.name, keys, now, expected, uncached)
            self._prefills.add(request.request_id, prefill)
        if uncached >= SHARE_MIN_TOKENS:
            news = self._news(sent, expected - now, now, urgent=True)
        dispatch = Dispatch(request.request_id, view.info, choice.cached_tokens, long_prefill)
        return [dispatch, *news]

    def _is_hopeless(self, request: RoutingRequest, now: float) -> bool:
        """Whether the requests ahead will take longer than the deadline allows."""
        if self._departures.mean_seconds is None:
            return False
        ahead = 0
        for other in self._queue.in_order():
            if other is request:
                break
            ahead += 1
        return now + (ahead + 1) * self._departures.mean_seconds > request.deadline

    def _release(self, request_id: str, now: float) -> list[Decision]:
        sent = self._sent.pop(request_id, None)
        self._prefills.remove(request_id)
        if sent is not None:
            self._departures.record(now)
            view = self._engines.get(sent.engine.name)
            if view is not None:
                view.in_flight.pop(request_id, None)
        return self.tick(now)

    def _view_of(self, sent: _Sent | None) -> EngineView | None:
        """Return the view of the incarnation a request was sent to, if it still lives."""
        if sent is None:
            return None
        view = self._engines.get(sent.engine.name)
        if view is None or view.info.incarnation != sent.engine.incarnation:
            return None
        return view

    def _refuse(
        self, request: RoutingRequest, kind: ErrorKind, retry_after_seconds: float
    ) -> Refusal:
        return Refusal(request.request_id, kind, retry_after_seconds)

    def _retry_after_seconds(self) -> float:
        return max(REFUSAL_RETRY_SECONDS, len(self._queue) * (self._departures.mean_seconds or 0))
