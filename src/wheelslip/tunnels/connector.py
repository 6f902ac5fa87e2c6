"""Opens connections to workers, directly or through the tunnel of another node.

The ways to a worker are tried one after the other, each a little later than the one before or as
soon as that has failed; the connection that is opened first is used. Until then nothing has been
sent to the worker.
"""

import asyncio
from collections.abc import Callable, Iterator
from typing import NamedTuple

from wheelslip.connections.http_client import (
    CONNECT_TIMEOUT_SECONDS,
    HttpConnection,
    PeerUnreachable,
)
from wheelslip.deployment import WorkerInfo
from wheelslip.events import LogBudget, LogEvent
from wheelslip.tunnels.client import TunnelConnection, TunnelRefused, connect_to_peer
from wheelslip.tunnels.direct_connection import connect_directly
from wheelslip.tunnels.direct_paths import RETRY_SECONDS, DirectPaths
from wheelslip.tunnels.messages import TunnelStatus
from wheelslip.tunnels.peers import PeerFailure, TunnelPeers

DIRECT_HEAD_START_SECONDS = 0.15
"""Time for a direct connection before a tunnel is tried as well."""

RETRY_HEAD_START_SECONDS = 0.02
"""The same for a worker to which this node lacked a path the last time."""

TUNNEL_HEAD_START_SECONDS = 0.1
"""Time for a tunnel before the next one is tried as well."""

MAX_TUNNELS_TRIED = 3

LOG_LINES_PER_SECOND = 50.0


class PathMissing(PeerUnreachable):
    """Raised when this node has no path to a worker, which may be sound; nothing was sent."""


class _Way(NamedTuple):
    """One way to a worker.

    :ivar via: address of the node to tunnel through; empty for a direct connection.
    :ivar head_start: seconds until the next way is tried as well.
    """

    via: str
    head_start: float


class _Race:
    """Attempts to open one connection.

    :ivar tried: nodes that were asked for a tunnel.
    :ivar unreached_by: those of them that could not connect to the worker.
    """

    def __init__(self, worker: WorkerInfo, request_id: str):
        self.worker = worker
        self.request_id = request_id
        self.tried: set[str] = set()
        self.unreached_by: list[str] = []
        self.errors: list[str] = []


class WorkerConnector:
    """Opens connections to workers.

    :param peers: nodes to tunnel through; ``None`` for a node without peers.
    :ivar opened: number of connections opened or attempted.
    """

    def __init__(self, paths: DirectPaths, peers: TunnelPeers | None, clock: Callable[[], float]):
        self._paths = paths
        self._peers = peers
        self._log = LogBudget(LOG_LINES_PER_SECOND, clock)
        self._background: set[asyncio.Task] = set()
        self.opened = 0

    async def connect(self, worker: WorkerInfo, request_id: str = "") -> HttpConnection:
        """Open a connection to a worker.

        :raises PathMissing: if this node lacks a path, and no other node offered one.
        :raises PeerUnreachable: if the worker cannot be reached.
        """
        self.opened += 1
        race = _Race(worker, request_id)
        connection = await self._first_opened(race, self._ways(race))
        if connection is not None:
            if connection.via:
                self._log_tunnel(worker, request_id, connection.via)
            return connection
        reason = "; ".join(race.errors) or f"{worker.address}: no way to it"
        if race.unreached_by:
            self._paths.record_unreached_by_peer(worker.id)
        elif self._paths.lacks(worker.id):
            raise PathMissing(reason)
        raise PeerUnreachable(reason)

    async def reached_by_peer(self, worker: WorkerInfo) -> bool:
        """Return whether another node can connect to a worker."""
        race = _Race(worker, "")
        connection = await self._first_opened(race, self._tunnels(race))
        if connection is None:
            return False
        connection.close()
        return True

    async def probe_while_isolated(self) -> None:
        """Try to reach a worker from time to time while this node is isolated, until cancelled.

        An isolated node may receive no requests, and gives up duties that others may not take.
        """
        while True:
            await asyncio.sleep(RETRY_SECONDS)
            worker = self._paths.due_probe()
            if worker is None:
                continue
            self._paths.begin_retry(worker.id)
            await self._reached_directly(worker)

    def check_path(self, worker: WorkerInfo) -> None:
        """Find out in the background whether this node or the worker failed."""
        task = asyncio.get_running_loop().create_task(self._check_path(worker))
        self._background.add(task)
        task.add_done_callback(self._close_abandoned)

    async def _check_path(self, worker: WorkerInfo) -> None:
        if not await self._reached_directly(worker):
            await self.reached_by_peer(worker)

    async def _reached_directly(self, worker: WorkerInfo) -> bool:
        connection = await self._open_directly(_Race(worker, ""))
        if connection is None:
            return False
        connection.close()
        return True

    def _ways(self, race: _Race) -> Iterator[_Way]:
        paths, incarnation = self._paths, race.worker.id
        if not paths.lacks(incarnation):
            yield _Way("", DIRECT_HEAD_START_SECONDS)
            yield from self._tunnels(race)
            return
        is_retry = paths.may_retry(incarnation)
        if is_retry:
            paths.begin_retry(incarnation)
            yield _Way("", RETRY_HEAD_START_SECONDS)
        yield from self._tunnels(race)
        if not is_retry:
            yield _Way("", 0.0)

    def _tunnels(self, race: _Race) -> Iterator[_Way]:
        for _ in range(MAX_TUNNELS_TRIED if self._peers is not None else 0):
            via = self._peers.choose(race.tried)
            if via is None:
                return
            race.tried.add(via)
            yield _Way(via, TUNNEL_HEAD_START_SECONDS)

    async def _first_opened(self, race: _Race, ways: Iterator[_Way]) -> HttpConnection | None:
        """Try ways to a worker and return the connection that is opened first."""
        running: set[asyncio.Task] = set()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                while True:
                    way = next(ways, None)
                    if way is not None:
                        running.add(asyncio.create_task(self._open(race, way)))
                    if not running:
                        return None
                    done, running = await asyncio.wait(
                        running,
                        timeout=way.head_start if way is not None else None,
                        return_when=asyncio.FIRST_COMPLETED,
                    )
                    opened = [task.result() for task in done if task.result() is not None]
                    for connection in opened[1:]:
                        connection.close()
                    if opened:
                        return opened[0]
        except TimeoutError:
            race.errors.append(f"{race.worker.address}: timed out")
            return None
        finally:
            self._abandon(running)

    def _abandon(self, running: set[asyncio.Task]) -> None:
        """Close the connections of attempts that are no longer needed."""
        for task in running:
            self._background.add(task)
            task.add_done_callback(self._close_abandoned)

    def _close_abandoned(self, task: asyncio.Task) -> None:
        self._background.discard(task)
        if not task.cancelled() and task.result() is not None:
            task.result().close()

    async def _open(self, race: _Race, way: _Way) -> HttpConnection | None:
        if way.via:
            return await self._open_tunnel(race, way.via)
        return await self._open_directly(race)

    async def _open_directly(self, race: _Race) -> HttpConnection | None:
        worker = race.worker
        try:
            return await connect_directly(
                self._paths, worker, HttpConnection, CONNECT_TIMEOUT_SECONDS
            )
        except PeerUnreachable as error:
            race.errors.append(str(error))
            return None

    async def _open_tunnel(self, race: _Race, via: str) -> HttpConnection | None:
        worker, peers = race.worker, self._peers
        connection = None
        try:
            connection = await connect_to_peer(via, lambda: peers.record_closed(via))
            peers.record_opened(via)
            await connection.open_for(worker, race.request_id)
        except TunnelRefused as error:
            race.errors.append(str(error))
            self._record_refused(race, via, error, connection)
            return None
        except asyncio.CancelledError:
            if connection is not None:
                connection.close()
            raise
        self._record_opened(race, via, connection)
        return connection

    def _record_refused(
        self, race: _Race, via: str, error: TunnelRefused, connection: TunnelConnection | None
    ) -> None:
        if error.failure is not None:
            self._peers.record_failed(via, error.failure)
        if error.status is TunnelStatus.UNREACHABLE:
            race.unreached_by.append(via)
        if connection is not None:
            self._peers.record_referrals(connection.peers)
            connection.close()

    def _record_opened(self, race: _Race, via: str, connection: TunnelConnection) -> None:
        for peer in race.unreached_by:
            # That node lacks the path as well.
            self._peers.record_failed(peer, PeerFailure.NO_PATH)
        self._peers.record_referrals(connection.peers)
        self._paths.record_reached_by_peer(race.worker.id)

    def _log_tunnel(self, worker: WorkerInfo, request_id: str, via: str) -> None:
        self._log.log(
            LogEvent.TUNNEL_OPENED,
            request=request_id,
            engine=worker.worker_id,
            incarnation=worker.id,
            peer=via,
        )

    async def reopen(self, connection: HttpConnection, worker: WorkerInfo, request_id: str) -> bool:
        """Return whether an idle connection may carry a request.

        A tunnel is confirmed by its node, and closed if that refuses.
        """
        if not isinstance(connection, TunnelConnection):
            return True
        try:
            await connection.open_for(worker, request_id)
        except TunnelRefused as error:
            if error.failure is not None:
                self._peers.record_failed(connection.via, error.failure)
            connection.close()
            return False
        self._log_tunnel(worker, request_id, connection.via)
        return True

    def close(self) -> None:
        """Cancel the attempts that are still running."""
        for task in list(self._background):
            task.cancel()
