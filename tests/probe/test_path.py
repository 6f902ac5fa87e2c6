"""The request path across separate processes, with valid and invalid input."""

import json
import socket

import openai
import pytest
import xxhash

from standins.cluster import wait_until
from tests.probe.callers import chat_body, send
from tests.probe.conftest import API_KEY
from wheelslip.routing.caches.prefix import render_chat


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    from standins.cluster import Cluster, EngineSpec, NodeSpec

    limits = {"max_body_bytes": 100_000, "max_header_bytes": 8192, "caller_timeout_seconds": 2.0}
    engines = [EngineSpec("engine-1", "worcester"), EngineSpec("engine-2", "providence")]
    nodes = [NodeSpec("node-1", "worcester", limits), NodeSpec("node-2", "providence", limits)]
    with Cluster(tmp_path_factory.mktemp("path"), engines, nodes) as cluster:
        cluster.apply("node-1", "examples/thibodeau")
        cluster.wait_engines(2)
        yield cluster


def openai_client(cluster, node="node-1"):
    return openai.OpenAI(
        base_url=f"http://{cluster.caller_address(node)}/v1", api_key=API_KEY, max_retries=0
    )


def test_openai_client_is_compatible(cluster):
    client = openai_client(cluster)
    answer = client.chat.completions.create(
        model="lookup", max_tokens=5, messages=[{"role": "user", "content": "ring?"}]
    )
    assert len(answer.choices[0].message.content.split()) == 5
    assert answer.usage.completion_tokens == 5
    stream = client.chat.completions.create(
        model="lookup",
        max_tokens=5,
        stream=True,
        stream_options={"include_usage": True},
        messages=[{"role": "user", "content": [{"type": "text", "text": "ring?"}]}],
    )
    chunks = list(stream)
    text = "".join(chunk.choices[0].delta.content or "" for chunk in chunks if chunk.choices)
    assert text == answer.choices[0].message.content
    assert chunks[-1].usage.completion_tokens == 5
    completion = client.completions.create(model="matcher", prompt="ring?", max_tokens=3)
    assert len(completion.choices[0].text.split()) == 3
    assert "lookup" in [model.id for model in client.models.list()]
    with pytest.raises(openai.NotFoundError):
        client.chat.completions.create(model="absent", messages=[{"role": "user", "content": "x"}])
    with pytest.raises(openai.AuthenticationError):
        client.with_options(api_key="wrong").models.list()


def test_same_prefix_is_served_from_cache_through_another_node(cluster):
    prefix = "A stadium's weekend log. " * 400
    first = send(cluster, "node-1", chat_body("a", prefix=prefix, stream=False))
    second = send(cluster, "node-2", chat_body("b", prefix=prefix, stream=False))
    assert first.is_complete and second.is_complete
    assert first.usage["prompt_tokens_details"]["cached_tokens"] == 0
    assert second.usage["prompt_tokens_details"]["cached_tokens"] >= 2000


def test_health_readiness_and_metrics_endpoints_respond(cluster):
    base = f"http://{cluster.caller_address('node-1')}"
    assert cluster.http.request("GET", f"{base}/healthz").status == 200
    assert cluster.http.request("GET", f"{base}/readyz").json()["revision"] > 0
    send(cluster, "node-1", chat_body("metrics"))
    metrics = cluster.http.request("GET", f"{base}/metrics").data.decode()
    assert "wheelslip_requests_total{" in metrics
    assert "wheelslip_live_members 2.0" in metrics


INVALID_BODIES = {
    "not JSON": (b"{", "invalid_request", "body"),
    "not an object": (b"[]", "invalid_request", "body"),
    "deeply nested": (b'{"a":' * 20000, "invalid_request", "body"),
    "no model": (b'{"messages": [{"role": "user"}]}', "invalid_request", "model"),
    "model of wrong type": (b'{"model": 3}', "invalid_request", "model"),
    "no messages": (b'{"model": "lookup", "messages": []}', "invalid_request", "messages"),
    "wrong message": (b'{"model": "lookup", "messages": [3]}', "invalid_request", "messages[0]"),
    "wrong role": (
        b'{"model": "lookup", "messages": [{"role": 1}]}',
        "invalid_request",
        "messages[0].role",
    ),
    "wrong max_tokens": (
        b'{"model": "lookup", "max_tokens": -1, "messages": [{"role": "u"}]}',
        "invalid_request",
        "max_tokens",
    ),
    "unknown model": (
        b'{"model": "absent", "messages": [{"role": "u", "content": "x"}]}',
        "model_not_found",
        "absent",
    ),
    "notice without key": (
        b'{"model": "notice", "messages": [{"role": "u", "content": "x"}]}',
        "idempotency_key_required",
        "Idempotency-Key",
    ),
}


@pytest.mark.parametrize("name", list(INVALID_BODIES))
def test_invalid_body_returns_4xx_naming_the_field(cluster, name):
    body, kind, field = INVALID_BODIES[name]
    url = f"http://{cluster.caller_address('node-1')}/v1/chat/completions"
    response = cluster.http.request(
        "POST", url, body=body, headers={"Authorization": f"Bearer {API_KEY}"}
    )
    error = response.json()["error"]
    assert 400 <= response.status < 500
    assert error["code"] == kind and field in error["message"]
    assert error["run_state"] == "not_run"


def test_invalid_header_or_path_returns_4xx(cluster):
    base = f"http://{cluster.caller_address('node-1')}"
    good = chat_body("x")
    assert send(cluster, "node-1", good, key="unknown").kind == "authentication_failed"
    assert send(cluster, "node-1", good, {"X-Deadline-Seconds": "soon"}).status == 400
    assert send(cluster, "node-1", good, {"X-Deadline-Seconds": "-1"}).status == 400
    assert send(cluster, "node-1", good, {"Idempotency-Key": "k" * 300}).status == 400
    assert cluster.http.request("GET", f"{base}/absent").json()["error"]["code"] == "path_not_found"
    wrong_method = cluster.http.request("GET", f"{base}/v1/chat/completions")
    assert wrong_method.status == 405


def test_oversized_body_and_header_are_rejected(cluster):
    body = chat_body("x", prefix="y" * 200_000)
    assert send(cluster, "node-1", body).kind == "body_too_large"
    huge = send(cluster, "node-1", chat_body("x"), {"X-Junk": "z" * 20_000})
    assert huge.kind == "headers_too_large" and huge.run_state == "not_run"
    assert send(cluster, "node-1", chat_body("after")).is_complete


def raw_request(cluster, body, content_length=None):
    host, _, port = cluster.caller_address("node-1").partition(":")
    connection = socket.create_connection((host, int(port)), timeout=20)
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {API_KEY}\r\nContent-Length: {content_length or len(body)}\r\n\r\n"
    )
    connection.sendall(head.encode() + body)
    return connection


def test_incomplete_body_returns_408_or_closes_connection(cluster):
    with raw_request(cluster, b'{"model": ', content_length=1000) as connection:
        received = connection.recv(65536)
    assert received == b"" or b" 408 " in received.split(b"\r\n")[0]
    assert send(cluster, "node-1", chat_body("after")).is_complete


def aborted_runs(cluster, digest):
    runs = cluster.runs("aborted")
    return [run for run in runs if run["base_prompt_digest"] == digest]


def test_caller_disconnect_aborts_run(cluster):
    body = chat_body("gone", tokens=2000)
    digest = body_digest(body)
    connection = raw_request(cluster, json.dumps(body).encode())
    connection.recv(1024)
    connection.close()
    wait_until(lambda: aborted_runs(cluster, digest), "the engine aborts the run")
    assert send(cluster, "node-1", chat_body("after")).is_complete


def test_caller_that_stops_reading_is_disconnected_and_its_run_aborted(cluster):
    body = chat_body("stuck", tokens=4000, prefix="stuck")
    digest = body_digest(body)
    host, _, port = cluster.caller_address("node-1").partition(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    connection.connect((host, int(port)))
    payload = json.dumps(body).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {API_KEY}\r\nContent-Length: {len(payload)}\r\n\r\n"
    )
    connection.sendall(head.encode() + payload)
    wait_until(lambda: aborted_runs(cluster, digest), "the engine aborts the run", 90)
    connection.close()
    assert send(cluster, "node-1", chat_body("after")).is_complete


def body_digest(body):
    return xxhash.xxh32_hexdigest(render_chat(body["messages"]).encode())
