"""Requests that were admitted before workers crashed are checked again before they are sent."""

import asyncio

import pytest

from standins.platform_site import ENGINES, PLAIN, STREAM, Caller, Site, configuration, wait_until
from standins.platform_worker import PlatformWorker, WorkerFaults
from wheelslip.errors import ErrorKind

ZONES = ("z1", "z2", "z3")
TIMES = {"timeout_ms": 900_000, "target_latency_ms": 600_000}
START_TIME_MS = 1_764_700_000_000
RESTART_SECONDS = 0.5
WORKERS = 6
CRASHING_BODY = b"deadly"
CRASHING_PART = "dead"
EARLY, SOUND, LATE = 7, 54, 12
"""Waiting requests: crashing ones that begin early, each before some sound ones, further sound ones, and
pairs of both."""

SOUND_BETWEEN = 6

CONTACT_SECONDS = 3.0
COUNTED_CRASHES = {"plain": 3, "engines": 5}
MAX_LATE = 3
"""Crashing requests that may reach workers later than the contact time after these crashes."""

SERVED_SHARE = 0.9
REFUSALS = (
    ErrorKind.REQUEST_CRASHES_ENGINES.value.encode(),
    ErrorKind.REQUEST_SUSPECTED.value.encode(),
)


async def start_fleet(site: Site, service: str) -> asyncio.Event:
    """Start a node per zone with the queue, and workers of one slot that hold requests until released."""
    site.routing["queue"] = True
    engines = ENGINES | {"backend_engine": ENGINES["backend_engine"] | {"capacity": 1}}
    routes = [route | TIMES for route in (PLAIN, STREAM)]
    site.configure(configuration(routes=routes, services=[{"name": "plain"}, engines]))
    release = asyncio.Event()
    for number in range(WORKERS):
        worker = PlatformWorker(
            f"i-{number}",
            model="m" if service == "engines" else "",
            capacity=1,
            seconds=0.1 if service == "engines" else 0.4,
            born=START_TIME_MS,
            release=release,
        )
        worker.faults = WorkerFaults(
            crash_on=CRASHING_BODY if service == "plain" else b"",
            crash_parts=frozenset({CRASHING_PART}),
        )
        site.restart_after_crashes(worker, service, RESTART_SECONDS)
        await site.add_worker(worker, service)
    await site.add_relays(ZONES)
    release.set()
    for number, zone in enumerate(ZONES * 2):
        answer = await (await send(site, service, f"before-{number}", zone)).read_response()
        assert answer.status == 200
    release.clear()
    return release


async def send(
    site: Site, service: str, request_id: str, zone: str, is_crashing: bool = False
) -> Caller:
    caller = await site.connect(zone)
    if service == "plain":
        body = CRASHING_BODY if is_crashing else request_id.encode()
        caller.send("/plain/x", request_id, body=body)
        return caller
    part = CRASHING_PART if is_crashing else "sound"
    headers = {
        "Wheelslip_Model_Id": "m",
        "Wheelslip_Token_Usage": "300,4",
        "Wheelslip_Prefix_Hash": f"{part}:100,{request_id}:200",
    }
    caller.send("/stream/x", request_id, body=request_id.encode(), **headers)
    return caller


def gauge(site: Site, name: str) -> float:
    return sum(node.gauge(name) for node in site.nodes.values())


async def outcome(caller: Caller) -> bytes:
    """Return the body of the response; empty for a connection that was closed."""
    try:
        return (await asyncio.wait_for(caller.read_response(), 40)).body
    except (AssertionError, OSError):
        return b""


@pytest.mark.parametrize("service", ["plain", "engines"])
async def test_waiting_requests_that_crash_workers_are_not_sent_once_that_is_known(site, service):
    release = await start_fleet(site, service)
    occupying: list[Caller] = []
    while not gauge(site, "queue_depth"):
        assert len(occupying) < 10 * WORKERS, "nothing waits"
        occupying.append(await send(site, service, f"first-{len(occupying)}", ZONES[0]))
        await asyncio.sleep(0.1)
    order = [True, *[False] * SOUND_BETWEEN] * EARLY + [False] * SOUND + [True, False] * LATE
    waiting = [
        await send(site, service, f"{number}", ZONES[number % 3], is_crashing)
        for number, is_crashing in enumerate(order)
    ]
    await wait_until(lambda: gauge(site, "queue_depth") >= len(order), "all wait")
    release.set()
    bodies = await asyncio.gather(*(outcome(caller) for caller in waiting))
    crashes = [crash.began_at for crash in site.crashes()]
    late_from = crashes[COUNTED_CRASHES[service] - 1] + CONTACT_SECONDS
    assert sum(at > late_from for at in crashes) <= MAX_LATE
    late = zip(order[-2 * LATE :], bodies[-2 * LATE :], strict=True)
    refusals = [body for is_crashing, body in late if is_crashing]
    assert sum(any(kind in body for kind in REFUSALS) for body in refusals) >= LATE - MAX_LATE
    sound = [body for is_crashing, body in zip(order, bodies, strict=True) if not is_crashing]
    assert sum(b"error" not in body for body in sound) >= SERVED_SHARE * len(sound)
