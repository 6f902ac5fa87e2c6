"""Workers of a randomised run that announce rate limits in their responses.

Workers change their limits over time and then stop announcing them. The checker counts the requests
that a worker receives from all nodes together.
"""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from bench.forwarding.callers import Callers
from bench.forwarding.judge import CONTACT_SECONDS
from bench.forwarding.record import AnnouncedLimit, Call, Component, Record
from bench.forwarding.series import draw_workers, inject_in_series
from bench.forwarding.world import ROOT, World
from standins.platform_worker import PlatformWorker

PAUSE_SECONDS = (0.5, 3.0)
"""Range of the time between the starts of two series of announcements."""

ANNOUNCED_SECONDS = (0.5, 9.0)
"""Range of how long a value is announced."""

MAX_CHANGES = 3
"""Maximum number of values in a series."""

WHOLE_SERVICE_SHARE = 0.2
"""Probability that all workers of a service announce the limit."""

RATES = ("0", "0.5", "1", "2.5", "6", "20")
"""Announced limits in requests per second, as they are written in responses."""

INVALID_RATES = ("soon", "-3", "nan", "1e400")
INVALID_SHARE = 0.1
"""Probability that an announced value is invalid."""

WINDOW_SECONDS = 4.0
ALLOWED_FACTOR, ALLOWED_EXTRA_REQUESTS = 1.5, 5
"""A worker receives at most its limit times the factor, plus the extra requests, in each window."""

GRACE_SECONDS = 0.5
"""Requests of a node are counted from this time after it first forwarded the limit."""

UNDISTURBED_RATE = "6"
UNDISTURBED_SECONDS = CONTACT_SECONDS + WINDOW_SECONDS
UNDISTURBED_NODES = 2
CALLERS_PER_NODE = 2
UNDISTURBED_PAUSE_SECONDS = 0.02
"""Announcement after all faults, so that every run has windows in which a limit applies."""


class LimitFaults:
    """Lets workers announce rate limits.

    :ivar counts: number of announcements by value; ``none`` for their end.
    """

    def __init__(self, world: World, rng: random.Random):
        self._world = world
        self._rng = rng
        self.counts: Counter[str] = Counter()

    async def run(self, until: float) -> None:
        """Start series of announcements, and return when all have ended.

        :param until: monotonic time after which no series is started.
        """
        await inject_in_series(
            self._rng,
            until,
            PAUSE_SECONDS,
            lambda: lambda series_rng: self._announce_series(series_rng, until),
        )

    async def announce_undisturbed(self, callers: Callers) -> None:
        """Announce a limit at both plain workers while some nodes send more than it allows.

        All faults have ended and all nodes serve.
        """
        world = self._world
        workers = [
            worker
            for worker in world.site.workers.values()
            if world.service_of[worker.id] == "plain"
        ]
        for worker in workers:
            self._announce(worker, UNDISTURBED_RATE)
        nodes = self._rng.sample(world.nodes, min(UNDISTURBED_NODES, len(world.nodes)))
        ends_at = time.monotonic() + UNDISTURBED_SECONDS

        async def send(node: str) -> None:
            while time.monotonic() < ends_at:
                await callers.call(node, "/safe/x", world.keys[-1])
                await asyncio.sleep(UNDISTURBED_PAUSE_SECONDS)

        await asyncio.gather(*(send(node) for node in nodes * CALLERS_PER_NODE))
        for worker in workers:
            self._announce(worker, "")

    async def _announce_series(self, rng: random.Random, until: float) -> None:
        workers = draw_workers(
            self._world, rng, WHOLE_SERVICE_SHARE, lambda worker: not worker.announced_limit
        )
        for _ in range(rng.randint(1, MAX_CHANGES)):
            is_invalid = rng.random() < INVALID_SHARE
            value = rng.choice(INVALID_RATES if is_invalid else RATES)
            for worker in workers:
                self._announce(worker, value)
            await asyncio.sleep(
                min(rng.uniform(*ANNOUNCED_SECONDS), max(0.0, until - time.monotonic()))
            )
        for worker in workers:
            self._announce(worker, "")

    def _announce(self, worker: PlatformWorker, value: str) -> None:
        self.counts[value or "none"] += 1
        worker.announced_limit = value
        self._world.record.announced_limits.append(AnnouncedLimit(worker, time.monotonic(), value))


class _Period(NamedTuple):
    """Period in which one incarnation of a worker announced one limit."""

    rate: float
    began_at: float
    ended_at: float


class LimitChecker:
    """Checks that nodes together respect the rate limits that workers announce.

    :ivar checked: number of limits that nodes forwarded, and of windows checked.
    """

    def __init__(self, record: Record):
        self._record = record
        self._calls = {call.request_id: call for call in record.calls}
        self.checked: Counter[str] = Counter()

    def check(self) -> None:
        """Check the complete record."""
        for incarnation, worker in self._record.workers.items():
            for period in self._periods(worker):
                self._check_period(incarnation, worker, period)

    def _periods(self, worker: PlatformWorker) -> Iterator[_Period]:
        announcements = [limit for limit in self._record.announced_limits if limit.worker is worker]
        for number, announcement in enumerate(announcements):
            if announcement.value in RATES:
                end_times = [later.at for later in announcements[number + 1 :]]
                yield _Period(
                    float(announcement.value), announcement.at, min(end_times, default=float("inf"))
                )

    def _check_period(self, incarnation: str, worker: PlatformWorker, period: _Period) -> None:
        forwarded_at = self._first_forwarded_at(worker, period)
        arrivals = [
            at
            for request_id, at in worker.arrivals
            if period.began_at <= at <= period.ended_at
            and self._is_counted(self._calls.get(request_id), at, forwarded_at)
        ]
        allowed = ALLOWED_FACTOR * period.rate * WINDOW_SECONDS + ALLOWED_EXTRA_REQUESTS
        for end in arrivals:
            if end < period.began_at + CONTACT_SECONDS:
                continue
            self.checked["windows of limits"] += 1
            count = sum(end - WINDOW_SECONDS < at <= end for at in arrivals)
            if count > allowed:
                self._record.violations.append(
                    f"LIMIT {incarnation} names {period.rate:g} a second since "
                    f"{self._record.seconds(period.began_at)} s and got {count} requests in "
                    f"{WINDOW_SECONDS:g} s until {self._record.seconds(end)} s; allowed {allowed:g}"
                )
                return

    def _first_forwarded_at(self, worker: PlatformWorker, period: _Period) -> dict[str, float]:
        """Return when each node first forwarded a response with the limit of this period."""
        forwarded_at: dict[str, float] = {}
        for run in worker.runs:
            call = self._calls.get(run.request_id)
            if call is None or call.limited_worker != worker.id or not call.limit:
                continue
            in_time = period.began_at <= call.ended_at <= period.ended_at
            if in_time and call.limit in RATES and float(call.limit) == period.rate:
                first_at = min(call.ended_at, forwarded_at.get(call.node, call.ended_at))
                forwarded_at[call.node] = first_at
        self.checked["limits passed on"] += len(forwarded_at)
        return forwarded_at

    def _is_counted(self, call: Call | None, at: float, forwarded_at: dict[str, float]) -> bool:
        """Whether the limit applies to a request."""
        if call is None or call.node not in forwarded_at:
            return False
        since = forwarded_at[call.node]
        return at >= since + GRACE_SECONDS and not self._is_exempt(call.node, since, at)

    def _is_exempt(self, node: str, since: float, until: float) -> bool:
        """Whether a node was disrupted within a time range, or runs an older build."""
        record = self._record
        if any(
            outage.node == node and outage.began_at < until and outage.ended_at > since
            for outage in record.node_outages
        ):
            return True
        if any(
            disruption.name == node
            and disruption.component in (Component.NODE, Component.LINK)
            and disruption.overlaps(since, until)
            for disruption in record.disruptions
        ):
            return True
        builds = [
            start.build
            for start in record.process_starts
            if start.node == node and start.at <= until
        ]
        return bool(builds) and builds[-1] != ROOT.name
