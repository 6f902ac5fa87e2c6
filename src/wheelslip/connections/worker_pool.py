"""Pool of idle connections to workers, by worker incarnation."""

import asyncio
from collections.abc import Callable

from wheelslip.connections.http_client import HttpConnection, PeerLost, PeerReset, PeerSilent
from wheelslip.deployment import Incarnation, ResponseMetadata, WorkerInfo
from wheelslip.tunnels.connector import WorkerConnector
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
    :param connector: opens new connections.
    """

    def __init__(self, clock: Callable[[], float], paths: DirectPaths, connector: WorkerConnector):
        self._paths = paths
        self._connector = connector
        self._clock = clock
        self._idle: dict[Incarnation, list[tuple[float, HttpConnection]]] = {}

    async def acquire(self, worker: WorkerInfo, request_id: str = "") -> HttpConnection:
        """Return an idle connection to a worker, or a new one.

        :raises PeerUnreachable: if a new connection cannot be established.
        """
        idle = self._idle.get(worker.id, [])
        while idle:
            usable_until, connection = idle.pop()
            if connection.via and self._is_retry_due(worker):
                # The tunnel stays idle while a direct connection is tried again.
                idle.append((usable_until, connection))
                break
            if not self._is_usable(worker, connection) or self._clock() >= usable_until:
                connection.close()
            elif await self._connector.reopen(connection, worker, request_id):
                return connection
        return await self._connector.connect(worker, request_id)

    def _is_retry_due(self, worker: WorkerInfo) -> bool:
        return self._paths.lacks(worker.id) and self._paths.may_retry(worker.id)

    def _is_usable(self, worker: WorkerInfo, connection: HttpConnection) -> bool:
        """Return whether an idle connection is open and the preferred way to its worker."""
        if not connection.open:
            return False
        if connection.via:
            return self._paths.lacks(worker.id)
        return not self._paths.distrusts_open_connections(worker.id)

    def record_lost(self, worker: WorkerInfo, connection: HttpConnection, error: PeerLost) -> bool:
        """Record that a connection was lost during a request.

        :return: whether the path of this node is the cause, as far as is known, and not the worker.
        """
        if connection.via:
            return error.path_lost
        if isinstance(error, PeerSilent):
            self._paths.record_failed(worker, str(error), hangs=True)
        return isinstance(error, (PeerSilent, PeerReset)) and self._paths.lacks(worker.id)

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
