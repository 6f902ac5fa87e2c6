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


async def send(site: Site, path: str, seconds: float, interval: float, prefix: str) -> Counter:
    """Send requests to all nodes and return the statuses of the responses."""
    headers = PROMPT if path.startswith("/stream") else {}
    tasks = []
    for number in range(round(seconds / interval)):
        for zone in ZONES:
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
