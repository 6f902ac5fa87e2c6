"""All nodes end while the software versions of workers change.

They end at one moment, twice in a row or one after the other, while streams are in progress and the
workers of all versions but one are replaced.
"""

import asyncio
import random
import signal
import time
from collections import Counter

from bench.forwarding.faults import FaultInjector
from bench.forwarding.versions import VersionedStreams
from bench.forwarding.world import World

PAUSE_SECONDS = (3.0, 6.0)
"""Range of the time between two ends of all nodes."""

SERIES_SECONDS = 0.4
"""Time between the ends of two nodes in a series."""

TWICE_SECONDS = (0.3, 1.5)
"""Range of the time between two ends at one moment."""

LEAD_SECONDS = (0.0, 1.0)
"""Range of the time between the withdrawal of workers and the end of the nodes."""

RESTART_SECONDS = 0.3
"""Time in which nodes that were ended have not read the store yet."""


class NodeEnds:
    """Ends all nodes, and replaces workers around that time.

    :ivar counts: number of ends by kind.
    """

    def __init__(
        self,
        world: World,
        faults: FaultInjector,
        streams: VersionedStreams,
        rng: random.Random,
    ):
        self._world = world
        self._faults = faults
        self._streams = streams
        self._rng = rng
        self.counts: Counter[str] = Counter()

    async def run(self, until: float) -> None:
        """End all nodes at random intervals.

        :param until: monotonic time after which nothing new is started.
        """
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.uniform(*PAUSE_SECONDS))
            end = self._rng.choice((self._end_at_once, self._end_twice, self._end_in_series))
            self.counts[end.__name__.strip("_")] += 1
            taking_up = await self._streams.hold_streams()
            leaving = await self._withdraw_all_versions_but_one()
            await asyncio.sleep(self._rng.uniform(*LEAD_SECONDS))
            ending = asyncio.create_task(end())
            await asyncio.sleep(RESTART_SECONDS)
            await self._remove(leaving)
            await ending
            await taking_up

    async def _end_at_once(self) -> None:
        await self._world.kill_all()

    async def _end_twice(self) -> None:
        await self._world.kill_all()
        await asyncio.sleep(self._rng.uniform(*TWICE_SECONDS))
        await self._world.kill_all()

    async def _end_in_series(self) -> None:
        async with asyncio.TaskGroup() as group:
            for name in self._world.nodes:
                group.create_task(self._world.end_and_restart(name, signal.SIGKILL))
                await asyncio.sleep(SERIES_SECONDS)

    async def _withdraw_all_versions_but_one(self) -> list[str]:
        """Mark workers as draining, and start replacements of the version that stays.

        :return: the ids of the workers that leave.
        """
        world = self._world
        versions = {
            name: worker.software_version
            for name, worker in world.site.workers.items()
            if worker.model and name not in self._faults.departing
        }
        if not versions:
            return []
        in_use = sorted(set(versions.values()))
        staying = self._rng.choice(in_use) if len(in_use) > 1 else world.software_version()
        leaving = [name for name, version in versions.items() if version != staying]
        self._faults.departing.update(leaving)
        drawn, world.software_version = world.software_version, lambda: staying
        for name in leaving:
            await world.replace_worker(name, world.weights)
            world.write_entry(name, "draining")
        world.software_version = drawn
        return leaving

    async def _remove(self, leaving: list[str]) -> None:
        for name in leaving:
            self._world.remove_entry(name)
            await self._world.end_worker(name)
        self.counts["replaced workers"] += len(leaving)
