"""Measure scheduler time per request, index memory per block and time per policy decision."""

import itertools
import random
import time
import tracemalloc

import fire

from wheelslip.operators.declarations import Kind, check_spec
from wheelslip.operators.files import read_declarations
from wheelslip.operators.policy import SAMPLE_FACTS, PolicyFacts, PolicyProgram
from wheelslip.routing.caches.index import PrefixIndex
from wheelslip.routing.cost import SchedulerOptions
from wheelslip.routing.model import Dispatch, EngineInfo, RoutingRequest, ServiceClass
from wheelslip.routing.scheduler import Scheduler
from wheelslip.tables import format_table

BLOCK_COUNTS = (1_000, 8_000, 63_000)
ENGINE_COUNTS = (9, 25, 77)
_PROMPT_BLOCKS = 250
_REQUEST_COUNT = 300
_POLICY_DECISION_COUNT = 5_000


def _routing_request(number: int, keys: tuple[int, ...], now: float) -> RoutingRequest:
    return RoutingRequest(
        f"r{number}",
        "t",
        "m",
        ServiceClass.INTERACTIVE,
        lambda version: keys,
        len(keys) * 64 + 50,
        20,
        now,
        now + 100,
    )


def microseconds_per_request(blocks: int, engines: int) -> float:
    """Return the mean scheduler time per request: submission, first token and completion.

    :param blocks: number of indexed prompt blocks.
    """
    scheduler = Scheduler(SchedulerOptions(use_home_lookup=False), random.Random(1))
    for number in range(engines):
        info = EngineInfo(f"e{number}", "", "z", "i", "m", "v1")
        scheduler.update_engine(info, 0.0)
    prompts = [
        tuple(range(start, start + _PROMPT_BLOCKS)) for start in range(0, blocks, _PROMPT_BLOCKS)
    ]
    for prompt, number in zip(prompts, itertools.cycle(range(engines)), strict=False):
        scheduler.record_stored(f"e{number}", "i", prompt, 0.0)
    random_source = random.Random(2)
    elapsed = 0.0
    for number in range(_REQUEST_COUNT):
        now = 0.001 * number
        request = _routing_request(number, random_source.choice(prompts), now)
        started_at = time.perf_counter()
        decisions = scheduler.submit(request, now)
        if any(isinstance(decision, Dispatch) for decision in decisions):
            scheduler.first_token(request.request_id, now + 0.0005)
            scheduler.finished(request.request_id, len(request.keys("v1")) * 64, now + 0.0009)
        elapsed += time.perf_counter() - started_at
    return elapsed / _REQUEST_COUNT * 1e6


def bytes_per_block(blocks: int) -> float:
    """Return the memory that the prefix index uses per indexed block."""
    tracemalloc.start()
    index = PrefixIndex()
    for engine in range(9):
        index.set_incarnation(f"e{engine}", "i")
    random_source = random.Random(3)
    baseline = tracemalloc.get_traced_memory()[0]
    for number in range(blocks // 100):
        keys = tuple(random_source.getrandbits(64) for _ in range(100))
        index.record_stored(f"e{number % 9}", "i", keys, float(number))
    used = tracemalloc.get_traced_memory()[0] - baseline
    tracemalloc.stop()
    return used / len(index)


def microseconds_per_policy_decision() -> float:
    """Return the mean time of one decision of the ``burst`` policy in ``examples/thibodeau``."""
    objects = read_declarations("examples/thibodeau")
    spec = check_spec(Kind.POLICY, objects["Policy/burst"])
    program = PolicyProgram("burst", spec.program)
    facts = PolicyFacts(**SAMPLE_FACTS)
    started_at = time.perf_counter()
    for _ in range(_POLICY_DECISION_COUNT):
        program.decide(facts)
    return (time.perf_counter() - started_at) / _POLICY_DECISION_COUNT * 1e6


def main() -> None:
    """Run the measurements and print their results."""
    rows = [
        (blocks, *[f"{microseconds_per_request(blocks, engines):.0f}" for engines in ENGINE_COUNTS])
        for blocks in BLOCK_COUNTS
    ]
    print(f"microseconds a request (prompt of {_PROMPT_BLOCKS} blocks), by engines")
    print(format_table(("known blocks", *[str(engines) for engines in ENGINE_COUNTS]), rows))
    rows = [(blocks, f"{bytes_per_block(blocks):.0f}") for blocks in BLOCK_COUNTS]
    print(format_table(("known blocks", "bytes a block"), rows))
    print(f"microseconds a policy decision: {microseconds_per_policy_decision():.0f}")


if __name__ == "__main__":
    fire.Fire(main)
