"""Grants workers to the requests of all nodes. No I/O: clock and random source are injected.

A node numbers its queries; a repeated query returns the grant that it already has. A grant is
active until its node reports that the request has ended. Nodes also list their running requests
periodically: a grant whose final report was lost is ended, and a dispatcher that has just taken
over rebuilds the grants of its predecessor.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from wheelslip.routing.fleet_choice import FleetPlacement, RunningRequest
from wheelslip.routing.fleet_memory import CachedPrompt
from wheelslip.routing.overload import Overloaded
from wheelslip.routing.placement import Placement, PlacementQuery
from wheelslip.routing.tenant_limits import Charge, NoAuthority, TenantLimits
from wheelslip.routing.worker_allowance import RateLimitedChoice, WorkerAllowance

UNLISTED_GRACE_SECONDS = 1.0
"""Minimum age at which a grant that its node does not list is ended; a younger one may have
been issued after the list was made."""

NODE_TIMEOUT_SECONDS = 4.0
"""Time without a message after which the grants of a node are ended."""

SWEEP_INTERVAL_SECONDS = 0.5

CHARGE_DEDUPLICATION_SECONDS = 2.0
"""How long a repeated charge-only query is recognized; longer than a node waits for a reply."""


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


@dataclass
class _Grant:
    placement: Placement
    began_at: float
    had_first_token: bool = False
    tenant_charge: Charge | None = None


class Dispatcher:
    """Chooses workers for all nodes and tracks the active grants.

    :param limits: tenant rate limits.
    :param allowance: this node's share of the rate limits that workers announce.
    :ivar grants_issued: number of grants since the start.
    :ivar overload_refusals: number of queries refused since the start because of overload.
    """

    def __init__(
        self,
        placement: FleetPlacement,
        limits: TenantLimits,
        allowance: WorkerAllowance,
        clock: Callable[[], float],
    ):
        self.placement = placement
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

    @property
    def active_grants(self) -> int:
        """Number of grants whose requests have not been reported as ended."""
        return len(self._grants)

    def grant(self, query_id: QueryId, query: PlacementQuery) -> Placement | None:
        """Grant a worker; return ``None`` when no worker may take the request now.

        :raises TenantLimited: when the tenant exceeds its rate limit.
        :raises Overloaded: when no worker can begin the request in time.
        """
        self._record_contact(query_id.node)
        self._sweep()
        existing = self._grants.get(query_id)
        if existing is not None:
            return existing.placement
        try:
            tenant_charge = self._limits.charge(query)
        except NoAuthority:
            # The querying node is about to follow another dispatcher.
            return None
        placement = self._place(query, tenant_charge)
        if placement is not None:
            self.grants_issued += 1
            began_at = self.placement.begin(placement)
            self._grants[query_id] = _Grant(placement, began_at, tenant_charge=tenant_charge)
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
                self._end(query_id, completed=True)
            case Progress.FAILED:
                self.placement.record_outcome(worker_id, failed=True)
                self._end(query_id)
            case Progress.SILENT:
                self.placement.record_outcome(worker_id, failed=True)
                self.placement.record_unreachable(worker_id, query_id.node)
                self._end(query_id)
            case Progress.NOT_RUN:
                self.placement.record_outcome(worker_id, failed=True)
                self._end_not_run(query_id)
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
