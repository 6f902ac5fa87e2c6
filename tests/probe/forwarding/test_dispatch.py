"""One node chooses workers for all; a lost one costs no request."""

import asyncio

from standins.platform_site import Site, until
from standins.platform_worker import PlatformWorker
from wheelslip.forwarding.worker_pool import WorkerPool
from wheelslip.peers.dispatch_server import DispatchServer
from wheelslip.peers.dispatcher_health import DispatcherHealth

ZONES = ("z1", "z2", "z3")


async def fleet(site: Site, workers: int = 4, **options) -> None:
    """Start three nodes, each its zone's relay, before some workers."""
    site.configure()
    for number in range(workers):
        await site.add_worker(PlatformWorker(f"i-{number}", model="m", **options), "engines")
    await site.add_relays(ZONES)


def prompt(session: str, own: str) -> dict[str, str]:
    return {
        "Wheelslip_Model_Id": "m",
        "Wheelslip_Token_Usage": "4000,5",
        "Wheelslip_Prefix_Hash": f"aa:1000,{session}:2000,{own}:1000",
    }


def dispatcher_of(site: Site) -> str:
    """Return the name of the node that has granted something."""
    return next(name for name, node in site.nodes.items() if node.gauge("grants_given") > 0)


async def test_nodes_of_all_zones_send_a_cold_prompt_to_one_worker(site):
    await fleet(site)
    asked = [
        site.ask("/stream/x", f"r{number}", ZONES[number % 3], **prompt("5e55", f"{number:02x}"))
        for number in range(6)
    ]
    assert all(answer.status == 200 for answer in await asyncio.gather(*asked))
    assert sum(bool(worker.runs) for worker in site.workers.values()) == 1
    assert sum(node.gauge("grants_given") > 0 for node in site.nodes.values()) == 1
    assert sum(node.gauge("requests_placed_alone") for node in site.nodes.values()) == 0


async def test_a_dispatcher_that_stops_answering_is_passed_by_and_no_request_is_lost(site):
    await fleet(site)
    assert (await site.ask("/stream/x", "first", "z1", **prompt("01", "a1"))).status == 200
    name = dispatcher_of(site)
    others = [zone for zone in ZONES if zone != name]
    # Its process lives and holds its key, but nothing reaches it any more.
    site.nodes[name].stop_receiving()
    given = {zone: site.nodes[zone].gauge("grants_given") for zone in others}
    number = 0
    # Each node chooses alone until it has missed three answers; then it asks the next one.
    while all(site.nodes[zone].gauge("grants_given") == given[zone] for zone in others):
        number += 1
        assert number < 400
        asked = prompt(f"{number:04x}", "a2")
        answer = await site.ask("/stream/x", f"r{number}", others[number % 2], **asked)
        assert answer.status == 200
    assert sum(site.nodes[zone].gauge("requests_placed_alone") for zone in others) >= 3


async def test_a_node_without_any_dispatcher_chooses_alone(site):
    await fleet(site)
    for zone in ("z2", "z3"):
        site.nodes[zone].stop_receiving()
    node = site.nodes["z1"]
    node.stop_receiving()
    before = node.gauge("requests_placed_alone") + node.gauge("dispatched_requests")
    assert (await site.ask("/stream/x", "r1", "z1", **prompt("01", "a1"))).status == 200
    assert node.gauge("requests_placed_alone") + node.gauge("dispatched_requests") == before + 1


async def test_a_dispatcher_that_takes_over_learns_what_runs(site):
    await fleet(site, workers=2, seconds=4)
    callers = [await site.caller(zone) for zone in ZONES]
    for number, caller in enumerate(callers):
        caller.send("/stream/x", f"r{number}", **prompt(f"{number:02x}", "a1"))
    await until(lambda: sum(len(one.runs) for one in site.workers.values()) == 3, "all run")
    name = dispatcher_of(site)
    lost = site.nodes.pop(name)
    await lost.stop()
    left = [zone for zone in ZONES if zone != name]
    for zone in left:
        asked = prompt("77", f"b{zone[1]}")
        assert (await site.ask("/stream/x", f"late-{zone}", zone, **asked)).status == 200
    assert sum(site.nodes[zone].gauge("grants_given") > 0 for zone in left) == 1
    for caller in callers:
        caller.leave()
    for zone in left:
        node = site.nodes[zone]
        await until(lambda node=node: node.gauge("granted_requests") == 0, "all tickets ended")


async def test_a_caller_that_leaves_before_a_connection_is_up_leaves_no_ticket(site, monkeypatch):
    await fleet(site, workers=1)

    async def never(self, worker):
        await asyncio.Event().wait()

    monkeypatch.setattr(WorkerPool, "acquire", never)
    caller = await site.caller("z1")
    caller.send("/stream/x", "r1", **prompt("01", "a1"))

    def tickets() -> float:
        return sum(node.gauge("granted_requests") for node in site.nodes.values())

    await until(lambda: tickets() == 1, "granted")
    caller.leave()
    await until(lambda: tickets() == 0, "the ticket has ended")


async def test_a_caller_that_leaves_while_the_dispatcher_is_asked_leaves_no_ticket(
    site, monkeypatch
):
    held = []
    answer = DispatchServer._asked
    monkeypatch.setattr(DispatchServer, "_asked", lambda *question: held.append(question))
    monkeypatch.setattr(DispatcherHealth, "timeout_seconds", lambda self, address: 30.0)
    await fleet(site, workers=1)
    dispatcher = site.nodes["z1"].relay_addresses()[0]
    asker = next(zone for zone in ZONES if site.nodes[zone].settings.node.peers != dispatcher)
    caller = await site.caller(asker)
    caller.send("/stream/x", "r1", **prompt("01", "a1"))
    await until(lambda: held, "the dispatcher is asked")
    caller.leave()
    await until(lambda: site.nodes[asker].gauge("running_requests") == 0, "the caller has left")
    answer(*held[0])

    def tickets() -> float:
        return sum(node.gauge("granted_requests") for node in site.nodes.values())

    assert tickets() == 1
    await until(lambda: tickets() == 0, "the ticket has ended")
    assert not site.runs("r1")
