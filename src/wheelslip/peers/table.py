"""Replicated last-writer-wins table.

Records spread by gossip; digests detect tables that differ.
"""

import math
from collections.abc import Iterable

import msgspec
import xxhash

from wheelslip.peers.messages import Record

_TRANSMISSION_FACTOR = 3
"""Transmissions of a changed record, per binary logarithm of the number of members."""


class ReplicatedTable:
    """Local replica of the table.

    :ivar digest: XOR of the digests of all records; equal for equal tables.
    """

    def __init__(self):
        self._records: dict[str, Record] = {}
        self._transmissions_left: dict[str, int] = {}
        self.digest = 0

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: str) -> Record | None:
        """Return the record of a key, or ``None``."""
        return self._records.get(key)

    def records(self) -> tuple[Record, ...]:
        """Return all records."""
        return tuple(self._records.values())

    def with_prefix(self, prefix: str) -> list[Record]:
        """Return the records whose key starts with ``prefix``."""
        return [record for key, record in self._records.items() if key.startswith(prefix)]

    def merge(self, record: Record, member_count: int) -> bool:
        """Store a record if it is newer than the current one; return whether it was stored."""
        old = self._records.get(record.key)
        if not record.newer_than(old):
            return False
        if old is not None:
            self.digest ^= _record_digest(old)
        self.digest ^= _record_digest(record)
        self._records[record.key] = record
        transmissions = math.ceil(_TRANSMISSION_FACTOR * math.log2(member_count + 2))
        self._transmissions_left[record.key] = transmissions
        return True

    def write(self, key: str, value: object, member_count: int) -> Record:
        """Write a value at the version that follows the current one, and return its record."""
        old = self._records.get(key)
        version = old.version + 1 if old else 1
        record = Record(key, version, msgspec.Raw(msgspec.json.encode(value)))
        self.merge(record, member_count)
        return record

    def remove(self, key: str) -> None:
        """Remove a record from the local replica only."""
        record = self._records.pop(key, None)
        if record is not None:
            self.digest ^= _record_digest(record)
            self._transmissions_left.pop(key, None)

    def next_gossip(self, max_bytes: int) -> tuple[Record, ...]:
        """Return records to piggyback, least transmitted first, and count the transmission."""
        batch = []
        size = 0
        for key in sorted(self._transmissions_left, key=self._transmissions_left.get, reverse=True):
            record = self._records[key]
            size += len(record.key) + len(bytes(record.value)) + 16
            if size > max_bytes:
                break
            batch.append(record)
            self._transmissions_left[key] -= 1
            if self._transmissions_left[key] == 0:
                del self._transmissions_left[key]
        return tuple(batch)

    def records_newer_than(self, records: Iterable[Record]) -> tuple[Record, ...]:
        """Return the local records that are newer than, or missing from, ``records``."""
        remote = {record.key: record for record in records}
        return tuple(
            record for key, record in self._records.items() if record.newer_than(remote.get(key))
        )


def _record_digest(record: Record) -> int:
    # Includes the value, as two nodes may concurrently write the same version.
    content = f"{record.key}\0{record.version}\0".encode() + bytes(record.value)
    return xxhash.xxh3_64_intdigest(content)
