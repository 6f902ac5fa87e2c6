"""Exchange of worker loads between nodes, through the relay of their zone."""

import asyncio

from standins.platform_site import free_port, wait_until
from standins.platform_worker import PlatformWorker
from tests.probe.forwarding.test_path import PROMPT


async def test_nodes_of_a_zone_receive_each_others_loads(site):
    site.configure()
    worker = await site.add_worker(PlatformWorker("i-1", model="m", seconds=30), "engines")
    seed = f"127.0.0.1:{free_port()}"
    first = await site.add_node("n1", peers=seed)
    second = await site.add_node("n2", peers=f"127.0.0.1:{free_port()}", seeds=[seed])
    await site.wait_until_ready("n1")
    await site.wait_until_ready("n2")
    await wait_until(lambda: first.gauge("followers") + second.gauge("followers") == 1, "a relay")
    caller = await site.connect("n1")
    caller.send("/stream/x", "r1", **PROMPT)
    await wait_until(lambda: worker.runs, "request runs")
    await wait_until(
        lambda: second.running_requests_at("i-1") == 1, "the load is reported to the other node"
    )
    caller.abort()
    await wait_until(lambda: second.running_requests_at("i-1") == 0, "the end is reported")
    assert first.running_requests_at("i-1") == 0


async def test_invalid_datagrams_are_ignored(site):
    site.configure()
    worker = await site.add_worker(PlatformWorker("i-1"), "plain")
    address = f"127.0.0.1:{free_port()}"
    node = await site.add_node("n1", peers=address)
    await site.wait_until_ready()
    node.receive_datagram(b"7:garbage,")
    node.receive_datagram(b"\xff\x00")
    assert (await site.request("/plain/", "r1")).status == 200
    assert worker.runs and node.running_requests_at("i-1") == 0


async def test_stop_ends_all_tasks_without_warning(site, caplog):
    site.configure()
    worker = await site.add_worker(PlatformWorker("i-1", seconds=4), "plain")
    node = await site.add_node("n1", peers=f"127.0.0.1:{free_port()}", seeds=["127.0.0.1:9"])
    await site.wait_until_ready()
    caller = await site.connect()
    caller.send("/plain/", "r1")
    await wait_until(lambda: worker.runs, "request runs")
    with caplog.at_level("WARNING", logger="wheelslip"):
        await node.stop()
        # Longer than the interval between two reports.
        await asyncio.sleep(0.6)
    assert [record.getMessage() for record in caplog.records] == []
    assert (await caller.read_response()).status == 200
