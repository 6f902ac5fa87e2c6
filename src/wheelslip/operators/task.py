"""Keeps a node's configuration up to date from peers and the key-value service."""

import contextlib
import queue
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from wheelslip.events import LogEvent, log_event
from wheelslip.keyvalue.model import KeyValueError
from wheelslip.operators.configuration import (
    NO_REVISION,
    Configuration,
    ConfigurationChange,
    ConfigurationState,
)
from wheelslip.operators.holder import ConfigurationReplica
from wheelslip.operators.store import ConfigurationStore, RevisionGap
from wheelslip.peers.connection import PeerCaller, PeerUnreachable
from wheelslip.peers.messages import (
    ConfigurationPull,
    ConfigurationPush,
    ConfigurationReply,
    MemberInfo,
    RevisionReply,
)
from wheelslip.routing import rendezvous

BOOT_WAIT_SECONDS = 1.0
"""Maximum wait at boot for the initial state from the seeds and the key-value service."""

_PEER_TIMEOUT_SECONDS = 1.0
_WATCH_RETRY_SECONDS = 1.0
_WATCH_START_DELAY_SECONDS = 3.0
_WATCHER_KEY = "configuration-watch"
_REPLICATION_PEERS = 2
_WATCHER_CHECK_SECONDS = 0.5


@dataclass(frozen=True)
class _PeerRevision:
    """Revision that a peer reported."""

    address: str
    revision: int


@dataclass(frozen=True)
class _ReceivedChange:
    """An accepted change, which is not yet replicated to peers."""

    change: ConfigurationChange


@dataclass(frozen=True)
class _ReceivedState:
    """A complete state.

    :ivar replicated: whether it came from a peer, which holds it too.
    """

    state: ConfigurationState
    replicated: bool


@dataclass(frozen=True)
class _BootState:
    """Result of one read at boot.

    :ivar from_store: whether it was read from the key-value service.
    :ivar state: ``None`` if the read failed or the peer has no configuration.
    """

    from_store: bool
    state: ConfigurationState | None


_Message = _PeerRevision | _ReceivedChange | _ReceivedState


class ConfigurationTask:
    """Updates the configuration of this node.

    One thread processes all updates. A second one watches the key-value service while this
    node is the watcher of its zone.

    :param store: ``None`` if no key-value service is configured.
    :param members: returns the live members.
    :param on_in_force: called with each new configuration in force, from the update thread.
    """

    def __init__(
        self,
        this_node: MemberInfo,
        caller: PeerCaller,
        seeds: tuple[str, ...],
        store: ConfigurationStore | None,
        members: Callable[[], tuple[MemberInfo, ...]],
        on_in_force: Callable[[Configuration], None],
    ):
        self._this_node = this_node
        self._caller = caller
        self._seeds = tuple(seed for seed in seeds if seed != this_node.address)
        self._store = store
        self._members = members
        self._on_in_force = on_in_force
        self._replica = ConfigurationReplica()
        self._mailbox: queue.SimpleQueue[_Message] = queue.SimpleQueue()
        self._stopping = threading.Event()
        self._changed = threading.Condition()
        self._threads = [
            threading.Thread(target=self._run, name="configuration", daemon=True),
            threading.Thread(target=self._watch_loop, name="configuration-watch", daemon=True),
        ]

    @property
    def in_force(self) -> Configuration | None:
        """The configuration in force, or ``None`` before the first."""
        return self._replica.in_force

    @property
    def held_revision(self) -> int:
        """The revision held, which may be ahead of the one in force."""
        return self._replica.state.revision

    def start(self) -> None:
        """Start the threads; the initial state is read in the background."""
        for thread in self._threads:
            thread.start()
        boot = threading.Thread(target=self._boot, name="configuration-boot", daemon=True)
        boot.start()

    def stop(self) -> None:
        """Signal the threads to end."""
        self._stopping.set()

    def record_peer_revision(self, address: str, revision: int) -> None:
        """Record the revision of a peer; it is pulled from the peer if it is newer."""
        self._mailbox.put(_PeerRevision(address, revision))

    def apply_accepted(self, change: ConfigurationChange) -> None:
        """Queue a change that was accepted through this node."""
        self._mailbox.put(_ReceivedChange(change))

    def wait_in_force(self, revision: int, timeout_seconds: float) -> bool:
        """Wait until at least ``revision`` is in force on this node.

        :return: ``False`` on timeout.
        """
        with self._changed:
            return self._changed.wait_for(
                lambda: self.in_force is not None and self.in_force.revision >= revision,
                timeout_seconds,
            )

    def handle_pull(self, request: ConfigurationPull) -> ConfigurationReply:
        """Return the changes after a peer's revision, or the full state if they are not all retained."""
        state = self._replica.state
        changes = self._replica.changes_after(request.since)
        if changes is None or request.since == 0:
            return ConfigurationReply(state.revision, state=state)
        return ConfigurationReply(state.revision, changes)

    def handle_push(self, request: ConfigurationPush) -> RevisionReply:
        """Queue a peer's state and reply once it is in force or after a timeout."""
        self._mailbox.put(_ReceivedState(request.state, replicated=True))
        self.wait_in_force(request.state.revision, _PEER_TIMEOUT_SECONDS)
        return self.revision_reply()

    def revision_reply(self) -> RevisionReply:
        """Return the revision in force on this node."""
        revision = self.in_force.revision if self.in_force else 0
        return RevisionReply(self._this_node.name, self._this_node.zone, revision)

    def _run(self) -> None:
        while not self._stopping.is_set():
            with contextlib.suppress(queue.Empty):
                self._handle(self._mailbox.get(timeout=0.5))

    def _handle(self, message: _Message) -> None:
        if isinstance(message, _PeerRevision):
            if message.revision > self.held_revision:
                self._pull(message.address)
        elif isinstance(message, _ReceivedChange):
            if self._replica.apply_change(message.change):
                self._replicate()
            elif message.change.revision > self.held_revision:
                # An earlier change is missing: read the full state instead.
                self._read_snapshot()
            self._activate()
        elif message.replicated:
            self._replica.replace_state(message.state)
            self._activate()
        else:
            if self._replica.replace_state(message.state):
                self._replicate()
            self._activate(allow_empty=message.state.revision == NO_REVISION)

    def _pull(self, address: str) -> None:
        request = ConfigurationPull(self.held_revision)
        try:
            reply = self._caller.call(address, request, _PEER_TIMEOUT_SECONDS)
        except PeerUnreachable:
            return
        if not isinstance(reply, ConfigurationReply):
            return
        if reply.state is not None:
            self._replica.replace_state(reply.state)
        for change in reply.changes:
            self._replica.apply_change(change)
        self._activate()

    def _read_snapshot(self) -> None:
        if self._store is None:
            return
        with contextlib.suppress(KeyValueError):
            if self._replica.replace_state(self._store.read()):
                self._replicate()

    def _replicate(self) -> None:
        """Push the held state to peers, those in other zones first.

        Called before the state is put in force. Unreachable peers are skipped; there is no error
        if too few peers could be reached.
        """
        others = [member for member in self._members() if member.name != self._this_node.name]
        random.shuffle(others)
        others.sort(key=lambda member: member.zone == self._this_node.zone)
        push = ConfigurationPush(self._replica.state)
        copies = 0
        for member in others[: 2 * _REPLICATION_PEERS]:
            with contextlib.suppress(PeerUnreachable):
                self._caller.call(member.address, push, _PEER_TIMEOUT_SECONDS)
                copies += 1
            if copies == _REPLICATION_PEERS:
                return

    def _activate(self, allow_empty: bool = False) -> None:
        if not self._replica.activate(allow_empty):
            return
        configuration = self._replica.in_force
        log_event(LogEvent.CONFIGURATION_IN_FORCE, revision=configuration.revision)
        self._on_in_force(configuration)
        with self._changed:
            self._changed.notify_all()

    def _boot(self) -> None:
        """Read the initial state from the seeds and the key-value service concurrently."""
        results: queue.SimpleQueue[_BootState] = queue.SimpleQueue()
        threads = [
            threading.Thread(target=self._boot_from_peer, args=(seed, results), daemon=True)
            for seed in self._seeds
        ]
        if self._store is not None:
            threads.append(
                threading.Thread(target=self._boot_from_store, args=(results,), daemon=True)
            )
        for thread in threads:
            thread.start()
        best = self._select_boot_state(results, len(threads))
        if best is not None:
            self._mailbox.put(_ReceivedState(best.state, replicated=not best.from_store))

    @staticmethod
    def _select_boot_state(results: queue.SimpleQueue, expected: int) -> "_BootState | None":
        """Return the received state with the highest revision, or ``None``.

        Waits for the state from the key-value service, for all ``expected`` results or for
        :data:`BOOT_WAIT_SECONDS`, whichever comes first.
        """
        best: _BootState | None = None
        deadline = time.monotonic() + BOOT_WAIT_SECONDS
        for _ in range(expected):
            try:
                result = results.get(timeout=max(0, deadline - time.monotonic()))
            except queue.Empty:
                return best
            if result.state is None:
                continue
            if best is None or result.state.revision > best.state.revision:
                best = result
            if result.from_store:
                return best
        return best

    def _boot_from_peer(self, address: str, results: queue.SimpleQueue) -> None:
        state = None
        with contextlib.suppress(PeerUnreachable):
            reply = self._caller.call(address, ConfigurationPull(0), _PEER_TIMEOUT_SECONDS)
            if isinstance(reply, ConfigurationReply) and reply.revision > 0:
                state = reply.state
        results.put(_BootState(False, state))

    def _boot_from_store(self, results: queue.SimpleQueue) -> None:
        state = None
        with contextlib.suppress(KeyValueError):
            state = self._store.read()
        results.put(_BootState(True, state))

    def _watch_loop(self) -> None:
        """Watch the key-value service while this node is the watcher of its zone."""
        if self._store is None:
            return
        if self._seeds:
            # Until other members are discovered, every node would be the watcher of its zone
            # and a simultaneous start of many nodes would overload the service.
            self._stopping.wait(_WATCH_START_DELAY_SECONDS * random.uniform(0.75, 1.25))
        while not self._stopping.wait(_WATCHER_CHECK_SECONDS):
            if not self._is_watcher():
                continue
            try:
                self._watch_once()
            except (KeyValueError, RevisionGap) as error:
                log_event(LogEvent.KEY_VALUE_UNAVAILABLE, reason=str(error))
                # Jitter prevents the watchers of all zones from reconnecting together.
                self._stopping.wait(_WATCH_RETRY_SECONDS * random.uniform(0.5, 1.5))

    def _watch_once(self) -> None:
        state = self._store.read()
        self._mailbox.put(_ReceivedState(state, replicated=False))
        for change in self._store.watch(state):
            if change is not None:
                self._mailbox.put(_ReceivedChange(change))
            if self._stopping.is_set() or not self._is_watcher():
                return

    def _is_watcher(self) -> bool:
        """Return whether rendezvous hashing selects this node among the zone's live members."""
        zone = self._this_node.zone
        names = [member.name for member in self._members() if member.zone == zone]
        return rendezvous.owner(f"{_WATCHER_KEY}/{zone}", names) == self._this_node.name
