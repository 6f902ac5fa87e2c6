"""The ``wheelslip`` command.

Exit status: 0 success, 1 refused or failed, 2 invalid usage, 3 unknown outcome.
"""

import json
import signal
import sys
import threading
import time
import uuid

import fire

from wheelslip import __version__
from wheelslip.events import configure_logging
from wheelslip.node import Node
from wheelslip.operators.client import OperatorClient, OperatorRequestRefused, OutcomeUnknown
from wheelslip.operators.declarations import DrainSpec, Kind, ObjectKey, PolicySpec, check_spec
from wheelslip.operators.files import DeclarationsInvalid, read_declarations
from wheelslip.operators.policy import PolicyError, PolicyProgram, failed_cases
from wheelslip.settings import Settings, SettingsError, load_settings
from wheelslip.tables import format_table

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3

DEFAULT_NODE = "127.0.0.1:8101"
"""Operator address used when ``--node`` is not given."""

_APPLY_TIMEOUT_SECONDS = 11.0
_POLL_INTERVAL_SECONDS = 0.2


class PolicyCommands:
    """Check and test policies without a node."""

    def check(self, file: str) -> None:
        """Check that the policies in FILE parse and evaluate on sample facts.

        Example: wheelslip policy check examples/thibodeau/policies.yaml
        """
        for name, spec in _read_policies(file):
            _compile_policy(name, spec)
            print(f"{name}: ok")

    def test(self, file: str) -> None:
        """Run the test cases of the policies in FILE.

        Example: wheelslip policy test examples/thibodeau/policies.yaml
        """
        failed = 0
        for name, spec in _read_policies(file):
            try:
                failures = failed_cases(_compile_policy(name, spec), spec)
            except PolicyError as exc:
                failures = [str(exc)]
            failed += len(failures)
            for failure in failures:
                print(f"{name}: FAILED {failure}")
            print(f"{name}: {len(spec.cases)} cases, {len(failures)} failed")
        if failed:
            sys.exit(EXIT_REFUSED)


class Commands:
    """Wheelslip: a router for language-model traffic with long shared prompts."""

    def __init__(self):
        self.policy = PolicyCommands()

    def version(self) -> None:
        """Print the version.

        Example: wheelslip version
        """
        print(__version__)

    def node(self, settings: str, **flags: object) -> None:
        """Run a node with a SETTINGS file; flags such as --zone override its [node] keys.

        Example: wheelslip node --settings node.toml --name node-1 --zone worcester
        """
        checked = _load_settings(settings, flags)
        configure_logging(checked.node.name, checked.node.zone)
        _run_node(checked)

    def check_settings(self, settings: str, **flags: object) -> None:
        """Validate a SETTINGS file and flags without starting a node.

        Example: wheelslip check-settings --settings node.toml
        """
        checked = _load_settings(settings, flags)
        print(f"{settings}: ok, node {checked.node.name} in zone {checked.node.zone}")

    def apply(
        self,
        path: str,
        node: str = DEFAULT_NODE,
        expected_revision: int | None = None,
        change_id: str | None = None,
        wait: float = _APPLY_TIMEOUT_SECONDS,
        output: str = "table",
    ) -> None:
        """Apply the declarations in PATH, a YAML file or folder, and wait until all zones use them.

        Example: wheelslip apply examples/thibodeau --node 127.0.0.1:8101
        """
        objects = _read_objects(path)
        client = OperatorClient(node)
        current = _call(client.objects)
        changed = _print_difference(current.objects, objects, output)
        if not changed and expected_revision in (None, current.revision):
            _print_outcome("unchanged", current.revision, output)
            return
        expected = current.revision if expected_revision is None else expected_revision
        _apply_and_wait(client, objects, expected, change_id, wait, output)

    def diff(self, path: str, node: str = DEFAULT_NODE) -> None:
        """Print what applying PATH would change; exit with status 1 if there are changes.

        Example: wheelslip diff examples/thibodeau
        """
        objects = _read_objects(path)
        if _print_difference(_call(OperatorClient(node).objects).objects, objects, "table"):
            sys.exit(EXIT_REFUSED)

    def get(self, name: str = "", node: str = DEFAULT_NODE, output: str = "table") -> None:
        """Print declared objects: all, those of one Kind, or a single Kind/name.

        Example: wheelslip get Workload/lookup --output json
        """
        current = _call(OperatorClient(node).objects)
        kind = name.partition("/")[0]
        selected = {
            key: spec
            for key, spec in current.objects.items()
            if not name or key == name or (key.startswith(f"{kind}/") and name == kind)
        }
        if name and not selected:
            _fail(EXIT_REFUSED, f"{name}: not declared")
        if output == "json":
            print(json.dumps({"revision": current.revision, "objects": selected}, indent=2))
            return
        rows = [(key, json.dumps(spec)) for key, spec in sorted(selected.items())]
        print(format_table(("OBJECT", "SPEC"), rows))
        print(f"revision {current.revision}")

    def delete(
        self, name: str, node: str = DEFAULT_NODE, wait: float = _APPLY_TIMEOUT_SECONDS
    ) -> None:
        """Delete the declared object Kind/name.

        Example: wheelslip delete Workload/lookup
        """
        _apply_one(node, _parse_object_key(name), None, wait)

    def drain(
        self, engine: str, reason: str = "", node: str = DEFAULT_NODE, wait: float = 11.0
    ) -> None:
        """Stop sending new requests to an engine.

        Example: wheelslip drain engine-3 --reason "memory fault"
        """
        key = ObjectKey(Kind.DRAIN, engine)
        check_spec(Kind.DRAIN, {"reason": reason})
        _apply_one(node, key, {"reason": DrainSpec(reason).reason}, wait)

    def undrain(self, engine: str, node: str = DEFAULT_NODE, wait: float = 11.0) -> None:
        """Resume sending requests to a drained engine.

        Example: wheelslip undrain engine-3
        """
        _apply_one(node, ObjectKey(Kind.DRAIN, engine), None, wait)

    def status(self, node: str = DEFAULT_NODE, output: str = "table") -> None:
        """Print nodes, engines and the configuration revision in force in each zone.

        Example: wheelslip status --node 127.0.0.1:8101
        """
        client = OperatorClient(node)
        status = _call(client.status)
        zones = _call(client.revisions)
        if output == "json":
            status["zones"] = [{"zone": zone.zone, "revision": zone.revision} for zone in zones]
            print(json.dumps(status, indent=2))
            return
        print(f"node {status['node']}  zone {status['zone']}  revision {status['revision']}\n")
        members = [
            (member["name"], member["zone"], member["state"]) for member in status["members"]
        ]
        print(format_table(("NODE", "ZONE", "STATE"), members) + "\n")
        engines = [
            (
                engine["name"],
                engine["zone"],
                engine["model"],
                engine["weights_version"],
                engine["state"],
            )
            for engine in status["engines"]
        ]
        print(format_table(("ENGINE", "ZONE", "MODEL", "VERSION", "STATE"), engines) + "\n")
        rows = [(zone.zone, zone.revision, zone.nodes, len(zone.silent_nodes)) for zone in zones]
        print(format_table(("ZONE", "REVISION", "NODES", "SILENT"), rows))


def main() -> None:
    """Run the command line."""
    fire.Fire(Commands(), name="wheelslip")


def _fail(status: int, message: str) -> None:
    print(message, file=sys.stderr)
    sys.exit(status)


def _load_settings(path: str, flags: dict[str, object]) -> Settings:
    sections = {"key_value": "platform", "machine_list": "platform"}
    overrides = {
        f"{sections.get(name, 'node')}.{name}": list(value) if name == "seeds" else value
        for name, value in flags.items()
    }
    try:
        return load_settings(path, overrides)
    except SettingsError as exc:
        _fail(EXIT_USAGE, str(exc))


def _run_node(settings: Settings) -> None:
    stop = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop.set())
    try:
        node = Node(settings)
        node.start()
    except OSError as exc:
        _fail(EXIT_USAGE, f"cannot start: {exc}")
    stop.wait()
    unfinished = node.stop()
    sys.exit(EXIT_REFUSED if unfinished else 0)


def _read_objects(path: str) -> dict[str, dict[str, object]]:
    try:
        return read_declarations(path)
    except DeclarationsInvalid as exc:
        _fail(EXIT_REFUSED, str(exc))


def _call(function, *arguments):
    try:
        return function(*arguments)
    except OperatorRequestRefused as exc:
        _fail(EXIT_REFUSED, f"refused ({exc.kind}): {exc}")
    except OutcomeUnknown as exc:
        _fail(EXIT_UNKNOWN, f"unknown outcome: {exc}")


def _print_difference(
    current: dict[str, dict[str, object]], desired: dict[str, dict[str, object]], output: str
) -> bool:
    changed = {key: spec for key, spec in desired.items() if current.get(key) != spec}
    for key in sorted(changed):
        if output == "table":
            print(f"{'change' if key in current else 'create'} {key}")
    return bool(changed)


def _print_outcome(outcome: str, revision: int, output: str) -> None:
    if output == "json":
        print(json.dumps({"outcome": outcome, "revision": revision}))
    else:
        print(f"{outcome} at revision {revision}")


def _apply_and_wait(
    client: OperatorClient,
    objects: dict[str, dict[str, object] | None],
    expected: int,
    change_id: str | None,
    wait: float,
    output: str = "table",
) -> None:
    result = _call(client.apply, objects, expected, change_id or uuid.uuid4().hex)
    _print_outcome(result.outcome, result.revision, output)
    if wait and not _wait_in_force(client, result.revision, wait, output == "table"):
        _fail(EXIT_REFUSED, f"accepted, but not in force in every zone after {wait:g} s")


def _wait_in_force(client: OperatorClient, revision: int, wait: float, show_progress: bool) -> bool:
    deadline = time.monotonic() + wait
    reported_zones: set[str] = set()
    while True:
        zones = _call(client.revisions)
        for zone in zones:
            in_force = zone.revision >= revision and not zone.silent_nodes
            if in_force and zone.zone not in reported_zones:
                reported_zones.add(zone.zone)
                if show_progress:
                    print(f"in force in zone {zone.zone} ({zone.nodes} nodes)")
        if len(reported_zones) == len(zones):
            return True
        if time.monotonic() >= deadline:
            return False
        time.sleep(_POLL_INTERVAL_SECONDS)


def _apply_one(node: str, key: ObjectKey, spec: dict[str, object] | None, wait: float) -> None:
    client = OperatorClient(node)
    current = _call(client.objects)
    if spec is None and str(key) not in current.objects:
        _fail(EXIT_REFUSED, f"{key}: not declared")
    _apply_and_wait(client, {str(key): spec}, current.revision, None, wait)


def _parse_object_key(text: str) -> ObjectKey:
    try:
        return ObjectKey.parse(text)
    except ValueError as exc:
        _fail(EXIT_USAGE, str(exc))


def _read_policies(file: str) -> list[tuple[str, PolicySpec]]:
    policies = []
    for key, spec in _read_objects(file).items():
        if key.startswith(f"{Kind.POLICY.value}/"):
            policies.append((key, check_spec(Kind.POLICY, spec)))
    if not policies:
        _fail(EXIT_REFUSED, f"{file}: declares no Policy")
    return policies


def _compile_policy(name: str, spec: PolicySpec) -> PolicyProgram:
    try:
        return PolicyProgram(name, spec.program)
    except PolicyError as exc:
        _fail(EXIT_REFUSED, f"{name}: {exc}")


if __name__ == "__main__":
    main()
