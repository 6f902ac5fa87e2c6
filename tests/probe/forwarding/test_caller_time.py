"""Requests wait as long as their callers do, over real sockets: three nodes, twelve slots of 0.1 s."""

import asyncio

import pytest

from standins.platform_site import PLAIN, STREAM, Site, configuration, wait_until
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


async def no_worker_accepts(site: Site) -> None:
    def unusable():
        return not any(
            node.accepts_new_requests(name) for node in site.nodes.values() for name in site.workers
        )

    await wait_until(unusable, "no worker accepts requests")


def write_entries(site: Site, state: str) -> None:
    for worker in site.workers.values():
        site.write_entry(worker, "plain", state)


@pytest.mark.parametrize("dispatch", [True, False])
async def test_requests_wait_while_all_workers_are_away(site, dispatch):
    """They were refused after 0.2 s, though their callers wait for 8 s."""
    site.routing |= {"dispatch": dispatch}
    await start_site(site, PLAIN)
    write_entries(site, "draining")
    await no_worker_accepts(site)
    requests = asyncio.create_task(burst(site, 30))
    await asyncio.sleep(1.0)
    write_entries(site, "ready")
    assert [answer.status for answer in await requests] == [200] * 30


async def test_waiting_requests_are_served_although_all_workers_go_for_a_while(site):
    """The queue rejected them all, though the workers were back long before their deadlines."""
    await start_site(site, PLAIN)
    requests = asyncio.create_task(burst(site, 100))
    await wait_until(
        lambda: sum(node.gauge("waiting_requests") for node in site.nodes.values()) > 30, "wait"
    )
    write_entries(site, "draining")
    await no_worker_accepts(site)
    await asyncio.sleep(0.5)
    write_entries(site, "ready")
    assert [answer.status for answer in await requests] == [200] * 100


async def test_requests_are_refused_at_once_while_no_worker_is_registered(site):
    await start_site(site, PLAIN)
    for name in site.workers:
        site.model.remove(f"servers/{name}")
    await no_worker_accepts(site)
    began_at = asyncio.get_running_loop().time()
    answers = await burst(site, 3)
    assert {answer.status for answer in answers} == {503}
    assert asyncio.get_running_loop().time() - began_at < 1.0
