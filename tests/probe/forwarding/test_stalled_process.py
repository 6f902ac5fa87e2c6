"""A stall of a node's process does not count as an outage of the store.

After a stall a call times out although the store has answered. A worker that departs meanwhile must be
removed at once instead of staying in use as doubtful.
"""

import time

from standins.platform_site import wait_until
from standins.platform_worker import PlatformWorker

STALL_SECONDS = 2.5


def messages(caplog) -> list[str]:
    return [record.getMessage() for record in caplog.records]


async def test_worker_that_departs_during_process_stall_is_removed_at_once(site, caplog):
    with caplog.at_level("INFO", logger="wheelslip"):
        site.configure()
        await site.add_worker(PlatformWorker("i-1"), "plain")
        node = await site.add_node()
        await site.wait_until_ready()
        time.sleep(STALL_SECONDS)
        site.model.remove("servers/i-1")
        await wait_until(lambda: not node.worker_ids(), "the worker is removed")
        assert "engine_doubtful" not in messages(caplog)
