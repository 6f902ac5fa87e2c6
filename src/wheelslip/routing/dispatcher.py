"""Grants workers to the requests of all nodes. No I/O: clock and random source are injected.

A node numbers its queries; a repeated query returns the grant that it already has. A grant is
active until its node reports that the request has ended. Nodes also list their running requests
periodically: a grant whose final report was lost is ended, and a dispatcher that has just taken
over rebuilds the grants of its predecessor.

When the queue is enabled, a worker is granted only requests that it can start soon. Others wait in
the queue of their service (:mod:`wheelslip.routing.service_queue`) until their node receives the
decision: a worker or a rejection.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from itertools import islice
from typing import NamedTuple

from wheelslip.routing.fleet_choice import FleetPlacement, RunningRequest
from wheelslip.routing.fleet_memory import CachedPrompt
from wheelslip.routing.overload import Overloaded
from wheelslip.routing.placement import Placement, PlacementQuery
from wheelslip.routing.service_queue import MIN_RETRY_SECONDS, ServiceQueue
from wheelslip.routing.tenant_limits import Charge, NoAuthority, TenantLimited, TenantLimits
from wheelslip.routing.waiting_request import Group, QueuedQuery, WaitingRequest
from wheelslip.routing.worker_allowance import RateLimitedChoice, WorkerAllowance

UNLISTED_GRACE_SECONDS = 1.0
"""Minimum age at which a grant that its node does not list is ended; a younger one may have
been issued after the list was made."""

NODE_TIMEOUT_SECONDS = 4.0
"""Time without a message after which the grants of a node are ended."""

SWEEP_INTERVAL_SECONDS = 0.5

CHARGE_DEDUPLICATION_SECONDS = 2.0
"""How long a repeated charge-only query is recognized; longer than a node waits for a reply."""

DECISION_MEMORY_SECONDS = 1.5
"""How long a rejection or withdrawal is repeated to a node that still renews its request, longer
than the interval of renewals plus the delay of a datagram."""

MAX_FAILED_TRIES = 2
"""Number of kinds of waiting requests tried without success in one pass. Requests of another model
or with other excluded workers may start although the first in order cannot."""

MAX_PASSED_REQUESTS = 64
"""Number of waiting requests that one pass looks at to find another kind."""


class Progress(Enum):
    """Progress of a granted request, as its node reports it.

    ``FAILED`` means that the worker failed the request, ``SILENT`` that it did not acknowledge
    it, ``NOT_RUN`` that it rejected it because of a fault and proved not to have run it.
    ``UNUSED`` means that the request was not sent, or was rejected without a fault.
    ``UNREACHED`` means that the worker could not be connected to.
    """

    FIRST_TOKEN = "first"
    ENDED = "ended"
    FAILED = "failed"
    SILENT = "silent"
    NOT_RUN = "not_run"
    UNUSED = "unused"
    UNREACHED = "unreached"


class QueryId(NamedTuple):
    """Identifies a query: the incarnation of the node and its sequence number there."""

    node: str
    number: int


Decision = Placement | Overloaded | TenantLimited
"""Decision on a waiting request: its worker, or the exception that rejects it."""


class NoWorker(Exception):
    """Raised when no worker may take a request now, whatever its load."""


@dataclass
class _Grant:
    placement: Placement
    began_at: float
    had_first_token: bool = False
    tenant_charge: Charge | None = None
    priority: int | None = None
    """Priority of a request granted while the queue was enabled."""


class Dispatcher:
    """Chooses workers for all nodes and tracks the active grants.

    :param limits: tenant rate limits.
    :param allowance: this node's share of the rate limits that workers announce.
    :param queue_enabled: returns whether requests wait here when no worker can start them soon.
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
    ):
        self.placement = placement
        self._queue_enabled = queue_enabled
        self._limits = limits
        self._allowance = allowance
        self._choice = RateLimitedChoice(placement, allowance)
        self._clock = clock
        self._charged: dict[QueryId, float] = {}
        self._grants: dict[QueryId, _Grant] = {}
        self._last_contact: dict[str, float] = {}
        self._swept_at = clock()
        self.grants_issued = 0
        self.overload_refusals = 0
        self._queues: dict[str, ServiceQueue] = {}
        self._decided: dict[QueryId, tuple[float, Overloaded | TenantLimited]] = {}

    @property
    def active_grants(self) -> int:
        """Number of grants whose requests have not been reported as ended."""
        return len(self._grants)

    @property
    def queued(self) -> int:
        """Number of requests that have waited since the start."""
        return sum(queue.queued for queue in self._queues.values())

    @property
    def displaced(self) -> int:
        """Number of waiting requests rejected because they were overtaken."""
        return sum(queue.displaced for queue in self._queues.values())

    @property
    def rejected(self) -> int:
        """Number of requests rejected by a queue for other reasons."""
        return sum(queue.rejected for queue in self._queues.values())

    @property
    def reserved(self) -> int:
        """Number of open reservations for callers that were told when to return."""
        return sum(len(queue.reservations) for queue in self._queues.values())

    @property
    def returned(self) -> int:
        """Number of callers that have returned at their reserved time."""
        return sum(queue.returned for queue in self._queues.values())

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
        if self._queues_requests():
            return self._grant_if_next(query_id, query)
        try:
            tenant_charge = self._limits.charge(query)
        except NoAuthority:
            # The querying node is about to follow another dispatcher.
            return None
        placement = self._place(query, tenant_charge)
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
            :class:`~wheelslip.routing.service_queue.QueueRejected` with the reasons.
        :raises TenantLimited: when the tenant exceeds its rate limit.
        :raises NoWorker: when no worker may take the request now.
        """
        if not self._queues_requests():
            # The queue may have been switched off while the request waited.
            if queued.query.service in self._queues:
                self._queues[queued.query.service].requests.remove(query_id)
            placement = self.grant(query_id, queued.query)
            if placement is None:
                raise NoWorker
            return placement
        self._record_contact(query_id.node)
        self._sweep()
        existing = self._grants.get(query_id)
        if existing is not None:
            return existing.placement
        queue = self._queue(queued.query.service)
        if queue.requests.renew(query_id):
            return None
        if query_id in self._decided:
            raise self._decided[query_id][1]
        return self._start_or_wait(queue, query_id, queued)

    def _start_or_wait(
        self, queue: ServiceQueue, query_id: QueryId, queued: QueuedQuery
    ) -> Placement | None:
        self._limits.check(queued.query)
        request = queue.submit(query_id, queued)
        if self._may_start(queue, request):
            try:
                placement = self._start(queue, request)
            except NoAuthority as exc:
                raise NoWorker from exc
            except Overloaded:
                pass
            else:
                if placement is None:
                    raise NoWorker
                return placement
        try:
            queue.offer(request)
        except Overloaded as exc:
            self._remember(query_id, exc)
            raise
        return None

    def withdraw(self, query_id: QueryId) -> None:
        """Remove a waiting request whose caller has left or whose node has given up.

        If the request has been granted, the grant ends as unused: its node has not sent it.
        """
        self._record_contact(query_id.node)
        self._remember(query_id, Overloaded(MIN_RETRY_SECONDS))
        for queue in self._queues.values():
            queue.requests.remove(query_id)
        if query_id in self._grants:
            self._end_unused(query_id)

    def advance_queues(self) -> list[tuple[QueryId, Decision]]:
        """Return the decisions on waiting requests: grants and rejections.

        To be called every 10 ms while something waits, and after progress that frees capacity.
        """
        decisions = []
        for service, queue in self._queues.items():
            if queue.is_idle():
                continue
            rejected = queue.sweep()
            if not self.placement.has_worker(service):
                rejected += list(queue.requests.in_order())
            for request in rejected:
                decisions.append((request.query_id, self._reject(queue, request)))
            decisions += self._start_waiting(service, queue)
        return decisions

    def queue_depth(self) -> int:
        """Return the number of waiting requests of all services."""
        return sum(len(queue.requests) for queue in self._queues.values())

    def expected_seconds(self, query_id: QueryId) -> float:
        """Return the expected time until a waiting request starts; 0 if it does not wait."""
        for queue in self._queues.values():
            request = queue.requests.get(query_id)
            if request is not None:
                return queue.requests.wait_seconds(request)
        return 0.0

    def _queues_requests(self) -> bool:
        return self._queue_enabled() and self.placement.limits_admission()

    def _queue(self, service: str) -> ServiceQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = ServiceQueue(
                self._clock, lambda: self.placement.start_capacity(service)
            )
        return queue

    def _may_start(self, queue: ServiceQueue, request: WaitingRequest) -> bool:
        """Return whether a new request is to be placed before all waiting ones."""
        if request.group is Group.RESENT:
            return True
        service = request.query.service
        if not self.placement.may_start_soon(service) and self.placement.has_worker(service):
            return False
        return queue.requests.is_next(request)

    def _grant_if_next(self, query_id: QueryId, query: PlacementQuery) -> Placement | None:
        queue = self._queue(query.service)
        request = queue.submit(query_id, QueuedQuery(query))
        try:
            if self._may_start(queue, request):
                return self._start(queue, request)
        except NoAuthority:
            return None
        except Overloaded:
            pass
        # Builds without a queue tell callers this time; it is no reservation.
        raise Overloaded(max(MIN_RETRY_SECONDS, queue.requests.wait_seconds(request)))

    def _start(self, queue: ServiceQueue, request: WaitingRequest) -> Placement | None:
        """Grant a worker that can start a request soon; return ``None`` when none may take it.

        :raises Overloaded: when no worker can start it soon.
        :raises TenantLimited: when the tenant exceeds its rate limit.
        :raises NoAuthority: when another node must count the request.
        """
        now = self._clock()
        query = request.remaining_query(now)._replace(must_start_soon=True)
        placement = self._choice.choose(query, now)
        if placement is None:
            return None
        try:
            tenant_charge = self._limits.charge(query)
        except (TenantLimited, NoAuthority):
            if placement.rate_limit_charged:
                self._allowance.refund(placement.worker.info.id)
            raise
        queue.requests.record_start(request)
        self._issue(request.query_id, placement, tenant_charge, query.priority)
        return placement

    def _start_waiting(self, service: str, queue: ServiceQueue) -> list[tuple[QueryId, Decision]]:
        """Start waiting requests in order until one is found that no worker can start."""
        decisions = []
        failed: set[tuple] = set()
        while len(failed) < MAX_FAILED_TRIES and self.placement.may_start_soon(service):
            waiting = islice(queue.requests.in_order(), MAX_PASSED_REQUESTS)
            request = next((each for each in waiting if _kind(each) not in failed), None)
            if request is None:
                break
            decision = self._try_start(queue, request)
            if decision is None:
                failed.add(_kind(request))
            else:
                decisions.append((request.query_id, decision))
        return decisions

    def _try_start(self, queue: ServiceQueue, request: WaitingRequest) -> Decision | None:
        """Decide on a waiting request; return ``None`` when it continues to wait."""
        try:
            placement = self._start(queue, request)
        except TenantLimited as exc:
            queue.requests.remove(request.query_id)
            self._remember(request.query_id, exc)
            return exc
        except (Overloaded, NoAuthority):
            return None
        if placement is None and not self.placement.has_worker(
            request.query.service, request.query.excluded
        ):
            return self._reject(queue, request)
        return placement

    def _reject(self, queue: ServiceQueue, request: WaitingRequest) -> Overloaded:
        queue.requests.remove(request.query_id)
        rejection = queue.reject(request)
        self._remember(request.query_id, rejection)
        return rejection

    def _remember(self, query_id: QueryId, decision: Overloaded | TenantLimited) -> None:
        """Repeat a decision if a renewal crosses it, as the node does not hold the request."""
        self._decided[query_id] = (self._clock() + DECISION_MEMORY_SECONDS, decision)

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
            case Progress.FAILED:
                self.placement.record_outcome(worker_id, failed=True)
                self._end(query_id)
                self.placement.record_rejected(grant.placement.worker)
            case Progress.SILENT:
                self.placement.record_outcome(worker_id, failed=True)
                self.placement.record_unreachable(worker_id, query_id.node)
                self._end(query_id)
                self.placement.record_rejected(grant.placement.worker)
            case Progress.NOT_RUN:
                self.placement.record_outcome(worker_id, failed=True)
                self._end_not_run(query_id)
                self.placement.record_rejected(grant.placement.worker)
            case Progress.UNUSED:
                self._end_unused(query_id)
            case Progress.UNREACHED:
                self.placement.record_unreachable(worker_id, query_id.node)
                self._end_unused(query_id)

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
                queue = self._queue(grant.placement.worker.info.service)
                queue.record_response(grant.priority, self._clock() - grant.began_at)

    def _record_served(self, grant: _Grant) -> None:
        """Update what the queue measures from a request that its worker has served."""
        worker = grant.placement.worker
        self.placement.record_served(worker)
        if grant.priority is None:
            return
        seconds = self._clock() - grant.began_at
        queue = self._queue(worker.info.service)
        queue.rate.record_duration(seconds)
        self.placement.record_duration(worker.info.service, seconds)
        if not grant.had_first_token:
            queue.record_response(grant.priority, seconds)

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
        self._charged = {
            query_id: expires_at
            for query_id, expires_at in self._charged.items()
            if now < expires_at
        }
        self._decided = {
            query_id: decided for query_id, decided in self._decided.items() if now < decided[0]
        }
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


def _kind(request: WaitingRequest) -> tuple:
    """Return what two requests have in common if none can start when the other cannot."""
    query = request.query
    return query.model, query.excluded, query.tenant if query.limit_units else ""
