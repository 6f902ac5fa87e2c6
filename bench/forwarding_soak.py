"""A randomised run of forwarding nodes as separate processes, with faults from outside them.

Nodes are the real program; store and workers are stand-ins in this process, reached through
loopback proxies that delay, reset, silence or cut one way. Nodes are stopped, paused, killed
and started again by signals, by the ids of the processes that this run started. Faults come
in an order drawn from a printed seed. What callers, workers and the store saw is judged
while it runs and at its end.

    python -m bench.forwarding_soak --seed 1 --seconds 30
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import sys
import tempfile
import time
from collections import Counter
from typing import NamedTuple

import fire
import h11

from standins.fault_proxy import Fault, FaultProxy
from standins.platform_site import Site, configuration, free_port
from standins.platform_worker import PlatformWorker, WorkerFaults

ROOT = pathlib.Path(__file__).resolve().parent.parent
NODES = ("n0", "n1", "n2")
WORKERS = {"p0": "plain", "p1": "plain", "e0": "engines", "e1": "engines", "e2": "engines"}
MODEL = "m"
EVENTS = 6
CALLERS = 8
CALL_SECONDS = 8.0
SETTLE_SECONDS = 30.0
START_SECONDS = 3.0
"""A process that was just started listens within this time, also beside other work."""

WAKE_SECONDS = 1.0
REVOCATION_MS = 5000
FAULT_PAUSE_SECONDS = (0.4, 1.4)
FAULT_LASTS_SECONDS = (0.5, 3.5)
LINK_FAULTS = (
    Fault.REFUSE,
    Fault.BLACKHOLE,
    Fault.BLACKHOLE_TO_SERVER,
    Fault.BLACKHOLE_TO_CLIENT,
    Fault.HALF_CLOSE,
)
WORKER_FAULTS = (*LINK_FAULTS, Fault.LOSE_ANSWER)
NOT_RUN = frozenset({408, 421, 429, 503})


class Call(NamedTuple):
    """One request and what its caller got; ``status`` is 0 when no answer came at all."""

    node: str
    request_id: str
    path: str
    key: str
    sent_at: float
    ended_at: float
    status: int
    body: bytes
    complete: bool
    error: str = ""


class Revocation(NamedTuple):
    """A key that was taken away, and from when on it must not be honoured."""

    key: str
    deadline: float


class Strike(NamedTuple):
    """A time during which a node was stopped, paused, killed or started."""

    node: str
    began_at: float
    ended_at: float


class Soak:
    """One run."""

    def __init__(self, seed: int, folder: pathlib.Path):
        self._rng = random.Random(seed)
        self._folder = folder
        self._site = Site(folder)
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._environment: dict[str, dict[str, str]] = {}
        self._store_links: dict[str, FaultProxy] = {}
        self._worker_links: dict[str, FaultProxy] = {}
        self._calls: list[Call] = []
        self._revoked: list[Revocation] = []
        self._strikes: list[Strike] = []
        self._version = 1
        self._weights = 1
        self._keys = ["key-1"]
        self._began_at = time.monotonic()
        self._ends_at = 0.0
        self._fault_tasks: set[asyncio.Task] = set()
        self.faults: Counter[str] = Counter()
        self.violations: list[str] = []

    # Setting up

    async def start(self) -> None:
        """Start store, workers and nodes, and wait until all nodes serve."""
        await self._site.start()
        self._configure()
        self._site.model.put(f"op/version/{MODEL}", self._named())
        for name, service in WORKERS.items():
            await self._start_worker(name, service)
        seed = f"127.0.0.1:{free_port()}"
        for name in NODES:
            peers = seed if name == NODES[0] else f"127.0.0.1:{free_port()}"
            self._write_settings(name, peers, seed)
            await self._start_node(name)
        await self._until_all_serve()

    def _configure(self) -> None:
        document = configuration(self._version, keys=self._keys)
        self._site.configure(document)

    def _named(self) -> bytes:
        return json.dumps({"model_id": MODEL, "version": self._weights}).encode()

    async def _start_worker(self, name: str, service: str) -> None:
        model = MODEL if service == "engines" else ""
        worker = PlatformWorker(name, model=model, events=EVENTS, seconds=0.04)
        worker.version = self._weights
        worker.named_versions = set(range(1, 1000))
        await worker.server.start()
        self._site.workers[name] = worker
        host, _, port = worker.server.address.rpartition(":")
        link = FaultProxy(("127.0.0.1", free_port()), (host, int(port)))
        self._worker_links[name] = link
        self._enter(name, "ready")

    def _enter(self, name: str, state: str) -> None:
        worker = self._site.workers[name]
        entry = json.loads(worker.entry(WORKERS[name], "z1", state))
        entry["address"] = self._worker_links[name].address
        self._site.model.put(f"servers/{name}", json.dumps(entry).encode())

    def _write_settings(self, name: str, peers: str, seed: str) -> None:
        site = self._site
        site.addresses[name] = f"127.0.0.1:{free_port()}"
        site.readiness[name] = f"127.0.0.1:{free_port()}"
        host, _, port = site.store.server.address.rpartition(":")
        link = FaultProxy(("127.0.0.1", free_port()), (host, int(port)))
        self._store_links[name] = link
        path = site.settings(name, peers, [seed], key_revocation_ms=REVOCATION_MS)
        path.write_text(path.read_text().replace(site.store.server.address, link.address))
        self._environment[name] = os.environ | {"WHEELSLIP_NODE_FILE": str(path)}

    async def _start_node(self, name: str) -> None:
        with open(self._folder / f"{name}.log", "ab") as log:
            self._processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "deploy" / "node.py"),
                env=self._environment[name],
                stdout=log,
                stderr=log,
            )
        now = time.monotonic()
        self._strikes.append(Strike(name, now, now + START_SECONDS))

    async def _until_all_serve(self) -> None:
        """Wait until every node answers a plain and a streamed request with success.

        Whoever does not within a generous time is a violation.
        """
        deadline = time.monotonic() + SETTLE_SECONDS
        for name in NODES:
            for path in ("/safe/x", "/resumed/x"):
                while (await self._call(name, path, self._keys[-1])).status != 200:
                    if time.monotonic() > deadline:
                        self.violations.append(f"{name} does not serve {path} without faults")
                        break
                    await asyncio.sleep(0.1)

    # Load

    async def _call(self, name: str, path: str, key: str) -> Call:
        request_id = f"{self._rng.getrandbits(64):016x}"
        headers = {}
        if path.startswith(("/stream", "/resumed")):
            session = self._rng.randrange(20)
            headers = {
                "Wheelslip_Model_Id": MODEL,
                "Wheelslip_Token_Usage": "3000,6",
                "Wheelslip_Prefix_Hash": f"aa:1000,{session:04x}:1000,{request_id[:8]}:1000",
            }
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(CALL_SECONDS):
                answer = await self._site.ask(path, request_id, name, key=key, **headers)
            status, body, complete = answer.status, answer.body, answer.complete
            error = ""
        except (OSError, AssertionError, TimeoutError, h11.RemoteProtocolError) as exc:
            status, body, complete, error = 0, b"", False, repr(exc)
        ended_at = time.monotonic()
        call = Call(name, request_id, path, key, sent_at, ended_at, status, body, complete, error)
        self._calls.append(call)
        self._judge_answer(call)
        return call

    async def _load(self) -> None:
        while time.monotonic() < self._ends_at:
            path = self._rng.choice(("/plain/x", "/safe/x", "/stream/x", "/resumed/x"))
            key = self._rng.choice([*self._keys, *(one.key for one in self._revoked[-2:])])
            await self._call(self._rng.choice(NODES), path, key)
            await asyncio.sleep(self._rng.uniform(0.0, 0.1))

    # Faults

    async def _inject(self) -> None:
        kinds = [
            self._kill,
            self._terminate,
            self._pause,
            self._hang_up,
            self._cut_store,
            self._harm_worker_link,
            self._store_outage,
            self._store_forgets,
            self._store_loses_answers,
            self._worker_misbehaves,
            self._worker_drains,
            self._change_configuration,
            self._name_weights,
            self._revoke_key,
        ]
        while time.monotonic() < self._ends_at:
            await asyncio.sleep(self._rng.uniform(*FAULT_PAUSE_SECONDS))
            kind = self._rng.choice(kinds)
            self.faults[kind.__name__.strip("_")] += 1
            task = asyncio.get_running_loop().create_task(kind())
            self._fault_tasks.add(task)
            task.add_done_callback(self._fault_tasks.discard)
        await asyncio.gather(*self._fault_tasks)

    async def _last(self) -> None:
        await asyncio.sleep(self._rng.uniform(*FAULT_LASTS_SECONDS))

    async def _signal_and_restart(self, sent: signal.Signals) -> None:
        name = self._rng.choice(NODES)
        process = self._processes[name]
        if process.returncode is not None:
            return
        began_at = time.monotonic()
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)
            process.send_signal(sent)
        await process.wait()
        if self._processes[name] is process:
            await self._start_node(name)
        self._strikes.append(Strike(name, began_at, time.monotonic()))

    async def _kill(self) -> None:
        await self._signal_and_restart(signal.SIGKILL)

    async def _terminate(self) -> None:
        await self._signal_and_restart(signal.SIGTERM)

    async def _pause(self) -> None:
        name = self._rng.choice(NODES)
        process = self._processes[name]
        began_at = time.monotonic()
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGSTOP)
            await self._last()
            process.send_signal(signal.SIGCONT)
        self._strikes.append(Strike(name, began_at, time.monotonic() + WAKE_SECONDS))

    async def _hang_up(self) -> None:
        with contextlib.suppress(ProcessLookupError):
            self._processes[self._rng.choice(NODES)].send_signal(signal.SIGHUP)

    async def _harm(self, link: FaultProxy, faults: tuple[Fault, ...]) -> None:
        link.fault = self._rng.choice(faults)
        link.delay_seconds = self._rng.choice((0.0, 0.0, 0.05))
        await self._last()
        link.fault = Fault.PASS
        link.delay_seconds = 0.0

    async def _cut_store(self) -> None:
        await self._harm(self._store_links[self._rng.choice(NODES)], LINK_FAULTS)

    async def _harm_worker_link(self) -> None:
        name = self._rng.choice(list(WORKERS))
        await self._harm(self._worker_links[name], WORKER_FAULTS)

    async def _store_outage(self) -> None:
        self._site.store.refuse = self._rng.choice((429, 503))
        await self._last()
        self._site.store.refuse = 0

    async def _store_forgets(self) -> None:
        self._site.model.compact()

    async def _store_loses_answers(self) -> None:
        self._site.store.lose_answers += self._rng.randint(1, 4)

    async def _worker_misbehaves(self) -> None:
        worker = self._site.workers[self._rng.choice(list(WORKERS))]
        worker.faults = self._rng.choice(
            (
                WorkerFaults(shed=5),
                WorkerFaults(lose_answer=3),
                WorkerFaults(break_after=2),
                WorkerFaults(surplus_after=True),
                WorkerFaults(foreign_first=True),
                WorkerFaults(unframed=True),
                WorkerFaults(unsigned=True),
                WorkerFaults(ignore_orders=2),
                WorkerFaults(status=500),
            )
        )
        await self._last()
        worker.faults = WorkerFaults()

    async def _worker_drains(self) -> None:
        name = self._rng.choice(list(WORKERS))
        self._enter(name, "draining")
        await self._last()
        self._enter(name, "ready")

    async def _change_configuration(self) -> None:
        self._version += self._rng.randint(1, 3)
        self._configure()

    async def _name_weights(self) -> None:
        self._weights += 1
        self._site.model.put(f"op/version/{MODEL}", self._named())

    async def _revoke_key(self) -> None:
        revoked = self._keys[-1]
        self._version += 1
        self._keys = [f"key-{self._version}"]
        self._configure()
        self._revoked.append(Revocation(revoked, time.monotonic() + REVOCATION_MS / 1000))

    # Judging

    def _judge_answer(self, call: Call) -> None:
        """Judge what the caller got, as soon as it is there."""
        if call.status != 200 or not call.complete:
            return
        if call.path.startswith(("/plain", "/safe")):
            if call.request_id.encode() not in call.body:
                self.violations.append(f"{call.request_id}: another's answer {call.body[:60]!r}")
            return
        numbers = [int(one) for one in re.findall(rb"^id: ?(\d+)", call.body, re.M)]
        if numbers != list(range(numbers[0] if numbers else 0, EVENTS + (numbers or [0])[0])):
            self.violations.append(f"{call.request_id}: events {numbers} called complete")

    def _judge_runs(self) -> None:
        runs = Counter(
            run.request_id for worker in self._site.workers.values() for run in worker.runs
        )
        deadline_of = {one.key: one.deadline for one in self._revoked}
        sent = {call.request_id for call in self._calls}
        for call in self._calls:
            count = runs[call.request_id]
            if call.path.startswith(("/plain", "/stream")) and count > 1:
                self.violations.append(f"{call.request_id} on {call.path} ran {count} times")
            if call.status in NOT_RUN and count and not call.path.startswith("/safe"):
                self.violations.append(f"{call.request_id} ran and was answered {call.status}")
            if call.status == 0 and not self._was_struck(call):
                self.violations.append(
                    f"{call.request_id} ended in silence at {call.node}, sent at "
                    f"{call.sent_at - self._began_at:.3f} s, after "
                    f"{call.ended_at - call.sent_at:.3f} s: {call.error}"
                )
            if count and call.sent_at > deadline_of.get(call.key, float("inf")):
                self.violations.append(f"{call.request_id} ran with a revoked key")
        for request_id in runs:
            if request_id not in sent:
                self.violations.append(f"{request_id!r} ran and nobody sent it")

    def _was_struck(self, call: Call) -> bool:
        return any(
            one.node == call.node and one.began_at < call.ended_at and call.sent_at < one.ended_at
            for one in self._strikes
        )

    def _judge_orders(self) -> None:
        holders: dict[int, str] = {}
        for name, worker in self._site.workers.items():
            fences = [order["fence"] for order in worker.orders]
            if fences != sorted(fences):
                self.violations.append(f"{name} took orders out of turn: {fences}")
            for order in worker.orders:
                if holders.setdefault(order["fence"], order["holder"]) != order["holder"]:
                    self.violations.append(f"two holders with token {order['fence']}")

    async def _judge_settled(self) -> None:
        """With all faults gone every node serves, and every engine gets the newest weights."""
        await self._until_all_serve()
        deadline = time.monotonic() + SETTLE_SECONDS
        engines = [self._site.workers[name] for name in WORKERS if name.startswith("e")]
        while any(one.version != self._weights for one in engines):
            if time.monotonic() > deadline:
                found = [one.version for one in engines]
                self.violations.append(f"weights {found}, named {self._weights}")
                return
            await asyncio.sleep(0.1)

    async def run(self, seconds: float) -> None:
        """Play, settle and judge."""
        await self.start()
        self._ends_at = time.monotonic() + seconds
        await asyncio.gather(self._inject(), *(self._load() for _ in range(CALLERS)))
        await self._judge_settled()
        self._judge_runs()
        self._judge_orders()

    async def stop(self) -> None:
        """End all processes that this run started, by their ids."""
        for process in self._processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        for link in [*self._store_links.values(), *self._worker_links.values()]:
            link.stop()

    def strikes(self) -> list[str]:
        """Return when which node was struck."""
        began = self._began_at
        return [
            f"{one.node} {one.began_at - began:.3f} to {one.ended_at - began:.3f} s"
            for one in self._strikes
        ]

    def summary(self) -> str:
        """Return what callers got, by path and status."""
        outcomes = Counter((call.path.split("/")[1], call.status) for call in self._calls)
        return ", ".join(f"{path} {status}: {n}" for (path, status), n in sorted(outcomes.items()))


async def _play(seed: int, seconds: float, folder: pathlib.Path) -> Soak:
    soak = Soak(seed, folder)
    try:
        await soak.run(seconds)
    finally:
        await soak.stop()
    return soak


def main(seed: int = 1, seconds: float = 30.0) -> None:
    """Run one seed; exits with 1 when a promise was broken.

    :param seed: of the order and kinds of faults.
    :param seconds: how long faults are injected.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix="forwarding-soak-"))
    print(f"seed {seed}, {seconds} s, logs in {folder}")
    soak = asyncio.run(_play(seed, seconds, folder))
    print("faults:", dict(soak.faults))
    print("strikes:", soak.strikes())
    print("calls:", soak.summary())
    for violation in soak.violations:
        print("VIOLATION", violation)
    print(f"{len(soak.violations)} violations")
    sys.exit(1 if soak.violations else 0)


if __name__ == "__main__":
    fire.Fire(main)
