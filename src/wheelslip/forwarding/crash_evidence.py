"""Tells an engine that ended under a request from a connection that broke.

A lost answer is no crash: connections are reset, and engines break answers off.

========================================  =================  =====================================
Seen after an answer was lost             Start has ended    What else could have caused it
========================================  =================  =====================================
a later start is known                    yes
another process answers at its address    yes
a connection is refused, soon             yes
a connection is refused, later            no                 it ended later, under something else
a connection is reset as it is made       no                 a link that resets connections
no connection comes up                    no                 a link that is cut, a full queue
a connection comes up                     no                 a later start that is not known yet
========================================  =================  =====================================

A request that was sent when its engine was already known to have ended shows nothing, whatever is seen.
"""

import asyncio
from collections.abc import Callable

from wheelslip.clocks import steady_seconds
from wheelslip.deployment import Incarnation, WorkerInfo
from wheelslip.events import LogEvent, log_event
from wheelslip.forwarding.http_client import PeerRefused, PeerUnreachable, connect
from wheelslip.forwarding.registry import Registry
from wheelslip.routing.crash_ledger import Crash

LOOKS_SECONDS = (0.03, 0.5)
"""Pauses before each look at the address of an engine that has lost an answer. A process that ends
breaks its connections a moment before or after it stops listening."""

LATER_START_SECONDS = 3.5
"""Pause after these looks until a later start is looked for once more: an engine that is back at once
shows it with its next entry, three heartbeats (3.6 s) later at most."""

MAX_ENDED = 4096
"""Starts of engines that are remembered as ended, the newest."""


class CrashEvidence:
    """Judges the engines at which answers were lost.

    :param on_crash: called with each content that an ended engine had.
    :param ended_at: returns when this node learned from others that a start had ended.
    """

    def __init__(
        self,
        registry: Registry,
        on_crash: Callable[[Crash], None],
        ended_at: Callable[[Incarnation], float | None] = lambda start: None,
        clock: Callable[[], float] = steady_seconds,
    ):
        self._registry = registry
        self._on_crash = on_crash
        self._ended_elsewhere_at = ended_at
        self._clock = clock
        self._ended_at: dict[Incarnation, float] = {}
        self._suspected: dict[Incarnation, dict[str, bool]] = {}
        self._judging: dict[Incarnation, asyncio.Task] = {}

    def lost(
        self, content: str, worker: WorkerInfo, alone: bool, sent_at: float = float("inf")
    ) -> None:
        """A request of a content lost its answer at an engine.

        One that was known to leave may have ended as planned.

        :param alone: no other suspected content ran.
        :param sent_at: when it was sent; by default just now.
        """
        if not self._registry.accepts_requests(worker.id) or self._had_ended(worker.id, sent_at):
            return
        contents = self._suspected.setdefault(worker.id, {})
        contents[content] = alone or contents.get(content, False)
        if worker.id not in self._judging:
            task = asyncio.get_running_loop().create_task(self._judge(worker))
            self._judging[worker.id] = task

    def _had_ended(self, start: Incarnation, sent_at: float) -> bool:
        """Whether a start was known to have ended when a request was sent."""
        known = (self._ended_at.get(start), self._ended_elsewhere_at(start))
        return any(one is not None and one <= sent_at for one in known)

    async def settled(self, start: Incarnation) -> None:
        """Wait until a start of an engine has been judged."""
        task = self._judging.get(start)
        if task is not None:
            await asyncio.wait([task])

    async def _judge(self, worker: WorkerInfo) -> None:
        try:
            for pause in LOOKS_SECONDS:
                await asyncio.sleep(pause)
                if self._is_replaced(worker) or await self._refuses(worker):
                    self._note_ended(worker)
                    return
            await asyncio.sleep(LATER_START_SECONDS)
            if self._is_replaced(worker):
                self._note_ended(worker)
        finally:
            del self._judging[worker.id]
            self._suspected.pop(worker.id, None)

    def _note_ended(self, worker: WorkerInfo) -> None:
        self._ended_at[worker.id] = self._clock()
        if len(self._ended_at) > MAX_ENDED:
            del self._ended_at[next(iter(self._ended_at))]
        for content, alone in self._suspected[worker.id].items():
            log_event(
                LogEvent.ENGINE_ENDED_UNDER,
                engine=worker.worker_id,
                incarnation=worker.id,
                zone=worker.zone,
                content=content,
                alone=alone,
            )
            self._on_crash(Crash(content, worker.id, alone))

    async def _refuses(self, worker: WorkerInfo) -> bool:
        """Whether nothing listens at the address of an engine."""
        try:
            conn = await connect(worker.address)
        except PeerRefused:
            return True
        except PeerUnreachable:
            return False
        conn.close()
        return False

    def _is_replaced(self, worker: WorkerInfo) -> bool:
        """Whether a later start of the engine is known, or another process at its address."""
        known = self._registry.view.by_id(worker.worker_id)
        if known is None:
            return False
        return known.info.born > worker.born or (known.info.id == worker.id and known.replaced)
