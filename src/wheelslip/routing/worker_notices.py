"""What workers say of themselves in their answers: that they leave, and that they want rest.

Pure: the clock is injected. All is held by start of a worker, so another start under its id owes
nothing to it. Leaving is final: no entry, listing or outage takes it back. A rest is asked of one
node and kept by that node alone. Without both, three nodes sent 98 requests in 6 s to a worker that
leaves, later than the time that it drains, and 55 in the 3 s for which one had asked for rest
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
"""Longest rest that is kept, in seconds. A worker that wants more asks again when it is over; one
that asks for ever by mistake is not lost for ever."""

LEAST_NEWS_SECONDS = 0.5
"""A rest whose end is put off by less is no news: requests that were under way together are turned
away one after the other."""

FIRST_AFTER_REST = 1
"""Requests that one node has at a worker at a time after its rest, until one has been served; then
one more for each served, so twice as many each round. A worker that is still full turns one away
and not all that have waited."""

MOST_AFTER_REST = 16
"""From so many on, the number is not limited any more."""

RECOVERED_SECONDS = 10.0
"""So long after a rest the number is not limited any more, whatever became of the first requests."""


class RestTurn(NamedTuple):
    """The place of one request among the first after a rest."""

    start: Incarnation
    rest: int


class EndedRest(NamedTuple):
    """A rest that is over, and how many seconds it lasted."""

    start: Incarnation
    seconds: float


@dataclass
class _Rest:
    """A rest and the time after it.

    :ivar number: tells one rest of a start from the next.
    :ivar over: its end has been told.
    :ivar most: requests that may be under way after it.
    :ivar running: those that are.
    """

    number: int
    began_at: float
    until: float
    over: bool = False
    most: int = FIRST_AFTER_REST
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

    def note_leaving(self, start: Incarnation) -> bool:
        """A start of a worker said that it leaves; return whether that is news."""
        if start in self._leaving:
            return False
        self._leaving[start] = None
        if len(self._leaving) > MAX_STARTS:
            del self._leaving[next(iter(self._leaving))]
        return True

    def note_rest(self, start: Incarnation, seconds: float) -> bool:
        """A start of a worker asked for rest; return whether that is news.

        Of several answers the latest end counts, since each is a promise of its own.
        """
        now = self._clock()
        until = now + min(seconds, MAX_REST_SECONDS)
        known = self._rests.get(start)
        if not until > now or (known is not None and until <= known.until):
            return False
        if known is not None and now < known.until:
            is_news = until - known.until > LEAST_NEWS_SECONDS
            known.until = until
            return is_news
        self._rests_begun += 1
        self._rests[start] = _Rest(self._rests_begun, now, until)
        if len(self._rests) > MAX_STARTS:
            del self._rests[min(self._rests, key=lambda one: self._rests[one].until)]
        return True

    def expire(self) -> list[EndedRest]:
        """Forget what is long over; return the rests that have ended since the last call."""
        now = self._clock()
        ended = []
        for start, rest in list(self._rests.items()):
            if now < rest.until:
                continue
            if not rest.over:
                rest.over = True
                ended.append(EndedRest(start, rest.until - rest.began_at))
            if now >= rest.until + RECOVERED_SECONDS:
                del self._rests[start]
        return ended

    # Asking

    def is_leaving(self, start: Incarnation) -> bool:
        """Whether a start of a worker has said that it leaves."""
        return start in self._leaving

    def may_begin(self, start: Incarnation) -> bool:
        """Whether a request may begin now at a start of a worker."""
        if start in self._leaving:
            return False
        rest = self._rests.get(start)
        return rest is None or self._has_room(rest)

    def _has_room(self, rest: _Rest) -> bool:
        now = self._clock()
        if now < rest.until:
            return False
        return rest.running < rest.most or now >= rest.until + RECOVERED_SECONDS

    def withheld(self, starts: Iterable[Incarnation]) -> frozenset[Incarnation]:
        """Return those of some workers at which no request may begin now."""
        if not self._leaving and not self._rests:
            return frozenset()
        return frozenset(one for one in starts if not self.may_begin(one))

    def rest_until(self, start: Incarnation) -> float:
        """Return when the rest of a worker ends; long ago for one that asked for none."""
        rest = self._rests.get(start)
        return rest.until if rest is not None else float("-inf")

    @property
    def resting(self) -> int:
        """The number of workers that rest now."""
        now = self._clock()
        return sum(now < rest.until for rest in self._rests.values())

    # The first requests after a rest

    def begin(self, start: Incarnation) -> RestTurn | None:
        """A request is sent to a worker; return its place if it is among the first after a rest."""
        rest = self._rests.get(start)
        if rest is None:
            return None
        rest.running += 1
        return RestTurn(start, rest.number)

    def end(self, turn: RestTurn | None, was_served: bool) -> bool:
        """Such a request has ended; return whether others may begin for it.

        :param was_served: its worker ran it.
        """
        rest = self._rests.get(turn.start) if turn is not None else None
        if rest is None or rest.number != turn.rest:
            return False
        rest.running -= 1
        if was_served:
            # Twice as many for each would let in all that waits when a few are served together.
            rest.most += 1
        if rest.most >= MOST_AFTER_REST and self._clock() >= rest.until:
            del self._rests[turn.start]
        return True
