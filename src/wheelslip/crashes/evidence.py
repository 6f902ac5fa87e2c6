"""Detection of workers that crashed while running a request.

A lost response alone is no evidence of a crash: connections are reset, and workers abort responses.

==========================================  ==============  ====================================
Observed after a response was lost          Counts as end   Other possible cause
==========================================  ==============  ====================================
a later incarnation is registered           yes
another process answers at the address      yes
a connection is refused, in the probes      yes
the same, but another node connects         no              a network that resets connections
a connection is refused, later              no              a later end, under another request
a connection is reset during connect        no              a network that resets connections
a connection attempt times out              no              a network partition, a full backlog
a connection is accepted                    no              a later incarnation not in view yet
==========================================  ==============  ====================================

A request that was sent after its worker was recorded as ended is never evidence.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable, Iterable

from wheelslip.clocks import steady_seconds
from wheelslip.connections.http_client import PeerRefused, PeerUnreachable, connect
from wheelslip.crashes.ledger import Crash
from wheelslip.deployment import Incarnation, WorkerInfo
from wheelslip.events import LogEvent, log_event
from wheelslip.registry.registry import Registry

PROBE_DELAYS_SECONDS = (0.03, 0.5)
"""Delay before each probe of a worker's address after a lost response. A process that ends breaks
its connections shortly before or after it stops listening."""

REPLACEMENT_WAIT_SECONDS = 3.5
"""Time after the probes in which the view is checked for a later incarnation. A worker that restarts at
once writes its entry within a few heartbeats."""

REPLACEMENT_CHECK_SECONDS = 0.25
"""Interval between two of these checks."""

MAX_ENDED_INCARNATIONS = 4096
"""Maximum number of incarnations recorded as ended; the oldest records are evicted."""


class CrashEvidence:
    """Checks whether workers that lost responses have crashed.

    :param on_crash: called for each fingerprint that lost a response at a crashed worker.
    :param on_parts_crash: called with the incarnation of a crashed worker, the keys of the prompt
        parts that lost responses there, and the fingerprints of the requests that were on trial for
        some of them, by key.
    :param reached_by_peer: returns whether another node can connect to a worker.
    :param reported_ended_at: returns when this node recorded the end of an incarnation from crash
        reports, or None.
    """

    def __init__(
        self,
        registry: Registry,
        on_crash: Callable[[Crash], None],
        reported_ended_at: Callable[[Incarnation], float | None] = lambda incarnation: None,
        clock: Callable[[], float] = steady_seconds,
        reached_by_peer: Callable[[WorkerInfo], Awaitable[bool]] | None = None,
        on_parts_crash: Callable[[Incarnation, set[str], dict[str, str]], None] = (
            lambda incarnation, keys, tried: None
        ),
    ):
        self._on_parts_crash = on_parts_crash
        self._reached_by_peer = reached_by_peer
        self._registry = registry
        self._on_crash = on_crash
        self._reported_ended_at = reported_ended_at
        self._clock = clock
        self._ended_at: dict[Incarnation, float] = {}
        self._suspected: dict[Incarnation, dict[str, bool]] = {}
        self._lost_parts: dict[Incarnation, set[str]] = {}
        self._tried: dict[Incarnation, dict[str, str]] = {}
        self._checks: dict[Incarnation, asyncio.Task] = {}

    def record_lost_response(
        self,
        fingerprint: str,
        worker: WorkerInfo,
        alone: bool,
        sent_at: float = float("inf"),
        part_keys: Iterable[str] = (),
        trial_keys: Iterable[str] = (),
    ) -> None:
        """Record that a request lost its response, and start to check its worker.

        A worker that is departing may end deliberately and is not checked. One whose entry has
        become invalid, or that has already restarted, is.

        :param alone: whether no other suspected fingerprint ran at the worker.
        :param sent_at: when the request was sent; infinite for just now.
        :param part_keys: keys of the prompt parts of the request.
        :param trial_keys: those of them that were on trial.
        """
        if self._registry.view.may_end_deliberately(worker):
            return
        worker = self._process_of(worker, sent_at)
        if self._had_ended(worker.id, sent_at):
            return
        fingerprints = self._suspected.setdefault(worker.id, {})
        fingerprints[fingerprint] = alone or fingerprints.get(fingerprint, False)
        self._lost_parts.setdefault(worker.id, set()).update(part_keys)
        self._tried.setdefault(worker.id, {}).update(dict.fromkeys(trial_keys, fingerprint))
        if worker.id not in self._checks:
            task = asyncio.get_running_loop().create_task(self._check(worker))
            self._checks[worker.id] = task

    def _process_of(self, worker: WorkerInfo, sent_at: float) -> WorkerInfo:
        """Return the process that received a request, if the worker had restarted before."""
        current = self._registry.workers.get(worker.id)
        if current is None or not current.restarted_as or current.process_seen_at > sent_at:
            return worker
        return dataclasses.replace(worker, id=current.process, born=current.restarted_as)

    def _had_ended(self, incarnation: Incarnation, sent_at: float) -> bool:
        """Return whether an incarnation was recorded as ended when a request was sent."""
        end_times = (self._ended_at.get(incarnation), self._reported_ended_at(incarnation))
        return any(ended_at is not None and ended_at <= sent_at for ended_at in end_times)

    async def wait_until_checked(self, incarnation: Incarnation) -> None:
        """Wait until a running check of an incarnation is complete."""
        current = self._registry.workers.get(incarnation)
        process = current.process if current is not None else incarnation
        task = self._checks.get(incarnation) or self._checks.get(process)
        if task is not None:
            await asyncio.wait([task])

    async def _check(self, worker: WorkerInfo) -> None:
        try:
            for delay in PROBE_DELAYS_SECONDS:
                await asyncio.sleep(delay)
                if self._is_replaced(worker) or await self._refuses(worker):
                    self._record_ended(worker)
                    return
            if await self._is_replaced_later(worker):
                self._record_ended(worker)
        finally:
            del self._checks[worker.id]
            self._suspected.pop(worker.id, None)
            self._lost_parts.pop(worker.id, None)
            self._tried.pop(worker.id, None)

    async def _is_replaced_later(self, worker: WorkerInfo) -> bool:
        """Wait until a later incarnation is in the view; return whether there is one in time."""
        for _ in range(round(REPLACEMENT_WAIT_SECONDS / REPLACEMENT_CHECK_SECONDS)):
            if self._is_replaced(worker):
                return True
            await asyncio.sleep(REPLACEMENT_CHECK_SECONDS)
        return self._is_replaced(worker)

    def _record_ended(self, worker: WorkerInfo) -> None:
        self._ended_at[worker.id] = self._clock()
        if len(self._ended_at) > MAX_ENDED_INCARNATIONS:
            del self._ended_at[next(iter(self._ended_at))]
        for fingerprint, alone in self._suspected[worker.id].items():
            log_event(
                LogEvent.ENGINE_ENDED_UNDER,
                engine=worker.worker_id,
                incarnation=worker.id,
                zone=worker.zone,
                content=fingerprint,
                alone=alone,
            )
            self._on_crash(Crash(fingerprint, worker.id, alone))
        keys = self._lost_parts[worker.id]
        if keys:
            self._on_parts_crash(worker.id, keys, self._tried[worker.id])

    async def _refuses(self, worker: WorkerInfo) -> bool:
        """Return whether connections to the address of a worker are refused."""
        try:
            conn = await connect(worker.address)
        except PeerRefused:
            if self._reached_by_peer is None:
                return True
            # Other nodes know the worker by its entry.
            current = self._registry.view.by_id(worker.worker_id)
            return not await self._reached_by_peer(current.info if current else worker)
        except PeerUnreachable:
            return False
        conn.close()
        return False

    def _is_replaced(self, worker: WorkerInfo) -> bool:
        """Return whether the view has a later incarnation, or another process at the address."""
        current = self._registry.view.by_id(worker.worker_id)
        if current is None:
            return False
        if current.restarted_as:
            return current.process != worker.id or current.replaced
        return current.info.born > worker.born or (
            current.info.id == worker.id and current.replaced
        )
