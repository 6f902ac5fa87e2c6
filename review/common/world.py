"""Small deployment for the review's scripts: nodes as processes, platform and workers as stand-ins.

The nodes are started with the command of ``deploy/system.toml`` (``python3 deploy/node.py``) from the
root of the repository, each on a loopback address of its own. Store and workers are the stand-ins
of the repository. The clients are those of this file.
"""

import asyncio
import contextlib
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

import h11

from standins.platform_store import PlatformStoreModel, PlatformStoreServer
from standins.platform_worker import PlatformWorker

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "site.example"
KEY = "key-1"
MODEL = "m"
ZONES = ("z1", "z2", "z3")
STRICT_BOUNDS = {
    "contact_ms": 3000,
    "worker_drain_ms": 2000,
    "stop_grace_seconds": 8.0,
    "key_revocation_ms": 5000,
    "retry_ratio": 0.2,
    "retry_window_seconds": 10,
    "holder_lease_ms": 3000,
    "thaw_slack_ms": 300,
    "weights_deadline_ms": 8000,
    "heartbeat_ms": 1200,
}
CONTRACTS = (
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "kvcache",
    "stream",
    "engine",
    "tenants",
    "platform",
)


class StoreServer(PlatformStoreServer):
    """The repository's store, without the one header that the pages don't name."""

    def _send(self, connection, status, document):
        headers = [("Content-Type", "application/json")]
        connection.send_response(status, headers, json.dumps(document).encode())


class Record:
    """The lines of record.txt, each with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._started = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._started

    def __call__(self, text):
        """Write a line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class World:
    """Store, workers and nodes."""

    def __init__(self, record, nodes=3, contracts=CONTRACTS):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="wheelslip-review-"))
        self.names = [f"edge-{number}" for number in range(nodes)]
        self.processes = {}
        self.workers = {}
        self.services = {}
        self.ended = []
        self.model = PlatformStoreModel(time.monotonic)
        self.store = StoreServer(self.model)
        self.contracts = contracts
        self.store_address = ""
        pid = os.getpid()
        self._host = f"127.{1 + (pid >> 8) % 120}.{pid % 250}"
        self._ports = self._free_ports(4)
        self._misses = dict.fromkeys(self.names, 0)

    # Addresses

    def address_of(self, name):
        """Return the IP address of a node."""
        return f"{self._host}.{10 + self.names.index(name)}"

    def _free_ports(self, count):
        """Return ports that are free at the addresses of all nodes, below the ephemeral range."""
        found = []
        for port in range(20000 + os.getpid() % 8000, 32000):
            with contextlib.ExitStack() as stack:
                try:
                    for name in self.names:
                        sock = stack.enter_context(socket.socket())
                        sock.bind((self.address_of(name), port))
                except OSError:
                    continue
                found.append(port)
            if len(found) == count:
                return found
        raise RuntimeError("no free ports")

    def front(self, name):
        """Return the address of a node for clients."""
        return self.address_of(name), self._ports[0]

    # Platform

    async def start_store(self):
        """Start the store."""
        await self.store.server.start()
        self.store_address = self.store.server.address

    def configure(self, version, routes, services, tenants=None, **limits):
        """Write a configuration, which the store acknowledges."""
        document = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            }
            | limits,
            "tenants": tenants or [{"name": "tenant-1", "api_keys": [KEY]}],
        }
        self.model.put("op/config", json.dumps(document).encode())
        self.record(f"operator: configuration {version} is acknowledged")

    def name_weights(self, version):
        """Name a version of the weights."""
        document = {"model_id": MODEL, "version": version}
        self.model.put(f"op/version/{MODEL}", json.dumps(document).encode())
        self.record(f"operator: weights {version} named")

    async def start_worker(self, name, service, worker, zone="z1", port=0, writes=True):
        """Start a worker, which writes its entry at once and at each heartbeat."""
        worker.born = worker.born or round(time.time() * 1000)
        await worker.server.start(port)
        self.workers[name] = worker
        self.services[name] = (service, zone)
        self.record(
            f"worker {name}: starts at {worker.server.address}, software "
            f"{worker.software_version or 'v1'}, born {worker.born}"
        )
        if writes:
            self.write_entry(name, "ready")
        return worker

    def write_entry(self, name, state):
        """Write the entry of a worker, ready or draining."""
        worker = self.workers[name]
        service, zone = self.services[name]
        self.model.put(f"servers/{name}", worker.entry(service, zone, state))
        self.record(f"worker {name}: entry {state}")

    async def crash(self, name):
        """End a worker like a killed process; its entry stays until its lease runs out."""
        await self.workers[name].server.stop()
        self.record(f"worker {name}: crashes")
        self.ended.append(self.workers[name])

    def store_away(self, away):
        """Let the store answer 503 to every call, or serve again."""
        self.store.error_status = 503 if away else 0
        if away:
            self.store.server.reset_all()
        self.record(f"store: {'down' if away else 'back'}")

    def record_runs(self):
        """Record what each worker ran."""
        for worker in {
            id(worker): worker for worker in [*self.ended, *self.workers.values()]
        }.values():
            for run in worker.runs:
                last = run.request.headers.get("last-event-id", "-")
                resumes = run.request.headers.get("resumes", "-")
                self.record(
                    f"worker {worker.id} ({worker.software_version}, born {worker.born}) ran "
                    f"{run.request_id}, Last-Event-Id {last}, Resumes {resumes}"
                )

    def remove_entry(self, name):
        """Remove the entry of a worker."""
        self.model.remove(f"servers/{name}")
        self.record(f"worker {name}: entry gone")

    # Nodes

    def _settings(self, name):
        address, store = self.address_of(name), self.store_address
        seeds = [f"{self.address_of(other)}:{self._ports[3]}" for other in self.names[:3]]
        lines = ["[node]", f'name = "{name}"']
        lines.append(f'zone = "{ZONES[self.names.index(name) % len(ZONES)]}"')
        lines.append(f'callers = "{address}:{self._ports[0]}"')
        lines.append(f'readiness = "{address}:{self._ports[1]}"')
        lines.append(f'peers = "{address}:{self._ports[2]}"')
        lines.append(f"seeds = {json.dumps(seeds)}")
        lines += ["[store]", f'address = "{store}"', "min_lease_ms = 1000"]
        lines += ["[limits]", "memory_megabytes = 300", "max_descriptors = 4100"]
        lines += ["link_megabits = 1000.0", "[routing]", 'overload_contract = "pressure"']
        lines += ["[contracts]", *(f"{contract} = true" for contract in self.contracts)]
        lines += ["[bounds]", *(f"{key} = {value}" for key, value in STRICT_BOUNDS.items())]
        return "\n".join(lines) + "\n"

    def relay_nodes(self):
        """Return the nodes that act as relays, by the store's keys, longest tenure first."""
        prefix = "wheelslip/relay/"
        items = [item for key, item in self.model.items.items() if key.startswith(prefix)]
        items.sort(key=lambda item: item.created_revision)
        by_address = {f"{self.address_of(name)}:{self._ports[2]}": name for name in self.names}
        return [by_address[item.value.decode()] for item in items]

    async def start_node(self, name):
        """Start the process of a node."""
        path = self.folder / f"{name}.toml"
        path.write_text(self._settings(name))
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment |= {"WHEELSLIP_NODE_FILE": str(path), "PYTHONDONTWRITEBYTECODE": "1"}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *node_command(), env=environment, cwd=ROOT, stdout=log, stderr=log
            )
        self.record(f"node {name}: started")

    def signal(self, name, number):
        """Send a signal to a node."""
        process = self.processes[name]
        if process.returncode is None:
            process.send_signal(number)
        self.record(f"node {name}: {signal.Signals(number).name}")

    async def kill_and_restart(self, names, down_seconds):
        """Kill processes at the same moment, and start them again after a time."""
        for name in names:
            self.signal(name, signal.SIGKILL)
        for name in names:
            await self.processes[name].wait()
        await asyncio.sleep(down_seconds)
        for name in names:
            await self.start_node(name)

    async def is_ready(self, name):
        """Return whether a node answers the platform's question with 200."""
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(
                    self.address_of(name), self._ports[1]
                )
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def ask_every_second(self):
        """Ask each node once a second, like the platform, until cancelled."""
        while True:
            await asyncio.gather(*map(self._ask, self.names), asyncio.sleep(1.0))

    async def _ask(self, name):
        self._misses[name] = 0 if await self.is_ready(name) else self._misses[name] + 1

    async def is_in(self, name):
        """Return whether the platform hands new connections to a node: it missed less than twice."""
        return self._misses[name] < 2

    async def wait_ready(self, seconds=30.0):
        """Wait until all nodes answer the platform with 200."""
        deadline = time.monotonic() + seconds
        for name in self.names:
            while not await self.is_ready(name):
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{name} isn't ready")
                await asyncio.sleep(0.05)
        self.record("all nodes are ready")

    async def stop(self):
        """End all processes that were started, and remove the folder."""
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def node_command():
    """Return the command of the role, from the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    words = deploy["roles"]["node"]["run"].split()
    if not (ROOT / "target" / "deps").is_dir():
        words[0] = sys.executable
    return words


def route(name, kind, service, **fields):
    """Return a route like those of the small deployments."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 6000,
        "target_latency_ms": 800,
        "priority": 1,
        "max_attempts": 2 if kind == "idempotent" else 1,
    } | fields


def engines(name="matcher"):
    """Return a service of model engines."""
    return {
        "name": name,
        "max_conns": 360,
        "backend_engine": {
            "capacity": 64,
            "kv_capacity": 110556,
            "kv_token_bytes": 163840,
            "link_mbps": 1100000,
        },
    }


class Answer:
    """What a client got for one attempt.

    :ivar status: 0 without an answer.
    :ivar complete: the end of the answer was received.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = ""


async def attempt(address, path, request_id, seconds, body=b"", method="POST", **headers):
    """Send one client attempt on a new connection and return its answer.

    :param headers: further headers, by name.
    """
    answer = Answer()
    fields = {
        "Host": HOST,
        "Wheelslip-Request-Id": request_id,
        "Authorization": f"Token {KEY}",
        "Wheelslip-Deadline-Ms": str(int(seconds * 1000)),
    }
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    fields |= {name: str(value) for name, value in headers.items()}
    request = h11.Request(method=method, target=path, headers=list(fields.items()))
    writer = None
    try:
        async with asyncio.timeout(seconds):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*address)
            await _exchange(reader, writer, request, body, answer)
    except (OSError, TimeoutError, h11.RemoteProtocolError) as error:
        answer.error = repr(error)
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


async def _exchange(reader, writer, request, body, answer):
    parser = h11.Connection(h11.CLIENT)
    data = parser.send(request)
    if body:
        data += parser.send(h11.Data(data=body))
    writer.write(data + parser.send(h11.EndOfMessage()))
    while not answer.complete:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await reader.read(65536))
        elif isinstance(event, h11.Response):
            answer.status = event.status_code
            answer.headers = {n.decode(): v.decode() for n, v in event.headers}
        elif isinstance(event, h11.Data):
            answer.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            answer.complete = True
        else:
            answer.error = "closed without an answer"
            return


def events_of(body):
    """Return the id and the software version of each whole event."""
    found = []
    for block in body.split(b"\n\n")[:-1]:
        lines = block.decode().splitlines()
        number = next(int(line[4:]) for line in lines if line.startswith("id: "))
        version = next(line[2:] for line in lines if line.startswith(": "))
        found.append((number, version))
    return found


class Stream:
    """What a client got of one stream, over all its tries.

    :ivar events: id and software version of each event.
    :ivar taken_up_at: nodes to which it was sent once more after its first event.
    :ivar went_on: it brought further events after that.
    """

    def __init__(self):
        self.events = []
        self.taken_up_at = []
        self.went_on = False

    @property
    def versions(self):
        """The software versions of its events."""
        return {version for _, version in self.events}


async def stream_client(world, number, seconds, results, names=None, is_in=None):
    """One client: a stream, taken up again a few times on new connections after it broke off.

    :param is_in: returns whether the platform hands new connections to a node; by default it asks.
    """
    is_in = is_in or world.is_ready
    names = world.names if names is None else names
    until = time.monotonic() + seconds
    stream, first_id, tries = Stream(), "", 0
    position = number if names is world.names else 0
    while tries < 4 and time.monotonic() < until - 0.2:
        name = names[position % len(names)]
        position += 1
        if not await is_in(name):
            # The platform hands no new connection to a node that isn't in.
            await asyncio.sleep(0.05)
            continue
        tries += 1
        request_id = f"{random.getrandbits(64):016x}"
        headers = {
            "Wheelslip-Model-Id": "m",
            "Wheelslip-Token-Usage": "900,13",
            "Wheelslip-Prefix-Hash": f"{number:08x}:600,{number + 4096:08x}:300",
        }
        if stream.events:
            stream.taken_up_at.append(name)
            headers |= {"Last-Event-Id": stream.events[-1][0], "Resumes": first_id}
        world.record(f"client {number}: sends {request_id} to {name}, {headers}")
        answer = await attempt(
            world.front(name),
            "/ledger-match/a",
            request_id,
            until - time.monotonic(),
            body=b"x" * 200,
            **headers,
        )
        got = events_of(answer.body) if answer.status == 200 else []
        if got and not stream.events:
            first_id = request_id
        elif got:
            stream.went_on = True
        stream.events += got
        world.record(
            f"client {number}: {request_id}: status {answer.status}, events {got}, "
            f"complete {answer.complete}, {answer.error}"
        )
        if answer.status == 200 and answer.complete:
            break
        wait = float(answer.headers.get("retry-after", 0.1))
        await asyncio.sleep(min(wait, max(0.0, (until - time.monotonic()) / 3)))
    results.append(stream)


def engine_worker(name, software_version, **fields):
    """Return a model worker whose events name its software version."""
    worker = PlatformWorker(
        name, model=MODEL, events=13, seconds=0.25, software_version=software_version, **fields
    )
    worker.capacity = 64
    worker.accepted_versions = set(range(1, 100))
    return worker


def main(folder, scenario):
    """Run a scenario and return the exit status: 1 if the rule broke, 0 if it held, 2 otherwise."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        async with asyncio.timeout(110):
            return await scenario(record, trouble)

    try:
        broken = asyncio.run(run())
    except Exception as error:  # noqa: BLE001
        record(f"the case couldn't run: {error!r}")
        print(f"couldn't run: {error!r}")
        return 2
    record(f"result: the rule {'was broken' if broken else 'held'}")
    print("broken" if broken else "held")
    return 1 if broken else 0
