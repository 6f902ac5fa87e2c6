"""Asks the dispatcher of a service for workers.

Every node can dispatch; who does for a service, all nodes read from the store alike. A
dispatcher that does not answer at once is passed by, for the next one, and then the node
chooses alone: a lost dispatcher costs some milliseconds and exactness, never a request.
Nodes tell a new dispatcher what they have running and which prompts their workers have read
of late, so that it knows what the last one knew.
"""

import asyncio
import contextlib
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from wheelslip.deployment import CachePlan, Incarnation
from wheelslip.events import LogEvent, log_event
from wheelslip.peers.datagrams import DatagramSocket
from wheelslip.peers.dispatch_messages import (
    ASK,
    GRANT,
    KEPT,
    PART_REQUESTS,
    RUNNING,
    TELL,
    KeptTold,
    ProgressTold,
    RunningTold,
    WorkerAsk,
    WorkerGrant,
)
from wheelslip.peers.dispatcher_health import DispatcherHealth, NoDispatcher
from wheelslip.routing.dispatcher import Dispatcher, Progress, QueryId
from wheelslip.routing.fleet_choice import RunningRequest
from wheelslip.routing.fleet_memory import CachedPrompt
from wheelslip.routing.named_limits import WorkerRateLimits
from wheelslip.routing.overload import Overloaded
from wheelslip.routing.placement import Placement, PlacementQuery
from wheelslip.routing.tenant_limits import TenantLimited
from wheelslip.routing.worker_choice import WorkerPlacement

SENDS = 2
"""Times that a question is sent: datagrams are lost now and then."""

MOST_COUNTERS = 2
"""Most other nodes that are asked to count a request: each silent one costs some 40 ms."""

LIST_SECONDS = 1.0
"""Pause between two lists of what a node has running."""

READ_SECONDS = 8.0
"""A new dispatcher is told which prompts workers have read within this time: a worker's memory
is turned over in about as long under load (large deployments, ten seconds)."""

UNCOUNTED_SECONDS = 1.0
"""A dispatcher that granted a limited worker without counting is not offered such workers for this
long: it has just got a report of their limits, or it runs a build that knows none."""

MAX_READ = 256
"""Most such prompts that a node remembers."""


class _ReadPrompt(NamedTuple):
    """A prompt that a worker has read, for a dispatcher that takes over."""

    kept_until: float
    service: str
    kept: CachedPrompt


@dataclass
class Grant:
    """A worker granted to one request of this node.

    :ivar dispatcher: address of the node that granted it.
    """

    query_id: QueryId
    dispatcher: str
    service: str
    placement: Placement
    had_first_token: bool = False

    def as_running(self) -> RunningRequest:
        """Return what another dispatcher needs to know of it."""
        placement = self.placement
        return RunningRequest(
            self.query_id.number,
            placement.worker.info.id,
            placement.weights_version,
            placement.chain,
            0 if self.had_first_token else placement.prefill_tokens,
            placement.held_tokens,
        )


class DispatchLink:
    """A node's side of dispatch, asking and answering.

    :param address: of this node, ``IP:PORT``.
    :param dispatchers_of: returns the addresses of the nodes that may be asked for a service,
        the first choice first.
    :param records: this node's own view of the workers.
    :param counters: returns the other nodes that may count a request for its tenant's limit when
        the dispatcher does not answer, the first choice first.
    :param limits: what workers name.
    :param report_limits: reports all of them to the node at an address.
    :ivar incarnation: of this node, random at each start.
    :ivar uncounted: grants handed back since they were not counted for their worker's limit.
    """

    def __init__(
        self,
        address: str,
        socket: DatagramSocket,
        dispatcher: Dispatcher,
        records: WorkerPlacement,
        dispatchers_of: Callable[[str], list[str]],
        health: DispatcherHealth,
        counters: Callable[[], list[str]],
        limits: WorkerRateLimits,
        report_limits: Callable[[str], None],
        clock: Callable[[], float],
        random_source: random.Random,
    ):
        self._address = address
        self._socket = socket
        self._dispatcher = dispatcher
        self._records = records
        self._dispatchers_of = dispatchers_of
        self._health = health
        self._counters = counters
        self._limits = limits
        self._report_limits = report_limits
        self._uncounting_until: dict[str, float] = {}
        self._clock = clock
        self.incarnation = f"{random_source.getrandbits(48):012x}"
        self._asks = 0
        self._waiting: dict[int, asyncio.Future[WorkerGrant]] = {}
        self._grants: dict[int, Grant] = {}
        self._current: dict[str, tuple[str, str]] = {}
        self._read: deque[_ReadPrompt] = deque(maxlen=MAX_READ)
        self.granted = 0
        self.alone = 0
        self.uncounted = 0
        socket.register(GRANT, WorkerGrant, self._answered)

    # Asking

    async def ask(self, query: PlacementQuery) -> Grant | None:
        """Return a grant, ``None`` when no worker may take the request now.

        :raises NoDispatcher: when this node has to choose by itself.
        :raises Overloaded: when no worker can begin the request in time.
        :raises TenantLimited: when its tenant is over its limit.
        """
        try:
            return await self._ask(query)
        except NoDispatcher:
            self.alone += 1
            raise

    async def count(self, query: PlacementQuery) -> None:
        """Count a request for its tenant's limit whose worker this node chooses by itself.

        :raises TenantLimited: when the tenant is over its limit.
        :raises NoAuthority: when no node can count it just now.
        """
        query_id = self._next_query_id()
        ask = WorkerAsk.of(query_id, query, counts_only=True)
        for meter in self._counters()[:MOST_COUNTERS]:
            with contextlib.suppress(NoDispatcher):
                answer = await self._exchange(meter, ask)
                if answer.limited:
                    raise TenantLimited(query.tenant, answer.retry_seconds)
                if answer.counted:
                    return
        self._dispatcher.count(query_id, query)

    def _next_query_id(self) -> QueryId:
        self._asks += 1
        return QueryId(self.incarnation, self._asks)

    async def _ask(self, query: PlacementQuery) -> Grant | None:
        address = self._health.choose(self._dispatchers_of(query.service))
        query_id = self._next_query_id()
        if address == self._address:
            placement = self._dispatcher.grant(query_id, query)
            self._note_current(query.service, address, self.incarnation)
            return self._keep(query_id, address, query.service, placement)
        if self._clock() < self._uncounting_until.get(address, 0.0):
            query = query._replace(excluded=query.excluded | self._limited(query.service))
        answer = await self._exchange(address, WorkerAsk.of(query_id, query))
        self._note_current(query.service, address, answer.dispatcher)
        return self._take(query_id, address, query, answer)

    async def _exchange(self, address: str, ask: WorkerAsk) -> WorkerGrant:
        """Ask, and ask once more.

        :raises NoDispatcher: when no answer comes in time.
        """
        fut = asyncio.get_running_loop().create_future()
        self._waiting[ask.ask] = fut
        sent_at = self._clock()
        try:
            for _ in range(SENDS):
                self._socket.send(address, ASK, ask)
                await asyncio.wait([fut], timeout=self._health.timeout_seconds(address))
                if fut.done():
                    self._health.answered(address, self._clock() - sent_at)
                    return fut.result()
        finally:
            del self._waiting[ask.ask]
        self._health.missed(address)
        raise NoDispatcher

    def _take(
        self, query_id: QueryId, address: str, query: PlacementQuery, answer: WorkerGrant
    ) -> Grant | None:
        if answer.limited:
            raise TenantLimited(query.tenant, answer.retry_seconds)
        if answer.retry_seconds:
            raise Overloaded(answer.retry_seconds)
        if not answer.worker:
            return None
        worker = self._records.worker(answer.worker)
        if worker is None or not self._records.accepts(worker, query):
            # This node knows better: the worker leaves or rests, or its weights are too old.
            self._send(address, query_id, Progress.UNUSED)
            raise NoDispatcher
        if not answer.counted and self._limits.rate(answer.worker) is not None:
            self._hand_back_uncounted(address, query_id, answer.worker)
            raise NoDispatcher
        version = answer.weights_version
        chain = query.chain(version)
        cache = None
        if chain:
            cache = CachePlan(query.salt(version), answer.fetch_from, answer.save_to)
        placement = Placement(
            worker,
            version,
            chain,
            answer.prefill_tokens,
            held_tokens=query.prompt_tokens + query.output_tokens,
            cache=cache,
            rate_limit_charged=answer.counted,
        )
        return self._keep(query_id, address, query.service, placement)

    def _limited(self, service: str) -> frozenset[Incarnation]:
        """Return the workers of a service that name a limit."""
        starts = self._limits.limited_incarnations()
        return frozenset(one for one in starts if self._records.serves(one, service))

    def _hand_back_uncounted(self, address: str, query_id: QueryId, worker: Incarnation) -> None:
        """Hand back a limited worker that a dispatcher granted without counting."""
        self.uncounted += 1
        log_event(LogEvent.GRANT_UNCOUNTED, dispatcher=address, incarnation=worker)
        self._uncounting_until[address] = self._clock() + UNCOUNTED_SECONDS
        self._report_limits(address)
        self._send(address, query_id, Progress.UNUSED)

    def _keep(
        self, query_id: QueryId, address: str, service: str, placement: Placement | None
    ) -> Grant | None:
        if placement is None:
            return None
        self.granted += 1
        grant = Grant(query_id, address, service, placement)
        self._grants[query_id.number] = grant
        return grant

    def tell(self, grant: Grant, progress: Progress) -> None:
        """Tell how a granted request goes on; all but a first token ends it."""
        if progress is Progress.FIRST_TOKEN:
            grant.had_first_token = True
            self._note_read(grant)
        else:
            self._grants.pop(grant.query_id.number, None)
        current, _ = self._current.get(grant.service, (grant.dispatcher, ""))
        for address in {grant.dispatcher, current}:
            self._send(address, grant.query_id, progress)

    def _note_read(self, grant: Grant) -> None:
        placement = grant.placement
        if placement.chain:
            kept = CachedPrompt(placement.worker.info.id, placement.chain)
            self._read.append(_ReadPrompt(self._clock() + READ_SECONDS, grant.service, kept))

    def _send(self, address: str, query_id: QueryId, progress: Progress) -> None:
        if address == self._address:
            self._dispatcher.record_progress(query_id, progress)
        else:
            self._socket.send(address, TELL, ProgressTold(*query_id, progress))

    # What runs here

    async def run(self) -> None:
        """List what runs here to the dispatchers, for ever."""
        while True:
            await asyncio.sleep(LIST_SECONDS)
            for service in {one.service for one in self._grants.values()}:
                self._list(service)

    def _note_current(self, service: str, address: str, incarnation: str) -> None:
        """Tell a dispatcher that is new for a service what runs here."""
        if self._current.get(service) == (address, incarnation):
            return
        self._current[service] = (address, incarnation)
        log_event(LogEvent.DISPATCHER_FOLLOWED, dispatcher=address, workload=service)
        self._list(service)
        self._tell_read(service, address)

    def _tell_read(self, service: str, address: str) -> None:
        now = self._clock()
        kept = [one.kept for one in self._read if one.service == service and now < one.kept_until]
        for first in range(0, len(kept), PART_REQUESTS):
            part = kept[first : first + PART_REQUESTS]
            if address == self._address:
                self._dispatcher.record_cached_prompts(part)
            else:
                self._socket.send(address, KEPT, KeptTold(part))

    def _list(self, service: str) -> None:
        address, _ = self._current.get(service, ("", ""))
        grants = [one for one in self._grants.values() if one.service == service]
        asks = list(self._grants)
        if not address:
            return
        for first in range(0, max(1, len(grants)), PART_REQUESTS):
            part = [one.as_running() for one in grants[first : first + PART_REQUESTS]]
            if address == self._address:
                self._dispatcher.reconcile_running(self.incarnation, asks, part)
            else:
                self._socket.send(address, RUNNING, RunningTold(self.incarnation, asks, part))

    def _answered(self, grant: WorkerGrant, sender: str) -> None:
        fut = self._waiting.get(grant.ask)
        if fut is not None and not fut.done():
            fut.set_result(grant)
        elif grant.worker and grant.ask not in self._grants:
            # Too late: another dispatcher or this node has chosen meanwhile.
            self._send(sender, QueryId(self.incarnation, grant.ask), Progress.UNUSED)
