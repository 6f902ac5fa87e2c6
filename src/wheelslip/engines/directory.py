"""Directory of the engines and their states.

An engine counts as leaving when the machine list, its own status or an operator's drain
reports so. One node of its zone, selected by rendezvous hashing, reads its status and
publishes it to the other nodes as a replicated record.
"""

import queue
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

import msgspec

from wheelslip.documents import decode_document
from wheelslip.engines.client import EngineClient, EngineError
from wheelslip.events import LogEvent, log_event
from wheelslip.machines.client import (
    Machine,
    MachineListClient,
    MachineListUnavailable,
    MachineRole,
    MachineState,
)
from wheelslip.peers.messages import MemberInfo, Record
from wheelslip.routing import rendezvous
from wheelslip.routing.model import EngineInfo, EngineState
from wheelslip.routing.task import RouterTask

ENGINE_KEY_PREFIX = "e/"
MACHINE_LIST_INTERVAL_SECONDS = 2.0
STATUS_INTERVAL_SECONDS = 1.0
FAILED_READS_UNTIL_DOWN = 2
"""Consecutive failed status reads after which an engine counts as down."""

_MIN_CHECK_INTERVAL_SECONDS = 0.2
_READER_ROLE = "engine-reader"
_STATE_EVENTS = {
    EngineState.SERVING: LogEvent.ENGINE_UP,
    EngineState.LEAVING: LogEvent.ENGINE_LEAVING,
    EngineState.DOWN: LogEvent.ENGINE_DOWN,
}


class EngineRecord(msgspec.Struct, frozen=True, array_like=True):
    """Status of an engine, as replicated between nodes."""

    address: str
    zone: str
    incarnation: str
    model: str
    weights_version: str
    state: EngineState

    def info(self, name: str) -> EngineInfo:
        """Return the scheduler's description of the engine."""
        return EngineInfo(
            name,
            self.address,
            self.zone,
            self.incarnation,
            self.model,
            self.weights_version,
            self.state,
        )


@dataclass(frozen=True)
class _CheckRequested:
    engine: str


@dataclass(frozen=True)
class _RecordReceived:
    engine: str
    record: EngineRecord


@dataclass(frozen=True)
class _DrainsChanged:
    engines: frozenset[str]


@dataclass(frozen=True)
class _AbortRequested:
    engine: EngineInfo
    attempt_id: str


_Message = _CheckRequested | _RecordReceived | _DrainsChanged


def effective_state(reported: EngineState, machine: Machine | None, drained: bool) -> EngineState:
    """Return an engine's state for routing, from its status, its machine and the drains.

    The machine list is updated with a delay, so an engine whose machine is not listed may
    still be running; it counts as leaving.

    :param reported: state in the engine's record.
    :param machine: ``None`` when the machine is not listed.
    :param drained: whether an operator drained the engine.
    """
    if reported is not EngineState.SERVING:
        return reported
    if drained or machine is None or machine.state is MachineState.LEAVING:
        return EngineState.LEAVING
    return EngineState.SERVING


def assigned_engines(
    this_node: MemberInfo, members: tuple[MemberInfo, ...], machines: Iterable[Machine]
) -> tuple[str, ...]:
    """Return the names of the engines whose status this node reads.

    Each engine is assigned to one live node of its zone by rendezvous hashing, or to one of
    all live nodes when its zone has none.
    """
    zones = {member.zone for member in members}
    same_zone = [member.name for member in members if member.zone == this_node.zone]
    all_names = [member.name for member in members]
    assigned = []
    for machine in machines:
        if machine.role is not MachineRole.ENGINE:
            continue
        if machine.zone != this_node.zone and machine.zone in zones:
            continue
        names = same_zone if machine.zone == this_node.zone else all_names
        if rendezvous.owner(f"{_READER_ROLE}/{machine.name}", names) == this_node.name:
            assigned.append(machine.name)
    return tuple(assigned)


class EngineDirectory:
    """Tracks the engines and reports their states to the router task.

    :param this_node: membership record of this node.
    :param members: returns the live nodes, among which status reads are distributed.
    :param publish: publishes a replicated record, given its key and value.
    """

    def __init__(
        self,
        this_node: MemberInfo,
        machine_list: MachineListClient,
        client: EngineClient,
        router: RouterTask,
        members: Callable[[], tuple[MemberInfo, ...]],
        publish: Callable[[str, object], None],
    ):
        self._this_node = this_node
        self._machine_list = machine_list
        self._client = client
        self._router = router
        self._members = members
        self._publish = publish
        self._machines: dict[str, Machine] = {}
        self._records: dict[str, EngineRecord] = {}
        self._reported: dict[str, EngineInfo] = {}
        self._drained: frozenset[str] = frozenset()
        self._failed_reads: dict[str, int] = {}
        self._checked_at: dict[str, float] = {}
        self._assigned_engines: tuple[str, ...] = ()
        self._assigned_for_members: tuple[MemberInfo, ...] | None = None
        self._assigned_for_machines: dict[str, Machine] | None = None
        self._next_machine_list_read = 0.0
        self._next_status_read = 0.0
        self._list_failing = False
        self._mailbox: queue.SimpleQueue[_Message] = queue.SimpleQueue()
        self._aborts: queue.SimpleQueue[_AbortRequested] = queue.SimpleQueue()
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, name="engine-directory", daemon=True),
            threading.Thread(target=self._abort_loop, name="engine-aborts", daemon=True),
        ]

    def start(self) -> None:
        """Start the directory's threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the threads."""
        self._stopping.set()

    def engines(self) -> list[EngineInfo]:
        """Return the engines as last reported to the router, sorted by name."""
        return sorted(self._reported.values(), key=lambda info: info.name)

    def schedule_check(self, engine: str) -> None:
        """Schedule a status read, even if the engine is assigned to another node.

        It is skipped when the status was read very recently.
        """
        self._mailbox.put(_CheckRequested(engine))

    def set_drained(self, engines: frozenset[str]) -> None:
        """Set the names of the engines that operators have drained."""
        self._mailbox.put(_DrainsChanged(engines))

    def apply_record(self, record: Record) -> None:
        """Apply a replicated record; records of other kinds are ignored."""
        if record.key.startswith(ENGINE_KEY_PREFIX):
            engine_record = decode_document(record.value, EngineRecord)
            self._mailbox.put(
                _RecordReceived(record.key.removeprefix(ENGINE_KEY_PREFIX), engine_record)
            )

    def abort_later(self, engine: EngineInfo, attempt_id: str) -> None:
        """Abort an attempt in the background."""
        self._aborts.put(_AbortRequested(engine, attempt_id))

    def _abort_loop(self) -> None:
        while not self._stopping.is_set():
            try:
                abort = self._aborts.get(timeout=0.5)
            except queue.Empty:
                continue
            self._client.abort(abort.engine, abort.attempt_id)

    def _run(self) -> None:
        while not self._stopping.is_set():
            now = time.monotonic()
            if now >= self._next_machine_list_read:
                self._next_machine_list_read = now + MACHINE_LIST_INTERVAL_SECONDS
                self._read_machine_list()
            if now >= self._next_status_read:
                self._next_status_read = now + STATUS_INTERVAL_SECONDS
                self._read_assigned_engines()
            next_pass = min(self._next_machine_list_read, self._next_status_read)
            try:
                message = self._mailbox.get(timeout=max(0.0, next_pass - time.monotonic()))
            except queue.Empty:
                continue
            self._handle_message(message)

    def _handle_message(self, message: _Message) -> None:
        if isinstance(message, _CheckRequested):
            recent = time.monotonic() - self._checked_at.get(message.engine, 0.0)
            if message.engine in self._machines and recent >= _MIN_CHECK_INTERVAL_SECONDS:
                self._read_status(message.engine)
        elif isinstance(message, _RecordReceived):
            self._records[message.engine] = message.record
            self._report_engine(message.engine)
        else:
            changed = self._drained ^ message.engines
            self._drained = message.engines
            for name in changed:
                self._report_engine(name)

    def _read_machine_list(self) -> None:
        try:
            listed = self._machine_list.read()
        except MachineListUnavailable as error:
            if not self._list_failing:
                log_event(LogEvent.MACHINE_LIST_UNAVAILABLE, reason=str(error))
            self._list_failing = True
            return
        self._list_failing = False
        machines = {machine.name: machine for machine in listed}
        if machines == self._machines:
            return
        self._machines = machines
        for name in list(self._records):
            self._report_engine(name)

    def _read_assigned_engines(self) -> None:
        members = self._members()
        if (
            members is not self._assigned_for_members
            or self._machines is not self._assigned_for_machines
        ):
            # Recomputed only after a change: hashing every engine on each pass is expensive.
            self._assigned_for_members, self._assigned_for_machines = members, self._machines
            self._assigned_engines = assigned_engines(
                self._this_node, members, self._machines.values()
            )
        for name in self._assigned_engines:
            self._read_status(name)

    def _read_status(self, name: str) -> None:
        machine = self._machines[name]
        self._checked_at[name] = time.monotonic()
        try:
            status = self._client.status(machine.address)
        except EngineError:
            self._failed_reads[name] = self._failed_reads.get(name, 0) + 1
            if self._failed_reads[name] >= FAILED_READS_UNTIL_DOWN and name in self._records:
                self._update_record(
                    name, msgspec.structs.replace(self._records[name], state="down")
                )
            return
        self._failed_reads[name] = 0
        record = EngineRecord(
            machine.address,
            machine.zone,
            status.incarnation,
            status.model,
            status.weights_version,
            status.engine_state(),
        )
        self._update_record(name, record)
        self._router.observe_load(name, status.running, status.waiting)

    def _update_record(self, name: str, record: EngineRecord) -> None:
        record = msgspec.structs.replace(record, state=EngineState(record.state))
        if self._records.get(name) == record:
            return
        self._records[name] = record
        self._publish(ENGINE_KEY_PREFIX + name, record)
        self._report_engine(name)

    def _report_engine(self, name: str) -> None:
        """Report an engine's effective state to the router if it has changed."""
        record = self._records.get(name)
        if record is None:
            return
        machine = self._machines.get(name)
        state = effective_state(record.state, machine, name in self._drained)
        info = replace(record.info(name), state=state)
        previous = self._reported.get(name)
        if info == previous:
            return
        self._reported[name] = info
        self._log_change(info, previous)
        self._router.update_engine(info)

    @staticmethod
    def _log_change(info: EngineInfo, previous: EngineInfo | None) -> None:
        fields = {"engine": info.name, "incarnation": info.incarnation, "zone": info.zone}
        if previous is None or previous.state is not info.state:
            log_event(_STATE_EVENTS[info.state], **fields)
        if previous is not None and previous.incarnation != info.incarnation:
            log_event(LogEvent.ENGINE_REPLACED, **fields)
        if previous is not None and previous.weights_version != info.weights_version:
            version = info.weights_version
            log_event(LogEvent.ENGINE_VERSION_CHANGED, weights_version=version, **fields)
