"""Documents of other writers reach a node in all ways; it serves on, and no task of it fails."""

import asyncio
import json
import logging
import random

import pytest

from standins.platform_site import Site, configuration, wait_until
from standins.platform_worker import PlatformWorker
from tests.probe.forwarding.test_path import PROMPT
from tests.unit.forwarding.messages import encoded

ZONES = ("z1", "z2")
SETTLE_SECONDS = 1.0
DATAGRAMS = 600
VALUES = 150
FRAMES = 60
ODD_NUMBERS = (-1, 0, 1.5, 2**31, 2**53, 2**63, 2**64, 10**25, 10**400, 1e308, -1e308)
ODD_VALUES = (None, True, "", "x", "\x00", "é" * 300, [], {}, [[]], {"": 0}, "127.0.0.1:99999")
DEPTHS = (70, 500, 990, 60_000)
RECORDS = {
    "rollout record": ["wheelslip/rollout"],
    "crash report": ["wheelslip/crashes/n1", "wheelslip/crashes/n9"],
    "part report": ["wheelslip/parts/n1", "wheelslip/parts/n9"],
    "saved streams": [f"wheelslip/streams/{digit:x}/n9/1" for digit in range(16)],
    "registered versions": ["wheelslip/versions/engines", "wheelslip/versions/plain"],
}


def changed(document, rng: random.Random):
    """Return a JSON document with one part replaced by an odd value."""
    if isinstance(document, list) and document and rng.random() < 0.9:
        place = rng.randrange(len(document))
        return [*document[:place], changed(document[place], rng), *document[place + 1 :]]
    if isinstance(document, dict) and document and rng.random() < 0.9:
        place = rng.choice(sorted(document))
        return document | {place: changed(document[place], rng)}
    if isinstance(document, int | float) and rng.random() < 0.7:
        return rng.choice(ODD_NUMBERS)
    return rng.choice(ODD_VALUES + ODD_NUMBERS)


def draw_document(text: str, rng: random.Random) -> bytes:
    """Return a document with one to three odd parts, or with a deep one, or other bytes."""
    document = json.loads(text)
    if rng.random() < 0.1:
        return rng.randbytes(rng.randrange(200))
    if rng.random() < 0.15:
        depth = rng.choice(DEPTHS)
        return text.encode()[:-1] + b"," + b"[" * depth + b"]" * depth + text.encode()[-1:]
    for _ in range(rng.randint(1, 3)):
        document = changed(document, rng)
    return json.dumps(document).encode()


def netstring(payload: bytes) -> bytes:
    return b"%d:%s," % (len(payload), payload)


def datagram(name: str, text: str, rng: random.Random) -> bytes:
    kind = "tell" if name.startswith("progress") else name.replace(" ", "_")
    return netstring(b'["%s",%s]' % (kind.encode(), draw_document(text, rng)))


async def send_frame(address: str, frame: bytes) -> None:
    host, _, port = address.rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(frame)
    await asyncio.sleep(0.01)
    writer.transport.abort()


async def start_site(site: Site, faults: list[str]) -> None:
    asyncio.get_running_loop().set_exception_handler(
        lambda _, context: faults.append(repr(context.get("exception") or context["message"]))
    )
    site.configure(configuration())
    await site.add_worker(PlatformWorker("p1"), "plain")
    await site.add_worker(PlatformWorker("e1", "m"), "engines")
    site.set_desired_version("m", 1)
    await site.add_relays(ZONES)
    await site.wait_until_ready("z1")


async def assert_serves(site: Site, faults: list[str], caplog) -> None:
    async def serves() -> bool:
        plain = await site.request("/safe/x", "last-plain", "z1")
        stream = await site.request("/stream/x", "last-stream", "z1", **PROMPT)
        return plain.status == stream.status == 200

    # Some tasks run at intervals.
    await asyncio.sleep(SETTLE_SECONDS)
    failed = [record for record in caplog.records if record.getMessage() == "task_failed"]
    assert faults == [] and not [vars(record).get("reason") for record in failed]
    async with asyncio.timeout(20):
        while not await serves():
            await asyncio.sleep(0.2)


@pytest.mark.parametrize("seed", range(3))
async def test_odd_datagrams_and_frames_leave_node_serving(site, seed, caplog):
    caplog.set_level(logging.INFO)
    rng, faults = random.Random(f"{seed} datagrams"), []
    await start_site(site, faults)
    node, samples = site.nodes["z1"], sorted(encoded().items())
    for number in range(DATAGRAMS):
        if number % 50 == 0:
            await asyncio.sleep(0.15)
        try:
            node.receive_datagram(datagram(*rng.choice(samples), rng))
        except Exception as exc:
            faults.append(repr(exc))
    for _ in range(FRAMES):
        name, text = rng.choice([each for each in samples if each[0] in ("poll", "tunnel")])
        await send_frame(node.settings.node.peers, netstring(draw_document(text, rng)))
    await assert_serves(site, faults, caplog)


@pytest.mark.parametrize("seed", range(3))
async def test_odd_values_in_the_store_leave_node_serving(site, seed, caplog):
    caplog.set_level(logging.INFO)
    rng, faults = random.Random(f"{seed} values"), []
    await start_site(site, faults)
    recorded = encoded()
    for number in range(VALUES):
        name = rng.choice(sorted(RECORDS))
        value = draw_document(recorded[name], rng)
        site.model.put(rng.choice(RECORDS[name]), value)
        if number % 10 == 0:
            await asyncio.sleep(0.05)
    site.configure(configuration(2))
    node = site.nodes["z1"]
    await wait_until(lambda: node.configuration_version() == 2, "the node follows")
    await assert_serves(site, faults, caplog)
