"""A worker says that it leaves, and starts again under the id that it had.

Requests kept reaching the process that had left, through connections that its node had kept: they
are held by the worker's id, which the new process has too, and the old one serves on for a while.
The node had learnt of the leaving in time and lost it with the next entry. On the code before the
mend all four requests after the restart reached the old process and none the new one, whose entry
was in use: ``arrivals at the start that left: 4, at the new one: 0``.
"""

from standins.platform_worker import PlatformWorker

BORN = 1_764_700_000_000
RESTARTED_MS = 5_000


async def test_no_request_reaches_the_departed_incarnation(site):
    site.configure()
    old = await site.add_worker(PlatformWorker("i-1", born=BORN), "plain")
    await site.add_node()
    await site.ready()
    assert (await site.ask("/plain/x", "before")).status == 200
    site.enter(old, "plain", "draining")
    await site.until_current(2)
    new = await site.add_worker(PlatformWorker("i-1", born=BORN + RESTARTED_MS), "plain")
    await site.until_current(3)
    answers = [await site.ask("/plain/x", f"after-{number}") for number in range(4)]
    assert [one.status for one in answers] == [200] * 4
    assert ([len(old.arrivals), len(new.arrivals)]) == [1, 4]
