"""Rate of arrivals of each order class that has lasted for some time.

The waiting requests of a burst are known. That it repeats is not, so its arrivals are not expected to
go on.
"""

import math
from collections import Counter, deque
from collections.abc import Callable

from wheelslip.routing.queue.waiting_request import OrderClass

WINDOW_SECONDS = 1.0
"""Length of the windows in which arrivals are counted."""

WINDOWS = 3
"""Number of complete windows in each of which a class must have arrived. A burst that is shorter than
a window falls into two of them at most."""


class LastingArrivals:
    """Arrivals of requests that wait or start, counted by order class in consecutive windows."""

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._window = self._current_window()
        self._counts = deque([Counter()], maxlen=WINDOWS + 1)

    def record(self, key: OrderClass) -> None:
        """Count an arrival."""
        self._advance()
        self._counts[-1][key] += 1

    def rate_before(self, key: OrderClass) -> float:
        """Return the arrivals per second of all classes that start before one."""
        self._advance()
        if len(self._counts) <= WINDOWS:
            return 0.0
        *complete, _ = self._counts
        lasting = (
            min(counts[other] for counts in complete) for other in complete[0] if other < key
        )
        return sum(lasting) / WINDOW_SECONDS

    def _current_window(self) -> int:
        return math.floor(self._clock() / WINDOW_SECONDS)

    def _advance(self) -> None:
        window = self._current_window()
        for _ in range(min(window - self._window, WINDOWS + 1)):
            self._counts.append(Counter())
        self._window = window
