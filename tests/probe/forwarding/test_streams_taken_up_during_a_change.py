"""Streams are taken up after all nodes ended at any step of a change of the software version."""

import asyncio

import pytest

from standins.partitions import Cut
from standins.platform_site import Site, configuration, wait_until
from standins.platform_worker import PlatformWorker
from tests.probe.forwarding.test_streams_after_all_nodes_end import (
    assert_not_mixed,
    end_all,
    remove_version,
    wait_until_registered,
)
from tests.probe.forwarding.test_streams_keep_software_version import (
    EVENTS,
    NO_RETRY,
    ZONES,
    Stream,
    add_workers,
    assert_taken_up,
    begin_streams,
    hold_streams,
    take_up,
)

BORN = 1_764_700_000_000
WORKERS = 4
STREAMS = 18
AWAY_SECONDS = 1.5
LATER_ROUNDS = 3


async def start_site(site: Site) -> None:
    """Start a node in each zone, and workers of one version that can restart under their ids."""
    site.configure(configuration(routes=[NO_RETRY]))
    for number in range(WORKERS):
        worker = PlatformWorker(
            f"v1-{number}", "m", events=EVENTS, seconds=0.03, software_version="v1", born=BORN
        )
        await site.add_worker(worker, "engines")
    await site.add_relays(ZONES)
    await wait_until_registered(site, "v1")


async def change_nothing(site: Site) -> None:
    """The change has not begun yet, or has ended."""


async def add_one(site: Site) -> None:
    await add_workers(site, "v2", 1)


async def add_all(site: Site) -> None:
    await add_workers(site, "v2", WORKERS)


async def drain_old(site: Site) -> None:
    for name, worker in site.workers.items():
        if name.startswith("v1"):
            site.write_entry(worker, "engines", "draining")


async def replace_old(site: Site) -> None:
    """Add the new version, and remove the entries of the old one."""
    await add_all(site)
    remove_version(site, "v1")


async def remove_old(site: Site) -> None:
    remove_version(site, "v1")


async def restart_under_their_ids(site: Site) -> None:
    """Restart half of the workers with the new version, under their ids and addresses."""
    for worker in list(site.workers.values())[: WORKERS // 2]:
        port = int(worker.server.address.rpartition(":")[2])
        await worker.terminate()
        worker.software_version, worker.born = "v2", worker.born + 1000
        await worker.server.start(port)
        site.write_entry(worker, "engines")


STEPS = [
    (change_nothing, add_one),
    (add_one, change_nothing),
    (add_one, add_all),
    (add_all, drain_old),
    (add_all, remove_old),
    (replace_old, change_nothing),
    (change_nothing, replace_old),
    (change_nothing, restart_under_their_ids),
    (restart_under_their_ids, change_nothing),
    (restart_under_their_ids, restart_under_their_ids),
]
"""What happens before all nodes end, and while none runs."""

STEPS_WITH_OLD_VERSION = STEPS[:3]
"""Steps after which the workers that began the streams still serve."""


async def streams_that_broke(site: Site, begun) -> list[Stream]:
    """Return the streams that had begun.

    Workers that restart have crashed, so a content that was lost at two of them is held back.
    """
    await asyncio.gather(*(task for _, task in begun))
    hold_streams(site, None)
    streams = [stream for stream, _ in begun if stream.events]
    assert not [stream for stream in streams if stream.complete]
    assert len(streams) >= STREAMS // 2
    return streams


async def return_nodes(site: Site, store_away: bool) -> None:
    """Start all nodes, without the store at first if that is away."""
    if store_away:
        site.store.error_status = 503
        site.store.server.reset_all()
    for name in site.nodes:
        await site.kill_and_start_node(name)
    if store_away:
        await asyncio.sleep(AWAY_SECONDS)
        site.store.error_status = 0


@pytest.mark.parametrize("tunneled", [False, True], ids=["direct", "tunneled"])
@pytest.mark.parametrize("store_away", [False, True], ids=["store", "store-away"])
@pytest.mark.parametrize(
    ("before", "meanwhile"), STEPS, ids=[f"{a.__name__}-{b.__name__}" for a, b in STEPS]
)
async def test_streams_taken_up_after_all_nodes_ended_are_not_mixed(
    site, before, meanwhile, store_away, tunneled
):
    """The rest of a stream came from another version, with nothing in the answer to show it."""
    partitions = site.partitions()
    await start_site(site)
    begun = await begin_streams(site, STREAMS // 2)
    await before(site)
    begun += await begin_streams(site, STREAMS // 2)
    await end_all(site)
    await meanwhile(site)
    if tunneled:
        partitions.cut("z2", Cut.REFUSE)
    streams = await streams_that_broke(site, begun)
    await return_nodes(site, store_away)
    await take_up(streams, ("z2", "z3", "z1"))
    for node in site.nodes.values():
        await wait_until(node.is_ready, "the nodes are ready")
    for _ in range(LATER_ROUNDS):
        await take_up([stream for stream in streams if not stream.complete], ("z3", "z1", "z2"))
        await asyncio.sleep(0.3)
    assert_not_mixed(streams)
    if (before, meanwhile) in STEPS_WITH_OLD_VERSION:
        assert_taken_up(streams)
    assert not [stream for stream in streams if stream.complete and not stream.whole]
