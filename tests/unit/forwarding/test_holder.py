"""The holder's lease by its own clock: when orders may be given."""

import asyncio
import random

import pytest

from wheelslip.forwarding.holder import HolderLease
from wheelslip.forwarding.registry import Registry
from wheelslip.forwarding.settings import BoundsSection
from wheelslip.keyvalue.model import TransactionResult
from wheelslip.platform.registry import PlatformRegistry

BOUNDS = BoundsSection()
NEVER = float("-inf")


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class GrantingStore:
    """Grants one lease and takes its key at revision 7."""

    async def grant_lease(self, seconds):
        return 1

    async def transact(self, transaction):
        return TransactionResult(True, 7)

    async def keep_lease(self, lease):
        return True


@pytest.fixture
def clock():
    return Clock()


def gained(clock, last_order_by_others=NEVER) -> HolderLease:
    registry = Registry(PlatformRegistry(), lambda: BOUNDS, clock)
    lease = HolderLease(
        GrantingStore(),
        registry,
        "n1",
        lambda: BOUNDS,
        lambda: 1.0,
        clock,
        random.Random(1),
        lambda: last_order_by_others,
    )
    asyncio.run(lease._gain())
    return lease


def test_the_token_is_the_revision_of_the_key(clock):
    assert gained(clock).fencing_token() == 7


def test_a_holder_that_slept_past_its_lease_gives_no_order(clock):
    lease = gained(clock)
    # Frozen: nothing ran meanwhile that could have noticed.
    clock.now += 30
    assert lease.fencing_token() is None


def test_a_new_holder_waits_from_the_last_order_of_another(clock):
    quiet = (BOUNDS.holder_lease_ms + BOUNDS.thaw_slack_ms) / 1000
    lease = gained(clock, last_order_by_others=100.0 - quiet + 1.0)
    assert lease.fencing_token() is None
    clock.now += 1.01
    assert lease.fencing_token() == 7
