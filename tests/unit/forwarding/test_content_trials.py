"""Trial locks: exclusive between nodes, expiring, and with limited load on the store."""

import asyncio

import pytest

from wheelslip.crashes.trials import (
    ACQUIRE_RETRY_SECONDS,
    LOCK_EXPIRY_SECONDS,
    TRIALS_PREFIX,
    TrialLocks,
)
from wheelslip.keyvalue.model import KeyValueUnavailable, Put, Transaction, TransactionResult

KEY = TRIALS_PREFIX + "s"


class Store:
    """One key with compare-and-swap; the tests update the registry view themselves."""

    def __init__(self):
        self.revision = 0
        self.last_revision = 10
        self.calls = 0
        self.unavailable = False

    async def transact(self, transaction: Transaction) -> TransactionResult:
        self.calls += 1
        if self.unavailable:
            raise KeyValueUnavailable("down")
        if transaction.expected[KEY] != self.revision:
            return TransactionResult(False, 0)
        self.last_revision += 1
        self.revision = self.last_revision if isinstance(transaction.changes[0], Put) else 0
        return TransactionResult(True, self.last_revision)


@pytest.fixture
def store():
    return Store()


@pytest.fixture
def locks(store, registry, clock):
    trial_locks = TrialLocks("n1", store, registry, clock)
    registry.on_system_entry = trial_locks.entry_changed
    return trial_locks


def test_trial_lock_is_exclusive_until_released(locks, store, registry, clock):
    other = TrialLocks("n2", store, registry, clock)
    lock = asyncio.run(locks.acquire("s"))
    assert lock is not None and asyncio.run(other.acquire("s")) is None
    asyncio.run(locks.release(lock))
    clock.now += ACQUIRE_RETRY_SECONDS
    assert asyncio.run(other.acquire("s")) is not None


def test_lock_held_in_view_makes_no_store_call(locks, store, registry):
    registry.apply(KEY, b"n2", 11)
    assert asyncio.run(locks.acquire("s")) is None
    assert store.calls == 0


def test_expired_lock_can_be_acquired(locks, store, registry, clock):
    store.revision = 11
    registry.apply(KEY, b"n2", 11)
    clock.now += LOCK_EXPIRY_SECONDS
    assert asyncio.run(locks.acquire("s")) is not None


def test_repeated_acquire_calls_store_at_limited_rate(locks, store, clock):
    store.revision = 99
    for _ in range(100):
        assert asyncio.run(locks.acquire("s")) is None
        clock.now += 0.01
    assert store.calls == 1 / ACQUIRE_RETRY_SECONDS


def test_unavailable_store_grants_no_lock(locks, store):
    store.unavailable = True
    assert asyncio.run(locks.acquire("s")) is None
