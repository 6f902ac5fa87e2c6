"""A caller of a randomised run whose requests end each worker that begins to run them.

It repeats the same contents under new request ids at any node, beside whatever else goes on. The
workers come back under their ids after a while.
"""

import asyncio
import random
import time
from collections import Counter

from bench.forwarding_callers import Callers
from bench.forwarding_judge import CONTACT_SECONDS
from bench.forwarding_record import Disruption, Part, Record
from bench.forwarding_world import World
from standins.platform_worker import PlatformWorker

DEADLY = b"deadly"
PATHS = ("/plain/x", "/safe/x", "/stream/x")
REPEAT_SECONDS = (0.1, 0.8)
"""Range of the pause between two repeats."""

DOWN_SECONDS = (0.6, 3.0)
"""Range of how long a worker that has ended is away."""

MOST_LATE = 3
"""So many may be sent later than the contact time after the third crash."""


class DeadlyCaller:
    """Repeats the deadly contents and brings workers back.

    :ivar crashes: how often workers ended, by path.
    """

    def __init__(self, world: World, callers: Callers, rng: random.Random):
        self._world = world
        self._callers = callers
        self._rng = rng
        self._tasks: set[asyncio.Task] = set()
        self.crashes: Counter[str] = Counter()
        # From their first moment on: a start that bore a deadly content once would clear it.
        world.deadly = DEADLY
        world.on_crash = self._crashed

    async def run(self, until: float) -> None:
        """Repeat until a moment, and end when all workers are back."""
        while time.monotonic() < until:
            name = self._rng.choice(self._world.nodes)
            key = self._world.keys[-1]
            await self._callers.call(name, self._rng.choice(PATHS), key, content=DEADLY)
            await asyncio.sleep(self._rng.uniform(*REPEAT_SECONDS))
        await asyncio.gather(*self._tasks)

    def _crashed(self, worker: PlatformWorker) -> None:
        self.crashes[worker.crashes[-1].request.path] += 1
        seconds = self._rng.uniform(*DOWN_SECONDS)
        task = asyncio.get_running_loop().create_task(self._revive(worker, seconds))
        self._tasks.add(task)

    async def _revive(self, worker: PlatformWorker, seconds: float) -> None:
        world = self._world
        place = world.place(worker.id)
        if world.record.workers[place] is not worker:
            # An earlier start of it, which had left.
            return
        disruption = Disruption(Part.WORKER, place, time.monotonic())
        world.record.disruptions.append(disruption)
        await asyncio.to_thread(world.worker_links[worker.id].stop)
        await asyncio.sleep(seconds)
        if world.site.workers.get(worker.id) is worker:
            await world.start_worker(worker.id, world.service_of[worker.id], worker.version)


def judge_crashes(record: Record, in_touch) -> None:
    """Judge how often a content was sent after it had ended three workers, and who was refused.

    :param in_touch: returns whether a node was in touch at a moment.
    """
    crashed: dict[str, list[float]] = {}
    arrived: dict[str, list[tuple[float, str]]] = {}
    nodes = {call.request_id: call.node for call in record.calls}
    for worker in record.workers.values():
        for run in worker.crashes:
            crashed.setdefault(run.request.path, []).append(run.began_at)
        for run in worker.runs:
            if run.request.body == DEADLY:
                arrived.setdefault(run.request.path, []).append((run.began_at, run.request_id))
    for path, moments in crashed.items():
        if len(moments) < MOST_LATE:
            continue
        late_from = sorted(moments)[2] + CONTACT_SECONDS
        late = [
            request_id
            for at, request_id in sorted(arrived[path])
            if at > late_from and in_touch(nodes[request_id], at)
        ]
        if len(late) > MOST_LATE:
            record.violations.append(
                f"BUDGET {path} reached workers {len(late)} times later than the contact time "
                f"after its third crash, {len(moments)} in all: {', '.join(late)}"
            )
    for call in record.calls:
        if b"request_crashes_engines" in call.body and call.content != DEADLY:
            record.violations.append(f"{call.request_id} on {call.path} refused, though harmless")
