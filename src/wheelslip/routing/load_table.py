"""Loads of workers and saved prompts as reported by other nodes. Pure state, no I/O.

Each node reports its loads to the relay of its zone with every poll. The relays send each other
the totals of their zones, and each poll response contains the total over all other nodes. Reports
expire, and only the selection of a worker depends on them.
"""

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from wheelslip.deployment import Incarnation
from wheelslip.routing.caches.saved_prompts import SavedPrompts

REPORT_TTL_SECONDS = 1.2
"""Time after which a load report expires."""

MAX_SOURCES = 1024

TOTALS_TTL_SECONDS = 0.05
"""Time for which cached totals over all sources are used unless a new report arrives."""


class LoadAtWorker(NamedTuple):
    """Load of one worker by the requests of one or more nodes.

    :ivar running: number of requests at the worker.
    :ivar prefill_tokens: prompt tokens still to be computed, of requests without a first token.
    :ivar held_tokens: KV cache tokens that the requests need until they end.
    """

    worker: Incarnation
    running: int
    prefill_tokens: int
    held_tokens: int = 0


class ZoneLoads(NamedTuple):
    """Part of the total of one zone, sent by its relay to the other relays.

    :ivar part: number of the part; each datagram carries one.
    :ivar incarnation: random number drawn at each start of the relay.
    :ivar sequence: increases with each report of an incarnation.
    :ivar saved: keys of recently saved prompts, in the first part.
    """

    zone: str
    part: int
    incarnation: int
    sequence: int
    loads: list[LoadAtWorker]
    saved: list[int] = []


class _Report(NamedTuple):
    expires_at: float
    loads: list[LoadAtWorker]
    incarnation: int = 0
    sequence: int = 0


class LoadTable:
    """The latest loads reported by each source.

    :ivar saved: prompts that this node and others have saved.
    """

    def __init__(self):
        self.saved = SavedPrompts()
        self._reports: dict[str, _Report] = {}
        self._zone_reports: dict[str, _Report] = {}
        self._totals: dict[Incarnation, LoadAtWorker] = {}
        self._totals_expire_at = float("-inf")

    def record_loads(self, source: str, loads: list[LoadAtWorker], now: float) -> None:
        """Record a report of the relay or of a node of the own zone."""
        self._put(self._reports, source, _Report(now + REPORT_TTL_SECONDS, loads))

    def record_zone_loads(self, report: ZoneLoads, now: float) -> None:
        """Record a part of another zone's total; reports that arrive out of order are ignored."""
        self.saved.merge(report.saved, now)
        source = f"{report.zone}/{report.part}"
        previous = self._zone_reports.get(source)
        same_relay = previous is not None and previous.incarnation == report.incarnation
        if same_relay and report.sequence <= previous.sequence:
            return
        expires_at = now + REPORT_TTL_SECONDS
        entry = _Report(expires_at, report.loads, report.incarnation, report.sequence)
        self._put(self._zone_reports, source, entry)

    def _put(self, reports: dict[str, _Report], source: str, report: _Report) -> None:
        if source in reports or len(reports) < MAX_SOURCES:
            reports[source] = report
            self._totals_expire_at = float("-inf")

    def drop_expired(self, now: float) -> None:
        """Delete expired reports."""
        self._reports = {
            source: report for source, report in self._reports.items() if now < report.expires_at
        }
        self._zone_reports = {
            source: report
            for source, report in self._zone_reports.items()
            if now < report.expires_at
        }

    def zone_total(self, now: float, own: list[LoadAtWorker]) -> list[LoadAtWorker]:
        """Return the total of this node's loads and those of its zone."""
        return _total([own, *_unexpired(self._reports, now)])

    def total_without(
        self, now: float, own: list[LoadAtWorker], excluded: str
    ) -> list[LoadAtWorker]:
        """Return the total over all nodes except one.

        :param excluded: source name of that node.
        """
        return _total(
            [own, *_unexpired(self._reports, now, excluded), *_unexpired(self._zone_reports, now)]
        )

    def at_worker(self, worker: Incarnation, now: float) -> LoadAtWorker:
        """Return the load of a worker by the requests of all other nodes."""
        if now >= self._totals_expire_at:
            reports = [*_unexpired(self._reports, now), *_unexpired(self._zone_reports, now)]
            self._totals = {load.worker: load for load in _total(reports)}
            self._totals_expire_at = now + TOTALS_TTL_SECONDS
        return self._totals.get(worker) or LoadAtWorker(worker, 0, 0)


def _unexpired(
    reports: dict[str, _Report], now: float, excluded: str | None = None
) -> list[list[LoadAtWorker]]:
    return [
        report.loads
        for source, report in reports.items()
        if now < report.expires_at and source != excluded
    ]


def _total(reports: Iterable[list[LoadAtWorker]]) -> list[LoadAtWorker]:
    running: defaultdict[Incarnation, int] = defaultdict(int)
    prefill_tokens: defaultdict[Incarnation, int] = defaultdict(int)
    held_tokens: defaultdict[Incarnation, int] = defaultdict(int)
    for loads in reports:
        for load in loads:
            running[load.worker] += load.running
            prefill_tokens[load.worker] += load.prefill_tokens
            held_tokens[load.worker] += load.held_tokens
    return [
        LoadAtWorker(worker, count, prefill_tokens[worker], held_tokens[worker])
        for worker, count in running.items()
    ]
