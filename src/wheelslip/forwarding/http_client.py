"""HTTP/1.1 connections to workers and to the store, on asyncio with h11's strict framing."""

import asyncio
import contextlib
import socket

import h11

from wheelslip.deployment import Headers

CONNECT_SECONDS = 0.6
"""A connection within a region is up in a few milliseconds; a lost opening packet is sent
again after a second, so waiting longer than this is worth less than another worker."""

UNACKNOWLEDGED_MILLISECONDS = 1500
"""The kernel gives a peer up that has not acknowledged data for this long."""

KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_PROBES = 2

MAX_HEAD_BYTES = 64 * 1024
PAUSE_READING_BYTES = 256 * 1024
"""Bytes of an answer that wait for a slow reader before the peer is held up."""


class PeerUnreachable(Exception):
    """No connection came up; nothing was sent."""


class PeerRefused(PeerUnreachable):
    """Nothing listens at the address."""


class PeerLost(Exception):
    """The connection ended or broke before the answer was whole.

    :ivar silent: the peer did not even acknowledge what was sent.
    """

    silent = False


class PeerSilent(PeerLost):
    """The peer did not acknowledge what was sent."""

    silent = True


class PeerFault(PeerLost):
    """The peer sent bytes that are no answer in the protocol."""


def set_liveness_options(connection: socket.socket) -> None:
    """Have the kernel end a connection whose peer has fallen silent."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    with contextlib.suppress(OSError):
        options = (
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_SECONDS),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS),
        )
        for level, option, value in options:
            connection.setsockopt(level, option, value)


class HttpConnection(asyncio.Protocol):
    """One connection that carries one request at a time.

    Bytes that come while no request is waiting, or after a whole answer, belong to no
    request: the connection is never used again.
    """

    def __init__(self):
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future | None = None
        self._lost: Exception | None = None
        self._ended = False
        self._busy = False
        self._tainted = False
        self._buffered = 0
        self._request: h11.Request | None = None

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport and set the socket's liveness options."""
        self._transport = transport
        set_liveness_options(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Take bytes of the answer."""
        if not self._busy:
            self._tainted = True
            self.close()
            return
        self._buffered += len(data)
        if self._buffered > PAUSE_READING_BYTES:
            self._transport.pause_reading()
        self._feed(data)

    def eof_received(self) -> bool:
        """Take the orderly end of the connection."""
        self._ended = True
        self._feed(b"")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the end of the connection, orderly or not."""
        if not self._ended:
            kind = PeerSilent if isinstance(exc, TimeoutError) else PeerLost
            self._lost = kind(f"connection reset: {exc!r}")
        self._ended = True
        self._wake()

    def _feed(self, data: bytes) -> None:
        try:
            self._parser.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError) as error:
            self._lost = PeerFault(str(error))
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    # Use

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return (
            not self._ended
            and self._lost is None
            and not self._tainted
            and self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
            and self._parser.trailing_data == (b"", False)
            and self._transport.get_write_buffer_size() == 0
        )

    def make_ready(self) -> None:
        """Prepare a reusable connection for its next request."""
        self._parser.start_next_cycle()
        self._busy = False

    @property
    def open(self) -> bool:
        """Whether an idle connection is still usable."""
        return not self._ended and not self._tainted and self._lost is None

    def send(self, method: str, target: bytes, headers: Headers, body: bytes) -> None:
        """Send a whole request.

        :raises PeerLost: when the connection has ended.
        """
        if self._ended or self._transport is None or self._transport.is_closing():
            raise PeerLost("connection already closed")
        self._busy = True
        self._request = h11.Request(method=method, target=target, headers=headers)
        self._transport.write(self._parser.send(self._request) + self._body_bytes(body))

    def _body_bytes(self, body: bytes) -> bytes:
        data = self._parser.send(h11.Data(data=body)) if body else b""
        return data + self._parser.send(h11.EndOfMessage())

    async def next_event(self) -> h11.Response | h11.Data | h11.EndOfMessage:
        """Return the next part of the answer; informational answers are passed over.

        :raises PeerLost: when the answer cannot become whole.
        """
        while True:
            event = self._parse()
            if event is h11.NEED_DATA:
                if self._lost is not None:
                    raise self._lost
                if self._ended:
                    raise PeerLost("connection ended before the answer was whole")
                await self._wait()
            elif isinstance(event, h11.InformationalResponse):
                continue
            elif isinstance(event, (h11.Response, h11.Data, h11.EndOfMessage)):
                return event
            else:
                raise PeerLost("connection closed before the answer was whole")

    def _parse(self):
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            self._lost = PeerFault(str(error))
            raise self._lost from error

    async def _wait(self) -> None:
        if self._buffered > PAUSE_READING_BYTES and not self._transport.is_closing():
            self._transport.resume_reading()
        self._buffered = 0
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def skip_foreign_answer(self) -> None:
        """After a whole answer to another request, go on to the next in the same place.

        :raises PeerLost: when the connection ended with that answer.
        """
        if self._parser.their_state is not h11.DONE:
            raise PeerLost("connection ended after an answer to another request")
        rest, closed = self._parser.trailing_data
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        # The request is already on the wire; the new parser only has to know of it.
        self._parser.send(self._request)
        with contextlib.suppress(h11.LocalProtocolError):
            self._parser.send(h11.EndOfMessage())
        if rest:
            self._feed(rest)
        if closed:
            self._feed(b"")

    def close(self) -> None:
        """End the connection at once, with a reset where bytes are still unread."""
        self._ended = True
        if self._transport is not None:
            self._transport.abort()


async def connect(address: str, timeout_seconds: float = CONNECT_SECONDS) -> HttpConnection:
    """Open a connection.

    :param address: ``IP:PORT``.
    :raises PeerRefused: when nothing listens there.
    :raises PeerUnreachable: when it does not come up in time.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_seconds):
            _, connection = await loop.create_connection(HttpConnection, host, int(port))
    except ConnectionRefusedError as error:
        raise PeerRefused(f"{address}: {error!r}") from error
    except (OSError, TimeoutError) as error:
        raise PeerUnreachable(f"{address}: {error!r}") from error
    return connection


async def read_whole(connection: HttpConnection) -> tuple[h11.Response, bytes]:
    """Read one answer to its end.

    :raises PeerLost: when it does not become whole.
    """
    response = await connection.next_event()
    body = bytearray()
    while True:
        event = await connection.next_event()
        if isinstance(event, h11.EndOfMessage):
            return response, bytes(body)
        body += event.data
