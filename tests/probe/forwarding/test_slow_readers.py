"""Callers that read or send slowly, and workers that read no body, before a node with little memory."""

import asyncio
import socket

import pytest

from standins.bulk_worker import LARGE_BODY_BYTES, PLAIN_BYTES, BulkWorker
from standins.platform_site import HOST, KEY, Caller, configuration, wait_until
from standins.platform_worker import PlatformWorker, worker_entry
from wheelslip.forwarding.shutdown import LAME_DUCK_SECONDS
from wheelslip.memory.account import (
    BODY_SHARE,
    HEADER_OBJECT_BYTES,
    MemoryUse,
    account_bytes,
)
from wheelslip.memory.node_memory import STALLED_SECONDS

ROUTES = [
    {"host": HOST, "path_prefix": "/stream/", "kind": "streaming", "service": "plain"},
    {"host": HOST, "path_prefix": "/resumed/", "kind": "streaming", "service": "plain"}
    | {"resumable": True},
    {"host": HOST, "path_prefix": "/plain/", "kind": "non_idempotent", "service": "plain"},
]
SMALL_MEGABYTES = 64
"""Memory of a node with an account of 8 MB."""


async def small_site(site, megabytes=SMALL_MEGABYTES, events=64):
    """Start a worker and a node with little memory."""
    routes = [route | {"timeout_ms": 60_000} for route in ROUTES]
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4_000_000}
    limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 30_000}
    site.configure(configuration(routes=routes, limits=limits))
    worker = BulkWorker(events)
    await worker.start()
    site.model.put("servers/i-1", worker_entry("plain", worker.address, "z1", capacity=500))
    node = await site.add_node()
    settings = site.folder / "n1.toml"
    settings.write_text(settings.read_text() + f"\n[limits]\nmemory_megabytes = {megabytes}\n")
    node.reload()
    await wait_until(lambda: node.is_ready() and "i-1" in node.worker_ids(), "node ready")
    size = account_bytes(megabytes)
    await wait_until(lambda: node.gauge("memory_account_bytes") == size, "size in force")
    return worker, node


class BoundWatch:
    """Records the largest number of bytes held by a node while it is entered."""

    def __init__(self, node):
        self.node = node
        self.highest = 0.0
        self.highest_bodies = 0.0

    async def _watch(self) -> None:
        while True:
            self.highest = max(self.highest, self.node.gauge("memory_held_bytes"))
            bodies = self.node.gauge("memory_request_body_bytes")
            bodies += self.node.gauge("memory_unsent_request_bytes")
            self.highest_bodies = max(self.highest_bodies, bodies)
            await asyncio.sleep(0)

    async def __aenter__(self) -> "BoundWatch":
        self._task = asyncio.get_running_loop().create_task(self._watch())
        return self

    async def __aexit__(self, *_) -> None:
        self._task.cancel()


async def connect_slow(site) -> Caller:
    """Open a connection with a small receive buffer, whose data the caller must read itself."""
    host, _, port = site.addresses["n1"].partition(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
    return Caller(*await asyncio.open_connection(sock=connection, limit=4096))


async def test_planned_stop_waits_until_a_slow_caller_has_taken_its_answer(site):
    """The process ended while answers were in its buffers, and cut them off."""
    worker, node = await small_site(site, megabytes=400, events=64)
    caller = await connect_slow(site)
    caller.send("/resumed/x", "bulk-1")
    await wait_until(lambda: node.gauge("memory_untaken_response_bytes") > 1_000_000, "buffered")
    await wait_until(lambda: not node.gauge("running_requests"), "the worker has answered")
    stopping = asyncio.create_task(node.stop())
    await asyncio.sleep(LAME_DUCK_SECONDS + 0.5)
    assert not stopping.done(), "the stop ended before the caller had its answer"
    answer = await caller.read_response()
    assert answer.status == 200 and answer.complete
    assert answer.body.count(b"id: ") == 64
    await stopping


async def test_large_answers_that_exceed_the_memory_together_are_all_forwarded(site):
    """Incomplete answers filled the account and waited for each other; connections were closed."""
    worker, node = await small_site(site)
    callers = [await site.connect() for _ in range(24)]
    for number, caller in enumerate(callers):
        caller.send("/plain/x", f"bulk-{number}")
    async with BoundWatch(node) as watch:
        answers = await asyncio.gather(*(caller.read_response() for caller in callers))
    assert [len(answer.body) for answer in answers] == [PLAIN_BYTES] * 24
    assert node.gauge("slow_readers_closed") == 0
    assert watch.highest <= account_bytes(SMALL_MEGABYTES)
    assert node.gauge("memory_reserved_response_bytes") == 0


def fill(node) -> None:
    """Leave room for small request bodies, and none for reading from workers."""
    node.hold_bytes(account_bytes(SMALL_MEGABYTES), MemoryUse.BUFFERED_RESPONSE)
    node.hold_bytes(-20_000, MemoryUse.BUFFERED_RESPONSE)


async def wait_until_released(node) -> None:
    await wait_until(lambda: node.gauge("memory_held_bytes") == 0, "all memory released")


def completed(answers) -> int:
    return sum(answer.status == 200 and answer.complete for answer in answers)


async def test_callers_that_stop_reading_at_once_do_not_exceed_the_account_or_stop_others(site):
    worker, node = await small_site(site)
    slow = [await connect_slow(site) for _ in range(60)]
    async with BoundWatch(node) as watch:
        for number, caller in enumerate(slow):
            caller.send("/stream/x", f"bulk-{number}")
        await wait_until(lambda: len(worker.started) == 60, "all streams run")
        await wait_until(lambda: node.gauge("memory_paused_workers") == 60, "reading paused")
        fill(node)
        for number in range(20):
            answer = await site.request("/stream/x", f"r{number}")
            assert answer.status == 200 and answer.complete
            assert answer.body.count(b"data: ") == 3
        assert node.gauge("slow_readers_closed") > 0
        node.hold_bytes(-account_bytes(SMALL_MEGABYTES), MemoryUse.BUFFERED_RESPONSE)
        async with asyncio.timeout(60):
            answers = await asyncio.gather(*(caller.read_response() for caller in slow))
    assert watch.highest <= account_bytes(SMALL_MEGABYTES)
    # Every closed connection is recognized as incomplete; all others get the complete stream.
    assert completed(answers) == 60 - node.gauge("slow_readers_closed")
    for answer in answers:
        assert answer.complete == (answer.body.count(b"data: ") == 64)
    for caller in slow:
        caller.abort()
    await wait_until_released(node)


async def test_resumable_streams_are_closed_first(site):
    worker, node = await small_site(site)
    paths = ["/stream/x", "/resumed/x"]
    slow = [await connect_slow(site) for _ in paths]
    for path, caller in zip(paths, slow, strict=True):
        caller.send(path, f"bulk-{path}")
    untaken = "memory_untaken_response_bytes"
    await wait_until(lambda: node.gauge(untaken) > 800_000, "both streams are held")
    # Both have taken nothing for longer than the time after which they may be closed.
    await asyncio.sleep(2 * STALLED_SECONDS)
    fill(node)
    answer = await site.request("/stream/x", "r1")
    assert answer.status == 200 and answer.complete
    assert node.gauge("slow_readers_closed") == 1
    node.hold_bytes(-account_bytes(SMALL_MEGABYTES), MemoryUse.BUFFERED_RESPONSE)
    async with asyncio.timeout(60):
        answers = await asyncio.gather(*(caller.read_response() for caller in slow))
    assert [answer.complete for answer in answers] == [True, False]


async def test_response_that_ends_with_its_connection_is_reset_when_closed(site):
    """Without chunks or a length, the end of the connection would complete the response."""
    _, node = await small_site(site)
    caller = await connect_slow(site)
    caller.writer.write(
        f"POST /stream/x HTTP/1.0\r\nHost: {HOST}\r\nWheelslip-Request-Id: bulk\r\n"
        f"Authorization: Token {KEY}\r\nContent-Length: 1\r\n\r\nx".encode()
    )
    untaken = "memory_untaken_response_bytes"
    await wait_until(lambda: node.gauge(untaken) > 400_000, "the stream is held")
    fill(node)
    answer = await site.request("/stream/x", "r1")
    assert answer.status == 200 and answer.complete
    assert node.gauge("slow_readers_closed") == 1
    with pytest.raises(ConnectionResetError):
        async with asyncio.timeout(20):
            while await caller.reader.read(65536):
                pass


async def test_paused_response_is_read_again_when_the_caller_reads(site):
    _, node = await small_site(site, events=300)
    caller = await connect_slow(site)
    caller.send("/stream/x", "bulk")
    await wait_until(lambda: node.gauge("memory_paused_workers") == 1, "reading paused")
    async with asyncio.timeout(60):
        answer = await caller.read_response()
    assert answer.complete and answer.body.count(b"data: ") == 300
    assert node.gauge("slow_readers_closed") == 0
    await wait_until_released(node)


async def test_bodies_that_arrive_a_byte_at_a_time_do_not_keep_others_out(site):
    worker, node = await small_site(site)
    head = (
        f"POST /plain/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n"
        "Content-Length: 400000\r\n"
    )
    slow = [await site.connect() for _ in range(20)]

    async def drip(number: int) -> bytes:
        caller = slow[number]
        caller.writer.write(f"{head}Wheelslip-Request-Id: slow-{number}\r\n\r\n".encode())
        caller.writer.write(b"x" * 390_000)
        answer = asyncio.ensure_future(caller.reader.readuntil(b"\r\n\r\n"))
        while not answer.done():
            caller.writer.write(b"x")
            await asyncio.sleep(0.02)
        return await answer

    async with BoundWatch(node) as watch:
        tasks = [asyncio.ensure_future(drip(number)) for number in range(20)]
        await wait_until(lambda: node.gauge("requests_over_memory") > 0, "bodies rejected")
        for number in range(20):
            assert (await site.request("/plain/x", f"r{number}")).status == 200
        await wait_until(lambda: any(not task.done() for task in tasks), "bodies still arrive")

        async def large_is_served() -> bool:
            answer = await site.request("/plain/x", "large", body=b"x" * 400_000)
            assert answer.status in (200, 503)
            return answer.status == 200

        async with asyncio.timeout(20):
            while not await large_is_served():
                await asyncio.sleep(0.1)
        assert node.gauge("slow_readers_closed") > 0
        rejections = [task.result() for task in tasks if task.done()]
    assert watch.highest_bodies <= BODY_SHARE * account_bytes(SMALL_MEGABYTES)
    assert all(
        answer.startswith(b"HTTP/1.1 503") and b"\r\nretry-after: " in answer.lower()
        for answer in rejections
    )
    assert not any(name.startswith("slow") for name in worker.started)
    for task, caller in zip(tasks, slow, strict=True):
        task.cancel()
        caller.abort()
    await wait_until_released(node)


async def test_worker_that_reads_no_body_does_not_exceed_the_account(site):
    worker, node = await small_site(site, megabytes=128)
    body = b"x" * LARGE_BODY_BYTES
    async with BoundWatch(node) as watch:
        callers = [await site.connect() for _ in range(12)]
        for number, caller in enumerate(callers):
            caller.send("/plain/x", f"large-{number}", body=body)
        answers = [asyncio.ensure_future(caller.read_response()) for caller in callers]
        await wait_until(lambda: node.gauge("requests_over_memory") > 0, "requests rejected")
        assert (await site.request("/plain/x", "small")).status == 200
        worker.may_read_bodies.set()
        async with asyncio.timeout(60):
            answers = await asyncio.gather(*answers)
    assert watch.highest_bodies <= BODY_SHARE * account_bytes(128)
    for number, answer in enumerate(answers):
        # A rejected request has not run, so the worker has not seen it.
        assert (answer.status == 200) == (f"large-{number}" in worker.started)
        assert answer.status == 200 or "retry-after" in answer.headers
    assert any(answer.status == 200 for answer in answers)
    for caller in callers:
        caller.abort()
    await wait_until_released(node)


async def test_heads_with_many_headers_are_counted_and_freed(site):
    """400 callers with heads of 2,000 lines made a node grow by 126 MB outside its account."""
    limits = {"max_header_bytes": 32768, "max_body_bytes": 100_000}
    limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15_000}
    site.configure(configuration(limits=limits))
    await site.add_worker(PlatformWorker("p1"), "plain")
    node = await site.add_node()
    await site.wait_until_ready()
    callers = []
    for _ in range(40):
        caller = await site.connect()
        lines = "".join(f"a{line}: 1\r\n" for line in range(2000))
        head = f"POST /plain/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 5\r\n{lines}\r\n"
        caller.writer.write(head.encode())
        callers.append(caller)
    least = 40 * 2000 * HEADER_OBJECT_BYTES
    await wait_until(lambda: node.gauge("memory_request_body_bytes") >= least, "heads counted")
    for caller in callers:
        caller.abort()
    await wait_until(lambda: node.gauge("memory_held_bytes") == 0, "heads freed")
