"""The task by which nodes vote for the meter of the tenants' limits.

See :mod:`wheelslip.routing.limit_authority` for what a vote is worth.
"""

import asyncio
from collections.abc import Callable

from wheelslip.peers.datagrams import DatagramSocket
from wheelslip.peers.dispatch_messages import (
    RELEASED,
    VOTE,
    VOTED,
    VOTES,
    VoteReleased,
    VotesTold,
    VoteTaken,
    VoteTold,
)
from wheelslip.routing.limit_authority import VOTE_VALIDITY_SECONDS, VotedAuthority
from wheelslip.routing.tenant_limits import TenantLimits

TICK_SECONDS = 0.25
"""Pause between two votes: a third of their validity."""

STOPPING_SECONDS = 10.0
"""A meter that stops is not voted for again within this time; its process ends before."""


class LimitVotes:
    """Votes for this node, and takes the votes of others.

    :param address: of this node.
    :param meters: returns the addresses of the nodes that may count, the first choice first.
    :param answers: returns whether a meter has answered this node's last question.
    :param active: whether any tenant has a limit.
    """

    def __init__(
        self,
        address: str,
        socket: DatagramSocket,
        authority: VotedAuthority,
        limits: TenantLimits,
        meters: Callable[[], list[str]],
        answers: Callable[[str], bool],
        active: Callable[[], bool],
        clock: Callable[[], float],
    ):
        self._address = address
        self._socket = socket
        self._authority = authority
        self._limits = limits
        self._meters = meters
        self._answers = answers
        self._active = active
        self._clock = clock
        self._valid_until: dict[str, float] = {}
        self._passed_by_until: dict[str, float] = {}
        self._unanswered: set[str] = set()
        socket.register(VOTE, VoteTold, self._voted)
        socket.register(VOTED, VoteTaken, self._taken)
        socket.register(VOTES, VotesTold, self._told)
        socket.register(RELEASED, VoteReleased, self._released)

    async def run(self) -> None:
        """Vote for ever."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            if self._active():
                self.tick()

    def tick(self) -> None:
        """Vote, unless another meter still has this node's vote."""
        now = self._clock()
        self._limits.trim()
        self._vote(now)
        votes = len(self._authority.voters())
        if votes:
            self._tell_votes(votes)

    def _tell_votes(self, votes: int) -> None:
        others = [one for one in self._meters() if one != self._address]
        seconds = self._authority.remaining_validity_seconds()
        self._socket.send_to(others, VOTES, VotesTold(votes, seconds))

    def counters(self) -> list[str]:
        """Return whom this node asks to count a request that no dispatcher counts."""
        now = self._clock()
        meters = [one for one in self._meters() if self._passed_by_until.get(one, 0.0) <= now]
        return [one for one in meters if one != self._address and self._answers(one)]

    def _vote(self, now: float) -> None:
        """Vote for the first meter that answers, or for this node itself.

        A meter that has left the last vote without an answer gets no further one, but is asked
        whether it is there; it keeps this node's vote while that is valid.
        """
        meter = self._meter(now)
        self._valid_until = {key: until for key, until in self._valid_until.items() if now < until}
        if any(one != meter for one in self._valid_until):
            return
        self._valid_until[meter] = now + VOTE_VALIDITY_SECONDS
        if meter == self._address:
            self._authority.record_vote(meter)
        else:
            self._send_vote(meter, is_probe=False)

    def _meter(self, now: float) -> str:
        for meter in self._meters():
            if self._passed_by_until.get(meter, 0.0) > now:
                continue
            if meter == self._address or meter not in self._unanswered:
                return meter
            self._send_vote(meter, is_probe=True)
        return self._address

    def _send_vote(self, meter: str, is_probe: bool) -> None:
        self._unanswered.add(meter)
        self._socket.send(meter, VOTE, VoteTold(is_probe))

    def release(self) -> None:
        """Give all votes back, before this node stops."""
        voters = self._authority.release()
        others = [one for one in voters if one != self._address]
        self._tell_votes(0)
        self._socket.send_to(others, RELEASED, VoteReleased(len(voters)))

    def _voted(self, vote: VoteTold, sender: str) -> None:
        if not vote.is_probe:
            self._authority.record_vote(sender)
        self._socket.send(sender, VOTED, VoteTaken(self._authority.fleet_size))

    def _taken(self, taken: VoteTaken, sender: str) -> None:
        self._unanswered.discard(sender)
        self._authority.update_fleet_size(taken.fleet)

    def _told(self, told: VotesTold, sender: str) -> None:
        self._authority.record_peer_votes(sender, told.votes, told.seconds)

    def _released(self, released: VoteReleased, sender: str) -> None:
        now = self._clock()
        self._valid_until.pop(sender, None)
        self._passed_by_until[sender] = now + STOPPING_SECONDS
        self._vote(now)
