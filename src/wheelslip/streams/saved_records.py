"""Stream records in the store, where they outlast the nodes.

Records are written in batches under keys that are never written again, so a transaction that the
store executes late or twice changes nothing. The keys have a lease and disappear with it.
"""

import asyncio
import itertools
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from wheelslip.documents import DocumentError, decode_document
from wheelslip.events import LogBudget, LogEvent, log_event
from wheelslip.keyvalue.model import KeyValueError, KeyValueUnavailable, Put, Transaction
from wheelslip.registry.interface import KeyValueStore
from wheelslip.streams.process_names import is_unverified
from wheelslip.streams.version_records import StreamOrigin

STREAMS_PREFIX = "wheelslip/streams/"

LEASE_SECONDS = 75.0
"""Time for which records are kept at most."""

LEASE_TERM_SECONDS = 15.0
"""Time for which new records are attached to the same lease."""

COALESCE_SECONDS = 0.01
"""Delay before records are written, so that streams that begin together share a call."""

WRITE_INTERVAL_SECONDS = 0.05
"""Minimum interval between two calls that write records."""

SECONDS_PER_RECORD = 0.0025
"""Added to that interval for each record of the call before, up to :data:`MAX_INTERVAL_SECONDS`: a
busy node writes larger batches instead of more of them."""

MAX_INTERVAL_SECONDS = 0.2

READ_COALESCE_SECONDS = 0.005

MAX_PENDING = 4096
"""Maximum number of records that wait to be written; further ones are not saved."""

LOG_LINES_PER_SECOND = 1.0


class SavedBatch(NamedTuple):
    """Streams of one origin, as stored."""

    service: str
    software_version: str
    keys: list[str]


class _Pending(NamedTuple):
    origin: StreamOrigin
    key: str
    written: asyncio.Future[bool]


class SavedStreamRecords:
    """Writes records of streams to the store and reads them.

    Records are distributed over 16 prefixes by the first digit of their key, so that a node reads
    only a part of them to find one.

    :param incarnation: unique name of this process, part of the keys it writes.
    """

    def __init__(self, store: KeyValueStore, incarnation: str, clock: Callable[[], float]):
        self._store = store
        self._incarnation = incarnation
        self._clock = clock
        self._numbers = itertools.count()
        self._pending: list[_Pending] = []
        self._has_pending = asyncio.Event()
        self._lease = 0
        self._lease_until = 0.0
        self._reads: dict[str, asyncio.Task] = {}
        self._unreadable_since: dict[str, float] = {}
        self._log_budget = LogBudget(LOG_LINES_PER_SECOND, clock)
        self.failed_at = float("-inf")
        self.saved = 0

    # Writing

    async def save(self, keys: Iterable[str], origin: StreamOrigin) -> bool:
        """Write records, and return whether the store has confirmed them."""
        keys = list(keys)
        if len(self._pending) + len(keys) > MAX_PENDING:
            return False
        loop = asyncio.get_running_loop()
        pending = [_Pending(origin, key, loop.create_future()) for key in keys]
        self._pending += pending
        self._has_pending.set()
        return all(await asyncio.gather(*(each.written for each in pending)))

    async def run(self) -> None:
        """Write pending records until cancelled."""
        while True:
            await self._has_pending.wait()
            await asyncio.sleep(COALESCE_SECONDS)
            self._has_pending.clear()
            batch, self._pending = self._pending, []
            written = False
            try:
                written = await self._write(batch)
            finally:
                for each in batch:
                    if not each.written.done():
                        each.written.set_result(written)
            pause = WRITE_INTERVAL_SECONDS + SECONDS_PER_RECORD * len(batch)
            await asyncio.sleep(min(pause, MAX_INTERVAL_SECONDS))

    async def _write(self, batch: list[_Pending]) -> bool:
        try:
            lease = await self._current_lease()
            puts = self._puts(batch, lease)
            expected = {put.key: 0 for put in puts}
            result = await self._store.transact(Transaction(expected, puts))
        except KeyValueError as error:
            self._lease_until = 0.0
            self.failed_at = self._clock()
            self._log_budget.log(LogEvent.STREAMS_NOT_SAVED, records=len(batch), reason=str(error))
            return False
        self.saved += len(batch)
        return result.succeeded

    async def _current_lease(self) -> int:
        now = self._clock()
        if now >= self._lease_until:
            self._lease = await self._store.grant_lease(LEASE_SECONDS)
            self._lease_until = now + LEASE_TERM_SECONDS
        return self._lease

    def _puts(self, batch: list[_Pending], lease: int) -> tuple[Put, ...]:
        by_bucket: dict[str, dict[StreamOrigin, list[str]]] = {}
        for each in batch:
            origins = by_bucket.setdefault(each.key[0], {})
            origins.setdefault(each.origin, []).append(each.key)
        number = next(self._numbers)
        return tuple(
            Put(
                f"{_prefix(bucket)}{self._incarnation}/{number}",
                msgspec.json.encode(
                    [SavedBatch(*origin, keys) for origin, keys in origins.items()]
                ),
                lease,
            )
            for bucket, origins in by_bucket.items()
        )

    # Reading

    async def find(self, key: str) -> StreamOrigin | None:
        """Return the saved origin of a stream; ``None`` if none is saved.

        :raises KeyValueError: if the store does not respond, or the record may be one that cannot be
            decoded.
        """
        origins = await asyncio.shield(self._next_read(key[0]))
        if key not in origins and self._may_be_unreadable(key[0]):
            raise KeyValueUnavailable("a saved record cannot be decoded")
        return origins.get(key)

    def _next_read(self, bucket: str) -> asyncio.Task:
        """Return a read that has not started yet, which requests of the same moment share."""
        task = self._reads.get(bucket)
        if task is None:
            task = asyncio.create_task(self._read(bucket))
            task.add_done_callback(_retrieve_exception)
            self._reads[bucket] = task
        return task

    async def _read(self, bucket: str) -> dict[str, StreamOrigin]:
        await asyncio.sleep(READ_COALESCE_SECONDS)
        del self._reads[bucket]
        listing = await self._store.range(_prefix(bucket))
        self._forget_unreadable(_prefix(bucket), {entry.key for entry in listing.entries})
        origins = {}
        for entry in listing.entries:
            for batch in self._decode(entry.key, entry.value):
                origin = StreamOrigin(batch.service, batch.software_version)
                for key in batch.keys:
                    if key not in origins or is_unverified(origins[key].software_version):
                        origins[key] = origin
        return origins

    def _decode(self, key: str, value: bytes) -> list[SavedBatch]:
        try:
            return decode_document(value, list[SavedBatch])
        except DocumentError as exc:
            if key not in self._unreadable_since:
                self._unreadable_since[key] = self._clock()
                log_event(LogEvent.REGISTRY_ENTRY_REFUSED, key=key, reason=str(exc))
            return []

    def _may_be_unreadable(self, bucket: str) -> bool:
        """Return whether a value that cannot be decoded may have replaced a record still in use."""
        begun_at = self._clock() - LEASE_SECONDS
        return any(
            key.startswith(_prefix(bucket)) and since > begun_at
            for key, since in self._unreadable_since.items()
        )

    def _forget_unreadable(self, prefix: str, present: set[str]) -> None:
        self._unreadable_since = {
            key: since
            for key, since in self._unreadable_since.items()
            if key in present or not key.startswith(prefix)
        }


def _prefix(bucket: str) -> str:
    return f"{STREAMS_PREFIX}{bucket}/"


def _retrieve_exception(task: asyncio.Task) -> None:
    """Mark the exception of a read as retrieved: its callers may have been cancelled."""
    if not task.cancelled():
        task.exception()
