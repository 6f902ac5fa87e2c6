"""Claims, which ensure that at most one attempt of a non-idempotent request runs.

A claim is created by compare-and-swap before the request is sent to an engine. It names the
attempt, the engine and the engine's incarnation. When the response to a swap is lost, the swap is
repeated, and the attempt id in the stored claim shows whether the first one took effect. Swaps
that are submitted while a call to the key-value service is in progress are sent together in the
next call.
"""

import hashlib
import queue
import threading
import time
from dataclasses import dataclass, field

import msgspec

from wheelslip.documents import DocumentError, decode_document
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
"""Lifetime of a lease, which is shared by all claims written until the lease is replaced."""

LEASE_REPLACEMENT_INTERVAL_SECONDS = 3_600
MAX_STORED_RESPONSE_BYTES = 65_536
_MAX_BATCH = 64
_RETRY_SECONDS = 0.1
_COMPLETION_RETRY_SECONDS = 1.0


class StoredResponse(msgspec.Struct, frozen=True):
    """A completed response, stored to be returned for later requests with the same key."""

    text: str
    finish_reason: str
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


class ClaimRecord(msgspec.Struct, frozen=True):
    """Value of a claim key.

    :ivar request_digest: digest of the request body; a request with the same key and another body
        is rejected.
    :ivar answer: response of the completed attempt; ``None`` if it was too large to store.
    """

    request_digest: str
    attempt_id: str
    engine: EngineInfo
    completed: bool = False
    answer: StoredResponse | None = None


@dataclass(frozen=True)
class StoredClaim:
    """A claim and the revision of its key, which the next swap must expect."""

    key: str
    record: ClaimRecord
    mod_revision: int


@dataclass(frozen=True)
class ClaimOutcome:
    """Result of an attempt to create or take over a claim.

    :ivar owned: whether the stored claim names the attempt of this call.
    """

    owned: bool
    claim: StoredClaim


class ClaimStoreUnavailable(Exception):
    """Raised when the key-value service cannot read or write a claim in time."""


def claim_key(tenant: str, idempotency_key: str) -> str:
    """Return the key of a claim, with the idempotency key hashed to limit its length."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f"{CLAIM_PREFIX}{tenant}/{digest}"


@dataclass
class _PendingTransaction:
    transaction: Transaction
    reply: "queue.SimpleQueue[TransactionResult | KeyValueError]" = field(
        default_factory=queue.SimpleQueue
    )


@dataclass(frozen=True)
class _Completion:
    claim: StoredClaim
    record: ClaimRecord


class ClaimStore:
    """Creates, takes over and completes claims; a background thread sends them in batches."""

    def __init__(self, client: KeyValueClient):
        self._client = client
        self._pending: queue.SimpleQueue[_PendingTransaction] = queue.SimpleQueue()
        self._completions: queue.Queue[_Completion] = queue.Queue()
        self._lease = 0
        self._replace_lease_at = 0.0
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._batch_loop, name="claims", daemon=True),
            threading.Thread(target=self._completion_loop, name="claim-completions", daemon=True),
        ]

    def start(self) -> None:
        """Start the background threads."""
        for thread in self._threads:
            thread.start()

    def stop(self, deadline: float) -> int:
        """Write the pending completions and stop the background threads.

        :param deadline: time on the monotonic clock at which to stop waiting.
        :return: number of completions not written by the deadline.
        """
        while self._completions.unfinished_tasks and time.monotonic() < deadline:
            time.sleep(_RETRY_SECONDS)
        self._stopping.set()
        return self._completions.unfinished_tasks

    def read(self, key: str) -> StoredClaim | None:
        """Return the stored claim, ``None`` if there is none.

        :raises ClaimStoreUnavailable: if the key-value service does not respond.
        """
        try:
            entry = self._client.get(key)
        except KeyValueError as error:
            raise ClaimStoreUnavailable(str(error)) from error
        return None if entry is None else _decode_claim(key, entry.value, entry.mod_revision)

    def claim(
        self, key: str, record: ClaimRecord, expected_revision: int, deadline: float
    ) -> ClaimOutcome:
        """Create a claim, or take over the one stored at the expected revision.

        :param expected_revision: revision of the claim to take over; 0 to create one.
        :param deadline: time on the monotonic clock after which a failed swap is not repeated.
        :raises ClaimStoreUnavailable: if the swap still fails at the deadline.
        """
        value = msgspec.json.encode(record)
        while True:
            try:
                put = Put(key, value, self._current_lease())
                transaction = Transaction({key: expected_revision}, (put,), (key,))
                result = self._transact(transaction)
            except KeyValueError as error:
                # The same swap can be repeated safely: if the first one took effect, the second
                # fails and returns a claim with this attempt id.
                if time.monotonic() >= deadline:
                    raise ClaimStoreUnavailable(str(error)) from error
                time.sleep(_RETRY_SECONDS)
                continue
            if result.succeeded:
                return ClaimOutcome(True, StoredClaim(key, record, result.revision))
            if result.conflicting:
                entry = result.conflicting[0]
                stored = _decode_claim(key, entry.value, entry.mod_revision)
                return ClaimOutcome(stored.record.attempt_id == record.attempt_id, stored)
            # The lease of the claim to take over has expired; create a new claim.
            expected_revision = 0

    def complete(self, claim: StoredClaim, response: StoredResponse) -> None:
        """Store the response of a finished attempt in the background, retrying failed writes."""
        stored = response if len(response.text.encode()) <= MAX_STORED_RESPONSE_BYTES else None
        record = msgspec.structs.replace(claim.record, completed=True, answer=stored)
        self._completions.put(_Completion(claim, record))

    def _transact(self, transaction: Transaction) -> TransactionResult:
        pending = _PendingTransaction(transaction)
        self._pending.put(pending)
        result = pending.reply.get()
        if isinstance(result, KeyValueError):
            raise result
        return result

    def _current_lease(self) -> int:
        if time.monotonic() >= self._replace_lease_at:
            try:
                self._lease = self._client.grant_lease(CLAIM_LEASE_SECONDS)
            except KeyValueOutcomeUnknown as error:
                raise KeyValueUnavailable(f"cannot grant a lease for claims: {error}") from error
            self._replace_lease_at = time.monotonic() + LEASE_REPLACEMENT_INTERVAL_SECONDS
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

    def _send_batch(self, batch: list[_PendingTransaction]) -> None:
        try:
            results = self._client.transact_batch([entry.transaction for entry in batch])
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
            # A conflict is ignored: another node has updated the claim, or it has expired.
            self._transact(Transaction({claim.key: claim.mod_revision}, (put,)))
        except KeyValueError as error:
            log_event(LogEvent.CLAIM_COMPLETION_DEFERRED, key=claim.key, reason=str(error))
            self._stopping.wait(_COMPLETION_RETRY_SECONDS)
            self._completions.put(completion)


def _decode_claim(key: str, value: bytes, mod_revision: int) -> StoredClaim:
    """Return a stored claim.

    :raises ClaimStoreUnavailable: if it cannot be decoded.
    """
    try:
        return StoredClaim(key, decode_document(value, ClaimRecord), mod_revision)
    except DocumentError as error:
        raise ClaimStoreUnavailable(f"{key}: {error}") from error
