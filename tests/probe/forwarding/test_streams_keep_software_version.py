"""Streams that break go on only at workers of the software version that began them."""

import asyncio
import itertools
import re
import time
from dataclasses import dataclass, field

import pytest

from standins.platform_site import (
    RESUMED,
    WAIT_TIMEOUT_SECONDS,
    Caller,
    Site,
    configuration,
    wait_until,
)
from standins.platform_store import PlatformStoreServer
from standins.platform_worker import PlatformWorker
from tests.probe.forwarding.test_path import PROMPT

ZONES = ("z1", "z2", "z3")
SERVED_SHARE = 0.95
REFUSAL_SECONDS = 0.5
REGISTRATION_SECONDS = 1.0
VERSION_LEFT = b"stream_version_gone"
VERSION_UNKNOWN = b"stream_version_unknown"
EVENT = re.compile(rb"id: (\d+)\ndata: token \d+\n: (\w+)\n\n")
EVENTS = 20
HELD_AFTER = 5
BORN = 1_764_700_000_000
NO_RETRY = RESUMED | {"max_attempts": 1}

_numbers = itertools.count()


@dataclass
class Stream:
    """A stream over all requests of its caller.

    :ivar first_id: request that brought the first event.
    :ivar events: ids of the events received.
    :ivar versions: software versions that wrote them.
    :ivar refusals: status, body and duration of responses without an event.
    """

    site: Site
    path: str = "/resumed/x"
    first_id: str = ""
    events: list[int] = field(default_factory=list)
    versions: list[str] = field(default_factory=list)
    refusals: list[tuple[int, bytes, float]] = field(default_factory=list)
    complete: bool = False
    caller: Caller | None = None

    async def request(self, node: str) -> None:
        """Send one request, which takes the stream up if it has begun."""
        request_id = f"s{next(_numbers)}"
        headers = PROMPT | {"Wheelslip_Deadline_Ms": 5000}
        if self.events:
            headers |= {"Resumes": self.first_id, "Last_Event_Id": self.events[-1]}
        sent_at = time.monotonic()
        try:
            self.caller = await self.site.connect(node)
            self.caller.send(self.path, request_id, **headers)
            async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
                response = await self.caller.read_response()
        except (AssertionError, OSError):
            return
        finally:
            if self.caller is not None:
                self.caller.abort()
        found = EVENT.findall(response.body)
        if not found:
            seconds = time.monotonic() - sent_at
            self.refusals.append((response.status, response.body, seconds))
            return
        self.first_id = self.first_id or request_id
        self.events += [int(number) for number, _ in found]
        self.versions += [version.decode() for _, version in found]
        self.complete = response.complete

    @property
    def mixed(self) -> bool:
        return len(set(self.versions)) > 1

    @property
    def whole(self) -> bool:
        return self.complete and self.events == list(range(1, EVENTS + 1))


async def add_workers(site: Site, version: str, count: int, first: int = 0) -> None:
    for number in range(first, first + count):
        worker = PlatformWorker(
            f"{version}-{number}", "m", events=EVENTS, seconds=0.03, software_version=version
        )
        await site.add_worker(worker, "engines")


async def start_site(site: Site, route: dict = NO_RETRY, workers: int = 3) -> None:
    """Start a node in each zone, and workers of two versions."""
    site.configure(configuration(routes=[route]))
    await add_workers(site, "v1", workers)
    await add_workers(site, "v2", workers)
    await site.add_relays(ZONES)


def hold_streams(site: Site, after: int | None) -> None:
    """Let streams stop after an event until their connection is closed; ``None`` for no stop."""
    for worker in site.workers.values():
        worker.hold_after = after


async def begin_streams(site: Site, count: int, nodes=ZONES) -> list[tuple[Stream, asyncio.Task]]:
    """Begin streams, and wait until the callers of all have received events."""
    hold_streams(site, HELD_AFTER)
    streams = [Stream(site) for _ in range(count)]
    return await continue_streams(streams, nodes)


async def wait_until_streams_begin(site: Site, node: str) -> None:
    """Wait until a node knows that the version of the workers is registered."""
    async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
        while True:
            stream = Stream(site)
            await stream.request(node)
            if stream.complete:
                return
            await asyncio.sleep(0.05)


async def continue_streams(streams, nodes) -> list[tuple[Stream, asyncio.Task]]:
    """Send a request for each stream, and wait until all callers have received events."""
    for stream in streams:
        stream.caller = None
    begun = [
        (stream, asyncio.create_task(stream.request(node)))
        for stream, node in zip(streams, itertools.cycle(nodes), strict=False)
    ]
    await wait_until(
        lambda: all(
            task.done() or (stream.caller is not None and stream.caller.received_bytes)
            for stream, task in begun
        ),
        "all callers have received events",
    )
    return begun


async def break_streams(site: Site, begun) -> list[Stream]:
    """Break the connections of all workers, and return the streams once their callers know."""
    for worker in site.workers.values():
        worker.server.reset_all()
    return await wait_for_callers(begun)


async def wait_for_callers(begun) -> list[Stream]:
    await asyncio.gather(*(task for _, task in begun))
    hold_streams(begun[0][0].site, None)
    streams = [stream for stream, _ in begun]
    assert all(stream.events and not stream.complete for stream in streams), [
        (stream.refusals, len(stream.events), stream.complete)
        for stream in streams
        if not stream.events or stream.complete
    ]
    return streams


def assert_taken_up(streams: list[Stream]) -> None:
    assert not [stream for stream in streams if stream.mixed]
    whole = sum(stream.whole for stream in streams)
    refusals = [refusal[:2] for stream in streams for refusal in stream.refusals]
    assert whole >= SERVED_SHARE * len(streams), (whole, len(streams), refusals)


async def take_up(streams: list[Stream], nodes) -> None:
    await asyncio.gather(
        *(
            stream.request(node)
            for stream, node in zip(streams, itertools.cycle(nodes), strict=False)
        )
    )


async def test_stream_whose_worker_breaks_keeps_version_inside_one_answer(site):
    await start_site(site, RESUMED)
    # The budget for retries grows with the requests.
    for _ in range(3):
        before = [Stream(site) for _ in range(48)]
        await take_up(before, ZONES)
        assert all(stream.whole for stream in before)
    site.workers["v1-0"].faults.break_after = site.workers["v2-0"].faults.break_after = 5
    streams = [Stream(site) for _ in range(24)]
    await take_up(streams, ZONES)
    assert_taken_up(streams)


@pytest.mark.parametrize("nodes", [ZONES, ("z2", "z3", "z1")], ids=["same node", "another node"])
async def test_stream_taken_up_after_break_keeps_version(site, nodes):
    await start_site(site)
    streams = await break_streams(site, await begin_streams(site, 24))
    await take_up(streams, nodes)
    assert_taken_up(streams)


async def test_stream_taken_up_twice_keeps_version(site):
    await start_site(site)
    streams = await break_streams(site, await begin_streams(site, 18))
    hold_streams(site, 2 * HELD_AFTER)
    await break_streams(site, await continue_streams(streams, ("z2", "z3", "z1")))
    await take_up(streams, ("z3", "z1", "z2"))
    assert_taken_up(streams)


async def test_stream_taken_up_after_end_of_its_node_keeps_version(site):
    await start_site(site)
    begun = await begin_streams(site, 12, ("z1",))
    site.nodes["z1"].terminate()
    streams = await wait_for_callers(begun)
    await take_up(streams, ("z2", "z3"))
    assert_taken_up(streams)


async def test_stream_taken_up_without_store_keeps_version(site):
    await start_site(site)
    begun = await begin_streams(site, 12)
    site.store.error_status = 503
    site.store.server.reset_all()
    streams = await break_streams(site, begun)
    await take_up(streams, ("z2", "z3", "z1"))
    assert_taken_up(streams)


async def test_stream_taken_up_at_restarted_node_keeps_version(site):
    await start_site(site)
    begun = await begin_streams(site, 12, ("z1",))
    await site.kill_and_start_node("z1")
    streams = await wait_for_callers(begun)
    await site.wait_until_ready("z1")
    await take_up(streams, ("z1",))
    assert_taken_up(streams)


async def test_stream_whose_version_has_left_is_refused_at_once(site):
    await start_site(site)
    begun = await begin_streams(site, 16)
    for name in [name for name in site.workers if name.startswith("v1")]:
        site.model.remove(f"servers/{name}")
    for node in site.nodes.values():
        await wait_until(lambda node=node: len(node.worker_ids()) == 3, "v1 has left")
    streams = await break_streams(site, begun)
    await take_up(streams, ("z2", "z3", "z1"))
    assert not [stream for stream in streams if stream.mixed]
    refused = [stream for stream in streams if stream.versions[0] == "v1"]
    assert refused
    for stream in refused:
        (refusal,) = stream.refusals
        status, body, seconds = refusal
        assert status == 503 and VERSION_LEFT in body and seconds < REFUSAL_SECONDS
    assert_taken_up([stream for stream in streams if stream.versions[0] == "v2"])


async def test_streams_keep_version_in_rolling_change(site):
    await start_site(site, workers=4)
    streams = []
    for number in range(3):
        begun = await begin_streams(site, 28)
        await add_workers(site, "v2", 1, first=10 + number)
        site.model.remove(f"servers/v1-{number}")
        broken = await break_streams(site, begun)
        await take_up(broken, ("z2", "z3", "z1"))
        streams += broken
    assert_taken_up(streams)


def delay_registration(site: Site, monkeypatch, seconds: float) -> None:
    """Let the store hold back the registration of software versions."""
    answer = PlatformStoreServer._handle

    async def answer_late(store, request, connection):
        if request.path.startswith("/kv-txn") and b"wheelslip/versions/" in request.body:
            await asyncio.sleep(seconds)
        await answer(store, request, connection)

    monkeypatch.setattr(PlatformStoreServer, "_handle", answer_late)
    site.store.server._handler = site.store._handle


async def test_streams_wait_while_the_version_of_all_workers_is_registered(site, monkeypatch):
    """They were refused after 0.2 s, though their callers waited for several seconds."""
    await start_site(site)
    for node in ZONES:
        await wait_until_streams_begin(site, node)
    delay_registration(site, monkeypatch, REGISTRATION_SECONDS)
    for name in list(site.workers):
        site.model.remove(f"servers/{name}")
        del site.workers[name]
    await add_workers(site, "v3", 4)
    for node in ZONES:
        await site.wait_until_ready(node)
    streams = [Stream(site) for _ in range(12)]
    await take_up(streams, ZONES)
    assert_taken_up(streams)


async def test_streams_are_refused_at_once_while_no_version_can_be_registered(site, monkeypatch):
    await start_site(site)
    for node in ZONES:
        await wait_until_streams_begin(site, node)
    delay_registration(site, monkeypatch, 60)
    await add_workers(site, "v3", 4)
    for node in ZONES:
        await site.wait_until_ready(node)
    for name in [name for name in site.workers if not name.startswith("v3")]:
        site.model.remove(f"servers/{name}")
    for node in site.nodes.values():
        await wait_until(lambda node=node: len(node.worker_ids()) == 4, "v1, v2 have left")
    site.store.error_status = 503
    site.store.server.reset_all()
    await asyncio.sleep(1.5)
    streams = [Stream(site) for _ in range(12)]
    await take_up(streams, ZONES)
    refusals = [refusal for stream in streams for refusal in stream.refusals]
    assert len(refusals) == len(streams)
    assert {status for status, _, _ in refusals} == {503}
    assert max(seconds for _, _, seconds in refusals) < REFUSAL_SECONDS


async def test_stream_of_unknown_version_is_refused_while_versions_differ(site):
    await start_site(site)
    stream = Stream(site, first_id="never-seen", events=[3])
    await stream.request("z1")
    ((status, body, seconds),) = stream.refusals
    assert status == 503 and VERSION_UNKNOWN in body and seconds < REFUSAL_SECONDS


async def test_worker_restarted_under_its_id_with_another_version_does_not_continue_stream(site):
    site.configure(configuration(routes=[NO_RETRY]))
    for number in range(2):
        worker = PlatformWorker(
            f"i-{number}", "m", events=EVENTS, seconds=0.03, software_version="v1", born=BORN
        )
        await site.add_worker(worker, "engines")
    await add_workers(site, "v2", 1)
    await site.add_relays(ZONES)
    begun = await begin_streams(site, 12)
    restarted = site.workers["i-0"]
    port = int(restarted.server.address.rpartition(":")[2])
    await restarted.terminate()
    restarted.software_version, restarted.born = "v2", BORN + 1000
    # Its entry in the store is still that of its former start.
    await restarted.server.start(port)
    streams = await break_streams(site, begun)
    await take_up(streams, ("z2", "z3", "z1"))
    assert_taken_up(streams)


async def test_stream_does_not_begin_at_restarted_worker_as_one_of_its_earlier_version(site):
    """Streams of the restarted worker went on at workers of the version in its stale entry."""
    site.configure(configuration(routes=[NO_RETRY]))
    for number in range(3):
        worker = PlatformWorker(
            f"i-{number}", "m", events=EVENTS, seconds=0.03, software_version="v1", born=BORN
        )
        await site.add_worker(worker, "engines")
    await site.add_relays(ZONES)
    for node in ZONES:
        await wait_until_streams_begin(site, node)
    restarted = site.workers["i-0"]
    port = int(restarted.server.address.rpartition(":")[2])
    site.store.error_status = 503
    site.store.server.reset_all()
    await restarted.terminate()
    restarted.software_version, restarted.born = "v2", BORN + 1000
    await restarted.server.start(port)
    begun = await begin_streams(site, 15)
    await restarted.terminate()
    streams = await break_streams(site, begun)
    site.model.remove("servers/i-0")
    site.store.error_status = 0
    await take_up(streams, ("z2", "z3", "z1"))
    assert_taken_up(streams)


async def test_stream_is_taken_up_through_dispatchers_queue_with_little_room(site):
    site.routing = {"queue": True, "learn_speeds": True}
    await start_site(site)
    for name in ("v1-1", "v1-2"):
        site.model.remove(f"servers/{name}")
    for node in site.nodes.values():
        await wait_until(lambda node=node: len(node.worker_ids()) == 4, "one worker of v1")
    streams = await break_streams(site, await begin_streams(site, 24))
    await take_up(streams, ("z2", "z3", "z1"))
    assert not [stream for stream in streams if stream.mixed]
    waiting = [stream for stream in streams if not stream.complete]
    await take_up(waiting, ("z2", "z3", "z1"))
    assert_taken_up(streams)
