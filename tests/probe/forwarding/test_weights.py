"""Rollout of weights to all workers in time, by a single holder with fenced orders."""

import asyncio
import json

from standins.platform_site import wait_until
from standins.platform_worker import PlatformWorker, WorkerFaults
from tests.probe.forwarding.test_path import PROMPT

SHORT_BOUNDS = {
    "holder_lease_ms": 400,
    "thaw_slack_ms": 50,
    "weights_deadline_ms": 2500,
    "contact_ms": 500,
}


async def fleet_site(site, workers=4, nodes=("n1",), **bounds):
    site.configure()
    fleet = [PlatformWorker(f"i-{number}", model="m") for number in range(workers)]
    site.model.put("op/version/m", b'{"model_id":"m","version":1}')
    for worker in fleet:
        await site.add_worker(worker, "engines")
    for name in nodes:
        await site.add_node(name, **(SHORT_BOUNDS | bounds))
    for name in nodes:
        await site.wait_until_ready(name)
    return fleet


def orders(fleet) -> list[dict]:
    return [order for worker in fleet for order in worker.orders]


async def test_each_worker_is_ordered_to_load_the_newest_version_once(site):
    fleet = await fleet_site(site)
    await asyncio.sleep(1.2)
    site.set_desired_version("m", 2)
    site.set_desired_version("m", 3)
    await wait_until(lambda: all(worker.version == 3 for worker in fleet), "all have version 3")
    assert [order["version"] for order in orders(fleet)] == [3] * 4
    assert len({order["fence"] for order in orders(fleet)}) == 1


async def test_some_workers_serve_while_others_load(site):
    fleet = await fleet_site(site)
    for worker in fleet:
        worker.load_seconds = 0.3
    await asyncio.sleep(1.2)
    site.set_desired_version("m", 2)
    max_loading = 0
    while not all(worker.version == 2 for worker in fleet):
        max_loading = max(max_loading, sum(worker.busy for worker in fleet))
        response = await site.request("/stream/x", "r", **PROMPT)
        assert response.status == 200
    assert 1 <= max_loading < len(fleet)


async def test_repeated_order_after_a_lost_response_takes_effect_once(site):
    fleet = await fleet_site(site)
    fleet[0].faults = WorkerFaults(ignore_orders=1)
    await asyncio.sleep(1.2)
    site.set_desired_version("m", 2)
    await wait_until(lambda: all(worker.version == 2 for worker in fleet), "all have version 2")
    assert [worker.sequence for worker in fleet] == [1] * 4


async def test_fenced_holder_sends_orders_only_with_a_new_token(site):
    fleet = await fleet_site(site, workers=1)
    await asyncio.sleep(1.2)
    fleet[0].highest_fence = site.model.revision + 4
    site.set_desired_version("m", 2)
    await wait_until(lambda: fleet[0].version == 2, "version 2 by a newer token")
    refused = fleet[0].refused_fences
    assert refused and len(refused) == len(set(refused))
    assert orders(fleet)[-1]["fence"] > max(refused)


async def test_no_request_starts_on_older_weights_after_the_deadline(site):
    fleet = await fleet_site(site, workers=1)
    fleet[0].faults = WorkerFaults(ignore_orders=10_000)
    fleet[0].busy = True
    await asyncio.sleep(1.2)
    site.set_desired_version("m", 2)
    await asyncio.sleep(1.7)
    fleet[0].busy = False
    fleet[0].sequence = 7
    response = await site.request("/stream/x", "late", **PROMPT)
    assert response.status == 503 or fleet[0].version == 2


async def test_stopped_holder_is_replaced_with_a_higher_token(site):
    fleet = await fleet_site(site, nodes=("n1", "n2"))
    holder_key = "wheelslip/holder"
    await wait_until(lambda: holder_key in site.model.items, "a holder")
    first = site.model.items[holder_key]
    name = first.value.decode().partition("/")[0]
    await site.nodes[name].stop()
    await wait_until(
        lambda: (
            holder_key in site.model.items
            and site.model.items[holder_key].revision > first.revision
        ),
        "another holder",
    )
    site.set_desired_version("m", 2)
    await wait_until(lambda: all(worker.version == 2 for worker in fleet), "all have version 2")
    assert {order["fence"] for order in orders(fleet)} == {site.model.items[holder_key].revision}
    assert {order["holder"].partition("/")[0] for order in orders(fleet)} == ({"n1", "n2"} - {name})


async def test_holder_without_store_access_sends_no_orders(site):
    fleet = await fleet_site(site)
    await wait_until(lambda: "wheelslip/holder" in site.model.items, "a holder")
    site.set_desired_version("m", 2)
    site.store.error_status = 503
    site.store.server.reset_all()
    await asyncio.sleep(0.6)
    orders_before = len(orders(fleet))
    await asyncio.sleep(2.0)
    assert len(orders(fleet)) == orders_before
    site.store.error_status = 0
    await wait_until(lambda: all(worker.version == 2 for worker in fleet), "all have version 2")


async def test_lost_store_response_leaves_a_single_holder(site):
    site.store.lose_responses = 1
    fleet = await fleet_site(site)
    await asyncio.sleep(1.2)
    site.set_desired_version("m", 2)
    await wait_until(lambda: all(worker.version == 2 for worker in fleet), "all have version 2")
    assert len({order["fence"] for order in orders(fleet)}) == 1


async def test_request_queued_past_the_deadline_is_withdrawn(site):
    fleet = await fleet_site(site, workers=1)
    fleet[0].faults = WorkerFaults(ignore_orders=10_000)
    fleet[0].seconds = 30
    await asyncio.sleep(1.2)
    site.set_desired_version("m", 2)
    response = await site.request("/stream/x", "waits", **PROMPT)
    assert response.status in (502, 503)
    (run,) = site.runs("waits")
    await wait_until(lambda: run.closed_early, "withdrawn from the worker")


async def test_first_holder_orders_without_handover_delay(site):
    fleet = await fleet_site(site, holder_lease_ms=1500)
    await wait_until(lambda: "wheelslip/holder" in site.model.items, "a holder")
    # No holder has sent an order before.
    site.set_desired_version("m", 2)
    await wait_until(lambda: orders(fleet), "an order")
    record = json.loads(site.model.items["wheelslip/rollout"].value)
    assert record["fencing_token"] == site.model.items["wheelslip/holder"].revision
    assert record["loading"]


async def test_delayed_record_write_does_not_replace_a_newer_record(site):
    fleet = await fleet_site(site)
    await asyncio.sleep(1.2)
    site.set_desired_version("m", 2)
    await wait_until(lambda: all(worker.version == 2 for worker in fleet), "all have version 2")
    delayed_write = {
        "expected_rev": [
            {"tls_key": key, "revision": site.model.items[key].revision}
            for key in ("wheelslip/holder", "wheelslip/rollout")
        ],
        "put": [{"tls_key": "wheelslip/rollout", "payload": "e30="}],
    }
    site.set_desired_version("m", 3)
    await wait_until(lambda: all(worker.version == 3 for worker in fleet), "all have version 3")
    assert site.model.transact(delayed_write)[0] == 412


async def test_version_named_during_a_load_is_ordered_right_after_it(site):
    fleet = await fleet_site(site, workers=1, weights_deadline_ms=8000)
    fleet[0].load_seconds = 2.7
    await asyncio.sleep(1.2)
    site.set_desired_version("m", 2)
    await wait_until(lambda: fleet[0].busy, "loading version 2")
    site.set_desired_version("m", 3)
    await wait_until(lambda: fleet[0].version == 2, "version 2 is loaded")
    await wait_until(lambda: len(orders(fleet)) > 1, "the next order")
    # Version 3 is ordered although its deadline is seconds away.
    assert [order["version"] for order in orders(fleet)] == [2, 3]
    await wait_until(lambda: fleet[0].version == 3, "version 3")
    assert [order["version"] for order in orders(fleet)] == [2, 3]


async def test_unresponsive_worker_does_not_delay_the_others(site):
    fleet = await fleet_site(site, weights_deadline_ms=60_000)
    await asyncio.sleep(1.2)
    # The idle worker comes first, and one worker loads at a time.
    fleet[0].server.silent = True
    site.set_desired_version("m", 2)
    await wait_until(lambda: all(worker.version == 2 for worker in fleet[1:]), "the others load")
    fleet[0].server.silent = False
    await wait_until(lambda: fleet[0].version == 2, "it loads when it answers again")
