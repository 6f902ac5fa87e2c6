"""Which software version began each stream. No I/O; the clock is injected."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

import xxhash

MAX_RECORDS = 32_768
"""Maximum number of streams recorded at one node; the oldest records are evicted."""

MAX_RECORD_SECONDS = 600.0
"""Upper bound of the time for which a stream is recorded."""

HISTORY_SECONDS = 60.0
"""Time for which a software version counts as in use after its last worker has left."""


class StreamOrigin(NamedTuple):
    """Service and software version of the worker that began a stream."""

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
        """Record the origin of streams for a time; a later origin replaces an earlier one."""
        expires_at = self._clock() + min(seconds, MAX_RECORD_SECONDS)
        for key in keys:
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


class VersionHistory:
    """Software versions that this node has seen in each service.

    :param in_view: returns the versions of the workers of a service that are in the view now.
    """

    def __init__(self, in_view: Callable[[str], set[str]], clock: Callable[[], float]):
        self._in_view = in_view
        self._clock = clock
        self._started_at = clock()
        self._left_at: dict[str, dict[str, float]] = {}

    def record_left(self, service: str, version: str) -> None:
        """Record that a worker of a version has left the view."""
        now = self._clock()
        left_at = self._left_at.setdefault(service, {})
        left_at[version] = now
        for old in [key for key, at in left_at.items() if now - at > HISTORY_SECONDS]:
            del left_at[old]

    @property
    def is_complete(self) -> bool:
        """Whether this node runs long enough to have seen all versions in use."""
        return self._clock() - self._started_at >= HISTORY_SECONDS

    def versions(self, service: str) -> set[str]:
        """Return the versions in use now or within :data:`HISTORY_SECONDS`."""
        oldest = self._clock() - HISTORY_SECONDS
        left_at = self._left_at.get(service, {})
        return self._in_view(service) | {version for version, at in left_at.items() if at > oldest}

    def sole_version(self, service: str) -> str | None:
        """Return the only version that this node has seen, ``None`` without or with several."""
        versions = self.versions(service)
        return next(iter(versions)) if len(versions) == 1 else None
