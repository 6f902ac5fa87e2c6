"""Forwarding of requests to workers and of responses to callers."""

import asyncio

from standins.platform_site import configuration, wait_until
from standins.platform_worker import PlatformWorker, WorkerFaults
from wheelslip.memory.account import account_bytes

LLM = {"Wheelslip_Model_Id": "m", "Wheelslip_Token_Usage": "300,20"}
PROMPT = LLM | {"Wheelslip_Prefix_Hash": "aa:100,bb:100,cc:100"}


async def plain_site(site, **options):
    site.configure()
    worker = await site.add_worker(PlatformWorker("i-1", **options), "plain")
    await site.add_node()
    await site.wait_until_ready()
    return worker


async def engine_site(site, count=1, **options):
    site.configure()
    engines = [PlatformWorker(f"i-{n}", model="m", **options) for n in range(1, count + 1)]
    for engine in engines:
        await site.add_worker(engine, "engines")
    await site.add_node()
    await site.wait_until_ready()
    return engines


async def test_method_path_query_and_body_reach_the_worker_unchanged(site):
    worker = await plain_site(site)
    answer = await site.request("/plain/a%20b?q=1&q=2", "r1", body=b"\x00\xffbody")
    assert answer.status == 200 and answer.body == b"answer of i-1 to r1"
    assert answer.headers["wheelslip-response-signature"] == "sig-i-1-r1"
    (run,) = worker.runs
    assert (run.request.method, run.request.body) == ("POST", b"\x00\xffbody")
    assert run.request.target == b"/plain/a%20b?q=1&q=2"
    assert run.request.headers["wheelslip-tenant-id"] == "tenant-1"
    assert "authorization" not in run.request.headers
    assert 0 < int(run.request.headers["wheelslip-deadline-ms"]) <= 5000


async def test_streamed_response_is_complete(site):
    await engine_site(site, events=5)
    answer = await site.request("/stream/x", "r1", **PROMPT)
    assert answer.status == 200 and answer.complete
    assert answer.body.count(b"data: token") == 5


async def test_unknown_route_and_key_return_404_and_401(site):
    worker = await plain_site(site)
    assert (await site.request("/nowhere/", "r1")).status == 404
    assert (await site.request("/plain/", "r2", key="wrong")).status == 401
    assert worker.runs == []


async def test_node_without_configuration_returns_503_and_is_not_ready(site):
    node = await site.add_node()
    answer = await site.request("/plain/", "r1")
    assert answer.status == 503 and float(answer.headers["retry-after"]) > 0
    assert not node.is_ready()


async def test_cache_salt_separates_isolated_tenants(site):
    document = configuration()
    document["tenants"].append({"name": "apart", "api_keys": ["k2"], "isolated": True})
    site.configure(document)
    engine = await site.add_worker(PlatformWorker("i-1", model="m"), "engines")
    await site.add_node()
    await site.wait_until_ready()
    for number, key in enumerate(("key-1", "k2", "key-1")):
        await site.request("/stream/x", f"r{number}", key=key, **PROMPT)
    salts = [run.request.headers["wheelslip-cache-salt"] for run in engine.runs]
    assert salts[0] == salts[2] != salts[1]
    assert {run.request.headers["wheelslip-expect-version"] for run in engine.runs} == {"1"}


async def test_caller_disconnect_closes_connection_to_silent_worker(site):
    document = configuration()
    for route in document["routes"]:
        # Longer than the test, so that only the caller's disconnect closes the connection.
        route["timeout_ms"] = 120_000
    site.configure(document)
    worker = await site.add_worker(PlatformWorker("i-1", seconds=120), "plain")
    await site.add_node()
    await site.wait_until_ready()
    caller = await site.connect()
    caller.send("/plain/", "r1")
    await wait_until(lambda: worker.runs, "request runs")
    caller.abort()
    await wait_until(lambda: worker.runs[0].closed_early, "worker's connection closed")


async def test_caller_disconnect_ends_stream(site):
    (engine,) = await engine_site(site, events=1000, seconds=0.05)
    caller = await site.connect()
    caller.send("/stream/x", "r1", **PROMPT)
    await wait_until(lambda: engine.runs, "request runs")
    await caller.reader.read(1)
    caller.abort()
    await wait_until(lambda: engine.runs[0].closed_early, "worker's connection closed")


async def test_requests_on_one_connection_are_answered_in_order(site):
    await plain_site(site)
    caller = await site.connect()
    for number in range(3):
        caller.send("/plain/", f"r{number}")
        answer = await caller.read_response()
        assert answer.body == f"answer of i-1 to r{number}".encode()


async def test_body_with_two_framings_is_rejected(site):
    worker = await plain_site(site)
    caller = await site.connect()
    caller.writer.write(
        b"POST /plain/ HTTP/1.1\r\nHost: site.example\r\nWheelslip-Request-Id: r1\r\n"
        b"Authorization: Token key-1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"0\r\n\r\nPOST /plain/ HTTP/1.1\r\nHost: site.example\r\n\r\n"
    )
    data = await asyncio.wait_for(caller.reader.read(), 10)
    assert data.startswith(b"HTTP/1.1 400") and data.count(b"HTTP/1.1") == 1
    assert worker.runs == []


async def test_chunked_body_reaches_worker(site):
    worker = await plain_site(site)
    caller = await site.connect()
    caller.writer.write(
        b"POST /plain/ HTTP/1.1\r\nHost: site.example\r\nWheelslip-Request-Id: r1\r\n"
        b"Authorization: Token key-1\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    assert b"200" in await asyncio.wait_for(caller.reader.readline(), 10)
    assert worker.runs[0].request.body == b"abcde"


async def test_body_over_limit_is_rejected(site):
    worker = await plain_site(site)
    answer = await site.request("/plain/", "r1", body=b"x" * 100_001)
    assert answer.status == 413 and worker.runs == []


async def test_route_timeout_returns_504(site):
    document = configuration()
    for route in document["routes"]:
        route["timeout_ms"] = 300
    site.configure(document)
    await site.add_worker(PlatformWorker("i-1", seconds=30), "plain")
    await site.add_node()
    await site.wait_until_ready()
    answer = await site.request("/plain/", "r1")
    assert answer.status == 504 and "retry-after" not in answer.headers


async def test_response_without_length_is_complete(site):
    await plain_site(site, faults=WorkerFaults(unframed=True))
    answer = await site.request("/plain/", "r1")
    assert answer.body == b"answer of i-1 to r1" and answer.complete


async def test_request_over_body_memory_limit_is_rejected(site):
    site.configure()
    worker = await site.add_worker(PlatformWorker("i-1", seconds=30), "plain")
    node = await site.add_node()
    await site.wait_until_ready()
    node.hold_bytes(int(0.5 * account_bytes(300)) - 1000)
    answer = await site.request("/plain/", "r1", body=b"x" * 2000)
    assert answer.status == 503 and "retry-after" in answer.headers
    assert worker.runs == []
