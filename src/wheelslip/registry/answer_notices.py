"""Processing and logging of the notices that workers send in the headers of their responses."""

import enum
from collections.abc import Callable

from wheelslip.deployment import Incarnation, ResponseMetadata, WorkerInfo, worker_id_of
from wheelslip.events import LogEvent, log_event
from wheelslip.routing.brittle_services import BrittleServices
from wheelslip.routing.limits.named_limits import LimitReport, WorkerRateLimits
from wheelslip.routing.worker_notices import RecoverySlot, WorkerNotices

SERVICE_UNAVAILABLE = 503
"""``Retry-After`` requests a backoff only with this status; with others it is for the caller."""


UNSERVED_STATUSES = frozenset({421, 429, 503})
"""Responses with these statuses may come from a component of the worker that does not announce its
limit, so they do not lift one."""

MAX_UNREADABLE_LIMITS = 4096
"""Maximum number of incarnations recorded for a logged unreadable limit; the oldest are evicted."""


BRITTLE_BACKOFF_SECONDS = 1.0
"""Backoff from a brittle worker that has rejected a request; its rejections in a second count."""


class ResponseSource(enum.Enum):
    """The call by which a node received a notice."""

    REQUEST = "request"
    REPORT = "report"
    ORDER = "order"
    PEER = "peer"


class ResponseNotices(WorkerNotices):
    """Notices that this node received from workers; changes are logged.

    :param announce: called when the choice of workers may change.
    :ivar limits: rate limits announced by workers.
    :ivar report_limit: called with each limit report for other nodes.
    :ivar brittle: services whose workers say that rejections make them crash.
    :ivar leaving_notices: number of incarnations that announced to leave since this node started.
    :ivar backoffs_begun: number of backoffs that workers requested since then.
    """

    def __init__(self, clock: Callable[[], float], announce: Callable[[], None]):
        super().__init__(clock)
        self._announce = announce
        self._unreadable_limits: dict[Incarnation, None] = {}
        self.limits = WorkerRateLimits(clock)
        self.report_limit: Callable[[LimitReport], None] = lambda report: None
        self.brittle = BrittleServices(clock)
        self.leaving_notices = 0
        self.backoffs_begun = 0

    def gauges(self) -> dict[str, Callable[[], float]]:
        """Return the gauges by name."""
        return {
            "engines_said_leaving": lambda: float(self.leaving_notices),
            "engine_rests_begun": lambda: float(self.backoffs_begun),
            "engines_resting": lambda: float(self.backing_off_count),
            "engines_limited": lambda: float(self.limits.count()),
        }

    def record_response(
        self,
        info: WorkerInfo,
        status: int,
        answer: ResponseMetadata,
        source: ResponseSource,
        sent_at: float = float("-inf"),
    ) -> None:
        """Record the notices in the headers of a response.

        :param sent_at: when its request was sent; negative infinity if unknown.
        """
        self._record_limit(info, status, answer, source, sent_at)
        if answer.leaving and self.record_leaving(info.id):
            self.leaving_notices += 1
            _log(LogEvent.ENGINE_SAID_LEAVING, info, source=source.value)
            self._announce()
        if answer.max_rejections is not None and self.brittle.record(info.service):
            _log(LogEvent.ENGINE_BRITTLE, info, workload=info.service, rate=answer.max_rejections)
        retry_seconds = answer.retry_seconds
        if answer.max_rejections is not None:
            retry_seconds = max(BRITTLE_BACKOFF_SECONDS, retry_seconds or 0.0)
        if status != SERVICE_UNAVAILABLE or retry_seconds is None:
            return
        if self.record_backoff(info.id, retry_seconds):
            self.backoffs_begun += 1
            seconds = round(min(retry_seconds, 1e6), 3)
            _log(LogEvent.ENGINE_REST_BEGAN, info, source=source.value, seconds=seconds)

    def _record_limit(
        self,
        info: WorkerInfo,
        status: int,
        answer: ResponseMetadata,
        source: ResponseSource,
        sent_at: float,
    ) -> None:
        before = self.limits.rate(info.id)
        report = None
        if answer.unreadable_limit:
            self._log_unreadable(info, answer.unreadable_limit)
        elif answer.rate_limit is not None:
            report = self.limits.record_limit(info.id, answer.rate_limit)
        elif source is ResponseSource.REQUEST and status not in UNSERVED_STATUSES:
            report = self.limits.record_no_limit(info.id, sent_at)
        if report is not None:
            self.report_limit(report)
        if self.limits.rate(info.id) != before:
            self._limit_changed(info.id, source, 0.0)

    def _limit_changed(
        self, incarnation: Incarnation, source: ResponseSource, age: float, **fields: object
    ) -> None:
        """Log the current limit of a worker and announce the change."""
        rate = self.limits.rate(incarnation)
        event = LogEvent.ENGINE_LIMIT_ENDED
        if rate is not None:
            event = LogEvent.ENGINE_LIMIT_NAMED
            fields["rate"] = rate
        fields |= {"engine": worker_id_of(incarnation), "incarnation": incarnation}
        log_event(event, source=source.value, age=age, **fields)
        self._announce()

    def apply_report(self, report: LimitReport, peer: str, counts_responses: bool) -> bool:
        """Apply the limit report of another node.

        :param counts_responses: whether this node counts responses without a limit for all nodes.
        :return: whether the report changed the limit.
        """
        apply = self.limits.count_report if counts_responses else self.limits.merge
        if not apply(report):
            return False
        self._limit_changed(report.incarnation, ResponseSource.PEER, report.age, reported_by=peer)
        return True

    def _log_unreadable(self, info: WorkerInfo, value: str) -> None:
        """Log an unreadable limit, once for each incarnation."""
        if info.id in self._unreadable_limits:
            return
        self._unreadable_limits[info.id] = None
        if len(self._unreadable_limits) > MAX_UNREADABLE_LIMITS:
            del self._unreadable_limits[next(iter(self._unreadable_limits))]
        _log(LogEvent.ENGINE_LIMIT_UNREADABLE, info, value=value)

    def end_request(self, recovery_slot: RecoverySlot | None, was_served: bool) -> None:
        """Release the recovery slot of an ended request and announce it.

        :param recovery_slot: slot that the request acquired after a backoff, if any.
        :param was_served: whether the worker executed the request.
        """
        if self.end(recovery_slot, was_served):
            self._announce()

    def expire_backoffs(self) -> None:
        """Remove expired backoffs, and log and announce those that have just ended."""
        ended = self.expire()
        for incarnation, seconds in ended:
            log_event(
                LogEvent.ENGINE_REST_ENDED,
                engine=worker_id_of(incarnation),
                incarnation=incarnation,
                seconds=round(seconds, 3),
            )
        if ended:
            self._announce()


def _log(event: LogEvent, info: WorkerInfo, **fields: object) -> None:
    log_event(event, engine=info.worker_id, incarnation=info.id, **fields)
