"""Reservations of worker capacity for rejected callers that return when told.

A rejected caller is told a time, and capacity to start one request is reserved for then. The
caller returns with a new request id, perhaps at another node, and is recognised by the fingerprint
of its request. The module does no I/O; times are arguments.
"""

import math
from bisect import bisect_left, bisect_right, insort
from typing import NamedTuple

EARLY_RETURN_SECONDS = 0.25
"""A caller may return this long before its time: timers of callers and the clocks of two machines
differ by less."""

LAPSE_SECONDS = 1.0
"""A reservation lapses this long after its time."""

MAX_RESERVATIONS = 4096
"""Maximum number of open reservations: the number of requests that a queue holds. If the workers
stop, all of these callers return into the queue."""

LOWER_PRIORITY_STRIDE = 2
"""Reservations of callers for which a more urgent one is likely to ask soon are this many spacings
apart, so that every second place stays free."""

URGENT_MEMORY_SECONDS = 5.0
"""Places are kept free for a priority as long as callers of it were rejected within this time. A
service whose requests all have one priority loses no places."""

MIN_SPACING_SECONDS = 0.0005
"""Shorter spacings are raised to this; bounds the number of claimed places that are remembered."""

SPACING_STEP = 1.1
"""Spacings are rounded up to a power of this, so that searches with similar spacings share what
they have found to be taken. Costs 5% of the places on average."""

MAX_SEARCHES = 32
"""Number of spacings for which the taken ranges are remembered. Covers a factor of 4 in the rate of
the workers for both kinds of callers."""

TOLERANCE_SECONDS = 1e-6
"""Absorbs rounding of sums of times."""


class Reservation(NamedTuple):
    """Capacity reserved for a rejected caller.

    :ivar time: start time told to the caller.
    :ivar priority: 0 is the most urgent.
    """

    content: str
    time: float
    priority: int


class ReturnReservations:
    """Open reservations of one service.

    A reservation keeps its distance from all others, so at most one falls into each
    ``seconds_between``. A place stays taken until :data:`LAPSE_SECONDS` after its time, whether or
    not its caller has returned, because a caller that has returned uses the place.

    Times that were told to callers are never changed. Urgent callers get earlier places by places
    that stay free for them: while callers of a more urgent priority were rejected within
    :data:`URGENT_MEMORY_SECONDS`, the others do not get the first free place if ``latest`` allows a
    later one, and keep :data:`LOWER_PRIORITY_STRIDE` times the distance from each other. Urgent
    callers can thus take at least every second place.

    A search skips ranges that earlier searches found to be taken, and hence passes each
    reservation once: amortized time is logarithmic in the number of reservations.
    """

    def __init__(self):
        self._open: dict[str, Reservation] = {}
        self._times: dict[int, list[float]] = {}
        self._last_rejected: dict[int, float] = {}
        self._places: list[float] = []
        self._lower_places: list[float] = []
        self._lapsing: list[tuple[float, str]] = []
        self._taken: dict[tuple[int, bool], _TakenRanges] = {}

    def __len__(self) -> int:
        """Return the number of open reservations."""
        return len(self._open)

    def reserve(
        self,
        content: str,
        priority: int,
        now: float,
        earliest: float,
        latest: float,
        seconds_between: float,
    ) -> float | None:
        """Reserve a start for a rejected caller.

        A content with an open reservation keeps it, so that a caller gains nothing by returning
        early or by sending the same request several times.

        :param content: fingerprint of the request.
        :param earliest: time from which the workers can start one more request.
        :param latest: time up to which the caller is willing to wait.
        :param seconds_between: time in which the workers start one request.
        :return: time of the reserved start, ``None`` if none is free up to ``latest``.
        """
        self.expire(now)
        self._last_rejected[priority] = now
        existing = self._open.get(content)
        if existing is not None:
            return existing.time if existing.time <= latest else None
        if len(self._places) >= MAX_RESERVATIONS or not math.isfinite(seconds_between):
            return None
        is_lower = priority > self._most_urgent(now)
        time = self._free_place(max(now, earliest), latest, seconds_between, is_lower)
        if time is not None:
            self._add(Reservation(content, time, priority), is_lower)
        return time

    def claim(self, content: str, now: float) -> Reservation | None:
        """End and return the reservation of a caller that has returned.

        :return: ``None`` if there is none, or if the caller is more than
            :data:`EARLY_RETURN_SECONDS` early, in which case it keeps its reservation.
        """
        self.expire(now)
        reservation = self._open.get(content)
        if reservation is None or now < reservation.time - EARLY_RETURN_SECONDS:
            return None
        self._close(reservation)
        return reservation

    def due_before(self, time: float, priority: int) -> int:
        """Return the number of open reservations due before a time.

        Reservations that lapsed after the last call of a method with ``now`` are included.

        :param priority: reservations with a higher priority number are not counted.
        """
        return sum(
            bisect_left(times, time) for other, times in self._times.items() if other <= priority
        )

    def expire(self, now: float) -> None:
        """Delete reservations that have lapsed."""
        lapsed_until = now - LAPSE_SECONDS
        if not self._places or self._places[0] >= lapsed_until:
            return
        lapsed = bisect_left(self._lapsing, (lapsed_until, ""))
        for time, content in self._lapsing[:lapsed]:
            reservation = self._open.get(content)
            if reservation is not None and reservation.time == time:
                self._close(reservation)
        del self._lapsing[:lapsed]
        del self._places[: bisect_left(self._places, lapsed_until)]
        del self._lower_places[: bisect_left(self._lower_places, lapsed_until)]
        for ranges in self._taken.values():
            ranges.drop_before(now)

    def _most_urgent(self, now: float) -> int:
        """Return the most urgent priority of recently rejected callers."""
        return min(
            priority
            for priority, rejected_at in self._last_rejected.items()
            if now - rejected_at <= URGENT_MEMORY_SECONDS
        )

    def _free_place(
        self, earliest: float, latest: float, seconds_between: float, is_lower: bool
    ) -> float | None:
        step = math.ceil(math.log(max(seconds_between, MIN_SPACING_SECONDS), SPACING_STEP))
        first = self._search(step, earliest, latest, is_lower=False)
        if not is_lower:
            return first
        if first is None:
            return None
        after_first = self._search(step, first + SPACING_STEP**step, latest, is_lower)
        if after_first is not None:
            return after_first
        return self._search(step, first, latest, is_lower)

    def _taken_ranges(self, key: tuple[int, bool]) -> "_TakenRanges":
        """Return the ranges of a spacing; the least recently used spacing is dropped."""
        ranges = self._taken.pop(key, None) or _TakenRanges()
        self._taken[key] = ranges
        if len(self._taken) > MAX_SEARCHES:
            del self._taken[next(iter(self._taken))]
        return ranges

    def _search(self, step: int, earliest: float, latest: float, is_lower: bool) -> float | None:
        """Return the first free time, ``None`` if none is free up to ``latest``."""
        spacing = SPACING_STEP**step
        taken = self._taken_ranges((step, is_lower))
        time = earliest
        while time <= latest:
            free_from = taken.end_of_range(time)
            free_from = _end_of_conflict(self._places, free_from, spacing)
            if is_lower:
                distance = LOWER_PRIORITY_STRIDE * spacing
                free_from = _end_of_conflict(self._lower_places, free_from, distance)
            if free_from == time:
                break
            time = free_from
        taken.add(earliest, time)
        return time if time <= latest else None

    def _add(self, reservation: Reservation, is_lower: bool) -> None:
        self._open[reservation.content] = reservation
        insort(self._times.setdefault(reservation.priority, []), reservation.time)
        insort(self._lapsing, (reservation.time, reservation.content))
        insort(self._places, reservation.time)
        if is_lower:
            insort(self._lower_places, reservation.time)

    def _close(self, reservation: Reservation) -> None:
        del self._open[reservation.content]
        times = self._times[reservation.priority]
        del times[bisect_left(times, reservation.time)]


def _end_of_conflict(places: list[float], time: float, distance: float) -> float:
    """Return the end of the last conflict of a time with places, the time itself without one.

    :param distance: places nearer than this are in conflict.
    """
    index = bisect_left(places, time + distance - TOLERANCE_SECONDS) - 1
    if index >= 0 and places[index] > time - distance + TOLERANCE_SECONDS:
        return places[index] + distance
    return time


class _TakenRanges:
    """Disjoint ranges of time without a free place for one spacing.

    Ranges only grow. A place lapses after its time, so it frees future times only for spacings
    longer than :data:`LAPSE_SECONDS`; these stay unused for up to a spacing.
    """

    def __init__(self):
        self._starts: list[float] = []
        self._ends: list[float] = []

    def end_of_range(self, time: float) -> float:
        """Return the end of the range around a time, the time itself outside of all ranges."""
        index = bisect_right(self._starts, time) - 1
        return max(time, self._ends[index]) if index >= 0 else time

    def add(self, start: float, end: float) -> None:
        """Add a range and merge it with those that it touches."""
        if end <= start:
            return
        first = bisect_left(self._ends, start)
        last = bisect_right(self._starts, end)
        if first < last:
            start = min(start, self._starts[first])
            end = max(end, self._ends[last - 1])
        self._starts[first:last] = [start]
        self._ends[first:last] = [end]

    def drop_before(self, time: float) -> None:
        """Delete ranges that end before a time."""
        count = bisect_left(self._ends, time)
        del self._starts[:count]
        del self._ends[:count]
