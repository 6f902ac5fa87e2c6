"""Claims: which single attempt may run a request that must not be repeated.

A claim is created by compare-and-swap before anything is sent, and names the attempt, the
engine and its incarnation. A lost answer is resolved by repeating the same swap and
reading the attempt id back. Swaps of a node that come while one request to the service is
under way go together in the next one, so the service sees few requests in a burst.
"""

import hashlib
import queue
import threading
import time
from dataclasses import dataclass, field

import msgspec

from wheelslip.events import LogEvent, log_event
from wheelslip.keyvalue.client import KeyValueClient
from wheelslip.keyvalue.model import (
    KeyValueError,
    KeyValueOutcomeUnknown,
    KeyValueUnavailable,
    Put,
    Transaction,
    TransactionResult,
)
from wheelslip.routing.model import EngineInfo

CLAIM_PREFIX = "/wheelslip/claims/"
CLAIM_LEASE_SECONDS = 86_400
"""Claims are kept for a day after their lease was granted, at the least."""

LEASE_RENEWAL_SECONDS = 3_600
MAX_KEPT_ANSWER_BYTES = 65_536
_MAX_BATCH = 64
_RETRY_SECONDS = 0.1
_COMPLETION_RETRY_SECONDS = 1.0


class KeptAnswer(msgspec.Struct, frozen=True):
    """A completed answer, kept for repeats of its key."""

    text: str
    finish_reason: str
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


class ClaimRecord(msgspec.Struct, frozen=True):
    """Value of a claim key.

    :param request_digest: of the request body; another body under the same key is refused.
    :param answer: present once complete, unless it was too large to keep.
    """

    request_digest: str
    attempt_id: str
    engine: EngineInfo
    completed: bool = False
    answer: KeptAnswer | None = None


@dataclass(frozen=True)
class HeldClaim:
    """A claim as stored, with the revision that the next swap must expect."""

    key: str
    record: ClaimRecord
    mod_revision: int


@dataclass(frozen=True)
class ClaimOutcome:
    """Result of trying to claim: ours, or another attempt's."""

    owned: bool
    claim: HeldClaim


class ClaimStoreUnavailable(Exception):
    """The key-value service took no claim in time; nothing was sent to an engine."""


def claim_key(tenant: str, idempotency_key: str) -> str:
    """Return the key of a claim; the caller's key is hashed to bound its length."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f"{CLAIM_PREFIX}{tenant}/{digest}"


@dataclass
class _Pending:
    transaction: Transaction
    reply: "queue.SimpleQueue[TransactionResult | KeyValueError]" = field(
        default_factory=queue.SimpleQueue
    )


@dataclass(frozen=True)
class _Completion:
    claim: HeldClaim
    record: ClaimRecord


class ClaimStore:
    """Creates, takes over and completes claims; one task batches them to the service."""

    def __init__(self, client: KeyValueClient):
        self._client = client
        self._pending: queue.SimpleQueue[_Pending] = queue.SimpleQueue()
        self._completions: queue.Queue[_Completion] = queue.Queue()
        self._lease = 0
        self._lease_renew_at = 0.0
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._batch_loop, name="claims", daemon=True),
            threading.Thread(target=self._completion_loop, name="claim-completions", daemon=True),
        ]

    def start(self) -> None:
        """Begin to serve claims."""
        for thread in self._threads:
            thread.start()

    def stop(self, give_up_at: float) -> int:
        """Write the completions still open; return how many remain at the deadline."""
        while self._completions.unfinished_tasks and time.monotonic() < give_up_at:
            time.sleep(_RETRY_SECONDS)
        self._stopping.set()
        return self._completions.unfinished_tasks

    def read(self, key: str) -> HeldClaim | None:
        """Return a claim as stored.

        :raises ClaimStoreUnavailable: when the service does not answer.
        """
        try:
            entry = self._client.get(key)
        except KeyValueError as error:
            raise ClaimStoreUnavailable(str(error)) from error
        return None if entry is None else _held_claim(key, entry.value, entry.mod_revision)

    def claim(
        self, key: str, record: ClaimRecord, expected_revision: int, give_up_at: float
    ) -> ClaimOutcome:
        """Create a claim (``expected_revision`` 0) or take it over at its revision.

        :param give_up_at: on the monotonic clock.
        :raises ClaimStoreUnavailable: when the service took no claim in time.
        """
        value = msgspec.json.encode(record)
        while True:
            try:
                put = Put(key, value, self._current_lease())
                transaction = Transaction({key: expected_revision}, (put,), (key,))
                result = self._transact(transaction)
            except KeyValueError as error:
                # Repeating the same swap is safe: it expects the same revision, and if the
                # lost one took effect the conflict shows this attempt id.
                if time.monotonic() >= give_up_at:
                    raise ClaimStoreUnavailable(str(error)) from error
                time.sleep(_RETRY_SECONDS)
                continue
            if result.succeeded:
                return ClaimOutcome(True, HeldClaim(key, record, result.revision))
            if result.conflicting:
                entry = result.conflicting[0]
                held = _held_claim(key, entry.value, entry.mod_revision)
                return ClaimOutcome(held.record.attempt_id == record.attempt_id, held)
            # The claim we meant to take over is gone: its lease ended. Begin afresh.
            expected_revision = 0

    def complete(self, claim: HeldClaim, answer: KeptAnswer) -> None:
        """Keep the answer of a finished attempt; written in the background until it holds."""
        kept = answer if len(answer.text.encode()) <= MAX_KEPT_ANSWER_BYTES else None
        record = msgspec.structs.replace(claim.record, completed=True, answer=kept)
        self._completions.put(_Completion(claim, record))

    def _transact(self, transaction: Transaction) -> TransactionResult:
        pending = _Pending(transaction)
        self._pending.put(pending)
        result = pending.reply.get()
        if isinstance(result, KeyValueError):
            raise result
        return result

    def _current_lease(self) -> int:
        if time.monotonic() >= self._lease_renew_at:
            try:
                self._lease = self._client.grant_lease(CLAIM_LEASE_SECONDS)
            except KeyValueOutcomeUnknown as error:
                raise KeyValueUnavailable(f"no lease for claims: {error}") from error
            self._lease_renew_at = time.monotonic() + LEASE_RENEWAL_SECONDS
        return self._lease

    def _batch_loop(self) -> None:
        while not self._stopping.is_set():
            try:
                batch = [self._pending.get(timeout=0.5)]
            except queue.Empty:
                continue
            while len(batch) < _MAX_BATCH and not self._pending.empty():
                batch.append(self._pending.get_nowait())
            self._send_batch(batch)

    def _send_batch(self, batch: list[_Pending]) -> None:
        try:
            results = self._client.transact_batch([one.transaction for one in batch])
        except KeyValueError as error:
            results = [error] * len(batch)
        for pending, result in zip(batch, results, strict=True):
            pending.reply.put(result)

    def _completion_loop(self) -> None:
        while not self._stopping.is_set():
            try:
                completion = self._completions.get(timeout=0.5)
            except queue.Empty:
                continue
            self._write_completion(completion)
            self._completions.task_done()

    def _write_completion(self, completion: _Completion) -> None:
        claim = completion.claim
        value = msgspec.json.encode(completion.record)
        try:
            put = Put(claim.key, value, self._current_lease())
            # A conflict means that another node completed the same attempt: nothing to do.
            self._transact(Transaction({claim.key: claim.mod_revision}, (put,)))
        except KeyValueError as error:
            log_event(LogEvent.CLAIM_COMPLETION_DEFERRED, key=claim.key, reason=str(error))
            self._stopping.wait(_COMPLETION_RETRY_SECONDS)
            self._completions.put(completion)


def _held_claim(key: str, value: bytes, mod_revision: int) -> HeldClaim:
    return HeldClaim(key, msgspec.json.decode(value, type=ClaimRecord), mod_revision)
