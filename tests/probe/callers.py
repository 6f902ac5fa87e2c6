"""Callers for the probe tests: each checks that an answer is whole and its own."""

import json
import threading
import time
import uuid
from dataclasses import dataclass, field

import urllib3
import xxhash

from standins.cluster import read_events
from tests.probe.conftest import API_KEY
from wheelslip.routing.prefix import render_chat


@dataclass
class Outcome:
    """What one caller saw."""

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
    def whole(self) -> bool:
        """Every token of this caller's own answer, once and in order, and the end."""
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
    """Send one chat and return what came back; never raises."""
    outcome = Outcome(expected=expected_tokens(body))
    began = time.monotonic()
    # A connection of its own for each call: a kept one may be closed by the node just as it
    # is used again, which would look like an answer that ended in silence.
    # A long deadline where a test names none, so that a busy machine decides no verdict.
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
        answer = json.loads(response.read())
        outcome.tokens = answer["choices"][0]["message"]["content"].split()
        outcome.finish_reason = answer["choices"][0]["finish_reason"]
        outcome.usage = answer["usage"]
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
        outcome.failure = "stream ended in silence"


class Callers:
    """Many callers at once; each call uses a nonce of its own."""

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
            assert not thread.is_alive(), "a caller hangs"
        return self.outcomes
