"""A small deployment for the cases of this review: store, workers and nodes on loopback addresses.

The store is the project's stand-in. Nodes are separate processes, started with the command of the
deploy file and with settings in the form of its template, with the bounds that the small sites
share.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "site.example"
KEY = "key-1"
CONTRACTS = (
    "base drain config cost retry recover kvcache stream engine tenants platform".split()
)
START_SECONDS = 20.0


class CannotRun(Exception):
    """Raised when the case could not be set up."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: pathlib.Path):
        self._began = time.monotonic()
        self._file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        line = f"{time.monotonic() - self._began:8.3f} {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)


_ports = itertools.count(20_000 + random.SystemRandom().randrange(10_000))


def free_port(host: str) -> int:
    """Return a port of an address on which nothing listens, once, below the ephemeral ones."""
    while True:
        port = next(_ports)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((host, port))
            return port


def own_host() -> str:
    """Return a loopback address of this process alone."""
    pid = os.getpid()
    return f"127.{1 + (pid >> 16) % 120}.{(pid >> 8) % 256}.{1 + pid % 250}"


class Node:
    """One node process."""

    def __init__(self, name: str, zone: str, host: str, peer_port: int):
        self.name, self.zone, self.host = name, zone, host
        self.callers = f"{host}:{free_port(host)}"
        self.readiness = f"{host}:{free_port(host)}"
        self.metrics = f"{host}:{free_port(host)}"
        self.peers = f"{host}:{peer_port}"
        self.process: asyncio.subprocess.Process | None = None


class Deployment:
    """Starts nodes and ends them."""

    def __init__(
        self,
        store_address: str,
        record: Record,
        memory_megabytes: int = 300,
        bounds: dict | None = None,
    ):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="wheelslip-review-"))
        self.record = record
        self.store_address = store_address
        self.nodes: list[Node] = []
        self._memory_megabytes = memory_megabytes
        self.bounds = {
            "contact_ms": 3000,
            "worker_drain_ms": 2000,
            "stop_grace_seconds": 8,
            "key_revocation_ms": 5000,
            "retry_ratio": 0.2,
            "retry_window_seconds": 10,
            "holder_lease_ms": 3000,
            "thaw_slack_ms": 300,
            "weights_deadline_ms": 8000,
            "heartbeat_ms": 1200,
        } | (bounds or {})

    def add_node(self, name: str, zone: str = "z1", host: str = "") -> Node:
        """Lay down the settings of a node."""
        host = host or own_host()
        node = Node(name, zone, host, free_port(host))
        self.nodes.append(node)
        return node

    def write_settings(self, node: Node) -> pathlib.Path:
        """Write the settings file of a node, as the template is filled."""
        seeds = [each.peers for each in self.nodes[:3]]
        lines = [
            "[node]",
            f'name = "{node.name}"',
            f'zone = "{node.zone}"',
            f'callers = "{node.callers}"',
            f'readiness = "{node.readiness}"',
            f'metrics = "{node.metrics}"',
            f'peers = "{node.peers}"',
            f"seeds = {json.dumps(seeds)}",
            "[store]",
            f'address = "{self.store_address}"',
            "min_lease_ms = 1000",
            "[limits]",
            f"memory_megabytes = {self._memory_megabytes}",
            "max_descriptors = 4100",
            "link_megabits = 1000.0",
            "[routing]",
            'overload_contract = "pressure"',
            "[contracts]",
            *[f"{name} = true" for name in CONTRACTS],
            "[bounds]",
            *[f"{key} = {json.dumps(value)}" for key, value in self.bounds.items()],
        ]
        path = self.folder / f"{node.name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    async def start(self, node: Node) -> None:
        """Start the process of a node with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["node"]["run"].split()
        words[0] = sys.executable if words[0] == "python3" else words[0]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["WHEELSLIP_NODE_FILE"] = str(self.write_settings(node))
        with open(self.folder / f"{node.name}.log", "ab") as log:
            node.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write(f"node {node.name} started")

    async def wait_until_ready(self, node: Node) -> None:
        """Wait until a node says that it is ready.

        :raises CannotRun: if it does not in time.
        """
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
                if await ask_status(node.readiness, "/ready") == 200:
                    self.record.write(f"node {node.name} ready")
                    return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{node.name} not ready: {self.log_of(node)[-2000:]}")

    def log_of(self, node: Node) -> str:
        """Return what a node has logged."""
        return (self.folder / f"{node.name}.log").read_text(errors="replace")

    def signal(self, node: Node, number: signal.Signals) -> None:
        """Send a signal to the process of a node."""
        self.record.write(f"{number.name} to node {node.name}")
        node.process.send_signal(number)

    async def stop(self) -> None:
        """End all node processes and remove the folder."""
        for node in self.nodes:
            process = node.process
            if process is not None and process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


async def ask_status(address: str, path: str) -> int:
    """Return the status of a GET."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), 2)
        return int(line.split()[1])
    finally:
        writer.close()


def route(prefix: str, kind: str, service: str, **changes) -> dict:
    """Return the document of a route."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": 6000,
        "target_latency_ms": 800,
        "priority": 1,
        "max_attempts": 1,
    } | changes


def configuration(version: int, routes: list[dict], services: list[dict], **changes) -> dict:
    """Return a complete configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 10000,
            "idle_timeout_ms": 60000,
        },
        "tenants": [{"name": "tenant-1", "api_keys": [KEY]}],
    } | changes


def request_bytes(path: str, request_id: str, body: bytes = b"x", method: str = "POST", **headers):
    """Return a complete request; underscores in names of headers become hyphens."""
    fields = {
        "Host": HOST,
        "Wheelslip-Request-Id": request_id,
        "Wheelslip-Deadline-Ms": "6000",
        "Authorization": f"Token {KEY}",
    } | {name.replace("_", "-"): str(value) for name, value in headers.items()}
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items())
    return head.encode() + b"\r\n" + body


def run_case(main) -> None:
    """Run a case and exit with its result: 1 if the rule was broken, 0 if not, 2 if it couldn't run."""

    async def run() -> bool:
        # A case that is stopped still ends the processes that it started.
        case = asyncio.ensure_future(main())
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, case.cancel)
        return await asyncio.wait_for(case, 110)

    try:
        broken = asyncio.run(run())
    except (CannotRun, TimeoutError, OSError, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}", flush=True)
        os._exit(2)
    sys.stdout.flush()
    os._exit(1 if broken else 0)
