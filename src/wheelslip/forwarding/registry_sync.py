"""Keeps the registry view current: one listing, then watches from its revision on."""

import asyncio
import random
from collections.abc import Callable

from wheelslip.events import LogEvent, log_event
from wheelslip.forwarding.interface import KeyValueStore
from wheelslip.forwarding.registry import Registry
from wheelslip.keyvalue.model import KeyValueError, WatchCompacted

WATCH_SECONDS = 1.5
"""A watch returns at least this often, so that the age of the view is known."""

GATHER_SECONDS = 0.08
"""Pause after changes, so that those which follow closely come with one call."""

FAILURES_OF_TROUBLE = 2
"""So many failed calls in a row are trouble of the store or of the way to it. A single one
is not: connections are reset and watches cut while the store is well."""

RETRY_SECONDS = (0.05, 0.4)
"""Range of the pause after a failure; random, so that many nodes do not call together."""


class RegistrySync:
    """The task that owns all reading of the store."""

    def __init__(
        self,
        store: KeyValueStore,
        registry: Registry,
        clock: Callable[[], float],
        random_source: random.Random,
    ):
        self._store = store
        self._registry = registry
        self._clock = clock
        self._random = random_source
        self._failures = 0

    async def run(self) -> None:
        """Follow the store for ever."""
        after: int | None = None
        while True:
            sent_at = self._clock()
            try:
                after = await self._step(after)
                self._note_available()
                self._registry.confirm(sent_at)
            except WatchCompacted:
                # What is in force stays in force until a new listing has been read.
                self._registry.note_trouble()
                after = None
            except KeyValueError as error:
                self._note_failure(error)
                await asyncio.sleep(self._random.uniform(*RETRY_SECONDS))
            self._registry.expire_doubtful()

    async def _step(self, after: int | None) -> int:
        if after is None:
            listing = await self._store.range("")
            entries = {one.key: (one.value, one.mod_revision) for one in listing.entries}
            self._registry.replace_all(entries, listing.revision)
            return listing.revision
        batch = await self._store.watch("", after, WATCH_SECONDS)
        for key, value, revision in batch.changes:
            self._registry.apply(key, value, revision)
        if batch.changes:
            await asyncio.sleep(GATHER_SECONDS)
        return max(after, batch.revision)

    def _note_available(self) -> None:
        if self._failures >= FAILURES_OF_TROUBLE:
            log_event(LogEvent.KEY_VALUE_REGAINED)
        self._failures = 0

    def _note_failure(self, error: KeyValueError) -> None:
        self._failures += 1
        if self._failures >= FAILURES_OF_TROUBLE:
            self._registry.note_trouble()
        if self._failures == FAILURES_OF_TROUBLE:
            log_event(LogEvent.KEY_VALUE_UNAVAILABLE, reason=str(error))
