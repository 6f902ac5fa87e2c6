"""What troubles of workers have in common: they come in series, at one worker or at a whole service."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from bench.forwarding_world import SERVICES, World
from standins.platform_worker import PlatformWorker

Trouble = Callable[[random.Random], Awaitable[None]]
"""One trouble from its beginning to its end; it draws from a source of its own."""


async def strike_in_series(
    rng: random.Random, until: float, pauses: tuple[float, float], draw: Callable[[], Trouble]
) -> None:
    """Begin one trouble after the other until a moment, and end when all are over.

    :param pauses: range of the seconds between two.
    :param draw: returns the next one.
    """
    tasks: set[asyncio.Task] = set()
    while time.monotonic() < until:
        trouble = draw()
        own = random.Random(rng.getrandbits(64))
        tasks.add(asyncio.get_running_loop().create_task(trouble(own)))
        await asyncio.sleep(rng.uniform(*pauses))
    await asyncio.gather(*tasks)


def one_or_all_of_a_service(
    world: World,
    rng: random.Random,
    all_share: float,
    may_strike: Callable[[PlatformWorker], bool] = lambda worker: True,
) -> list[PlatformWorker]:
    """Return one worker of a service, or all of them.

    :param all_share: how often all.
    :param may_strike: whether a worker may be chosen.
    """
    service = rng.choice(sorted(set(SERVICES.values())))
    workers = [
        one
        for one in world.site.workers.values()
        if world.service_of[one.id] == service and may_strike(one)
    ]
    if rng.random() >= all_share:
        workers = rng.sample(workers, min(1, len(workers)))
    return workers
