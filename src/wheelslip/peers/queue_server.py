"""Serves the request queue of this node's dispatcher to all nodes, this one included."""

import asyncio
from collections.abc import Callable

from wheelslip.events import LogBudget, LogEvent, log_event
from wheelslip.peers.datagrams import DatagramSocket
from wheelslip.peers.dispatch_messages import (
    ENQUEUE,
    GRANT,
    QUEUED,
    WITHDRAWAL,
    EnqueueRequest,
    QueuedNotice,
    Withdrawal,
    WorkerGrant,
)
from wheelslip.routing.dispatcher import Decision, Dispatcher, NoWorker, QueryId
from wheelslip.routing.limits.tenant_limits import TenantLimited
from wheelslip.routing.overload import Overloaded
from wheelslip.routing.placement import Placement
from wheelslip.routing.queue.request_queue import QueuedQuery
from wheelslip.routing.queue.service_queue import QueueRejected

ADVANCE_SECONDS = 0.01
"""Interval at which waiting requests are decided on."""

LOG_LINES_PER_SECOND = 10.0
"""Average rate limit of log lines about decisions on single requests."""


class QueueServer:
    """Puts queries into the queue and sends the decisions to the nodes that asked.

    :param incarnation: incarnation of this node, random at each start.
    :param enabled: returns whether the queue is switched on. Otherwise requests to enqueue are
        ignored, as by builds without a queue.
    :param report_limits: reports the rate limits of workers to the node at an address.
    :ivar deliver_local: called with the query number and the decision on a request of this node;
        returns whether the request still waits.
    """

    def __init__(
        self,
        incarnation: str,
        socket: DatagramSocket,
        dispatcher: Dispatcher,
        enabled: Callable[[], bool],
        report_limits: Callable[[str], None],
        clock: Callable[[], float],
    ):
        self._incarnation = incarnation
        self._socket = socket
        self._dispatcher = dispatcher
        self._enabled = enabled
        self._report_limits = report_limits
        self._addresses: dict[str, str] = {}
        self._log = LogBudget(LOG_LINES_PER_SECOND, clock)
        self._advancing: asyncio.Task | None = None
        self._advance_scheduled = False
        self.deliver_local: Callable[[int, Decision], bool] = lambda number, decision: False
        socket.register(ENQUEUE, EnqueueRequest, self._handle_enqueue)
        socket.register(WITHDRAWAL, Withdrawal, self._handle_withdrawal)

    def enqueue(self, query_id: QueryId, queued: QueuedQuery) -> Placement | None:
        """Put a query into the queue, or renew it there; return the placement if it is granted.

        :raises Overloaded: if the request is rejected.
        :raises TenantLimited: if its tenant has exceeded its rate limit.
        :raises NoWorker: if no worker may take the request now.
        """
        try:
            placement = self._dispatcher.enqueue(query_id, queued)
        except QueueRejected as exc:
            self._log_rejection(query_id, exc)
            raise
        if placement is None:
            self._start_advancing()
        return placement

    def notice(self, query_id: QueryId) -> QueuedNotice:
        """Return the notice for a query that waits."""
        seconds = self._dispatcher.expected_seconds(query_id)
        return QueuedNotice(query_id.number, self._incarnation, round(seconds, 4))

    def withdraw(self, query_id: QueryId) -> None:
        """Remove a query from the queue; its grant, if there is one, has not been used."""
        self._dispatcher.withdraw(query_id)
        self.capacity_changed()

    def capacity_changed(self) -> None:
        """Decide on waiting requests, once for all messages that are processed together."""
        if self._advancing is None or self._advance_scheduled:
            return
        self._advance_scheduled = True
        asyncio.get_running_loop().call_soon(self._advance_once)

    def _handle_enqueue(self, request: EnqueueRequest, sender: str) -> None:
        if not self._enabled():
            return
        query_id = request.query.query_id()
        try:
            decision = self.enqueue(query_id, request.queued_query())
        except NoWorker:
            self._send_decision(sender, query_id, None)
            # The refusal may be due to worker rate limits that the sender has not received.
            self._report_limits(sender)
        except (Overloaded, TenantLimited) as exc:
            self._send_decision(sender, query_id, exc)
        else:
            self._reply(sender, query_id, decision)

    def _reply(self, sender: str, query_id: QueryId, placement: Placement | None) -> None:
        if placement is not None:
            self._send_decision(sender, query_id, placement)
            return
        self._addresses[query_id.node] = sender
        self._socket.send(sender, QUEUED, self.notice(query_id))

    def _handle_withdrawal(self, withdrawal: Withdrawal, sender: str) -> None:
        self.withdraw(QueryId(withdrawal.node, withdrawal.query_number))

    def _start_advancing(self) -> None:
        if self._advancing is None:
            self._advancing = asyncio.get_running_loop().create_task(self._advance_while_waiting())

    async def _advance_while_waiting(self) -> None:
        try:
            while self._dispatcher.queue_depth():
                await asyncio.sleep(ADVANCE_SECONDS)
                self._advance()
        finally:
            self._advancing = None
            self._addresses.clear()

    def _advance_once(self) -> None:
        self._advance_scheduled = False
        self._advance()

    def _advance(self) -> None:
        try:
            decisions = self._dispatcher.advance_queues()
        except Exception as error:
            # A fault in one decision must not end the task that decides on all others.
            log_event(LogEvent.TASK_FAILED, task="queue", reason=repr(error))
            return
        for query_id, decision in decisions:
            self._deliver(query_id, decision)

    def _deliver(self, query_id: QueryId, decision: Decision) -> None:
        if isinstance(decision, QueueRejected):
            self._log_rejection(query_id, decision)
        if query_id.node == self._incarnation:
            if not self.deliver_local(query_id.number, decision):
                self._dispatcher.withdraw(query_id)
        elif query_id.node in self._addresses:
            self._send_decision(self._addresses[query_id.node], query_id, decision)

    def _send_decision(self, address: str, query_id: QueryId, decision: Decision | None) -> None:
        grant = WorkerGrant.of(query_id.number, self._incarnation, decision)
        self._socket.send(address, GRANT, grant)

    def _log_rejection(self, query_id: QueryId, rejection: QueueRejected) -> None:
        self._log_decision(
            LogEvent.QUEUE_DISPLACED if rejection.displaced else LogEvent.QUEUE_REJECTED,
            query_id,
            waited_seconds=round(rejection.waited_seconds, 4),
            expected_seconds=round(rejection.wait_seconds, 4),
            waiting=rejection.waiting,
            retry_seconds=round(rejection.retry_seconds, 4),
        )

    def _log_decision(self, event: LogEvent, query_id: QueryId, **fields: object) -> None:
        self._log.log(event, asker=query_id.node, query=query_id.number, **fields)
