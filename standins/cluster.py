"""Starts stand-ins and nodes as real processes on loopback, behind fault proxies.

Used by the demo, the probe tests and the bench. Every cluster takes loopback addresses of
its own, so clusters never meet; every process it started is ended by id.
"""

import contextlib
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import urllib3

from standins.fault_proxy import FaultProxy

START_SECONDS = 30.0
"""Generous bound for a process to come up on a busy machine."""

_REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
_ENGINE_PORT = 7000
_KEY_VALUE_PORT = 7100
_MACHINE_LIST_PORT = 7200
_WEIGHT_STORE_PORT = 7250
_CALLERS_PORT = 7300
_OPERATORS_PORT = 7400
_PEERS_PORT = 7500
_POLL_SECONDS = 0.02


@dataclass(frozen=True)
class EngineSpec:
    """One stand-in engine; ``options`` are flags of its command line."""

    name: str
    zone: str
    model: str = "matcher"
    options: dict[str, object] = field(default_factory=dict)


@dataclass(frozen=True)
class NodeSpec:
    """One node; ``limits`` go to the settings file's section of that name."""

    name: str
    zone: str
    limits: dict[str, object] = field(default_factory=dict)


class ManagedProcess:
    """A process this cluster started; ended by its own id."""

    def __init__(self, name: str, command: list[str], log_path: pathlib.Path):
        self.name = name
        self._command = command
        self.log_path = log_path
        self.process: subprocess.Popen | None = None
        self.started_at = 0.0

    def start(self) -> None:
        """Start it, appending its output to the log."""
        environment = os.environ | {
            "PYTHONPATH": os.pathsep.join(sys.path),
            "PYTHONUNBUFFERED": "1",
        }
        self.started_at = time.monotonic()
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                self._command, stdout=log, stderr=log, env=environment, cwd=_REPOSITORY
            )

    def signal(self, number: int) -> None:
        """Send a signal."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """End it at once, as a crash does."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def terminate(self, timeout: float = 60.0) -> int:
        """Ask it to stop and return its exit status."""
        self.process.terminate()
        return self.process.wait(timeout)

    def pause(self) -> None:
        """Freeze it."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on."""
        self.signal(signal.SIGCONT)

    def events(self) -> list[dict]:
        """Return the JSON log lines it has written."""
        found = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found


class Cluster:
    """Stand-ins and nodes, with a proxy before each engine, node and key-value link."""

    def __init__(
        self,
        directory: pathlib.Path,
        engines: list[EngineSpec],
        nodes: list[NodeSpec],
        key_value_rate: float = 500.0,
        proxied: bool = True,
    ):
        self.directory = pathlib.Path(directory)
        self.directory.mkdir(parents=True, exist_ok=True)
        self.engines = {spec.name: spec for spec in engines}
        self.nodes = {spec.name: spec for spec in nodes}
        self._net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self._key_value_rate = key_value_rate
        self._proxied = proxied
        self._hosts = {name: number for number, name in enumerate([*self.engines, *self.nodes], 10)}
        self.processes: dict[str, ManagedProcess] = {}
        self.engine_proxies: dict[str, FaultProxy] = {}
        self.key_value_proxies: dict[str, FaultProxy] = {}
        self.peer_proxies: dict[str, FaultProxy] = {}
        self.run_log = self.directory / "runs.jsonl"
        self.http = urllib3.PoolManager(maxsize=64, retries=False, timeout=30)

    def host(self, name: str, proxied: bool = False) -> str:
        """Return the loopback address of a process, or of the proxy before it if any."""
        offset = 100 if proxied and self._proxied else 0
        return f"{self._net}.{self._hosts[name] + offset}"

    def callers(self, node: str) -> str:
        """Return a node's caller address."""
        return f"{self.host(node)}:{_CALLERS_PORT}"

    def operators(self, node: str) -> str:
        """Return a node's operator address."""
        return f"{self.host(node)}:{_OPERATORS_PORT}"

    @property
    def key_value_address(self) -> str:
        """The key-value stand-in itself, without a proxy."""
        return f"{self._net}.1:{_KEY_VALUE_PORT}"

    @property
    def machine_list_address(self) -> str:
        """The machine list."""
        return f"{self._net}.1:{_MACHINE_LIST_PORT}"

    @property
    def weight_store_address(self) -> str:
        """The weight store."""
        return f"{self._net}.1:{_WEIGHT_STORE_PORT}"

    def start(self) -> "Cluster":
        """Start everything and wait until each process answers."""
        self._start_proxies()
        self._start_platform()
        for name in self.engines:
            self.start_engine(name)
        for name in self.nodes:
            self._prepare_node(name)
            self.processes[name].start()
        for name in self.engines:
            self.wait_http(f"http://{self.host(name)}:{_ENGINE_PORT}/status")
        for name in self.nodes:
            self.wait_http(f"http://{self.callers(name)}/healthz")
        return self

    def stop(self) -> None:
        """End every process and proxy."""
        for process in self.processes.values():
            with contextlib.suppress(OSError, AttributeError):
                process.resume()
            process.kill()
        for proxies in (self.engine_proxies, self.key_value_proxies, self.peer_proxies):
            for proxy in proxies.values():
                proxy.stop()

    def __enter__(self) -> "Cluster":
        """Start."""
        try:
            return self.start()
        except BaseException:
            self.stop()
            raise

    def __exit__(self, *_: object) -> None:
        """Stop."""
        self.stop()

    def start_engine(self, name: str, **options: object) -> None:
        """Start an engine process, on the same address as before if it ran."""
        spec = self.engines[name]
        flags = {"address": f"{self.host(name)}:{_ENGINE_PORT}", "model": spec.model}
        flags |= {"run_log": str(self.run_log), "weight_store": self.weight_store_address}
        flags |= spec.options | options
        command = _python("standins.engine_server", flags)
        self._start(name, command)

    def start_node(self, name: str) -> None:
        """Start a node's process again."""
        self.processes[name].start()

    def apply(self, node: str, path: str, *flags: str, expect: int = 0) -> str:
        """Run ``wheelslip apply`` against a node and return what it printed."""
        return self.command("apply", path, "--node", self.operators(node), *flags, expect=expect)

    def command(self, *arguments: str, expect: int | None = 0) -> str:
        """Run the command line and return its output; checks the exit status."""
        result = subprocess.run(
            [sys.executable, "-m", "wheelslip.cli", *arguments],
            capture_output=True,
            text=True,
            cwd=_REPOSITORY,
            env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
            timeout=120,
        )
        output = result.stdout + result.stderr
        if expect is not None and result.returncode != expect:
            raise AssertionError(f"{arguments}: exit status {result.returncode}: {output}")
        return output

    def control_machines(self, change: dict) -> None:
        """Change the machine list."""
        self.http.request("POST", f"http://{self.machine_list_address}/control", json=change)

    def control_key_value(self, change: dict) -> dict:
        """Change the key-value stand-in; returns its counters."""
        response = self.http.request(
            "POST", f"http://{self.key_value_address}/control", json=change
        )
        return response.json()

    def order_engine(self, name: str, order: dict) -> int:
        """Give an engine an order directly; returns the status."""
        url = f"http://{self.host(name)}:{_ENGINE_PORT}/orders"
        return self.http.request("POST", url, json=order).status

    def status(self, node: str) -> dict:
        """Return a node's operator status."""
        return self.http.request("GET", f"http://{self.operators(node)}/v1/status").json()

    def runs(self, step: str | None = None) -> list[dict]:
        """Return the engines' run log, or only its entries of one step."""
        if not self.run_log.exists():
            return []
        entries = [json.loads(line) for line in self.run_log.read_text().splitlines()]
        return [entry for entry in entries if step in (None, entry["step"])]

    def wait_engines(self, count: int, nodes: list[str] | None = None) -> None:
        """Wait until each node sees ``count`` serving engines."""
        for node in nodes or list(self.nodes):
            wait_until(
                lambda node=node: self.serving_engines(node) == count,
                f"{node} sees {count} serving engines",
            )

    def serving_engines(self, node: str) -> int:
        """Return how many engines a node sees serving."""
        return sum(one["state"] == "serving" for one in self.status(node)["engines"])

    def wait_members(self, count: int) -> None:
        """Wait until each node sees ``count`` live members."""
        for node in self.nodes:
            wait_until(
                lambda node=node: (
                    sum(one["state"] == "alive" for one in self.status(node)["members"]) == count
                ),
                f"{node} sees {count} members",
            )

    def wait_revision_of(self, node: str) -> None:
        """Wait until every node holds the configuration that ``node`` has in force."""
        revision = self.status(node)["revision"]
        for other in self.nodes:
            wait_until(
                lambda other=other: self.status(other)["revision"] >= revision,
                f"{other} has revision {revision} in force",
            )

    def wait_configuration(self, node: str) -> None:
        """Wait until a node has read the key-value service; before that it refuses changes."""
        self.wait_http(f"http://{self.operators(node)}/v1/objects")

    def wait_http(self, url: str) -> None:
        """Wait until a URL answers 200."""

        def answers() -> bool:
            try:
                return self.http.request("GET", url, timeout=2).status == 200
            except urllib3.exceptions.HTTPError:
                return False

        wait_until(answers, url)

    def machines(self) -> list[dict]:
        """Return the machine list as it should be."""
        return [
            {
                "name": name,
                "address": f"{self.host(name, proxied=True)}:{_ENGINE_PORT}",
                "zone": spec.zone,
                "role": "engine",
                "state": "live",
            }
            for name, spec in self.engines.items()
        ]

    def _start_proxies(self) -> None:
        if not self._proxied:
            return
        for name in self.engines:
            self.engine_proxies[name] = FaultProxy(
                (self.host(name, proxied=True), _ENGINE_PORT), (self.host(name), _ENGINE_PORT)
            )
        for name in self.nodes:
            proxy_host = self.host(name, proxied=True)
            self.peer_proxies[name] = FaultProxy(
                (proxy_host, _PEERS_PORT), (self.host(name), _PEERS_PORT), udp=True
            )
            self.key_value_proxies[name] = FaultProxy(
                (proxy_host, _KEY_VALUE_PORT), (f"{self._net}.1", _KEY_VALUE_PORT)
            )

    def _start_platform(self) -> None:
        rate = {"address": self.key_value_address, "requests_per_second": self._key_value_rate}
        self._start("key-value", _python("standins.key_value_server", rate))
        listed = self.directory / "machines.json"
        listed.write_text(json.dumps(self.machines()))
        flags = {"address": self.machine_list_address, "machines": str(listed)}
        self._start("machine-list", _python("standins.machine_list_server", flags))
        store = {"address": self.weight_store_address}
        self._start("weight-store", _python("standins.weight_store_server", store))
        self.wait_http(f"http://{self.machine_list_address}/machines")
        self.wait_http(f"http://{self.weight_store_address}/counts")

    def _prepare_node(self, name: str) -> None:
        spec = self.nodes[name]
        seeds = [f"{self.host(other, proxied=True)}:{_PEERS_PORT}" for other in self.nodes]
        node = {
            "name": name,
            "zone": spec.zone,
            "callers": self.callers(name),
            "operators": self.operators(name),
            "peers": f"{self.host(name)}:{_PEERS_PORT}",
            "advertised": f"{self.host(name, proxied=True)}:{_PEERS_PORT}",
            "seeds": seeds,
        }
        platform = {
            "key_value": self._key_value_address_of(name),
            "machine_list": self.machine_list_address,
        }
        settings = self.directory / f"{name}.toml"
        sections = {"node": node, "platform": platform, "limits": spec.limits}
        settings.write_text("\n".join(_toml_section(*section) for section in sections.items()))
        command = [sys.executable, "-m", "wheelslip.cli", "node", "--settings", str(settings)]
        self.processes[name] = ManagedProcess(name, command, self.directory / f"{name}.log")

    def _key_value_address_of(self, node: str) -> str:
        if not self._proxied:
            return self.key_value_address
        return f"{self.host(node, proxied=True)}:{_KEY_VALUE_PORT}"

    def _start(self, name: str, command: list[str]) -> None:
        process = self.processes.get(name)
        if process is None or process._command != command:
            process = ManagedProcess(name, command, self.directory / f"{name}.log")
            self.processes[name] = process
        process.start()


def wait_until(condition: Callable[[], bool], what: str, timeout: float = START_SECONDS) -> float:
    """Wait for a condition and return the seconds it took.

    :raises AssertionError: naming ``what`` when it does not come true in time.
    """
    began = time.monotonic()
    while True:
        if condition():
            return time.monotonic() - began
        if time.monotonic() - began > timeout:
            raise AssertionError(f"not within {timeout:g} s: {what}")
        time.sleep(_POLL_SECONDS)


def read_events(response: urllib3.BaseHTTPResponse) -> Iterator[tuple[str, str]]:
    """Yield ``(event name, data)`` of a caller's event stream."""
    name = "message"
    for line in _lines(response):
        if line.startswith("event: "):
            name = line[7:]
        elif line.startswith("data: "):
            yield name, line[6:]
            name = "message"


def _lines(response: urllib3.BaseHTTPResponse) -> Iterator[str]:
    buffer = b""
    while received := response.read1(65536):
        *lines, buffer = (buffer + received).split(b"\n")
        yield from (line.decode() for line in lines)


def _python(module: str, flags: dict[str, object]) -> list[str]:
    return [sys.executable, "-m", module, *[f"--{name}={value}" for name, value in flags.items()]]


def _toml_section(name: str, values: dict[str, object]) -> str:
    lines = [f"[{name}]", *[f"{key} = {json.dumps(value)}" for key, value in values.items()]]
    return "\n".join(lines) + "\n"
