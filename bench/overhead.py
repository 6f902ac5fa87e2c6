"""What a node adds to the first token and to each further one, at a node's share of load.

12 requests a second with streams of about 11 s, so about 130 at once, go through one node,
most of them from a process that only reads. A second process sends a few requests in turn
through the node and directly to the same engines. Engines stamp each event, so the delay
from engine to caller is compared event by event between the two ways, in one run.
"""

import itertools
import json
import pathlib
import subprocess
import sys
import tempfile
import threading
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field

import fire
import urllib3

from bench.process_usage import cpu_seconds, resident_megabytes
from bench.statistics_of import summarize
from standins.cluster import Cluster, EngineSpec, NodeSpec, read_events

_KEY = {"Authorization": "Bearer thibodeau-key"}
_OUTPUT_TOKENS = 220
ENGINES = 10
"""A zone has 77; with more engines fewer streams of a node step at the same moment."""

MEASURED_RATE = 2.0
"""Measured requests a second, half of them through the node and half direct."""

_ENGINE_OPTIONS = {"step_seconds": 0.05, "max_batch": 128}


@dataclass
class Samples:
    """Delays in seconds, by way."""

    first_token: list[float] = field(default_factory=list)
    event_delay: list[float] = field(default_factory=list)
    errors: int = 0
    finished: int = 0


def _body() -> dict:
    return {
        "model": "lookup",
        "stream": True,
        "max_tokens": _OUTPUT_TOKENS,
        "messages": [{"role": "user", "content": f"question {uuid.uuid4().hex}"}],
    }


def _call(cluster: Cluster, url: str, body: dict, samples: Samples) -> None:
    began = time.monotonic()
    response = cluster.http.request(
        "POST", url, json=body, headers=_KEY, preload_content=False, timeout=60
    )
    first = True
    for _, data in read_events(response):
        if data == "[DONE]":
            samples.finished += 1
            return
        now = time.monotonic()
        if first:
            samples.first_token.append(now - began)
            first = False
        samples.event_delay.append(now - json.loads(data)["emitted_at"])
    samples.errors += 1


def bulk_load(node_url: str, seconds: float, rate: float) -> None:
    """Send the bulk of the load from a process of its own, reading without parsing."""
    pool = urllib3.PoolManager(maxsize=256, retries=False, timeout=60)

    def call() -> None:
        response = pool.request("POST", node_url, json=_body(), headers=_KEY, preload_content=False)
        while response.read1(65536):
            pass

    _paced(seconds, rate, lambda: _thread(call))


def _measure(cluster: Cluster, seconds: float, rate: float) -> tuple[Samples, Samples]:
    """Send a few requests both ways, in turn."""
    through_node, direct = Samples(), Samples()
    node_url = f"http://{cluster.caller_address('node-1')}/v1/chat/completions"
    engine_urls = itertools.cycle(
        f"http://{machine['address']}/v1/chat/completions" for machine in cluster.machines()
    )
    ways = itertools.cycle((True, False))

    def start() -> threading.Thread:
        if next(ways):
            return _thread(_call, cluster, node_url, _body(), through_node)
        body = _body() | {"model": "matcher"}
        return _thread(_call, cluster, next(engine_urls), body, direct)

    _paced(seconds, rate, start)
    return through_node, direct


def _paced(seconds: float, rate: float, start: Callable[[], threading.Thread]) -> None:
    threads = []
    began = time.monotonic()
    while time.monotonic() - began < seconds:
        threads.append(start())
        time.sleep(max(0.0, began + len(threads) / rate - time.monotonic()))
    for thread in threads:
        thread.join(60)


def _thread(target: Callable[..., None], *arguments: object) -> threading.Thread:
    thread = threading.Thread(target=target, args=arguments, daemon=True)
    thread.start()
    return thread


def measure(seconds: float = 40.0, rate: float = 12.0) -> None:
    """Run the measurement and print it."""
    engines = [
        EngineSpec(f"engine-{n}", "worcester", options=_ENGINE_OPTIONS)
        for n in range(1, ENGINES + 1)
    ]
    with tempfile.TemporaryDirectory() as directory:
        nodes = [NodeSpec("node-1", "worcester")]
        with Cluster(pathlib.Path(directory), engines, nodes, proxied=False) as cluster:
            cluster.apply("node-1", "examples/thibodeau")
            cluster.wait_engines(ENGINES)
            process_id = cluster.processes["node-1"].process.pid
            cpu_before, began = cpu_seconds(process_id), time.monotonic()
            url = f"http://{cluster.caller_address('node-1')}/v1/chat/completions"
            bulk = subprocess.Popen(
                [sys.executable, "-m", "bench.overhead", "bulk_load", url]
                + [str(seconds), str(rate - MEASURED_RATE / 2)]
            )
            through_node, direct = _measure(cluster, seconds, MEASURED_RATE)
            cpu = (cpu_seconds(process_id) - cpu_before) / (time.monotonic() - began)
            _report(through_node, direct, cpu, resident_megabytes(process_id))
            bulk.wait(90)


def _report(through_node: Samples, direct: Samples, cpu: float, memory: float) -> None:
    for name, samples in (("through node", through_node), ("direct", direct)):
        first, delay = summarize(samples.first_token), summarize(samples.event_delay)
        print(
            f"{name}: {samples.finished} streams, {samples.errors} errors; "
            f"first token ms p50 {first.median * 1e3:.1f} p95 {first.p95 * 1e3:.1f}; "
            f"engine to caller ms p50 {delay.median * 1e3:.2f} p95 {delay.p95 * 1e3:.2f}"
        )
    added_first = summarize(through_node.first_token).median - summarize(direct.first_token).median
    added = summarize(through_node.event_delay).median - summarize(direct.event_delay).median
    print(f"added to first token, median: {added_first * 1e3:.2f} ms")
    print(f"added to each event, median: {added * 1e3:.2f} ms")
    print(f"node: {cpu:.2f} core, {memory:.0f} MB resident")


if __name__ == "__main__":
    fire.Fire({"measure": measure, "bulk_load": bulk_load})
