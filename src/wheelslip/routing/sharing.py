"""What this node asks and tells the home nodes of prefixes."""

import math
from dataclasses import dataclass

from wheelslip.routing.model import EngineInfo, HomeLookup, HomeUpdate
from wheelslip.routing.prefix_registry import (
    MAX_HEADS,
    PrefixPlan,
    checkpoints,
    registry_head,
)

SHARE_MIN_TOKENS = 2048
"""Uncached tokens from which a home node is asked and told: it costs control traffic, and a
shorter prompt is computed in a quarter of a second."""

HOME_LOOKUP_TIMEOUT_SECONDS = 0.05
"""Longest wait for a prefix's home node; a lost question costs this much."""

ANSWER_VALID_SECONDS = 0.5
"""How long an answer of a home node holds for further requests of the same head."""

TELL_INTERVAL_SECONDS = 2.0
"""Time between two words to a home node that a prefix is still in use on an engine."""


@dataclass
class _HomeAsk:
    """The latest question about one head to its home node."""

    keys: tuple[int, ...]
    asked_at: float
    answered_at: float | None = None


class PrefixSharing:
    """Questions under way and news given, each bounded in number."""

    def __init__(self, ask_timeout_seconds: float = HOME_LOOKUP_TIMEOUT_SECONDS):
        self._ask_timeout_seconds = ask_timeout_seconds
        self._asks: dict[int, _HomeAsk] = {}
        self._told_at: dict[tuple[int, str], float] = {}

    def has_answer(self, head: int, now: float) -> bool:
        """Return whether the home has answered lately, or was asked in vain."""
        ask = self._asks.get(head)
        if ask is None:
            return False
        if ask.answered_at is None:
            return now - ask.asked_at >= self._ask_timeout_seconds
        return now - ask.answered_at < ANSWER_VALID_SECONDS

    def ask(
        self, head: int, keys: tuple[int, ...], engine: EngineInfo, seconds: float, now: float
    ) -> list[HomeLookup]:
        """Return the question to the home, unless one is already on its way.

        :param seconds: until the prompt would be computed on ``engine``.
        """
        ask = self._asks.get(head)
        if ask is not None and ask.answered_at is None:
            return []
        self._asks.pop(head, None)
        self._asks[head] = _HomeAsk(keys, now)
        if len(self._asks) > MAX_HEADS:
            del self._asks[next(iter(self._asks))]
        return [HomeLookup(head, _plan(engine, keys, seconds))]

    def answered(self, head: int, now: float) -> tuple[int, ...] | None:
        """Take note of an answer; return the keys asked about, ``None`` when not asked."""
        ask = self._asks.get(head)
        if ask is None:
            return None
        ask.answered_at = now
        return ask.keys

    def forget(self, head: int) -> None:
        """Let the next request ask again."""
        self._asks.pop(head, None)

    def news(
        self,
        engine: EngineInfo,
        keys: tuple[int, ...],
        seconds: float,
        now: float,
        urgent: bool = False,
    ) -> list[HomeUpdate]:
        """Return word for the home that a prompt is on an engine, or will be in ``seconds``.

        Unless urgent, it is given once in a while for each head and engine.
        """
        head = registry_head(keys)
        if head is None:
            return []
        name = (head, engine.name)
        recent = now - self._told_at.get(name, -math.inf) < TELL_INTERVAL_SECONDS
        if recent and not urgent:
            return []
        self._told_at.pop(name, None)
        self._told_at[name] = now
        if len(self._told_at) > MAX_HEADS:
            del self._told_at[next(iter(self._told_at))]
        return [HomeUpdate(head, _plan(engine, keys, seconds))]


def _plan(engine: EngineInfo, keys: tuple[int, ...], seconds: float) -> PrefixPlan:
    return PrefixPlan(engine.name, engine.incarnation, round(seconds, 3), checkpoints(keys))
