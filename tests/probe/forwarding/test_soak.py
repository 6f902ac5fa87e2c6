"""Short randomised runs of forwarding nodes with fixed seeds.

They guard against late requests to withdrawn workers and against late runs on replaced weights.
"""

import asyncio

import pytest

from bench.forwarding.soak import run_seed

SECONDS = 25.0
"""How long faults are injected, without startup and recovery."""


@pytest.mark.parametrize("seed", [2, 8])
def test_randomised_faults_break_no_guarantee(seed, tmp_path):
    soak = asyncio.run(run_seed(seed, SECONDS, tmp_path, restarts=False))
    assert soak.record.violations == [], soak.failure_report()
    # The run has cases to which the deadlines apply.
    assert soak.checker.checked["leavings"] > 0
    assert soak.checker.checked["calls at nodes in touch"] > 0


def test_crashing_requests_under_other_faults_reach_few_workers(tmp_path):
    """Guards against repeated requests that crash one worker after another."""
    soak = asyncio.run(run_seed(602, SECONDS, tmp_path, deadly=True))
    assert soak.record.violations == [], soak.failure_report()
    assert sum(soak.crashing_caller.crashes.values()) >= 3
    assert any(b"request_crashes_engines" in call.body for call in soak.record.calls)
    assert soak.checker.checked["calls at nodes in touch"] > 0


def test_restarts_under_same_id_and_invalid_entries_break_no_guarantee(tmp_path):
    """Guards against use of state of a previous incarnation and of workers with invalid entries."""
    soak = asyncio.run(run_seed(12, SECONDS, tmp_path))
    assert soak.record.violations == [], soak.failure_report()
    assert soak.faults.counts["worker_starts_again"] > 0
    assert soak.faults.counts["entry_is_spoilt"] > 0
    assert soak.checker.checked["calls at nodes in touch"] > 0


def test_leaving_and_backoff_notices_in_responses_are_respected(tmp_path):
    """Guards against requests to workers whose responses announced leaving or a backoff."""
    soak = asyncio.run(run_seed(701, SECONDS, tmp_path, notices=True))
    assert soak.record.violations == [], soak.failure_report()
    assert soak.checker.checked["words of leaving"] > 0
    assert soak.checker.checked["rests"] > 0


@pytest.mark.parametrize(("seed", "notices"), [(1001, False), (1118, True)])
def test_rate_limits_announced_by_workers_are_respected(seed, notices, tmp_path):
    """Guards against exceeded rate limits and against nodes that do not recover."""
    soak = asyncio.run(run_seed(seed, SECONDS, tmp_path, notices=notices, limits=True))
    assert soak.record.violations == [], soak.failure_report()
    assert soak.checker.checked["limits passed on"] > 0
    assert soak.checker.checked["windows of limits"] > 0


def test_bursts_above_the_capacity_break_no_guarantee(tmp_path):
    """Guards against rejected requests that run and against requests held beyond their deadline."""
    soak = asyncio.run(run_seed(1401, SECONDS, tmp_path, crests=True))
    assert soak.record.violations == [], soak.failure_report()
    assert soak.checker.checked["rejected calls"] > 0
    assert soak.checker.checked["calls with a deadline"] > 0
    assert soak.crests.counts["bursts"] > 0


def test_lost_paths_to_workers_and_returns_from_copies_break_no_guarantee(tmp_path):
    """Guards against unserved callers of cut-off nodes and against views of an earlier era."""
    soak = asyncio.run(run_seed(5, SECONDS, tmp_path, paths=True))
    assert soak.record.violations == [], soak.failure_report()
    assert soak.checker.checked["calls at nodes without paths"] > 0
    assert soak.paths.counts["return from copy"] > 0


def test_streams_keep_software_version_under_faults(tmp_path):
    """Guards against streams with events of several software versions."""
    soak = asyncio.run(run_seed(2001, SECONDS, tmp_path, versions=True))
    assert soak.record.violations == [], soak.failure_report()
    assert soak.versions.counts["versions 1"] > 20
    assert soak.versions.counts["broken or refused"] > 0


def test_streams_keep_software_version_when_all_nodes_end(tmp_path):
    """Guards against nodes that take the only version in their first view for a stream's."""
    soak = asyncio.run(run_seed(2201, SECONDS, tmp_path, ends=True))
    assert soak.record.violations == [], soak.failure_report()
    assert soak.versions.counts["versions 1"] > 20
    assert soak.ends.counts["replaced workers"] > 0


def test_streams_of_workers_that_restart_unseen_keep_software_version(tmp_path):
    """Guards against streams that are put down to the process of a stale entry."""
    soak = asyncio.run(run_seed(2402, SECONDS, tmp_path, reborn=True))
    assert soak.record.violations == [], soak.failure_report()
    assert soak.reborn.counts.total() > 0
    assert soak.versions.counts["versions 1"] > 20


def test_data_without_end_breaks_no_guarantee(tmp_path):
    """Guards against calls that are held, and memory that grows, while workers send such data."""
    soak = asyncio.run(run_seed(2301, SECONDS, tmp_path, garbage=True))
    assert soak.record.violations == [], soak.failure_report()
    assert soak.endless.counts["calls"] > 0
    assert soak.checker.checked["calls at nodes in touch"] > 0


def test_retries_of_all_nodes_stay_within_the_budget(tmp_path):
    """Guards against retries that add up while services fail, nodes end and the load moves."""
    soak = asyncio.run(run_seed(2501, SECONDS, tmp_path, retries=True))
    assert soak.record.violations == [], soak.failure_report()
    assert soak.retries.counts["fail"] > 0
    assert soak.checker.checked["retries"] > 0
    assert soak.checker.checked["deadlines"] > 0


def test_answers_cut_in_their_heads_break_no_guarantee(tmp_path):
    """Guards against answers that end in their heads and are passed on as whole."""
    soak = asyncio.run(run_seed(2601, SECONDS, tmp_path, heads=True))
    assert soak.record.violations == [], soak.failure_report()
    assert soak.heads.counts.total() > 0
    assert soak.checker.checked["calls at nodes in touch"] > 0


def test_prompt_parts_crowds_and_lost_power_break_no_guarantee(tmp_path):
    """Guards against workers that crash in series, crowded nodes and losses after a power failure."""
    soak = asyncio.run(run_seed(2101, SECONDS, tmp_path, deadly=True, crowds=True, power=True))
    assert soak.record.violations == [], soak.failure_report()
    assert soak.crashing_caller.crashes["dead"] >= 3
    assert soak.checker.checked["calls while most go to one node"] > 0


def test_nodes_out_of_step_while_versions_join_break_no_guarantee(tmp_path):
    """Guards against streams that go on at the only version that isolated nodes know."""
    soak = asyncio.run(run_seed(74, SECONDS, tmp_path, nodes=6, isolation=True))
    assert soak.record.violations == [], soak.failure_report()
    assert soak.isolation.counts.total() > 0
    assert soak.versions.counts["versions 1"] > 20


def test_values_and_bytes_of_other_writers_break_no_guarantee(tmp_path):
    """Guards against nodes that end, or serve no more, by what another writer put or sent."""
    soak = asyncio.run(run_seed(2801, SECONDS, tmp_path, foreign=True))
    assert soak.record.violations == [], soak.failure_report()
    assert soak.foreign.counts["overwrite_key"] > 0
    assert soak.checker.checked["calls at nodes in touch"] > 0
