"""Workers and the store end connections inside the heads of their responses."""

import asyncio
import contextlib
import random
from collections import Counter

from bench.forwarding.record import Component
from bench.forwarding.series import FaultFunction, draw_workers, inject_in_series
from bench.forwarding.world import World
from standins.asyncio_http import HeadCut

PAUSE_SECONDS = (0.5, 2.0)
"""Range of the time between the starts of two faults."""

FAULT_SECONDS = (0.5, 2.5)
WHOLE_SERVICE_SHARE = 0.3
STORE_SHARE = 0.2
"""Probability that the store's responses are cut, and not those of workers."""

PATHS = ("", "", "/report", "/order")
"""Starts of the paths of the requests whose responses are cut."""


class HeadCuts:
    """Cuts heads of responses in series.

    :ivar counts: number of faults by kind.
    """

    def __init__(self, world: World, rng: random.Random):
        self._world = world
        self._record = world.record
        self._rng = rng
        self.counts: Counter[str] = Counter()

    async def run(self, until: float) -> None:
        """Start faults, and return when all have ended.

        :param until: monotonic time after which no fault is started.
        """
        await inject_in_series(self._rng, until, PAUSE_SECONDS, self._draw_fault)

    def _draw_fault(self) -> FaultFunction:
        return self._cut_store if self._rng.random() < STORE_SHARE else self._cut_workers

    def _draw_cut(self, rng: random.Random, path: str = "") -> HeadCut:
        return HeadCut(rng.random(), rng.random() < 0.5, rng.choice((0, 0, 1, 3)), path)

    async def _cut_workers(self, rng: random.Random) -> None:
        cut = self._draw_cut(rng, rng.choice(PATHS))
        self.counts[cut.path or "responses"] += 1
        workers = draw_workers(self._world, rng, WHOLE_SERVICE_SHARE)
        names = [self._world.incarnation_name(worker.id) for worker in workers]
        with contextlib.ExitStack() as stack:
            for name in names:
                stack.enter_context(self._record.disrupted(Component.WORKER, name))
            await self._cut([worker.server for worker in workers], cut, rng)

    async def _cut_store(self, rng: random.Random) -> None:
        self.counts["store"] += 1
        frontends = [frontend.server for frontend in self._world.store_frontends.values()]
        with self._record.disrupted(Component.CORE):
            await self._cut(frontends, self._draw_cut(rng), rng)

    @staticmethod
    async def _cut(servers: list, cut: HeadCut, rng: random.Random) -> None:
        for server in servers:
            server.head_cut = cut
        await asyncio.sleep(rng.uniform(*FAULT_SECONDS))
        for server in servers:
            if server.head_cut is cut:
                server.head_cut = None
