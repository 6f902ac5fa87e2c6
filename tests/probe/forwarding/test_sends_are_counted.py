"""What is reported as not sent has not reached a worker, and each send is counted."""

import asyncio
from collections import Counter

import pytest

from standins.partitions import Cut
from standins.platform_site import Site
from standins.platform_worker import PlatformWorker, WorkerFaults
from tests.probe.forwarding.test_path import PROMPT

ZONES = ("z1", "z2", "z3")
PATHS = {"/plain/": {}, "/safe/": {}, "/stream/x": PROMPT, "/resumed/x": PROMPT}
REQUESTS = 40
FAULTS = (
    WorkerFaults(shed=6),
    WorkerFaults(lose_responses=6),
    WorkerFaults(status=500),
    WorkerFaults(),
)


async def send(site: Site, path: str, number: int) -> None:
    try:
        await site.request(path, f"{path}{number}", ZONES[number % 3], **PATHS[path])
    except (AssertionError, OSError):
        return


@pytest.mark.parametrize("how", Cut, ids=lambda how: how.value)
async def test_each_arrival_at_a_worker_is_a_counted_send(site, how):
    """Retries that count as not sent are not limited by the retry budget."""
    site.configure()
    partitions = site.partitions()
    for number, faults in enumerate(FAULTS):
        engine = PlatformWorker(f"e-{number}", model="m", seconds=0.01)
        plain = PlatformWorker(f"p-{number}", seconds=0.01)
        for worker, service in ((engine, "engines"), (plain, "plain")):
            worker.faults = WorkerFaults(**vars(faults))
            await site.add_worker(worker, service)
    await site.add_relays(ZONES)
    partitions.cut("z1", how)
    tasks = [
        asyncio.create_task(send(site, path, number))
        for number in range(REQUESTS)
        for path in PATHS
    ]
    await asyncio.sleep(0.3)
    partitions.cut("z2", how)
    await asyncio.gather(*tasks)
    arrivals = [name for worker in site.workers.values() for name, _ in worker.arrivals]
    sends = Counter()
    for node in site.nodes.values():
        sends += node.sends()
    assert len(arrivals) <= sends.total()
    assert len(arrivals) - len({*arrivals}) <= sum(
        count for (_, send), count in sends.items() if send == "retry"
    )
    assert len(arrivals) > REQUESTS
