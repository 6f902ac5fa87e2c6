"""Reservations for rejected callers that return when told."""

from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wheelslip.routing.queue.return_reservations import (
    LAPSE_SECONDS,
    MAX_RESERVATIONS,
    SPACING_STEP,
    Reservation,
    ReturnReservations,
)

ROUNDING = 1e-5

# The same histories on every run, so that a failure can be repeated.
REPEATABLE = settings(derandomize=True, database=None, max_examples=200, deadline=None)


def reserve(
    reservations: ReturnReservations,
    content: str,
    priority: int = 1,
    now: float = 0.0,
    earliest: float = 1.0,
    latest: float = 10.0,
    seconds_between: float = 0.1,
) -> float | None:
    return reservations.reserve(content, priority, now, earliest, latest, seconds_between)


def test_times_are_spaced_by_the_time_between_starts():
    """Callers told the same time would return together and be rejected again."""
    reservations = ReturnReservations()
    times = [reserve(reservations, f"c{number}") for number in range(20)]
    assert times[0] == 1.0
    for earlier, later in pairwise(times):
        assert 0.1 - ROUNDING <= later - earlier <= 0.1 * SPACING_STEP + ROUNDING


def test_changed_rate_spaces_new_times_from_all_open_ones():
    """A spacing that shrinks or grows must not put a caller onto the place of another."""
    reservations = ReturnReservations()
    times = []
    for number, seconds in enumerate((0.1, 0.02, 0.3, 0.05, 0.1, 0.02)):
        time = reserve(reservations, f"c{number}", seconds_between=seconds)
        assert all(abs(time - other) >= seconds - ROUNDING for other in times)
        times.append(time)


def test_place_between_two_reservations_is_used():
    """Callers with a long prompt get later times; the places before these must not be lost."""
    reservations = ReturnReservations()
    late = reserve(reservations, "late", earliest=3.0)
    assert reserve(reservations, "early", earliest=1.0) < late


def test_no_time_is_promised_after_latest():
    reservations = ReturnReservations()
    assert reserve(reservations, "a", latest=1.05) == 1.0
    assert reserve(reservations, "b", latest=1.05) is None
    assert reserve(reservations, "c", earliest=2.0, latest=1.9) is None
    assert reserve(reservations, "d", seconds_between=float("inf")) is None
    assert len(reservations) == 1


def test_time_is_never_in_the_past():
    """The expected start of an idle service may lie before the present."""
    assert reserve(ReturnReservations(), "a", now=5.0, earliest=1.0) == 5.0


def test_early_return_keeps_the_reservation_and_gains_nothing():
    """A caller that retries at once must not get a place before the one that it was told."""
    reservations = ReturnReservations()
    time = reserve(reservations, "a", earliest=2.0)
    assert reservations.claim("a", time - 0.26) is None
    assert reserve(reservations, "a", now=1.0, earliest=1.2) == time
    assert len(reservations) == 1
    assert reservations.claim("a", time) == Reservation("a", time, 1)


def test_early_return_that_cannot_wait_as_long_is_promised_nothing():
    """Its caller would not honour the time; the reservation stays for one that does."""
    reservations = ReturnReservations()
    time = reserve(reservations, "a", earliest=2.0)
    assert reserve(reservations, "a", now=0.1, latest=1.5) is None
    assert reservations.claim("a", time) is not None


@pytest.mark.parametrize("offset", [-0.25, 0.0, 0.99])
def test_return_in_time_is_recognised_by_content(offset: float):
    """The caller may return at another node and with another request id; only its content is
    the same."""
    reservations = ReturnReservations()
    time = reserve(reservations, "a", priority=2)
    reserve(reservations, "b")
    assert reservations.claim("a", time + offset) == Reservation("a", time, 2)
    assert len(reservations) == 1


def test_reservation_lapses_a_second_after_its_time():
    reservations = ReturnReservations()
    time = reserve(reservations, "a")
    assert reservations.claim("a", time + LAPSE_SECONDS + 0.01) is None
    assert len(reservations) == 0
    assert reservations.due_before(100.0, 9) == 0


def test_callers_with_the_same_content_share_one_reservation():
    """A client that opens several connections with one request must not get several places."""
    reservations = ReturnReservations()
    time = reserve(reservations, "a")
    assert reserve(reservations, "a") == time
    assert reservations.claim("a", time) is not None
    assert reservations.claim("a", time) is None


def test_place_of_a_returned_caller_is_not_given_away():
    """The returned caller is about to use the place."""
    reservations = ReturnReservations()
    time = reserve(reservations, "a", seconds_between=0.5)
    reservations.claim("a", time - 0.25)
    later = reserve(reservations, "b", now=time - 0.2, earliest=time - 0.2, seconds_between=0.5)
    assert later >= time + 0.5 - ROUNDING


def test_content_rejected_again_after_its_return_gets_a_new_reservation():
    """A returned caller may be displaced by more urgent work."""
    reservations = ReturnReservations()
    time = reserve(reservations, "a")
    reservations.claim("a", time)
    again = reserve(reservations, "a", now=time, earliest=time)
    assert again > time
    reservations.expire(time + LAPSE_SECONDS + 0.05)
    assert reservations.claim("a", again) == Reservation("a", again, 1)


def test_due_before_counts_by_time_and_priority():
    reservations = ReturnReservations()
    for number, priority in enumerate((1, 1, 2)):
        reserve(reservations, f"c{number}", priority, earliest=1.0 + number)
    assert [reservations.due_before(time, 2) for time in (1.0, 1.5, 2.5, 9.0)] == [0, 1, 2, 3]
    assert reservations.due_before(9.0, 1) == 2
    assert reservations.due_before(9.0, 0) == 0
    reservations.claim("c0", 1.0)
    assert reservations.due_before(9.0, 1) == 1


def test_urgent_callers_get_earlier_times_than_others():
    """Without places kept free, a flood of lower-priority callers takes all early times."""
    reservations = ReturnReservations()
    reserve(reservations, "first", priority=0)
    times = {0: [], 2: []}
    for number in range(40):
        for priority in (2, 2, 2, 0):
            time = reserve(reservations, f"{priority}/{number}/{len(times[2])}", priority)
            if time is not None:
                times[priority].append(time)
    for urgent, lower in zip(times[0], times[2], strict=False):
        assert urgent < lower
    assert len(times[0]) == 40
    # Every second place up to `latest`.
    assert max(times[0]) <= 1.0 + 2 * 41 * 0.1 * SPACING_STEP


def test_lower_priority_caller_takes_the_first_place_if_it_cannot_wait_longer():
    reservations = ReturnReservations()
    reserve(reservations, "u", priority=0, earliest=5.0)
    assert reserve(reservations, "a", priority=2, latest=1.05) == 1.0
    assert reserve(reservations, "b", priority=2, earliest=2.0) > 2.0
    assert reserve(reservations, "c", priority=0, earliest=2.0) == 2.0


def test_no_place_is_kept_free_without_urgent_callers():
    """A service whose requests all have one priority would promise half of its capacity."""
    reservations = ReturnReservations()
    reserve(reservations, "u", priority=0)
    times = [
        reserve(reservations, f"c{number}", 2, now=6.0, earliest=6.5, latest=20.0)
        for number in range(10)
    ]
    assert times[-1] <= 6.5 + 9 * 0.1 * SPACING_STEP + ROUNDING


def test_number_of_reservations_is_bounded():
    """Contents are chosen by callers, so they must not determine the memory used."""
    reservations = ReturnReservations()
    for number in range(MAX_RESERVATIONS):
        assert reserve(reservations, f"c{number}", latest=1e9, seconds_between=1e-9) is not None
    assert reserve(reservations, "one more", latest=1e9) is None
    assert len(reservations) == MAX_RESERVATIONS
    reservations.expire(1e6)
    assert len(reservations) == 0
    assert reserve(reservations, "after", now=1e6, latest=1e9) is not None


CALLS = st.lists(
    st.tuples(
        st.sampled_from(["reserve", "reserve", "reserve", "claim"]),
        st.integers(0, 30),  # content
        st.integers(0, 2),  # priority
        st.floats(0.0, 0.4),  # time since the previous call
        st.floats(0.0, 2.0),  # time until the earliest start
        st.floats(0.0, 4.0),  # time from then to the latest start
        st.sampled_from([0.05, 0.08, 0.1, 0.3, 1.7]),  # time between starts
    ),
    max_size=120,
)


@REPEATABLE
@given(CALLS)
def test_open_reservations_never_exceed_what_the_workers_start(calls):
    """A promise that the workers cannot keep sends the caller away a second time.

    With all spacings of a history at least ``shortest``, a span holds at most one reservation more
    than the number of spacings that fit into it.
    """
    reservations = ReturnReservations()
    open_times: dict[str, float] = {}
    now, shortest = 0.0, min((call[-1] for call in calls), default=1.0)
    for action, number, priority, pause, ahead, window, seconds in calls:
        now += pause
        content = f"c{number}"
        open_times = {key: at for key, at in open_times.items() if at >= now - LAPSE_SECONDS}
        if action == "claim":
            due = content in open_times and now >= open_times[content] - 0.25
            assert (reservations.claim(content, now) is not None) == due
            if due:
                del open_times[content]
        else:
            earliest, latest = now + ahead, now + ahead + window
            time = reservations.reserve(content, priority, now, earliest, latest, seconds)
            known = open_times.get(content)
            if known is not None:
                assert time == (known if known <= latest else None)
            elif time is not None:
                assert earliest <= time <= latest
                others = open_times.values()
                assert all(abs(time - other) >= seconds - ROUNDING for other in others)
                open_times[content] = time
        assert len(reservations) == len(open_times)
        assert reservations.due_before(now + 100.0, 2) == len(open_times)
        ordered = sorted(open_times.values())
        for first in range(len(ordered)):
            for last in range(first, len(ordered)):
                span = ordered[last] - ordered[first]
                assert last - first + 1 <= 1 + (span + ROUNDING) / shortest


@REPEATABLE
@given(
    st.lists(st.tuples(st.integers(0, 1), st.floats(0.0, 3.0)), max_size=60),
    st.sampled_from([0.05, 0.1, 0.5]),
)
def test_no_free_time_is_passed_over(callers, seconds):
    """Ranges remembered as taken must hold no free time, or capacity is lost until they pass."""
    reservations = ReturnReservations()
    reserve(reservations, "urgent", priority=0, seconds_between=seconds)
    taken = [1.0]
    for number, (priority, earliest) in enumerate(callers):
        time = reserve(
            reservations, f"c{number}", priority, earliest=earliest, seconds_between=seconds
        )
        if priority == 0:
            distance = seconds * SPACING_STEP + ROUNDING
            candidates = [earliest, *(other + distance for other in taken)]
            free = [
                at
                for at in candidates
                if earliest <= at <= 10.0 and all(abs(at - other) >= distance for other in taken)
            ]
            if free:
                assert time <= min(free) + ROUNDING
        if time is not None:
            taken.append(time)
