"""Client for engines with an OpenAI-compatible API and resumable event streams.

When a request is sent, the exception type states whether it ran. After
:class:`EngineRefused` and :class:`EngineUnreachable` it did not; after
:class:`EngineStreamLost` it may have, which :meth:`EngineClient.tombstone` can resolve.
"""

import contextlib
import enum
import json
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
import urllib3

from wheelslip.documents import DocumentError, decode_document
from wheelslip.routing.model import EngineInfo, EngineState

_STREAM_PATH = "/v1/streams/"
_READ_CHUNK_BYTES = 65536
_CONTROL_TIMEOUT_SECONDS = 1.0
DONE_DATA = b"[DONE]"
PRECONDITION_FAILED = 412
GONE = 410
_COMMENT_PREFIX = b":"
NOT_FOUND = 404


class EngineError(Exception):
    """Base of the exceptions raised when a request to an engine fails."""


class EngineUnreachable(EngineError):
    """Raised when no connection could be established, so that nothing was sent.

    A failed or unreadable status response raises it too.
    """


class EngineRefused(EngineError):
    """Raised when the engine refuses a request before running it.

    :ivar status: HTTP status; 412 when the incarnation or the weights version differs.
    """

    def __init__(self, status: int, reason: str):
        super().__init__(f"status {status}: {reason}")
        self.status = status


class EngineStreamLost(EngineError):
    """Raised when a request was sent and no complete, valid response to it was received."""


class AttemptState(enum.StrEnum):
    """State of an attempt id that an engine returns for a tombstone request."""

    NEVER_SEEN = "never_seen"
    TOMBSTONED = "tombstoned"
    RUNNING = "running"
    FINISHED = "finished"
    ABORTED = "aborted"

    @property
    def proves_not_run(self) -> bool:
        """Whether the attempt did not run and the engine refuses it if it arrives later."""
        return self in (AttemptState.NEVER_SEEN, AttemptState.TOMBSTONED)


@dataclass(frozen=True)
class StreamEvent:
    """One server-sent event of an engine's stream."""

    event_id: int
    data: bytes


@dataclass(frozen=True)
class EngineLoad:
    """Numbers of running and waiting requests, read from the headers of a response."""

    running: int
    waiting: int


class EngineStatus(msgspec.Struct, frozen=True):
    """Response of an engine's status endpoint."""

    incarnation: str
    model: str
    weights_version: str
    state: str
    waiting: int = 0
    running: int = 0

    def engine_state(self) -> EngineState:
        """Return the state for routing; every state other than ``serving`` is leaving."""
        return EngineState.SERVING if self.state == "serving" else EngineState.LEAVING


class _TombstoneResponse(msgspec.Struct):
    state: AttemptState


class EngineStream:
    """An open event stream of one attempt.

    :ivar last_event_id: id of the last event yielded, from which the stream can be resumed.
    :ivar load: load of the engine when it opened the stream.
    """

    def __init__(self, response: urllib3.BaseHTTPResponse, last_event_id: int):
        self._response = response
        self.last_event_id = last_event_id
        self.load = EngineLoad(
            int(response.headers.get("X-Engine-Running", 0)),
            int(response.headers.get("X-Engine-Waiting", 0)),
        )

    def events(self) -> Iterator[StreamEvent]:
        """Yield the events in order, without gaps or duplicates, up to the done event.

        :raises EngineStreamLost: when the stream breaks, stalls or skips an event.
        """
        try:
            for event in self._parse():
                if event.event_id != self.last_event_id + 1:
                    raise EngineStreamLost(
                        f"event {event.event_id} after event {self.last_event_id}"
                    )
                self.last_event_id = event.event_id
                yield event
                if event.data == DONE_DATA:
                    self._drain()
                    return
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            raise EngineStreamLost(f"stream: {error}") from error
        finally:
            # Closes the connection unless the body was read completely and it was released.
            self.close()
        raise EngineStreamLost("stream ended before its done event")

    def close(self) -> None:
        """Close the connection, unless it was returned to the pool."""
        self._response.close()

    def _drain(self) -> None:
        """Return the connection to the pool if the body ends here."""
        if self._response.read1(_READ_CHUNK_BYTES) == b"":
            self._response.release_conn()

    def _parse(self) -> Iterator[StreamEvent]:
        buffer = b""
        while True:
            received = self._response.read1(_READ_CHUNK_BYTES)
            if not received:
                return
            *blocks, buffer = (buffer + received).split(b"\n\n")
            for block in blocks:
                if not block.startswith(_COMMENT_PREFIX):
                    yield _parse_event(block)


def _parse_event(block: bytes) -> StreamEvent:
    id_line, _, data_line = block.partition(b"\n")
    if not id_line.startswith(b"id: ") or not data_line.startswith(b"data: "):
        raise EngineStreamLost("event without an id line followed by a data line")
    return StreamEvent(int(id_line[4:]), data_line[6:])


class EngineClient:
    """Client for all engines; safe to use from several threads.

    :param connect_seconds: connect timeout.
    :param stall_seconds: read timeout of a stream.
    :param pool_size: maximum number of pooled connections per engine.
    :param source_host: local IP address that connections are made from.
    """

    def __init__(
        self, connect_seconds: float, stall_seconds: float, pool_size: int, source_host: str
    ):
        self._stream_timeout = urllib3.Timeout(connect=connect_seconds, read=stall_seconds)
        self._control_timeout = urllib3.Timeout(
            connect=connect_seconds, read=_CONTROL_TIMEOUT_SECONDS
        )
        self._pool = urllib3.PoolManager(
            num_pools=1024, maxsize=pool_size, retries=False, source_address=(source_host, 0)
        )

    def start(self, engine: EngineInfo, attempt_id: str, path: str, document: dict) -> EngineStream:
        """Send a request and return its event stream.

        The headers require the engine's incarnation and weights version to be unchanged.

        :raises EngineUnreachable: when the request was not sent.
        :raises EngineRefused: when the engine refuses to run it.
        :raises EngineStreamLost: when it was sent and there is no valid response.
        """
        headers = {
            "X-Request-Id": attempt_id,
            "X-Engine-Incarnation": engine.incarnation,
            "X-Weights-Version": engine.weights_version,
        }
        response = self._send("POST", engine, path, headers, json.dumps(document).encode())
        return self._open_stream(response, engine, attempt_id, 0)

    def resume(self, engine: EngineInfo, attempt_id: str, last_event_id: int) -> EngineStream:
        """Resume the stream of an attempt after ``last_event_id``.

        :raises EngineError: as for :meth:`start`; the status is 404 when the engine has not
            received the attempt, and 410 when it no longer stores the response.
        """
        headers = {"Last-Event-ID": str(last_event_id)}
        response = self._send("GET", engine, _STREAM_PATH + attempt_id, headers, None)
        return self._open_stream(response, engine, attempt_id, last_event_id)

    def tombstone(self, engine: EngineInfo, attempt_id: str) -> AttemptState:
        """Return the state of an attempt; one not received yet will be refused if it arrives.

        :raises EngineRefused: with status 412, when the incarnation differs.
        :raises EngineError: when there is no valid response.
        """
        response = self._post(engine, "/tombstone", {"request_id": attempt_id})
        try:
            reply = decode_document(response.data, _TombstoneResponse)
        except DocumentError as error:
            raise EngineStreamLost(f"tombstone response: {error}") from error
        if response.headers.get("X-Engine-Incarnation") != engine.incarnation:
            raise EngineRefused(PRECONDITION_FAILED, "engine has another incarnation")
        return reply.state

    def abort(self, engine: EngineInfo, attempt_id: str) -> None:
        """Abort an attempt whose response is not needed; errors are ignored."""
        with contextlib.suppress(EngineError):
            self._post(engine, "/abort", {"request_id": attempt_id})

    def send_order(self, engine: EngineInfo, fencing_token: int, order: dict) -> None:
        """Send an order with a fencing token.

        :raises EngineRefused: when the engine refuses it; with status 409, when it has
            received a higher fencing token.
        :raises EngineError: when the engine does not respond.
        """
        response = self._post(engine, "/orders", order | {"fencing_token": fencing_token})
        if response.status != 200:
            raise EngineRefused(response.status, response.data.decode(errors="replace"))

    def status(self, address: str) -> EngineStatus:
        """Return the status of the engine at an address.

        :raises EngineError: when there is no valid response.
        """
        url = f"http://{address}/status"
        try:
            response = self._pool.request("GET", url, timeout=self._control_timeout)
            return decode_document(response.data, EngineStatus)
        except (urllib3.exceptions.HTTPError, OSError, DocumentError) as error:
            raise EngineUnreachable(f"status: {error}") from error

    def _post(self, engine: EngineInfo, path: str, document: dict) -> urllib3.BaseHTTPResponse:
        url = f"http://{engine.address}{path}"
        try:
            return self._pool.request("POST", url, json=document, timeout=self._control_timeout)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise EngineStreamLost(f"{path}: {error}") from error

    def _send(
        self, method: str, engine: EngineInfo, path: str, headers: dict, body: bytes | None
    ) -> urllib3.BaseHTTPResponse:
        try:
            return self._pool.request(
                method,
                f"http://{engine.address}{path}",
                body=body,
                headers=headers | {"Content-Type": "application/json"},
                timeout=self._stream_timeout,
                preload_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise EngineUnreachable(str(error)) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise EngineStreamLost(str(error)) from error

    @staticmethod
    def _open_stream(
        response: urllib3.BaseHTTPResponse, engine: EngineInfo, attempt_id: str, last_event_id: int
    ) -> EngineStream:
        """Return the stream of a response, if it belongs to this attempt and incarnation."""
        echoed = response.headers.get("X-Request-Id")
        if echoed != attempt_id:
            response.close()
            raise EngineStreamLost(f"response belongs to request {echoed!r}")
        same_incarnation = response.headers.get("X-Engine-Incarnation") == engine.incarnation
        if response.status != 200:
            reason = _refusal_reason(response)
            status = response.status if same_incarnation else PRECONDITION_FAILED
            raise EngineRefused(status, reason)
        if not same_incarnation:
            # The engine did not check the required incarnation and may have run the request.
            response.close()
            raise EngineStreamLost("response of another incarnation")
        return EngineStream(response, last_event_id)


def _refusal_reason(response: urllib3.BaseHTTPResponse) -> str:
    """Return the beginning of an error response's body and close the response."""
    try:
        return response.read(_READ_CHUNK_BYTES).decode(errors="replace")
    except (urllib3.exceptions.HTTPError, OSError):
        return "error response could not be read"
    finally:
        response.close()
