"""The judge of the forwarding soak sees each kind of broken promise."""

import time

import pytest

from bench.forwarding_soak import EVENTS, Call, Revocation, Soak, Strike
from standins.platform_worker import PlatformWorker, Run


@pytest.fixture
def soak(tmp_path):
    one = Soak(1, tmp_path)
    one._site.workers["p0"] = PlatformWorker("p0")
    one._site.workers["p1"] = PlatformWorker("p1")
    return one


def called(soak, path="/plain/x", status=200, body=None, key="key-1", complete=True) -> Call:
    body = b"answer of p0 to r1" if body is None else body
    now = time.monotonic()
    call = Call("n0", "r1", path, key, now, now + 0.1, status, body, complete)
    soak._calls.append(call)
    soak._judge_answer(call)
    return call


def ran(soak, *workers, request_id="r1"):
    for name in workers:
        soak._site.workers[name].runs.append(Run(request_id, None, 1))


def events(numbers) -> bytes:
    return b"".join(b"id: %d\ndata: token\n\n" % one for one in numbers)


def test_what_is_as_promised_is_no_violation(soak):
    called(soak)
    ran(soak, "p0")
    called(soak, path="/stream/x", body=events(range(EVENTS)))
    called(soak, path="/stream/x", body=events(range(2)), complete=False)
    soak._judge_runs()
    assert soak.violations == []


@pytest.mark.parametrize("numbers", [[0, 1, 2], [0, 2, 3, 4, 5, 6], [0, 1, 1, 2, 3, 4, 5], []])
def test_a_stream_with_a_gap_a_repeat_or_no_end(soak, numbers):
    called(soak, path="/resumed/x", body=events(numbers))
    assert len(soak.violations) == 1


def test_another_requests_answer(soak):
    called(soak, body=b"answer of p0 to r2")
    assert len(soak.violations) == 1


def test_a_request_that_may_not_be_repeated_runs_twice(soak):
    called(soak)
    ran(soak, "p0", "p1")
    soak._judge_runs()
    assert len(soak.violations) == 1


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_refusal_of_what_has_run(soak, status):
    called(soak, status=status, body=b"")
    ran(soak, "p0")
    soak._judge_runs()
    assert len(soak.violations) == 1


def test_a_revoked_key_that_is_honoured_too_late(soak):
    called(soak, key="old")
    ran(soak, "p0")
    soak._revoked.append(Revocation("old", time.monotonic() - 1.0))
    soak._judge_runs()
    assert len(soak.violations) == 1


def test_a_request_that_nobody_sent(soak):
    ran(soak, "p0", request_id="smuggled")
    soak._judge_runs()
    assert len(soak.violations) == 1


def test_orders_out_of_turn_and_two_holders_with_one_token(soak):
    soak._site.workers["p0"].orders = [{"fence": 7, "holder": "a"}, {"fence": 5, "holder": "b"}]
    soak._site.workers["p1"].orders = [{"fence": 7, "holder": "c"}]
    soak._judge_orders()
    assert len(soak.violations) == 2


def test_silence_of_a_node_that_nothing_had_struck(soak):
    now = time.monotonic()
    soak._strikes.append(Strike("n1", now - 1.0, now + 1.0))
    soak._strikes.append(Strike("n0", now - 9.0, now - 5.0))
    called(soak, status=0, body=b"", complete=False)
    soak._judge_runs()
    assert len(soak.violations) == 1


def test_silence_of_a_node_that_was_just_killed(soak):
    now = time.monotonic()
    soak._strikes.append(Strike("n0", now - 1.0, now + 1.0))
    called(soak, status=0, body=b"", complete=False)
    soak._judge_runs()
    assert soak.violations == []
