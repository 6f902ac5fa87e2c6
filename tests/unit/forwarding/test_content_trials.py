"""Turns of suspected contents: one node at a time, and few calls of the store."""

import asyncio

import pytest

from wheelslip.forwarding.content_trials import (
    TAKE_PAUSE_SECONDS,
    TRIALS_PREFIX,
    VOID_SECONDS,
    ContentTrials,
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
    one = ContentTrials("n1", store, registry, clock)
    registry.on_system_entry = one.entry_changed
    return one


def test_a_turn_is_one_nodes_until_it_is_given_back(trials, store, registry, clock):
    other = ContentTrials("n2", store, registry, clock)
    trial = asyncio.run(trials.take("s"))
    assert trial is not None and asyncio.run(other.take("s")) is None
    asyncio.run(trials.give_back(trial))
    clock.now += TAKE_PAUSE_SECONDS
    assert asyncio.run(other.take("s")) is not None


def test_a_node_whose_view_shows_anothers_turn_calls_nobody(trials, store, registry):
    registry.apply(KEY, b"n2", 11)
    assert asyncio.run(trials.take("s")) is None
    assert store.calls == 0


def test_a_turn_of_a_node_that_died_becomes_void(trials, store, registry, clock):
    store.revision = 11
    registry.apply(KEY, b"n2", 11)
    clock.now += VOID_SECONDS
    assert asyncio.run(trials.take("s")) is not None


def test_a_content_that_many_ask_for_costs_few_calls(trials, store, clock):
    store.revision = 99
    for _ in range(100):
        assert asyncio.run(trials.take("s")) is None
        clock.now += 0.01
    assert store.calls == 1 / TAKE_PAUSE_SECONDS


def test_without_the_store_nobody_has_a_turn(trials, store):
    store.down = True
    assert asyncio.run(trials.take("s")) is None
