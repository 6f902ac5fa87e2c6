"""Handling of a forwarded request: admission, worker assignment, attempts and retries.

An error that reports a request as not executed is returned only if no worker can have executed it.
"""

import asyncio
import contextlib
from collections.abc import Callable

from wheelslip.connections.http_client import HttpConnection, PeerUnreachable
from wheelslip.connections.worker_pool import WorkerPool
from wheelslip.crashes.guard import CrashGuard
from wheelslip.deployment import SplitPart, incarnation_of
from wheelslip.errors import ErrorKind, WheelslipError
from wheelslip.events import LogBudget, LogEvent, log_event
from wheelslip.forwarding.admission import MAX_VIEW_AGE_SECONDS, Admission
from wheelslip.forwarding.answers import error_response
from wheelslip.forwarding.assignment import Assignment, WorkerAssigner
from wheelslip.forwarding.attempt import (
    Attempt,
    AttemptOutcome,
    AttemptServices,
    write_buffered_response,
)
from wheelslip.forwarding.caller_connection import CallerConnection, ReceivedRequest
from wheelslip.forwarding.metrics import ForwardingMetrics
from wheelslip.forwarding.retry_policy import RetryPolicy
from wheelslip.forwarding.stream_continuation import StreamContinuation
from wheelslip.forwarding.trial_step import begin_trial
from wheelslip.forwarding.unserved import denies_other_attempts, truthful_error, unserved_error
from wheelslip.forwarding_settings import BoundsSection
from wheelslip.job import Job
from wheelslip.registry.interface import RequestDialect
from wheelslip.registry.registry import Registry
from wheelslip.routing.limits.tenant_limits import NoAuthority, TenantLimited
from wheelslip.routing.overload import Overloaded, RetrySchedule
from wheelslip.routing.split import WeightedRoundRobin
from wheelslip.streams.process_names import describe_version
from wheelslip.tunnels.connector import PathMissing

WORKER_WAIT_SECONDS = 0.2
"""Longest time a request waits while no worker is registered at which it has not failed; covers the
propagation of store changes and the takeover by a new dispatcher."""

ASSIGN_RETRY_SECONDS = 0.08
MAX_ASSIGN_RETRY_SECONDS = 0.5
"""Range of the pause between two attempts to assign a worker, unless the registry changes earlier. It
grows, so that requests which wait for a worker's return do not occupy dispatchers."""

BACKOFF_RETRY_SPACING_SECONDS = 0.05
"""Interval between the retry times of callers rejected during a backoff, after which a worker is
first sent one request at a time."""

ANSWER_GRACE_SECONDS = 0.1
"""Time after the deadline during which a worker may still return its own timeout response."""


_PROVEN_NOT_RUN = frozenset(
    {AttemptOutcome.NOT_SENT, AttemptOutcome.WITHHELD, AttemptOutcome.NOT_RUN}
)

_SERVED = frozenset({AttemptOutcome.ANSWERED, AttemptOutcome.FAILED})
"""Outcomes of attempts in which the worker executed the request and responded."""

REQUEST_LOG_LINES_PER_SECOND = 50.0
"""Average rate limit of log lines about individual requests and attempts."""


class Forwarder:
    """Handles all forwarded requests of one node."""

    def __init__(
        self,
        dialect: RequestDialect,
        registry: Registry,
        assigner: WorkerAssigner,
        pool: WorkerPool,
        crash_guard: CrashGuard,
        streams: StreamContinuation,
        bounds: Callable[[], BoundsSection],
        clock: Callable[[], float],
        metrics: ForwardingMetrics,
    ):
        self._crash_guard = crash_guard
        self._streams = streams
        self._metrics = metrics
        self._log = LogBudget(REQUEST_LOG_LINES_PER_SECOND, clock)
        self._dialect = dialect
        self._registry = registry
        self._assigner = assigner
        self._pool = pool
        self._bounds = bounds
        self._clock = clock
        self._admission = Admission(dialect, registry, bounds)
        self._services = AttemptServices(dialect, registry, pool, streams, metrics, clock)
        self._splits: dict[str, WeightedRoundRobin] = {}
        self._retries = RetryPolicy(crash_guard, bounds, metrics, clock)
        self._retry_schedules: dict[str, RetrySchedule] = {}

    async def handle(self, received: ReceivedRequest, caller: CallerConnection) -> None:
        """Process a request and always answer it, with an error response on failure."""
        request_id = self._request_id(received)
        try:
            job = self._admission.admit(received)
            async with asyncio.timeout(job.deadline + ANSWER_GRACE_SECONDS - self._clock()):
                await self._serve(job, caller)
            self._record_completion(job)
        except TimeoutError:
            kind = ErrorKind.DEADLINE_PASSED if job.may_have_run else ErrorKind.NO_ENGINE
            self._send_error(WheelslipError(kind, "deadline reached"), request_id, caller)
        except WheelslipError as error:
            self._send_error(error, request_id, caller)
        except Exception as error:
            log_event(LogEvent.REQUEST_FAULT, request=request_id, reason=repr(error))
            fault = WheelslipError(ErrorKind.INTERNAL_ERROR, "internal error in wheelslip")
            self._send_error(fault, request_id, caller)

    def refuse(
        self, error: WheelslipError, received: ReceivedRequest, caller: CallerConnection
    ) -> None:
        """Answer a request with an error without processing it."""
        self._send_error(error, self._request_id(received), caller)

    def _request_id(self, received: ReceivedRequest) -> str | None:
        with contextlib.suppress(ValueError):
            return self._dialect.decode_request(received.headers).request_id or None
        return None

    def _send_error(
        self, error: WheelslipError, request_id: str | None, caller: CallerConnection
    ) -> None:
        self._metrics.requests[("any", error.kind.value)] += 1
        self._log.log(
            LogEvent.REQUEST_REFUSED,
            request=request_id,
            outcome=error.kind.value,
            reason=error.message,
            registry_age=round(min(self._registry.age(), 1e6), 3),
        )
        if caller.response_started:
            caller.abort()
            return
        status, headers, body = error_response(error, request_id)
        headers += self._dialect.own_response_headers(request_id)
        if self._registry.age() > MAX_VIEW_AGE_SECONDS:
            # The registry view is stale: make the caller reconnect, possibly to another node.
            headers.append((b"Connection", b"close"))
        caller.write_head(status, headers)
        caller.write_body(body)
        caller.write_end()

    def _record_completion(self, job: Job) -> None:
        seconds = self._clock() - job.request.arrived
        outcome = AttemptOutcome.FAILED if job.failure_forwarded else AttemptOutcome.ANSWERED
        self._metrics.request_ended(job.route.kind.value, outcome.value, seconds)
        if outcome is AttemptOutcome.ANSWERED:
            # Failed attempts are counted in _record_failed_attempt().
            self._metrics.attempts[outcome.value] += 1
        self._log.log(
            LogEvent.REQUEST_FINISHED,
            request=job.request.metadata.request_id,
            tenant=job.tenant.name if job.tenant else None,
            workload=job.route.name,
            outcome=outcome.value,
            attempts=job.attempts_sent,
            engine=job.worker_id,
            software_version=job.software_version,
            resumes=job.request.metadata.resumed_id or None,
            tunnel=job.via or None,
            weights_version=job.weights_version,
            delivered=job.last_delivered_id,
            configuration=self._registry.configuration.version,
            first_event=round(max(0.0, job.first_event_at - job.request.arrived), 4),
            seconds=round(seconds, 4),
        )

    async def _serve(self, job: Job, caller: CallerConnection) -> None:
        service = await self._streams.prepare(job, self._choose_service(job))
        self._crash_guard.admit(job, service)
        try:
            await self._attempt_until_answered(job, service, caller)
        finally:
            self._crash_guard.end_trial(job)

    async def _attempt_until_answered(
        self, job: Job, service: str, caller: CallerConnection
    ) -> None:
        self._retries.record_request(service)
        try:
            while True:
                assignment = await self._assign(job, service)
                if not await begin_trial(self._crash_guard, job, service, assignment):
                    continue
                outcome = await self._attempt(job, assignment, caller)
                if outcome is AttemptOutcome.ANSWERED:
                    self._crash_guard.record_completed_run(job)
                    return
                self._record_failed_attempt(job, assignment, outcome)
                if not self._retries.may_retry(job, outcome, service):
                    self._finish_unserved(job, caller)
                    return
        finally:
            self._retries.release(job)

    def _choose_service(self, job: Job) -> str:
        parts = job.route.split
        if len(parts) == 1:
            return parts[0].service
        split = self._splits.setdefault(job.route.name, WeightedRoundRobin())
        weights = {part.service: part.weight for part in self._available_parts(parts)}
        return split.choose(weights) or parts[0].service

    def _available_parts(self, parts: tuple[SplitPart, ...]) -> list[SplitPart]:
        return [part for part in parts if self._registry.workers_of(part.service)] or list(parts)

    async def _assign(self, job: Job, service: str) -> Assignment:
        """Wait until a worker can be assigned to a request, and return the assignment.

        :raises WheelslipError: if no worker can start the request in time, or if the tenant has
            exceeded its rate limit.
        """
        began_at = self._clock()
        retry_seconds = ASSIGN_RETRY_SECONDS
        await self._streams.resolve_required_version(job)
        while True:
            self._streams.require_version_in_use(job, service)
            reason = "no worker is available"
            try:
                assignment = await self._assign_verified(job, service)
            except TenantLimited as exc:
                kind = ErrorKind.TENANT_LIMIT_EXCEEDED
                raise WheelslipError(kind, str(exc), round(exc.retry_seconds, 3)) from exc
            except NoAuthority:
                assignment = None
                reason = "the tenant's rate limit cannot be checked at present"
            except Overloaded as exc:
                raise unserved_error(job, str(exc), exc.retry_seconds) from exc
            if assignment is not None:
                self._confirm(job, assignment)
                return assignment
            wait_deadline = self._wait_deadline(job, service, began_at)
            backoff_end = self._backoff_end(job, service)
            if backoff_end is not None:
                wait_deadline = max(wait_deadline, backoff_end + ASSIGN_RETRY_SECONDS)
            remaining = wait_deadline - self._clock()
            if remaining <= 0:
                raise unserved_error(job, reason)
            pause = max(retry_seconds, (backoff_end or 0.0) - self._clock())
            retry_seconds = min(2 * retry_seconds, MAX_ASSIGN_RETRY_SECONDS)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(remaining, pause)):
                    await self._registry.changed()

    def _wait_deadline(self, job: Job, service: str, began_at: float) -> float:
        """Return until when a request waits for a worker to become available.

        :param began_at: when the request began to wait.
        """
        deadline = began_at + WORKER_WAIT_SECONDS
        has_others = self._registry.has_others(service, job.excluded)
        if not has_others or self._streams.awaits_store(job, service):
            return deadline
        return max(deadline, self._assigner.latest_start(job, service))

    async def _assign_verified(self, job: Job, service: str) -> Assignment | None:
        """Assign a worker, if possible one whose software version is verified."""
        while True:
            try:
                assignment = await self._assigner.assign(job, service)
            except Overloaded:
                if not self._streams.accept_unverified(job, service):
                    raise
            else:
                if assignment is not None or not self._streams.accept_unverified(job, service):
                    return assignment

    def _confirm(self, job: Job, assignment: Assignment) -> None:
        """Check the API key of a request again if it may have waited in a queue.

        :raises WheelslipError: if the request may not run any more; its grant is returned.
        """
        if not assignment.queued:
            return
        try:
            self._admission.confirm(job)
        except WheelslipError as error:
            assignment.record_unused()
            raise truthful_error(job, error) from error

    def _backoff_end(self, job: Job, service: str) -> float | None:
        """Return the time at which the first worker in backoff accepts requests again.

        :return: ``None`` if no worker of the service is in backoff.
        :raises WheelslipError: if the caller would not receive the response by then. The request
            fails immediately, as a worker may still accept it from another node; callers are
            given successively later retry times.
        """
        first_end = self._registry.earliest_backoff_end(service)
        if first_end is None:
            return None
        now = self._clock()
        backoff_end = max(now, first_end)
        if backoff_end <= self._assigner.latest_start(job, service):
            return backoff_end
        schedule = self._retry_schedules.setdefault(service, RetrySchedule())
        seconds = schedule.retry_seconds(
            now, backoff_end - now, BACKOFF_RETRY_SPACING_SECONDS, job.deadline - now
        )
        raise unserved_error(job, "no engine leaves backoff in time", seconds)

    def _record_failed_attempt(
        self, job: Job, assignment: Assignment, outcome: AttemptOutcome
    ) -> None:
        placement = assignment.placement
        info = placement.worker.info
        self._metrics.attempts[outcome.value] += 1
        self._log.log(
            LogEvent.ATTEMPT_FAILED,
            attempt=job.request.metadata.request_id,
            engine=info.worker_id,
            incarnation=info.id,
            software_version=info.software_version,
            weights_version=placement.weights_version,
            granted=assignment.granted,
            tunnel=job.via or None,
            registry_age=round(self._registry.age(), 3),
            proven_not_run=outcome in _PROVEN_NOT_RUN,
            sent=job.attempts_sent,
            sent_after=round(max(0.0, job.last_sent_at - job.request.arrived), 3),
            time_left=round(job.deadline - self._clock(), 3),
            trial=job.on_trial,
            content=job.fingerprint if outcome is AttemptOutcome.LOST else None,
            parts=job.shared_part_ids if outcome is AttemptOutcome.LOST else None,
            reason=job.failure_reason,
        )
        if outcome is AttemptOutcome.WITHHELD:
            return
        job.excluded.add(info.id)
        if outcome is AttemptOutcome.LOST and assignment.may_have_crashed:
            self._crash_guard.record_lost_response(job, info)

    def _finish_unserved(self, job: Job, caller: CallerConnection) -> None:
        failed = job.failed_response
        if (
            failed is not None
            and not caller.response_started
            and not denies_other_attempts(failed, job)
        ):
            write_buffered_response(failed, caller)
            job.failure_forwarded = True
            return
        raise unserved_error(job, "no further attempt is allowed")

    async def _attempt(
        self, job: Job, assignment: Assignment, caller: CallerConnection
    ) -> AttemptOutcome:
        worker = assignment.placement.worker.info
        job.worker_id = worker.worker_id
        job.software_version = worker.software_version
        job.weights_version = assignment.placement.weights_version
        try:
            connection = await self._pool.acquire(worker, job.request.metadata.request_id or "")
        except PathMissing as error:
            job.failure_reason = str(error)
            assignment.record_unused()
            return AttemptOutcome.NOT_SENT
        except PeerUnreachable as error:
            job.failure_reason = str(error)
            assignment.record_unreachable()
            return AttemptOutcome.NOT_SENT
        except asyncio.CancelledError:
            # The caller disconnected or the deadline passed while the connection was opened.
            assignment.record_unused()
            raise
        job.via = connection.via
        if not await self._leads_to_required_process(job, assignment, connection):
            connection.close()
            assignment.record_unused()
            job.failure_reason = "the engine may have restarted"
            return AttemptOutcome.WITHHELD
        job.software_version = describe_version(job.begun_version)
        may_begin = self._registry.may_begin(worker.id, assignment.placement.rate_limit_charged)
        if not may_begin or not self._streams.may_begin_at(job, worker):
            # The worker's state may have changed while the connection was opened. Nothing is
            # awaited between this check and the write of the request.
            connection.close()
            assignment.record_unused()
            job.failure_reason = (
                "the engine is leaving, in backoff, rate limited or of another software version"
            )
            return AttemptOutcome.WITHHELD
        try:
            if not self._crash_guard.may_send(job):
                connection.close()
                assignment.record_unused()
                job.failure_reason = "engines crashed while running such requests"
                return AttemptOutcome.WITHHELD
            self._retries.spend(job, worker.service)
        except WheelslipError as error:
            connection.close()
            assignment.record_unused()
            raise truthful_error(job, error) from error
        return await self._run_attempt(job, assignment, connection, caller)

    async def _leads_to_required_process(
        self, job: Job, assignment: Assignment, connection: HttpConnection
    ) -> bool:
        try:
            worker = assignment.placement.worker.info
            return await self._streams.verify_process(job, worker, connection)
        except asyncio.CancelledError:
            connection.close()
            assignment.record_unused()
            raise

    async def _run_attempt(
        self, job: Job, assignment: Assignment, connection: HttpConnection, caller: CallerConnection
    ) -> AttemptOutcome:
        attempt = Attempt(self._services, job, assignment, connection, caller)
        try:
            attempt.reserve_memory()
        except WheelslipError:
            connection.close()
            assignment.record_unused()
            raise
        info = assignment.placement.worker.info
        incarnation = info.id
        job.last_incarnation = (
            incarnation_of(info.worker_id, connection.born)
            if connection.born
            else self._registry.workers[incarnation].process
        )
        job.last_sent_at = self._clock()
        job.attempt_began_answer_at = 0.0
        self._metrics.record_send(info.service, job.attempts_sent > 0)
        notices = self._registry.notices
        recovery_slot, outcome = notices.begin(incarnation), None
        assignment.begin()
        try:
            outcome = await attempt.run()
            return outcome
        finally:
            attempt.finish()
            assignment.end(attempt.had_first_token)
            notices.end_request(recovery_slot, outcome in _SERVED)
