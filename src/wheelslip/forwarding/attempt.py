"""One attempt of a forwarded request at one worker: send it, read the response, relay it."""

import asyncio
import enum
from collections.abc import Callable
from dataclasses import dataclass

import h11

from wheelslip.connections.http_client import HttpConnection, PeerEndless, PeerLost
from wheelslip.connections.incomplete_data import IncompleteData
from wheelslip.connections.worker_pool import WorkerPool
from wheelslip.deployment import (
    Dispatch,
    ResponseMetadata,
    RouteKind,
)
from wheelslip.errors import ErrorKind, WheelslipError
from wheelslip.forwarding.assignment import Assignment
from wheelslip.forwarding.caller_connection import CallerConnection
from wheelslip.forwarding.event_stream import EventSplitter, StreamEvent
from wheelslip.forwarding.metrics import ForwardingMetrics
from wheelslip.forwarding.stream_continuation import StreamContinuation
from wheelslip.job import BufferedResponse, Job
from wheelslip.memory.response_room import SMALL_BYTES
from wheelslip.registry.answer_notices import ResponseSource
from wheelslip.registry.interface import RequestDialect
from wheelslip.registry.registry import Registry

START_DEADLINE_MARGIN_SECONDS = 0.2
"""A request without a first token is cancelled this long before the start deadline of its weights
version."""

START_DEADLINE_CHECK_SECONDS = 1.0
"""Maximum interval between two checks of the start deadline."""

MAX_BUFFERED_BYTES = 4 * 1024 * 1024
"""Maximum size of the body of a buffered response; the attempt fails if it is exceeded."""

MAX_FOREIGN_RESPONSES = 4
"""Maximum number of responses to other requests that are skipped before the right one."""

REJECTION_BODY_SECONDS = 0.2
"""Longest time for which the body of a rejection is read, which keeps the connection usable."""

MAX_COMMENTS = 16
"""Maximum number of blocks of comments between two events of a stream."""

LOWEST_PRIORITY = 9
"""Highest priority number accepted by workers; 0 is the most urgent."""

_BODYLESS_METHODS = frozenset({"GET", "HEAD", "DELETE"})
"""Methods that are sent without ``Content-Length`` if the request has no body."""


class AttemptOutcome(enum.Enum):
    """Outcome of one attempt at one worker.

    ``ANSWERED``: the response was forwarded. ``WITHHELD``: not sent, as the worker does not accept
    requests now. ``NOT_SENT``: no connection could be opened. ``NOT_RUN``: the worker rejected the
    request before execution. ``LOST``: the response was lost or invalid. ``FAILED``: the worker
    returned a server error.
    """

    ANSWERED = "answered"
    WITHHELD = "withheld"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    LOST = "lost"
    FAILED = "failed"


@dataclass(frozen=True)
class AttemptServices:
    """Services of the node that attempts use."""

    dialect: RequestDialect
    registry: Registry
    pool: WorkerPool
    streams: StreamContinuation
    metrics: ForwardingMetrics
    clock: Callable[[], float]


def write_buffered_response(buffered: BufferedResponse, caller: CallerConnection) -> None:
    """Write a buffered response of a worker to the caller."""
    headers = end_to_end_headers(buffered.response)
    caller.memory.set_buffered(0)
    if buffered.response.status_code not in (204, 304):
        headers.append((b"Content-Length", b"%d" % len(buffered.body)))
    caller.write_head(buffered.response.status_code, headers)
    if buffered.body:
        caller.write_body(buffered.body)
    caller.write_end()


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
    """Return the headers of a response without the hop-by-hop headers."""
    return [
        (raw, value)
        for raw, value in response.headers.raw_items()
        if raw.lower() not in _HOP_BY_HOP
    ]


class Attempt:
    """One attempt of a request at one worker.

    :ivar had_first_token: part of a streamed response has been forwarded.
    :ivar released: the connection was returned to the pool.
    """

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
        self._incomplete = IncompleteData()
        self._comments = 0
        self._held_comments = b""
        self._sent_at = services.clock()
        self._deadline_timer: asyncio.TimerHandle | None = None
        self.released = False

    def finish(self) -> None:
        """Stop the deadline timer, and close the connection unless it was returned to the pool."""
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        self._connection.leave_memory()
        self._caller.memory.reduce_buffered(self._kept_bytes())
        if not self.released:
            self._connection.close()

    def _check_start_deadline(self) -> None:
        """Cancel a request without a first token at the start deadline of its weights version.

        The deadline is read again periodically, as it changes when newer weights are announced.
        """
        if self._placement.weights_version is None or self.had_first_token:
            return
        deadline = self._services.registry.start_deadline(
            self._job.request.metadata.model, self._placement.weights_version
        )
        remaining = deadline - START_DEADLINE_MARGIN_SECONDS - self._services.clock()
        if remaining <= 0:
            self._connection.close()
            return
        self._deadline_timer = asyncio.get_running_loop().call_later(
            min(remaining, START_DEADLINE_CHECK_SECONDS), self._check_start_deadline
        )

    async def run(self) -> AttemptOutcome:
        """Send the request and relay the response; :meth:`reserve_memory` must be called before."""
        job = self._job
        job.attempts_sent += 1
        job.may_have_run += 1
        self._check_start_deadline()
        try:
            self._send()
            response, metadata = await self._read_head()
            self._record_worker_state(response.status_code, metadata)
            if metadata.not_executed or response.status_code == 421:
                return await self._finish_not_run(response, metadata)
            is_stream = job.route.kind is RouteKind.STREAM
            if is_stream and 200 <= response.status_code < 300:
                return await self._relay_stream(response, metadata)
            return await self._relay_buffered(response, metadata)
        except PeerLost as error:
            job.failure_reason = str(error)
            self._record_lost(error)
            return AttemptOutcome.LOST

    def _record_lost(self, error: PeerLost) -> None:
        info = self._placement.worker.info
        if self._services.pool.record_lost(info, self._connection, error):
            self._assignment.record_path_lost()
            return
        self._record_outcome(failed=True)
        if error.silent or error.endless:
            self._assignment.record_unusable()

    def reserve_memory(self) -> None:
        """Register the attempt at the memory account of the node.

        The transport copies what the worker does not take at once, so all of the body is counted
        again until the request was written.

        :raises WheelslipError: if the body does not fit. The caller gets 503 only if no earlier
            attempt may have run.
        """
        job, memory = self._job, self._caller.memory
        route = job.route
        is_stream = route.kind is RouteKind.STREAM
        memory.describe_request(job.request.metadata.request_id, is_stream, route.resumable)
        if not memory.add_unsent(len(job.request.body)):
            memory.count_rejection()
            kind = ErrorKind.ENGINE_LOST if job.may_have_run else ErrorKind.MEMORY_FULL
            raise WheelslipError(kind, "no memory to send the request body")
        self._connection.use_memory(memory)

    def _send(self) -> None:
        request = self._job.request
        headers = self._services.dialect.worker_headers(request, self._dispatch())
        if request.body or request.method not in _BODYLESS_METHODS:
            headers.append((b"Content-Length", b"%d" % len(request.body)))
        self._connection.send(request.method, request.target, headers, request.body)

    def _dispatch(self) -> Dispatch:
        job, placement = self._job, self._placement
        return Dispatch(
            worker=placement.worker.info,
            remaining_seconds=max(0.001, job.deadline - self._services.clock()),
            priority=max(0, min(LOWEST_PRIORITY, job.priority)) if placement.chain else None,
            tenant=job.tenant.name if job.tenant else None,
            weights_version=placement.weights_version,
            cache=placement.cache,
            last_event_id=job.last_delivered_id,
        )

    async def _read_head(self) -> tuple[h11.Response, ResponseMetadata]:
        """Read the response head, skipping responses to other requests.

        :raises PeerLost: if the connection ends first.
        """
        for _ in range(MAX_FOREIGN_RESPONSES + 1):
            response = await self._connection.next_event()
            metadata = self._services.dialect.decode_response(response.headers)
            if metadata.request_id in (None, self._job.request.metadata.request_id):
                return response, metadata
            await self._connection.skip_foreign_response()
        raise PeerEndless("only responses to other requests")

    def _record_worker_state(self, status: int, metadata: ResponseMetadata) -> None:
        """Record the worker state reported in the response headers."""
        registry, info = self._services.registry, self._placement.worker.info
        model = self._job.request.metadata.model
        if metadata.instance is not None and metadata.instance != info.worker_id:
            # Another process listens at the address; its headers do not describe this worker.
            registry.mark_replaced(info.id)
            return
        registry.notices.record_response(
            info, status, metadata, ResponseSource.REQUEST, self._sent_at
        )
        if metadata.weights_version is not None and model:
            registry.record_weights(info.id, model, metadata.weights_version)

    def _record_outcome(self, failed: bool) -> None:
        self._assignment.record_outcome(failed)

    def _record_first_token(self) -> None:
        now = self._services.clock()
        self._job.first_event_at = self._job.first_event_at or now
        self._job.attempt_began_answer_at = now
        self._services.metrics.first_byte.observe(now - self._job.request.arrived)
        self._assignment.record_first_token()

    async def _finish_not_run(
        self, response: h11.Response, metadata: ResponseMetadata
    ) -> AttemptOutcome:
        # The head is sufficient proof; the body is read only to make the connection reusable.
        self._job.may_have_run -= 1
        self._assignment.record_not_run(failed=response.status_code != 421)
        self._job.failure_reason = f"status {response.status_code}, not executed"
        try:
            async with asyncio.timeout(REJECTION_BODY_SECONDS):
                await self._read_body()
        except (PeerLost, TimeoutError):
            return AttemptOutcome.NOT_RUN
        self._release_connection(metadata)
        return AttemptOutcome.NOT_RUN

    def _kept_bytes(self) -> int:
        """Return the size of the failed response of an earlier attempt, which is kept."""
        failed = self._job.failed_response
        return len(failed.body) if failed is not None else 0

    async def _read_body(self) -> bytes:
        body = bytearray()
        memory = self._caller.memory
        memory.set_buffered(self._kept_bytes())
        limit = memory.response_limit(MAX_BUFFERED_BYTES)
        while True:
            event = await self._connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            memory.buffer(len(event.data))
            body += event.data
            # Not kept while the next event is awaited: it is not counted.
            del event
            if len(body) > limit:
                raise PeerLost("response larger than the buffer limit")

    def _release_connection(self, metadata: ResponseMetadata) -> None:
        self.released = True
        self._services.pool.release(self._placement.worker.info, self._connection, metadata)

    async def _relay_buffered(
        self, response: h11.Response, metadata: ResponseMetadata
    ) -> AttemptOutcome:
        memory = self._caller.memory
        length = min(_content_length(response), memory.response_limit(MAX_BUFFERED_BYTES))
        if length > SMALL_BYTES:
            self._connection.pause()
        async with memory.response_room(length):
            return await self._buffer_and_relay(response, metadata)

    async def _buffer_and_relay(
        self, response: h11.Response, metadata: ResponseMetadata
    ) -> AttemptOutcome:
        body = await self._read_body()
        self._release_connection(metadata)
        buffered = BufferedResponse(response, body)
        succeeded = 200 <= response.status_code < 300
        if succeeded and not metadata.signed:
            raise PeerLost("success without a signature")
        failed = response.status_code >= 500
        self._record_outcome(failed=failed)
        if failed:
            self._job.failed_response = buffered
            self._job.failure_reason = f"status {response.status_code}"
            return AttemptOutcome.FAILED
        if self._caller.response_started:
            raise PeerLost(f"status {response.status_code} to a resumed stream")
        write_buffered_response(buffered, self._caller)
        return AttemptOutcome.ANSWERED

    async def _relay_stream(
        self, response: h11.Response, metadata: ResponseMetadata
    ) -> AttemptOutcome:
        if not metadata.signed:
            raise PeerLost("success without a signature")
        splitter = EventSplitter()
        while True:
            event = await self._connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            await self._process_stream_data(response, splitter, bytes(event.data))
            # Not kept while the next event is awaited: it is not counted.
            del event
        if splitter.incomplete:
            raise PeerLost("stream ended inside an event")
        has_events = self.had_first_token or self._job.last_delivered_id is not None
        if not has_events and _ends_with_connection(response):
            raise PeerLost("connection ended before the first event")
        self._release_connection(metadata)
        self._record_outcome(failed=False)
        self._start_stream(response)
        if self._held_comments:
            self._caller.write_body(self._held_comments)
        self._caller.write_end()
        return AttemptOutcome.ANSWERED

    async def _process_stream_data(
        self, response: h11.Response, splitter: EventSplitter, data: bytes
    ) -> None:
        events = splitter.feed(data)
        self._caller.memory.process(len(data))
        held = splitter.buffered_bytes + len(self._held_comments)
        self._caller.memory.set_buffered(self._kept_bytes() + held)
        self._require_progress(events, len(data))
        await self._forward_events(response, events)

    def _require_progress(self, events: list[StreamEvent], received: int) -> None:
        """Check that a stream brings events, and not other data without end.

        :raises PeerEndless: if it does not.
        """
        comments = sum(event.is_comment for event in events)
        if len(events) > comments:
            self._comments = 0
            self._incomplete.clear()
            return
        self._comments += comments
        if comments:
            # Comments keep an idle connection open, so they may come for a long time.
            self._incomplete.clear()
        if self._comments > MAX_COMMENTS or self._incomplete.add(received, self._services.clock()):
            raise PeerEndless("the stream sends data without events")

    def _start_stream(self, response: h11.Response) -> None:
        if not self._caller.response_started:
            headers = [*end_to_end_headers(response), (b"Transfer-Encoding", b"chunked")]
            self._caller.write_head(response.status_code, headers)

    async def _forward_events(self, response: h11.Response, events: list[StreamEvent]) -> None:
        last_id = self._job.last_delivered_id
        new_events = [
            event
            for event in events
            if event.id is None or event.id > (-1 if last_id is None else last_id)
        ]
        if not new_events:
            return
        if not self.had_first_token:
            if all(event.is_comment for event in new_events):
                self._held_comments += b"".join(event.raw for event in new_events)
                return
            await self._services.streams.record_first_event(self._job, self._placement.worker.info)
            self.had_first_token = True
            self._record_first_token()
        self._start_stream(response)
        self._caller.write_body(self._held_comments + b"".join(event.raw for event in new_events))
        self._held_comments = b""
        ids = [event.id for event in new_events if event.id is not None]
        if ids:
            self._job.last_delivered_id = ids[-1]


def _content_length(response: h11.Response) -> int:
    """Return the length of a response's body as its head names it, 0 if it names none."""
    return next((int(value) for name, value in response.headers if name == b"content-length"), 0)


def _ends_with_connection(response: h11.Response) -> bool:
    """Return whether a response has neither a length nor chunks that mark its end."""
    names = {name for name, _ in response.headers}
    return names.isdisjoint({b"content-length", b"transfer-encoding"})
