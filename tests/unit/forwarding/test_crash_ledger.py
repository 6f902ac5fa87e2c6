"""Which contents are free, tried alone and refused, and that the order of news does not matter."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.unit.forwarding.conftest import Clock
from wheelslip.deployment import Incarnation
from wheelslip.routing import crash_ledger
from wheelslip.routing.crash_ledger import (
    FORGOTTEN_SECONDS,
    MAX_REFUSED_SECONDS,
    NEWS_SECONDS,
    REFUSED_SECONDS,
    Crash,
    CrashLedger,
    Standing,
)


@pytest.fixture
def ledger(clock):
    return CrashLedger(clock)


def crash(number: int, content: str = "c", alone: bool | None = None) -> Crash:
    """The crash of an engine; from the third on the content ran alone unless told otherwise."""
    return Crash(content, Incarnation(f"i-{number}/7"), number >= 2 if alone is None else alone)


def test_the_first_crash_changes_nothing_the_second_is_a_suspicion_the_third_a_verdict(ledger):
    standings = []
    for number in range(3):
        ledger.take(crash(number))
        standings.append(ledger.standing("c"))
    assert standings == [Standing.FREE, Standing.TRIAL, Standing.REFUSED]
    assert ledger.refused() == 1


def test_engines_that_end_at_one_moment_condemn_nothing_that_many_ran(ledger):
    for number in range(9):
        ledger.take(crash(number, alone=False))
    assert ledger.standing("c") is Standing.TRIAL


def test_that_it_ran_alone_is_news_of_a_crash_that_is_known(ledger):
    for number in range(3):
        ledger.take(crash(number, alone=False))
    assert ledger.take(crash(2, alone=True))
    assert not ledger.take(crash(2, alone=False))
    assert ledger.standing("c") is Standing.REFUSED


def test_a_crash_beside_another_suspected_content_is_no_proof_until_that_one_is_cleared(ledger):
    """``/safe/x`` was refused: it had its turn at an engine that a deadly content reached for the
    second time, so that this one did not need a turn yet."""
    for number in (0, 1):
        ledger.take(crash(number))
    ledger.take(crash(5, "beside", alone=False))
    ledger.take(crash(2, "beside", alone=False))
    ledger.take(crash(2))
    assert ledger.standing("c") is Standing.TRIAL
    ledger.clear(ledger.crashes("beside"))
    assert ledger.standing("c") is Standing.REFUSED


def test_a_verdict_waits_for_the_news_of_what_else_ran_there(ledger):
    """A node that sees the third crash knows at once; what other nodes lost there it learns 0.1 to 0.3 s
    later. ``/safe/x`` was refused 17 times in between, with a Retry-After of 60 s, and then cleared:
    n6 53.823 ``content_refused`` 0d97, n8 53.808 ``engine_ended_under`` 0642 at the same start."""
    for number in (0, 1):
        ledger.take(crash(number))
    ledger.take(crash(5, "beside", alone=False))
    ledger.take(crash(2))
    assert ledger.standing("c") is Standing.TRIAL


def test_a_verdict_that_no_news_come_to_is_passed_when_their_time_is_over(ledger, clock):
    for number in (0, 1):
        ledger.take(crash(number))
    ledger.take(crash(5, "beside", alone=False))
    ledger.take(crash(2))
    assert ledger.news_seconds("c") == NEWS_SECONDS
    clock.now += NEWS_SECONDS
    assert ledger.news_seconds("c") == 0.0
    assert ledger.standing("c") is Standing.REFUSED


def test_a_crash_beside_a_content_that_has_not_run_whole_since_is_no_proof(ledger, clock):
    """``/plain/x`` was refused 4 times in a second: it had its turn at an engine at which a deadly content
    ran for its first time. n2 41.158 ``engine_ended_under`` 0642 alone, 0d97, 7348; 42.158
    ``content_refused`` 0642; 43.190 the second engine ended under 7348, the deadly one."""
    for number in (0, 1, 2):
        ledger.take(crash(number))
    ledger.take(crash(2, "harmless", alone=False))
    ledger.take(crash(2, "deadly", alone=False))
    clock.now += NEWS_SECONDS
    assert ledger.standing("c") is Standing.TRIAL
    ledger.clear(ledger.crashes("harmless"))
    assert ledger.standing("c") is Standing.TRIAL
    ledger.clear(ledger.crashes("deadly"))
    assert ledger.standing("c") is Standing.REFUSED


def test_a_clearing_that_came_before_its_crash_is_news_that_need_not_be_waited_for(ledger):
    """Two nodes that had heard the same judged differently: at the one that heard the clearing first, the
    other content was not taken to be known at that engine, and the verdict waited for news of it."""
    ledger.clear([crash(2, "beside")])
    ledger.take(crash(2, "beside"))
    ledger.take(crash(5, "beside"))
    for number in (0, 1, 2):
        ledger.take(crash(number))
    assert ledger.standing("c") is Standing.REFUSED


def test_a_second_crash_alone_is_proof_whatever_ran_beside(ledger):
    for number in (0, 2, 3):
        ledger.take(crash(number))
        ledger.take(crash(number, "beside", alone=False))
    assert ledger.standing("c") is Standing.REFUSED
    assert ledger.standing("beside") is Standing.TRIAL


def test_two_nodes_that_tell_of_the_same_crash_count_it_once(ledger):
    assert ledger.take(crash(1)) and not ledger.take(crash(1))
    assert ledger.standing("c") is Standing.FREE


def test_a_whole_run_clears_what_was_known_and_nothing_later(ledger):
    for number in range(3):
        ledger.take(crash(number))
    ledger.clear(ledger.crashes("c"))
    assert ledger.standing("c") is Standing.FREE and ledger.refused() == 0
    for number in range(10, 13):
        ledger.take(crash(number))
    assert ledger.standing("c") is Standing.REFUSED


def test_a_clearing_that_is_learnt_before_its_crash_holds(ledger):
    ledger.clear([crash(1)])
    assert not ledger.take(crash(1))
    assert ledger.crashes("c") == []


def test_a_verdict_ends_in_a_trial_and_one_more_crash_renews_it(ledger, clock):
    for number in range(3):
        ledger.take(crash(number))
    assert ledger.refused_seconds("c") == REFUSED_SECONDS
    clock.now += REFUSED_SECONDS
    assert ledger.standing("c") is Standing.TRIAL
    ledger.take(crash(4))
    assert ledger.standing("c") is Standing.REFUSED
    assert ledger.refused_seconds("c") == 2 * REFUSED_SECONDS
    for number in range(5, 12):
        ledger.take(crash(number))
    assert ledger.refused_seconds("c") == MAX_REFUSED_SECONDS
    clock.now += MAX_REFUSED_SECONDS
    ledger.clear(ledger.crashes("c"))
    assert ledger.standing("c") is Standing.FREE


def test_a_content_without_a_crash_for_long_is_forgotten(ledger, clock):
    for number in range(3):
        ledger.take(crash(number))
    clock.now += FORGOTTEN_SECONDS + 1
    ledger.take(crash(1, "other"))
    assert len(ledger) == 1


def test_a_flood_of_new_contents_pushes_no_verdict_out(ledger, clock, monkeypatch):
    monkeypatch.setattr(crash_ledger, "MAX_CONTENTS", 50)
    for number in range(3):
        ledger.take(crash(number))
    clock.now += NEWS_SECONDS
    for number in range(500):
        ledger.take(crash(number, f"flood-{number}"))
    assert len(ledger) == 50
    assert ledger.standing("c") is Standing.REFUSED


NEWS = st.tuples(st.booleans(), st.sampled_from("ab"), st.integers(0, 4))


def told(news) -> CrashLedger:
    ledger = CrashLedger(Clock())
    for clears, content, number in news:
        if clears:
            ledger.clear([crash(number, content)])
        else:
            ledger.take(crash(number, content))
    return ledger


@given(st.lists(NEWS, max_size=30), st.randoms())
def test_nodes_that_have_heard_the_same_in_any_order_judge_alike(news, random_source):
    other = [*news, *news[:5]]
    random_source.shuffle(other)
    first, second = told(news), told(other)
    for content in "ab":
        assert first.standing(content) is second.standing(content)
        assert set(first.crashes(content)) == set(second.crashes(content))
