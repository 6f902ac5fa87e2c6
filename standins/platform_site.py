"""A deployment in one event loop: stand-in store and workers, forwarding nodes and callers.

They communicate over loopback sockets. Configuration and worker entries are written to the store
in the form in which operators and workers write them.
"""

import asyncio
import contextlib
import contextvars
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

from standins.partitions import CURRENT_NODE, Partitions
from standins.platform_store import PlatformStoreModel, PlatformStoreServer, StoreCopy
from standins.platform_worker import PlatformWorker, Run
from wheelslip.forwarding.node import ForwardingNode
from wheelslip.platform.headers import PlatformHeaders
from wheelslip.platform.registry import PlatformRegistry
from wheelslip.platform.store import PlatformStore
from wheelslip.platform.workers import PlatformWorkers

HOST = "site.example"
KEY = "key-1"
WAIT_TIMEOUT_SECONDS = 20.0
PLAIN = {"host": HOST, "path_prefix": "/plain/", "kind": "non_idempotent", "service": "plain"}
SAFE = {"host": HOST, "path_prefix": "/safe/", "kind": "idempotent", "service": "plain"}
STREAM = {"host": HOST, "path_prefix": "/stream/", "kind": "streaming", "service": "engines"}
RESUMED = STREAM | {"path_prefix": "/resumed/", "resumable": True, "max_attempts": 2}
ENGINES = {"name": "engines", "backend_engine": {"capacity": 8, "kv_capacity": 100000}}


TEST_PORTS = range(20_000, 32_000)
"""Ports below Linux's ephemeral range (from 32,768), so the system does not assign them."""

MAX_TEST_PROCESSES = 8
"""Number of parallel test processes with disjoint port ranges; further ones share a range."""


def _own_ports() -> range:
    """Return the port range of this process, by its pytest-xdist worker number."""
    number = (
        int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")) % MAX_TEST_PROCESSES
    )
    size = len(TEST_PORTS) // MAX_TEST_PROCESSES
    return TEST_PORTS[number * size : (number + 1) * size]


_next_ports = itertools.cycle(_own_ports())
for _ in range(random.SystemRandom().randrange(len(_own_ports()))):
    next(_next_ports)


def free_port() -> int:
    """Return a port on which nothing listens.

    Ports are returned in turn, so that a port is not returned again before its user listens on it.
    An ephemeral port could be assigned to another process in the meantime.
    """
    for port in _next_ports:
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port


def configuration(version: int = 1, routes=None, keys=(KEY,), **changes) -> dict:
    """Return a complete configuration document.

    :param routes: documents of the routes, whose defaults are filled in; ``None`` for one of each
        kind.
    :param keys: API keys of the tenant.
    :param changes: replacements of top-level keys.
    """
    document = {
        "version": version,
        "routes": [
            {"name": f"r{number}", "timeout_ms": 5000, "target_latency_ms": 1000}
            | {"priority": 1, "max_attempts": 2 if route["kind"] == "idempotent" else 1}
            | route
            for number, route in enumerate(routes or [PLAIN, SAFE, STREAM, RESUMED])
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


async def wait_until(condition: Callable[[], object], description: str) -> None:
    """Wait for a condition.

    :param description: of the condition, for the failure message.
    :raises AssertionError: if it is not met in time.
    """
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, f"condition not met in time: {description}"
        await asyncio.sleep(0.01)


@dataclass
class Response:
    """Response received by a caller.

    :ivar complete: false if the connection was closed before the end of the response.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool = True


class Caller:
    """Client connection to a node.

    :ivar received_bytes: size of the response bodies received so far.
    """

    def __init__(self, reader, writer):
        self.received_bytes = 0
        self.reader, self.writer = reader, writer
        self.parser = h11.Connection(h11.CLIENT)

    @classmethod
    async def connect(cls, address: str) -> "Caller":
        """Open a connection to a node's address, given as ``HOST:PORT``."""
        host, _, port = address.partition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def send(self, path: str, request_id: str, body: bytes = b"x", key: str = KEY, **headers):
        """Send a complete request.

        :param headers: additional headers; underscores in their names become hyphens.
        """
        fields = {
            "Host": HOST,
            "Wheelslip-Request-Id": request_id,
            "Authorization": f"Token {key}",
            "Content-Length": str(len(body)),
        }
        fields |= {name.replace("_", "-"): str(value) for name, value in headers.items()}
        request = h11.Request(method="POST", target=path, headers=list(fields.items()))
        data = self.parser.send(request)
        if body:
            data += self.parser.send(h11.Data(data=body))
        self.writer.write(data + self.parser.send(h11.EndOfMessage()))

    async def read_response(self) -> Response:
        """Read one response, which may be incomplete.

        :raises AssertionError: if the connection is closed before a response.
        """
        response = None
        while True:
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError:
                if response is None:
                    raise
                response.complete = False
                return response
            if event is h11.NEED_DATA:
                try:
                    data = await self.reader.read(65536)
                except OSError:
                    assert response is not None, "connection reset before a response"
                    response.complete = False
                    return response
                self.parser.receive_data(data)
            elif isinstance(event, h11.Response):
                headers = {name.decode(): value.decode() for name, value in event.headers}
                response = Response(event.status_code, headers, b"")
            elif isinstance(event, h11.Data):
                response.body += event.data
                self.received_bytes += len(event.data)
            elif isinstance(event, h11.EndOfMessage):
                if self.parser.their_state is h11.DONE and self.parser.our_state is h11.DONE:
                    self.parser.start_next_cycle()
                return response
            else:
                raise AssertionError("connection closed before a response")

    def abort(self) -> None:
        """Abort the connection."""
        self.writer.transport.abort()


class Site:
    """A store with workers and nodes.

    :ivar folder: holds the settings files of the nodes.
    :ivar routing: settings of the section ``routing`` of all nodes.
    :ivar model: state of the store.
    :ivar store: HTTP server of the store.
    :ivar workers: by ID.
    :ivar nodes: by name.
    :ivar addresses: ``HOST:PORT`` for callers, by node name.
    :ivar readiness: ``HOST:PORT`` of the readiness endpoint, by node name.
    """

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.routing: dict[str, bool] = {}
        self.model = PlatformStoreModel(time.monotonic)
        self.store = PlatformStoreServer(self.model)
        self.workers: dict[str, PlatformWorker] = {}
        self.nodes: dict[str, ForwardingNode] = {}
        self.addresses: dict[str, str] = {}
        self.readiness: dict[str, str] = {}
        self._background_tasks: set[asyncio.Task] = set()

    async def start(self) -> "Site":
        """Start the store and return the site."""
        await self.store.server.start()
        return self

    def configure(self, document: dict | None = None) -> None:
        """Write a configuration to the store; the default one if ``None``."""
        text = json.dumps(document or configuration())
        self.model.put("op/config", text.encode())

    async def return_from_copy(self, copy: StoreCopy, away_seconds: float = 0.3) -> None:
        """Take the store away for a while and let it return from a copy."""
        self.store.error_status = 503
        self.store.server.reset_all()
        await asyncio.sleep(away_seconds)
        self.model.restore(copy)
        self.store.error_status = 0

    async def configure_and_wait(self, version: int, name: str = "n1") -> None:
        """Write a configuration with a new version and wait until a node has it in force.

        The node has then also received all earlier writes to the store.
        """
        self.configure(configuration(version))
        node = self.nodes[name]
        await wait_until(
            lambda: node.configuration_version() == version, "the node has the configuration"
        )

    def set_desired_version(self, model: str, version: int) -> None:
        """Set the desired weights version of a model, and let all workers accept it."""
        for worker in self.workers.values():
            worker.accepted_versions.add(version)
        document = {"model_id": model, "version": version}
        self.model.put(f"op/version/{model}", json.dumps(document).encode())

    async def add_worker(self, worker: PlatformWorker, service: str) -> PlatformWorker:
        """Start a worker and write its entry to the store."""
        await worker.server.start()
        self.workers[worker.id] = worker
        self.write_entry(worker, service)
        return worker

    def write_entry(self, worker: PlatformWorker, service: str, state: str = "ready") -> None:
        """Write a worker's entry to the store."""
        self.model.put(f"servers/{worker.id}", worker.entry(service, "z1", state))

    def restart_after_crashes(
        self, worker: PlatformWorker, service: str, seconds: float, entry_seconds: float = 0.0
    ) -> None:
        """Restart a worker with its ID and address after each crash.

        :param seconds: delay between crash and restart.
        :param entry_seconds: delay between restart and entry.
        """
        worker.on_crash = lambda crashed: self._run_in_background(
            self._restart_later(crashed, service, seconds, entry_seconds)
        )

    async def _restart_later(
        self, worker: PlatformWorker, service: str, seconds: float, entry_seconds: float
    ) -> None:
        port = int(worker.server.address.rpartition(":")[2])
        await asyncio.sleep(seconds)
        worker.born += max(1, int(seconds * 1000))
        await worker.server.start(port)
        await asyncio.sleep(entry_seconds)
        self.write_entry(worker, service)

    def _run_in_background(self, work: Coroutine) -> None:
        """Run a coroutine as a task and keep a reference to the task until it is done."""
        task = asyncio.get_running_loop().create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    def crashes(self) -> list[Run]:
        """Return the runs that made workers crash, ordered by start."""
        crashes = [crash for worker in self.workers.values() for crash in worker.crashes]
        return sorted(crashes, key=lambda run: run.began_at)

    def write_settings(self, name: str, peers="", seeds=(), zone="z1", **bounds) -> pathlib.Path:
        """Write a node's settings file and return its path.

        :param bounds: settings of the section ``bounds``.
        """
        lines = [f"{key} = {json.dumps(value)}" for key, value in bounds.items()]
        routing = [f"{key} = {json.dumps(value)}" for key, value in self.routing.items()]
        path = self.folder / f"{name}.toml"
        path.write_text(
            f'[node]\nname = "{name}"\nzone = "{zone}"\n'
            f'callers = "{self.addresses[name]}"\nreadiness = "{self.readiness[name]}"\n'
            f'peers = "{peers}"\nseeds = {json.dumps(list(seeds))}\n'
            f'[store]\naddress = "{self.store.server.address}"\n[bounds]\n'
            + "\n".join([*lines, "[routing]", *routing])
        )
        return path

    async def add_node(self, name: str = "n1", **bounds) -> ForwardingNode:
        """Start a node in this event loop."""
        self.addresses[name] = f"127.0.0.1:{free_port()}"
        self.readiness[name] = f"127.0.0.1:{free_port()}"
        self.write_settings(name, **bounds)
        self.nodes[name] = node = self._make_node(name)
        await self._start_node(name, node)
        return node

    async def _start_node(self, name: str, node: ForwardingNode) -> None:
        """Start a node in a context that names it, which its tasks and sockets inherit."""
        context = contextvars.copy_context()
        context.run(CURRENT_NODE.set, name)
        await asyncio.get_running_loop().create_task(node.start(), context=context)

    def _make_node(self, name: str) -> ForwardingNode:
        return ForwardingNode(
            str(self.folder / f"{name}.toml"),
            PlatformHeaders(),
            PlatformRegistry(),
            PlatformStore,
            PlatformWorkers(),
        )

    async def restart_node(self, name: str) -> ForwardingNode:
        """Stop a node and start it again with the same settings file."""
        await self.nodes[name].stop()
        self.nodes[name] = node = self._make_node(name)
        await self._start_node(name, node)
        return node

    async def kill_and_start_node(self, name: str) -> ForwardingNode:
        """End a node like a killed process and start it again with the same settings file."""
        self.nodes[name].terminate()
        await asyncio.sleep(0)
        self.nodes[name] = node = self._make_node(name)
        await self._start_node(name, node)
        return node

    async def add_relays(self, zones: tuple[str, ...], **bounds) -> None:
        """Start a node per zone, named like the zone, and wait until it is the zone's relay."""
        seed = f"127.0.0.1:{free_port()}"
        for zone in zones:
            peers = seed if zone == zones[0] else f"127.0.0.1:{free_port()}"
            await self.add_node(zone, peers=peers, seeds=[seed], zone=zone, **bounds)
        for zone in zones:
            await self.wait_until_ready(zone)
            node = self.nodes[zone]
            await wait_until(
                lambda node=node: len(node.relay_addresses()) == len(zones), "all relays"
            )

    async def add_nodes(self, zones: tuple[str, ...]) -> None:
        """Start a node per zone, named like the zone, and wait until all are ready."""
        if len(zones) > 1:
            await self.add_relays(zones)
        else:
            await self.add_node(zones[0])
        for zone in zones:
            await self.wait_until_ready(zone)

    def disconnect_from_store(self, name: str) -> None:
        """Replace a node's store address by one on which nothing listens."""
        self.set_store_address(name, "127.0.0.1:9")

    def set_store_address(self, name: str, address: str) -> None:
        """Replace a node's store address, for example by that of a fault proxy."""
        path = self.folder / f"{name}.toml"
        path.write_text(path.read_text().replace(self.store.server.address, address))
        self.nodes[name].reload()

    async def wait_until_ready(self, name: str = "n1") -> None:
        """Wait until a node is ready and has discovered all workers."""
        expected = set(self.workers)
        node = self.nodes[name]
        await wait_until(lambda: node.is_ready() and expected <= node.worker_ids(), "node ready")

    def partitions(self) -> Partitions:
        """Return the partitions between nodes and workers; call it before nodes connect."""
        return Partitions(lambda: {worker.server.address for worker in self.workers.values()})

    async def connect(self, name: str = "n1") -> Caller:
        """Open a connection to a node."""
        return await Caller.connect(self.addresses[name])

    async def request(self, path: str, request_id: str, name: str = "n1", **options) -> Response:
        """Send one request on a new connection and return the response.

        :param options: further arguments of :meth:`Caller.send`.
        """
        caller = await self.connect(name)
        caller.send(path, request_id, **options)
        try:
            return await asyncio.wait_for(caller.read_response(), WAIT_TIMEOUT_SECONDS)
        finally:
            caller.abort()

    def runs(self, request_id: str) -> list:
        """Return all runs of a request, at any worker."""
        return [
            run
            for worker in self.workers.values()
            for run in worker.runs
            if run.request_id == request_id
        ]
