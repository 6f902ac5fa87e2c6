"""One renewal of a lease gets no answer, and the store answers the next.

A call of the store waits 1.5 s for its answer, and after a failure the next renewal came a whole pause later.
The lease of the node that gives orders lasts 1.5 s, a relay's 3.0 s, so one lost answer ended either though
nothing else was wrong: lease_lost reason=lapsed, and the next holder waits before it orders.
"""

import asyncio
import random
import time

import pytest

from wheelslip.forwarding.holder import HolderLease
from wheelslip.forwarding.leased_key import LeasedKey
from wheelslip.forwarding.registry import Registry
from wheelslip.forwarding.relay import LEASE_SECONDS
from wheelslip.forwarding.settings import BoundsSection
from wheelslip.keyvalue.model import KeyValueOutcomeUnknown, TransactionResult
from wheelslip.platform.registry import PlatformRegistry
from wheelslip.platform.store import CALL_SECONDS

BOUNDS = BoundsSection()
ANSWER_SECONDS = 0.7
"""Of a slow store: a holder's renewals are 0.5 s apart."""

ENOUGH_RENEWALS = 5
ANSWERED_AFTERWARDS = 2
"""So many renewals after the lost one prove that the lease was kept."""


class ForgetfulStore:
    """Grants one lease, and does not answer its second renewal."""

    def __init__(self):
        self.renewals = 0
        self.kept = asyncio.Event()

    async def grant_lease(self, seconds):
        return 1

    async def transact(self, transaction):
        return TransactionResult(True, 7)

    async def keep_lease(self, lease):
        self.renewals += 1
        if self.renewals == 2:
            await asyncio.sleep(CALL_SECONDS)
            raise KeyValueOutcomeUnknown("no answer")
        if self.renewals == 2 + ANSWERED_AFTERWARDS:
            self.kept.set()
        return True

    async def end_lease(self, lease):
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


async def tokens_until_kept(make, store) -> set[int | None]:
    """Return what the holder's token was, from its first until the store says that it was kept."""
    lease = make(store, Registry(PlatformRegistry(), lambda: BOUNDS, time.monotonic))
    await lease._gain()
    running = asyncio.create_task(lease.run())
    tokens = set()
    while not store.kept.is_set():
        tokens.add(lease.token())
        await asyncio.sleep(0.01)
    running.cancel()
    return tokens


@pytest.mark.parametrize("make", [holder, relay])
def test_a_renewal_that_gets_no_answer_does_not_end_a_lease(make):
    async def play():
        async with asyncio.timeout(4 * LEASE_SECONDS):
            return await tokens_until_kept(make, ForgetfulStore())

    assert asyncio.run(play()) == {7}


class SlowStore(ForgetfulStore):
    """Answers each renewal later than the next is due, and grants at once."""

    async def keep_lease(self, lease):
        self.renewals += 1
        number = self.renewals
        await asyncio.sleep(ANSWER_SECONDS)
        if number >= ENOUGH_RENEWALS:
            self.kept.set()
        return True


def test_a_store_that_answers_late_does_not_end_a_lease():
    """The pause to the next renewal counted from the answer, so each came after the lease was over."""

    async def play():
        async with asyncio.timeout(4 * LEASE_SECONDS):
            return await tokens_until_kept(holder, SlowStore())

    assert asyncio.run(play()) == {7}
