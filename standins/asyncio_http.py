"""A small HTTP server on asyncio and h11 for stand-ins that must misbehave byte by byte."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qs

import h11


@dataclass(frozen=True)
class StandInRequest:
    """One request; header names are in lower case."""

    method: str
    path: str
    target: bytes
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class Exchange:
    """One connection of a stand-in; answers are written whole, in parts or as raw bytes."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._reader = reader
        self._writer = writer
        self._parser = h11.Connection(h11.SERVER)
        self.closed = asyncio.Event()
        self._reading: asyncio.Task | None = None

    async def read_request(self) -> StandInRequest | None:
        """Return the next request, or ``None`` at the end of the connection."""
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
                return _request(head, bytes(body))
            else:
                return None

    def watch_for_close(self) -> None:
        """Set :attr:`closed` when the peer closes while its request is being worked on."""
        self._reading = asyncio.get_running_loop().create_task(self._until_closed())

    async def _until_closed(self) -> None:
        with contextlib.suppress(OSError):
            data = await self._reader.read(65536)
            if data:
                self._parser.receive_data(data)
                return
        self.closed.set()

    async def stop_watching(self) -> None:
        """End the watch for the peer's close."""
        if self._reading is not None and not self._reading.done():
            self._reading.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._reading
        self._reading = None

    def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Write the head of an answer."""
        encoded = [(name.encode(), value.encode()) for name, value in headers]
        self.raw(self._parser.send(h11.Response(status_code=status, headers=encoded)))

    def data(self, body: bytes) -> None:
        """Write part of a body."""
        self.raw(self._parser.send(h11.Data(data=body)))

    def end(self) -> None:
        """End an answer."""
        self.raw(self._parser.send(h11.EndOfMessage()))

    def answer(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        """Write a whole answer."""
        self.start(status, [*headers, ("Content-Length", str(len(body)))])
        if body:
            self.data(body)
        self.end()

    def raw(self, data: bytes | None) -> None:
        """Write bytes as they are."""
        if data:
            self._writer.write(data)

    def reset(self) -> None:
        """Break the connection off."""
        self._writer.transport.abort()

    def close(self) -> None:
        """Close the connection in an orderly way."""
        self._writer.close()

    @property
    def reusable(self) -> bool:
        """Whether another request may come."""
        return self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE

    def next_cycle(self) -> None:
        """Prepare for the next request."""
        self._parser.start_next_cycle()


def _request(head: h11.Request, body: bytes) -> StandInRequest:
    path, _, query = head.target.decode("latin-1").partition("?")
    return StandInRequest(
        head.method.decode(),
        path,
        head.target,
        {name: values[0] for name, values in parse_qs(query, keep_blank_values=True).items()},
        {name.decode(): value.decode("latin-1") for name, value in head.headers},
        body,
    )


Handler = Callable[[StandInRequest, Exchange], Awaitable[None]]


class StandInServer:
    """Serves a handler on a loopback port."""

    def __init__(self, handler: Handler):
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._exchanges: set[Exchange] = set()
        self.address = ""
        self.silent = False
        self.connections = 0

    async def start(self, port: int = 0) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, bound = self._server.sockets[0].getsockname()
        self.address = f"{host}:{bound}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        exchange = Exchange(reader, writer)
        self._exchanges.add(exchange)
        self.connections += 1
        try:
            while (request := await exchange.read_request()) is not None:
                if self.silent:
                    await asyncio.Event().wait()
                await self._handler(request, exchange)
                if not exchange.reusable:
                    break
                exchange.next_cycle()
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            pass
        finally:
            self._exchanges.discard(exchange)
            with contextlib.suppress(RuntimeError):
                writer.close()

    def reset_all(self) -> None:
        """Break all connections off."""
        for exchange in list(self._exchanges):
            exchange.reset()

    async def stop(self) -> None:
        """End: nothing listens any more and all connections break."""
        self._server.close()
        self.reset_all()
