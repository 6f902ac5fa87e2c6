"""One relay reads the store for the relays of all zones, which do not depend on it."""

import asyncio

from standins.platform_site import Site, configuration, wait_until
from standins.platform_worker import PlatformWorker

WATCH = ("GET", "/kv-watch")
ZONES = ("z1", "z2", "z3")


async def start_relays(site: Site) -> None:
    """Start one node in each of three zones, which becomes the relay of its zone."""
    site.configure()
    await site.add_worker(PlatformWorker("i-1"), "plain")
    await site.add_relays(ZONES)
    first = site.nodes["z1"]
    await wait_until(lambda: first.gauge("followers") == 2, "the others follow the first relay")


async def test_relays_of_all_zones_receive_changes_from_a_single_store_reader(site):
    await start_relays(site)
    # Wait for the watches that were started before the first relay was elected.
    await asyncio.sleep(1.2)
    site.store.calls.clear()
    await asyncio.sleep(2.0)
    # A watch takes 0.6 s, so three readers would exceed the limit.
    assert 1 <= site.store.calls.count(WATCH) <= 4
    site.configure(configuration(9, keys=["key-2"]))
    for zone in ZONES:
        await wait_until(lambda zone=zone: site.nodes[zone].configuration_version() == 9, zone)
        assert (await site.request("/plain/", f"old-{zone}", zone)).status == 401
        assert (await site.request("/plain/", f"new-{zone}", zone, key="key-2")).status == 200


async def test_relays_stay_current_when_the_reader_is_cut_off_from_the_store(site):
    await start_relays(site)
    site.disconnect_from_store("z1")
    site.store.server.reset_all()
    await asyncio.sleep(0.5)
    site.configure(configuration(9, keys=["key-2"]))
    for zone in ZONES:
        await wait_until(lambda zone=zone: site.nodes[zone].configuration_version() == 9, zone)
    oldest = max(site.nodes[zone].view_age() for zone in ("z2", "z3"))
    assert oldest < 3.5
    assert all(site.nodes[zone].is_ready() for zone in ("z2", "z3"))


async def test_relays_stay_current_when_the_reader_is_stopped(site):
    await start_relays(site)
    lost = site.nodes.pop("z1")
    await lost.stop()
    site.configure(configuration(9, keys=["key-2"]))
    for zone in ("z2", "z3"):
        await wait_until(lambda zone=zone: site.nodes[zone].configuration_version() == 9, zone)
        assert site.nodes[zone].is_ready()
