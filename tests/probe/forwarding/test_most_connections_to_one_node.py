"""Most new connections of a zone go to one node while callers open more of them."""

import asyncio
import itertools
from collections import Counter

from standins.platform_worker import PlatformWorker
from tests.probe.forwarding.test_path import PROMPT

ZONES = ("z1", "z2", "z3", "z4")
CONNECTIONS_PER_SECOND = 600
CONNECTIONS = 600
TO_ONE_NODE = 0.9
PATHS = {"/plain/x": {}, "/safe/x": {}, "/stream/x": PROMPT}


async def test_all_requests_are_served_while_most_connections_go_to_one_node(site):
    site.configure()
    for number in range(6):
        await site.add_worker(PlatformWorker(f"p-{number}", capacity=32), "plain")
        await site.add_worker(PlatformWorker(f"e-{number}", "m", capacity=32), "engines")
    await site.add_nodes(ZONES)
    served: Counter[str] = Counter()

    async def send(number: int, path: str) -> None:
        node = ZONES[0] if number % 10 < 10 * TO_ONE_NODE else ZONES[1 + number // 10 % 3]
        answer = await site.request(path, f"c{number}", node, **PATHS[path])
        served[node] += answer.status == 200 and answer.complete

    tasks = []
    for number, path in zip(range(CONNECTIONS), itertools.cycle(PATHS), strict=False):
        tasks.append(asyncio.create_task(send(number, path)))
        await asyncio.sleep(1 / CONNECTIONS_PER_SECOND)
    await asyncio.gather(*tasks)
    assert served.total() == CONNECTIONS
    assert served[ZONES[0]] == TO_ONE_NODE * CONNECTIONS
