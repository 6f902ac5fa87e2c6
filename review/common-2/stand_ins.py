"""A plain worker with answers of any size, and clients with kept connections."""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass

from harness import Record, request_bytes

SEND_BYTES = 65_536


class LargeAnswerWorker:
    """Sound plain worker; the path tells the size of the answer: ``/plain/SIZE``.

    :ivar runs: ids of the requests that it began to run, in order.
    :ivar completed: ids of the requests of which it has handed out the whole answer.
    """

    def __init__(self, worker_id: str, record: Record, pause_seconds: float = 0.0):
        self.id = worker_id
        self._record = record
        self._pause_seconds = pause_seconds
        self.runs: list[str] = []
        self.completed: list[str] = []
        self.address = ""

    async def start(self) -> None:
        """Start to listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await self._answer(await reader.readuntil(b"\r\n\r\n"), reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, head: bytes, reader, writer) -> None:
        lines = head.split(b"\r\n")
        pairs = (line.partition(b": ") for line in lines[1:] if line)
        fields = {name.lower(): value.decode() for name, _, value in pairs}
        await reader.readexactly(int(fields.get(b"content-length", "0")))
        request_id = fields.get(b"wheelslip-request-id", "")
        named = f"Wheelslip-Request-Id: {request_id}\r\nWheelslip-Instance-Id: {self.id}\r\n"
        if fields.get(b"wheelslip-expect-instance", self.id) != self.id or not request_id:
            status = "421 Misdirected" if request_id else "400 Bad Request"
            not_run = "Wheelslip-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            writer.write(f"HTTP/1.1 {status}\r\n{named}{not_run}".encode())
            return
        self.runs.append(request_id)
        self._record.write(f"worker {self.id} runs {request_id}")
        size = int(lines[0].split()[1].rpartition(b"/")[2])
        writer.write(
            (
                f"HTTP/1.1 200 OK\r\n{named}Wheelslip-Response-Signature: {self.id}.{request_id}\r\n"
                f"Keep-Alive: timeout=5\r\nContent-Length: {size}\r\n\r\n"
            ).encode()
        )
        for sent in range(0, size, SEND_BYTES):
            writer.write(b"a" * min(SEND_BYTES, size - sent))
            await writer.drain()
            if self._pause_seconds:
                await asyncio.sleep(self._pause_seconds)
        self.completed.append(request_id)
        self._record.write(f"worker {self.id} has sent all of its answer to {request_id}")


@dataclass
class Outcome:
    """What a client has seen of one request.

    :ivar status: 0 if the connection ended before a status line.
    :ivar expected: length of the body that the answer names.
    """

    request_id: str
    status: int = 0
    received: int = 0
    expected: int = 0
    error: str = ""

    @property
    def complete(self) -> bool:
        """Whether a whole answer was received."""
        return self.status != 0 and self.received == self.expected

    def __str__(self) -> str:
        text = f"{self.request_id}: status {self.status or 'none'}, "
        return text + f"{self.received} of {self.expected} bytes of the body {self.error}"


class Client:
    """A client with one connection, which it keeps."""

    def __init__(self, address: str, record: Record):
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._record = record

    async def connect(self, receive_buffer_bytes: int = 0) -> None:
        """Open the connection."""
        self._socket = socket.socket()
        if receive_buffer_bytes:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        self._socket.setblocking(False)
        await asyncio.get_running_loop().sock_connect(self._socket, (self._host, self._port))

    async def request(
        self,
        path: str,
        request_id: str,
        deadline_ms: int,
        piece_bytes: int = SEND_BYTES,
        pause_seconds: float = 0.0,
        on_head: Callable[[], None] = lambda: None,
    ) -> Outcome:
        """Send a request, read the answer and return what was seen of it."""
        loop = asyncio.get_running_loop()
        outcome = Outcome(request_id)
        data = b""
        try:
            request = request_bytes(path, request_id, Wheelslip_Deadline_Ms=deadline_ms)
            await loop.sock_sendall(self._socket, request)
            self._record.write(f"client sent {request_id}")
            async with asyncio.timeout(deadline_ms / 1000):
                while not outcome.complete:
                    piece = await loop.sock_recv(self._socket, piece_bytes)
                    if not piece:
                        outcome.error = "(the node closed the connection)"
                        break
                    if outcome.status:
                        outcome.received += len(piece)
                    else:
                        data += piece
                        if b"\r\n\r\n" in data:
                            self._read_head(data, outcome)
                            on_head()
                    if pause_seconds:
                        await asyncio.sleep(pause_seconds)
        except TimeoutError:
            outcome.error = "(the deadline passed)"
        except OSError as error:
            outcome.error = f"({error!r})"
        self._record.write(str(outcome))
        return outcome

    @staticmethod
    def _read_head(data: bytes, outcome: Outcome) -> None:
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        outcome.status = int(lines[0].split()[1])
        outcome.received = len(body)
        for line in lines[1:]:
            name, _, value = line.partition(b":")
            if name.strip().lower() == b"content-length":
                outcome.expected = int(value)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()
