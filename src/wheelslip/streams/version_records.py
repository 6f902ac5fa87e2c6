"""Which software version began each stream. No I/O; the clock is injected."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

import xxhash

from wheelslip.streams.process_names import is_unverified

MAX_RECORDS = 32_768
"""Maximum number of streams recorded at one node; the oldest records are evicted."""

MAX_RECORD_SECONDS = 600.0
"""Upper bound of the time for which a stream is recorded."""


class StreamOrigin(NamedTuple):
    """Service and software version of the worker that began a stream.

    :ivar software_version: or the name of the worker's process, while its version is not known.
    """

    service: str
    software_version: str


class _Record(NamedTuple):
    origin: StreamOrigin
    expires_at: float


def stream_key(request_id: str) -> str:
    """Return the key of the stream that a request began, 16 hexadecimal digits."""
    return xxhash.xxh3_64_hexdigest(request_id.encode("latin-1", "replace"))


class StreamRecords:
    """Origins of streams by key, of this node's streams and of those for which it is a backup."""

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._records: dict[str, _Record] = {}

    def __len__(self) -> int:
        return len(self._records)

    def record(self, keys: Iterable[str], origin: StreamOrigin, seconds: float) -> None:
        """Record the origin of streams for a time; a later origin replaces an earlier one.

        A record that names no verified process replaces none that does. The oldest records are
        deleted if they have expired.
        """
        now = self._clock()
        while self._records and self._records[next(iter(self._records))].expires_at <= now:
            del self._records[next(iter(self._records))]
        expires_at = now + min(seconds, MAX_RECORD_SECONDS)
        unverified = is_unverified(origin.software_version)
        for key in keys:
            known = self.find(key)
            if known is None or is_unverified(known.software_version) or not unverified:
                self._records.pop(key, None)
                self._records[key] = _Record(origin, expires_at)
        while len(self._records) > MAX_RECORDS:
            del self._records[next(iter(self._records))]

    def find(self, key: str) -> StreamOrigin | None:
        """Return the origin of a stream, ``None`` if it is not recorded."""
        record = self._records.get(key)
        if record is None or record.expires_at <= self._clock():
            return None
        return record.origin

    def remove_expired(self) -> None:
        """Delete expired records."""
        now = self._clock()
        expired = [key for key, record in self._records.items() if record.expires_at <= now]
        for key in expired:
            del self._records[key]
