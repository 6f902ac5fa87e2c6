"""Throughput and latency of claims under the rate limit of the key-value service.

Many threads claim keys through one :class:`ClaimStore`, first with one compare-and-swap per
request and then with batches. The stand-in for the service enforces the rate limit.
"""

import subprocess
import sys
import threading
import time

import fire
import urllib3

from bench.statistics_of import summarize
from wheelslip.keyvalue import claims
from wheelslip.keyvalue.claims import ClaimRecord, ClaimStore, ClaimStoreUnavailable
from wheelslip.keyvalue.client import KeyValueClient
from wheelslip.routing.model import EngineInfo

_ADDRESS = "127.77.1.1:7100"
_ENGINE = EngineInfo("engine-1", "127.0.0.1:1", "z", "i1", "m", "v1")


def _claim_loop(
    store: ClaimStore, name: str, end_time: float, latencies: list, refused: list
) -> None:
    """Claim new keys until a time on the monotonic clock and record latencies in seconds."""
    number = 0
    while time.monotonic() < end_time:
        number += 1
        record = ClaimRecord("digest", f"{name}-{number}", _ENGINE)
        started_at = time.monotonic()
        try:
            store.claim(f"/wheelslip/claims/t/{name}-{number}", record, 0, started_at + 0.5)
            latencies.append(time.monotonic() - started_at)
        except ClaimStoreUnavailable:
            refused.append(name)


def _measure(batch: int, thread_count: int, duration: float, rate: float) -> None:
    server = subprocess.Popen(
        [sys.executable, "-m", "standins.key_value_server", f"--address={_ADDRESS}"]
        + [f"--requests_per_second={rate}"]
    )
    try:
        time.sleep(1.5)
        claims._MAX_BATCH = batch
        store = ClaimStore(KeyValueClient(_ADDRESS, 1.0))
        store.start()
        latencies: list[float] = []
        refused: list[str] = []
        end_time = time.monotonic() + duration
        threads = [
            threading.Thread(
                target=_claim_loop, args=(store, f"w{n}", end_time, latencies, refused)
            )
            for n in range(thread_count)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        counts = urllib3.request("POST", f"http://{_ADDRESS}/control", json={}).json()
        summary = summarize(latencies)
        print(
            f"batches of up to {batch}: {summary.count / duration:.0f} claims/s, "
            f"{counts['requests'] / duration:.0f} requests/s to the service "
            f"({counts['limited']} limited), {len(refused)} refused after 0.5 s, "
            f"p50 {summary.median * 1e3:.0f} ms, p99 {summary.p99 * 1e3:.0f} ms"
        )
        store.stop(time.monotonic())
    finally:
        server.kill()
        server.wait()


def main(threads: int = 32, duration: float = 6.0, rate: float = 100.0) -> None:
    """Measure single and batched claims at the same rate limit.

    :param threads: number of threads that claim keys.
    :param duration: length of each measurement in seconds.
    :param rate: rate limit of the service in requests per second.
    """
    for batch in (1, 64):
        _measure(batch, threads, duration, rate)


if __name__ == "__main__":
    fire.Fire(main)
