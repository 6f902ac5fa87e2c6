"""Replays every trace through every variant, with faults off and on, in virtual time.

Writes ``build/replay.json`` and prints a table; the run is the same every time.
"""

import json
import pathlib
from dataclasses import dataclass

import fire

from bench.emulator import EmulatedRun, RunFigures, Scenario, ceilings
from bench.statistics_of import percentile
from bench.traces import GENERATORS, TRACES, TraceRequest, read_trace
from bench.variants import VARIANTS, Variant, wheelslip_variant
from wheelslip.tables import format_table

SEED = 1
ENGINES = {"thibodeau-burst": 6, "tbilisi-audit": 9}
"""Workers of the brief's matcher and assayer services."""

ABLATIONS = {
    "no follow": {"follow": False},
    "no home": {"home_preference": False},
    "no feedback": {"feedback": False},
    "no home talk": {"use_home_lookup": False},
    "no class order": {"class_priority": False},
}


@dataclass(frozen=True)
class Figures:
    """Figures of one run; shares are of prompt tokens or of requests."""

    hit_rate: float
    ttft_p50_s: float
    ttft_p99_s: float
    interactive_p99_s: float
    wasted_tokens_share: float
    evicted_tokens_share: float
    late_share: float
    refused: int
    duplicates: int


def scenario_of(name: str, faults: bool, seconds: float) -> Scenario:
    """Return the scenario of a trace: its desk's engines, with faults or without."""
    engines = ENGINES[name]
    if not faults:
        return Scenario(engines)
    crashes = tuple(seconds * share for share in (0.25, 0.5, 0.7))
    return Scenario(engines, report_seconds=1.0, crash_times=crashes)


def run_variant(
    trace: list[TraceRequest], variant: Variant, scenario: Scenario, seed: int = SEED
) -> Figures:
    """Run one trace through one variant."""
    figures = EmulatedRun(trace, variant, scenario, seed).run()
    return _summary(trace, figures)


def _summary(trace: list[TraceRequest], figures: RunFigures) -> Figures:
    ordered = sorted(figures.first_token)
    tokens = max(1, figures.prompt_tokens)
    not_repeatable = {f"r{n}" for n, one in enumerate(trace) if not one.repeatable}
    duplicates = sum(count > 1 for name, count in figures.started.items() if name in not_repeatable)
    return Figures(
        round(figures.cached_tokens / tokens, 4),
        round(percentile(ordered, 0.5), 4),
        round(percentile(ordered, 0.99), 4),
        round(percentile(sorted(figures.interactive_first_token), 0.99), 4),
        round(figures.wasted_tokens / tokens, 4),
        round(figures.evicted_tokens / tokens, 4),
        round(figures.late / len(trace), 4),
        figures.refused,
        duplicates,
    )


def replay(name: str, trace: list[TraceRequest], variants=VARIANTS) -> dict[str, dict]:
    """Run a trace with faults off and on; returns figures by run and variant."""
    seconds = trace[-1].timestamp / 1000
    results: dict[str, dict] = {}
    for faults in (False, True):
        scenario = scenario_of(name, faults, seconds)
        label = f"{name}{' with faults' if faults else ''}"
        results[label] = {
            variant.name: run_variant(trace, variant, scenario).__dict__ for variant in variants
        }
    return results


def traces(size: str) -> dict[str, list[TraceRequest]]:
    """Return the committed small traces, or large ones generated from their seed."""
    if size == "small":
        return {name: read_trace(TRACES / f"{name}.jsonl") for name in GENERATORS}
    return {name: generate(SEED) for name, generate in GENERATORS.items()}


def main(size: str = "large", ablate: bool = False) -> None:
    """Replay all traces; ``--ablate`` also runs wheelslip without each mechanism."""
    build = pathlib.Path("build")
    build.mkdir(exist_ok=True)
    everything: dict[str, dict] = {}
    variants = VARIANTS
    if ablate:
        ablations = [wheelslip_variant(name, **options) for name, options in ABLATIONS.items()]
        variants = (*VARIANTS, *ablations)
    for name, trace in traces(size).items():
        infinite, bounded = ceilings(trace, scenario_of(name, False, 0))
        print(
            f"\n{name}: {len(trace)} requests; hit rate of one infinite cache {infinite:.3f}, "
            f"of one cache of all engines' memory {bounded:.3f}"
        )
        results = replay(name, trace, variants)
        everything |= results
        for label, figures in results.items():
            print(f"\n{label}")
            headings = ("variant", *next(iter(figures.values())))
            rows = [(variant, *values.values()) for variant, values in figures.items()]
            print(format_table(headings, rows), flush=True)
    (build / "replay.json").write_text(json.dumps(everything, indent=2))


if __name__ == "__main__":
    fire.Fire(main)
