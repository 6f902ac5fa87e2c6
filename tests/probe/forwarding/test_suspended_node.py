"""A node wakes from a suspension, and acts on nothing that it knew before without a new look.

Nodes took their time from the monotonic clock, which stands still meanwhile: a key that had been
taken away was served (200 where 503 is due), and the holder of the orders believed in a lease that had
run out. Seen by letting the clock that counts suspension run ahead by ten seconds, the store out of reach.
"""

import time

import pytest

from standins.platform_site import configuration, until
from standins.platform_worker import PlatformWorker
from tests.unit.test_clocks import Suspension

SUSPENDED_SECONDS = 10.0


@pytest.fixture
def suspension(monkeypatch):
    one = Suspension()
    monkeypatch.setattr(time, "clock_gettime", one)
    return one


async def test_keys_and_leases_are_as_old_as_they_are(site, suspension):
    site.configure()
    worker = await site.add_worker(PlatformWorker("i-1"), "plain")
    node = await site.add_node()
    await site.ready()
    await until(lambda: node.gauge("holder") == 1.0, "it holds the orders")
    assert (await site.ask("/plain/", "before")).status == 200
    site.cut_from_store("n1")
    site.configure(configuration(2, keys=["key-2"]))
    suspension.seconds = SUSPENDED_SECONDS
    assert node.gauge("holder") == 0.0
    assert not node.is_ready()
    answer = await site.ask("/plain/", "after")
    assert answer.status == 503 and b"not_ready" in answer.body
    assert [run.request_id for run in worker.runs] == ["before"]


async def test_a_node_that_wakes_serves_again_once_it_has_looked(site, suspension):
    site.configure()
    await site.add_worker(PlatformWorker("i-1"), "plain")
    node = await site.add_node()
    await site.ready()
    assert (await site.ask("/plain/", "before")).status == 200
    suspension.seconds = SUSPENDED_SECONDS
    await until(node.is_ready, "it has looked")
    answers = [await site.ask("/plain/", f"after-{number}") for number in range(3)]
    assert [one.status for one in answers] == [200] * 3
