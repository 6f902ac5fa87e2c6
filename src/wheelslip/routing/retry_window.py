"""Retry budget over a sliding window of this node's own traffic."""

from collections import deque

NODE_RATIO_SHARE = 0.7
"""Fraction of the allowed ratio that a node uses. The windows of the nodes are not aligned, and the
margin keeps their sum below the ratio."""

START_RATIO_SHARE = 1.0 - NODE_RATIO_SHARE
"""Fraction of the allowed ratio that a node uses in its first window. It does not know the retries
of the process before it, which may have used the other fraction within the same window."""


class RetryWindow:
    """Allows retries as a share of the first attempts within the window.

    There is no reserve, since the reserves of many nodes would add up.

    :param ratio: allowed retries per first attempt, over all nodes.
    """

    def __init__(self, ratio: float, window_seconds: float):
        self._ratio = ratio
        self._window = window_seconds
        self._started_at: float | None = None
        self._first_attempts: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_first_attempt(self, now: float) -> None:
        """Record the first attempt of a request."""
        if self._started_at is None:
            self._started_at = now
        self._first_attempts.append(now)
        self._expire(now)

    def take_retry(self, now: float) -> bool:
        """Record a retry if the budget allows one; return whether it does."""
        self._expire(now)
        if len(self._retries) + 1 > self._ratio_at(now) * len(self._first_attempts):
            return False
        self._retries.append(now)
        return True

    def _ratio_at(self, now: float) -> float:
        is_first_window = self._started_at is None or now < self._started_at + self._window
        return self._ratio * (START_RATIO_SHARE if is_first_window else NODE_RATIO_SHARE)

    def _expire(self, now: float) -> None:
        for times in (self._first_attempts, self._retries):
            while times and times[0] < now - self._window:
                times.popleft()
