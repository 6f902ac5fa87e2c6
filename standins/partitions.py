"""Network partitions between nodes and workers of a site whose processes share one event loop.

The tasks and sockets of a node run in a context in which :data:`CURRENT_NODE` is its name. The
links that a node opens to workers pass through :class:`_Link`, which withholds data in both
directions during a partition and ends the connection when the kernel would.
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


class _LinkProtocol(asyncio.BufferedProtocol):
    """Passes the callbacks of the real transport to the node's protocol."""

    def __init__(self, link: _Link, on_closed: Callable[[_Link], None]):
        self._link = link
        self._inner = link._protocol
        self._on_closed = on_closed

    def connection_made(self, transport) -> None:
        self._link._transport = transport
        self._inner.connection_made(self._link)

    def get_buffer(self, sizehint):
        return self._inner.get_buffer(sizehint)

    def buffer_updated(self, count) -> None:
        self._inner.buffer_updated(count)

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


class Partitions:
    """Cuts between nodes and workers; patches the running event loop.

    :param worker_addresses: returns the addresses of all workers.
    """

    def __init__(self, worker_addresses: Callable[[], set[str]]):
        self._worker_addresses = worker_addresses
        self._cuts: dict[tuple[str, str], Cut] = {}
        self._links: dict[str, set[_Link]] = {}
        self._loop = asyncio.get_running_loop()
        self._create_connection = self._loop.create_connection
        self._loop.create_connection = self._connect

    def cut(self, node: str, how: Cut, workers: set[str] | None = None) -> None:
        """Cut a node from workers.

        :param workers: their addresses; ``None`` for all.
        """
        workers = workers or self._worker_addresses()
        for address in workers:
            self._cuts[node, address] = how
        for link in list(self._links.get(node, ())):
            if link.address in workers:
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
        if not node or address not in self._worker_addresses():
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
            lambda: _LinkProtocol(link, links.discard), host, port, **options
        )
        links.add(link)
        return link, protocol

    async def _wait_until_healed(self, node: str, address: str) -> None:
        while self._cuts.get((node, address)) is Cut.HANG:
            await asyncio.sleep(0.05)
