"""Retry budget over a sliding window of this node's own traffic."""

from collections import deque
from collections.abc import Callable

from wheelslip.forwarding_settings import BoundsSection

NODE_RATIO_SHARE = 0.5
"""Fraction of the allowed ratio that a process uses. Its windows end at other times than those of other
nodes and of the process before it, so the retries of one window may depend on the requests of two."""


class RetryWindow:
    """Allows retries as a share of the first attempts within the window.

    A retry is reserved when it is decided and counted when it is sent, which may be much later.
    There is no reserve, since the reserves of many nodes would add up.

    :param bounds: returns the allowed retries per first attempt, over all nodes, and the window.
    :ivar service: name of the service to which the requests go.
    """

    def __init__(self, service: str, bounds: Callable[[], BoundsSection]):
        self.service = service
        self._bounds = bounds
        self._first_attempts: deque[float] = deque()
        self._retries: deque[float] = deque()
        self._reserved = 0

    def record_first_attempt(self, now: float) -> None:
        """Record the first attempt of a request."""
        self._first_attempts.append(now)
        self._expire(now)

    def reserve(self, now: float) -> "Retry | None":
        """Return a retry that may be sent, or ``None`` if the budget allows none."""
        if not self._allows(now, self._reserved + 1):
            return None
        self._reserved += 1
        return Retry(self)

    def spend(self, now: float) -> bool:
        """Count a reserved retry that is about to be sent.

        :return: whether it may be sent; the window may hold fewer first attempts by now.
        """
        self._reserved -= 1
        if not self._allows(now, 1):
            return False
        self._retries.append(now)
        return True

    def release(self) -> None:
        """End the reservation of a retry that is not sent."""
        self._reserved -= 1

    def _allows(self, now: float, more: int) -> bool:
        self._expire(now)
        ratio = self._bounds().retry_ratio * NODE_RATIO_SHARE
        return len(self._retries) + more <= ratio * len(self._first_attempts)

    def _expire(self, now: float) -> None:
        begins_at = now - self._bounds().retry_window_seconds
        for times in (self._first_attempts, self._retries):
            while times and times[0] < begins_at:
                times.popleft()


class Retry:
    """A reserved retry of one request."""

    def __init__(self, window: RetryWindow):
        self._window: RetryWindow | None = window

    def send(self, now: float) -> bool:
        """Count the retry, which is sent now; return whether that is still allowed."""
        window, self._window = self._window, None
        return window is not None and window.spend(now)

    def release(self) -> None:
        """End the reservation, unless the retry was sent."""
        window, self._window = self._window, None
        if window is not None:
            window.release()
