"""All nodes lose power at the same moment and start again."""

import asyncio

from standins.platform_site import configuration, wait_until
from tests.probe.forwarding.test_prompt_parts_that_crash_workers import (
    DEADLY,
    REFUSALS,
    ZONES,
    start_site,
)


async def test_all_nodes_serve_and_know_what_the_store_acknowledged(site):
    traffic = await start_site(site)
    while not any(REFUSALS[0] in sent.body for sent in traffic.deadly):
        await traffic.send(traffic.deadly, ("system", DEADLY), "key-1")
        await traffic.send(traffic.sound, ("system", "sound"), "key-1")
        await asyncio.sleep(0.3)
    crashes = len(site.crashes())
    tenants = [{"name": "tenant-1", "api_keys": ["key-9"]}]
    site.configure(configuration(2, tenants=tenants))
    for node in site.nodes.values():
        node.terminate()
    site.store.server.reset_all()
    await asyncio.gather(*(site.kill_and_start_node(name) for name in ZONES))
    for name in ZONES:
        await site.wait_until_ready(name)
        node = site.nodes[name]
        await wait_until(lambda node=node: node.configuration_version() == 2, "configuration")
    traffic.sound.clear()
    for _ in range(12):
        await traffic.send(traffic.deadly, ("system", DEADLY), "key-9")
        await traffic.send(traffic.sound, ("system", "sound"), "key-9")
    assert len(site.crashes()) == crashes
    assert all(REFUSALS[0] in sent.body for sent in traffic.deadly[-12:])
    assert all(sent.served for sent in traffic.sound)
