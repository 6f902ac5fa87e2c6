"""Share of the rate limits that a node may grant, derived from votes of the nodes.

Requests are charged to limits by one node, the meter. Each node votes for one meter at a
time; a vote is valid for a short while and cannot move to another meter until it has expired or the
meter has returned it. A meter may grant the fraction of each limit that its valid votes are of all
nodes. This keeps the sum of all shares within the limit and its allowed overage while messages are
lost and nodes are paused or partitioned, and an unreachable meter loses its share when its votes
expire, without a call to the store. In normal operation all nodes vote for the same meter, which
then charges exactly.

A node that starts does not know how many nodes there are, and its own count says nothing about
nodes that it cannot reach. It takes the number from a meter that knows it. Else it counts the
voters once most relays vote for it, and the others do or have just started as well: no other relay can
then grant anything. Until then it assumes a large fleet and grants almost nothing.

The module does no I/O; the clock is injected.
"""

from collections.abc import Callable
from typing import NamedTuple, Protocol

VOTE_VALIDITY_SECONDS = 0.8
"""Lifetime of a vote, and the longest time without a meter after one fails. Nodes vote three times
within it, so that two lost datagrams in a row do no harm."""

FLEET_SIZE_RETENTION_SECONDS = 20.0
"""Time for which the fleet size does not fall below the last observed number of voters. Missing
voters may be partitioned and vote for another meter."""

DEFAULT_FLEET_SIZE = 380
"""Fleet size assumed by a node that does not know it."""

PEER_VOTES_VALIDITY_SECONDS = 0.4
"""Lifetime of the vote count that another meter reports every quarter of a second. A node that
leaves an unresponsive meter votes for another one later than this, so no node is counted twice."""

VOTE_OVERAGE_SHARE = 0.25
"""Fraction of the allowed overage that compensates for lost votes. The rest is for the reserves of
the standby meters (:mod:`wheelslip.routing.limits.tenant_limits`)."""

START_NOTICE_VALIDITY_SECONDS = 4.0
"""Time after its start for which a relay counts as one that does not know the fleet size. Longer than
the lease of a relay, so that a relay that stops again does not delay the count."""

ROLE_REFRESH_SECONDS = 0.1
"""Interval at which a meter looks up its position among the relays."""


class Authority(Protocol):
    """The share of each limit that a node may grant.

    :ivar fleet_size: number of nodes, 0 while unknown.
    :ivar standby_share: fraction of the standby reserve that belongs to this node, 0 if it is no
        standby meter.
    :ivar standby_seconds: time for which this node has been a standby meter without interruption.
    """

    fleet_size: int

    standby_share: float

    standby_seconds: float

    def update_fleet_size(self, nodes: int) -> None:
        """Accept the number of nodes that another meter reports."""

    def share(self) -> float:
        """Return the share of each limit, from 0 to 1."""

    def weighted_seconds(self) -> float:
        """Return the time integral of the share, in seconds."""


class SingleNodeAuthority:
    """The authority of the only node of a deployment."""

    fleet_size = 1
    standby_share = 0.0
    standby_seconds = 0.0

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock

    def update_fleet_size(self, nodes: int) -> None:
        """Ignore the report, since there is no other node."""

    def share(self) -> float:
        """Return 1."""
        return 1.0

    def weighted_seconds(self) -> float:
        """Return the current time, since the share is always 1."""
        return self._clock()


class _PeerVotes(NamedTuple):
    votes: int
    valid_until: float


class VotedAuthority:
    """Authority derived from the votes that this node holds.

    :param address: address of this node.
    :param relays: returns the addresses of the nodes that may act as meter, the preferred one
        first.
    :param overage: returns the fraction by which a limit may be exceeded.
    :param clock: steady clock in seconds.
    :ivar released: this node has returned its votes and accepts no others.
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
        self._peer_votes: dict[str, _PeerVotes] = {}
        self._starting_until: dict[str, float] = {}
        self._fleet_size = 0
        self._fleet_size_updated_at = clock()
        self._is_fleet_size_known = False
        self._fleet_size_settled_at = float("-inf")
        self._role_valid_until = float("-inf")
        self._relay_addresses: list[str] = []
        self._standby_share = 0.0
        self._standby_since = clock()
        self._share = 0.0
        self._weighted_seconds = 0.0
        self._advanced_at = clock()
        self.released = False

    @property
    def fleet_size(self) -> int:
        """The number of nodes, 0 while unknown.

        A count that has just risen is incomplete, for instance after a cut was healed. A node that
        took it for the fleet size and was cut off again would grant too much.
        """
        is_settled = self._clock() >= self._fleet_size_settled_at
        return self._fleet_size if self._is_fleet_size_known and is_settled else 0

    @property
    def standby_share(self) -> float:
        """The fraction of the standby reserve of this node, 0 if it is no standby meter."""
        self._refresh_role(self._clock())
        return 0.0 if self.released else self._standby_share

    @property
    def standby_seconds(self) -> float:
        """The time for which this node has been a standby meter without interruption."""
        if self.standby_share <= 0.0:
            return 0.0
        return self._clock() - self._standby_since

    def voters(self) -> list[str]:
        """Return the addresses of the nodes whose votes are valid."""
        self._expire(self._clock())
        return list(self._votes)

    def _expire(self, now: float) -> None:
        """Delete expired votes; the votes are ordered by expiry."""
        while self._votes and next(iter(self._votes.values())) <= now:
            del self._votes[next(iter(self._votes))]

    def record_vote(self, node: str) -> None:
        """Record or renew the vote of a node."""
        self._advance()
        if self.released:
            return
        self._votes.pop(node, None)
        self._votes[node] = self._clock() + VOTE_VALIDITY_SECONDS
        self._advance()

    def remaining_validity_seconds(self) -> float:
        """Return the time until the latest vote expires."""
        return next(reversed(self._votes.values()), self._clock()) - self._clock()

    def record_peer_votes(self, meter: str, votes: int, seconds: float) -> None:
        """Record the number of valid votes that another meter holds.

        :param seconds: time until the latest of these votes expires.
        """
        self._peer_votes[meter] = _PeerVotes(
            votes, self._clock() + min(PEER_VOTES_VALIDITY_SECONDS, seconds)
        )
        self._advance()

    def record_start(self, node: str, age_seconds: float) -> None:
        """Record that a node started without knowing the fleet size."""
        now = self._clock()
        self._starting_until = {
            address: until for address, until in self._starting_until.items() if now < until
        }
        self._starting_until[node] = now - max(0.0, age_seconds) + START_NOTICE_VALIDITY_SECONDS

    def update_fleet_size(self, nodes: int) -> None:
        """Accept the number of nodes from another meter.

        The preferred meter counts by itself and accepts a number only while it knows none.
        """
        if nodes and not (self._is_preferred() and self._is_fleet_size_known):
            self._fleet_size, self._is_fleet_size_known = nodes, True
            self._fleet_size_updated_at = self._fleet_size_settled_at = self._clock()

    def _is_preferred(self) -> bool:
        return self._relay_addresses[:1] == [self._address]

    def release(self) -> list[str]:
        """Return all votes permanently; return the addresses of their voters."""
        self._advance()
        voters = self.voters()
        self.released = True
        self._votes = {}
        self._advance()
        return voters

    def share(self) -> float:
        """Return the share of each limit that this node may grant."""
        self._advance()
        return self._share

    def weighted_seconds(self) -> float:
        """Return a lower bound of the time integral of this node's share, in seconds."""
        self._advance()
        return self._weighted_seconds

    def _advance(self) -> None:
        """Integrate the time since the last call with the lesser of the old and new share."""
        now = self._clock()
        share = self._current_share(now)
        self._weighted_seconds += min(self._share, share) * (now - self._advanced_at)
        self._share, self._advanced_at = share, now

    def _current_share(self, now: float) -> float:
        if self.released:
            return 0.0
        self._refresh_role(now)
        self._expire(now)
        votes = len(self._votes)
        self._observe_fleet_size(votes, now)
        if not votes:
            return 0.0
        fleet_size = self._fleet_size
        if not self._is_fleet_size_known:
            fleet_size = max(fleet_size, DEFAULT_FLEET_SIZE)
        return min(1.0, votes / fleet_size * (1.0 + VOTE_OVERAGE_SHARE * self._overage()))

    def _refresh_role(self, now: float) -> None:
        if now < self._role_valid_until:
            return
        self._role_valid_until = now + ROLE_REFRESH_SECONDS
        relays = self._relay_addresses = self._relays()
        if self._address not in relays[1:]:
            self._standby_share = 0.0
            return
        if self._standby_share <= 0.0:
            self._standby_since = now
        self._standby_share = 1.0 / (len(relays) - 1)

    def _observe_fleet_size(self, votes: int, now: float) -> None:
        """Raise the fleet size at once; lower it only after a delay and with a majority."""
        total = votes + sum(
            peer.votes for peer in self._peer_votes.values() if now < peer.valid_until
        )
        has_majority = 2 * votes >= self._fleet_size
        is_old = now - self._fleet_size_updated_at > FLEET_SIZE_RETENTION_SECONDS
        if total > self._fleet_size:
            self._fleet_size_settled_at = now + VOTE_VALIDITY_SECONDS
        if total >= self._fleet_size or (is_old and has_majority):
            self._fleet_size, self._fleet_size_updated_at = total, now
        if not self._is_fleet_size_known:
            self._is_fleet_size_known = self._is_only_meter(now)

    def _is_only_meter(self, now: float) -> bool:
        """Return whether no other relay can grant a part of the limits.

        A relay that votes here grants nothing. One that has just started does not know the fleet
        size, and cannot have the votes of most relays while this node has them.
        """
        others = [relay for relay in self._relay_addresses if relay not in self._votes]
        has_majority = 2 * len(others) < len(self._relay_addresses)
        return has_majority and all(now < self._starting_until.get(key, now) for key in others)
