"""Weights are brought to all workers in time, by one holder, each order fenced."""

import asyncio
import json

from standins.platform_site import until
from standins.platform_worker import PlatformWorker, WorkerFaults
from tests.probe.forwarding.test_path import PROMPT

QUICK = {
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
        await site.add_node(name, **(QUICK | bounds))
    for name in nodes:
        await site.ready(name)
    return fleet


def orders(fleet) -> list[dict]:
    return [order for worker in fleet for order in worker.orders]


async def test_every_worker_gets_the_newest_version_once(site):
    fleet = await fleet_site(site)
    await asyncio.sleep(1.2)
    site.name_weights("m", 2)
    site.name_weights("m", 3)
    await until(lambda: all(worker.version == 3 for worker in fleet), "all have version 3")
    assert [order["version"] for order in orders(fleet)] == [3] * 4
    assert len({order["fence"] for order in orders(fleet)}) == 1


async def test_some_workers_serve_while_others_load(site):
    fleet = await fleet_site(site)
    for worker in fleet:
        worker.load_seconds = 0.3
    await asyncio.sleep(1.2)
    site.name_weights("m", 2)
    most = 0
    while not all(worker.version == 2 for worker in fleet):
        most = max(most, sum(worker.busy for worker in fleet))
        answer = await site.ask("/stream/x", "r", **PROMPT)
        assert answer.status == 200
    assert 1 <= most < len(fleet)


async def test_an_order_without_an_answer_is_not_given_twice_to_effect(site):
    fleet = await fleet_site(site)
    fleet[0].faults = WorkerFaults(ignore_orders=1)
    await asyncio.sleep(1.2)
    site.name_weights("m", 2)
    await until(lambda: all(worker.version == 2 for worker in fleet), "all have version 2")
    assert [worker.sequence for worker in fleet] == [1] * 4


async def test_a_fenced_holder_orders_again_only_with_a_new_token(site):
    fleet = await fleet_site(site, workers=1)
    await asyncio.sleep(1.2)
    fleet[0].highest_fence = site.model.revision + 4
    site.name_weights("m", 2)
    await until(lambda: fleet[0].version == 2, "version 2 by a newer token")
    refused = fleet[0].refused_fences
    assert refused and len(refused) == len(set(refused))
    assert orders(fleet)[-1]["fence"] > max(refused)


async def test_no_request_begins_on_older_weights_after_the_bound(site):
    fleet = await fleet_site(site, workers=1)
    fleet[0].faults = WorkerFaults(ignore_orders=10_000)
    fleet[0].busy = True
    await asyncio.sleep(1.2)
    site.name_weights("m", 2)
    await asyncio.sleep(1.7)
    fleet[0].busy = False
    fleet[0].sequence = 7
    answer = await site.ask("/stream/x", "late", **PROMPT)
    assert answer.status == 503 or fleet[0].version == 2


async def test_a_holder_that_stops_hands_over_and_the_token_rises(site):
    fleet = await fleet_site(site, nodes=("n1", "n2"))
    holder_key = "wheelslip/holder"
    await until(lambda: holder_key in site.model.items, "a holder")
    first = site.model.items[holder_key]
    name = first.value.decode().partition("/")[0]
    await site.nodes[name].stop()
    await until(
        lambda: (
            holder_key in site.model.items
            and site.model.items[holder_key].revision > first.revision
        ),
        "another holder",
    )
    site.name_weights("m", 2)
    await until(lambda: all(worker.version == 2 for worker in fleet), "all have version 2")
    assert {order["fence"] for order in orders(fleet)} == {site.model.items[holder_key].revision}
    assert {order["holder"].partition("/")[0] for order in orders(fleet)} == ({"n1", "n2"} - {name})


async def test_a_holder_without_the_store_gives_no_orders(site):
    fleet = await fleet_site(site)
    await until(lambda: "wheelslip/holder" in site.model.items, "a holder")
    site.name_weights("m", 2)
    site.store.refuse = 503
    site.store.server.reset_all()
    await asyncio.sleep(0.6)
    given = len(orders(fleet))
    await asyncio.sleep(2.0)
    assert len(orders(fleet)) == given
    site.store.refuse = 0
    await until(lambda: all(worker.version == 2 for worker in fleet), "all have version 2")


async def test_a_holders_lost_answer_leaves_one_holder(site):
    site.store.lose_answers = 1
    fleet = await fleet_site(site)
    await asyncio.sleep(1.2)
    site.name_weights("m", 2)
    await until(lambda: all(worker.version == 2 for worker in fleet), "all have version 2")
    assert len({order["fence"] for order in orders(fleet)}) == 1


async def test_a_request_that_waits_past_the_bound_is_taken_back(site):
    fleet = await fleet_site(site, workers=1)
    fleet[0].faults = WorkerFaults(ignore_orders=10_000)
    fleet[0].seconds = 30
    await asyncio.sleep(1.2)
    site.name_weights("m", 2)
    answer = await site.ask("/stream/x", "waits", **PROMPT)
    assert answer.status in (502, 503)
    (run,) = site.runs("waits")
    await until(lambda: run.closed_early, "taken back from the worker")


async def test_a_new_holder_waits_for_the_last_order_of_another_only(site):
    fleet = await fleet_site(site, holder_lease_ms=1500)
    await until(lambda: "wheelslip/holder" in site.model.items, "a holder")
    # Nobody has given an order yet: the first holder acts at once.
    site.name_weights("m", 2)
    await until(lambda: orders(fleet), "an order")
    record = json.loads(site.model.items["wheelslip/rollout"].value)
    assert record["fencing_token"] == site.model.items["wheelslip/holder"].revision
    assert record["loading"]


async def test_a_record_that_is_written_late_does_not_undo_a_newer_one(site):
    fleet = await fleet_site(site)
    await asyncio.sleep(1.2)
    site.name_weights("m", 2)
    await until(lambda: all(worker.version == 2 for worker in fleet), "all have version 2")
    late = {
        "expected_rev": [
            {"tls_key": key, "revision": site.model.items[key].revision}
            for key in ("wheelslip/holder", "wheelslip/rollout")
        ],
        "put": [{"tls_key": "wheelslip/rollout", "payload": "e30="}],
    }
    site.name_weights("m", 3)
    await until(lambda: all(worker.version == 3 for worker in fleet), "all have version 3")
    assert site.model.transact(late)[0] == 412


async def test_a_version_named_during_a_load_follows_it_at_once(site):
    fleet = await fleet_site(site, workers=1, weights_deadline_ms=8000)
    fleet[0].load_seconds = 2.7
    await asyncio.sleep(1.2)
    site.name_weights("m", 2)
    await until(lambda: fleet[0].busy, "loading version 2")
    site.name_weights("m", 3)
    await until(lambda: fleet[0].version == 2, "version 2 is loaded")
    await until(lambda: len(orders(fleet)) > 1, "the next order")
    # Its bound is seconds away, but answers on version 2 are worth less until then.
    assert [order["version"] for order in orders(fleet)] == [2, 3]
    await until(lambda: fleet[0].version == 3, "version 3")
    assert [order["version"] for order in orders(fleet)] == [2, 3]


async def test_a_silent_worker_does_not_hold_the_others_up(site):
    fleet = await fleet_site(site, weights_deadline_ms=60_000)
    await asyncio.sleep(1.2)
    # It has nothing to do, so it is the first in turn, and one worker loads at a time.
    fleet[0].server.silent = True
    site.name_weights("m", 2)
    await until(lambda: all(worker.version == 2 for worker in fleet[1:]), "the others load")
    fleet[0].server.silent = False
    await until(lambda: fleet[0].version == 2, "it loads when it answers again")
