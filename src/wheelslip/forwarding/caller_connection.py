"""Server side of a caller's HTTP/1.1 connection, one request at a time."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import h11

from wheelslip.deployment import CallerLimits, Headers
from wheelslip.errors import ErrorKind, WheelslipError
from wheelslip.events import LogEvent, log_event
from wheelslip.forwarding.answers import error_response, reason_phrase

DEFAULT_LIMITS = CallerLimits()


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

    def reserve_bytes(self, count: int) -> bool:
        """Reserve memory for request bodies; a negative count releases it.

        :return: ``False`` if the memory limit would be exceeded.
        """

    def connection_opened(self, connection: "CallerConnection") -> None:
        """Register a connection."""

    def connection_closed(self, connection: "CallerConnection") -> None:
        """Unregister a connection."""

    async def handle(self, request: ReceivedRequest, connection: "CallerConnection") -> None:
        """Answer a request."""


class CallerConnection(asyncio.Protocol):
    """Reads requests and writes responses, one at a time.

    The task that handles a request is cancelled when the caller disconnects.
    """

    def __init__(self, owner: ConnectionOwner):
        self._owner = owner
        limit = owner.limits().max_header_bytes
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limit)
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._head_received_at = 0.0
        self._body = bytearray()
        self._task: asyncio.Task | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._closed = False
        self._reserved_bytes = 0
        self._waiting_since = owner.clock()
        self._receiving = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection with the server."""
        self._transport = transport
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

    def eof_received(self) -> bool:
        """Treat a half-closed connection as a disconnect."""
        self._disconnect()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request and unregister the connection."""
        self._disconnect()
        self._release_bytes()
        self._owner.connection_closed(self)

    def pause_writing(self) -> None:
        """Suspend the response while the caller reads slower than it is written."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Resume the response."""
        self._writable.set()

    def _disconnect(self) -> None:
        self._closed = True
        self._writable.set()
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
        self._head_received_at = self._owner.clock()
        names = [name for name, _ in head.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            self._reject(
                ErrorKind.INVALID_REQUEST,
                "content-length: not allowed together with transfer-encoding",
            )
            return False
        for name, value in head.headers:
            too_long = name == b"content-length" and int(value) > self._max_body()
            if too_long:
                self._reject(ErrorKind.BODY_TOO_LARGE, f"body: longer than {self._max_body()}")
                return False
        return True

    def _process_body(self, data: bytes) -> bool:
        if not self._owner.reserve_bytes(len(data)):
            self._reject(ErrorKind.QUEUE_FULL, "memory limit of buffered request bodies exceeded")
            return False
        self._reserved_bytes += len(data)
        self._body += data
        if len(self._body) > self._max_body():
            self._reject(ErrorKind.BODY_TOO_LARGE, f"body: longer than {self._max_body()}")
            return False
        return True

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
        self.close_gracefully()

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
            self._release_bytes()
            self._finish_request()

    def _release_bytes(self) -> None:
        self._owner.reserve_bytes(-self._reserved_bytes)
        self._reserved_bytes = 0

    def _finish_request(self) -> None:
        if self._closed:
            self._transport.abort()
            return
        if self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE:
            self._parser.start_next_cycle()
            self._waiting_since = self._owner.clock()
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

    async def drain(self) -> None:
        """Wait until the write buffer is below its high-water mark."""
        await self._writable.wait()

    @property
    def response_started(self) -> bool:
        """Whether the response head has been written."""
        return self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    @property
    def busy(self) -> bool:
        """Whether a request is in progress."""
        return self._task is not None

    def _write(self, data: bytes | None) -> None:
        if data and not self._closed:
            self._transport.write(data)

    def abort(self) -> None:
        """Abort the connection, so that a partial response is recognizably incomplete."""
        self._closed = True
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
