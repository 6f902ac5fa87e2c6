"""A node's process stands still for a while, as one does that gets no processor time.

Its call of the store times out although the store has answered it: when the process runs again, the
time is over before the answer is read. The node took that for an outage of the store, and held an
engine that had left in the meantime in doubt for as long as its entry might come back, 2.7 s where
3.0 s are allowed from its leaving. Where all processes of a machine are starved no other node tells
better. On the code before the mend the node wrote, beside a store that never failed::

    engine_doubtful engine=i-1 trouble_age=0.004
"""

import time

from standins.platform_site import until
from standins.platform_worker import PlatformWorker

STALL_SECONDS = 2.5


def messages(caplog) -> list[str]:
    return [one.getMessage() for one in caplog.records]


async def test_an_engine_that_leaves_while_the_process_stands_still_is_given_up_at_once(
    site, caplog
):
    with caplog.at_level("INFO", logger="wheelslip"):
        site.configure()
        await site.add_worker(PlatformWorker("i-1"), "plain")
        node = await site.add_node()
        await site.ready()
        time.sleep(STALL_SECONDS)
        site.model.remove("servers/i-1")
        await until(lambda: not node.worker_ids(), "the engine is given up")
        assert "engine_doubtful" not in messages(caplog)
