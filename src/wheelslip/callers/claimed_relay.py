"""Serving a request that may not be repeated: at most one attempt ever runs.

Nothing is sent before a claim names the attempt. Whoever meets a claim asks the engine it
names: a running or finished attempt is joined, one proven never seen is taken over, and
one whose engine is dead is reported ``may_have_run`` and never run again.
"""

import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass

from wheelslip.callers.answer import AnswerPart, AnswerWriter, collect
from wheelslip.callers.attempt import (
    AnswerGone,
    AttemptFailed,
    AttemptLost,
    AttemptNotRun,
    AttemptTarget,
)
from wheelslip.callers.call import Call, Delivered, RelayServices
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

_ASK_AGAIN_SECONDS = 0.25
MAX_TAKEOVERS = 8
"""Takeovers of one key in one call before the caller is told to come back."""


@dataclass(frozen=True)
class _Takeover:
    """The claim whose attempt was proven not run, and which may pass on; none at first."""

    claim: StoredClaim | None = None

    @property
    def expected_revision(self) -> int:
        return self.claim.mod_revision if self.claim else 0


class ClaimedRelay:
    """Serves one request under its claim."""

    def __init__(self, services: RelayServices, call: Call, writer: AnswerWriter):
        self._services = services
        self._call = call
        self._writer = writer
        self._key = claim_key(call.tenant.name, call.request.idempotency_key)
        self._excluded: set[str] = set()

    def parts(self) -> Iterator[AnswerPart]:
        """Yield the answer.

        :raises WheelslipError: when it is refused, unresolved or lost.
        """
        self._services.retry_budget.record_first_attempt()
        takeover = _Takeover()
        for retry in range(MAX_TAKEOVERS):
            if retry:
                time.sleep(backoff_seconds(retry, self._services.random_source))
            claim, owned = self._claim(takeover)
            try:
                yield from self._answer(claim, owned)
                return
            except AttemptNotRun as error:
                if not error.stale:
                    self._excluded.add(claim.record.engine.name)
                takeover = _Takeover(claim)
                log_event(
                    LogEvent.CLAIM_TAKEN_OVER, attempt=claim.record.attempt_id, reason=error.reason
                )
            except AnswerGone as error:
                raise WheelslipError(ErrorKind.ANSWER_NOT_KEPT, error.reason) from error
            except AttemptLost as error:
                kind = ErrorKind.CLAIM_LOST if error.engine_dead else ErrorKind.CLAIM_UNRESOLVED
                raise WheelslipError(kind, error.reason) from error
        raise WheelslipError(ErrorKind.ATTEMPTS_EXHAUSTED, "every attempt was proven not run")

    def _claim(self, takeover: _Takeover) -> tuple[StoredClaim, bool]:
        """Return the claim on this key and whether its attempt is ours to start."""
        try:
            dispatch = self._services.router.place(
                self._call.routing_request(Delivered(), self._excluded)
            )
        except WheelslipError as refusal:
            # No engine takes it now, but an earlier attempt may have answered already.
            return self._existing_claim(takeover, refusal), False
        attempt_id = self._call.next_attempt_id()
        record = ClaimRecord(self._call.request.digest, attempt_id, dispatch.engine)
        give_up_at = max(self._call.deadline, time.monotonic())
        try:
            outcome = self._services.claims.claim(
                self._key, record, takeover.expected_revision, give_up_at
            )
        except ClaimStoreUnavailable as error:
            self._services.router.cancelled(self._call.request_id)
            raise WheelslipError(ErrorKind.CLAIM_STORE_UNAVAILABLE, str(error)) from error
        if not outcome.owned:
            self._services.router.cancelled(self._call.request_id)
        return outcome.claim, outcome.owned

    def _existing_claim(self, takeover: _Takeover, refusal: WheelslipError) -> StoredClaim:
        """Return the stored claim of an earlier attempt.

        :raises WheelslipError: the refusal, when there is no other attempt to ask.
        """
        try:
            claim = self._services.claims.read(self._key)
        except ClaimStoreUnavailable:
            raise refusal from None
        if claim is None or claim == takeover.claim:
            raise refusal
        return claim

    def _answer(self, claim: StoredClaim, owned: bool) -> Iterator[AnswerPart]:
        record = claim.record
        if record.request_digest != self._call.request.digest:
            message = "Idempotency-Key: already used with another request body"
            raise WheelslipError(ErrorKind.IDEMPOTENCY_KEY_REUSED, message)
        if record.completed:
            yield from self._kept(record)
            return
        target = AttemptTarget(record.attempt_id, record.engine)
        tracked = TrackedAttempt(self._services, self._call.request_id, target)
        if owned:
            document = self._call.engine_document(record.engine.weights_version, Delivered())
            parts = tracked.start(self._call.path, document)
        else:
            parts = tracked.join()
        yield from self._completing(claim, target, self._patient(parts, target))

    def _kept(self, record: ClaimRecord) -> Iterator[AnswerPart]:
        if record.answer is None:
            raise WheelslipError(ErrorKind.ANSWER_NOT_KEPT, "the answer was too large to keep")
        yield from self._writer.parts_of_kept(record.answer)

    def _patient(self, parts: Iterator[AnswerPart], target: AttemptTarget) -> Iterator[AnswerPart]:
        """Yield ``parts``; while the engine cannot be asked, ask again until the deadline."""
        position = 0
        while True:
            try:
                for number, part in enumerate(parts):
                    if number >= position:
                        position += 1
                        yield part
                return
            except AttemptLost as error:
                if error.engine_dead or time.monotonic() >= self._call.deadline:
                    raise
            time.sleep(_ASK_AGAIN_SECONDS)
            # A fresh join replays the stream from its first event.
            parts = TrackedAttempt(self._services, self._call.request_id, target).join()

    def _completing(
        self, claim: StoredClaim, target: AttemptTarget, parts: Iterator[AnswerPart]
    ) -> Iterator[AnswerPart]:
        """Yield ``parts`` and keep the finished answer, also when the caller has gone."""
        seen: list[AnswerPart] = []
        try:
            for part in parts:
                seen.append(part)
                yield part
        except GeneratorExit:
            log_event(LogEvent.CALLER_GONE, request=self._call.request_id)
            self._complete_in_background(claim, target)
            raise
        self._services.claims.complete(claim, collect(iter(seen)))

    def _complete_in_background(self, claim: StoredClaim, target: AttemptTarget) -> None:
        """Let the only permitted attempt run to its end and keep its answer for a repeat."""

        def finish() -> None:
            try:
                tracked = TrackedAttempt(self._services, self._call.request_id, target)
                self._services.claims.complete(claim, collect(tracked.join()))
            except AttemptFailed as error:
                log_event(LogEvent.ATTEMPT_FAILED, attempt=target.attempt_id, reason=error.reason)

        threading.Thread(target=finish, name="claim-finish", daemon=True).start()
