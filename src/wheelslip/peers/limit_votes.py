"""The task by which nodes vote for the meter of the tenants' limits.

See :mod:`wheelslip.routing.limit_authority` for what a vote is worth.
"""

import asyncio
from collections import Counter
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
from wheelslip.routing.limit_authority import VOTE_SECONDS, VotedAuthority
from wheelslip.routing.tenant_limits import TenantLimits

TICK_SECONDS = 0.25
"""Pause between two votes: a third of their validity."""

SILENT_VOTES = 2
"""Votes in a row without an answer after which a meter is taken for silent."""

SILENT_SECONDS = 3.0
"""A silent meter is not voted for again within this time."""

STOPPING_SECONDS = 10.0
"""A meter that stops is not voted for again within this time; its process ends before."""


class LimitVotes:
    """Votes for this node, and takes the votes of others.

    :param address: of this node.
    :param meters: returns the addresses of the nodes that may count, the first choice first.
    :param first_answering: returns the first of some meters that answers this node.
    :param active: whether any tenant has a limit.
    """

    def __init__(
        self,
        address: str,
        socket: DatagramSocket,
        authority: VotedAuthority,
        limits: TenantLimits,
        meters: Callable[[], list[str]],
        first_answering: Callable[[list[str]], str | None],
        active: Callable[[], bool],
        clock: Callable[[], float],
    ):
        self._address = address
        self._socket = socket
        self._authority = authority
        self._limits = limits
        self._meters = meters
        self._first_answering = first_answering
        self._active = active
        self._clock = clock
        self._valid_until: dict[str, float] = {}
        self._passed_by_until: dict[str, float] = {}
        self._unanswered: Counter[str] = Counter()
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
        seconds = self._authority.valid_seconds()
        self._socket.send_to(others, VOTES, VotesTold(votes, seconds))

    def meter(self) -> str:
        """Return whom this node votes for: itself when no meter answers."""
        now = self._clock()
        meters = [one for one in self._meters() if self._passed_by_until.get(one, 0.0) <= now]
        return self._first_answering(meters) or self._address

    def _vote(self, now: float) -> None:
        self._pass_silent_by(now)
        meter = self.meter()
        self._valid_until = {key: until for key, until in self._valid_until.items() if now < until}
        if any(one != meter for one in self._valid_until):
            return
        self._valid_until[meter] = now + VOTE_SECONDS
        if meter == self._address:
            self._authority.vote(meter, VOTE_SECONDS)
        else:
            self._unanswered[meter] += 1
            self._socket.send(meter, VOTE, VoteTold(VOTE_SECONDS))

    def _pass_silent_by(self, now: float) -> None:
        for meter, votes in list(self._unanswered.items()):
            if votes >= SILENT_VOTES:
                del self._unanswered[meter]
                self._passed_by_until[meter] = now + SILENT_SECONDS

    def release(self) -> None:
        """Give all votes back, before this node stops."""
        voters = self._authority.release()
        others = [one for one in voters if one != self._address]
        self._tell_votes(0)
        self._socket.send_to(others, RELEASED, VoteReleased(len(voters)))

    def _voted(self, vote: VoteTold, sender: str) -> None:
        self._authority.vote(sender, vote.seconds)
        self._socket.send(sender, VOTED, VoteTaken(self._authority.fleet))

    def _taken(self, taken: VoteTaken, sender: str) -> None:
        self._unanswered.pop(sender, None)
        self._authority.note_fleet(taken.fleet)

    def _told(self, told: VotesTold, sender: str) -> None:
        self._authority.told(sender, told.votes, told.seconds)

    def _released(self, released: VoteReleased, sender: str) -> None:
        now = self._clock()
        self._valid_until.pop(sender, None)
        self._passed_by_until[sender] = now + STOPPING_SECONDS
        self._vote(now)
