"""Latency that a node adds to the first token and to each streamed event.

A background process loads one node with streams that it reads without parsing. Meanwhile this
process sends sampled requests alternately through the node and directly to the same engines.
Engines add a timestamp to each event, which gives the delay from engine to caller on both paths.
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
ENGINE_COUNT = 10
SAMPLED_REQUESTS_PER_SECOND = 2.0
"""Rate of sampled requests, half of them through the node and half directly to engines."""

_ENGINE_OPTIONS = {"step_seconds": 0.05, "max_batch": 128}


@dataclass
class Samples:
    """Delays and counts of the sampled requests of one path.

    :ivar first_token: seconds from request to first event.
    :ivar event_delay: seconds from an engine's timestamp of an event to its receipt.
    :ivar errors: number of streams without an end marker.
    :ivar finished: number of complete streams.
    """

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
    """Send one streamed request and record its delays."""
    sent_at = time.monotonic()
    response = cluster.http.request(
        "POST", url, json=body, headers=_KEY, preload_content=False, timeout=60
    )
    awaiting_first = True
    for _, data in read_events(response):
        if data == "[DONE]":
            samples.finished += 1
            return
        now = time.monotonic()
        if awaiting_first:
            samples.first_token.append(now - sent_at)
            awaiting_first = False
        samples.event_delay.append(now - json.loads(data)["emitted_at"])
    samples.errors += 1


def bulk_load(node_url: str, seconds: float, rate: float) -> None:
    """Send background load to a node and discard the responses.

    :param seconds: time during which requests are started.
    :param rate: requests per second.
    """
    pool = urllib3.PoolManager(maxsize=256, retries=False, timeout=60)

    def call() -> None:
        response = pool.request("POST", node_url, json=_body(), headers=_KEY, preload_content=False)
        while response.read1(65536):
            pass

    _start_at_rate(seconds, rate, lambda: _start_thread(call))


def _measure(cluster: Cluster, seconds: float, rate: float) -> tuple[Samples, Samples]:
    """Send sampled requests alternately through the node and directly to engines.

    :return: samples through the node and direct samples.
    """
    through_node, direct = Samples(), Samples()
    node_url = f"http://{cluster.caller_address('node-1')}/v1/chat/completions"
    engine_urls = itertools.cycle(
        f"http://{machine['address']}/v1/chat/completions" for machine in cluster.machines()
    )
    path_choices = itertools.cycle((True, False))

    def start() -> threading.Thread:
        if next(path_choices):
            return _start_thread(_call, cluster, node_url, _body(), through_node)
        body = _body() | {"model": "matcher"}
        return _start_thread(_call, cluster, next(engine_urls), body, direct)

    _start_at_rate(seconds, rate, start)
    return through_node, direct


def _start_at_rate(seconds: float, rate: float, start: Callable[[], threading.Thread]) -> None:
    """Start threads at a constant rate, then wait for them."""
    threads = []
    started_at = time.monotonic()
    while time.monotonic() - started_at < seconds:
        threads.append(start())
        time.sleep(max(0.0, started_at + len(threads) / rate - time.monotonic()))
    for thread in threads:
        thread.join(60)


def _start_thread(target: Callable[..., None], *arguments: object) -> threading.Thread:
    thread = threading.Thread(target=target, args=arguments, daemon=True)
    thread.start()
    return thread


def measure(seconds: float = 40.0, rate: float = 12.0) -> None:
    """Run the measurement and print its results.

    :param seconds: time during which requests are started.
    :param rate: requests per second through the node, background load included.
    """
    engines = [
        EngineSpec(f"engine-{n}", "worcester", options=_ENGINE_OPTIONS)
        for n in range(1, ENGINE_COUNT + 1)
    ]
    with tempfile.TemporaryDirectory() as directory:
        nodes = [NodeSpec("node-1", "worcester")]
        with Cluster(pathlib.Path(directory), engines, nodes, proxied=False) as cluster:
            cluster.apply("node-1", "examples/thibodeau")
            cluster.wait_engines(ENGINE_COUNT)
            process_id = cluster.processes["node-1"].process.pid
            cpu_before, started_at = cpu_seconds(process_id), time.monotonic()
            url = f"http://{cluster.caller_address('node-1')}/v1/chat/completions"
            background_load = subprocess.Popen(
                [sys.executable, "-m", "bench.overhead", "bulk_load", url]
                + [str(seconds), str(rate - SAMPLED_REQUESTS_PER_SECOND / 2)]
            )
            through_node, direct = _measure(cluster, seconds, SAMPLED_REQUESTS_PER_SECOND)
            cpu_cores = (cpu_seconds(process_id) - cpu_before) / (time.monotonic() - started_at)
            _report(through_node, direct, cpu_cores, resident_megabytes(process_id))
            background_load.wait(90)


def _report(through_node: Samples, direct: Samples, cpu_cores: float, resident_mb: float) -> None:
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
    print(f"node: {cpu_cores:.2f} core, {resident_mb:.0f} MB resident")


if __name__ == "__main__":
    fire.Fire({"measure": measure, "bulk_load": bulk_load})
