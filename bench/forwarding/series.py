"""Faults of workers that are injected in series, at one worker or at all workers of a service."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from bench.forwarding.world import SERVICES, World
from standins.platform_worker import PlatformWorker

FaultFunction = Callable[[random.Random], Awaitable[None]]
"""Injects a fault and reverts it; receives a random source of its own."""


async def inject_in_series(
    rng: random.Random,
    until: float,
    pauses: tuple[float, float],
    draw_fault: Callable[[], FaultFunction],
) -> None:
    """Start faults at random intervals, and return when all have ended.

    :param until: monotonic time after which no further fault is started.
    :param pauses: range of the seconds between two starts.
    :param draw_fault: returns the next fault.
    """
    tasks: set[asyncio.Task] = set()
    while time.monotonic() < until:
        fault = draw_fault()
        fault_rng = random.Random(rng.getrandbits(64))
        tasks.add(asyncio.get_running_loop().create_task(fault(fault_rng)))
        await asyncio.sleep(rng.uniform(*pauses))
    await asyncio.gather(*tasks)


def draw_workers(
    world: World,
    rng: random.Random,
    whole_service_share: float,
    is_eligible: Callable[[PlatformWorker], bool] = lambda worker: True,
) -> list[PlatformWorker]:
    """Return one eligible worker of a random service, or all of them.

    :param whole_service_share: probability of returning all of them.
    :param is_eligible: whether a worker may be returned.
    """
    service = rng.choice(sorted(set(SERVICES.values())))
    workers = [
        worker
        for worker in world.site.workers.values()
        if world.service_of[worker.id] == service and is_eligible(worker)
    ]
    if rng.random() >= whole_service_share:
        workers = rng.sample(workers, min(1, len(workers)))
    return workers
