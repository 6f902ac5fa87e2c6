"""Kept connections to workers, by worker incarnation."""

import asyncio
from collections.abc import Callable

from wheelslip.deployment import Incarnation, ResponseMetadata, WorkerInfo
from wheelslip.forwarding.http_client import HttpConnection, connect

IDLE_MARGIN_SECONDS = 0.7
"""A connection is not used in the last part of the time for which its worker keeps it: a
request that crosses the worker's close may have run."""

DEFAULT_IDLE_SECONDS = 0.25
"""For workers that do not tell how long they keep idle connections."""

SWEEP_SECONDS = 1.0


class WorkerPool:
    """Lends connections to one request at a time."""

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._idle: dict[Incarnation, list[tuple[float, HttpConnection]]] = {}
        self.opened = 0

    async def acquire(self, worker: WorkerInfo) -> HttpConnection:
        """Return an idle connection to a worker, or a new one.

        :raises PeerUnreachable: when none comes up.
        """
        idle = self._idle.get(worker.id, [])
        now = self._clock()
        while idle:
            usable_until, connection = idle.pop()
            if connection.open and now < usable_until:
                return connection
            connection.close()
        self.opened += 1
        return await connect(worker.address)

    def idle_workers(self) -> frozenset[Incarnation]:
        """Return the workers to which an idle connection may be used now."""
        now = self._clock()
        return frozenset(
            worker_id
            for worker_id, idle in self._idle.items()
            if any(conn.open and now < usable_until for usable_until, conn in idle)
        )

    def release(
        self, worker: WorkerInfo, connection: HttpConnection, answer: ResponseMetadata
    ) -> None:
        """Take a connection back after a whole answer, or close it."""
        if answer.closes_connection or not connection.reusable:
            connection.close()
            return
        kept = answer.keep_alive_seconds
        seconds = DEFAULT_IDLE_SECONDS if kept is None else kept - IDLE_MARGIN_SECONDS
        if seconds <= 0:
            connection.close()
            return
        connection.make_ready()
        self._idle.setdefault(worker.id, []).append((self._clock() + seconds, connection))

    def forget(self, worker_id: Incarnation) -> None:
        """Close what is kept to a worker that is gone."""
        for _, connection in self._idle.pop(worker_id, []):
            connection.close()

    async def sweep(self) -> None:
        """Close idle connections that are past their time, for ever."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            now = self._clock()
            for worker_id, idle in list(self._idle.items()):
                kept = []
                for usable_until, connection in idle:
                    if connection.open and now < usable_until:
                        kept.append((usable_until, connection))
                    else:
                        connection.close()
                self._idle[worker_id] = kept

    def close(self) -> None:
        """Close all idle connections."""
        for worker_id in list(self._idle):
            self.forget(worker_id)
