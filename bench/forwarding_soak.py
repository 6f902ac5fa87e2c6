"""A randomised run of forwarding nodes as separate processes, with faults from outside them.

Nodes are the real program; store and workers are stand-ins in this process, reached through
loopback proxies that delay, reset, silence or cut one way. Nodes are stopped, paused, killed
and started again by signals, by the ids of the processes that this run started. Faults come
in an order drawn from a printed seed. What callers, workers and the store saw is judged
while it runs and at its end.

    python -m bench.forwarding_soak --seed 1 --seconds 30
"""

import asyncio
import pathlib
import random
import re
import sys
import tempfile
import time
from collections import Counter

import fire

from bench.forwarding_builds import Replacement, check_out, remove
from bench.forwarding_callers import Callers
from bench.forwarding_deadly import DeadlyCaller, judge_crashes
from bench.forwarding_faults import Faults
from bench.forwarding_judge import Judge
from bench.forwarding_limits import LimitFaults, LimitJudge
from bench.forwarding_notices import NoticeFaults, NoticeJudge
from bench.forwarding_record import Record
from bench.forwarding_world import World

NODE_COUNTS = (3, 4, 6, 9)
"""How many processes a run may have of which the number is not given."""

ZONE_COUNTS = (1, 2, 3)
CALLERS = 8
"""Callers of a run, at least."""

MAX_CALLERS = 24
SETTLE_SECONDS = 30.0
"""Without faults all is well again within this time."""

SETTLE_SECONDS_PER_NODE = 1.0
EVIDENCE_LINES = 60
"""Log lines of each node named in a violation that a failed run shows."""

LAG_STEP_SECONDS = 0.02
LAG_OF_DOUBT_SECONDS = 1.0
"""Where this process was later than this, the machine bore no such run; said, and not excused."""


class Soak:
    """One run.

    :param nodes: number of processes; drawn from the seed when 0.
    :param restarts: whether workers start again under their ids, and entries are spoilt.
    :param deadly: whether a caller sends requests that end workers.
    :param notices: whether workers say in answers that they leave or want rest.
    :param older: a checkout of an older build, which all nodes run at first.
    :param limits: whether workers name in answers how many requests a second they take.
    """

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        nodes: int = 0,
        restarts: bool = True,
        deadly: bool = False,
        notices: bool = False,
        older: pathlib.Path | None = None,
        limits: bool = False,
    ):
        rng = random.Random(seed)
        drawn, zones = rng.choice(NODE_COUNTS), rng.choice(ZONE_COUNTS)
        self.record = Record()
        self.world = World(folder, self.record, nodes or drawn, zones)
        self.judge = Judge(self.record)
        of_restarts = random.Random(f"{seed} restarts") if restarts else None
        self.faults = Faults(self.world, rng, of_restarts)
        callers = min(MAX_CALLERS, max(CALLERS, len(self.world.nodes)))
        kept_open = callers // 2
        # Another source than that of the faults, whose order must not depend on callers.
        own = random.Random(~seed)
        self.callers = Callers(self.world, self.judge, own, kept_open, callers - kept_open)
        of_deadly = random.Random(f"{seed} deadly")
        self.deadly = DeadlyCaller(self.world, self.callers, of_deadly) if deadly else None
        of_notices = random.Random(f"{seed} notices")
        self.notices = NoticeFaults(self.world, self.faults, of_notices) if notices else None
        of_limits = random.Random(f"{seed} limits")
        self.limits = LimitFaults(self.world, of_limits) if limits else None
        of_builds = random.Random(f"{seed} builds")
        self.replacement = Replacement(self.world, older, of_builds) if older else None
        self.longest_lag = self.longest_lag_at = 0.0
        self._settle_seconds = SETTLE_SECONDS + SETTLE_SECONDS_PER_NODE * len(self.world.nodes)

    async def run(self, seconds: float) -> None:
        """Start, play, settle and judge."""
        lag = asyncio.get_running_loop().create_task(self._watch_lag())
        await self.world.start()
        await self.callers.until_all_serve(self._settle_seconds)
        ends_at = time.monotonic() + seconds
        works = [self.faults.run(ends_at), self.callers.run(ends_at)]
        if self.deadly is not None:
            works.append(self.deadly.run(ends_at))
        if self.notices is not None:
            works.append(self.notices.run(ends_at))
        if self.limits is not None:
            works.append(self.limits.run(ends_at))
        if self.replacement is not None:
            works.append(self.replacement.run(ends_at))
        await asyncio.gather(*works)
        await self._settle()
        lag.cancel()
        self.judge.judge_all()
        judge_crashes(self.record, self.judge.in_touch)
        of_notices = NoticeJudge(self.record)
        of_notices.judge()
        of_limits = LimitJudge(self.record)
        of_limits.judge()
        self.judge.judged += of_notices.judged + of_limits.judged

    async def _watch_lag(self) -> None:
        """Measure by how much this process itself is late: it holds store, workers, callers."""
        while True:
            due = time.monotonic() + LAG_STEP_SECONDS
            await asyncio.sleep(LAG_STEP_SECONDS)
            late = time.monotonic() - due
            if late > self.longest_lag:
                self.longest_lag, self.longest_lag_at = late, self.record.seconds(due)

    async def _settle(self) -> None:
        """With all faults gone every node serves, and every engine gets the newest weights."""
        self.record.violations += self.world.ended_by_themselves()
        await self.callers.until_all_serve(self._settle_seconds)
        deadline = time.monotonic() + self._settle_seconds
        engines = [one for one in self.world.site.workers.values() if one.model]
        while any(one.version != self.world.weights for one in engines):
            if time.monotonic() > deadline:
                found = [one.version for one in engines]
                self.record.violations.append(f"weights {found}, named {self.world.weights}")
                return
            await asyncio.sleep(0.1)

    def history(self) -> list[str]:
        """Return what was struck when, in seconds of the run."""
        seconds = self.record.seconds
        disruptions = [
            (one.began_at, f"{one.part.value} {one.name} until {seconds(one.ended_at)}")
            for one in self.record.disruptions
        ]
        leavings = [
            (one.acknowledged_at, f"{one.worker} left until {seconds(one.returned_at)}")
            for one in self.record.leavings
        ]
        namings = [(one.acknowledged_at, f"weights {one.version}") for one in self.record.namings]
        builds = [(one.at, f"{one.node} starts from {one.build}") for one in self.record.builds]
        events = sorted(disruptions + leavings + namings + builds)
        return [f"{seconds(moment)} {text}" for moment, text in events]

    def evidence(self) -> str:
        """Return all that a reader of a failed run needs who cannot see its folder."""
        named = [one for one in self.world.nodes if self._is_named(one)]
        lines = ["", "history:", *self.history(), "violations:", *self.record.violations]
        for node in named:
            builds = [one.build for one in self.record.builds if one.node == node]
            lines.append(f"last lines of {node}, builds {', '.join(builds)}:")
            lines += self.world.log_lines(node)[-EVIDENCE_LINES:]
        return "\n".join(lines)

    def _is_named(self, node: str) -> bool:
        """Whether a violation names a node."""
        word = re.compile(rf"\b{re.escape(node)}\b")
        return any(word.search(one) for one in self.record.violations)

    def summary(self) -> str:
        """Return what callers got, by path and status."""
        outcomes = Counter((one.path.split("/")[1], one.status) for one in self.record.calls)
        return ", ".join(f"{path} {status}: {n}" for (path, status), n in sorted(outcomes.items()))


async def play(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    nodes: int = 0,
    restarts: bool = True,
    deadly: bool = False,
    notices: bool = False,
    older: str = "",
    limits: bool = False,
) -> Soak:
    """Play one seed and return the run, ended and judged."""
    checkout = check_out(older, folder) if older else None
    try:
        soak = Soak(seed, folder, nodes, restarts, deadly, notices, checkout, limits)
        try:
            await soak.run(seconds)
        finally:
            await soak.world.stop()
    finally:
        if checkout is not None:
            remove(checkout)
    return soak


def main(
    seed: int = 1,
    seconds: float = 30.0,
    nodes: int = 0,
    folder: str = "",
    restarts: bool = True,
    deadly: bool = False,
    notices: bool = False,
    older: str = "",
    limits: bool = False,
) -> None:
    """Run one seed; exits with 1 when a promise was broken.

    :param seed: of the order and kinds of faults.
    :param seconds: how long faults are injected.
    :param nodes: number of processes; drawn from the seed when 0.
    :param folder: where logs and settings of nodes are written; a new one when empty.
    :param restarts: whether workers start again under their ids, and entries are spoilt.
    :param deadly: whether a caller sends requests that end workers.
    :param notices: whether workers say in answers that they leave or want rest.
    :param older: a commit of this repository that all nodes run at first, and some again halfway.
    :param limits: whether workers name in answers how many requests a second they take.
    """
    logs = pathlib.Path(folder or tempfile.mkdtemp(prefix="forwarding-soak-"))
    logs.mkdir(parents=True, exist_ok=True)
    print(f"seed {seed}, {seconds} s, logs in {logs}")
    older = str(older)
    soak = asyncio.run(play(seed, seconds, logs, nodes, restarts, deadly, notices, older, limits))
    print(
        f"{len(soak.world.nodes)} nodes, longest start {soak.world.longest_start:.3f} s, longest lag "
        f"of this process {soak.longest_lag:.3f} s at {soak.longest_lag_at} s"
    )
    if soak.longest_lag > LAG_OF_DOUBT_SECONDS:
        print("LATE: store, workers and callers are in this process; look at lag before nodes")
    print("faults:", dict(soak.faults.counts))
    if soak.notices is not None:
        print("notices:", dict(soak.notices.counts))
    if soak.limits is not None:
        print("limits:", dict(soak.limits.counts))
    print("history:", *soak.history(), sep="\n  ")
    if soak.deadly is not None:
        print("crashes:", dict(soak.deadly.crashes))
    print("judged:", dict(soak.judge.judged))
    print("calls:", soak.summary())
    for violation in soak.record.violations:
        print("VIOLATION", violation)
    print(f"{len(soak.record.violations)} violations")
    sys.exit(1 if soak.record.violations else 0)


if __name__ == "__main__":
    fire.Fire(main)
