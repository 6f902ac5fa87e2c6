"""Replays of the small traces in virtual time, checked against their expected outcomes."""

import json

import pytest

from bench.emulator import EmulatedRun, hit_rate_ceilings
from bench.replay import SEED, run_variant, scenario_for
from bench.traces import GENERATORS, TRACES, read_trace
from bench.variants import BASELINES, VARIANTS, wheelslip_variant


@pytest.mark.parametrize("name", list(GENERATORS))
def test_committed_trace_equals_trace_generated_from_its_seed(name):
    seconds = {"thibodeau-burst": 30.0, "tbilisi-audit": 45.0}[name]
    assert read_trace(TRACES / f"{name}.jsonl") == GENERATORS[name](SEED, seconds)


@pytest.mark.parametrize("faults", [False, True])
@pytest.mark.parametrize("name", list(GENERATORS))
def test_replay_meets_expected_outcomes_of_trace(name, faults):
    trace = read_trace(TRACES / f"{name}.jsonl")
    expected_outcomes = json.loads((TRACES / f"{name}.outcomes.json").read_text())
    limits = expected_outcomes["with faults" if faults else "without faults"]
    scenario = scenario_for(name, faults, trace[-1].timestamp / 1000)
    summaries = {variant.name: run_variant(trace, variant, scenario) for variant in VARIANTS}
    wheelslip = summaries["wheelslip"]
    baselines = [summaries[variant.name] for variant in BASELINES]
    best_p99 = min(summary.ttft_p99_s for summary in baselines)
    assert wheelslip.ttft_p99_s <= limits["p99_to_best_baseline"] * best_p99
    assert wheelslip.hit_rate >= limits["hit_rate_at_least"]
    assert wheelslip.wasted_tokens_share <= limits["wasted_tokens_share_at_most"]
    recomputed = wheelslip.wasted_tokens_share + wheelslip.evicted_tokens_share
    best_recomputed = min(
        summary.wasted_tokens_share + summary.evicted_tokens_share for summary in baselines
    )
    assert recomputed <= limits["recomputed_to_best_baseline"] * best_recomputed
    assert wheelslip.duplicates == 0


def test_repeated_run_with_same_seed_gives_same_metrics():
    trace = read_trace(TRACES / "tbilisi-audit.jsonl")[:120]
    scenario = scenario_for("tbilisi-audit", True, 15)
    runs = [EmulatedRun(trace, wheelslip_variant(), scenario, SEED).run() for _ in range(2)]
    assert runs[0] == runs[1]


def test_hit_rate_ceiling_with_bounded_memory_is_below_infinite_cache():
    trace = read_trace(TRACES / "tbilisi-audit.jsonl")
    infinite, bounded = hit_rate_ceilings(trace, scenario_for("tbilisi-audit", False, 0))
    assert 0 < bounded < infinite < 1
