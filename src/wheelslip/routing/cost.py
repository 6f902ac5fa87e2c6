"""What each engine costs a request, and which one is worth sending to now.

Cost, in seconds of first-token time::

    expected wait + price * (uncached prompt tokens / prefill rate) + other-zone penalty

Engines of equal cost are taken by the rendezvous home of the prompt's head, so that nodes
agree without talking. A hot prefix widens to further engines in two ways: whoever has waited
long enough takes the next best, and a long row of followers makes a second engine compute
the prefix. It shrinks again as blocks age.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from wheelslip.routing import rendezvous
from wheelslip.routing.engine_view import EngineView
from wheelslip.routing.index import PrefixIndex
from wheelslip.routing.model import EngineState, RoutingRequest
from wheelslip.routing.prefills import PrefillBoard
from wheelslip.routing.prefix import BLOCK_TOKENS
from wheelslip.routing.sharing import HOME_LOOKUP_TIMEOUT_SECONDS

HEAD_SHARE = 0.5
"""The head that places a prompt is its first power-of-two blocks within this share of it:
short enough to be shared, long enough to part what is nested under one common start."""

OTHER_ZONE_SECONDS = 0.004
"""Penalty for another zone: two extra crossings of a little more than a millisecond."""

HOME_PREFERENCE_SECONDS = 0.05
"""Advantage of the rendezvous home over other engines of equal cost."""

INITIAL_HOME_HIT_SHARE = 0.5
"""First guess of how much of an unknown prompt its home holds, from other nodes' requests."""

_HOME_HIT_SMOOTHING = 0.05
FOLLOW_MIN_TOKENS = 1024
"""Uncached tokens from which a request waits for another that computes the same."""

MAX_FOLLOW_SECONDS = 10.0
"""Longest wait for another request's prefill."""

RUNNING_REQUEST_SECONDS = 0.002
"""Cost of each request this node already has at an engine: it lengthens every step there,
and without it all requests of equal cost would go to one engine."""

PREFILL_INTERFERENCE = 0.05
"""Share by which each running request raises the cost of computing a prompt beside it."""


@dataclass(frozen=True)
class SchedulerOptions:
    """Mechanisms that an ablation run can turn off, and the node's bounds."""

    zone: str = ""
    max_waiting: int = 128
    follow: bool = True
    home_preference: bool = True
    feedback: bool = True
    class_priority: bool = True
    ask_home: bool = True
    ask_timeout_seconds: float = HOME_LOOKUP_TIMEOUT_SECONDS


@dataclass(frozen=True)
class Choice:
    """One engine for one request, with what it costs and why.

    :param known_cost_seconds: the cost if no more is cached than this node knows of.
    """

    engine: EngineView
    cost_seconds: float
    known_cost_seconds: float
    wait_seconds: float
    cached_tokens: int
    known_tokens: int
    known_blocks: int
    is_home: bool


@dataclass(frozen=True)
class _Leader:
    """A computation that a request may wait for, in place of computing beside it."""

    name: str
    following_cost: float
    computing_cost: float
    rest_seconds: float


class EngineChooser:
    """Prices engines from views, prefix index and prefills that the scheduler owns."""

    def __init__(
        self,
        options: SchedulerOptions,
        engines: dict[str, EngineView],
        index: PrefixIndex,
        prefills: PrefillBoard,
    ):
        self._options = options
        self._engines = engines
        self._index = index
        self._prefills = prefills
        self._home_hit_share = INITIAL_HOME_HIT_SHARE

    def choose(
        self, request: RoutingRequest, now: float, following: dict[str, float]
    ) -> Choice | None:
        """Return the engine to send to now, or ``None`` to keep the request waiting.

        :param following: seconds of work already waiting for each prefill, by request id.
        """
        ready = [
            view
            for view in self._engines.values()
            if eligible(view, request) and view.is_available(now)
        ]
        if not ready:
            return None
        choices = sorted(self._costs(request, ready, now), key=lambda one: one.cost_seconds)
        best = choices[0]
        # Whoever has waited for the best engine is likely to wait as long again, so in time
        # the next best becomes worth its price: this too widens a hot prefix.
        limit = best.cost_seconds + (now - request.arrived)
        for choice in choices:
            if choice.cost_seconds > limit:
                return None
            if choice.engine.has_capacity(now):
                follows = self._options.follow and self._follows(request, choice, now, following)
                return None if follows else choice
        return None

    def learn_home(self, keys: tuple[int, ...], cached_tokens: int) -> None:
        """Learn how much of a prompt its home held when this node knew nothing of it."""
        if keys:
            share = min(1.0, cached_tokens / (len(keys) * BLOCK_TOKENS))
            self._home_hit_share += _HOME_HIT_SMOOTHING * (share - self._home_hit_share)

    def _costs(self, request: RoutingRequest, views: list[EngineView], now: float) -> list[Choice]:
        home = self._home(request, views)
        choices = []
        for view in views:
            keys = request.keys(view.info.weights_version)
            blocks = self._index.cached_blocks(view.info.name, keys, now)
            known = min(blocks * BLOCK_TOKENS, request.prompt_tokens)
            is_home = view.info.name == home
            cached = known
            if is_home:
                # Other nodes send this prefix there too, so it is likely to be cached.
                cached = max(known, int(self._home_hit_share * len(keys) * BLOCK_TOKENS))
            wait = view.wait_seconds(now)
            running = view.running(now)
            base = wait + running * RUNNING_REQUEST_SECONDS
            if view.info.zone != self._options.zone:
                base += OTHER_ZONE_SECONDS
            if is_home:
                base -= HOME_PREFERENCE_SECONDS
            # Computing a prompt slows every stream that runs beside it.
            weight = request.recompute_weight * (1 + PREFILL_INTERFERENCE * running)
            cost, known_cost = (
                base + weight * view.prefill_seconds(max(1, request.prompt_tokens - tokens))
                for tokens in (cached, known)
            )
            choices.append(Choice(view, cost, known_cost, wait, cached, known, blocks, is_home))
        return choices

    def _home(self, request: RoutingRequest, views: list[EngineView]) -> str | None:
        if not self._options.home_preference:
            return None
        head = head_key(request.keys(views[0].info.weights_version))
        if head is None:
            return None
        return rendezvous.owner(str(head), [view.info.name for view in views])

    def _follows(
        self, request: RoutingRequest, best: Choice, now: float, following: dict[str, float]
    ) -> bool:
        """Whether the request waits for another that computes enough of its prompt.

        Those already waiting for the same prefill are counted, so that a long row of them
        makes a second engine compute the prefix: that is how a hot prefix widens.
        """
        for leader in self._leaders(request, best, now, following):
            if leader.following_cost < leader.computing_cost + HOME_PREFERENCE_SECONDS:
                following[leader.name] = following.get(leader.name, 0.0) + leader.rest_seconds
                return True
        return False

    def passed_over(
        self, request: RoutingRequest, best: Choice, now: float, following: dict[str, float]
    ) -> tuple[tuple[str, float], ...]:
        """Return the computations that a request might wait for, and at what cost."""
        leaders = self._leaders(request, best, now, following)
        return tuple((leader.name, round(leader.following_cost, 3)) for leader in leaders)

    def _leaders(
        self, request: RoutingRequest, best: Choice, now: float, following: dict[str, float]
    ) -> Iterator[_Leader]:
        """Yield the computations of enough of a prompt to be worth a wait."""
        if request.prompt_tokens - best.known_tokens < FOLLOW_MIN_TOKENS:
            return
        for leader, prefill in self._prefills:
            view = self._engines.get(prefill.engine)
            if view is None or now - prefill.started_at > MAX_FOLLOW_SECONDS:
                continue
            cached, computing = best.cached_tokens, best.cost_seconds
            if prefill.elsewhere is not None and view is best.engine:
                # The guess stands for what other nodes sent here, and its home has just told
                # of that: what this engine still computes for one of them it does not hold yet.
                cached, computing = best.known_tokens, best.known_cost_seconds
            if request.prompt_tokens - cached < FOLLOW_MIN_TOKENS:
                continue
            shared = prefill.shared_blocks(request.keys(view.info.weights_version))
            if shared * BLOCK_TOKENS - cached < FOLLOW_MIN_TOKENS:
                continue
            rest = view.prefill_seconds(request.prompt_tokens - shared * BLOCK_TOKENS)
            ahead = max(0.0, prefill.expected_end - now) + following.get(leader, 0.0)
            following_cost = ahead + request.recompute_weight * rest
            yield _Leader(leader, following_cost, computing, rest)


def eligible(view: EngineView, request: RoutingRequest) -> bool:
    """Return whether an engine may serve a request at all."""
    if view.info.model != request.model or view.info.name in request.excluded:
        return False
    return view.info.state is EngineState.SERVING


def head_key(keys: tuple[int, ...]) -> int | None:
    """Return the key that places a prompt; ``None`` when it has no whole block."""
    if not keys:
        return None
    reach = max(1, int(len(keys) * HEAD_SHARE))
    return keys[(1 << (reach.bit_length() - 1)) - 1]
