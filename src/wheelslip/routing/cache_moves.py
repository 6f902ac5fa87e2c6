"""How long moves of KV cache take: each worker and store does one after another."""

from typing import NamedTuple

OTHER_ZONE_FACTOR = 2.0
"""Moves between zones take this many times as long (the platform's protocol page)."""

LONGEST_WAIT_SECONDS = 2.0
"""A move that would wait longer is not begun (the platform's protocol page)."""


class MoveEnd(NamedTuple):
    """One end of a move: a worker or a store."""

    address: str
    zone: str
    bytes_per_second: float


class MoveSchedule:
    """When each worker and store is expected to have finished the moves that it was given."""

    def __init__(self):
        self._free_at: dict[str, float] = {}

    def busy_until(self, address: str) -> float:
        """Return when an end has finished its moves; in the past when it is idle."""
        return self._free_at.get(address, 0.0)

    def seconds(self, source: MoveEnd, target: MoveEnd, size: float, now: float) -> float | None:
        """Return how long a move would take from now on, ``None`` when it would not begin.

        :param size: in bytes.
        """
        begin = max(now, self.busy_until(source.address), self.busy_until(target.address))
        if begin - now > LONGEST_WAIT_SECONDS:
            return None
        return begin - now + _duration(source, target, size)

    def add(self, source: MoveEnd, target: MoveEnd, size: float, now: float) -> None:
        """A move has been ordered."""
        seconds = self.seconds(source, target, size, now)
        if seconds is None:
            return
        self._free_at[source.address] = self._free_at[target.address] = now + seconds


def _duration(source: MoveEnd, target: MoveEnd, size: float) -> float:
    factor = 1.0 if source.zone == target.zone else OTHER_ZONE_FACTOR
    return factor * size / max(1.0, min(source.bytes_per_second, target.bytes_per_second))
