"""Request and reply between nodes over TCP, encoded as netstrings of JSON."""

import contextlib
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass

from wheelslip.documents import DocumentError, decode_document
from wheelslip.events import LogEvent, log_event
from wheelslip.peers.messages import PeerReply, PeerRequest
from wheelslip.settings import Address
from wheelslip.wire import encode_frame, read_payload

_ACCEPT_POLL_SECONDS = 0.5
_SERVE_TIMEOUT_SECONDS = 2.0


class PeerUnreachable(Exception):
    """Raised when a peer is unreachable, does not reply in time or sends an invalid reply."""


@dataclass
class TrafficCounts:
    """Control traffic counters of a node, in messages and bytes without protocol headers."""

    messages_sent: int = 0
    messages_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0

    def count_sent(self, size: int) -> None:
        """Count a sent message of ``size`` bytes."""
        self.messages_sent += 1
        self.bytes_sent += size

    def count_received(self, size: int) -> None:
        """Count a received message of ``size`` bytes."""
        self.messages_received += 1
        self.bytes_received += size


class PeerCaller:
    """Sends requests to peers, with one connection for each.

    :param source_host: local IP address from which connections are made.
    """

    def __init__(self, source_host: str, traffic: TrafficCounts):
        self._source_host = source_host
        self._traffic = traffic

    def call(self, address: str, request: PeerRequest, timeout_seconds: float) -> PeerReply:
        """Send a request to a peer and return its reply.

        :raises PeerUnreachable: if the connection fails, or no valid reply arrives in time.
        """
        target = Address.parse(address)
        frame = encode_frame(request)
        try:
            with socket.create_connection(
                (target.host, target.port), timeout_seconds, (self._source_host, 0)
            ) as connection:
                connection.sendall(frame)
                self._traffic.count_sent(len(frame))
                payload = read_payload(connection)
                self._traffic.count_received(len(payload))
                return decode_document(payload, PeerReply)
        except (OSError, DocumentError) as error:
            raise PeerUnreachable(f"{address}: {error}") from error


class PeerServer:
    """Accepts requests from peers and serves each in a thread of its own.

    :param handler: returns the reply to a request.
    """

    def __init__(
        self,
        address: str,
        handler: Callable[[PeerRequest], PeerReply],
        traffic: TrafficCounts,
    ):
        listen = Address.parse(address)
        self._handler = handler
        self._traffic = traffic
        self._listener = socket.create_server((listen.host, listen.port), backlog=128)
        self._listener.settimeout(_ACCEPT_POLL_SECONDS)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._accept, name="peer-server", daemon=True)

    def start(self) -> None:
        """Start accepting connections."""
        self._thread.start()

    def stop(self) -> None:
        """Stop accepting connections."""
        self._stopping.set()
        self._thread.join()
        self._listener.close()

    def _accept(self) -> None:
        while not self._stopping.is_set():
            try:
                connection, _ = self._listener.accept()
            except TimeoutError:
                continue
            thread = threading.Thread(target=self._serve, args=(connection,), daemon=True)
            thread.start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            connection.settimeout(_SERVE_TIMEOUT_SECONDS)
            try:
                payload = read_payload(connection)
                request = decode_document(payload, PeerRequest)
            except DocumentError as error:
                log_event(LogEvent.PEER_MESSAGE_REFUSED, reason=str(error))
                return
            self._traffic.count_received(len(payload))
            frame = encode_frame(self._handler(request))
            self._traffic.count_sent(len(frame))
            connection.sendall(frame)
