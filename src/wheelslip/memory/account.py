"""Account of the bytes that a node holds for callers' connections.

The account only counts and decides; ``node_memory.py`` applies its decisions to connections.
"""

import enum
from collections.abc import Callable, Iterable

PROCESS_MEGABYTES = 64
"""Memory of the process itself. A node that has just started uses 25 MB (bench/slow_readers.py);
an earlier build with 130 streams at once used 61 MB (docs/MEASUREMENTS.md)."""

ACCOUNT_SHARE = 0.5
"""Share of the remaining memory that the account may use. The rest is for what is not counted:
objects of connections and requests, up to 2,000 at the descriptor limit of the smallest node, spare
capacity of buffers and fragmentation. Buffers of 28 MB made a process grow by 34 MB."""

SMALLEST_SHARE = 0.125
"""Minimum size of the account as a share of all memory, for machines smaller than any deployed."""

BODY_SHARE = 0.5
"""Share of the account for request bodies. Responses always have the rest: requests end, and free
their bodies, only if their responses can be read."""

LARGE_BODY_BYTES = 64 * 1024
"""Size from which a request body counts as large. Prompts of 9,000 tokens are shorter."""

SMALL_BODY_RESERVE = 0.125
"""Share of the account that large bodies leave free for small ones."""

LIGHT_READER_RESERVE = 0.25
"""Share of the account into which only responses of light holders are read, so that the streams of
callers that take their data continue while others fill the account."""

LIGHT_HOLDER_BYTES = 64 * 1024
"""Bytes of responses up to which a holder is light."""

BUFFERED_SHARE = 0.5
"""Share of the account for responses that are buffered completely. Callers take them afterwards."""

UNTAKEN_SHARE = 0.0625
"""Maximum share of the account that is read ahead for one caller that does not take it."""

READ_BYTES = 64 * 1024
"""Maximum size of one read from a worker. A worker connection is read only while the account has
room for this, as the data is in memory before its size is known."""

HEADER_OBJECT_BYTES = 150
"""Memory of the objects of one header of a request, beside its text."""

ORDINARY_HEAD_BYTES = 8192
"""Memory of a request's head that is not counted, as part of the objects of a request."""

RECEIVE_SECONDS = 2.0
"""Time that a caller has to send a body before it counts as slow. A body of 1 MB takes 1.6 s on the
slowest link of a node, 5 Mbit/s."""


class MemoryUse(enum.IntEnum):
    """What bytes are held for.

    ``REQUEST_BODY``: bodies and large heads, kept for retries until the request ends.
    ``UNSENT_REQUEST``: requests that the worker has not taken. ``UNREAD_RESPONSE``: received from a
    worker and not yet processed. ``BUFFERED_RESPONSE``: responses and events that are not yet
    complete. ``UNTAKEN_RESPONSE``: written to the caller, who has not taken them.
    """

    REQUEST_BODY = 0
    UNSENT_REQUEST = 1
    UNREAD_RESPONSE = 2
    BUFFERED_RESPONSE = 3
    UNTAKEN_RESPONSE = 4


BODY_USES = (MemoryUse.REQUEST_BODY, MemoryUse.UNSENT_REQUEST)


def account_bytes(memory_megabytes: float) -> int:
    """Return the size of the account of a machine."""
    share = ACCOUNT_SHARE * (memory_megabytes - PROCESS_MEGABYTES)
    return int(1_000_000 * max(share, SMALLEST_SHARE * memory_megabytes))


def counted_head_bytes(headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Return the bytes of a request's head that are counted."""
    sizes = [HEADER_OBJECT_BYTES + len(name) + len(value) for name, value in headers]
    return max(0, sum(sizes) - ORDINARY_HEAD_BYTES)


class MemoryHolder:
    """Bytes held for one connection of a caller.

    :ivar by_use: bytes by use.
    :ivar held: their sum.
    :ivar taken_at: when the caller last took data; valid while it has not taken all.
    :ivar receiving_since: when the caller began to send the request that is being received, or
        ``None``.
    :ivar is_stream: the response is a stream of events.
    :ivar resumable: the stream may be continued by another request.
    """

    __slots__ = ("by_use", "held", "taken_at", "receiving_since", "is_stream", "resumable")

    def __init__(self):
        self.by_use = [0] * len(MemoryUse)
        self.held = 0
        self.taken_at = 0.0
        self.receiving_since: float | None = None
        self.is_stream = False
        self.resumable = False

    @property
    def is_light(self) -> bool:
        """Whether few bytes of responses are held."""
        bodies = self.by_use[MemoryUse.REQUEST_BODY] + self.by_use[MemoryUse.UNSENT_REQUEST]
        return self.held - bodies <= LIGHT_HOLDER_BYTES

    def slow_seconds(self, now: float) -> float | None:
        """Return for how long the caller has delayed its request.

        :return: ``None`` if the node does not wait for the caller.
        """
        if self.receiving_since is not None:
            return max(0.0, now - self.receiving_since - RECEIVE_SECONDS)
        if self.by_use[MemoryUse.UNTAKEN_RESPONSE]:
            return max(0.0, now - self.taken_at)
        return None


class MemoryAccount:
    """Sum of the bytes of all holders, which never exceeds the size of the account.

    :ivar size: in bytes; a reduction below the held bytes only prevents additions.
    :ivar held: bytes held.
    :ivar by_use: these bytes by use.
    """

    def __init__(self, size: int):
        self.size = size
        self.held = 0
        self.by_use = [0] * len(MemoryUse)

    @property
    def room(self) -> int:
        """Bytes that may be added."""
        return self.size - self.held

    @property
    def body_room(self) -> int:
        """Bytes that may be added to request bodies, if there is room for them at all."""
        bodies = sum(self.by_use[use] for use in BODY_USES)
        return int(self.size * BODY_SHARE) - bodies

    def add(self, holder: MemoryHolder, use: MemoryUse, count: int) -> bool:
        """Add bytes; return ``False`` and change nothing if they do not fit."""
        if self.held + count > self.size:
            return False
        self.held += count
        self.by_use[use] += count
        holder.held += count
        holder.by_use[use] += count
        return True

    def remove(self, holder: MemoryHolder, use: MemoryUse, count: int) -> None:
        """Remove bytes, at most those that are held."""
        count = min(count, holder.by_use[use])
        self.held -= count
        self.by_use[use] -= count
        holder.held -= count
        holder.by_use[use] -= count

    def move(self, holder: MemoryHolder, use: MemoryUse, new_use: MemoryUse, count: int) -> None:
        """Change the use of bytes, at most of those that are held."""
        count = min(count, holder.by_use[use])
        for changed_use, change in ((use, -count), (new_use, count)):
            self.by_use[changed_use] += change
            holder.by_use[changed_use] += change

    def clear(self, holder: MemoryHolder) -> None:
        """Remove all bytes of a holder."""
        for use in MemoryUse:
            self.remove(holder, use, holder.by_use[use])

    def body_reserve(self, body_bytes: int) -> int:
        """Return the bytes that must stay free when bytes of a request body are added.

        :param body_bytes: size of the complete body as far as it is known.
        """
        return int(self.size * SMALL_BODY_RESERVE) if body_bytes > LARGE_BODY_BYTES else 0

    def body_fits(self, count: int, body_bytes: int) -> bool:
        """Return whether bytes of a request body fit."""
        return count + self.body_reserve(body_bytes) <= min(self.room, self.body_room)

    @property
    def tight_room(self) -> int:
        """Room below which only light holders' responses are read, without the size of a read."""
        return int(self.size * LIGHT_READER_RESERVE)

    def may_read(self, holder: MemoryHolder, count: int) -> bool:
        """Return whether data of a worker may be read for a holder.

        :param count: maximum number of bytes of one read.
        """
        if self.at_untaken_limit(holder):
            return False
        reserve = 0 if holder.is_light else self.tight_room
        return self.room >= count + reserve

    def at_untaken_limit(self, holder: MemoryHolder) -> bool:
        """Return whether the maximum is held for a caller that does not take it."""
        return holder.by_use[MemoryUse.UNTAKEN_RESPONSE] > self.size * UNTAKEN_SHARE


def choose_closures(
    holders: Iterable[MemoryHolder],
    needed: int,
    now: float,
    min_slow_seconds: float,
    include_active: bool = False,
    freed: Callable[[MemoryHolder], int] = lambda holder: holder.held,
) -> list[MemoryHolder]:
    """Choose the holders whose connections are closed to free memory.

    Callers that delay their request go first: resumable streams before others, and among these
    the ones with the largest product of bytes and time. Holders of other requests come last, the
    largest first.

    :param needed: bytes to free.
    :param min_slow_seconds: callers that delay their request for a shorter time are not closed.
    :param include_active: whether other holders may be closed.
    :param freed: returns the bytes that count as freed when a holder is closed.
    :return: empty if closing all candidates would not free enough.
    """
    ranked = []
    for holder in holders:
        count = freed(holder)
        seconds = holder.slow_seconds(now)
        is_slow = seconds is not None and seconds >= min_slow_seconds
        if count <= 0 or not (is_slow or include_active):
            continue
        order = (0 if holder.resumable else 1, -count * seconds) if is_slow else (2, -count)
        ranked.append((order, count, holder))
    ranked.sort(key=lambda candidate: candidate[0])
    chosen, total = [], 0
    for _, count, holder in ranked:
        if total >= needed:
            break
        chosen.append(holder)
        total += count
    return chosen if total >= needed else []
