"""Exchange of crash reports between nodes through the store.

Each node writes its crashes and clearings under one key, which every registry view contains. Reports
therefore survive a restart of all nodes, and reach a node after a partition. Writes are conditional
on the revision of the key, so a delayed write cannot overwrite a newer one.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec

from wheelslip.crashes.ledger import MAX_FINGERPRINTS, Crash, CrashLedger, FingerprintStatus
from wheelslip.crashes.report_key import ReportKey
from wheelslip.crashes.reported_crashes import ReportedCrashes
from wheelslip.events import LogEvent, log_event
from wheelslip.registry.interface import KeyValueStore
from wheelslip.registry.registry import Registry

CRASHES_PREFIX = "wheelslip/crashes/"

MAX_REPORTED = 128
"""Maximum number of crashes, and of clearings, in the report of one node. Crashes of the fingerprints
with the fewest crashes are evicted first."""


class CrashReport(msgspec.Struct):
    """Report of one node, oldest entries first.

    :ivar crashes: crashes that the node observed.
    :ivar cleared: crashes that a later completed run at the node has cleared.
    """

    crashes: list[Crash] = []
    cleared: list[Crash] = []


class CrashReports:
    """Writes the report of this node, and records the reports of all nodes in the ledger.

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
        self._registry = registry
        self._ledger = ledger
        self._report_key = ReportKey(self._key, store, registry, random_source, self._encode)
        self._reported: ReportedCrashes[Crash] = ReportedCrashes(
            MAX_REPORTED, lambda fingerprint: len(ledger.crashes(fingerprint))
        )
        self._unreported_clearings: set[str] = set()
        self._logged_refusals: set[str] = set()

    # Observations of this node

    def add(self, crash: Crash) -> None:
        """Record and report a crash that this node observed."""
        self._record_crash(crash)
        self._reported.add(crash)
        self._mark_changed()

    def add_completed_run(self, fingerprint: str) -> None:
        """Clear the crashes of a fingerprint whose request was executed completely at this node.

        For a fingerprint that is not suspected, the clearing is reported with the next write, or
        when another worker crashes under it.
        """
        crashes = self._ledger.crashes(fingerprint)
        is_free = self._ledger.status(fingerprint) is FingerprintStatus.FREE
        self._ledger.clear(crashes)
        for crash in crashes:
            self._reported.clear(crash)
        if is_free:
            self._unreported_clearings.add(fingerprint)
        else:
            log_event(LogEvent.CONTENT_CLEARED, content=fingerprint, ended=len(crashes))
            self._mark_changed()

    def _mark_changed(self) -> None:
        self._report_key.mark_changed()

    # Reports in the registry view

    def entry_changed(self, key: str) -> None:
        """Process a change of a system entry; keys other than crash reports are ignored."""
        if not key.startswith(CRASHES_PREFIX):
            return
        report = self._registry.system_record(key, CrashReport)
        if not isinstance(report, CrashReport):
            report = CrashReport()
        if key == self._key:
            if not self._reported.is_contained_in(report.crashes):
                # The store has returned from a copy without the last report.
                self._mark_changed()
            self._reported.restore(report.crashes, report.cleared)
        for crash in report.crashes:
            self._record_crash(crash)
        self._ledger.clear(report.cleared)

    def _record_crash(self, crash: Crash) -> None:
        fingerprint = crash.fingerprint
        before = self._ledger.status(fingerprint)
        if not self._ledger.record(crash):
            return
        if fingerprint in self._unreported_clearings:
            self._mark_changed()
        if before is FingerprintStatus.REFUSED:
            return
        self._logged_refusals.discard(fingerprint)
        self._log_refusal(fingerprint)
        wait = self._ledger.pending_report_seconds(fingerprint)
        if wait > 0:
            asyncio.get_running_loop().call_later(wait, self._log_refusal, fingerprint)

    def _log_refusal(self, fingerprint: str) -> None:
        """Log once that a fingerprint is refused, if it is."""
        if (
            fingerprint not in self._logged_refusals
            and self._ledger.status(fingerprint) is FingerprintStatus.REFUSED
        ):
            if len(self._logged_refusals) >= MAX_FINGERPRINTS:
                self._logged_refusals.clear()
            self._logged_refusals.add(fingerprint)
            ended = [crash.incarnation for crash in self._ledger.crashes(fingerprint)]
            log_event(LogEvent.CONTENT_REFUSED, content=fingerprint, ended=ended)

    # Writing the report of this node

    async def wait_until_written(self) -> None:
        """Wait until the store has the current report of this node."""
        await self._report_key.wait_until_written()

    async def run(self) -> None:
        """Write the report of this node after each change, until cancelled."""
        await self._report_key.run()

    def _encode(self) -> bytes:
        self._unreported_clearings.clear()
        report = CrashReport(self._reported.crashes(), self._reported.cleared())
        return msgspec.json.encode(report)
