"""Notices that workers send in their responses: that they are leaving, or need a backoff.

All notices belong to one incarnation of a worker and do not apply to a later one. A leaving notice
is final: neither a registry entry nor an outage of the store revokes it. A backoff (a 503 response
with ``Retry-After``) applies to the node that received the response, and only to that node. After a
backoff, the number of concurrent requests of this node at the worker is limited at first and rises
with each request served.

The module does no I/O; the clock is injected.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from wheelslip.deployment import Incarnation

MAX_INCARNATIONS = 4096
"""Maximum number of incarnations for which notices of one kind are stored."""

MAX_BACKOFF_SECONDS = 600.0
"""Upper bound of a backoff, so that a faulty worker is not excluded permanently; one that needs longer
asks again."""

MIN_EXTENSION_SECONDS = 0.5
"""Smallest extension of a backoff that is reported. Requests in flight together are rejected one
after the other."""

INITIAL_CONCURRENCY = 1
"""Concurrent requests of this node at a worker after its backoff. Each request served raises the
limit by one, which doubles it each round."""

MAX_CONCURRENCY_LIMIT = 16
"""The concurrency is unlimited once the limit reaches this value."""

RECOVERY_SECONDS = 10.0
"""Time after a backoff at which the concurrency is unlimited in any case."""


class RecoverySlot(NamedTuple):
    """A request that counts towards the concurrency limit after a backoff.

    :ivar backoff: number of the backoff.
    """

    incarnation: Incarnation
    backoff: int


class EndedBackoff(NamedTuple):
    """A backoff that has ended, and its duration in seconds."""

    incarnation: Incarnation
    seconds: float


@dataclass
class _Backoff:
    """A backoff and the recovery after it.

    :ivar number: distinguishes successive backoffs.
    :ivar end_reported: the end was returned by :meth:`WorkerNotices.expire`.
    :ivar max_in_flight: allowed concurrent requests after the backoff.
    :ivar in_flight: current number of concurrent requests.
    """

    number: int
    began_at: float
    until: float
    end_reported: bool = False
    max_in_flight: int = INITIAL_CONCURRENCY
    in_flight: int = 0


class WorkerNotices:
    """Notices that one node has received from workers.

    :param clock: steady clock in seconds.
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._leaving: dict[Incarnation, None] = {}
        self._backoffs: dict[Incarnation, _Backoff] = {}
        self._last_number = 0

    def record_leaving(self, incarnation: Incarnation) -> bool:
        """Record that a worker is leaving; return whether this was unknown."""
        if incarnation in self._leaving:
            return False
        self._leaving[incarnation] = None
        if len(self._leaving) > MAX_INCARNATIONS:
            del self._leaving[next(iter(self._leaving))]
        return True

    def record_backoff(self, incarnation: Incarnation, seconds: float) -> bool:
        """Record that a worker requests a backoff.

        Of several overlapping backoffs the latest end applies.

        :return: whether a backoff begins or is extended noticeably.
        """
        now = self._clock()
        until = now + min(seconds, MAX_BACKOFF_SECONDS)
        current = self._backoffs.get(incarnation)
        if not until > now or (current is not None and until <= current.until):
            return False
        if current is not None and now < current.until:
            is_extended = until - current.until > MIN_EXTENSION_SECONDS
            current.until = until
            return is_extended
        self._last_number += 1
        self._backoffs[incarnation] = _Backoff(self._last_number, now, until)
        if len(self._backoffs) > MAX_INCARNATIONS:
            del self._backoffs[min(self._backoffs, key=lambda key: self._backoffs[key].until)]
        return True

    def expire(self) -> list[EndedBackoff]:
        """Delete recovered backoffs; return the backoffs that ended since the last call."""
        now = self._clock()
        ended = []
        for incarnation, backoff in list(self._backoffs.items()):
            if now < backoff.until:
                continue
            if not backoff.end_reported:
                backoff.end_reported = True
                ended.append(EndedBackoff(incarnation, backoff.until - backoff.began_at))
            if now >= backoff.until + RECOVERY_SECONDS:
                del self._backoffs[incarnation]
        return ended

    def is_leaving(self, incarnation: Incarnation) -> bool:
        """Return whether a worker has announced that it is leaving."""
        return incarnation in self._leaving

    def may_begin(self, incarnation: Incarnation) -> bool:
        """Return whether a request may begin at a worker now."""
        if incarnation in self._leaving:
            return False
        backoff = self._backoffs.get(incarnation)
        return backoff is None or self._may_begin_after(backoff)

    def _may_begin_after(self, backoff: _Backoff) -> bool:
        now = self._clock()
        if now < backoff.until:
            return False
        return backoff.in_flight < backoff.max_in_flight or now >= backoff.until + RECOVERY_SECONDS

    def withheld(self, incarnations: Iterable[Incarnation]) -> frozenset[Incarnation]:
        """Return the subset of workers at which no request may begin now."""
        if not self._leaving and not self._backoffs:
            return frozenset()
        return frozenset(
            incarnation for incarnation in incarnations if not self.may_begin(incarnation)
        )

    def backoff_until(self, incarnation: Incarnation) -> float:
        """Return when the backoff of a worker ends, minus infinity if it has requested none."""
        backoff = self._backoffs.get(incarnation)
        return backoff.until if backoff is not None else float("-inf")

    @property
    def backing_off_count(self) -> int:
        """The number of workers in a backoff now."""
        now = self._clock()
        return sum(now < backoff.until for backoff in self._backoffs.values())

    def begin(self, incarnation: Incarnation) -> RecoverySlot | None:
        """Count a request that is sent to a worker.

        :return: its slot if the worker is in a backoff or recovers from one, otherwise ``None``.
        """
        backoff = self._backoffs.get(incarnation)
        if backoff is None:
            return None
        backoff.in_flight += 1
        return RecoverySlot(incarnation, backoff.number)

    def end(self, slot: RecoverySlot | None, was_served: bool) -> bool:
        """Release the slot of a request that has ended.

        :param was_served: the worker ran the request.
        :return: whether other requests may begin as a result.
        """
        backoff = self._backoffs.get(slot.incarnation) if slot is not None else None
        if backoff is None or backoff.number != slot.backoff:
            return False
        backoff.in_flight -= 1
        if was_served:
            # Doubling here would multiply the limit when several requests end in one round.
            backoff.max_in_flight += 1
        if backoff.max_in_flight >= MAX_CONCURRENCY_LIMIT and self._clock() >= backoff.until:
            del self._backoffs[slot.incarnation]
        return True
