"""Choice of workers by a dispatcher for all nodes, and its loss without failed requests."""

import asyncio

from standins.platform_site import Site, wait_until
from standins.platform_worker import PlatformWorker
from wheelslip.connections.worker_pool import WorkerPool
from wheelslip.peers.dispatch_server import DispatchServer
from wheelslip.peers.dispatcher_health import DispatcherHealth

ZONES = ("z1", "z2", "z3")


async def start_fleet(site: Site, workers: int = 4, **options) -> None:
    """Start some workers and a relay node in each of the three zones."""
    site.configure()
    for number in range(workers):
        await site.add_worker(PlatformWorker(f"i-{number}", model="m", **options), "engines")
    await site.add_relays(ZONES)


def prompt(session: str, suffix: str) -> dict[str, str]:
    return {
        "Wheelslip_Model_Id": "m",
        "Wheelslip_Token_Usage": "4000,5",
        "Wheelslip_Prefix_Hash": f"aa:1000,{session}:2000,{suffix}:1000",
    }


def dispatcher_of(site: Site) -> str:
    """Return the name of the node that has issued grants."""
    return next(name for name, node in site.nodes.items() if node.gauge("grants_given") > 0)


async def test_nodes_of_all_zones_send_a_cold_prompt_to_one_worker(site):
    await start_fleet(site)
    requests = [
        site.request(
            "/stream/x", f"r{number}", ZONES[number % 3], **prompt("5e55", f"{number:02x}")
        )
        for number in range(6)
    ]
    assert all(answer.status == 200 for answer in await asyncio.gather(*requests))
    assert sum(bool(worker.runs) for worker in site.workers.values()) == 1
    assert sum(node.gauge("grants_given") > 0 for node in site.nodes.values()) == 1
    assert sum(node.gauge("requests_placed_alone") for node in site.nodes.values()) == 0


async def test_unresponsive_dispatcher_is_replaced_without_lost_requests(site):
    await start_fleet(site)
    assert (await site.request("/stream/x", "first", "z1", **prompt("01", "a1"))).status == 200
    name = dispatcher_of(site)
    others = [zone for zone in ZONES if zone != name]
    # The process keeps running and holds its lease, but receives no datagrams.
    site.nodes[name].stop_receiving()
    grants_before = {zone: site.nodes[zone].gauge("grants_given") for zone in others}
    number = 0
    # Each node chooses workers itself until three replies are missing, then uses the next
    # dispatcher.
    while all(site.nodes[zone].gauge("grants_given") == grants_before[zone] for zone in others):
        number += 1
        assert number < 400
        headers = prompt(f"{number:04x}", "a2")
        answer = await site.request("/stream/x", f"r{number}", others[number % 2], **headers)
        assert answer.status == 200
    assert sum(site.nodes[zone].gauge("requests_placed_alone") for zone in others) >= 3


async def test_node_without_dispatcher_chooses_worker_itself(site):
    await start_fleet(site)
    for zone in ("z2", "z3"):
        site.nodes[zone].stop_receiving()
    node = site.nodes["z1"]
    node.stop_receiving()
    before = node.gauge("requests_placed_alone") + node.gauge("dispatched_requests")
    assert (await site.request("/stream/x", "r1", "z1", **prompt("01", "a1"))).status == 200
    assert node.gauge("requests_placed_alone") + node.gauge("dispatched_requests") == before + 1


async def test_new_dispatcher_receives_running_requests(site):
    await start_fleet(site, workers=2, seconds=4)
    callers = [await site.connect(zone) for zone in ZONES]
    for number, caller in enumerate(callers):
        caller.send("/stream/x", f"r{number}", **prompt(f"{number:02x}", "a1"))
    await wait_until(
        lambda: sum(len(worker.runs) for worker in site.workers.values()) == 3, "all run"
    )
    name = dispatcher_of(site)
    stopped = site.nodes.pop(name)
    await stopped.stop()
    remaining = [zone for zone in ZONES if zone != name]
    for zone in remaining:
        headers = prompt("77", f"b{zone[1]}")
        assert (await site.request("/stream/x", f"late-{zone}", zone, **headers)).status == 200
    assert sum(site.nodes[zone].gauge("grants_given") > 0 for zone in remaining) == 1
    for caller in callers:
        caller.abort()
    for zone in remaining:
        node = site.nodes[zone]
        await wait_until(
            lambda node=node: node.gauge("granted_requests") == 0, "all grants released"
        )


async def test_caller_disconnect_during_connect_releases_grant(site, monkeypatch):
    await start_fleet(site, workers=1)

    async def never_connect(self, worker, request_id):
        await asyncio.Event().wait()

    monkeypatch.setattr(WorkerPool, "acquire", never_connect)
    caller = await site.connect("z1")
    caller.send("/stream/x", "r1", **prompt("01", "a1"))

    def active_grants() -> float:
        return sum(node.gauge("granted_requests") for node in site.nodes.values())

    await wait_until(lambda: active_grants() == 1, "granted")
    caller.abort()
    await wait_until(lambda: active_grants() == 0, "the grant is released")


async def test_caller_disconnect_during_placement_query_releases_grant(site, monkeypatch):
    delayed = []
    process_query = DispatchServer._handle_query
    monkeypatch.setattr(DispatchServer, "_handle_query", lambda *query: delayed.append(query))
    monkeypatch.setattr(DispatcherHealth, "timeout_seconds", lambda self, address: 30.0)
    await start_fleet(site, workers=1)
    dispatcher = site.nodes["z1"].relay_addresses()[0]
    sender = next(zone for zone in ZONES if site.nodes[zone].settings.node.peers != dispatcher)
    caller = await site.connect(sender)
    caller.send("/stream/x", "r1", **prompt("01", "a1"))
    await wait_until(lambda: delayed, "the query is sent")
    caller.abort()
    await wait_until(
        lambda: site.nodes[sender].gauge("running_requests") == 0, "the caller has left"
    )
    process_query(*delayed[0])

    def active_grants() -> float:
        return sum(node.gauge("granted_requests") for node in site.nodes.values())

    assert active_grants() == 1
    await wait_until(lambda: active_grants() == 0, "the grant is released")
    assert not site.runs("r1")
