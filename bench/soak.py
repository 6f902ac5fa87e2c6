"""Randomised fault injection under a mixed load of two tenants, with a check of the history.

Crashes, pauses, network faults, outages of the key-value service and concurrent configuration
changes occur in an order drawn from a seed. The recorded history is then checked for:

* at most one run of each request that may not be repeated;
* responses that belong to their request, and streams that are complete or end with an error;
* a run state of ``not_run`` only for requests that did not run;
* configuration revisions that never decrease;
* the last accepted change in force on all nodes.
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
_CALLER_COUNT = 10
_AGREEMENT_TIMEOUT_SECONDS = 30.0
_RETRY_PERIOD_SECONDS = 25.0
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
    """A request and the outcome of each attempt to send it.

    :ivar repeatable: whether the request may run more than once.
    :ivar outcomes: node and outcome of each attempt, in order.
    """

    nonce: str
    workload: str
    repeatable: bool
    outcomes: list[tuple[str, Outcome]] = field(default_factory=list)


@dataclass
class Change:
    """A configuration change and the result that its operator received.

    :ivar deadline: value that the change sets, in seconds.
    :ivar result: ``unsent`` (current revision not available), ``unknown`` (request failed without a
        response), or the outcome or error code of the response.
    :ivar revision: revision of the configuration after the change; 0 if there was no outcome.
    """

    change_id: str
    deadline: int
    result: str
    revision: int = 0


@dataclass
class History:
    """Everything recorded during a run.

    :ivar revision_decreases: descriptions of observed decreases of a node's revision.
    :ivar faults: descriptions of the injected faults, in order.
    :ivar killed_nodes: nodes that were killed, whose connections may break without an error.
    """

    calls: list[Call] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    revision_decreases: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    killed_nodes: set[str] = field(default_factory=set)


class Soak:
    """Load, configuration changes and faults of one randomised run."""

    def __init__(self, cluster: Cluster, seed: int, seconds: float):
        self._cluster = cluster
        self._random = random.Random(seed)
        self._seconds = seconds
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self.history = History()

    def run(self) -> History:
        """Run load, changes and faults for the configured time, then clear all faults.

        :raises AssertionError: if a thread does not stop in time.
        """
        tasks = (
            [self._call_loop] * _CALLER_COUNT + [self._operator_loop] * 2 + [self._revision_loop]
        )
        threads = [
            threading.Thread(target=task, args=(self._random.random(),), daemon=True)
            for task in tasks
        ]
        for thread in threads:
            thread.start()
        end_time = time.monotonic() + self._seconds
        while time.monotonic() < end_time:
            self._inject(self._random.choice(self._fault_injectors()))
            time.sleep(self._random.uniform(0.3, 1.5))
        self._clear_faults()
        self._stop.set()
        for thread in threads:
            thread.join(_RETRY_PERIOD_SECONDS * 3)
            if thread.is_alive():
                raise AssertionError("a load or operator thread did not stop in time")
        return self.history

    def _fault_injectors(self) -> list[Callable[[], str]]:
        return [
            self._kill_node,
            self._kill_engine,
            self._pause_node,
            self._pause_engine,
            self._partition_node,
            self._disrupt_engine_link,
            self._key_value_outage,
        ]

    def _inject(self, fault: Callable[[], str]) -> None:
        self.history.faults.append(fault())

    def _kill_node(self) -> str:
        name = self._random.choice(list(self._cluster.nodes))
        self.history.killed_nodes.add(name)
        self._cluster.processes[name].kill()
        self._run_after(self._random.uniform(0.1, 2), lambda: self._cluster.start_node(name))
        return f"kill {name}"

    def _kill_engine(self) -> str:
        name = self._random.choice(list(self._cluster.engines))
        self._cluster.processes[name].kill()
        self._run_after(self._random.uniform(0.1, 2), lambda: self._cluster.start_engine(name))
        return f"kill {name}"

    def _pause_node(self) -> str:
        return self._pause(self._random.choice(list(self._cluster.nodes)))

    def _pause_engine(self) -> str:
        return self._pause(self._random.choice(list(self._cluster.engines)))

    def _pause(self, name: str) -> str:
        process = self._cluster.processes[name]
        process.pause()
        self._run_after(self._random.uniform(0.5, 4), process.resume)
        return f"freeze {name}"

    def _partition_node(self) -> str:
        name = self._random.choice(list(self._cluster.nodes))
        others = {self._cluster.host(other) for other in self._cluster.nodes if other != name}
        proxy = self._cluster.peer_proxies[name]
        proxy.blocked_sources = others
        self._run_after(
            self._random.uniform(1, 5), lambda: setattr(proxy, "blocked_sources", set())
        )
        return f"cut peers of {name}"

    def _disrupt_engine_link(self) -> str:
        name = self._random.choice(list(self._cluster.engines))
        proxy = self._cluster.engine_proxies[name]
        proxy.cut_bytes = self._random.randrange(3000)
        proxy.fault = self._random.choice(_ENGINE_FAULTS)
        fault = proxy.fault.value
        self._run_after(self._random.uniform(0.5, 3), lambda: setattr(proxy, "fault", Fault.PASS))
        return f"{fault} at {name}"

    def _key_value_outage(self) -> str:
        proxies = self._cluster.key_value_proxies
        names = list(proxies)
        if self._random.random() < 0.5:
            names = [self._random.choice(names)]
        fault = self._random.choice((Fault.REFUSE, Fault.BLACKHOLE, Fault.LOSE_ANSWER))
        for name in names:
            proxies[name].fault = fault
            self._run_after(
                self._random.uniform(0.5, 4),
                lambda name=name: setattr(proxies[name], "fault", Fault.PASS),
            )
        return f"key-value {fault.value} for {','.join(names)}"

    @staticmethod
    def _run_after(seconds: float, action: Callable[[], None]) -> None:
        timer = threading.Timer(seconds, action)
        timer.daemon = True
        timer.start()

    def _clear_faults(self) -> None:
        """Wait until delayed restarts have run, then remove all remaining faults."""
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
        """Send requests of randomly chosen workloads until the run stops."""
        rng = random.Random(seed)
        while not self._stop.is_set():
            workload, key, repeatable = rng.choice(_WORKLOADS)
            call = Call(uuid.uuid4().hex, workload, repeatable)
            self._send(call, key, rng)
            with self._lock:
                self.history.calls.append(call)

    def _send(self, call: Call, key: str, rng: random.Random) -> None:
        """Send a request; retry it with its idempotency key if it may not run twice.

        Only connection failures and errors that allow a retry are retried.
        """
        body = chat_body(call.nonce, call.workload, tokens=12, stream=rng.random() < 0.7)
        headers = {"X-Deadline-Seconds": "3"}
        if not call.repeatable:
            headers["Idempotency-Key"] = call.nonce
        retry_until = time.monotonic() + _RETRY_PERIOD_SECONDS
        while True:
            node = rng.choice(list(self._cluster.nodes))
            outcome = send(self._cluster, node, body, headers, key=key, timeout=20)
            call.outcomes.append((node, outcome))
            may_retry = bool(outcome.failure) or (outcome.error or {}).get("retry", False)
            if (
                call.repeatable
                or outcome.is_complete
                or not may_retry
                or time.monotonic() > retry_until
            ):
                return
            time.sleep(0.2)

    def _operator_loop(self, seed: float) -> None:
        """Apply changes to randomly chosen nodes until the run stops."""
        rng = random.Random(seed)
        while not self._stop.wait(rng.uniform(0.2, 1.0)):
            node = rng.choice(list(self._cluster.nodes))
            change = Change(uuid.uuid4().hex, rng.randrange(1, 1000), "unsent")
            try:
                self._apply_change(node, change)
            except urllib3.exceptions.HTTPError:
                change.result = "unknown"
            with self._lock:
                self.history.changes.append(change)

    def _apply_change(self, node: str, change: Change) -> None:
        """Apply a change on top of the current revision and record its result."""
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
        change.result = "unknown"
        response = self._cluster.http.request("POST", f"{base}/v1/apply", json=body, timeout=20)
        if response.status == 200:
            change.result = response.json()["outcome"]
            change.revision = response.json()["revision"]
        else:
            change.result = response.json()["error"]["code"]

    def _revision_loop(self, seed: float) -> None:
        """Poll the revision of each node and record each decrease."""
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
                    self.history.revision_decreases.append(f"{node}: {highest[node]} to {revision}")
                highest[node] = max(revision, highest.get(node, 0))


def check(cluster: Cluster, history: History) -> list[str]:
    """Return a description of each violation found in the history."""
    runs_by_digest = accepted_counts(cluster)
    violations = [f"revision fell at {decrease}" for decrease in history.revision_decreases]
    for call in history.calls:
        violations += _check_call(call, runs_by_digest, history.killed_nodes)
    violations += _check_changes(cluster, history)
    return violations


def _check_call(call: Call, runs_by_digest: Counter, killed_nodes: set[str]) -> list[str]:
    violations = []
    runs = runs_by_digest[prompt_digest(call.nonce)]
    if not call.repeatable and runs > 1:
        violations.append(f"{call.workload} {call.nonce} ran {runs} times")
    for node, outcome in call.outcomes:
        if outcome.tokens != outcome.expected[: len(outcome.tokens)]:
            violations.append(f"{call.workload} {call.nonce}: not its own answer")
        if outcome.failure and node not in killed_nodes:
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
    """Check that accepted changes have distinct revisions and the last is in force on all nodes."""
    accepted = [change for change in history.changes if change.result == "accepted"]
    revisions = Counter(change.revision for change in accepted)
    violations = [
        f"revision {revision} accepted twice" for revision, n in revisions.items() if n > 1
    ]
    unknown_deadlines = {
        change.deadline for change in history.changes if change.result == "unknown"
    }
    last_accepted = max(accepted, key=lambda change: change.revision, default=None)
    for node in cluster.nodes:
        url = f"http://{cluster.operator_address(node)}/v1/objects"
        response = cluster.http.request("GET", url).json()
        if last_accepted is None:
            continue
        deadline = response["objects"]["Workload/raced"]["deadline_seconds"]
        if response["revision"] < last_accepted.revision:
            violations.append(
                f"{node}: {response['revision']} is below accepted {last_accepted.revision}"
            )
        if deadline != last_accepted.deadline and deadline not in unknown_deadlines:
            violations.append(f"{node}: {deadline} in force, accepted was {last_accepted.deadline}")
    return violations


def soak_run(directory: pathlib.Path, seed: int, seconds: float) -> tuple[History, list[str]]:
    """Run one seed on a new cluster and return its history and violations.

    :param directory: directory for the files of the cluster.
    :param seconds: time during which faults are injected.
    """
    zones = ("worcester", "providence", "portland")
    engines = [EngineSpec(f"matcher-{n}", zones[n % 3]) for n in range(3)]
    engines += [EngineSpec(f"assayer-{n}", zones[n % 3], "assayer") for n in range(3)]
    nodes = [NodeSpec(f"node-{n}", zones[n % 3], {"engine_stall_seconds": 1.0}) for n in range(4)]
    with Cluster(directory, engines, nodes) as cluster:
        # ``apply`` does not wait for nodes that have not joined yet.
        cluster.wait_members(len(nodes))
        cluster.apply("node-0", "examples/thibodeau")
        cluster.apply("node-0", "examples/tbilisi")
        cluster.wait_engines(len(engines))
        history = Soak(cluster, seed, seconds).run()
        _wait_until_revisions_agree(cluster)
        return history, check(cluster, history)


def _wait_until_revisions_agree(cluster: Cluster) -> None:
    def revisions_agree() -> bool:
        revisions = set()
        for node in cluster.nodes:
            try:
                url = f"http://{cluster.caller_address(node)}/readyz"
                revisions.add(cluster.http.request("GET", url, timeout=2).json().get("revision"))
            except urllib3.exceptions.HTTPError:
                return False
        return len(revisions) == 1 and None not in revisions

    wait_until(revisions_agree, "all nodes agree on one revision", _AGREEMENT_TIMEOUT_SECONDS)


def report(seed: int, history: History, violations: list[str]) -> str:
    """Return a printable summary of a run with its first violations."""
    outcomes = [outcome for call in history.calls for _, outcome in call.outcomes]
    finals = [call.outcomes[-1][1] for call in history.calls]
    non_repeatable = [call for call in history.calls if not call.repeatable]
    non_repeatable_complete = sum(call.outcomes[-1][1].is_complete for call in non_repeatable)
    failure_kinds = Counter(
        outcome.kind or "broken connection" for outcome in finals if not outcome.is_complete
    )
    lines = [
        f"seed {seed}: {len(history.faults)} faults, {len(history.calls)} requests, "
        f"{len(outcomes)} calls, {sum(final.is_complete for final in finals)} whole",
        f"not repeatable: {non_repeatable_complete} of {len(non_repeatable)} whole in the end",
        f"not whole: {dict(failure_kinds)}",
        f"changes: {dict(Counter(change.result for change in history.changes))}",
        f"violations: {len(violations)}",
    ]
    return "\n".join([*lines, *violations[:20]])


def main(seed: int = 1, seconds: float = 60.0) -> None:
    """Run one seed and print a report; exit with status 1 on any violation."""
    with tempfile.TemporaryDirectory() as directory:
        history, violations = soak_run(pathlib.Path(directory), seed, seconds)
    print(report(seed, history, violations))
    print("\n".join(history.faults))
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    fire.Fire(main)
