"""A small fault-injecting proxy for TCP and UDP links, run inside the test process."""

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
    """What the proxy does with a link; it applies to open and new connections."""

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
class _Link:
    """One connection: whether its latest request holds the proxy's ``match``.

    A request may come in several chunks, so what one of them showed holds until the answer.
    """

    matches: bool = False
    spared: bool = False
    answered: bool = False

    def see(self, data: bytes, to_server: bool, match: bytes, spare: bytes) -> None:
        """Take note of one chunk."""
        if not to_server:
            self.answered = True
            return
        if self.answered:
            self.matches = self.spared = self.answered = False
        self.matches = self.matches or match in data
        self.spared = self.spared or (bool(spare) and spare in data)


class FaultProxy:
    """Forwards one listening address to one target, with faults switched at run time.

    :ivar fault: the fault in force.
    :ivar delay_seconds: added to each chunk towards the client.
    :ivar cut_bytes: for ``CUT_AFTER_BYTES``, bytes passed to the client before a reset.
    :ivar match: with this in a request, ``LOSE_ANSWER`` drops its answer; empty matches all.
    :ivar spare: with this in a request, ``CUT_AFTER_BYTES`` does not cut its answer; empty for none.
    :ivar blocked_sources: source IPs whose traffic is dropped (a cut between zones).
    :ivar held_sources: source IPs whose requests are held back until they are taken out.
    :ivar lost_answers: answers dropped by ``LOSE_ANSWER`` so far.
    :ivar crossed: directions of connections swapped by ``CROSS`` so far.
    """

    def __init__(self, listen: tuple[str, int], target: tuple[str, int], udp: bool = False):
        self.fault = Fault.PASS
        self.delay_seconds = 0.0
        self.cut_bytes = 0
        self.match = b""
        self.spare = b""
        self.blocked_sources: set[str] = set()
        self.held_sources: set[str] = set()
        self.lost_answers = 0
        self.connections = 0
        self.crossed = 0
        self._target = target
        self._crossing: queue.SimpleQueue[socket.socket] = queue.SimpleQueue()
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
        """Where it listens, or has listened, ``IP:PORT``."""
        return self._address

    def stop(self) -> None:
        """Close the listening sockets and end the threads."""
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
                self._cross(client)
                continue
            threading.Thread(target=self._serve, args=(client, source[0]), daemon=True).start()

    def _cross(self, client: socket.socket) -> None:
        """Hold one connection until a second comes, then swap the two answers."""
        if self._crossing.empty():
            self._crossing.put(client)
            return
        other = self._crossing.get()
        servers = [socket.create_connection(self._target, timeout=2) for _ in range(2)]
        for origin, sink, to_server in (
            (other, servers[0], True),
            (client, servers[1], True),
            (servers[0], client, False),
            (servers[1], other, False),
        ):
            self.crossed += 1
            threading.Thread(
                target=self._pump, args=(origin, sink, "", to_server, _Link()), daemon=True
            ).start()

    def _serve(self, client: socket.socket, source: str) -> None:
        link = _Link()
        try:
            server = socket.create_connection(self._target, timeout=2)
        except OSError:
            _reset(client)
            return
        upward = threading.Thread(
            target=self._pump, args=(client, server, source, True, link), daemon=True
        )
        upward.start()
        self._pump(server, client, source, False, link)
        upward.join()
        client.close()
        server.close()

    def _pump(
        self,
        origin: socket.socket,
        sink: socket.socket,
        source: str,
        to_server: bool,
        link: "_Link",
    ) -> None:
        origin.settimeout(_POLL_SECONDS)
        passed = 0
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
            link.see(data, to_server, self.match, self.spare)
            if not self._pass(data, sink, source, to_server, passed, link):
                break
            passed += len(data)
        _reset(origin)
        _reset(sink)

    def _pass(
        self,
        data: bytes,
        sink: socket.socket,
        source: str,
        to_server: bool,
        passed: int,
        link: "_Link",
    ) -> bool:
        """Forward or drop one chunk; return whether the connection lives on."""
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
            verdict = self._fault_answer(fault, data, sink, passed, link)
            if verdict is not None:
                return verdict
            if self.delay_seconds:
                time.sleep(self.delay_seconds)
        try:
            sink.sendall(data)
        except OSError:
            return False
        return True

    def _fault_answer(
        self, fault: Fault, data: bytes, sink: socket.socket, passed: int, link: "_Link"
    ) -> bool | None:
        """Apply a fault to an answer; ``None`` when the chunk is to be forwarded."""
        if fault is Fault.LOSE_ANSWER and link.matches:
            self.lost_answers += 1
            return False
        if fault is Fault.HALF_CLOSE:
            with contextlib.suppress(OSError):
                sink.shutdown(socket.SHUT_WR)
            return True
        is_cut = fault is Fault.CUT_AFTER_BYTES and not link.spared
        if is_cut and passed + len(data) > self.cut_bytes:
            with contextlib.suppress(OSError):
                sink.sendall(data[: max(0, self.cut_bytes - passed)])
            return False
        return None


def _reset(connection: socket.socket) -> None:
    """Close with a reset, so that the other end notices at once."""
    with contextlib.suppress(OSError):
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()
