"""Relay of a repeatable request: retries until one response is complete.

Failed attempts are retried within the retry budget. When tokens were already delivered, the
next attempt continues after them, so that the caller receives every token once and in
order.
"""

import time
from collections.abc import Iterator

from wheelslip.callers.answer import CompletionChunk
from wheelslip.callers.attempt import (
    Attempt,
    AttemptFailed,
    AttemptLost,
    AttemptNotRun,
    AttemptTarget,
    ResponseExpired,
)
from wheelslip.callers.call import Call, DeliveredOutput, RelayServices
from wheelslip.errors import ErrorKind, WheelslipError
from wheelslip.events import LogEvent, log_event
from wheelslip.routing.model import Dispatch
from wheelslip.routing.retry import backoff_seconds


class TrackedAttempt:
    """Runs one attempt and reports its progress and result to the scheduler."""

    def __init__(self, services: RelayServices, request_id: str, target: AttemptTarget):
        self._services = services
        self._request_id = request_id
        self._target = target
        self._attempt = Attempt(
            services.engine_client, target, request_id, services.router.observe_load
        )

    def start(self, path: str, document: dict) -> Iterator[CompletionChunk]:
        """Send the request and report its progress; see :meth:`Attempt.start`."""
        return self._report_progress(self._attempt.start(path, document))

    def join(self) -> Iterator[CompletionChunk]:
        """Read an attempt that was started elsewhere; see :meth:`Attempt.join`."""
        return self._attempt.join()

    def _report_progress(self, chunks: Iterator[CompletionChunk]) -> Iterator[CompletionChunk]:
        router = self._services.router
        cached_tokens = None
        ended = False
        first = True
        try:
            for chunk in chunks:
                if first:
                    router.first_token(self._request_id)
                    first = False
                if chunk.usage is not None:
                    cached_tokens = chunk.usage.cached_tokens
                yield chunk
            router.finished(self._request_id, cached_tokens)
            ended = True
        except AttemptFailed as error:
            ended = True
            self._report_failure(error)
            raise
        finally:
            if not ended:
                router.cancelled(self._request_id)

    def _report_failure(self, error: AttemptFailed) -> None:
        target = self._target
        log_event(
            LogEvent.ATTEMPT_FAILED,
            attempt=target.attempt_id,
            engine=target.engine.name,
            proven_not_run=isinstance(error, AttemptNotRun),
            reason=error.reason,
        )
        if isinstance(error, AttemptNotRun) and error.stale:
            self._services.router.cancelled(self._request_id)
        else:
            self._services.router.failed(self._request_id)
        self._services.directory.schedule_check(target.engine.name)


class RepeatableRelay:
    """Relays one repeatable request."""

    def __init__(self, services: RelayServices, call: Call):
        self._services = services
        self._call = call
        self._delivered = DeliveredOutput()
        self._excluded: set[str] = set()
        self._may_have_run = False

    def chunks(self) -> Iterator[CompletionChunk]:
        """Yield the chunks of the response.

        :raises WheelslipError: when the request is refused, or the retry budget is exhausted.
        """
        self._services.retry_budget.record_first_attempt()
        retries = 0
        while True:
            dispatch = self._place()
            attempt_id = self._call.next_attempt_id()
            try:
                yield from self._run(dispatch, attempt_id)
                return
            except AttemptFailed as error:
                retries += 1
                self._prepare_retry(error, dispatch, retries)

    def _place(self) -> Dispatch:
        request = self._call.routing_request(self._delivered, self._excluded)
        try:
            return self._services.router.place(request)
        except WheelslipError as error:
            # A refusal now does not prove that an earlier attempt did not run.
            if self._may_have_run:
                raise WheelslipError(ErrorKind.ENGINE_LOST, error.message) from error
            raise

    def _run(self, dispatch: Dispatch, attempt_id: str) -> Iterator[CompletionChunk]:
        target = AttemptTarget(attempt_id, dispatch.engine)
        tracked = TrackedAttempt(self._services, self._call.request_id, target)
        earlier_tokens = self._delivered.tokens
        document = self._call.engine_document(dispatch.engine.weights_version, self._delivered)
        try:
            for chunk in tracked.start(self._call.path, document):
                if chunk.text:
                    self._delivered.texts.append(chunk.text)
                yield _with_earlier_tokens(chunk, earlier_tokens)
        except AttemptLost:
            # This attempt is not resumed: abort it in case the engine is still running it.
            self._services.directory.abort_later(target.engine, attempt_id)
            raise
        except GeneratorExit:
            log_event(LogEvent.CALLER_GONE, request=self._call.request_id)
            self._services.directory.abort_later(target.engine, attempt_id)
            raise

    def _prepare_retry(self, error: AttemptFailed, dispatch: Dispatch, retries: int) -> None:
        """Wait for the retry backoff, or fail the request.

        :raises WheelslipError: when the retry budget is exhausted, or the response of an
            attempt that ran is no longer stored.
        """
        not_run = isinstance(error, AttemptNotRun)
        self._may_have_run |= not not_run
        if not (not_run and error.stale):
            self._excluded.add(dispatch.engine.name)
        if isinstance(error, ResponseExpired) or not self._services.retry_budget.take_retry():
            lost = self._may_have_run
            kind = ErrorKind.ENGINE_LOST if lost else ErrorKind.ATTEMPTS_EXHAUSTED
            raise WheelslipError(kind, error.reason) from error
        if self._delivered.tokens:
            log_event(
                LogEvent.STREAM_CONTINUED,
                request=self._call.request_id,
                delivered_tokens=self._delivered.tokens,
            )
        time.sleep(backoff_seconds(retries, self._services.random_source))


def _with_earlier_tokens(chunk: CompletionChunk, earlier_tokens: int) -> CompletionChunk:
    """Move the tokens of earlier attempts from the prompt count to the completion count."""
    if chunk.usage is None or not earlier_tokens:
        return chunk
    chunk.usage.completion_tokens += earlier_tokens
    chunk.usage.prompt_tokens = max(0, chunk.usage.prompt_tokens - earlier_tokens)
    return chunk
