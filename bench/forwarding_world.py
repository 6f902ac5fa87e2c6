"""The world of a randomised run: nodes as processes, store and workers as stand-ins.

Each node has its own front of the one store, behind its own proxy, so that the store can turn a
single node away while it serves the others. Processes are struck by their ids alone.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import sys
import time
from collections.abc import Callable
from typing import NamedTuple

from bench.forwarding_judge import (
    CONTACT_SECONDS,
    DRAIN_SECONDS,
    EVENTS,
    VERSION_SECONDS,
)
from bench.forwarding_record import (
    BuildStarted,
    Disruption,
    Leaving,
    Naming,
    Part,
    Record,
    Revocation,
    Strike,
)
from standins.fault_proxy import FaultProxy
from standins.platform_site import Caller, Site, configuration
from standins.platform_store import PlatformStoreServer
from standins.platform_worker import PlatformWorker

ROOT = pathlib.Path(__file__).resolve().parent.parent
SERVICES = {"p0": "plain", "p1": "plain", "e0": "engines", "e1": "engines", "e2": "engines"}
MODEL = "m"
MAX_NODES = 60
"""Processes that one run may have."""

RELAY_PREFIX = "wheelslip/relay/"
FOREVER = range(1, 1000)
"""Versions of weights that a worker can load unless it is told otherwise."""

FIRST_PORT = 20_000
"""First port at a run's own address; below those that outgoing connections take."""

EVENT_SECONDS = 0.04
REVOCATION_MS = 5000
START_SECONDS = 10.0
"""A process that was just started listens within this time, also on a machine whose other work
keeps all cores busy; from the moment at which it listens, its silence is judged."""

LOOK_SECONDS = 0.05
"""Pause between two looks whether a process listens."""

WAKE_SECONDS = 1.0
"""A process that was paused answers again within this time."""


class EarlierStart(NamedTuple):
    """A process of a worker that has started again, and which may serve on for a while.

    :ivar name: of its place in the record.
    """

    name: str
    worker: PlatformWorker
    link: FaultProxy


def own_loopback_address(pid: int) -> str:
    """Return a loopback address that no other process with such a run has.

    Addresses of nodes are chosen before they are listened at, and again after each restart, so
    runs side by side must not share one address and its ports.
    """
    return f"127.{1 + (pid >> 16) % 127}.{(pid >> 8) % 256}.{pid % 256}"


class World:
    """Store, workers and nodes of one run.

    :param nodes: number of processes.
    :param zones: number of zones over which they are dealt out.
    :ivar build_of: the checkout from which each node's process is started.
    :ivar deadly: workers end when they begin a request with this in its body.
    :ivar on_crash: called once such a worker has ended.
    :ivar longest_start: most seconds from the start of a process until it listened.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        record: Record,
        nodes: int = 3,
        zones: int = 1,
    ):
        if not 1 <= nodes <= MAX_NODES:
            raise ValueError(f"{nodes} nodes; 1 to {MAX_NODES} are allowed")
        self.record = record
        self.site = Site(folder)
        self.nodes = [f"n{number}" for number in range(nodes)]
        self.fronts: dict[str, PlatformStoreServer] = {}
        self.store_links: dict[str, FaultProxy] = {}
        self.worker_links: dict[str, FaultProxy] = {}
        self.service_of: dict[str, str] = {}
        self.keys = ["key-1"]
        self.weights = 1
        self.build_of = dict.fromkeys(self.nodes, ROOT)
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self._zones = zones
        self._folder = folder
        self._environment: dict[str, dict[str, str]] = {}
        self._node_of_peer: dict[str, str] = {}
        self._restarting: dict[str, asyncio.Lock] = {}
        self._looking: set[asyncio.Task] = set()
        self.longest_start = 0.0
        self._host = own_loopback_address(os.getpid())
        self._next_port = FIRST_PORT
        self._configuration = 1
        self._instances = 0
        self._place_of: dict[str, str] = {}
        self._earlier: list[EarlierStart] = []
        self.deadly = b""
        self.on_crash: Callable[[PlatformWorker], None] = lambda worker: None

    async def start(self) -> None:
        """Start store, workers and nodes."""
        await self.site.start()
        self.configure()
        self.name_weights()
        for name, service in SERVICES.items():
            await self.start_worker(name, service, self.weights)
        seed = self._free_address()
        for number, name in enumerate(self.nodes):
            peers = seed if number == 0 else self._free_address()
            zone = f"z{1 + number % self._zones}"
            await self._write_settings(name, peers, seed, zone)
            await self.start_node(name)

    async def stop(self) -> None:
        """End all processes that this run started, by their ids."""
        for task in list(self._looking):
            task.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        earlier = [one.link for one in self._earlier]
        for link in [*self.store_links.values(), *self.worker_links.values(), *earlier]:
            link.stop()

    def _free_port(self) -> int:
        """Return a port of the run's own address that it has not given out yet."""
        while True:
            self._next_port += 1
            with socket.socket() as probe, contextlib.suppress(OSError):
                probe.bind((self._host, self._next_port))
                return self._next_port

    def _free_address(self) -> str:
        return f"{self._host}:{self._free_port()}"

    # Operators

    def configure(self, raise_by: int = 0, keys: list[str] | None = None) -> None:
        """Write a configuration to the store, of a version so much higher."""
        self._configuration += raise_by
        self.keys = keys or self.keys
        self.site.configure(configuration(self._configuration, keys=self.keys))

    def revoke_key(self) -> None:
        """Take the key in use away and give another."""
        revoked = self.keys[-1]
        self.configure(1, [f"key-{self._configuration + 1}"])
        self.record.revoked.append(Revocation(revoked, time.monotonic() + REVOCATION_MS / 1000))

    def name_weights(self, raise_by: int = 0) -> None:
        """Name a version of the weights, so much higher."""
        self.weights += raise_by
        document = json.dumps({"model_id": MODEL, "version": self.weights})
        self.site.model.put(f"op/version/{MODEL}", document.encode())
        self.record.namings.append(Naming(self.weights, time.monotonic()))

    # Workers

    async def start_worker(self, name: str, service: str, weights: int) -> None:
        """Start a worker with some version of the weights and enter it as ready."""
        model = MODEL if service == "engines" else ""
        worker = PlatformWorker(name, model=model, events=EVENTS, seconds=EVENT_SECONDS)
        worker.born = round(time.time() * 1000)
        worker.version = weights
        worker.accepted_versions = set(FOREVER)
        worker.crash_on = self.deadly
        worker.on_crash = lambda ended: self.on_crash(ended)
        await worker.server.start()
        host, _, port = worker.server.address.rpartition(":")
        self.worker_links[name] = FaultProxy((self._host, self._free_port()), (host, int(port)))
        self.service_of[name] = service
        place = f"{name}/{worker.born}" if name in self.record.workers else name
        self._place_of[name] = place
        self.site.workers[name] = self.record.workers[place] = worker
        self.enter(name, "ready")

    def place(self, name: str) -> str:
        """Return under which name the record has the present start of a worker."""
        return self._place_of[name]

    async def restart_worker(self, name: str, weights: int) -> EarlierStart:
        """Start a worker again under its id; return the process before, which serves on."""
        earlier = EarlierStart(self.place(name), self.site.workers[name], self.worker_links[name])
        self._earlier.append(earlier)
        await self.start_worker(name, self.service_of[name], weights)
        # All that the new entry does not allow is late from now on, draining said or not.
        self.record.leavings.append(Leaving(earlier.name, time.monotonic()))
        return earlier

    def end_earlier(self, earlier: EarlierStart) -> None:
        """End a process that served on: nothing listens, all its connections break."""
        self.record.disruptions.append(Disruption(Part.WORKER, earlier.name, time.monotonic()))
        earlier.link.stop()

    def enter_late(self, name: str, earlier: EarlierStart) -> None:
        """Carry out an entry that an earlier start of a worker wrote."""
        entry = json.loads(earlier.worker.entry(self.service_of[name], "z1"))
        entry["address"] = earlier.link.address
        self.site.model.put(f"servers/{name}", json.dumps(entry).encode())

    def spoil(self, name: str, value: bytes) -> None:
        """Have another writer put an entry that names no worker under a worker's key."""
        self.site.model.put(f"servers/{name}", value)
        self.record.leavings.append(Leaving(self.place(name), time.monotonic()))

    async def replace_worker(self, name: str, weights: int) -> None:
        """Start a new instance in place of one that has ended."""
        self._instances += 1
        base = name.partition("-")[0]
        await self.start_worker(f"{base}-{self._instances}", self.service_of[name], weights)

    async def end_worker(self, name: str) -> None:
        """End a worker's process: nothing listens, all its connections break."""
        self.record.disruptions.append(Disruption(Part.WORKER, self.place(name), time.monotonic()))
        await self.site.workers.pop(name).server.stop()

    def enter(self, name: str, state: str) -> None:
        """Write a worker's entry; one that had left has returned."""
        worker = self.site.workers[name]
        entry = json.loads(worker.entry(self.service_of[name], "z1", state))
        entry["address"] = self.worker_links[name].address
        if state == "ready":
            # From before the entry is written: what it allows must not count as late.
            for leaving in self.record.leavings:
                if leaving.worker == self.place(name):
                    leaving.returned_at = min(leaving.returned_at, time.monotonic())
        self.site.model.put(f"servers/{name}", json.dumps(entry).encode())
        if state == "draining":
            self.record.leavings.append(Leaving(self.place(name), time.monotonic()))

    def remove(self, name: str) -> None:
        """Remove a worker's entry."""
        self.site.model.remove(f"servers/{name}")
        self.record.leavings.append(Leaving(self.place(name), time.monotonic()))

    def log_lines(self, node: str) -> list[str]:
        """Return what the processes of a node have written."""
        return (self._folder / f"{node}.log").read_text(errors="replace").splitlines()

    # Nodes

    def reader(self) -> str | None:
        """Return the node that reads the store for all, if there is one."""
        relays = [one for key, one in self.site.model.items.items() if key.startswith(RELAY_PREFIX)]
        first = min(relays, key=lambda one: one.created_revision, default=None)
        return self._node_of_peer.get(first.value.decode()) if first else None

    async def _write_settings(self, name: str, peers: str, seed: str, zone: str) -> None:
        site = self.site
        site.addresses[name] = self._free_address()
        site.readiness[name] = self._free_address()
        front = self.fronts[name] = PlatformStoreServer(site.model)
        await front.server.start()
        host, _, port = front.server.address.rpartition(":")
        link = FaultProxy((self._host, self._free_port()), (host, int(port)))
        self.store_links[name] = link
        self._node_of_peer[peers] = name
        self._restarting[name] = asyncio.Lock()
        path = site.write_settings(
            name,
            peers,
            [seed],
            zone,
            key_revocation_ms=REVOCATION_MS,
            contact_ms=round(CONTACT_SECONDS * 1000),
            worker_drain_ms=round(DRAIN_SECONDS * 1000),
            weights_deadline_ms=round(VERSION_SECONDS * 1000),
        )
        path.write_text(path.read_text().replace(site.store.server.address, link.address))
        self._environment[name] = os.environ | {"WHEELSLIP_NODE_FILE": str(path)}

    async def start_node(self, name: str, planned: bool = False) -> None:
        """Start a node's process."""
        now = time.monotonic()
        self.record.builds.append(BuildStarted(now, name, self.build_of[name].name))
        starting = Strike(name, now, now + START_SECONDS)
        self.record.strikes.append(starting)
        with (
            self.record.disrupted(Part.NODE, name, planned),
            open(self._folder / f"{name}.log", "ab") as log,
        ):
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                str(self.build_of[name] / "deploy" / "node.py"),
                env=self._environment[name],
                stdout=log,
                stderr=log,
            )
        task = asyncio.get_running_loop().create_task(self._until_listening(starting))
        self._looking.add(task)
        task.add_done_callback(self._looking.discard)

    async def _until_listening(self, starting: Strike) -> None:
        """End a node's starting when it takes connections."""
        while time.monotonic() < starting.ended_at:
            try:
                (await Caller.connect(self.site.addresses[starting.node])).abort()
            except OSError:
                await asyncio.sleep(LOOK_SECONDS)
            else:
                starting.ended_at = time.monotonic()
                self.longest_start = max(self.longest_start, starting.ended_at - starting.began_at)

    async def end_and_restart(self, name: str, sent: signal.Signals) -> None:
        """Send a signal that ends a node's process, and start it again once it has ended.

        Others may be sent meanwhile; the first to see its end starts it, once.
        """
        process = self.processes[name]
        began_at = time.monotonic()
        planned = sent == signal.SIGTERM
        with self.record.disrupted(Part.NODE, name, planned):
            self._signal(process, signal.SIGCONT, sent)
            await process.wait()
        async with self._restarting[name]:
            if self.processes[name] is process:
                await self.start_node(name, planned)
        self.record.strikes.append(Strike(name, began_at, time.monotonic()))

    async def pause(self, name: str, seconds: float) -> None:
        """Stop a node's process for a while without ending it."""
        process = self.processes[name]
        began_at = time.monotonic()
        with self.record.disrupted(Part.NODE, name):
            self._signal(process, signal.SIGSTOP)
            await asyncio.sleep(seconds)
            self._signal(process, signal.SIGCONT)
        self.record.strikes.append(Strike(name, began_at, time.monotonic() + WAKE_SECONDS))

    def hang_up(self, name: str) -> None:
        """Have a node read its settings again, unless it has only just been started."""
        now = time.monotonic()
        starting = any(
            one.node == name and one.began_at <= now < one.ended_at for one in self.record.strikes
        )
        if not starting:
            self._signal(self.processes[name], signal.SIGHUP)

    @staticmethod
    def _signal(process: asyncio.subprocess.Process, *numbers: signal.Signals) -> None:
        with contextlib.suppress(ProcessLookupError):
            for number in numbers:
                process.send_signal(number)

    def ended_by_themselves(self) -> list[str]:
        """Return the nodes whose present process has ended though nobody ended it."""
        return [
            f"{name} ended by itself with {process.returncode}"
            for name, process in self.processes.items()
            if process.returncode is not None
        ]
