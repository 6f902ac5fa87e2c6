"""The faults of a randomised run of forwarding nodes, in an order drawn from its seed.

A storm strikes everything. In a calm the store as a whole and the links are left alone, so that
promises with a bound in time are judged; single nodes are still turned away, struck by series
of signals and restarted, workers leave and restart, and configurations and weights change.
"""

import asyncio
import random
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable

from bench.forwarding_record import Part
from bench.forwarding_world import FOREVER, World
from standins.fault_proxy import Fault, FaultProxy
from standins.platform_worker import WorkerFaults

PAUSE_SECONDS = (0.3, 1.2)
"""Range of the pause between two faults."""

LAST_SECONDS = (0.5, 3.5)
"""Range of how long most faults last."""

TURN_AWAY_SECONDS = (1.0, 9.0)
"""Range of how long the store turns a node away."""

READER_SHARE = 0.6
"""How often that is the node which reads the store for all."""

ONE_ENGINE_SHARE = 0.7
"""How often one engine restarts, and not all at once."""

DRAINING_FIRST_SHARE = 0.4
"""How often a worker says that it drains before its entry is removed."""

SERVE_ON_SECONDS = (2.5, 6.0)
"""Range of how long a worker that has left serves on."""

STAY_OLD_SECONDS = (5.0, 10.0)
"""Range of how long an engine fails to load newer weights."""

SERIES_PAUSE_SECONDS = (0.02, 0.4)
"""Range of the pause between the signals, versions or configurations of one series."""

STORM_SHARE = 0.3
"""Part of a run that is storm."""

LINK_FAULTS = (
    Fault.REFUSE,
    Fault.BLACKHOLE,
    Fault.BLACKHOLE_TO_SERVER,
    Fault.BLACKHOLE_TO_CLIENT,
    Fault.HALF_CLOSE,
)
WORKER_LINK_FAULTS = (*LINK_FAULTS, Fault.LOSE_ANSWER)
WORKER_FAULTS = (
    WorkerFaults(shed=5),
    WorkerFaults(lose_responses=3),
    WorkerFaults(break_after=2),
    WorkerFaults(extra_response=True),
    WorkerFaults(foreign_response_first=True),
    WorkerFaults(unframed=True),
    WorkerFaults(unsigned=True),
    WorkerFaults(ignore_orders=2),
    WorkerFaults(status=500),
)

RESTART_PAUSE_SECONDS = (1.0, 3.0)
"""Range of the pause between faults that concern a worker's starts and its entry."""

RESTART_SECONDS = (0.0, 1.2)
"""Range of the time from a leaving to the next start under the same id, and of how long a late entry
or one of another writer stands; a worker writes its own each 1.2 s."""

LATE_ENTRY_SHARE = 0.3
"""How often an entry of the earlier start is carried out after the next start's."""

SPOILT_SECONDS = (0.5, 6.0)
"""Range of how long an entry of another writer stands."""

SPOILT_ENTRIES = (b"\xff\x00", b"{}", b"[" * 100_000, b'{"state": "ready"}', b'{"service": 7}')

Kind = Callable[[random.Random], Awaitable[None]]


class Faults:
    """Everything that strikes one run.

    Each fault draws from a source of its own, so that kinds, order and lengths do not depend
    on what else happens at the time; whom it strikes may depend on who is there.

    :param rng: gives kinds, pauses and the faults' own sources.
    :param restarts: gives the same for starts under an old id and entries of other writers, which
        come beside the rest; ``None`` for none of them. Apart from ``rng``, so that the seeds of
        before keep their faults.
    :ivar leaving: workers that have begun to leave, for those who choose one.
    :ivar counts: how often each kind came.
    """

    def __init__(self, world: World, rng: random.Random, restarts: random.Random | None = None):
        self._world = world
        self._rng = rng
        self._restarts = restarts
        self._record = world.record
        self._tasks: set[asyncio.Task] = set()
        self._turned_away: set[str] = set()
        self.leaving: set[str] = set()
        self.counts: Counter[str] = Counter()
        self._calm: dict[Kind, int] = {
            self._kill: 1,
            self._terminate: 1,
            self._pause: 1,
            self._hang_up: 1,
            self._signal_series: 1,
            self._turn_away: 4,
            self._worker_drains: 2,
            self._worker_leaves: 5,
            self._engine_stays_old: 3,
            self._engine_restarts: 2,
            self._store_forgets: 2,
            self._change_configuration: 2,
            self._name_weights: 2,
            self._revoke_key: 1,
        }
        self._storm: dict[Kind, int] = dict.fromkeys(self._calm, 1) | {
            self._cut_store: 1,
            self._harm_worker_link: 1,
            self._store_outage: 1,
            self._store_loses_answers: 1,
            self._worker_misbehaves: 1,
        }

    async def run(self, until: float) -> None:
        """Strike until a moment, and end when everything is well again."""
        began = time.monotonic()
        storm_first = self._rng.random() < 0.5
        share = STORM_SHARE if storm_first else 1.0 - STORM_SHARE
        turn_at = began + (until - began) * share
        first, second = (self._storm, self._calm) if storm_first else (self._calm, self._storm)
        await asyncio.gather(self._strike_both(first, second, turn_at, until), self._restart(until))
        await asyncio.gather(*self._tasks)

    async def _strike_both(
        self, first: dict[Kind, int], second: dict[Kind, int], turn_at: float, until: float
    ) -> None:
        await self._strike(first, turn_at)
        await self._strike(second, until)

    async def _restart(self, until: float) -> None:
        """Strike workers' starts and entries until a moment."""
        rng = self._restarts
        while rng is not None and time.monotonic() < until:
            kind = rng.choice((self._worker_starts_again, self._entry_is_spoilt))
            self._begin(kind, rng)
            await self._last(rng, RESTART_PAUSE_SECONDS)

    def _begin(self, kind: Kind, rng: random.Random) -> None:
        self.counts[kind.__name__.strip("_")] += 1
        own = random.Random(rng.getrandbits(64))
        self._tasks.add(asyncio.get_running_loop().create_task(kind(own)))

    async def _strike(self, kinds: dict[Kind, int], until: float) -> None:
        while time.monotonic() < until:
            (kind,) = self._rng.choices(list(kinds), list(kinds.values()))
            self._begin(kind, self._rng)
            await asyncio.sleep(self._rng.uniform(*PAUSE_SECONDS))

    async def _last(self, rng: random.Random, bounds: tuple[float, float] = LAST_SECONDS) -> None:
        await asyncio.sleep(rng.uniform(*bounds))

    def _node(self, rng: random.Random) -> str:
        return rng.choice(self._world.nodes)

    # Signals

    async def _kill(self, rng: random.Random) -> None:
        await self._world.end_and_restart(self._node(rng), signal.SIGKILL)

    async def _terminate(self, rng: random.Random) -> None:
        await self._world.end_and_restart(self._node(rng), signal.SIGTERM)

    async def _pause(self, rng: random.Random) -> None:
        await self._world.pause(self._node(rng), rng.uniform(*LAST_SECONDS))

    async def _hang_up(self, rng: random.Random) -> None:
        self._world.hang_up(self._node(rng))

    async def _signal_series(self, rng: random.Random) -> None:
        """Strike one node, or several, by signals that overlap, beside changes of configuration."""
        kinds = (signal.SIGTERM, signal.SIGTERM, signal.SIGKILL, signal.SIGSTOP, signal.SIGHUP)
        names = rng.sample(self._world.nodes, rng.randint(1, len(self._world.nodes)))
        async with asyncio.TaskGroup() as group:
            for _ in range(rng.randint(2, 5)):
                name, sent = rng.choice(names), rng.choice(kinds)
                if sent == signal.SIGHUP:
                    self._world.hang_up(name)
                    self._world.configure(1)
                elif sent == signal.SIGSTOP:
                    seconds = rng.uniform(*LAST_SECONDS)
                    group.create_task(self._world.pause(name, seconds))
                else:
                    group.create_task(self._world.end_and_restart(name, sent))
                await self._last(rng, SERIES_PAUSE_SECONDS)

    # The store

    async def _turn_away(self, rng: random.Random) -> None:
        """The store turns a node away, and serves the others."""
        reads_for_all = rng.random() < READER_SHARE
        name = self._node(rng)
        if reads_for_all:
            name = self._world.reader() or name
        if name in self._turned_away:
            return
        self._turned_away.add(name)
        front, link = self._world.fronts[name], self._world.store_links[name]
        with self._record.disrupted(Part.NODE, name):
            how = rng.choice(("refuse", "reset", "silence"))
            if how == "refuse":
                front.error_status = 503
            else:
                link.fault = Fault.REFUSE if how == "reset" else Fault.BLACKHOLE
            await self._last(rng, TURN_AWAY_SECONDS)
            front.error_status = 0
            link.fault = Fault.PASS
        self._turned_away.discard(name)

    async def _harm(self, rng: random.Random, link: FaultProxy, faults: tuple[Fault, ...]) -> None:
        link.fault = rng.choice(faults)
        link.delay_seconds = rng.choice((0.0, 0.0, 0.05))
        await self._last(rng)
        link.fault = Fault.PASS
        link.delay_seconds = 0.0

    async def _cut_store(self, rng: random.Random) -> None:
        name = self._node(rng)
        with self._record.disrupted(Part.NODE, name), self._record.disrupted(Part.LINK, name):
            await self._harm(rng, self._world.store_links[name], LINK_FAULTS)

    async def _store_outage(self, rng: random.Random) -> None:
        with self._record.disrupted(Part.CORE):
            status = rng.choice((429, 503))
            for front in self._world.fronts.values():
                front.error_status = status
            await self._last(rng)
            for front in self._world.fronts.values():
                front.error_status = 0

    async def _store_loses_answers(self, rng: random.Random) -> None:
        """Some transactions of any node are done and not answered."""
        with self._record.disrupted(Part.CORE):
            fronts = [self._world.fronts[self._node(rng)] for _ in range(rng.randint(1, 4))]
            for front in fronts:
                front.lose_responses += 1
            await self._last(rng)
            for front in fronts:
                front.lose_responses = 0

    async def _store_forgets(self, rng: random.Random) -> None:
        self._world.site.model.compact()

    # Workers

    def _staying(self, service: str = "") -> list[str]:
        """Return the workers, of one service or of all, that have not begun to leave."""
        return [
            one
            for one in self._world.site.workers
            if one not in self.leaving and service in ("", self._world.service_of[one])
        ]

    def may_leave(self, rng: random.Random) -> str | None:
        """Return a worker whose service keeps another one."""
        names = [
            one for one in self._staying() if len(self._staying(self._world.service_of[one])) > 1
        ]
        return rng.choice(names) if names else None

    def _older_weights(self, rng: random.Random) -> int:
        return max(1, self._world.weights - rng.randint(0, 2))

    async def _harm_worker_link(self, rng: random.Random) -> None:
        name = rng.choice(self._staying())
        with self._record.disrupted(Part.LINK, self._world.place(name)):
            await self._harm(rng, self._world.worker_links[name], WORKER_LINK_FAULTS)

    async def _worker_misbehaves(self, rng: random.Random) -> None:
        name = rng.choice(self._staying())
        worker = self._world.site.workers[name]
        with self._record.disrupted(Part.WORKER, self._world.place(name)):
            worker.faults = WorkerFaults(**vars(rng.choice(WORKER_FAULTS)))
            await self._last(rng)
            worker.faults = WorkerFaults()

    async def _worker_drains(self, rng: random.Random) -> None:
        """A worker says that it drains, and thinks better of it."""
        await self._out_of_use(
            rng, SERVE_ON_SECONDS, lambda name: self._world.enter(name, "draining")
        )

    async def _out_of_use(
        self, rng: random.Random, bounds: tuple[float, float], end_use: Callable[[str], None]
    ) -> None:
        """End the use of some worker for a while, and enter it as ready again."""
        name = self.may_leave(rng)
        if name is None:
            return
        self.leaving.add(name)
        end_use(name)
        await self._last(rng, bounds)
        self._world.enter(name, "ready")
        self.leaving.discard(name)

    async def _worker_leaves(self, rng: random.Random) -> None:
        """A worker leaves, with or without saying so first, and serves on for a while."""
        name = self.may_leave(rng)
        if name is None:
            return
        self.leaving.add(name)
        if rng.random() < DRAINING_FIRST_SHARE:
            self._world.enter(name, "draining")
            await self._last(rng)
        self._world.remove(name)
        await self._last(rng, SERVE_ON_SECONDS)
        await self._world.end_worker(name)
        await self._world.replace_worker(name, self._older_weights(rng))

    async def _engine_restarts(self, rng: random.Random) -> None:
        """An engine, now and then all, ends without a word and comes again with older weights."""
        names = self._staying("engines")
        if rng.random() < ONE_ENGINE_SHARE:
            names = names[:1]
        self.leaving.update(names)
        for name in names:
            await self._world.end_worker(name)
        await self._last(rng)
        for name in names:
            self._world.remove(name)
            await self._world.replace_worker(name, self._older_weights(rng))

    async def _engine_stays_old(self, rng: random.Random) -> None:
        """Some engines fail to load newer weights for a while; a newer version is named."""
        engines = [one for one in self._world.site.workers.values() if one.model]
        stuck = rng.sample(engines, rng.randint(1, len(engines))) if engines else []
        for worker in stuck:
            worker.accepted_versions = set(range(1, worker.version + 1))
        self._world.name_weights(1)
        await self._last(rng, STAY_OLD_SECONDS)
        for worker in stuck:
            worker.accepted_versions = set(FOREVER)

    async def _worker_starts_again(self, rng: random.Random) -> None:
        """A worker leaves, and starts again under its id while the process before serves on."""
        name = self.may_leave(rng)
        if name is None:
            return
        self.leaving.add(name)
        if rng.random() < DRAINING_FIRST_SHARE:
            self._world.enter(name, "draining")
        else:
            self._world.remove(name)
        await self._last(rng, RESTART_SECONDS)
        earlier = await self._world.restart_worker(name, self._older_weights(rng))
        if rng.random() < LATE_ENTRY_SHARE:
            await self._last(rng, RESTART_SECONDS)
            self._world.enter_late(name, earlier)
            await self._last(rng, RESTART_SECONDS)
            self._world.enter(name, "ready")
        await self._last(rng, SERVE_ON_SECONDS)
        self._world.end_earlier(earlier)
        self.leaving.discard(name)

    async def _entry_is_spoilt(self, rng: random.Random) -> None:
        """Another writer puts an entry that names no worker under a worker's key for a while."""
        await self._out_of_use(
            rng, SPOILT_SECONDS, lambda name: self._world.spoil(name, rng.choice(SPOILT_ENTRIES))
        )

    # Operators

    async def _change_configuration(self, rng: random.Random) -> None:
        for _ in range(rng.randint(1, 4)):
            self._world.configure(rng.randint(1, 3))
            await self._last(rng, SERIES_PAUSE_SECONDS)

    async def _name_weights(self, rng: random.Random) -> None:
        for _ in range(rng.randint(1, 4)):
            self._world.name_weights(1)
            await self._last(rng, SERIES_PAUSE_SECONDS)

    async def _revoke_key(self, rng: random.Random) -> None:
        self._world.revoke_key()
