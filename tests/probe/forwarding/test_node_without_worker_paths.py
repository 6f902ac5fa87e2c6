"""Nodes lose their network paths to all workers, while callers, store and other nodes reach them."""

import asyncio
import itertools
from collections import Counter

import pytest

from standins.partitions import Cut, Partitions
from standins.platform_site import Site
from standins.platform_worker import PlatformWorker
from tests.probe.forwarding.test_path import PROMPT

ZONES = ("z1", "z2", "z3")
CONTACT_SECONDS = 3.0
MEASURED_SECONDS = 2.0
SERVED_SHARE = 0.95
REQUEST_INTERVAL_SECONDS = 0.2
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
