"""What workers say of themselves in their answers: that they leave, and that they want backoff.

Pure: the clock is injected. All is held by incarnation of a worker, so another incarnation under its id owes
nothing to it. Leaving is final: no entry, listing or outage takes it back. A backoff is asked of one
node and kept by that node alone. Without both, three nodes sent 98 requests in 6 s to a worker that
leaves, later than the time that it drains, and 55 in the 3 s for which one had asked for backoff
(nodes and stand-ins, 80 requests a second).
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from wheelslip.deployment import Incarnation

MAX_STARTS = 4096
"""Starts of which something is kept, the newest; some times the workers of the largest deployment
planned for (850)."""

MAX_REST_SECONDS = 600.0
"""Longest backoff that is kept, in seconds. A worker that wants more asks again when it is over; one
that asks for ever by mistake is not lost for ever."""

LEAST_NEWS_SECONDS = 0.5
"""A backoff whose end is put off by less is no news: requests that were under way together are turned
away one after the other."""

INITIAL_CONCURRENCY = 1
"""Requests that one node has at a worker at a time after its backoff, until one has been served; then
one more for each served, so twice as many each round. A worker that is still full turns one away
and not all that have waited."""

MOST_AFTER_REST = 16
"""From so many on, the number is not limited any more."""

RECOVERED_SECONDS = 10.0
"""So long after a backoff the number is not limited any more, whatever became of the first requests."""


class RecoverySlot(NamedTuple):
    """The place of one request among the first after a backoff."""

    incarnation: Incarnation
    backoff: int


class EndedBackoff(NamedTuple):
    """A backoff that is over, and how many seconds it lasted."""

    incarnation: Incarnation
    seconds: float


@dataclass
class _Rest:
    """A backoff and the time after it.

    :ivar number: tells one backoff of a incarnation from the next.
    :ivar over: its end has been told.
    :ivar max_in_flight: requests that may be under way after it.
    :ivar running: those that are.
    """

    number: int
    began_at: float
    until: float
    over: bool = False
    max_in_flight: int = INITIAL_CONCURRENCY
    running: int = 0


class WorkerNotices:
    """What one node has heard from workers.

    :param clock: steady clock in seconds.
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._leaving: dict[Incarnation, None] = {}
        self._rests: dict[Incarnation, _Rest] = {}
        self._rests_begun = 0

    # Hearing

    def record_leaving(self, incarnation: Incarnation) -> bool:
        """A incarnation of a worker said that it leaves; return whether that is news."""
        if incarnation in self._leaving:
            return False
        self._leaving[incarnation] = None
        if len(self._leaving) > MAX_STARTS:
            del self._leaving[next(iter(self._leaving))]
        return True

    def record_backoff(self, incarnation: Incarnation, seconds: float) -> bool:
        """A incarnation of a worker asked for backoff; return whether that is news.

        Of several answers the latest end counts, since each is a promise of its own.
        """
        now = self._clock()
        until = now + min(seconds, MAX_REST_SECONDS)
        current = self._rests.get(incarnation)
        if not until > now or (current is not None and until <= current.until):
            return False
        if current is not None and now < current.until:
            is_news = until - current.until > LEAST_NEWS_SECONDS
            current.until = until
            return is_news
        self._rests_begun += 1
        self._rests[incarnation] = _Rest(self._rests_begun, now, until)
        if len(self._rests) > MAX_STARTS:
            del self._rests[min(self._rests, key=lambda one: self._rests[one].until)]
        return True

    def expire(self) -> list[EndedBackoff]:
        """Forget what is long over; return the rests that have ended since the last call."""
        now = self._clock()
        ended = []
        for incarnation, backoff in list(self._rests.items()):
            if now < backoff.until:
                continue
            if not backoff.over:
                backoff.over = True
                ended.append(EndedBackoff(incarnation, backoff.until - backoff.began_at))
            if now >= backoff.until + RECOVERED_SECONDS:
                del self._rests[incarnation]
        return ended

    # Asking

    def is_leaving(self, incarnation: Incarnation) -> bool:
        """Whether a incarnation of a worker has said that it leaves."""
        return incarnation in self._leaving

    def may_begin(self, incarnation: Incarnation) -> bool:
        """Whether a request may begin now at a incarnation of a worker."""
        if incarnation in self._leaving:
            return False
        backoff = self._rests.get(incarnation)
        return backoff is None or self._has_room(backoff)

    def _has_room(self, backoff: _Rest) -> bool:
        now = self._clock()
        if now < backoff.until:
            return False
        return backoff.running < backoff.max_in_flight or now >= backoff.until + RECOVERED_SECONDS

    def withheld(self, starts: Iterable[Incarnation]) -> frozenset[Incarnation]:
        """Return those of some workers at which no request may begin now."""
        if not self._leaving and not self._rests:
            return frozenset()
        return frozenset(one for one in starts if not self.may_begin(one))

    def backoff_until(self, incarnation: Incarnation) -> float:
        """Return when the backoff of a worker ends; long ago for one that asked for none."""
        backoff = self._rests.get(incarnation)
        return backoff.until if backoff is not None else float("-inf")

    @property
    def backing_off_count(self) -> int:
        """The number of workers that backoff now."""
        now = self._clock()
        return sum(now < backoff.until for backoff in self._rests.values())

    # The first requests after a backoff

    def begin(self, incarnation: Incarnation) -> RecoverySlot | None:
        """A request is sent to a worker; return its place if it is among the first after a backoff."""
        backoff = self._rests.get(incarnation)
        if backoff is None:
            return None
        backoff.running += 1
        return RecoverySlot(incarnation, backoff.number)

    def end(self, turn: RecoverySlot | None, was_served: bool) -> bool:
        """Such a request has ended; return whether others may begin for it.

        :param was_served: its worker ran it.
        """
        backoff = self._rests.get(turn.incarnation) if turn is not None else None
        if backoff is None or backoff.number != turn.backoff:
            return False
        backoff.running -= 1
        if was_served:
            # Twice as many for each would let in all that waits when a few are served together.
            backoff.max_in_flight += 1
        if backoff.max_in_flight >= MOST_AFTER_REST and self._clock() >= backoff.until:
            del self._rests[turn.incarnation]
        return True
