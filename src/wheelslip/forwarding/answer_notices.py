"""Hears what engines say of themselves in their answers, and logs each change of belief."""

import enum
from collections.abc import Callable

from wheelslip.deployment import Incarnation, ResponseMetadata, WorkerInfo, worker_id_of
from wheelslip.events import LogEvent, log_event
from wheelslip.routing.named_limits import LimitReport, WorkerRateLimits
from wheelslip.routing.worker_notices import RecoverySlot, WorkerNotices

TURNED_AWAY = 503
"""Only an answer with this status asks for rest; elsewhere the same header is a caller's affair."""


NOT_SERVED = frozenset({421, 429, 503})
"""Answers with these statuses may come from another part of an engine than served ones do, so they
do not show that a limit has ended."""

MAX_UNREADABLE = 4096
"""Starts of engines whose unreadable limits have been logged, the newest."""


class AnswerSource(enum.Enum):
    """How a node learned what an engine says."""

    REQUEST = "request"
    REPORT = "report"
    ORDER = "order"
    PEER = "peer"


class AnswerNotices(WorkerNotices):
    """What this node has heard from engines, told in its log.

    :param announce: called when choices may change.
    :ivar limits: rate limits that engines name.
    :ivar report_limit: called with what other nodes are to hear of a limit.
    :ivar said_leaving: engines that said so since the start of this node.
    :ivar rests_begun: rests that engines asked for since then.
    """

    def __init__(self, clock: Callable[[], float], announce: Callable[[], None]):
        super().__init__(clock)
        self._announce = announce
        self._unreadable: dict[Incarnation, None] = {}
        self.limits = WorkerRateLimits(clock)
        self.report_limit: Callable[[LimitReport], None] = lambda report: None
        self.said_leaving = 0
        self.rests_begun = 0

    def heard(
        self,
        info: WorkerInfo,
        status: int,
        answer: ResponseMetadata,
        source: AnswerSource,
        sent_at: float = float("-inf"),
    ) -> None:
        """Take the head of an answer.

        :param sent_at: when its request was sent, if that is known.
        """
        self._note_limit(info, status, answer, source, sent_at)
        if answer.leaving and self.record_leaving(info.id):
            self.said_leaving += 1
            _log(LogEvent.ENGINE_SAID_LEAVING, info, source=source.value)
            self._announce()
        if status != TURNED_AWAY or answer.retry_seconds is None:
            return
        if self.record_backoff(info.id, answer.retry_seconds):
            self.rests_begun += 1
            seconds = round(min(answer.retry_seconds, 1e6), 3)
            _log(LogEvent.ENGINE_REST_BEGAN, info, source=source.value, seconds=seconds)

    def _note_limit(
        self,
        info: WorkerInfo,
        status: int,
        answer: ResponseMetadata,
        source: AnswerSource,
        sent_at: float,
    ) -> None:
        before = self.limits.rate(info.id)
        report = None
        if answer.unreadable_limit:
            self._log_unreadable(info, answer.unreadable_limit)
        elif answer.rate_limit is not None:
            report = self.limits.record_limit(info.id, answer.rate_limit)
        elif source is AnswerSource.REQUEST and status not in NOT_SERVED:
            report = self.limits.record_no_limit(info.id, sent_at)
        if report is not None:
            self.report_limit(report)
        if self.limits.rate(info.id) != before:
            self._limit_changed(info.id, source, 0.0)

    def _limit_changed(
        self, start: Incarnation, source: AnswerSource, age: float, **fields: object
    ) -> None:
        """Log what is believed of a limit now, and let waiting requests look again."""
        rate = self.limits.rate(start)
        event = LogEvent.ENGINE_LIMIT_ENDED
        if rate is not None:
            event = LogEvent.ENGINE_LIMIT_NAMED
            fields["rate"] = rate
        fields |= {"engine": worker_id_of(start), "incarnation": start}
        log_event(event, source=source.value, age=age, **fields)
        self._announce()

    def take_report(self, report: LimitReport, peer: str, is_counted: bool) -> bool:
        """Take another node's report on a limit; return whether that is news.

        :param is_counted: answers without a limit are counted here, for all nodes.
        """
        take = self.limits.count_report if is_counted else self.limits.merge
        if not take(report):
            return False
        self._limit_changed(report.incarnation, AnswerSource.PEER, report.age, reported_by=peer)
        return True

    def _log_unreadable(self, info: WorkerInfo, value: str) -> None:
        if info.id in self._unreadable:
            return
        self._unreadable[info.id] = None
        if len(self._unreadable) > MAX_UNREADABLE:
            del self._unreadable[next(iter(self._unreadable))]
        _log(LogEvent.ENGINE_LIMIT_UNREADABLE, info, value=value)

    def ended(self, turn: RecoverySlot | None, was_served: bool) -> None:
        """A request has ended; those that wait for its turn after a rest look again."""
        if self.end(turn, was_served):
            self._announce()

    def tell_ended(self) -> None:
        """Log the rests that are over, and let waiting requests look again."""
        ended = self.expire()
        for start, seconds in ended:
            log_event(
                LogEvent.ENGINE_REST_ENDED,
                engine=worker_id_of(start),
                incarnation=start,
                seconds=round(seconds, 3),
            )
        if ended:
            self._announce()


def _log(event: LogEvent, info: WorkerInfo, **fields: object) -> None:
    log_event(event, engine=info.worker_id, incarnation=info.id, **fields)
