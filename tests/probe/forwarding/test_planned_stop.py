"""A planned stop finishes running requests and rejects those it could not finish."""

import asyncio
import contextlib

import h11

from standins.platform_site import HOST, KEY, wait_until
from standins.platform_worker import PlatformWorker


async def slow_site(site, seconds, **bounds):
    site.configure()
    worker = await site.add_worker(PlatformWorker("i-1", seconds=seconds), "plain")
    node = await site.add_node(**bounds)
    await site.wait_until_ready()
    return node, worker


async def test_running_requests_finish_and_readiness_fails_at_once(site):
    node, worker = await slow_site(site, seconds=3.2)
    caller = await site.connect()
    caller.send("/plain/", "r1")
    await wait_until(lambda: worker.runs, "request runs")
    stopping = asyncio.create_task(node.stop())
    await wait_until(lambda: not node.is_ready(), "not ready")
    answer = await caller.read_response()
    assert answer.status == 200 and answer.headers["connection"] == "close"
    assert not stopping.done(), "the stop ended before a running request"
    await stopping


async def test_persistent_connection_is_served_and_closed_during_stop(site):
    node, worker = await slow_site(site, seconds=0.0)
    caller = await site.connect()
    stopping = asyncio.create_task(node.stop())
    await wait_until(lambda: not node.is_ready(), "not ready")
    caller.send("/plain/", "r1")
    answer = await caller.read_response()
    assert answer.status == 200 and answer.headers["connection"] == "close"
    await stopping


async def test_request_late_in_stop_is_rejected_without_running(site):
    node, worker = await slow_site(site, seconds=4.0)
    caller, late = await site.connect(), await site.connect()
    caller.send("/plain/", "r1")
    await wait_until(lambda: worker.runs, "request runs")
    stopping = asyncio.create_task(node.stop())
    await wait_until(lambda: node.refuses_new(), "new requests are refused")
    with contextlib.suppress(AssertionError, OSError, h11.RemoteProtocolError):
        late.send("/plain/", "r2")
        assert (await late.read_response()).status == 503
    assert site.runs("r2") == []
    assert (await caller.read_response()).status == 200
    await stopping


async def test_reload_applies_valid_settings_and_ignores_invalid_ones(site):
    node, _ = await slow_site(site, seconds=0.0)
    path = site.write_settings("n1", retry_ratio=0.4)
    node.reload()
    assert node.bounds().retry_ratio == 0.4
    path.write_text('[node]\nname = ""\n')
    node.reload()
    assert node.bounds().retry_ratio == 0.4
    assert (await site.request("/plain/", "r1")).status == 200


async def test_request_received_as_stop_ends_is_rejected_without_running(site):
    """Guards against running a request whose head arrives while the node shuts down."""
    site.configure()
    worker = await site.add_worker(PlatformWorker("i-1", seconds=0.3), "plain")
    node = await site.add_node()
    await site.wait_until_ready()
    caller = await site.connect()
    head = f"POST /plain/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n"
    caller.writer.write(f"{head}Wheelslip-Request-Id: late\r\nContent-Le".encode())
    stopping = asyncio.create_task(node.stop())
    while True:
        try:
            (await site.connect()).abort()
        except OSError:
            break
        await asyncio.sleep(0.005)
    caller.parser.send(h11.Request(method="POST", target="/", headers=[("Host", HOST)]))
    caller.parser.send(h11.EndOfMessage())
    caller.writer.write(b"ngth: 1\r\n\r\nx")
    answer = await asyncio.wait_for(caller.read_response(), 5)
    assert answer.status == 503
    assert worker.runs == []
    await stopping
