"""Rate limits that workers announce, and their exchange between nodes."""

import pytest

from wheelslip.deployment import Incarnation
from wheelslip.routing.limits.named_limits import (
    LIFTED_REPORT_SECONDS,
    MAX_INCARNATIONS,
    MAX_RATE,
    REORDER_SECONDS,
    RESPONSES_TO_LIFT,
    RETENTION_SECONDS,
    LimitReport,
    WorkerRateLimits,
)

A, LATER_A = Incarnation("a/1"), Incarnation("a/2")


@pytest.fixture
def limits(clock):
    return WorkerRateLimits(clock)


def test_limit_applies_to_one_incarnation(limits):
    assert limits.record_limit(A, 2.0) == LimitReport(A, 2.0, 0.0)
    assert limits.record_limit(A, 2.0) is None
    assert limits.limited([A, LATER_A]) == {A}


def test_responses_without_limit_lift_it(limits, clock):
    limits.record_limit(A, 2.0)
    clock.now += 1.0
    sent_at = clock.now
    clock.now += 0.1
    for _ in range(RESPONSES_TO_LIFT):
        assert limits.rate(A) == 2.0
        assert limits.record_no_limit(A, sent_at) == LimitReport(A, None, 0.1)
    assert limits.rate(A) is None
    assert limits.record_no_limit(A, sent_at) is None


def test_response_to_request_sent_before_limit_does_not_lift_it(limits, clock):
    sent_at = clock.now
    clock.now += 0.1
    limits.record_limit(A, 2.0)
    clock.now += 5.0
    assert not any(limits.record_no_limit(A, sent_at) for _ in range(10))
    assert limits.rate(A) == 2.0


def test_limit_announced_in_between_is_not_lifted(limits, clock):
    limits.record_limit(A, 2.0)
    for _ in range(5):
        clock.now += 0.1
        limits.record_no_limit(A, clock.now - 0.01)
        limits.record_limit(A, 2.0)
    assert limits.rate(A) == 2.0


def test_older_report_does_not_replace_newer_observation(limits, clock):
    clock.now += 10.0
    limits.record_limit(A, 2.0)
    assert not limits.merge(LimitReport(A, 9.0, 5.0))
    assert not limits.merge(LimitReport(A, None, 5.0))
    clock.now += 1.0
    assert limits.merge(LimitReport(A, 9.0, 0.0))
    assert limits.rate(A) == 9.0


def test_lower_limit_wins_among_simultaneous_reports(limits, clock):
    limits.record_limit(A, 2.0)
    assert not limits.merge(LimitReport(A, 9.0, 0.0))
    assert limits.merge(LimitReport(A, 1.0, REORDER_SECONDS / 2))
    assert limits.rate(A) == 1.0


def test_responses_without_limit_to_several_nodes_lift_it(limits, clock):
    """With many nodes and a low limit, no single node receives enough responses."""
    limits.record_limit(A, 1.0)
    clock.now += 1.0
    reports = [LimitReport(A, None, 0.01)] * RESPONSES_TO_LIFT
    assert [limits.count_report(report) for report in reports] == [False] * (
        RESPONSES_TO_LIFT - 1
    ) + [True]
    assert limits.rate(A) is None


def test_older_report_of_response_without_limit_is_ignored(limits, clock):
    clock.now += 10.0
    limits.record_limit(A, 1.0)
    assert not any(limits.count_report(LimitReport(A, None, 1.0)) for _ in range(10))
    assert limits.rate(A) == 1.0


def test_nodes_with_conflicting_observations_converge(clock):
    """Holds for either order of the observations and any message delay."""
    for lead in (-1.0, -REORDER_SECONDS, -0.01, 0.0, 0.01, REORDER_SECONDS, 1.0):
        for delay in (0.0, 0.001, 0.2):
            assert converges(clock, lead, delay)


def converges(clock, lead: float, delay: float) -> bool:
    """Return whether two nodes with conflicting observations agree after exchanging corrections."""
    nodes = [WorkerRateLimits(clock), WorkerRateLimits(clock)]
    clock.now += 100.0
    observed_at = clock.now
    nodes[0].merge(LimitReport(A, 5.0, 0.0))
    nodes[1].merge(LimitReport(A, 9.0, 1.0))
    clock.now += 2.0
    nodes[1].merge(LimitReport(A, None, clock.now - observed_at - lead))
    reports = [nodes[0].report(A)]
    for number in range(10):
        clock.now += delay
        receiver = nodes[(number + 1) % 2]
        for report in reports:
            receiver.count_report(report)
        reports = receiver.corrections(reports)
    return nodes[0].rate(A) == nodes[1].rate(A)


def test_repeated_reports_do_not_refresh_observation_time(clock):
    nodes = [WorkerRateLimits(clock), WorkerRateLimits(clock)]
    nodes[0].record_limit(A, 1.0)
    for number in range(1000):
        report = nodes[number % 2].report(A)
        clock.now += 0.01
        nodes[(number + 1) % 2].merge(report)
    assert nodes[0].report(A).age > 9.9


def test_observation_of_absent_incarnation_expires(limits, clock):
    limits.record_limit(A, 1.0)
    clock.now += RETENTION_SECONDS - 1.0
    limits.expire(())
    assert limits.rate(A) == 1.0
    clock.now += 2.0
    limits.expire((A,))
    assert limits.rate(A) == 1.0
    limits.expire(())
    assert limits.rate(A) is None


def test_lifted_limit_is_reported_for_limited_time(limits, clock):
    limits.record_limit(A, 1.0)
    clock.now += 1.0
    limits.merge(LimitReport(A, None, 0.0))
    assert [report.rate for report in limits.reports()] == [None]
    clock.now += LIFTED_REPORT_SECONDS + 0.1
    assert limits.reports() == []


def test_direct_observation_is_drained_once(limits):
    limits.record_limit(A, 2.0)
    assert limits.drain_direct_reports() == [LimitReport(A, 2.0, 0.0)]
    limits.merge(LimitReport(LATER_A, 3.0, 0.0))
    assert limits.drain_direct_reports() == []
    assert [report.incarnation for report in limits.reports()] == [A, LATER_A]


def test_number_of_incarnations_and_rate_are_bounded(limits):
    limits.record_limit(A, float("inf"))
    assert limits.rate(A) == MAX_RATE
    for number in range(MAX_INCARNATIONS):
        limits.record_limit(Incarnation(f"b/{number}"), 1.0)
    assert limits.count() == MAX_INCARNATIONS and limits.rate(A) is None
