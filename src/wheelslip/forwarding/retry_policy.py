"""Decides whether a request whose attempt failed is sent once more.

A request whose response was lost is retried only if its route is repeatable, it is not suspected of
crashing workers, the retry budget allows it and its deadline has not passed.
"""

from collections.abc import Callable

from wheelslip.crashes.guard import CrashGuard
from wheelslip.errors import ErrorKind, WheelslipError
from wheelslip.forwarding.attempt import AttemptOutcome
from wheelslip.forwarding.metrics import ForwardingMetrics
from wheelslip.forwarding.unserved import NO_WORKER_RETRY_SECONDS
from wheelslip.forwarding_settings import BoundsSection
from wheelslip.job import Job
from wheelslip.routing.retry_window import RetryWindow

MAX_SENDS = 3
"""Maximum number of workers tried for one request, including those that rejected it or were
unreachable."""


class RetryPolicy:
    """Reserves and counts the retries of one node, with a budget for each service."""

    def __init__(
        self,
        crash_guard: CrashGuard,
        bounds: Callable[[], BoundsSection],
        metrics: ForwardingMetrics,
        clock: Callable[[], float],
    ):
        self._crash_guard = crash_guard
        self._bounds = bounds
        self._metrics = metrics
        self._clock = clock
        self._budgets: dict[str, RetryWindow] = {}

    def record_request(self, service: str) -> None:
        """Record a request, which raises the budget of its service."""
        self._budget(service).record_first_attempt(self._clock())

    def _budget(self, service: str) -> RetryWindow:
        if service not in self._budgets:
            self._budgets[service] = RetryWindow(service, self._bounds)
        return self._budgets[service]

    def may_retry(self, job: Job, outcome: AttemptOutcome, service: str) -> bool:
        """Return whether a request may be sent once more, and reserve the retry if it is one."""
        if self._clock() >= job.deadline:
            return False
        if outcome is AttemptOutcome.WITHHELD:
            return True
        if outcome is AttemptOutcome.NOT_SENT:
            return len(job.excluded) < MAX_SENDS
        if outcome in (AttemptOutcome.LOST, AttemptOutcome.FAILED):
            if not self._may_run_again(job):
                return False
        elif job.attempts_sent >= MAX_SENDS:
            return False
        job.retry = self._budget(service).reserve(self._clock())
        if job.retry is None:
            self._metrics.retries_denied[service] += 1
        return job.retry is not None

    def _may_run_again(self, job: Job) -> bool:
        if job.on_trial or self._crash_guard.is_suspected(job):
            return False
        return job.route.repeatable and job.may_have_run < job.route.max_attempts

    def spend(self, job: Job, service: str) -> None:
        """Count the reserved retry of a request, if any, just before the request is sent.

        :raises WheelslipError: if the retry budget does not allow it any more.
        """
        if job.retry is not None and not job.retry.send(self._clock()):
            self._metrics.retries_denied[service] += 1
            message = "the retry budget is used up"
            raise WheelslipError(ErrorKind.NO_ENGINE, message, NO_WORKER_RETRY_SECONDS)

    @staticmethod
    def release(job: Job) -> None:
        """End the reservation of a retry that is not sent."""
        if job.retry is not None:
            job.retry.release()
