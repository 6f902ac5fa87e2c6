"""A lease must survive a renewal that is answered late or never."""

import asyncio
import random
import time

import pytest

from wheelslip.forwarding.holder import HolderLease
from wheelslip.forwarding.leased_key import LeasedKey
from wheelslip.forwarding.relay import LEASE_SECONDS
from wheelslip.forwarding_settings import BoundsSection
from wheelslip.keyvalue.model import KeyValueOutcomeUnknown, TransactionResult
from wheelslip.platform.registry import PlatformRegistry
from wheelslip.platform.store import CALL_TIMEOUT_SECONDS
from wheelslip.registry.registry import Registry

BOUNDS = BoundsSection()
RESPONSE_SECONDS = 0.7
"""Response time of the slow store, longer than the 0.5 s between a holder's renewals."""

MIN_SLOW_RENEWALS = 5
RENEWALS_AFTER_LOSS = 2
"""Number of renewals after the lost one that show that the lease is still held."""


class LossyStore:
    """Grants one lease, and does not answer its second renewal.

    :ivar renewed: set when enough renewals were answered.
    """

    def __init__(self):
        self.renewals = 0
        self.renewed = asyncio.Event()

    async def grant_lease(self, seconds):
        return 1

    async def transact(self, transaction):
        return TransactionResult(True, 7)

    async def renew_lease(self, lease):
        self.renewals += 1
        if self.renewals == 2:
            await asyncio.sleep(CALL_TIMEOUT_SECONDS)
            raise KeyValueOutcomeUnknown("no answer")
        if self.renewals == 2 + RENEWALS_AFTER_LOSS:
            self.renewed.set()
        return True

    async def revoke_lease(self, lease):
        pass


def holder(store, registry) -> LeasedKey:
    bounds, random_source = (lambda: BOUNDS), random.Random(1)
    return HolderLease(store, registry, "n1", bounds, lambda: 1.0, time.monotonic, random_source)


def relay(store, registry) -> LeasedKey:
    return LeasedKey(
        "key",
        b"value",
        store,
        registry,
        lambda: LEASE_SECONDS,
        time.monotonic,
        random.Random(1),
    )


async def tokens_until_renewed(make_lease, store) -> set[int | None]:
    """Return all values of the token until the store has answered enough renewals."""
    lease = make_lease(store, Registry(PlatformRegistry(), lambda: BOUNDS, time.monotonic))
    await lease._acquire()
    running = asyncio.create_task(lease.run())
    tokens = set()
    while not store.renewed.is_set():
        tokens.add(lease.token())
        await asyncio.sleep(0.01)
    running.cancel()
    return tokens


@pytest.mark.parametrize("make_lease", [holder, relay])
def test_lease_survives_one_unanswered_renewal(make_lease):
    async def run_lease():
        async with asyncio.timeout(4 * LEASE_SECONDS):
            return await tokens_until_renewed(make_lease, LossyStore())

    assert asyncio.run(run_lease()) == {7}


class SlowStore(LossyStore):
    """Answers each renewal only after the next one is due."""

    async def renew_lease(self, lease):
        self.renewals += 1
        number = self.renewals
        await asyncio.sleep(RESPONSE_SECONDS)
        if number >= MIN_SLOW_RENEWALS:
            self.renewed.set()
        return True


def test_lease_survives_late_renewal_responses():
    """The time of the next renewal must count from the sending of the previous one."""

    async def run_lease():
        async with asyncio.timeout(4 * LEASE_SECONDS):
            return await tokens_until_renewed(holder, SlowStore())

    assert asyncio.run(run_lease()) == {7}
