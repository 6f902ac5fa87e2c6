"""Workers of a randomised run that say of themselves in their answers that they leave or want rest.

They do so in series, one beside the other and beside whatever else goes on, mostly before their entry
says anything, or without it ever doing so. The judge counts by what callers and workers saw.
"""

import asyncio
import random
from collections import Counter

from bench.forwarding_faults import LAST_SECONDS, SERVE_ON_SECONDS, Faults
from bench.forwarding_judge import DRAIN_SECONDS
from bench.forwarding_record import Call, Part, Record
from bench.forwarding_series import Trouble, one_or_all_of_a_service, strike_in_series
from bench.forwarding_world import World
from standins.platform_worker import PlatformWorker, WorkerFaults

PAUSE_SECONDS = (0.5, 2.5)
"""Range of the pause between two such workers."""

UNSAID_SECONDS = (0.0, 12.0)
"""Range of the time from the word in answers until the entry says it, if it does."""

ENTRY_SAYS_SHARE = 0.6
"""How often the entry says it at all before the worker ends."""

WRITTEN_ANEW_SHARE = 0.5
"""How often the entry is written anew as ready meanwhile."""

REST_MARGIN_SECONDS = 0.5
MOST_IN_A_REST = 2
"""Later than the margin after it was turned away, a node sends at most so many until the rest ends."""

WHOLE_SERVICE_SHARE = 0.3
"""How often all workers of a service ask for rest together."""

RESTS = ("1", "2", "3.5", "6")
"""In seconds, as they are written in answers."""

UNREADABLE_RESTS = ("soon", "-3", "nan", "")
UNREADABLE_SHARE = 0.1
"""How often what is written is no time."""

HIDES_SHARE = 0.2
"""How often the answer does not say that the request was not run."""

WAYS_TO_TURN_AWAY = ((1, 0), (6, 0), (3, 2), (0, 1))
"""How many requests are turned away, and from how many under way on all are; 0 for never."""


class NoticeFaults:
    """Has workers say that they leave or want rest.

    :ivar counts: how often each came.
    """

    def __init__(self, world: World, faults: Faults, rng: random.Random):
        self._world = world
        self._faults = faults
        self._rng = rng
        self.counts: Counter[str] = Counter()

    async def run(self, until: float) -> None:
        """Strike until a moment, and end when all is over."""
        await strike_in_series(self._rng, until, PAUSE_SECONDS, self._draw)

    def _draw(self) -> Trouble:
        kind = self._rng.choice((self._says_leaving, self._wants_rest, self._wants_rest))
        self.counts[kind.__name__.strip("_")] += 1
        return kind

    async def _says_leaving(self, rng: random.Random) -> None:
        """A worker says in answers that it leaves; its entry says so later or never; it ends."""
        world = self._world
        name = self._faults.may_leave(rng)
        if name is None:
            return
        self._faults.leaving.add(name)
        world.site.workers[name].announces_leaving = True
        if rng.random() < WRITTEN_ANEW_SHARE:
            await asyncio.sleep(rng.uniform(*LAST_SECONDS))
            world.enter(name, "ready")
        await asyncio.sleep(rng.uniform(*UNSAID_SECONDS))
        if rng.random() < ENTRY_SAYS_SHARE:
            world.enter(name, "draining")
        await asyncio.sleep(rng.uniform(*SERVE_ON_SECONDS))
        world.remove(name)
        await world.end_worker(name)
        await world.replace_worker(name, world.weights)

    async def _wants_rest(self, rng: random.Random) -> None:
        """Some workers turn requests away and ask for rest, and then again for a while."""
        workers = one_or_all_of_a_service(self._world, rng, WHOLE_SERVICE_SHARE)
        asked = [self._ask(one, rng) for one in workers if one.faults == WorkerFaults()]
        await asyncio.sleep(rng.uniform(*LAST_SECONDS))
        for worker, faults in asked:
            if worker.faults is faults:
                worker.faults = WorkerFaults()

    def _ask(
        self, worker: PlatformWorker, rng: random.Random
    ) -> tuple[PlatformWorker, WorkerFaults]:
        """Have a worker turn requests away; return it with what it was told, to be taken back."""
        rest = rng.choice(UNREADABLE_RESTS if rng.random() < UNREADABLE_SHARE else RESTS)
        shed, full_at = rng.choice(WAYS_TO_TURN_AWAY)
        faults = WorkerFaults(
            shed=shed,
            max_running=full_at,
            retry_after=rest,
            omit_not_executed=rng.random() < HIDES_SHARE,
        )
        worker.faults = faults
        return worker, faults


class NoticeJudge:
    """Judges what nodes did with the words of workers that reached them.

    :ivar judged: how many words of leaving were passed on, and how many rests were asked for.
    """

    def __init__(self, record: Record):
        self._record = record
        self._calls = {call.request_id: call for call in record.calls}
        self.judged: Counter[str] = Counter()

    def judge(self) -> None:
        """Judge the whole record."""
        for place, worker in self._record.workers.items():
            self._judge_leaving(place, worker)
            self._judge_rests(place, worker)

    def _judge_leaving(self, place: str, worker: PlatformWorker) -> None:
        """Nothing that is sent later than the drain time after a node passed the word on."""
        told_at: dict[str, float] = {}
        for run in worker.runs:
            call = self._calls.get(run.request_id)
            # A stream that went on at another worker has the head of its first.
            if call is not None and call.leaving_worker == worker.id:
                told_at[call.node] = min(call.ended_at, told_at.get(call.node, call.ended_at))
        self.judged["words of leaving"] += len(told_at)
        for request_id, at in worker.arrivals:
            call = self._calls.get(request_id)
            since = told_at.get(call.node, float("inf")) if call else float("inf")
            if call is None or call.sent_at <= since + DRAIN_SECONDS:
                continue
            if not self._was_struck(call, since, at):
                self._record.violations.append(
                    f"DRAIN {request_id} reached {place} through {call.node} at "
                    f"{self._record.seconds(at)} s, sent {call.sent_at - since:.3f} s after an "
                    "answer that said it leaves"
                )

    def _judge_rests(self, place: str, worker: PlatformWorker) -> None:
        """A worker that asked a node for rest has it."""
        for rest in worker.backoff_requests:
            asked = self._calls.get(rest.request_id)
            if asked is None or not rest.retry_after.replace(".", "").isdigit():
                continue
            self.judged["rests"] += 1
            since, until = (
                rest.sent_at + REST_MARGIN_SECONDS,
                rest.sent_at + float(rest.retry_after),
            )
            found = [
                one
                for one, at in worker.arrivals
                if since < at < until
                and one in self._calls
                and self._calls[one].node == asked.node
                and not self._was_struck(asked, rest.sent_at, at, place)
            ]
            if len(found) > MOST_IN_A_REST:
                self._record.violations.append(
                    f"BUDGET {place} asked {asked.node} for {rest.retry_after} s of rest at "
                    f"{self._record.seconds(rest.sent_at)} s and got {', '.join(found)}"
                )

    def _was_struck(self, call: Call, since: float, until: float, cut: str = "") -> bool:
        """Whether a restart or freeze of a node excuses it, or a cut between it and a worker.

        :param cut: the place of the worker, where a cut is an excuse.
        """
        record = self._record
        if any(
            one.node == call.node and one.began_at < until and one.ended_at > since
            for one in record.strikes
        ):
            return True
        return bool(cut) and any(
            one.part is Part.LINK and one.name in {cut, call.node} and one.touches(since, until)
            for one in record.disruptions
        )
