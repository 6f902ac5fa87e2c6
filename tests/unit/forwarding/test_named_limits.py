"""A worker's limit is of one start, and no older observation replaces a newer one."""

import pytest

from wheelslip.deployment import Incarnation
from wheelslip.routing.named_limits import (
    ANSWERS_TO_LIFT,
    MAX_RATE,
    MAX_STARTS,
    REORDER_SECONDS,
    LimitReport,
    NamedLimits,
)

A, LATER_A = Incarnation("a/1"), Incarnation("a/2")


@pytest.fixture
def limits(clock):
    return NamedLimits(clock)


def test_a_limit_is_of_one_start(limits):
    assert limits.note_limit(A, 2.0)
    assert not limits.note_limit(A, 2.0)
    assert limits.limited([A, LATER_A]) == {A}


def test_answers_without_a_limit_end_it(limits, clock):
    limits.note_limit(A, 2.0)
    clock.now += 1.0
    sent_at = clock.now
    clock.now += 0.1
    ends = [limits.note_no_limit(A, sent_at) for _ in range(ANSWERS_TO_LIFT)]
    assert ends == [False] * (ANSWERS_TO_LIFT - 1) + [True]
    assert limits.rate(A) is None


def test_an_answer_that_was_asked_for_before_the_limit_was_named_does_not_end_it(limits, clock):
    sent_at = clock.now
    clock.now += 0.1
    limits.note_limit(A, 2.0)
    clock.now += 5.0
    assert not any(limits.note_no_limit(A, sent_at) for _ in range(10))
    assert limits.rate(A) == 2.0


def test_a_limit_named_in_between_keeps_it(limits, clock):
    limits.note_limit(A, 2.0)
    for _ in range(5):
        clock.now += 0.1
        assert not limits.note_no_limit(A, clock.now - 0.01)
        limits.note_limit(A, 2.0)
    assert limits.rate(A) == 2.0


def test_an_older_report_does_not_replace_what_this_node_has_seen(limits, clock):
    clock.now += 10.0
    limits.note_limit(A, 2.0)
    assert not limits.merge(LimitReport(A, 9.0, 5.0))
    assert not limits.merge(LimitReport(A, None, 5.0))
    clock.now += 1.0
    assert limits.merge(LimitReport(A, 9.0, 0.0))
    assert limits.rate(A) == 9.0


def test_of_two_reports_at_one_moment_the_lower_limit_holds(limits, clock):
    limits.note_limit(A, 2.0)
    assert not limits.merge(LimitReport(A, 9.0, 0.0))
    assert limits.merge(LimitReport(A, 1.0, REORDER_SECONDS / 2))
    assert limits.rate(A) == 1.0


def test_what_answers_showed_is_reported_once(limits):
    limits.note_limit(A, 2.0)
    assert limits.direct_reports() == [LimitReport(A, 2.0, 0.0)]
    limits.merge(LimitReport(LATER_A, 3.0, 0.0))
    assert limits.direct_reports() == []
    assert [one.start for one in limits.reports()] == [A, LATER_A]


def test_the_number_of_starts_and_the_rate_are_bounded(limits):
    limits.note_limit(A, float("inf"))
    assert limits.rate(A) == MAX_RATE
    for number in range(MAX_STARTS):
        limits.note_limit(Incarnation(f"b/{number}"), 1.0)
    assert limits.count() == MAX_STARTS and limits.rate(A) is None
