"""Estimates the cost of each engine for a request and selects one.

The cost is in seconds until the first token::

    expected wait + weight * (uncached prompt tokens / prefill rate) + other-zone penalty

Among engines of equal cost, the rendezvous home of the prompt's head is selected, so all nodes
select the same one without communication. A frequently used prefix spreads to further engines in
two ways: a request that has waited long enough accepts the next best engine, and when many
requests wait for the same prefill, a second engine computes the prefix. The additional copies
are dropped as their blocks age.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from wheelslip.routing import rendezvous
from wheelslip.routing.caches.index import PrefixIndex
from wheelslip.routing.caches.prefills import ActivePrefills
from wheelslip.routing.caches.prefix import BLOCK_TOKENS
from wheelslip.routing.caches.sharing import HOME_LOOKUP_TIMEOUT_SECONDS
from wheelslip.routing.engine_view import EngineView
from wheelslip.routing.model import EngineState, RoutingRequest

HEAD_SHARE = 0.5
"""The head that determines a prompt's home is its largest power-of-two number of blocks within
this share of the prompt."""

OTHER_ZONE_SECONDS = 0.004
"""Penalty for another zone: two additional network crossings."""

HOME_PREFERENCE_SECONDS = 0.05
"""Advantage of the rendezvous home over other engines of equal cost."""

INITIAL_HOME_HIT_SHARE = 0.5
"""Initial estimate of the share of an unknown prompt that its home has cached because other nodes
send the same prefix there."""

_HOME_HIT_SMOOTHING = 0.05
FOLLOW_MIN_TOKENS = 1024
"""Uncached tokens from which a request waits for a prefill of the same prefix."""

MAX_FOLLOW_SECONDS = 10.0
"""A prefill that started longer ago is not waited for."""

RUNNING_REQUEST_SECONDS = 0.002
"""Cost of each request of this node at an engine: it lengthens every step there. Without it, all
requests of equal cost go to one engine."""

PREFILL_INTERFERENCE = 0.05
"""Share by which each running request raises the cost of computing a prompt beside it."""


@dataclass(frozen=True)
class SchedulerOptions:
    """Limits of the node, and mechanisms that can be disabled for ablation runs."""

    zone: str = ""
    max_waiting: int = 128
    follow: bool = True
    home_preference: bool = True
    feedback: bool = True
    class_priority: bool = True
    use_home_lookup: bool = True
    home_lookup_timeout_seconds: float = HOME_LOOKUP_TIMEOUT_SECONDS


@dataclass(frozen=True)
class Choice:
    """Cost estimate of one engine for one request.

    :ivar cached_tokens: tokens estimated to be cached there.
    :ivar indexed_tokens: tokens cached there according to this node's prefix index.
    :ivar indexed_cost_seconds: the cost if no more than the indexed tokens are cached.
    :ivar is_home: the engine is the rendezvous home of the prompt's head.
    """

    engine: EngineView
    cost_seconds: float
    indexed_cost_seconds: float
    wait_seconds: float
    cached_tokens: int
    indexed_tokens: int
    indexed_blocks: int
    is_home: bool


@dataclass(frozen=True)
class _InFlightPrefill:
    """A prefill that a request may wait for instead of computing the prefix itself.

    :ivar name: key in :class:`ActivePrefills`.
    :ivar remaining_seconds: prefill time of the tokens that the request does not share with it.
    """

    name: str
    following_cost: float
    computing_cost: float
    remaining_seconds: float


class EngineChooser:
    """Selects engines from the views, prefix index and prefills that the scheduler maintains."""

    def __init__(
        self,
        options: SchedulerOptions,
        engines: dict[str, EngineView],
        index: PrefixIndex,
        prefills: ActivePrefills,
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

        :param following: seconds of work already waiting for each prefill, by its name; updated
            when the request waits for one.
        """
        available = [
            view
            for view in self._engines.values()
            if eligible(view, request) and view.is_available(now)
        ]
        if not available:
            return None
        choices = sorted(
            self._costs(request, available, now), key=lambda choice: choice.cost_seconds
        )
        best = choices[0]
        # The expected further wait equals the time waited so far, so a more expensive engine
        # becomes acceptable as the request waits.
        limit = best.cost_seconds + (now - request.arrived)
        for choice in choices:
            if choice.cost_seconds > limit:
                return None
            if choice.engine.has_capacity(now):
                follows = self._options.follow and self._follows(request, choice, now, following)
                return None if follows else choice
        return None

    def record_home_hit(self, keys: tuple[int, ...], cached_tokens: int) -> None:
        """Record how much of a prompt its home had cached when the index had no entry for it."""
        if keys:
            share = min(1.0, cached_tokens / (len(keys) * BLOCK_TOKENS))
            self._home_hit_share += _HOME_HIT_SMOOTHING * (share - self._home_hit_share)

    def _costs(self, request: RoutingRequest, views: list[EngineView], now: float) -> list[Choice]:
        home = self._home(request, views)
        choices = []
        for view in views:
            keys = request.keys(view.info.weights_version)
            blocks = self._index.cached_blocks(view.info.name, keys, now)
            indexed = min(blocks * BLOCK_TOKENS, request.prompt_tokens)
            is_home = view.info.name == home
            cached = indexed
            if is_home:
                # Other nodes send this prefix there too, so it is likely to be cached.
                cached = max(indexed, int(self._home_hit_share * len(keys) * BLOCK_TOKENS))
            wait = view.wait_seconds(now)
            running = view.running(now)
            base = wait + running * RUNNING_REQUEST_SECONDS
            if view.info.zone != self._options.zone:
                base += OTHER_ZONE_SECONDS
            if is_home:
                base -= HOME_PREFERENCE_SECONDS
            # A prefill slows every stream that runs beside it.
            weight = request.recompute_weight * (1 + PREFILL_INTERFERENCE * running)
            cost, indexed_cost = (
                base + weight * view.prefill_seconds(max(1, request.prompt_tokens - tokens))
                for tokens in (cached, indexed)
            )
            choices.append(Choice(view, cost, indexed_cost, wait, cached, indexed, blocks, is_home))
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
        """Return whether the request waits for a prefill that computes enough of its prompt.

        The work already waiting for the prefill raises the cost of following it, so that a second
        engine computes the prefix when many requests wait.
        """
        for prefill in self._in_flight(request, best, now, following):
            if prefill.following_cost < prefill.computing_cost + HOME_PREFERENCE_SECONDS:
                following[prefill.name] = (
                    following.get(prefill.name, 0.0) + prefill.remaining_seconds
                )
                return True
        return False

    def skipped_prefills(
        self, request: RoutingRequest, best: Choice, now: float, following: dict[str, float]
    ) -> tuple[tuple[str, float], ...]:
        """Return name and following cost of each prefill that the request could wait for."""
        prefills = self._in_flight(request, best, now, following)
        return tuple((prefill.name, round(prefill.following_cost, 3)) for prefill in prefills)

    def _in_flight(
        self, request: RoutingRequest, best: Choice, now: float, following: dict[str, float]
    ) -> Iterator[_InFlightPrefill]:
        """Yield the prefills that compute enough of a prompt to be worth waiting for."""
        if request.prompt_tokens - best.indexed_tokens < FOLLOW_MIN_TOKENS:
            return
        for name, prefill in self._prefills:
            view = self._engines.get(prefill.engine)
            if view is None or now - prefill.started_at > MAX_FOLLOW_SECONDS:
                continue
            cached, computing = best.cached_tokens, best.cost_seconds
            if prefill.remote_head is not None and view is best.engine:
                # The home node reports that this engine is still computing the prefix for another
                # node, so the estimate of what other nodes have cached there does not apply.
                cached, computing = best.indexed_tokens, best.indexed_cost_seconds
            if request.prompt_tokens - cached < FOLLOW_MIN_TOKENS:
                continue
            shared = prefill.shared_blocks(request.keys(view.info.weights_version))
            if shared * BLOCK_TOKENS - cached < FOLLOW_MIN_TOKENS:
                continue
            remaining = view.prefill_seconds(request.prompt_tokens - shared * BLOCK_TOKENS)
            wait = max(0.0, prefill.expected_end - now) + following.get(name, 0.0)
            following_cost = wait + request.recompute_weight * remaining
            yield _InFlightPrefill(name, following_cost, computing, remaining)


def eligible(view: EngineView, request: RoutingRequest) -> bool:
    """Return whether an engine may serve a request at all."""
    if view.info.model != request.model or view.info.name in request.excluded:
        return False
    return view.info.state is EngineState.SERVING


def head_key(keys: tuple[int, ...]) -> int | None:
    """Return the key of a prompt's head; ``None`` when the prompt has no complete block."""
    if not keys:
        return None
    head_blocks = max(1, int(len(keys) * HEAD_SHARE))
    return keys[(1 << (head_blocks.bit_length() - 1)) - 1]
