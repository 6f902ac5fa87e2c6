"""A prompt part crashes each worker that begins to answer it, whatever else the request holds."""

import asyncio
import itertools
import time
from dataclasses import dataclass, field

import pytest

from standins.platform_site import STREAM, Site, configuration
from standins.platform_worker import PlatformWorker, WorkerFaults

CONTACT_SECONDS = 3.0
MAX_LATE_ARRIVALS = 3
SERVED_SHARE = 0.95
MEASURED_SECONDS = 3.0
RESTART_SECONDS = 1.5
SOUND_INTERVAL_SECONDS = 0.1
START_TIME_MS = 1_764_700_000_000
ZONES = ("z1", "z2", "z3")
DEADLY = "dead"
REFUSALS = (b"request_crashes_engines", b"request_suspected")
PROMPTS = {
    "first": (DEADLY, "system"),
    "middle": ("system", DEADLY),
    "alone": (DEADLY,),
}

_numbers = itertools.count()


@dataclass
class Sent:
    """A request and its outcome."""

    sent_at: float
    served: bool
    body: bytes


@dataclass
class Traffic:
    """Requests with and without deadly parts, each with a body and a last part of its own."""

    site: Site
    nodes: tuple[str, ...]
    deadly: list[Sent] = field(default_factory=list)
    sound: list[Sent] = field(default_factory=list)
    tasks: set[asyncio.Task] = field(default_factory=set)

    async def send(self, outcomes: list[Sent], parts: tuple[str, ...], key: str) -> None:
        number = next(_numbers)
        prompt = ",".join(f"{part}:100" for part in (*parts, f"own{number}"))
        headers = {
            "Wheelslip_Model_Id": "m",
            "Wheelslip_Token_Usage": f"{100 * (len(parts) + 1)},10",
            "Wheelslip_Prefix_Hash": prompt,
            "Wheelslip_Deadline_Ms": 5000,
        }
        node, sent_at = self.nodes[number % len(self.nodes)], time.monotonic()
        body = f"body {number}".encode()
        try:
            answer = await self.site.request(
                "/stream/x", f"p{number}", node, key=key, body=body, **headers
            )
        except (AssertionError, OSError):
            outcomes.append(Sent(sent_at, False, b""))
            return
        outcomes.append(Sent(sent_at, answer.status == 200 and answer.complete, answer.body))

    async def repeat(self, outcomes, prompts, interval: float, keys=("key-1",)) -> None:
        """Send requests with the prompts in turn until cancelled."""
        for parts, key in zip(itertools.cycle(prompts), itertools.cycle(keys), strict=False):
            task = asyncio.create_task(self.send(outcomes, parts, key))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(interval)

    def late_arrivals(self, parts=(DEADLY,), tenant: str = "") -> int:
        """Return how many deadly requests reached workers too long after the fifth crash."""
        late_from = self.crash_time(5) + CONTACT_SECONDS
        return sum(
            run.began_at > late_from
            and bool(set(parts) & set(run.shared_parts()))
            and tenant in ("", run.request.headers["wheelslip-tenant-id"])
            for worker in self.site.workers.values()
            for run in worker.runs
        )

    def crash_time(self, number: int) -> float:
        """Return the time of a crash, or of the last one if there were fewer."""
        times = [run.began_at for run in self.site.crashes()]
        return times[min(number, len(times)) - 1]

    def sound_share(self, since: float) -> float:
        """Return the share of the sound requests sent since a time that were served."""
        outcomes = [sent for sent in self.sound if sent.sent_at > since]
        assert len(outcomes) >= 10
        return sum(sent.served for sent in outcomes) / len(outcomes)


async def start_site(site: Site, nodes=ZONES, deadly=(DEADLY,), workers: int = 6) -> Traffic:
    tenants = [
        {"name": "tenant-1", "api_keys": ["key-1"]},
        {"name": "tenant-2", "api_keys": ["key-2"]},
        {"name": "tenant-3", "api_keys": ["key-3"], "isolated": True},
    ]
    site.configure(configuration(routes=[STREAM], tenants=tenants))
    for number in range(workers):
        worker = PlatformWorker(f"i-{number}", "m", seconds=0.02, born=START_TIME_MS)
        worker.faults = WorkerFaults(crash_parts=frozenset(deadly))
        site.restart_after_crashes(worker, "engines", RESTART_SECONDS)
        await site.add_worker(worker, "engines")
    await site.add_nodes(nodes)
    return Traffic(site, nodes)


async def play(traffic: Traffic, deadly_prompts, interval: float, keys=("key-1",)) -> None:
    """Send sound requests, then deadly ones beside them until the measured time is over."""
    sound_prompts = [("system", "sound"), ("system", "other")]
    senders = [
        asyncio.create_task(
            traffic.repeat(traffic.sound, sound_prompts, SOUND_INTERVAL_SECONDS, ("key-1",))
        )
    ]
    await asyncio.sleep(1.0)
    senders.append(
        asyncio.create_task(traffic.repeat(traffic.deadly, deadly_prompts, interval, keys))
    )
    began_at = time.monotonic()
    lasts = 2 * CONTACT_SECONDS + MEASURED_SECONDS
    while time.monotonic() < (traffic.crash_time(5) if site_crashed(traffic) else began_at) + lasts:
        await asyncio.sleep(0.1)
    for sender in senders:
        sender.cancel()
    await asyncio.gather(*traffic.tasks)


def site_crashed(traffic: Traffic) -> bool:
    return bool(traffic.site.crashes())


@pytest.mark.parametrize(
    ("nodes", "position", "interval", "keys"),
    [
        pytest.param(("z1",), "middle", 0.05, ("key-1",), id="one node"),
        pytest.param(ZONES, "first", 0.05, ("key-1",), id="first part"),
        pytest.param(ZONES, "middle", 0.05, ("key-1",), id="middle part"),
        pytest.param(ZONES, "alone", 0.05, ("key-1",), id="only shared part"),
        pytest.param(ZONES, "middle", 0.9, ("key-1",), id="seldom"),
        pytest.param(ZONES, "middle", 0.05, ("key-1", "key-2"), id="two tenants"),
        pytest.param(ZONES, "alone", 0.2, ("key-3",), id="isolated tenant"),
    ],
)
async def test_part_that_crashes_workers_stops_reaching_them(site, nodes, position, interval, keys):
    traffic = await start_site(site, nodes)
    await play(traffic, [PROMPTS[position]], interval, keys)
    assert traffic.late_arrivals() <= MAX_LATE_ARRIVALS
    share = traffic.sound_share(since=traffic.crash_time(5) + 2 * CONTACT_SECONDS)
    assert share >= SERVED_SHARE


async def test_several_deadly_parts_stop_reaching_workers(site):
    traffic = await start_site(site, deadly=("dead1", "dead2"), workers=8)
    await play(traffic, [("system", "dead1"), ("system", "dead2")], 0.1)
    assert traffic.late_arrivals(("dead1",)) <= MAX_LATE_ARRIVALS
    assert traffic.late_arrivals(("dead2",)) <= MAX_LATE_ARRIVALS
    share = traffic.sound_share(since=traffic.crash_time(5) + 2 * CONTACT_SECONDS)
    assert share >= SERVED_SHARE


async def test_sound_part_is_not_refused_after_resets(site):
    traffic = await start_site(site, deadly=())
    sender = asyncio.create_task(traffic.repeat(traffic.sound, [("system", "sound")], 0.02))
    for _ in range(8):
        await asyncio.sleep(0.3)
        for worker in list(site.workers.values()):
            worker.server.reset_all()
    sender.cancel()
    await asyncio.gather(*traffic.tasks)
    assert not [sent for sent in traffic.sound if any(kind in sent.body for kind in REFUSALS)]


@pytest.mark.parametrize("at_once", [1, 6])
async def test_sound_part_is_not_refused_after_crashes_for_other_reasons(site, at_once):
    traffic = await start_site(site, deadly=())
    sender = asyncio.create_task(traffic.repeat(traffic.sound, [("system", "sound")], 0.02))
    workers = itertools.cycle(site.workers.values())
    for _ in range(3 if at_once > 1 else 6):
        await asyncio.sleep(RESTART_SECONDS + 0.5 if at_once > 1 else 0.6)
        for worker in itertools.islice(workers, at_once):
            await worker.terminate()
    await asyncio.sleep(RESTART_SECONDS + 1.0)
    sender.cancel()
    await asyncio.gather(*traffic.tasks)
    assert not [sent for sent in traffic.sound if any(kind in sent.body for kind in REFUSALS)]


async def test_tenant_that_names_part_of_another_does_not_get_it_refused(site):
    """The body of a request crashes workers, and its headers name the part of another tenant."""
    traffic = await start_site(site, deadly=())
    for worker in site.workers.values():
        worker.faults = WorkerFaults(crash_tenant="tenant-2", crash_on=b"body")
    await play(traffic, [("system", "sound")], 0.2, ("key-2",))
    share = traffic.sound_share(since=traffic.crash_time(5) + 2 * CONTACT_SECONDS)
    assert share >= SERVED_SHARE
    late = [sent for sent in traffic.sound if any(kind in sent.body for kind in REFUSALS)]
    assert len(late) <= (1 - SERVED_SHARE) * len(traffic.sound)
    assert traffic.late_arrivals(("sound",), "tenant-2") <= MAX_LATE_ARRIVALS
