"""A worker's limit is of one start, and no older observation replaces a newer one."""

import pytest

from wheelslip.deployment import Incarnation
from wheelslip.routing.named_limits import (
    ANSWERS_TO_LIFT,
    FORGOTTEN_SECONDS,
    MAX_RATE,
    MAX_STARTS,
    REORDER_SECONDS,
    REPEATED_SECONDS,
    LimitReport,
    NamedLimits,
)

A, LATER_A = Incarnation("a/1"), Incarnation("a/2")


@pytest.fixture
def limits(clock):
    return NamedLimits(clock)


def test_a_limit_is_of_one_start(limits):
    assert limits.note_limit(A, 2.0) == LimitReport(A, 2.0, 0.0)
    assert limits.note_limit(A, 2.0) is None
    assert limits.limited([A, LATER_A]) == {A}


def test_answers_without_a_limit_end_it(limits, clock):
    limits.note_limit(A, 2.0)
    clock.now += 1.0
    sent_at = clock.now
    clock.now += 0.1
    for _ in range(ANSWERS_TO_LIFT):
        assert limits.rate(A) == 2.0
        assert limits.note_no_limit(A, sent_at) == LimitReport(A, None, 0.1)
    assert limits.rate(A) is None
    assert limits.note_no_limit(A, sent_at) is None


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
        limits.note_no_limit(A, clock.now - 0.01)
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


def test_answers_without_a_limit_to_several_nodes_end_it(limits, clock):
    """At hundreds of nodes before a worker that takes one request a second, none sees two soon."""
    limits.note_limit(A, 1.0)
    clock.now += 1.0
    reports = [LimitReport(A, None, 0.01)] * ANSWERS_TO_LIFT
    assert [limits.count_report(one) for one in reports] == [False] * (ANSWERS_TO_LIFT - 1) + [True]
    assert limits.rate(A) is None


def test_an_older_report_of_an_answer_without_a_limit_is_not_counted(limits, clock):
    clock.now += 10.0
    limits.note_limit(A, 1.0)
    assert not any(limits.count_report(LimitReport(A, None, 1.0)) for _ in range(10))
    assert limits.rate(A) == 1.0


def test_two_nodes_that_contradict_each_other_agree(clock):
    """Whichever observation was first, and however long each message takes."""
    for lead in (-1.0, -REORDER_SECONDS, -0.01, 0.0, 0.01, REORDER_SECONDS, 1.0):
        for delay in (0.0, 0.001, 0.2):
            assert agree(clock, lead, delay)


def agree(clock, lead: float, delay: float) -> bool:
    """Let one node see a limit and another one none, and let each correct the other."""
    nodes = [NamedLimits(clock), NamedLimits(clock)]
    clock.now += 100.0
    seen_at = clock.now
    nodes[0].merge(LimitReport(A, 5.0, 0.0))
    nodes[1].merge(LimitReport(A, 9.0, 1.0))
    clock.now += 2.0
    nodes[1].merge(LimitReport(A, None, clock.now - seen_at - lead))
    reports = [nodes[0].report(A)]
    for number in range(10):
        clock.now += delay
        receiver = nodes[(number + 1) % 2]
        for one in reports:
            receiver.count_report(one)
        reports = receiver.contradicted(reports)
    return nodes[0].rate(A) == nodes[1].rate(A)


def test_nodes_that_repeat_to_each_other_do_not_make_an_observation_younger(clock):
    nodes = [NamedLimits(clock), NamedLimits(clock)]
    nodes[0].note_limit(A, 1.0)
    for number in range(1000):
        report = nodes[number % 2].report(A)
        clock.now += 0.01
        nodes[(number + 1) % 2].merge(report)
    assert nodes[0].report(A).age > 9.9


def test_a_start_that_is_gone_is_forgotten_after_a_while(limits, clock):
    limits.note_limit(A, 1.0)
    clock.now += FORGOTTEN_SECONDS - 1.0
    limits.expire(())
    assert limits.rate(A) == 1.0
    clock.now += 2.0
    limits.expire((A,))
    assert limits.rate(A) == 1.0
    limits.expire(())
    assert limits.rate(A) is None


def test_the_end_of_a_limit_is_repeated_for_a_while(limits, clock):
    limits.note_limit(A, 1.0)
    clock.now += 1.0
    limits.merge(LimitReport(A, None, 0.0))
    assert [one.rate for one in limits.reports()] == [None]
    clock.now += REPEATED_SECONDS + 0.1
    assert limits.reports() == []


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
