"""When to load which worker: the newest version, at once, a part of the workers at a time.

An answer made on replaced weights is worth less to its caller, and a rollout that is put off
until its bound takes workers away just when all requests must go to the few that are done.
A worker that loads serves nobody, so only a part of them loads at a time; versions that are
named while workers wait for their turn are loaded once, together.
Pure: time and state are arguments.
"""

import math
from dataclasses import dataclass

PREFERRED_SHARE = 1 / 4
"""Part of a model's workers that loads at one time when the bound leaves a choice, rounded up."""

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
    :ivar paused: it did not answer of late, so it takes no other's turn.
    """

    id: str
    version: int
    due: float | None
    loading: bool
    running: int = 0
    paused: bool = False


def loads_at_once(
    workers: list[WorkerWeights], now: float, load_seconds: float, behind: bool = False
) -> int:
    """Return how many workers load at one time so that all are done before the bound.

    :param behind: the workers have more to read than they can spare one for; loads then wait,
        as long as the bound allows.
    """
    old = [one for one in workers if one.due is not None]
    preferred = math.ceil(len(workers) * PREFERRED_SHARE)
    greatest = max(1, int(len(workers) * GREATEST_SHARE))
    if not old:
        return preferred
    seconds_left = min(one.due for one in old) - SAFETY_SECONDS - now
    waves = math.ceil(len(old) / preferred)
    if behind and seconds_left > waves * load_seconds:
        return 0
    if seconds_left < load_seconds:
        return greatest
    needed = math.ceil(len(old) * load_seconds / seconds_left)
    return min(greatest, max(preferred, needed))


def next_loads(
    workers: list[WorkerWeights], now: float, load_seconds: float, behind: bool = False
) -> list[str]:
    """Return the workers to order now, those with the earliest bound first."""
    room = loads_at_once(workers, now, load_seconds, behind) - sum(one.loading for one in workers)
    waiting = [one for one in workers if one.due is not None and not one.loading and not one.paused]
    waiting.sort(key=lambda one: (one.due, one.running, one.id))
    return [one.id for one in waiting[: max(0, room)]]
