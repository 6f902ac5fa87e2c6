"""Client of the prefix registries at home nodes: pending lookups and update rate limits."""

import math
from dataclasses import dataclass

from wheelslip.routing.caches.prefix_registry import (
    MAX_HEADS,
    PrefixPlan,
    checkpoints,
    registry_head,
)
from wheelslip.routing.model import EngineInfo, HomeLookup, HomeUpdate

LONG_PREFILL_MIN_TOKENS = 2048
"""Uncached tokens from which a prefill is coordinated with the prefix's home node. It costs control
traffic, and a shorter prompt is computed in a quarter of a second."""

HOME_LOOKUP_TIMEOUT_SECONDS = 0.05
"""Time after which requests stop waiting for the reply of a home node."""

REPLY_TTL_SECONDS = 0.5
"""Time for which a reply also applies to further requests with the same head key."""

UPDATE_INTERVAL_SECONDS = 2.0
"""Minimum time between non-urgent updates for the same head key and engine."""


@dataclass
class _Lookup:
    """The latest lookup of a head key."""

    keys: tuple[int, ...]
    sent_at: float
    replied_at: float | None = None


class PrefixRegistryClient:
    """Lookups and updates of one node; both tables are bounded."""

    def __init__(self, lookup_timeout_seconds: float = HOME_LOOKUP_TIMEOUT_SECONDS):
        self._lookup_timeout_seconds = lookup_timeout_seconds
        self._lookups: dict[int, _Lookup] = {}
        self._updated_at: dict[tuple[int, str], float] = {}

    def is_resolved(self, head: int, now: float) -> bool:
        """Return whether the lookup has a valid reply or has timed out."""
        lookup = self._lookups.get(head)
        if lookup is None:
            return False
        if lookup.replied_at is None:
            return now - lookup.sent_at >= self._lookup_timeout_seconds
        return now - lookup.replied_at < REPLY_TTL_SECONDS

    def lookup(
        self, head: int, keys: tuple[int, ...], engine: EngineInfo, seconds: float, now: float
    ) -> list[HomeLookup]:
        """Return the lookup to send; nothing while one is pending.

        :param seconds: expected time until the prompt is computed on ``engine``.
        """
        lookup = self._lookups.get(head)
        if lookup is not None and lookup.replied_at is None:
            return []
        self._lookups.pop(head, None)
        self._lookups[head] = _Lookup(keys, now)
        if len(self._lookups) > MAX_HEADS:
            del self._lookups[next(iter(self._lookups))]
        return [HomeLookup(head, _plan(engine, keys, seconds))]

    def record_reply(self, head: int, now: float) -> tuple[int, ...] | None:
        """Record a reply; return the keys of the lookup, ``None`` without a lookup."""
        lookup = self._lookups.get(head)
        if lookup is None:
            return None
        lookup.replied_at = now
        return lookup.keys

    def invalidate(self, head: int) -> None:
        """Drop a lookup, so that the next request repeats it."""
        self._lookups.pop(head, None)

    def update(
        self,
        engine: EngineInfo,
        keys: tuple[int, ...],
        seconds: float,
        now: float,
        urgent: bool = False,
    ) -> list[HomeUpdate]:
        """Return the update that a prompt is cached on an engine, or will be in ``seconds``.

        Updates that are not urgent are limited to one per :data:`UPDATE_INTERVAL_SECONDS` for
        each head key and engine; an empty list is returned in between.
        """
        head = registry_head(keys)
        if head is None:
            return []
        update_key = (head, engine.name)
        recent = now - self._updated_at.get(update_key, -math.inf) < UPDATE_INTERVAL_SECONDS
        if recent and not urgent:
            return []
        self._updated_at.pop(update_key, None)
        self._updated_at[update_key] = now
        if len(self._updated_at) > MAX_HEADS:
            del self._updated_at[next(iter(self._updated_at))]
        return [HomeUpdate(head, _plan(engine, keys, seconds))]


def _plan(engine: EngineInfo, keys: tuple[int, ...], seconds: float) -> PrefixPlan:
    return PrefixPlan(engine.name, engine.incarnation, round(seconds, 3), checkpoints(keys))
