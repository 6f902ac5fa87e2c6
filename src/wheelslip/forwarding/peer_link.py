"""The task that tells peers this node's loads and hears theirs, by datagrams."""

import asyncio
from collections.abc import Callable

from wheelslip.forwarding.peer_loads import LoadNews, PeerLoads, WorkerLoadNews
from wheelslip.wire import FrameError, decode_frame, encode_frame

TELL_SECONDS = 0.25
QUIET_TICKS = 4
"""News without a change are told only every so many ticks."""

MAX_DATAGRAM_BYTES = 1400


class PeerLink(asyncio.DatagramProtocol):
    """Owns the datagram socket.

    :param own_loads: returns what this node has at its workers now.
    """

    def __init__(
        self,
        peers: PeerLoads,
        own_loads: Callable[[], list[WorkerLoadNews]],
        clock: Callable[[], float],
    ):
        self._peers = peers
        self._own_loads = own_loads
        self._clock = clock
        self._transport: asyncio.DatagramTransport | None = None
        self._last_told: list[WorkerLoadNews] = []
        self._quiet = 0
        self.bytes_sent = 0
        self.refused = 0

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take one peer's news; bytes that are none are counted and dropped."""
        try:
            news = decode_frame(data, LoadNews)
        except FrameError:
            self.refused += 1
            return
        self._peers.take(news, self._clock())

    def error_received(self, exc: Exception) -> None:
        """A peer's port is closed: its silence will tell."""

    async def listen(self, host: str, port: int) -> None:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    async def run(self) -> None:
        """Tell peers for ever."""
        while True:
            await asyncio.sleep(TELL_SECONDS)
            self.tell()

    def tell(self) -> None:
        """Tell some peers now, if there is news and the socket is open."""
        if self._transport is None or self._transport.is_closing():
            return
        loads = self._own_loads()
        self._quiet = self._quiet + 1 if loads == self._last_told else 0
        if self._quiet % QUIET_TICKS:
            return
        self._last_told = loads
        now = self._clock()
        frame = encode_frame(self._peers.news(loads, now))
        if len(frame) > MAX_DATAGRAM_BYTES:
            # The busiest workers matter most.
            loads = sorted(loads, key=lambda load: -load.prompt_tokens - load.running)[:20]
            frame = encode_frame(self._peers.news(loads, now))
        for address in self._peers.targets(now):
            host, _, port = address.rpartition(":")
            self._transport.sendto(frame, (host, int(port)))
            self.bytes_sent += len(frame)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
