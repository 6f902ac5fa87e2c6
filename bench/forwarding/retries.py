"""Callers press while all workers of a service fail, and nodes end between two such failures.

Nodes then retry as much as they allow, at other times than the processes before and after them.
"""

import asyncio
import contextlib
import random
import signal
from collections import Counter

from bench.forwarding.callers import Callers
from bench.forwarding.record import Component
from bench.forwarding.series import FaultFunction, inject_in_series
from bench.forwarding.world import SERVICES, World
from standins.platform_worker import WorkerFaults

EXTRA_CALLERS = 12
PAUSE_SECONDS = (0.5, 2.5)
"""Range of the time between the starts of two faults."""

FAILURE_SECONDS = (0.3, 1.5)
MOVED_SECONDS = (1.0, 6.0)
MOVED_SHARE = 0.9
"""Probability that a new connection goes to the node to which the load moves."""

WORKER_FAULTS = (
    WorkerFaults(shed=10_000),
    WorkerFaults(lose_responses=10_000),
    WorkerFaults(status=500),
    WorkerFaults(break_after=1),
)


class RetryFaults:
    """Lets services fail, moves the load and ends nodes, in overlapping series.

    :ivar counts: number of faults by kind.
    """

    def __init__(self, world: World, callers: Callers, rng: random.Random):
        self._world = world
        self._callers = callers
        self._record = world.record
        self._rng = rng
        self.counts: Counter[str] = Counter()

    async def run(self, until: float) -> None:
        """Inject faults, and return when all have ended.

        :param until: monotonic time after which no further fault is started.
        """
        callers = [self._callers.use_new_connections(until) for _ in range(EXTRA_CALLERS)]
        faults = inject_in_series(self._rng, until, PAUSE_SECONDS, self._draw_fault)
        await asyncio.gather(faults, *callers)

    def _draw_fault(self) -> FaultFunction:
        kinds = (self._fail, self._fail, self._fail, self._move_load, self._end_nodes)
        kind = self._rng.choice(kinds)
        self.counts[kind.__name__.strip("_")] += 1
        return kind

    async def _fail(self, rng: random.Random) -> None:
        """Let all workers of a service fail in one way."""
        service = rng.choice(sorted(set(SERVICES.values())))
        faults = WorkerFaults(**vars(rng.choice(WORKER_FAULTS)))
        workers = [
            worker
            for worker in self._world.site.workers.values()
            if self._world.service_of[worker.id] == service and worker.faults == WorkerFaults()
        ]
        with contextlib.ExitStack() as stack:
            for worker in workers:
                name = self._world.incarnation_name(worker.id)
                stack.enter_context(self._record.disrupted(Component.WORKER, name))
                worker.faults = faults
            await asyncio.sleep(rng.uniform(*FAILURE_SECONDS))
            for worker in workers:
                if worker.faults is faults:
                    worker.faults = WorkerFaults()

    async def _move_load(self, rng: random.Random) -> None:
        """Direct most new connections to one node for a while."""
        target = (rng.choice(self._world.nodes), MOVED_SHARE)
        self._world.crowded_node = target
        await asyncio.sleep(rng.uniform(*MOVED_SECONDS))
        if self._world.crowded_node is target:
            self._world.crowded_node = None

    async def _end_nodes(self, rng: random.Random) -> None:
        """Kill some nodes at the same moment, or all."""
        count = rng.choice((1, len(self._world.nodes) // 2, len(self._world.nodes)))
        names = rng.sample(self._world.nodes, max(1, count))
        await asyncio.gather(*(self._world.end_and_restart(name, signal.SIGKILL) for name in names))
