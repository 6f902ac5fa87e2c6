"""HTTP servers for callers, readiness checks and metrics."""

import asyncio
import socket
from collections.abc import Callable

from wheelslip.deployment import CallerLimits
from wheelslip.errors import ErrorKind, WheelslipError
from wheelslip.forwarding.caller_connection import CallerConnection, ReceivedRequest
from wheelslip.forwarding.forwarder import Forwarder
from wheelslip.forwarding.metrics import ForwardingMetrics
from wheelslip.memory.connection_memory import ConnectionMemory
from wheelslip.memory.node_memory import NodeMemory
from wheelslip.registry.registry import Registry

BACKLOG = 512
SWEEP_SECONDS = 1.0
SEND_BUFFER_BYTES = 256 * 1024
"""Send buffer of a caller's socket, which the kernel would enlarge to 4 MB. The account does not
count it, but it is memory of the machine. Links of 100 Mbit/s need 62 KB at a delay of 5 ms."""

INTERNAL_MEMORY_BYTES = 8_000_000
"""Size of the account of each server for requests that are not forwarded. Their callers belong to
the operators; the longest response, the metrics, has a few KB."""

READY_AGE_SHARE = 0.55
"""Maximum age of the registry view of a ready node, as a share of the key revocation bound."""


class CallerServer:
    """Accepts callers' connections and passes their requests to the forwarder.

    :ivar memory: account of the bytes held for callers.
    :ivar stopping: responses ask callers to close the connection.
    :ivar refuses_new: new requests are rejected.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        registry: Registry,
        clock: Callable[[], float],
        memory: NodeMemory,
    ):
        self.memory = memory
        self.clock = clock
        self.stopping = False
        self.refuses_new = False
        self._forwarder = forwarder
        self._registry = registry
        self._connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None

    def limits(self) -> CallerLimits:
        """Return the limits in force."""
        configuration = self._registry.configuration
        return configuration.limits if configuration else CallerLimits()

    def open_memory(self, connection: CallerConnection) -> ConnectionMemory:
        """Return the memory holder of a new connection."""
        return self.memory.open(connection)

    def connection_opened(self, connection: CallerConnection) -> None:
        """Register a connection."""
        self._connections.add(connection)

    def connection_closed(self, connection: CallerConnection) -> None:
        """Unregister a connection."""
        self._connections.discard(connection)

    async def handle(self, request: ReceivedRequest, connection: CallerConnection) -> None:
        """Answer a request, with an error if the node is stopping."""
        if self.refuses_new:
            error = WheelslipError(ErrorKind.NODE_STOPPING, "the node is stopping", 0.05)
            self._forwarder.refuse(error, request, connection)
            return
        await self._forwarder.handle(request, connection)

    async def listen(self, host: str, port: int) -> None:
        """Start to accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=BACKLOG
        )
        for listener in self._server.sockets:
            # Accepted sockets inherit the option.
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)

    @property
    def busy(self) -> int:
        """Number of in-flight requests."""
        return sum(connection.busy for connection in self._connections)

    @property
    def unfinished(self) -> int:
        """Number of in-flight requests and of responses that callers have not taken completely."""
        return sum(connection.unfinished for connection in self._connections)

    async def sweep(self) -> None:
        """Close connections that exceed their idle or header timeout; runs until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.memory.refresh_size()
            now = self.clock()
            for connection in list(self._connections):
                connection.check_timeouts(now)

    def close_idle(self) -> None:
        """Close connections without a request in progress."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def abort(self) -> None:
        """Abort all connections, also those with a request in progress."""
        for connection in list(self._connections):
            connection.abort()

    def close(self) -> None:
        """Stop accepting connections and close idle ones."""
        if self._server is not None:
            self._server.close()
        self.close_idle()


class InternalServer:
    """Base class of the servers for requests that are not forwarded, one per address."""

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.stopping = False
        self._memory = NodeMemory(lambda: INTERNAL_MEMORY_BYTES, clock)
        self._server: asyncio.Server | None = None

    def limits(self) -> CallerLimits:
        """Return the default limits."""
        return CallerLimits()

    def open_memory(self, connection: CallerConnection) -> ConnectionMemory:
        """Return the memory holder of a new connection."""
        return self._memory.open(connection)

    def connection_opened(self, connection: CallerConnection) -> None:
        """Do nothing; connections are not tracked on this server."""

    def connection_closed(self, connection: CallerConnection) -> None:
        """Do nothing; connections are not tracked on this server."""

    async def listen(self, host: str, port: int) -> None:
        """Start to accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: CallerConnection(self), host, port)

    def close(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()


class ReadinessServer(InternalServer):
    """Reports whether this node accepts new connections, as status 200 or 503 on any path."""

    def __init__(self, is_ready: Callable[[], bool], clock: Callable[[], float]):
        super().__init__(clock)
        self._is_ready = is_ready

    async def handle(self, request: ReceivedRequest, connection: CallerConnection) -> None:
        """Answer a readiness check."""
        connection.write_head(200 if self._is_ready() else 503, [(b"Content-Length", b"0")])
        connection.write_end()


class MetricsServer(InternalServer):
    """Serves all metrics in text format on any path."""

    def __init__(self, metrics: ForwardingMetrics, clock: Callable[[], float]):
        super().__init__(clock)
        self._metrics = metrics

    async def handle(self, request: ReceivedRequest, connection: CallerConnection) -> None:
        """Answer with the current metrics."""
        body = self._metrics.exposition()
        headers = [
            (b"Content-Type", b"text/plain; version=0.0.4"),
            (b"Content-Length", b"%d" % len(body)),
        ]
        connection.write_head(200, headers)
        connection.write_body(body)
        connection.write_end()
