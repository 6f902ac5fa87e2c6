"""Workers crash if they have to reject many requests, and say so beforehand."""

import asyncio
from collections import Counter

import pytest

from standins.platform_site import Site
from standins.platform_worker import PlatformWorker
from tests.probe.forwarding.test_path import PROMPT

ZONES = ("z1", "z2", "z3")
CAPACITY = 8
MAX_REJECTIONS = 3
CONTACT_SECONDS = 3.0
LOAD_SECONDS = 4.0
RESTART_SECONDS = 0.5


async def send(
    site: Site, path: str, seconds: float, interval: float, prefix: str, zones=ZONES
) -> Counter:
    """Send requests to nodes and return the statuses of the responses."""
    headers = PROMPT if path.startswith("/stream") else {}
    tasks = []
    for number in range(round(seconds / interval)):
        for zone in zones:
            request = site.request(path, f"{prefix}-{zone}-{number}", zone, **headers)
            tasks.append(asyncio.create_task(request))
        await asyncio.sleep(interval)
    return Counter(response.status for response in await asyncio.gather(*tasks))


@pytest.mark.parametrize("path", ["/plain/", "/stream/x"])
async def test_brittle_workers_are_not_overrun_by_more_load_than_they_can_take(site, path):
    site.configure()
    service, model = ("plain", "") if path == "/plain/" else ("engines", "m")
    for number in range(2):
        worker = PlatformWorker(f"i-{number}", model=model, seconds=0.1, capacity=CAPACITY, born=1)
        site.restart_after_crashes(worker, service, RESTART_SECONDS)
        worker.faults.brittle = MAX_REJECTIONS
        worker.faults.max_running = 4 * CAPACITY
        await site.add_worker(worker, service)
    await site.add_relays(ZONES)
    await send(site, path, CONTACT_SECONDS, 0.2, "before")
    for worker in site.workers.values():
        worker.faults.max_running = CAPACITY
    statuses = await send(site, path, LOAD_SECONDS, 0.01, "load")
    breakdowns = sum(worker.breakdowns for worker in site.workers.values())
    assert breakdowns <= 2 + 0.1 * len(site.workers)
    assert statuses[200] > LOAD_SECONDS * CAPACITY / 0.1 / 4, statuses


async def test_new_dispatcher_does_not_overrun_brittle_workers(site):
    """A dispatcher that took over granted places in which requests of its predecessor still ran."""
    site.configure()
    for number in range(3):
        worker = PlatformWorker(f"i-{number}", seconds=0.1, capacity=6, born=1)
        site.restart_after_crashes(worker, "plain", RESTART_SECONDS)
        worker.faults.brittle = MAX_REJECTIONS
        worker.faults.max_running = 6
        await site.add_worker(worker, "plain")
    await site.add_relays(ZONES)
    dispatcher = next(
        name
        for name, node in site.nodes.items()
        if node.settings.node.peers == node.relay_addresses()[1]
    )
    others = [zone for zone in ZONES if zone != dispatcher]
    await send(site, "/plain/", CONTACT_SECONDS, 0.2, "before")
    load = asyncio.create_task(send(site, "/plain/", 8.0, 0.011, "load", others))
    await asyncio.sleep(2.0)
    site.nodes[dispatcher].terminate()
    await asyncio.sleep(1.0)
    await site.kill_and_start_node(dispatcher)
    statuses = await load
    breakdowns = sum(worker.breakdowns for worker in site.workers.values())
    assert breakdowns <= 2 + 0.1 * len(site.workers), (breakdowns, statuses)
    assert statuses[200] > 8.0 * 3 * 6 / 0.1 / 4, statuses
