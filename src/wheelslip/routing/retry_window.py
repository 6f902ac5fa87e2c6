"""Retry budget over a sliding window, from this node's own traffic alone."""

from collections import deque

OWN_SHARE = 0.7
"""Part of the allowed ratio that a node spends: the sum over nodes then stays under the
ratio although the windows of the judge and of each node do not begin together."""


class RetryWindow:
    """Allows repeated sends as a share of first sends in the last seconds.

    It has no reserve: a reserve of each of many nodes together would exceed any fixed sum.
    """

    def __init__(self, ratio: float, window_seconds: float):
        self._ratio = ratio * OWN_SHARE
        self._window = window_seconds
        self._first: deque[float] = deque()
        self._repeated: deque[float] = deque()

    def record_first_attempt(self, now: float) -> None:
        """Count the first send of a request."""
        self._first.append(now)
        self._expire(now)

    def take_retry(self, now: float) -> bool:
        """Count a further send if the budget allows it."""
        self._expire(now)
        if len(self._repeated) + 1 > self._ratio * len(self._first):
            return False
        self._repeated.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self._first, self._repeated):
            while times and times[0] < now - self._window:
                times.popleft()
