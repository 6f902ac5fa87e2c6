"""Bytes held for one connection of a caller, and how its request changes them."""

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from wheelslip.memory.account import MemoryAccount, MemoryHolder, MemoryUse
from wheelslip.memory.response_room import ResponseRoom


class CallerHandle(Protocol):
    """Connection of a caller, as seen by the account."""

    def untaken_bytes(self) -> int:
        """Return the written bytes that the caller has not taken."""

    def close_for_memory(self) -> None:
        """Close the connection and drop its data."""

    def peer_address(self) -> str:
        """Return the address of the caller."""


class WorkerReader(Protocol):
    """Connection to a worker whose reading can be paused."""

    def set_memory_pause(self, paused: bool) -> None:
        """Pause or resume reading."""


class MemoryOwner(Protocol):
    """Memory of the node that a connection is part of.

    :ivar account: counts the bytes of all connections.
    :ivar response_room: room for responses that are buffered completely.
    :ivar clock: steady clock in seconds.
    :ivar requests_rejected: number of requests rejected because their bodies did not fit.
    """

    account: MemoryAccount
    response_room: ResponseRoom
    clock: Callable[[], float]
    requests_rejected: int

    def add(self, holder: "ConnectionMemory", use: MemoryUse, count: int) -> bool:
        """Add bytes; return ``False`` if they do not fit or the connection is closed."""

    def add_or_close(self, holder: "ConnectionMemory", use: MemoryUse, count: int) -> bool:
        """Add bytes that are already in memory; close the connection if they do not fit."""

    def make_body_room(self, holder: "ConnectionMemory", count: int, body_bytes: int) -> bool:
        """Make room for bytes of a request body; return ``False`` if that is not possible."""

    def attach(self, holder: "ConnectionMemory", reader: WorkerReader) -> None:
        """Register a worker connection on which a request is about to be sent."""

    def detach(self, reader: WorkerReader) -> None:
        """Unregister a worker connection."""

    def pause_if_full(self, holder: "ConnectionMemory", reader: WorkerReader) -> None:
        """Pause a worker connection if the holder may read no further."""

    def watch(self, holder: "ConnectionMemory") -> None:
        """Check periodically how much of its data the caller has taken."""

    def resume_soon(self) -> None:
        """Check paused worker connections soon, as a caller has taken all its data."""

    def forget(self, holder: "ConnectionMemory") -> None:
        """Remove a closed connection."""


class ConnectionMemory(MemoryHolder):
    """Bytes held for one connection of a caller, and their changes.

    :ivar handle: the connection.
    :ivar request_id: of the request in progress, for the log.
    :ivar closed: the connection was closed; nothing more is held for it.
    """

    __slots__ = ("handle", "request_id", "closed", "_node")

    def __init__(self, node: MemoryOwner, handle: CallerHandle):
        super().__init__()
        self.handle = handle
        self.request_id: str | None = None
        self.closed = False
        self._node = node

    def describe_request(self, request_id: str | None, is_stream: bool, resumable: bool) -> None:
        """Record which request is in progress."""
        self.request_id = request_id
        self.is_stream = is_stream
        self.resumable = resumable

    def may_receive(self, body_bytes: int) -> bool:
        """Return whether a body of this size may be received; nothing is added."""
        return self._node.make_body_room(self, body_bytes, body_bytes)

    def add_body(self, count: int, body_bytes: int) -> bool:
        """Add received bytes of a request body; return ``False`` if they do not fit.

        :param body_bytes: size of the complete body as far as it is known.
        """
        return self._node.make_body_room(self, count, body_bytes) and self._node.add(
            self, MemoryUse.REQUEST_BODY, count
        )

    def count_rejection(self) -> None:
        """Count a request that was rejected because its body did not fit."""
        self._node.requests_rejected += 1

    def add_unsent(self, count: int) -> bool:
        """Add bytes of a request that is about to be sent; return ``False`` if they do not fit."""
        return self._node.make_body_room(self, count, count) and self._node.add(
            self, MemoryUse.UNSENT_REQUEST, count
        )

    def set_unsent(self, count: int) -> None:
        """Reduce the bytes of the sent request that the worker has not taken."""
        excess = self.by_use[MemoryUse.UNSENT_REQUEST] - count
        if excess > 0:
            self._node.account.remove(self, MemoryUse.UNSENT_REQUEST, excess)

    def add_unread(self, reader: WorkerReader, count: int) -> None:
        """Add data received from a worker, and pause reading if no further read fits."""
        if self._node.add_or_close(self, MemoryUse.UNREAD_RESPONSE, count):
            self._node.pause_if_full(self, reader)

    def process(self, count: int) -> None:
        """Remove data of a worker that was processed."""
        self._node.account.remove(self, MemoryUse.UNREAD_RESPONSE, count)

    def buffer(self, count: int) -> None:
        """Move data of a worker that was processed to the buffered response."""
        self._node.account.move(self, MemoryUse.UNREAD_RESPONSE, MemoryUse.BUFFERED_RESPONSE, count)

    def clear_unread(self) -> None:
        """Remove all data of workers that was not yet processed."""
        self._remove_all(MemoryUse.UNREAD_RESPONSE)

    def set_buffered(self, count: int) -> None:
        """Set the bytes of the buffered response."""
        held = self.by_use[MemoryUse.BUFFERED_RESPONSE]
        if count > held:
            self._node.add_or_close(self, MemoryUse.BUFFERED_RESPONSE, count - held)
        elif count < held:
            self._node.account.remove(self, MemoryUse.BUFFERED_RESPONSE, held - count)

    def reduce_buffered(self, count: int) -> None:
        """Reduce the bytes of the buffered response if more are held."""
        if count < self.by_use[MemoryUse.BUFFERED_RESPONSE]:
            self.set_buffered(count)

    def set_untaken(self, count: int, written: int) -> None:
        """Set the bytes that the caller has not taken.

        :param written: bytes written since the last call.
        """
        if self.closed:
            return
        held = self.by_use[MemoryUse.UNTAKEN_RESPONSE]
        if not held or held + written > count:
            self.taken_at = self._node.clock()
        if count > held:
            if self._node.add_or_close(self, MemoryUse.UNTAKEN_RESPONSE, count - held):
                self._node.watch(self)
        else:
            self._node.account.remove(self, MemoryUse.UNTAKEN_RESPONSE, held - count)
            if not count:
                self._node.resume_soon()

    def request_ended(self) -> None:
        """Remove everything except the data that the caller has still to take."""
        for use in MemoryUse:
            if use is not MemoryUse.UNTAKEN_RESPONSE and self.by_use[use]:
                self._remove_all(use)

    def connection_ended(self) -> None:
        """Remove everything."""
        self._node.forget(self)

    def attach(self, reader: WorkerReader) -> None:
        """Register the worker connection that the request uses."""
        self._node.attach(self, reader)

    def detach(self, reader: WorkerReader) -> None:
        """Unregister the worker connection, whose data is no longer held."""
        self._node.detach(reader)
        self._remove_all(MemoryUse.UNREAD_RESPONSE)
        self._remove_all(MemoryUse.UNSENT_REQUEST)

    def response_room(self, count: int) -> AbstractAsyncContextManager[None]:
        """Wait for room for a response that is buffered completely; see :class:`ResponseRoom`."""
        return self._node.response_room.reserve(count)

    def response_limit(self, maximum: int) -> int:
        """Return the maximum size of a buffered response."""
        return min(maximum, self._node.account.size // 2)

    def _remove_all(self, use: MemoryUse) -> None:
        self._node.account.remove(self, use, self.by_use[use])
