"""Schedule of weight loads, as pure functions: which workers load the newest version next.

Rollouts start immediately, because responses generated with replaced weights are worth less to
callers. A loading worker serves no requests, so only a fraction of a model's workers loads at the
same time, and as many as necessary when the deadline of the rollout is near. A version named before
a worker starts its load replaces the earlier ones.
"""

import math
from dataclasses import dataclass

PREFERRED_LOADING_FRACTION = 1 / 4
"""Fraction of a model's workers that load concurrently if the deadline allows it, rounded up."""

MAX_LOADING_FRACTION = 1 / 2
"""Maximum fraction of a model's workers that load concurrently, rounded down but at least one."""

SAFETY_MARGIN_SECONDS = 1.6
"""Time reserved between the planned end of a rollout and its deadline."""

INITIAL_LOAD_SECONDS = 1.3
"""Initial estimate of the duration of a load, including the wait for running requests."""


@dataclass(frozen=True)
class WorkerWeights:
    """Weights version of a model at a worker, and whether the worker can be ordered to load.

    :ivar deadline: time from which no request may start on the version; ``None`` if it is the
        newest.
    :ivar loading: whether a load is in progress.
    :ivar running: number of requests at the worker.
    :ivar paused: whether no order may be sent to the worker at present.
    """

    id: str
    version: int
    deadline: float | None
    loading: bool
    running: int = 0
    paused: bool = False


def concurrent_loads(
    workers: list[WorkerWeights], now: float, load_seconds: float, has_backlog: bool = False
) -> int:
    """Return how many workers should load concurrently to finish the rollout by its deadline.

    :param load_seconds: estimated duration of a load.
    :param has_backlog: whether the workers have too large a prefill backlog to take one out of
        service. Loads are then deferred as long as the deadline allows.
    """
    outdated = [worker for worker in workers if worker.deadline is not None]
    preferred = math.ceil(len(workers) * PREFERRED_LOADING_FRACTION)
    maximum = max(1, int(len(workers) * MAX_LOADING_FRACTION))
    if not outdated:
        return preferred
    seconds_left = min(worker.deadline for worker in outdated) - SAFETY_MARGIN_SECONDS - now
    waves = math.ceil(len(outdated) / preferred)
    if has_backlog and seconds_left > waves * load_seconds:
        return 0
    if seconds_left < load_seconds:
        return maximum
    needed = math.ceil(len(outdated) * load_seconds / seconds_left)
    return min(maximum, max(preferred, needed))


def next_loads(
    workers: list[WorkerWeights], now: float, load_seconds: float, has_backlog: bool = False
) -> list[str]:
    """Return the ids of the workers to order now, those with the earliest deadline first."""
    free_slots = concurrent_loads(workers, now, load_seconds, has_backlog) - sum(
        worker.loading for worker in workers
    )
    waiting = [
        worker
        for worker in workers
        if worker.deadline is not None and not worker.loading and not worker.paused
    ]
    waiting.sort(key=lambda worker: (worker.deadline, worker.running, worker.id))
    return [worker.id for worker in waiting[: max(0, free_slots)]]
