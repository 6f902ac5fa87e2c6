"""The longest single stall of the event loop is measured.

A process that is throttled to a share of a processor pauses often and briefly; the sum of these pauses
must not count as a stall.
"""

from collections.abc import Callable

import pytest

from wheelslip.forwarding import stall_meter
from wheelslip.forwarding.registry_sync import STALL_SECONDS
from wheelslip.forwarding.stall_meter import TICK_SECONDS, StallMeter


class Loop:
    """Event loop with one timer and a settable time."""

    def __init__(self):
        self.now = 100.0
        self._callback: Callable[[], None] | None = None

    def time(self) -> float:
        return self.now

    def call_at(self, due: float, callback: Callable[[], None]) -> "Loop":
        self._callback = callback
        return self

    def cancel(self) -> None:
        self._callback = None

    def run_late_by(self, seconds: float) -> None:
        """Run the timer later than it is due."""
        self.now += TICK_SECONDS + seconds
        self._callback()


@pytest.fixture
def loop(monkeypatch):
    fake_loop = Loop()
    monkeypatch.setattr(stall_meter.asyncio, "get_running_loop", lambda: fake_loop)
    return fake_loop


def test_long_stall_is_measured(loop):
    with StallMeter() as stall:
        loop.run_late_by(0.0)
        loop.run_late_by(STALL_SECONDS)
        loop.run_late_by(0.01)
        assert stall.seconds() == pytest.approx(STALL_SECONDS)


def test_stall_is_measured_before_its_timer_runs(loop):
    with StallMeter() as stall:
        loop.now += TICK_SECONDS + STALL_SECONDS
        assert stall.seconds() == pytest.approx(STALL_SECONDS)


def test_short_stalls_do_not_add_up(loop):
    with StallMeter() as stall:
        for _ in range(13):
            loop.run_late_by(0.09)
        assert stall.seconds() == pytest.approx(0.09)
