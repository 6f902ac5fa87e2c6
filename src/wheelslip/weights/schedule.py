"""When to load which worker: always the newest version, as few at a time as the bound allows.

A worker that loads serves nobody, so a rollout that takes few workers at a time costs callers
least; versions that are named while workers wait for their turn are loaded once, together.
Pure: time and state are arguments.
"""

import math
from dataclasses import dataclass

PREFERRED_SHARE = 1 / 4
"""Part of a model's workers that loads at one time when the bound leaves a choice."""

GREATEST_SHARE = 1 / 2
"""Part of a model's workers that may load at one time when the bound is near."""

SAFETY_SECONDS = 1.6
"""Time kept between the planned end of a rollout and the bound."""

INITIAL_LOAD_SECONDS = 1.3
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


def loads_at_once(workers: list[WorkerWeights], now: float, load_seconds: float) -> int:
    """Return how many workers load at one time so that all are done before the bound."""
    old = [one for one in workers if one.due is not None]
    preferred = max(1, round(len(workers) * PREFERRED_SHARE))
    greatest = max(1, int(len(workers) * GREATEST_SHARE))
    if not old:
        return preferred
    seconds_left = min(one.due for one in old) - SAFETY_SECONDS - now
    if seconds_left < load_seconds:
        return greatest
    needed = math.ceil(len(old) * load_seconds / seconds_left)
    return min(greatest, max(preferred, needed))


def rollout_begins(workers: list[WorkerWeights], load_seconds: float) -> float | None:
    """Return when the first order is due, or ``None`` when all have the newest version."""
    old = [one for one in workers if one.due is not None]
    if not old:
        return None
    preferred = max(1, round(len(workers) * PREFERRED_SHARE))
    waves = math.ceil(len(old) / preferred)
    return min(one.due for one in old) - SAFETY_SECONDS - waves * load_seconds


def next_loads(workers: list[WorkerWeights], now: float, load_seconds: float) -> list[str]:
    """Return the workers to order now, those with the earliest bound first."""
    begins = rollout_begins(workers, load_seconds)
    if begins is None or now < begins:
        return []
    room = loads_at_once(workers, now, load_seconds) - sum(one.loading for one in workers)
    waiting = [one for one in workers if one.due is not None and not one.loading]
    waiting.sort(key=lambda one: (one.due, one.running, one.id))
    return [one.id for one in waiting[: max(0, room)]]
