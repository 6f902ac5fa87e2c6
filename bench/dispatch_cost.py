"""Microseconds that a dispatcher spends on one request, against its service's workers."""

import itertools
import random
import time

import fire

from wheelslip.deployment import (
    CallerLimits,
    EngineProfile,
    PromptPart,
    RoutingConfiguration,
    Service,
    Worker,
    WorkerInfo,
    WorkerState,
)
from wheelslip.peers.dispatch_messages import WorkerGrant, WorkerQuery
from wheelslip.routing.dispatcher import Dispatcher, Progress, QueryId
from wheelslip.routing.fleet_choice import FleetPlacement
from wheelslip.routing.limit_authority import SingleNodeAuthority
from wheelslip.routing.named_limits import WorkerRateLimits
from wheelslip.routing.placement import PlacementQuery
from wheelslip.routing.tenant_limits import TenantLimits
from wheelslip.routing.worker_allowance import WorkerAllowance
from wheelslip.tables import format_table
from wheelslip.wire import decode_frame, encode_frame

WORKERS = (5, 40, 59)
REQUESTS = 2000
RUNNING = 200
"""Requests that run at one time."""

PROMPTS = 400
SERVICE = "s"
_ENGINE = EngineProfile(16, 95_000, 160_000, 9e10)


class _View:
    """A view of a deployment that does not change."""

    def __init__(self, workers: int):
        self.configuration = RoutingConfiguration(
            1, {}, {SERVICE: Service(SERVICE, 1000, _ENGINE)}, (), {}, False, (), CallerLimits()
        )
        self.workers = {}
        for number in range(workers):
            info = WorkerInfo(
                f"w{number}", SERVICE, f"10.0.0.{number}:1", "z", WorkerState.READY, 16, {"m": 1}
            )
            self.workers[info.id] = Worker(info, {"m": 1})

    def workers_of(self, service: str) -> list[Worker]:
        return list(self.workers.values())

    def loading_workers(self) -> frozenset[str]:
        return frozenset()

    def start_deadline(self, model: str, version: int) -> float:
        return float("inf")


def _query(number: int, source: random.Random) -> PlacementQuery:
    session = source.randrange(PROMPTS)
    parts = (
        PromptPart(f"{session % 4:08x}", 2500),
        PromptPart(f"{session:08x}", 3800),
        PromptPart(f"{number:08x}", 2900),
    )
    return PlacementQuery(SERVICE, SERVICE, "m", 9200, 50, parts, target_seconds=60.0, zone="z")


def question_microseconds(workers: int) -> float:
    """Return the mean time of a request's messages: question, grant, first token, end."""
    ticks = itertools.count()
    clock = lambda: next(ticks) * 1e-5  # noqa: E731
    placement = FleetPlacement(_View(workers), clock, random.Random(1))
    limits = TenantLimits(dict, SingleNodeAuthority(clock), clock)
    allowance = WorkerAllowance(WorkerRateLimits(clock), SingleNodeAuthority(clock))
    dispatcher = Dispatcher(placement, limits, allowance, clock)
    source, running, spent = random.Random(2), [], 0.0
    for number in range(REQUESTS):
        query_id = QueryId("0123456789ab", number)
        frame = encode_frame(("ask", WorkerQuery.of(query_id, _query(number, source))))
        began = time.perf_counter()
        _, ask = decode_frame(frame, tuple[str, WorkerQuery])
        placement = dispatcher.grant(ask.query_id(), ask.placement_query())
        encode_frame(("grant", WorkerGrant(number, "0123456789ab", placement.worker.info.id)))
        dispatcher.record_progress(query_id, Progress.FIRST_TOKEN)
        if len(running) == RUNNING:
            dispatcher.record_progress(running.pop(0), Progress.ENDED)
        spent += time.perf_counter() - began
        running.append(query_id)
    return spent / REQUESTS * 1e6


def main() -> None:
    """Print the table."""
    rows = [(workers, f"{question_microseconds(workers):.0f}") for workers in WORKERS]
    print(format_table(("workers", "microseconds a request"), rows))


if __name__ == "__main__":
    fire.Fire(main)
