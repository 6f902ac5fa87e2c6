"""Revisions of a store that returns from an older copy."""

import asyncio

import pytest

from wheelslip.keyvalue.eras import OrderedStore
from wheelslip.keyvalue.model import (
    KeyValue,
    KeyValueOutcomeUnknown,
    KeyValueUnavailable,
    Put,
    RangeResult,
    Transaction,
    TransactionResult,
    WatchBatch,
    WatchCompacted,
    ordered_revision,
)


class Store:
    """Answers each call with a fixed revision, and names the next era in it."""

    def __init__(self, era, next_era=None):
        self.era = era
        self._next_era = era if next_era is None else next_era
        self.transactions = []

    async def range(self, prefix):
        self.era = self._next_era
        return RangeResult(9, (KeyValue("k", b"v", 5),))

    async def watch(self, prefix, after, wait_seconds):
        self.era = self._next_era
        return WatchBatch(9, (("k", b"v", 8),))

    async def transact(self, transaction):
        self.transactions.append(transaction)
        self.era = self._next_era
        return TransactionResult(True, 10)


def test_revisions_of_a_later_era_are_higher():
    listing = asyncio.run(OrderedStore(Store(2)).range(""))
    assert listing.revision == ordered_revision(2, 9) > ordered_revision(1, 10**9)
    assert listing.entries[0].mod_revision == ordered_revision(2, 5)


def test_revisions_are_unchanged_in_era_zero():
    assert asyncio.run(OrderedStore(Store(0)).watch("", 7, 0.1)).changes == (("k", b"v", 8),)


def test_watch_from_an_earlier_era_is_compacted_even_if_its_revision_is_known():
    with pytest.raises(WatchCompacted):
        asyncio.run(OrderedStore(Store(1, 2)).watch("", ordered_revision(1, 7), 0.1))


def test_listing_across_a_return_fails():
    with pytest.raises(KeyValueUnavailable):
        asyncio.run(OrderedStore(Store(1, 2)).range(""))


def test_expected_revision_of_an_earlier_era_is_a_conflict_and_is_not_sent():
    store = Store(2)
    transaction = Transaction({"k": ordered_revision(1, 7)}, (Put("k", b"v"),))
    assert not asyncio.run(OrderedStore(store).transact(transaction)).succeeded
    assert store.transactions == []


def test_outcome_of_a_transaction_across_a_return_is_unknown():
    transaction = Transaction({"k": ordered_revision(1, 7)}, (Put("k", b"v"),))
    with pytest.raises(KeyValueOutcomeUnknown):
        asyncio.run(OrderedStore(Store(1, 2)).transact(transaction))
