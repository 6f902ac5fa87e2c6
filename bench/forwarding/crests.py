"""Bursts above the capacity of the workers in a randomised run, and faults of the dispatcher.

Rejected callers return with the same body under a new request id, at any node. Some wait as long as
``Retry-After`` says, the others return at once.
"""

import asyncio
import random
import signal
import time
from collections import Counter
from typing import NamedTuple

from bench.forwarding.callers import PATHS, Callers
from bench.forwarding.judge import ROUTE_TIMEOUT_SECONDS, RunChecker
from bench.forwarding.record import Call, Component, Record
from bench.forwarding.world import CREST_CONFIGURATION, SERVICES, World
from standins.fault_proxy import Fault

BURST_SECONDS = (1.0, 3.0)
"""Range of the duration of a burst."""

QUIET_SECONDS = (0.5, 2.5)
"""Range of the time between two bursts."""

BURST_RATES = (80, 130)
"""Range of new callers per second. The workers serve about 40 plain and 25 streamed requests per
second."""

STRIKE_SHARE = 0.6
"""Probability that a fault strikes a dispatcher during a burst."""

STRIKE_SECONDS = (0.5, 3.0)
"""Range of the duration of a pause or a cut."""

HONOURING_SHARE = 0.6
"""Probability that a caller waits as long as ``Retry-After`` says."""

MAX_RETURNS = 3
MAX_WAIT_SECONDS = ROUTE_TIMEOUT_SECONDS / 3
"""A caller does not wait longer than this to return."""

IMPATIENT_SECONDS = 0.01
"""Pause of a caller that returns at once."""

ANSWER_ALLOWANCE_SECONDS = 1.0
"""A response may be complete this long after the deadline of its request."""

PRIORITIES = {route["path_prefix"]: route["priority"] for route in CREST_CONFIGURATION["routes"]}


def _priority_of(path: str) -> int:
    return next(value for prefix, value in PRIORITIES.items() if path.startswith(prefix))


class _Outcome(NamedTuple):
    """Outcome of one caller of a burst.

    :ivar honours_times: whether the caller waits as long as it is told.
    :ivar returned: whether it was rejected and returned at least once. Callers that honour times
        do not return if they are told none or one that is too late for them.
    """

    priority: int
    honours_times: bool
    returned: bool
    was_served: bool


class CrestCallers:
    """Sends bursts of requests and strikes dispatchers.

    :ivar counts: number of bursts, of callers and of strikes by kind.
    """

    def __init__(self, world: World, callers: Callers, rng: random.Random):
        self._world = world
        self._callers = callers
        self._rng = rng
        self._outcomes: list[_Outcome] = []
        self.counts: Counter[str] = Counter()

    async def run(self, until: float) -> None:
        """Send bursts, and return when all of their callers and faults have ended.

        :param until: monotonic time after which no burst is started.
        """
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < until:
                self.counts["bursts"] += 1
                if self._rng.random() < STRIKE_SHARE:
                    group.create_task(self._strike(random.Random(self._rng.getrandbits(64))))
                await self._burst(group)
                await asyncio.sleep(self._rng.uniform(*QUIET_SECONDS))

    async def _burst(self, group: asyncio.TaskGroup) -> None:
        rate = self._rng.uniform(*BURST_RATES)
        ends_at = time.monotonic() + self._rng.uniform(*BURST_SECONDS)
        while time.monotonic() < ends_at:
            self.counts["callers"] += 1
            group.create_task(self._call_until_served(random.Random(self._rng.getrandbits(64))))
            await asyncio.sleep(self._rng.expovariate(rate))

    async def _call_until_served(self, rng: random.Random) -> None:
        path, body = rng.choice(PATHS), b"%016x" % rng.getrandbits(64)
        honours_times, returns = rng.random() < HONOURING_SHARE, 0
        call = await self._call(rng, path, body)
        while call.status == 503 and returns < MAX_RETURNS:
            seconds = float(call.retry_after or "inf") if honours_times else IMPATIENT_SECONDS
            if seconds > MAX_WAIT_SECONDS:
                break
            await asyncio.sleep(seconds)
            call = await self._call(rng, path, body)
            returns += 1
        was_served = call.status == 200 and call.complete
        self._outcomes.append(_Outcome(_priority_of(path), honours_times, returns > 0, was_served))

    async def _call(self, rng: random.Random, path: str, body: bytes) -> Call:
        key = self._world.keys[-1]
        return await self._callers.call(rng.choice(self._world.nodes), path, key, None, body)

    async def _strike(self, rng: random.Random) -> None:
        """Inject a fault into the dispatcher of a random service during a burst."""
        await asyncio.sleep(rng.uniform(0.2, BURST_SECONDS[0]))
        name = self._world.dispatcher_node(rng.choice(sorted(set(SERVICES.values()))))
        if name is None:
            return
        kind = rng.choice(("kill", "stop", "pause", "cut"))
        self.counts[kind] += 1
        match kind:
            case "kill":
                await self._world.end_and_restart(name, signal.SIGKILL)
            case "stop":
                await self._world.end_and_restart(name, signal.SIGTERM)
            case "pause":
                await self._world.pause(name, rng.uniform(*STRIKE_SECONDS))
            case "cut":
                await self._cut_from_store(name, rng)

    async def _cut_from_store(self, name: str, rng: random.Random) -> None:
        """Cut the dispatcher off from the store, so that another node takes over its lease.

        Datagrams between nodes are not cut: they pass no proxy.
        """
        record, proxy = self._world.record, self._world.store_proxies[name]
        with (
            record.disrupted(Component.NODE, name),
            record.disrupted(Component.LINK, name),
        ):
            proxy.fault = Fault.BLACKHOLE
            await asyncio.sleep(rng.uniform(*STRIKE_SECONDS))
            proxy.fault = Fault.PASS

    def summary(self) -> str:
        """Return the served share of the callers by priority, and of those that returned."""
        parts = []
        for priority in sorted(set(PRIORITIES.values())):
            own = [outcome for outcome in self._outcomes if outcome.priority == priority]
            returned = [outcome for outcome in own if outcome.returned]
            honouring = [outcome for outcome in returned if outcome.honours_times]
            impatient = [outcome for outcome in returned if not outcome.honours_times]
            parts.append(
                f"priority {priority}: {_share(own)}, of those that returned when told "
                f"{_share(honouring)}, of those that returned at once {_share(impatient)}"
            )
        return "; ".join(parts)


def _share(outcomes: list[_Outcome]) -> str:
    served = sum(outcome.was_served for outcome in outcomes)
    return f"{served} of {len(outcomes)} ({served / max(1, len(outcomes)):.2f})"


class CrestChecker:
    """Checks that every request is answered in time while its node lives.

    :class:`RunChecker` checks that no request ran twice or after a rejection.

    :ivar checked: number of rejected calls, and of calls that were checked.
    """

    def __init__(self, record: Record, run_checker: RunChecker):
        self._record = record
        self._run_checker = run_checker
        self.checked: Counter[str] = Counter()

    def check(self) -> None:
        """Check all calls of the record."""
        longest = ROUTE_TIMEOUT_SECONDS + ANSWER_ALLOWANCE_SECONDS
        for call in self._record.calls:
            self.checked["rejected calls"] += call.status in (429, 503)
            if self._run_checker.had_outage(call):
                continue
            self.checked["calls with a deadline"] += 1
            seconds = call.ended_at - call.sent_at
            if seconds > longest:
                self._record.violations.append(
                    f"LATE {call.request_id} on {call.path} was answered {call.status} by "
                    f"{call.node} {seconds:.3f} s after it was sent at "
                    f"{self._record.seconds(call.sent_at)} s"
                )
