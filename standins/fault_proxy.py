"""Fault-injecting proxy for TCP connections and UDP datagrams, run in the test process."""

import contextlib
import enum
import queue
import socket
import struct
import threading
import time
from dataclasses import dataclass

_CHUNK_BYTES = 65536
_POLL_SECONDS = 0.1


class Fault(enum.Enum):
    """Faults that a proxy can inject.

    All but ``CROSS`` also affect connections that are already open. Datagrams are forwarded
    under ``PASS`` only.

    - ``PASS``: forward all data.
    - ``REFUSE``: reset connections.
    - ``BLACKHOLE``, ``BLACKHOLE_TO_SERVER``, ``BLACKHOLE_TO_CLIENT``: discard data in both
      directions or in one, and leave connections open.
    - ``LOSE_ANSWER``: forward requests, and reset the connection instead of forwarding the
      response.
    - ``CUT_AFTER_BYTES``: reset a connection after a number of response bytes.
    - ``HALF_CLOSE``: discard the response and close the sending side towards the client.
    - ``CROSS``: accept new connections in pairs and swap their responses.
    """

    PASS = "pass"
    REFUSE = "refuse"
    BLACKHOLE = "blackhole"
    BLACKHOLE_TO_SERVER = "blackhole_to_server"
    BLACKHOLE_TO_CLIENT = "blackhole_to_client"
    LOSE_ANSWER = "lose_answer"
    CUT_AFTER_BYTES = "cut_after_bytes"
    HALF_CLOSE = "half_close"
    CROSS = "cross"


@dataclass
class _Connection:
    """State of one connection: which patterns its latest request contains.

    A request may arrive in several chunks, so a match is retained until the next request
    after a response.

    :ivar matches: whether a chunk of the request contains the proxy's ``match``.
    :ivar exempt: whether a chunk of the request contains the proxy's ``exempt_match``.
    :ivar responded: whether response data has arrived for the request.
    """

    matches: bool = False
    exempt: bool = False
    responded: bool = False

    def record_chunk(self, data: bytes, to_server: bool, match: bytes, exempt_match: bytes) -> None:
        """Update the state for one chunk."""
        if not to_server:
            self.responded = True
            return
        if self.responded:
            self.matches = self.exempt = self.responded = False
        self.matches = self.matches or match in data
        self.exempt = self.exempt or (bool(exempt_match) and exempt_match in data)


class FaultProxy:
    """Proxy from one listening address to one target, with faults that can be set at any time.

    :ivar fault: the fault to inject.
    :ivar delay_seconds: delay of each chunk to the client.
    :ivar cut_bytes: response bytes that ``CUT_AFTER_BYTES`` forwards before the reset.
    :ivar match: ``LOSE_ANSWER`` applies to requests that contain this; empty for all.
    :ivar exempt_match: ``CUT_AFTER_BYTES`` does not apply to requests that contain this; empty
        for no exemption.
    :ivar blocked_sources: source IPs whose datagrams and connection data, in both directions,
        are discarded, as in a network partition.
    :ivar held_sources: source IPs whose data to the server is delayed until they are removed.
    :ivar dropped_responses: number of responses dropped by ``LOSE_ANSWER``.
    :ivar connections: number of accepted connections.
    :ivar swapped_directions: number of connection directions swapped by ``CROSS``, four per pair.
    """

    def __init__(self, listen: tuple[str, int], target: tuple[str, int], udp: bool = False):
        self.fault = Fault.PASS
        self.delay_seconds = 0.0
        self.cut_bytes = 0
        self.match = b""
        self.exempt_match = b""
        self.blocked_sources: set[str] = set()
        self.held_sources: set[str] = set()
        self.dropped_responses = 0
        self.connections = 0
        self.swapped_directions = 0
        self._target = target
        self._unpaired_clients: queue.SimpleQueue[socket.socket] = queue.SimpleQueue()
        self._stopping = threading.Event()
        self._listener = socket.create_server(listen, backlog=256)
        self._listener.settimeout(_POLL_SECONDS)
        host, port = self._listener.getsockname()
        self._address = f"{host}:{port}"
        self._threads = [threading.Thread(target=self._accept, daemon=True)]
        self._datagrams = None
        if udp:
            self._datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self._datagrams.bind(listen)
            self._datagrams.settimeout(_POLL_SECONDS)
            self._threads.append(threading.Thread(target=self._forward_datagrams, daemon=True))
        for thread in self._threads:
            thread.start()

    @property
    def address(self) -> str:
        """The listening address, ``IP:PORT``; also available after :meth:`stop`."""
        return self._address

    def stop(self) -> None:
        """Stop the threads and close the listening sockets."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        self._listener.close()
        if self._datagrams is not None:
            self._datagrams.close()

    def _forward_datagrams(self) -> None:
        while not self._stopping.is_set():
            try:
                data, source = self._datagrams.recvfrom(_CHUNK_BYTES)
            except TimeoutError:
                continue
            except OSError:
                return
            if self.fault is Fault.PASS and source[0] not in self.blocked_sources:
                self._datagrams.sendto(data, self._target)

    def _accept(self) -> None:
        while not self._stopping.is_set():
            try:
                client, source = self._listener.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            self.connections += 1
            if self.fault is Fault.REFUSE:
                _reset(client)
                continue
            if self.fault is Fault.CROSS:
                self._swap_responses(client)
                continue
            threading.Thread(
                target=self._forward_connection, args=(client, source[0]), daemon=True
            ).start()

    def _swap_responses(self, client: socket.socket) -> None:
        """Retain a connection until a second one arrives, then swap the responses of the two."""
        if self._unpaired_clients.empty():
            self._unpaired_clients.put(client)
            return
        other = self._unpaired_clients.get()
        servers = [socket.create_connection(self._target, timeout=2) for _ in range(2)]
        for origin, sink, to_server in (
            (other, servers[0], True),
            (client, servers[1], True),
            (servers[0], client, False),
            (servers[1], other, False),
        ):
            self.swapped_directions += 1
            threading.Thread(
                target=self._forward_stream,
                args=(origin, sink, "", to_server, _Connection()),
                daemon=True,
            ).start()

    def _forward_connection(self, client: socket.socket, source: str) -> None:
        connection = _Connection()
        try:
            server = socket.create_connection(self._target, timeout=2)
        except OSError:
            _reset(client)
            return
        upstream = threading.Thread(
            target=self._forward_stream,
            args=(client, server, source, True, connection),
            daemon=True,
        )
        upstream.start()
        self._forward_stream(server, client, source, False, connection)
        upstream.join()
        client.close()
        server.close()

    def _forward_stream(
        self,
        origin: socket.socket,
        sink: socket.socket,
        source: str,
        to_server: bool,
        connection: "_Connection",
    ) -> None:
        origin.settimeout(_POLL_SECONDS)
        offset = 0
        while not self._stopping.is_set():
            try:
                data = origin.recv(_CHUNK_BYTES)
            except TimeoutError:
                if self.fault is Fault.REFUSE:
                    break
                continue
            except OSError:
                break
            if not data:
                with contextlib.suppress(OSError):
                    sink.shutdown(socket.SHUT_WR)
                return
            connection.record_chunk(data, to_server, self.match, self.exempt_match)
            if not self._forward_chunk(data, sink, source, to_server, offset, connection):
                break
            offset += len(data)
        _reset(origin)
        _reset(sink)

    def _forward_chunk(
        self,
        data: bytes,
        sink: socket.socket,
        source: str,
        to_server: bool,
        offset: int,
        connection: "_Connection",
    ) -> bool:
        """Forward or discard one chunk.

        :param offset: bytes received earlier in this direction of the connection.
        :return: whether the connection stays open.
        """
        while to_server and source in self.held_sources and not self._stopping.is_set():
            time.sleep(_POLL_SECONDS)
        fault = self.fault
        if source in self.blocked_sources or fault is Fault.BLACKHOLE:
            return True
        if fault is (Fault.BLACKHOLE_TO_SERVER if to_server else Fault.BLACKHOLE_TO_CLIENT):
            return True
        if fault is Fault.REFUSE:
            return False
        if not to_server:
            stays_open = self._apply_response_fault(fault, data, sink, offset, connection)
            if stays_open is not None:
                return stays_open
            if self.delay_seconds:
                time.sleep(self.delay_seconds)
        try:
            sink.sendall(data)
        except OSError:
            return False
        return True

    def _apply_response_fault(
        self, fault: Fault, data: bytes, sink: socket.socket, offset: int, connection: "_Connection"
    ) -> bool | None:
        """Apply a fault to one chunk of a response.

        :return: whether the connection stays open, or ``None`` to forward the chunk.
        """
        if fault is Fault.LOSE_ANSWER and connection.matches:
            self.dropped_responses += 1
            return False
        if fault is Fault.HALF_CLOSE:
            with contextlib.suppress(OSError):
                sink.shutdown(socket.SHUT_WR)
            return True
        is_cut = fault is Fault.CUT_AFTER_BYTES and not connection.exempt
        if is_cut and offset + len(data) > self.cut_bytes:
            with contextlib.suppress(OSError):
                sink.sendall(data[: max(0, self.cut_bytes - offset)])
            return False
        return None


def _reset(connection: socket.socket) -> None:
    """Close a connection with a TCP reset, so that the peer receives an error at once."""
    with contextlib.suppress(OSError):
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()
