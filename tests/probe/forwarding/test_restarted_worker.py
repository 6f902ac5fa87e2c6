"""A worker drains and starts again under its id.

Pooled connections to the old process must not be used for the new incarnation.
"""

from standins.platform_worker import PlatformWorker

BORN = 1_764_700_000_000
RESTARTED_MS = 5_000


async def test_no_request_reaches_the_departed_incarnation(site):
    site.configure()
    old = await site.add_worker(PlatformWorker("i-1", born=BORN), "plain")
    await site.add_node()
    await site.wait_until_ready()
    assert (await site.request("/plain/x", "before")).status == 200
    site.write_entry(old, "plain", "draining")
    await site.configure_and_wait(2)
    new = await site.add_worker(PlatformWorker("i-1", born=BORN + RESTARTED_MS), "plain")
    await site.configure_and_wait(3)
    answers = [await site.request("/plain/x", f"after-{number}") for number in range(4)]
    assert [answer.status for answer in answers] == [200] * 4
    assert ([len(old.arrivals), len(new.arrivals)]) == [1, 4]
