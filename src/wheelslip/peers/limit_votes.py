"""Election of the meter that charges requests to the rate limits.

Every node periodically votes for one meter. The votes that a node holds determine the share of the
limits that it may grant, see :mod:`wheelslip.routing.limits.limit_authority`.
"""

import asyncio
from collections.abc import Callable

from wheelslip.peers.datagrams import DatagramSocket
from wheelslip.peers.dispatch_messages import (
    START_NOTICE,
    VOTE,
    VOTE_COUNT,
    VOTE_RELEASE,
    VOTE_REPLY,
    StartNotice,
    Vote,
    VoteCountReport,
    VoteRelease,
    VoteReply,
)
from wheelslip.routing.limits.limit_authority import VOTE_VALIDITY_SECONDS, VotedAuthority
from wheelslip.routing.limits.tenant_limits import TenantLimits

TICK_SECONDS = 0.25
"""Interval between votes: a third of their validity, so that two may be lost."""

STOPPED_METER_EXCLUSION_SECONDS = 10.0
"""Time for which a meter that released its votes is excluded; its process stops within it."""


class LimitVotes:
    """Casts the votes of this node and records the votes of other nodes.

    :param address: address of this node.
    :param meters: returns the addresses of the possible meters in order of preference.
    :param is_responsive: returns whether a meter replied to the last query of this node.
    :param has_limits: returns whether any tenant or worker has a rate limit.
    """

    def __init__(
        self,
        address: str,
        socket: DatagramSocket,
        authority: VotedAuthority,
        limits: TenantLimits,
        meters: Callable[[], list[str]],
        is_responsive: Callable[[str], bool],
        has_limits: Callable[[], bool],
        clock: Callable[[], float],
    ):
        self._address = address
        self._socket = socket
        self._authority = authority
        self._limits = limits
        self._meters = meters
        self._is_responsive = is_responsive
        self._has_limits = has_limits
        self._clock = clock
        self._started_at = clock()
        self._may_vote_at = self._started_at + VOTE_VALIDITY_SECONDS
        self._valid_until: dict[str, float] = {}
        self._excluded_until: dict[str, float] = {}
        self._awaiting_reply: set[str] = set()
        socket.register(VOTE, Vote, self._handle_vote)
        socket.register(VOTE_REPLY, VoteReply, self._handle_vote_reply)
        socket.register(VOTE_COUNT, VoteCountReport, self._handle_vote_count)
        socket.register(VOTE_RELEASE, VoteRelease, self._handle_release)
        socket.register(START_NOTICE, StartNotice, self._handle_start)

    async def run(self) -> None:
        """Vote periodically until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            if self._has_limits():
                self.tick()

    def tick(self) -> None:
        """Vote unless another meter still holds a valid vote, and report the votes held."""
        now = self._clock()
        self._limits.trim()
        self._vote(now)
        votes = len(self._authority.voters())
        if votes:
            self._report_vote_count(votes)

    def _report_vote_count(self, votes: int) -> None:
        other_meters = [meter for meter in self._meters() if meter != self._address]
        remaining_seconds = self._authority.remaining_validity_seconds()
        self._socket.send_to(other_meters, VOTE_COUNT, VoteCountReport(votes, remaining_seconds))

    def available_meters(self) -> list[str]:
        """Return the other meters that may charge a request if the dispatcher does not reply."""
        now = self._clock()
        meters = [meter for meter in self._meters() if self._excluded_until.get(meter, 0.0) <= now]
        return [meter for meter in meters if meter != self._address and self._is_responsive(meter)]

    def _vote(self, now: float) -> None:
        """Vote for the first responsive meter.

        A meter that did not reply to the last vote is only probed. It holds that vote until the
        vote expires, and this node votes for no other meter until then. After a start, a vote of
        the previous process may still be valid at an unknown meter, so no vote is cast until it
        has expired.
        """
        if now < self._may_vote_at:
            self._query_meters(now)
            return
        meter = self._choose_meter(now)
        self._valid_until = {
            address: until for address, until in self._valid_until.items() if now < until
        }
        if meter is None or any(holder != meter for holder in self._valid_until):
            return
        self._valid_until[meter] = now + VOTE_VALIDITY_SECONDS
        if meter == self._address:
            self._authority.record_vote(meter)
        else:
            self._send_vote(meter, is_probe=False)

    def _query_meters(self, now: float) -> None:
        """Ask the other meters for the fleet size, and tell them that it is unknown here."""
        meters = [meter for meter in self._meters() if meter != self._address]
        if not self._authority.fleet_size:
            self._socket.send_to(meters, START_NOTICE, StartNotice(now - self._started_at))
        for meter in meters:
            self._send_vote(meter, is_probe=True)

    def _choose_meter(self, now: float) -> str | None:
        """Return the first responsive meter, ``None`` if no meter responds.

        A node that is no relay holds no vote of its own while there are relays. A meter that counts
        the nodes after a start knows nothing of nodes that are cut off from all relays, and their
        shares would add to its own.
        """
        meters = self._meters()
        for meter in meters:
            if self._excluded_until.get(meter, 0.0) > now:
                continue
            if meter == self._address or meter not in self._awaiting_reply:
                return meter
            self._send_vote(meter, is_probe=True)
        return None if meters else self._address

    def _send_vote(self, meter: str, is_probe: bool) -> None:
        self._awaiting_reply.add(meter)
        self._socket.send(meter, VOTE, Vote(is_probe))

    def release(self) -> None:
        """Release all votes held, before this node stops."""
        voters = self._authority.release()
        other_voters = [voter for voter in voters if voter != self._address]
        self._report_vote_count(0)
        self._socket.send_to(other_voters, VOTE_RELEASE, VoteRelease(len(voters)))

    def _handle_vote(self, vote: Vote, sender: str) -> None:
        if not vote.is_probe:
            self._authority.record_vote(sender)
        self._socket.send(sender, VOTE_REPLY, VoteReply(self._authority.fleet_size))

    def _handle_vote_reply(self, reply: VoteReply, sender: str) -> None:
        self._awaiting_reply.discard(sender)
        now = self._clock()
        # The count of a meter for which this node does not vote need not include this node's side
        # of a cut. Only a node that has just started has nothing better.
        if now < self._may_vote_at or now < self._valid_until.get(sender, now):
            self._authority.update_fleet_size(reply.fleet_size)

    def _handle_vote_count(self, report: VoteCountReport, sender: str) -> None:
        self._authority.record_peer_votes(sender, report.votes, report.remaining_seconds)

    def _handle_start(self, notice: StartNotice, sender: str) -> None:
        self._authority.record_start(sender, notice.age_seconds)

    def _handle_release(self, release: VoteRelease, sender: str) -> None:
        now = self._clock()
        self._valid_until.pop(sender, None)
        self._excluded_until[sender] = now + STOPPED_METER_EXCLUSION_SECONDS
        self._vote(now)
