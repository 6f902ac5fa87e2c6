"""Requests wait as long as their callers do, over real sockets: three nodes, twelve slots of 0.1 s."""

import asyncio

import pytest

from standins.platform_site import PLAIN, STREAM, Site, configuration
from standins.platform_worker import PlatformWorker

ZONES = ("z1", "z2", "z3")
SECONDS = 0.1
TIMEOUT_MS = 8000


class SlotWorker(PlatformWorker):
    """Processes as many requests at once as it has slots; others wait in order of arrival."""

    def __post_init__(self):
        super().__post_init__()
        self._slots = asyncio.Semaphore(self.capacity)

    async def _run(self, request, connection):
        async with self._slots:
            await super()._run(request, connection)


async def start_site(
    site: Site, route: dict, model: str = "", events: int = 1, seconds: float = SECONDS
) -> None:
    """Start the site with a route to 12 slots and let its nodes measure the workers."""
    site.routing |= {"queue": True}
    route = route | {"path_prefix": "/x/", "service": "plain", "timeout_ms": TIMEOUT_MS}
    site.configure(configuration(routes=[route]))
    for number in range(3):
        worker = SlotWorker(
            f"i-{number}", model, capacity=4, seconds=seconds / events, events=events
        )
        await site.add_worker(worker, "plain")
    await site.add_relays(ZONES)
    for number in range(12):
        await request(site, f"before-{number}", number, model)


async def request(site: Site, request_id: str, number: int, model: str = ""):
    headers = {"Wheelslip_Model_Id": model} if model else {}
    return await site.request("/x/x", request_id, ZONES[number % 3], **headers)


async def burst(site: Site, count: int, model: str = "") -> list:
    requests = (request(site, f"r-{number}", number, model) for number in range(count))
    return await asyncio.gather(*requests)


@pytest.mark.parametrize("objective_ms", [100, 3000])
async def test_burst_that_workers_can_serve_in_time_is_served_whatever_the_objective(
    site, objective_ms
):
    """Half of it was refused at an objective of 0.1 s; the slots need 1.3 s and callers wait 8 s."""
    await start_site(site, PLAIN | {"target_latency_ms": objective_ms})
    answers = await burst(site, 150)
    assert [answer.status for answer in answers] == [200] * 150


async def test_streams_at_once_are_served_while_their_callers_wait(site):
    """Two thirds of the streams were refused; their callers wait for 4 s, eight pauses."""
    route = STREAM | {"target_latency_ms": 100}
    await start_site(site, route, "m", events=2, seconds=0.5)
    answers = await burst(site, 60, "m")
    assert [answer.status for answer in answers] == [200] * 60
