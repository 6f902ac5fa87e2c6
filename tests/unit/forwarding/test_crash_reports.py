"""What a node tells of crashes: bounded, kept over restarts, and written past late calls."""

import asyncio
import random

import msgspec
import pytest

from wheelslip.deployment import Incarnation
from wheelslip.events import LogEvent
from wheelslip.forwarding import crash_reports
from wheelslip.forwarding.crash_reports import CRASHES_PREFIX, CrashReport, CrashReports
from wheelslip.keyvalue.model import (
    KeyValue,
    KeyValueOutcomeUnknown,
    Transaction,
    TransactionResult,
)
from wheelslip.routing.crash_ledger import Crash, CrashLedger, FingerprintStatus

KEY = CRASHES_PREFIX + "n1"


def crash(number: int, content: str = "c") -> Crash:
    return Crash(content, Incarnation(f"i-{number}/7"), number >= 2)


class Store:
    """One key with compare-and-swap.

    :ivar lose: do that many writes and lose their answers.
    """

    def __init__(self):
        self.entry = (b"", 0)
        self.revision = 10
        self.lose = 0
        self.writes = 0

    async def transact(self, transaction: Transaction) -> TransactionResult:
        value, revision = self.entry
        if transaction.expected[KEY] != revision:
            found = (KeyValue(KEY, value, revision),) if revision else ()
            return TransactionResult(False, 0, found)
        self.revision += 1
        self.writes += 1
        self.entry = (transaction.changes[0].value, self.revision)
        if self.lose:
            self.lose -= 1
            raise KeyValueOutcomeUnknown("lost")
        return TransactionResult(True, self.revision)

    def report(self) -> CrashReport:
        return msgspec.json.decode(self.entry[0], type=CrashReport)


class Node:
    """One process of a node, with its own view."""

    def __init__(self, store, registry, clock, name="n1"):
        self.ledger = CrashLedger(clock)
        self.reports = CrashReports(name, store, registry, self.ledger, clock, random.Random(1))
        registry.on_system_entry = self.reports.entry_changed

    async def told(self) -> None:
        task = asyncio.create_task(self.reports.run())
        async with asyncio.timeout(10):
            await self.reports.written()
        task.cancel()


@pytest.fixture
def store():
    return Store()


@pytest.fixture
def node(store, registry, clock):
    return Node(store, registry, clock)


def test_crashes_of_one_moment_are_told_by_one_call(node, store):
    for number in range(5):
        node.reports.add(crash(1, f"c{number}"))
    asyncio.run(node.told())
    assert store.writes == 1 and len(store.report().crashes) == 5


def test_a_write_whose_answer_was_lost_is_repeated_and_loses_nothing(node, store):
    store.lose = 2
    node.reports.add(crash(1))
    asyncio.run(node.told())
    assert store.report().crashes == [crash(1)]


def test_a_node_that_starts_again_keeps_what_it_told_before_its_view_shows_it(node, store):
    store.entry = (msgspec.json.encode(CrashReport([crash(1), crash(2)], [])), 10)
    node.reports.add(crash(3))
    asyncio.run(node.told())
    assert set(store.report().crashes) == {crash(1), crash(2), crash(3)}
    assert node.ledger.status("c") is FingerprintStatus.REFUSED


def test_other_nodes_crashes_come_with_the_view_and_spoilt_keys_do_no_harm(node, registry):
    registry.apply(CRASHES_PREFIX + "n2", b"[" * 100, 11)
    for number in range(3):
        report = CrashReport([crash(number)], [])
        registry.apply(f"{CRASHES_PREFIX}n{number + 3}", msgspec.json.encode(report), 12 + number)
    assert node.ledger.status("c") is FingerprintStatus.REFUSED


def test_a_whole_run_of_a_free_content_is_told_once_another_engine_ends_under_it(
    node, store, registry
):
    async def history():
        node.reports.add(crash(1))
        await node.told()
        node.reports.add_whole_run("c")
        await node.told()
        assert store.writes == 1
        report = CrashReport([crash(1), crash(2)], [])
        registry.apply(f"{CRASHES_PREFIX}x", msgspec.json.encode(report), 30)
        await node.told()

    asyncio.run(history())
    assert store.report().cleared == [crash(1)]


def test_what_is_told_is_bounded_and_a_verdict_goes_last(node, store, monkeypatch):
    monkeypatch.setattr(crash_reports, "MAX_TOLD", 20)
    for number in range(3):
        node.reports.add(crash(number))
    for number in range(100):
        node.reports.add(crash(1, f"flood-{number}"))
    asyncio.run(node.told())
    told = store.report().crashes
    assert len(told) == 20
    assert [one for one in told if one.fingerprint == "c"] == [crash(0), crash(1), crash(2)]


def test_a_verdict_is_logged_once(store, registry, clock, monkeypatch):
    """It was logged at once and again when the wait for news was over."""
    node = Node(store, registry, clock)
    logged = []
    monkeypatch.setattr(crash_reports, "log_event", lambda event, **fields: logged.append(event))

    async def crash_three_times() -> None:
        monkeypatch.setattr(node.ledger, "pending_report_seconds", lambda content: 0.001)
        for number in range(1, 4):
            node.reports.add(crash(number))
        await asyncio.sleep(0.05)

    asyncio.run(crash_three_times())
    assert logged == [LogEvent.CONTENT_REFUSED]
