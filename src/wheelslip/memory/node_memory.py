"""Applies the memory account of a node to its connections.

Reading from workers is paused while the account has no room, and connections of slow callers are
closed to make room.
"""

import asyncio
from collections.abc import Callable

from wheelslip.events import LogBudget, LogEvent
from wheelslip.memory.account import (
    BODY_USES,
    BUFFERED_SHARE,
    LIGHT_HOLDER_BYTES,
    READ_BYTES,
    MemoryAccount,
    MemoryHolder,
    MemoryUse,
    choose_closures,
)
from wheelslip.memory.connection_memory import CallerHandle, ConnectionMemory, WorkerReader
from wheelslip.memory.response_room import ResponseRoom

STALLED_SECONDS = 0.25
"""A caller that takes nothing for this time may be closed when others need room. A lost packet is
sent again after 0.2 s; the first events of others must not wait much longer."""

DEADLOCK_SECONDS = 1.0
"""Time without a resumed read after which active callers are closed too. Incomplete responses
that fill the account would otherwise wait for each other; workers cut off responses that are not
read for some seconds."""

TICK_SECONDS = 0.02
"""Interval of the checks while reading for callers that take their data is paused."""

IDLE_TICK_SECONDS = 0.25
"""Interval of the checks while callers have only data to take."""

CLOSURE_LOG_LINES_PER_SECOND = 3.0


class NodeMemory:
    """Account of a node with the connections whose bytes it counts.

    :param size: returns the size of the account in bytes.
    :ivar response_room: room for responses that are buffered completely.
    :ivar slow_readers_closed: connections closed for their memory.
    :ivar requests_rejected: requests rejected because their body did not fit.
    """

    def __init__(self, size: Callable[[], int], clock: Callable[[], float]):
        self._size = size
        self.clock = clock
        self.account = MemoryAccount(size())
        self._tight_room = READ_BYTES + self.account.tight_room
        self._is_tight = False
        self.response_room = ResponseRoom(lambda: int(self.account.size * BUFFERED_SHARE))
        self.slow_readers_closed = 0
        self.requests_rejected = 0
        self._holders: set[ConnectionMemory] = set()
        self._untaken: set[ConnectionMemory] = set()
        self._reading: dict[WorkerReader, ConnectionMemory] = {}
        self._paused: dict[WorkerReader, ConnectionMemory] = {}
        self._unattributed = MemoryHolder()
        self._progressed_at = clock()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = 0.0
        self._log = LogBudget(CLOSURE_LOG_LINES_PER_SECOND, clock)

    def gauges(self) -> dict[str, Callable[[], float]]:
        """Return the gauges by name."""
        by_use = self.account.by_use
        return {
            "memory_account_bytes": lambda: float(self.account.size),
            "memory_held_bytes": lambda: float(self.account.held),
            **{
                f"memory_{use.name.lower()}_bytes": lambda use=use: float(by_use[use])
                for use in MemoryUse
            },
            "memory_reserved_response_bytes": lambda: float(self.response_room.reserved),
            "responses_waiting_for_memory": lambda: float(self.response_room.waiting),
            "memory_paused_workers": lambda: float(len(self._paused)),
            "slow_readers_closed": lambda: float(self.slow_readers_closed),
            "requests_over_memory": lambda: float(self.requests_rejected),
        }

    def open(self, handle: CallerHandle) -> ConnectionMemory:
        """Return the holder of a new connection."""
        holder = ConnectionMemory(self, handle)
        self._holders.add(holder)
        return holder

    def hold_without_connection(self, use: MemoryUse, count: int) -> None:
        """Add bytes as far as they fit, or remove them if the count is negative; for tests."""
        if count >= 0:
            self.account.add(self._unattributed, use, min(count, self.account.room))
        else:
            self.account.remove(self._unattributed, use, -count)

    def forget(self, holder: ConnectionMemory) -> None:
        """Remove a closed connection."""
        holder.closed = True
        self.account.clear(holder)
        self._holders.discard(holder)
        self._untaken.discard(holder)

    def refresh_size(self) -> None:
        """Apply a changed setting of the size.

        Reading is paused if less room is left than before: data that does not fit closes
        connections.
        """
        size = self._size()
        if size == self.account.size:
            return
        self.account.size = size
        self._tight_room = READ_BYTES + self.account.tight_room
        self._is_tight = False
        if self.account.room < self._tight_room:
            self._pause_unfit()

    # Additions

    def add(self, holder: ConnectionMemory, use: MemoryUse, count: int) -> bool:
        """Add bytes; return ``False`` if they do not fit or the connection is closed."""
        if holder.closed or not self.account.add(holder, use, count):
            return False
        if self.account.room < self._tight_room:
            self._pause_unfit()
        else:
            self._is_tight = False
        return True

    def add_or_close(self, holder: ConnectionMemory, use: MemoryUse, count: int) -> bool:
        """Add bytes that are already in memory; close the connection if they do not fit.

        :return: ``False`` if the connection is closed.
        """
        if self.add(holder, use, count):
            return True
        if holder.closed:
            return False
        shortfall = count - self.account.room
        if self._close_slow(shortfall, keep=holder):
            return self.add(holder, use, count)
        self._close(holder)
        return False

    def make_body_room(self, holder: ConnectionMemory, count: int, body_bytes: int) -> bool:
        """Make room for bytes of a request body; return ``False`` if that is not possible."""
        if holder.closed:
            return False
        needed = count + self.account.body_reserve(body_bytes)
        if needed > self.account.room:
            self._close_slow(needed - self.account.room, keep=holder)
        if needed > self.account.body_room:
            shortfall = needed - self.account.body_room
            self._close_slow(shortfall, keep=holder, freed=_body_bytes)
        return self.account.body_fits(count, body_bytes)

    # Reading from workers

    def attach(self, holder: ConnectionMemory, reader: WorkerReader) -> None:
        """Register a worker connection on which a request is about to be sent."""
        self._reading[reader] = holder
        if self.account.room < READ_BYTES:
            self._pause_reading([reader])

    def detach(self, reader: WorkerReader) -> None:
        """Unregister a worker connection."""
        self._reading.pop(reader, None)
        if self._paused.pop(reader, None) is not None:
            reader.set_memory_pause(False)

    def pause_if_full(self, holder: ConnectionMemory, reader: WorkerReader) -> None:
        """Pause a worker connection if the holder may read no further."""
        if reader in self._reading and not self.account.may_read(holder, READ_BYTES):
            self._pause_reading([reader])

    def _pause_unfit(self) -> None:
        """Pause the worker connections for which a further read might not fit."""
        if not self._reading:
            return
        if self.account.room < READ_BYTES:
            self._pause_reading(list(self._reading))
        elif not self._is_tight:
            # Holders that become heavy later are paused after their own reads.
            self._is_tight = True
            self._pause_reading(
                [
                    reader
                    for reader, holder in self._reading.items()
                    if not self.account.may_read(holder, READ_BYTES)
                ]
            )

    def _pause_reading(self, readers: list[WorkerReader]) -> None:
        if not readers:
            return
        if not self._paused:
            self._progressed_at = self.clock()
        for reader in readers:
            self._paused[reader] = self._reading.pop(reader)
            reader.set_memory_pause(True)
        self._schedule(TICK_SECONDS)

    def _resume_readers(self, now: float) -> None:
        """Resume paused worker connections in the order of their pauses, as far as reads fit."""
        reserved = READ_BYTES
        # Callers that have nothing to take wait for data; the others have data left.
        paused = sorted(
            self._paused.items(), key=lambda item: item[1].by_use[MemoryUse.UNTAKEN_RESPONSE] > 0
        )
        for reader, holder in paused:
            if not self.account.may_read(holder, reserved):
                if self.account.room < reserved:
                    return
                continue
            reserved += READ_BYTES
            self._progressed_at = now
            self._reading[reader] = self._paused.pop(reader)
            reader.set_memory_pause(False)

    # Periodic checks

    def watch(self, holder: ConnectionMemory) -> None:
        """Check periodically how much of its data the caller has taken."""
        self._untaken.add(holder)
        if self._timer is None:
            self._schedule(IDLE_TICK_SECONDS)

    def resume_soon(self) -> None:
        """Check paused worker connections soon, as a caller has taken all its data."""
        if self._paused:
            self._schedule(TICK_SECONDS)

    def _schedule(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time() + seconds
        if self._timer is not None:
            if self._timer_due <= due:
                return
            self._timer.cancel()
        self._timer_due = due
        self._timer = loop.call_at(due, self._tick)

    def _tick(self) -> None:
        self._timer = None
        now = self.clock()
        self._measure_untaken()
        is_waiting = bool(self._paused) and self._relieve(now)
        self._resume_readers(now)
        if self._paused or self._untaken:
            self._schedule(TICK_SECONDS if is_waiting and self._paused else IDLE_TICK_SECONDS)

    def _measure_untaken(self) -> None:
        """Count what callers have taken since the last check."""
        for holder in list(self._untaken):
            holder.set_untaken(holder.handle.untaken_bytes(), 0)
            if not holder.by_use[MemoryUse.UNTAKEN_RESPONSE]:
                self._untaken.discard(holder)

    def _relieve(self, now: float) -> bool:
        """Close slow callers if paused worker connections need their memory.

        :return: whether there are such worker connections.
        """
        waiting = [holder for holder in self._paused.values() if self._is_served(holder, now)]
        if not waiting:
            self._progressed_at = now
            return False
        light = sum(holder.is_light for holder in waiting)
        if light and self.account.room < READ_BYTES:
            wanted = min(light * READ_BYTES, self.account.tight_room) - self.account.room
            self._close_slow(wanted) or self._close_slow(READ_BYTES - self.account.room)
        if now - self._progressed_at >= DEADLOCK_SECONDS:
            self._progressed_at = now
            self._close_slow(READ_BYTES, include_active=True)
        return True

    def _is_served(self, holder: ConnectionMemory, now: float) -> bool:
        """Return whether others are closed so that more is read for a holder.

        Callers with much data to take are read for again when they have taken most of it.
        """
        if holder.by_use[MemoryUse.UNTAKEN_RESPONSE] > LIGHT_HOLDER_BYTES:
            return False
        slow_seconds = holder.slow_seconds(now)
        return slow_seconds is None or slow_seconds < STALLED_SECONDS

    # Closing

    def _close_slow(
        self,
        needed: int,
        keep: ConnectionMemory | None = None,
        include_active: bool = False,
        freed: Callable[[MemoryHolder], int] = lambda holder: holder.held,
    ) -> bool:
        """Close connections to free memory; return whether enough was freed."""
        self._measure_untaken()
        now = self.clock()
        candidates = [holder for holder in self._holders if holder is not keep]
        chosen = choose_closures(candidates, needed, now, STALLED_SECONDS, include_active, freed)
        for holder in chosen:
            self._close(holder)
        return bool(chosen)

    def _close(self, holder: ConnectionMemory) -> None:
        self.slow_readers_closed += 1
        slow_seconds = holder.slow_seconds(self.clock())
        self._log.log(
            LogEvent.CONNECTION_CLOSED_FOR_MEMORY,
            request=holder.request_id,
            caller=holder.handle.peer_address(),
            held=holder.held,
            untaken_seconds=None if slow_seconds is None else round(slow_seconds, 3),
            resumable=holder.resumable,
        )
        self.forget(holder)
        holder.handle.close_for_memory()


def _body_bytes(holder: MemoryHolder) -> int:
    return sum(holder.by_use[use] for use in BODY_USES)
