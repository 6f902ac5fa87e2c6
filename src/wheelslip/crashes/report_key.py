"""A key in the store to which one node writes a report after each change of it."""

import asyncio
import random
from collections.abc import Callable

from wheelslip.events import LogEvent, log_event
from wheelslip.keyvalue.model import KeyValueError, Put, Transaction, TransactionResult
from wheelslip.registry.interface import KeyValueStore
from wheelslip.registry.registry import Registry

COALESCE_SECONDS = 0.05
"""Delay before a write, so that crashes of one worker under several requests share one call."""

RETRY_DELAY_RANGE_SECONDS = (0.1, 0.3)
"""Range of the random delay before a failed write is retried."""


class ReportKey:
    """Writes a report with conditional writes, so that a delayed one overwrites no newer one.

    :param encode: returns the current report.
    """

    def __init__(
        self,
        key: str,
        store: KeyValueStore,
        registry: Registry,
        random_source: random.Random,
        encode: Callable[[], bytes],
    ):
        self.key = key
        self._store = store
        self._registry = registry
        self._random = random_source
        self._encode = encode
        self._changed = asyncio.Event()
        self._written = asyncio.Event()
        self._written.set()

    def mark_changed(self) -> None:
        """Record that the report has changed and is to be written."""
        self._written.clear()
        self._changed.set()

    async def wait_until_written(self) -> None:
        """Wait until the store has the current report."""
        await self._written.wait()

    async def run(self) -> None:
        """Write the report after each change, until cancelled."""
        while True:
            await self._changed.wait()
            await asyncio.sleep(COALESCE_SECONDS)
            self._changed.clear()
            try:
                await self._write()
            except KeyValueError as exc:
                log_event(LogEvent.LEASE_CALL_FAILED, duty=self.key, reason=str(exc))
                self._changed.set()
                await asyncio.sleep(self._random.uniform(*RETRY_DELAY_RANGE_SECONDS))

    async def _write(self) -> None:
        entry = self._registry.system_entry(self.key)
        revision = entry[1] if entry else 0
        result = await self._put(revision)
        if not result.succeeded:
            # The view lacks the last write of this process or of the previous one.
            revision = self._apply_conflict(result)
            result = await self._put(revision)
        if not result.succeeded:
            self._changed.set()
        elif not self._changed.is_set():
            self._written.set()

    def _apply_conflict(self, result: TransactionResult) -> int:
        """Apply the stored report to the view and return its revision, 0 if there is none."""
        for entry in result.conflicting:
            if entry.key == self.key:
                self._registry.apply(entry.key, entry.value, entry.mod_revision)
                return entry.mod_revision
        return 0

    async def _put(self, revision: int) -> TransactionResult:
        put = Put(self.key, self._encode())
        return await self._store.transact(Transaction({self.key: revision}, (put,), (self.key,)))
