"""Replay traces with every routing variant in virtual time, without and with faults.

The results are printed as tables and written to ``build/replay.json``. Runs are deterministic.
"""

import json
import pathlib
from dataclasses import dataclass

import fire

from bench.emulator import EmulatedRun, RunMetrics, Scenario, hit_rate_ceilings
from bench.statistics_of import percentile
from bench.traces import GENERATORS, TRACES, TraceRequest, read_trace
from bench.variants import VARIANTS, Variant, wheelslip_variant
from wheelslip.tables import format_table

SEED = 1
ENGINE_COUNTS = {"thibodeau-burst": 6, "tbilisi-audit": 9}
"""Number of engines for each trace."""

ABLATIONS = {
    "no follow": {"follow": False},
    "no home": {"home_preference": False},
    "no feedback": {"feedback": False},
    "no home talk": {"use_home_lookup": False},
    "no class order": {"class_priority": False},
}


@dataclass(frozen=True)
class RunSummary:
    """Summary of one run.

    :ivar hit_rate: cached share of prompt tokens.
    :ivar wasted_tokens_share: share of prompt tokens that only another engine had cached.
    :ivar evicted_tokens_share: share of earlier seen prompt tokens that no engine has cached.
    :ivar late_share: share of requests whose first token came after their deadline.
    :ivar duplicates: non-repeatable requests that were started more than once.
    """

    hit_rate: float
    ttft_p50_s: float
    ttft_p99_s: float
    interactive_p99_s: float
    wasted_tokens_share: float
    evicted_tokens_share: float
    late_share: float
    refused: int
    duplicates: int


def scenario_for(name: str, faults: bool, seconds: float) -> Scenario:
    """Return the scenario for a trace.

    :param faults: whether load reports are delayed and engines crash.
    :param seconds: duration of the trace.
    """
    engines = ENGINE_COUNTS[name]
    if not faults:
        return Scenario(engines)
    crashes = tuple(seconds * share for share in (0.25, 0.5, 0.7))
    return Scenario(engines, report_seconds=1.0, crash_times=crashes)


def run_variant(
    trace: list[TraceRequest], variant: Variant, scenario: Scenario, seed: int = SEED
) -> RunSummary:
    """Replay a trace with a variant and return the summary."""
    metrics = EmulatedRun(trace, variant, scenario, seed).run()
    return _summarize(trace, metrics)


def _summarize(trace: list[TraceRequest], metrics: RunMetrics) -> RunSummary:
    first_token_seconds = sorted(metrics.first_token)
    tokens = max(1, metrics.prompt_tokens)
    not_repeatable = {f"r{n}" for n, request in enumerate(trace) if not request.repeatable}
    duplicates = sum(count > 1 for name, count in metrics.started.items() if name in not_repeatable)
    return RunSummary(
        round(metrics.cached_tokens / tokens, 4),
        round(percentile(first_token_seconds, 0.5), 4),
        round(percentile(first_token_seconds, 0.99), 4),
        round(percentile(sorted(metrics.interactive_first_token), 0.99), 4),
        round(metrics.wasted_tokens / tokens, 4),
        round(metrics.evicted_tokens / tokens, 4),
        round(metrics.late / len(trace), 4),
        metrics.refused,
        duplicates,
    )


def replay(name: str, trace: list[TraceRequest], variants=VARIANTS) -> dict[str, dict]:
    """Replay a trace without and with faults.

    :return: summaries by run label and variant name.
    """
    seconds = trace[-1].timestamp / 1000
    results: dict[str, dict] = {}
    for faults in (False, True):
        scenario = scenario_for(name, faults, seconds)
        label = f"{name}{' with faults' if faults else ''}"
        results[label] = {
            variant.name: run_variant(trace, variant, scenario).__dict__ for variant in variants
        }
    return results


def load_traces(size: str) -> dict[str, list[TraceRequest]]:
    """Return the traces to replay, by name.

    :param size: ``small`` reads the stored traces; any other value generates large ones.
    """
    if size == "small":
        return {name: read_trace(TRACES / f"{name}.jsonl") for name in GENERATORS}
    return {name: generate(SEED) for name, generate in GENERATORS.items()}


def main(size: str = "large", ablate: bool = False) -> None:
    """Replay all traces.

    :param size: ``small`` for the stored traces, ``large`` for generated ones.
    :param ablate: also run wheelslip with each feature disabled in turn.
    """
    build = pathlib.Path("build")
    build.mkdir(exist_ok=True)
    all_results: dict[str, dict] = {}
    variants = VARIANTS
    if ablate:
        ablations = [wheelslip_variant(name, **options) for name, options in ABLATIONS.items()]
        variants = (*VARIANTS, *ablations)
    for name, trace in load_traces(size).items():
        infinite, bounded = hit_rate_ceilings(trace, scenario_for(name, False, 0))
        print(
            f"\n{name}: {len(trace)} requests; hit rate of one infinite cache {infinite:.3f}, "
            f"of one cache of all engines' memory {bounded:.3f}"
        )
        results = replay(name, trace, variants)
        all_results |= results
        for label, summaries in results.items():
            print(f"\n{label}")
            headings = ("variant", *next(iter(summaries.values())))
            rows = [(variant, *values.values()) for variant, values in summaries.items()]
            print(format_table(headings, rows), flush=True)
    (build / "replay.json").write_text(json.dumps(all_results, indent=2))


if __name__ == "__main__":
    fire.Fire(main)
