"""Minimal HTTP/1.1 server on asyncio and h11 whose handlers control every byte of a response.

Stand-ins use it to send malformed, incomplete or late responses.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import NamedTuple
from urllib.parse import parse_qs

import h11


@dataclass(frozen=True)
class StandInRequest:
    """A received request.

    :ivar path: decoded as Latin-1, without the query.
    :ivar target: request target as received.
    :ivar query: first value of each query parameter.
    :ivar headers: by lower-case name.
    """

    method: str
    path: str
    target: bytes
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class HeadCut(NamedTuple):
    """Responses that end inside their heads.

    :ivar share: share of the bytes of a head that is sent.
    :ivar resets: whether the connection is reset then, and not closed.
    :ivar whole: number of responses on a connection that are sent completely before.
    :ivar path: start of the path of the requests whose responses are cut.
    """

    share: float
    resets: bool = False
    whole: int = 0
    path: str = ""


class ServerConnection:
    """Server side of one connection.

    Responses are written completely, in parts or as raw bytes.

    :ivar closed: set when the client has closed the connection during a request; see
        :meth:`watch_for_close`.
    :ivar path: of the last request.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        head_cut: Callable[[], HeadCut | None] = lambda: None,
    ):
        self._reader = reader
        self._writer = writer
        self._head_cut = head_cut
        self._heads = 0
        self.path = ""
        self._parser = h11.Connection(h11.SERVER)
        self.closed = asyncio.Event()
        self._close_watch: asyncio.Task | None = None

    async def read_request(self) -> StandInRequest | None:
        """Return the next request, or ``None`` if the connection is closed."""
        head, body = None, bytearray()
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                self._parser.receive_data(await self._reader.read(65536))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                request = _build_request(head, bytes(body))
                self.path = request.path
                return request
            else:
                return None

    def watch_for_close(self) -> None:
        """Start watching the connection; set :attr:`closed` when the client closes it."""
        self._close_watch = asyncio.get_running_loop().create_task(self._wait_for_close())

    async def _wait_for_close(self) -> None:
        with contextlib.suppress(OSError):
            data = await self._reader.read(65536)
            if data:
                self._parser.receive_data(data)
                return
        self.closed.set()

    async def stop_watching(self) -> None:
        """Stop watching for a close by the client."""
        if self._close_watch is not None and not self._close_watch.done():
            self._close_watch.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._close_watch
        self._close_watch = None

    def send_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send the status line and the headers of a response."""
        encoded = [(name.encode(), value.encode()) for name, value in headers]
        self.send_raw_head(self._parser.send(h11.Response(status_code=status, headers=encoded)))

    def send_raw_head(self, head: bytes) -> None:
        """Send the head of a response, or a part of it.

        :raises ConnectionAbortedError: if the connection ends inside the head.
        """
        cut = self._head_cut()
        if cut is None or self._heads < cut.whole or not self.path.startswith(cut.path):
            self._heads += 1
            self.send_raw(head)
            return
        self.send_raw(head[: min(len(head) - 1, int(cut.share * len(head)))])
        if cut.resets:
            self.reset()
        else:
            self.close()
        raise ConnectionAbortedError("the head is cut")

    def send_body(self, body: bytes) -> None:
        """Send a part of the response body."""
        self.send_raw(self._parser.send(h11.Data(data=body)))

    def end_response(self) -> None:
        """Send the end of the response."""
        self.send_raw(self._parser.send(h11.EndOfMessage()))

    def send_response(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        """Send a complete response with a ``Content-Length`` header."""
        self.send_head(status, [*headers, ("Content-Length", str(len(body)))])
        if body:
            self.send_body(body)
        self.end_response()

    def send_raw(self, data: bytes | None) -> None:
        """Send bytes without passing them through the HTTP parser."""
        if data:
            self._writer.write(data)

    async def drain(self) -> None:
        """Wait until the client has taken most of the data sent, or has closed the connection."""
        try:
            await self._writer.drain()
        except ConnectionError:
            self.closed.set()

    def reset(self) -> None:
        """Abort the connection and discard unsent data."""
        self._writer.transport.abort()

    def close(self) -> None:
        """Close the connection after unsent data has been written."""
        self._writer.close()

    @property
    def reusable(self) -> bool:
        """Whether the connection can serve another request."""
        return self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE

    def next_cycle(self) -> None:
        """Reset the parser for the next request."""
        self._parser.start_next_cycle()


def _build_request(head: h11.Request, body: bytes) -> StandInRequest:
    path, _, query = head.target.decode("latin-1").partition("?")
    return StandInRequest(
        head.method.decode(),
        path,
        head.target,
        {name: values[0] for name, values in parse_qs(query, keep_blank_values=True).items()},
        {name.decode(): value.decode("latin-1") for name, value in head.headers},
        body,
    )


Handler = Callable[[StandInRequest, ServerConnection], Awaitable[None]]
"""Handles one request and writes the response to the connection."""


class StandInServer:
    """HTTP server on a loopback port.

    :ivar address: ``HOST:PORT``; empty before the first start.
    :ivar silent: read requests without ever responding to them.
    :ivar head_cut: where responses end inside their heads; ``None`` for complete ones.
    :ivar accepted_connections: number of connections accepted so far.
    :ivar running: it was started and not stopped since.
    """

    def __init__(self, handler: Handler):
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._open_connections: set[ServerConnection] = set()
        self.address = ""
        self.silent = False
        self.head_cut: HeadCut | None = None
        self.accepted_connections = 0
        self.running = False

    async def start(self, port: int = 0) -> None:
        """Start listening.

        :param port: 0 for any free port.
        """
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, bound_port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{bound_port}"
        self.running = True

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = ServerConnection(reader, writer, lambda: self.head_cut)
        self._open_connections.add(connection)
        self.accepted_connections += 1
        try:
            while (request := await connection.read_request()) is not None:
                if self.silent:
                    await asyncio.Event().wait()
                await self._handler(request, connection)
                if not connection.reusable:
                    break
                connection.next_cycle()
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            pass
        finally:
            self._open_connections.discard(connection)
            with contextlib.suppress(RuntimeError):
                writer.close()

    def reset_all(self) -> None:
        """Abort all open connections."""
        for connection in list(self._open_connections):
            connection.reset()

    async def stop(self) -> None:
        """Stop listening and abort all open connections."""
        self.running = False
        self._server.close()
        self.reset_all()
