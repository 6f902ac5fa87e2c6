"""Revisions that stay ordered when the store returns from an older copy.

The store then continues with revisions that it has given out before, and names a new era. Revisions
of this client contain the era, so a later change always has a higher revision.
"""

from wheelslip.events import LogEvent, log_event
from wheelslip.keyvalue.model import (
    KeyValue,
    KeyValueOutcomeUnknown,
    KeyValueUnavailable,
    RangeResult,
    Transaction,
    TransactionResult,
    WatchBatch,
    WatchCompacted,
    era_of,
    ordered_revision,
    store_revision,
)
from wheelslip.registry.interface import KeyValueStore


class OrderedStore:
    """Client of a store with ordered revisions; see :class:`KeyValueStore` for its methods.

    :param store: client with the revisions of the store itself.
    """

    def __init__(self, store: KeyValueStore):
        self._store = store
        self._logged_era: int | None = None

    @property
    def era(self) -> int:
        """Era of the latest response; 0 before the first one."""
        era = self._store.era or 0
        if era != self._logged_era:
            log_event(LogEvent.KEY_VALUE_ERA, era=era, previous=self._logged_era)
            self._logged_era = era
        return era

    async def range(self, prefix: str) -> RangeResult:
        """Return all keys under a prefix.

        :raises KeyValueUnavailable: if the store returned from a copy between two pages.
        """
        before = self._store.era
        listing = await self._store.range(prefix)
        era = self.era
        if before not in (None, era):
            raise KeyValueUnavailable("the store has returned from an older copy")
        entries = tuple(self._ordered(entry, era) for entry in listing.entries)
        return RangeResult(ordered_revision(era, listing.revision), entries)

    async def watch(self, prefix: str, after: int, wait_seconds: float) -> WatchBatch:
        """Wait for changes after a revision.

        :raises WatchCompacted: if the revision is of an earlier era; the store may have given it
            out again.
        """
        batch = await self._store.watch(prefix, store_revision(after), wait_seconds)
        era = self.era
        if era != era_of(after):
            raise WatchCompacted(f"revision of era {era_of(after)}, the store is in era {era}")
        changes = tuple(
            (key, value, ordered_revision(era, revision)) for key, value, revision in batch.changes
        )
        return WatchBatch(ordered_revision(era, batch.revision), changes)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Make all changes of a transaction or none.

        Expected revisions of an earlier era are a conflict.

        :raises KeyValueOutcomeUnknown: if the store returned from a copy during the call.
        """
        era, expected = self.era, transaction.expected
        if any(revision and era_of(revision) != era for revision in expected.values()):
            return TransactionResult(False, ordered_revision(era, 0))
        own = {key: store_revision(revision) for key, revision in expected.items()}
        result = await self._store.transact(
            Transaction(own, transaction.changes, transaction.read_on_conflict)
        )
        if self.era != era and any(own.values()):
            raise KeyValueOutcomeUnknown("the store has returned from an older copy")
        era = self.era
        conflicting = tuple(self._ordered(entry, era) for entry in result.conflicting)
        return TransactionResult(
            result.succeeded, ordered_revision(era, result.revision), conflicting
        )

    async def grant_lease(self, seconds: float) -> int:
        """Grant a lease and return its id."""
        return await self._store.grant_lease(seconds)

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""
        return await self._store.renew_lease(lease)

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and remove its keys."""
        await self._store.revoke_lease(lease)

    @staticmethod
    def _ordered(entry: KeyValue, era: int) -> KeyValue:
        return KeyValue(entry.key, entry.value, ordered_revision(era, entry.mod_revision))
