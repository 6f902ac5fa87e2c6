"""Nodes lose their network paths to all workers, while callers, store and other nodes reach them."""

import asyncio
import itertools
from collections import Counter

import pytest

from standins.partitions import Cut, Partitions
from standins.platform_site import WAIT_TIMEOUT_SECONDS, Site, wait_until
from standins.platform_worker import PlatformWorker
from tests.probe.forwarding.test_path import PROMPT

ZONES = ("z1", "z2", "z3")
CONTACT_SECONDS = 3.0
MEASURED_SECONDS = 2.0
SERVED_SHARE = 0.95
REQUEST_INTERVAL_SECONDS = 0.2
PLAIN_PATHS = ("/plain/", "/safe/")
PATHS = {"/plain/": {}, "/safe/": {}, "/stream/x": PROMPT, "/resumed/x": PROMPT}


class Traffic:
    """Callers that send requests of all kinds to all nodes.

    :ivar outcomes: by node and path, the statuses of complete responses, 0 for others; of the
        requests that were sent last.
    """

    def __init__(self, site: Site):
        self._site = site
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task] = set()
        self.outcomes: dict[tuple[str, str], Counter] = {}
        self.request_ids: list[tuple[str, str]] = []

    async def send_for(self, seconds: float, at_once: int = 1) -> None:
        """Send requests at a constant rate.

        :param at_once: number of requests that are sent to each node and path at the same time.
        """
        self.outcomes = {}
        for _ in range(round(seconds / REQUEST_INTERVAL_SECONDS)):
            for node, path in itertools.product(self._site.nodes, [*PATHS] * at_once):
                task = asyncio.create_task(self._send(node, path, self.outcomes))
                self._tasks.add(task)
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)

    async def _send(self, node: str, path: str, outcomes: dict) -> None:
        request_id = f"r{next(self._numbers)}"
        self.request_ids.append((path, request_id))
        headers = PATHS[path] | {"Wheelslip_Deadline_Ms": 5000}
        try:
            response = await self._site.request(path, request_id, node, **headers)
            status = response.status if response.complete else 0
        except (AssertionError, OSError, TimeoutError):
            status = 0
        outcomes.setdefault((node, path), Counter())[status] += 1

    async def finish(self) -> None:
        """Wait for all responses."""
        await asyncio.gather(*self._tasks)

    def shares_served(self) -> dict[tuple[str, str], float]:
        """Return the share of requests with status 200, by node and path."""
        return {key: statuses[200] / statuses.total() for key, statuses in self.outcomes.items()}


async def start_site(site: Site) -> Partitions:
    """Start a node in each zone, and workers with and without models."""
    site.configure()
    partitions = site.partitions()
    for number in range(3):
        engine = PlatformWorker(f"i-{number}", model="m", seconds=0.01, capacity=16)
        await site.add_worker(engine, "engines")
        await site.add_worker(PlatformWorker(f"p-{number}", seconds=0.02), "plain")
    await site.add_relays(ZONES)
    return partitions


def assert_served(site: Site, traffic: Traffic) -> None:
    """Check that each node serves its callers, and that no request runs twice."""
    unserved = {
        key: share for key, share in traffic.shares_served().items() if share < SERVED_SHARE
    }
    assert not unserved, traffic.outcomes
    runs = Counter(run.request_id for worker in site.workers.values() for run in worker.runs)
    once = [
        request_id for path, request_id in traffic.request_ids if path in ("/plain/", "/stream/x")
    ]
    assert not [request_id for request_id in once if runs[request_id] > 1]


@pytest.mark.parametrize("cut", [("z1",), ("z1", "z2")], ids=len)
@pytest.mark.parametrize("how", Cut, ids=lambda how: how.value)
async def test_callers_of_cut_off_nodes_are_served_like_others(site, how, cut):
    partitions = await start_site(site)
    traffic = Traffic(site)
    await traffic.send_for(1.0)
    for node in cut:
        partitions.cut(node, how)
    await traffic.send_for(CONTACT_SECONDS)
    await traffic.send_for(MEASURED_SECONDS, at_once=3)
    await traffic.finish()
    assert_served(site, traffic)


async def isolate(site: Site, partitions: Partitions, node: str, how: Cut = Cut.HANG) -> Traffic:
    """Cut a node off from all workers and wait until it knows."""
    traffic = Traffic(site)
    partitions.cut(node, how)
    await wait_until_gauge(site, node, "isolated_from_workers", 1, traffic)
    return traffic


async def wait_until_gauge(site: Site, node: str, name: str, value: float, traffic: Traffic):
    """Send traffic until a gauge of a node has a value."""
    deadline = asyncio.get_running_loop().time() + WAIT_TIMEOUT_SECONDS
    while site.nodes[node].gauge(name) != value:
        assert asyncio.get_running_loop().time() < deadline, name
        await traffic.send_for(REQUEST_INTERVAL_SECONDS)


async def test_node_whose_paths_return_connects_directly_again(site):
    partitions = await start_site(site)
    traffic = await isolate(site, partitions, "z1")
    partitions.heal("z1")
    await wait_until_gauge(site, "z1", "engine_paths_lost", 0, traffic)
    await traffic.finish()
    opened = site.nodes["z1"].gauge("tunnels_open")
    await traffic.send_for(0.4)
    await traffic.finish()
    assert site.nodes["z1"].gauge("tunnels_open") <= opened
    assert_served(site, traffic)


async def test_node_without_requests_notices_that_its_paths_have_returned(site):
    """The only relay of a fleet stayed isolated, so that no node ordered new weights for 40 s."""
    partitions = await start_site(site)
    traffic = await isolate(site, partitions, "z1", Cut.REFUSE)
    await traffic.finish()
    partitions.heal("z1")
    node = site.nodes["z1"]
    async with asyncio.timeout(CONTACT_SECONDS):
        while node.gauge("isolated_from_workers"):
            await asyncio.sleep(0.1)


@pytest.mark.parametrize("how", Cut, ids=lambda how: how.value)
async def test_single_worker_without_a_path_is_used_through_another_node(site, how):
    partitions = await start_site(site)
    worker = site.workers["i-0"]
    for other in ("i-1", "i-2"):
        site.model.remove(f"servers/{other}")
    node = site.nodes["z1"]
    await wait_until(lambda: len(node.worker_ids()) == 4, "one engine is left")
    partitions.cut("z1", how, {worker.server.address})
    for number in range(10):
        response = await site.request("/stream/x", f"s{number}", "z1", **PROMPT)
        assert response.status == 200 and response.complete
    assert node.gauge("isolated_from_workers") == 0


async def test_dead_worker_is_not_taken_for_a_missing_path(site):
    await start_site(site)
    await site.workers["p-0"].server.stop()
    traffic = Traffic(site)
    await traffic.send_for(1.0)
    await traffic.finish()
    for node in site.nodes.values():
        assert node.gauge("isolated_from_workers") == 0
    assert_served(site, traffic)


async def test_request_through_a_tunnel_is_logged_by_both_nodes_under_its_id(site, caplog):
    partitions = await start_site(site)
    await isolate(site, partitions, "z1")
    with caplog.at_level("INFO", logger="wheelslip"):
        assert (await site.request("/plain/", "traced", "z1")).status == 200
    logged = {
        record.getMessage()
        for record in caplog.records
        if getattr(record, "request", None) == "traced"
    }
    assert {"tunnel_opened", "tunnel_served", "request_finished"} <= logged


async def test_tenant_and_key_are_checked_before_a_tunnel_is_used(site):
    partitions = await start_site(site)
    await isolate(site, partitions, "z1")
    assert (await site.request("/plain/", "bad-key", "z1", key="unknown")).status == 401
    assert (await site.request("/plain/", "good-key", "z1")).status == 200
    (run,) = site.runs("good-key")
    assert run.request.headers["wheelslip-tenant-id"] == "tenant-1"
    assert site.runs("bad-key") == []


async def test_caller_that_leaves_ends_the_run_behind_a_tunnel(site):
    partitions = await start_site(site)
    await isolate(site, partitions, "z1")
    for worker in site.workers.values():
        worker.seconds = 30.0
    caller = await site.connect("z1")
    caller.send("/plain/", "left")
    await wait_until(lambda: site.runs("left"), "it runs")
    caller.abort()
    (run,) = site.runs("left")
    await wait_until(lambda: run.closed_early, "the worker sees the close")


async def test_request_whose_tunnel_breaks_runs_once_unless_repeatable(site):
    partitions = await start_site(site)
    traffic = await isolate(site, partitions, "z1")
    # The retry budget is a share of the node's earlier requests.
    await traffic.send_for(MEASURED_SECONDS)
    await traffic.finish()
    for worker in site.workers.values():
        worker.seconds = 1.0
    requests = {path: asyncio.create_task(site.request(path, path, "z1")) for path in PLAIN_PATHS}
    await wait_until(lambda: all(site.runs(path) for path in PLAIN_PATHS), "both run")
    for name in ("z2", "z3"):
        site.nodes[name].close_tunnels()
    assert (await requests["/plain/"]).status == 502
    assert (await requests["/safe/"]).status == 200
    assert len(site.runs("/plain/")) == 1


async def test_response_that_ends_with_its_connection_is_cut_off_with_the_tunnel(site):
    """A tunnel that breaks must not look like the end of a response without a length."""
    partitions = await start_site(site)
    await isolate(site, partitions, "z1")
    for worker in site.workers.values():
        worker.faults.unframed = True
    response = await site.request("/plain/", "unframed", "z1")
    assert response.status == 200 and response.body.endswith(b"to unframed")
    for worker in site.workers.values():
        worker.seconds = 1.0
    request = asyncio.create_task(site.request("/plain/", "broken", "z1"))
    await wait_until(lambda: site.runs("broken"), "it runs")
    for name in ("z2", "z3"):
        site.nodes[name].close_tunnels()
    assert (await request).status == 502


async def test_planned_stop_of_the_node_between_cuts_no_request(site):
    partitions = await start_site(site)
    await isolate(site, partitions, "z1")
    for worker in site.workers.values():
        worker.seconds = 0.5
    requests = [asyncio.create_task(site.request("/plain/", f"p{n}", "z1")) for n in range(4)]
    await wait_until(lambda: all(site.runs(f"p{n}") for n in range(4)), "all run")
    await site.nodes["z2"].stop()
    assert [response.status for response in await asyncio.gather(*requests)] == [200] * 4


async def test_nodes_without_tunnels_are_skipped(site):
    """Builds without tunnels close such connections without a reply."""
    partitions = await start_site(site)
    site.nodes["z2"].refuse_tunnels()
    traffic = await isolate(site, partitions, "z1")
    await traffic.send_for(1.0)
    await traffic.finish()
    assert_served(site, traffic)


async def test_full_node_is_skipped(site):
    partitions = await start_site(site)
    site.nodes["z2"].hold_bytes(10**9)
    traffic = await isolate(site, partitions, "z1")
    await traffic.send_for(1.0, at_once=3)
    await traffic.finish()
    assert site.nodes["z2"].gauge("tunneled_requests_refused") > 0
    served = traffic.shares_served()
    assert all(served["z1", path] >= SERVED_SHARE for path in PATHS), traffic.outcomes


async def test_holder_without_paths_leaves_the_rollout_to_another_node(site):
    """The cut node can give no orders, and orders through another node would be a second holder's."""
    partitions = await start_site(site)
    await wait_until(
        lambda: any(node.gauge("holder") for node in site.nodes.values()), "there is a holder"
    )
    holder = next(name for name, node in site.nodes.items() if node.gauge("holder"))
    partitions.cut(holder, Cut.HANG)
    site.set_desired_version("m", 2)
    engines = [worker for worker in site.workers.values() if worker.model]
    await wait_until(lambda: all(worker.version == 2 for worker in engines), "all load it")
    assert not site.nodes[holder].gauge("holder")


async def test_refused_connections_are_no_evidence_of_crashes_if_others_connect(site, caplog):
    partitions = await start_site(site)
    for worker in site.workers.values():
        worker.seconds = 0.5
    with caplog.at_level("INFO", logger="wheelslip"):
        requests = [asyncio.create_task(site.request("/safe/", f"c{n}", "z1")) for n in range(4)]
        await wait_until(lambda: all(site.runs(f"c{n}") for n in range(4)), "all run")
        partitions.cut("z1", Cut.REFUSE)
        await asyncio.gather(*requests)
        await asyncio.sleep(1.0)
    assert "engine_ended_under" not in [record.getMessage() for record in caplog.records]
