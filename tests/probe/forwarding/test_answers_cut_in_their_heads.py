"""A peer that closes inside the head of an answer has sent no answer, however much of the head arrived."""

import asyncio

import pytest

from standins.asyncio_http import HeadCut
from standins.partitions import Cut
from standins.platform_site import Site, configuration, wait_until
from standins.platform_worker import PlatformWorker, WorkerFaults
from tests.probe.forwarding.test_path import PROMPT

CUTS = 17
SHARES = [number / CUTS for number in range(CUTS)] + [1.0]
"""Shares of a head; the last one lacks a single byte."""

PATHS = {"/plain/x": {}, "/safe/x": {}, "/stream/x": PROMPT, "/resumed/x": PROMPT}
EVENTS = 4
START_TIME_MS = 1_764_700_000_000


async def start_site(site: Site, zones=("z1",), unframed: bool = False) -> list[PlatformWorker]:
    site.configure()
    workers = []
    for name, model in (("p", ""), ("e", "m")):
        for number in range(2):
            worker = PlatformWorker(f"{name}-{number}", model=model, born=START_TIME_MS)
            worker.faults = WorkerFaults(unframed=unframed)
            await site.add_worker(worker, "engines" if model else "plain")
            workers.append(worker)
    await site.add_nodes(zones)
    return workers


def cut_heads(servers, cut: HeadCut | None) -> None:
    for server in servers:
        server.head_cut = cut


async def request_all(site: Site, prefix: str, node: str = "z1") -> int:
    """Send a request of each kind, and return how many are answered.

    An answer that looks complete must be one of a worker that sent it whole, after a retry.
    """
    answered = 0
    for path, headers in PATHS.items():
        request_id = f"{prefix}{path}"
        try:
            answer = await site.request(path, request_id, node, **headers)
        except (AssertionError, OSError):
            continue
        if answer.status == 200 and answer.complete:
            answered += 1
            events = answer.body.count(b"data: token")
            assert answer.body.endswith(request_id.encode()) or events == EVENTS, answer
    return answered


async def assert_served(site: Site, prefix: str, node: str = "z1") -> None:
    for path, headers in PATHS.items():
        for number in range(20):
            answer = await site.request(path, f"{prefix}{path}{number}", node, **headers)
            if answer.status == 200:
                break
            await asyncio.sleep(0.1)
        assert answer.status == 200 and answer.complete and answer.body, (path, answer)


@pytest.mark.parametrize("whole", [0, 1], ids=["first-answer", "second-answer"])
@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("unframed", [False, True], ids=["framed", "unframed"])
async def test_answer_cut_in_its_head_is_not_framed_as_whole(site, unframed, resets, whole):
    workers = await start_site(site, unframed=unframed)
    servers = [worker.server for worker in workers]
    for share in SHARES:
        if whole:
            cut_heads(servers, None)
            await assert_served(site, f"before {share}")
        cut_heads(servers, HeadCut(share, resets, whole))
        answered = await request_all(site, f"{share}")
        # Only a retry on a new connection is answered; a response without framing is always the first.
        assert unframed and whole or answered <= 2 * whole
    cut_heads(servers, None)
    await assert_served(site, "after")


@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
async def test_tunneled_answer_cut_in_its_head_is_not_framed_as_whole(site, resets):
    site.configure()
    partitions = site.partitions()
    workers = await start_site(site, ("z1", "z2"))
    partitions.cut("z1", Cut.REFUSE)
    await assert_served(site, "tunneled")
    assert site.nodes["z2"].gauge("tunneled_requests_served")
    for share in SHARES:
        cut_heads([worker.server for worker in workers], HeadCut(share, resets))
        assert await request_all(site, f"{share}") == 0
    cut_heads([worker.server for worker in workers], None)
    await assert_served(site, "after")


@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("share", [0.0, 0.3, 0.7, 1.0])
async def test_node_follows_store_whose_answers_were_cut_in_their_heads(site, share, resets):
    """A reply of the store that looks empty would remove workers or configuration."""
    await start_site(site)
    site.store.server.head_cut = HeadCut(share, resets)
    site.configure(configuration(2))
    await asyncio.sleep(0.5)
    assert site.nodes["z1"].configuration_version() == 1
    assert site.nodes["z1"].worker_ids() == set(site.workers)
    await assert_served(site, "meanwhile")
    site.store.server.head_cut = None
    await wait_until(
        lambda: site.nodes["z1"].configuration_version() == 2, "the node has the configuration"
    )
    await assert_served(site, "after")


@pytest.mark.parametrize("path", ["/report", "/order"])
@pytest.mark.parametrize("share", [0.0, 0.5, 1.0])
async def test_weights_are_loaded_though_reports_or_orders_are_answered_in_part(site, path, share):
    workers = await start_site(site)
    engines = [worker for worker in workers if worker.model]
    cut_heads([engine.server for engine in engines], HeadCut(share, path=path))
    site.set_desired_version("m", 2)
    await asyncio.sleep(1.0)
    cut_heads([engine.server for engine in engines], None)
    await wait_until(lambda: all(engine.version == 2 for engine in engines), "weights are loaded")
    for engine in engines:
        fences = [order["fence"] for order in engine.orders]
        assert fences == sorted(fences)
    await assert_served(site, "after")
