"""SWIM-style membership protocol, implemented without I/O.

In each period a member pings one other member, in shuffled order. When the ping is not
acknowledged in time, several other members are requested to ping the target; when no
acknowledgement arrives, the target is marked as suspect. A suspect member refutes the
suspicion by publishing a higher incarnation, otherwise it is declared dead after the suspicion
timeout. Records of engines are replicated in the same table as the members.

:meth:`Membership.tick` and :meth:`Membership.receive` return effects for the caller to apply.
"""

import math
import random
from dataclasses import dataclass

import msgspec

from wheelslip.documents import decode_document
from wheelslip.peers.member_record import MEMBER_PREFIX, incarnation_of, member_record
from wheelslip.peers.membership_effects import (
    Effect,
    MemberChanged,
    RecordChanged,
    RevisionSeen,
    Send,
    SyncNeeded,
)
from wheelslip.peers.messages import (
    Ack,
    Announce,
    Header,
    IndirectPing,
    MemberInfo,
    MembershipMessage,
    MemberState,
    Ping,
    Record,
)
from wheelslip.peers.table import ReplicatedTable

MAX_PIGGYBACK_BYTES = 900
"""Bytes of piggybacked records in one datagram; keeps it below the usual path MTU."""

MAX_RECORDS_PER_ANNOUNCEMENT = 8
"""Records in one announcement datagram."""

MAX_PENDING_ANNOUNCEMENTS = 64
"""Records queued for announcement; others spread by piggybacking and table synchronization."""

_BASE_GOSSIP_ROUNDS = 5
"""Gossip rounds covered by ``suspicion_seconds``; larger clusters get proportionally longer."""


@dataclass(frozen=True)
class MembershipOptions:
    """Timeouts, intervals and fan-outs of the membership protocol.

    :ivar period_seconds: mean interval between probes, and time until a probe fails.
    :ivar direct_timeout_seconds: time without an acknowledgement until indirect probes are sent.
    :ivar suspicion_seconds: time for a suspect to refute, before scaling by cluster size.
    :ivar sync_interval_seconds: mean minimum interval between table synchronizations.
    :ivar sync_quiet_seconds: time without table changes before a synchronization.
    :ivar sync_overdue_seconds: delay after which a synchronization starts despite changes.
    :ivar dead_retention_seconds: time until dead and departed members are removed.
    :ivar reconnect_periods: periods between pings of a seed or an unavailable member.
    :ivar indirect_probes: members requested to ping an unresponsive target.
    :ivar announce_fanout: members that receive each announcement.
    :ivar announce_interval_seconds: minimum interval between announcements.
    :ivar tick_seconds: expected interval between calls of :meth:`Membership.tick`.
    :ivar late_tick_seconds: delay of a tick above which pending timeouts are extended.
    """

    period_seconds: float = 1.0
    direct_timeout_seconds: float = 0.4
    suspicion_seconds: float = 3.0
    sync_interval_seconds: float = 5.0
    sync_quiet_seconds: float = 0.5
    sync_overdue_seconds: float = 10.0
    dead_retention_seconds: float = 600.0
    reconnect_periods: int = 5
    indirect_probes: int = 3
    announce_fanout: int = 3
    announce_interval_seconds: float = 0.4
    tick_seconds: float = 0.1
    late_tick_seconds: float = 0.3


@dataclass
class _Probe:
    """The outstanding ping of the current period."""

    target: MemberInfo
    sequence: int
    sent_at: float
    indirect_sent: bool = False


@dataclass(frozen=True)
class _RelayedPing:
    """A ping sent on behalf of another member."""

    requester_address: str
    requester_sequence: int


class Membership:
    """Protocol state of one member.

    Not thread-safe.

    :param member: the local member.
    :param incarnation: initial incarnation of the local member.
    :ivar revision: configuration revision reported to other members.
    """

    def __init__(
        self,
        member: MemberInfo,
        incarnation: int,
        options: MembershipOptions,
        random_source: random.Random,
    ):
        self._local_member = member
        self._incarnation = incarnation
        self._options = options
        self._random = random_source
        self._table = ReplicatedTable()
        self._members: dict[str, MemberInfo] = {}
        self._suspected_at: dict[str, float] = {}
        self._dead_at: dict[str, float] = {}
        self._probe: _Probe | None = None
        self._probe_order: list[str] = []
        self._relayed_pings: dict[int, _RelayedPing] = {}
        self._sequence = 0
        self._next_period = 0.0
        self._periods = 0
        self._next_sync = 0.0
        self._next_announce = 0.0
        self._last_tick_at = float("inf")
        self._table_changed_at = float("-inf")
        self._pending_announcements: list[Record] = []
        self._seeds: tuple[str, ...] = ()
        self._tables_differ = True
        self.revision = 0
        self._write_local_member(MemberState.ALIVE)

    @property
    def name(self) -> str:
        """Name of the local member."""
        return self._local_member.name

    @property
    def table_digest(self) -> int:
        """Digest of all records in the table."""
        return self._table.digest

    def live_members(self) -> list[MemberInfo]:
        """Return all alive and suspect members, including the local one."""
        live = (MemberState.ALIVE, MemberState.SUSPECT)
        return [member for member in self._members.values() if member.state in live]

    def all_members(self) -> list[MemberInfo]:
        """Return all members, including dead and departed ones until their removal."""
        return list(self._members.values())

    def records(self, prefix: str) -> list[Record]:
        """Return the replicated records whose key starts with ``prefix``."""
        return self._table.with_prefix(prefix)

    def table_records(self) -> tuple[Record, ...]:
        """Return all records, for a table synchronization."""
        return self._table.records()

    def newer_records(self, records: tuple[Record, ...]) -> tuple[Record, ...]:
        """Return the local records that are newer than, or missing from, ``records``."""
        return self._table.records_newer_than(records)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Set the addresses used to join the cluster.

        They are pinged while no other member is live, and periodically afterwards.
        """
        self._seeds = tuple(seed for seed in seeds if seed != self._local_member.address)

    def publish(self, key: str, value: object) -> list[Effect]:
        """Write a record and queue it for announcement."""
        record = self._table.write(key, value, len(self._members))
        self._pending_announcements.append(record)
        return [RecordChanged(record)]

    def leave(self, now: float) -> list[Effect]:
        """Mark the local member as departed and announce it."""
        self._write_local_member(MemberState.LEFT)
        self._pending_announcements.append(self._table.get(MEMBER_PREFIX + self.name))
        return self._announce(self._options.announce_fanout * 2)

    def announce_revision(self, revision: int) -> list[Effect]:
        """Announce a new configuration revision to a few members."""
        self.revision = revision
        return self._announce(self._options.announce_fanout)

    def tick(self, now: float) -> list[Effect]:
        """Run the timers and return the resulting effects."""
        effects: list[Effect] = []
        self._compensate_late_tick(now)
        effects += self._check_probe(now)
        effects += self._check_suspicions(now)
        if self._pending_announcements and now >= self._next_announce:
            self._next_announce = now + self._options.announce_interval_seconds
            effects += self._announce(self._options.announce_fanout)
        if now >= self._next_period:
            effects += self._begin_period(now)
        return effects

    def merge(self, records: tuple[Record, ...], now: float) -> list[Effect]:
        """Merge records received from a peer."""
        effects: list[Effect] = []
        for record in records:
            if record.key == MEMBER_PREFIX + self.name:
                self._refute(record)
            elif self._table.merge(record, len(self._members)):
                self._table_changed_at = now
                # Only records that changed the table are announced again, so gossip ends.
                self._pending_announcements.append(record)
                effects += self._record_changed(record, now)
        return effects

    def receive(self, message: MembershipMessage, now: float) -> list[Effect]:
        """Process one received message."""
        effects: list[Effect] = []
        if not isinstance(message, IndirectPing):
            effects += self.merge(message.records, now)
        effects += self._compare_header(message.header, now)
        if isinstance(message, Ping):
            effects.append(Send(message.header.address, self._ack(message)))
        elif isinstance(message, Ack):
            effects += self._handle_ack(message)
        elif isinstance(message, IndirectPing):
            effects.append(self._relay_ping(message))
        return effects

    def _compensate_late_tick(self, now: float) -> None:
        """Drop the probe and extend suspicions when this tick is late.

        A paused or overloaded process reads acknowledgements late. Without this adjustment it
        would declare live members dead, and their refutations would add to its load.
        """
        delay = now - self._last_tick_at - self._options.tick_seconds
        self._last_tick_at = now
        if delay < self._options.late_tick_seconds:
            return
        self._probe = None
        for name in self._suspected_at:
            self._suspected_at[name] += delay

    def _begin_period(self, now: float) -> list[Effect]:
        jitter = self._random.uniform(0.9, 1.1)
        self._next_period = now + self._options.period_seconds * jitter
        self._periods += 1
        effects: list[Effect] = []
        target = self._next_target()
        if target is not None and self._probe is None:
            self._sequence += 1
            self._probe = _Probe(target, self._sequence, now)
            effects.append(Send(target.address, self._ping(self._sequence, target.name)))
        if target is None or self._periods % self._options.reconnect_periods == 0:
            effects += self._ping_unreachable(now)
        return effects

    def _next_target(self) -> MemberInfo | None:
        while True:
            if not self._probe_order:
                others = [member.name for member in self.live_members()]
                self._probe_order = [name for name in others if name != self.name]
                self._random.shuffle(self._probe_order)
            if not self._probe_order:
                return None
            member = self._members.get(self._probe_order.pop())
            if member is not None and member.state in (MemberState.ALIVE, MemberState.SUSPECT):
                return member

    def _ping_unreachable(self, now: float) -> list[Effect]:
        """Ping the address of a random seed or member that is not live.

        This reunites partitions and discovers seeds that start later.
        """
        live = {member.address for member in self.live_members()}
        all_addresses = [member.address for member in self._members.values()]
        candidates = [addr for addr in {*all_addresses, *self._seeds} if addr not in live]
        if not candidates:
            return []
        self._sequence += 1
        address = self._random.choice(sorted(candidates))
        return [Send(address, self._ping(self._sequence, None))]

    def _check_probe(self, now: float) -> list[Effect]:
        probe = self._probe
        if probe is None:
            return []
        if now - probe.sent_at >= self._options.period_seconds:
            self._probe = None
            return self._suspect(probe.target.name, now)
        if probe.indirect_sent or now - probe.sent_at < self._options.direct_timeout_seconds:
            return []
        probe.indirect_sent = True
        helpers = self._random_members(self._options.indirect_probes, {probe.target.name})
        request = IndirectPing(self._header(), probe.sequence, probe.target.address)
        return [Send(helper.address, request) for helper in helpers]

    def _suspect(self, name: str, now: float) -> list[Effect]:
        member = self._members.get(name)
        if member is None or member.state is not MemberState.ALIVE:
            return []
        return self._declare(member, MemberState.SUSPECT, now)

    def _suspicion_seconds(self) -> float:
        """Return the time to refute a suspicion, which grows with the number of members."""
        scale = math.log2(len(self._members) + 1) / _BASE_GOSSIP_ROUNDS
        return self._options.suspicion_seconds * max(1.0, scale)

    def _check_suspicions(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for name, suspected_at in list(self._suspected_at.items()):
            if now - suspected_at >= self._suspicion_seconds():
                effects += self._declare(self._members[name], MemberState.DEAD, now)
        for name, dead_at in list(self._dead_at.items()):
            if now - dead_at >= self._options.dead_retention_seconds:
                del self._dead_at[name]
                del self._members[name]
                self._table.remove(MEMBER_PREFIX + name)
        return effects

    def _declare(self, member: MemberInfo, state: MemberState, now: float) -> list[Effect]:
        """Record a new state of another member at its current incarnation."""
        record = self._table.get(MEMBER_PREFIX + member.name)
        incarnation = incarnation_of(record)
        declared = member_record(msgspec.structs.replace(member, state=state), incarnation)
        self._table.merge(declared, len(self._members))
        self._pending_announcements.append(declared)
        return self._record_changed(declared, now)

    def _record_changed(self, record: Record, now: float) -> list[Effect]:
        if not record.key.startswith(MEMBER_PREFIX):
            return [RecordChanged(record)]
        member = decode_document(record.value, MemberInfo)
        previous = self._members.get(member.name)
        self._members[member.name] = member
        self._suspected_at.pop(member.name, None)
        self._dead_at.pop(member.name, None)
        if member.state is MemberState.SUSPECT:
            self._suspected_at[member.name] = now
        elif member.state in (MemberState.DEAD, MemberState.LEFT):
            self._dead_at[member.name] = now
        if previous is None or previous.state is not member.state:
            return [MemberChanged(member)]
        return []

    def _refute(self, record: Record) -> None:
        """Override a newer record of the local member with a higher incarnation."""
        current = self._table.get(record.key)
        if not record.newer_than(current):
            return
        self._incarnation = incarnation_of(record) + 1
        self._write_local_member(self._local_member.state)
        self._pending_announcements.append(self._table.get(record.key))

    def _write_local_member(self, state: MemberState) -> None:
        self._local_member = msgspec.structs.replace(self._local_member, state=state)
        self._members[self.name] = self._local_member
        record = member_record(self._local_member, self._incarnation)
        self._table.merge(record, len(self._members))

    def _compare_header(self, header: Header, now: float) -> list[Effect]:
        effects: list[Effect] = []
        self._tables_differ = header.digest != self._table.digest
        if header.revision > self.revision:
            effects.append(RevisionSeen(header.address, header.revision))
        # Tables differ while records are still spreading. Waiting for a quiet interval keeps
        # simultaneously starting nodes from exchanging whole tables continuously.
        quiet = now - self._table_changed_at >= self._options.sync_quiet_seconds
        overdue = now - self._next_sync >= self._options.sync_overdue_seconds
        if self._tables_differ and now >= self._next_sync and (quiet or overdue):
            interval = self._options.sync_interval_seconds * self._random.uniform(0.75, 1.25)
            self._next_sync = now + interval
            effects.append(SyncNeeded(header.address))
        return effects

    def _ack(self, ping: Ping) -> Ack:
        return Ack(self._header(), ping.sequence, self._piggybacked_records(ping.header.name))

    def _handle_ack(self, ack: Ack) -> list[Effect]:
        relayed = self._relayed_pings.pop(ack.sequence, None)
        if relayed is not None:
            return [Send(relayed.requester_address, Ack(ack.header, relayed.requester_sequence))]
        if self._probe is not None and ack.sequence == self._probe.sequence:
            self._probe = None
        return []

    def _relay_ping(self, request: IndirectPing) -> Send:
        self._sequence += 1
        self._relayed_pings[self._sequence] = _RelayedPing(request.header.address, request.sequence)
        if len(self._relayed_pings) > 64:
            del self._relayed_pings[next(iter(self._relayed_pings))]
        return Send(request.target, Ping(self._header(), self._sequence))

    def _ping(self, sequence: int, target: str | None) -> Ping:
        return Ping(self._header(), sequence, self._piggybacked_records(target))

    def _piggybacked_records(self, receiver: str | None) -> tuple[Record, ...]:
        # No records are sent while the tables agree, which keeps datagrams of an idle cluster
        # small.
        gossip = self._table.next_gossip(MAX_PIGGYBACK_BYTES) if self._tables_differ else ()
        receiver_record = self._table.get(MEMBER_PREFIX + receiver) if receiver else None
        if receiver_record is None or receiver_record in gossip:
            return gossip
        if self._members[receiver].state is MemberState.ALIVE:
            return gossip
        # A suspect or dead member must receive its own record to be able to refute it.
        return (*gossip, receiver_record)

    def _announce(self, fanout: int) -> list[Effect]:
        records = tuple(self._pending_announcements[:MAX_RECORDS_PER_ANNOUNCEMENT])
        self._pending_announcements = self._pending_announcements[MAX_RECORDS_PER_ANNOUNCEMENT:][
            :MAX_PENDING_ANNOUNCEMENTS
        ]
        message = Announce(self._header(), records)
        return [Send(member.address, message) for member in self._random_members(fanout, set())]

    def _random_members(self, count: int, excluded: set[str]) -> list[MemberInfo]:
        excluded = excluded | {self.name}
        candidates = [
            member
            for member in self._members.values()
            if member.state is MemberState.ALIVE and member.name not in excluded
        ]
        return self._random.sample(candidates, min(count, len(candidates)))

    def _header(self) -> Header:
        return Header(self.name, self._local_member.address, self.revision, self._table.digest)
