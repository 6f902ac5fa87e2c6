"""One node cannot reach the store while the store serves all others.

Other nodes must not take this for an outage, which would delay removals and extend deadlines.
"""

import asyncio
import time

from standins.platform_site import Site, wait_until
from standins.platform_worker import PlatformWorker
from tests.probe.forwarding.test_path import PROMPT

ZONES = ("z1", "z2", "z3")
CONTACT_MS = 3000
WEIGHTS_DEADLINE_MS = 4000


async def start_relays(site: Site, worker: PlatformWorker, service: str) -> None:
    """Start a relay in each zone; ``z1`` reads the store for the others."""
    site.configure()
    await site.add_worker(worker, service)
    await site.add_relays(ZONES, contact_ms=CONTACT_MS, weights_deadline_ms=WEIGHTS_DEADLINE_MS)
    first = site.nodes["z1"]
    await wait_until(lambda: first.gauge("followers") == 2, "the others follow z1")


async def cut_off(site: Site, name: str) -> None:
    """Disconnect one node from the store, and wait until another node reads the store."""
    site.disconnect_from_store(name)
    site.store.server.reset_all()
    site.store.calls.clear()
    await wait_until(
        lambda: ("GET", "/kv-watch") in site.store.calls, "another node reads the store"
    )


def messages(caplog) -> list[str]:
    return [record.getMessage() for record in caplog.records]


async def test_departed_worker_is_removed_at_once_by_all_nodes(site, caplog):
    with caplog.at_level("INFO", logger="wheelslip"):
        await start_relays(site, PlatformWorker("i-1"), "plain")
        await cut_off(site, "z1")
        site.model.remove("servers/i-1")
        for zone in ZONES:
            node = site.nodes[zone]
            await wait_until(lambda node=node: not node.worker_ids(), f"{zone} removes it")
        assert "engine_doubtful" not in messages(caplog)


async def test_no_request_starts_on_replaced_weights_after_the_deadline(site):
    worker = PlatformWorker("i-1", model="m")
    site.model.put("op/version/m", b'{"model_id":"m","version":1}')
    await start_relays(site, worker, "engines")
    # Version 2 must be named after each node's first view.
    await asyncio.sleep(1.2)
    # The worker refuses to load this unknown version and keeps version 1.
    site.model.put("op/version/m", b'{"model_id":"m","version":2}')
    deadline = time.monotonic() + WEIGHTS_DEADLINE_MS / 1000
    answers = [await site.request("/stream/x", f"early-{zone}", zone, **PROMPT) for zone in ZONES]
    assert [answer.status for answer in answers] == [200] * 3
    await cut_off(site, "z1")
    await asyncio.sleep(deadline - time.monotonic())
    for round_number in range(4):
        for zone in ZONES:
            await site.request("/stream/x", f"late-{round_number}-{zone}", zone, **PROMPT)
        await asyncio.sleep(0.3)
    assert [(run.request_id, run.version) for run in worker.runs[3:]] == []
