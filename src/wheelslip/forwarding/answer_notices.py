"""Hears what engines say of themselves in their answers, and logs each change of belief."""

import enum
from collections.abc import Callable

from wheelslip.deployment import AnswerMetadata, WorkerInfo, worker_id_of
from wheelslip.events import LogEvent, log_event
from wheelslip.routing.worker_notices import RestTurn, WorkerNotices

TURNED_AWAY = 503
"""Only an answer with this status asks for rest; elsewhere the same header is a caller's affair."""


class AnswerSource(enum.Enum):
    """What an engine answered."""

    REQUEST = "request"
    REPORT = "report"
    ORDER = "order"


class AnswerNotices(WorkerNotices):
    """What this node has heard from engines, told in its log.

    :param announce: called when choices may change.
    :ivar said_leaving: engines that said so since the start of this node.
    :ivar rests_begun: rests that engines asked for since then.
    """

    def __init__(self, clock: Callable[[], float], announce: Callable[[], None]):
        super().__init__(clock)
        self._announce = announce
        self.said_leaving = 0
        self.rests_begun = 0

    def heard(
        self, info: WorkerInfo, status: int, answer: AnswerMetadata, source: AnswerSource
    ) -> None:
        """Take the head of an answer."""
        if answer.leaving and self.note_leaving(info.id):
            self.said_leaving += 1
            _log(LogEvent.ENGINE_SAID_LEAVING, info, source=source.value)
            self._announce()
        if status != TURNED_AWAY or answer.retry_seconds is None:
            return
        if self.note_rest(info.id, answer.retry_seconds):
            self.rests_begun += 1
            seconds = round(min(answer.retry_seconds, 1e6), 3)
            _log(LogEvent.ENGINE_REST_BEGAN, info, source=source.value, seconds=seconds)

    def ended(self, turn: RestTurn | None, was_served: bool) -> None:
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
