"""One forwarded request at one worker: sending, reading the answer, passing it on."""

import asyncio
import enum
from collections.abc import Callable
from dataclasses import dataclass

import h11

from wheelslip.deployment import (
    AnswerMetadata,
    Dispatch,
    RouteKind,
)
from wheelslip.forwarding.answer_notices import AnswerSource
from wheelslip.forwarding.assignment import Assignment
from wheelslip.forwarding.caller_connection import CallerConnection
from wheelslip.forwarding.event_stream import EventSplitter, StreamEvent
from wheelslip.forwarding.http_client import HttpConnection, PeerLost
from wheelslip.forwarding.interface import RequestDialect
from wheelslip.forwarding.job import Job, WholeAnswer
from wheelslip.forwarding.metrics import ForwardingMetrics
from wheelslip.forwarding.registry import Registry
from wheelslip.forwarding.worker_pool import WorkerPool

BEGIN_GUARD_SECONDS = 0.2
"""A request that has not begun is taken back this long before its weights become too old."""

BEGIN_CHECK_SECONDS = 1.0

MAX_WHOLE_BYTES = 4 * 1024 * 1024
"""Largest answer collected before it is passed on; larger ones end the request."""

LEAST_URGENT = 9
"""Greatest number of a priority; 0 is the most urgent."""

_WITHOUT_BODY = frozenset({"GET", "HEAD", "DELETE"})
"""Methods that are sent without a length when they have no body."""


class AttemptOutcome(enum.Enum):
    """How one attempt at one worker ended.

    ``WITHHELD`` means that nothing was sent, since the worker wants nothing now.
    """

    ANSWERED = "answered"
    WITHHELD = "withheld"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    LOST = "lost"
    FAILED = "failed"


@dataclass(frozen=True)
class AttemptServices:
    """What attempts use of their node."""

    dialect: RequestDialect
    registry: Registry
    pool: WorkerPool
    metrics: ForwardingMetrics
    clock: Callable[[], float]


def pass_on_whole(answer: WholeAnswer, caller: CallerConnection) -> None:
    """Write a worker's whole answer to the caller."""
    headers = end_to_end_headers(answer.response)
    if answer.response.status_code not in (204, 304):
        headers.append((b"Content-Length", b"%d" % len(answer.body)))
    caller.start(answer.response.status_code, headers)
    if answer.body:
        caller.data(answer.body)
    caller.end()


_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    }
)


def end_to_end_headers(response: h11.Response) -> list[tuple[bytes, bytes]]:
    """Return the headers of an answer that concern more than one connection."""
    return [
        (raw, value)
        for raw, value in response.headers.raw_items()
        if raw.lower() not in _HOP_BY_HOP
    ]


class Attempt:
    """One request at one worker, until its answer is passed on or the attempt has failed."""

    def __init__(
        self,
        services: AttemptServices,
        job: Job,
        assignment: Assignment,
        connection: HttpConnection,
        caller: CallerConnection,
    ):
        self._services = services
        self._job = job
        self._assignment = assignment
        self._placement = assignment.placement
        self._connection = connection
        self._caller = caller
        self.had_first_token = False
        self._sent_at = services.clock()
        self._guard: asyncio.TimerHandle | None = None
        self.released = False

    def finish(self) -> None:
        """End the attempt, however it went."""
        if self._guard is not None:
            self._guard.cancel()
        if not self.released:
            self._connection.close()

    def _watch_beginning(self) -> None:
        """Take a request back that has not begun when its weights become too old.

        Newer weights may be named while it waits, so the bound is looked up again and again.
        """
        if self._placement.weights_version is None or self.had_first_token:
            return
        until = self._services.registry.start_deadline(
            self._job.request.metadata.model, self._placement.weights_version
        )
        remaining = until - BEGIN_GUARD_SECONDS - self._services.clock()
        if remaining <= 0:
            self._connection.close()
            return
        self._guard = asyncio.get_running_loop().call_later(
            min(remaining, BEGIN_CHECK_SECONDS), self._watch_beginning
        )

    async def run(self) -> AttemptOutcome:
        """Send, read and pass on."""
        job = self._job
        job.sent += 1
        job.may_have_run += 1
        self._watch_beginning()
        try:
            self._send()
            response, answer = await self._read_head()
            self._note_answer(response.status_code, answer)
            if answer.not_executed or response.status_code == 421:
                return await self._not_run(response, answer)
            is_stream = job.route.kind is RouteKind.STREAM
            if is_stream and 200 <= response.status_code < 300:
                return await self._relay_stream(response, answer)
            return await self._relay_whole(response, answer)
        except PeerLost as error:
            job.reason = str(error)
            self._note_outcome(failed=True)
            if error.silent:
                self._assignment.note_silent()
            return AttemptOutcome.LOST

    def _send(self) -> None:
        request = self._job.request
        headers = self._services.dialect.worker_headers(request, self._dispatch())
        if request.body or request.method not in _WITHOUT_BODY:
            headers.append((b"Content-Length", b"%d" % len(request.body)))
        self._connection.send(request.method, request.target, headers, request.body)

    def _dispatch(self) -> Dispatch:
        job, placement = self._job, self._placement
        return Dispatch(
            worker=placement.worker.info,
            remaining_seconds=max(0.001, job.deadline - self._services.clock()),
            priority=max(0, min(LEAST_URGENT, job.priority)) if placement.chain else None,
            tenant=job.tenant.name if job.tenant else None,
            weights_version=placement.weights_version,
            cache=placement.cache,
            last_event_id=job.delivered,
        )

    async def _read_head(self) -> tuple[h11.Response, AnswerMetadata]:
        """Read the head of the answer to this request, passing over others'.

        :raises PeerLost: when none comes.
        """
        while True:
            response = await self._connection.next_event()
            answer = self._services.dialect.decode_answer(response.headers)
            if answer.request_id in (None, self._job.request.metadata.request_id):
                return response, answer
            while not isinstance(await self._connection.next_event(), h11.EndOfMessage):
                pass
            self._connection.skip_foreign_answer()

    def _note_answer(self, status: int, answer: AnswerMetadata) -> None:
        """Learn from an answer what the worker tells of itself."""
        registry, info = self._services.registry, self._placement.worker.info
        model = self._job.request.metadata.model
        if answer.instance is not None and answer.instance != info.worker_id:
            # Another process answers there; what it says of itself says nothing of the one meant.
            registry.mark_replaced(info.id)
            return
        registry.notices.heard(info, status, answer, AnswerSource.REQUEST, self._sent_at)
        if answer.weights_version is not None and model:
            registry.record_weights(info.id, model, answer.weights_version)

    def _note_outcome(self, failed: bool) -> None:
        self._assignment.note_outcome(failed)

    def _note_first_token(self) -> None:
        now = self._services.clock()
        self._job.first_event_at = self._job.first_event_at or now
        self._services.metrics.first_byte.observe(now - self._job.request.arrived)
        self._assignment.first_token()

    async def _not_run(self, response: h11.Response, answer: AnswerMetadata) -> AttemptOutcome:
        # Proven by the head alone; the rest only decides about the connection.
        self._job.may_have_run -= 1
        self._assignment.note_not_run(failed=response.status_code != 421)
        self._job.reason = f"status {response.status_code}, not executed"
        try:
            await self._read_rest()
        except PeerLost:
            return AttemptOutcome.NOT_RUN
        self._release(answer)
        return AttemptOutcome.NOT_RUN

    async def _read_rest(self) -> bytes:
        body = bytearray()
        while True:
            event = await self._connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            body += event.data
            if len(body) > MAX_WHOLE_BYTES:
                raise PeerLost("answer larger than a node collects")

    def _release(self, answer: AnswerMetadata) -> None:
        self.released = True
        self._services.pool.release(self._placement.worker.info, self._connection, answer)

    async def _relay_whole(self, response: h11.Response, answer: AnswerMetadata) -> AttemptOutcome:
        body = await self._read_rest()
        self._release(answer)
        whole = WholeAnswer(response, body)
        succeeded = 200 <= response.status_code < 300
        if succeeded and not answer.signed:
            raise PeerLost("success without a signature")
        failed = response.status_code >= 500
        self._note_outcome(failed=failed)
        if failed:
            self._job.failure = whole
            self._job.reason = f"status {response.status_code}"
            return AttemptOutcome.FAILED
        if self._caller.answer_started:
            raise PeerLost(f"status {response.status_code} to a resumed stream")
        pass_on_whole(whole, self._caller)
        return AttemptOutcome.ANSWERED

    async def _relay_stream(self, response: h11.Response, answer: AnswerMetadata) -> AttemptOutcome:
        if not answer.signed:
            raise PeerLost("success without a signature")
        splitter = EventSplitter()
        while True:
            event = await self._connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            self._pass_events(response, splitter.feed(bytes(event.data)))
            await self._caller.drained()
        if splitter.incomplete:
            raise PeerLost("stream ended inside an event")
        self._release(answer)
        self._note_outcome(failed=False)
        self._start_stream(response)
        self._caller.end()
        return AttemptOutcome.ANSWERED

    def _start_stream(self, response: h11.Response) -> None:
        if not self._caller.answer_started:
            headers = [*end_to_end_headers(response), (b"Transfer-Encoding", b"chunked")]
            self._caller.start(response.status_code, headers)

    def _pass_events(self, response: h11.Response, events: list[StreamEvent]) -> None:
        delivered = self._job.delivered
        fresh = [
            one
            for one in events
            if one.id is None or one.id > (-1 if delivered is None else delivered)
        ]
        if not fresh:
            return
        if not self.had_first_token:
            self.had_first_token = True
            self._note_first_token()
        self._start_stream(response)
        self._caller.data(b"".join(one.raw for one in fresh))
        ids = [one.id for one in fresh if one.id is not None]
        if ids:
            self._job.delivered = ids[-1]
