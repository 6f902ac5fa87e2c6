"""Orders while the holder of the lease is disconnected, stalled or replaced."""

import asyncio

import pytest

from standins.fault_proxy import Fault, FaultProxy
from standins.platform_site import free_port, wait_until
from tests.probe.forwarding.test_weights import fleet_site

LEASE_SECONDS = 2.5
BOUNDS = {"holder_lease_ms": 2500, "thaw_slack_ms": 50, "weights_deadline_ms": 1500}
"""Longer than the minimum lease of the store, so that a new holder has to wait."""


def holder_of(site) -> str | None:
    return next((name for name, node in site.nodes.items() if node.gauge("holder") == 1.0), None)


def check_order_history(fleet) -> None:
    """Check that orders of two holders to a worker are a lease apart, and fences in order."""
    history = sorted(
        (ordered_at, worker.id, order["holder"], order["fence"])
        for worker in fleet
        for ordered_at, order in zip(worker.order_times, worker.orders, strict=True)
    )
    last_orders: dict[str, tuple[float, str]] = {}
    for ordered_at, worker_id, holder, _ in history:
        previous_at, previous = last_orders.get(worker_id, (ordered_at, holder))
        assert holder == previous or ordered_at - previous_at >= LEASE_SECONDS
        last_orders[worker_id] = ordered_at, holder
    fences = [fence for _, _, _, fence in history]
    assert fences == sorted(fences)
    assert len({(holder, fence) for _, _, holder, fence in history}) == len(set(fences))


async def proxied_fleet(site):
    fleet = await fleet_site(site, workers=3, nodes=("n1", "n2"), **BOUNDS)
    links = {}
    for name in site.nodes:
        host, _, port = site.store.server.address.rpartition(":")
        links[name] = FaultProxy(("127.0.0.1", free_port()), (host, int(port)))
        site.set_store_address(name, links[name].address)
    await asyncio.sleep(1.2)
    return fleet, links


async def load_all(site, fleet, version: int) -> None:
    site.set_desired_version("m", version)
    await wait_until(
        lambda: all(worker.version == version for worker in fleet), f"version {version}"
    )


@pytest.mark.parametrize(
    "fault",
    [Fault.BLACKHOLE, Fault.BLACKHOLE_TO_SERVER, Fault.BLACKHOLE_TO_CLIENT, Fault.REFUSE],
)
async def test_holder_cut_off_from_the_store_is_replaced_without_alternating(site, fault):
    fleet, links = await proxied_fleet(site)
    await load_all(site, fleet, 2)
    await wait_until(lambda: holder_of(site), "a holder")
    lost = holder_of(site)
    links[lost].fault = fault
    site.set_desired_version("m", 3)
    await load_all(site, fleet, 4)
    # The disconnected holder does not use its old token after it reconnects.
    links[lost].fault = Fault.PASS
    await load_all(site, fleet, 5)
    check_order_history(fleet)
    assert len({order["holder"] for worker in fleet for order in worker.orders}) >= 2
    for link in links.values():
        link.stop()


async def test_stalled_holder_sends_no_order_after_its_lease_expired(site):
    fleet, links = await proxied_fleet(site)
    await load_all(site, fleet, 2)
    await wait_until(lambda: holder_of(site), "a holder")
    first = holder_of(site)
    lease = site.nodes[first]._lease
    # On the clock of this node alone, more time than the lease has passed.
    lease._valid_until -= 10.0
    assert lease.token() is None
    await load_all(site, fleet, 3)
    check_order_history(fleet)
    for link in links.values():
        link.stop()


async def test_new_holder_orders_workers_not_ordered_by_the_last_one_at_once(site):
    fleet = await fleet_site(
        site, workers=4, nodes=("n1", "n2"), holder_lease_ms=60_000, weights_deadline_ms=60_000
    )
    await asyncio.sleep(1.2)
    await wait_until(lambda: holder_of(site), "a holder")
    first = holder_of(site)
    site.set_desired_version("m", 2)
    await wait_until(lambda: any(worker.orders for worker in fleet), "an order")
    await site.nodes[first].stop()
    # The handover interval of 60 s has not passed.
    await wait_until(lambda: all(worker.version == 2 for worker in fleet), "all have version 2")
    holders = [{order["holder"].partition("/")[0] for order in worker.orders} for worker in fleet]
    assert all(len(names) == 1 for names in holders)
    assert len(set.union(*holders)) == 2


async def test_new_holder_waits_for_workers_ordered_by_the_last_one(site):
    fleet = await fleet_site(site, workers=1, nodes=("n1", "n2"), **BOUNDS)
    await asyncio.sleep(1.2)
    await wait_until(lambda: holder_of(site), "a holder")
    first = holder_of(site)
    site.set_desired_version("m", 2)
    await wait_until(lambda: fleet[0].orders, "an order")
    stopping = asyncio.create_task(site.nodes[first].stop())
    await wait_until(lambda: holder_of(site) not in (None, first), "another holder")
    site.set_desired_version("m", 3)
    await wait_until(lambda: fleet[0].version == 3, "version 3 by the next holder")
    await stopping
    check_order_history(fleet)
    assert len({order["holder"] for order in fleet[0].orders}) == 2
