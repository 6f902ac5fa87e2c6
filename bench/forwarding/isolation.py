"""Groups of nodes that are out of step with the others while new engines join.

The nodes of a group are stopped, or cut off from the store and from all nodes outside the group. New
engines of another software version start meanwhile, serve streams of the other nodes and end, which
breaks these streams. Callers take them up at any node.
"""

import asyncio
import contextlib
import random
from collections import Counter

from bench.forwarding.faults import FaultInjector
from bench.forwarding.record import Component
from bench.forwarding.series import FaultFunction, inject_in_series
from bench.forwarding.versions import VersionedStreams
from bench.forwarding.world import World
from standins.partitions import Cut

PAUSE_SECONDS = (1.5, 4.0)
"""Range of the time between the starts of two faults."""

OUT_OF_STEP_SECONDS = (2.0, 7.0)
JOIN_SECONDS = (0.0, 0.3)
"""Range of the time from the beginning of a fault to the start of the new engines."""

SERVING_SECONDS = (0.4, 1.8)
"""Range of the time for which these serve before streams begin that are broken."""

HELD_STREAMS = 36
HELD_SECONDS = 0.4
"""Time for these streams to begin; nodes with an old view serve only for some seconds."""

FIRST_VERSION = "v1"
"""Software version of all engines but those that join during a fault."""

MAX_JOINING = 2
"""Maximum number of engines that join during a fault."""

STOPPED_SHARE = 0.2
"""Probability that the nodes of a group are stopped, and not cut off."""


class IsolatedGroups:
    """Takes groups of nodes out of step, in series.

    :ivar counts: number of faults by kind and size of the group.
    """

    def __init__(
        self, world: World, faults: FaultInjector, streams: VersionedStreams, rng: random.Random
    ):
        self._world = world
        self._faults = faults
        self._streams = streams
        self._record = world.record
        self._rng = rng
        self._joins = 0
        self._out_of_step: set[str] = set()
        world.software_version = lambda: FIRST_VERSION
        self.counts: Counter[str] = Counter()

    async def run(self, until: float) -> None:
        """Inject faults, and return when all have ended.

        :param until: monotonic time after which no further fault is started.
        """
        await inject_in_series(self._rng, until, PAUSE_SECONDS, lambda: self._take_out_of_step)

    async def _take_out_of_step(self, rng: random.Random) -> None:
        free = [name for name in self._world.nodes if name not in self._out_of_step]
        half = len(self._world.nodes) // 2
        names = rng.sample(free, min(rng.choice((1, half, half, half)), len(free)))
        if not 0 < len(names) < len(self._world.nodes) - len(self._out_of_step):
            return
        self._out_of_step.update(names)
        fault: FaultFunction = self._stop if rng.random() < STOPPED_SHARE else self._cut_off
        self.counts[f"{fault.__name__.strip('_')} {len(names)}"] += 1
        await asyncio.gather(fault(rng, names), self._join(rng))
        self._out_of_step.difference_update(names)

    async def _stop(self, rng: random.Random, names: list[str]) -> None:
        seconds = rng.uniform(*OUT_OF_STEP_SECONDS)
        await asyncio.gather(*(self._world.pause(name, seconds) for name in names))

    async def _cut_off(self, rng: random.Random, names: list[str]) -> None:
        how = rng.choice((Cut.HANG, Cut.REFUSE))
        with contextlib.ExitStack() as stack:
            for name in names:
                stack.enter_context(self._record.disrupted(Component.NODE, name))
            self._world.isolate(names, how.value)
            await asyncio.sleep(rng.uniform(*OUT_OF_STEP_SECONDS))
            self._world.rejoin(names)

    async def _join(self, rng: random.Random) -> None:
        """Start engines of another version and end them after a while."""
        await asyncio.sleep(rng.uniform(*JOIN_SECONDS))
        self._joins += 1
        names = [f"j{self._joins}-{number}" for number in range(rng.randint(1, MAX_JOINING))]
        for name in names:
            self._faults.departing.add(name)
            self._world.software_version = lambda: f"v{1 + self._joins}"
            try:
                await self._world.start_worker(name, "engines", self._world.weights)
            finally:
                self._world.software_version = lambda: FIRST_VERSION
        await asyncio.sleep(rng.uniform(*SERVING_SECONDS))
        broken = await self._streams.hold_streams(HELD_SECONDS, HELD_STREAMS)
        for name in names:
            await self._world.end_worker(name)
            self._world.remove_entry(name)
        self._streams.reset_engines()
        await broken
