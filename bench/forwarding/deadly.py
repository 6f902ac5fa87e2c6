"""Callers of a randomised run whose requests crash each worker that starts to run them.

One repeats requests with the same body under new request ids at random nodes. Another sends requests
with one prompt part, each with a body and a last part of its own. Crashed workers are restarted
under their ids after a random delay.
"""

import asyncio
import itertools
import random
import time
from collections import Counter

from bench.forwarding.callers import Callers
from bench.forwarding.judge import CONTACT_SECONDS
from bench.forwarding.record import Component, Disruption, Record
from bench.forwarding.world import World
from standins.platform_worker import PlatformWorker, Run

CRASHING_BODY = b"deadly"
CRASHING_PART = "dead"
PART_SERIES_SECONDS = 0.4
"""Mean pause between two requests with the crashing part."""

PATHS = ("/plain/x", "/safe/x", "/stream/x")
REPEAT_SECONDS = (0.1, 0.8)
"""Range of the pause between two requests."""

DOWN_SECONDS = (0.6, 3.0)
"""Range of the time until a crashed worker is restarted."""

PART_CRASHES = 5
"""Number of crashes from which a prompt part is checked."""

MAX_LATE_REQUESTS = 3
"""Requests per path that may still reach workers once the contact time has passed since the third
crash; also the number of crashes from which a path is checked."""


class CrashingCaller:
    """Sends crashing requests and restarts the workers that they crash.

    :ivar crashes: number of crashes by path.
    """

    def __init__(self, world: World, callers: Callers, rng: random.Random):
        self._world = world
        self._callers = callers
        self._rng = rng
        self._tasks: set[asyncio.Task] = set()
        self.crashes: Counter[str] = Counter()
        # Set before the first worker starts: a completed run would clear the suspicion.
        world.crashing_body = CRASHING_BODY
        world.crashing_parts = frozenset({CRASHING_PART})
        self._numbers = itertools.count()
        world.on_crash = self._handle_crash

    async def run(self, until: float) -> None:
        """Send crashing requests, and return when all crashed workers are restarted.

        :param until: monotonic time after which no further request is sent.
        """
        await asyncio.gather(self._repeat_body(until), self._vary_body(until))
        await asyncio.gather(*self._tasks)

    async def _vary_body(self, until: float) -> None:
        """Send requests that have only a prompt part in common."""
        world = self._world
        while time.monotonic() < until:
            number = next(self._numbers)
            parts = ["aa:1000", f"{CRASHING_PART}:500"]
            self._rng.shuffle(parts)
            await self._callers.call(
                self._rng.choice(world.nodes),
                "/stream/x",
                world.keys[-1],
                request_body=b"varied %d" % number,
                prompt=",".join([*parts, f"own{number}:100"]),
            )
            await asyncio.sleep(self._rng.expovariate(1 / PART_SERIES_SECONDS))

    async def _repeat_body(self, until: float) -> None:
        while time.monotonic() < until:
            name = self._rng.choice(self._world.nodes)
            key = self._world.keys[-1]
            await self._callers.call(name, self._rng.choice(PATHS), key, request_body=CRASHING_BODY)
            await asyncio.sleep(self._rng.uniform(*REPEAT_SECONDS))

    def _handle_crash(self, worker: PlatformWorker) -> None:
        self.crashes[_cause(worker.crashes[-1])] += 1
        seconds = self._rng.uniform(*DOWN_SECONDS)
        task = asyncio.get_running_loop().create_task(self._restart_worker(worker, seconds))
        self._tasks.add(task)

    async def _restart_worker(self, worker: PlatformWorker, seconds: float) -> None:
        world = self._world
        incarnation = world.incarnation_name(worker.id)
        if world.record.workers[incarnation] is not worker:
            # A previous incarnation that has already been replaced.
            return
        disruption = Disruption(Component.WORKER, incarnation, time.monotonic())
        world.record.disruptions.append(disruption)
        await asyncio.to_thread(world.worker_proxies[worker.id].stop)
        await asyncio.sleep(seconds)
        if world.site.workers.get(worker.id) is worker:
            await world.start_worker(worker.id, world.service_of[worker.id], worker.version)


def _cause(run: Run) -> str:
    """Return what makes a run crash its worker: the part, or else the path of the body."""
    return CRASHING_PART if CRASHING_PART in run.shared_parts() else run.request.path


def check_crashes(record: Record, was_undisrupted) -> None:
    """Check that crashing requests are refused after three crashes, and no others.

    :param was_undisrupted: returns whether a node was undisrupted at a monotonic time.
    """
    crashes_by_path: dict[str, list[float]] = {}
    begun_at_by_path: dict[str, list[tuple[float, str]]] = {}
    nodes = {call.request_id: call.node for call in record.calls}
    for worker in record.workers.values():
        for run in worker.crashes:
            crashes_by_path.setdefault(_cause(run), []).append(run.began_at)
        for run in worker.runs:
            if run.request.body == CRASHING_BODY or CRASHING_PART in run.shared_parts():
                begun_at_by_path.setdefault(_cause(run), []).append((run.began_at, run.request_id))
    for path, crash_times in crashes_by_path.items():
        if len(crash_times) < MAX_LATE_REQUESTS:
            continue
        counted = PART_CRASHES if path == CRASHING_PART else MAX_LATE_REQUESTS
        late_from = sorted(crash_times)[:counted][-1] + CONTACT_SECONDS
        late = [
            request_id
            for began_at, request_id in sorted(begun_at_by_path[path])
            if began_at > late_from and was_undisrupted(nodes[request_id], began_at)
        ]
        if len(late) > MAX_LATE_REQUESTS:
            record.violations.append(
                f"BUDGET {path} reached workers {len(late)} times later than the contact time "
                f"after crash {counted}, {len(crash_times)} in all: {', '.join(late)}"
            )
    for call in record.calls:
        is_refused = b"request_crashes_engines" in call.body
        is_sound = call.request_body != CRASHING_BODY and CRASHING_PART not in call.prompt
        if is_refused and is_sound:
            record.violations.append(f"{call.request_id} on {call.path} refused, though harmless")
