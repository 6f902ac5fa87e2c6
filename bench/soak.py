"""A randomised run of faults under mixed load of both desks, judged by a checker.

Kills, freezes, cuts, outages of the key-value service and races of operators come in an
order drawn from a printed seed. Afterwards the histories of callers, engines, operators and
nodes are judged: at most once, own answer, whole streams, truth of ``not_run``, revisions
that only rise, and accepted changes in force everywhere.
"""

import pathlib
import random
import sys
import tempfile
import threading
import time
import uuid
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import fire
import urllib3

from standins.cluster import Cluster, EngineSpec, NodeSpec, wait_until
from standins.fault_proxy import Fault
from tests.probe.callers import Outcome, chat_body, send
from tests.probe.judge import accepted_counts, prompt_digest

_THIBODEAU = "thibodeau-key"
_TBILISI = "tbilisi-key"
_WORKLOADS = (
    ("lookup", _THIBODEAU, True),
    ("log-review", _THIBODEAU, True),
    ("notice", _THIBODEAU, False),
    ("bundle", _TBILISI, True),
    ("method-question", _TBILISI, True),
    ("certificate", _TBILISI, False),
)
_CALLERS = 10
_SETTLE_SECONDS = 30.0
_GIVE_UP_SECONDS = 25.0
_ENGINE_FAULTS = (
    Fault.REFUSE,
    Fault.BLACKHOLE,
    Fault.BLACKHOLE_TO_SERVER,
    Fault.BLACKHOLE_TO_CLIENT,
    Fault.LOSE_ANSWER,
    Fault.CUT_AFTER_BYTES,
)


@dataclass
class Call:
    """One request and every answer its caller got for it."""

    nonce: str
    workload: str
    repeatable: bool
    outcomes: list[tuple[str, Outcome]] = field(default_factory=list)


@dataclass
class Change:
    """One operator's change and what the operator was told."""

    change_id: str
    deadline: int
    told: str
    revision: int = 0


@dataclass
class History:
    """All that was seen during a run."""

    calls: list[Call] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    falls: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    killed_nodes: set[str] = field(default_factory=set)


class Soak:
    """One randomised run."""

    def __init__(self, cluster: Cluster, seed: int, seconds: float):
        self._cluster = cluster
        self._random = random.Random(seed)
        self._seconds = seconds
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self.history = History()

    def run(self) -> History:
        """Run load, operators and faults for the time, then heal and settle."""
        tasks = [self._call_loop] * _CALLERS + [self._operator_loop] * 2 + [self._revision_loop]
        threads = [
            threading.Thread(target=task, args=(self._random.random(),), daemon=True)
            for task in tasks
        ]
        for thread in threads:
            thread.start()
        ends = time.monotonic() + self._seconds
        while time.monotonic() < ends:
            self._fault(self._random.choice(self._fault_kinds()))
            time.sleep(self._random.uniform(0.3, 1.5))
        self._heal()
        self._stop.set()
        for thread in threads:
            thread.join(_GIVE_UP_SECONDS * 3)
            if thread.is_alive():
                raise AssertionError("a caller hangs")
        return self.history

    def _fault_kinds(self) -> list[Callable[[], str]]:
        return [
            self._kill_node,
            self._kill_engine,
            self._freeze_node,
            self._freeze_engine,
            self._cut_node,
            self._cut_engine,
            self._key_value_outage,
        ]

    def _fault(self, kind: Callable[[], str]) -> None:
        self.history.faults.append(kind())

    def _kill_node(self) -> str:
        name = self._random.choice(list(self._cluster.nodes))
        self.history.killed_nodes.add(name)
        self._cluster.processes[name].kill()
        self._later(self._random.uniform(0.1, 2), lambda: self._cluster.start_node(name))
        return f"kill {name}"

    def _kill_engine(self) -> str:
        name = self._random.choice(list(self._cluster.engines))
        self._cluster.processes[name].kill()
        self._later(self._random.uniform(0.1, 2), lambda: self._cluster.start_engine(name))
        return f"kill {name}"

    def _freeze_node(self) -> str:
        return self._freeze(self._random.choice(list(self._cluster.nodes)))

    def _freeze_engine(self) -> str:
        return self._freeze(self._random.choice(list(self._cluster.engines)))

    def _freeze(self, name: str) -> str:
        process = self._cluster.processes[name]
        process.pause()
        self._later(self._random.uniform(0.5, 4), process.resume)
        return f"freeze {name}"

    def _cut_node(self) -> str:
        name = self._random.choice(list(self._cluster.nodes))
        others = {self._cluster.host(other) for other in self._cluster.nodes if other != name}
        proxy = self._cluster.peer_proxies[name]
        proxy.blocked_sources = others
        self._later(self._random.uniform(1, 5), lambda: setattr(proxy, "blocked_sources", set()))
        return f"cut peers of {name}"

    def _cut_engine(self) -> str:
        name = self._random.choice(list(self._cluster.engines))
        proxy = self._cluster.engine_proxies[name]
        proxy.cut_bytes = self._random.randrange(3000)
        proxy.fault = self._random.choice(_ENGINE_FAULTS)
        fault = proxy.fault.value
        self._later(self._random.uniform(0.5, 3), lambda: setattr(proxy, "fault", Fault.PASS))
        return f"{fault} at {name}"

    def _key_value_outage(self) -> str:
        proxies = self._cluster.key_value_proxies
        names = list(proxies)
        if self._random.random() < 0.5:
            names = [self._random.choice(names)]
        fault = self._random.choice((Fault.REFUSE, Fault.BLACKHOLE, Fault.LOSE_ANSWER))
        for name in names:
            proxies[name].fault = fault
            self._later(
                self._random.uniform(0.5, 4),
                lambda name=name: setattr(proxies[name], "fault", Fault.PASS),
            )
        return f"key-value {fault.value} for {','.join(names)}"

    @staticmethod
    def _later(seconds: float, action: Callable[[], None]) -> None:
        timer = threading.Timer(seconds, action)
        timer.daemon = True
        timer.start()

    def _heal(self) -> None:
        time.sleep(4.5)
        for proxies in (
            self._cluster.engine_proxies,
            self._cluster.key_value_proxies,
            self._cluster.peer_proxies,
        ):
            for proxy in proxies.values():
                proxy.fault = Fault.PASS
                proxy.blocked_sources = set()
        for process in self._cluster.processes.values():
            process.resume()

    def _call_loop(self, seed: float) -> None:
        source = random.Random(seed)
        while not self._stop.is_set():
            workload, key, repeatable = source.choice(_WORKLOADS)
            call = Call(uuid.uuid4().hex, workload, repeatable)
            self._call(call, key, source)
            with self._lock:
                self.history.calls.append(call)

    def _call(self, call: Call, key: str, source: random.Random) -> None:
        """Call as clients do: a notice is repeated under its key while told to come back."""
        body = chat_body(call.nonce, call.workload, tokens=12, stream=source.random() < 0.7)
        headers = {"X-Deadline-Seconds": "3"}
        if not call.repeatable:
            headers["Idempotency-Key"] = call.nonce
        deadline = time.monotonic() + _GIVE_UP_SECONDS
        while True:
            node = source.choice(list(self._cluster.nodes))
            outcome = send(self._cluster, node, body, headers, key=key, timeout=20)
            call.outcomes.append((node, outcome))
            again = bool(outcome.failure) or (outcome.error or {}).get("retry", False)
            if call.repeatable or outcome.is_complete or not again or time.monotonic() > deadline:
                return
            time.sleep(0.2)

    def _operator_loop(self, seed: float) -> None:
        source = random.Random(seed)
        while not self._stop.wait(source.uniform(0.2, 1.0)):
            node = source.choice(list(self._cluster.nodes))
            change = Change(uuid.uuid4().hex, source.randrange(1, 1000), "unsent")
            try:
                self._change(node, change)
            except urllib3.exceptions.HTTPError:
                change.told = "unknown"
            with self._lock:
                self.history.changes.append(change)

    def _change(self, node: str, change: Change) -> None:
        base = f"http://{self._cluster.operator_address(node)}"
        current = self._cluster.http.request("GET", f"{base}/v1/objects", timeout=5)
        if current.status != 200:
            return
        spec = {"model": "matcher", "class": "patient", "deadline_seconds": change.deadline}
        body = {
            "objects": {"Workload/raced": spec},
            "expected_revision": current.json()["revision"],
            "change_id": change.change_id,
        }
        change.told = "unknown"
        answer = self._cluster.http.request("POST", f"{base}/v1/apply", json=body, timeout=20)
        if answer.status == 200:
            change.told = answer.json()["outcome"]
            change.revision = answer.json()["revision"]
        else:
            change.told = answer.json()["error"]["code"]

    def _revision_loop(self, seed: float) -> None:
        highest: dict[str, int] = {}
        while not self._stop.wait(0.1):
            for node in self._cluster.nodes:
                try:
                    url = f"http://{self._cluster.caller_address(node)}/readyz"
                    revision = self._cluster.http.request("GET", url, timeout=0.5).json()
                    revision = revision.get("revision")
                except (urllib3.exceptions.HTTPError, ValueError):
                    continue
                if revision is None:
                    continue
                if revision < highest.get(node, 0):
                    self.history.falls.append(f"{node}: {highest[node]} to {revision}")
                highest[node] = max(revision, highest.get(node, 0))


def check(cluster: Cluster, history: History) -> list[str]:
    """Return every violation found in the histories."""
    counts = accepted_counts(cluster)
    violations = [f"revision fell at {fall}" for fall in history.falls]
    for call in history.calls:
        violations += _check_call(call, counts, history.killed_nodes)
    violations += _check_changes(cluster, history)
    return violations


def _check_call(call: Call, counts: Counter, killed: set[str]) -> list[str]:
    violations = []
    runs = counts[prompt_digest(call.nonce)]
    if not call.repeatable and runs > 1:
        violations.append(f"{call.workload} {call.nonce} ran {runs} times")
    for node, outcome in call.outcomes:
        if outcome.tokens != outcome.expected[: len(outcome.tokens)]:
            violations.append(f"{call.workload} {call.nonce}: not its own answer")
        if outcome.failure and node not in killed:
            violations.append(f"{call.nonce} at {node}: ended in silence: {outcome.failure}")
        if not outcome.is_complete and outcome.error is None and not outcome.failure:
            violations.append(f"{call.nonce}: neither whole nor an error")
        if outcome.kind in ("authentication_failed", "model_not_found"):
            violations.append(f"{call.workload} at {node}: {outcome.kind}: {outcome.error}")
    final = call.outcomes[-1][1]
    if len(call.outcomes) == 1 and final.run_state == "not_run" and runs:
        violations.append(f"{call.nonce}: told not_run by {final.kind}, ran {runs} times")
    return violations


def _check_changes(cluster: Cluster, history: History) -> list[str]:
    """Check that the accepted changes are a chain and its last one is in force everywhere."""
    accepted = [change for change in history.changes if change.told == "accepted"]
    revisions = Counter(change.revision for change in accepted)
    violations = [f"revision {one} accepted twice" for one, n in revisions.items() if n > 1]
    unknown = {change.deadline for change in history.changes if change.told == "unknown"}
    last = max(accepted, key=lambda change: change.revision, default=None)
    for node in cluster.nodes:
        url = f"http://{cluster.operator_address(node)}/v1/objects"
        answer = cluster.http.request("GET", url).json()
        if last is None:
            continue
        deadline = answer["objects"]["Workload/raced"]["deadline_seconds"]
        if answer["revision"] < last.revision:
            violations.append(f"{node}: {answer['revision']} is below accepted {last.revision}")
        if deadline != last.deadline and deadline not in unknown:
            violations.append(f"{node}: {deadline} in force, accepted was {last.deadline}")
    return violations


def soak_run(directory: pathlib.Path, seed: int, seconds: float) -> tuple[History, list[str]]:
    """Run one seed and return its history and violations."""
    zones = ("worcester", "providence", "portland")
    engines = [EngineSpec(f"matcher-{n}", zones[n % 3]) for n in range(3)]
    engines += [EngineSpec(f"assayer-{n}", zones[n % 3], "assayer") for n in range(3)]
    nodes = [NodeSpec(f"node-{n}", zones[n % 3], {"engine_stall_seconds": 1.0}) for n in range(4)]
    with Cluster(directory, engines, nodes) as cluster:
        # A node that nobody knows yet is not waited for by apply, and learns of a change only
        # when it has joined.
        cluster.wait_members(len(nodes))
        cluster.apply("node-0", "examples/thibodeau")
        cluster.apply("node-0", "examples/tbilisi")
        cluster.wait_engines(len(engines))
        history = Soak(cluster, seed, seconds).run()
        _settle(cluster)
        return history, check(cluster, history)


def _settle(cluster: Cluster) -> None:
    def agreed() -> bool:
        revisions = set()
        for node in cluster.nodes:
            try:
                url = f"http://{cluster.caller_address(node)}/readyz"
                revisions.add(cluster.http.request("GET", url, timeout=2).json().get("revision"))
            except urllib3.exceptions.HTTPError:
                return False
        return len(revisions) == 1 and None not in revisions

    wait_until(agreed, "all nodes agree on one revision", _SETTLE_SECONDS)


def report(seed: int, history: History, violations: list[str]) -> str:
    """Return a summary of a run."""
    outcomes = [outcome for call in history.calls for _, outcome in call.outcomes]
    finals = [call.outcomes[-1][1] for call in history.calls]
    claimed = [call for call in history.calls if not call.repeatable]
    claimed_whole = sum(call.outcomes[-1][1].is_complete for call in claimed)
    kinds = Counter(
        outcome.kind or "broken connection" for outcome in finals if not outcome.is_complete
    )
    lines = [
        f"seed {seed}: {len(history.faults)} faults, {len(history.calls)} requests, "
        f"{len(outcomes)} calls, {sum(one.is_complete for one in finals)} whole",
        f"not repeatable: {claimed_whole} of {len(claimed)} whole in the end",
        f"not whole: {dict(kinds)}",
        f"changes: {dict(Counter(change.told for change in history.changes))}",
        f"violations: {len(violations)}",
    ]
    return "\n".join([*lines, *violations[:20]])


def main(seed: int = 1, seconds: float = 60.0) -> None:
    """Run one seed for some seconds; exit status 1 on any violation."""
    with tempfile.TemporaryDirectory() as directory:
        history, violations = soak_run(pathlib.Path(directory), seed, seconds)
    print(report(seed, history, violations))
    print("\n".join(history.faults))
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    fire.Fire(main)
