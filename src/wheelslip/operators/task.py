"""The configuration task: owns the held state, pulls it from peers and puts it in force."""

import contextlib
import queue
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from wheelslip.events import LogEvent, log_event
from wheelslip.keyvalue.model import KeyValueError
from wheelslip.operators.configuration import (
    NO_REVISION,
    Configuration,
    ConfigurationChange,
    ConfigurationState,
)
from wheelslip.operators.holder import ConfigurationHolder
from wheelslip.operators.store import ConfigurationStore, GapInChanges
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
"""Longest wait at boot for the remaining seeds once one has answered."""

_PEER_TIMEOUT_SECONDS = 1.0
_WATCH_RETRY_SECONDS = 1.0
_WATCH_GRACE_SECONDS = 3.0
_WATCH_DUTY = "configuration-watch"
_PUSH_COPIES = 2
_DUTY_CHECK_SECONDS = 0.5


@dataclass(frozen=True)
class _RevisionSeen:
    address: str
    revision: int


@dataclass(frozen=True)
class _ChangeRead:
    """A change from the key-value service, which no peer may hold yet."""

    change: ConfigurationChange


@dataclass(frozen=True)
class _StateRead:
    """A whole state; ``shared`` when the peer that sent it holds it too."""

    state: ConfigurationState
    shared: bool


@dataclass(frozen=True)
class _BootAnswer:
    """One answer to the questions asked at boot; no state when there was none."""

    from_store: bool
    state: ConfigurationState | None


_Message = _RevisionSeen | _ChangeRead | _StateRead


class ConfigurationTask:
    """Keeps this node's configuration rising.

    :param members: returns the live members.
    :param on_in_force: called at each new configuration in force, from this task's thread.
    """

    def __init__(
        self,
        me: MemberInfo,
        caller: PeerCaller,
        seeds: tuple[str, ...],
        store: ConfigurationStore | None,
        members: Callable[[], tuple[MemberInfo, ...]],
        on_in_force: Callable[[Configuration], None],
    ):
        self._me = me
        self._caller = caller
        self._seeds = tuple(seed for seed in seeds if seed != me.address)
        self._store = store
        self._members = members
        self._on_in_force = on_in_force
        self._holder = ConfigurationHolder()
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
        return self._holder.in_force

    @property
    def held_revision(self) -> int:
        """The revision held, which may be ahead of the one in force."""
        return self._holder.state.revision

    def start(self) -> None:
        """Ask peers and the key-value service at once, then follow changes."""
        for thread in self._threads:
            thread.start()
        boot = threading.Thread(target=self._boot, name="configuration-boot", daemon=True)
        boot.start()

    def stop(self) -> None:
        """End the task."""
        self._stopping.set()

    def see_revision(self, address: str, revision: int) -> None:
        """Take word that a peer holds a revision."""
        self._mailbox.put(_RevisionSeen(address, revision))

    def take_accepted(self, change: ConfigurationChange) -> None:
        """Take a change that was accepted through this node."""
        self._mailbox.put(_ChangeRead(change))

    def wait_in_force(self, revision: int, timeout_seconds: float) -> bool:
        """Wait until at least ``revision`` is in force here; return whether it is."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self.in_force is not None and self.in_force.revision >= revision,
                timeout_seconds,
            )

    def answer_pull(self, request: ConfigurationPull) -> ConfigurationReply:
        """Answer a peer that asks for what follows its revision."""
        state = self._holder.state
        changes = self._holder.changes_after(request.since)
        if changes is None or request.since == 0:
            return ConfigurationReply(state.revision, state=state)
        return ConfigurationReply(state.revision, changes)

    def take_push(self, request: ConfigurationPush) -> RevisionReply:
        """Take a state from a peer, which counts it as held here once answered."""
        self._mailbox.put(_StateRead(request.state, shared=True))
        self.wait_in_force(request.state.revision, _PEER_TIMEOUT_SECONDS)
        return self.answer_revision()

    def answer_revision(self) -> RevisionReply:
        """Return the revision in force here."""
        revision = self.in_force.revision if self.in_force else 0
        return RevisionReply(self._me.name, self._me.zone, revision)

    def _run(self) -> None:
        while not self._stopping.is_set():
            with contextlib.suppress(queue.Empty):
                self._take(self._mailbox.get(timeout=0.5))

    def _take(self, message: _Message) -> None:
        if isinstance(message, _RevisionSeen):
            if message.revision > self.held_revision:
                self._pull(message.address)
        elif isinstance(message, _ChangeRead):
            if self._holder.hold_change(message.change):
                self._share()
            elif message.change.revision > self.held_revision:
                # A change between is missing here; whoever accepted it is ahead of us.
                self._read_whole()
            self._enforce()
        elif message.shared:
            self._holder.hold_state(message.state)
            self._enforce()
        else:
            if self._holder.hold_state(message.state):
                self._share()
            self._enforce(allow_empty=message.state.revision == NO_REVISION)

    def _pull(self, address: str) -> None:
        request = ConfigurationPull(self.held_revision)
        try:
            answer = self._caller.call(address, request, _PEER_TIMEOUT_SECONDS)
        except PeerUnreachable:
            return
        if not isinstance(answer, ConfigurationReply):
            return
        if answer.state is not None:
            self._holder.hold_state(answer.state)
        for change in answer.changes:
            self._holder.hold_change(change)
        self._enforce()

    def _read_whole(self) -> None:
        if self._store is None:
            return
        with contextlib.suppress(KeyValueError):
            if self._holder.hold_state(self._store.read()):
                self._share()

    def _share(self) -> None:
        """Hand the held state to peers before it is in force here, another zone's first."""
        others = [member for member in self._members() if member.name != self._me.name]
        random.shuffle(others)
        others.sort(key=lambda member: member.zone == self._me.zone)
        push = ConfigurationPush(self._holder.state)
        copies = 0
        for member in others[: 2 * _PUSH_COPIES]:
            with contextlib.suppress(PeerUnreachable):
                self._caller.call(member.address, push, _PEER_TIMEOUT_SECONDS)
                copies += 1
            if copies == _PUSH_COPIES:
                return

    def _enforce(self, allow_empty: bool = False) -> None:
        if not self._holder.enforce(allow_empty):
            return
        configuration = self._holder.in_force
        log_event(LogEvent.CONFIGURATION_IN_FORCE, revision=configuration.revision)
        self._on_in_force(configuration)
        with self._changed:
            self._changed.notify_all()

    def _boot(self) -> None:
        """Take the highest state of the first adequate set of answers.

        The service's answer alone is adequate. Without it, all seeds' answers are, or those
        that came within :data:`BOOT_WAIT_SECONDS`.
        """
        answers: queue.SimpleQueue[_BootAnswer] = queue.SimpleQueue()
        threads = [
            threading.Thread(target=self._boot_from_peer, args=(seed, answers), daemon=True)
            for seed in self._seeds
        ]
        if self._store is not None:
            threads.append(
                threading.Thread(target=self._boot_from_store, args=(answers,), daemon=True)
            )
        for thread in threads:
            thread.start()
        best = self._first_adequate(answers, len(threads))
        if best is not None:
            self._mailbox.put(_StateRead(best.state, shared=not best.from_store))

    @staticmethod
    def _first_adequate(answers: queue.SimpleQueue, asked: int) -> "_BootAnswer | None":
        best: _BootAnswer | None = None
        give_up_at = time.monotonic() + BOOT_WAIT_SECONDS
        for _ in range(asked):
            try:
                answer = answers.get(timeout=max(0, give_up_at - time.monotonic()))
            except queue.Empty:
                return best
            if answer.state is None:
                continue
            if best is None or answer.state.revision > best.state.revision:
                best = answer
            if answer.from_store:
                return best
        return best

    def _boot_from_peer(self, address: str, answers: queue.SimpleQueue) -> None:
        state = None
        with contextlib.suppress(PeerUnreachable):
            answer = self._caller.call(address, ConfigurationPull(0), _PEER_TIMEOUT_SECONDS)
            if isinstance(answer, ConfigurationReply) and answer.revision > 0:
                state = answer.state
        answers.put(_BootAnswer(False, state))

    def _boot_from_store(self, answers: queue.SimpleQueue) -> None:
        state = None
        with contextlib.suppress(KeyValueError, msgspec.MsgspecError):
            state = self._store.read()
        answers.put(_BootAnswer(True, state))

    def _watch_loop(self) -> None:
        """Watch the service for this zone while this node holds that duty."""
        if self._store is None:
            return
        if self._seeds:
            # A node that knows nobody yet would hold every duty of its zone; a herd of them
            # would all watch and flatten the service.
            self._stopping.wait(_WATCH_GRACE_SECONDS * random.uniform(0.75, 1.25))
        while not self._stopping.wait(_DUTY_CHECK_SECONDS):
            if not self._holds_watch_duty():
                continue
            try:
                self._watch_once()
            except (KeyValueError, GapInChanges) as error:
                log_event(LogEvent.KEY_VALUE_UNAVAILABLE, reason=str(error))
                # Jitter keeps the zones' holders from coming back all together.
                self._stopping.wait(_WATCH_RETRY_SECONDS * random.uniform(0.5, 1.5))

    def _watch_once(self) -> None:
        state = self._store.read()
        self._mailbox.put(_StateRead(state, shared=False))
        for change in self._store.watch(state):
            if change is not None:
                self._mailbox.put(_ChangeRead(change))
            if self._stopping.is_set() or not self._holds_watch_duty():
                return

    def _holds_watch_duty(self) -> bool:
        zone = self._me.zone
        names = [member.name for member in self._members() if member.zone == zone]
        return rendezvous.owner(f"{_WATCH_DUTY}/{zone}", names) == self._me.name
