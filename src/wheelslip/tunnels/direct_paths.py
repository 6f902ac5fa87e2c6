"""This node's own network paths to workers, as its attempts to connect show them.

A failed attempt does not tell whether the worker or the path failed. If another node reaches the
worker meanwhile, this node lacks a path. A node that lacks the paths to several workers, and has
connected to none since, is isolated: it assumes that it reaches no worker, except for one attempt
at a time.
"""

from collections.abc import Callable
from dataclasses import dataclass

from wheelslip.deployment import Incarnation, WorkerInfo
from wheelslip.events import LogEvent, log_event

RETRY_SECONDS = 1.0
"""Interval between attempts to connect to a worker directly while tunnels are used."""

ISOLATING_WORKERS = 2
"""Number of workers without a path from which a node is isolated."""

CONFIRMATION_SECONDS = 2.0
"""Time for which a connection of another node to a worker shows that the worker is reachable."""


@dataclass
class _LostPath:
    """A worker to which no connection could be opened.

    :ivar worker: the worker.
    :ivar since: when the first attempt failed.
    :ivar failed_at: when the last attempt failed.
    :ivar retry_at: when to try again to connect directly.
    :ivar hangs: data is not acknowledged, so open connections are not used either.
    :ivar confirmed: another node reached the worker meanwhile.
    """

    worker: WorkerInfo
    since: float
    failed_at: float
    retry_at: float
    hangs: bool
    confirmed: bool


class DirectPaths:
    """Records to which workers this node can open connections."""

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._lost: dict[Incarnation, _LostPath] = {}
        self._reached_by_peer_at: dict[Incarnation, float] = {}
        self._connected_at = float("-inf")
        self._probe_at = float("-inf")

    @property
    def lost_count(self) -> int:
        """Number of workers to which the last attempt to connect failed."""
        return len(self._lost)

    @property
    def isolated(self) -> bool:
        """Whether this node probably reaches no worker at all."""
        return len(self._isolating()) >= ISOLATING_WORKERS

    def gauges(self) -> dict[str, Callable[[], float]]:
        """Return the gauges by name."""
        return {
            "isolated_from_workers": lambda: float(self.isolated),
            "engine_paths_lost": lambda: float(self.lost_count),
        }

    def _isolating(self) -> list[_LostPath]:
        return [
            path
            for path in self._lost.values()
            if path.confirmed and path.failed_at > self._connected_at
        ]

    def lacks(self, incarnation: Incarnation) -> bool:
        """Return whether this node, and not the worker, is the reason for failed connections."""
        path = self._lost.get(incarnation)
        return (path is not None and path.confirmed) or self.isolated

    def distrusts_open_connections(self, incarnation: Incarnation) -> bool:
        """Return whether data on an open connection to a worker would not be acknowledged."""
        path = self._lost.get(incarnation)
        if path is not None and path.hangs:
            return True
        return self.isolated and any(path.hangs for path in self._isolating())

    def may_retry(self, incarnation: Incarnation) -> bool:
        """Return whether to try now to connect directly to a worker that this node lacks."""
        now = self._clock()
        path = self._lost.get(incarnation)
        return now >= (self._probe_at if self.isolated or path is None else path.retry_at)

    def begin_retry(self, incarnation: Incarnation) -> None:
        """Record that a direct attempt is made."""
        self._probe_at = self._clock() + RETRY_SECONDS
        if incarnation in self._lost:
            self._lost[incarnation].retry_at = self._probe_at

    def due_probe(self) -> WorkerInfo | None:
        """Return a worker to which an isolated node should try to connect now, if any."""
        if not self.isolated or self._clock() < self._probe_at:
            return None
        return min(self._isolating(), key=lambda path: path.failed_at).worker

    def record_connected(self, worker: WorkerInfo) -> None:
        """Record that a connection to a worker was opened."""
        now = self._clock()
        if self.isolated:
            log_event(LogEvent.NODE_REJOINED_WORKERS, **_fields(worker))
            for path in self._lost.values():
                path.retry_at = now
        self._connected_at = now
        path = self._lost.pop(worker.id, None)
        if path is not None:
            log_event(
                LogEvent.ENGINE_PATH_REGAINED,
                **_fields(worker),
                seconds=round(now - path.since, 3),
            )

    def record_failed(self, worker: WorkerInfo, reason: str, hangs: bool) -> None:
        """Record that no connection to a worker could be opened, or that one went silent.

        :param hangs: no reply was received, in contrast to a reset.
        """
        was_isolated = self.isolated
        now = self._clock()
        path = self._lost.get(worker.id)
        reached_at = self._reached_by_peer_at.get(worker.id, float("-inf"))
        confirmed = now - reached_at < CONFIRMATION_SECONDS
        if path is None:
            log_event(LogEvent.ENGINE_PATH_LOST, **_fields(worker), reason=reason)
            path = _LostPath(worker, now, now, now + RETRY_SECONDS, hangs, confirmed)
            self._lost[worker.id] = path
        path.failed_at, path.hangs = now, hangs
        path.confirmed = path.confirmed or confirmed
        self._log_isolation(was_isolated)

    def record_reached_by_peer(self, incarnation: Incarnation) -> None:
        """Record that another node has a connection to a worker."""
        was_isolated = self.isolated
        self._reached_by_peer_at[incarnation] = self._clock()
        if incarnation in self._lost:
            self._lost[incarnation].confirmed = True
        self._log_isolation(was_isolated)

    def record_unreached_by_peer(self, incarnation: Incarnation) -> None:
        """Record that another node could not connect to a worker either."""
        self._reached_by_peer_at.pop(incarnation, None)
        if incarnation in self._lost:
            self._lost[incarnation].confirmed = False

    def forget(self, incarnation: Incarnation) -> None:
        """Delete the record of a departed worker."""
        self._lost.pop(incarnation, None)
        self._reached_by_peer_at.pop(incarnation, None)

    def _log_isolation(self, was_isolated: bool) -> None:
        if self.isolated and not was_isolated:
            log_event(LogEvent.NODE_ISOLATED_FROM_WORKERS, lost=len(self._lost))


def _fields(worker: WorkerInfo) -> dict[str, object]:
    return {"engine": worker.worker_id, "incarnation": worker.id, "zone": worker.zone}
