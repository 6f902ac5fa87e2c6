"""The steady clock of the product, and an event loop that runs on it.

Python's monotonic clock stands still while a machine is suspended; leases, keys that are taken away
and callers' deadlines do not. This one counts that time, so that a suspended process is to itself
what a frozen one is: on its next look everything has aged by the time that it missed.
"""

import asyncio
import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Linux has the clock that counts suspension; elsewhere the monotonic one has to do."""


def steady_seconds() -> float:
    """Return the seconds since some moment, time of suspension included; it is never set."""
    return time.clock_gettime(_CLOCK)


class SteadyEventLoop(asyncio.SelectorEventLoop):
    """Timers of this loop are due by the steady clock.

    After a suspension the loop's present wait goes on for what is left of it; whatever wakes the loop
    then has all timers looked at, and a node's tasks wake it ten times a second.
    """

    def time(self) -> float:
        """Return the time by which timers are due."""
        return steady_seconds()
