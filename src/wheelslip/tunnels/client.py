"""Connections to workers that are tunneled through another node."""

import asyncio
from collections.abc import Callable

from wheelslip.connections.http_client import (
    HttpConnection,
    PeerLost,
    PeerUnreachable,
    open_connection,
    read_buffer,
)
from wheelslip.deployment import WorkerInfo
from wheelslip.documents import DocumentError, decode_document
from wheelslip.tunnels.frames import FrameDecoder, TunnelControl, TunnelData, TunnelEnd, encode_data
from wheelslip.tunnels.messages import TunnelIdle, TunnelOpen, TunnelReply, TunnelStatus
from wheelslip.tunnels.peers import PeerFailure
from wheelslip.wire import FrameError, encode_frame

PEER_CONNECT_SECONDS = 0.3
REPLY_SECONDS = 0.55
"""Longer than a node takes to find that it cannot connect to a worker."""


class TunnelRefused(Exception):
    """Raised when a node does not open a tunnel; nothing was sent to the worker.

    :ivar failure: why to avoid the node, ``None`` if its reply is about the worker.
    :ivar status: the node's reply, if there was one.
    """

    def __init__(self, failure: PeerFailure | None, status: TunnelStatus | None, message: str):
        super().__init__(message)
        self.failure = failure
        self.status = status


class TunnelLost(PeerLost):
    """Raised when a tunnel ends and its node did not tell that the worker ended the connection."""

    path_lost = True


class TunnelConnection(HttpConnection):
    """Connection to a worker through another node.

    :ivar peers: other nodes that the last reply has named.
    """

    def __init__(self, via: str, on_closed: Callable[[], None]):
        super().__init__()
        self.via = via
        self.peers: list[str] = []
        self._on_closed = on_closed
        self._decoder = FrameDecoder()
        self._reply: asyncio.Future[TunnelReply] | None = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the tunnel has ended."""
        if not self._closed:
            self._end(TunnelLost(f"tunnel through {self.via} ended: {exc!r}"))
        super().connection_lost(exc)
        self._fail_reply()
        self._on_closed()

    def eof_received(self) -> bool:
        """Process the end of the tunnel; the worker's end of data has a frame of its own."""
        if not self._closed:
            self._end(TunnelLost(f"tunnel through {self.via} ended"))
        return False

    def buffer_updated(self, count: int) -> None:
        """Process frames received through the tunnel."""
        try:
            for event in self._decoder.feed(read_buffer()[:count]):
                match event:
                    case TunnelData(data=piece):
                        self._receive(piece)
                    case TunnelControl(payload=payload):
                        self._process_reply(decode_document(payload, TunnelReply))
                    case TunnelEnd.CLOSED:
                        super().eof_received()
                    case TunnelEnd.LOST:
                        self._end(PeerLost(f"connection lost behind {self.via}"))
        except DocumentError as error:
            self._end(TunnelLost(f"tunnel through {self.via}: {error}"))
            self.close()

    def _end(self, error: PeerLost) -> None:
        self._closed = True
        self._error = self._error or error
        self._notify_waiter()

    def _process_reply(self, reply: TunnelReply) -> None:
        if self._reply is None or self._reply.done():
            raise FrameError("reply without a request")
        self._reply.set_result(reply)

    def _fail_reply(self) -> None:
        if self._reply is not None and not self._reply.done():
            # Builds without tunnels close the connection.
            failure = PeerFailure.UNSUPPORTED
            self._reply.set_exception(TunnelRefused(failure, None, f"{self.via} closed it"))

    async def open_for(self, worker: WorkerInfo, request_id: str) -> None:
        """Ask the node for its connection to the worker, before each request.

        :raises TunnelRefused: if the node does not open the tunnel; it is to be closed.
        """
        if self._closed:
            raise TunnelRefused(None, None, "tunnel is closed")
        self._reply = asyncio.get_running_loop().create_future()
        self._transport.write(encode_frame(TunnelOpen(worker.id, request_id)))
        try:
            async with asyncio.timeout(REPLY_SECONDS):
                reply = await self._reply
        except TimeoutError:
            message = f"no reply from {self.via}"
            raise TunnelRefused(PeerFailure.SILENT, None, message) from None
        self.peers = reply.peers
        if reply.status is not TunnelStatus.OPEN:
            failure = _FAILURES.get(reply.status)
            raise TunnelRefused(failure, reply.status, f"{self.via}: {reply.status.value}")

    def make_ready(self) -> None:
        """Prepare the connection for its next request, and tell the node that this one ended."""
        super().make_ready()
        self._transport.write(encode_frame(TunnelIdle()))

    def _write(self, *parts: bytes) -> None:
        super()._write(*encode_data(*parts))


_FAILURES = {
    TunnelStatus.NO_PATH: PeerFailure.NO_PATH,
    TunnelStatus.FULL: PeerFailure.FULL,
    TunnelStatus.STOPPING: PeerFailure.STOPPING,
}


async def connect_to_peer(via: str, on_closed: Callable[[], None]) -> TunnelConnection:
    """Connect to the peer address of another node.

    :raises TunnelRefused: if that is not possible.
    """
    try:
        return await open_connection(
            via, lambda: TunnelConnection(via, on_closed), PEER_CONNECT_SECONDS
        )
    except (PeerUnreachable, ValueError) as error:
        raise TunnelRefused(PeerFailure.SILENT, None, str(error)) from error
