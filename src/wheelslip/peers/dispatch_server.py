"""Handles placement queries and progress reports of other nodes."""

from collections.abc import Callable

from wheelslip.deployment import CachePlan
from wheelslip.peers.datagrams import DatagramSocket
from wheelslip.peers.dispatch_messages import (
    CACHED_PROMPTS,
    GRANT,
    PROGRESS,
    QUERY,
    RUNNING,
    CachedPromptsReport,
    ProgressReport,
    RunningReport,
    WorkerGrant,
    WorkerQuery,
)
from wheelslip.routing.dispatcher import Dispatcher, QueryId
from wheelslip.routing.overload import Overloaded
from wheelslip.routing.placement import Placement
from wheelslip.routing.tenant_limits import NoAuthority, TenantLimited


class DispatchServer:
    """Serves the dispatcher of this node to other nodes.

    :param incarnation: incarnation of this node, random at each start.
    :param report_limits: reports the rate limits of workers to the node at an address.
    """

    def __init__(
        self,
        incarnation: str,
        socket: DatagramSocket,
        dispatcher: Dispatcher,
        report_limits: Callable[[str], None],
    ):
        self._incarnation = incarnation
        self._socket = socket
        self._dispatcher = dispatcher
        self._report_limits = report_limits
        socket.register(QUERY, WorkerQuery, self._handle_query)
        socket.register(PROGRESS, ProgressReport, self._handle_progress)
        socket.register(RUNNING, RunningReport, self._handle_running)
        socket.register(CACHED_PROMPTS, CachedPromptsReport, self._handle_cached_prompts)

    def _handle_query(self, query: WorkerQuery, sender: str) -> None:
        grant = self._charge(query) if query.charge_only else self._grant(query)
        self._socket.send(sender, GRANT, grant)
        is_refused = grant.worker is None and not grant.retry_seconds
        if is_refused and not query.charge_only:
            # The refusal may be due to worker rate limits that the sender has not received.
            self._report_limits(sender)

    def _grant(self, query: WorkerQuery) -> WorkerGrant:
        try:
            placement = self._dispatcher.grant(query.query_id(), query.placement_query())
        except Overloaded as exc:
            return WorkerGrant(
                query.query_number, self._incarnation, retry_seconds=exc.retry_seconds
            )
        except TenantLimited as exc:
            return self._refuse_tenant(query, exc)
        if placement is None:
            return WorkerGrant(query.query_number, self._incarnation)
        return self._grant_placement(query, placement)

    def _grant_placement(self, query: WorkerQuery, placement: Placement) -> WorkerGrant:
        cache = placement.cache or CachePlan("")
        return WorkerGrant(
            query.query_number,
            self._incarnation,
            placement.worker.info.id,
            placement.weights_version,
            placement.prefill_tokens,
            cache.fetch_from,
            cache.save_to,
            charged=placement.rate_limit_charged,
        )

    def _charge(self, query: WorkerQuery) -> WorkerGrant:
        try:
            self._dispatcher.charge(query.query_id(), query.placement_query())
        except TenantLimited as exc:
            return self._refuse_tenant(query, exc)
        except NoAuthority:
            return WorkerGrant(query.query_number, self._incarnation)
        return WorkerGrant(query.query_number, self._incarnation, charged=True)

    def _refuse_tenant(self, query: WorkerQuery, exc: TenantLimited) -> WorkerGrant:
        seconds = exc.retry_seconds
        return WorkerGrant(
            query.query_number, self._incarnation, retry_seconds=seconds, tenant_limited=True
        )

    def _handle_progress(self, report: ProgressReport, sender: str) -> None:
        self._dispatcher.record_progress(QueryId(report.node, report.query_number), report.progress)

    def _handle_cached_prompts(self, report: CachedPromptsReport, sender: str) -> None:
        self._dispatcher.record_cached_prompts(report.prompts)

    def _handle_running(self, report: RunningReport, sender: str) -> None:
        self._dispatcher.reconcile_running(report.node, report.query_numbers, report.requests)
