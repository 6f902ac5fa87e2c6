"""Clusters of wheelslip nodes and stand-in services, run as processes on loopback.

Used by the demo, the probe tests and the benchmarks. Each cluster uses a random loopback
network of its own, so that several clusters can run on one machine.
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

START_TIMEOUT_SECONDS = 30.0
"""Default timeout of :func:`wait_until`; allows for process start on a busy machine."""

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
    """Description of one stand-in engine.

    :ivar zone: zone under which the machine list names the engine.
    :ivar options: additional command-line flags of :mod:`standins.engine_server`.
    """

    name: str
    zone: str
    model: str = "matcher"
    options: dict[str, object] = field(default_factory=dict)


@dataclass(frozen=True)
class NodeSpec:
    """Description of one node.

    :ivar limits: contents of the ``[limits]`` section of its settings file.
    """

    name: str
    zone: str
    limits: dict[str, object] = field(default_factory=dict)


class ManagedProcess:
    """Child process that can be signalled, killed and started again.

    :ivar log_path: file to which standard output and standard error are appended.
    :ivar process: the latest child process, or ``None`` before the first start.
    :ivar started_at: monotonic time of the latest start, in seconds.
    """

    def __init__(self, name: str, command: list[str], log_path: pathlib.Path):
        self.name = name
        self._command = command
        self.log_path = log_path
        self.process: subprocess.Popen | None = None
        self.started_at = 0.0

    def start(self) -> None:
        """Start the process and append its output to the log file."""
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
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process with ``SIGKILL``, if it runs, and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def terminate(self, timeout: float = 60.0) -> int:
        """Stop the process with ``SIGTERM`` and return its exit status.

        :param timeout: seconds to wait for the exit.
        :raises subprocess.TimeoutExpired: when the process is still running after that.
        """
        self.process.terminate()
        return self.process.wait(timeout)

    def pause(self) -> None:
        """Suspend the process with ``SIGSTOP``."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process with ``SIGCONT``."""
        self.signal(signal.SIGCONT)

    def events(self) -> list[dict]:
        """Return the JSON entries of the log file; lines of another format are skipped."""
        entries = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                entries.append(json.loads(line))
        return entries


class Cluster:
    """Stand-in services, engines and nodes on one loopback network.

    Unless ``proxied`` is false, a :class:`FaultProxy` forwards the traffic to each engine,
    the traffic to each node from its peers, and that of each node to the key-value service.

    :ivar engine_proxies: proxy of each engine, by engine name.
    :ivar key_value_proxies: proxy between each node and the key-value service, by node name.
    :ivar peer_proxies: proxy of each node's peer address, by node name.
    :ivar run_log: JSON lines file to which all engines append their runs and orders.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        engines: list[EngineSpec],
        nodes: list[NodeSpec],
        key_value_requests_per_second: float = 500.0,
        proxied: bool = True,
    ):
        self.directory = pathlib.Path(directory)
        self.directory.mkdir(parents=True, exist_ok=True)
        self.engines = {spec.name: spec for spec in engines}
        self.nodes = {spec.name: spec for spec in nodes}
        self._network_prefix = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self._key_value_requests_per_second = key_value_requests_per_second
        self._proxied = proxied
        self._host_numbers = {
            name: number for number, name in enumerate([*self.engines, *self.nodes], 10)
        }
        self.processes: dict[str, ManagedProcess] = {}
        self.engine_proxies: dict[str, FaultProxy] = {}
        self.key_value_proxies: dict[str, FaultProxy] = {}
        self.peer_proxies: dict[str, FaultProxy] = {}
        self.run_log = self.directory / "runs.jsonl"
        self.http = urllib3.PoolManager(maxsize=64, retries=False, timeout=30)

    def host(self, name: str, proxied: bool = False) -> str:
        """Return the IP address of an engine or node.

        :param proxied: return the address of its proxy instead, if the cluster uses proxies.
        """
        # The host number of a proxy is that of its process plus 100.
        offset = 100 if proxied and self._proxied else 0
        return f"{self._network_prefix}.{self._host_numbers[name] + offset}"

    def caller_address(self, node: str) -> str:
        """Return the ``IP:PORT`` at which a node serves callers."""
        return f"{self.host(node)}:{_CALLERS_PORT}"

    def operator_address(self, node: str) -> str:
        """Return the ``IP:PORT`` at which a node serves operators."""
        return f"{self.host(node)}:{_OPERATORS_PORT}"

    @property
    def key_value_address(self) -> str:
        """``IP:PORT`` of the key-value service itself, not of a proxy."""
        return f"{self._network_prefix}.1:{_KEY_VALUE_PORT}"

    @property
    def machine_list_address(self) -> str:
        """``IP:PORT`` of the machine list server."""
        return f"{self._network_prefix}.1:{_MACHINE_LIST_PORT}"

    @property
    def weight_store_address(self) -> str:
        """``IP:PORT`` of the weight store server."""
        return f"{self._network_prefix}.1:{_WEIGHT_STORE_PORT}"

    def start(self) -> "Cluster":
        """Start proxies and processes and wait until the HTTP servers respond.

        :raises AssertionError: when one of them does not respond in time.
        """
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
            self.wait_http(f"http://{self.caller_address(name)}/healthz")
        return self

    def stop(self) -> None:
        """Kill every process and stop every proxy."""
        for process in self.processes.values():
            with contextlib.suppress(OSError, AttributeError):
                process.resume()
            process.kill()
        for proxies in (self.engine_proxies, self.key_value_proxies, self.peer_proxies):
            for proxy in proxies.values():
                proxy.stop()

    def __enter__(self) -> "Cluster":
        """Start the cluster; stop what was started if that fails."""
        try:
            return self.start()
        except BaseException:
            self.stop()
            raise

    def __exit__(self, *_: object) -> None:
        """Stop the cluster."""
        self.stop()

    def start_engine(self, name: str, **options: object) -> None:
        """Start an engine process on the engine's address.

        :param options: command-line flags, which override those of its :class:`EngineSpec`.
        """
        spec = self.engines[name]
        flags = {"address": f"{self.host(name)}:{_ENGINE_PORT}", "model": spec.model}
        flags |= {"run_log": str(self.run_log), "weight_store": self.weight_store_address}
        flags |= spec.options | options
        command = _module_command("standins.engine_server", flags)
        self._start(name, command)

    def start_node(self, name: str) -> None:
        """Start a node again after its process has ended."""
        self.processes[name].start()

    def apply(self, node: str, path: str, *flags: str, expect: int = 0) -> str:
        """Run ``wheelslip apply`` against a node and return its output."""
        return self.command(
            "apply", path, "--node", self.operator_address(node), *flags, expect=expect
        )

    def command(self, *arguments: str, expect: int | None = 0) -> str:
        """Run the ``wheelslip`` command line.

        :param expect: expected exit status; ``None`` accepts any.
        :return: standard output followed by standard error.
        :raises AssertionError: when the exit status is another one.
        """
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
        """Send a change to the control path of the machine list server."""
        self.http.request("POST", f"http://{self.machine_list_address}/control", json=change)

    def control_key_value(self, change: dict) -> dict:
        """Send a change to the control path of the key-value service and return its counters."""
        response = self.http.request(
            "POST", f"http://{self.key_value_address}/control", json=change
        )
        return response.json()

    def order_engine(self, name: str, order: dict) -> int:
        """Send an order to an engine, bypassing proxies and nodes; return the HTTP status."""
        url = f"http://{self.host(name)}:{_ENGINE_PORT}/orders"
        return self.http.request("POST", url, json=order).status

    def status(self, node: str) -> dict:
        """Return the status that a node reports to operators."""
        return self.http.request("GET", f"http://{self.operator_address(node)}/v1/status").json()

    def runs(self, step: str | None = None) -> list[dict]:
        """Return the entries of the engines' run log.

        :param step: return only entries of this step, such as ``"started"``.
        """
        if not self.run_log.exists():
            return []
        entries = [json.loads(line) for line in self.run_log.read_text().splitlines()]
        return [entry for entry in entries if step in (None, entry["step"])]

    def wait_engines(self, count: int, nodes: list[str] | None = None) -> None:
        """Wait until each node, or each of ``nodes``, reports ``count`` serving engines."""
        for node in nodes or list(self.nodes):
            wait_until(
                lambda node=node: self.serving_engines(node) == count,
                f"{node} reports {count} serving engines",
            )

    def serving_engines(self, node: str) -> int:
        """Return the number of engines that a node reports as serving."""
        return sum(engine["state"] == "serving" for engine in self.status(node)["engines"])

    def wait_members(self, count: int) -> None:
        """Wait until each node reports ``count`` live members."""
        for node in self.nodes:
            wait_until(
                lambda node=node: (
                    sum(member["state"] == "alive" for member in self.status(node)["members"])
                    == count
                ),
                f"{node} reports {count} live members",
            )

    def wait_revision_of(self, node: str) -> None:
        """Wait until each node uses the configuration in force on ``node`` or a newer one."""
        revision = self.status(node)["revision"]
        for other in self.nodes:
            wait_until(
                lambda other=other: self.status(other)["revision"] >= revision,
                f"{other} has revision {revision} in force",
            )

    def wait_configuration(self, node: str) -> None:
        """Wait until a node has read its configuration; before that it rejects changes."""
        self.wait_http(f"http://{self.operator_address(node)}/v1/objects")

    def wait_http(self, url: str) -> None:
        """Wait until a GET request for a URL returns status 200."""

        def responds() -> bool:
            try:
                return self.http.request("GET", url, timeout=2).status == 200
            except urllib3.exceptions.HTTPError:
                return False

        wait_until(responds, url)

    def machines(self) -> list[dict]:
        """Return the machine list entries of all engines, with their proxies' addresses if any."""
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
                (proxy_host, _KEY_VALUE_PORT), (f"{self._network_prefix}.1", _KEY_VALUE_PORT)
            )

    def _start_platform(self) -> None:
        key_value = {
            "address": self.key_value_address,
            "requests_per_second": self._key_value_requests_per_second,
        }
        self._start("key-value", _module_command("standins.key_value_server", key_value))
        machines_path = self.directory / "machines.json"
        machines_path.write_text(json.dumps(self.machines()))
        machine_list = {"address": self.machine_list_address, "machines": str(machines_path)}
        self._start("machine-list", _module_command("standins.machine_list_server", machine_list))
        weight_store = {"address": self.weight_store_address}
        self._start("weight-store", _module_command("standins.weight_store_server", weight_store))
        self.wait_http(f"http://{self.machine_list_address}/machines")
        self.wait_http(f"http://{self.weight_store_address}/counts")

    def _prepare_node(self, name: str) -> None:
        spec = self.nodes[name]
        seeds = [f"{self.host(other, proxied=True)}:{_PEERS_PORT}" for other in self.nodes]
        node = {
            "name": name,
            "zone": spec.zone,
            "callers": self.caller_address(name),
            "operators": self.operator_address(name),
            "peers": f"{self.host(name)}:{_PEERS_PORT}",
            "advertised": f"{self.host(name, proxied=True)}:{_PEERS_PORT}",
            "seeds": seeds,
        }
        platform = {
            "key_value": self._key_value_address_of(name),
            "machine_list": self.machine_list_address,
        }
        settings_path = self.directory / f"{name}.toml"
        sections = {"node": node, "platform": platform, "limits": spec.limits}
        settings_path.write_text("\n".join(_toml_section(*section) for section in sections.items()))
        command = [sys.executable, "-m", "wheelslip.cli", "node", "--settings", str(settings_path)]
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


def wait_until(
    condition: Callable[[], bool], description: str, timeout: float = START_TIMEOUT_SECONDS
) -> float:
    """Poll a condition until it is true.

    :param description: the expected condition, for the error message.
    :param timeout: seconds to wait.
    :return: seconds until the condition was true.
    :raises AssertionError: when the condition is not true in time.
    """
    start_time = time.monotonic()
    while True:
        if condition():
            return time.monotonic() - start_time
        if time.monotonic() - start_time > timeout:
            raise AssertionError(f"condition not met within {timeout:g} s: {description}")
        time.sleep(_POLL_SECONDS)


def read_events(response: urllib3.BaseHTTPResponse) -> Iterator[tuple[str, str]]:
    """Yield ``(event name, data)`` for each event of a server-sent event stream."""
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


def _module_command(module: str, flags: dict[str, object]) -> list[str]:
    return [sys.executable, "-m", module, *[f"--{name}={value}" for name, value in flags.items()]]


def _toml_section(name: str, values: dict[str, object]) -> str:
    lines = [f"[{name}]", *[f"{key} = {json.dumps(value)}" for key, value in values.items()]]
    return "\n".join(lines) + "\n"
