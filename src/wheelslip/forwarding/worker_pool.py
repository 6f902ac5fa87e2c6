"""Pool of idle connections to workers, by worker incarnation."""

import asyncio
from collections.abc import Callable

from wheelslip.deployment import Incarnation, ResponseMetadata, WorkerInfo
from wheelslip.forwarding.http_client import HttpConnection, PeerUnreachable, connect
from wheelslip.tunnels.direct_paths import DirectPaths

IDLE_MARGIN_SECONDS = 0.7
"""Idle connections are not used this long before their worker closes them, since a request that
is sent while the worker closes the connection may or may not be executed."""

DEFAULT_IDLE_SECONDS = 0.25
"""Idle time for workers that announce no keep-alive timeout."""

SWEEP_SECONDS = 1.0


class WorkerPool:
    """Connections that are each acquired by one request at a time.

    :param paths: records which workers this node reaches.
    :ivar opened: number of connections opened since this node started.
    """

    def __init__(self, clock: Callable[[], float], paths: DirectPaths):
        self._paths = paths
        self._clock = clock
        self._idle: dict[Incarnation, list[tuple[float, HttpConnection]]] = {}
        self.opened = 0

    async def acquire(self, worker: WorkerInfo) -> HttpConnection:
        """Return an idle connection to a worker, or a new one.

        :raises PeerUnreachable: if a new connection cannot be established.
        """
        idle = self._idle.get(worker.id, [])
        now = self._clock()
        while idle:
            usable_until, connection = idle.pop()
            if connection.open and now < usable_until:
                return connection
            connection.close()
        self.opened += 1
        return await self._connect(worker)

    async def _connect(self, worker: WorkerInfo) -> HttpConnection:
        try:
            connection = await connect(worker.address)
        except PeerUnreachable as error:
            self._paths.record_failed(worker, str(error))
            raise
        self._paths.record_connected(worker)
        return connection

    def idle_workers(self) -> frozenset[Incarnation]:
        """Return the workers to which there is a usable idle connection."""
        now = self._clock()
        return frozenset(
            worker_id
            for worker_id, idle in self._idle.items()
            if any(conn.open and now < usable_until for usable_until, conn in idle)
        )

    def release(
        self, worker: WorkerInfo, connection: HttpConnection, metadata: ResponseMetadata
    ) -> None:
        """Return a connection to the pool after a complete response, or close it."""
        if metadata.closes_connection or not connection.reusable:
            connection.close()
            return
        keep_alive = metadata.keep_alive_seconds
        seconds = DEFAULT_IDLE_SECONDS if keep_alive is None else keep_alive - IDLE_MARGIN_SECONDS
        if seconds <= 0:
            connection.close()
            return
        connection.make_ready()
        self._idle.setdefault(worker.id, []).append((self._clock() + seconds, connection))

    def close_idle(self, worker_id: Incarnation) -> None:
        """Close the idle connections to a removed worker."""
        for _, connection in self._idle.pop(worker_id, []):
            connection.close()

    async def sweep(self) -> None:
        """Close expired idle connections periodically, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            now = self._clock()
            for worker_id, idle in list(self._idle.items()):
                usable = []
                for usable_until, connection in idle:
                    if connection.open and now < usable_until:
                        usable.append((usable_until, connection))
                    else:
                        connection.close()
                self._idle[worker_id] = usable

    def close(self) -> None:
        """Close all idle connections."""
        for worker_id in list(self._idle):
            self.close_idle(worker_id)
