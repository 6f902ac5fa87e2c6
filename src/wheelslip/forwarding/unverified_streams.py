"""Streams of which it is not known yet which process of their worker began them.

The worker is asked again until it names the process that its entry had named before the stream
began: then that process has answered all the time. Its entry shows the same if it lasts longer than
the lease of a process that has ended.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from wheelslip.deployment import Incarnation, WorkerInfo
from wheelslip.forwarding.process_checks import ProcessChecks
from wheelslip.forwarding_settings import BoundsSection
from wheelslip.registry.registry import Registry

MIN_PAUSE_SECONDS = 0.25
MAX_PAUSE_SECONDS = 2.0
REPORT_SECONDS = 1.0

ENTRY_HEARTBEATS = 3
"""Heartbeats after which the entry of a process that has ended is removed."""

LATE_WRITE_SECONDS = 2.0
"""Time by which a write of an entry may be late."""

MAX_STREAMS = 4096
"""Maximum number of streams that wait to be verified; further ones stay unverified."""


class UnverifiedStream(NamedTuple):
    """A stream that a worker's process has begun.

    :ivar worker: the worker as its entry named it before the stream began.
    :ivar keys: keys of the stream's records.
    :ivar began_at: when its first event was received, in seconds of the steady clock.
    :ivar recorded_until: when its records expire.
    """

    worker: WorkerInfo
    keys: tuple[str, ...]
    began_at: float
    recorded_until: float


class UnverifiedStreams:
    """Verifies which process began each stream, in the background.

    :param on_verified: called with each stream that was begun by the process that the entry of its
        worker named.
    """

    def __init__(
        self,
        checks: ProcessChecks,
        registry: Registry,
        bounds: Callable[[], BoundsSection],
        clock: Callable[[], float],
        on_verified: Callable[[UnverifiedStream], None],
    ):
        self._checks = checks
        self._registry = registry
        self._bounds = bounds
        self._clock = clock
        self._on_verified = on_verified
        self._streams: dict[Incarnation, list[UnverifiedStream]] = {}
        self._tasks: set[asyncio.Task] = set()

    def __len__(self) -> int:
        return sum(map(len, self._streams.values()))

    def add(self, stream: UnverifiedStream) -> None:
        """Verify a stream as soon as possible."""
        if len(self) >= MAX_STREAMS:
            return
        is_first = stream.worker.id not in self._streams
        self._streams.setdefault(stream.worker.id, []).append(stream)
        if is_first:
            task = asyncio.create_task(self._verify(stream.worker))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Stop all verification."""
        for task in self._tasks:
            task.cancel()

    async def _verify(self, worker: WorkerInfo) -> None:
        """Ask a worker until all its streams are verified, expired or of an unknown process."""
        pause = MIN_PAUSE_SECONDS
        try:
            while self._streams[worker.id]:
                await asyncio.sleep(pause)
                pause = min(2 * pause, MAX_PAUSE_SECONDS)
                sent_at = self._clock()
                born = await self._checks.ask(worker, REPORT_SECONDS)
                if born not in (0, worker.born):
                    # Any of the processes since the entry may have begun the streams.
                    return
                self._settle(worker, sent_at if born else float("-inf"))
        finally:
            del self._streams[worker.id]

    def _settle(self, worker: WorkerInfo, answered_at: float) -> None:
        """Remove the streams that are verified or expired.

        :param answered_at: time at which the process of the entry is known to have answered.
        """
        remaining = []
        for stream in self._streams[worker.id]:
            if stream.began_at <= answered_at or self._has_lasting_entry(stream):
                self._on_verified(stream)
            elif stream.recorded_until > self._clock():
                remaining.append(stream)
        self._streams[worker.id] = remaining

    def _has_lasting_entry(self, stream: UnverifiedStream) -> bool:
        """Return whether the entry of a worker lasted longer than that of an ended process."""
        worker = self._registry.workers.get(stream.worker.id)
        if worker is None or not self._registry.view.accepts_orders(worker):
            return False
        lease_seconds = ENTRY_HEARTBEATS * self._bounds().heartbeat_ms / 1000
        lasted_until = stream.began_at + lease_seconds + LATE_WRITE_SECONDS
        health = self._registry.health
        return health.confirmed_at >= lasted_until and health.interrupted_at < stream.began_at
