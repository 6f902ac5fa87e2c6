"""One node of a zone reads the store for the others; none depends on it."""

import asyncio

from standins.platform_site import configuration, free_port, until
from standins.platform_worker import PlatformWorker

WATCH = ("GET", "/kv-watch")


def is_relay(node) -> bool:
    return node.gauge("relay") == 1.0


async def zone_of(site, count: int):
    """Start nodes of one zone and return the relay and the others' names."""
    site.configure()
    await site.add_worker(PlatformWorker("i-1"), "plain")
    seed = f"127.0.0.1:{free_port()}"
    for number in range(count):
        peers = seed if number == 0 else f"127.0.0.1:{free_port()}"
        await site.add_node(f"n{number}", peers=peers, seeds=[seed])
    for name in site.nodes:
        await site.ready(name)
    nodes = site.nodes
    await until(lambda: sum(is_relay(one) for one in nodes.values()) == 1, "one relay")
    relay = next(name for name, one in nodes.items() if is_relay(one))
    expected = count - 1
    await until(lambda: nodes[relay].gauge("followers") == expected, "the others follow it")
    return relay, [name for name in nodes if name != relay]


async def test_the_others_of_a_zone_learn_of_changes_without_reading_the_store(site):
    relay, others = await zone_of(site, 3)
    # Watches that were under way when the relay was found end.
    await asyncio.sleep(1.2)
    site.store.calls.clear()
    await asyncio.sleep(2.0)
    # One watcher asks anew after 0.6 s; three would ask three times as often.
    assert 1 <= site.store.calls.count(WATCH) <= 4
    site.configure(configuration(9, keys=["key-2"]))
    for name in others:
        await until(lambda name=name: site.nodes[name].configuration_version() == 9, name)
        assert (await site.ask("/plain/", f"old-{name}", name)).status == 401
        assert (await site.ask("/plain/", f"new-{name}", name, key="key-2")).status == 200


async def test_a_lost_relay_leaves_the_others_current_and_one_takes_its_place(site):
    relay, others = await zone_of(site, 3)
    lost = site.nodes.pop(relay)
    await lost.stop()
    site.configure(configuration(9, keys=["key-2"]))
    for name in others:
        await until(lambda name=name: site.nodes[name].configuration_version() == 9, name)
    await until(lambda: sum(is_relay(site.nodes[name]) for name in others) == 1, "a new relay")
    for name in others:
        assert site.nodes[name].is_ready()


async def test_a_follower_cut_from_the_store_goes_on_by_its_relay(site):
    relay, others = await zone_of(site, 2)
    follower = site.nodes[others[0]]
    site.cut_from_store(others[0])
    site.configure(configuration(9, keys=["key-2"]))
    await until(lambda: follower.configuration_version() == 9, "configuration by the relay")
    await asyncio.sleep(3.0)
    assert follower.is_ready() and follower.view_age() < 2.0
    assert (await site.ask("/plain/", "r1", others[0], key="key-2")).status == 200


async def test_a_relay_cut_from_the_store_is_not_believed(site):
    relay, others = await zone_of(site, 2)
    site.cut_from_store(relay)
    site.store.server.reset_all()
    await asyncio.sleep(0.5)
    site.configure(configuration(9, keys=["key-2"]))
    follower = site.nodes[others[0]]
    await until(lambda: follower.configuration_version() == 9, "the follower looks itself")
    # And by it the cut node learns, too.
    await until(lambda: site.nodes[relay].configuration_version() == 9, "told by the other")


async def test_a_node_that_starts_beside_a_silent_store_learns_from_a_peer(site):
    relay, _ = await zone_of(site, 2)
    site.store.server.silent = True
    seed = site.nodes[relay].settings.node.peers
    late = await site.add_node("late", peers=f"127.0.0.1:{free_port()}", seeds=[seed])
    await until(lambda: late.configuration_version() == 1, "configuration from a peer")
    assert "i-1" in late.worker_ids()
    # Never more current than what the peer knew.
    assert late.view_age() >= site.nodes[relay].view_age() - 0.1
