"""Orders while the holder of the lease is cut off in one way or another, or stands still."""

import asyncio

import pytest

from standins.fault_proxy import Fault, FaultProxy
from standins.platform_site import free_port, until
from tests.probe.forwarding.test_weights import fleet_site

LEASE_SECONDS = 2.5
BOUNDS = {"holder_lease_ms": 2500, "thaw_slack_ms": 50, "weights_deadline_ms": 1500}
"""Longer than the store's least lease, so that a new holder has to wait of its own accord."""


def holder_of(site) -> str | None:
    return next((name for name, node in site.nodes.items() if node.gauge("holder") == 1.0), None)


def judge_turns(fleet) -> None:
    """No two holders order one worker within the lease, and none orders after its successor."""
    given = sorted(
        (at, worker.id, order["holder"], order["fence"])
        for worker in fleet
        for at, order in zip(worker.ordered_at, worker.orders, strict=True)
    )
    last_at_worker: dict[str, tuple[float, str]] = {}
    for at, worker_id, holder, _ in given:
        before_at, before = last_at_worker.get(worker_id, (at, holder))
        assert holder == before or at - before_at >= LEASE_SECONDS
        last_at_worker[worker_id] = at, holder
    fences = [fence for _, _, _, fence in given]
    assert fences == sorted(fences)
    assert len({(holder, fence) for _, _, holder, fence in given}) == len(set(fences))


async def proxied_fleet(site):
    fleet = await fleet_site(site, workers=3, nodes=("n1", "n2"), **BOUNDS)
    links = {}
    for name in site.nodes:
        host, _, port = site.store.server.address.rpartition(":")
        links[name] = FaultProxy(("127.0.0.1", free_port()), (host, int(port)))
        site.lead_to_store(name, links[name].address)
    await asyncio.sleep(1.2)
    return fleet, links


async def load_all(site, fleet, version: int) -> None:
    site.name_weights("m", version)
    await until(lambda: all(one.version == version for one in fleet), f"version {version}")


@pytest.mark.parametrize(
    "fault",
    [Fault.BLACKHOLE, Fault.BLACKHOLE_TO_SERVER, Fault.BLACKHOLE_TO_CLIENT, Fault.REFUSE],
)
async def test_a_holder_cut_from_the_store_hands_over_without_taking_turns(site, fault):
    fleet, links = await proxied_fleet(site)
    await load_all(site, fleet, 2)
    await until(lambda: holder_of(site), "a holder")
    lost = holder_of(site)
    links[lost].fault = fault
    site.name_weights("m", 3)
    await load_all(site, fleet, 4)
    # The other one took over, and the first does not come back with its old token.
    links[lost].fault = Fault.PASS
    await load_all(site, fleet, 5)
    judge_turns(fleet)
    assert len({order["holder"] for worker in fleet for order in worker.orders}) >= 2
    for link in links.values():
        link.stop()


async def test_a_holder_that_stands_still_gives_no_order_when_it_wakes(site):
    fleet, links = await proxied_fleet(site)
    await load_all(site, fleet, 2)
    await until(lambda: holder_of(site), "a holder")
    first = holder_of(site)
    lease = site.nodes[first]._lease
    # As seen by its own clock alone: it stood still for longer than its lease.
    lease._valid_until -= 10.0
    assert lease.token() is None
    await load_all(site, fleet, 3)
    judge_turns(fleet)
    for link in links.values():
        link.stop()


async def test_a_new_holder_goes_on_with_workers_that_the_last_one_has_not_ordered(site):
    fleet = await fleet_site(
        site, workers=4, nodes=("n1", "n2"), holder_lease_ms=60_000, weights_deadline_ms=60_000
    )
    await asyncio.sleep(1.2)
    await until(lambda: holder_of(site), "a holder")
    first = holder_of(site)
    site.name_weights("m", 2)
    await until(lambda: any(one.orders for one in fleet), "an order")
    await site.nodes[first].stop()
    # The time within which two holders must not take turns at a worker is far from over.
    await until(lambda: all(one.version == 2 for one in fleet), "all have version 2")
    holders = [{order["holder"].partition("/")[0] for order in one.orders} for one in fleet]
    assert all(len(one) == 1 for one in holders)
    assert len(set.union(*holders)) == 2


async def test_a_new_holder_waits_at_a_worker_that_the_last_one_has_ordered(site):
    fleet = await fleet_site(site, workers=1, nodes=("n1", "n2"), **BOUNDS)
    await asyncio.sleep(1.2)
    await until(lambda: holder_of(site), "a holder")
    first = holder_of(site)
    site.name_weights("m", 2)
    await until(lambda: fleet[0].orders, "an order")
    stopping = asyncio.create_task(site.nodes[first].stop())
    await until(lambda: holder_of(site) not in (None, first), "another holder")
    site.name_weights("m", 3)
    await until(lambda: fleet[0].version == 3, "version 3 by the next holder")
    await stopping
    judge_turns(fleet)
    assert len({order["holder"] for order in fleet[0].orders}) == 2
