"""Another writer gives keys of the nodes other values, adds entries of workers and sends to nodes."""

import asyncio
import json
import random
import socket
from collections import Counter

from bench.forwarding.series import FaultFunction, inject_in_series
from bench.forwarding.world import SERVICES, World

PAUSE_SECONDS = (0.2, 1.5)
"""Range of the time between two writes."""

ENTRY_SECONDS = (0.2, 4.0)
"""Range of the time for which an entry of no worker is in the store."""

DEPTHS = (70, 990, 1_000, 60_000)
MAX_BYTES = 400
KEYS = (
    "holder",
    "rollout",
    "crashes/n0",
    "parts/n1",
    "trials/engines",
    "versions/engines",
    "versions/plain",
    "relay/z1",
    "relay/z2",
)


def draw_document(rng: random.Random, template: dict) -> bytes:
    """Return a value that is no document of the template's kind, or one with an odd field."""
    field = rng.choice(sorted(template))
    depth = rng.choice(DEPTHS)
    match rng.randrange(6):
        case 0:
            return rng.randbytes(rng.randrange(MAX_BYTES))
        case 1:
            return b"[" * depth + b"]" * depth
        case 2:
            opened = json.dumps(template).encode().removesuffix(b"}")
            return opened + b',"x":' + b"[" * depth + b"]" * depth + b"}"
        case 3:
            return json.dumps(template | {field: 10 ** rng.choice((18, 25, 400))}).encode()
        case 4:
            return json.dumps(template | {field: rng.choice((None, [], {}, "x", -1))}).encode()
    return json.dumps({key: value for key, value in template.items() if key != field}).encode()


class ForeignWriter:
    """Writes to the store and to nodes, in series.

    :ivar counts: number of writes by kind.
    """

    def __init__(self, world: World, rng: random.Random):
        self._world = world
        self._rng = rng
        self._entries = 0
        self.counts: Counter[str] = Counter()

    async def run(self, until: float) -> None:
        """Write, and return when all entries of no worker are removed.

        :param until: monotonic time after which nothing further is written.
        """
        await inject_in_series(self._rng, until, PAUSE_SECONDS, self._draw_fault)

    def _draw_fault(self) -> FaultFunction:
        kinds = (self._overwrite_key, self._overwrite_key, self._add_entry, self._send)
        kind = self._rng.choice(kinds)
        self.counts[kind.__name__.strip("_")] += 1
        return kind

    async def _overwrite_key(self, rng: random.Random) -> None:
        """Overwrite a key that nodes write."""
        model = self._world.site.model
        keys = [key for key in model.items if key.startswith("wheelslip/")]
        key = rng.choice(keys) if keys and rng.random() < 0.5 else f"wheelslip/{rng.choice(KEYS)}"
        template = {"versions": ["v1"], "base": "v1", "era": 0, "fencing_token": 1, "loading": []}
        value = draw_document(rng, template)
        if not _is_plausible(value):
            model.put(key, value)

    async def _add_entry(self, rng: random.Random) -> None:
        """Add an entry beside those of the workers, and remove it later."""
        self._entries += 1
        key = f"servers/foreign-{self._entries}"
        template = {
            "service": rng.choice(sorted(set(SERVICES.values()))),
            "address": "127.0.0.1:99999",
            "zone": "z1",
            "version": "v1",
            "capacity": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": 1,
        }
        self._world.site.model.put(key, draw_document(rng, template))
        await asyncio.sleep(rng.uniform(*ENTRY_SECONDS))
        self._world.site.model.remove(key)

    async def _send(self, rng: random.Random) -> None:
        """Send a datagram, or bytes on a connection, to the peer address of a node."""
        host, _, port = self._world.peer_address(rng.choice(self._world.nodes)).rpartition(":")
        payload = draw_document(rng, {"kind": "loads", "content": [], "tunnel": "idle"})[:60_000]
        frame = b"%d:%s," % (len(payload), payload)
        data = rng.choice((frame, payload, frame[:-1]))
        if rng.random() < 0.5:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                sock.sendto(data[:60_000], (host, int(port)))
            return
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        writer.write(data)
        await asyncio.sleep(rng.uniform(0.0, 0.5))
        writer.transport.abort()


def _is_plausible(value: bytes) -> bool:
    """Return whether a value is a record that a node could have written."""
    try:
        document = json.loads(value)
    except (ValueError, RecursionError):
        return False
    if not isinstance(document, dict):
        return False
    versions = document.get("versions")
    return isinstance(versions, list) or isinstance(document.get("fencing_token", 0), int)
