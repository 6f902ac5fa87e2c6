"""Validity of the holder lease on the clock of its holder."""

import asyncio
import random

import pytest

from wheelslip.forwarding.holder import HolderLease
from wheelslip.forwarding_settings import BoundsSection
from wheelslip.keyvalue.model import TransactionResult
from wheelslip.platform.registry import PlatformRegistry
from wheelslip.registry.registry import Registry

BOUNDS = BoundsSection()


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class GrantingStore:
    """Grants a lease and accepts its key at revision 7."""

    async def grant_lease(self, seconds):
        return 1

    async def transact(self, transaction):
        return TransactionResult(True, 7)

    async def renew_lease(self, lease):
        return True


@pytest.fixture
def clock():
    return Clock()


def acquired_lease(clock) -> HolderLease:
    registry = Registry(PlatformRegistry(), lambda: BOUNDS, clock)
    lease = HolderLease(
        GrantingStore(),
        registry,
        "n1",
        lambda: BOUNDS,
        lambda: 1.0,
        clock,
        random.Random(1),
    )
    asyncio.run(lease._acquire())
    return lease


def test_token_is_the_revision_of_the_key(clock):
    assert acquired_lease(clock).token() == 7


def test_token_expires_while_the_holder_is_suspended(clock):
    lease = acquired_lease(clock)
    # No task of the holder runs in the meantime.
    clock.now += 30
    assert lease.token() is None
