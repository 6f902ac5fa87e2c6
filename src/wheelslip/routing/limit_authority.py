"""How much of the tenants' limits one node may give out. Pure: the clock is injected.

Each node gives its vote to one meter at a time, for a short while, and to another only when
that while is over. A meter may give out the share of each limit that its valid votes are of
all nodes. So whatever is lost, frozen or cut off, the shares of all meters never add up to
more than the whole, and a meter that stops answering loses its share within the validity of a
vote, without the store. Nearly always all nodes vote for one meter, which then counts exactly.
"""

from collections.abc import Callable
from typing import NamedTuple, Protocol

VOTE_VALIDITY_SECONDS = 0.8
"""Validity of a vote. A meter that dies leaves its tenants without a meter for so long; nodes
vote three times within it, so that two lost datagrams cost nothing."""

FLEET_MEMORY_SECONDS = 20.0
"""Nodes that vote no longer count as part of the fleet for this long: they may be cut off, and
vote for another meter. Cuts on the played days last 5 to 14 s."""

UNKNOWN_FLEET = 380
"""Nodes that a meter assumes which has never heard how many there are: the size that the
project is designed for (DEVELOPERS.md)."""

TOLD_SECONDS = 0.4
"""Another meter's number of votes counts for this long: meters tell it each quarter of a second.
A node that leaves a silent meter votes for the next one later than that, so none counts twice."""

VOTE_OVERAGE_SHARE = 0.25
"""Part of the overage that makes up for votes that are lost on the way; the rest of what a
limit may be exceeded by is for the standby meters (``tenant_limits``)."""

ROLE_SECONDS = 0.1
"""How often a meter looks up its place among the relays."""


class Authority(Protocol):
    """How much of each limit a node may give out.

    :ivar fleet: the number of nodes, as far as this one knows; 0 while it knows nothing.
    :ivar standby_share: this node's share among the meters that stand by, 0 if it is none.
    """

    fleet_size: int

    standby_share: float

    def update_fleet_size(self, nodes: int) -> None:
        """Take the number of nodes from another node that counts."""

    def share(self) -> float:
        """Return the share of each limit, from 0 to 1."""

    def weighted_seconds(self) -> float:
        """Return the seconds for which this node has had the whole, or as much in parts."""


class SingleNodeAuthority:
    """The authority of a node that is the only one."""

    fleet_size = 1
    standby_share = 0.0

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock

    def update_fleet_size(self, nodes: int) -> None:
        """Pass it over: there is no other node."""

    def share(self) -> float:
        """Return the whole."""
        return 1.0

    def weighted_seconds(self) -> float:
        """Return the time."""
        return self._clock()


class _Told(NamedTuple):
    votes: int
    fresh_until: float


class VotedAuthority:
    """Authority by the votes of nodes.

    :param address: of this node.
    :param relays: returns the addresses of the nodes that may be voted for, the first to be
        chosen first.
    :param overage: part of a limit by which it may be exceeded.
    :ivar released: this node has given its votes back and takes no more.
    """

    def __init__(
        self,
        address: str,
        relays: Callable[[], list[str]],
        overage: Callable[[], float],
        clock: Callable[[], float],
    ):
        self._address = address
        self._relays = relays
        self._overage = overage
        self._clock = clock
        self._votes: dict[str, float] = {}
        self._told: dict[str, _Told] = {}
        self._fleet = 0
        self._fleet_seen_at = clock()
        self._fleet_told = False
        self._role_until = float("-inf")
        self._is_first = False
        self._standby_share = 0.0
        self._share = 0.0
        self._seconds = 0.0
        self._advanced_at = clock()
        self.released = False

    @property
    def fleet_size(self) -> int:
        """The number of nodes, as far as this one knows; 0 while it knows nothing."""
        return self._fleet

    @property
    def standby_share(self) -> float:
        """This node's share among the meters that stand by, 0 if it is none."""
        self._look_up_role(self._clock())
        return 0.0 if self.released else self._standby_share

    def voters(self) -> list[str]:
        """Return the nodes whose votes are valid."""
        self._expire(self._clock())
        return list(self._votes)

    def _expire(self, now: float) -> None:
        """Forget the votes that hold no longer; they are in the order in which they came."""
        while self._votes and next(iter(self._votes.values())) <= now:
            del self._votes[next(iter(self._votes))]

    def record_vote(self, node: str) -> None:
        """Take a node's vote."""
        self._advance()
        if self.released:
            return
        self._votes.pop(node, None)
        self._votes[node] = self._clock() + VOTE_VALIDITY_SECONDS
        self._advance()

    def remaining_validity_seconds(self) -> float:
        """Return how long the last of the votes holds."""
        return next(reversed(self._votes.values()), self._clock()) - self._clock()

    def record_peer_votes(self, meter: str, votes: int, seconds: float) -> None:
        """Take another meter's number of valid votes, and how long the last of them holds."""
        self._told[meter] = _Told(votes, self._clock() + min(TOLD_SECONDS, seconds))
        self._fleet_told = True
        self._advance()

    def update_fleet_size(self, nodes: int) -> None:
        """Take the number of nodes from the meter that this node votes for."""
        if nodes and not self._is_first:
            self._fleet, self._fleet_told = nodes, True
            self._fleet_seen_at = self._clock()

    def release(self) -> list[str]:
        """Give all votes back for good; return whose they were."""
        self._advance()
        voters = self.voters()
        self.released = True
        self._votes = {}
        self._advance()
        return voters

    def share(self) -> float:
        """Return the share of each limit that this node may give out."""
        self._advance()
        return self._share

    def weighted_seconds(self) -> float:
        """Return the time for which this node had authority, weighted by its share."""
        self._advance()
        return self._seconds

    def _advance(self) -> None:
        """Count the time since the last look with the lesser of the shares then and now."""
        now = self._clock()
        share = self._share_now(now)
        self._seconds += min(self._share, share) * (now - self._advanced_at)
        self._share, self._advanced_at = share, now

    def _share_now(self, now: float) -> float:
        if self.released:
            return 0.0
        self._look_up_role(now)
        self._expire(now)
        votes = len(self._votes)
        self._note_total(votes, now)
        fleet = self._fleet
        if not self._is_first and not self._fleet_told:
            fleet = max(fleet, UNKNOWN_FLEET)
        if not votes:
            return 0.0
        return min(1.0, votes / fleet * (1.0 + VOTE_OVERAGE_SHARE * self._overage()))

    def _look_up_role(self, now: float) -> None:
        if now < self._role_until:
            return
        self._role_until = now + ROLE_SECONDS
        relays = self._relays()
        self._is_first = relays[:1] == [self._address]
        is_standby = self._address in relays and not self._is_first
        self._standby_share = 1.0 / (len(relays) - 1) if is_standby else 0.0

    def _note_total(self, votes: int, now: float) -> None:
        """Keep the number of nodes: it rises at once, and falls late and by a majority only."""
        total = votes + sum(one.votes for one in self._told.values() if now < one.fresh_until)
        has_majority = 2 * votes >= self._fleet
        is_old = now - self._fleet_seen_at > FLEET_MEMORY_SECONDS
        if total >= self._fleet or (is_old and has_majority):
            self._fleet, self._fleet_seen_at = total, now
