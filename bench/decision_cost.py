"""Microseconds a decision and bytes a known block, against blocks and engines."""

import itertools
import random
import time
import tracemalloc

import fire

from wheelslip.operators.declarations import Kind, check_spec
from wheelslip.operators.files import read_declarations
from wheelslip.operators.policy import SAMPLE_FACTS, PolicyFacts, PolicyProgram
from wheelslip.routing.cost import SchedulerOptions
from wheelslip.routing.index import PrefixIndex
from wheelslip.routing.model import Dispatch, EngineInfo, RoutingRequest, ServiceClass
from wheelslip.routing.scheduler import Scheduler
from wheelslip.tables import format_table

BLOCKS = (1_000, 8_000, 63_000)
ENGINES = (9, 25, 77)
_PROMPT_BLOCKS = 250
_DECISIONS = 300
_POLICY_DECISIONS = 5_000


def _request(number: int, keys: tuple[int, ...], now: float) -> RoutingRequest:
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


def decision_microseconds(blocks: int, engines: int) -> float:
    """Return the mean time of one request's calls: submit, first token, end."""
    scheduler = Scheduler(SchedulerOptions(use_home_lookup=False), random.Random(1))
    for number in range(engines):
        info = EngineInfo(f"e{number}", "", "z", "i", "m", "v1")
        scheduler.update_engine(info, 0.0)
    prompts = [
        tuple(range(start, start + _PROMPT_BLOCKS)) for start in range(0, blocks, _PROMPT_BLOCKS)
    ]
    for prompt, number in zip(prompts, itertools.cycle(range(engines)), strict=False):
        scheduler.record_stored(f"e{number}", "i", prompt, 0.0)
    source = random.Random(2)
    spent = 0.0
    for number in range(_DECISIONS):
        now = 0.001 * number
        request = _request(number, source.choice(prompts), now)
        began = time.perf_counter()
        decisions = scheduler.submit(request, now)
        if any(isinstance(one, Dispatch) for one in decisions):
            scheduler.first_token(request.request_id, now + 0.0005)
            scheduler.finished(request.request_id, len(request.keys("v1")) * 64, now + 0.0009)
        spent += time.perf_counter() - began
    return spent / _DECISIONS * 1e6


def bytes_per_block(blocks: int) -> float:
    """Return the memory of the prefix index for each known block."""
    tracemalloc.start()
    index = PrefixIndex()
    for engine in range(9):
        index.set_incarnation(f"e{engine}", "i")
    source = random.Random(3)
    before = tracemalloc.get_traced_memory()[0]
    for number in range(blocks // 100):
        keys = tuple(source.getrandbits(64) for _ in range(100))
        index.record_stored(f"e{number % 9}", "i", keys, float(number))
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used / len(index)


def policy_microseconds() -> float:
    """Return the mean time of one policy decision, for the example's burst policy."""
    objects = read_declarations("examples/thibodeau")
    spec = check_spec(Kind.POLICY, objects["Policy/burst"])
    program = PolicyProgram("burst", spec.program)
    facts = PolicyFacts(**SAMPLE_FACTS)
    began = time.perf_counter()
    for _ in range(_POLICY_DECISIONS):
        program.decide(facts)
    return (time.perf_counter() - began) / _POLICY_DECISIONS * 1e6


def main() -> None:
    """Print all tables."""
    rows = [
        (blocks, *[f"{decision_microseconds(blocks, engines):.0f}" for engines in ENGINES])
        for blocks in BLOCKS
    ]
    print(f"microseconds a request (prompt of {_PROMPT_BLOCKS} blocks), by engines")
    print(format_table(("known blocks", *[str(engines) for engines in ENGINES]), rows))
    rows = [(blocks, f"{bytes_per_block(blocks):.0f}") for blocks in BLOCKS]
    print(format_table(("known blocks", "bytes a block"), rows))
    print(f"microseconds a policy decision: {policy_microseconds():.0f}")


if __name__ == "__main__":
    fire.Fire(main)
