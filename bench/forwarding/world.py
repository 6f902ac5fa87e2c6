"""Environment of a randomised run: nodes as processes, store and workers as stand-ins.

Each node has a front end of the shared store and a proxy of its own, so that the store can reject a
single node. Signals are sent only to processes that the run started.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import time
from collections.abc import Callable
from typing import NamedTuple

from bench.forwarding.judge import (
    CONTACT_SECONDS,
    DRAIN_SECONDS,
    STREAM_EVENTS,
    WEIGHTS_DEADLINE_SECONDS,
)
from bench.forwarding.record import (
    Component,
    Departure,
    DesiredVersion,
    Disruption,
    NodeOutage,
    ProcessStart,
    Record,
    Revocation,
)
from standins.fault_proxy import FaultProxy
from standins.platform_site import (
    ENGINES,
    PLAIN,
    RESUMED,
    SAFE,
    STREAM,
    Caller,
    Site,
    configuration,
)
from standins.platform_store import PlatformStoreServer
from standins.platform_worker import PlatformWorker, WorkerFaults

ROOT = pathlib.Path(__file__).resolve().parents[2]
SERVICES = {"p0": "plain", "p1": "plain", "e0": "engines", "e1": "engines", "e2": "engines"}
MODEL = "m"
MAX_NODES = 60
"""Maximum number of nodes of a run."""

RELAY_PREFIX = "wheelslip/relay/"
LOADABLE_VERSIONS = range(1, 1000)
"""Weights versions that a worker is able to load by default."""

CUTS_VARIABLE = "WHEELSLIP_SOAK_CUTS"
"""Variable that names the file with the cuts of a node; see :mod:`bench.forwarding.partitioned_node`."""

FIRST_PORT = 20_000
"""First port to assign, below the range of ephemeral ports."""

DEFAULT_CAPACITY = 8
"""Concurrent requests of a worker."""

CREST_CAPACITY = 2
"""The same in runs with bursts above the capacity, which one process must be able to send."""

CREST_PLAIN_SECONDS = 0.1
"""Duration of a plain request in these runs."""

CREST_CONFIGURATION = {
    "routes": [
        PLAIN | {"priority": 0},
        SAFE | {"priority": 2},
        STREAM | {"priority": 0},
        RESUMED | {"priority": 2},
    ],
    "services": [
        {"name": "plain"},
        ENGINES | {"backend_engine": ENGINES["backend_engine"] | {"capacity": CREST_CAPACITY}},
    ],
}
"""Configuration of these runs: each kind of worker has routes of two priorities."""

EVENT_SECONDS = 0.04
REVOCATION_MS = 5000
POWER_LOSS_DELAY_SECONDS = (0.0, 0.4)
"""Range of the time from the last change to the loss of power."""

POWER_SECONDS = (0.5, 3.0)
"""Range of the time for which a worker has no power."""

SUSPENDED_SECONDS = 1.0
STARTUP_SECONDS = 10.0
"""Time within which a started process listens, also on a busy machine; unanswered calls are exempt
until it listens."""

PROBE_INTERVAL_SECONDS = 0.05
"""Interval between two attempts to connect to a starting process."""

RESUME_SECONDS = 1.0
"""Time within which a resumed process responds again."""


class IsolatedNode(NamedTuple):
    """How a node is cut off from the store and the nodes outside its group.

    :ivar how: value of a :class:`standins.partitions.Cut`.
    """

    group: frozenset[str]
    how: str


class PreviousIncarnation(NamedTuple):
    """Previous process of a restarted worker, which may continue to serve for a while.

    :ivar name: name of its incarnation in the record.
    """

    name: str
    worker: PlatformWorker
    proxy: FaultProxy


def own_loopback_address(pid: int) -> str:
    """Return a loopback address derived from a process id.

    Ports are assigned before nodes listen on them and reused after restarts, so concurrent runs
    must use different addresses.
    """
    return f"127.{1 + (pid >> 16) % 127}.{(pid >> 8) % 256}.{pid % 256}"


class World:
    """Store, workers and nodes of one run.

    :param folder: directory for settings and logs of nodes.
    :param nodes: number of nodes.
    :param zones: number of zones over which nodes are distributed.
    :param crests: whether workers have little capacity and nodes queue requests.
    :param cuts: whether the nodes of this build can be cut off from workers.
    :ivar weights: desired weights version.
    :ivar checkout_of: the checkout from which each node's process is started.
    :ivar crashing_body: new workers crash when they start a request with this in its body; empty
        for none.
    :ivar crashing_parts: new engines crash when they start a request with one of these parts.
    :ivar on_crash: called after a worker crashed.
    :ivar crowded_node: node to which most new connections go, and their share; ``None`` for none.
    :ivar software_version: returns the software version of a new engine; empty for the default.
    :ivar longest_start: longest time from the start of a process until it listened, in seconds.
    :raises ValueError: when the number of nodes is out of range.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        record: Record,
        nodes: int = 3,
        zones: int = 1,
        crests: bool = False,
        cuts: bool = False,
    ):
        if not 1 <= nodes <= MAX_NODES:
            raise ValueError(f"{nodes} nodes; 1 to {MAX_NODES} are allowed")
        self.record = record
        self.site = Site(folder)
        self.nodes = [f"n{number}" for number in range(nodes)]
        self.store_frontends: dict[str, PlatformStoreServer] = {}
        self.store_proxies: dict[str, FaultProxy] = {}
        self.worker_proxies: dict[str, FaultProxy] = {}
        self.service_of: dict[str, str] = {}
        self.keys = ["key-1"]
        self.weights = 1
        self.checkout_of = dict.fromkeys(self.nodes, ROOT)
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self._zones = zones
        self._crests = crests
        self._cuts = cuts
        self._cut_nodes: dict[str, str] = {}
        self._isolated: dict[str, IsolatedNode] = {}
        if crests:
            self.site.routing["queue"] = True
        self._capacity = CREST_CAPACITY if crests else DEFAULT_CAPACITY
        self._folder = folder
        self._environment: dict[str, dict[str, str]] = {}
        self._node_by_peer_address: dict[str, str] = {}
        self._restart_locks: dict[str, asyncio.Lock] = {}
        self._listen_probes: set[asyncio.Task] = set()
        self.longest_start = 0.0
        self._host = own_loopback_address(os.getpid())
        self._next_port = FIRST_PORT
        self._configuration_version = 1
        self._replacement_count = 0
        self._incarnation_names: dict[str, str] = {}
        self._previous: list[PreviousIncarnation] = []
        self.crashing_body = b""
        self.crashing_parts: frozenset[str] = frozenset()
        self.on_crash: Callable[[PlatformWorker], None] = lambda worker: None
        self.crowded_node: tuple[str, float] | None = None
        self.software_version: Callable[[], str] = lambda: ""

    async def start(self) -> None:
        """Start store, workers and nodes."""
        await self.site.start()
        self.configure()
        self.set_desired_weights()
        for name, service in SERVICES.items():
            await self.start_worker(name, service, self.weights)
        seed_address = self._free_address()
        for number, name in enumerate(self.nodes):
            peer_address = seed_address if number == 0 else self._free_address()
            zone = f"z{1 + number % self._zones}"
            await self._write_settings(name, peer_address, seed_address, zone)
            await self.start_node(name)

    async def stop(self) -> None:
        """Kill all processes of the run and stop all proxies."""
        for task in list(self._listen_probes):
            task.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        previous_proxies = [incarnation.proxy for incarnation in self._previous]
        for proxy in [
            *self.store_proxies.values(),
            *self.worker_proxies.values(),
            *previous_proxies,
        ]:
            proxy.stop()

    def _free_port(self) -> int:
        """Return an unused port of the run's address that was not returned before."""
        while True:
            self._next_port += 1
            with socket.socket() as probe, contextlib.suppress(OSError):
                probe.bind((self._host, self._next_port))
                return self._next_port

    def _free_address(self) -> str:
        return f"{self._host}:{self._free_port()}"

    def configure(self, increment: int = 0, keys: list[str] | None = None) -> None:
        """Write a configuration to the store.

        :param increment: increment of the configuration version.
        :param keys: valid API keys; ``None`` to keep the current ones.
        """
        self._configuration_version += increment
        self.keys = keys or self.keys
        changes = CREST_CONFIGURATION if self._crests else {}
        self.site.configure(configuration(self._configuration_version, keys=self.keys, **changes))

    def revoke_key(self) -> None:
        """Replace the current API key with a new one."""
        revoked = self.keys[-1]
        self.configure(1, [f"key-{self._configuration_version + 1}"])
        self.record.revocations.append(Revocation(revoked, time.monotonic() + REVOCATION_MS / 1000))

    def set_desired_weights(self, increment: int = 0) -> None:
        """Write the desired weights version to the store.

        :param increment: increment of the version.
        """
        self.weights += increment
        document = json.dumps({"model_id": MODEL, "version": self.weights})
        self.site.model.put(f"op/version/{MODEL}", document.encode())
        self.record.desired_versions.append(DesiredVersion(self.weights, time.monotonic()))

    async def start_worker(self, name: str, service: str, weights: int) -> None:
        """Start a worker behind a proxy and write its entry as ready.

        :param name: id of the worker.
        :param weights: version of the weights that it has loaded.
        """
        model = MODEL if service == "engines" else ""
        worker = PlatformWorker(name, model=model, events=STREAM_EVENTS, seconds=EVENT_SECONDS)
        if self._crests and not model:
            worker.seconds = CREST_PLAIN_SECONDS
            worker.faults = WorkerFaults(max_running=CREST_CAPACITY)
        worker.software_version = self.software_version() if model else ""
        worker.born = round(time.time() * 1000)
        worker.version = weights
        worker.capacity = self._capacity
        worker.accepted_versions = set(LOADABLE_VERSIONS)
        worker.crash_on = self.crashing_body
        worker.crash_parts = self.crashing_parts
        worker.on_crash = lambda ended: self.on_crash(ended)
        await worker.server.start()
        host, _, port = worker.server.address.rpartition(":")
        self.worker_proxies[name] = FaultProxy((self._host, self._free_port()), (host, int(port)))
        self.service_of[name] = service
        incarnation = f"{name}/{worker.born}" if name in self.record.workers else name
        self._incarnation_names[name] = incarnation
        self.site.workers[name] = self.record.workers[incarnation] = worker
        for node, how in self._cut_nodes.items():
            self.cut_paths(node, how)
        self.record.worker_started_at[incarnation] = time.monotonic()
        self.write_entry(name, "ready")

    def draw_node(self, rng: random.Random) -> str:
        """Return a random node for a new connection."""
        if self.crowded_node is not None and rng.random() < self.crowded_node[1]:
            return self.crowded_node[0]
        return rng.choice(self.nodes)

    async def kill_all(self) -> None:
        """Kill all nodes at the same moment and start them again."""
        await asyncio.gather(*(self.end_and_restart(name, signal.SIGKILL) for name in self.nodes))

    async def lose_power(self, rng: random.Random) -> None:
        """Kill all nodes and some workers at the same moment and start them again.

        Just before, the API key is replaced, a node is suspended and another one is told to stop.
        """
        suspended, stopping = rng.choice(self.nodes), rng.choice(self.nodes)
        pause = asyncio.create_task(self.pause(suspended, SUSPENDED_SECONDS))
        stop = asyncio.create_task(self.end_and_restart(stopping, signal.SIGTERM))
        self.revoke_key()
        await asyncio.sleep(rng.uniform(*POWER_LOSS_DELAY_SECONDS))
        workers = rng.sample(sorted(self.site.workers), rng.randint(1, len(self.site.workers)))
        await asyncio.gather(
            pause,
            stop,
            self.kill_all(),
            *(self._restart_without_power(name, rng.uniform(*POWER_SECONDS)) for name in workers),
        )

    async def _restart_without_power(self, name: str, seconds: float) -> None:
        """End a worker, and start it again under its id after some seconds."""
        version = self.site.workers[name].version
        await self.end_worker(name)
        await asyncio.sleep(seconds)
        await self.start_worker(name, self.service_of[name], version)

    def incarnation_name(self, name: str) -> str:
        """Return the name under which the record holds the current incarnation of a worker."""
        return self._incarnation_names[name]

    async def restart_worker(self, name: str, weights: int) -> PreviousIncarnation:
        """Start a new incarnation of a worker.

        :return: the previous incarnation, which continues to serve.
        """
        previous = PreviousIncarnation(
            self.incarnation_name(name), self.site.workers[name], self.worker_proxies[name]
        )
        self._previous.append(previous)
        await self.start_worker(name, self.service_of[name], weights)
        # The new entry withdraws the previous incarnation, also if it was not draining.
        self.record.departures.append(Departure(previous.name, time.monotonic()))
        return previous

    def end_previous(self, previous: PreviousIncarnation) -> None:
        """Stop the proxy of a previous incarnation, which closes all its connections."""
        self.record.disruptions.append(
            Disruption(Component.WORKER, previous.name, time.monotonic())
        )
        previous.proxy.stop()

    def write_stale_entry(self, name: str, previous: PreviousIncarnation) -> None:
        """Overwrite a worker's entry with that of a previous incarnation."""
        service = self.service_of[name]
        entry = json.loads(previous.worker.entry(service, "z1"))
        entry["address"] = previous.proxy.address
        self.site.model.put(f"servers/{name}", json.dumps(entry).encode())

    def write_invalid_entry(self, name: str, value: bytes) -> None:
        """Overwrite a worker's entry with an invalid value."""
        self.site.model.put(f"servers/{name}", value)
        self.record.departures.append(Departure(self.incarnation_name(name), time.monotonic()))

    async def replace_worker(self, name: str, weights: int) -> None:
        """Start a worker with a new id in place of one that was stopped."""
        self._replacement_count += 1
        base = name.partition("-")[0]
        await self.start_worker(f"{base}-{self._replacement_count}", self.service_of[name], weights)

    async def end_worker(self, name: str) -> None:
        """Stop a worker, which closes its listener and all its connections."""
        self.record.disruptions.append(
            Disruption(Component.WORKER, self.incarnation_name(name), time.monotonic())
        )
        await self.site.workers.pop(name).server.stop()

    def write_entry(self, name: str, state: str) -> None:
        """Write a worker's entry and record its withdrawal or return.

        :param state: ``ready`` or ``draining``.
        """
        worker = self.site.workers[name]
        entry = json.loads(worker.entry(self.service_of[name], "z1", state))
        entry["address"] = self.worker_proxies[name].address
        if state == "ready":
            # Before the write, because requests may arrive as soon as the entry is visible.
            for departure in self.record.departures:
                if departure.worker == self.incarnation_name(name):
                    departure.returned_at = min(departure.returned_at, time.monotonic())
        self.site.model.put(f"servers/{name}", json.dumps(entry).encode())
        if state == "draining":
            self.record.departures.append(Departure(self.incarnation_name(name), time.monotonic()))

    def remove_entry(self, name: str) -> None:
        """Remove a worker's entry."""
        self.site.model.remove(f"servers/{name}")
        self.record.departures.append(Departure(self.incarnation_name(name), time.monotonic()))

    def log_lines(self, node: str) -> list[str]:
        """Return the lines that the processes of a node have logged."""
        return (self._folder / f"{node}.log").read_text(errors="replace").splitlines()

    def relay_nodes(self) -> list[str]:
        """Return the nodes that hold a relay lease, oldest first."""
        leases = [
            item for key, item in self.site.model.items.items() if key.startswith(RELAY_PREFIX)
        ]
        leases.sort(key=lambda lease: lease.created_revision)
        # Another writer may have overwritten some.
        addresses = [lease.value.decode("latin-1") for lease in leases]
        known = self._node_by_peer_address
        return [known[address] for address in addresses if address in known]

    def relay_node(self) -> str | None:
        """Return the node that holds the oldest relay lease, or ``None`` if there is none."""
        return next(iter(self.relay_nodes()), None)

    def dispatcher_node(self, service: str) -> str | None:
        """Return the dispatcher of a service, or ``None`` if there is no relay.

        Services are distributed over the relays in order of tenure, that of model engines first.
        """
        relays = self.relay_nodes()
        return relays[(service != "engines") % len(relays)] if relays else None

    async def _write_settings(
        self, name: str, peer_address: str, seed_address: str, zone: str
    ) -> None:
        site = self.site
        site.addresses[name] = self._free_address()
        site.readiness[name] = self._free_address()
        frontend = self.store_frontends[name] = PlatformStoreServer(site.model)
        await frontend.server.start()
        host, _, port = frontend.server.address.rpartition(":")
        proxy = FaultProxy((self._host, self._free_port()), (host, int(port)))
        self.store_proxies[name] = proxy
        self._node_by_peer_address[peer_address] = name
        self._restart_locks[name] = asyncio.Lock()
        path = site.write_settings(
            name,
            peer_address,
            [seed_address],
            zone,
            key_revocation_ms=REVOCATION_MS,
            contact_ms=round(CONTACT_SECONDS * 1000),
            worker_drain_ms=round(DRAIN_SECONDS * 1000),
            weights_deadline_ms=round(WEIGHTS_DEADLINE_SECONDS * 1000),
        )
        settings = path.read_text().replace(site.store.server.address, proxy.address)
        path.write_text(settings)
        self._environment[name] = os.environ | {
            "WHEELSLIP_NODE_FILE": str(path),
            CUTS_VARIABLE: str(self._cuts_path(name)),
        }
        self._cut_nodes[name] = ""
        self._write_all_cuts()

    def _cuts_path(self, name: str) -> pathlib.Path:
        return self._folder / f"{name}.cuts.json"

    def cut_paths(self, name: str, how: str) -> None:
        """Cut a node off from all workers.

        :param how: value of a :class:`standins.partitions.Cut`; empty to end the cut.
        """
        self._cut_nodes[name] = how
        self._write_cuts(name)

    def isolate(self, names: list[str], how: str) -> None:
        """Cut nodes off from the store and from all other nodes, but not from each other.

        :param how: value of a :class:`standins.partitions.Cut`.
        """
        for name in names:
            self._isolated[name] = IsolatedNode(frozenset(names), how)
        self._write_all_cuts()

    def rejoin(self, names: list[str]) -> None:
        """End the isolation of nodes."""
        for name in names:
            del self._isolated[name]
        self._write_all_cuts()

    def peer_address(self, name: str) -> str:
        """Return the address at which a node listens for other nodes."""
        return next(address for address, node in self._node_by_peer_address.items() if node == name)

    def _write_all_cuts(self) -> None:
        for name in self._cut_nodes:
            self._write_cuts(name)

    def _cut_peers(self, name: str) -> list[str]:
        """Return the addresses of the store and of the nodes from which a node is cut off."""
        own = self._isolated.get(name)
        cut = [self.store_proxies[name].address] if own is not None else []
        for address, other in self._node_by_peer_address.items():
            if (
                own is not None
                and other not in own.group
                or own is None
                and other in self._isolated
            ):
                cut.append(address)
        return cut

    def _write_cuts(self, name: str) -> None:
        proxies = [*self.worker_proxies.values(), *(previous.proxy for previous in self._previous)]
        isolated = self._isolated.get(name) or next(iter(self._isolated.values()), None)
        document = {
            "workers": sorted(proxy.address for proxy in proxies),
            "how": self._cut_nodes.get(name, ""),
            "peers": [*self._node_by_peer_address, self.store_proxies[name].address],
            "cut_peers": self._cut_peers(name),
            "peers_how": isolated.how if isolated is not None else "",
        }
        path = self._cuts_path(name)
        new_path = path.with_suffix(".new")
        new_path.write_text(json.dumps(document))
        new_path.replace(path)

    def reject_store_calls(self, status: int) -> None:
        """Answer all calls to the store with an HTTP status; 0 to serve them."""
        for frontend in self.store_frontends.values():
            frontend.error_status = status
            if status:
                frontend.server.reset_all()

    def _node_program(self, name: str) -> pathlib.Path:
        checkout = self.checkout_of[name]
        if self._cuts and checkout == ROOT:
            return ROOT / "bench" / "forwarding" / "partitioned_node.py"
        return checkout / "deploy" / "node.py"

    async def start_node(self, name: str, planned: bool = False) -> None:
        """Start a node's process."""
        now = time.monotonic()
        self.record.process_starts.append(ProcessStart(now, name, self.checkout_of[name].name))
        outage = NodeOutage(name, now, now + STARTUP_SECONDS)
        self.record.node_outages.append(outage)
        with (
            self.record.disrupted(Component.NODE, name, planned),
            open(self._folder / f"{name}.log", "ab") as log,
        ):
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                str(self._node_program(name)),
                env=self._environment[name],
                stdout=log,
                stderr=log,
            )
        task = asyncio.get_running_loop().create_task(self._wait_until_listening(outage))
        self._listen_probes.add(task)
        task.add_done_callback(self._listen_probes.discard)

    async def _wait_until_listening(self, outage: NodeOutage) -> None:
        """Wait until a node accepts connections, and end the outage of its startup."""
        while time.monotonic() < outage.ended_at:
            try:
                (await Caller.connect(self.site.addresses[outage.node])).abort()
            except OSError:
                await asyncio.sleep(PROBE_INTERVAL_SECONDS)
            else:
                outage.ended_at = time.monotonic()
                self.longest_start = max(self.longest_start, outage.ended_at - outage.began_at)

    async def end_and_restart(self, name: str, signum: signal.Signals) -> None:
        """Terminate a node's process with a signal, and restart the node after its exit.

        With concurrent calls for the same process, only the first one restarts the node.
        """
        process = self.processes[name]
        began_at = time.monotonic()
        planned = signum == signal.SIGTERM
        with self.record.disrupted(Component.NODE, name, planned):
            self._send_signals(process, signal.SIGCONT, signum)
            await process.wait()
        async with self._restart_locks[name]:
            if self.processes[name] is process:
                await self.start_node(name, planned)
        self.record.node_outages.append(NodeOutage(name, began_at, time.monotonic()))

    async def pause(self, name: str, seconds: float) -> None:
        """Suspend a node's process for some seconds."""
        process = self.processes[name]
        began_at = time.monotonic()
        with self.record.disrupted(Component.NODE, name):
            self._send_signals(process, signal.SIGSTOP)
            await asyncio.sleep(seconds)
            self._send_signals(process, signal.SIGCONT)
        self.record.node_outages.append(
            NodeOutage(name, began_at, time.monotonic() + RESUME_SECONDS)
        )

    def reload_settings(self, name: str) -> None:
        """Send SIGHUP to a node, which reloads its settings, unless the node is starting."""
        now = time.monotonic()
        is_starting = any(
            outage.node == name and outage.began_at <= now < outage.ended_at
            for outage in self.record.node_outages
        )
        if not is_starting:
            self._send_signals(self.processes[name], signal.SIGHUP)

    @staticmethod
    def _send_signals(process: asyncio.subprocess.Process, *numbers: signal.Signals) -> None:
        with contextlib.suppress(ProcessLookupError):
            for number in numbers:
                process.send_signal(number)

    def unexpected_exits(self) -> list[str]:
        """Return a message for each node whose current process has exited on its own."""
        return [
            f"{name} ended by itself with {process.returncode}"
            for name, process in self.processes.items()
            if process.returncode is not None
        ]
