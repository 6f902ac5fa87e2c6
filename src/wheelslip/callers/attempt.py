"""One attempt of a request at one engine, resumed there after connection failures.

An attempt ends with its complete stream, or with a subclass of :class:`AttemptFailed` that
states whether it is proven that the request did not run.
"""

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from wheelslip.callers.answer import CompletionChunk, parse_chunk
from wheelslip.documents import DocumentError
from wheelslip.engines.client import (
    DONE_DATA,
    GONE,
    NOT_FOUND,
    PRECONDITION_FAILED,
    AttemptState,
    EngineClient,
    EngineError,
    EngineRefused,
    EngineStream,
    EngineStreamLost,
    EngineUnreachable,
)
from wheelslip.events import LogEvent, log_event
from wheelslip.routing.model import EngineInfo

MAX_RESUMES_WITHOUT_PROGRESS = 3
"""Limit on successive resumes without a new event, after the first event.

A resume request that fails is repeated once; if it fails again, the attempt is lost.
"""

MAX_RESUMES_BEFORE_FIRST_EVENT = 300
"""Limit on resumes before the first event, while the engine may still queue the request."""


class AttemptFailed(Exception):
    """Base of the exceptions that end an attempt.

    :ivar reason: text for logs and error messages.
    """

    def __init__(self, reason: str):
        super().__init__(reason)
        self.reason = reason


class AttemptNotRun(AttemptFailed):
    """Raised when it is proven that the attempt did not run and never will.

    :ivar stale: whether the engine refused because its incarnation or weights version
        changed since it was selected. The engine itself has not failed then.
    """

    def __init__(self, reason: str, stale: bool = False):
        super().__init__(reason)
        self.stale = stale


class AttemptLost(AttemptFailed):
    """Raised when the attempt may have run, but its response is lost.

    :ivar engine_dead: whether the engine's incarnation has ended or aborted the attempt, so
        that the attempt cannot be resumed.
    """

    def __init__(self, reason: str, engine_dead: bool = False):
        super().__init__(reason)
        self.engine_dead = engine_dead


class ResponseExpired(AttemptFailed):
    """Raised when the attempt ran, but its engine no longer stores the response."""


@dataclass(frozen=True)
class AttemptTarget:
    """An attempt id and the engine that it is sent to."""

    attempt_id: str
    engine: EngineInfo


class Attempt:
    """Reads the response of one attempt and resumes it when the connection fails.

    :param on_load: called with the engine's name and its numbers of running and waiting
        requests whenever a stream is opened.
    """

    def __init__(
        self,
        client: EngineClient,
        target: AttemptTarget,
        request_id: str,
        on_load: Callable[[str, int, int], None],
    ):
        self._client = client
        self._target = target
        self._attempt_bytes = target.attempt_id.encode()
        self._request_bytes = request_id.encode()
        self._on_load = on_load
        self._last_event_id = 0

    def start(self, path: str, document: dict) -> Iterator[CompletionChunk]:
        """Send the request and yield the chunks of its response in order.

        :raises AttemptNotRun: when it is proven that the engine did not run it.
        :raises AttemptLost: when it may have run and cannot be resumed.
        :raises ResponseExpired: when it ran, but the engine no longer stores the response.
        """
        try:
            stream = self._client.start(
                self._target.engine, self._target.attempt_id, path, document
            )
        except EngineUnreachable as error:
            raise AttemptNotRun(str(error)) from error
        except EngineRefused as error:
            stale = error.status == PRECONDITION_FAILED
            raise AttemptNotRun(str(error), stale) from error
        except EngineStreamLost as error:
            stream = self._resume(str(error))
        yield from self._read_stream(stream)

    def join(self) -> Iterator[CompletionChunk]:
        """Yield the complete response of an attempt that was started elsewhere.

        :raises AttemptFailed: as for :meth:`start`.
        """
        yield from self._read_stream(self._resume("joined"))

    def _read_stream(self, stream: EngineStream) -> Iterator[CompletionChunk]:
        idle_resumes = 0
        while True:
            self._on_load(self._target.engine.name, stream.load.running, stream.load.waiting)
            previous_event_id = self._last_event_id
            try:
                for event in stream.events():
                    self._last_event_id = event.event_id
                    if event.data == DONE_DATA:
                        return
                    yield parse_chunk(event.data.replace(self._attempt_bytes, self._request_bytes))
            except (EngineStreamLost, DocumentError) as error:
                idle_resumes = 0 if self._last_event_id > previous_event_id else idle_resumes + 1
                limit = (
                    MAX_RESUMES_WITHOUT_PROGRESS
                    if self._last_event_id
                    else MAX_RESUMES_BEFORE_FIRST_EVENT
                )
                if idle_resumes > limit:
                    raise AttemptLost(f"no progress: {error}") from error
                stream = self._resume(str(error))

    def _resume(self, reason: str) -> EngineStream:
        target = self._target
        log_event(
            LogEvent.ATTEMPT_RESUMED,
            attempt=target.attempt_id,
            engine=target.engine.name,
            after_event=self._last_event_id,
            reason=reason,
        )
        try:
            return self._client.resume(target.engine, target.attempt_id, self._last_event_id)
        except EngineRefused as error:
            return self._handle_refused_resume(error, reason)
        except EngineError as error:
            # Retry once: the pooled connection may have been closed by the engine.
            time.sleep(0.05)
            try:
                return self._client.resume(target.engine, target.attempt_id, self._last_event_id)
            except EngineRefused as refused:
                return self._handle_refused_resume(refused, reason)
            except EngineError:
                raise AttemptLost(f"{reason}; resume: {error}") from error

    def _handle_refused_resume(self, error: EngineRefused, reason: str) -> EngineStream:
        if error.status == PRECONDITION_FAILED:
            raise AttemptLost(f"{reason}; engine was replaced", engine_dead=True) from error
        if error.status == GONE:
            raise ResponseExpired(f"{reason}; response no longer stored by the engine") from error
        if error.status == NOT_FOUND:
            self._prove_not_run(reason)
        raise AttemptLost(f"{reason}; resume refused: {error}") from error

    def _prove_not_run(self, reason: str) -> None:
        """Request a tombstone, so that the engine refuses the attempt if it arrives later.

        Return without an error when the attempt is running or finished at the engine.

        :raises AttemptNotRun: when the engine confirms that the attempt did not run.
        :raises AttemptLost: when the engine does not reply, was replaced or aborted it.
        """
        target = self._target
        try:
            state = self._client.tombstone(target.engine, target.attempt_id)
        except EngineRefused as error:
            raise AttemptLost(f"{reason}; engine was replaced", engine_dead=True) from error
        except EngineError as error:
            raise AttemptLost(f"{reason}; tombstone: {error}") from error
        if state.proves_not_run:
            raise AttemptNotRun(f"{reason}; the engine never received it")
        if state is AttemptState.ABORTED:
            raise AttemptLost(f"{reason}; aborted at the engine", engine_dead=True)
