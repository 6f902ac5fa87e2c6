"""Connections that are reset while the node that reads the store for all stands still.

The reader of the store stood still, so nobody's view was confirmed: its age at the others was
1.971 s when they began to read the store themselves. Their connections were reset twice, 0.45 s
apart, and two nodes wrote ``key_value_unavailable``::

    11.985 edge-worcester-1 relay_lost reason=TimeoutError()
    12.571 edge-worcester-1 key_value_unavailable reason=PeerLost(ConnectionResetError)
    13.160 edge-worcester-1 key_value_regained

The store was well all the time. That nobody had been answered for 2 s was taken for an outage, though
nobody had called. The bound on replaced weights, which was to end at 12.8 s, began anew at both nodes,
and requests began on version 1 up to 14.4 s after version 2 had been named, where 8 s are allowed. It is
an outage only if calls have failed for some time.
"""

import asyncio
import random

import pytest

from wheelslip.forwarding.registry import Registry
from wheelslip.forwarding.registry_sync import RegistrySync
from wheelslip.forwarding.settings import BoundsSection
from wheelslip.keyvalue.model import KeyValueUnavailable, RangeResult, WatchBatch
from wheelslip.platform.registry import PlatformRegistry

BOUNDS = BoundsSection()


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class ScriptedStore:
    """Plays one call after another, each of so many seconds; then ends the task.

    :param calls: seconds of each, and whether it is answered.
    """

    def __init__(self, calls, clock):
        self.calls = list(calls)
        self.clock = clock

    async def range(self, prefix):
        return await self._next(RangeResult(1, ()))

    async def watch(self, prefix, after, wait_seconds):
        return await self._next(WatchBatch(after))

    async def _next(self, result):
        if not self.calls:
            raise asyncio.CancelledError
        seconds, is_answered = self.calls.pop(0)
        self.clock.now += seconds
        if not is_answered:
            raise KeyValueUnavailable("connection reset")
        return result


class NoRelay:
    """The relay's key at a node that follows nobody and is no relay."""

    def node_to_follow(self):
        return None

    def token(self):
        return None


def read(calls) -> Registry:
    """Return the view of a node among others, after calls of the store."""
    clock = Clock()
    registry = Registry(PlatformRegistry(), lambda: BOUNDS, clock)
    store = ScriptedStore(calls, clock)
    sync = RegistrySync(store, registry, clock, random.Random(1), relay=NoRelay())
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(sync.run())
    return registry


def test_failed_call_after_a_pause_without_calls_is_no_outage():
    # The listing takes so long that the view is 2.06 s old when the next call is sent.
    registry = read([(2.06, True), (0.035, False), (0.6, True)])
    assert registry.health.outage_at is None


def test_two_resets_after_a_pause_without_calls_are_no_outage():
    registry = read([(2.06, True), (0.035, False), (0.45, False), (0.6, True)])
    assert registry.health.outage_at is None


def test_calls_refused_for_seconds_are_an_outage():
    registry = read([(0.6, True), *[(0.4, False)] * 8, (0.6, True)])
    assert registry.health.outage_at == pytest.approx(103.4)


def test_calls_unanswered_for_seconds_are_an_outage():
    registry = read([(0.6, True), (2.1, False), (2.1, False), (0.6, True)])
    assert registry.health.outage_at == pytest.approx(102.7)
