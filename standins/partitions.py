"""Network partitions between nodes and the peers of a site whose processes share one event loop.

The tasks and sockets of a node run in a context in which :data:`CURRENT_NODE` is its name. The
links that a node opens to workers, or to other peers, pass through :class:`_Link`, which withholds
data in both directions during a partition and ends the connection when the kernel would. Datagrams
to a peer from which the node is cut are lost.
"""

import asyncio
import contextvars
import enum
from collections.abc import Callable

CURRENT_NODE: contextvars.ContextVar[str] = contextvars.ContextVar("node", default="")

UNACKNOWLEDGED_SECONDS = 2.0
"""Time after which the kernel of a node ends a connection whose data is not acknowledged."""

IDLE_SECONDS = 3.0
"""Time after which keep-alive probes end a connection that was idle when the partition began."""


class Cut(enum.Enum):
    """How connections between a node and a worker behave.

    ``HANG``: neither open nor new connections carry data. ``RESET``: all are reset. ``REFUSE``: open
    ones are reset, new ones are refused. ``REFUSE_NEW``: open ones continue, new ones are refused.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"
    REFUSE_NEW = "refuse_new"


class _Link(asyncio.Transport):
    """Connection of a node to a worker: transport to the node, protocol to the event loop."""

    def __init__(self, protocol: asyncio.BaseProtocol, address: str):
        super().__init__()
        self.address = address
        self._protocol = protocol
        self._transport: asyncio.Transport | None = None
        self._held: list[bytes] = []
        self._hangs = False
        self._timer: asyncio.TimerHandle | None = None
        self._lost = False

    # Transport of the node's protocol

    def write(self, data) -> None:
        if not self._hangs:
            self._transport.write(data)
            return
        if not self._held:
            self._end_after(UNACKNOWLEDGED_SECONDS)
        self._held.append(bytes(data))

    def get_write_buffer_size(self) -> int:
        return self._transport.get_write_buffer_size() + sum(map(len, self._held))

    def abort(self) -> None:
        self._stop_timer()
        self._transport.abort()

    close = abort

    def pause_reading(self) -> None:
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        if not self._hangs:
            self._transport.resume_reading()

    def __getattr__(self, name: str):
        return getattr(self._transport, name)

    def get_extra_info(self, name, default=None):
        return self._transport.get_extra_info(name, default)

    def is_closing(self) -> bool:
        return self._transport.is_closing()

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        self._transport.set_write_buffer_limits(high, low)

    # Partition

    def hang(self) -> None:
        """Withhold all data from now on."""
        self._hangs = True
        self._transport.pause_reading()
        self._end_after(IDLE_SECONDS)

    def heal(self) -> None:
        """Deliver the withheld data."""
        self._hangs = False
        self._stop_timer()
        if self._transport.is_closing():
            return
        for data in self._held:
            self._transport.write(data)
        self._held = []
        self._transport.resume_reading()

    def reset(self) -> None:
        """End the connection as if the peer had reset it."""
        self._lose(ConnectionResetError(104, "Connection reset by peer"))

    def _end_after(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time() + seconds
        if self._timer is not None and self._timer.when() <= due:
            return
        self._stop_timer()
        self._timer = loop.call_at(due, self._lose, TimeoutError(110, "Connection timed out"))

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _lose(self, exc: OSError) -> None:
        self._stop_timer()
        if not self._lost:
            self._lost = True
            self._protocol.connection_lost(exc)
        self._transport.abort()


class _LinkCallbacks(asyncio.BaseProtocol):
    """Passes the callbacks of the real transport to the node's protocol."""

    def __init__(self, link: _Link, on_closed: Callable[[_Link], None]):
        self._link = link
        self._inner = link._protocol
        self._on_closed = on_closed

    def connection_made(self, transport) -> None:
        self._link._transport = transport
        self._inner.connection_made(self._link)

    def eof_received(self):
        return self._inner.eof_received()

    def pause_writing(self) -> None:
        self._inner.pause_writing()

    def resume_writing(self) -> None:
        self._inner.resume_writing()

    def connection_lost(self, exc) -> None:
        self._on_closed(self._link)
        if not self._link._lost:
            self._link._lost = True
            self._inner.connection_lost(exc)


class _BufferedLinkProtocol(_LinkCallbacks, asyncio.BufferedProtocol):
    def get_buffer(self, sizehint):
        return self._inner.get_buffer(sizehint)

    def buffer_updated(self, count) -> None:
        self._inner.buffer_updated(count)


class _DataLinkProtocol(_LinkCallbacks, asyncio.Protocol):
    def data_received(self, data) -> None:
        self._inner.data_received(data)


def _link_protocol(link: _Link, on_closed: Callable[[_Link], None]) -> _LinkCallbacks:
    """Return a protocol of the same kind as the node's, which determines how data is received."""
    is_buffered = isinstance(link._protocol, asyncio.BufferedProtocol)
    return (_BufferedLinkProtocol if is_buffered else _DataLinkProtocol)(link, on_closed)


class _LossyDatagrams:
    """Datagram transport of a node, which loses what is sent across a cut."""

    def __init__(self, transport: asyncio.DatagramTransport, is_cut: Callable[[str], bool]):
        self._transport = transport
        self._is_cut = is_cut

    def sendto(self, data, addr=None) -> None:
        if not self._is_cut(f"{addr[0]}:{addr[1]}"):
            self._transport.sendto(data, addr)

    def __getattr__(self, name: str):
        return getattr(self._transport, name)


class Partitions:
    """Cuts between nodes and peers; patches the running event loop.

    :param peer_addresses: returns the addresses of all peers that nodes can be cut from.
    """

    def __init__(self, peer_addresses: Callable[[], set[str]]):
        self._peer_addresses = peer_addresses
        self._cuts: dict[tuple[str, str], Cut] = {}
        self._links: dict[str, set[_Link]] = {}
        self._loop = asyncio.get_running_loop()
        self._create_connection = self._loop.create_connection
        self._loop.create_connection = self._connect
        self._create_datagram_endpoint = self._loop.create_datagram_endpoint
        self._loop.create_datagram_endpoint = self._open_datagrams

    def cut(self, node: str, how: Cut, peers: set[str] | None = None) -> None:
        """Cut a node from peers.

        :param peers: their addresses; ``None`` for all.
        """
        peers = peers or self._peer_addresses()
        for address in peers:
            self._cuts[node, address] = how
        for link in list(self._links.get(node, ())):
            if link.address in peers:
                if how is Cut.HANG:
                    link.hang()
                elif how in (Cut.RESET, Cut.REFUSE):
                    link.reset()

    def heal(self, node: str) -> None:
        """End all cuts of a node."""
        self._cuts = {key: how for key, how in self._cuts.items() if key[0] != node}
        for link in list(self._links.get(node, ())):
            link.heal()

    async def _connect(self, factory, host=None, port=None, **options):
        node, address = CURRENT_NODE.get(), f"{host}:{port}"
        if not node or address not in self._peer_addresses():
            return await self._create_connection(factory, host, port, **options)
        match self._cuts.get((node, address)):
            case Cut.HANG:
                await self._wait_until_healed(node, address)
            case Cut.RESET:
                raise ConnectionResetError(104, "Connection reset by peer")
            case Cut.REFUSE | Cut.REFUSE_NEW:
                raise ConnectionRefusedError(111, "Connection refused")
        protocol = factory()
        link = _Link(protocol, address)
        links = self._links.setdefault(node, set())
        await self._create_connection(
            lambda: _link_protocol(link, links.discard), host, port, **options
        )
        links.add(link)
        return link, protocol

    async def _open_datagrams(self, factory, **options):
        node = CURRENT_NODE.get()
        transport, protocol = await self._create_datagram_endpoint(factory, **options)
        if node:
            lossy = _LossyDatagrams(transport, lambda address: (node, address) in self._cuts)
            protocol.connection_made(lossy)
        return transport, protocol

    async def _wait_until_healed(self, node: str, address: str) -> None:
        while self._cuts.get((node, address)) is Cut.HANG:
            await asyncio.sleep(0.05)
