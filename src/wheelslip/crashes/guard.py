"""Protection of workers against requests that crash them.

A caller may repeat such a request under new ids and at any node, which the retry limits of a single
request do not prevent, or send other requests with the same prompt part. See
:mod:`wheelslip.crashes.ledger` for when a request fingerprint is suspected, refused and accepted
again, and :mod:`wheelslip.crashes.part_ledger` for prompt parts.
"""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable

from wheelslip.crashes.evidence import CrashEvidence
from wheelslip.crashes.ledger import CrashLedger, FingerprintStatus
from wheelslip.crashes.part_ledger import PartCrash, PartKeys, PartLedger, part_keys
from wheelslip.crashes.part_reports import PartReports
from wheelslip.crashes.reports import CrashReports
from wheelslip.crashes.trials import TrialLock, TrialLocks
from wheelslip.deployment import Incarnation, WorkerInfo, born_of
from wheelslip.errors import ErrorKind, WheelslipError
from wheelslip.job import Job
from wheelslip.registry.interface import KeyValueStore
from wheelslip.registry.registry import Registry

PART_CRASH_SECONDS = 1.0
"""Time from the first event of an answer within which a prompt part crashes its worker. An answer that
lasted longer is no evidence against its parts."""


class CrashGuard:
    """Admits, serializes or refuses requests by the crashes of their fingerprints and prompt parts.

    :param node: name of this node, the same after a restart.
    :param reached_by_peer: returns whether another node can connect to a worker.
    :ivar reports: exchange of crash reports with other nodes.
    :ivar part_reports: the same by prompt part.
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
        self._clock = clock
        self._parts = PartLedger(clock, self._ledger.repeated_at)
        self.part_reports = PartReports(node, store, registry, self._parts, random_source)
        self._evidence = CrashEvidence(
            registry,
            self.reports.add,
            self._ledger.ended_at,
            clock,
            reached_by_peer,
            self._record_parts_crash,
        )
        self._pending_releases: set[asyncio.Task] = set()

    def entry_changed(self, key: str) -> None:
        """Process a change of a crash report or trial lock in the registry view."""
        self.reports.entry_changed(key)
        self.part_reports.entry_changed(key)
        self._trial_locks.entry_changed(key)

    def refused_fingerprints(self) -> int:
        """Return the number of fingerprints that are refused now."""
        return self._ledger.refused_count()

    def refused_parts(self) -> int:
        """Return the number of prompt parts that are refused now."""
        return len(self._parts.refused_keys())

    def suspected_parts(self) -> int:
        """Return the number of prompt parts that run in trials or are refused now."""
        return len(self._parts.suspects())

    def gauges(self) -> dict[str, Callable[[], float]]:
        """Return the gauges by name."""
        return {
            "refused_prompt_parts": lambda: float(self.refused_parts()),
            "suspected_prompt_parts": lambda: float(self.suspected_parts()),
            "refused_contents": lambda: float(self.refused_fingerprints()),
        }

    def admit(self, job: Job, service: str) -> None:
        """Check a request before it waits for a worker.

        :raises WheelslipError: if the request is refused, or is suspected and its trial cannot
            begin now.
        """
        if self._is_to_be_tried(job) and not self._trial_locks.may_acquire(service):
            raise _suspicion()

    async def begin_trial(self, job: Job, service: str) -> None:
        """Acquire the trial lock for a request that is suspected, just before it is sent.

        Workers may have crashed since the request was admitted. Those that are known to have ended
        are added to ``job.excluded``.

        :raises WheelslipError: if the request is refused, or is suspected and the trial lock is not
            available.
        """
        if not self._is_to_be_tried(job):
            return
        if job.trial_lock is None:
            job.trial_lock = await self._trial_locks.acquire(service)
        if not self._holds_lock(job):
            raise _suspicion()
        job.excluded |= self._ended_incarnations()
        job.trial_keys = self._parts.trial_keys(_part_keys(job))

    def may_send(self, job: Job) -> bool:
        """Return whether a request may be sent now: it is free, or holds the trial lock.

        :raises WheelslipError: if the request is refused.
        """
        return not self._is_to_be_tried(job) or self._holds_lock(job)

    def _holds_lock(self, job: Job) -> bool:
        return job.trial_lock is not None and self._clock() <= job.trial_lock.send_until

    def _is_to_be_tried(self, job: Job) -> bool:
        """Return whether a request is suspected.

        :raises WheelslipError: if it is refused.
        """
        if not self._has_crashes():
            return False
        status = self._status(job)
        if status is FingerprintStatus.REFUSED:
            raise self._refusal(job)
        return status is FingerprintStatus.TRIAL

    def _has_crashes(self) -> bool:
        """Return whether any crash is recorded; without one, no keys need to be computed."""
        return bool(self._ledger) or bool(self._parts)

    def _status(self, job: Job) -> FingerprintStatus:
        """Return the stricter status of the fingerprint and of the prompt parts of a request."""
        if not self._parts:
            return self._ledger.status(job.fingerprint)
        parts_status = self._parts.status(_part_keys(job))
        status = self._fingerprint_status(job, parts_status)
        if parts_status is FingerprintStatus.FREE or status is FingerprintStatus.REFUSED:
            return status
        return parts_status

    def _fingerprint_status(self, job: Job, parts_status: FingerprintStatus) -> FingerprintStatus:
        """Return the status of a fingerprint without crashes that other requests explain."""
        explained: frozenset[Incarnation] = frozenset()
        if parts_status is FingerprintStatus.FREE:
            # Crashes beside suspected parts of other requests are no evidence against this one.
            explained = self._parts.explained()
        status = self._ledger.status(job.fingerprint, explained)
        if status is not FingerprintStatus.REFUSED:
            return status
        crashes = [crash.incarnation for crash in self._ledger.crashes(job.fingerprint)]
        ambiguous = self._parts.other_causes(crashes, _all_keys(job))
        if self._ledger.status(job.fingerprint, explained | ambiguous) is status:
            return status
        return FingerprintStatus.TRIAL

    def _refusal(self, job: Job) -> WheelslipError:
        seconds = self._parts.refused_seconds(_all_keys(job))
        subject = "requests with a part of this prompt"
        if seconds <= 0:
            seconds = self._ledger.refused_seconds(job.fingerprint)
            subject = "this request"
        return WheelslipError(
            ErrorKind.REQUEST_CRASHES_ENGINES,
            f"engines crashed while running {subject}",
            max(1.0, round(seconds)),
        )

    def is_suspected(self, job: Job) -> bool:
        """Return whether a request may crash workers, so that it is not repeated."""
        return self._has_crashes() and self._status(job) is not FingerprintStatus.FREE

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
        keys = set()
        began_at = job.attempt_began_answer_at
        if not began_at or self._clock() - began_at <= PART_CRASH_SECONDS:
            for part, part_id in zip(_part_keys(job), job.shared_part_ids, strict=True):
                for key in part.all():
                    self.part_reports.name(key, part_id)
                    keys.add(key)
        process = job.last_incarnation
        if process not in (None, worker.id):
            # The worker had restarted before its entry was seen.
            worker = dataclasses.replace(worker, id=process, born=born_of(process))
        self._evidence.record_lost_response(
            job.fingerprint, worker, job.on_trial, job.last_sent_at, keys, job.trial_keys
        )

    def _record_parts_crash(
        self, incarnation: Incarnation, keys: set[str], tried: dict[str, str]
    ) -> None:
        """Record and report the crash of a worker by the prompt parts that ran there."""
        self.part_reports.add(
            PartCrash(key, incarnation, tried.get(key, "")) for key in sorted(keys)
        )

    def record_completed_run(self, job: Job) -> None:
        """Record that a request was executed completely, which clears its crashes."""
        if self._ledger and self._ledger.crashes(job.fingerprint):
            self.reports.add_completed_run(job.fingerprint)
        if job.shared_part_ids:
            keys = _all_keys(job)
            if self._ledger:
                keys.add(job.fingerprint)
            self.part_reports.add_answer(sorted(keys))

    def end_trial(self, job: Job) -> None:
        """Release the trial lock of a request, if it has one.

        That is done in the background, once the result is known and was reported.
        """
        if job.trial_lock is None:
            return
        task = asyncio.get_running_loop().create_task(self._end_trial(job.trial_lock, job))
        self._pending_releases.add(task)
        task.add_done_callback(self._pending_releases.discard)

    async def _end_trial(self, trial_lock: TrialLock, job: Job) -> None:
        if job.last_incarnation is not None:
            await self._evidence.wait_until_checked(job.last_incarnation)
        await self.reports.wait_until_written()
        await self.part_reports.wait_until_written()
        # Keep the lock until reports of other nodes about the same crash have been received.
        await asyncio.sleep(self._ledger.pending_report_seconds(job.fingerprint))
        await self._trial_locks.release(trial_lock)


def _suspicion() -> WheelslipError:
    return WheelslipError(
        ErrorKind.REQUEST_SUSPECTED,
        "engines crashed while running this request or others with a part of its prompt; "
        "its trial run must wait",
    )


def _part_keys(job: Job) -> list[PartKeys]:
    """Return the keys of the prompt parts of a request that other requests may have."""
    tenant = job.tenant.name if job.tenant is not None else ""
    isolated = job.tenant is not None and job.tenant.isolated
    return [part_keys(part_id, tenant, isolated) for part_id in job.shared_part_ids]


def _all_keys(job: Job) -> set[str]:
    return {key for part in _part_keys(job) for key in part.all()}
