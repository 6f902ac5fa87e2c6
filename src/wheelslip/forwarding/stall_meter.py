"""Measurement of stalls of the event loop.

After a stall, a call may time out although its response has arrived, since the event loop runs the
expired timer before it reads the response. Such a timeout is no evidence against the called service.
Only the longest stall matters: between short ones the event loop reads the received data.
"""

import asyncio

TICK_SECONDS = 0.1
"""Interval of the timer whose delay is measured."""


class StallMeter:
    """Context manager that measures the longest stall of the event loop in its block."""

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self._longest_stall = 0.0
        self._due_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> "StallMeter":
        """Start the measurement."""
        self._schedule()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop the measurement."""
        self._timer.cancel()

    def seconds(self) -> float:
        """Return the duration of the longest stall so far."""
        return max(self._longest_stall, self._current_stall())

    def _current_stall(self) -> float:
        return max(0.0, self._loop.time() - self._due_at)

    def _schedule(self) -> None:
        self._due_at = self._loop.time() + TICK_SECONDS
        self._timer = self._loop.call_at(self._due_at, self._on_timer)

    def _on_timer(self) -> None:
        self._longest_stall = self.seconds()
        self._schedule()
