"""Connection resets after a pause without calls are no outage of the store.

An outage restarts the deadlines for replaced weights, so it requires calls that fail for seconds.
"""

import asyncio
import random

import pytest

from wheelslip.forwarding.registry_sync import RegistrySync
from wheelslip.forwarding_settings import BoundsSection
from wheelslip.keyvalue.model import KeyValueUnavailable, RangeResult, WatchBatch
from wheelslip.platform.registry import PlatformRegistry
from wheelslip.registry.registry import Registry

BOUNDS = BoundsSection()


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class ScriptedStore:
    """A store with scripted calls; after the last one it ends the task.

    :param calls: duration of each call in seconds, and whether it is answered.
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
    """Relay lease of a node that is no relay and follows none."""

    def node_to_follow(self):
        return None

    def token(self):
        return None


def synchronize(calls) -> Registry:
    """Return the view of a node with peers after the given calls to the store."""
    clock = Clock()
    registry = Registry(PlatformRegistry(), lambda: BOUNDS, clock)
    store = ScriptedStore(calls, clock)
    sync = RegistrySync(store, registry, clock, random.Random(1), relay=NoRelay())
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(sync.run())
    return registry


def test_failed_call_after_a_pause_without_calls_is_no_outage():
    # The listing takes 2.06 s, which is the age of the view when the next call is sent.
    registry = synchronize([(2.06, True), (0.035, False), (0.6, True)])
    assert registry.health.outage_at is None


def test_two_resets_after_a_pause_without_calls_are_no_outage():
    registry = synchronize([(2.06, True), (0.035, False), (0.45, False), (0.6, True)])
    assert registry.health.outage_at is None


def test_calls_refused_for_seconds_are_an_outage():
    registry = synchronize([(0.6, True), *[(0.4, False)] * 8, (0.6, True)])
    assert registry.health.outage_at == pytest.approx(103.4)


def test_calls_unanswered_for_seconds_are_an_outage():
    registry = synchronize([(0.6, True), (2.1, False), (2.1, False), (0.6, True)])
    assert registry.health.outage_at == pytest.approx(102.7)
