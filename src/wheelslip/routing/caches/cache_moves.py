"""Estimated duration of KV cache transfers. Each worker and store does one transfer at a time."""

from typing import NamedTuple

OTHER_ZONE_FACTOR = 2.0
"""Factor by which transfers between zones take longer."""

MAX_WAIT_SECONDS = 2.0
"""A transfer that would have to wait longer is not started."""


class TransferEndpoint(NamedTuple):
    """Source or target of a transfer: a worker or a store."""

    address: str
    zone: str
    bytes_per_second: float


class TransferSchedule:
    """Expected end of the pending transfers of each worker and store."""

    def __init__(self):
        self._free_at: dict[str, float] = {}

    def busy_until(self, address: str) -> float:
        """Return when the pending transfers of an endpoint end; in the past when it is idle."""
        return self._free_at.get(address, 0.0)

    def seconds(
        self, source: TransferEndpoint, target: TransferEndpoint, size: float, now: float
    ) -> float | None:
        """Return the seconds until a new transfer would end, ``None`` when it would not start.

        :param size: in bytes.
        """
        begin = max(now, self.busy_until(source.address), self.busy_until(target.address))
        if begin - now > MAX_WAIT_SECONDS:
            return None
        return begin - now + _duration(source, target, size)

    def add(
        self, source: TransferEndpoint, target: TransferEndpoint, size: float, now: float
    ) -> None:
        """Add a transfer, unless it would not start."""
        seconds = self.seconds(source, target, size, now)
        if seconds is None:
            return
        self._free_at[source.address] = self._free_at[target.address] = now + seconds


def _duration(source: TransferEndpoint, target: TransferEndpoint, size: float) -> float:
    factor = 1.0 if source.zone == target.zone else OTHER_ZONE_FACTOR
    return factor * size / max(1.0, min(source.bytes_per_second, target.bytes_per_second))
