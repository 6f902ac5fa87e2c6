"""Answers other nodes' questions for workers, and hears how their requests go on."""

from collections.abc import Callable

from wheelslip.deployment import CachePlan
from wheelslip.peers.datagrams import DatagramSocket
from wheelslip.peers.dispatch_messages import (
    ASK,
    GRANT,
    KEPT,
    RUNNING,
    TELL,
    KeptTold,
    ProgressTold,
    RunningTold,
    WorkerAsk,
    WorkerGrant,
)
from wheelslip.routing.dispatcher import Dispatcher, QueryId
from wheelslip.routing.overload import Overloaded
from wheelslip.routing.placement import Placement
from wheelslip.routing.tenant_limits import NoAuthority, TenantLimited


class DispatchServer:
    """The dispatcher of this node, as other nodes reach it.

    :param incarnation: of this node, random at each start.
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
        socket.register(ASK, WorkerAsk, self._asked)
        socket.register(TELL, ProgressTold, self._told)
        socket.register(RUNNING, RunningTold, self._listed)
        socket.register(KEPT, KeptTold, self._told_kept)

    def _asked(self, ask: WorkerAsk, sender: str) -> None:
        grant = self._count(ask) if ask.counts_only else self._grant(ask)
        self._socket.send(sender, GRANT, grant)
        is_refused = grant.worker is None and not grant.retry_seconds
        if is_refused and not ask.counts_only:
            # A node that does not know the limits asks one that does not count for them.
            self._report_limits(sender)

    def _grant(self, ask: WorkerAsk) -> WorkerGrant:
        try:
            placement = self._dispatcher.grant(ask.query_id(), ask.query())
        except Overloaded as exc:
            return WorkerGrant(ask.ask, self._incarnation, retry_seconds=exc.retry_seconds)
        except TenantLimited as exc:
            return self._limited(ask, exc)
        if placement is None:
            return WorkerGrant(ask.ask, self._incarnation)
        return self._granted(ask, placement)

    def _granted(self, ask: WorkerAsk, placement: Placement) -> WorkerGrant:
        cache = placement.cache or CachePlan("")
        return WorkerGrant(
            ask.ask,
            self._incarnation,
            placement.worker.info.id,
            placement.weights_version,
            placement.prefill_tokens,
            cache.fetch_from,
            cache.save_to,
            counted=placement.rate_limit_charged,
        )

    def _count(self, ask: WorkerAsk) -> WorkerGrant:
        try:
            self._dispatcher.count(ask.query_id(), ask.query())
        except TenantLimited as exc:
            return self._limited(ask, exc)
        except NoAuthority:
            return WorkerGrant(ask.ask, self._incarnation)
        return WorkerGrant(ask.ask, self._incarnation, counted=True)

    def _limited(self, ask: WorkerAsk, exc: TenantLimited) -> WorkerGrant:
        seconds = exc.retry_seconds
        return WorkerGrant(ask.ask, self._incarnation, retry_seconds=seconds, limited=True)

    def _told(self, told: ProgressTold, sender: str) -> None:
        self._dispatcher.record_progress(QueryId(told.node, told.ask), told.progress)

    def _told_kept(self, told: KeptTold, sender: str) -> None:
        self._dispatcher.record_cached_prompts(told.prompts)

    def _listed(self, told: RunningTold, sender: str) -> None:
        self._dispatcher.reconcile_running(told.node, told.asks, told.requests)
