"""Checks which process answers at the address of a worker.

A worker may restart under its id before its entry in the store changes. Its reports name the start
of the process that sends them; a report that is late, missing or invalid tells nothing.
"""

import asyncio
from collections.abc import Callable
from functools import partial

from wheelslip.connections.http_client import PeerUnreachable
from wheelslip.deployment import Incarnation, WorkerInfo
from wheelslip.events import LogBudget, LogEvent
from wheelslip.registry.interface import WorkerControl, WorkerUnreachable
from wheelslip.tunnels.connector import WorkerConnector
from wheelslip.tunnels.direct_paths import DirectPaths

FAILURE_SECONDS = 2.0
"""Time after a check that told nothing for which no request waits for another one."""

LOG_LINES_PER_SECOND = 5.0


class ProcessChecks:
    """Asks workers when their present process started."""

    def __init__(
        self,
        control: WorkerControl,
        connector: WorkerConnector,
        paths: DirectPaths,
        clock: Callable[[], float],
    ):
        self._control = control
        self._connector = connector
        self._paths = paths
        self._clock = clock
        self._unsent: dict[tuple[Incarnation, bool], asyncio.Task[int]] = {}
        self._running: set[asyncio.Task[int]] = set()
        self._failed_at: dict[Incarnation, float] = {}
        self._log = LogBudget(LOG_LINES_PER_SECOND, clock)

    def failed_recently(self, incarnation: Incarnation) -> bool:
        """Return whether the last check of a worker has just told nothing."""
        failed_at = self._failed_at.get(incarnation)
        return failed_at is not None and self._clock() - failed_at < FAILURE_SECONDS

    async def ask(self, worker: WorkerInfo, seconds: float, tunneled: bool = False) -> int:
        """Return when the process at a worker's address started, by a report requested now.

        :param seconds: longest time to wait.
        :param tunneled: whether to ask through another node in any case; otherwise only if this
            node lacks a path.
        :return: in Unix milliseconds; 0 if that was not learned.
        """
        task = self._next_check(worker, tunneled or self._paths.lacks(worker.id))
        await asyncio.wait([task], timeout=seconds)
        if not task.done():
            self._record_failure(worker, f"no report within {seconds} s")
            return 0
        return task.result()

    def forget(self, incarnation: Incarnation) -> None:
        """Delete what is recorded of a removed worker."""
        self._failed_at.pop(incarnation, None)

    def _next_check(self, worker: WorkerInfo, tunneled: bool) -> asyncio.Task[int]:
        """Return a check that has not been sent yet, which requests of the same moment share."""
        key = worker.id, tunneled
        if key not in self._unsent:
            task = self._unsent[key] = asyncio.create_task(self._check(worker, tunneled))
            # Callers wait for a limited time only.
            self._running.add(task)
            task.add_done_callback(self._running.discard)
        return self._unsent[key]

    async def _check(self, worker: WorkerInfo, tunneled: bool) -> int:
        await asyncio.sleep(0)
        del self._unsent[worker.id, tunneled]
        connect = partial(self._connector.connect, worker) if tunneled else None
        try:
            report = await self._control.report(worker, connect)
        except (WorkerUnreachable, PeerUnreachable) as error:
            self._record_failure(worker, str(error))
            return 0
        if not report.born:
            self._record_failure(worker, "the report does not name the start of the process")
            return 0
        self._failed_at.pop(worker.id, None)
        return report.born

    def _record_failure(self, worker: WorkerInfo, reason: str) -> None:
        self._failed_at[worker.id] = self._clock()
        self._log.log(
            LogEvent.ENGINE_NOT_VERIFIED,
            engine=worker.worker_id,
            incarnation=worker.id,
            reason=reason,
        )
