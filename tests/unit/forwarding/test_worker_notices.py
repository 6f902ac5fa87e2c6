"""Leaving notices and backoffs of workers, and the concurrency after a backoff."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.unit.forwarding.conftest import Clock
from wheelslip.deployment import Incarnation
from wheelslip.routing import worker_notices
from wheelslip.routing.worker_notices import (
    INITIAL_CONCURRENCY,
    MAX_BACKOFF_SECONDS,
    RECOVERY_SECONDS,
    WorkerNotices,
)

A, LATER_A, B = (Incarnation(name) for name in ("a/1", "a/2", "b/1"))


@pytest.fixture
def notices(clock):
    return WorkerNotices(clock)


def test_leaving_applies_to_one_incarnation_and_is_final(notices, clock):
    assert notices.record_leaving(A)
    assert not notices.record_leaving(A)
    clock.now += 1e6
    notices.expire()
    assert not notices.may_begin(A)
    assert notices.may_begin(LATER_A)


def test_latest_end_of_several_backoffs_applies(notices, clock):
    notices.record_backoff(A, 3.0)
    clock.now += 1.0
    assert not notices.record_backoff(A, 0.5), "an earlier end does not shorten the backoff"
    clock.now += 1.0
    assert not notices.may_begin(A)
    assert notices.record_backoff(A, 5.0)
    clock.now += 4.9
    assert not notices.may_begin(A)
    clock.now += 0.2
    assert notices.may_begin(A)


def test_nearly_simultaneous_backoffs_are_reported_once(notices, clock):
    assert notices.record_backoff(A, 3.0)
    clock.now += 0.004
    assert not notices.record_backoff(A, 3.0)
    assert notices.backoff_until(A) == clock.now + 3.0


@pytest.mark.parametrize("seconds", [0.0, -1.0, float("nan")])
def test_backoff_without_positive_duration_is_ignored(notices, seconds):
    notices.record_backoff(A, seconds)
    assert notices.may_begin(A)


def test_infinite_backoff_is_capped(notices, clock):
    notices.record_backoff(A, float("inf"))
    clock.now += MAX_BACKOFF_SECONDS + 0.1
    assert notices.may_begin(A)


def test_concurrency_after_backoff_doubles_each_round(notices, clock):
    """Requests served together must not each double the limit."""
    notices.record_backoff(A, 1.0)
    clock.now += 1.0
    for limit in (1, 2, 4, 8):
        in_flight = []
        while notices.may_begin(A):
            in_flight.append(notices.begin(A))
        assert len(in_flight) == limit
        for slot in in_flight:
            assert notices.end(slot, was_served=True)
    assert notices.may_begin(A)
    assert notices.begin(A) is None, "requests are no longer counted"


def test_each_served_request_admits_one_more(notices, clock):
    notices.record_backoff(A, 1.0)
    clock.now += 1.0
    in_flight = [notices.begin(A)]
    for limit in range(2, 16):
        notices.end(in_flight.pop(), was_served=True)
        while notices.may_begin(A):
            in_flight.append(notices.begin(A))
        assert len(in_flight) == limit


def test_unserved_request_admits_only_one_replacement(notices, clock):
    notices.record_backoff(A, 1.0)
    clock.now += 1.0
    for _ in range(5):
        slot = notices.begin(A)
        assert not notices.may_begin(A)
        assert notices.end(slot, was_served=False)


def test_request_begun_before_second_backoff_is_not_counted_after_it(notices, clock):
    notices.record_backoff(A, 1.0)
    clock.now += 1.0
    slot = notices.begin(A)
    notices.record_backoff(A, 1.0)
    clock.now += 1.0
    assert notices.may_begin(A)
    assert not notices.end(slot, was_served=True)
    assert notices.begin(A) is not None
    assert not notices.may_begin(A)


def test_hanging_request_does_not_block_worker_after_recovery(notices, clock):
    notices.record_backoff(A, 1.0)
    clock.now += 1.0
    notices.begin(A)
    clock.now += RECOVERY_SECONDS
    assert notices.may_begin(A)
    assert notices.withheld([A]) == frozenset()


def test_ended_backoff_is_returned_once(notices, clock):
    notices.record_backoff(A, 1.0)
    assert notices.expire() == []
    clock.now += 1.0
    assert [backoff.incarnation for backoff in notices.expire()] == [A]
    assert notices.expire() == []


def test_stored_notices_are_bounded_and_newest_are_kept(notices, monkeypatch):
    monkeypatch.setattr(worker_notices, "MAX_INCARNATIONS", 3)
    for number in range(5):
        notices.record_leaving(Incarnation(f"w-{number}"))
        notices.record_backoff(Incarnation(f"w-{number}"), 1.0 + number)
    assert [notices.is_leaving(Incarnation(f"w-{number}")) for number in range(5)] == [
        False,
        False,
        True,
        True,
        True,
    ]
    evicted = [Incarnation(f"w-{number}") for number in range(2)]
    assert notices.withheld(evicted) == frozenset()
    assert notices.backing_off_count == 3


@st.composite
def histories(draw):
    step = st.one_of(
        st.tuples(st.just("wait"), st.sampled_from((0.1, 0.7, 2.0, 11.0))),
        st.tuples(st.just("leave"), st.sampled_from((A, LATER_A, B))),
        st.tuples(
            st.just("rest"), st.sampled_from((A, LATER_A, B)), st.sampled_from((0.5, 3.0, 1e9))
        ),
        st.tuples(st.just("begin"), st.sampled_from((A, LATER_A, B))),
        st.tuples(st.just("end"), st.booleans()),
        st.tuples(st.just("expire")),
    )
    return draw(st.lists(step, max_size=60))


class Model:
    """A reference model of the notices, run beside the implementation."""

    def __init__(self):
        self.clock = Clock()
        self.notices = WorkerNotices(self.clock)
        self.leaving = set()
        self.backoff_until = {}
        self.slots = []

    def apply(self, step) -> None:
        match step:
            case ("wait", seconds):
                self.clock.now += seconds
            case ("leave", incarnation):
                self.notices.record_leaving(incarnation)
                self.leaving.add(incarnation)
            case ("rest", incarnation, seconds):
                self.notices.record_backoff(incarnation, seconds)
                until = self.clock.now + min(seconds, MAX_BACKOFF_SECONDS)
                self.backoff_until[incarnation] = max(
                    until, self.backoff_until.get(incarnation, until)
                )
            case ("begin", incarnation) if self.notices.may_begin(incarnation):
                self.slots.append(self.notices.begin(incarnation))
            case ("end", was_served) if self.slots:
                self.notices.end(self.slots.pop(0), was_served)
            case ("expire",):
                self.notices.expire()

    def is_withheld(self, incarnation) -> bool:
        return incarnation in self.leaving or self.clock.now < self.backoff_until.get(
            incarnation, float("-inf")
        )


@given(histories())
def test_no_request_begins_during_backoff_or_after_leaving_notice(history):
    model = Model()
    for step in history:
        model.apply(step)
        for incarnation in (A, LATER_A, B):
            may_begin = model.notices.may_begin(incarnation)
            assert not (model.is_withheld(incarnation) and may_begin)
            assert may_begin or incarnation in model.leaving or incarnation in model.backoff_until


def test_initial_concurrency_applies_after_each_backoff(notices, clock):
    for _ in range(3):
        notices.record_backoff(A, 1.0)
        clock.now += 1.0
        begun = 0
        while notices.may_begin(A):
            notices.begin(A)
            begun += 1
        assert begun == INITIAL_CONCURRENCY
