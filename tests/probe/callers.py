"""Callers for the probe tests, which compare each response with the expected tokens."""

import json
import threading
import time
import uuid
from dataclasses import dataclass, field

import urllib3
import xxhash

from standins.cluster import read_events
from tests.probe.conftest import API_KEY
from wheelslip.routing.caches.prefix import render_chat


@dataclass
class Outcome:
    """Result of one call."""

    status: int = 0
    tokens: list[str] = field(default_factory=list)
    error: dict | None = None
    done: bool = False
    finish_reason: str | None = None
    usage: dict | None = None
    headers: dict = field(default_factory=dict)
    expected: list[str] = field(default_factory=list)
    failure: str = ""
    seconds: float = 0.0
    nonce: str = ""

    @property
    def is_complete(self) -> bool:
        """Whether the response has exactly the expected tokens, in order, and its end."""
        return self.status == 200 and self.done and self.tokens == self.expected

    @property
    def kind(self) -> str:
        return self.error["code"] if self.error else ""

    @property
    def run_state(self) -> str:
        return self.error["run_state"] if self.error else ""


def chat_body(nonce, model="lookup", tokens=8, prefix="Item log. ", stream=True, **fields):
    return {
        "model": model,
        "stream": stream,
        "max_tokens": tokens,
        "messages": [
            {"role": "system", "content": prefix},
            {"role": "user", "content": f"question {nonce}"},
        ],
    } | fields


def expected_tokens(body):
    digest = xxhash.xxh32_hexdigest(render_chat(body["messages"]).encode())
    return [f"w{index}-{digest}" for index in range(body["max_tokens"])]


def send(cluster, node, body, headers=None, key=API_KEY, on_token=None, timeout=60.0):
    """Send one chat completion and return its outcome; connection errors are recorded in it."""
    outcome = Outcome(expected=expected_tokens(body))
    began = time.monotonic()
    # No connection reuse: the node may close a pooled connection just as it is reused.
    # The default deadline is long, so that results do not depend on the machine's load.
    all_headers = {
        "Authorization": f"Bearer {key}",
        "Connection": "close",
        "X-Deadline-Seconds": "60",
    } | (headers or {})
    url = f"http://{cluster.caller_address(node)}/v1/chat/completions"
    try:
        response = cluster.http.request(
            "POST", url, json=body, headers=all_headers, preload_content=False, timeout=timeout
        )
        outcome.status = response.status
        outcome.headers = dict(response.headers)
        _read(response, body, outcome, on_token)
    except (urllib3.exceptions.HTTPError, OSError) as error:
        outcome.failure = repr(error)
    outcome.seconds = time.monotonic() - began
    return outcome


def _read(response, body, outcome, on_token):
    if response.status != 200:
        outcome.error = json.loads(response.read())["error"]
    elif not body["stream"]:
        document = json.loads(response.read())
        outcome.tokens = document["choices"][0]["message"]["content"].split()
        outcome.finish_reason = document["choices"][0]["finish_reason"]
        outcome.usage = document["usage"]
        outcome.done = outcome.finish_reason == "stop"
    else:
        _read_stream(response, outcome, on_token)


def _read_stream(response, outcome, on_token):
    for name, data in read_events(response):
        if name == "error":
            outcome.error = json.loads(data)["error"]
        elif data == "[DONE]":
            outcome.done = True
        else:
            chunk = json.loads(data)
            outcome.usage = chunk.get("usage") or outcome.usage
            for choice in chunk["choices"]:
                outcome.tokens += (choice["delta"].get("content") or "").split()
                outcome.finish_reason = choice["finish_reason"] or outcome.finish_reason
            if on_token is not None:
                on_token(outcome)
    if not outcome.done and outcome.error is None:
        outcome.failure = "stream ended without done event or error"


class Callers:
    """Runs concurrent calls; each uses a unique nonce."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._threads = []
        self._lock = threading.Lock()
        self.outcomes = []

    def call(self, node, headers=None, **fields):
        nonce = uuid.uuid4().hex
        body = chat_body(nonce, **fields)
        outcome = send(self._cluster, node, body, headers)
        outcome.nonce = nonce
        with self._lock:
            self.outcomes.append(outcome)
        return outcome

    def start(self, *arguments, **fields):
        thread = threading.Thread(target=self.call, args=arguments, kwargs=fields, daemon=True)
        thread.start()
        self._threads.append(thread)

    def join(self):
        for thread in self._threads:
            thread.join(120)
            assert not thread.is_alive(), "a call did not finish"
        return self.outcomes
