"""Graceful shutdown: running requests finish, and new ones are refused."""

import contextlib
import threading
import time
from collections.abc import Iterator

LAME_DUCK_SECONDS = 1.0
"""Delay between failing ``/readyz`` and refusing requests, so that callers can switch nodes."""


class StopState:
    """Tracks running requests and the progress of a graceful shutdown.

    :ivar stopping: whether a stop was requested; ``/readyz`` fails then.
    :ivar refuses_new: whether new requests are refused, as not run.
    """

    def __init__(self):
        self.stopping = False
        self.refuses_new = False
        self._running = 0
        self._changed = threading.Condition()

    @contextlib.contextmanager
    def running_request(self) -> Iterator[None]:
        """Return a context manager that counts one running request."""
        with self._changed:
            self._running += 1
        try:
            yield
        finally:
            with self._changed:
                self._running -= 1
                self._changed.notify_all()

    def drain(self, deadline: float) -> int:
        """Refuse new requests after the lame-duck period and wait for the running ones.

        :param deadline: on the monotonic clock.
        :return: number of requests still running at the deadline.
        """
        self.stopping = True
        time.sleep(min(LAME_DUCK_SECONDS, max(0.0, deadline - time.monotonic())))
        self.refuses_new = True
        with self._changed:
            self._changed.wait_for(
                lambda: self._running == 0, max(0.0, deadline - time.monotonic())
            )
            return self._running
