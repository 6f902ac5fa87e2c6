"""A machine was suspended, and its node went on as if no time had passed.

Python's monotonic clock stands still meanwhile; what the node held by it was older than it believed:
a lease that had run out, keys that had been taken away, a deadline that had passed. The clock of the
product counts that time, and so do the timers of its event loop.
"""

import asyncio
import time

import pytest

from wheelslip.clocks import SteadyEventLoop, steady_seconds


class Suspension:
    """Lets the clock that counts suspension run ahead of the monotonic one."""

    def __init__(self):
        self.seconds = 0.0
        self._gettime = time.clock_gettime

    def __call__(self, clock: int) -> float:
        ahead = self.seconds if clock == time.CLOCK_BOOTTIME else 0.0
        return self._gettime(clock) + ahead


@pytest.fixture
def suspension(monkeypatch):
    one = Suspension()
    monkeypatch.setattr(time, "clock_gettime", one)
    return one


def test_the_steady_clock_counts_suspension(suspension):
    before, monotonic = steady_seconds(), time.monotonic()
    suspension.seconds = 50.0
    assert steady_seconds() - before >= 50.0
    assert time.monotonic() - monotonic < 50.0


def test_timers_that_fell_due_in_a_suspension_run_at_the_next_wake_in_their_order(suspension):
    ran = []

    async def wait():
        loop = asyncio.get_running_loop()
        loop.call_later(40.0, ran.append, "second")
        loop.call_later(30.0, ran.append, "first")
        loop.call_later(90.0, ran.append, "not yet")
        suspension.seconds = 50.0
        await asyncio.sleep(0.01)
        await asyncio.sleep(0.01)

    with asyncio.Runner(loop_factory=SteadyEventLoop) as runner:
        runner.run(wait())
    assert ran == ["first", "second"]


def test_a_timeout_that_passed_in_a_suspension_has_passed(suspension):
    async def wait():
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(30.0):
                suspension.seconds = 50.0
                for _ in range(1000):
                    await asyncio.sleep(0.01)

    with asyncio.Runner(loop_factory=SteadyEventLoop) as runner:
        runner.run(wait())
