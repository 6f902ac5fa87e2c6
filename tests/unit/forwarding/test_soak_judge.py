"""The judge of the forwarding soak sees each kind of broken promise."""

import time

import pytest

from bench.forwarding_judge import (
    CONTACT_SECONDS,
    DRAIN_SECONDS,
    EVENTS,
    VERSION_SECONDS,
    Judge,
)
from bench.forwarding_limits import LimitJudge
from bench.forwarding_notices import NoticeJudge
from bench.forwarding_record import (
    BuildStarted,
    Call,
    Disruption,
    Leaving,
    LimitNamed,
    Naming,
    Part,
    Record,
    Revocation,
    Strike,
)
from bench.forwarding_soak import Soak
from standins.platform_worker import BackoffRequest, PlatformWorker, Run


@pytest.fixture
def record():
    one = Record(began_at=0.0)
    for name in ("p0", "p1"):
        one.workers[name] = PlatformWorker(name)
    one.workers["e0"] = PlatformWorker("e0", model="m")
    return one


@pytest.fixture
def judge(record):
    return Judge(record)


def called(judge, path="/plain/x", status=200, body=None, key="key-1", complete=True) -> Call:
    body = b"answer of p0 to r1" if body is None else body
    now = time.monotonic()
    call = Call("n0", "r1", path, key, now, now + 0.1, status, body, complete)
    judge._record.calls.append(call)
    judge.judge_answer(call)
    return call


def ran(record, *workers, request_id="r1"):
    for name in workers:
        record.workers[name].runs.append(Run(request_id, None, 1))


def events(numbers) -> bytes:
    return b"".join(b"id: %d\ndata: token\n\n" % one for one in numbers)


def test_what_is_as_promised_is_no_violation(judge, record):
    called(judge)
    ran(record, "p0")
    called(judge, path="/stream/x", body=events(range(EVENTS)))
    called(judge, path="/stream/x", body=events(range(2)), complete=False)
    judge.judge_all()
    assert record.violations == []


@pytest.mark.parametrize("numbers", [[0, 1, 2], [0, 2, 3, 4, 5, 6], [0, 1, 1, 2, 3, 4, 5], []])
def test_a_stream_with_a_gap_a_repeat_or_no_end(judge, record, numbers):
    called(judge, path="/resumed/x", body=events(numbers))
    assert len(record.violations) == 1


def test_another_requests_answer(judge, record):
    called(judge, body=b"answer of p0 to r2")
    assert len(record.violations) == 1


def test_a_request_that_may_not_be_repeated_runs_twice(judge, record):
    called(judge)
    ran(record, "p0", "p1")
    judge.judge_all()
    assert len(record.violations) == 1


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_refusal_of_what_has_run(judge, record, status):
    called(judge, status=status, body=b"")
    ran(record, "p0")
    judge.judge_all()
    assert len(record.violations) == 1


def test_a_revoked_key_that_is_honoured_too_late(judge, record):
    called(judge, key="old")
    ran(record, "p0")
    record.revoked.append(Revocation("old", time.monotonic() - 1.0))
    judge.judge_all()
    assert len(record.violations) == 1


def test_a_request_that_nobody_sent(judge, record):
    ran(record, "p0", request_id="smuggled")
    judge.judge_all()
    assert len(record.violations) == 1


def test_orders_out_of_turn_and_two_holders_with_one_token(judge, record):
    record.workers["p0"].orders = [{"fence": 7, "holder": "a"}, {"fence": 5, "holder": "b"}]
    record.workers["p1"].orders = [{"fence": 7, "holder": "c"}]
    judge.judge_all()
    assert len(record.violations) == 2


def test_silence_of_a_node_that_nothing_had_struck(judge, record):
    now = time.monotonic()
    record.strikes.append(Strike("n1", now - 1.0, now + 1.0))
    record.strikes.append(Strike("n0", now - 9.0, now - 5.0))
    called(judge, status=0, body=b"", complete=False)
    judge.judge_all()
    assert len(record.violations) == 1


def test_silence_of_a_node_that_was_just_killed(judge, record):
    now = time.monotonic()
    record.strikes.append(Strike("n0", now - 1.0, now + 1.0))
    called(judge, status=0, body=b"", complete=False)
    judge.judge_all()
    assert record.violations == []


# Promises with a bound in time. A worker leaves, or weights are named, at 100 s.

ACKNOWLEDGED_AT = 100.0
JUST = 0.01


def sent(record, at, seconds=0.1, status=200, complete=True, node="n0", path="/plain/x"):
    body = b"answer of p0 to r1"
    call = Call(node, "r1", path, "key-1", at, at + seconds, status, body, complete)
    record.calls.append(call)


def struck(record, part, since, until, name="", planned=False):
    record.disruptions.append(Disruption(part, name, since, until, planned))


def reached(record, at, worker="p0", leaving=None):
    """A request reaches a worker whose leaving was acknowledged."""
    sent(record, at - 0.05)
    record.workers[worker].arrivals.append(("r1", at))
    record.leavings.append(leaving or Leaving(worker, ACKNOWLEDGED_AT))


LATE = ACKNOWLEDGED_AT + DRAIN_SECONDS + JUST


def test_a_request_that_reaches_a_worker_too_late_after_its_leaving(judge, record):
    reached(record, LATE)
    judge.judge_drain()
    assert len(record.violations) == 1
    assert record.violations[0].startswith("DRAIN r1 reached p0 through n0")


def test_a_request_that_reaches_a_worker_in_time(judge, record):
    reached(record, LATE - 2 * JUST)
    judge.judge_drain()
    assert record.violations == []


def test_a_worker_that_has_returned_is_no_worker_that_left(judge, record):
    reached(record, LATE, leaving=Leaving("p0", ACKNOWLEDGED_AT, LATE - JUST))
    judge.judge_drain()
    assert record.violations == []


@pytest.mark.parametrize(
    ("part", "name"),
    [
        (Part.NODE, "n1"),
        (Part.LINK, "n1"),
        (Part.LINK, "p1"),
        (Part.WORKER, "p0"),
    ],
)
def test_trouble_of_others_excuses_no_late_request(judge, record, part, name):
    struck(record, part, ACKNOWLEDGED_AT - 1.0, LATE, name)
    reached(record, LATE)
    judge.judge_drain()
    assert len(record.violations) == 1


@pytest.mark.parametrize(("part", "name"), [(Part.NODE, "n0"), (Part.CORE, ""), (Part.LINK, "p0")])
def test_trouble_of_a_node_is_an_excuse_for_the_contact_time_and_no_longer(
    judge, record, part, name
):
    healed_at = LATE - CONTACT_SECONDS
    struck(record, part, healed_at - 1.0, healed_at + JUST, name)
    record.workers["p0"].arrivals.append(("r1", LATE))
    sent(record, LATE)
    # Acknowledged before the disruption, so that the store was stable as it did so.
    record.leavings.append(Leaving("p0", ACKNOWLEDGED_AT - 10.0))
    judge.judge_drain()
    assert record.violations == []
    record.disruptions[0].ended_at = healed_at - JUST
    judge.judge_drain()
    assert len(record.violations) == 1


def test_a_leaving_that_was_acknowledged_beside_an_outage_is_not_judged(judge, record):
    struck(record, Part.CORE, ACKNOWLEDGED_AT - 2.0, ACKNOWLEDGED_AT - 1.0)
    reached(record, ACKNOWLEDGED_AT + 60.0)
    judge.judge_drain()
    assert record.violations == []


BOUND_AT = ACKNOWLEDGED_AT + VERSION_SECONDS


def began(record, at, version=1, named=2):
    """A request begins on one version after another was named."""
    sent(record, at - 0.05, path="/stream/x")
    run = Run("r1", None, version, began_at=at)
    record.workers["e0"].runs.append(run)
    record.namings.append(Naming(named, ACKNOWLEDGED_AT))


def test_a_request_that_begins_on_replaced_weights_after_the_bound(judge, record):
    began(record, BOUND_AT + JUST)
    judge.judge_weights()
    assert len(record.violations) == 1
    assert record.violations[0].startswith("VERSION r1 began on 1 at e0 through n0")


def test_a_request_that_begins_on_replaced_weights_before_the_bound(judge, record):
    began(record, BOUND_AT - JUST)
    judge.judge_weights()
    assert record.violations == []


def test_a_request_on_the_newest_weights(judge, record):
    began(record, BOUND_AT + 60.0, version=2)
    judge.judge_weights()
    assert record.violations == []


def test_further_versions_do_not_put_the_bound_off(judge, record):
    began(record, BOUND_AT + JUST)
    record.namings.append(Naming(3, BOUND_AT - 1.0))
    judge.judge_weights()
    assert len(record.violations) == 1


@pytest.mark.parametrize(("part", "name"), [(Part.NODE, "n1"), (Part.WORKER, "e0")])
def test_a_node_that_is_turned_away_does_not_put_the_bound_off(judge, record, part, name):
    struck(record, part, ACKNOWLEDGED_AT, BOUND_AT, name)
    began(record, BOUND_AT + JUST)
    judge.judge_weights()
    assert len(record.violations) == 1


@pytest.mark.parametrize(("part", "wait"), [(Part.CORE, CONTACT_SECONDS), (Part.LINK, 0.0)])
def test_the_bound_begins_anew_after_disruption_of_store_or_links(judge, record, part, wait):
    healed_at = ACKNOWLEDGED_AT + 2.0
    struck(record, part, healed_at - 1.0, healed_at, "e1")
    began(record, healed_at + wait + VERSION_SECONDS - JUST)
    judge.judge_weights()
    assert record.violations == []
    record.workers["e0"].runs[0].began_at += 2 * JUST
    judge.judge_weights()
    assert len(record.violations) == 1


@pytest.mark.parametrize("age", [CONTACT_SECONDS - JUST, CONTACT_SECONDS + JUST])
def test_a_node_that_was_started_of_late_may_not_know_yet(judge, record, age):
    at = BOUND_AT + 5.0
    struck(record, Part.NODE, at - age, at - age, "n0")
    began(record, at)
    judge.judge_weights()
    assert len(record.violations) == (1 if age > CONTACT_SECONDS else 0)


def stopped(record, since=100.0, until=104.0):
    struck(record, Part.NODE, since, until, "n0", planned=True)
    ran(record, "p0")


@pytest.mark.parametrize(("status", "complete"), [(0, False), (200, False)])
def test_a_planned_stop_that_ends_a_request_which_has_run(judge, record, status, complete):
    stopped(record)
    sent(record, 103.0, 1.0, status, complete)
    judge.judge_planned_stops()
    assert len(record.violations) == 1
    assert record.violations[0].startswith("LOST r1")


def test_a_planned_stop_beside_requests_that_are_answered_or_never_ran(judge, record):
    stopped(record)
    sent(record, 103.0, 1.0)
    record.workers["p0"].runs.clear()
    sent(record, 103.0, 1.0, 0, False)
    judge.judge_planned_stops()
    assert record.violations == []


@pytest.mark.parametrize(
    ("part", "name", "excused"),
    [
        (Part.NODE, "n0", True),
        (Part.NODE, "n1", False),
        (Part.CORE, "", True),
        (Part.WORKER, "p0", True),
        (Part.WORKER, "p1", False),
        (Part.LINK, "p0", True),
        (Part.LINK, "p1", False),
    ],
)
def test_what_excuses_a_request_lost_beside_a_planned_stop(judge, record, part, name, excused):
    stopped(record)
    struck(record, part, 101.0, 102.0, name)
    sent(record, 103.0, 1.0, 0, False)
    judge.judge_planned_stops()
    assert len(record.violations) == (0 if excused else 1)


def test_a_disruption_lasts_as_long_as_its_block(record):
    with record.disrupted(Part.CORE) as one:
        assert one.touches(time.monotonic(), time.monotonic())
    assert not one.touches(one.ended_at + JUST, one.ended_at + 1.0)


# What workers say of themselves in their answers


def asked(record, request_id, sent_at, leaving_worker="", node="n0", ended_at=None):
    ended_at = sent_at + 0.1 if ended_at is None else ended_at
    call = Call(node, request_id, "/plain/x", "k", sent_at, ended_at, 200, b"", True)
    record.calls.append(call._replace(leaving_worker=leaving_worker))


def arrived(record, request_id, at, name="p0"):
    record.workers[name].runs.append(Run(request_id, None, 1, began_at=at))
    record.workers[name].arrivals.append((request_id, at))


def of_notices(record) -> list[str]:
    NoticeJudge(record).judge()
    return record.violations


def test_a_request_long_after_the_word_of_leaving_was_passed_on_is_a_violation(record):
    for request_id, sent_at, node in (("r1", 1.0, "n0"), ("r2", 3.0, "n0"), ("r3", 3.2, "n0")):
        asked(record, request_id, sent_at, "p0", node)
        arrived(record, request_id, sent_at)
    asked(record, "r4", 9.0, "", "n1")
    arrived(record, "r4", 9.0)
    (found,) = of_notices(record)
    assert found.startswith("DRAIN r3 reached p0 through n0")


def test_the_word_of_the_worker_at_which_a_stream_began_is_not_of_the_one_where_it_went_on(record):
    """e2 had said that it leaves and broke a stream off, which went on at e1: 23 violations that were
    none (``attempt_failed`` at e2, then ``request_finished`` with 2 attempts at e1)."""
    asked(record, "r1", 1.0, "p1")
    arrived(record, "r1", 1.0, "p1")
    arrived(record, "r1", 1.05, "p0")
    asked(record, "r2", 5.0)
    arrived(record, "r2", 5.0, "p0")
    assert of_notices(record) == []


def test_a_restart_since_the_word_is_an_excuse_and_a_signal_before_it_is_none(record):
    asked(record, "r1", 1.0, "p0")
    arrived(record, "r1", 1.0)
    asked(record, "r2", 9.0)
    arrived(record, "r2", 9.0)
    record.strikes.append(Strike("n0", 0.1, 0.9))
    assert len(of_notices(record)) == 1
    record.violations.clear()
    record.strikes.append(Strike("n0", 4.0, 5.0))
    assert of_notices(record) == []


def rested(record, *arrivals):
    record.workers["p0"].backoff_requests.append(BackoffRequest("r0", 1.0, "3"))
    asked(record, "r0", 0.9)
    for number, at in enumerate(arrivals):
        asked(record, f"r{number + 1}", at - 0.01)
        arrived(record, f"r{number + 1}", at)


def test_three_requests_in_a_rest_are_a_violation_and_two_are_none(record):
    rested(record, 1.3, 1.4, 2.0, 3.9, 4.1)
    assert of_notices(record) == []
    asked(record, "r9", 3.0)
    arrived(record, "r9", 3.0)
    assert of_notices(record) == ["BUDGET p0 asked n0 for 3 s of rest at 1.0 s and got r3, r4, r9"]


def test_what_comes_after_a_cut_since_a_rest_began_does_not_count(record):
    rested(record, 2.0, 2.5, 3.0)
    record.disruptions.append(Disruption(Part.LINK, "p0", 1.5, 1.8))
    assert of_notices(record) == []


# Limits that workers name


def names_limit(record, at, value, name="p0"):
    record.limits.append(LimitNamed(record.workers[name], at, value))


def passed_on(record, request_id, at, limit, node="n0", name="p0"):
    call = Call(node, request_id, "/plain/x", "k", at - 0.1, at, 200, b"", True)
    record.calls.append(call._replace(limited_worker=name, limit=limit))
    arrived(record, request_id, at - 0.05, name)


def flood(record, since, count, node="n0", every=0.1):
    """A worker gets that many requests through a node, one after the other."""
    for number in range(count):
        at = since + every * number
        asked(record, f"{node}-{at:.2f}", at - 0.01, node=node)
        arrived(record, f"{node}-{at:.2f}", at)


def of_limits(record) -> list[str]:
    LimitJudge(record).judge()
    return record.violations


def limited_since_100(record, value="1") -> None:
    names_limit(record, 100.0, value)
    passed_on(record, "first", 100.2, value)


def test_more_than_a_limit_allows_is_a_violation(record):
    limited_since_100(record)
    flood(record, 102.0, 12)
    (found,) = of_limits(record)
    assert found.startswith("LIMIT p0") and "12 requests" in found


def test_as_much_as_a_limit_allows_is_none(record):
    limited_since_100(record)
    flood(record, 102.0, 11)
    assert of_limits(record) == []


def test_all_nodes_that_passed_a_limit_on_count_together(record):
    limited_since_100(record)
    passed_on(record, "second", 100.3, "1", node="n1")
    flood(record, 103.0, 6)
    flood(record, 103.05, 6, node="n1")
    assert len(of_limits(record)) == 1


def test_a_node_that_has_passed_no_limit_on_is_not_bound_by_it(record):
    limited_since_100(record)
    flood(record, 103.0, 30, node="n1")
    assert of_limits(record) == []


@pytest.mark.parametrize("since", [99.0, 100.3])
def test_the_first_time_after_a_limit_was_named_does_not_count(record, since):
    limited_since_100(record)
    flood(record, since, 12, every=0.02)
    assert of_limits(record) == []


@pytest.mark.parametrize("value", ["", "20"])
def test_a_limit_that_is_named_no_more_or_raised_binds_no_more(record, value):
    limited_since_100(record)
    names_limit(record, 101.0, value)
    flood(record, 104.0, 30)
    assert of_limits(record) == []


@pytest.mark.parametrize("part", [Part.NODE, Part.LINK])
def test_a_strike_or_a_cut_of_a_node_excuses_it(record, part):
    limited_since_100(record)
    struck(record, part, 101.0, 101.5, "n0")
    flood(record, 103.0, 30)
    assert of_limits(record) == []


def test_an_older_build_is_bound_by_no_limit(record):
    limited_since_100(record)
    record.builds.append(BuildStarted(99.0, "n0", "older"))
    flood(record, 103.0, 30)
    assert of_limits(record) == []


def test_a_failed_run_shows_the_logs_of_the_nodes_that_its_violations_name(tmp_path):
    soak = Soak(1, tmp_path, nodes=12)
    for node in ("n1", "n11"):
        (tmp_path / f"{node}.log").write_text(f"a line of {node}\n")
    soak.record.violations.append("LIMIT p0 through n11 at 3.0 s")
    soak.record.builds.append(BuildStarted(1.0, "n11", "older"))
    evidence = soak.evidence()
    assert "a line of n11" in evidence and "builds older" in evidence
    assert "a line of n1\n" not in evidence
