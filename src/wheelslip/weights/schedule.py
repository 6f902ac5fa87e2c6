"""When to load which worker: as late as the bounds safely allow, always the newest version.

A load drops what a worker kept, so versions that are named while others wait are loaded
once, together. Pure: time and state are arguments.
"""

import math
from dataclasses import dataclass

SERVING_SHARE = 2 / 3
"""Part of a model's workers that serves on while the others load."""

SAFETY_SECONDS = 1.6
"""Time kept between the planned end of a rollout and the bound."""

INITIAL_LOAD_SECONDS = 1.5
"""First guess of the time from an order to the new weights, running requests included."""


@dataclass(frozen=True)
class WorkerWeights:
    """One worker's version of a model.

    :ivar due: when requests may no longer begin on its version; ``None`` if it is the newest.
    :ivar loading: an order is under way there.
    """

    id: str
    version: int
    due: float | None
    loading: bool
    running: int = 0


def loads_at_once(workers: int) -> int:
    """Return how many of a model's workers may be out of service at one time."""
    return max(1, workers - math.ceil(workers * SERVING_SHARE))


def rollout_begins(workers: list[WorkerWeights], load_seconds: float) -> float | None:
    """Return when the first order is due, or ``None`` when all have the newest version."""
    old = [one for one in workers if one.due is not None]
    if not old:
        return None
    waves = math.ceil(len(old) / loads_at_once(len(workers)))
    return min(one.due for one in old) - SAFETY_SECONDS - waves * load_seconds


def next_loads(workers: list[WorkerWeights], now: float, load_seconds: float) -> list[str]:
    """Return the workers to order now, those with the earliest bound first."""
    begins = rollout_begins(workers, load_seconds)
    if begins is None or now < begins:
        return []
    room = loads_at_once(len(workers)) - sum(one.loading for one in workers)
    waiting = [one for one in workers if one.due is not None and not one.loading]
    waiting.sort(key=lambda one: (one.due, one.running, one.id))
    return [one.id for one in waiting[: max(0, room)]]
