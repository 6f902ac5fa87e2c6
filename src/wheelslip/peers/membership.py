"""Membership as pure code: heartbeats, suspicion, incarnations, rumours.

Each period a member pings one other, in shuffled order. Without an answer it asks three
others to try; without any it spreads a suspicion. The suspect refutes with a higher
incarnation or is declared dead after the suspicion time. Records of engines travel in the
same table. No I/O: :meth:`Membership.tick` and :meth:`Membership.receive` return effects.
"""

import math
import random
from dataclasses import dataclass

import msgspec

from wheelslip.peers.member_record import MEMBER_PREFIX, incarnation_of, member_record
from wheelslip.peers.membership_effects import (
    Effect,
    MemberChanged,
    RecordChanged,
    RevisionSeen,
    Send,
    SyncWanted,
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

MAX_RUMOUR_BYTES = 900
"""Rumour bytes in one datagram, so that it stays under a common path MTU."""

MAX_ANNOUNCED = 8
"""Records in one announcement."""

MAX_PENDING_NEWS = 64
"""News kept for further announcements; the rest travels as rumours and by table exchange."""

_SUSPICION_ROUNDS = 5


@dataclass(frozen=True)
class MembershipOptions:
    """Times in seconds, and how many members a step involves."""

    period_seconds: float = 1.0
    direct_timeout_seconds: float = 0.4
    suspicion_seconds: float = 3.0
    sync_interval_seconds: float = 5.0
    sync_quiet_seconds: float = 0.5
    sync_overdue_seconds: float = 10.0
    forget_dead_seconds: float = 600.0
    retry_dead_periods: int = 5
    indirect_probes: int = 3
    announce_fanout: int = 3
    announce_interval_seconds: float = 0.4
    tick_seconds: float = 0.1
    late_tick_seconds: float = 0.3


@dataclass
class _Probe:
    target: MemberInfo
    sequence: int
    sent_at: float
    indirect_sent: bool = False


@dataclass(frozen=True)
class _Relay:
    """An indirect ping made for somebody else."""

    asker: str
    asker_sequence: int


class Membership:
    """One member's state. Not thread-safe: one task owns it."""

    def __init__(
        self,
        member: MemberInfo,
        incarnation: int,
        options: MembershipOptions,
        random_source: random.Random,
    ):
        self._me = member
        self._incarnation = incarnation
        self._options = options
        self._random = random_source
        self._table = ReplicatedTable()
        self._members: dict[str, MemberInfo] = {}
        self._suspected_at: dict[str, float] = {}
        self._dead_at: dict[str, float] = {}
        self._probe: _Probe | None = None
        self._probe_order: list[str] = []
        self._relays: dict[int, _Relay] = {}
        self._sequence = 0
        self._next_period = 0.0
        self._periods = 0
        self._next_sync = 0.0
        self._next_announce = 0.0
        self._ticked_at = float("inf")
        self._changed_at = float("-inf")
        self._hot: list[Record] = []
        self._seeds: tuple[str, ...] = ()
        self._tables_differ = True
        self.revision = 0
        self._write_myself(MemberState.ALIVE)

    @property
    def name(self) -> str:
        """This member's name."""
        return self._me.name

    @property
    def records_digest(self) -> int:
        """Digest of the whole table."""
        return self._table.digest

    def live_members(self) -> list[MemberInfo]:
        """Return the members believed to live, this one included."""
        live = (MemberState.ALIVE, MemberState.SUSPECT)
        return [member for member in self._members.values() if member.state in live]

    def all_members(self) -> list[MemberInfo]:
        """Return every member still remembered."""
        return list(self._members.values())

    def records(self, prefix: str) -> list[Record]:
        """Return replicated records by key prefix."""
        return self._table.with_prefix(prefix)

    def table_records(self) -> tuple[Record, ...]:
        """Return the whole table, for a sync."""
        return self._table.records()

    def newer_records(self, records: tuple[Record, ...]) -> tuple[Record, ...]:
        """Return what this member knows better than ``records``."""
        return self._table.newer_than(records)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Set addresses to try while no member is known, and now and then after."""
        self._seeds = tuple(seed for seed in seeds if seed != self._me.address)

    def publish(self, key: str, value: object) -> list[Effect]:
        """Write a record and spread it at once."""
        record = self._table.write(key, value, len(self._members))
        self._hot.append(record)
        return [RecordChanged(record)]

    def leave(self, now: float) -> list[Effect]:
        """Tell others that this member stops by plan."""
        self._write_myself(MemberState.LEFT)
        self._hot.append(self._table.get(MEMBER_PREFIX + self.name))
        return self._announce(self._options.announce_fanout * 2)

    def announce_revision(self, revision: int) -> list[Effect]:
        """Tell a few members of a new configuration revision."""
        self.revision = revision
        return self._announce(self._options.announce_fanout)

    def tick(self, now: float) -> list[Effect]:
        """Do what is due."""
        effects: list[Effect] = []
        self._allow_for_own_delay(now)
        effects += self._check_probe(now)
        effects += self._check_suspicions(now)
        if self._hot and now >= self._next_announce:
            self._next_announce = now + self._options.announce_interval_seconds
            effects += self._announce(self._options.announce_fanout)
        if now >= self._next_period:
            effects += self._begin_period(now)
        return effects

    def merge(self, records: tuple[Record, ...], now: float) -> list[Effect]:
        """Take records from a peer."""
        effects: list[Effect] = []
        for record in records:
            if record.key == MEMBER_PREFIX + self.name:
                self._refute(record)
            elif self._table.merge(record, len(self._members)):
                self._changed_at = now
                # News is passed on at once, and only by those to whom it was news.
                self._hot.append(record)
                effects += self._record_changed(record, now)
        return effects

    def receive(self, message: MembershipMessage, now: float) -> list[Effect]:
        """Take one datagram."""
        effects: list[Effect] = []
        if not isinstance(message, IndirectPing):
            effects += self.merge(message.records, now)
        effects += self._compare_headers(message.header, now)
        if isinstance(message, Ping):
            effects.append(Send(message.header.address, self._ack(message)))
        elif isinstance(message, Ack):
            effects += self._receive_ack(message)
        elif isinstance(message, IndirectPing):
            effects.append(self._relay_ping(message))
        return effects

    def _allow_for_own_delay(self, now: float) -> None:
        """Blame nobody for what this member missed while it was itself held up.

        A paused or overloaded member finds answers late because it reads them late; without
        this it would declare the others dead, and their refutations would load it further.
        """
        late = now - self._ticked_at - self._options.tick_seconds
        self._ticked_at = now
        if late < self._options.late_tick_seconds:
            return
        self._probe = None
        for name in self._suspected_at:
            self._suspected_at[name] += late

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
        if target is None or self._periods % self._options.retry_dead_periods == 0:
            effects += self._try_lost(now)
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

    def _try_lost(self, now: float) -> list[Effect]:
        """Ping a seed or a dead member: this heals a partition and finds late starters."""
        known = {member.address for member in self.live_members()}
        lost = [member.address for member in self._members.values()]
        candidates = [one for one in {*lost, *self._seeds} if one not in known]
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
        """Return the time to refute: news takes longer through more members."""
        rounds = math.log2(len(self._members) + 1) / _SUSPICION_ROUNDS
        return self._options.suspicion_seconds * max(1.0, rounds)

    def _check_suspicions(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for name, since in list(self._suspected_at.items()):
            if now - since >= self._suspicion_seconds():
                effects += self._declare(self._members[name], MemberState.DEAD, now)
        for name, since in list(self._dead_at.items()):
            if now - since >= self._options.forget_dead_seconds:
                del self._dead_at[name]
                del self._members[name]
                self._table.remove(MEMBER_PREFIX + name)
        return effects

    def _declare(self, member: MemberInfo, state: MemberState, now: float) -> list[Effect]:
        """Write another member's suspicion or death at its present incarnation."""
        record = self._table.get(MEMBER_PREFIX + member.name)
        incarnation = incarnation_of(record)
        declared = member_record(msgspec.structs.replace(member, state=state), incarnation)
        self._table.merge(declared, len(self._members))
        self._hot.append(declared)
        return self._record_changed(declared, now)

    def _record_changed(self, record: Record, now: float) -> list[Effect]:
        if not record.key.startswith(MEMBER_PREFIX):
            return [RecordChanged(record)]
        member = msgspec.json.decode(record.value, type=MemberInfo)
        before = self._members.get(member.name)
        self._members[member.name] = member
        self._suspected_at.pop(member.name, None)
        self._dead_at.pop(member.name, None)
        if member.state is MemberState.SUSPECT:
            self._suspected_at[member.name] = now
        elif member.state in (MemberState.DEAD, MemberState.LEFT):
            self._dead_at[member.name] = now
        if before is None or before.state is not member.state:
            return [MemberChanged(member)]
        return []

    def _refute(self, record: Record) -> None:
        """Answer what others believe of this member with a higher incarnation."""
        mine = self._table.get(record.key)
        if not record.newer_than(mine):
            return
        self._incarnation = incarnation_of(record) + 1
        self._write_myself(self._me.state)
        self._hot.append(self._table.get(record.key))

    def _write_myself(self, state: MemberState) -> None:
        self._me = msgspec.structs.replace(self._me, state=state)
        self._members[self.name] = self._me
        record = member_record(self._me, self._incarnation)
        self._table.merge(record, len(self._members))

    def _compare_headers(self, header: Header, now: float) -> list[Effect]:
        effects: list[Effect] = []
        self._tables_differ = header.digest != self._table.digest
        if header.revision > self.revision:
            effects.append(RevisionSeen(header.address, header.revision))
        # While news is still coming in, tables differ anyway: exchanging whole tables then
        # would make a herd of starting nodes do nothing else.
        quiet = now - self._changed_at >= self._options.sync_quiet_seconds
        overdue = now - self._next_sync >= self._options.sync_overdue_seconds
        if self._tables_differ and now >= self._next_sync and (quiet or overdue):
            interval = self._options.sync_interval_seconds * self._random.uniform(0.75, 1.25)
            self._next_sync = now + interval
            effects.append(SyncWanted(header.address))
        return effects

    def _ack(self, ping: Ping) -> Ack:
        return Ack(self._header(), ping.sequence, self._rumours_for(ping.header.name))

    def _receive_ack(self, ack: Ack) -> list[Effect]:
        relay = self._relays.pop(ack.sequence, None)
        if relay is not None:
            return [Send(relay.asker, Ack(ack.header, relay.asker_sequence))]
        if self._probe is not None and ack.sequence == self._probe.sequence:
            self._probe = None
        return []

    def _relay_ping(self, request: IndirectPing) -> Send:
        self._sequence += 1
        self._relays[self._sequence] = _Relay(request.header.address, request.sequence)
        if len(self._relays) > 64:
            del self._relays[next(iter(self._relays))]
        return Send(request.target, Ping(self._header(), self._sequence))

    def _ping(self, sequence: int, target: str | None) -> Ping:
        return Ping(self._header(), sequence, self._rumours_for(target))

    def _rumours_for(self, name: str | None) -> tuple[Record, ...]:
        # Peers whose tables agree have nothing to tell each other; this keeps an idle
        # system's datagrams at some hundred bytes.
        rumours = self._table.rumours(MAX_RUMOUR_BYTES) if self._tables_differ else ()
        about = self._table.get(MEMBER_PREFIX + name) if name else None
        if about is None or about in rumours:
            return rumours
        if self._members[name].state is MemberState.ALIVE:
            return rumours
        # Whoever is believed suspect or dead must hear of it, or it cannot refute.
        return (*rumours, about)

    def _announce(self, fanout: int) -> list[Effect]:
        hot = tuple(self._hot[:MAX_ANNOUNCED])
        self._hot = self._hot[MAX_ANNOUNCED:][:MAX_PENDING_NEWS]
        message = Announce(self._header(), hot)
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
        return Header(self.name, self._me.address, self.revision, self._table.digest)
