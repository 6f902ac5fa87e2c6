"""Exchange of crashes by prompt part between nodes through the store.

Each node writes what it observed under one key, which every registry view contains.
"""

import random
from collections.abc import Iterable

import msgspec

from wheelslip.crashes.part_ledger import PartCrash, PartLedger
from wheelslip.crashes.report_key import ReportKey
from wheelslip.crashes.reported_crashes import ReportedCrashes
from wheelslip.deployment import Incarnation
from wheelslip.events import LogEvent, log_event
from wheelslip.registry.interface import KeyValueStore
from wheelslip.registry.registry import Registry

PARTS_PREFIX = "wheelslip/parts/"

MAX_REPORTED = 512
"""Maximum number of crashes, and of clearings, in the report of one node: some 12 KB each. Those of
the parts with the fewest crashes are evicted first."""

MIN_WRITTEN_CLEARING = 2
"""Number of uncleared crashes from which a clearing is reported at once rather than with the next
write."""

MAX_NAMED_PARTS = 1024
"""Maximum number of parts whose names this node remembers for the log."""


class PartReport(msgspec.Struct):
    """Report of one node: keys of parts by the incarnation that crashed.

    :ivar crashes: parts of the requests that were lost there.
    :ivar trials: those of them that were on trial.
    :ivar cleared: parts that were answered completely later.
    :ivar tried: fingerprint of the request on trial.
    """

    crashes: dict[Incarnation, list[str]] = {}
    trials: dict[Incarnation, list[str]] = {}
    cleared: dict[Incarnation, list[str]] = {}
    tried: dict[Incarnation, str] = {}


class PartReports:
    """Writes the report of this node, and records the reports of all nodes in the ledger.

    :param node: name of this node, the same after a restart.
    """

    def __init__(
        self,
        node: str,
        store: KeyValueStore,
        registry: Registry,
        ledger: PartLedger,
        random_source: random.Random,
    ):
        self._registry = registry
        self._ledger = ledger
        self._report_key = ReportKey(
            PARTS_PREFIX + node, store, registry, random_source, self._encode
        )
        self._reported: ReportedCrashes[PartCrash] = ReportedCrashes(
            MAX_REPORTED, lambda key: len(ledger.crashes(key))
        )
        self._names: dict[str, str] = {}
        self._logged_refusals: set[str] = set()
        self.run = self._report_key.run
        self.wait_until_written = self._report_key.wait_until_written

    def add(self, crashes: Iterable[PartCrash]) -> None:
        """Record and report crashes that this node observed."""
        for crash in crashes:
            self._ledger.record(crash)
            self._reported.add(crash)
        self._report_key.mark_changed()
        self._log_refusals()

    def add_answer(self, keys: Iterable[str]) -> None:
        """Clear the crashes of the parts of a request that this node has answered completely."""
        is_written = False
        for crash in self._ledger.record_answer(keys):
            self._reported.clear(crash)
            count = sum(each.key == crash.key for each in self._reported.cleared())
            is_written = is_written or count >= MIN_WRITTEN_CLEARING
        if is_written:
            self._report_key.mark_changed()

    def name(self, key: str, part_id: str) -> None:
        """Remember the name of a part for the log."""
        self._names.pop(key, None)
        self._names[key] = part_id
        if len(self._names) > MAX_NAMED_PARTS:
            del self._names[next(iter(self._names))]

    def entry_changed(self, key: str) -> None:
        """Process a change of a system entry; keys other than part reports are ignored."""
        if not key.startswith(PARTS_PREFIX):
            return
        report = self._registry.system_record(key, PartReport)
        crashes, cleared = _decode(report) if isinstance(report, PartReport) else ([], [])
        if key == self._report_key.key:
            if not self._reported.is_contained_in(crashes):
                # The store has returned from a copy without the last report.
                self._report_key.mark_changed()
            self._reported.restore(crashes, cleared)
        for crash in crashes:
            self._ledger.record(crash)
        if cleared:
            self._ledger.clear(cleared)
        self._log_refusals()

    def _log_refusals(self) -> None:
        """Log each part once when it begins to be refused."""
        refused = self._ledger.refused_keys()
        for key in sorted(refused - self._logged_refusals):
            log_event(
                LogEvent.PROMPT_PART_REFUSED,
                part=self._names.get(key),
                content=key,
                ended=[crash.incarnation for crash in self._ledger.crashes(key)],
            )
        self._logged_refusals = refused

    def _encode(self) -> bytes:
        crashes = self._reported.crashes()
        report = PartReport(
            _by_incarnation(crashes),
            _by_incarnation(crash for crash in crashes if crash.tried),
            _by_incarnation(self._reported.cleared()),
            {crash.incarnation: crash.tried for crash in crashes if crash.tried},
        )
        return msgspec.json.encode(report)


def _by_incarnation(crashes: Iterable[PartCrash]) -> dict[Incarnation, list[str]]:
    keys: dict[Incarnation, list[str]] = {}
    for crash in crashes:
        keys.setdefault(crash.incarnation, []).append(crash.key)
    return keys


def _decode(report: PartReport) -> tuple[list[PartCrash], list[PartCrash]]:
    """Return the crashes of a report and those that are cleared."""
    crashes = [
        PartCrash(key, incarnation, _tried(report, key, incarnation))
        for incarnation, keys in report.crashes.items()
        for key in keys
    ]
    cleared = [
        PartCrash(key, incarnation) for incarnation, keys in report.cleared.items() for key in keys
    ]
    return crashes, cleared


def _tried(report: PartReport, key: str, incarnation: Incarnation) -> str:
    """Return the fingerprint of the request that was on trial for a part, empty if none was.

    Reports of older builds lack it; each of their trials counts as one of another request.
    """
    if key not in report.trials.get(incarnation, ()):
        return ""
    return report.tried.get(incarnation, incarnation)
