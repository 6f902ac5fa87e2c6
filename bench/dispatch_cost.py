"""Measure a dispatcher's time per request for services with different numbers of workers."""

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
from wheelslip.routing.limits.limit_authority import SingleNodeAuthority
from wheelslip.routing.limits.named_limits import WorkerRateLimits
from wheelslip.routing.limits.tenant_limits import TenantLimits
from wheelslip.routing.limits.worker_allowance import WorkerAllowance
from wheelslip.routing.placement import PlacementQuery
from wheelslip.tables import format_table
from wheelslip.wire import decode_frame, encode_frame

WORKER_COUNTS = (5, 40, 59)
REQUEST_COUNT = 2000
MAX_RUNNING_REQUESTS = 200
"""Maximum number of concurrently running requests."""

SESSION_COUNT = 400
SERVICE = "s"
_ENGINE_PROFILE = EngineProfile(16, 95_000, 160_000, 9e10)


class _StaticView:
    """Static view of a deployment with one service."""

    def __init__(self, workers: int):
        self.configuration = RoutingConfiguration(
            1,
            {},
            {SERVICE: Service(SERVICE, 1000, _ENGINE_PROFILE)},
            (),
            {},
            False,
            (),
            CallerLimits(),
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


def _placement_query(number: int, random_source: random.Random) -> PlacementQuery:
    session = random_source.randrange(SESSION_COUNT)
    parts = (
        PromptPart(f"{session % 4:08x}", 2500),
        PromptPart(f"{session:08x}", 3800),
        PromptPart(f"{number:08x}", 2900),
    )
    return PlacementQuery(SERVICE, SERVICE, "m", 9200, 50, parts, patience_seconds=60.0, zone="z")


def microseconds_per_request(workers: int) -> float:
    """Return the mean time per request: query, grant, first token and completion."""
    ticks = itertools.count()
    clock = lambda: next(ticks) * 1e-5  # noqa: E731
    placement = FleetPlacement(_StaticView(workers), clock, random.Random(1))
    limits = TenantLimits(dict, SingleNodeAuthority(clock), clock)
    allowance = WorkerAllowance(WorkerRateLimits(clock), SingleNodeAuthority(clock))
    dispatcher = Dispatcher(placement, limits, allowance, clock)
    random_source, running, elapsed = random.Random(2), [], 0.0
    for number in range(REQUEST_COUNT):
        query_id = QueryId("0123456789ab", number)
        frame = encode_frame(
            ("ask", WorkerQuery.of(query_id, _placement_query(number, random_source)))
        )
        started_at = time.perf_counter()
        _, query = decode_frame(frame, tuple[str, WorkerQuery])
        placement = dispatcher.grant(query.query_id(), query.placement_query())
        encode_frame(("grant", WorkerGrant(number, "0123456789ab", placement.worker.info.id)))
        dispatcher.record_progress(query_id, Progress.FIRST_TOKEN)
        if len(running) == MAX_RUNNING_REQUESTS:
            dispatcher.record_progress(running.pop(0), Progress.ENDED)
        elapsed += time.perf_counter() - started_at
        running.append(query_id)
    return elapsed / REQUEST_COUNT * 1e6


def main() -> None:
    """Print the mean time per request for each number of workers."""
    rows = [(workers, f"{microseconds_per_request(workers):.0f}") for workers in WORKER_COUNTS]
    print(format_table(("workers", "microseconds a request"), rows))


if __name__ == "__main__":
    fire.Fire(main)
