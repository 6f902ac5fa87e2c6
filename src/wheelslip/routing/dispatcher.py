"""Grants workers to the requests of all nodes. No I/O: clock and random source are injected.

A node numbers its queries; a repeated query returns the grant that it already has. A grant is
active until its node reports that the request has ended. Nodes also list their running requests
periodically: a grant whose final report was lost is ended, and a dispatcher that has just taken
over rebuilds the grants of its predecessor.

When the queue is enabled, a worker is granted only requests that it can start soon. Others wait in
the queue of their service (:mod:`wheelslip.routing.queue.dispatch_queues`) until their node receives the
decision: a worker or a rejection.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from wheelslip.events import LogBudget, LogEvent
from wheelslip.routing.caches.fleet_memory import CachedPrompt
from wheelslip.routing.fleet_choice import FleetPlacement, RunningRequest
from wheelslip.routing.limits.tenant_limits import Charge, NoAuthority, TenantLimited, TenantLimits
from wheelslip.routing.limits.worker_allowance import RateLimitedChoice, WorkerAllowance
from wheelslip.routing.overload import Overloaded
from wheelslip.routing.placement import Placement, PlacementQuery
from wheelslip.routing.queue.dispatch_queues import Decision, DispatchQueues, NoWorker
from wheelslip.routing.queue.service_times import TimesByService
from wheelslip.routing.queue.waiting_request import QueryId, QueuedQuery

UNLISTED_GRACE_SECONDS = 1.0
"""Minimum age at which a grant that its node does not list is ended; a younger one may have
been issued after the list was made."""

NODE_TIMEOUT_SECONDS = 4.0
"""Time without a message after which the grants of a node are ended; nodes list their running requests
every second."""

SWEEP_INTERVAL_SECONDS = 0.5

SUSPICION_LOG_LINES_PER_SECOND = 10.0
"""Average rate limit of log lines about suspected workers."""

CHARGE_DEDUPLICATION_SECONDS = 2.0
"""How long a repeated charge-only query is recognized; longer than a node waits for a reply."""


class Progress(Enum):
    """Progress of a granted request, as its node reports it.

    ``FAILED`` means that the worker failed the request, ``SILENT`` that it did not acknowledge
    it, ``NOT_RUN`` that it rejected it because of a fault and proved not to have run it.
    ``UNUSED`` means that the request was not sent, or was rejected without a fault.
    ``UNREACHED`` means that the worker could not be connected to. ``PATH_LOST`` means that the
    response was lost because the node has no path to the worker; builds that do not know it end the
    grant when the node no longer lists the request.
    """

    FIRST_TOKEN = "first"
    ENDED = "ended"
    FAILED = "failed"
    SILENT = "silent"
    NOT_RUN = "not_run"
    UNUSED = "unused"
    UNREACHED = "unreached"
    PATH_LOST = "path_lost"


@dataclass
class _Grant:
    placement: Placement
    began_at: float
    had_first_token: bool = False
    tenant_charge: Charge | None = None
    priority: int | None = None
    """Priority of a request granted while the queue was enabled."""


class _Refusal(NamedTuple):
    """Refusal of a query by a service that does not queue; its node may still enqueue it."""

    retry_seconds: float
    refused_at: float


class Dispatcher:
    """Chooses workers for all nodes and tracks the active grants.

    :param limits: tenant rate limits.
    :param allowance: this node's share of the rate limits that workers announce.
    :param queue_enabled: returns whether requests wait here when no worker can start them soon.
    :param times: how long the workers of each service need for the requests of this node.
    :ivar grants_issued: number of grants since the start.
    :ivar overload_refusals: number of queries refused since the start because of overload.
    """

    def __init__(
        self,
        placement: FleetPlacement,
        limits: TenantLimits,
        allowance: WorkerAllowance,
        clock: Callable[[], float],
        queue_enabled: Callable[[], bool] = lambda: False,
        times: TimesByService | None = None,
    ):
        self.placement = placement
        self._queue_enabled = queue_enabled
        self._limits = limits
        self._allowance = allowance
        self._choice = RateLimitedChoice(placement, allowance)
        self._clock = clock
        self._charged: dict[QueryId, float] = {}
        self._refused: dict[QueryId, _Refusal] = {}
        self._grants: dict[QueryId, _Grant] = {}
        self._last_contact: dict[str, float] = {}
        self._swept_at = clock()
        self._log = LogBudget(SUSPICION_LOG_LINES_PER_SECOND, clock)
        self.grants_issued = 0
        self.overload_refusals = 0
        self._times = TimesByService(times)
        self._queues = DispatchQueues(placement, limits, clock, self._start_soon, self._times)

    @property
    def active_grants(self) -> int:
        """Number of grants whose requests have not been reported as ended."""
        return len(self._grants)

    @property
    def queued(self) -> int:
        """Number of requests that have waited since the start."""
        return self._queues.queued

    @property
    def displaced(self) -> int:
        """Number of waiting requests rejected because they were overtaken."""
        return self._queues.displaced

    @property
    def rejected(self) -> int:
        """Number of requests rejected by a queue for other reasons."""
        return self._queues.rejected

    def gauges(self) -> dict[str, Callable[[], float]]:
        """Return the gauges by name."""
        return {
            "grants_given": lambda: float(self.grants_issued),
            "requests_held_back": lambda: float(self.overload_refusals),
            "granted_requests": lambda: float(self.active_grants),
            "queue_depth": lambda: float(self.queue_depth()),
            "queue_queued": lambda: float(self.queued),
            "queue_displaced": lambda: float(self.displaced),
            "queue_rejected": lambda: float(self.rejected),
        }

    def grant(self, query_id: QueryId, query: PlacementQuery) -> Placement | None:
        """Grant a worker; return ``None`` when no worker may take the request now.

        :raises TenantLimited: when the tenant exceeds its rate limit.
        :raises Overloaded: when no worker can begin the request in time; when the queue is enabled,
            also when a waiting request starts before it or no worker can start it soon.
        """
        self._record_contact(query_id.node)
        self._sweep()
        existing = self._grants.get(query_id)
        if existing is not None:
            return existing.placement
        if self._queues_requests(query.service):
            return self._queues.start_if_next(query_id, query)
        # It may still wait if the queue has just been switched off.
        self._queues.remove(query_id)
        try:
            tenant_charge = self._limits.charge(query)
        except NoAuthority:
            # The querying node is about to follow another dispatcher.
            return None
        try:
            placement = self._place(query, tenant_charge)
        except Overloaded as exc:
            self._refused[query_id] = _Refusal(exc.retry_seconds, self._clock())
            raise
        if placement is not None:
            self._issue(query_id, placement, tenant_charge)
        return placement

    def _issue(
        self,
        query_id: QueryId,
        placement: Placement,
        tenant_charge: Charge | None,
        priority: int | None = None,
    ) -> None:
        self.grants_issued += 1
        began_at = self.placement.begin(placement)
        self._grants[query_id] = _Grant(
            placement, began_at, tenant_charge=tenant_charge, priority=priority
        )

    def enqueue(self, query_id: QueryId, queued: QueuedQuery) -> Placement | None:
        """Grant a worker, or let the request wait; ``None`` means that it waits.

        A repeated call renews a waiting request. One that is not renewed for 1 s is dropped.

        :raises Overloaded: when the request is rejected; usually a
            :class:`~wheelslip.routing.queue.service_queue.QueueRejected` with the reasons.
        :raises TenantLimited: when the tenant exceeds its rate limit.
        :raises NoWorker: when no worker may take the request now.
        """
        if not self._queues_requests(queued.query.service):
            refusal = self._refused.pop(query_id, None)
            if refusal is not None:
                # Deciding twice would give each refused caller two turns, and the later one.
                raise Overloaded(refusal.retry_seconds)
            placement = self.grant(query_id, queued.query)
            if placement is None:
                raise NoWorker
            return placement
        self._record_contact(query_id.node)
        self._sweep()
        existing = self._grants.get(query_id)
        if existing is not None:
            return existing.placement
        return self._queues.enqueue(query_id, queued)

    def withdraw(self, query_id: QueryId) -> None:
        """Remove a waiting request whose caller has left or whose node has given up.

        If the request has been granted, the grant ends as unused: its node has not sent it.
        """
        self._record_contact(query_id.node)
        self._queues.withdraw(query_id)
        if query_id in self._grants:
            self._end_unused(query_id)

    def advance_queues(self) -> list[tuple[QueryId, Decision]]:
        """Return the decisions on waiting requests: grants and rejections.

        To be called every 10 ms while something waits, and after progress that frees capacity.
        """
        return self._queues.advance()

    def queue_depth(self) -> int:
        """Return the number of waiting requests of all services."""
        return self._queues.depth()

    def expected_seconds(self, query_id: QueryId) -> float:
        """Return the expected time until a waiting request starts; 0 if it does not wait."""
        return self._queues.expected_seconds(query_id)

    def _queues_requests(self, service: str) -> bool:
        is_enabled = self._queue_enabled() and self.placement.limits_admission()
        return is_enabled and self.placement.may_queue(service)

    def _start_soon(self, query_id: QueryId, query: PlacementQuery) -> Placement | None:
        """Grant a worker that can start a request soon; return ``None`` when none may take it.

        :raises Overloaded: when no worker can start it soon.
        :raises TenantLimited: when the tenant exceeds its rate limit.
        :raises NoAuthority: when another node must count the request.
        """
        query = query._replace(must_start_soon=True)
        placement = self._choice.choose(query, self._clock())
        if placement is None:
            return None
        try:
            tenant_charge = self._limits.charge(query)
        except (TenantLimited, NoAuthority):
            if placement.rate_limit_charged:
                self._allowance.refund(placement.worker.info.id)
            raise
        self._issue(query_id, placement, tenant_charge, query.priority)
        return placement

    def _place(self, query: PlacementQuery, tenant_charge: Charge | None) -> Placement | None:
        """Choose a worker; refund the charge when there is none."""
        try:
            placement = self._choice.choose(query, self._clock())
        except Overloaded:
            self._limits.refund(tenant_charge)
            self.overload_refusals += 1
            raise
        if placement is None:
            self._limits.refund(tenant_charge)
        return placement

    def charge(self, query_id: QueryId, query: PlacementQuery) -> None:
        """Charge a request to its tenant's rate limit without choosing a worker.

        :raises TenantLimited: when the tenant exceeds its rate limit.
        :raises NoAuthority: when this node holds no share of the limits.
        """
        self._record_contact(query_id.node)
        self._sweep()
        if query_id not in self._charged:
            self._limits.charge(query)
            self._charged[query_id] = self._clock() + CHARGE_DEDUPLICATION_SECONDS

    def record_progress(self, query_id: QueryId, progress: Progress) -> None:
        """Apply a node's progress report; reports on unknown grants are ignored."""
        self._record_contact(query_id.node)
        grant = self._grants.get(query_id)
        if grant is None:
            return
        worker_id = grant.placement.worker.info.id
        match progress:
            case Progress.FIRST_TOKEN:
                self._record_first_token(grant)
                self.placement.record_contact(worker_id, query_id.node)
            case Progress.ENDED:
                if grant.had_first_token or not grant.placement.chain:
                    self.placement.record_outcome(worker_id, failed=False)
                    self.placement.record_contact(worker_id, query_id.node)
                    self._record_served(grant)
                self._end(query_id, completed=True)
            case Progress.FAILED | Progress.SILENT | Progress.NOT_RUN:
                self._record_worker_failure(query_id, grant, progress)
            case Progress.PATH_LOST:
                self._end(query_id)
            case Progress.UNUSED:
                self._end_unused(query_id)
            case Progress.UNREACHED:
                self._record_unreachable(grant, query_id.node, progress)
                self._end_unused(query_id)

    def _record_worker_failure(self, query_id: QueryId, grant: _Grant, progress: Progress) -> None:
        worker = grant.placement.worker
        self.placement.record_outcome(worker.info.id, failed=True)
        if progress is Progress.NOT_RUN:
            self._end_not_run(query_id)
        else:
            if progress is Progress.SILENT:
                self._record_unreachable(grant, query_id.node, progress)
            self._end(query_id)
        self.placement.record_rejected(worker)

    def _record_unreachable(self, grant: _Grant, node: str, progress: Progress) -> None:
        info = grant.placement.worker.info
        if self.placement.record_unreachable(info.id, node):
            self._log.log(
                LogEvent.ENGINE_SUSPECTED,
                engine=info.worker_id,
                incarnation=info.id,
                zone=info.zone,
                reported_by=node,
                reason=progress.value,
            )

    def _end_unused(self, query_id: QueryId) -> None:
        placement = self._grants[query_id].placement
        if placement.rate_limit_charged:
            self._allowance.refund(placement.worker.info.id)
        self._end_not_run(query_id)

    def _end_not_run(self, query_id: QueryId) -> None:
        self._limits.refund(self._grants[query_id].tenant_charge)
        self._end(query_id)

    def _record_first_token(self, grant: _Grant) -> None:
        if not grant.had_first_token:
            grant.had_first_token = True
            self.placement.first_token(grant.placement, grant.began_at)
            if grant.priority is not None:
                times = self._times[grant.placement.worker.info.service]
                times.record_response(grant.priority, self._clock() - grant.began_at)

    def _record_served(self, grant: _Grant) -> None:
        """Update what the queue measures from a request that its worker has served."""
        worker = grant.placement.worker
        self.placement.record_served(worker)
        if grant.priority is None:
            return
        seconds = self._clock() - grant.began_at
        times = self._times[worker.info.service]
        times.record_request(grant.priority, seconds, grant.had_first_token)
        self.placement.record_duration(worker.info.service, seconds)

    def _end(self, query_id: QueryId, completed: bool = False) -> None:
        grant = self._grants.pop(query_id)
        self.placement.end(grant.placement, grant.began_at, grant.had_first_token, completed)

    def reconcile_running(
        self, node: str, numbers: list[int], requests: list[RunningRequest]
    ) -> None:
        """Reconcile the grants of a node with its list of running requests.

        :param numbers: query numbers of all granted requests that run at the node.
        :param requests: details of some of them, to rebuild missing grants.
        """
        self._record_contact(node)
        listed = set(numbers)
        now = self._clock()
        for query_id, grant in list(self._grants.items()):
            unlisted = query_id.node == node and query_id.number not in listed
            if unlisted and now - grant.began_at > UNLISTED_GRACE_SECONDS:
                self._end(query_id)
        for request in requests:
            self._restore_grant(QueryId(node, request.query_number), request)

    def _restore_grant(self, query_id: QueryId, request: RunningRequest) -> None:
        """Rebuild a missing grant, and apply a first-token report that was lost."""
        grant = self._grants.get(query_id)
        if grant is None:
            placement = self.placement.rebuild_placement(request)
            if placement is None:
                return
            self._queues.remove(query_id)
            grant = _Grant(placement, self.placement.begin(placement))
            self._grants[query_id] = grant
        if request.prefill_tokens == 0:
            self._record_first_token(grant)

    def record_cached_prompts(self, prompts: list[CachedPrompt]) -> None:
        """Record prompts that workers have cached, as reported by a node."""
        for prompt in prompts:
            self.placement.record_cached_prompt(prompt)

    def _record_contact(self, node: str) -> None:
        self._last_contact[node] = self._clock()

    def _sweep(self) -> None:
        """Drop expired counts and end the grants of nodes that have timed out."""
        now = self._clock()
        if now - self._swept_at < SWEEP_INTERVAL_SECONDS:
            return
        self._swept_at = now
        self._refused = {
            query_id: refusal
            for query_id, refusal in self._refused.items()
            if now - refusal.refused_at < CHARGE_DEDUPLICATION_SECONDS
        }
        self._charged = {
            query_id: expires_at
            for query_id, expires_at in self._charged.items()
            if now < expires_at
        }
        self._queues.forget_decisions()
        timed_out = {
            node
            for node, contact_at in self._last_contact.items()
            if now - contact_at > NODE_TIMEOUT_SECONDS
        }
        for node in timed_out:
            del self._last_contact[node]
        for expired_id in [
            query_id for query_id in self._grants if query_id.node not in self._last_contact
        ]:
            self._end(expired_id)
