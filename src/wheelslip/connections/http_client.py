"""HTTP/1.1 client connections to workers and the store, on asyncio and h11."""

import asyncio
import contextlib
import socket
import threading
from collections.abc import Callable
from typing import TypeVar

import h11

from wheelslip.connections.incomplete_data import IncompleteData
from wheelslip.deployment import Headers
from wheelslip.memory.account import READ_BYTES
from wheelslip.memory.connection_memory import ConnectionMemory

ProtocolT = TypeVar("ProtocolT", bound=asyncio.BaseProtocol)

CONNECT_TIMEOUT_SECONDS = 0.6
"""Shorter than the first retransmission of a lost SYN packet, which takes 1 s."""

TCP_USER_TIMEOUT_MILLISECONDS = 2200
"""Time after which the kernel closes a connection whose peer acknowledges no data. It also decides
when keep-alive probes give up, whatever their number: at the first one due after this time. Sound
workers may be silent for more than a second."""

KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_PROBES = 2
"""Applies only where the system has no ``TCP_USER_TIMEOUT``."""

MAX_HEAD_BYTES = 64 * 1024
MAX_INFORMATIONAL_RESPONSES = 8
"""Number of informational responses to one request after which no final one is expected."""

MAX_BUFFERED_BYTES = 256 * 1024
"""Unread bytes of a response above which reading from the socket is paused."""

MAX_STORE_RESPONSE_BYTES = 8 * 1024 * 1024
"""Maximum size of the body of a response of the store, whose pages have about 1 MB."""

MAX_SKIPPED_BYTES = 256 * 1024
"""Maximum size of the body of a response to another request, which is skipped."""

SEPARATE_BODY_BYTES = 64 * 1024
"""Size from which a body is written separately: joining it to the head would copy it."""


class PeerUnreachable(Exception):
    """Raised when a connection cannot be established; nothing was sent."""


class PeerRefused(PeerUnreachable):
    """Raised when a connection is refused because nothing listens at the address."""


class PeerUnanswered(PeerUnreachable):
    """Raised when there is no reply to an attempt to connect."""


class PeerLost(Exception):
    """Raised when a connection ends before the response is complete.

    :ivar silent: whether the peer stopped acknowledging data.
    :ivar endless: whether the peer sent more data than a response may have.
    :ivar path_lost: whether a node between this one and the peer failed.
    """

    silent = False
    endless = False
    path_lost = False


class PeerReset(PeerLost):
    """Raised when a connection is reset."""


class PeerSilent(PeerLost):
    """Raised when a connection ends because the peer does not acknowledge data."""

    silent = True


class PeerProtocolError(PeerLost):
    """Raised when the peer sends data that is not a valid HTTP response."""


class PeerEndless(PeerProtocolError):
    """Raised when the data of a peer exceeds a bound without completing a response."""

    endless = True


def set_liveness_options(connection: socket.socket) -> None:
    """Let the kernel close a connection whose peer no longer responds."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    with contextlib.suppress(OSError):
        options = (
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_SECONDS),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MILLISECONDS),
        )
        for level, option, value in options:
            connection.setsockopt(level, option, value)


_read_buffers = threading.local()
"""Receive buffer of each thread. The parser copies the data before the next read."""


def read_buffer() -> memoryview:
    """Return the receive buffer of this thread; its content is valid until the next read."""
    try:
        return _read_buffers.view
    except AttributeError:
        _read_buffers.view = memoryview(bytearray(READ_BYTES))
        return _read_buffers.view


class HttpConnection(asyncio.BufferedProtocol):
    """Connection that carries one request at a time.

    A connection is not reused after data that belongs to no request: data received while no request
    is in flight, or after a complete response.

    :ivar memory: account of the request in flight; ``None`` if its data is not counted.
    :ivar via: address of the node through which the connection is tunneled; empty if it is direct.
    :ivar born: start of the worker process to which the connection leads, in Unix milliseconds; 0 if
        that has not been checked.
    """

    via = ""
    born = 0

    def __init__(self):
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._transport: asyncio.Transport | None = None
        self._data_waiter: asyncio.Future | None = None
        self._error: Exception | None = None
        self._closed = False
        self._busy = False
        self._has_unsolicited_data = False
        self._buffered = 0
        self._buffer_full = False
        self._memory_full = False
        self.memory: ConnectionMemory | None = None
        self._request: h11.Request | None = None
        self._incomplete = IncompleteData()

    # Callbacks of asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and set the liveness options of the socket."""
        self._transport = transport
        transport.set_write_buffer_limits(high=0)
        set_liveness_options(transport.get_extra_info("socket"))

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read, which limits its size."""
        return read_buffer()

    def buffer_updated(self, count: int) -> None:
        """Process data of a response; close the connection if no request is in flight."""
        self._receive(read_buffer()[:count])

    def _receive(self, data: memoryview) -> None:
        if not self._busy:
            self._has_unsolicited_data = True
            self.close()
            return
        self._buffered += len(data)
        if self._buffered > MAX_BUFFERED_BYTES:
            self.pause()
        if self.memory is not None:
            self.memory.add_unread(self, len(data))
        self._feed(data)

    def set_memory_pause(self, paused: bool) -> None:
        """Pause or resume reading because of the node's memory."""
        self._memory_full = paused
        self._apply_pauses()

    def _apply_pauses(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        # Both calls do nothing if reading is paused or not paused already.
        if self._buffer_full or self._memory_full:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def resume_writing(self) -> None:
        """Record that the peer has taken the request."""
        if self.memory is not None:
            self.memory.set_unsent(self._transport.get_write_buffer_size())

    def eof_received(self) -> bool:
        """Process the end of the peer's data."""
        self._closed = True
        self._feed(b"")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection is closed, and the error if the peer did not end it."""
        if not self._closed:
            error_class = PeerSilent if isinstance(exc, TimeoutError) else PeerReset
            self._error = error_class(f"connection reset: {exc!r}")
        self._closed = True
        self._notify_waiter()

    def _feed(self, data: bytes | memoryview) -> None:
        try:
            self._parser.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError) as error:
            self._error = PeerProtocolError(str(error))
        self._notify_waiter()

    def _notify_waiter(self) -> None:
        if self._data_waiter is not None and not self._data_waiter.done():
            self._data_waiter.set_result(None)

    # Requests and responses

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent after a complete response."""
        return (
            not self._closed
            and self._error is None
            and not self._has_unsolicited_data
            and self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
            and self._parser.trailing_data == (b"", False)
            and self._transport.get_write_buffer_size() == 0
        )

    def make_ready(self) -> None:
        """Prepare a reusable connection for its next request."""
        self._parser.start_next_cycle()
        self._busy = False
        # An idle connection is read, so that its end is noticed.
        self._resume()

    def use_memory(self, memory: ConnectionMemory) -> None:
        """Count the data of the next request and its response, until :meth:`leave_memory`."""
        self.memory = memory
        memory.attach(self)

    def leave_memory(self) -> None:
        """Stop counting after the end of a request."""
        if self.memory is not None:
            self.memory.detach(self)
            self.memory = None

    @property
    def open(self) -> bool:
        """Whether an idle connection can still be used."""
        return not self._closed and not self._has_unsolicited_data and self._error is None

    def send(self, method: str, target: bytes, headers: Headers, body: bytes) -> None:
        """Send a request with its complete body.

        :raises PeerLost: if the connection is closed.
        """
        if self._closed or self._transport is None or self._transport.is_closing():
            raise PeerLost("connection already closed")
        self._busy = True
        self._request = h11.Request(method=method, target=target, headers=headers)
        head = self._parser.send(self._request)
        if len(body) > SEPARATE_BODY_BYTES:
            self._write(head, self._body_bytes(body))
        else:
            self._write(head + self._body_bytes(body))
        if self.memory is not None:
            self.memory.set_unsent(self._transport.get_write_buffer_size())

    def _write(self, *parts: bytes) -> None:
        for part in parts:
            self._transport.write(part)

    def _body_bytes(self, body: bytes) -> bytes:
        data = self._parser.send(h11.Data(data=body)) if body else b""
        return data + self._parser.send(h11.EndOfMessage())

    async def next_event(self) -> h11.Response | h11.Data | h11.EndOfMessage:
        """Return the next part of the response; informational responses are skipped.

        :raises PeerLost: if the connection ends before the response is complete, or if its data
            completes no further part.
        """
        informational = 0
        self._incomplete.clear()
        while True:
            event = self._parse()
            if event is h11.NEED_DATA:
                if self._error is not None:
                    raise self._error
                if self._closed:
                    raise PeerLost("connection ended before the response was complete")
                await self._wait_for_data()
                self._require_progress()
            elif isinstance(event, h11.InformationalResponse):
                informational += 1
                if informational > MAX_INFORMATIONAL_RESPONSES:
                    raise self._fail(PeerEndless("too many informational responses"))
            elif isinstance(event, (h11.Response, h11.Data, h11.EndOfMessage)):
                return event
            else:
                raise PeerLost("connection closed before the response was complete")

    def _parse(self):
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            raise self._fail(PeerProtocolError(str(error))) from error

    def _require_progress(self) -> None:
        """Check data that was received, before it is parsed.

        :raises PeerEndless: if data has arrived for too long without completing a part.
        """
        # The parser limits the bytes of an incomplete part.
        if self._incomplete.add(0, asyncio.get_running_loop().time()):
            raise self._fail(PeerEndless("a part of the response does not end"))

    def _fail(self, error: PeerProtocolError) -> PeerProtocolError:
        self._error = error
        return error

    def pause(self) -> None:
        """Stop reading from the socket until more data is waited for."""
        self._buffer_full = True
        self._apply_pauses()

    def _resume(self) -> None:
        if self._buffer_full:
            self._buffer_full = False
            self._apply_pauses()

    async def _wait_for_data(self) -> None:
        self._resume()
        self._buffered = 0
        if self.memory is not None:
            self.memory.clear_unread()
        self._data_waiter = asyncio.get_running_loop().create_future()
        try:
            await self._data_waiter
        finally:
            self._data_waiter = None

    async def skip_foreign_response(self) -> None:
        """Continue with the next response after one to another request, whose head was read.

        :raises PeerLost: if the connection ends with that response, or if it is too long.
        """
        skipped = 0
        while isinstance(event := await self.next_event(), h11.Data):
            skipped += len(event.data)
            if skipped > MAX_SKIPPED_BYTES:
                raise self._fail(PeerEndless("response to another request does not end"))
        if self._parser.their_state is not h11.DONE:
            raise PeerLost("connection ended after a response to another request")
        trailing_data, closed = self._parser.trailing_data
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        # The request has been sent already; this only sets the state of the new parser.
        self._parser.send(self._request)
        with contextlib.suppress(h11.LocalProtocolError):
            self._parser.send(h11.EndOfMessage())
        if trailing_data:
            self._feed(trailing_data)
        if closed:
            self._feed(b"")

    def close(self) -> None:
        """Abort the connection without flushing buffered data."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()


async def open_connection(
    address: str, factory: Callable[[], ProtocolT], timeout_seconds: float
) -> ProtocolT:
    """Open a connection and return its protocol.

    :param address: ``IP:PORT``.
    :raises PeerRefused: if the connection is refused.
    :raises PeerUnanswered: if there is no reply within the timeout.
    :raises PeerUnreachable: if it cannot be established.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_seconds):
            _, protocol = await loop.create_connection(factory, host, int(port))
    except ConnectionRefusedError as error:
        raise PeerRefused(f"{address}: {error!r}") from error
    except TimeoutError as error:
        raise PeerUnanswered(f"{address}: {error!r}") from error
    except OSError as error:
        raise PeerUnreachable(f"{address}: {error!r}") from error
    return protocol


async def connect(address: str, timeout_seconds: float = CONNECT_TIMEOUT_SECONDS) -> HttpConnection:
    """Open an HTTP connection; see :func:`open_connection`."""
    return await open_connection(address, HttpConnection, timeout_seconds)


async def read_response(
    connection: HttpConnection, max_body_bytes: int = MAX_STORE_RESPONSE_BYTES
) -> tuple[h11.Response, bytes]:
    """Return the head and the complete body of one response.

    :raises PeerLost: if the connection ends before the response is complete, or if its body is
        longer than allowed.
    """
    response = await connection.next_event()
    body = bytearray()
    while True:
        event = await connection.next_event()
        if isinstance(event, h11.EndOfMessage):
            return response, bytes(body)
        body += event.data
        del event
        if len(body) > max_body_bytes:
            raise PeerEndless(f"response body of more than {max_body_bytes} bytes")
