"""Limit of the requests that a node without a dispatcher sends to each worker."""

import asyncio

from standins.platform_site import Site
from standins.platform_worker import PlatformWorker

CAPACITY = 8
BURST = 20


async def answers_to_burst(site: Site) -> list:
    requests = (site.request("/plain/x", f"r{number}") for number in range(BURST))
    return await asyncio.gather(*requests)


async def site_with_worker(site: Site) -> PlatformWorker:
    site.configure()
    worker = await site.add_worker(PlatformWorker("i-1", seconds=0.5), "plain")
    await site.add_node()
    await site.wait_until_ready()
    return worker


async def test_burst_above_the_capacity_is_rejected_with_a_retry_time(site):
    """Every request of a burst was sent to the worker, where most of them missed their target."""
    site.routing |= {"queue": True, "dispatch": False}
    worker = await site_with_worker(site)
    answers = await answers_to_burst(site)
    assert sorted(answer.status for answer in answers) == [200] * CAPACITY + [503] * 12
    assert len(worker.runs) == CAPACITY
    retries = [float(a.headers["retry-after"]) for a in answers if a.status == 503]
    assert all(0.0 < seconds <= 10.0 for seconds in retries)
    assert len(set(retries)) == len(retries)
    assert (await site.request("/plain/x", "later")).status == 200


async def test_without_the_queue_every_request_of_a_burst_is_sent(site):
    """Nodes without the setting behave as before."""
    worker = await site_with_worker(site)
    answers = await answers_to_burst(site)
    assert {answer.status for answer in answers} == {200}
    assert len(worker.runs) == BURST
