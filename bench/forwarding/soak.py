"""Randomised fault-injection run of forwarding nodes as separate processes.

Nodes run the real program. The store and the workers are stand-ins in this process, behind
loopback proxies that delay, refuse or drop traffic, in both directions or one. Nodes are stopped,
paused, killed and restarted. The order of faults is drawn from a printed seed. Guarantees are
checked during the run and at its end.

    python -m bench.forwarding.soak --seed 1 --seconds 30
"""

import asyncio
import pathlib
import random
import re
import sys
import tempfile
import time
from collections import Counter
from typing import NamedTuple

import fire

from bench.forwarding.budgets import BudgetChecker
from bench.forwarding.builds import RollingUpgrade, check_out, remove_checkout
from bench.forwarding.callers import Callers
from bench.forwarding.crests import CrestCallers, CrestChecker
from bench.forwarding.crowds import CrowdChecker, Crowds
from bench.forwarding.deadly import CrashingCaller, check_crashes
from bench.forwarding.endless import EndlessWorkers
from bench.forwarding.ends import NodeEnds
from bench.forwarding.faults import FaultInjector
from bench.forwarding.foreign import ForeignWriter
from bench.forwarding.heads import HeadCuts
from bench.forwarding.isolation import IsolatedGroups
from bench.forwarding.judge import RunChecker
from bench.forwarding.limits import LimitChecker, LimitFaults
from bench.forwarding.notices import NoticeChecker, NoticeFaults
from bench.forwarding.paths import PathChecker, PathFaults
from bench.forwarding.reborn import RebornWorkers
from bench.forwarding.record import Record
from bench.forwarding.retries import RetryFaults
from bench.forwarding.versions import VersionedStreams
from bench.forwarding.world import World

NODE_COUNTS = (3, 4, 6, 9)
"""Numbers of nodes to draw from when none is given."""

ZONE_COUNTS = (1, 2, 3)
MIN_CALLERS = 8
"""Minimum number of callers of a run."""

MAX_CALLERS = 24
CALLERS_BESIDE_CRESTS = 4
"""Number of callers that send steadily in runs with bursts, which must leave some capacity."""

SETTLE_SECONDS = 30.0
"""Time for nodes to serve and for weights to be loaded once all faults have ended, plus a share for
each node."""

SETTLE_SECONDS_PER_NODE = 1.0
EVIDENCE_LINES = 60
"""Number of last log lines in the failure report, for each node that a violation names."""

LAG_STEP_SECONDS = 0.02
LAG_WARNING_SECONDS = 1.0
"""Lag of this process from which a warning is printed; results are not discarded."""


class SoakOptions(NamedTuple):
    """What a run contains beside the faults of all runs.

    :ivar nodes: number of nodes; drawn from the seed when 0.
    :ivar restarts: whether to restart workers under their ids and to write invalid entries.
    :ivar deadly: whether a caller sends requests that crash workers.
    :ivar notices: whether workers announce in responses that they leave or need a backoff.
    :ivar older: commit of this repository that all nodes run at first; they are upgraded during the
        run, and some are rolled back in between. Empty for none.
    :ivar limits: whether workers announce rate limits in responses.
    :ivar crests: whether callers send bursts above the capacity of the workers.
    :ivar paths: whether nodes lose their paths to workers, and the store returns from older copies.
    :ivar versions: whether workers of several software versions serve.
    :ivar crowds: whether most new connections go to one node from time to time.
    :ivar power: whether all nodes and some workers lose power at the same moment after the other faults,
        just after a change of the configuration.
    :ivar ends: whether all nodes end from time to time while software versions change; implies
        ``versions``.
    :ivar garbage: whether workers send data without end in place of responses.
    :ivar reborn: whether workers restart with other software versions while the store is away, with
        faults of their reports; implies ``versions``.
    :ivar heads: whether workers and the store end connections inside the heads of responses.
    :ivar retries: whether whole services fail under more load, and nodes end in between.
    :ivar isolation: whether groups of nodes are out of step with the others while engines join; implies
        ``versions``.
    :ivar foreign: whether another writer overwrites keys of the nodes and sends bytes to them.
    """

    nodes: int = 0
    restarts: bool = True
    deadly: bool = False
    notices: bool = False
    older: str = ""
    limits: bool = False
    crests: bool = False
    paths: bool = False
    versions: bool = False
    crowds: bool = False
    power: bool = False
    ends: bool = False
    garbage: bool = False
    reborn: bool = False
    heads: bool = False
    retries: bool = False
    isolation: bool = False
    foreign: bool = False


class Soak:
    """One randomised run.

    :param seed: of all random sources of the run.
    :param folder: directory for settings and logs of nodes.
    :param older_checkout: path of a checkout of the older build that all nodes run at first.
    :ivar longest_lag: longest delay of this process's event loop, in seconds.
    :ivar longest_lag_at: when it was observed, in seconds since the start of the run.
    """

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        options: SoakOptions,
        older_checkout: pathlib.Path | None = None,
    ):
        if options.crests and older_checkout is not None:
            raise ValueError("older builds refuse the setting for the queue")
        rng = random.Random(seed)
        drawn_count, zones = rng.choice(NODE_COUNTS), rng.choice(ZONE_COUNTS)
        self.record = Record()
        nodes, has_cuts = options.nodes or drawn_count, options.paths or options.isolation
        self.world = World(folder, self.record, nodes, zones, options.crests, has_cuts)
        self.checker = RunChecker(self.record)
        restart_rng = random.Random(f"{seed} restarts") if options.restarts else None
        self.faults = FaultInjector(self.world, rng, restart_rng)
        callers = min(MAX_CALLERS, max(MIN_CALLERS, len(self.world.nodes)))
        callers = CALLERS_BESIDE_CRESTS if options.crests else callers
        persistent_count = callers // 2
        # Separate from the source of the faults, whose order must not depend on callers.
        caller_rng = random.Random(~seed)
        self.callers = Callers(
            self.world, self.checker, caller_rng, persistent_count, callers - persistent_count
        )
        crash_rng = random.Random(f"{seed} deadly")
        self.crashing_caller = (
            CrashingCaller(self.world, self.callers, crash_rng) if options.deadly else None
        )
        notice_rng = random.Random(f"{seed} notices")
        self.notices = (
            NoticeFaults(self.world, self.faults, notice_rng) if options.notices else None
        )
        limit_rng = random.Random(f"{seed} limits")
        self.limits = LimitFaults(self.world, limit_rng) if options.limits else None
        upgrade_rng = random.Random(f"{seed} builds")
        self.upgrade = (
            RollingUpgrade(self.world, older_checkout, upgrade_rng) if older_checkout else None
        )
        crest_rng = random.Random(f"{seed} crests")
        self.crests = CrestCallers(self.world, self.callers, crest_rng) if options.crests else None
        path_rng = random.Random(f"{seed} paths")
        self.paths = PathFaults(self.world, path_rng) if options.paths else None
        version_rng = random.Random(f"{seed} versions")
        has_versions = options.versions or options.ends or options.reborn or options.isolation
        self.versions = VersionedStreams(self.world, version_rng) if has_versions else None
        reborn_rng = random.Random(f"{seed} reborn")
        self.reborn = RebornWorkers(self.world, self.faults, reborn_rng) if options.reborn else None
        end_rng = random.Random(f"{seed} ends")
        self.ends = (
            NodeEnds(self.world, self.faults, self.versions, end_rng) if options.ends else None
        )
        garbage_rng = random.Random(f"{seed} garbage")
        self.endless = (
            EndlessWorkers(self.world, self.record, garbage_rng) if options.garbage else None
        )
        head_rng = random.Random(f"{seed} heads")
        self.heads = HeadCuts(self.world, head_rng) if options.heads else None
        retry_rng = random.Random(f"{seed} retries")
        self.retries = RetryFaults(self.world, self.callers, retry_rng) if options.retries else None
        isolation_rng = random.Random(f"{seed} isolation")
        self.isolation = (
            IsolatedGroups(self.world, self.faults, self.versions, isolation_rng)
            if options.isolation
            else None
        )
        foreign_rng = random.Random(f"{seed} foreign")
        self.foreign = ForeignWriter(self.world, foreign_rng) if options.foreign else None
        crowd_rng = random.Random(f"{seed} crowds")
        self.crowds = Crowds(self.world, self.callers, crowd_rng) if options.crowds else None
        self._power = options.power
        self._power_rng = random.Random(f"{seed} power")
        self.longest_lag = self.longest_lag_at = 0.0
        self._settle_seconds = SETTLE_SECONDS + SETTLE_SECONDS_PER_NODE * len(self.world.nodes)

    async def run(self, seconds: float) -> None:
        """Start all processes, inject faults, wait for recovery and check the record.

        :param seconds: how long faults are injected.
        """
        lag_task = asyncio.get_running_loop().create_task(self._measure_lag())
        await self.world.start()
        await self.callers.wait_until_all_serve(self._settle_seconds)
        ends_at = time.monotonic() + seconds
        optional = (
            self.crashing_caller,
            self.notices,
            self.limits,
            self.crests,
            self.paths,
            self.versions,
            self.ends,
            self.endless,
            self.reborn,
            self.crowds,
            self.heads,
            self.retries,
            self.isolation,
            self.foreign,
            self.upgrade,
        )
        activities = [each.run(ends_at) for each in optional if each is not None]
        await asyncio.gather(self.faults.run(ends_at), self.callers.run(ends_at), *activities)
        if self._power:
            await self.world.lose_power(self._power_rng)
        await self._settle()
        if self.limits is not None:
            await self.limits.announce_undisturbed(self.callers)
        if self.crowds is not None:
            await self.crowds.run_undisturbed()
        lag_task.cancel()
        self._check()

    def _check(self) -> None:
        """Check the complete record."""
        self.checker.check_all()
        check_crashes(self.record, self.checker.was_undisrupted)
        if self.endless is not None:
            self.endless.check()
        self.budgets = BudgetChecker(self.record, self.checker)
        checkers = [NoticeChecker(self.record), LimitChecker(self.record), self.budgets]
        if self.crests is not None:
            checkers.append(CrestChecker(self.record, self.checker))
        if self.crowds is not None:
            checkers.append(CrowdChecker(self.record, self.checker, self.crowds.periods))
        if self.paths is not None:
            checkers.append(PathChecker(self.record, self.checker, self.paths.cuts))
        for checker in checkers:
            checker.check()
            self.checker.checked += checker.checked

    async def _measure_lag(self) -> None:
        """Measure the lag of the event loop, which store, workers and callers share."""
        while True:
            due_at = time.monotonic() + LAG_STEP_SECONDS
            await asyncio.sleep(LAG_STEP_SECONDS)
            lag = time.monotonic() - due_at
            if lag > self.longest_lag:
                self.longest_lag, self.longest_lag_at = lag, self.record.seconds(due_at)

    async def _settle(self) -> None:
        """Check that without faults all nodes serve and all engines load the desired weights."""
        self.record.violations += self.world.unexpected_exits()
        await self.callers.wait_until_all_serve(self._settle_seconds)
        deadline = time.monotonic() + self._settle_seconds
        engines = [worker for worker in self.world.site.workers.values() if worker.model]
        while any(engine.version != self.world.weights for engine in engines):
            if time.monotonic() > deadline:
                versions = [engine.version for engine in engines]
                self.record.violations.append(f"weights {versions}, named {self.world.weights}")
                return
            await asyncio.sleep(0.1)

    def history(self) -> list[str]:
        """Return the disruptions, withdrawals, weights versions and process starts in order."""
        seconds = self.record.seconds
        disruptions = [
            (
                disruption.began_at,
                f"{disruption.component.value} {disruption.name} "
                f"until {seconds(disruption.ended_at)}",
            )
            for disruption in self.record.disruptions
        ]
        departures = [
            (
                departure.acknowledged_at,
                f"{departure.worker} left until {seconds(departure.returned_at)}",
            )
            for departure in self.record.departures
        ]
        desired_versions = [
            (desired.acknowledged_at, f"weights {desired.version}")
            for desired in self.record.desired_versions
        ]
        process_starts = [
            (start.at, f"{start.node} starts from {start.build}")
            for start in self.record.process_starts
        ]
        events = sorted(disruptions + departures + desired_versions + process_starts)
        return [f"{seconds(moment)} {text}" for moment, text in events]

    def failure_report(self) -> str:
        """Return the history, the violations and the last log lines of nodes that they name."""
        named_nodes = [name for name in self.world.nodes if self._is_named(name)]
        lines = ["", "history:", *self.history(), "violations:", *self.record.violations]
        for node in named_nodes:
            process_builds = [
                start.build for start in self.record.process_starts if start.node == node
            ]
            lines.append(f"last lines of {node}, builds {', '.join(process_builds)}:")
            lines += self.world.log_lines(node)[-EVIDENCE_LINES:]
        return "\n".join(lines)

    def _is_named(self, node: str) -> bool:
        """Whether a violation names a node."""
        pattern = re.compile(rf"\b{re.escape(node)}\b")
        return any(pattern.search(violation) for violation in self.record.violations)

    def summary(self) -> str:
        """Return the number of calls by path and status."""
        outcomes = Counter((call.path.split("/")[1], call.status) for call in self.record.calls)
        return ", ".join(f"{path} {status}: {n}" for (path, status), n in sorted(outcomes.items()))


async def run_seed(seed: int, seconds: float, folder: pathlib.Path, **options) -> Soak:
    """Perform one run and check it.

    :param options: fields of :class:`SoakOptions`.
    :return: the finished run.
    """
    run_options = SoakOptions(**options)
    checkout = check_out(run_options.older, folder) if run_options.older else None
    try:
        soak = Soak(seed, folder, run_options, checkout)
        try:
            await soak.run(seconds)
        finally:
            await soak.world.stop()
    finally:
        if checkout is not None:
            remove_checkout(checkout)
    return soak


def main(
    seed: int = 1,
    seconds: float = 30.0,
    folder: str = "",
    *,
    nodes: int = 0,
    restarts: bool = True,
    deadly: bool = False,
    notices: bool = False,
    older: str = "",
    limits: bool = False,
    crests: bool = False,
    paths: bool = False,
    versions: bool = False,
    crowds: bool = False,
    power: bool = False,
    ends: bool = False,
    garbage: bool = False,
    reborn: bool = False,
    heads: bool = False,
    retries: bool = False,
    isolation: bool = False,
    foreign: bool = False,
) -> None:
    """Perform one run; exit with status 1 when a guarantee was broken.

    :param seed: determines kinds and order of faults.
    :param seconds: how long faults are injected.
    :param folder: directory for settings and logs of nodes; a temporary one when empty.

    The other parameters are the fields of :class:`SoakOptions`.
    """
    # The command line reads "--notices" as "no" and the option "tices" unless it is a parameter.
    arguments = locals()
    options = {field: arguments[field] for field in SoakOptions._fields}
    logs = pathlib.Path(folder or tempfile.mkdtemp(prefix="forwarding-soak-"))
    logs.mkdir(parents=True, exist_ok=True)
    print(f"seed {seed}, {seconds} s, logs in {logs}")
    options["older"] = str(older)
    soak = asyncio.run(run_seed(seed, seconds, logs, **options))
    print(
        f"{len(soak.world.nodes)} nodes, longest start {soak.world.longest_start:.3f} s, longest lag "
        f"of this process {soak.longest_lag:.3f} s at {soak.longest_lag_at} s"
    )
    if soak.longest_lag > LAG_WARNING_SECONDS:
        print("LATE: store, workers and callers are in this process; look at lag before nodes")
    print("faults:", dict(soak.faults.counts))
    for name, part in (
        ("notices", soak.notices),
        ("limits", soak.limits),
        ("crests", soak.crests),
        ("paths", soak.paths),
        ("streams", soak.versions),
        ("ends", soak.ends),
        ("garbage", soak.endless),
        ("reborn", soak.reborn),
        ("heads", soak.heads),
        ("retries", soak.retries),
        ("isolation", soak.isolation),
        ("foreign", soak.foreign),
    ):
        if part is not None:
            print(f"{name}:", dict(part.counts))
    if soak.crests is not None:
        print("served:", soak.crests.summary())
    if soak.endless is not None:
        print("growth:", soak.endless.growth)
    print("history:", *soak.history(), sep="\n  ")
    if soak.crashing_caller is not None:
        print("crashes:", dict(soak.crashing_caller.crashes))
    print("judged:", dict(soak.checker.checked))
    print(f"retries that were still allowed: {soak.budgets.smallest_margin:.1f}")
    print("calls:", soak.summary())
    for violation in soak.record.violations:
        print("VIOLATION", violation)
    print(f"{len(soak.record.violations)} violations")
    sys.exit(1 if soak.record.violations else 0)


if __name__ == "__main__":
    fire.Fire(main)
