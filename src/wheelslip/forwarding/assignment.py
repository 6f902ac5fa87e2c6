"""Assignment of workers to requests, by the dispatcher of the service or by this node alone."""

import contextlib
from collections.abc import Callable

from wheelslip.connections.worker_pool import WorkerPool
from wheelslip.deployment import Incarnation
from wheelslip.forwarding.local_queue import LocalQueue, StillWaiting
from wheelslip.job import Job
from wheelslip.peers.dispatch_link import DispatchLink
from wheelslip.peers.dispatcher_health import DispatcherUnavailable, NoDispatcher
from wheelslip.peers.grant_reports import Grant
from wheelslip.peers.queue_link import QueueTerms
from wheelslip.registry.registry import Registry
from wheelslip.routing.dispatcher import Progress
from wheelslip.routing.limits.tenant_limits import TenantLimits
from wheelslip.routing.limits.worker_allowance import RateLimitedChoice, WorkerAllowance
from wheelslip.routing.placement import Placement, PlacementQuery
from wheelslip.routing.queue.service_times import ServiceTimes, TimesByService
from wheelslip.routing.queue.waiting_request import QueuedQuery
from wheelslip.routing.worker_choice import WorkerPlacement


class Assignment:
    """A request's worker; records the progress of the request and reports it to the dispatcher.

    :param records: load and failure records of this node.
    :param allowance: charged for the worker's rate limit if this node chose the worker itself.
    :param link: used to report the progress of a granted request.
    :param grant: the dispatcher's grant, or ``None`` if this node chose the worker itself.
    :param times: informed of the times that the worker needs.
    :ivar queued: the request may have waited in the queue of a dispatcher.
    """

    def __init__(
        self,
        placement: Placement,
        records: WorkerPlacement,
        allowance: WorkerAllowance,
        link: DispatchLink | None,
        grant: Grant | None,
        times: ServiceTimes,
        clock: Callable[[], float],
        queued: bool = False,
    ):
        self.placement = placement
        self._records = records
        self._allowance = allowance
        self._link = link
        self._grant = grant
        self._times = times
        self._clock = clock
        self.queued = queued
        self._started_at = 0.0
        self._failed = False
        self._not_run = False
        self._silent = False
        self._path_lost = False
        if grant is None:
            records.room.add_unsent(placement)

    @property
    def granted(self) -> bool:
        """Whether a dispatcher chose the worker."""
        return self._grant is not None

    @property
    def may_have_crashed(self) -> bool:
        """Whether a lost response may be due to the end of the worker."""
        return not self._silent and not self._path_lost

    def begin(self) -> None:
        """Record that the request is about to be sent."""
        self._remove_unsent()
        self._started_at = self._records.begin(self.placement)

    def record_first_token(self) -> None:
        """Record that the worker produced the first token."""
        self._records.first_token(self.placement, self._started_at)
        self._times.record_response(self.placement.priority, self._elapsed())
        self._report(Progress.FIRST_TOKEN)

    def record_outcome(self, failed: bool) -> None:
        """Record whether the worker failed to serve the request."""
        self._failed = failed
        self._records.record_outcome(self.placement.worker.info.id, failed)

    def record_not_run(self, failed: bool) -> None:
        """Record that the worker rejected the request without executing it.

        :param failed: the worker had a fault or no capacity; ``False`` if the request was
            addressed to another incarnation.
        """
        self._not_run = True
        self.record_outcome(failed)

    def record_unreachable(self) -> None:
        """Record that no connection to the worker could be opened; nothing was sent."""
        self._records.suspect(self.placement.worker.info.id)
        self._finish_unsent(Progress.UNREACHED)

    def record_unusable(self) -> None:
        """Record that the worker acknowledges no data, or sends data without end."""
        self._silent = True
        self._records.suspect(self.placement.worker.info.id)

    def record_path_lost(self) -> None:
        """Record that the connection was lost because this node has no path to the worker."""
        self._path_lost = True

    def record_unused(self) -> None:
        """Record that the request will not be sent to the worker."""
        self._finish_unsent(Progress.UNUSED)

    def _remove_unsent(self) -> None:
        if self._grant is None:
            self._records.room.remove_unsent(self.placement)

    def _finish_unsent(self, progress: Progress) -> None:
        self._remove_unsent()
        if self._grant is None and self.placement.rate_limit_charged:
            self._allowance.refund(self.placement.worker.info.id)
        self._report(progress)

    def end(self, had_first_token: bool) -> None:
        """Record that the attempt at the worker has ended."""
        progress = self._final_progress()
        completed = progress is Progress.ENDED
        self._records.end(self.placement, self._started_at, had_first_token, completed)
        if completed:
            priority = self.placement.priority
            self._times.record_request(priority, self._elapsed(), had_first_token)
        self._report(progress)

    def _elapsed(self) -> float:
        return self._clock() - self._started_at

    def _final_progress(self) -> Progress:
        if self._not_run:
            return Progress.NOT_RUN if self._failed else Progress.UNUSED
        if self._path_lost:
            return Progress.PATH_LOST
        if self._silent:
            return Progress.SILENT
        return Progress.FAILED if self._failed else Progress.ENDED

    def _report(self, progress: Progress) -> None:
        if self._grant is not None:
            self._link.report_progress(self._grant, progress)


class WorkerAssigner:
    """Assigns workers to the requests of this node.

    :param zone: zone of this node.
    :param records: load records of this node, also used to choose workers locally.
    :param pool: workers with an idle connection are preferred.
    :param link: link to dispatchers, or ``None`` if the node has no peer address.
    :param limits: rate limits of tenants, applied if the node has no link.
    :param allowance: this node's share of the rate limits of workers.
    :param times: how long the workers of each service need for requests.
    :param uses_dispatcher: returns whether the dispatcher chooses workers.
    :param uses_queue: returns whether requests wait in the queue of the dispatcher.
    :param excluded_by_version: returns the workers of a service at which a request may not run
        because of their software version. They are excluded by name, as dispatchers receive no
        required version.
    """

    def __init__(
        self,
        zone: str,
        registry: Registry,
        records: WorkerPlacement,
        pool: WorkerPool,
        link: DispatchLink | None,
        limits: TenantLimits,
        allowance: WorkerAllowance,
        times: TimesByService,
        uses_dispatcher: Callable[[], bool],
        uses_queue: Callable[[], bool],
        excluded_by_version: Callable[[Job, str], frozenset[Incarnation]],
        clock: Callable[[], float],
    ):
        self._zone = zone
        self._registry = registry
        self._records = records
        self._pool = pool
        self._link = link
        self._limits = limits
        self._allowance = allowance
        self._local_choice = RateLimitedChoice(records, allowance)
        self._times = times
        self.local_queue = LocalQueue(records, times, clock)
        self._uses_dispatcher = uses_dispatcher
        self._uses_queue = uses_queue
        self._excluded_by_version = excluded_by_version
        self._clock = clock

    async def assign(self, job: Job, service: str) -> Assignment | None:
        """Return an assignment for a request, or ``None`` if no worker is available now.

        :raises Overloaded: if no worker can start the request in time.
        :raises TenantLimited: if the tenant has exceeded its rate limit.
        :raises NoAuthority: if no node can check the tenant's rate limit at present.
        """
        while True:
            has_dispatcher = False
            if self._link is not None and self._uses_dispatcher():
                query = self._query(job, service)
                try:
                    grant = await self._link.request_grant(query, self._queue_terms(job, service))
                except DispatcherUnavailable as exc:
                    has_dispatcher = not isinstance(exc, NoDispatcher)
                else:
                    return grant and self._assignment(job, grant.placement, grant)
            if not self._uses_queue():
                return await self._assign_locally(job, service)
            self.local_queue.awaits_dispatcher = has_dispatcher
            with contextlib.suppress(StillWaiting):
                return await self._wait_locally(job, service)

    def latest_start(self, job: Job, service: str) -> float:
        """Return the latest start of a request whose caller still receives the response."""
        work = self._times[service].expected(job.priority)
        return work.latest_start(job.response_deadline, job.deadline)

    async def _wait_locally(self, job: Job, service: str) -> Assignment | None:
        """Assign a worker when it is the request's turn among those that wait at this node.

        :raises StillWaiting: if a dispatcher should be asked again.
        """
        now = self._clock()
        queued = QueuedQuery(
            self._query_with_tenant(job, service), now - job.request.arrived, job.deadline - now
        )

        def record_wait() -> None:
            job.has_waited = True

        return await self.local_queue.start(
            queued, lambda: self._assign_locally(job, service), record_wait
        )

    async def _assign_locally(self, job: Job, service: str) -> Assignment | None:
        query = self._query(job, service)._replace(must_start_soon=self._uses_queue())
        await self._charge_quota(job, query)
        placement = self._local_choice.choose(query, self._clock())
        return placement and self._assignment(job, placement, None)

    def _assignment(self, job: Job, placement: Placement, grant: Grant | None) -> Assignment:
        return Assignment(
            placement,
            self._records,
            self._allowance,
            self._link,
            grant,
            self._times[placement.worker.info.service],
            self._clock,
            job.has_waited,
        )

    async def _charge_quota(self, job: Job, query: PlacementQuery) -> None:
        """Charge a request to the quota of its tenant, unless that was done before.

        Requests granted by a dispatcher are charged there instead.

        :raises Overloaded: if no worker has room, in which case nothing is charged.
        """
        if not query.limit_units:
            return
        self._records.require_room(query)
        if self._link is None:
            self._limits.charge(query)
        else:
            await self._link.charge(query)
        job.quota_charged = True

    def _queue_terms(self, job: Job, service: str) -> QueueTerms | None:
        """Return the terms on which a request waits, ``None`` if the queue is switched off."""
        if not self._uses_queue():
            return None
        return QueueTerms(
            job.request.metadata.request_id,
            job.request.arrived,
            job.deadline,
            lambda: self._queue_query(job, service),
        )

    def _queue_query(self, job: Job, service: str) -> PlacementQuery:
        """Return the query of a request that is about to wait, and record that it waits."""
        job.has_waited = True
        return self._query_with_tenant(job, service)

    def _query_with_tenant(self, job: Job, service: str) -> PlacementQuery:
        """Return the query with the tenant, by whose share a queue orders, even without a limit."""
        tenant = job.tenant.name if job.tenant is not None else ""
        return self._query(job, service)._replace(tenant=tenant)

    def _query(self, job: Job, service: str) -> PlacementQuery:
        metadata = job.request.metadata
        is_charged = job.quota_charged or job.may_have_run
        limit = job.tenant.limit if job.tenant and not is_charged else None
        units = limit.units(metadata.prompt_tokens, metadata.output_tokens) if limit else 0.0
        return PlacementQuery(
            service,
            job.route.split[0].service,
            metadata.model,
            metadata.prompt_tokens,
            metadata.output_tokens,
            metadata.prompt,
            job.cache_namespace,
            job.route.pause_seconds,
            job.response_deadline - self._clock(),
            job.priority,
            self._zone,
            self._pool.idle_workers(),
            # Reported to this node only; the dispatcher may still grant these workers to others.
            self._registry.withheld(service)
            | job.excluded
            | job.unverified
            | self._excluded_by_version(job, service),
            job.attempts_sent > 0,
            job.tenant.name if limit else "",
            units,
            software_version=job.required_version,
        )
