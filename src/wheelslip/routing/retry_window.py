"""Retry budget over a sliding window of this node's own traffic."""

from collections import deque

NODE_RATIO_SHARE = 0.7
"""Fraction of the allowed ratio that a node uses. The windows of the nodes are not aligned, and the
margin keeps their sum below the ratio."""


class RetryWindow:
    """Allows retries as a share of the first attempts within the window.

    There is no reserve, since the reserves of many nodes would add up.

    :param ratio: allowed retries per first attempt, over all nodes.
    :ivar service: name of the service to which the requests go.
    """

    def __init__(self, service: str, ratio: float, window_seconds: float):
        self.service = service
        self._ratio = ratio * NODE_RATIO_SHARE
        self._window = window_seconds
        self._first_attempts: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_first_attempt(self, now: float) -> None:
        """Record the first attempt of a request."""
        self._first_attempts.append(now)
        self._expire(now)

    def take_retry(self, now: float) -> bool:
        """Record a retry if the budget allows one; return whether it does."""
        self._expire(now)
        if len(self._retries) + 1 > self._ratio * len(self._first_attempts):
            return False
        self._retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self._first_attempts, self._retries):
            while times and times[0] < now - self._window:
                times.popleft()
