"""One node cannot read the store while the store serves all others.

An engine's entry was removed, which is how an engine leaves that does not say so first, and every
node learnt of it within 6 ms. All of them kept sending requests to it for 3.7 s more, where 2 s
are allowed. They took the store to have had trouble just before, and an entry that vanishes around
an outage is no proof that its engine is gone. But there had been no outage: one node could not
reach the store, told so with its answers to polls, and every node that polled it made that
trouble its own. Only one node had written ``key_value_unavailable``, and all of them wrote::

    17.8124 edge-vake-hall-2 engine_doubtful engine=i-7ef7af6b10 trouble_age=1.339
    17.8127 edge-isani-hall-1 engine_doubtful engine=i-7ef7af6b10 trouble_age=1.340

The bound on replaced weights began anew by the same mark: requests began on version 1 up to 16 s
after version 2 had been named, where 8 s are allowed.
"""

import asyncio
import time

from standins.platform_site import Site, until
from standins.platform_worker import PlatformWorker
from tests.probe.forwarding.test_path import PROMPT

ZONES = ("z1", "z2", "z3")
CONTACT_MS = 3000
WEIGHTS_DEADLINE_MS = 4000


async def relays_of(site: Site, worker: PlatformWorker, service: str) -> None:
    """Start a relay in each zone; ``z1`` reads the store for the others."""
    site.configure()
    await site.add_worker(worker, service)
    await site.add_relays(ZONES, contact_ms=CONTACT_MS, weights_deadline_ms=WEIGHTS_DEADLINE_MS)
    first = site.nodes["z1"]
    await until(lambda: first.gauge("followers") == 2, "the others follow z1")


async def turn_away(site: Site, name: str) -> None:
    """Cut one node from the store; return when the others read the store without it."""
    site.cut_from_store(name)
    site.store.server.reset_all()
    site.store.calls.clear()
    await until(lambda: ("GET", "/kv-watch") in site.store.calls, "another node reads the store")


def messages(caplog) -> list[str]:
    return [one.getMessage() for one in caplog.records]


async def test_departed_worker_is_removed_at_once_by_all_nodes(site, caplog):
    with caplog.at_level("INFO", logger="wheelslip"):
        await relays_of(site, PlatformWorker("i-1"), "plain")
        await turn_away(site, "z1")
        site.model.remove("servers/i-1")
        for zone in ZONES:
            node = site.nodes[zone]
            await until(lambda node=node: not node.worker_ids(), f"{zone} gives it up")
        assert "engine_doubtful" not in messages(caplog)


async def test_no_request_starts_on_replaced_weights_after_the_deadline(site):
    worker = PlatformWorker("i-1", model="m")
    site.model.put("op/version/m", b'{"model_id":"m","version":1}')
    await relays_of(site, worker, "engines")
    # A version seen named within a second of a node's start may have been named long before.
    await asyncio.sleep(1.2)
    # Unknown to the worker, which refuses to load it and goes on with version 1.
    site.model.put("op/version/m", b'{"model_id":"m","version":2}')
    bound_at = time.monotonic() + WEIGHTS_DEADLINE_MS / 1000
    answers = [await site.ask("/stream/x", f"early-{zone}", zone, **PROMPT) for zone in ZONES]
    assert [one.status for one in answers] == [200] * 3
    await turn_away(site, "z1")
    await asyncio.sleep(bound_at - time.monotonic())
    for round_number in range(4):
        for zone in ZONES:
            await site.ask("/stream/x", f"late-{round_number}-{zone}", zone, **PROMPT)
        await asyncio.sleep(0.3)
    assert [(one.request_id, one.version) for one in worker.runs[3:]] == []
