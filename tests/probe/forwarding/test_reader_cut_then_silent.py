"""The store reader loses the store, and its follower's polls get no response soon after.

The follower must check the age of its view during a poll too, not only between two polls.
"""

import asyncio
import time

from standins.fault_proxy import Fault, FaultProxy
from standins.platform_site import Site, free_port, wait_until
from standins.platform_worker import PlatformWorker
from wheelslip.forwarding.relay import RELAY_PREFIX

DRAIN_SECONDS = 2.0
SILENT_AFTER_SECONDS = 1.25
"""Shortly before the reader's unanswered watch times out and the reader reports the failure."""

HEARTBEATS = 10
HEARTBEAT_PAUSE_SECONDS = 0.05


async def start_nodes(site: Site, links: list[FaultProxy]) -> None:
    """Start ``z1``, which reads the store by the first link, and ``z2``, which polls ``z1`` by the
    second."""
    host, _, port = site.store.server.address.rpartition(":")
    links.append(FaultProxy(("127.0.0.1", free_port()), (host, int(port))))
    feed_port = free_port()
    links.append(FaultProxy(("127.0.0.1", free_port()), ("127.0.0.1", feed_port)))
    site.configure()
    await site.add_worker(PlatformWorker("i-1"), "plain")
    seed = f"127.0.0.1:{feed_port}"
    await site.add_node("z1", peers=seed, seeds=[seed], zone="z1")
    await site.wait_until_ready("z1")
    await wait_until(lambda: site.nodes["z1"].gauge("relay"), "z1 is the relay of its zone")
    site.model.put(f"{RELAY_PREFIX}z2", links[1].address.encode())
    own_address = f"127.0.0.1:{free_port()}"
    await site.add_node("z2", peers=own_address, seeds=[seed], zone="z2")
    await site.wait_until_ready("z2")
    await wait_until(lambda: site.nodes["z1"].gauge("followers") == 1, "z2 polls z1")
    site.set_store_address("z1", links[0].address)
    site.store.server.reset_all()
    await wait_until(lambda: links[0].connections, "z1 reads the store by the link")
    await asyncio.sleep(1.0)


async def write_heartbeats(site: Site) -> None:
    """Write the worker's entry repeatedly, so that all views are recent."""
    for _ in range(HEARTBEATS):
        site.write_entry(site.workers["i-1"], "plain")
        await asyncio.sleep(HEARTBEAT_PAUSE_SECONDS)


async def test_removal_is_detected_in_time_when_store_link_and_feed_fail(site):
    links = []
    try:
        await start_nodes(site, links)
        await write_heartbeats(site)
        links[0].fault = Fault.BLACKHOLE
        removed_at = time.monotonic()
        site.model.remove("servers/i-1")
        await asyncio.sleep(SILENT_AFTER_SECONDS)
        links[1].fault = Fault.BLACKHOLE
        await wait_until(lambda: not site.nodes["z2"].worker_ids(), "z2 removes the worker")
        assert time.monotonic() - removed_at < DRAIN_SECONDS
    finally:
        for link in links:
            link.stop()
