"""Latest value of every key of the store, and the latest removed keys.

Values are raw bytes, so that a node can pass them on without decoding them. Pure state: no clock,
no sockets.
"""

import zlib
from collections.abc import Iterator
from typing import NamedTuple

from wheelslip.documents import MAX_DOCUMENT_BYTES, DocumentError
from wheelslip.keyvalue.model import WatchCompacted

MAX_REMOVED_KEYS = 1000
"""Removed keys recorded. A poll from a revision before the oldest one gets a complete listing."""

COMPRESSION_THRESHOLD_BYTES = 1024
"""Size from which values are stored and sent compressed. A relay sends a changed configuration to
all its followers at once; workers' entries are smaller."""


class EntryChange(NamedTuple):
    """The last change of one key.

    :ivar value: ``None`` when the key was removed.
    :ivar revision: revision of the store at which the key changed.
    :ivar compressed: whether the value is compressed (zlib).
    """

    key: str
    value: bytes | None
    revision: int
    compressed: bool = False

    @classmethod
    def from_value(cls, key: str, value: bytes, revision: int) -> "EntryChange":
        """Return a change of a key to a value, compressed if the value is large."""
        if len(value) < COMPRESSION_THRESHOLD_BYTES:
            return cls(key, value, revision)
        return cls(key, zlib.compress(value), revision, compressed=True)

    def decompressed(self) -> "EntryChange":
        """Return the change with its value uncompressed.

        :raises DocumentError: when the value cannot be decompressed.
        """
        if not self.compressed:
            return self
        decompressor = zlib.decompressobj()
        try:
            value = decompressor.decompress(self.value, MAX_DOCUMENT_BYTES)
        except (zlib.error, TypeError) as exc:
            raise DocumentError(f"{self.key}: {exc}") from exc
        if not decompressor.eof:
            raise DocumentError(
                f"{self.key}: incomplete, or larger than {MAX_DOCUMENT_BYTES} bytes"
            )
        return EntryChange(self.key, value, self.revision)


class EntryLog:
    """The latest change of each key.

    :ivar revision: revision of the store up to which this log contains every change.
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
        """Iterate over a snapshot of the present keys."""
        return iter(list(self._entries))

    def revision_of(self, key: str) -> int:
        """Return the revision of a key's last change; 0 for an unknown key."""
        entry = self._entries.get(key)
        return entry.revision if entry else self._removed.get(key, 0)

    def apply(self, key: str, value: bytes | None, revision: int) -> bool:
        """Record one change.

        :param value: ``None`` when the key was removed.
        :return: whether the change was newer than the recorded state and was recorded.
        """
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
        """Return whether an absent key that existed at a revision has been removed since.

        Without this, a listing of a node with an older view would restore keys whose removal is not
        recorded here.
        """
        return key not in self._entries and revision <= max(self._complete_from, self.revision)

    def _evict_oldest_removals(self) -> None:
        while len(self._removed) > MAX_REMOVED_KEYS:
            oldest = min(self._removed, key=self._removed.__getitem__)
            self._complete_from = max(self._complete_from, self._removed.pop(oldest))

    def begin_listing(self, revision: int) -> None:
        """Prepare for a complete listing as of a revision.

        Keys that were added and removed since the last complete revision are unknown, so no changes
        can be returned for revisions in between.
        """
        if revision > self.revision:
            _, end = self._gap
            self._complete_from = max(self._complete_from, end)
            self._gap = (self.revision, revision)

    def listing(self) -> list[EntryChange]:
        """Return all present keys."""
        return list(self._entries.values())

    def changes_after(self, revision: int) -> list[EntryChange]:
        """Return the changes since a revision, in the order of their revisions.

        :raises WatchCompacted: when removals since that revision may be missing.
        """
        if revision < self._complete_from:
            raise WatchCompacted(f"history before revision {self._complete_from} was discarded")
        begin, end = self._gap
        if begin < revision < end:
            # Followers would keep workers that departed before this node's first view.
            raise WatchCompacted(f"removals between revisions {begin} and {end} are unknown")
        changes = [change for change in self._entries.values() if change.revision > revision]
        changes += [
            EntryChange(key, None, removed_at)
            for key, removed_at in self._removed.items()
            if removed_at > revision
        ]
        return sorted(changes, key=lambda change: change.revision)
