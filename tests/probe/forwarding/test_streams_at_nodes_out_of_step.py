"""Streams are taken up at nodes that missed the arrival of a software version."""

import asyncio

import pytest

from standins.partitions import Cut, Partitions
from standins.platform_site import Site, configuration
from standins.platform_worker import PlatformWorker
from tests.probe.forwarding.test_streams_after_all_nodes_end import wait_until_registered
from tests.probe.forwarding.test_streams_keep_software_version import (
    BORN,
    EVENTS,
    HELD_AFTER,
    NO_RETRY,
    ZONES,
    Stream,
    add_workers,
    begin_streams,
    break_streams,
    continue_streams,
    hold_streams,
    take_up,
    wait_until_streams_begin,
)

CUT_OFF = ("z2", "z3")
WORKERS = 3
STREAMS = 24


async def start_site(site: Site) -> Partitions:
    """Start a node in each zone and workers of one version; return cuts between the nodes."""
    site.configure(configuration(routes=[NO_RETRY]))
    await add_workers(site, "v1", WORKERS)
    partitions = Partitions(lambda: peer_addresses(site, ZONES) | {site.store.server.address})
    await site.add_relays(ZONES)
    await wait_until_registered(site, "v1")
    return partitions


def peer_addresses(site: Site, names) -> set[str]:
    return {site.nodes[name].settings.node.peers for name in names if name in site.nodes}


def cut_off(site: Site, partitions: Partitions, names, how: Cut) -> None:
    """Cut nodes off from the store and from all other nodes, but not from each other."""
    others = [name for name in ZONES if name not in names]
    for name in names:
        partitions.cut(name, how, peer_addresses(site, others) | {site.store.server.address})
    for name in others:
        partitions.cut(name, how, peer_addresses(site, names))


async def begin_at_new_version(site: Site, node: str) -> list[Stream]:
    """Add workers of a new version, and return streams that began at a node and then broke."""
    await add_workers(site, "v2", WORKERS)
    await wait_until_registered(site, "v2")
    streams = await break_streams(site, await begin_streams(site, STREAMS, (node,)))
    assert "v2" in {version for stream in streams for version in stream.versions}
    return streams


@pytest.mark.parametrize("later_seconds", [0.0, 1.5])
@pytest.mark.parametrize("how", [Cut.HANG, Cut.REFUSE], ids=lambda how: how.value)
@pytest.mark.parametrize("names", [("z2",), CUT_OFF], ids=["one", "two"])
async def test_streams_taken_up_at_nodes_cut_off_before_a_version_joined_are_not_mixed(
    site, names, how, later_seconds
):
    partitions = await start_site(site)
    cut_off(site, partitions, names, how)
    streams = await begin_at_new_version(site, "z1")
    await asyncio.sleep(later_seconds)
    await take_up(streams, names)
    assert not [stream for stream in streams if stream.mixed]
    for name in ZONES:
        partitions.heal(name)
    hold_streams(site, None)


@pytest.mark.parametrize("how", [Cut.HANG, Cut.REFUSE], ids=lambda how: how.value)
async def test_streams_begun_at_cut_off_node_at_a_restarted_worker_are_not_mixed(site, how):
    """The node cannot save that it does not know the version of the process."""
    site.configure(configuration(routes=[NO_RETRY]))
    for number in range(WORKERS):
        worker = PlatformWorker(
            f"i-{number}", "m", events=EVENTS, seconds=0.03, software_version="v1", born=BORN
        )
        await site.add_worker(worker, "engines")
    partitions = Partitions(lambda: peer_addresses(site, ZONES) | {site.store.server.address})
    await site.add_relays(ZONES)
    await wait_until_registered(site, "v1")
    for name in ZONES:
        await wait_until_streams_begin(site, name)
    cut_off(site, partitions, ("z2",), how)
    restarted = site.workers["i-0"]
    port = int(restarted.server.address.rpartition(":")[2])
    await restarted.terminate()
    restarted.software_version, restarted.born = "v2", BORN + 1000
    await restarted.server.start(port)
    site.write_entry(restarted, "engines")
    await wait_until_registered(site, "v2")
    hold_streams(site, HELD_AFTER)
    begun = await continue_streams([Stream(site) for _ in range(40)], ("z2",))
    for worker in site.workers.values():
        worker.server.reset_all()
    await asyncio.gather(*(task for _, task in begun))
    hold_streams(site, None)
    streams = [stream for stream, _ in begun if stream.events]
    assert len(streams) >= STREAMS, "streams begin at the processes that are known"
    await take_up(streams, ("z1", "z3"))
    assert not [stream for stream in streams if stream.mixed]
