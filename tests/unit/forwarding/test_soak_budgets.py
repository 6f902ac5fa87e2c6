"""Tests of the checks of retries in randomised runs: each kind of violation is detected."""

import pytest

from bench.forwarding.budgets import (
    MAX_EXTENDED_REQUESTS,
    MAX_REQUESTS_ABOVE_ATTEMPTS,
    RETRY_RATIO,
    RETRY_RESERVE,
    RETRY_WINDOW_SECONDS,
    BudgetChecker,
)
from bench.forwarding.judge import RunChecker
from bench.forwarding.record import Call, Component, Disruption, Record
from standins.platform_worker import HandedOn, PlatformWorker, Run

SENT_AT = 100.0
REQUESTS = 200
MAX_RETRIES = int(RETRY_RATIO * REQUESTS + RETRY_RESERVE)


@pytest.fixture
def record():
    run_record = Record(began_at=0.0)
    for name in ("p0", "p1", "p2"):
        run_record.workers[name] = PlatformWorker(name)
    run_record.workers["e0"] = PlatformWorker("e0", model="m")
    return run_record


def record_call(record, request_id, path="/safe/x", sent_at=SENT_AT, deadline_ms=0):
    call = Call("n0", request_id, path, "k", sent_at, sent_at + 3.0, 200, b"", True)
    record.calls.append(call._replace(deadline_ms=deadline_ms))


def record_send(record, request_id, worker="p0", at=SENT_AT, deadline_ms=3000):
    record.workers[worker].arrivals.append((request_id, at))
    record.workers[worker].handed_on.append(HandedOn(request_id, at, deadline_ms))
    record.workers[worker].runs.append(Run(request_id, None, 1, began_at=at))


def check(record) -> list[str]:
    BudgetChecker(record, RunChecker(record)).check()
    return record.violations


def record_retries(record, count, at, first=0, worker="p0"):
    for number in range(first, first + count):
        record_send(record, f"r{number}", worker, at)


@pytest.mark.parametrize("more", [0, 1])
def test_retries_of_a_window_above_the_ratio_are_a_violation(record, more):
    for number in range(REQUESTS):
        record_call(record, f"r{number}")
    record_retries(record, MAX_RETRIES + more, SENT_AT + 0.1)
    record_retries(record, MAX_RETRIES + more, SENT_AT + 0.2)
    assert len(check(record)) == more


def test_retries_in_two_windows_are_counted_apart(record):
    for number in range(REQUESTS):
        record_call(record, f"r{number}")
    record_retries(record, REQUESTS, SENT_AT)
    half = REQUESTS // 2
    record_retries(record, half - 10, SENT_AT + 0.1)
    record_retries(record, half - 10, SENT_AT + 0.2 + RETRY_WINDOW_SECONDS, first=half)
    assert not any("retries" in violation for violation in check(record))


def test_requests_of_the_window_before_allow_retries(record):
    for number in range(REQUESTS):
        record_call(record, f"r{number}")
    record_retries(record, MAX_RETRIES, SENT_AT)
    record_retries(record, MAX_RETRIES, SENT_AT + 1.9 * RETRY_WINDOW_SECONDS)
    assert not any("retries" in violation for violation in check(record))


def test_retries_of_another_service_have_their_own_sum(record):
    for number in range(MAX_RETRIES):
        record_call(record, f"r{number}", "/resumed/x")
    record_retries(record, MAX_RETRIES, SENT_AT, worker="e0")
    record_retries(record, MAX_RETRIES, SENT_AT + 0.1, worker="e0")
    (violation,) = check(record)
    assert "retries of engines" in violation


@pytest.mark.parametrize("more", [0, 1])
def test_requests_that_run_at_too_many_workers_are_a_violation(record, more):
    for number in range(MAX_REQUESTS_ABOVE_ATTEMPTS + more):
        record_call(record, f"r{number}")
        for worker in ("p0", "p1", "p2"):
            record_send(record, f"r{number}", worker)
    assert len(check(record)) == more


def test_workers_that_ended_are_not_counted_as_attempts(record):
    for number in range(MAX_REQUESTS_ABOVE_ATTEMPTS + 1):
        record_call(record, f"r{number}")
        for worker in ("p0", "p1", "p2"):
            record_send(record, f"r{number}", worker)
    record.disruptions.append(Disruption(Component.WORKER, "p0", SENT_AT + 0.1, SENT_AT + 1.0))
    assert check(record) == []


@pytest.mark.parametrize(
    ("deadline_ms", "is_extended"), [(3000, False), (3400, False), (3600, True), (None, True)]
)
def test_more_time_than_the_caller_gave_is_a_violation(record, deadline_ms, is_extended):
    for number in range(MAX_EXTENDED_REQUESTS + 1):
        record_call(record, f"r{number}", deadline_ms=3000)
        record_send(record, f"r{number}", deadline_ms=deadline_ms)
    assert len(check(record)) == is_extended


@pytest.mark.parametrize(("retry_ms", "is_extended"), [(2400, False), (3000, True)])
@pytest.mark.parametrize("deadline_ms", [0, 3000])
def test_retry_that_may_run_longer_than_the_first_send_is_a_violation(
    record, deadline_ms, retry_ms, is_extended
):
    for number in range(MAX_EXTENDED_REQUESTS + 1):
        record_call(record, f"r{number}", deadline_ms=deadline_ms)
        record_send(record, f"r{number}")
        record_send(record, f"r{number}", "p1", SENT_AT + 0.6, retry_ms)
    assert len(check(record)) == is_extended


def test_deadlines_at_disrupted_nodes_are_not_checked(record):
    for number in range(MAX_EXTENDED_REQUESTS + 1):
        record_call(record, f"r{number}", deadline_ms=3000)
        record_send(record, f"r{number}", deadline_ms=9000)
    record.disruptions.append(Disruption(Component.NODE, "n0", SENT_AT, SENT_AT + 0.1))
    assert check(record) == []
