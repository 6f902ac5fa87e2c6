"""Handles placement queries and progress reports of other nodes."""

from collections.abc import Callable

from wheelslip.peers.datagrams import DatagramSocket
from wheelslip.peers.dispatch_messages import (
    BRITTLE,
    CACHED_PROMPTS,
    GRANT,
    PROGRESS,
    QUERY,
    RUNNING,
    BrittleReport,
    CachedPromptsReport,
    ProgressReport,
    RunningReport,
    WorkerGrant,
    WorkerQuery,
)
from wheelslip.peers.queue_server import QueueServer
from wheelslip.routing.dispatcher import Dispatcher, QueryId
from wheelslip.routing.limits.tenant_limits import NoAuthority, TenantLimited
from wheelslip.routing.overload import Overloaded


class DispatchServer:
    """Serves the dispatcher of this node to other nodes.

    :param incarnation: incarnation of this node, random at each start.
    :param report_limits: reports the rate limits of workers to the node at an address.
    :param queue: decides on waiting requests when a request has ended.
    :param record_brittle: records that the workers of a service are brittle.
    """

    def __init__(
        self,
        incarnation: str,
        socket: DatagramSocket,
        dispatcher: Dispatcher,
        report_limits: Callable[[str], None],
        queue: QueueServer,
        record_brittle: Callable[[str], object],
    ):
        self._incarnation = incarnation
        self._socket = socket
        self._dispatcher = dispatcher
        self._report_limits = report_limits
        self._queue = queue
        socket.register(QUERY, WorkerQuery, self._handle_query)
        socket.register(PROGRESS, ProgressReport, self._handle_progress)
        socket.register(RUNNING, RunningReport, self._handle_running)
        self._record_brittle = record_brittle
        socket.register(BRITTLE, BrittleReport, self._handle_brittle)
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
            decision = self._dispatcher.grant(query.query_id(), query.placement_query())
        except (Overloaded, TenantLimited) as exc:
            decision = exc
        return WorkerGrant.of(query.query_number, self._incarnation, decision)

    def _charge(self, query: WorkerQuery) -> WorkerGrant:
        try:
            self._dispatcher.charge(query.query_id(), query.placement_query())
        except TenantLimited as exc:
            return WorkerGrant.of(query.query_number, self._incarnation, exc)
        except NoAuthority:
            return WorkerGrant(query.query_number, self._incarnation)
        return WorkerGrant(query.query_number, self._incarnation, charged=True)

    def _handle_progress(self, report: ProgressReport, sender: str) -> None:
        self._dispatcher.record_progress(QueryId(report.node, report.query_number), report.progress)
        self._queue.capacity_changed()

    def _handle_cached_prompts(self, report: CachedPromptsReport, sender: str) -> None:
        self._dispatcher.record_cached_prompts(report.prompts)

    def _handle_brittle(self, report: BrittleReport, sender: str) -> None:
        self._record_brittle(report.service)

    def _handle_running(self, report: RunningReport, sender: str) -> None:
        self._dispatcher.reconcile_running(report.node, report.query_numbers, report.requests)
        self._queue.capacity_changed()
