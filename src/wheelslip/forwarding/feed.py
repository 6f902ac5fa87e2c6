"""The view of the store, passed from node to node.

A follower polls a node that reads the store itself, and gets what has changed since the
revision it knows. How current that is, it learns without clocks that agree: the answer tells
how long after the poll's arrival, or before it, the sender's view was last confirmed. The
poll arrived after it was sent, so its sending time plus that span never claims too much,
however late the answer comes.
"""

import asyncio
import contextlib
from collections.abc import Callable
from typing import NamedTuple

from wheelslip.forwarding.entry_log import EntryChange
from wheelslip.forwarding.http_client import set_liveness_options
from wheelslip.forwarding.registry import Registry
from wheelslip.keyvalue.model import WatchCompacted
from wheelslip.routing.load_table import LoadAtWorker, LoadTable
from wheelslip.wire import FrameError, decode_payload, encode_frame, split_frame

WAIT_SECONDS_PER_FOLLOWER = 0.008
MIN_WAIT_SECONDS = 0.1
MAX_WAIT_SECONDS = 0.5
"""A poll is answered after a time although nothing of the store has changed, since loads
have. It grows with the number of followers, so that their polls take a bounded part of the
relay's processor."""

ANSWER_SECONDS = MAX_WAIT_SECONDS + 0.5
"""Longest wait for an answer to a poll."""

CONNECT_SECONDS = 0.5

HEARD_SECONDS = 30.0
"""A node that polled is remembered this long, as one that may know more some time."""
BACKLOG = 512


class FeedLost(Exception):
    """A node could not be polled, or it knows nothing itself."""


class FeedPoll(NamedTuple):
    """Asks for all changes after a revision; ``None`` asks for everything.

    :ivar address: where the asking node answers polls itself; empty for relays.
    :ivar loads: what that node has at its workers.
    :ivar saved: keys of prompts that it knows saved of late.
    """

    after: int | None
    address: str = ""
    loads: list[LoadAtWorker] = []
    saved: list[int] = []


class FeedBatch(NamedTuple):
    """What has changed in the sender's view.

    :ivar at: the view is complete up to this revision of the store.
    :ivar whole: ``changes`` is all there is; what is not in it has gone.
    :ivar confirmed: seconds from the poll's arrival to the moment at which the view was
        known to be current; negative when that was before.
    :ivar failing_age: seconds since a call of the sender to the store failed; ``None`` when
        its last one was answered. It is the sender's own trouble, unless others fail too.
    :ivar loads: what all other nodes have at their workers, as far as the sender knows.
    :ivar saved: keys of prompts that the sender knows saved of late.
    """

    at: int
    whole: bool
    changes: list[EntryChange]
    confirmed: float | None
    failing_age: float | None
    loads: list[LoadAtWorker] = []
    saved: list[int] = []


class _FrameProtocol(asyncio.Protocol):
    """Splits what a connection brings into frames."""

    def __init__(self):
        self._buffer = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport and set the socket's liveness options."""
        self.transport = transport
        set_liveness_options(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Take bytes; hand on each whole frame."""
        self._buffer += data
        try:
            while True:
                payload, self._buffer = split_frame(self._buffer)
                if payload is None:
                    return
                self.frame_received(payload)
        except FrameError:
            self.close()

    def frame_received(self, payload: bytes) -> None:
        """Take the payload of one frame."""
        raise NotImplementedError

    def close(self) -> None:
        """End the connection at once."""
        if self.transport is not None:
            self.transport.abort()


class _FeedConnection(_FrameProtocol):
    """One follower's connection; it has one poll under way at a time."""

    def __init__(self, server: "FeedServer"):
        super().__init__()
        self._server = server
        self._answering: asyncio.Task | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Count the connection."""
        super().connection_made(transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the follower."""
        self._server.connections.discard(self)
        if self._answering is not None:
            self._answering.cancel()

    def frame_received(self, payload: bytes) -> None:
        """Begin to answer a poll."""
        poll = decode_payload(payload, FeedPoll)
        if self._answering is not None and not self._answering.done():
            raise FrameError("a poll before the last one was answered")
        loop = asyncio.get_running_loop()
        self._answering = loop.create_task(self._answer(poll))

    async def _answer(self, poll: FeedPoll) -> None:
        batch = await self._server.answer(poll)
        self.transport.write(encode_frame(batch))


class FeedServer:
    """Answers other nodes' polls from this node's view.

    :param own_loads: returns what this node has at its workers now.
    """

    def __init__(
        self,
        registry: Registry,
        table: LoadTable,
        own_loads: Callable[[], list[LoadAtWorker]],
        clock: Callable[[], float],
    ):
        self._registry = registry
        self._table = table
        self._own_loads = own_loads
        self._clock = clock
        self._server: asyncio.Server | None = None
        self._heard_until: dict[str, float] = {}
        self.connections: set[_FeedConnection] = set()

    def heard(self) -> list[str]:
        """Return the addresses of the nodes that polled of late."""
        now = self._clock()
        self._heard_until = {key: until for key, until in self._heard_until.items() if now < until}
        return list(self._heard_until)

    async def listen(self, host: str, port: int) -> None:
        """Begin to accept followers."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _FeedConnection(self), host, port, backlog=BACKLOG
        )

    async def answer(self, poll: FeedPoll) -> FeedBatch:
        """Wait for a change after the poll's revision, and return what is new."""
        arrived_at = self._clock()
        if poll.address:
            self._table.record_loads(poll.address, poll.loads, arrived_at)
            self._table.saved.merge(poll.saved, arrived_at)
            self._heard_until[poll.address] = arrived_at + HEARD_SECONDS
        deadline = arrived_at + self._wait_seconds()
        while True:
            changes, whole = self._changes(poll)
            remaining = deadline - self._clock()
            if changes or whole or remaining <= 0:
                return self._batch(poll, changes, whole, arrived_at)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining):
                    await self._registry.changed()

    def _wait_seconds(self) -> float:
        wait = WAIT_SECONDS_PER_FOLLOWER * len(self.connections)
        return min(MAX_WAIT_SECONDS, max(MIN_WAIT_SECONDS, wait))

    def _changes(self, poll: FeedPoll) -> tuple[list[EntryChange], bool]:
        log = self._registry.entry_log
        if poll.after is None:
            return log.listing(), True
        try:
            return log.changes_after(poll.after), False
        except WatchCompacted:
            return log.listing(), True

    def _batch(
        self, poll: FeedPoll, changes: list[EntryChange], whole: bool, arrived_at: float
    ) -> FeedBatch:
        now = self._clock()
        confirmed_at = self._registry.health.confirmed_at
        return FeedBatch(
            self._registry.entry_log.revision,
            whole,
            changes,
            None if confirmed_at is None else confirmed_at - arrived_at,
            self._registry.health.failing_age(now),
            self._table.total_without(now, self._own_loads(), poll.address),
            self._table.saved.recent(now),
        )

    def close(self) -> None:
        """Accept nobody more and end all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()


class _PollingConnection(_FrameProtocol):
    """A follower's side of a connection."""

    def __init__(self):
        super().__init__()
        self._fut: asyncio.Future | None = None
        self.open = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the poll under way."""
        self.open = False
        if self._fut is not None and not self._fut.done():
            self._fut.set_exception(FeedLost(f"connection ended: {exc!r}"))

    def frame_received(self, payload: bytes) -> None:
        """Complete the poll under way."""
        if self._fut is None or self._fut.done():
            raise FrameError("an answer without a poll")
        self._fut.set_result(payload)

    async def exchange(self, poll: FeedPoll) -> FeedBatch:
        """Send a poll and return its answer.

        :raises FeedLost: when none comes.
        """
        if not self.open:
            raise FeedLost("connection already ended")
        self._fut = asyncio.get_running_loop().create_future()
        self.transport.write(encode_frame(poll))
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                return decode_payload(await self._fut, FeedBatch)
        except (TimeoutError, FrameError) as exc:
            raise FeedLost(repr(exc)) from exc


class FeedClient:
    """Polls one node after another; keeps the connection to the last."""

    def __init__(self):
        self._address = ""
        self._conn: _PollingConnection | None = None

    async def poll(self, address: str, poll: FeedPoll) -> FeedBatch:
        """Return what has changed at another node.

        :param address: ``IP:PORT``.
        :raises FeedLost: when it does not tell, or was never current itself.
        """
        try:
            batch = await (await self._connection(address)).exchange(poll)
            changes = [one.decompressed() for one in batch.changes]
        except (FeedLost, ValueError) as exc:
            self.close()
            raise FeedLost(str(exc)) from exc
        except asyncio.CancelledError:
            # Its answer would be taken for that of the next poll.
            self.close()
            raise
        if batch.confirmed is None:
            raise FeedLost("the node knows nothing itself")
        return batch._replace(changes=changes)

    async def _connection(self, address: str) -> _PollingConnection:
        if self._conn is not None and self._conn.open and self._address == address:
            return self._conn
        self.close()
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                _, self._conn = await loop.create_connection(_PollingConnection, host, int(port))
        except (OSError, ValueError, TimeoutError) as exc:
            raise FeedLost(f"{address}: {exc!r}") from exc
        self._address = address
        return self._conn

    def close(self) -> None:
        """End the connection."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None
