"""Status of request fingerprints by their crashes, independent of the order of reports."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.unit.forwarding.conftest import Clock
from wheelslip.crashes import ledger as crash_ledger
from wheelslip.crashes.ledger import (
    BASE_REFUSAL_SECONDS,
    MAX_REFUSAL_SECONDS,
    REPORT_WAIT_SECONDS,
    RETENTION_SECONDS,
    Crash,
    CrashLedger,
    FingerprintStatus,
)
from wheelslip.deployment import Incarnation


@pytest.fixture
def ledger(clock):
    return CrashLedger(clock)


def crash(number: int, fingerprint: str = "c", alone: bool | None = None) -> Crash:
    """Return a crash; by default the fingerprint ran alone from the third worker on."""
    return Crash(fingerprint, Incarnation(f"i-{number}/7"), number >= 2 if alone is None else alone)


def test_successive_crashes_lead_from_free_to_trial_to_refused(ledger):
    statuses = []
    for number in range(3):
        ledger.record(crash(number))
        statuses.append(ledger.status("c"))
    assert statuses == [FingerprintStatus.FREE, FingerprintStatus.TRIAL, FingerprintStatus.REFUSED]
    assert ledger.refused_count() == 1


def test_simultaneous_crashes_do_not_refuse_shared_fingerprint(ledger):
    for number in range(9):
        ledger.record(crash(number, alone=False))
    assert ledger.status("c") is FingerprintStatus.TRIAL


def test_recorded_crash_is_updated_when_reported_as_alone(ledger):
    for number in range(3):
        ledger.record(crash(number, alone=False))
    assert ledger.record(crash(2, alone=True))
    assert not ledger.record(crash(2, alone=False))
    assert ledger.status("c") is FingerprintStatus.REFUSED


def test_crash_beside_suspected_fingerprint_refuses_only_after_the_other_is_cleared(ledger):
    """A fingerprint with one crash needs no trial yet, so it can run beside one on trial."""
    for number in (0, 1):
        ledger.record(crash(number))
    ledger.record(crash(5, "beside", alone=False))
    ledger.record(crash(2, "beside", alone=False))
    ledger.record(crash(2))
    assert ledger.status("c") is FingerprintStatus.TRIAL
    ledger.clear(ledger.crashes("beside"))
    assert ledger.status("c") is FingerprintStatus.REFUSED


def test_refusal_waits_for_reports_of_other_nodes(ledger):
    """Other nodes may report a second fingerprint at the crashed worker shortly afterwards."""
    for number in (0, 1):
        ledger.record(crash(number))
    ledger.record(crash(5, "beside", alone=False))
    ledger.record(crash(2))
    assert ledger.status("c") is FingerprintStatus.TRIAL


def test_refusal_applies_after_report_wait_expires(ledger, clock):
    for number in (0, 1):
        ledger.record(crash(number))
    ledger.record(crash(5, "beside", alone=False))
    ledger.record(crash(2))
    assert ledger.pending_report_seconds("c") == REPORT_WAIT_SECONDS
    clock.now += REPORT_WAIT_SECONDS
    assert ledger.pending_report_seconds("c") == 0.0
    assert ledger.status("c") is FingerprintStatus.REFUSED


def test_crash_beside_uncleared_fingerprints_does_not_refuse(ledger, clock):
    """A fingerprint with a single crash can be the cause of the crash of one on trial."""
    for number in (0, 1, 2):
        ledger.record(crash(number))
    ledger.record(crash(2, "harmless", alone=False))
    ledger.record(crash(2, "deadly", alone=False))
    clock.now += REPORT_WAIT_SECONDS
    assert ledger.status("c") is FingerprintStatus.TRIAL
    ledger.clear(ledger.crashes("harmless"))
    assert ledger.status("c") is FingerprintStatus.TRIAL
    ledger.clear(ledger.crashes("deadly"))
    assert ledger.status("c") is FingerprintStatus.REFUSED


def test_clearing_received_before_its_crash_does_not_delay_refusal(ledger):
    """Nodes that receive a clearing before and after its crash must reach the same status."""
    ledger.clear([crash(2, "beside")])
    ledger.record(crash(2, "beside"))
    ledger.record(crash(5, "beside"))
    for number in (0, 1, 2):
        ledger.record(crash(number))
    assert ledger.status("c") is FingerprintStatus.REFUSED


def test_second_crash_alone_refuses_regardless_of_other_fingerprints(ledger):
    for number in (0, 2, 3):
        ledger.record(crash(number))
        ledger.record(crash(number, "beside", alone=False))
    assert ledger.status("c") is FingerprintStatus.REFUSED
    assert ledger.status("beside") is FingerprintStatus.TRIAL


def test_harmless_trials_beside_a_cause_that_is_not_suspected_yet_do_not_refuse(ledger, clock):
    """Other nodes sent the crashing content to the workers of two trials of a popular one."""
    ledger.record(crash(1, "popular", alone=False))
    for number in (2, 3):
        ledger.record(crash(number, "popular"))
        ledger.record(crash(number, "deadly", alone=False))
    ledger.record(crash(4, "deadly", alone=False))
    clock.now += REPORT_WAIT_SECONDS
    assert ledger.status("popular") is FingerprintStatus.TRIAL
    ledger.record(crash(5, "deadly"))
    clock.now += REPORT_WAIT_SECONDS
    assert ledger.status("deadly") is FingerprintStatus.REFUSED


def test_content_lost_beside_two_deadly_ones_is_not_refused(ledger, clock):
    """Each of its crashes was beside one of them, and they had not been lost without it yet."""
    for number, deadly in ((1, "first"), (2, "second"), (3, "second"), (4, "first")):
        ledger.record(crash(number, "popular", alone=number in (3, 4)))
        ledger.record(crash(number, deadly, alone=False))
    clock.now += REPORT_WAIT_SECONDS
    assert ledger.status("popular") is FingerprintStatus.TRIAL


def test_deadly_content_beside_two_popular_ones_is_refused_at_its_third_crash_alone(ledger, clock):
    """Its history until the second one is also that of a popular content beside two deadly ones."""
    for number, popular in ((1, "first"), (2, "second"), (3, "second"), (4, "first")):
        ledger.record(crash(number, alone=number in (3, 4)))
        ledger.record(crash(number, popular, alone=False))
    clock.now += REPORT_WAIT_SECONDS
    assert ledger.status("c") is FingerprintStatus.TRIAL
    ledger.record(crash(5))
    ledger.record(crash(5, "first", alone=False))
    assert ledger.status("c") is FingerprintStatus.REFUSED
    assert ledger.status("first") is FingerprintStatus.TRIAL


def test_third_crash_alone_refuses_whatever_else_was_lost(ledger):
    """The crashing content reaches workers a limited number of times beside a popular one."""
    ledger.record(crash(1, "popular", alone=False))
    for number in (2, 3, 4):
        assert ledger.status("c") is not FingerprintStatus.REFUSED
        ledger.record(crash(number))
        ledger.record(crash(number, "popular", alone=False))
    assert ledger.status("c") is FingerprintStatus.REFUSED
    assert ledger.status("popular") is FingerprintStatus.TRIAL


def test_crash_reported_by_two_nodes_counts_once(ledger):
    assert ledger.record(crash(1)) and not ledger.record(crash(1))
    assert ledger.status("c") is FingerprintStatus.FREE


def test_completed_run_clears_only_earlier_crashes(ledger):
    for number in range(3):
        ledger.record(crash(number))
    ledger.clear(ledger.crashes("c"))
    assert ledger.status("c") is FingerprintStatus.FREE and ledger.refused_count() == 0
    for number in range(10, 13):
        ledger.record(crash(number))
    assert ledger.status("c") is FingerprintStatus.REFUSED


def test_clearing_received_before_its_crash_applies(ledger):
    ledger.clear([crash(1)])
    assert not ledger.record(crash(1))
    assert ledger.crashes("c") == []


def test_refusal_expires_to_trial_and_doubles_after_another_crash(ledger, clock):
    for number in range(3):
        ledger.record(crash(number))
    assert ledger.refused_seconds("c") == BASE_REFUSAL_SECONDS
    clock.now += BASE_REFUSAL_SECONDS
    assert ledger.status("c") is FingerprintStatus.TRIAL
    ledger.record(crash(4))
    assert ledger.status("c") is FingerprintStatus.REFUSED
    assert ledger.refused_seconds("c") == 2 * BASE_REFUSAL_SECONDS
    for number in range(5, 12):
        ledger.record(crash(number))
    assert ledger.refused_seconds("c") == MAX_REFUSAL_SECONDS
    clock.now += MAX_REFUSAL_SECONDS
    ledger.clear(ledger.crashes("c"))
    assert ledger.status("c") is FingerprintStatus.FREE


def test_fingerprint_without_recent_crash_is_evicted(ledger, clock):
    for number in range(3):
        ledger.record(crash(number))
    clock.now += RETENTION_SECONDS + 1
    ledger.record(crash(1, "other"))
    assert len(ledger) == 1


def test_flood_of_new_fingerprints_does_not_evict_refused_one(ledger, clock, monkeypatch):
    monkeypatch.setattr(crash_ledger, "MAX_FINGERPRINTS", 50)
    for number in range(3):
        ledger.record(crash(number))
    clock.now += REPORT_WAIT_SECONDS
    for number in range(500):
        ledger.record(crash(number, f"flood-{number}"))
    assert len(ledger) == 50
    assert ledger.status("c") is FingerprintStatus.REFUSED


REPORT = st.tuples(st.booleans(), st.sampled_from("ab"), st.integers(0, 4))


def ledger_with(reports) -> CrashLedger:
    ledger = CrashLedger(Clock())
    for is_clearing, fingerprint, number in reports:
        if is_clearing:
            ledger.clear([crash(number, fingerprint)])
        else:
            ledger.record(crash(number, fingerprint))
    return ledger


@given(st.lists(REPORT, max_size=30), st.randoms())
def test_reports_in_any_order_give_same_status(reports, random_source):
    shuffled = [*reports, *reports[:5]]
    random_source.shuffle(shuffled)
    first, second = ledger_with(reports), ledger_with(shuffled)
    for fingerprint in "ab":
        assert first.status(fingerprint) is second.status(fingerprint)
        assert set(first.crashes(fingerprint)) == set(second.crashes(fingerprint))
