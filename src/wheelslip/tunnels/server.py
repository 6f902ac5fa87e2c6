"""Tunnels that this node serves: connections of other nodes, spliced to connections to workers.

Only direct connections are spliced, so a request passes through at most one other node.
"""

import asyncio
from collections.abc import Callable

from wheelslip.connections.http_client import (
    PeerUnreachable,
    read_buffer,
    set_liveness_options,
)
from wheelslip.deployment import WorkerInfo
from wheelslip.documents import DocumentError, decode_document
from wheelslip.events import LogBudget, LogEvent, log_event
from wheelslip.memory.account import READ_BYTES
from wheelslip.memory.node_memory import NodeMemory
from wheelslip.registry.registry import Registry
from wheelslip.tunnels.direct_connection import connect_directly
from wheelslip.tunnels.direct_paths import DirectPaths
from wheelslip.tunnels.frames import (
    CLOSED_FRAME,
    LOST_FRAME,
    FrameDecoder,
    TunnelControl,
    TunnelData,
    encode_data,
)
from wheelslip.tunnels.messages import TunnelIdle, TunnelOpen, TunnelReply, TunnelStatus
from wheelslip.wire import FrameError, encode_frame

WORKER_CONNECT_SECONDS = 0.4

TUNNEL_BYTES = 2 * READ_BYTES
"""Bytes counted for each tunnel: what is buffered in both directions."""

LOG_LINES_PER_SECOND = 50.0


class TunnelServer:
    """Serves the tunnels of other nodes.

    :param peers: returns some other nodes that may serve tunnels.
    :ivar stopping: no further requests are accepted.
    :ivar served: number of requests accepted since the start.
    :ivar refused: number of requests not accepted.
    """

    def __init__(
        self,
        registry: Registry,
        paths: DirectPaths,
        memory: NodeMemory,
        peers: Callable[[], list[str]],
        clock: Callable[[], float],
    ):
        self.registry = registry
        self.paths = paths
        self.memory = memory
        self.peers = peers
        self.stopping = False
        self.served = 0
        self.refused = 0
        self.tunnels: set[_ServedTunnel] = set()
        self._log = LogBudget(LOG_LINES_PER_SECOND, clock)

    @property
    def busy(self) -> int:
        """Number of tunnels with a request in progress."""
        return sum(tunnel.busy for tunnel in self.tunnels)

    def gauges(self) -> dict[str, Callable[[], float]]:
        """Return the gauges by name."""
        return {
            "tunneled_requests_served": lambda: float(self.served),
            "tunneled_requests_refused": lambda: float(self.refused),
            "tunnels_served": lambda: float(len(self.tunnels)),
        }

    def accept(self, transport: asyncio.Transport, received: bytes) -> None:
        """Serve a connection.

        :param received: bytes received so far.
        """
        tunnel = _ServedTunnel(self)
        transport.set_protocol(tunnel)
        tunnel.connection_made(transport)
        tunnel.receive(received)

    def record_reply(self, request: TunnelOpen, status: TunnelStatus, sender: str) -> None:
        """Count and log the reply to a request."""
        if status is TunnelStatus.OPEN:
            self.served += 1
        else:
            self.refused += 1
        self._log.log(
            LogEvent.TUNNEL_SERVED,
            request=request.request_id,
            incarnation=request.worker,
            peer=sender,
            outcome=status.value,
        )

    def close_idle(self) -> None:
        """Close the tunnels without a request."""
        for tunnel in list(self.tunnels):
            if not tunnel.busy:
                tunnel.close()

    def close(self) -> None:
        """Close all tunnels."""
        for tunnel in list(self.tunnels):
            tunnel.close()


class _ServedTunnel(asyncio.BufferedProtocol):
    """Side of a tunnel towards the node that opened it."""

    def __init__(self, server: TunnelServer):
        self._server = server
        self._decoder = FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._worker: _WorkerSide | None = None
        self._opening: asyncio.Task | None = None
        self._memory = server.memory.open(self)
        self.busy = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the tunnel."""
        self._transport = transport
        transport.set_write_buffer_limits(high=READ_BYTES)
        set_liveness_options(transport.get_extra_info("socket"))
        self._server.tunnels.add(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return read_buffer()

    def buffer_updated(self, count: int) -> None:
        """Process received frames."""
        self._process(read_buffer()[:count])

    def receive(self, data: bytes) -> None:
        """Process frames that were received before this protocol was set."""
        self._process(memoryview(data))

    def _process(self, data: memoryview) -> None:
        try:
            for event in self._decoder.feed(data):
                match event:
                    case TunnelData(data=piece):
                        self._forward(piece)
                    case TunnelControl(payload=payload):
                        self._process_control(payload)
                    case _:
                        raise FrameError("frame of the other direction")
        except DocumentError as exc:
            log_event(LogEvent.PEER_MESSAGE_REFUSED, reason=str(exc))
            self.close()

    def _forward(self, piece: memoryview) -> None:
        if self._worker is None:
            raise FrameError("data before the tunnel is open")
        self._worker.write(bytes(piece))

    def _process_control(self, payload: bytes) -> None:
        message = decode_document(payload, list)
        if message[-1:] == [TunnelIdle().kind]:
            self.busy = False
            return
        if self._opening is not None and not self._opening.done():
            raise FrameError("request before the reply to the previous one")
        request = decode_document(payload, TunnelOpen)
        self._opening = asyncio.get_running_loop().create_task(self._open(request))

    async def _open(self, request: TunnelOpen) -> None:
        status = await self._open_status(request)
        self.busy = status is TunnelStatus.OPEN
        self._server.record_reply(request, status, self.peer_address())
        reply = TunnelReply(status, self._server.peers())
        self._transport.write(encode_frame(reply))
        if not self.busy:
            self._transport.close()

    async def _open_status(self, request: TunnelOpen) -> TunnelStatus:
        server = self._server
        if server.stopping:
            return TunnelStatus.STOPPING
        worker = server.registry.workers.get(request.worker)
        if worker is None or not server.registry.accepts_requests(request.worker):
            return TunnelStatus.NOT_IN_USE
        if self._worker is not None:
            is_same = self._worker.incarnation == request.worker and self._worker.open
            return TunnelStatus.OPEN if is_same else TunnelStatus.NOT_IN_USE
        if server.paths.lacks(request.worker) and not server.paths.may_retry(request.worker):
            return TunnelStatus.NO_PATH
        if not self._memory.add_body(TUNNEL_BYTES, TUNNEL_BYTES):
            return TunnelStatus.FULL
        return await self._connect(worker.info)

    async def _connect(self, worker: WorkerInfo) -> TunnelStatus:
        paths = self._server.paths
        if paths.lacks(worker.id):
            paths.begin_retry(worker.id)
        try:
            self._worker = await connect_directly(
                paths, worker, lambda: _WorkerSide(self, worker), WORKER_CONNECT_SECONDS
            )
        except PeerUnreachable:
            return TunnelStatus.UNREACHABLE
        return TunnelStatus.OPEN

    # Called by the side of the worker

    def write_data(self, data: memoryview) -> None:
        """Write data of the worker."""
        for part in encode_data(bytes(data)):
            self._transport.write(part)

    def end(self, frame: bytes) -> None:
        """Write the end of the worker's data, and close the tunnel when it has been sent."""
        if not self._transport.is_closing():
            self._transport.write(frame)
            self._transport.close()

    def pause_reading(self) -> None:
        """Stop reading while the worker does not take the data."""
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Continue to read."""
        self._transport.resume_reading()

    # Flow control and end of the connection to the node

    def pause_writing(self) -> None:
        """Stop reading from the worker while the node does not take the data."""
        if self._worker is not None:
            self._worker.pause_reading()

    def resume_writing(self) -> None:
        """Continue to read from the worker."""
        if self._worker is not None:
            self._worker.resume_reading()

    def eof_received(self) -> bool:
        """Close the tunnel."""
        self.close()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the connection to the worker, which then drops the request."""
        self._server.tunnels.discard(self)
        self._memory.connection_ended()
        if self._opening is not None:
            self._opening.cancel()
        if self._worker is not None:
            self._worker.abort()

    def close(self) -> None:
        """Close both connections."""
        if self._transport is not None:
            self._transport.abort()

    # Interface of the memory account

    def untaken_bytes(self) -> int:
        """Return the bytes that the node has not taken."""
        return self._transport.get_write_buffer_size()

    def close_for_memory(self) -> None:
        """Close the tunnel."""
        self.close()

    def peer_address(self) -> str:
        """Return the address of the node."""
        host, port, *_ = self._transport.get_extra_info("peername") or ("", 0)
        return f"{host}:{port}"


class _WorkerSide(asyncio.BufferedProtocol):
    """Side of a tunnel towards the worker.

    :ivar open: the connection is open.
    """

    def __init__(self, tunnel: _ServedTunnel, worker: WorkerInfo):
        self.incarnation = worker.id
        self.open = False
        self._tunnel = tunnel
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self._transport = transport
        self.open = True
        transport.set_write_buffer_limits(high=READ_BYTES)
        set_liveness_options(transport.get_extra_info("socket"))

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return read_buffer()

    def buffer_updated(self, count: int) -> None:
        """Pass data on to the node."""
        self._tunnel.write_data(read_buffer()[:count])

    def write(self, data: bytes) -> None:
        """Write data of the node."""
        self._transport.write(data)

    def pause_writing(self) -> None:
        """Stop reading from the node while the worker does not take the data."""
        self._tunnel.pause_reading()

    def resume_writing(self) -> None:
        """Continue to read from the node."""
        self._tunnel.resume_reading()

    def pause_reading(self) -> None:
        """Stop reading from the worker."""
        if self.open:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Continue to read from the worker."""
        if self.open:
            self._transport.resume_reading()

    def eof_received(self) -> bool:
        """Tell the node that the worker has closed the connection."""
        self.open = False
        self._tunnel.end(CLOSED_FRAME)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the node that the connection was lost, unless the worker has closed it."""
        if self.open:
            self.open = False
            self._tunnel.end(LOST_FRAME)

    def abort(self) -> None:
        """Close the connection, dropping what was not sent."""
        self.open = False
        if self._transport is not None:
            self._transport.abort()
