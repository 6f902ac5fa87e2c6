"""The relay of a zone reads the store for the other nodes, which do not depend on it."""

import asyncio

from standins.platform_site import configuration, free_port, wait_until
from standins.platform_worker import PlatformWorker

WATCH = ("GET", "/kv-watch")


def is_relay(node) -> bool:
    return node.gauge("relay") == 1.0


async def start_zone(site, count: int):
    """Start nodes of one zone and return the names of the relay and of the other nodes."""
    site.configure()
    await site.add_worker(PlatformWorker("i-1"), "plain")
    seed = f"127.0.0.1:{free_port()}"
    for number in range(count):
        peers = seed if number == 0 else f"127.0.0.1:{free_port()}"
        await site.add_node(f"n{number}", peers=peers, seeds=[seed])
    for name in site.nodes:
        await site.wait_until_ready(name)
    nodes = site.nodes
    await wait_until(lambda: sum(is_relay(node) for node in nodes.values()) == 1, "one relay")
    relay = next(name for name, node in nodes.items() if is_relay(node))
    expected = count - 1
    await wait_until(lambda: nodes[relay].gauge("followers") == expected, "the others follow it")
    return relay, [name for name in nodes if name != relay]


async def test_followers_receive_changes_without_reading_the_store(site):
    relay, others = await start_zone(site, 3)
    # Wait for the watches that were started before the relay was elected.
    await asyncio.sleep(1.2)
    site.store.calls.clear()
    await asyncio.sleep(2.0)
    # A watch takes 0.6 s, so three readers would exceed the limit.
    assert 1 <= site.store.calls.count(WATCH) <= 4
    site.configure(configuration(9, keys=["key-2"]))
    for name in others:
        await wait_until(lambda name=name: site.nodes[name].configuration_version() == 9, name)
        assert (await site.request("/plain/", f"old-{name}", name)).status == 401
        assert (await site.request("/plain/", f"new-{name}", name, key="key-2")).status == 200


async def test_lost_relay_is_replaced_while_the_other_nodes_stay_ready(site):
    relay, others = await start_zone(site, 3)
    lost = site.nodes.pop(relay)
    await lost.stop()
    site.configure(configuration(9, keys=["key-2"]))
    for name in others:
        await wait_until(lambda name=name: site.nodes[name].configuration_version() == 9, name)
    await wait_until(lambda: sum(is_relay(site.nodes[name]) for name in others) == 1, "a new relay")
    for name in others:
        assert site.nodes[name].is_ready()


async def test_follower_cut_off_from_the_store_stays_current_through_its_relay(site):
    relay, others = await start_zone(site, 2)
    follower = site.nodes[others[0]]
    site.disconnect_from_store(others[0])
    site.configure(configuration(9, keys=["key-2"]))
    await wait_until(lambda: follower.configuration_version() == 9, "configuration by the relay")
    await asyncio.sleep(3.0)
    assert follower.is_ready() and follower.view_age() < 2.0
    assert (await site.request("/plain/", "r1", others[0], key="key-2")).status == 200


async def test_follower_reads_the_store_when_its_relay_is_cut_off(site):
    relay, others = await start_zone(site, 2)
    site.disconnect_from_store(relay)
    site.store.server.reset_all()
    await asyncio.sleep(0.5)
    site.configure(configuration(9, keys=["key-2"]))
    follower = site.nodes[others[0]]
    await wait_until(lambda: follower.configuration_version() == 9, "configuration from the store")
    # The relay receives the change from its follower.
    await wait_until(
        lambda: site.nodes[relay].configuration_version() == 9, "configuration from the follower"
    )


async def test_node_started_while_the_store_is_silent_reads_from_a_peer(site):
    relay, _ = await start_zone(site, 2)
    site.store.server.silent = True
    seed = site.nodes[relay].settings.node.peers
    late = await site.add_node("late", peers=f"127.0.0.1:{free_port()}", seeds=[seed])
    await wait_until(lambda: late.configuration_version() == 1, "configuration from a peer")
    assert "i-1" in late.worker_ids()
    # The view is not considered newer than that of the peer.
    assert late.view_age() >= site.nodes[relay].view_age() - 0.1
