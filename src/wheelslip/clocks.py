"""A monotonic clock that includes time spent in system suspend, and an event loop that uses it.

:func:`time.monotonic` stops on Linux while the machine is suspended, but leases, keys that expire
and callers' deadlines do not. With this clock, timeouts that passed during a suspension have
expired when the process resumes.
"""

import asyncio
import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""``CLOCK_BOOTTIME`` exists only on Linux; other systems use the monotonic clock."""


def steady_seconds() -> float:
    """Return the seconds since an arbitrary fixed time, including time in system suspend."""
    return time.clock_gettime(_CLOCK)


class SteadyEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers use :func:`steady_seconds`.

    A suspension does not shorten a wait of the loop's selector that is in progress. Timers that
    became due meanwhile run when the loop next wakes; a node's tasks wake it ten times a second.
    """

    def time(self) -> float:
        """Return the time of the clock that timers use."""
        return steady_seconds()
