"""Turns of suspected contents: one node at a time, and few calls of the store."""

import asyncio

import pytest

from wheelslip.forwarding.content_trials import (
    ACQUIRE_RETRY_SECONDS,
    LOCK_EXPIRY_SECONDS,
    TRIALS_PREFIX,
    TrialLocks,
)
from wheelslip.keyvalue.model import KeyValueUnavailable, Put, Transaction, TransactionResult

KEY = TRIALS_PREFIX + "s"


class Store:
    """One key with compare-and-swap; the view learns of it when the test says so."""

    def __init__(self):
        self.revision = 0
        self.last = 10
        self.calls = 0
        self.down = False

    async def transact(self, transaction: Transaction) -> TransactionResult:
        self.calls += 1
        if self.down:
            raise KeyValueUnavailable("down")
        if transaction.expected[KEY] != self.revision:
            return TransactionResult(False, 0)
        self.last += 1
        self.revision = self.last if isinstance(transaction.changes[0], Put) else 0
        return TransactionResult(True, self.last)


@pytest.fixture
def store():
    return Store()


@pytest.fixture
def trials(store, registry, clock):
    one = TrialLocks("n1", store, registry, clock)
    registry.on_own_entry = one.entry_changed
    return one


def test_a_turn_is_one_nodes_until_it_is_given_back(trials, store, registry, clock):
    other = TrialLocks("n2", store, registry, clock)
    trial = asyncio.run(trials.acquire("s"))
    assert trial is not None and asyncio.run(other.acquire("s")) is None
    asyncio.run(trials.release(trial))
    clock.now += ACQUIRE_RETRY_SECONDS
    assert asyncio.run(other.acquire("s")) is not None


def test_a_node_whose_view_shows_anothers_turn_calls_nobody(trials, store, registry):
    registry.apply(KEY, b"n2", 11)
    assert asyncio.run(trials.acquire("s")) is None
    assert store.calls == 0


def test_a_turn_of_a_node_that_died_becomes_void(trials, store, registry, clock):
    store.revision = 11
    registry.apply(KEY, b"n2", 11)
    clock.now += LOCK_EXPIRY_SECONDS
    assert asyncio.run(trials.acquire("s")) is not None


def test_a_content_that_many_ask_for_costs_few_calls(trials, store, clock):
    store.revision = 99
    for _ in range(100):
        assert asyncio.run(trials.acquire("s")) is None
        clock.now += 0.01
    assert store.calls == 1 / ACQUIRE_RETRY_SECONDS


def test_without_the_store_nobody_has_a_turn(trials, store):
    store.down = True
    assert asyncio.run(trials.acquire("s")) is None
