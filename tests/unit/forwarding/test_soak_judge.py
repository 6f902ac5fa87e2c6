"""Tests of the checks of randomised forwarding runs: each kind of violation is detected."""

import time

import pytest

from bench.forwarding.crests import CrestChecker
from bench.forwarding.crowds import MIN_CALLS, Crowd, CrowdChecker
from bench.forwarding.judge import (
    CONTACT_SECONDS,
    DRAIN_SECONDS,
    ROUTE_TIMEOUT_SECONDS,
    STREAM_EVENTS,
    WEIGHTS_DEADLINE_SECONDS,
    RunChecker,
)
from bench.forwarding.limits import LimitChecker
from bench.forwarding.notices import NoticeChecker
from bench.forwarding.record import (
    AnnouncedLimit,
    Call,
    Component,
    Departure,
    DesiredVersion,
    Disruption,
    NodeOutage,
    PathCut,
    ProcessStart,
    Record,
    Revocation,
)
from bench.forwarding.soak import Soak, SoakOptions
from standins.platform_worker import BackoffRequest, PlatformWorker, Run


@pytest.fixture
def record():
    run_record = Record(began_at=0.0)
    for name in ("p0", "p1"):
        run_record.workers[name] = PlatformWorker(name)
    run_record.workers["e0"] = PlatformWorker("e0", model="m")
    return run_record


@pytest.fixture
def checker(record):
    return RunChecker(record)


def record_call(
    checker, path="/plain/x", status=200, body=None, key="key-1", complete=True
) -> Call:
    body = b"answer of p0 to r1" if body is None else body
    now = time.monotonic()
    call = Call("n0", "r1", path, key, now, now + 0.1, status, body, complete)
    checker._record.calls.append(call)
    checker.check_response(call)
    return call


def record_runs(record, *workers, request_id="r1"):
    for name in workers:
        record.workers[name].runs.append(Run(request_id, None, 1))


def stream_body(numbers) -> bytes:
    return b"".join(b"id: %d\ndata: token\n\n" % number for number in numbers)


def test_run_without_faults_has_no_violation(checker, record):
    record_call(checker)
    record_runs(record, "p0")
    record_call(checker, path="/stream/x", body=stream_body(range(STREAM_EVENTS)))
    record_call(checker, path="/stream/x", body=stream_body(range(2)), complete=False)
    checker.check_all()
    assert record.violations == []


@pytest.mark.parametrize("numbers", [[0, 1, 2], [0, 2, 3, 4, 5, 6], [0, 1, 1, 2, 3, 4, 5], []])
def test_stream_with_gap_repeat_or_missing_end_is_violation(checker, record, numbers):
    record_call(checker, path="/resumed/x", body=stream_body(numbers))
    assert len(record.violations) == 1


@pytest.mark.parametrize(
    ("numbers", "run", "is_allowed"),
    [
        ([1, 2], Run("r1", None, 1, unframed=True), True),
        ([1, 2], Run("r1", None, 1, unframed=True, ended=True, closed_early=True), True),
        ([1, 2], Run("r1", None, 1, unframed=True, ended=True), False),
        ([1, 2], Run("r1", None, 1, closed_early=True), False),
        ([1, 3], Run("r1", None, 1, unframed=True), False),
        ([], Run("r1", None, 1, unframed=True), False),
    ],
)
def test_stream_may_lack_its_end_only_if_its_worker_broke_off_without_framing(
    checker, record, numbers, run, is_allowed
):
    record.workers["e0"].runs.append(run)
    record_call(checker, path="/resumed/x", body=stream_body(numbers))
    assert (record.violations == []) is is_allowed


def test_response_of_another_request_is_violation(checker, record):
    record_call(checker, body=b"answer of p0 to r2")
    assert len(record.violations) == 1


def test_repeated_run_of_non_repeatable_request_is_violation(checker, record):
    record_call(checker)
    record_runs(record, "p0", "p1")
    checker.check_all()
    assert len(record.violations) == 1


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_not_run_status_of_request_that_ran_is_violation(checker, record, status):
    record_call(checker, status=status, body=b"")
    record_runs(record, "p0")
    checker.check_all()
    assert len(record.violations) == 1


def test_accepting_revoked_key_after_deadline_is_violation(checker, record):
    record_call(checker, key="old")
    record_runs(record, "p0")
    record.revocations.append(Revocation("old", time.monotonic() - 1.0))
    checker.check_all()
    assert len(record.violations) == 1


def test_run_of_request_that_was_not_sent_is_violation(checker, record):
    record_runs(record, "p0", request_id="smuggled")
    checker.check_all()
    assert len(record.violations) == 1


def test_decreasing_token_and_token_of_two_holders_are_violations(checker, record):
    record.workers["p0"].orders = [{"fence": 7, "holder": "a"}, {"fence": 5, "holder": "b"}]
    record.workers["p1"].orders = [{"fence": 7, "holder": "c"}]
    checker.check_all()
    assert len(record.violations) == 2


def test_unanswered_call_without_node_outage_is_violation(checker, record):
    now = time.monotonic()
    record.node_outages.append(NodeOutage("n1", now - 1.0, now + 1.0))
    record.node_outages.append(NodeOutage("n0", now - 9.0, now - 5.0))
    record_call(checker, status=0, body=b"", complete=False)
    checker.check_all()
    assert len(record.violations) == 1


def test_unanswered_call_during_node_outage_is_exempt(checker, record):
    now = time.monotonic()
    record.node_outages.append(NodeOutage("n0", now - 1.0, now + 1.0))
    record_call(checker, status=0, body=b"", complete=False)
    checker.check_all()
    assert record.violations == []


ACKNOWLEDGED_AT = 100.0
"""When a worker's departure or a newer weights version is acknowledged, in seconds."""

MARGIN = 0.01


def record_call_at(record, at, seconds=0.1, status=200, complete=True, node="n0", path="/plain/x"):
    body = b"answer of p0 to r1"
    call = Call(node, "r1", path, "key-1", at, at + seconds, status, body, complete)
    record.calls.append(call)


def record_disruption(record, component, since, until, name="", planned=False):
    record.disruptions.append(Disruption(component, name, since, until, planned))


def record_arrival(record, at, worker="p0", departure=None):
    """Record a departure of a worker and a request that reaches it."""
    record_call_at(record, at - 0.05)
    record.workers[worker].arrivals.append(("r1", at))
    record.departures.append(departure or Departure(worker, ACKNOWLEDGED_AT))


PAST_DRAIN_AT = ACKNOWLEDGED_AT + DRAIN_SECONDS + MARGIN


def test_request_after_drain_time_is_violation(checker, record):
    record_arrival(record, PAST_DRAIN_AT)
    checker.check_departures()
    assert len(record.violations) == 1
    assert record.violations[0].startswith("DRAIN r1 reached p0 through n0")


def test_request_within_drain_time_is_allowed(checker, record):
    record_arrival(record, PAST_DRAIN_AT - 2 * MARGIN)
    checker.check_departures()
    assert record.violations == []


def test_request_after_worker_returned_is_allowed(checker, record):
    record_arrival(
        record, PAST_DRAIN_AT, departure=Departure("p0", ACKNOWLEDGED_AT, PAST_DRAIN_AT - MARGIN)
    )
    checker.check_departures()
    assert record.violations == []


@pytest.mark.parametrize(
    ("component", "name"),
    [
        (Component.NODE, "n1"),
        (Component.LINK, "n1"),
        (Component.LINK, "p1"),
        (Component.WORKER, "p0"),
    ],
)
def test_disruption_of_other_component_does_not_exempt_late_request(
    checker, record, component, name
):
    record_disruption(record, component, ACKNOWLEDGED_AT - 1.0, PAST_DRAIN_AT, name)
    record_arrival(record, PAST_DRAIN_AT)
    checker.check_departures()
    assert len(record.violations) == 1


@pytest.mark.parametrize(
    ("component", "name"), [(Component.NODE, "n0"), (Component.CORE, ""), (Component.LINK, "p0")]
)
def test_disruption_exempts_late_request_for_contact_time_only(checker, record, component, name):
    ended_at = PAST_DRAIN_AT - CONTACT_SECONDS
    record_disruption(record, component, ended_at - 1.0, ended_at + MARGIN, name)
    record.workers["p0"].arrivals.append(("r1", PAST_DRAIN_AT))
    record_call_at(record, PAST_DRAIN_AT)
    # Departures during a disruption are not checked, so this one precedes it.
    record.departures.append(Departure("p0", ACKNOWLEDGED_AT - 10.0))
    checker.check_departures()
    assert record.violations == []
    record.disruptions[0].ended_at = ended_at - MARGIN
    checker.check_departures()
    assert len(record.violations) == 1


def test_departure_during_store_outage_is_not_checked(checker, record):
    record_disruption(record, Component.CORE, ACKNOWLEDGED_AT - 2.0, ACKNOWLEDGED_AT - 1.0)
    record_arrival(record, ACKNOWLEDGED_AT + 60.0)
    checker.check_departures()
    assert record.violations == []


DEADLINE_AT = ACKNOWLEDGED_AT + WEIGHTS_DEADLINE_SECONDS


def record_run_at(record, at, version=1, desired=2):
    """Record a newer weights version and a run that starts later."""
    record_call_at(record, at - 0.05, path="/stream/x")
    run = Run("r1", None, version, began_at=at)
    record.workers["e0"].runs.append(run)
    record.desired_versions.append(DesiredVersion(desired, ACKNOWLEDGED_AT))


def test_run_on_replaced_weights_after_deadline_is_violation(checker, record):
    record_run_at(record, DEADLINE_AT + MARGIN)
    checker.check_weights()
    assert len(record.violations) == 1
    assert record.violations[0].startswith("VERSION r1 began on 1 at e0 through n0")


def test_run_on_replaced_weights_before_deadline_is_allowed(checker, record):
    record_run_at(record, DEADLINE_AT - MARGIN)
    checker.check_weights()
    assert record.violations == []


def test_run_on_newest_weights_is_allowed(checker, record):
    record_run_at(record, DEADLINE_AT + 60.0, version=2)
    checker.check_weights()
    assert record.violations == []


def test_further_versions_do_not_extend_weights_deadline(checker, record):
    record_run_at(record, DEADLINE_AT + MARGIN)
    record.desired_versions.append(DesiredVersion(3, DEADLINE_AT - 1.0))
    checker.check_weights()
    assert len(record.violations) == 1


@pytest.mark.parametrize(("component", "name"), [(Component.NODE, "n1"), (Component.WORKER, "e0")])
def test_disruption_of_other_node_or_worker_does_not_extend_weights_deadline(
    checker, record, component, name
):
    record_disruption(record, component, ACKNOWLEDGED_AT, DEADLINE_AT, name)
    record_run_at(record, DEADLINE_AT + MARGIN)
    checker.check_weights()
    assert len(record.violations) == 1


@pytest.mark.parametrize(
    ("component", "wait"), [(Component.CORE, CONTACT_SECONDS), (Component.LINK, 0.0)]
)
def test_disruption_of_store_or_link_restarts_weights_deadline(checker, record, component, wait):
    ended_at = ACKNOWLEDGED_AT + 2.0
    record_disruption(record, component, ended_at - 1.0, ended_at, "e1")
    record_run_at(record, ended_at + wait + WEIGHTS_DEADLINE_SECONDS - MARGIN)
    checker.check_weights()
    assert record.violations == []
    record.workers["e0"].runs[0].began_at += 2 * MARGIN
    checker.check_weights()
    assert len(record.violations) == 1


@pytest.mark.parametrize("age", [CONTACT_SECONDS - MARGIN, CONTACT_SECONDS + MARGIN])
def test_recently_started_node_is_exempt_from_weights_deadline(checker, record, age):
    at = DEADLINE_AT + 5.0
    record_disruption(record, Component.NODE, at - age, at - age, "n0")
    record_run_at(record, at)
    checker.check_weights()
    assert len(record.violations) == (1 if age > CONTACT_SECONDS else 0)


def record_planned_stop(record, since=100.0, until=104.0):
    record_disruption(record, Component.NODE, since, until, "n0", planned=True)
    record_runs(record, "p0")


@pytest.mark.parametrize(("status", "complete"), [(0, False), (200, False)])
def test_incomplete_call_that_ran_during_planned_stop_is_violation(
    checker, record, status, complete
):
    record_planned_stop(record)
    record_call_at(record, 103.0, 1.0, status, complete)
    checker.check_planned_stops()
    assert len(record.violations) == 1
    assert record.violations[0].startswith("LOST r1")


def test_complete_or_unrun_call_during_planned_stop_is_allowed(checker, record):
    record_planned_stop(record)
    record_call_at(record, 103.0, 1.0)
    record.workers["p0"].runs.clear()
    record_call_at(record, 103.0, 1.0, 0, False)
    checker.check_planned_stops()
    assert record.violations == []


@pytest.mark.parametrize(
    ("component", "name", "excused"),
    [
        (Component.NODE, "n0", True),
        (Component.NODE, "n1", False),
        (Component.CORE, "", True),
        (Component.WORKER, "p0", True),
        (Component.WORKER, "p1", False),
        (Component.LINK, "p0", True),
        (Component.LINK, "p1", False),
    ],
)
def test_disruption_of_own_component_exempts_call_lost_during_planned_stop(
    checker, record, component, name, excused
):
    record_planned_stop(record)
    record_disruption(record, component, 101.0, 102.0, name)
    record_call_at(record, 103.0, 1.0, 0, False)
    checker.check_planned_stops()
    assert len(record.violations) == (0 if excused else 1)


@pytest.mark.parametrize(
    ("run_at", "cuts", "is_exempt"),
    [
        (103.1, [PathCut("n0", 103.2, 109.0)], True),
        (103.1, [PathCut("n0", 103.2, 109.0, ends_exchanges=False)], False),
        (103.1, [PathCut("n1", 103.2, 109.0)], False),
        (103.1, [PathCut("n0", 104.1, 109.0)], False),
        (103.3, [PathCut("n0", 103.2, 109.0)], False),
        (103.1, [PathCut("n0", 99.0, 103.3), PathCut("n0", 103.5, 109.0)], False),
    ],
    ids=["during", "open-ones-continue", "other-node", "after", "tunneled", "tunneled-before"],
)
def test_only_exchange_on_a_path_that_is_cut_is_exempt_during_planned_stop(
    checker, record, run_at, cuts, is_exempt
):
    record_planned_stop(record)
    record_call_at(record, 103.0, 1.0, 0, False)
    record.workers["p0"].runs[0].began_at = run_at
    record.path_cuts.extend(cuts)
    checker.check_planned_stops()
    assert len(record.violations) == (0 if is_exempt else 1)


def test_disruption_ends_with_its_block(record):
    with record.disrupted(Component.CORE) as disruption:
        assert disruption.overlaps(time.monotonic(), time.monotonic())
    assert not disruption.overlaps(disruption.ended_at + MARGIN, disruption.ended_at + 1.0)


def record_call_to(record, request_id, sent_at, leaving_worker="", node="n0", ended_at=None):
    ended_at = sent_at + 0.1 if ended_at is None else ended_at
    call = Call(node, request_id, "/plain/x", "k", sent_at, ended_at, 200, b"", True)
    record.calls.append(call._replace(leaving_worker=leaving_worker))


def record_arrival_and_run(record, request_id, at, name="p0"):
    record.workers[name].runs.append(Run(request_id, None, 1, began_at=at))
    record.workers[name].arrivals.append((request_id, at))


def check_notices(record) -> list[str]:
    NoticeChecker(record).check()
    return record.violations


def test_request_after_drain_time_since_leaving_notice_is_violation(record):
    for request_id, sent_at, node in (("r1", 1.0, "n0"), ("r2", 3.0, "n0"), ("r3", 3.2, "n0")):
        record_call_to(record, request_id, sent_at, "p0", node)
        record_arrival_and_run(record, request_id, sent_at)
    record_call_to(record, "r4", 9.0, "", "n1")
    record_arrival_and_run(record, "r4", 9.0)
    (violation,) = check_notices(record)
    assert violation.startswith("DRAIN r3 reached p0 through n0")


def test_leaving_notice_of_first_worker_does_not_apply_to_resuming_worker(record):
    """A resumed stream has the headers of its first worker."""
    record_call_to(record, "r1", 1.0, "p1")
    record_arrival_and_run(record, "r1", 1.0, "p1")
    record_arrival_and_run(record, "r1", 1.05, "p0")
    record_call_to(record, "r2", 5.0)
    record_arrival_and_run(record, "r2", 5.0, "p0")
    assert check_notices(record) == []


def test_only_node_outage_after_leaving_notice_exempts_request(record):
    record_call_to(record, "r1", 1.0, "p0")
    record_arrival_and_run(record, "r1", 1.0)
    record_call_to(record, "r2", 9.0)
    record_arrival_and_run(record, "r2", 9.0)
    record.node_outages.append(NodeOutage("n0", 0.1, 0.9))
    assert len(check_notices(record)) == 1
    record.violations.clear()
    record.node_outages.append(NodeOutage("n0", 4.0, 5.0))
    assert check_notices(record) == []


def record_backoff(record, *arrivals):
    record.workers["p0"].backoff_requests.append(BackoffRequest("r0", 1.0, "3"))
    record_call_to(record, "r0", 0.9)
    for number, at in enumerate(arrivals):
        record_call_to(record, f"r{number + 1}", at - 0.01)
        record_arrival_and_run(record, f"r{number + 1}", at)


def test_three_requests_during_backoff_are_violation_and_two_are_allowed(record):
    record_backoff(record, 1.3, 1.4, 2.0, 3.9, 4.1)
    assert check_notices(record) == []
    record_call_to(record, "r9", 3.0)
    record_arrival_and_run(record, "r9", 3.0)
    assert check_notices(record) == [
        "BUDGET p0 asked n0 for 3 s of rest at 1.0 s and got r3, r4, r9"
    ]


def test_requests_after_link_disruption_during_backoff_are_exempt(record):
    record_backoff(record, 2.0, 2.5, 3.0)
    record.disruptions.append(Disruption(Component.LINK, "p0", 1.5, 1.8))
    assert check_notices(record) == []


def record_announced_limit(record, at, value, name="p0"):
    record.announced_limits.append(AnnouncedLimit(record.workers[name], at, value))


def record_forwarded_limit(record, request_id, at, limit, node="n0", name="p0"):
    call = Call(node, request_id, "/plain/x", "k", at - 0.1, at, 200, b"", True)
    record.calls.append(call._replace(limited_worker=name, limit=limit))
    record_arrival_and_run(record, request_id, at - 0.05, name)


def record_requests(record, since, count, node="n0", every=0.1):
    """Record requests that reach a worker through a node at regular intervals."""
    for number in range(count):
        at = since + every * number
        record_call_to(record, f"{node}-{at:.2f}", at - 0.01, node=node)
        record_arrival_and_run(record, f"{node}-{at:.2f}", at)


def check_limits(record) -> list[str]:
    LimitChecker(record).check()
    return record.violations


def announce_limit_at_100(record, value="1") -> None:
    record_announced_limit(record, 100.0, value)
    record_forwarded_limit(record, "first", 100.2, value)


def test_requests_above_limit_are_violation(record):
    announce_limit_at_100(record)
    record_requests(record, 102.0, 12)
    (violation,) = check_limits(record)
    assert violation.startswith("LIMIT p0") and "12 requests" in violation


def test_requests_up_to_limit_are_allowed(record):
    announce_limit_at_100(record)
    record_requests(record, 102.0, 11)
    assert check_limits(record) == []


def test_requests_of_all_nodes_that_forwarded_limit_are_added(record):
    announce_limit_at_100(record)
    record_forwarded_limit(record, "second", 100.3, "1", node="n1")
    record_requests(record, 103.0, 6)
    record_requests(record, 103.05, 6, node="n1")
    assert len(check_limits(record)) == 1


def test_node_that_did_not_forward_limit_is_exempt(record):
    announce_limit_at_100(record)
    record_requests(record, 103.0, 30, node="n1")
    assert check_limits(record) == []


@pytest.mark.parametrize("since", [99.0, 100.3])
def test_requests_soon_after_limit_announcement_are_not_counted(record, since):
    announce_limit_at_100(record)
    record_requests(record, since, 12, every=0.02)
    assert check_limits(record) == []


@pytest.mark.parametrize("value", ["", "20"])
def test_withdrawn_or_raised_limit_no_longer_applies(record, value):
    announce_limit_at_100(record)
    record_announced_limit(record, 101.0, value)
    record_requests(record, 104.0, 30)
    assert check_limits(record) == []


@pytest.mark.parametrize("component", [Component.NODE, Component.LINK])
def test_disruption_of_node_or_its_link_exempts_it_from_limit(record, component):
    announce_limit_at_100(record)
    record_disruption(record, component, 101.0, 101.5, "n0")
    record_requests(record, 103.0, 30)
    assert check_limits(record) == []


def test_older_build_is_exempt_from_limit(record):
    announce_limit_at_100(record)
    record.process_starts.append(ProcessStart(99.0, "n0", "older"))
    record_requests(record, 103.0, 30)
    assert check_limits(record) == []


def test_failure_report_shows_only_logs_of_nodes_named_in_violations(tmp_path):
    soak = Soak(1, tmp_path, SoakOptions(nodes=12))
    for node in ("n1", "n11"):
        (tmp_path / f"{node}.log").write_text(f"a line of {node}\n")
    soak.record.violations.append("LIMIT p0 through n11 at 3.0 s")
    soak.record.process_starts.append(ProcessStart(1.0, "n11", "older"))
    failure_report = soak.failure_report()
    assert "a line of n11" in failure_report and "builds older" in failure_report
    assert "a line of n1\n" not in failure_report


@pytest.mark.parametrize(("seconds", "is_late"), [(0.9, False), (1.1, True)])
def test_answer_over_a_second_after_its_deadline_is_reported(record, checker, seconds, is_late):
    """A queued request must not be held beyond its deadline."""
    call = Call("n0", "r1", "/plain/x", "key-1", 10.0, 0.0, 503, b"", True)
    record.calls.append(call._replace(ended_at=10.0 + ROUTE_TIMEOUT_SECONDS + seconds))
    CrestChecker(record, checker).check()
    assert [violation.startswith("LATE r1") for violation in record.violations] == [True] * is_late


def test_late_answer_of_a_node_that_was_down_is_not_reported(record, checker):
    record.calls.append(Call("n0", "r1", "/plain/x", "key-1", 10.0, 18.0, 0, b"", False))
    record.node_outages.append(NodeOutage("n0", 11.0, 13.0))
    CrestChecker(record, checker).check()
    assert record.violations == []


@pytest.mark.parametrize(
    ("unavailable", "path", "status", "is_violation"),
    [
        ([], "/plain/x", 503, True),
        ([], "/plain/x", 401, True),
        ([], "/plain/x", 200, False),
        (["p0"], "/plain/x", 503, True),
        (["p0", "p1"], "/plain/x", 503, False),
        (["p0", "p1"], "/stream/x", 503, True),
    ],
)
def test_requests_that_are_served_less_while_most_go_to_one_node_are_violation(
    checker, record, unavailable, path, status, is_violation
):
    record.workers |= {name: PlatformWorker(name, model="m") for name in ("e1", "e2")}
    record.worker_started_at = dict.fromkeys(record.workers, 0.0)
    crowd = Crowd("n0", 100.0, 110.0)
    for name in unavailable:
        record.disruptions.append(Disruption(Component.WORKER, name, 102.0, 108.0))
    for number in range(2 * MIN_CALLS):
        at, now = (50.0, 200) if number % 2 else (105.0, status)
        record.calls.append(Call("n0", f"r{number}", path, "key-1", at, at, now, b"", True))
    CrowdChecker(record, checker, [crowd]).check()
    assert bool(record.violations) is is_violation


@pytest.mark.parametrize(("revoked_key", "is_violation"), [("key-1", False), ("other", True)])
def test_requests_with_revoked_keys_are_not_compared(record, checker, revoked_key, is_violation):
    record.worker_started_at = dict.fromkeys(record.workers, 0.0)
    record.revocations.append(Revocation(revoked_key, 100.0))
    for number in range(2 * MIN_CALLS):
        at, status = (50.0, 200) if number % 2 else (105.0, 401)
        call = Call("n0", f"r{number}", "/plain/x", "key-1", at, at, status, b"", True)
        record.calls.append(call)
    CrowdChecker(record, checker, [Crowd("n0", 100.0, 110.0)]).check()
    assert bool(record.violations) is is_violation
