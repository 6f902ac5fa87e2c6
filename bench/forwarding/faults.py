"""Faults of a randomised run of forwarding nodes, in an order drawn from its seed.

A run has two phases. One injects all kinds of faults. The other spares the store as a whole and
the links to workers, so that guarantees with a deadline can be checked; it still rejects single
nodes at the store, signals and restarts nodes, withdraws and restarts workers, and changes
configurations and weights.
"""

import asyncio
import random
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable

from bench.forwarding.record import Component
from bench.forwarding.world import LOADABLE_VERSIONS, World
from standins.fault_proxy import Fault, FaultProxy
from standins.platform_worker import WorkerFaults

PAUSE_SECONDS = (0.3, 1.2)
"""Range of the time between the starts of two faults."""

FAULT_SECONDS = (0.5, 3.5)
"""Range of the duration of most faults."""

REJECTION_SECONDS = (1.0, 9.0)
"""Range of how long the store is unavailable to a single node."""

RELAY_SHARE = 0.6
"""Probability that this node is the relay, which reads the store on behalf of all nodes."""

ONE_ENGINE_SHARE = 0.7
"""Probability that one engine restarts instead of all."""

DRAINING_FIRST_SHARE = 0.4
"""Probability that a worker's entry is marked as draining first."""

LINGER_SECONDS = (2.5, 6.0)
"""Range of how long a withdrawn worker continues to serve."""

LOAD_FAILURE_SECONDS = (5.0, 10.0)
"""Range of how long an engine is unable to load newer weights."""

SERIES_PAUSE_SECONDS = (0.02, 0.4)
"""Range of the pause between the signals, versions or configurations of one series."""

ALL_FAULTS_SHARE = 0.3
"""Share of a run in which all kinds of faults are injected."""

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
"""Range of the time between the starts of two faults of worker restarts and entries."""

RESTART_DELAY_SECONDS = (0.0, 1.2)
"""Range of the time from the withdrawal of a worker to its restart under the same id, and of the
time before and after its previous incarnation overwrites the entry."""

LATE_ENTRY_SHARE = 0.3
"""Probability that the previous incarnation overwrites the entry of the restarted worker."""

INVALID_ENTRY_SECONDS = (0.5, 6.0)
"""Range of how long an invalid entry is left in the store."""

INVALID_ENTRIES = (b"\xff\x00", b"{}", b"[" * 100_000, b'{"state": "ready"}', b'{"service": 7}')

FaultFunction = Callable[[random.Random], Awaitable[None]]


class FaultInjector:
    """Injects the faults of one run.

    Each fault has a random source of its own, so that kinds, order and durations do not depend on
    timing. The affected node or worker may depend on which ones are available at that time.

    :param rng: random source for kinds, intervals and the seeds of single faults.
    :param restart_rng: the same for restarts under the same worker id and for invalid entries;
        ``None`` for neither. It is separate from ``rng``, so that these faults do not change the
        sequence of the others.
    :ivar departing: ids of workers that are being withdrawn; they are not selected again.
    :ivar counts: number of injected faults by kind.
    """

    def __init__(self, world: World, rng: random.Random, restart_rng: random.Random | None = None):
        self._world = world
        self._rng = rng
        self._restart_rng = restart_rng
        self._record = world.record
        self._tasks: set[asyncio.Task] = set()
        self._rejected_nodes: set[str] = set()
        self.departing: set[str] = set()
        self.counts: Counter[str] = Counter()
        self._local_faults: dict[FaultFunction, int] = {
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
        self._all_faults: dict[FaultFunction, int] = dict.fromkeys(self._local_faults, 1) | {
            self._cut_store: 1,
            self._harm_worker_link: 1,
            self._store_outage: 1,
            self._store_loses_answers: 1,
            self._worker_misbehaves: 1,
        }

    async def run(self, until: float) -> None:
        """Inject faults, and return when all have ended.

        :param until: monotonic time after which no further fault is started.
        """
        began_at = time.monotonic()
        all_faults_first = self._rng.random() < 0.5
        share = ALL_FAULTS_SHARE if all_faults_first else 1.0 - ALL_FAULTS_SHARE
        phase_change_at = began_at + (until - began_at) * share
        first, second = (
            (self._all_faults, self._local_faults)
            if all_faults_first
            else (self._local_faults, self._all_faults)
        )
        await asyncio.gather(
            self._inject_phases(first, second, phase_change_at, until), self._inject_restarts(until)
        )
        await asyncio.gather(*self._tasks)

    async def _inject_phases(
        self,
        first: dict[FaultFunction, int],
        second: dict[FaultFunction, int],
        phase_change_at: float,
        until: float,
    ) -> None:
        await self._inject(first, phase_change_at)
        await self._inject(second, until)

    async def _inject_restarts(self, until: float) -> None:
        """Restart workers under their ids and write invalid entries."""
        rng = self._restart_rng
        while rng is not None and time.monotonic() < until:
            kind = rng.choice((self._worker_starts_again, self._entry_is_spoilt))
            self._start_fault(kind, rng)
            await self._wait(rng, RESTART_PAUSE_SECONDS)

    def _start_fault(self, kind: FaultFunction, rng: random.Random) -> None:
        self.counts[kind.__name__.strip("_")] += 1
        fault_rng = random.Random(rng.getrandbits(64))
        self._tasks.add(asyncio.get_running_loop().create_task(kind(fault_rng)))

    async def _inject(self, kinds: dict[FaultFunction, int], until: float) -> None:
        while time.monotonic() < until:
            (kind,) = self._rng.choices(list(kinds), list(kinds.values()))
            self._start_fault(kind, self._rng)
            await asyncio.sleep(self._rng.uniform(*PAUSE_SECONDS))

    async def _wait(self, rng: random.Random, bounds: tuple[float, float] = FAULT_SECONDS) -> None:
        await asyncio.sleep(rng.uniform(*bounds))

    def _draw_node(self, rng: random.Random) -> str:
        return rng.choice(self._world.nodes)

    async def _kill(self, rng: random.Random) -> None:
        await self._world.end_and_restart(self._draw_node(rng), signal.SIGKILL)

    async def _terminate(self, rng: random.Random) -> None:
        await self._world.end_and_restart(self._draw_node(rng), signal.SIGTERM)

    async def _pause(self, rng: random.Random) -> None:
        await self._world.pause(self._draw_node(rng), rng.uniform(*FAULT_SECONDS))

    async def _hang_up(self, rng: random.Random) -> None:
        self._world.reload_settings(self._draw_node(rng))

    async def _signal_series(self, rng: random.Random) -> None:
        """Send overlapping signals to one or more nodes; each SIGHUP comes with a configuration."""
        signals = (signal.SIGTERM, signal.SIGTERM, signal.SIGKILL, signal.SIGSTOP, signal.SIGHUP)
        nodes = rng.sample(self._world.nodes, rng.randint(1, len(self._world.nodes)))
        async with asyncio.TaskGroup() as group:
            for _ in range(rng.randint(2, 5)):
                name, signum = rng.choice(nodes), rng.choice(signals)
                if signum == signal.SIGHUP:
                    self._world.reload_settings(name)
                    self._world.configure(1)
                elif signum == signal.SIGSTOP:
                    seconds = rng.uniform(*FAULT_SECONDS)
                    group.create_task(self._world.pause(name, seconds))
                else:
                    group.create_task(self._world.end_and_restart(name, signum))
                await self._wait(rng, SERIES_PAUSE_SECONDS)

    async def _turn_away(self, rng: random.Random) -> None:
        """Make the store unavailable to one node."""
        choose_relay = rng.random() < RELAY_SHARE
        name = self._draw_node(rng)
        if choose_relay:
            name = self._world.relay_node() or name
        if name in self._rejected_nodes:
            return
        self._rejected_nodes.add(name)
        frontend, proxy = self._world.store_frontends[name], self._world.store_proxies[name]
        with self._record.disrupted(Component.NODE, name):
            mode = rng.choice(("refuse", "reset", "silence"))
            if mode == "refuse":
                frontend.error_status = 503
            else:
                proxy.fault = Fault.REFUSE if mode == "reset" else Fault.BLACKHOLE
            await self._wait(rng, REJECTION_SECONDS)
            frontend.error_status = 0
            proxy.fault = Fault.PASS
        self._rejected_nodes.discard(name)

    async def _impair_link(
        self, rng: random.Random, proxy: FaultProxy, faults: tuple[Fault, ...]
    ) -> None:
        proxy.fault = rng.choice(faults)
        proxy.delay_seconds = rng.choice((0.0, 0.0, 0.05))
        await self._wait(rng)
        proxy.fault = Fault.PASS
        proxy.delay_seconds = 0.0

    async def _cut_store(self, rng: random.Random) -> None:
        name = self._draw_node(rng)
        with (
            self._record.disrupted(Component.NODE, name),
            self._record.disrupted(Component.LINK, name),
        ):
            await self._impair_link(rng, self._world.store_proxies[name], LINK_FAULTS)

    async def _store_outage(self, rng: random.Random) -> None:
        with self._record.disrupted(Component.CORE):
            status = rng.choice((429, 503))
            for frontend in self._world.store_frontends.values():
                frontend.error_status = status
            await self._wait(rng)
            for frontend in self._world.store_frontends.values():
                frontend.error_status = 0

    async def _store_loses_answers(self, rng: random.Random) -> None:
        """Let the store execute some transactions without replying."""
        with self._record.disrupted(Component.CORE):
            frontends = [
                self._world.store_frontends[self._draw_node(rng)] for _ in range(rng.randint(1, 4))
            ]
            for frontend in frontends:
                frontend.lose_responses += 1
            await self._wait(rng)
            for frontend in frontends:
                frontend.lose_responses = 0

    async def _store_forgets(self, rng: random.Random) -> None:
        """Compact the store, so that watches cannot resume from old revisions."""
        self._world.site.model.compact()

    def _active_workers(self, service: str = "") -> list[str]:
        """Return ids of workers that are not being withdrawn.

        :param service: only workers of this service; empty for all.
        """
        return [
            worker_id
            for worker_id in self._world.site.workers
            if worker_id not in self.departing
            and service in ("", self._world.service_of[worker_id])
        ]

    def draw_removable_worker(self, rng: random.Random) -> str | None:
        """Return the id of a random worker whose service has another one.

        :return: ``None`` when there is no such worker.
        """
        worker_ids = [
            worker_id
            for worker_id in self._active_workers()
            if len(self._active_workers(self._world.service_of[worker_id])) > 1
        ]
        return rng.choice(worker_ids) if worker_ids else None

    def _draw_weights_version(self, rng: random.Random) -> int:
        return max(1, self._world.weights - rng.randint(0, 2))

    async def _harm_worker_link(self, rng: random.Random) -> None:
        name = rng.choice(self._active_workers())
        with self._record.disrupted(Component.LINK, self._world.incarnation_name(name)):
            await self._impair_link(rng, self._world.worker_proxies[name], WORKER_LINK_FAULTS)

    async def _worker_misbehaves(self, rng: random.Random) -> None:
        name = rng.choice(self._active_workers())
        worker = self._world.site.workers[name]
        with self._record.disrupted(Component.WORKER, self._world.incarnation_name(name)):
            worker.faults = WorkerFaults(**vars(rng.choice(WORKER_FAULTS)))
            await self._wait(rng)
            worker.faults = WorkerFaults()

    async def _worker_drains(self, rng: random.Random) -> None:
        """Mark a worker as draining, and as ready again later."""
        await self._suspend_use(
            rng, LINGER_SECONDS, lambda name: self._world.write_entry(name, "draining")
        )

    async def _suspend_use(
        self, rng: random.Random, bounds: tuple[float, float], withdraw: Callable[[str], None]
    ) -> None:
        """Withdraw a random worker for a while.

        :param bounds: range of the seconds until its entry is ready again.
        :param withdraw: withdraws the worker with a given id.
        """
        name = self.draw_removable_worker(rng)
        if name is None:
            return
        self.departing.add(name)
        withdraw(name)
        await self._wait(rng, bounds)
        self._world.write_entry(name, "ready")
        self.departing.discard(name)

    async def _worker_leaves(self, rng: random.Random) -> None:
        """Remove a worker, which continues to serve for a while, and start a replacement."""
        name = self.draw_removable_worker(rng)
        if name is None:
            return
        self.departing.add(name)
        if rng.random() < DRAINING_FIRST_SHARE:
            self._world.write_entry(name, "draining")
            await self._wait(rng)
        self._world.remove_entry(name)
        await self._wait(rng, LINGER_SECONDS)
        await self._world.end_worker(name)
        await self._world.replace_worker(name, self._draw_weights_version(rng))

    async def _engine_restarts(self, rng: random.Random) -> None:
        """Stop an engine or all engines without notice, and start replacements.

        Replacements may have older weights.
        """
        worker_ids = self._active_workers("engines")
        if rng.random() < ONE_ENGINE_SHARE:
            worker_ids = worker_ids[:1]
        self.departing.update(worker_ids)
        for name in worker_ids:
            await self._world.end_worker(name)
        await self._wait(rng)
        for name in worker_ids:
            self._world.remove_entry(name)
            await self._world.replace_worker(name, self._draw_weights_version(rng))

    async def _engine_stays_old(self, rng: random.Random) -> None:
        """Order newer weights while some engines are unable to load them."""
        engines = [engine for engine in self._world.site.workers.values() if engine.model]
        stuck = rng.sample(engines, rng.randint(1, len(engines))) if engines else []
        for worker in stuck:
            worker.accepted_versions = set(range(1, worker.version + 1))
        self._world.set_desired_weights(1)
        await self._wait(rng, LOAD_FAILURE_SECONDS)
        for worker in stuck:
            worker.accepted_versions = set(LOADABLE_VERSIONS)

    async def _worker_starts_again(self, rng: random.Random) -> None:
        """Restart a worker under its id while its previous process continues to serve."""
        name = self.draw_removable_worker(rng)
        if name is None:
            return
        self.departing.add(name)
        if rng.random() < DRAINING_FIRST_SHARE:
            self._world.write_entry(name, "draining")
        else:
            self._world.remove_entry(name)
        await self._wait(rng, RESTART_DELAY_SECONDS)
        previous = await self._world.restart_worker(name, self._draw_weights_version(rng))
        if rng.random() < LATE_ENTRY_SHARE:
            await self._wait(rng, RESTART_DELAY_SECONDS)
            self._world.write_stale_entry(name, previous)
            await self._wait(rng, RESTART_DELAY_SECONDS)
            self._world.write_entry(name, "ready")
        await self._wait(rng, LINGER_SECONDS)
        self._world.end_previous(previous)
        self.departing.discard(name)

    async def _entry_is_spoilt(self, rng: random.Random) -> None:
        """Overwrite a worker's entry with an invalid one for a while."""
        await self._suspend_use(
            rng,
            INVALID_ENTRY_SECONDS,
            lambda name: self._world.write_invalid_entry(name, rng.choice(INVALID_ENTRIES)),
        )

    async def _change_configuration(self, rng: random.Random) -> None:
        for _ in range(rng.randint(1, 4)):
            self._world.configure(rng.randint(1, 3))
            await self._wait(rng, SERIES_PAUSE_SECONDS)

    async def _name_weights(self, rng: random.Random) -> None:
        for _ in range(rng.randint(1, 4)):
            self._world.set_desired_weights(1)
            await self._wait(rng, SERIES_PAUSE_SECONDS)

    async def _revoke_key(self, rng: random.Random) -> None:
        self._world.revoke_key()
