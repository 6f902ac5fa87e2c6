"""Protection of workers against requests that crash them.

A caller may repeat such a request under new ids and at any node, which the retry limits of a single
request do not prevent. See :mod:`wheelslip.crashes.ledger` for when a request fingerprint is
suspected, refused and accepted again.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from wheelslip.crashes.evidence import CrashEvidence
from wheelslip.crashes.ledger import CrashLedger, FingerprintStatus
from wheelslip.crashes.reports import CrashReports
from wheelslip.crashes.trials import TrialLock, TrialLocks
from wheelslip.deployment import Incarnation, WorkerInfo
from wheelslip.errors import ErrorKind, WheelslipError
from wheelslip.forwarding.interface import KeyValueStore
from wheelslip.forwarding.job import Job
from wheelslip.forwarding.registry import Registry


class CrashGuard:
    """Admits, serializes or refuses requests by the crashes recorded for their fingerprints.

    :param node: name of this node, the same after a restart.
    :param reached_by_peer: returns whether another node can connect to a worker.
    :ivar reports: exchange of crash reports with other nodes.
    """

    def __init__(
        self,
        node: str,
        store: KeyValueStore,
        registry: Registry,
        clock: Callable[[], float],
        random_source: random.Random,
        reached_by_peer: Callable[[WorkerInfo], Awaitable[bool]] | None = None,
    ):
        self._ledger = CrashLedger(clock)
        self.reports = CrashReports(node, store, registry, self._ledger, clock, random_source)
        self._trial_locks = TrialLocks(node, store, registry, clock)
        self._registry = registry
        self._evidence = CrashEvidence(
            registry, self.reports.add, self._ledger.ended_at, clock, reached_by_peer
        )
        self._pending_releases: set[asyncio.Task] = set()

    def entry_changed(self, key: str) -> None:
        """Process a change of a crash report or trial lock in the registry view."""
        self.reports.entry_changed(key)
        self._trial_locks.entry_changed(key)

    def refused_fingerprints(self) -> int:
        """Return the number of fingerprints that are refused now."""
        return self._ledger.refused_count()

    async def admit(self, job: Job, service: str) -> TrialLock | None:
        """Check a request before it is sent to a worker.

        :return: the acquired trial lock if the request is suspected, otherwise ``None``.
        :raises WheelslipError: if the request is refused, or is suspected and the trial lock is not
            available.
        """
        if not self._ledger:
            # No crash is recorded at all; skip the computation of the fingerprint.
            return None
        match self._ledger.status(job.fingerprint):
            case FingerprintStatus.FREE:
                return None
            case FingerprintStatus.REFUSED:
                seconds = max(1.0, round(self._ledger.refused_seconds(job.fingerprint)))
                kind = ErrorKind.REQUEST_CRASHES_ENGINES
                raise WheelslipError(kind, "engines crashed while running this request", seconds)
        trial_lock = await self._trial_locks.acquire(service)
        if trial_lock is None:
            kind = ErrorKind.REQUEST_SUSPECTED
            raise WheelslipError(
                kind, "engines crashed while running this request; its trial run must wait"
            )
        job.excluded |= self._ended_incarnations()
        return trial_lock

    def _ended_incarnations(self) -> set[Incarnation]:
        """Return the worker incarnations in the registry that are recorded as crashed.

        They are excluded from trials, since a failure there is no evidence against the request.
        """
        return {
            incarnation
            for incarnation in self._registry.workers
            if self._ledger.ended_at(incarnation) is not None
        }

    def record_lost_response(self, job: Job, worker: WorkerInfo) -> None:
        """Start to check whether a worker that lost a response has crashed."""
        self._evidence.record_lost_response(job.fingerprint, worker, job.on_trial, job.last_sent_at)

    def record_completed_run(self, job: Job) -> None:
        """Record that a request was executed completely, which clears its crashes."""
        if self._ledger and self._ledger.crashes(job.fingerprint):
            self.reports.add_completed_run(job.fingerprint)

    def end_trial(self, trial_lock: TrialLock, job: Job) -> None:
        """Release a trial lock in the background, once the result is known and was reported."""
        task = asyncio.get_running_loop().create_task(self._end_trial(trial_lock, job))
        self._pending_releases.add(task)
        task.add_done_callback(self._pending_releases.discard)

    async def _end_trial(self, trial_lock: TrialLock, job: Job) -> None:
        if job.last_incarnation is not None:
            await self._evidence.wait_until_checked(job.last_incarnation)
        await self.reports.wait_until_written()
        # Keep the lock until reports of other nodes about the same crash have been received.
        await asyncio.sleep(self._ledger.pending_report_seconds(job.fingerprint))
        await self._trial_locks.release(trial_lock)
