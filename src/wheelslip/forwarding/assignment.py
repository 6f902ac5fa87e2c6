"""Finds a worker for each request: by the dispatcher of its service, or by this node alone."""

from collections.abc import Callable

from wheelslip.forwarding.job import Job
from wheelslip.forwarding.registry import Registry
from wheelslip.forwarding.worker_pool import WorkerPool
from wheelslip.peers.dispatch_link import DispatchLink, Grant
from wheelslip.peers.dispatcher_health import NoDispatcher
from wheelslip.routing.dispatcher import Progress
from wheelslip.routing.placement import Placement, PlacementQuery
from wheelslip.routing.tenant_limits import TenantLimits
from wheelslip.routing.worker_allowance import RateLimitedChoice, WorkerAllowance
from wheelslip.routing.worker_choice import WorkerPlacement


class Assignment:
    """A request's worker; whatever happens there is told to all who keep account of it.

    :param allowance: where the request was counted if this node chose by itself.
    :param grant: ``None`` when this node chose by itself.
    """

    def __init__(
        self,
        placement: Placement,
        records: WorkerPlacement,
        allowance: WorkerAllowance,
        link: DispatchLink | None,
        grant: Grant | None,
    ):
        self.placement = placement
        self._records = records
        self._allowance = allowance
        self._link = link
        self._grant = grant
        self._began_at = 0.0
        self._failed = False
        self._not_run = False
        self._silent = False

    @property
    def granted(self) -> bool:
        """Whether a dispatcher chose the worker."""
        return self._grant is not None

    @property
    def silent(self) -> bool:
        """Whether the worker did not acknowledge what it was sent."""
        return self._silent

    def begin(self) -> None:
        """The request is sent."""
        self._began_at = self._records.begin(self.placement)

    def first_token(self) -> None:
        """The worker has made the first token."""
        self._records.first_token(self.placement, self._began_at)
        self._tell(Progress.FIRST_TOKEN)

    def note_outcome(self, failed: bool) -> None:
        """The worker has served the request, or has not."""
        self._failed = failed
        self._records.note_outcome(self.placement.worker.info.id, failed)

    def note_not_run(self, failed: bool) -> None:
        """The worker has proved that it did not run the request.

        :param failed: it did so by a fault, or since it is full.
        """
        self._not_run = True
        self.note_outcome(failed)

    def unreached(self) -> None:
        """No connection to the worker came up; nothing was sent."""
        self._records.suspect(self.placement.worker.info.id)
        self._not_sent(Progress.UNREACHED)

    def note_silent(self) -> None:
        """The worker does not acknowledge what it is sent."""
        self._silent = True
        self._records.suspect(self.placement.worker.info.id)

    def unused(self) -> None:
        """The request will not be sent to the worker."""
        self._not_sent(Progress.UNUSED)

    def _not_sent(self, progress: Progress) -> None:
        if self._grant is None and self.placement.is_counted:
            self._allowance.refund(self.placement.worker.info.id)
        self._tell(progress)

    def end(self, had_first_token: bool) -> None:
        """The request is no longer at the worker."""
        self._records.end(self.placement, self._began_at, had_first_token)
        self._tell(self._ending())

    def _ending(self) -> Progress:
        if self._not_run:
            return Progress.NOT_RUN if self._failed else Progress.UNUSED
        if self._silent:
            return Progress.SILENT
        return Progress.FAILED if self._failed else Progress.ENDED

    def _tell(self, progress: Progress) -> None:
        if self._grant is not None:
            self._link.tell(self._grant, progress)


class WorkerAssigner:
    """Assigns workers to the requests of this node.

    :param link: ``None`` where nodes do not reach each other.
    :param limits: of tenants, for a node without a link.
    :param allowance: this node's own part of the limits that workers name.
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
        dispatches: Callable[[], bool],
        clock: Callable[[], float],
    ):
        self._zone = zone
        self._registry = registry
        self._records = records
        self._pool = pool
        self._link = link
        self._limits = limits
        self._allowance = allowance
        self._own_choice = RateLimitedChoice(records, allowance)
        self._dispatches = dispatches
        self._clock = clock

    async def assign(self, job: Job, service: str) -> Assignment | None:
        """Return a worker for a request, ``None`` when none may take it now.

        :raises Overloaded: when none can begin it in time.
        :raises TenantLimited: when its tenant is over its limit.
        :raises NoAuthority: when no node can count it for its tenant's limit just now.
        """
        query = self._query(job, service)
        if self._link is not None and self._dispatches():
            try:
                grant = await self._link.ask(query)
            except NoDispatcher:
                await self._count(job, query)
            else:
                return grant and self._assignment(grant.placement, grant)
        else:
            await self._count(job, query)
        placement = self._own_choice.choose(query, self._clock())
        return placement and self._assignment(placement, None)

    def _assignment(self, placement: Placement, grant: Grant | None) -> Assignment:
        return Assignment(placement, self._records, self._allowance, self._link, grant)

    async def _count(self, job: Job, query: PlacementQuery) -> None:
        """Count a request, once, whose worker this node chooses by itself."""
        if not query.limit_units:
            return
        if self._link is None:
            self._limits.charge(query)
        else:
            await self._link.count(query)
        job.counted = True

    def _query(self, job: Job, service: str) -> PlacementQuery:
        metadata = job.request.metadata
        is_counted = job.counted or job.may_have_run
        limit = job.tenant.limit if job.tenant and not is_counted else None
        units = limit.units(metadata.prompt_tokens, metadata.output_tokens) if limit else 0.0
        return PlacementQuery(
            service,
            job.route.split[0].service,
            metadata.model,
            metadata.prompt_tokens,
            metadata.output_tokens,
            metadata.prompt,
            job.wall,
            job.route.pause_seconds,
            job.request.arrived + job.route.target_seconds - self._clock(),
            job.priority,
            self._zone,
            self._pool.idle_workers(),
            # They told this node alone: the dispatcher may grant them to others.
            self._registry.withheld(service) | job.excluded,
            job.sent > 0,
            job.tenant.name if limit else "",
            units,
        )
