"""Keeps a request that ends the engines which run it from engine after engine.

A caller repeats such a request as a new one, at any node; no node's own bounds on attempts see that.
See :mod:`wheelslip.routing.crash_ledger` for when a content is suspected, refused and free again.
Without this, 16 repeats at three nodes ended 16 to 19 engines, with it 3 or 4 (probe with stand-ins).
"""

import asyncio
import random
from collections.abc import Callable

from wheelslip.deployment import Incarnation, WorkerInfo
from wheelslip.errors import ErrorKind, WheelslipError
from wheelslip.forwarding.content_trials import ContentTrials, Trial
from wheelslip.forwarding.crash_evidence import CrashEvidence
from wheelslip.forwarding.crash_reports import CrashReports
from wheelslip.forwarding.interface import KeyValueStore
from wheelslip.forwarding.job import Job
from wheelslip.forwarding.registry import Registry
from wheelslip.routing.crash_ledger import CrashLedger, FingerprintStatus


class CrashGuard:
    """A node's view of contents that end engines, and its part in telling and trying them.

    :param node: name of this node, the same after a restart.
    :ivar reports: the task that tells other nodes.
    """

    def __init__(
        self,
        node: str,
        store: KeyValueStore,
        registry: Registry,
        clock: Callable[[], float],
        random_source: random.Random,
    ):
        self._ledger = CrashLedger(clock)
        self.reports = CrashReports(node, store, registry, self._ledger, clock, random_source)
        self._trials = ContentTrials(node, store, registry, clock)
        self._registry = registry
        self._evidence = CrashEvidence(registry, self.reports.add, self._ledger.ended_at, clock)
        self._ending: set[asyncio.Task] = set()

    def entry_changed(self, key: str) -> None:
        """Take a change of one of the system's own keys into account."""
        self.reports.entry_changed(key)
        self._trials.entry_changed(key)

    def refused_contents(self) -> int:
        """Return the number of contents that are refused now."""
        return self._ledger.refused_count()

    async def admit(self, job: Job, service: str) -> Trial | None:
        """Let a request pass; return the turn that it has, if its content is suspected.

        :raises WheelslipError: when it is not sent to any engine now.
        """
        if not self._ledger:
            # No engine has ended under anything: the content is not even looked at.
            return None
        match self._ledger.status(job.fingerprint):
            case FingerprintStatus.FREE:
                return None
            case FingerprintStatus.REFUSED:
                seconds = max(1.0, round(self._ledger.refused_seconds(job.fingerprint)))
                kind = ErrorKind.REQUEST_CRASHES_ENGINES
                raise WheelslipError(kind, "engines ended under this content", seconds)
        trial = await self._trials.take(service)
        if trial is None:
            kind = ErrorKind.REQUEST_SUSPECTED
            raise WheelslipError(kind, "engines ended under this content; others are tried first")
        job.excluded |= self._ended_starts()
        return trial

    def _ended_starts(self) -> set[Incarnation]:
        """Return the engines in view that are known to have ended: a trial there shows nothing."""
        return {one for one in self._registry.workers if self._ledger.ended_at(one) is not None}

    def lost(self, job: Job, worker: WorkerInfo) -> None:
        """An engine broke a request's answer off."""
        self._evidence.lost(job.fingerprint, worker, job.on_trial, job.last_sent_at)

    def ran_whole(self, job: Job) -> None:
        """A request has run whole."""
        if self._ledger and self._ledger.crashes(job.fingerprint):
            self.reports.add_whole_run(job.fingerprint)

    def end_trial(self, trial: Trial, job: Job) -> None:
        """Give a turn back, once it is known how the request ended and others have been told."""
        task = asyncio.get_running_loop().create_task(self._end_trial(trial, job))
        self._ending.add(task)
        task.add_done_callback(self._ending.discard)

    async def _end_trial(self, trial: Trial, job: Job) -> None:
        if job.last_start is not None:
            await self._evidence.settled(job.last_start)
        await self.reports.written()
        # Until the verdict, whichever it is, nobody else may try the content at another engine.
        await asyncio.sleep(self._ledger.pending_report_seconds(job.fingerprint))
        await self._trials.give_back(trial)
