"""The store goes down for all after the bound on replaced weights has passed.

Engines that crash come back with the weights that they had. On a deployment where requests may
begin on replaced weights for 8 s, all engines came back after 14 s, just as an outage of the
store ended that had begun when the bound had long passed. Each node let the bound begin anew at its
last failed call, and 43 to 59 requests in each of three plays began on the old weights up to
20.3 s after newer ones had been named.
"""

import asyncio
import time

from standins.platform_site import until
from standins.platform_worker import PlatformWorker
from tests.probe.forwarding.test_path import PROMPT

WEIGHTS_DEADLINE_MS = 3000
OUTAGE_SECONDS = 1.5


async def test_outage_after_the_deadline_does_not_restart_it(site):
    worker = PlatformWorker("i-1", model="m")
    site.configure()
    site.model.put("op/version/m", b'{"model_id":"m","version":1}')
    await site.add_worker(worker, "engines")
    node = await site.add_node(weights_deadline_ms=WEIGHTS_DEADLINE_MS)
    await site.ready()
    # Unknown to the worker, which refuses to load it and goes on with version 1.
    site.model.put("op/version/m", b'{"model_id":"m","version":2}')
    bound_at = time.monotonic() + WEIGHTS_DEADLINE_MS / 1000
    assert (await site.ask("/stream/x", "early", **PROMPT)).status == 200
    await asyncio.sleep(bound_at - time.monotonic())
    site.store.refuse = 503
    site.store.server.reset_all()
    await asyncio.sleep(OUTAGE_SECONDS)
    site.store.refuse = 0
    await until(lambda: node.view_age() < OUTAGE_SECONDS / 2, "the store is read again")
    for number in range(4):
        answer = await site.ask("/stream/x", f"late-{number}", **PROMPT)
        assert answer.status == 503
        await asyncio.sleep(0.2)
    assert [one.request_id for one in worker.runs] == ["early"]
