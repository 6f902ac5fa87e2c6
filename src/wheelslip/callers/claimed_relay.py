"""Relay of a non-repeatable request: at most one attempt runs.

A claim that names the attempt and its engine is stored before the request is sent. A node
that finds an existing claim queries its engine: it joins an attempt that is running or
finished, takes over one that is proven not to have run, and otherwise reports
``may_have_run`` without another attempt.
"""

import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass

from wheelslip.callers.answer import CompletionChunk, CompletionWriter, merge_chunks
from wheelslip.callers.attempt import (
    AttemptFailed,
    AttemptLost,
    AttemptNotRun,
    AttemptTarget,
    ResponseExpired,
)
from wheelslip.callers.call import Call, DeliveredOutput, RelayServices
from wheelslip.callers.relay import TrackedAttempt
from wheelslip.errors import ErrorKind, WheelslipError
from wheelslip.events import LogEvent, log_event
from wheelslip.keyvalue.claims import (
    ClaimRecord,
    ClaimStoreUnavailable,
    StoredClaim,
    claim_key,
)
from wheelslip.routing.retry import backoff_seconds

_REJOIN_INTERVAL_SECONDS = 0.25
MAX_CLAIM_ATTEMPTS = 8
"""Maximum number of attempts for one call; each takes the claim of the previous one over."""


@dataclass(frozen=True)
class _Takeover:
    """The claim to replace, whose attempt is proven not to have run.

    :ivar claim: ``None`` for the first attempt.
    """

    claim: StoredClaim | None = None

    @property
    def expected_revision(self) -> int:
        return self.claim.mod_revision if self.claim else 0


class ClaimedRelay:
    """Relays one request under the claim on its idempotency key."""

    def __init__(self, services: RelayServices, call: Call, writer: CompletionWriter):
        self._services = services
        self._call = call
        self._writer = writer
        self._key = claim_key(call.tenant.name, call.request.idempotency_key)
        self._excluded: set[str] = set()

    def chunks(self) -> Iterator[CompletionChunk]:
        """Yield the chunks of the response.

        :raises WheelslipError: when the request is refused, or its response is lost.
        """
        self._services.retry_budget.record_first_attempt()
        takeover = _Takeover()
        for retry in range(MAX_CLAIM_ATTEMPTS):
            if retry:
                time.sleep(backoff_seconds(retry, self._services.random_source))
            claim, owned = self._claim(takeover)
            try:
                yield from self._response_chunks(claim, owned)
                return
            except AttemptNotRun as error:
                if not error.stale:
                    self._excluded.add(claim.record.engine.name)
                takeover = _Takeover(claim)
                log_event(
                    LogEvent.CLAIM_TAKEN_OVER, attempt=claim.record.attempt_id, reason=error.reason
                )
            except ResponseExpired as error:
                raise WheelslipError(ErrorKind.ANSWER_NOT_KEPT, error.reason) from error
            except AttemptLost as error:
                kind = ErrorKind.CLAIM_LOST if error.engine_dead else ErrorKind.CLAIM_UNRESOLVED
                raise WheelslipError(kind, error.reason) from error
        raise WheelslipError(
            ErrorKind.ATTEMPTS_EXHAUSTED, "every attempt was proven not to have run"
        )

    def _claim(self, takeover: _Takeover) -> tuple[StoredClaim, bool]:
        """Return the claim on this key, and whether this call may start its attempt."""
        try:
            dispatch = self._services.router.place(
                self._call.routing_request(DeliveredOutput(), self._excluded)
            )
        except WheelslipError as refusal:
            # No engine is available now, but an earlier attempt may already have a response.
            return self._existing_claim(takeover, refusal), False
        attempt_id = self._call.next_attempt_id()
        record = ClaimRecord(self._call.request.digest, attempt_id, dispatch.engine)
        claim_deadline = max(self._call.deadline, time.monotonic())
        try:
            outcome = self._services.claims.claim(
                self._key, record, takeover.expected_revision, claim_deadline
            )
        except ClaimStoreUnavailable as error:
            self._services.router.cancelled(self._call.request_id)
            raise WheelslipError(ErrorKind.CLAIM_STORE_UNAVAILABLE, str(error)) from error
        if not outcome.owned:
            self._services.router.cancelled(self._call.request_id)
        return outcome.claim, outcome.owned

    def _existing_claim(self, takeover: _Takeover, refusal: WheelslipError) -> StoredClaim:
        """Return the stored claim of an earlier attempt.

        :param refusal: why no engine accepts a new attempt.
        :raises WheelslipError: ``refusal``, when there is no claim of another attempt.
        """
        try:
            claim = self._services.claims.read(self._key)
        except ClaimStoreUnavailable:
            raise refusal from None
        if claim is None or claim == takeover.claim:
            raise refusal
        return claim

    def _response_chunks(self, claim: StoredClaim, owned: bool) -> Iterator[CompletionChunk]:
        """Yield the response of the claimed attempt: stored, started or joined."""
        record = claim.record
        if record.request_digest != self._call.request.digest:
            message = "Idempotency-Key: already used with another request body"
            raise WheelslipError(ErrorKind.IDEMPOTENCY_KEY_REUSED, message)
        if record.completed:
            yield from self._replay_stored(record)
            return
        target = AttemptTarget(record.attempt_id, record.engine)
        tracked = TrackedAttempt(self._services, self._call.request_id, target)
        if owned:
            document = self._call.engine_document(record.engine.weights_version, DeliveredOutput())
            chunks = tracked.start(self._call.path, document)
        else:
            chunks = tracked.join()
        yield from self._store_when_complete(
            claim, target, self._rejoin_until_deadline(chunks, target)
        )

    def _replay_stored(self, record: ClaimRecord) -> Iterator[CompletionChunk]:
        if record.answer is None:
            raise WheelslipError(ErrorKind.ANSWER_NOT_KEPT, "the response was too large to store")
        yield from self._writer.replay(record.answer)

    def _rejoin_until_deadline(
        self, chunks: Iterator[CompletionChunk], target: AttemptTarget
    ) -> Iterator[CompletionChunk]:
        """Yield ``chunks``, and rejoin a lost attempt until the call's deadline."""
        yielded = 0
        while True:
            try:
                for index, chunk in enumerate(chunks):
                    if index >= yielded:
                        yielded += 1
                        yield chunk
                return
            except AttemptLost as error:
                if error.engine_dead or time.monotonic() >= self._call.deadline:
                    raise
            time.sleep(_REJOIN_INTERVAL_SECONDS)
            # Joining replays the stream from its first event; skip what was yielded.
            chunks = TrackedAttempt(self._services, self._call.request_id, target).join()

    def _store_when_complete(
        self, claim: StoredClaim, target: AttemptTarget, chunks: Iterator[CompletionChunk]
    ) -> Iterator[CompletionChunk]:
        """Yield ``chunks`` and store the complete response, even if the caller disconnects."""
        received: list[CompletionChunk] = []
        try:
            for chunk in chunks:
                received.append(chunk)
                yield chunk
        except GeneratorExit:
            log_event(LogEvent.CALLER_GONE, request=self._call.request_id)
            self._complete_in_background(claim, target)
            raise
        self._services.claims.complete(claim, merge_chunks(iter(received)))

    def _complete_in_background(self, claim: StoredClaim, target: AttemptTarget) -> None:
        """Read the attempt to its end and store its response for later requests with the key."""

        def finish() -> None:
            try:
                tracked = TrackedAttempt(self._services, self._call.request_id, target)
                self._services.claims.complete(claim, merge_chunks(tracked.join()))
            except AttemptFailed as error:
                log_event(LogEvent.ATTEMPT_FAILED, attempt=target.attempt_id, reason=error.reason)

        threading.Thread(target=finish, name="claim-finish", daemon=True).start()
