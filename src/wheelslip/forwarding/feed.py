"""Change feed between nodes: followers poll other nodes for changes of the store.

A follower sends the revision of its view and receives the changes since that revision. The
response also contains the time at which the sender's view was last confirmed, relative to the
arrival of the poll, so clocks need not be synchronized. A poll arrives after it was sent, so its
sending time plus that offset is never later than the time of the confirmation, regardless of how
long the response takes.
"""

import asyncio
import contextlib
from collections.abc import Callable
from typing import NamedTuple

from wheelslip.connections.http_client import set_liveness_options
from wheelslip.documents import DocumentError, decode_document
from wheelslip.events import LogEvent, log_event
from wheelslip.keyvalue.model import WatchCompacted
from wheelslip.registry.entry_log import EntryChange
from wheelslip.registry.registry import Registry
from wheelslip.routing.load_table import LoadAtWorker, LoadTable
from wheelslip.tunnels.messages import is_tunnel_message
from wheelslip.wire import FrameError, encode_frame, split_frame

WAIT_SECONDS_PER_FOLLOWER = 0.008
MIN_WAIT_SECONDS = 0.1
MAX_WAIT_SECONDS = 0.5
"""Longest time until a poll is answered if the store does not change, since responses also report
loads. The time increases with the number of followers to limit the relay's CPU usage."""

RESPONSE_TIMEOUT_SECONDS = MAX_WAIT_SECONDS + 0.5
CONNECT_TIMEOUT_SECONDS = 0.5

FOLLOWER_TTL_SECONDS = 30.0
"""Time after its last poll for which a follower is listed as a peer."""

BACKLOG = 512

MAX_POLL_BYTES = 1024 * 1024
"""Maximum size of a poll, which contains the loads of a node at all workers."""

MAX_BATCH_BYTES = 8 * 1024 * 1024
"""Maximum size of the response to a poll, which may contain the whole view."""


class FeedUnavailable(Exception):
    """Raised when a node could not be polled, or its own view was never confirmed."""


class FeedPoll(NamedTuple):
    """Request for all changes after a revision.

    :ivar after: revision of the follower's view; ``None`` to request all entries.
    :ivar address: where the follower answers polls itself; empty if it does not report loads.
    :ivar loads: the loads of the follower's requests at the workers.
    :ivar saved: keys of recently saved prompts.
    """

    after: int | None
    address: str = ""
    loads: list[LoadAtWorker] = []
    saved: list[int] = []


class FeedBatch(NamedTuple):
    """Changes of the sender's view.

    :ivar revision: revision of the store up to which the sender's view is complete.
    :ivar is_snapshot: ``changes`` contains all entries; entries missing from it were removed.
    :ivar confirmed_offset: seconds from the arrival of the poll to the time at which the view was
        last confirmed, negative if it was confirmed before the poll arrived; ``None`` if it was
        never confirmed.
    :ivar failing_age: seconds since a call of the sender to the store failed; ``None`` if none
        failed since the last response. Does not mean that calls of other nodes fail.
    :ivar loads: the loads at the workers by the requests of all nodes except the follower.
    :ivar saved: keys of recently saved prompts.
    """

    revision: int
    is_snapshot: bool
    changes: list[EntryChange]
    confirmed_offset: float | None
    failing_age: float | None
    loads: list[LoadAtWorker] = []
    saved: list[int] = []


class _FrameProtocol(asyncio.Protocol):
    """Splits the bytes of a connection into frames.

    :param max_bytes: maximum size of the payload of a frame.
    """

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._buffer = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and set the socket's liveness options."""
        self.transport = transport
        set_liveness_options(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes and process each complete frame."""
        self._buffer += data
        try:
            while True:
                payload, self._buffer = split_frame(self._buffer, self._max_bytes)
                if payload is None:
                    return
                self.frame_received(payload)
        except DocumentError as exc:
            log_event(LogEvent.PEER_MESSAGE_REFUSED, reason=str(exc))
            self.close()

    def frame_received(self, payload: bytes) -> None:
        """Process the payload of one frame."""
        raise NotImplementedError

    def close(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()


class _FeedConnection(_FrameProtocol):
    """Server side of a follower's connection, with at most one poll in flight."""

    def __init__(self, server: "FeedServer"):
        super().__init__(MAX_POLL_BYTES)
        self._server = server
        self._response_task: asyncio.Task | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection."""
        super().connection_made(transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and cancel the response in progress."""
        self._server.connections.discard(self)
        if self._response_task is not None:
            self._response_task.cancel()

    def frame_received(self, payload: bytes) -> None:
        """Start to reply to a poll.

        :raises FrameError: when the previous poll is still in flight.
        """
        if self._server.accept_tunnel is not None and is_tunnel_message(payload):
            self._hand_over(payload)
            return
        poll = decode_document(payload, FeedPoll)
        if self._response_task is not None and not self._response_task.done():
            raise FrameError("poll received before the previous one was answered")
        loop = asyncio.get_running_loop()
        self._response_task = loop.create_task(self._reply(poll))

    def _hand_over(self, payload: bytes) -> None:
        """Leave the connection to the tunnels."""
        received, self._buffer = b"%d:%s," % (len(payload), payload) + self._buffer, b""
        self._server.connections.discard(self)
        self._server.accept_tunnel(self.transport, received)

    async def _reply(self, poll: FeedPoll) -> None:
        batch = await self._server.reply(poll)
        self.transport.write(encode_frame(batch))


class FeedServer:
    """Replies to the polls of other nodes from this node's view.

    :param own_loads: returns the loads of this node's requests at the workers.
    :ivar accept_tunnel: takes over connections that are tunnels, with the bytes received so far;
        ``None`` to refuse them.
    """

    def __init__(
        self,
        registry: Registry,
        table: LoadTable,
        own_loads: Callable[[], list[LoadAtWorker]],
        clock: Callable[[], float],
    ):
        self.accept_tunnel: Callable[[asyncio.Transport, bytes], None] | None = None
        self._registry = registry
        self._table = table
        self._own_loads = own_loads
        self._clock = clock
        self._server: asyncio.Server | None = None
        self._follower_expiry: dict[str, float] = {}
        self.connections: set[_FeedConnection] = set()

    def recent_followers(self) -> list[str]:
        """Return the addresses of the nodes that polled recently."""
        now = self._clock()
        self._follower_expiry = {
            address: expires_at
            for address, expires_at in self._follower_expiry.items()
            if now < expires_at
        }
        return list(self._follower_expiry)

    async def listen(self, host: str, port: int) -> None:
        """Start to accept connections of followers."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _FeedConnection(self), host, port, backlog=BACKLOG
        )

    async def reply(self, poll: FeedPoll) -> FeedBatch:
        """Wait for a change after the poll's revision and return it; may be empty on timeout."""
        arrived_at = self._clock()
        if poll.address:
            self._table.record_loads(poll.address, poll.loads, arrived_at)
            self._table.saved.merge(poll.saved, arrived_at)
            self._follower_expiry[poll.address] = arrived_at + FOLLOWER_TTL_SECONDS
        deadline = arrived_at + self._wait_seconds()
        while True:
            changes, is_snapshot = self._changes(poll)
            remaining = deadline - self._clock()
            if changes or is_snapshot or remaining <= 0:
                return self._batch(poll, changes, is_snapshot, arrived_at)
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
        self, poll: FeedPoll, changes: list[EntryChange], is_snapshot: bool, arrived_at: float
    ) -> FeedBatch:
        now = self._clock()
        confirmed_at = self._registry.health.confirmed_at
        return FeedBatch(
            self._registry.entry_log.revision,
            is_snapshot,
            changes,
            None if confirmed_at is None else confirmed_at - arrived_at,
            self._registry.health.failing_age(now),
            self._table.total_without(now, self._own_loads(), poll.address),
            self._table.saved.recent(now),
        )

    def close(self) -> None:
        """Stop accepting connections and abort the existing ones."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()


class _PollingConnection(_FrameProtocol):
    """Client side of a connection, with at most one poll in flight."""

    def __init__(self):
        super().__init__(MAX_BATCH_BYTES)
        self._fut: asyncio.Future | None = None
        self.open = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the poll in flight."""
        self.open = False
        if self._fut is not None and not self._fut.done():
            self._fut.set_exception(FeedUnavailable(f"connection ended: {exc!r}"))

    def frame_received(self, payload: bytes) -> None:
        """Complete the poll in flight.

        :raises FrameError: when there is none.
        """
        if self._fut is None or self._fut.done():
            raise FrameError("response received without a poll in flight")
        self._fut.set_result(payload)

    async def exchange(self, poll: FeedPoll) -> FeedBatch:
        """Send a poll and return its response.

        :raises FeedUnavailable: when no valid response arrives in time.
        """
        if not self.open:
            raise FeedUnavailable("connection is closed")
        self._fut = asyncio.get_running_loop().create_future()
        self.transport.write(encode_frame(poll))
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
                return decode_document(await self._fut, FeedBatch)
        except (TimeoutError, DocumentError) as exc:
            raise FeedUnavailable(repr(exc)) from exc


class FeedClient:
    """Polls other nodes and reuses the connection to the node polled last."""

    def __init__(self):
        self._address = ""
        self._conn: _PollingConnection | None = None

    async def poll(self, address: str, poll: FeedPoll) -> FeedBatch:
        """Return the changes of another node's view.

        :param address: ``IP:PORT``.
        :raises FeedUnavailable: when the node does not respond, or its view was never confirmed.
        """
        try:
            batch = await (await self._connection(address)).exchange(poll)
            changes = [change.decompressed() for change in batch.changes]
        except (FeedUnavailable, ValueError) as exc:
            self.close()
            raise FeedUnavailable(str(exc)) from exc
        except asyncio.CancelledError:
            # Otherwise the pending response would be mistaken for that of the next poll.
            self.close()
            raise
        if batch.confirmed_offset is None:
            raise FeedUnavailable("the view of the polled node was never confirmed")
        return batch._replace(changes=changes)

    async def _connection(self, address: str) -> _PollingConnection:
        if self._conn is not None and self._conn.open and self._address == address:
            return self._conn
        self.close()
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, self._conn = await loop.create_connection(_PollingConnection, host, int(port))
        except (OSError, ValueError, TimeoutError) as exc:
            raise FeedUnavailable(f"{address}: {exc!r}") from exc
        self._address = address
        return self._conn

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None
