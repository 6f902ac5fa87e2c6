"""An outage of the store after the deadline for replaced weights must not restart the deadline."""

import asyncio
import time

from standins.platform_site import wait_until
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
    await site.wait_until_ready()
    # The worker refuses to load this unknown version and keeps version 1.
    site.model.put("op/version/m", b'{"model_id":"m","version":2}')
    deadline = time.monotonic() + WEIGHTS_DEADLINE_MS / 1000
    assert (await site.request("/stream/x", "early", **PROMPT)).status == 200
    await asyncio.sleep(deadline - time.monotonic())
    site.store.error_status = 503
    site.store.server.reset_all()
    await asyncio.sleep(OUTAGE_SECONDS)
    site.store.error_status = 0
    await wait_until(lambda: node.view_age() < OUTAGE_SECONDS / 2, "the store is read again")
    for number in range(4):
        answer = await site.request("/stream/x", f"late-{number}", **PROMPT)
        assert answer.status == 503
        await asyncio.sleep(0.2)
    assert [run.request_id for run in worker.runs] == ["early"]
