"""Crash reports of a node are bounded, survive restarts and are not overwritten by delayed writes."""

import asyncio
import random

import msgspec
import pytest

from wheelslip.crashes import reports as crash_reports
from wheelslip.crashes.ledger import Crash, CrashLedger, FingerprintStatus
from wheelslip.crashes.reports import CRASHES_PREFIX, CrashReport, CrashReports
from wheelslip.deployment import Incarnation
from wheelslip.events import LogEvent
from wheelslip.keyvalue.model import (
    KeyValue,
    KeyValueOutcomeUnknown,
    Transaction,
    TransactionResult,
)

KEY = CRASHES_PREFIX + "n1"


def crash(number: int, fingerprint: str = "c") -> Crash:
    return Crash(fingerprint, Incarnation(f"i-{number}/7"), number >= 2)


class Store:
    """Store with one key and conditional writes.

    :ivar responses_to_lose: number of writes that are executed but raise an error.
    """

    def __init__(self):
        self.entry = (b"", 0)
        self.revision = 10
        self.responses_to_lose = 0
        self.writes = 0

    async def transact(self, transaction: Transaction) -> TransactionResult:
        value, revision = self.entry
        if transaction.expected[KEY] != revision:
            conflicting = (KeyValue(KEY, value, revision),) if revision else ()
            return TransactionResult(False, 0, conflicting)
        self.revision += 1
        self.writes += 1
        self.entry = (transaction.changes[0].value, self.revision)
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            raise KeyValueOutcomeUnknown("lost")
        return TransactionResult(True, self.revision)

    def report(self) -> CrashReport:
        return msgspec.json.decode(self.entry[0], type=CrashReport)


class Node:
    """Process of a node with its own ledger and view."""

    def __init__(self, store, registry, clock, name="n1"):
        self.ledger = CrashLedger(clock)
        self.reports = CrashReports(name, store, registry, self.ledger, clock, random.Random(1))
        registry.on_system_entry = self.reports.entry_changed

    async def write_report(self) -> None:
        task = asyncio.create_task(self.reports.run())
        async with asyncio.timeout(10):
            await self.reports.wait_until_written()
        task.cancel()


@pytest.fixture
def store():
    return Store()


@pytest.fixture
def node(store, registry, clock):
    return Node(store, registry, clock)


def test_simultaneous_crashes_are_written_in_one_call(node, store):
    for number in range(5):
        node.reports.add(crash(1, f"c{number}"))
    asyncio.run(node.write_report())
    assert store.writes == 1 and len(store.report().crashes) == 5


def test_write_with_lost_response_is_retried(node, store):
    store.responses_to_lose = 2
    node.reports.add(crash(1))
    asyncio.run(node.write_report())
    assert store.report().crashes == [crash(1)]


def test_restarted_node_keeps_reported_crashes_missing_in_its_view(node, store):
    store.entry = (msgspec.json.encode(CrashReport([crash(1), crash(2)], [])), 10)
    node.reports.add(crash(3))
    asyncio.run(node.write_report())
    assert set(store.report().crashes) == {crash(1), crash(2), crash(3)}
    assert node.ledger.status("c") is FingerprintStatus.REFUSED


def test_reports_in_view_are_applied_and_unreadable_ones_ignored(node, registry):
    registry.apply(CRASHES_PREFIX + "n2", b"[" * 100, 11)
    for number in range(3):
        report = CrashReport([crash(number)], [])
        registry.apply(f"{CRASHES_PREFIX}n{number + 3}", msgspec.json.encode(report), 12 + number)
    assert node.ledger.status("c") is FingerprintStatus.REFUSED


def test_completed_run_of_free_fingerprint_is_written_after_another_crash(node, store, registry):
    async def run_and_crash():
        node.reports.add(crash(1))
        await node.write_report()
        node.reports.add_completed_run("c")
        await node.write_report()
        assert store.writes == 1
        report = CrashReport([crash(1), crash(2)], [])
        registry.apply(f"{CRASHES_PREFIX}x", msgspec.json.encode(report), 30)
        await node.write_report()

    asyncio.run(run_and_crash())
    assert store.report().cleared == [crash(1)]


def test_report_is_bounded_and_refused_fingerprint_is_evicted_last(node, store, monkeypatch):
    monkeypatch.setattr(node.reports._reported, "_maximum", 20)
    for number in range(3):
        node.reports.add(crash(number))
    for number in range(100):
        node.reports.add(crash(1, f"flood-{number}"))
    asyncio.run(node.write_report())
    reported = store.report().crashes
    assert len(reported) == 20
    assert [entry for entry in reported if entry.fingerprint == "c"] == [
        crash(0),
        crash(1),
        crash(2),
    ]


def test_refusal_is_logged_once(store, registry, clock, monkeypatch):
    """Guards against a second log line when the wait for other reports is over."""
    node = Node(store, registry, clock)
    logged = []
    monkeypatch.setattr(crash_reports, "log_event", lambda event, **fields: logged.append(event))

    async def crash_three_times() -> None:
        monkeypatch.setattr(node.ledger, "pending_report_seconds", lambda fingerprint: 0.001)
        for number in range(1, 4):
            node.reports.add(crash(number))
        await asyncio.sleep(0.05)

    asyncio.run(crash_three_times())
    assert logged == [LogEvent.CONTENT_REFUSED]
