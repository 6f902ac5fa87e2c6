"""Which dispatchers answer, as one node finds."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from wheelslip.events import LogEvent, log_event
from wheelslip.peers.round_trip import RoundTrip

MISSES_OF_A_LOST_DISPATCHER = 3
"""Questions in a row without an answer after which the next dispatcher is asked. Until then a
node chooses alone: a dispatcher that is only slow knows more than one that takes over."""

PASSED_BY_SECONDS = (0.4, 1.2)
"""Range of the time for which a silent dispatcher is not asked; random, so that few nodes
try it again at one time."""

LOST_SECONDS = 5.0
"""A dispatcher that is taken for lost is not asked for this long."""


class NoDispatcher(Exception):
    """No dispatcher answered in time, or none is known."""


@dataclass
class _Peer:
    """Another node as a dispatcher.

    :ivar misses: questions in a row that it has not answered.
    """

    round_trip: RoundTrip = field(default_factory=RoundTrip)
    misses: int = 0
    passed_by_until: float = 0.0
    lost_until: float = 0.0


class DispatcherHealth:
    """Keeps how each dispatcher has answered this node."""

    def __init__(self, clock: Callable[[], float], random_source: random.Random):
        self._clock = clock
        self._random = random_source
        self._peers: dict[str, _Peer] = {}

    def _peer(self, address: str) -> _Peer:
        return self._peers.setdefault(address, _Peer())

    def timeout_seconds(self, address: str) -> float:
        """Return how long an answer is awaited."""
        return self._peer(address).round_trip.timeout_seconds

    def choose(self, addresses: list[str]) -> str:
        """Return whom to ask for a worker, of dispatchers in the order of preference.

        :raises NoDispatcher: when the one to ask does not answer just now.
        """
        now = self._clock()
        for address in addresses:
            peer = self._peer(address)
            if peer.lost_until > now:
                continue
            if peer.passed_by_until > now:
                raise NoDispatcher
            return address
        raise NoDispatcher

    def answers(self, address: str) -> bool:
        """Return whether a dispatcher has answered this node's last question, if there was one."""
        peer = self._peer(address)
        return not peer.misses and peer.lost_until <= self._clock()

    def answered(self, address: str, seconds: float) -> None:
        """An answer came, this long after its question was first sent."""
        peer = self._peer(address)
        peer.round_trip.observe(seconds)
        peer.misses = 0

    def missed(self, address: str) -> None:
        """No answer came: the dispatcher is passed by for a while."""
        now = self._clock()
        peer = self._peer(address)
        peer.misses += 1
        peer.round_trip.back_off()
        peer.passed_by_until = now + self._random.uniform(*PASSED_BY_SECONDS)
        if peer.misses >= MISSES_OF_A_LOST_DISPATCHER:
            peer.lost_until = now + LOST_SECONDS
            peer.misses = 0
        log_event(LogEvent.DISPATCHER_LOST, dispatcher=address, misses=peer.misses)
