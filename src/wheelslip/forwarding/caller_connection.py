"""Server side of a caller's HTTP/1.1 connection, one request at a time."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import h11

from wheelslip.deployment import CallerLimits, Headers
from wheelslip.errors import ErrorKind, WheelslipError
from wheelslip.events import LogEvent, log_event
from wheelslip.forwarding.answers import error_response, reason_phrase
from wheelslip.memory.account import MemoryUse, counted_head_bytes
from wheelslip.memory.connection_memory import ConnectionMemory

DEFAULT_LIMITS = CallerLimits()

MAX_PIPELINED_BYTES = 64 * 1024
"""Bytes received during a request above which reading from the caller is paused."""

REJECTED_CLOSE_SECONDS = 1.0
"""Time for which the rest of a rejected request is received and dropped. Closing a socket with
unread data resets the connection, which may destroy the response before the caller has read it."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a closed socket is reset."""


@dataclass(frozen=True)
class ReceivedRequest:
    """A completely received request.

    :ivar arrived: when its head was received, in seconds of the steady clock.
    """

    method: str
    target: bytes
    headers: Headers
    body: bytes
    arrived: float


class ConnectionOwner(Protocol):
    """Interface of the server that owns a connection."""

    clock: Callable[[], float]

    def limits(self) -> CallerLimits:
        """Return the limits in force."""

    @property
    def stopping(self) -> bool:
        """Whether responses ask the caller to close the connection."""

    def open_memory(self, connection: "CallerConnection") -> ConnectionMemory:
        """Return the memory holder of a new connection."""

    def connection_opened(self, connection: "CallerConnection") -> None:
        """Register a connection."""

    def connection_closed(self, connection: "CallerConnection") -> None:
        """Unregister a connection."""

    async def handle(self, request: ReceivedRequest, connection: "CallerConnection") -> None:
        """Answer a request."""


class CallerConnection(asyncio.Protocol):
    """Reads requests and writes responses, one at a time.

    The task that handles a request is cancelled when the caller disconnects.

    :ivar memory: bytes held for this connection.
    """

    def __init__(self, owner: ConnectionOwner):
        self._owner = owner
        limit = owner.limits().max_header_bytes
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limit)
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._head_received_at = 0.0
        self._body = bytearray()
        self._body_length = 0
        self._task: asyncio.Task | None = None
        self._closed = False
        self._pipelined_bytes = 0
        self.memory = owner.open_memory(self)
        self._waiting_since = owner.clock()
        self._receiving = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection with the server."""
        self._transport = transport
        # resume_writing() is called only when the caller has taken everything.
        transport.set_write_buffer_limits(high=0)
        self._owner.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Process received bytes."""
        if self._closed:
            return
        try:
            self._parser.receive_data(data)
        except RuntimeError:
            return
        if self._task is None:
            if not self._receiving:
                self._receiving = True
                self._waiting_since = self._owner.clock()
            self._process_events()
            return
        self._receive_pipelined(len(data))

    def _receive_pipelined(self, count: int) -> None:
        """Count data received during a request, which the parser keeps until it has ended."""
        self._pipelined_bytes += count
        if not self.memory.add_body(count, 0):
            self._disconnect()
            self.abort()
        elif self._pipelined_bytes > MAX_PIPELINED_BYTES:
            self._transport.pause_reading()

    def _continue_pipelined(self) -> None:
        """Process the data received during the last request."""
        self._pipelined_bytes = 0
        self._process_events()
        if self._closed:
            return
        if self._task is not None:
            self._receive_pipelined(len(self._parser.trailing_data[0]))
        if self._pipelined_bytes <= MAX_PIPELINED_BYTES:
            self._transport.resume_reading()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as a disconnect."""
        self._disconnect()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request and unregister the connection."""
        self._disconnect()
        self.memory.connection_ended()
        self._owner.connection_closed(self)

    def resume_writing(self) -> None:
        """Record that the caller has taken all data."""
        self.memory.set_untaken(self._transport.get_write_buffer_size(), 0)

    def untaken_bytes(self) -> int:
        """Return the written bytes that the caller has not taken."""
        return self._transport.get_write_buffer_size()

    def peer_address(self) -> str:
        """Return the address of the caller."""
        host, port, *_ = self._transport.get_extra_info("peername") or ("", 0)
        return f"{host}:{port}"

    def close_for_memory(self) -> None:
        """Close the connection and drop its data.

        A request that was not completely received is rejected. Otherwise the connection is reset,
        which no caller takes for the end of a response, also where a response ends with its
        connection.
        """
        receiving = self._task is None and self._receiving and not self._closed
        if receiving and not self.untaken_bytes():
            self._reject(ErrorKind.MEMORY_FULL, "request body sent too slowly; memory is needed")
            return
        self._disconnect()
        self._reset()

    def _disconnect(self) -> None:
        self._closed = True
        if self._task is not None:
            self._task.cancel()

    def _process_events(self) -> None:
        while self._task is None and not self._closed:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                self._reject_malformed(error)
                return
            if event is h11.NEED_DATA:
                if self._parser.they_are_waiting_for_100_continue:
                    self._write(self._parser.send(_continue_response()))
                return
            if isinstance(event, h11.Request):
                if not self._process_head(event):
                    return
            elif isinstance(event, h11.Data):
                if not self._process_body(event.data):
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._start_request()
                return
            else:
                return

    def _process_head(self, head: h11.Request) -> bool:
        self._head = head
        self._head_received_at = self.memory.receiving_since = self._owner.clock()
        head_bytes = counted_head_bytes(head.headers)
        if head_bytes and not self.memory.add_body(head_bytes, head_bytes):
            self._reject_for_memory()
            return False
        names = [name for name, _ in head.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            self._reject(
                ErrorKind.INVALID_REQUEST,
                "content-length: not allowed together with transfer-encoding",
            )
            return False
        self._body_length = 0
        for name, value in head.headers:
            if name != b"content-length":
                continue
            self._body_length = int(value)
            if self._body_length > self._max_body():
                self._reject(ErrorKind.BODY_TOO_LARGE, f"body: longer than {self._max_body()}")
                return False
            if not self.memory.may_receive(self._body_length):
                self._reject_for_memory()
                return False
        return True

    def _process_body(self, data: bytes) -> bool:
        known_length = max(self._body_length, len(self._body) + len(data))
        if not self.memory.add_body(len(data), known_length):
            self._reject_for_memory()
            return False
        self._body += data
        if len(self._body) > self._max_body():
            self._reject(ErrorKind.BODY_TOO_LARGE, f"body: longer than {self._max_body()}")
            return False
        return True

    def _reject_for_memory(self) -> None:
        self.memory.count_rejection()
        self._reject(ErrorKind.MEMORY_FULL, "memory limit of the node exceeded")

    def _max_body(self) -> int:
        return self._owner.limits().max_body_bytes

    def _reject_malformed(self, error: h11.RemoteProtocolError) -> None:
        kind = ErrorKind.INVALID_REQUEST
        if error.error_status_hint == 431:
            kind = ErrorKind.HEADERS_TOO_LARGE
        self._reject(kind, f"request: {error}")

    def _reject(self, kind: ErrorKind, message: str) -> None:
        """Answer an incompletely received request with an error and close the connection."""
        log_event(LogEvent.REQUEST_REFUSED, outcome=kind.value, reason=message)
        with contextlib.suppress(h11.LocalProtocolError):
            status, headers, body = error_response(WheelslipError(kind, message), None)
            headers.append((b"Connection", b"close"))
            self.write_head(status, headers)
            self.write_body(body)
            self.write_end()
        self._body = bytearray()
        self.memory.request_ended()
        self._close_after_rejection()

    def _close_after_rejection(self) -> None:
        """Close after the rest of the rejected request was received, or after a time limit."""
        self._closed = True
        self._transport.write_eof()
        asyncio.get_running_loop().call_later(REJECTED_CLOSE_SECONDS, self._transport.close)

    def _start_request(self) -> None:
        head = self._head
        request = ReceivedRequest(
            method=head.method.decode("ascii"),
            target=head.target,
            headers=list(head.headers.raw_items()),
            body=bytes(self._body),
            arrived=self._head_received_at,
        )
        self._body = bytearray()
        self._head = None
        self._receiving = False
        self.memory.receiving_since = None
        self._task = asyncio.get_running_loop().create_task(self._run(request))

    async def _run(self, request: ReceivedRequest) -> None:
        try:
            await self._owner.handle(request, self)
        except asyncio.CancelledError:
            if not self._closed:
                raise
        except Exception as error:
            log_event(LogEvent.REQUEST_FAULT, path=request.target.decode(), reason=repr(error))
            self.abort()
        finally:
            self._task = None
            self.memory.request_ended()
            self._finish_request()

    def _finish_request(self) -> None:
        if self._closed:
            self._transport.abort()
            return
        if self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE:
            self._parser.start_next_cycle()
            self._waiting_since = self._owner.clock()
            if self._pipelined_bytes:
                self._continue_pipelined()
            else:
                self._process_events()
        elif self._parser.our_state is h11.MUST_CLOSE:
            self.close_gracefully()
        elif self._parser.our_state is not h11.CLOSED:
            self.abort()

    def write_head(self, status: int, headers: Headers) -> None:
        """Write the status line and headers of a response."""
        if self._owner.stopping and not _has_connection_header(headers):
            headers = [*headers, (b"Connection", b"close")]
        head = h11.Response(status_code=status, headers=headers, reason=reason_phrase(status))
        if 200 <= status < 300:
            head = h11.Response(status_code=status, headers=headers, reason=b"OK")
        self._write(self._parser.send(head))

    def write_body(self, body: bytes) -> None:
        """Write part of the response body."""
        self._write(self._parser.send(h11.Data(data=body)))

    def write_end(self) -> None:
        """Write the end of the response."""
        self._write(self._parser.send(h11.EndOfMessage()))

    @property
    def response_started(self) -> bool:
        """Whether the response head has been written."""
        return self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    @property
    def busy(self) -> bool:
        """Whether a request is in progress."""
        return self._task is not None

    @property
    def unfinished(self) -> bool:
        """Whether a request is in progress, or its caller has not taken all of the response."""
        return self.busy or self._transport.get_write_buffer_size() > 0

    def _write(self, data: bytes | None) -> None:
        if data and not self._closed:
            self._transport.write(data)
            untaken = self._transport.get_write_buffer_size()
            if untaken or self.memory.by_use[MemoryUse.UNTAKEN_RESPONSE]:
                self.memory.set_untaken(untaken, len(data))

    def abort(self) -> None:
        """Abort the connection, so that a partial response is recognizably incomplete."""
        self._closed = True
        if self._parser.our_state is h11.SEND_BODY and self._parser.their_http_version == b"1.0":
            # Such a response ends with its connection, so a normal close would complete it.
            self._reset()
        else:
            # The caller still receives the data that was sent before.
            self._transport.abort()

    def _reset(self) -> None:
        connection = self._transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._transport.abort()

    def close_gracefully(self) -> None:
        """Close the connection after flushing written data."""
        self._closed = True
        self._transport.close()

    def check_timeouts(self, now: float) -> None:
        """Close the connection if the idle or header timeout has passed."""
        if self._task is not None or self._closed:
            return
        limits = self._owner.limits()
        if self._receiving and self._head is None:
            allowed = limits.header_seconds
        else:
            allowed = limits.idle_seconds
        if now - self._waiting_since > allowed:
            self.close_gracefully()

    def close_if_idle(self) -> None:
        """Close the connection if no request is in progress."""
        if self._task is None and not self._receiving:
            self.close_gracefully()


def _continue_response() -> h11.InformationalResponse:
    return h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue")


def _has_connection_header(headers: Headers) -> bool:
    return any(name.lower() == b"connection" for name, _ in headers)
