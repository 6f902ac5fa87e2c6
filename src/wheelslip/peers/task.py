"""The membership task: owns the datagram socket and the membership state."""

import contextlib
import queue
import random
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from wheelslip.events import LogEvent, log_event
from wheelslip.peers.connection import PeerCaller, PeerUnreachable, TrafficCounts
from wheelslip.peers.membership import Membership, MembershipOptions
from wheelslip.peers.membership_effects import (
    Effect,
    MemberChanged,
    RecordChanged,
    RevisionSeen,
    Send,
    SyncWanted,
)
from wheelslip.peers.messages import (
    Datagram,
    MemberInfo,
    MemberState,
    PrefixAnswer,
    PrefixAsk,
    PrefixMessage,
    PrefixTell,
    Record,
    SyncAnswer,
    SyncRequest,
)
from wheelslip.settings import Address
from wheelslip.wire import FrameError, decode_frame, encode_frame

_TICK_SECONDS = 0.1
_SYNC_TIMEOUT_SECONDS = 1.0
_MAX_DATAGRAM_BYTES = 65536

_MEMBER_EVENTS = {
    MemberState.ALIVE: LogEvent.MEMBER_ALIVE,
    MemberState.SUSPECT: LogEvent.MEMBER_SUSPECTED,
    MemberState.DEAD: LogEvent.MEMBER_DEAD,
    MemberState.LEFT: LogEvent.MEMBER_LEFT,
}


def log_member(member: MemberInfo) -> None:
    """Log a member's new state."""
    log_event(_MEMBER_EVENTS[member.state], member=member.name, zone=member.zone)


@dataclass(frozen=True)
class MembershipView:
    """What other tasks see of the membership; replaced whole at each change."""

    members: tuple[MemberInfo, ...] = ()
    known: tuple[MemberInfo, ...] = ()


@dataclass(frozen=True)
class _Publish:
    key: str
    value: object


@dataclass(frozen=True)
class _AnnounceRevision:
    revision: int


@dataclass(frozen=True)
class _Merge:
    records: tuple[Record, ...]


@dataclass(frozen=True)
class _Sync:
    records: tuple[Record, ...]
    reply: "queue.SimpleQueue[SyncAnswer]"


@dataclass(frozen=True)
class _Leave:
    done: threading.Event


_Message = _Publish | _AnnounceRevision | _Merge | _Sync | _Leave


class MembershipTask:
    """Runs :class:`Membership` over UDP.

    :param on_revision: called with a peer's address and the higher revision it holds.
    :param on_record: called with each record that enters the table, this node's own ones too:
        a peer's record may enter before an own one that was written earlier, and only the
        order of the table is the same at all nodes.
    :param on_member: called with each member whose state changed.
    :param on_prefix: called with each message about prefixes.
    :ivar view: members now, safe to read from any thread.
    :ivar traffic: control traffic counters.
    """

    def __init__(
        self,
        bind_address: str,
        member: MemberInfo,
        seeds: tuple[str, ...],
        on_revision: Callable[[str, int], None],
        on_record: Callable[[Record], None],
        caller: PeerCaller,
        traffic: TrafficCounts,
        on_member: Callable[[MemberInfo], None] = log_member,
        on_prefix: Callable[[PrefixMessage], None] = lambda message: None,
        options: MembershipOptions | None = None,
    ):
        bind = Address.parse(bind_address)
        self._caller = caller
        self._on_member = on_member
        self._on_prefix = on_prefix
        self._on_revision = on_revision
        self._on_record = on_record
        self._membership = Membership(
            member, int(time.time()), options or MembershipOptions(), random.Random()
        )
        self._membership.set_seeds(seeds)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((bind.host, bind.port))
        self._mailbox: queue.SimpleQueue[_Message] = queue.SimpleQueue()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="membership", daemon=True)
        self.traffic = traffic
        self.view = MembershipView()
        self._refresh_view()

    def start(self) -> None:
        """Begin to take part."""
        self._thread.start()

    def stop(self) -> None:
        """Tell the others that this node leaves, and end."""
        done = threading.Event()
        self._mailbox.put(_Leave(done))
        done.wait(1.0)
        self.abandon()

    def abandon(self) -> None:
        """End without telling the others, as a crash does; for the scale run."""
        self._stopping.set()
        self._thread.join()
        self._socket.close()

    def publish(self, key: str, value: object) -> None:
        """Write a replicated record."""
        self._mailbox.put(_Publish(key, value))

    def announce_revision(self, revision: int) -> None:
        """Tell others of the configuration revision now held."""
        self._mailbox.put(_AnnounceRevision(revision))

    def answer_sync(self, request: SyncRequest) -> SyncAnswer:
        """Take a peer's table and return what is known better here."""
        reply: queue.SimpleQueue[SyncAnswer] = queue.SimpleQueue()
        self._mailbox.put(_Sync(request.records, reply))
        try:
            return reply.get(timeout=_SYNC_TIMEOUT_SECONDS)
        except queue.Empty:
            # Too busy to compare tables now; the asker finds the difference again later.
            return SyncAnswer(())

    def _run(self) -> None:
        while not self._stopping.is_set():
            now = time.monotonic()
            self._take_messages(now)
            self._carry_out(self._membership.tick(now))
            self._receive(now + _TICK_SECONDS)

    def _receive(self, until: float) -> None:
        """Take datagrams until the next tick is due."""
        while (remaining := until - time.monotonic()) > 0:
            self._socket.settimeout(remaining)
            try:
                frame, _ = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except OSError:
                return
            self.traffic.count_received(len(frame))
            try:
                self._take_datagram(decode_frame(frame, Datagram))
            except (FrameError, msgspec.MsgspecError) as error:
                log_event(LogEvent.PEER_MESSAGE_REFUSED, reason=str(error))

    def _take_datagram(self, message: Datagram) -> None:
        if isinstance(message, PrefixAsk | PrefixAnswer | PrefixTell):
            self._on_prefix(message)
        else:
            self._carry_out(self._membership.receive(message, time.monotonic()))

    def _take_messages(self, now: float) -> None:
        with contextlib.suppress(queue.Empty):
            while True:
                self._take(self._mailbox.get_nowait(), now)

    def _take(self, message: _Message, now: float) -> None:
        membership = self._membership
        if isinstance(message, _Publish):
            self._carry_out(membership.publish(message.key, message.value))
        elif isinstance(message, _AnnounceRevision):
            self._carry_out(membership.announce_revision(message.revision))
        elif isinstance(message, _Merge):
            self._carry_out(membership.merge(message.records, now))
        elif isinstance(message, _Sync):
            answer = SyncAnswer(membership.newer_records(message.records))
            self._carry_out(membership.merge(message.records, now))
            message.reply.put(answer)
        else:
            self._carry_out(membership.leave(now))
            message.done.set()

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._send(effect)
            elif isinstance(effect, RevisionSeen):
                self._on_revision(effect.address, effect.revision)
            elif isinstance(effect, RecordChanged):
                self._on_record(effect.record)
            elif isinstance(effect, MemberChanged):
                self._on_member(effect.member)
            elif isinstance(effect, SyncWanted):
                self._sync_with(effect.address)
        if any(isinstance(effect, MemberChanged) for effect in effects):
            self._refresh_view()

    def _refresh_view(self) -> None:
        members = sorted(self._membership.live_members(), key=lambda member: member.name)
        self.view = MembershipView(tuple(members), tuple(self._membership.all_members()))

    def send_prefix(self, address: str, message: PrefixMessage) -> None:
        """Send a prefix message at once, from the calling thread.

        The mailbox would delay it by up to a tick, longer than the answer takes. Sending one
        datagram is atomic; the socket stays this task's to receive from and to close.
        """
        self._send_datagram(address, message)

    def _send(self, effect: Send) -> None:
        self._send_datagram(effect.address, effect.message)

    def _send_datagram(self, address: str, message: Datagram) -> None:
        frame = encode_frame(message)
        target = Address.parse(address)
        self.traffic.count_sent(len(frame))
        with contextlib.suppress(OSError):
            self._socket.sendto(frame, (target.host, target.port))

    def _sync_with(self, address: str) -> None:
        """Exchange tables in a short-lived thread, so that heartbeats go on meanwhile."""
        request = SyncRequest(self._membership.table_records())

        def exchange() -> None:
            try:
                answer = self._caller.call(address, request, _SYNC_TIMEOUT_SECONDS)
            except PeerUnreachable:
                return
            if isinstance(answer, SyncAnswer):
                self._mailbox.put(_Merge(answer.records))

        threading.Thread(target=exchange, name="table-sync", daemon=True).start()
