"""Tests of the membership protocol on a simulated network in virtual time."""

import random
from collections import deque

import pytest

from wheelslip.peers.membership import Membership, MembershipOptions
from wheelslip.peers.membership_effects import (
    MemberChanged,
    RecordChanged,
    RevisionSeen,
    Send,
    SyncNeeded,
)
from wheelslip.peers.messages import MemberInfo, MemberState


class Network:
    """Delivers datagrams immediately, except to down addresses or across the partition."""

    def __init__(self, count, zones=3):
        self.now = 0.0
        self.members = {}
        self.down = set()
        self.cut = set()
        self.reported_revisions = []
        self.records = {}
        self.changes = []
        for number in range(count):
            name = f"n{number}"
            info = MemberInfo(name, f"z{number % zones}", "r", f"addr-{name}", "")
            member = Membership(info, 100, MembershipOptions(), random.Random(number))
            member.set_seeds(("addr-n0", "addr-n1"))
            self.members[info.address] = member

    def run(self, seconds, until=lambda: False):
        end = self.now + seconds
        while self.now < end and not until():
            self.now = round(self.now + 0.1, 6)
            for address, member in self.members.items():
                if address not in self.down:
                    self._deliver(address, member.tick(self.now))
        return until()

    def reachable(self, source, target):
        return target not in self.down and (source in self.cut) == (target in self.cut)

    def _deliver(self, source, effects):
        pending = deque((source, effect) for effect in effects)
        while pending:
            origin, effect = pending.popleft()
            if isinstance(effect, Send) and self.reachable(origin, effect.address):
                new_effects = self.members[effect.address].receive(effect.message, self.now)
                pending.extend((effect.address, new_effect) for new_effect in new_effects)
            elif isinstance(effect, SyncNeeded) and self.reachable(origin, effect.address):
                local, remote = self.members[origin], self.members[effect.address]
                reply = remote.newer_records(local.table_records())
                new_effects = remote.merge(local.table_records(), self.now)
                pending.extend((effect.address, new_effect) for new_effect in new_effects)
                pending.extend((origin, new_effect) for new_effect in local.merge(reply, self.now))
            elif isinstance(effect, RevisionSeen):
                self.reported_revisions.append((origin, effect.revision))
            elif isinstance(effect, RecordChanged):
                self.records.setdefault(effect.record.key, set()).add(origin)
            elif isinstance(effect, MemberChanged):
                self.changes.append((origin, effect.member.name, effect.member.state))

    def has_converged(self, count, among=None):
        return all(
            len(member.live_members()) == count
            for address, member in self.members.items()
            if address not in self.down and (among is None or address in among)
        )


@pytest.mark.parametrize("count", [2, 5, 27])
def test_members_discover_each_other_from_two_seeds(count):
    network = Network(count)
    assert network.run(60, lambda: network.has_converged(count))


def test_dead_member_is_detected_and_rejoins():
    network = Network(9)
    assert network.run(60, lambda: network.has_converged(9))
    network.down.add("addr-n4")
    assert network.run(30, lambda: network.has_converged(8))
    network.down.clear()
    assert network.run(60, lambda: network.has_converged(9))


def test_partition_is_detected_and_heals():
    network = Network(9)
    assert network.run(60, lambda: network.has_converged(9))
    network.cut = {"addr-n2", "addr-n5", "addr-n8"}
    rest = set(network.members) - network.cut
    split = network.run(
        60, lambda: network.has_converged(3, network.cut) and network.has_converged(6, rest)
    )
    assert split
    network.cut = set()
    assert network.run(120, lambda: network.has_converged(9))


def test_paused_member_refutes_its_death_with_a_higher_incarnation():
    network = Network(5)
    assert network.run(60, lambda: network.has_converged(5))
    network.down.add("addr-n3")
    assert network.run(30, lambda: network.has_converged(4))
    network.down.clear()
    assert network.run(60, lambda: network.has_converged(5))
    states = [state for _, name, state in network.changes if name == "n3"]
    assert MemberState.DEAD in states and states[-1] is MemberState.ALIVE


def test_member_that_leaves_is_not_declared_dead():
    network = Network(5)
    assert network.run(60, lambda: network.has_converged(5))
    departing = network.members["addr-n2"]
    network._deliver("addr-n2", departing.leave(network.now))
    network.down.add("addr-n2")
    assert network.run(10, lambda: network.has_converged(4))
    states = [state for _, name, state in network.changes if name == "n2"]
    assert MemberState.LEFT in states and MemberState.DEAD not in states


def test_records_reach_all_members_and_the_later_write_wins():
    network = Network(9)
    assert network.run(60, lambda: network.has_converged(9))
    network.members["addr-n1"].publish("e/engine", ["first"])
    assert network.run(10, lambda: len(network.records.get("e/engine", ())) >= 8)
    network.members["addr-n7"].publish("e/engine", ["second"])

    def later_write_won():
        values = {bytes(member.records("e/")[0].value) for member in network.members.values()}
        return values == {b'["second"]'}

    assert network.run(20, later_write_won)


def test_new_revision_is_announced_to_other_members():
    network = Network(5)
    assert network.run(60, lambda: network.has_converged(5))
    member = network.members["addr-n0"]
    network._deliver("addr-n0", member.announce_revision(7))
    assert any(revision == 7 for _, revision in network.reported_revisions)


def test_idle_members_with_equal_tables_send_no_records():
    network = Network(9)
    assert network.run(60, lambda: network.has_converged(9))
    network.run(60)
    sent = []
    for address, member in network.members.items():
        sent += [effect for effect in member.tick(network.now + 5) if isinstance(effect, Send)]
        assert member.table_digest == network.members["addr-n0"].table_digest, address
    assert sent and all(effect.message.records == () for effect in sent)
