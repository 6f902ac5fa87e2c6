"""One node reads the store for the nodes of all zones; none depends on it."""

import asyncio

from standins.platform_site import Site, configuration, until
from standins.platform_worker import PlatformWorker

WATCH = ("GET", "/kv-watch")
ZONES = ("z1", "z2", "z3")


async def relays_of(site: Site) -> None:
    """Start a node in each of three zones, each its zone's relay."""
    site.configure()
    await site.add_worker(PlatformWorker("i-1"), "plain")
    await site.add_relays(ZONES)
    first = site.nodes["z1"]
    await until(lambda: first.gauge("followers") == 2, "the others follow the first relay")


async def test_the_relays_of_all_zones_learn_of_changes_by_one_reader_of_the_store(site):
    await relays_of(site)
    # Watches that were under way when the first relay was found end.
    await asyncio.sleep(1.2)
    site.store.calls.clear()
    await asyncio.sleep(2.0)
    # One watcher asks anew after 0.6 s; three would ask three times as often.
    assert 1 <= site.store.calls.count(WATCH) <= 4
    site.configure(configuration(9, keys=["key-2"]))
    for zone in ZONES:
        await until(lambda zone=zone: site.nodes[zone].configuration_version() == 9, zone)
        assert (await site.ask("/plain/", f"old-{zone}", zone)).status == 401
        assert (await site.ask("/plain/", f"new-{zone}", zone, key="key-2")).status == 200


async def test_relays_go_on_when_the_reader_is_cut_from_the_store(site):
    await relays_of(site)
    site.cut_from_store("z1")
    site.store.server.reset_all()
    await asyncio.sleep(0.5)
    site.configure(configuration(9, keys=["key-2"]))
    for zone in ZONES:
        await until(lambda zone=zone: site.nodes[zone].configuration_version() == 9, zone)
    oldest = max(site.nodes[zone].view_age() for zone in ("z2", "z3"))
    assert oldest < 3.5
    assert all(site.nodes[zone].is_ready() for zone in ("z2", "z3"))


async def test_a_lost_reader_leaves_the_other_relays_current(site):
    await relays_of(site)
    lost = site.nodes.pop("z1")
    await lost.stop()
    site.configure(configuration(9, keys=["key-2"]))
    for zone in ("z2", "z3"):
        await until(lambda zone=zone: site.nodes[zone].configuration_version() == 9, zone)
        assert site.nodes[zone].is_ready()
