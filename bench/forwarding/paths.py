"""Nodes that lose their paths to workers, and a store that returns from older copies.

A node without paths stays in touch: callers, store and other nodes reach it.
"""

import asyncio
import random
import time
from collections import Counter

from bench.forwarding.judge import CONTACT_SECONDS, RunChecker
from bench.forwarding.record import Call, Component, PathCut, Record
from bench.forwarding.series import FaultFunction, inject_in_series
from bench.forwarding.world import World
from standins.partitions import Cut

PAUSE_SECONDS = (1.0, 4.0)
"""Range of the time between the starts of two faults."""

CUT_SECONDS = (1.0, 9.0)

COPY_AGE_SECONDS = (0.5, 3.0)
"""Range of the age of a copy when the store returns from it."""

AWAY_SECONDS = (0.1, 1.0)
"""Range of how long the store is away."""

REWRITE_SECONDS = (0.0, 1.5)
"""Range of the time after which each worker and the operator write their entries again."""

SERVED_SHARE = 2 / 3
MIN_CALLS = 20


class PathFaults:
    """Cuts nodes off from all workers and lets the store return from copies.

    :ivar cuts: the periods in which nodes were cut off.
    :ivar counts: number of faults by kind.
    """

    def __init__(self, world: World, rng: random.Random):
        self._world = world
        self._rng = rng
        self._cut_nodes: set[str] = set()
        self._store_is_away = False
        self.cuts = world.record.path_cuts
        self.counts: Counter[str] = Counter()

    async def run(self, until: float) -> None:
        """Inject faults, and return when all have ended.

        :param until: monotonic time after which no further fault is started.
        """
        await inject_in_series(self._rng, until, PAUSE_SECONDS, self._draw_fault)

    def _draw_fault(self) -> FaultFunction:
        return self._rng.choice((self._cut_paths, self._cut_paths, self._return_from_copy))

    async def _cut_paths(self, rng: random.Random) -> None:
        """Cut some nodes off, but never all."""
        free = [name for name in self._world.nodes if name not in self._cut_nodes]
        names = rng.sample(free, rng.randint(1, max(1, len(free) // 2)))
        if len(free) == len(names):
            return
        how = rng.choice(list(Cut))
        self.counts[how.value] += 1
        self._cut_nodes.update(names)
        began_at = time.monotonic()
        for name in names:
            self._world.cut_paths(name, how.value)
        await asyncio.sleep(rng.uniform(*CUT_SECONDS))
        for name in names:
            self._world.cut_paths(name, "")
            self.cuts.append(PathCut(name, began_at, time.monotonic(), how is not Cut.REFUSE_NEW))
        self._cut_nodes.difference_update(names)

    async def _return_from_copy(self, rng: random.Random) -> None:
        if self._store_is_away:
            return
        self._store_is_away = True
        self.counts["return from copy"] += 1
        world, model = self._world, self._world.site.model
        copy = model.copy()
        await asyncio.sleep(rng.uniform(*COPY_AGE_SECONDS))
        with world.record.disrupted(Component.CORE):
            world.reject_store_calls(503)
            await asyncio.sleep(rng.uniform(*AWAY_SECONDS))
            lost = {
                key: item.value
                for key, item in model.items.items()
                if key.startswith(("op/", "servers/"))
            }
            model.restore(copy)
            world.reject_store_calls(0)
            keys = sorted({*lost, *(key for key in model.items if key.startswith("servers/"))})
            await asyncio.gather(*(self._write_again(key, lost, rng) for key in keys))
        self._store_is_away = False

    async def _write_again(self, key: str, lost: dict[str, bytes], rng: random.Random) -> None:
        """Write an entry again as it was before, unless it has changed since."""
        model = self._world.site.model
        before = model.items.get(key)
        await asyncio.sleep(rng.uniform(*REWRITE_SECONDS))
        if model.items.get(key) is not before:
            return
        if key in lost:
            model.put(key, lost[key])
        else:
            model.remove(key)


class PathChecker:
    """Checks that callers of nodes without paths are served like those of others.

    :ivar checked: number of calls compared.
    """

    def __init__(self, record: Record, checker: RunChecker, cuts: list[PathCut]):
        self._record = record
        self._checker = checker
        self._cuts = cuts
        self.checked: Counter[str] = Counter()

    def check(self) -> None:
        """Check the complete record."""
        at_cut_nodes, at_others = [], []
        for call in self._record.calls:
            cuts = [cut for cut in self._cuts if self._is_within(call, cut)]
            if not cuts or not self._checker.was_undisrupted(call.node, call.ended_at):
                continue
            group = at_cut_nodes if any(cut.node == call.node for cut in cuts) else at_others
            if group is at_cut_nodes or not self._was_cut(call):
                group.append(call)
        self.checked["calls at nodes without paths"] += len(at_cut_nodes)
        if min(len(at_cut_nodes), len(at_others)) < MIN_CALLS:
            return
        served, expected = self._served_share(at_cut_nodes), self._served_share(at_others)
        if served < SERVED_SHARE * expected:
            self._record.violations.append(
                f"RECOVER {served:.2f} of {len(at_cut_nodes)} calls served at nodes without paths, "
                f"{expected:.2f} of {len(at_others)} at others"
            )

    @staticmethod
    def _is_within(call: Call, cut: PathCut) -> bool:
        return cut.began_at + CONTACT_SECONDS < call.sent_at and call.ended_at < cut.ended_at

    def _was_cut(self, call: Call) -> bool:
        return any(
            cut.node == call.node and cut.began_at <= call.ended_at and call.sent_at <= cut.ended_at
            for cut in self._cuts
        )

    @staticmethod
    def _served_share(calls: list[Call]) -> float:
        return sum(call.status == 200 and call.complete for call in calls) / len(calls)
