"""A node that resumes after a suspension uses no expired keys or leases.

The suspension is simulated by advancing the clock that includes suspended time.
"""

import time

import pytest

from standins.platform_site import configuration, wait_until
from standins.platform_worker import PlatformWorker
from tests.unit.test_clocks import Suspension

SUSPENDED_SECONDS = 10.0


@pytest.fixture
def suspension(monkeypatch):
    clock = Suspension()
    monkeypatch.setattr(time, "clock_gettime", clock)
    return clock


async def test_suspended_time_counts_for_keys_and_leases(site, suspension):
    site.configure()
    worker = await site.add_worker(PlatformWorker("i-1"), "plain")
    node = await site.add_node()
    await site.wait_until_ready()
    await wait_until(lambda: node.gauge("holder") == 1.0, "the node is the holder")
    assert (await site.request("/plain/", "before")).status == 200
    site.disconnect_from_store("n1")
    site.configure(configuration(2, keys=["key-2"]))
    suspension.seconds = SUSPENDED_SECONDS
    assert node.gauge("holder") == 0.0
    assert not node.is_ready()
    answer = await site.request("/plain/", "after")
    assert answer.status == 503 and b"not_ready" in answer.body
    assert [run.request_id for run in worker.runs] == ["before"]


async def test_resumed_node_serves_after_reading_the_store(site, suspension):
    site.configure()
    await site.add_worker(PlatformWorker("i-1"), "plain")
    node = await site.add_node()
    await site.wait_until_ready()
    assert (await site.request("/plain/", "before")).status == 200
    suspension.seconds = SUSPENDED_SECONDS
    await wait_until(node.is_ready, "the node is ready")
    answers = [await site.request("/plain/", f"after-{number}") for number in range(3)]
    assert [answer.status for answer in answers] == [200] * 3
