"""A replicated table of records: last writer wins, spread as rumours, checked by digest."""

import math
from collections.abc import Iterable

import msgspec
import xxhash

from wheelslip.peers.messages import Record

_RUMOUR_FACTOR = 3


class ReplicatedTable:
    """Records by key, those still worth spreading, and a digest of them all."""

    def __init__(self):
        self._records: dict[str, Record] = {}
        self._sends_left: dict[str, int] = {}
        self.digest = 0

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: str) -> Record | None:
        """Return the record of a key."""
        return self._records.get(key)

    def records(self) -> tuple[Record, ...]:
        """Return all records."""
        return tuple(self._records.values())

    def with_prefix(self, prefix: str) -> list[Record]:
        """Return the records whose key starts with ``prefix``."""
        return [record for key, record in self._records.items() if key.startswith(prefix)]

    def merge(self, record: Record, member_count: int) -> bool:
        """Take a record when it is newer; return whether it was."""
        old = self._records.get(record.key)
        if not record.newer_than(old):
            return False
        if old is not None:
            self.digest ^= _record_digest(old)
        self.digest ^= _record_digest(record)
        self._records[record.key] = record
        sends = math.ceil(_RUMOUR_FACTOR * math.log2(member_count + 2))
        self._sends_left[record.key] = sends
        return True

    def write(self, key: str, value: object, member_count: int) -> Record:
        """Write a record of this node's own, newer than any known one."""
        old = self._records.get(key)
        version = old.version + 1 if old else 1
        record = Record(key, version, msgspec.Raw(msgspec.json.encode(value)))
        self.merge(record, member_count)
        return record

    def remove(self, key: str) -> None:
        """Forget a record at this node only."""
        record = self._records.pop(key, None)
        if record is not None:
            self.digest ^= _record_digest(record)
            self._sends_left.pop(key, None)

    def rumours(self, max_bytes: int) -> tuple[Record, ...]:
        """Return records to piggyback, the least sent first, and count them as sent."""
        chosen = []
        size = 0
        for key in sorted(self._sends_left, key=self._sends_left.get, reverse=True):
            record = self._records[key]
            size += len(record.key) + len(bytes(record.value)) + 16
            if size > max_bytes:
                break
            chosen.append(record)
            self._sends_left[key] -= 1
            if self._sends_left[key] == 0:
                del self._sends_left[key]
        return tuple(chosen)

    def newer_than(self, records: Iterable[Record]) -> tuple[Record, ...]:
        """Return the records that are newer here than in ``records``."""
        theirs = {record.key: record for record in records}
        return tuple(
            record for key, record in self._records.items() if record.newer_than(theirs.get(key))
        )


def _record_digest(record: Record) -> int:
    # Two nodes may write the same version at one time, so the value counts as well.
    content = f"{record.key}\0{record.version}\0".encode() + bytes(record.value)
    return xxhash.xxh3_64_intdigest(content)
