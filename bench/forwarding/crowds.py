"""Periods in which most new connections go to one node while callers open more of them."""

import asyncio
import random
import time
from collections import Counter
from typing import NamedTuple

from bench.forwarding.availability import WorkerAvailability
from bench.forwarding.callers import Callers
from bench.forwarding.judge import CONTACT_SECONDS, RunChecker
from bench.forwarding.record import Call, Record
from bench.forwarding.world import REVOCATION_MS, SERVICES, World

TO_ONE_NODE = 0.9
EXTRA_CALLERS = 12
PAUSE_SECONDS = (1.0, 4.0)
CROWD_SECONDS = (4.0, 8.0)
COMPARED_SECONDS = CONTACT_SECONDS + 2.0
"""Duration of each part of the comparison without faults. Requests are compared from the contact time
after the start of a part."""

SERVED_SHARE = 0.75
MIN_CALLS = 20


class Crowd(NamedTuple):
    """Period in which most new connections go to a node."""

    node: str
    began_at: float
    ended_at: float


class Crowds:
    """Directs callers to one node from time to time.

    :ivar periods: the periods in which it did.
    """

    def __init__(self, world: World, callers: Callers, rng: random.Random):
        self._world = world
        self._callers = callers
        self._rng = rng
        self.periods: list[Crowd] = []

    async def run(self, until: float) -> None:
        """Direct callers to one node in series.

        :param until: monotonic time after which no further period begins.
        """
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.uniform(*PAUSE_SECONDS))
            await self._crowd_one_node(self._rng.uniform(*CROWD_SECONDS))

    async def run_undisturbed(self) -> None:
        """Send requests to all nodes and then most of them to one.

        All faults have ended and all nodes serve.
        """
        await self._send(COMPARED_SECONDS)
        await self._crowd_one_node(COMPARED_SECONDS)

    async def _crowd_one_node(self, seconds: float) -> None:
        node = self._rng.choice(self._world.nodes)
        began_at = time.monotonic()
        self._world.crowded_node = (node, TO_ONE_NODE)
        await self._send(seconds)
        self._world.crowded_node = None
        self.periods.append(Crowd(node, began_at, time.monotonic()))

    async def _send(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        callers = [self._callers.use_new_connections(until) for _ in range(EXTRA_CALLERS)]
        await asyncio.gather(*callers)


class CrowdChecker:
    """Checks that requests are served as at other times while most connections go to one node.

    Requests with a revoked key are left out, and those of a service of which most workers were
    unavailable: the share of these depends on the faults of the period.

    :ivar checked: number of calls compared.
    """

    def __init__(self, record: Record, checker: RunChecker, periods: list[Crowd]):
        self._record = record
        self._checker = checker
        self._periods = periods
        self._availability = WorkerAvailability(record, Counter(SERVICES.values()))
        self.checked: Counter[str] = Counter()

    def check(self) -> None:
        """Check the complete record."""
        within, outside = [], []
        for call in self._record.calls:
            if not self._is_compared(call):
                continue
            (within if self._is_crowded(call) else outside).append(call)
        self.checked["calls while most go to one node"] += len(within)
        if min(len(within), len(outside)) < MIN_CALLS:
            return
        served, expected = _served_share(within), _served_share(outside)
        if served < SERVED_SHARE * expected:
            self._record.violations.append(
                f"RECOVER {served:.2f} of {len(within)} calls served while most went to one node, "
                f"{expected:.2f} of {len(outside)} at other times"
            )

    def _is_compared(self, call: Call) -> bool:
        return (
            not self._has_revoked_key(call)
            and self._checker.was_undisrupted(call.node, call.ended_at)
            and self._availability.has_majority(call.path, call.sent_at, call.ended_at)
        )

    def _has_revoked_key(self, call: Call) -> bool:
        """Return whether the key of a call had been revoked, or was, before the call ended."""
        return any(
            revocation.key == call.key
            and call.ended_at >= revocation.deadline - REVOCATION_MS / 1000
            for revocation in self._record.revocations
        )

    def _is_crowded(self, call: Call) -> bool:
        return any(
            crowd.began_at + CONTACT_SECONDS < call.sent_at < crowd.ended_at
            for crowd in self._periods
        )


def _served_share(calls: list[Call]) -> float:
    return sum(call.status == 200 and call.complete for call in calls) / len(calls)
