"""Requests of this node that wait in the queue of a dispatcher.

A waiting request is renewed periodically, which also recovers a lost decision. A dispatcher that
no longer replies is left, and the request is enqueued at the next one with the time that it has
waited. Each dispatcher gets a query number of its own, so a late grant of a former dispatcher is
recognized and returned.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from wheelslip.events import LogBudget, LogEvent
from wheelslip.peers.datagrams import DatagramSocket
from wheelslip.peers.dispatch_messages import (
    ENQUEUE,
    QUEUED,
    WITHDRAWAL,
    EnqueueRequest,
    QueuedNotice,
    Withdrawal,
    WorkerGrant,
)
from wheelslip.peers.dispatcher_health import DispatcherHealth, DispatcherUnavailable
from wheelslip.peers.queue_server import QueueServer
from wheelslip.routing.dispatcher import Decision, NoWorker, QueryId
from wheelslip.routing.limits.tenant_limits import TenantLimited
from wheelslip.routing.overload import MIN_RETRY_SECONDS, Overloaded
from wheelslip.routing.placement import PlacementQuery
from wheelslip.routing.queue.recent_waits import RecentWaits
from wheelslip.routing.queue.request_queue import QueuedQuery

RENEWAL_SECONDS = 0.25
"""Interval at which a waiting request is renewed; the dispatcher drops it after 1 s without."""

MAX_TIMEOUTS = 2
"""Messages in a row without a reply after which a dispatcher is left. Renewals are not repeated
before the next one is due: a dispatcher that stalls for less than 0.25 s keeps its queue."""

MAX_UNANSWERED_RENEWALS = 4
"""Renewals in a row without a reply after which a dispatcher is left even though it replies to
other requests. Without renewals its queue drops the request after 1 s."""

WITHOUT_QUEUE_SECONDS = 5.0
"""Time for which nothing is enqueued at a dispatcher that ignored a request to enqueue. It is
limited, since the messages may have been lost."""

QUEUED_LOG_LINES_PER_SECOND = 10.0


class QueueTerms(NamedTuple):
    """What a queue needs to know of a request; computed only if the request waits.

    :ivar query: returns the query with the time left at present.
    :ivar arrived_at: in seconds of the steady clock, as ``deadline``.
    """

    request_id: str
    arrived_at: float
    deadline: float
    query: Callable[[], PlacementQuery]


class QueueUnavailable(Exception):
    """Raised when a dispatcher no longer decides on a request.

    :ivar ever_replied: the dispatcher replied to the request before.
    """

    def __init__(self, ever_replied: bool):
        super().__init__("the dispatcher does not reply")
        self.ever_replied = ever_replied


class QueueOutcome(NamedTuple):
    """Decision on a request that was enqueued.

    :ivar query: the query as it was last sent.
    :ivar decision: of this node as a dispatcher, ``None`` if no worker may take the request; a
        message if another node decided.
    """

    query: PlacementQuery
    decision: WorkerGrant | Decision | None


@dataclass
class _Waiter:
    """A request that waits at one dispatcher.

    :ivar query: as it was last sent.
    :ivar outcome: completed by the decision.
    :ivar replied: completed by the next reply; replaced with each message that is sent.
    :ivar dispatcher: incarnation of the dispatcher, empty before its first notice.
    """

    address: str
    query_id: QueryId
    terms: QueueTerms
    query: PlacementQuery
    outcome: asyncio.Future
    replied: asyncio.Future
    dispatcher: str = ""


class QueueLink:
    """Lets requests of this node wait at dispatchers.

    :param address: address of this node, ``IP:PORT``.
    :param server: queue of this node, called directly if this node is the dispatcher.
    :param dispatchers_of: returns the addresses of the dispatchers of a service in order of
        preference.
    :param record_wait: called with the priority and the seconds of each wait that has ended with
        a decision.
    :ivar recent_waits: services to which requests of this node were enqueued recently.
    :ivar follow: called with service, address and incarnation of a dispatcher that has replied.
    """

    def __init__(
        self,
        address: str,
        socket: DatagramSocket,
        server: QueueServer,
        dispatchers_of: Callable[[str], list[str]],
        health: DispatcherHealth,
        record_wait: Callable[[int, float], None],
        clock: Callable[[], float],
    ):
        self._address = address
        self._socket = socket
        self._server = server
        self._dispatchers_of = dispatchers_of
        self._health = health
        self._record_wait = record_wait
        self._clock = clock
        self._log = LogBudget(QUEUED_LOG_LINES_PER_SECOND, clock)
        self._waiters: dict[int, _Waiter] = {}
        self._replied_at: dict[str, float] = {}
        self._without_queue: dict[str, float] = {}
        self.recent_waits = RecentWaits(clock)
        self.follow: Callable[[str, str, str], None] = lambda service, address, incarnation: None
        server.deliver_local = self._deliver
        socket.register(QUEUED, QueuedNotice, self._handle_queued)

    @property
    def waiting(self) -> int:
        """Number of requests of this node that wait."""
        return len(self._waiters)

    def services(self) -> set[str]:
        """Return the services for which requests of this node wait or were enqueued recently."""
        waiting = {waiter.query.service for waiter in self._waiters.values()}
        return waiting | self.recent_waits.services()

    def has_queue(self, address: str) -> bool:
        """Return whether a dispatcher is expected to have a queue."""
        return self._without_queue.get(address, 0.0) <= self._clock()

    def record_ignored(self, address: str) -> bool:
        """Record that a dispatcher replies to queries but ignores requests to enqueue.

        :return: whether it is taken for one without a queue.
        """
        if self._knows_queue_of(address):
            return False
        self._without_queue[address] = self._clock() + WITHOUT_QUEUE_SECONDS
        return True

    def deliver_reply(self, reply: WorkerGrant) -> bool:
        """Deliver a dispatcher's decision.

        :return: whether the request waited for it, or has just received the same grant.
        """
        waiter = self._waiters.get(reply.query_number)
        if waiter is not None and waiter.outcome.done():
            # The waiting task has not run since the first decision, so a repeated grant is not
            # unused. A grant after a rejection is.
            decision = waiter.outcome.result()
            return isinstance(decision, WorkerGrant) and decision.worker is not None
        return self._deliver(reply.query_number, reply)

    def capacity_changed(self) -> None:
        """Report progress of a request that this node's dispatcher has granted."""
        self._server.capacity_changed()

    async def wait(self, address: str, query_id: QueryId, terms: QueueTerms) -> QueueOutcome:
        """Enqueue a request at a dispatcher and wait for the decision.

        If the wait ends in any other way, the request is withdrawn.

        :raises QueueUnavailable: if the dispatcher does not reply, or another one has taken over.
        :raises Overloaded: if the deadline of the request passes.
        """
        new_future = asyncio.get_running_loop().create_future
        query = terms.query()
        waiter = _Waiter(address, query_id, terms, query, new_future(), new_future())
        self._waiters[query_id.number] = waiter
        began_at = self._clock()
        self.recent_waits.record(query.service)
        try:
            await self._enqueue(waiter)
            if not waiter.outcome.done():
                await self._renew_until_decided(waiter)
                self._record_wait(query.priority, self._clock() - began_at)
            return QueueOutcome(waiter.query, waiter.outcome.result())
        except BaseException:
            # A grant may be on its way, or may have arrived at the moment of a cancellation.
            self._withdraw(address, query_id)
            raise
        finally:
            del self._waiters[query_id.number]

    async def _enqueue(self, waiter: _Waiter) -> None:
        for _ in range(MAX_TIMEOUTS):
            if await self._send_and_wait(waiter):
                return
        raise QueueUnavailable(ever_replied=False)

    def _knows_queue_of(self, address: str) -> bool:
        """Return whether a dispatcher has replied about its queue recently."""
        replied_at = self._replied_at.get(address)
        return replied_at is not None and self._clock() - replied_at < WITHOUT_QUEUE_SECONDS

    async def _renew_until_decided(self, waiter: _Waiter) -> None:
        unanswered = 0
        sent_at = silent_since = self._clock()
        while True:
            next_at = min(sent_at + RENEWAL_SECONDS, waiter.terms.deadline)
            await asyncio.wait([waiter.outcome], timeout=max(0.0, next_at - self._clock()))
            if waiter.outcome.done():
                return
            if self._clock() >= waiter.terms.deadline:
                raise Overloaded(MIN_RETRY_SECONDS)
            if self._is_replaced(waiter):
                raise QueueUnavailable(ever_replied=True)
            if waiter.replied.done():
                # The reply to the last renewal came after its timeout.
                unanswered = 0
            sent_at = self._clock()
            if await self._send_and_wait(waiter):
                unanswered = 0
                continue
            silent_since = silent_since if unanswered else sent_at
            unanswered += 1
            self._check_silence(waiter.address, unanswered, silent_since)

    def _check_silence(self, address: str, unanswered: int, silent_since: float) -> None:
        """Decide whether to leave a dispatcher that did not reply to the latest renewals.

        :raises QueueUnavailable: if it is left.
        """
        replied_to_others = self._replied_at.get(address, 0.0) >= silent_since
        if unanswered >= MAX_TIMEOUTS and not replied_to_others:
            self._health.skip(address)
            raise QueueUnavailable(ever_replied=True)
        if unanswered >= MAX_UNANSWERED_RENEWALS:
            raise QueueUnavailable(ever_replied=True)

    def _is_replaced(self, waiter: _Waiter) -> bool:
        """Return whether new requests of the service go to another dispatcher."""
        try:
            preferred = self._health.choose(self._dispatchers_of(waiter.query.service))
        except DispatcherUnavailable:
            return False
        return preferred != waiter.address

    async def _send_and_wait(self, waiter: _Waiter) -> bool:
        """Send a request to enqueue; return whether there was a reply in time."""
        waiter.query = waiter.terms.query()
        now = self._clock()
        queued = QueuedQuery(
            waiter.query,
            now - waiter.terms.arrived_at,
            waiter.terms.deadline - now,
        )
        if waiter.address == self._address:
            self._enqueue_locally(waiter, queued)
            return True
        waiter.replied = asyncio.get_running_loop().create_future()
        message = EnqueueRequest.of(waiter.query_id, queued)
        self._socket.send(waiter.address, ENQUEUE, message)
        timeout = self._health.timeout_seconds(waiter.address)
        await asyncio.wait([waiter.replied], timeout=timeout)
        return waiter.replied.done()

    def _enqueue_locally(self, waiter: _Waiter, queued: QueuedQuery) -> None:
        try:
            decision = self._server.enqueue(waiter.query_id, queued)
        except NoWorker:
            waiter.outcome.set_result(None)
        except (Overloaded, TenantLimited) as exc:
            waiter.outcome.set_result(exc)
        else:
            if decision is None:
                notice = self._server.notice(waiter.query_id)
                self._record_queued(waiter, notice)
            else:
                waiter.outcome.set_result(decision)

    def _deliver(self, query_number: int, decision: WorkerGrant | Decision) -> bool:
        waiter = self._waiters.get(query_number)
        if waiter is None or waiter.outcome.done():
            return False
        waiter.outcome.set_result(None if isinstance(decision, NoWorker) else decision)
        self._record_reply(waiter)
        return True

    def _handle_queued(self, notice: QueuedNotice, sender: str) -> None:
        waiter = self._waiters.get(notice.query_number)
        if waiter is None or waiter.address != sender:
            return
        self._record_reply(waiter)
        self._record_queued(waiter, notice)

    def _record_queued(self, waiter: _Waiter, notice: QueuedNotice) -> None:
        """Follow the dispatcher at which a request waits, and log the first notice of each."""
        if waiter.dispatcher == notice.dispatcher:
            return
        waiter.dispatcher = notice.dispatcher
        self.follow(waiter.query.service, waiter.address, notice.dispatcher)
        self._log.log(
            LogEvent.REQUEST_QUEUED,
            request=waiter.terms.request_id,
            query=waiter.query_id.number,
            dispatcher=waiter.address,
            workload=waiter.query.service,
            priority=waiter.query.priority,
            expected_seconds=notice.expected_seconds,
        )

    def _record_reply(self, waiter: _Waiter) -> None:
        self._replied_at[waiter.address] = self._clock()
        if not waiter.replied.done():
            waiter.replied.set_result(None)

    def _withdraw(self, address: str, query_id: QueryId) -> None:
        if address == self._address:
            self._server.withdraw(query_id)
        else:
            self._socket.send(address, WITHDRAWAL, Withdrawal(*query_id))
