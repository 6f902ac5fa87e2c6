"""Queries of a node to the dispatcher of a service.

Every node can be a dispatcher; all nodes derive the dispatcher of a service from the store in the
same way. If it does not reply in time, the node chooses a worker itself and backs off from that
dispatcher; after several timeouts in a row the next dispatcher is used.
"""

import asyncio
import contextlib
import math
from collections.abc import Callable

from wheelslip.deployment import CachePlan, Incarnation
from wheelslip.events import LogEvent, log_event
from wheelslip.peers.datagrams import DatagramSocket
from wheelslip.peers.dispatch_messages import (
    GRANT,
    MAX_EXCLUDED,
    QUERY,
    WorkerGrant,
    WorkerQuery,
)
from wheelslip.peers.dispatcher_health import (
    DispatcherHealth,
    DispatcherSilent,
    DispatcherUnavailable,
)
from wheelslip.peers.grant_reports import Grant, GrantReports
from wheelslip.peers.queue_link import QueueLink, QueueOutcome, QueueTerms, QueueUnavailable
from wheelslip.routing.dispatcher import Dispatcher, Progress, QueryId
from wheelslip.routing.limits.named_limits import WorkerRateLimits
from wheelslip.routing.limits.tenant_limits import TenantLimited
from wheelslip.routing.overload import Overloaded
from wheelslip.routing.placement import Placement, PlacementQuery
from wheelslip.routing.worker_choice import WorkerPlacement

MAX_SENDS = 2
"""Maximum number of times a query is sent, since datagrams may be lost."""

REQUIRED_REPLY_SECONDS = 0.25
"""Minimum time to wait for a reply that is required, so that a slow dispatcher is not replaced while
the requests that it has granted run."""

TAKEOVER_SECONDS = 0.15
"""Time after the first reply of a new dispatcher in which a node uses no grant for brittle workers.
The other nodes have reported what runs there by then; requests wait for a worker meanwhile."""

MAX_METERS_QUERIED = 2
"""Maximum number of other meters that are queried to charge a request."""

UNCHARGED_EXCLUSION_SECONDS = 1.0
"""Time for which rate-limited workers are excluded from queries to a dispatcher that granted one
without charging its limit: it may lack the limits, or its build may not support them."""


class DispatchLink:
    """Requests grants from dispatchers and reports the progress of granted requests.

    :param incarnation: incarnation of this node, random at each start.
    :param address: address of this node, ``IP:PORT``.
    :param dispatcher: dispatcher of this node, called directly if it is the one to query.
    :param dispatchers_of: returns the addresses of the dispatchers of a service in order of
        preference.
    :param records: load and failure records of this node.
    :param meters: returns the other meters that may charge a request to its tenant's rate limit
        if the dispatcher does not reply, in order of preference.
    :param limits: rate limits that workers announce.
    :param report_limits: reports these limits to the node at an address.
    :param queue: requests of this node that wait at dispatchers.
    :ivar incarnation: as the parameter.
    :ivar grants_received: number of grants received.
    :ivar local_choices: number of requests for which no dispatcher was available.
    :ivar uncharged_grants: number of grants returned because they were not charged to the rate
        limit of their worker.
    """

    def __init__(
        self,
        incarnation: str,
        address: str,
        socket: DatagramSocket,
        dispatcher: Dispatcher,
        records: WorkerPlacement,
        dispatchers_of: Callable[[str], list[str]],
        health: DispatcherHealth,
        meters: Callable[[], list[str]],
        limits: WorkerRateLimits,
        report_limits: Callable[[str], None],
        queue: QueueLink,
        clock: Callable[[], float],
    ):
        self.incarnation = incarnation
        self._address = address
        self._socket = socket
        self._dispatcher = dispatcher
        self._records = records
        self._dispatchers_of = dispatchers_of
        self._health = health
        self._meters = meters
        self._limits = limits
        self._report_limits = report_limits
        self._queue = queue
        self._reports = GrantReports(
            incarnation,
            address,
            socket,
            dispatcher,
            queue,
            lambda service: service in records.brittle,
            clock,
        )
        self.report_progress = self._reports.report_progress
        self.run = self._reports.run
        queue.follow = self._reports.follow_dispatcher
        self._uncharged_until: dict[str, float] = {}
        self._taken_over_until: dict[str, float] = {}
        self._clock = clock
        self._last_query_number = 0
        self._pending: dict[int, asyncio.Future[WorkerGrant]] = {}
        self.grants_received = 0
        self.local_choices = 0
        self.uncharged_grants = 0
        socket.register(GRANT, WorkerGrant, self._handle_reply)

    async def request_grant(
        self, query: PlacementQuery, terms: QueueTerms | None = None
    ) -> Grant | None:
        """Return a grant, or ``None`` if no worker is available now.

        Requests for brittle workers wait until a dispatcher replies or all have failed. If nodes
        chose these workers themselves, they would send more than the workers can take.

        :param terms: if given, the request waits in the queue of the dispatcher when no worker can
            start it now.
        :raises DispatcherUnavailable: if this node has to choose a worker itself.
        :raises Overloaded: if no worker can start the request in time.
        :raises TenantLimited: if the tenant has exceeded its rate limit.
        """
        is_required = query.service in self._records.brittle
        while True:
            try:
                return await self._request_grant(query, terms, is_required)
            except DispatcherUnavailable as exc:
                if not (is_required and isinstance(exc, DispatcherSilent)):
                    self.local_choices += 1
                    raise

    async def charge(self, query: PlacementQuery) -> None:
        """Charge a request whose worker this node chooses itself to its tenant's rate limit.

        :raises TenantLimited: if the tenant has exceeded its rate limit.
        :raises NoAuthority: if no meter can charge the request now.
        """
        query_id = self._next_query_id()
        message = WorkerQuery.of(query_id, query, charge_only=True)
        for meter in self._meters()[:MAX_METERS_QUERIED]:
            with contextlib.suppress(DispatcherUnavailable):
                reply, _ = await self._send_query(meter, message)
                if reply.tenant_limited:
                    raise TenantLimited(query.tenant, reply.retry_seconds)
                if reply.charged:
                    return
        self._dispatcher.charge(query_id, query)

    def gauges(self) -> dict[str, Callable[[], float]]:
        """Return the gauges by name."""
        return {
            "dispatched_requests": lambda: float(self.grants_received),
            "requests_placed_alone": lambda: float(self.local_choices),
            "uncounted_grants": lambda: float(self.uncharged_grants),
        }

    def _next_query_id(self) -> QueryId:
        self._last_query_number += 1
        return QueryId(self.incarnation, self._last_query_number)

    async def _request_grant(
        self,
        query: PlacementQuery,
        terms: QueueTerms | None,
        is_required: bool = False,
        is_repeated: bool = False,
    ) -> Grant | None:
        """Return a grant of the dispatcher to query, as :meth:`request_grant`.

        :param is_repeated: an earlier request to enqueue the same got no reply.
        """
        address = self._health.choose(self._dispatchers_of(query.service), is_required)
        query_id = self._next_query_id()
        sends = 0
        try:
            if address == self._address:
                return self._ask_locally(query_id, query)
            if query.software_version and len(query.excluded) > MAX_EXCLUDED:
                # The query would not name all workers of other versions.
                raise DispatcherUnavailable
            query = self._without_uncharged(address, query)
            message = WorkerQuery.of(query_id, query)
            reply, sends = await self._send_query(address, message, is_required)
            if self._is_taking_over(query.service, address, reply.dispatcher):
                if reply.worker:
                    self._reports.send_progress(address, query_id, Progress.UNUSED)
                return None
            return self._process_reply(query_id, address, query, reply)
        except Overloaded as refusal:
            if terms is None or not self._queue.has_queue(address):
                raise
            if sends > 1:
                # The second refusal of a query that was sent twice may still arrive. It must not
                # be taken for the queue's decision.
                query_id = self._next_query_id()
            return await self._wait_for_grant(
                address, query_id, terms, refusal if is_repeated else None
            )

    def _ask_locally(self, query_id: QueryId, query: PlacementQuery) -> Grant | None:
        placement = self._dispatcher.grant(query_id, query)
        if self._is_taking_over(query.service, self._address, self.incarnation):
            if placement is not None:
                self._reports.send_progress(self._address, query_id, Progress.UNUSED)
            return None
        return self._record_grant(query_id, self._address, query.service, placement)

    def _is_taking_over(self, service: str, address: str, incarnation: str) -> bool:
        """Follow a dispatcher; return whether it has just become that of a service.

        Until the nodes have reported to it, it grants places in which requests run. Brittle workers
        do not bear that.
        """
        now = self._clock()
        is_new = self._reports.follow_dispatcher(service, address, incarnation)
        if is_new and service in self._records.brittle:
            self._taken_over_until[service] = now + TAKEOVER_SECONDS
        return now < self._taken_over_until.get(service, 0.0)

    def _without_uncharged(self, address: str, query: PlacementQuery) -> PlacementQuery:
        """Exclude rate-limited workers from a query to a dispatcher that did not charge one."""
        if self._clock() >= self._uncharged_until.get(address, 0.0):
            return query
        return query._replace(excluded=query.excluded | self._rate_limited_workers(query.service))

    async def _wait_for_grant(
        self, address: str, query_id: QueryId, terms: QueueTerms, refusal: Overloaded | None
    ) -> Grant | None:
        """Wait in the queue of a dispatcher, and of the next ones if it no longer replies.

        A dispatcher that does not reply to the request to enqueue may have stalled, so it is queried
        again. One that replies to that query only is taken for one without a queue, whose refusal
        stands.

        :param refusal: reply to the repeated query.
        """
        while True:
            try:
                outcome = await self._queue.wait(address, query_id, terms)
                return self._process_outcome(query_id, address, outcome)
            except QueueUnavailable as exc:
                if not exc.ever_replied:
                    if refusal is None:
                        return await self._request_grant(terms.query(), terms, is_repeated=True)
                    if self._queue.record_ignored(address):
                        raise refusal from exc
                    raise DispatcherSilent from exc
            refusal = None
            address = self._health.choose(self._dispatchers_of(terms.query().service))
            query_id = self._next_query_id()

    def _process_outcome(
        self, query_id: QueryId, address: str, outcome: QueueOutcome
    ) -> Grant | None:
        decision, query = outcome.decision, outcome.query
        if isinstance(decision, Exception):
            raise decision
        if isinstance(decision, WorkerGrant):
            self._reports.follow_dispatcher(query.service, address, decision.dispatcher)
            grant = self._process_reply(query_id, address, query, decision)
        else:
            self._reports.follow_dispatcher(query.service, address, self.incarnation)
            grant = self._record_grant(query_id, address, query.service, decision)
        if grant is not None:
            grant.queued = True
        return grant

    async def _send_query(
        self, address: str, message: WorkerQuery, is_required: bool = False
    ) -> tuple[WorkerGrant, int]:
        """Send a query, again after a timeout; return the reply and the number of messages sent.

        :param is_required: wait longer, as the node does not choose a worker itself.
        :raises DispatcherSilent: if no reply is received in time.
        """
        fut = asyncio.get_running_loop().create_future()
        self._pending[message.query_number] = fut
        sent_at = self._clock()
        try:
            for sends in range(1, MAX_SENDS + 1):
                self._socket.send(address, QUERY, message)
                timeout = self._health.timeout_seconds(address)
                if is_required:
                    timeout = max(timeout, REQUIRED_REPLY_SECONDS)
                await asyncio.wait([fut], timeout=timeout)
                if fut.done():
                    self._health.record_reply(address, self._clock() - sent_at)
                    return fut.result(), sends
        except asyncio.CancelledError:
            if fut.done() and fut.result().worker:
                # The grant arrived at the moment of the cancellation.
                query_id = QueryId(message.node, message.query_number)
                self._reports.send_progress(address, query_id, Progress.UNUSED)
            raise
        finally:
            del self._pending[message.query_number]
        self._health.record_timeout(address, sent_at if is_required else math.inf)
        raise DispatcherSilent

    def _process_reply(
        self, query_id: QueryId, address: str, query: PlacementQuery, reply: WorkerGrant
    ) -> Grant | None:
        if reply.tenant_limited:
            raise TenantLimited(query.tenant, reply.retry_seconds)
        if reply.retry_seconds:
            raise Overloaded(reply.retry_seconds)
        if not reply.worker:
            return None
        worker = self._records.worker(reply.worker)
        if worker is not None:
            self._records.adopt_weights(worker, query.model, reply.weights_version)
        if worker is None or not self._records.accepts(worker, query):
            # In this node's view the worker is not available for the request.
            self._reports.send_progress(address, query_id, Progress.UNUSED)
            raise DispatcherUnavailable
        if not reply.charged and self._limits.rate(reply.worker) is not None:
            self._return_uncharged_grant(address, query_id, reply.worker)
            raise DispatcherUnavailable
        version = reply.weights_version
        chain = query.chain(version)
        cache = None
        if chain:
            cache = CachePlan(query.salt(version), reply.fetch_from, reply.save_to)
        placement = Placement(
            worker,
            version,
            chain,
            reply.prefill_tokens,
            held_tokens=query.prompt_tokens + query.output_tokens,
            cache=cache,
            rate_limit_charged=reply.charged,
            priority=query.priority,
        )
        return self._record_grant(query_id, address, query.service, placement)

    def _rate_limited_workers(self, service: str) -> frozenset[Incarnation]:
        """Return the workers of a service that announce a rate limit."""
        workers = self._limits.limited_incarnations()
        return frozenset(worker for worker in workers if self._records.serves(worker, service))

    def _return_uncharged_grant(self, address: str, query_id: QueryId, worker: Incarnation) -> None:
        """Return the grant of a rate-limited worker that was not charged to its limit."""
        self.uncharged_grants += 1
        log_event(LogEvent.GRANT_UNCOUNTED, dispatcher=address, incarnation=worker)
        self._uncharged_until[address] = self._clock() + UNCHARGED_EXCLUSION_SECONDS
        self._report_limits(address)
        self._reports.send_progress(address, query_id, Progress.UNUSED)

    def _record_grant(
        self, query_id: QueryId, address: str, service: str, placement: Placement | None
    ) -> Grant | None:
        if placement is None:
            return None
        self.grants_received += 1
        grant = Grant(query_id, address, service, placement)
        self._reports.add(grant)
        return grant

    def _handle_reply(self, reply: WorkerGrant, sender: str) -> None:
        fut = self._pending.get(reply.query_number)
        if fut is not None and not fut.done():
            fut.set_result(reply)
        elif fut is not None and fut.result().worker:
            # A repeated grant: the request is about to be sent, but not listed as granted yet.
            return
        elif self._queue.deliver_reply(reply):
            return
        elif reply.worker and not self._reports.has_grant(reply.query_number):
            # The query timed out or was cancelled, so the grant is not used.
            self._reports.send_progress(
                sender, QueryId(self.incarnation, reply.query_number), Progress.UNUSED
            )
