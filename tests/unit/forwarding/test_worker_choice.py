"""Selection of a worker by nodes that all see the same loads."""

import json
import random
from collections import Counter

from standins.platform_worker import worker_entry
from wheelslip.deployment import PromptPart
from wheelslip.forwarding_settings import BoundsSection
from wheelslip.platform.registry import PlatformRegistry
from wheelslip.registry.registry import Registry
from wheelslip.routing.load_table import LoadAtWorker, LoadTable
from wheelslip.routing.placement import PlacementQuery
from wheelslip.routing.worker_choice import WorkerPlacement

WORKERS = 40
CONFIGURATION_WITHOUT_ENGINE = {
    "version": 2,
    "routes": [{"host": "h", "path_prefix": "/", "kind": "idempotent", "service": "s"}],
    "services": [{"name": "s"}],
}
NOW = 100.0


def registry() -> Registry:
    view = Registry(PlatformRegistry(), BoundsSection, lambda: NOW)
    engine = {"capacity": 8, "kv_capacity": 100_000, "kv_token_bytes": 1, "link_mbps": 1e6}
    route = {"host": "h", "path_prefix": "/", "kind": "streaming", "service": "s"}
    document = {
        "version": 1,
        "routes": [route],
        "services": [{"name": "s", "backend_engine": engine}],
    }
    view.apply("op/config", json.dumps(document).encode(), 1)
    for number in range(WORKERS):
        view.apply(f"servers/w{number}", worker_entry(model="m", version=1), 2 + number)
    return view


def query(session: str, **changes) -> PlacementQuery:
    parts = (PromptPart("aa", 1000), PromptPart(session, 2000), PromptPart("own", 1000))
    return PlacementQuery("s", "s", "m", 4000, 10, parts, zone="z")._replace(**changes)


def place(node: int, session: str, loads: list[LoadAtWorker]) -> str:
    view, table = registry(), LoadTable()
    table.record_loads("relay", loads, NOW)
    placement = WorkerPlacement(view, lambda: NOW, random.Random(node), table)
    return placement.choose(query(session)).worker.info.id


def test_all_nodes_select_the_same_worker_for_a_session_without_load():
    assert len({place(node, "5e55", []) for node in range(12)}) == 1


def test_nodes_avoiding_a_loaded_home_select_different_workers():
    home = place(0, "5e55", [])
    loads = [LoadAtWorker(f"w{number}", 1, 30_000) for number in range(WORKERS)]
    loads = [
        load._replace(prefill_tokens=300_000) if load.worker == home else load for load in loads
    ]
    # One worker is idle, which all nodes see.
    idle = next(load.worker for load in loads if load.worker != home)
    loads = [load for load in loads if load.worker != idle]
    selected = Counter(place(node, "5e55", loads) for node in range(60))
    assert home not in selected
    assert selected[idle] <= 30 and len(selected) >= 10


def test_loads_reported_by_other_nodes_divert_a_request_from_its_home():
    home = place(0, "5e55", [])
    assert place(0, "5e55", [LoadAtWorker(home, 8, 300_000)]) != home


def test_worker_without_free_slot_or_memory_is_not_selected():
    home = place(0, "5e55", [])
    others = [LoadAtWorker(f"w{n}", 7, 0, 60_000) for n in range(WORKERS) if f"w{n}" != home]
    assert place(0, "5e55", [*others, LoadAtWorker(home, 7, 0, 60_000)]) == home
    # The home has no prefill backlog, but its memory or slots are exhausted.
    assert place(0, "5e55", [*others, LoadAtWorker(home, 7, 0, 140_000)]) != home
    assert place(0, "5e55", [*others, LoadAtWorker(home, 12, 0, 60_000)]) != home


def test_worker_with_open_connection_is_preferred_among_equals():
    view = registry()
    view.apply("op/config", json.dumps(CONFIGURATION_WITHOUT_ENGINE).encode(), 1000)
    for open_to in ("w3", "w17"):
        placement = WorkerPlacement(view, lambda: NOW, random.Random(1))
        chosen = placement.choose(query("5e55", connected=frozenset({open_to})))
        assert chosen.worker.info.id == open_to


def test_short_requests_start_on_newest_weights_during_a_rollout():
    view = registry()
    newest = {f"w{number}" for number in range(0, WORKERS, 2)}
    for number, worker_id in enumerate(sorted(newest)):
        view.apply(f"servers/{worker_id}", worker_entry(model="m", version=2), 2000 + number)
    view.apply("op/version/m", b'{"model_id":"m","version":2}', 3000)
    placement = WorkerPlacement(view, lambda: NOW, random.Random(1))
    workers = view.workers_of("s")
    long = query("5e55", prompt_tokens=9000, pause_seconds=0.5)
    short = query("5e55", prompt_tokens=900, pause_seconds=0.5)
    for _ in range(50):
        placement._preferred(long, workers)
        preferred = {worker.info.id for worker in placement._preferred(short, workers)}
    assert preferred and preferred < newest
