"""Limit of the requests that a node without a dispatcher sends to each worker."""

import asyncio

from standins.platform_site import Site
from standins.platform_worker import PlatformWorker

CAPACITY = 8
BURST = 20


class CountingWorker(PlatformWorker):
    """Records the largest number of requests that it ran at once."""

    most_running = 0

    async def _run(self, request, connection):
        self.most_running = max(self.most_running, self.running)
        await super()._run(request, connection)


async def answers_to_burst(site: Site, count: int = BURST) -> list:
    requests = (site.request("/plain/x", f"r{number}") for number in range(count))
    return await asyncio.gather(*requests)


async def site_with_worker(site: Site) -> PlatformWorker:
    site.configure()
    worker = await site.add_worker(CountingWorker("i-1", seconds=0.5), "plain")
    await site.add_node()
    await site.wait_until_ready()
    return worker


async def test_burst_above_the_capacity_is_served_while_its_callers_wait(site):
    """What exceeded the slots was rejected, although the worker could serve it in 1.5 s of 5."""
    site.routing |= {"queue": True, "dispatch": False}
    worker = await site_with_worker(site)
    answers = await answers_to_burst(site)
    assert [answer.status for answer in answers] == [200] * BURST
    assert len(worker.runs) == worker.most_running + BURST - CAPACITY == BURST


async def test_burst_beyond_the_time_of_its_callers_is_rejected_at_once_with_retry_times(site):
    """The worker needs 7.5 s for the burst, and the callers wait for 5 s."""
    site.routing |= {"queue": True, "dispatch": False}
    worker = await site_with_worker(site)
    assert (await site.request("/plain/x", "before")).status == 200
    answers = await answers_to_burst(site, 120)
    rejected = [answer for answer in answers if answer.status == 503]
    # Ten turns of the slots end within 5 s.
    assert 60 <= len(worker.runs) == 1 + 120 - len(rejected) <= 1 + 80
    retries = [float(answer.headers["retry-after"]) for answer in rejected]
    assert all(0.0 < seconds <= 10.0 for seconds in retries)
    assert sum(seconds <= 5.0 / 3.0 for seconds in retries) >= 10
    assert (await site.request("/plain/x", "later")).status == 200


async def test_without_the_queue_every_request_of_a_burst_is_sent(site):
    """Nodes without the setting behave as before."""
    worker = await site_with_worker(site)
    answers = await answers_to_burst(site)
    assert {answer.status for answer in answers} == {200}
    assert len(worker.runs) == BURST
