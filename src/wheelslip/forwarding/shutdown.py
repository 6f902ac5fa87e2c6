"""Graceful shutdown of a forwarding node."""

import asyncio
from collections.abc import Awaitable, Callable

from wheelslip.events import LogEvent, log_event
from wheelslip.forwarding.server import CallerServer
from wheelslip.tunnels.server import TunnelServer

LAME_DUCK_SECONDS = 2.6
"""Time between failing readiness and closing idle connections: two readiness probes a second apart
must fail in between."""

MARGIN_SECONDS = 0.4
"""Part of the grace time that is reserved for closing."""

POLL_SECONDS = 0.05


class GracefulShutdown:
    """Ends the service of a node without cutting off requests or responses, within the grace time.

    :param release_leases: gives up the leases that the node holds.
    :param close: closes all sockets and cancels all tasks.
    """

    def __init__(
        self,
        callers: CallerServer,
        tunnels: TunnelServer,
        release_leases: Callable[[], Awaitable[None]],
        close: Callable[[], None],
        clock: Callable[[], float],
    ):
        self._callers = callers
        self._tunnels = tunnels
        self._release_leases = release_leases
        self._close = close
        self._clock = clock

    async def run(self, grace_seconds: float) -> None:
        """Fail readiness, wait until the running requests have ended, and close."""
        began_at = self._clock()
        deadline = began_at + grace_seconds - MARGIN_SECONDS
        closes_at = min(began_at + LAME_DUCK_SECONDS, deadline)
        log_event(LogEvent.NODE_STOP_REQUESTED, running=self._callers.busy)
        self._callers.stopping = True
        self._tunnels.stopping = True
        releasing = asyncio.ensure_future(self._release_leases())
        await self._drain(closes_at, deadline)
        # Requests that still arrive on open connections would be cut off.
        self._callers.refuses_new = True
        releasing.cancel()
        self._close()
        await asyncio.sleep(POLL_SECONDS)
        log_event(LogEvent.NODE_STOPPED)

    async def _drain(self, closes_at: float, deadline: float) -> None:
        """Wait for the unfinished requests; from ``closes_at`` on, new ones are refused."""
        while self._clock() < closes_at or self._unfinished_requests():
            if self._clock() >= deadline:
                log_event(LogEvent.NODE_STOP_CUT, cut=self._unfinished_requests())
                return
            if self._clock() >= closes_at:
                # New requests might exceed the grace time: refuse them as not executed.
                self._callers.refuses_new = True
                self._callers.close_idle()
                self._tunnels.close_idle()
            await asyncio.sleep(POLL_SECONDS)

    def _unfinished_requests(self) -> int:
        """Return the number of unfinished requests of callers and of other nodes' tunnels."""
        return self._callers.unfinished + self._tunnels.busy
