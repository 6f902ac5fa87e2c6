"""What each node tells all others of engines that ended under a content.

Each node keeps one key of the store, which every node's view brings it; so what is known outlives
restarts of all nodes, and reaches a node that was cut off with its next view. Only its own node writes
a key, at a revision it knows, so a write that is carried out late changes nothing.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec

from wheelslip.deployment import Incarnation
from wheelslip.events import LogEvent, log_event
from wheelslip.forwarding.interface import KeyValueStore
from wheelslip.forwarding.registry import Registry
from wheelslip.keyvalue.model import KeyValueError, Put, Transaction, TransactionResult
from wheelslip.routing.crash_ledger import MAX_FINGERPRINTS, Crash, CrashLedger, FingerprintStatus

CRASHES_PREFIX = "wheelslip/crashes/"

MAX_TOLD = 128
"""Most crashes, and most clearings, that a node tells: some 8 KB each. Crashes of contents that
are refused go last."""

GATHER_SECONDS = 0.05
"""Pause before a write, so that the requests which one engine took with it are told by one call."""

RETRY_SECONDS = (0.1, 0.3)
"""Range of the pause after a call that failed; random, so that many nodes do not call together."""


_Key = tuple[str, Incarnation]
"""Names a crash: its content and the start that ended."""


class CrashReport(msgspec.Struct):
    """What one node tells, the oldest first.

    :ivar crashes: that it has seen.
    :ivar cleared: crashes that a whole run at it has cleared.
    """

    crashes: list[Crash] = []
    cleared: list[Crash] = []


class CrashReports:
    """The task that owns this node's key, and takes all nodes' into the ledger.

    :param node: name of this node, the same after a restart.
    """

    def __init__(
        self,
        node: str,
        store: KeyValueStore,
        registry: Registry,
        ledger: CrashLedger,
        clock: Callable[[], float],
        random_source: random.Random,
    ):
        self._key = CRASHES_PREFIX + node
        self._store = store
        self._registry = registry
        self._ledger = ledger
        self._random = random_source
        self._crashes: dict[_Key, Crash] = {}
        self._cleared: dict[_Key, Crash] = {}
        self._untold: set[str] = set()
        self._logged: set[str] = set()
        self._changed = asyncio.Event()
        self._written = asyncio.Event()
        self._written.set()

    # What this node learns itself

    def add(self, crash: Crash) -> None:
        """Take a crash that this node has seen, and tell it."""
        self._take(crash)
        self._crashes[crash[:2]] = crash
        self._forget_least()
        self._mark_changed()

    def add_whole_run(self, content: str) -> None:
        """A request of a content has run whole here: what it was suspected of is cleared.

        That of a free content is told with the next write only, or once another engine ends under it.
        """
        crashes = self._ledger.crashes(content)
        is_free = self._ledger.status(content) is FingerprintStatus.FREE
        self._ledger.clear(crashes)
        for one in crashes:
            self._cleared[one[:2]] = one
        self._forget_least()
        if is_free:
            self._untold.add(content)
        else:
            log_event(LogEvent.CONTENT_CLEARED, content=content, ended=len(crashes))
            self._mark_changed()

    def _mark_changed(self) -> None:
        self._written.clear()
        self._changed.set()

    def _forget_least(self) -> None:
        while len(self._cleared) > MAX_TOLD:
            del self._cleared[next(iter(self._cleared))]
        while len(self._crashes) > MAX_TOLD:
            del self._crashes[min(self._crashes, key=self._weight)]

    def _weight(self, key: _Key) -> int:
        return len(self._ledger.crashes(key[0]))

    # What the view brings

    def entry_changed(self, key: str) -> None:
        """Take a change of one of the system's own keys into account."""
        if not key.startswith(CRASHES_PREFIX):
            return
        report = self._registry.system_record(key, CrashReport)
        if report is None:
            return
        if key == self._key:
            # After a restart: what the process before this one told is not to be lost.
            self._crashes = {one[:2]: one for one in report.crashes} | self._crashes
            self._cleared = {one[:2]: one for one in report.cleared} | self._cleared
            self._forget_least()
        self._take_report(report)

    def _take_report(self, report: CrashReport) -> None:
        for one in report.crashes:
            self._take(one)
        self._ledger.clear(report.cleared)

    def _take(self, crash: Crash) -> None:
        content = crash.fingerprint
        before = self._ledger.status(content)
        if not self._ledger.record(crash):
            return
        if content in self._untold:
            self._mark_changed()
        if before is FingerprintStatus.REFUSED:
            return
        self._logged.discard(content)
        self._log_verdict(content)
        wait = self._ledger.pending_report_seconds(content)
        if wait > 0:
            asyncio.get_running_loop().call_later(wait, self._log_verdict, content)

    def _log_verdict(self, content: str) -> None:
        if (
            content not in self._logged
            and self._ledger.status(content) is FingerprintStatus.REFUSED
        ):
            if len(self._logged) >= MAX_FINGERPRINTS:
                self._logged.clear()
            self._logged.add(content)
            ended = [one.incarnation for one in self._ledger.crashes(content)]
            log_event(LogEvent.CONTENT_REFUSED, content=content, ended=ended)

    # Telling

    async def written(self) -> None:
        """Wait until the store has what this node has to tell."""
        await self._written.wait()

    async def run(self) -> None:
        """Write this node's key whenever there is news, for ever."""
        while True:
            await self._changed.wait()
            await asyncio.sleep(GATHER_SECONDS)
            self._changed.clear()
            try:
                await self._write()
            except KeyValueError as exc:
                log_event(LogEvent.LEASE_CALL_FAILED, duty=self._key, reason=str(exc))
                self._changed.set()
                await asyncio.sleep(self._random.uniform(*RETRY_SECONDS))

    async def _write(self) -> None:
        entry = self._registry.system_entry(self._key)
        revision = entry[1] if entry else 0
        result = await self._put(revision)
        if not result.succeeded:
            # The view is behind this node's last write, or the key of the process before is not in it.
            revision = self._adopt(result)
            result = await self._put(revision)
        if not result.succeeded:
            self._changed.set()
        elif not self._changed.is_set():
            self._written.set()

    def _adopt(self, result: TransactionResult) -> int:
        """Take what stands under the key, and return its revision; 0 when nothing does."""
        for found in result.conflicting:
            if found.key == self._key:
                self._registry.apply(found.key, found.value, found.mod_revision)
                return found.mod_revision
        return 0

    async def _put(self, revision: int) -> TransactionResult:
        self._untold.clear()
        report = CrashReport(list(self._crashes.values()), list(self._cleared.values()))
        put = Put(self._key, msgspec.json.encode(report))
        return await self._store.transact(Transaction({self._key: revision}, (put,), (self._key,)))
