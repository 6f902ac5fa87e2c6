"""Thread that runs the membership protocol over UDP."""

import contextlib
import queue
import random
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from wheelslip.documents import DocumentError
from wheelslip.events import LogEvent, log_event
from wheelslip.peers.connection import PeerCaller, PeerUnreachable, TrafficCounts
from wheelslip.peers.membership import Membership, MembershipOptions
from wheelslip.peers.membership_effects import (
    Effect,
    MemberChanged,
    RecordChanged,
    RevisionSeen,
    Send,
    SyncNeeded,
)
from wheelslip.peers.messages import (
    Datagram,
    MemberInfo,
    MemberState,
    PrefixLookup,
    PrefixMessage,
    PrefixReply,
    PrefixUpdate,
    Record,
    SyncReply,
    SyncRequest,
)
from wheelslip.settings import Address
from wheelslip.wire import decode_frame, encode_frame

_TICK_SECONDS = 0.1
_SYNC_TIMEOUT_SECONDS = 1.0
_MAX_DATAGRAM_BYTES = 65536

_MEMBER_EVENTS = {
    MemberState.ALIVE: LogEvent.MEMBER_ALIVE,
    MemberState.SUSPECT: LogEvent.MEMBER_SUSPECTED,
    MemberState.DEAD: LogEvent.MEMBER_DEAD,
    MemberState.LEFT: LogEvent.MEMBER_LEFT,
}


def log_member_state(member: MemberInfo) -> None:
    """Log the new state of a member."""
    log_event(_MEMBER_EVENTS[member.state], member=member.name, zone=member.zone)


@dataclass(frozen=True)
class MembershipView:
    """Immutable snapshot of the membership for other threads.

    :ivar live_members: alive and suspect members, ordered by name, including the local one.
    :ivar all_members: every member of the table, including dead and departed ones.
    """

    live_members: tuple[MemberInfo, ...] = ()
    all_members: tuple[MemberInfo, ...] = ()


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
    reply: "queue.SimpleQueue[SyncReply]"


@dataclass(frozen=True)
class _Leave:
    done: threading.Event


_Message = _Publish | _AnnounceRevision | _Merge | _Sync | _Leave


class MembershipTask:
    """Runs :class:`Membership` over UDP in a thread of its own.

    The callbacks are called from this thread.

    :param on_revision: called with the address of a peer and its higher revision.
    :param on_record: called with each record that is added or replaced in the table, including
        those published locally, in the order in which the table applied them. The versions of
        a key are therefore reported in increasing order.
    :param on_member: called with each member whose state changed.
    :param on_prefix: called with each message about prefixes.
    :ivar view: current membership, safe to read from any thread.
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
        on_member: Callable[[MemberInfo], None] = log_member_state,
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
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Announce the departure of this node and stop."""
        done = threading.Event()
        self._mailbox.put(_Leave(done))
        done.wait(1.0)
        self.terminate()

    def terminate(self) -> None:
        """Stop without announcing the departure, as in a crash."""
        self._stopping.set()
        self._thread.join()
        self._socket.close()

    def publish(self, key: str, value: object) -> None:
        """Write a replicated record asynchronously."""
        self._mailbox.put(_Publish(key, value))

    def announce_revision(self, revision: int) -> None:
        """Announce the current configuration revision to other members."""
        self._mailbox.put(_AnnounceRevision(revision))

    def handle_sync(self, request: SyncRequest) -> SyncReply:
        """Merge the table of a peer and return the records that are newer here."""
        reply: queue.SimpleQueue[SyncReply] = queue.SimpleQueue()
        self._mailbox.put(_Sync(request.records, reply))
        try:
            return reply.get(timeout=_SYNC_TIMEOUT_SECONDS)
        except queue.Empty:
            # The thread is busy; a later digest comparison triggers another synchronization.
            return SyncReply(())

    def _run(self) -> None:
        while not self._stopping.is_set():
            now = time.monotonic()
            self._drain_mailbox(now)
            self._apply_effects(self._membership.tick(now))
            self._receive(now + _TICK_SECONDS)

    def _receive(self, deadline: float) -> None:
        """Receive and process datagrams up to the time of the next tick."""
        while (remaining := deadline - time.monotonic()) > 0:
            self._socket.settimeout(remaining)
            try:
                frame, _ = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except OSError:
                return
            self.traffic.count_received(len(frame))
            try:
                self._dispatch_datagram(decode_frame(frame, Datagram))
            except DocumentError as error:
                log_event(LogEvent.PEER_MESSAGE_REFUSED, reason=str(error))

    def _dispatch_datagram(self, message: Datagram) -> None:
        if isinstance(message, PrefixLookup | PrefixReply | PrefixUpdate):
            self._on_prefix(message)
        else:
            self._apply_effects(self._membership.receive(message, time.monotonic()))

    def _drain_mailbox(self, now: float) -> None:
        with contextlib.suppress(queue.Empty):
            while True:
                self._handle_message(self._mailbox.get_nowait(), now)

    def _handle_message(self, message: _Message, now: float) -> None:
        membership = self._membership
        if isinstance(message, _Publish):
            self._apply_effects(membership.publish(message.key, message.value))
        elif isinstance(message, _AnnounceRevision):
            self._apply_effects(membership.announce_revision(message.revision))
        elif isinstance(message, _Merge):
            self._apply_effects(membership.merge(message.records, now))
        elif isinstance(message, _Sync):
            reply = SyncReply(membership.newer_records(message.records))
            self._apply_effects(membership.merge(message.records, now))
            message.reply.put(reply)
        else:
            self._apply_effects(membership.leave(now))
            message.done.set()

    def _apply_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._send(effect)
            elif isinstance(effect, RevisionSeen):
                self._on_revision(effect.address, effect.revision)
            elif isinstance(effect, RecordChanged):
                self._on_record(effect.record)
            elif isinstance(effect, MemberChanged):
                self._on_member(effect.member)
            elif isinstance(effect, SyncNeeded):
                self._sync_with(effect.address)
        if any(isinstance(effect, MemberChanged) for effect in effects):
            self._refresh_view()

    def _refresh_view(self) -> None:
        members = sorted(self._membership.live_members(), key=lambda member: member.name)
        self.view = MembershipView(tuple(members), tuple(self._membership.all_members()))

    def send_prefix_message(self, address: str, message: PrefixMessage) -> None:
        """Send a prefix message immediately, from the calling thread.

        The mailbox would delay it by up to one tick. Sending a datagram is atomic; only the
        membership thread receives from the socket.
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
        """Synchronize tables in a short-lived thread, so that pings are not delayed."""
        request = SyncRequest(self._membership.table_records())

        def exchange() -> None:
            try:
                reply = self._caller.call(address, request, _SYNC_TIMEOUT_SECONDS)
            except PeerUnreachable:
                return
            if isinstance(reply, SyncReply):
                self._mailbox.put(_Merge(reply.records))

        threading.Thread(target=exchange, name="table-sync", daemon=True).start()
