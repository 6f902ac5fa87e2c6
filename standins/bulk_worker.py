"""Stand-in for a worker that sends large streams without pauses."""

import asyncio
import contextlib
import socket

EVENT_BYTES = 32 * 1024
PLAIN_BYTES = 1_000_000
"""Size of the body of a response that is no stream, to a request whose id starts with "bulk"."""

LARGE_BODY_BYTES = 2_000_000
"""Size from which the body of a request is not read at once."""


class BulkWorker:
    """Stand-in worker that sends large streams without pauses.

    It reads the body of a large request only after ``may_read_bodies`` is set.

    :ivar events: number of events of a stream whose id starts with "bulk"; others have 3.
    :ivar seconds: pause after each event of such a stream.
    :ivar started: ids of the requests whose head it received.
    """

    def __init__(self, events: int, seconds: float = 0.0):
        self.events = events
        self.seconds = seconds
        self.started: list[str] = []
        self.may_read_bodies = asyncio.Event()
        self.address = ""

    async def start(self) -> None:
        """Start to listen on a free port."""
        listener = socket.socket()
        # A small receive buffer, so that unread bodies stay at the node.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        await asyncio.start_server(self._serve, sock=listener, backlog=1024)

    async def _serve(self, reader, writer) -> None:
        # asyncio logs a traceback for each cancelled handler.
        ends = (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError)
        with contextlib.suppress(*ends):
            while True:
                await self._answer(await reader.readuntil(b"\r\n\r\n"), reader, writer)
        writer.close()

    async def _answer(self, head: bytes, reader, writer) -> None:
        lines = [line.partition(b": ") for line in head.split(b"\r\n")[1:]]
        values = {name.lower(): value for name, _, value in lines}
        request_id = values[b"wheelslip-request-id"].decode()
        self.started.append(request_id)
        length = int(values[b"content-length"])
        if length >= LARGE_BODY_BYTES:
            await self.may_read_bodies.wait()
        await reader.readexactly(length)
        fields = (
            f"HTTP/1.1 200 OK\r\nWheelslip-Request-Id: {request_id}\r\n"
            "Wheelslip-Response-Signature: sig\r\nKeep-Alive: timeout=5\r\n"
        ).encode()
        is_bulk = request_id.startswith("bulk")
        if head.startswith(b"POST /plain/"):
            body = b"x" * PLAIN_BYTES if is_bulk else b"ok"
            writer.write(fields + b"Content-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()
            return
        writer.write(fields + b"Transfer-Encoding: chunked\r\n\r\n")
        count = self.events if is_bulk else 3
        for number in range(1, count + 1):
            event = b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_BYTES)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if is_bulk and self.seconds:
                await asyncio.sleep(self.seconds)
        writer.write(b"0\r\n\r\n")
