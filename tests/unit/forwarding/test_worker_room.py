"""Limit of the requests that a node without a dispatcher sends to each worker."""

import asyncio
import json
import random

import pytest

from standins.platform_worker import worker_entry
from wheelslip.connections.worker_pool import WorkerPool
from wheelslip.forwarding.assignment import Assignment, WorkerAssigner
from wheelslip.routing.load_table import LoadAtWorker, LoadTable
from wheelslip.routing.overload import Overloaded
from wheelslip.routing.placement import PlacementQuery
from wheelslip.routing.queue.service_queue import QueueRejected, ServiceQueue
from wheelslip.routing.queue.service_times import ServiceTimes, TimesByService
from wheelslip.routing.queue.waiting_request import QueuedQuery
from wheelslip.routing.worker_choice import WorkerPlacement
from wheelslip.tunnels.connector import WorkerConnector
from wheelslip.tunnels.direct_paths import DirectPaths

CAPACITY = 3
ENGINE = {"capacity": 4, "kv_capacity": 1000, "kv_token_bytes": 1, "link_mbps": 1e6}


def add_workers(registry, *names: str, engine: dict | None = None) -> None:
    service = {"name": "s", "backend_engine": engine} if engine else {"name": "s"}
    document = {
        "version": 1,
        "routes": [{"host": "h", "path_prefix": "/", "kind": "idempotent", "service": "s"}],
        "services": [service],
    }
    registry.apply("op/config", json.dumps(document).encode(), 1)
    model = "m" if engine else ""
    for number, name in enumerate(names):
        registry.apply(f"servers/{name}", worker_entry(capacity=CAPACITY, model=model), 2 + number)


def placement_of(registry, clock, table=None, limits=True) -> WorkerPlacement:
    return WorkerPlacement(registry, clock, random.Random(1), table, limits_load=lambda: limits)


def send(records: WorkerPlacement, query: PlacementQuery) -> tuple:
    placement = records.choose(query)
    return placement, records.begin(placement)


PLAIN = PlacementQuery("s")
PROMPT = PlacementQuery("s", "s", "m", 200, 50)


def test_workers_get_no_more_than_their_capacity(registry, clock):
    """Nodes without a dispatcher queued up to 79 requests at a worker of 4 slots."""
    add_workers(registry, "a", "b")
    records = placement_of(registry, clock)
    chosen = [send(records, PLAIN)[0].worker.info.id for _ in range(2 * CAPACITY)]
    assert sorted(chosen) == ["a"] * CAPACITY + ["b"] * CAPACITY
    with pytest.raises(Overloaded):
        records.choose(PLAIN)


def test_worker_is_used_again_after_a_request_ends(registry, clock):
    add_workers(registry, "a")
    records = placement_of(registry, clock)
    sent = [send(records, PLAIN) for _ in range(CAPACITY)]
    with pytest.raises(Overloaded):
        records.choose(PLAIN)
    records.end(*sent[0], had_first_token=True)
    assert records.choose(PLAIN) is not None


def test_requests_of_other_nodes_count(registry, clock):
    """Each node alone would fill every worker again."""
    add_workers(registry, "a", "b")
    table = LoadTable()
    table.record_loads("relay", [LoadAtWorker("a", CAPACITY, 0)], clock())
    records = placement_of(registry, clock, table)
    for _ in range(CAPACITY):
        assert send(records, PLAIN)[0].worker.info.id == "b"
    with pytest.raises(Overloaded):
        records.choose(PLAIN)


def test_without_the_switch_workers_above_their_capacity_are_used(registry, clock):
    """The behaviour of nodes without the queue must not change."""
    add_workers(registry, "a")
    records = placement_of(registry, clock, limits=False)
    for _ in range(4 * CAPACITY):
        send(records, PLAIN)
    records.require_room(PLAIN)


def test_request_that_was_sent_before_is_admitted(registry, clock):
    """It may have run, so a 503 would break the promise that it has not."""
    add_workers(registry, "a")
    records = placement_of(registry, clock)
    for _ in range(CAPACITY):
        send(records, PLAIN)
    assert records.choose(PLAIN._replace(sent_before=True)) is not None


def test_no_worker_is_not_reported_as_overload(registry, clock):
    """The forwarder waits for a worker to appear instead of rejecting the request."""
    add_workers(registry, "a")
    records = placement_of(registry, clock)
    assert records.choose(PLAIN._replace(excluded=frozenset({"a"}))) is None
    assert records.choose(PlacementQuery("other")) is None


def test_engine_is_limited_by_its_slots(registry, clock):
    add_workers(registry, "a", engine=ENGINE)
    records = placement_of(registry, clock)
    query = PROMPT._replace(prompt_tokens=10, output_tokens=10)
    for _ in range(ENGINE["capacity"]):
        send(records, query)
    with pytest.raises(Overloaded):
        records.choose(query)


def test_engine_is_limited_by_its_cache_memory(registry, clock):
    """Requests beyond the KV cache wait at the engine although it has free slots."""
    add_workers(registry, "a", engine=ENGINE)
    records = placement_of(registry, clock)
    for _ in range(2):
        send(records, PROMPT._replace(prompt_tokens=350))
    with pytest.raises(Overloaded):
        records.choose(PROMPT._replace(prompt_tokens=350))
    assert records.choose(PROMPT._replace(prompt_tokens=100)) is not None


def test_prompt_larger_than_the_cache_is_not_rejected_for_ever(registry, clock):
    """No retry time is right for it; the engine answers that it is too long."""
    add_workers(registry, "a", engine=ENGINE)
    records = placement_of(registry, clock)
    assert records.choose(PROMPT._replace(prompt_tokens=5000)) is not None


def test_requests_whose_connection_is_being_opened_count(registry, clock):
    """All requests of a burst are assigned before the first of them is sent."""
    add_workers(registry, "a")
    records = placement_of(registry, clock)
    assignments = [
        Assignment(records.choose(PLAIN), records, None, None, None, ServiceTimes(), clock)
        for _ in range(CAPACITY)
    ]
    with pytest.raises(Overloaded):
        records.choose(PLAIN)
    assignments[0].record_unused()
    assert records.choose(PLAIN) is not None
    assignments[1].begin()
    assignments[2].record_unreachable()
    assert records.total_load("a").running == 1
    assert not records.room._unsent and not records.room._unsent_tokens


class _Limits:
    """Counts the requests charged to tenants."""

    charged = 0

    def charge(self, query: PlacementQuery) -> None:
        self.charged += 1


def test_rejected_request_is_not_charged_to_its_tenant(registry, clock):
    """A rejected caller returns as a new request and would be charged twice."""
    add_workers(registry, "a")
    records, limits = placement_of(registry, clock), _Limits()
    paths = DirectPaths(clock)
    for _ in range(CAPACITY):
        send(records, PLAIN)
    assigner = WorkerAssigner(
        "z",
        registry,
        records,
        WorkerPool(clock, paths, WorkerConnector(paths, None, clock)),
        None,
        limits,
        None,
        TimesByService(),
        lambda: False,
        lambda: True,
        lambda job, service: frozenset(),
        clock,
    )
    with pytest.raises(Overloaded):
        asyncio.run(assigner._charge_quota(None, PLAIN._replace(tenant="t", limit_units=1.0)))
    assert limits.charged == 0


def test_node_alone_expects_other_nodes_to_keep_their_share(registry, clock):
    """Each of three nodes let as many requests wait as if it had all workers to itself."""
    add_workers(registry, *"abcd")
    table = LoadTable()
    table.record_loads("relay", [LoadAtWorker(name, 2, 0) for name in "abcd"], clock())
    records, times = placement_of(registry, clock, table), ServiceTimes()
    for _ in range(4):
        send(records, PLAIN)
        times.record_request(0, 0.1, began_before=True)
    queue = ServiceQueue(clock, lambda: records.start_capacity("s"), times, lambda: True)
    queued = QueuedQuery(PLAIN._replace(patience_seconds=1.0), 0.0, 1.0)
    accepted = 0
    with pytest.raises(QueueRejected):
        for number in range(200):
            queue.offer(queue.submit(number, queued))
            accepted += 1
    # A third of the twelve slots starts 40 requests of 0.1 s until 0.1 s before the deadline.
    assert 30 <= accepted <= 45
