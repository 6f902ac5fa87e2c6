"""Workers of a randomised run that announce in their responses that they leave or need a backoff.

A leaving worker's entry is marked as draining after the first such response, or never. The checker
compares calls with the requests that reached the workers.
"""

import asyncio
import random
from collections import Counter

from bench.forwarding.faults import FAULT_SECONDS, LINGER_SECONDS, FaultInjector
from bench.forwarding.judge import DRAIN_SECONDS
from bench.forwarding.record import Call, Component, Record
from bench.forwarding.series import FaultFunction, draw_workers, inject_in_series
from bench.forwarding.world import World
from standins.platform_worker import PlatformWorker, WorkerFaults

PAUSE_SECONDS = (0.5, 2.5)
"""Range of the time between the starts of two notices."""

ENTRY_DELAY_SECONDS = (0.0, 12.0)
"""Range of the time from the first notice of leaving until the entry is marked as draining."""

ENTRY_DRAINING_SHARE = 0.6
"""Probability that the entry is marked as draining before the worker stops."""

ENTRY_REWRITTEN_SHARE = 0.5
"""Probability that the entry is rewritten as ready after the first notice of leaving."""

BACKOFF_MARGIN_SECONDS = 0.5
"""Requests of a node are counted from this time after it was rejected."""

MAX_REQUESTS_IN_BACKOFF = 2
"""Maximum number of requests from the rejected node that are counted until the backoff ends."""

WHOLE_SERVICE_SHARE = 0.3
"""Probability that all workers of a service reject requests together."""

BACKOFFS = ("1", "2", "3.5", "6")
"""Backoffs in seconds, as they are written in responses."""

INVALID_BACKOFFS = ("soon", "-3", "nan", "")
INVALID_SHARE = 0.1
"""Probability that a backoff is invalid."""

UNMARKED_SHARE = 0.2
"""Probability that a rejection lacks the mark that the request was not run."""

REJECTION_PATTERNS = ((1, 0), (6, 0), (3, 2), (0, 1))
"""Number of requests to reject, and number of in-flight requests from which all are rejected;
0 for never."""


class NoticeFaults:
    """Lets workers announce that they leave or need a backoff.

    :ivar counts: number of notices by kind.
    """

    def __init__(self, world: World, injector: FaultInjector, rng: random.Random):
        self._world = world
        self._injector = injector
        self._rng = rng
        self.counts: Counter[str] = Counter()

    async def run(self, until: float) -> None:
        """Start notices, and return when all have ended.

        :param until: monotonic time after which no notice is started.
        """
        await inject_in_series(self._rng, until, PAUSE_SECONDS, self._draw)

    def _draw(self) -> FaultFunction:
        kind = self._rng.choice((self._says_leaving, self._wants_rest, self._wants_rest))
        self.counts[kind.__name__.strip("_")] += 1
        return kind

    async def _says_leaving(self, rng: random.Random) -> None:
        """Let a worker announce that it leaves, and replace it later."""
        world = self._world
        name = self._injector.draw_removable_worker(rng)
        if name is None:
            return
        self._injector.departing.add(name)
        world.site.workers[name].announces_leaving = True
        if rng.random() < ENTRY_REWRITTEN_SHARE:
            await asyncio.sleep(rng.uniform(*FAULT_SECONDS))
            world.write_entry(name, "ready")
        await asyncio.sleep(rng.uniform(*ENTRY_DELAY_SECONDS))
        if rng.random() < ENTRY_DRAINING_SHARE:
            world.write_entry(name, "draining")
        await asyncio.sleep(rng.uniform(*LINGER_SECONDS))
        world.remove_entry(name)
        await world.end_worker(name)
        await world.replace_worker(name, world.weights)

    async def _wants_rest(self, rng: random.Random) -> None:
        """Let some workers reject requests with a backoff for a while."""
        workers = draw_workers(self._world, rng, WHOLE_SERVICE_SHARE)
        rejecting = [
            self._start_rejecting(candidate, rng)
            for candidate in workers
            if candidate.faults == WorkerFaults()
        ]
        await asyncio.sleep(rng.uniform(*FAULT_SECONDS))
        for worker, faults in rejecting:
            if worker.faults is faults:
                worker.faults = WorkerFaults()

    def _start_rejecting(
        self, worker: PlatformWorker, rng: random.Random
    ) -> tuple[PlatformWorker, WorkerFaults]:
        """Configure a worker to reject requests; return it with its new faults."""
        backoff = rng.choice(INVALID_BACKOFFS if rng.random() < INVALID_SHARE else BACKOFFS)
        reject_count, in_flight_limit = rng.choice(REJECTION_PATTERNS)
        faults = WorkerFaults(
            shed=reject_count,
            max_running=in_flight_limit,
            retry_after=backoff,
            omit_not_executed=rng.random() < UNMARKED_SHARE,
        )
        worker.faults = faults
        return worker, faults


class NoticeChecker:
    """Checks that nodes respect the notices in responses of workers.

    :ivar checked: number of forwarded notices of leaving, and of requested backoffs.
    """

    def __init__(self, record: Record):
        self._record = record
        self._calls = {call.request_id: call for call in record.calls}
        self.checked: Counter[str] = Counter()

    def check(self) -> None:
        """Check the complete record."""
        for incarnation, worker in self._record.workers.items():
            self._check_leaving_notices(incarnation, worker)
            self._check_backoffs(incarnation, worker)

    def _check_leaving_notices(self, incarnation: str, worker: PlatformWorker) -> None:
        """Check that a node stops using a worker after it forwarded its notice of leaving.

        Calls that are sent within the drain time after the notice may still reach the worker.
        """
        forwarded_at: dict[str, float] = {}
        for run in worker.runs:
            call = self._calls.get(run.request_id)
            # A stream that was resumed at another worker has the headers of the first one.
            if call is not None and call.leaving_worker == worker.id:
                forwarded_at[call.node] = min(
                    call.ended_at, forwarded_at.get(call.node, call.ended_at)
                )
        self.checked["words of leaving"] += len(forwarded_at)
        for request_id, at in worker.arrivals:
            call = self._calls.get(request_id)
            since = forwarded_at.get(call.node, float("inf")) if call else float("inf")
            if call is None or call.sent_at <= since + DRAIN_SECONDS:
                continue
            if not self._is_exempt(call, since, at):
                self._record.violations.append(
                    f"DRAIN {request_id} reached {incarnation} through {call.node} at "
                    f"{self._record.seconds(at)} s, sent {call.sent_at - since:.3f} s after an "
                    "answer that said it leaves"
                )

    def _check_backoffs(self, incarnation: str, worker: PlatformWorker) -> None:
        """Check that a rejected node respects the backoff that the worker requested."""
        for backoff in worker.backoff_requests:
            rejected_call = self._calls.get(backoff.request_id)
            if rejected_call is None or not backoff.retry_after.replace(".", "").isdigit():
                continue
            self.checked["rests"] += 1
            since, until = (
                backoff.sent_at + BACKOFF_MARGIN_SECONDS,
                backoff.sent_at + float(backoff.retry_after),
            )
            received = [
                request_id
                for request_id, at in worker.arrivals
                if since < at < until
                and request_id in self._calls
                and self._calls[request_id].node == rejected_call.node
                and not self._is_exempt(rejected_call, backoff.sent_at, at, incarnation)
            ]
            if len(received) > MAX_REQUESTS_IN_BACKOFF:
                self._record.violations.append(
                    f"BUDGET {incarnation} asked {rejected_call.node} for "
                    f"{backoff.retry_after} s of rest at "
                    f"{self._record.seconds(backoff.sent_at)} s and got {', '.join(received)}"
                )

    def _is_exempt(self, call: Call, since: float, until: float, incarnation: str = "") -> bool:
        """Whether the node of a call had an outage, or its link to a worker was disrupted.

        :param incarnation: of the worker whose link matters; empty to ignore links.
        """
        record = self._record
        if any(
            outage.node == call.node and outage.began_at < until and outage.ended_at > since
            for outage in record.node_outages
        ):
            return True
        return bool(incarnation) and any(
            disruption.component is Component.LINK
            and disruption.name in {incarnation, call.node}
            and disruption.overlaps(since, until)
            for disruption in record.disruptions
        )
