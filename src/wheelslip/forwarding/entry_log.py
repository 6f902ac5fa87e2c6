"""Newest value of every key of the store that a node knows, and which keys have gone.

Kept as raw bytes, so that a node can pass on what it read without knowing its meaning.
Pure state: no clock, no sockets.
"""

import zlib
from collections.abc import Iterator
from typing import NamedTuple

from wheelslip.keyvalue.model import WatchCompacted

MAX_REMOVED_KEYS = 1000
"""Removed keys remembered; whoever asks for changes from before the oldest reads all anew."""


COMPRESSION_THRESHOLD_BYTES = 1024
"""Values from this size on are kept and passed on packed. A configuration of 30 KB goes to all
followers of a relay at once, and holds up all else on its link: 26 ms for each on a link of
10 Mbit/s. Workers' entries are smaller."""


class EntryChange(NamedTuple):
    """One key as it was last changed; ``value`` is ``None`` when it has gone.

    :ivar compressed: the value is compressed (zlib).
    """

    key: str
    value: bytes | None
    revision: int
    compressed: bool = False

    @classmethod
    def from_value(cls, key: str, value: bytes, revision: int) -> "EntryChange":
        """Return a change to a value, packed if that is worth it."""
        if len(value) < COMPRESSION_THRESHOLD_BYTES:
            return cls(key, value, revision)
        return cls(key, zlib.compress(value), revision, compressed=True)

    def decompressed(self) -> "EntryChange":
        """Return the change with its value as it is in the store.

        :raises ValueError: when it cannot be unpacked.
        """
        if not self.compressed:
            return self
        try:
            return EntryChange(self.key, zlib.decompress(self.value), self.revision)
        except (zlib.error, TypeError) as exc:
            raise ValueError(f"{self.key}: {exc}") from exc


class EntryLog:
    """Keys by name, each at its highest revision seen.

    :ivar revision: revision of the store up to which every change is in this log.
    """

    def __init__(self):
        self._entries: dict[str, EntryChange] = {}
        self._removed: dict[str, int] = {}
        self._complete_from = 0
        self._gap = (0, 0)
        self.revision = 0

    def __contains__(self, key: str) -> bool:
        return key in self._entries

    def __iter__(self) -> Iterator[str]:
        """Iterate over the keys that are there now; changes meanwhile do no harm."""
        return iter(list(self._entries))

    def revision_of(self, key: str) -> int:
        """Return the revision of a key's last known change; 0 when it was never seen."""
        entry = self._entries.get(key)
        return entry.revision if entry else self._removed.get(key, 0)

    def apply(self, key: str, value: bytes | None, revision: int) -> bool:
        """Take one change; return whether it is newer than what was known."""
        if revision <= self.revision_of(key):
            return False
        if self._is_removed(key, revision):
            return False
        if value is None:
            self._entries.pop(key, None)
            self._removed[key] = revision
            self._evict_oldest_removals()
            return True
        self._removed.pop(key, None)
        self._entries[key] = EntryChange.from_value(key, value, revision)
        return True

    def _is_removed(self, key: str, revision: int) -> bool:
        """Whether a key that is not there now was there at a revision, and has been removed since.

        An engine that had left came back into use by the listing of a node that was behind, when it
        had left before this node's first view or its removal was forgotten.
        """
        return key not in self._entries and revision <= max(self._complete_from, self.revision)

    def _evict_oldest_removals(self) -> None:
        while len(self._removed) > MAX_REMOVED_KEYS:
            oldest = min(self._removed, key=self._removed.__getitem__)
            self._complete_from = max(self._complete_from, self._removed.pop(oldest))

    def begin_listing(self, revision: int) -> None:
        """All keys as of a revision are going to be taken.

        Keys that came and went since the revision up to which this log was complete are not known,
        so nobody is told changes since a revision in between.
        """
        if revision > self.revision:
            _, end = self._gap
            self._complete_from = max(self._complete_from, end)
            self._gap = (self.revision, revision)

    def listing(self) -> list[EntryChange]:
        """Return all keys that are there now."""
        return list(self._entries.values())

    def changes_after(self, revision: int) -> list[EntryChange]:
        """Return what has changed since a revision, in order.

        :raises WatchCompacted: when a key that has gone since may be forgotten.
        """
        if revision < self._complete_from:
            raise WatchCompacted(f"nothing is known from before {self._complete_from}")
        begin, end = self._gap
        if begin < revision < end:
            # An engine that left before this node's first view stayed in use for good at
            # followers that were polling it from before that.
            raise WatchCompacted(f"removals between {begin} and {end} are not known")
        changes = [one for one in self._entries.values() if one.revision > revision]
        changes += [
            EntryChange(key, None, removed_at)
            for key, removed_at in self._removed.items()
            if removed_at > revision
        ]
        return sorted(changes, key=lambda one: one.revision)
