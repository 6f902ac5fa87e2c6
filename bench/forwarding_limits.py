"""Workers of a randomised run that name in their answers how many requests a second they take.

They do so in series, one beside the other, lower and raise what they name, and name nothing again. The
judge counts what each of them gets from all nodes together.
"""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from bench.forwarding_judge import CONTACT_SECONDS
from bench.forwarding_record import Call, LimitNamed, Part, Record
from bench.forwarding_series import one_or_all_of_a_service, strike_in_series
from bench.forwarding_world import ROOT, World
from standins.platform_worker import PlatformWorker

PAUSE_SECONDS = (0.5, 3.0)
"""Range of the pause between two such workers."""

STAND_SECONDS = (0.5, 9.0)
"""Range of how long one value is named."""

MOST_CHANGES = 3
"""Most values that a worker names one after the other."""

WHOLE_SERVICE_SHARE = 0.2
"""How often all workers of a service name a limit together."""

RATES = ("0", "0.5", "1", "2.5", "6", "20")
UNREADABLE_RATES = ("soon", "-3", "nan", "1e400")
UNREADABLE_SHARE = 0.1
"""How often what is written is no number, between two that are."""

WINDOW_SECONDS = 4.0
ALLOWED_SHARE, ALLOWED_EXTRA = 1.5, 5
"""In each window a worker gets so many times what its limit allows, and so many requests more."""

PASSED_ON_SECONDS = 0.5
"""A node counts from so long after it passed an answer with the limit on."""


class LimitFaults:
    """Has workers name limits.

    :ivar counts: how often each value was named.
    """

    def __init__(self, world: World, rng: random.Random):
        self._world = world
        self._rng = rng
        self.counts: Counter[str] = Counter()

    async def run(self, until: float) -> None:
        """Strike until a moment, and end when all is over."""
        await strike_in_series(
            self._rng, until, PAUSE_SECONDS, lambda: lambda own: self._strike(own, until)
        )

    async def _strike(self, rng: random.Random, until: float) -> None:
        workers = one_or_all_of_a_service(
            self._world, rng, WHOLE_SERVICE_SHARE, lambda one: not one.announced_limit
        )
        for _ in range(rng.randint(1, MOST_CHANGES)):
            unreadable = rng.random() < UNREADABLE_SHARE
            value = rng.choice(UNREADABLE_RATES if unreadable else RATES)
            for worker in workers:
                self._name(worker, value)
            await asyncio.sleep(
                min(rng.uniform(*STAND_SECONDS), max(0.0, until - time.monotonic()))
            )
        for worker in workers:
            self._name(worker, "")

    def _name(self, worker: PlatformWorker, value: str) -> None:
        self.counts[value or "none"] += 1
        worker.announced_limit = value
        self._world.record.limits.append(LimitNamed(worker, time.monotonic(), value))


class _Period(NamedTuple):
    """A time in which one start of a worker named one limit."""

    rate: float
    began_at: float
    ended_at: float


class LimitJudge:
    """Judges what nodes sent to workers that named a limit.

    :ivar judged: how many periods and windows fell under the bound.
    """

    def __init__(self, record: Record):
        self._record = record
        self._calls = {call.request_id: call for call in record.calls}
        self.judged: Counter[str] = Counter()

    def judge(self) -> None:
        """Judge the whole record."""
        for place, worker in self._record.workers.items():
            for period in self._periods(worker):
                self._judge_period(place, worker, period)

    def _periods(self, worker: PlatformWorker) -> Iterator[_Period]:
        namings = [one for one in self._record.limits if one.worker is worker]
        for number, naming in enumerate(namings):
            if naming.value in RATES:
                later = [one.at for one in namings[number + 1 :]]
                yield _Period(float(naming.value), naming.at, min(later, default=float("inf")))

    def _judge_period(self, place: str, worker: PlatformWorker, period: _Period) -> None:
        passed_on_at = self._passed_on(worker, period)
        arrivals = [
            at
            for request_id, at in worker.arrivals
            if period.began_at <= at <= period.ended_at
            and self._counts(self._calls.get(request_id), at, passed_on_at)
        ]
        allowed = ALLOWED_SHARE * period.rate * WINDOW_SECONDS + ALLOWED_EXTRA
        for end in arrivals:
            if end < period.began_at + CONTACT_SECONDS:
                continue
            self.judged["windows of limits"] += 1
            count = sum(end - WINDOW_SECONDS < at <= end for at in arrivals)
            if count > allowed:
                self._record.violations.append(
                    f"LIMIT {place} names {period.rate:g} a second since "
                    f"{self._record.seconds(period.began_at)} s and got {count} requests in "
                    f"{WINDOW_SECONDS:g} s until {self._record.seconds(end)} s; allowed {allowed:g}"
                )
                return

    def _passed_on(self, worker: PlatformWorker, period: _Period) -> dict[str, float]:
        """Return when each node first passed an answer with this limit on."""
        passed_on_at: dict[str, float] = {}
        for run in worker.runs:
            call = self._calls.get(run.request_id)
            if call is None or call.limited_worker != worker.id or not call.limit:
                continue
            in_time = period.began_at <= call.ended_at <= period.ended_at
            if in_time and call.limit in RATES and float(call.limit) == period.rate:
                first = min(call.ended_at, passed_on_at.get(call.node, call.ended_at))
                passed_on_at[call.node] = first
        self.judged["limits passed on"] += len(passed_on_at)
        return passed_on_at

    def _counts(self, call: Call | None, at: float, passed_on_at: dict[str, float]) -> bool:
        """Whether a request is one of those that the bound counts."""
        if call is None or call.node not in passed_on_at:
            return False
        since = passed_on_at[call.node]
        return at >= since + PASSED_ON_SECONDS and not self._is_excused(call.node, since, at)

    def _is_excused(self, node: str, since: float, until: float) -> bool:
        """Whether a restart, freeze or cut of a node excuses it, or it runs an older build."""
        record = self._record
        if any(
            one.node == node and one.began_at < until and one.ended_at > since
            for one in record.strikes
        ):
            return True
        if any(
            one.name == node and one.part in (Part.NODE, Part.LINK) and one.touches(since, until)
            for one in record.disruptions
        ):
            return True
        builds = [one.build for one in record.builds if one.node == node and one.at <= until]
        return bool(builds) and builds[-1] != ROOT.name
