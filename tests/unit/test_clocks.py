"""The steady clock and the timers of its event loop include time in system suspend, so that leases
and deadlines that passed meanwhile have expired."""

import asyncio
import time

import pytest

from wheelslip.clocks import SteadyEventLoop, steady_seconds


class Suspension:
    """Replaces ``time.clock_gettime`` and advances only the clock that includes suspension."""

    def __init__(self):
        self.seconds = 0.0
        self._gettime = time.clock_gettime

    def __call__(self, clock: int) -> float:
        suspended = self.seconds if clock == time.CLOCK_BOOTTIME else 0.0
        return self._gettime(clock) + suspended


@pytest.fixture
def suspension(monkeypatch):
    suspension = Suspension()
    monkeypatch.setattr(time, "clock_gettime", suspension)
    return suspension


def test_steady_clock_includes_suspension(suspension):
    before, monotonic = steady_seconds(), time.monotonic()
    suspension.seconds = 50.0
    assert steady_seconds() - before >= 50.0
    assert time.monotonic() - monotonic < 50.0


def test_timers_due_in_a_suspension_run_in_order_at_the_next_wake(suspension):
    calls = []

    async def wait():
        loop = asyncio.get_running_loop()
        loop.call_later(40.0, calls.append, "second")
        loop.call_later(30.0, calls.append, "first")
        loop.call_later(90.0, calls.append, "not yet")
        suspension.seconds = 50.0
        await asyncio.sleep(0.01)
        await asyncio.sleep(0.01)

    with asyncio.Runner(loop_factory=SteadyEventLoop) as runner:
        runner.run(wait())
    assert calls == ["first", "second"]


def test_timeout_that_passes_in_a_suspension_expires(suspension):
    async def wait():
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(30.0):
                suspension.seconds = 50.0
                for _ in range(1000):
                    await asyncio.sleep(0.01)

    with asyncio.Runner(loop_factory=SteadyEventLoop) as runner:
        runner.run(wait())
