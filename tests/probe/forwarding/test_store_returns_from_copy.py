"""The store returns from a copy some seconds old, and gives its revisions out again."""

import asyncio
import itertools
import time

import pytest

from standins.platform_site import Site, configuration, wait_until
from standins.platform_worker import PlatformWorker

ZONES = ("z1", "z2", "z3")
DRAIN_SECONDS = 2.0
LOST_WRITES = 12
HEARTBEAT_MS = 400


def write_other_entries(site: Site, count: int) -> None:
    """Write entries of another worker, as heartbeats do."""
    other = site.workers["i-1"]
    for _ in range(count):
        site.write_entry(other, "plain")


async def start_site(site: Site) -> None:
    """Start two workers and a relay in each zone."""
    site.configure()
    for number in range(2):
        await site.add_worker(PlatformWorker(f"i-{number}"), "plain")
    await site.add_relays(ZONES, heartbeat_ms=HEARTBEAT_MS)


async def lose_writes(site: Site) -> None:
    """Let the store return from a copy that lacks writes that all nodes have seen."""
    copy = site.model.copy()
    write_other_entries(site, LOST_WRITES)
    site.configure(configuration(2))
    for node in site.nodes.values():
        await wait_until(lambda node=node: node.configuration_version() == 2, "version 2")
    await site.return_from_copy(copy)


def leave(site: Site, how: str) -> None:
    if how == "draining":
        site.write_entry(site.workers["i-0"], "plain", "draining")
    else:
        site.model.remove("servers/i-0")


@pytest.mark.parametrize("writes", [0, 2 * LOST_WRITES], ids=["behind", "ahead"])
@pytest.mark.parametrize("how", ["draining", "removed"])
async def test_worker_that_leaves_gets_no_requests_and_next_configuration_is_in_force(
    site, how, writes
):
    await start_site(site)
    await lose_writes(site)
    write_other_entries(site, writes)
    left_at = time.monotonic()
    leave(site, how)
    site.configure(configuration(3))
    numbers = itertools.count()
    while time.monotonic() - left_at < 2 * DRAIN_SECONDS:
        requests = [site.request("/plain/", f"r{next(numbers)}", zone) for zone in ZONES]
        assert all(response.status == 200 for response in await asyncio.gather(*requests))
        await asyncio.sleep(0.05)
    late = [
        request_id
        for request_id, arrived_at in site.workers["i-0"].arrivals
        if arrived_at > left_at + DRAIN_SECONDS
    ]
    assert late == []
    assert [node.configuration_version() for node in site.nodes.values()] == [3, 3, 3]


async def test_copy_from_before_a_departure_does_not_bring_the_worker_back(site):
    """The worker's entry in the copy is ready again until it lapses."""
    await start_site(site)
    copy = site.model.copy()
    leave(site, "draining")
    for node in site.nodes.values():
        await wait_until(lambda node=node: not node.accepts_new_requests("i-0"), "it leaves")
    await site.return_from_copy(copy)
    deadline = time.monotonic() + 3 * HEARTBEAT_MS / 1000
    while time.monotonic() < deadline:
        assert not any(node.accepts_new_requests("i-0") for node in site.nodes.values())
        await asyncio.sleep(0.02)


async def test_worker_missing_from_the_copy_stays_in_use_until_it_writes_again(site):
    await start_site(site)
    copy = site.model.copy()
    late = await site.add_worker(PlatformWorker("i-2"), "plain")
    for node in site.nodes.values():
        await wait_until(lambda node=node: node.accepts_new_requests("i-2"), "known")
    await site.return_from_copy(copy)
    await wait_until(lambda: "servers/i-2" not in site.model.items, "the store lacks it")
    await asyncio.sleep(0.5)
    assert all(node.accepts_new_requests("i-2") for node in site.nodes.values())
    site.write_entry(late, "plain")
    await asyncio.sleep(DRAIN_SECONDS)
    assert all(node.accepts_new_requests("i-2") for node in site.nodes.values())


async def test_relays_and_holder_are_elected_again_with_higher_tokens(site, caplog):
    with caplog.at_level("INFO", logger="wheelslip"):
        copy = site.model.copy()
        await start_site(site)
        await wait_until(lambda: "wheelslip/holder" in site.model.items, "a holder")
        site.configure(configuration(2))
        await site.return_from_copy(copy)
        for worker in site.workers.values():
            site.write_entry(worker, "plain")
        site.configure(configuration(3))
        await wait_until(
            lambda: (
                {f"wheelslip/relay/{zone}" for zone in ZONES} | {"wheelslip/holder"}
                <= site.model.items.keys()
            ),
            "all keys are held again",
        )
        await wait_until(
            lambda: sum(node.gauge("holder") for node in site.nodes.values()) == 1, "one holder"
        )
    tokens = [
        record.fencing_token
        for record in caplog.records
        if record.getMessage() == "lease_gained" and record.duty == "wheelslip/holder"
    ]
    assert len(tokens) >= 2 and tokens == sorted(set(tokens))


async def test_orders_after_the_return_carry_higher_fencing_tokens(site):
    site.configure()
    engine = await site.add_worker(PlatformWorker("i-0", model="m"), "engines")
    await site.add_worker(PlatformWorker("i-1"), "plain")
    copy = site.model.copy()
    await site.add_relays(ZONES)
    site.set_desired_version("m", 2)
    await wait_until(lambda: engine.version == 2, "version 2 is loaded")
    await site.return_from_copy(copy)
    for worker in site.workers.values():
        site.write_entry(worker, "engines" if worker.model else "plain")
    site.set_desired_version("m", 3)
    await wait_until(lambda: engine.version == 3, "version 3 is loaded")
    assert engine.refused_fences == []
