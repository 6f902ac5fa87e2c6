"""Availability of dispatchers as observed by one node."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from wheelslip.events import LogEvent, log_event
from wheelslip.peers.round_trip import RoundTrip

TIMEOUTS_BEFORE_FAILOVER = 3
"""Consecutive queries without a reply after which the next dispatcher is used. Until then, the
node chooses workers itself: a new dispatcher has fewer records than one that is only slow."""

BACKOFF_SECONDS = (0.4, 1.2)
"""Range of the backoff after a query without a reply; random to spread the retries of nodes."""

FAILOVER_SECONDS = 5.0
"""Time for which a dispatcher is skipped after a failover."""


class DispatcherUnavailable(Exception):
    """Raised when no dispatcher is available or none replies in time."""


class DispatcherSilent(DispatcherUnavailable):
    """Raised when the dispatcher to query did not reply in time; it may still be alive."""


class NoDispatcher(DispatcherUnavailable):
    """Raised when no node is known that may be the dispatcher, or all have been given up."""


@dataclass
class _Peer:
    """State of one dispatcher.

    :ivar timeouts: consecutive queries without a reply.
    :ivar timed_out_at: time of the last one.
    """

    round_trip: RoundTrip = field(default_factory=RoundTrip)
    timeouts: int = 0
    timed_out_at: float = float("-inf")
    backoff_until: float = 0.0
    skipped_until: float = 0.0


class DispatcherHealth:
    """Tracks the reply times and timeouts of dispatchers."""

    def __init__(self, clock: Callable[[], float], random_source: random.Random):
        self._clock = clock
        self._random = random_source
        self._peers: dict[str, _Peer] = {}

    def _peer(self, address: str) -> _Peer:
        return self._peers.setdefault(address, _Peer())

    def timeout_seconds(self, address: str) -> float:
        """Return the timeout for a reply of a dispatcher."""
        return self._peer(address).round_trip.timeout_seconds

    def choose(self, addresses: list[str], ignore_backoff: bool = False) -> str:
        """Return the dispatcher to query.

        :param addresses: dispatchers in order of preference.
        :raises DispatcherSilent: if the preferred dispatcher is in backoff.
        :raises NoDispatcher: if none is left.
        """
        now = self._clock()
        for address in addresses:
            peer = self._peer(address)
            if peer.skipped_until > now:
                continue
            if peer.backoff_until > now and not ignore_backoff:
                raise DispatcherSilent
            return address
        raise NoDispatcher

    def is_responsive(self, address: str) -> bool:
        """Return whether a dispatcher replied to the last query, or was not queried yet."""
        peer = self._peer(address)
        return not peer.timeouts and peer.skipped_until <= self._clock()

    def record_reply(self, address: str, seconds: float) -> None:
        """Record a reply.

        :param seconds: time since the query was first sent.
        """
        peer = self._peer(address)
        peer.round_trip.observe(seconds)
        peer.timeouts = 0

    def skip(self, address: str) -> None:
        """Use the next dispatcher for a while; this one no longer replies about its queue."""
        peer = self._peer(address)
        now = self._clock()
        if peer.skipped_until > now:
            return
        peer.skipped_until = now + FAILOVER_SECONDS
        peer.timeouts = 0
        log_event(LogEvent.DISPATCHER_LOST, dispatcher=address, misses=peer.timeouts)

    def record_timeout(self, address: str, sent_at: float = math.inf) -> None:
        """Record a query without a reply and back off from the dispatcher.

        :param sent_at: the query is ignored if an earlier one timed out after this time; concurrent
            queries are lost together.
        """
        now = self._clock()
        peer = self._peer(address)
        if sent_at < peer.timed_out_at:
            return
        peer.timed_out_at = now
        peer.timeouts += 1
        peer.round_trip.back_off()
        peer.backoff_until = now + self._random.uniform(*BACKOFF_SECONDS)
        if peer.timeouts >= TIMEOUTS_BEFORE_FAILOVER:
            peer.skipped_until = now + FAILOVER_SECONDS
            peer.timeouts = 0
        log_event(LogEvent.DISPATCHER_LOST, dispatcher=address, misses=peer.timeouts)
