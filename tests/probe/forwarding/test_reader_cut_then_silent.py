"""The node that reads for others is cut from the store, and falls silent before it has noticed.

In a randomised run n0, which read the store for all, was cut off at the moment at which e0 left, and the
node that passed its view on to n3 was stopped 1.25 s later. A silent watch ends after 1.3 s, so nobody had
told n3 yet, and its poll of the stopped node had 1.0 s to go. Nothing had struck n3, which could read the
store all the while::

    DRAIN reached e0 through n3 at 3.94 s, 2.085 s after its leaving was acknowledged

Each of the two troubles alone is noticed in time. A node looked at the age of its view only between two polls.
"""

import asyncio
import time

from standins.fault_proxy import Fault, FaultProxy
from standins.platform_site import Site, free_port, until
from standins.platform_worker import PlatformWorker
from wheelslip.forwarding.relay import RELAY_PREFIX

DRAIN_SECONDS = 2.0
SILENT_AFTER_SECONDS = 1.25
"""The watch that nothing answers ends 0.05 s later, and is told."""

HEARTBEATS = 10
HEARTBEAT_PAUSE_SECONDS = 0.05


async def follower_behind(site: Site, links: list[FaultProxy]) -> None:
    """Start ``z1``, which reads the store by the first link, and ``z2``, which polls it by the second."""
    host, _, port = site.store.server.address.rpartition(":")
    links.append(FaultProxy(("127.0.0.1", free_port()), (host, int(port))))
    feed_port = free_port()
    links.append(FaultProxy(("127.0.0.1", free_port()), ("127.0.0.1", feed_port)))
    site.configure()
    await site.add_worker(PlatformWorker("i-1"), "plain")
    seed = f"127.0.0.1:{feed_port}"
    await site.add_node("z1", peers=seed, seeds=[seed], zone="z1")
    await site.ready("z1")
    await until(lambda: site.nodes["z1"].gauge("relay"), "z1 is the relay of its zone")
    site.model.put(f"{RELAY_PREFIX}z2", links[1].address.encode())
    own_peers = f"127.0.0.1:{free_port()}"
    await site.add_node("z2", peers=own_peers, seeds=[seed], zone="z2")
    await site.ready("z2")
    await until(lambda: site.nodes["z1"].gauge("followers") == 1, "z2 polls z1")
    site.lead_to_store("z1", links[0].address)
    site.store.server.reset_all()
    await until(lambda: links[0].connections, "z1 reads the store by the link")
    await asyncio.sleep(1.0)


async def write_heartbeats(site: Site) -> None:
    """Have the worker write its entry again and again, so that all views are young."""
    for _ in range(HEARTBEATS):
        site.enter(site.workers["i-1"], "plain")
        await asyncio.sleep(HEARTBEAT_PAUSE_SECONDS)


async def test_two_troubles_in_a_row_are_noticed_in_the_time_of_one(site):
    links = []
    try:
        await follower_behind(site, links)
        await write_heartbeats(site)
        links[0].fault = Fault.BLACKHOLE
        left_at = time.monotonic()
        site.model.remove("servers/i-1")
        await asyncio.sleep(SILENT_AFTER_SECONDS)
        links[1].fault = Fault.BLACKHOLE
        await until(lambda: not site.nodes["z2"].worker_ids(), "z2 gives it up")
        assert time.monotonic() - left_at < DRAIN_SECONDS
    finally:
        for link in links:
            link.stop()
