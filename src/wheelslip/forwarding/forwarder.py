"""The life of one forwarded request: route, key, worker, attempts, answer.

What was sent and lost is sent again only where its route allows repeats, the retry budget
has room and the deadline leaves time; what is answered as not run was proven not run at
every worker it reached.
"""

import asyncio
import contextlib
from collections.abc import Callable

from wheelslip.deployment import SplitPart
from wheelslip.errors import ErrorKind, WheelslipError
from wheelslip.events import LogBudget, LogEvent, log_event
from wheelslip.forwarding.admission import UNKNOWN_AGE_SECONDS, Admission
from wheelslip.forwarding.answers import error_answer
from wheelslip.forwarding.assignment import Assignment, WorkerAssigner
from wheelslip.forwarding.attempt import (
    Attempt,
    AttemptOutcome,
    AttemptServices,
    pass_on_whole,
)
from wheelslip.forwarding.caller_connection import CallerConnection, ReceivedRequest
from wheelslip.forwarding.crash_guard import CrashGuard
from wheelslip.forwarding.http_client import HttpConnection, PeerUnreachable
from wheelslip.forwarding.interface import RequestDialect
from wheelslip.forwarding.job import Job
from wheelslip.forwarding.metrics import ForwardingMetrics
from wheelslip.forwarding.registry import Registry
from wheelslip.forwarding.settings import BoundsSection
from wheelslip.forwarding.worker_pool import WorkerPool
from wheelslip.routing.overload import Overloaded, Turns
from wheelslip.routing.retry_window import RetryWindow
from wheelslip.routing.split import WeightedRoundRobin
from wheelslip.routing.tenant_limits import NoAuthority, TenantLimited

WORKER_NEWS_SECONDS = 0.2
"""How long a request waits while its node knows no worker that may take it: changes of the store
and a new dispatcher reach all nodes within this."""

NO_WORKER_RETRY_SECONDS = 0.4
"""After how long its caller is to come back then: twice as long, since another node may know."""

ASK_AGAIN_SECONDS = 0.08
"""Pause before a worker is looked for again, when none could take a request."""

REST_TURN_SECONDS = 0.05
"""Callers that are refused while all workers rest come back so far apart: just after a rest a worker
gets one request at a time."""

LEAST_RETRY_SECONDS = 0.05

MAX_SENDS = 3
"""Most workers one request is sent to, those that proved not to run it included."""

ANSWER_GRACE_SECONDS = 0.1
"""A worker's own answer at the deadline is waited for this much longer."""


_PROVEN_NOT_RUN = frozenset(
    {AttemptOutcome.NOT_SENT, AttemptOutcome.WITHHELD, AttemptOutcome.NOT_RUN}
)

_SERVED = frozenset({AttemptOutcome.ANSWERED, AttemptOutcome.FAILED})
"""The worker ran the request and answered."""

REQUEST_LINES_PER_SECOND = 50.0
"""Log lines about single requests and their attempts that one node writes on average."""


class Forwarder:
    """Handles requests; one instance a node."""

    def __init__(
        self,
        dialect: RequestDialect,
        registry: Registry,
        assigner: WorkerAssigner,
        pool: WorkerPool,
        crash_guard: CrashGuard,
        bounds: Callable[[], BoundsSection],
        clock: Callable[[], float],
        metrics: ForwardingMetrics,
    ):
        self._crash_guard = crash_guard
        self._metrics = metrics
        self._log = LogBudget(REQUEST_LINES_PER_SECOND, clock)
        self._dialect = dialect
        self._registry = registry
        self._assigner = assigner
        self._pool = pool
        self._bounds = bounds
        self._clock = clock
        self._admission = Admission(dialect, registry, bounds)
        self._services = AttemptServices(dialect, registry, pool, metrics, clock)
        self._splits: dict[str, WeightedRoundRobin] = {}
        self._budgets: dict[str, RetryWindow] = {}
        self._rest_turns: dict[str, Turns] = {}

    async def handle(self, received: ReceivedRequest, caller: CallerConnection) -> None:
        """Answer one request, whatever happens."""
        request_id = self._request_id(received)
        try:
            job = self._admission.admit(received)
            async with asyncio.timeout(job.deadline + ANSWER_GRACE_SECONDS - self._clock()):
                await self._serve(job, caller)
            self._note_served(job)
        except TimeoutError:
            kind = ErrorKind.DEADLINE_PASSED if job.may_have_run else ErrorKind.NO_ENGINE
            self._give_up(WheelslipError(kind, "deadline reached"), request_id, caller)
        except WheelslipError as error:
            self._give_up(error, request_id, caller)
        except Exception as error:
            log_event(LogEvent.REQUEST_FAULT, request=request_id, reason=repr(error))
            fault = WheelslipError(ErrorKind.INTERNAL_ERROR, "a fault in wheelslip")
            self._give_up(fault, request_id, caller)

    def refuse(
        self, error: WheelslipError, received: ReceivedRequest, caller: CallerConnection
    ) -> None:
        """Answer a request that is not taken."""
        self._give_up(error, self._request_id(received), caller)

    def _request_id(self, received: ReceivedRequest) -> str | None:
        with contextlib.suppress(ValueError):
            return self._dialect.decode_request(received.headers).request_id or None
        return None

    def _give_up(
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
        if caller.answer_started:
            caller.abort()
            return
        status, headers, body = error_answer(error, request_id)
        headers += self._dialect.own_answer_headers(request_id)
        if self._registry.age() > UNKNOWN_AGE_SECONDS:
            # Another node may know more: the caller's next connection goes elsewhere.
            headers.append((b"Connection", b"close"))
        caller.start(status, headers)
        caller.data(body)
        caller.end()

    def _note_served(self, job: Job) -> None:
        seconds = self._clock() - job.request.arrived
        outcome = AttemptOutcome.FAILED if job.failure_passed_on else AttemptOutcome.ANSWERED
        self._metrics.request_ended(job.route.kind.value, outcome.value, seconds)
        if outcome is AttemptOutcome.ANSWERED:
            # A failed attempt was counted when it failed.
            self._metrics.attempts[outcome.value] += 1
        self._log.log(
            LogEvent.REQUEST_FINISHED,
            request=job.request.metadata.request_id,
            tenant=job.tenant.name if job.tenant else None,
            workload=job.route.name,
            outcome=outcome.value,
            attempts=job.sent,
            engine=job.worker_id,
            weights_version=job.weights_version,
            delivered=job.delivered,
            configuration=self._registry.configuration.version,
            first_event=round(max(0.0, job.first_event_at - job.request.arrived), 4),
            seconds=round(seconds, 4),
        )

    # Attempts

    async def _serve(self, job: Job, caller: CallerConnection) -> None:
        service = self._service(job)
        trial = await self._crash_guard.admit(job, service)
        if trial is None:
            await self._attempt_until_answered(job, service, caller)
            return
        job.on_trial = True
        try:
            await self._attempt_until_answered(job, service, caller)
        finally:
            self._crash_guard.end_trial(trial, job)

    async def _attempt_until_answered(
        self, job: Job, service: str, caller: CallerConnection
    ) -> None:
        budget = self._budget(service)
        budget.record_first_attempt(self._clock())
        while True:
            assignment = await self._assign(job, service)
            outcome = await self._attempt(job, assignment, caller)
            if outcome is AttemptOutcome.ANSWERED:
                self._crash_guard.ran_whole(job)
                return
            self._note_failed(job, assignment, outcome)
            if not self._may_go_on(job, outcome, budget):
                self._end_unserved(job, caller)
                return

    def _service(self, job: Job) -> str:
        parts = job.route.split
        if len(parts) == 1:
            return parts[0].service
        split = self._splits.setdefault(job.route.name, WeightedRoundRobin())
        weights = {part.service: part.weight for part in self._live_parts(parts)}
        return split.choose(weights) or parts[0].service

    def _live_parts(self, parts: tuple[SplitPart, ...]) -> list[SplitPart]:
        return [one for one in parts if self._registry.workers_of(one.service)] or list(parts)

    def _budget(self, service: str) -> RetryWindow:
        if service not in self._budgets:
            self._budgets[service] = RetryWindow(
                self._bounds().retry_ratio, self._bounds().retry_window_seconds
            )
        return self._budgets[service]

    async def _assign(self, job: Job, service: str) -> Assignment:
        """Return a worker for a request.

        :raises WheelslipError: when none can begin it in time, or its tenant is over its limit.
        """
        give_up_at = self._clock() + WORKER_NEWS_SECONDS
        while True:
            reason = "no worker may take the request"
            try:
                assignment = await self._assigner.assign(job, service)
            except TenantLimited as exc:
                kind = ErrorKind.TENANT_LIMIT_EXCEEDED
                raise WheelslipError(kind, str(exc), round(exc.retry_seconds, 3)) from exc
            except NoAuthority:
                assignment = None
                reason = "no node counts for the tenant's limit just now"
            except Overloaded as exc:
                raise self._unserved_error(job, str(exc), exc.retry_seconds) from exc
            if assignment is not None:
                return assignment
            returns_at = self._returns_at(job, service)
            if returns_at is not None:
                give_up_at = max(give_up_at, returns_at + ASK_AGAIN_SECONDS)
            remaining = give_up_at - self._clock()
            if remaining <= 0:
                raise self._unserved_error(job, reason)
            pause = max(ASK_AGAIN_SECONDS, (returns_at or 0.0) - self._clock())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(remaining, pause)):
                    await self._registry.changed()

    def _returns_at(self, job: Job, service: str) -> float | None:
        """Return when a worker that rests takes requests again; ``None`` if none rests.

        :raises WheelslipError: when none returns within its target. Another node may have a
            right to them now, so its caller is told at once, and each a later turn than the last.
        """
        rests_until = self._registry.rests_until(service)
        if rests_until is None:
            return None
        now = self._clock()
        returns_at = max(now, rests_until)
        if returns_at <= job.request.arrived + job.route.target_seconds:
            return returns_at
        turns = self._rest_turns.setdefault(service, Turns())
        seconds = turns.retry_seconds(now, returns_at - now, REST_TURN_SECONDS)
        raise self._unserved_error(job, "the engines left rest", max(seconds, LEAST_RETRY_SECONDS))

    def _unserved_error(
        self, job: Job, message: str, retry_seconds: float = NO_WORKER_RETRY_SECONDS
    ) -> WheelslipError:
        if job.may_have_run:
            return WheelslipError(ErrorKind.ENGINE_LOST, f"{message}; {job.reason}")
        return WheelslipError(ErrorKind.NO_ENGINE, message, round(retry_seconds, 3))

    def _note_failed(self, job: Job, assignment: Assignment, outcome: AttemptOutcome) -> None:
        placement = assignment.placement
        info = placement.worker.info
        self._metrics.attempts[outcome.value] += 1
        self._log.log(
            LogEvent.ATTEMPT_FAILED,
            attempt=job.request.metadata.request_id,
            engine=info.worker_id,
            incarnation=info.id,
            weights_version=placement.weights_version,
            granted=assignment.granted,
            registry_age=round(self._registry.age(), 3),
            proven_not_run=outcome in _PROVEN_NOT_RUN,
            content=job.fingerprint if outcome is AttemptOutcome.LOST else None,
            reason=job.reason,
        )
        if outcome is AttemptOutcome.WITHHELD:
            return
        job.excluded.add(info.id)
        if outcome is AttemptOutcome.LOST and not assignment.silent:
            self._crash_guard.lost(job, info)

    def _may_go_on(self, job: Job, outcome: AttemptOutcome, budget: RetryWindow) -> bool:
        if self._clock() >= job.deadline:
            return False
        if outcome is AttemptOutcome.WITHHELD:
            return True
        if outcome is AttemptOutcome.NOT_SENT:
            return len(job.excluded) < MAX_SENDS
        if outcome in (AttemptOutcome.LOST, AttemptOutcome.FAILED):
            if job.on_trial:
                return False
            if not job.route.repeatable or job.may_have_run >= job.route.max_attempts:
                return False
        elif job.sent >= MAX_SENDS:
            return False
        return budget.take_retry(self._clock())

    def _end_unserved(self, job: Job, caller: CallerConnection) -> None:
        if job.failure is not None and not caller.answer_started:
            pass_on_whole(job.failure, caller)
            job.failure_passed_on = True
            return
        raise self._unserved_error(job, "no further attempt is allowed")

    # One attempt

    async def _attempt(
        self, job: Job, assignment: Assignment, caller: CallerConnection
    ) -> AttemptOutcome:
        worker = assignment.placement.worker.info
        job.worker_id = worker.worker_id
        job.weights_version = assignment.placement.weights_version
        try:
            connection = await self._pool.acquire(worker)
        except PeerUnreachable as error:
            job.reason = str(error)
            assignment.unreached()
            return AttemptOutcome.NOT_SENT
        except asyncio.CancelledError:
            # The caller has left, or its time is up, while the connection was being opened.
            assignment.unused()
            raise
        if not self._registry.may_begin(worker.id, assignment.placement.is_counted):
            # It has said so since it was chosen: opening a connection may take a third of the
            # drain time. Nothing is awaited from here until the request is written.
            connection.close()
            assignment.unused()
            job.reason = "the engine leaves, rests or has named a limit"
            return AttemptOutcome.WITHHELD
        return await self._send(job, assignment, connection, caller)

    async def _send(
        self, job: Job, assignment: Assignment, connection: HttpConnection, caller: CallerConnection
    ) -> AttemptOutcome:
        start = job.last_start = assignment.placement.worker.info.id
        job.last_sent_at = self._clock()
        notices = self._registry.notices
        turn, outcome = notices.begin(start), None
        assignment.begin()
        attempt = Attempt(self._services, job, assignment, connection, caller)
        try:
            outcome = await attempt.run()
            return outcome
        finally:
            attempt.finish()
            assignment.end(attempt.had_first_token)
            notices.ended(turn, outcome in _SERVED)
