"""Short runs of the forwarding soak, with seeds that are kept.

On code that took one node's trouble with the store for the store's own, each of these seeds has
requests reach engines that had left, or begin on replaced weights after the bound.
"""

import asyncio

import pytest

from bench.forwarding_soak import play

SECONDS = 25.0
"""How long faults are injected; starting and settling come on top."""


@pytest.mark.parametrize("seed", [2, 8])
def test_a_short_soak_breaks_no_promise(seed, tmp_path):
    soak = asyncio.run(play(seed, SECONDS, tmp_path, restarts=False))
    assert soak.record.violations == [], soak.evidence()
    # A run in which nothing fell under the bounds in time would prove nothing about them.
    assert soak.judge.judged["leavings"] > 0
    assert soak.judge.judged["calls at nodes in touch"] > 0


def test_requests_that_end_workers_reach_few_beside_all_other_faults(tmp_path):
    """Where nothing remembers a content, each repeat of one that ends workers ends another."""
    soak = asyncio.run(play(602, SECONDS, tmp_path, deadly=True))
    assert soak.record.violations == [], soak.evidence()
    assert sum(soak.deadly.crashes.values()) >= 3
    assert any(b"request_crashes_engines" in one.body for one in soak.record.calls)
    assert soak.judge.judged["calls at nodes in touch"] > 0


def test_workers_start_again_under_their_ids_and_entries_are_spoilt(tmp_path):
    """On code that held what it knew of a worker by its id, and passed unusable entries over."""
    soak = asyncio.run(play(12, SECONDS, tmp_path))
    assert soak.record.violations == [], soak.evidence()
    assert soak.faults.counts["worker_starts_again"] > 0
    assert soak.faults.counts["entry_is_spoilt"] > 0
    assert soak.judge.judged["calls at nodes in touch"] > 0


def test_workers_say_in_answers_that_they_leave_and_want_rest(tmp_path):
    """On code that read nothing of the kind in answers, this run broke 224 promises."""
    soak = asyncio.run(play(701, SECONDS, tmp_path, notices=True))
    assert soak.record.violations == [], soak.evidence()
    assert soak.judge.judged["words of leaving"] > 0
    assert soak.judge.judged["rests"] > 0


@pytest.mark.parametrize(("seed", "notices"), [(1001, False), (1118, True)])
def test_workers_name_how_many_requests_they_take(seed, notices, tmp_path):
    """On code that read no limits the first broke three promises; in the second a node never served again."""
    soak = asyncio.run(play(seed, SECONDS, tmp_path, notices=notices, limits=True))
    assert soak.record.violations == [], soak.evidence()
    assert soak.judge.judged["limits passed on"] > 0
    assert soak.judge.judged["windows of limits"] > 0
