"""The store does not answer the node that reads it for all others, but answers those.

Followers must not rely on the reader's stale view for longer than the drain time of a worker.
"""

import asyncio
import time

from standins.fault_proxy import Fault, FaultProxy
from standins.platform_site import Site, free_port, wait_until
from standins.platform_worker import PlatformWorker

DRAIN_SECONDS = 2.0
PROBE_SECONDS = 0.05
"""Time in which a follower's probe of the store is complete."""

NODES = ("n1", "n2", "n3")


async def one_zone(site: Site, **bounds) -> None:
    """Start nodes in one zone; ``n1`` reads the store for the others."""
    seed = f"127.0.0.1:{free_port()}"
    for name in NODES:
        peers = seed if name == "n1" else f"127.0.0.1:{free_port()}"
        await site.add_node(name, peers=peers, seeds=[seed], **bounds)
        await site.wait_until_ready(name)
        if name == "n1":
            await wait_until(lambda: site.nodes["n1"].gauge("relay"), "n1 is the relay")
    await wait_until(lambda: site.nodes["n1"].gauge("followers") == 2, "the others follow n1")


async def test_departing_worker_is_dropped_in_time_beside_a_silent_store(site):
    site.configure()
    await site.add_worker(PlatformWorker("i-1"), "plain")
    host, _, port = site.store.server.address.rpartition(":")
    link = FaultProxy(("127.0.0.1", free_port()), (host, int(port)))
    try:
        await one_zone(site)
        site.set_store_address("n1", link.address)
        site.store.server.reset_all()
        await wait_until(lambda: link.connections, "n1 reads the store through the proxy")
        await asyncio.sleep(1.0)
        link.fault = Fault.BLACKHOLE
        site.store.calls.clear()
        # The store does not receive the calls of n1. The worker departs after the others' probes.
        await wait_until(
            lambda: site.store.calls.count(("GET", "/kv-watch")) >= 2, "both have probed"
        )
        await asyncio.sleep(PROBE_SECONDS)
        departed_at = time.monotonic()
        site.model.remove("servers/i-1")
        for name in NODES[1:]:
            node = site.nodes[name]
            await wait_until(lambda node=node: not node.worker_ids(), f"{name} removes it")
        assert time.monotonic() - departed_at < DRAIN_SECONDS
    finally:
        link.stop()
