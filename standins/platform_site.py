"""A site in one event loop: store and workers as stand-ins, forwarding nodes, callers.

Sockets are real (loopback); configuration and workers are written to the store as operators
and workers do it.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import socket
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass

import h11

from standins.platform_store import PlatformStoreModel, PlatformStoreServer
from standins.platform_worker import PlatformWorker, Run
from wheelslip.forwarding.node import ForwardingNode
from wheelslip.platform.headers import PlatformHeaders
from wheelslip.platform.registry import PlatformRegistry
from wheelslip.platform.store import PlatformStore
from wheelslip.platform.workers import PlatformWorkers

HOST = "site.example"
KEY = "key-1"
PATIENCE_SECONDS = 20.0
PLAIN = {"host": HOST, "path_prefix": "/plain/", "kind": "non_idempotent", "service": "plain"}
SAFE = {"host": HOST, "path_prefix": "/safe/", "kind": "idempotent", "service": "plain"}
STREAM = {"host": HOST, "path_prefix": "/stream/", "kind": "streaming", "service": "engines"}
RESUMED = STREAM | {"path_prefix": "/resumed/", "resumable": True, "max_attempts": 2}
ENGINES = {"name": "engines", "backend_engine": {"capacity": 8, "kv_capacity": 100000}}


PORTS = range(20_000, 32_000)
"""Ports that the system gives to nobody by itself: it takes those of outgoing connections, and of
servers that ask for any, from 32,768 on (Linux)."""

PARTS = 8
"""Test processes side by side that have ports of their own; more of them share."""


def _own_ports() -> range:
    """Return the ports of this process, beside other processes of one test run."""
    number = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")) % PARTS
    size = len(PORTS) // PARTS
    return PORTS[number * size : (number + 1) * size]


_next_ports = itertools.cycle(_own_ports())
for _ in range(random.SystemRandom().randrange(len(_own_ports()))):
    next(_next_ports)


def free_port() -> int:
    """Return a port that nothing listens on just now, and that this process has not given out of late.

    A node listens on it some time later. Of ports that the system gave for a moment, one was taken again in
    between, beside another run of all tests: ``address already in use``.
    """
    for port in _next_ports:
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


def configuration(version: int = 1, routes=None, keys=(KEY,), **changes) -> dict:
    """Return a whole configuration as operators write it."""
    document = {
        "version": version,
        "routes": [
            {"name": f"r{number}", "timeout_ms": 5000, "target_latency_ms": 1000}
            | {"priority": 1, "max_attempts": 2 if one["kind"] == "idempotent" else 1}
            | one
            for number, one in enumerate(routes or [PLAIN, SAFE, STREAM, RESUMED])
        ],
        "services": [{"name": "plain"}, ENGINES],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "tenant-1", "api_keys": list(keys)}],
    }
    return document | changes


async def until(condition: Callable[[], object], what: str) -> None:
    """Wait for a condition; fail by name after a generous time."""
    give_up_at = time.monotonic() + PATIENCE_SECONDS
    while not condition():
        assert time.monotonic() < give_up_at, f"did not come true: {what}"
        await asyncio.sleep(0.01)


@dataclass
class Answer:
    """What a caller got; ``complete`` is false when the connection broke first."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool = True


class Caller:
    """One caller's connection."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.parser = h11.Connection(h11.CLIENT)

    @classmethod
    async def connect(cls, address: str) -> "Caller":
        """Open a connection to a node."""
        host, _, port = address.partition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def send(self, path: str, request_id: str, body: bytes = b"x", key: str = KEY, **headers):
        """Write a whole request; underscores in header names become dashes."""
        named = {
            "Host": HOST,
            "Wheelslip-Request-Id": request_id,
            "Authorization": f"Token {key}",
            "Content-Length": str(len(body)),
        }
        named |= {name.replace("_", "-"): str(value) for name, value in headers.items()}
        request = h11.Request(method="POST", target=path, headers=list(named.items()))
        data = self.parser.send(request)
        if body:
            data += self.parser.send(h11.Data(data=body))
        self.writer.write(data + self.parser.send(h11.EndOfMessage()))

    async def answer(self) -> Answer:
        """Read one answer, whole or broken off."""
        got = None
        while True:
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError:
                if got is None:
                    raise
                got.complete = False
                return got
            if event is h11.NEED_DATA:
                try:
                    data = await self.reader.read(65536)
                except OSError:
                    assert got is not None, "connection reset before an answer"
                    got.complete = False
                    return got
                self.parser.receive_data(data)
            elif isinstance(event, h11.Response):
                headers = {name.decode(): value.decode() for name, value in event.headers}
                got = Answer(event.status_code, headers, b"")
            elif isinstance(event, h11.Data):
                got.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                if self.parser.their_state is h11.DONE and self.parser.our_state is h11.DONE:
                    self.parser.start_next_cycle()
                return got
            else:
                raise AssertionError("connection closed before an answer")

    def leave(self) -> None:
        """Close at once."""
        self.writer.transport.abort()


class Site:
    """Store, workers and nodes."""

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.model = PlatformStoreModel(time.monotonic)
        self.store = PlatformStoreServer(self.model)
        self.workers: dict[str, PlatformWorker] = {}
        self.nodes: dict[str, ForwardingNode] = {}
        self.addresses: dict[str, str] = {}
        self.readiness: dict[str, str] = {}
        self._beside: set[asyncio.Task] = set()

    async def start(self) -> "Site":
        """Start the store."""
        await self.store.server.start()
        return self

    def configure(self, document: dict | None = None) -> None:
        """Write a configuration to the store."""
        text = json.dumps(document or configuration())
        self.model.put("op/config", text.encode())

    async def until_current(self, version: int, name: str = "n1") -> None:
        """Write a configuration of a higher version, and wait until a node has it in force.

        All that was written to the store before is known to the node then.
        """
        self.configure(configuration(version))
        node = self.nodes[name]
        await until(lambda: node.configuration_version() == version, "the node is current")

    def name_weights(self, model: str, version: int) -> None:
        """Name a version of a model's weights."""
        for worker in self.workers.values():
            worker.named_versions.add(version)
        document = {"model_id": model, "version": version}
        self.model.put(f"op/version/{model}", json.dumps(document).encode())

    async def add_worker(self, worker: PlatformWorker, service: str) -> PlatformWorker:
        """Start a worker and enter it in the store."""
        await worker.server.start()
        self.workers[worker.id] = worker
        self.enter(worker, service)
        return worker

    def enter(self, worker: PlatformWorker, service: str, state: str = "ready") -> None:
        """Write a worker's entry."""
        self.model.put(f"servers/{worker.id}", worker.entry(service, "z1", state))

    def revive_after_crashes(self, worker: PlatformWorker, service: str, seconds: float) -> None:
        """Have a worker start again under its id and address, some time after each crash."""
        worker.on_crash = lambda crashed: self._keep(self._revive(crashed, service, seconds))

    async def _revive(self, worker: PlatformWorker, service: str, seconds: float) -> None:
        port = int(worker.server.address.rpartition(":")[2])
        await asyncio.sleep(seconds)
        worker.born += max(1, int(seconds * 1000))
        await worker.server.start(port)
        self.enter(worker, service)

    def _keep(self, work: Coroutine) -> None:
        """Run something beside the test, which ends with it."""
        task = asyncio.get_running_loop().create_task(work)
        self._beside.add(task)
        task.add_done_callback(self._beside.discard)

    def crashes(self) -> list[Run]:
        """Return the runs under which workers ended, in order."""
        found = [one for worker in self.workers.values() for one in worker.crashes]
        return sorted(found, key=lambda run: run.began_at)

    def settings(self, name: str, peers="", seeds=(), zone="z1", **bounds) -> pathlib.Path:
        """Write a node's settings file."""
        lines = [f"{key} = {json.dumps(value)}" for key, value in bounds.items()]
        path = self.folder / f"{name}.toml"
        path.write_text(
            f'[node]\nname = "{name}"\nzone = "{zone}"\n'
            f'callers = "{self.addresses[name]}"\nreadiness = "{self.readiness[name]}"\n'
            f'peers = "{peers}"\nseeds = {json.dumps(list(seeds))}\n'
            f'[store]\naddress = "{self.store.server.address}"\n[bounds]\n' + "\n".join(lines)
        )
        return path

    async def add_node(self, name: str = "n1", **bounds) -> ForwardingNode:
        """Start a node in this event loop."""
        self.addresses[name] = f"127.0.0.1:{free_port()}"
        self.readiness[name] = f"127.0.0.1:{free_port()}"
        self.settings(name, **bounds)
        self.nodes[name] = node = self._make_node(name)
        await node.start()
        return node

    def _make_node(self, name: str) -> ForwardingNode:
        return ForwardingNode(
            str(self.folder / f"{name}.toml"),
            PlatformHeaders(),
            PlatformRegistry(),
            PlatformStore,
            PlatformWorkers(),
        )

    async def restart_node(self, name: str) -> ForwardingNode:
        """Stop a node, and start another process of it with the same settings file."""
        await self.nodes[name].stop()
        self.nodes[name] = node = self._make_node(name)
        await node.start()
        return node

    async def add_relays(self, zones: tuple[str, ...], **bounds) -> None:
        """Start a node in each zone, named like it, and wait until each is its zone's relay."""
        seed = f"127.0.0.1:{free_port()}"
        for zone in zones:
            peers = seed if zone == zones[0] else f"127.0.0.1:{free_port()}"
            await self.add_node(zone, peers=peers, seeds=[seed], zone=zone, **bounds)
        for zone in zones:
            await self.ready(zone)
            node = self.nodes[zone]
            await until(lambda node=node: len(node.relay_addresses()) == len(zones), "all relays")

    async def add_nodes(self, zones: tuple[str, ...]) -> None:
        """Start a node in each zone, named like it, and wait until all are ready."""
        if len(zones) > 1:
            await self.add_relays(zones)
        else:
            await self.add_node(zones[0])
        for zone in zones:
            await self.ready(zone)

    def cut_from_store(self, name: str) -> None:
        """Give one node an address of the store at which nothing answers."""
        self.lead_to_store(name, "127.0.0.1:9")

    def lead_to_store(self, name: str, address: str) -> None:
        """Give one node another address of the store, such as that of a fault proxy."""
        path = self.folder / f"{name}.toml"
        path.write_text(path.read_text().replace(self.store.server.address, address))
        self.nodes[name].reload()

    async def ready(self, name: str = "n1") -> None:
        """Wait until a node is ready and knows all workers."""
        expected = set(self.workers)
        node = self.nodes[name]
        await until(lambda: node.is_ready() and expected <= node.worker_ids(), "node ready")

    async def caller(self, name: str = "n1") -> Caller:
        """Connect a caller to a node."""
        return await Caller.connect(self.addresses[name])

    async def ask(self, path: str, request_id: str, name: str = "n1", **options) -> Answer:
        """Send one request on a connection of its own and return its answer."""
        caller = await self.caller(name)
        caller.send(path, request_id, **options)
        try:
            return await asyncio.wait_for(caller.answer(), PATIENCE_SECONDS)
        finally:
            caller.leave()

    def runs(self, request_id: str) -> list:
        """Return the runs of a request at all workers."""
        return [
            run
            for worker in self.workers.values()
            for run in worker.runs
            if run.request_id == request_id
        ]
