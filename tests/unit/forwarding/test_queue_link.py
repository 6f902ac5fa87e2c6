"""Requests that wait in the queue of a dispatcher: link, server and lost messages between them."""

import asyncio
import random
from collections import deque

import pytest

from wheelslip.deployment import Incarnation, Worker, WorkerInfo, WorkerState
from wheelslip.peers import dispatch_link, grant_reports, queue_link
from wheelslip.peers.dispatch_link import DispatchLink
from wheelslip.peers.dispatch_messages import (
    ENQUEUE,
    GRANT,
    PROGRESS,
    QUERY,
    QUEUED,
    WITHDRAWAL,
    WorkerGrant,
)
from wheelslip.peers.dispatch_server import DispatchServer
from wheelslip.peers.dispatcher_health import DispatcherHealth, DispatcherUnavailable
from wheelslip.peers.queue_link import QueueLink, QueueTerms, QueueUnavailable
from wheelslip.peers.queue_server import QueueServer
from wheelslip.peers.round_trip import MAX_TIMEOUT_SECONDS
from wheelslip.routing.dispatcher import Progress, QueryId
from wheelslip.routing.overload import Overloaded
from wheelslip.routing.placement import Placement, PlacementQuery

NODE, FIRST, SECOND = "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"
INFO = WorkerInfo(Incarnation("w1"), "s", "127.0.0.1:1", "z", WorkerState.READY, 4)
WORKER = Worker(INFO, {})
WAIT_SECONDS = 10.0


@pytest.fixture(autouse=True)
def short_interval(monkeypatch):
    """Renew often, so that the tests are short."""
    monkeypatch.setattr(queue_link, "RENEWAL_SECONDS", 0.03)


class Network:
    """Delivers datagrams in memory, in order, and drops those of the kinds in ``lost``."""

    def __init__(self):
        self.sockets: dict[str, Socket] = {}
        self.sent: list[tuple[str, str, object]] = []
        self.lost: deque[str] = deque()
        self.silent: set[str] = set()

    def kinds(self, address: str) -> list[str]:
        return [kind for target, kind, _ in self.sent if target == address]


class Socket:
    def __init__(self, network: Network, address: str):
        self.network, self.address, self.handlers = network, address, {}
        network.sockets[address] = self

    def register(self, kind, message_type, handle):
        self.handlers[kind] = handle

    def send(self, address: str, kind: str, message: object) -> None:
        self.network.sent.append((address, kind, message))
        if kind in self.network.lost:
            self.network.lost.remove(kind)
            return
        if {address, self.address} & self.network.silent:
            return
        receiver = self.network.sockets.get(address)
        if receiver is not None and kind in receiver.handlers:
            loop = asyncio.get_running_loop()
            loop.call_soon(receiver.handlers[kind], message, self.address)


class FakeDispatcher:
    """Refuses each query and lets it wait until the test decides; repeats its decisions."""

    def __init__(self):
        self.waiting: dict[QueryId, object] = {}
        self.enqueued: list[QueryId] = []
        self.decisions: dict[QueryId, object] = {}
        self.granted: dict[QueryId, Placement] = {}
        self.rejected: dict[QueryId, Exception] = {}
        self.returned = 0
        self.unused: list[QueryId] = []
        self.withdrawn: list[QueryId] = []
        self.decide_on_arrival: object = None

    def grant(self, query_id, query):
        raise Overloaded(0.7)

    def enqueue(self, query_id, queued):
        self.enqueued.append(query_id)
        if query_id in self.granted:
            return self.granted[query_id]
        if query_id in self.rejected:
            raise self.rejected[query_id]
        if isinstance(self.decide_on_arrival, Exception):
            raise self.decide_on_arrival
        self.waiting[query_id] = queued
        return None

    def withdraw(self, query_id):
        self.withdrawn.append(query_id)
        self.waiting.pop(query_id, None)
        if self.granted.pop(query_id, None):
            self.unused.append(query_id)

    def decide(self, decision) -> QueryId:
        [query_id] = self.waiting
        self.decisions[query_id] = decision
        return query_id

    def advance_queues(self):
        decisions, self.decisions = list(self.decisions.items()), {}
        for query_id, decision in decisions:
            del self.waiting[query_id]
            if isinstance(decision, Placement):
                self.granted[query_id] = decision
            else:
                self.rejected[query_id] = decision
        return decisions

    def queue_depth(self):
        return len(self.waiting)

    def expected_seconds(self, query_id):
        return 0.3

    def record_progress(self, query_id, progress):
        if progress is Progress.UNUSED and self.granted.pop(query_id, None):
            self.unused.append(query_id)

    def reconcile_running(self, node, numbers, requests):
        pass

    def record_cached_prompts(self, prompts):
        pass


class FakeRecords:
    """Worker records that accept the only worker."""

    def __init__(self):
        self.brittle: set[str] = set()

    def worker(self, worker_id):
        return WORKER

    def accepts(self, worker, query):
        return True

    def adopt_weights(self, worker, model, version):
        pass


class FakeLimits:
    def rate(self, worker_id):
        return None


class FakeNode:
    """Dispatch link and server of one node on a network in memory."""

    def __init__(self, network: Network, address: str, dispatchers=(FIRST, SECOND), queue=True):
        clock = asyncio.get_running_loop().time
        self.socket = Socket(network, address)
        self.dispatcher = FakeDispatcher()
        self.health = DispatcherHealth(clock, random.Random(1))
        self.waits: list[tuple[int, float]] = []
        self.server = QueueServer(
            f"d-{address}", self.socket, self.dispatcher, lambda: queue, lambda sender: None, clock
        )
        self.queue = QueueLink(
            address,
            self.socket,
            self.server,
            lambda service: list(dispatchers),
            self.health,
            lambda *wait: self.waits.append(wait),
            clock,
        )
        self.records = FakeRecords()
        self.link = DispatchLink(
            f"d-{address}",
            address,
            self.socket,
            self.dispatcher,
            self.records,
            lambda service: list(dispatchers),
            self.health,
            list,
            FakeLimits(),
            lambda sender: None,
            self.queue,
            clock,
        )
        DispatchServer(
            f"d-{address}",
            self.socket,
            self.dispatcher,
            lambda sender: None,
            self.server,
            lambda service: None,
        )

    def terms(self, seconds: float = 5.0) -> QueueTerms:
        now = asyncio.get_running_loop().time()
        return QueueTerms("r1", now, now + seconds, lambda: PlacementQuery("s"))

    def request(self, seconds: float = 5.0) -> asyncio.Task:
        grant = self.link.request_grant(PlacementQuery("s"), self.terms(seconds))
        return asyncio.get_running_loop().create_task(grant)

    def request_until_granted(self) -> asyncio.Task:
        """Request a grant again while no worker is available."""

        async def ask():
            while (grant := await self.request()) is None:
                await asyncio.sleep(0.01)
            return grant

        return asyncio.get_running_loop().create_task(ask())


class Fleet:
    """A node and two dispatchers."""

    def __init__(self, **options):
        self.network = Network()
        self.node = FakeNode(self.network, NODE)
        self.first = FakeNode(self.network, FIRST, **options)
        self.second = FakeNode(self.network, SECOND)


async def until(condition, description: str) -> None:
    deadline = asyncio.get_running_loop().time() + WAIT_SECONDS
    while not condition():
        assert asyncio.get_running_loop().time() < deadline, description
        await asyncio.sleep(0.002)


def in_fleet(test, **options):
    """Run a coroutine function with a fleet."""

    async def run():
        await test(Fleet(**options))

    asyncio.run(run())


def test_waiting_request_is_renewed_and_receives_the_grant_once():
    async def run(fleet):
        request = fleet.node.request()
        dispatcher = fleet.first.dispatcher
        await until(lambda: len(dispatcher.enqueued) >= 3, "renewed")
        assert len(dispatcher.waiting) == 1 and fleet.node.queue.waiting == 1
        query_id = dispatcher.decide(Placement(WORKER))
        grant = await request
        assert grant.placement.worker is WORKER and grant.queued
        assert grant.query_id == query_id and set(dispatcher.enqueued) == {query_id}
        assert fleet.node.queue.waiting == 0 and not dispatcher.withdrawn
        assert len(fleet.node.waits) == 1

    in_fleet(run)


def test_request_that_does_not_wait_sends_no_further_message():
    async def run(fleet):
        fleet.first.dispatcher.grant = lambda query_id, query: Placement(WORKER)
        assert not (await fleet.node.request()).queued
        kinds = {kind for _, kind, _ in fleet.network.sent}
        assert not kinds & {ENQUEUE, QUEUED, WITHDRAWAL}

    in_fleet(run)


def test_lost_grant_is_recovered_by_the_next_renewal():
    async def run(fleet):
        request = fleet.node.request()
        dispatcher = fleet.first.dispatcher
        await until(lambda: dispatcher.waiting, "queued")
        fleet.network.lost.append(GRANT)
        query_id = dispatcher.decide(Placement(WORKER))
        assert (await request).query_id == query_id
        assert not fleet.network.lost and not dispatcher.unused
        assert list(dispatcher.granted) == [query_id]

    in_fleet(run)


def test_lost_rejection_is_repeated_without_enqueueing_again():
    async def run(fleet):
        request = fleet.node.request()
        dispatcher = fleet.first.dispatcher
        await until(lambda: dispatcher.waiting, "queued")
        fleet.network.lost.append(GRANT)
        dispatcher.decide(Overloaded(0.4))
        with pytest.raises(Overloaded) as rejection:
            await request
        assert rejection.value.retry_seconds == 0.4 and not dispatcher.waiting
        assert not fleet.network.lost

    in_fleet(run)


def test_rejection_on_arrival_is_returned_at_once():
    async def run(fleet):
        fleet.first.dispatcher.decide_on_arrival = Overloaded(0.9)
        with pytest.raises(Overloaded) as rejection:
            await fleet.node.request()
        assert rejection.value.retry_seconds == 0.9
        assert len(fleet.first.dispatcher.enqueued) == 1

    in_fleet(run)


def test_refusal_stands_at_a_dispatcher_without_a_queue_and_it_is_not_asked_again_soon():
    """A build without a queue ignores ``enqueue``; its refusal must not become a long wait."""

    async def run(fleet):
        for _ in range(2):
            with pytest.raises(Overloaded) as refusal:
                await fleet.node.request()
            assert refusal.value.retry_seconds == 0.7
        assert fleet.network.kinds(FIRST).count(ENQUEUE) == 2 * queue_link.MAX_TIMEOUTS
        assert ENQUEUE not in fleet.network.kinds(SECOND)
        assert fleet.node.health.choose([FIRST, SECOND]) == FIRST

    in_fleet(run, queue=False)


def test_request_waits_although_a_stalled_dispatcher_did_not_reply_to_it_in_time():
    """The first requests of a burst were refused, though there was time to serve them."""

    async def run(fleet):
        fleet.network.lost.extend([ENQUEUE] * queue_link.MAX_TIMEOUTS)
        request = fleet.node.request()
        await until(lambda: fleet.first.dispatcher.waiting, "queued")
        assert not fleet.network.lost
        fleet.first.dispatcher.decide(Placement(WORKER))
        assert (await request).queued

    in_fleet(run)


def test_node_chooses_itself_if_a_dispatcher_with_a_queue_does_not_reply_about_it():
    async def run(fleet):
        waiting = fleet.node.request()
        await until(lambda: fleet.first.dispatcher.waiting, "queued")
        fleet.network.lost.extend([ENQUEUE] * 100)
        with pytest.raises(DispatcherUnavailable):
            await fleet.node.request()
        assert fleet.node.queue.has_queue(FIRST)
        waiting.cancel()

    in_fleet(run)


def test_late_second_refusal_of_a_repeated_query_does_not_end_the_wait():
    async def run(fleet):
        fleet.network.lost.append(GRANT)
        request = fleet.node.request()
        dispatcher = fleet.first.dispatcher
        await until(lambda: dispatcher.waiting, "queued")
        assert fleet.network.kinds(FIRST).count(QUERY) == 2
        asked = next(message for _, kind, message in fleet.network.sent if kind == QUERY)
        late = WorkerGrant(asked.query_number, f"d-{FIRST}", retry_seconds=0.7)
        fleet.first.socket.send(NODE, GRANT, late)
        dispatcher.decide(Placement(WORKER))
        assert (await request).queued

    in_fleet(run)


def test_silent_dispatcher_is_left_and_its_late_grant_is_returned():
    """A paused dispatcher may grant after its requests wait elsewhere; none may run twice."""

    async def run(fleet):
        request = fleet.node.request()
        await until(lambda: fleet.first.dispatcher.waiting, "queued")
        fleet.network.silent.add(FIRST)
        await until(lambda: fleet.second.dispatcher.waiting, "queued at the next dispatcher")
        [queued] = fleet.second.dispatcher.waiting.values()
        assert queued.waited_seconds > 0.0
        fleet.second.dispatcher.decide(Placement(WORKER))
        grant = await request
        assert grant.dispatcher == SECOND
        fleet.network.silent.clear()
        late = fleet.first.dispatcher.decide(Placement(WORKER))
        await until(lambda: fleet.first.dispatcher.unused == [late], "late grant returned")
        assert late != grant.query_id

    in_fleet(run)


def test_dispatcher_that_stalls_for_less_than_two_renewals_keeps_its_requests():
    """Leaving a dispatcher that only stalls would lose its queue and its records."""

    async def run(fleet):
        request = fleet.node.request()
        dispatcher = fleet.first.dispatcher
        await until(lambda: dispatcher.waiting, "queued")
        fleet.network.lost.append(ENQUEUE)
        await until(lambda: not fleet.network.lost, "one renewal lost")
        count = len(dispatcher.enqueued)
        await until(lambda: len(dispatcher.enqueued) > count + 1, "renewed")
        dispatcher.decide(Placement(WORKER))
        assert (await request).dispatcher == FIRST
        assert not dispatcher.withdrawn and not fleet.second.dispatcher.enqueued

    in_fleet(run)


def test_request_that_alone_gets_no_reply_leaves_its_dispatcher():
    """Nothing may wait for a reply that will never be sent, even if others receive theirs."""

    async def run(fleet):
        requests = [fleet.node.request(), fleet.node.request()]
        dispatcher = fleet.first.dispatcher
        await until(lambda: len(dispatcher.waiting) == 2, "queued")
        first, second = dispatcher.waiting
        handle = fleet.first.socket.handlers[ENQUEUE]
        fleet.first.socket.handlers[ENQUEUE] = lambda message, sender: (
            message.query.query_id() == first or handle(message, sender)
        )
        await until(lambda: first in dispatcher.withdrawn, "left")
        dispatcher.decisions = {second: Placement(WORKER)}
        assert (await requests[1]).dispatcher == FIRST
        requests[0].cancel()

    in_fleet(run)


def test_without_any_dispatcher_the_node_chooses_itself():
    async def run(fleet):
        request = fleet.node.request()
        await until(lambda: fleet.first.dispatcher.waiting, "queued")
        fleet.network.silent |= {FIRST, SECOND}
        with pytest.raises(DispatcherUnavailable):
            await request

    in_fleet(run)


def test_request_moves_when_another_dispatcher_takes_over_the_service():
    async def run(fleet):
        request = fleet.node.request()
        await until(lambda: fleet.first.dispatcher.waiting, "queued")
        fleet.node.health.skip(FIRST)
        await until(lambda: fleet.second.dispatcher.waiting, "queued at the next dispatcher")
        await until(lambda: not fleet.first.dispatcher.waiting, "withdrawn from the first")
        fleet.second.dispatcher.decide(Placement(WORKER))
        assert (await request).dispatcher == SECOND

    in_fleet(run)


def test_next_dispatcher_without_a_queue_is_asked_instead():
    async def run(fleet):
        second = fleet.second
        second.socket.handlers.pop(ENQUEUE)
        second.dispatcher.grant = lambda query_id, query: Placement(WORKER)
        request = fleet.node.request()
        await until(lambda: fleet.first.dispatcher.waiting, "queued")
        fleet.network.silent.add(FIRST)
        assert (await request).dispatcher == SECOND

    in_fleet(run)


def test_lost_renewals_do_not_end_the_wait_while_the_dispatcher_replies_to_others():
    async def run(fleet):
        requests = [fleet.node.request(), fleet.node.request()]
        dispatcher = fleet.first.dispatcher
        await until(lambda: len(dispatcher.waiting) == 2, "queued")
        first, second = dispatcher.waiting
        handle = fleet.first.socket.handlers[ENQUEUE]
        ignored = []

        def ignore_first(message, sender):
            if message.query.query_id() == first and len(ignored) < queue_link.MAX_TIMEOUTS:
                ignored.append(message)
            else:
                handle(message, sender)

        fleet.first.socket.handlers[ENQUEUE] = ignore_first
        await until(lambda: len(ignored) == queue_link.MAX_TIMEOUTS, "renewals lost")
        dispatcher.decisions = {first: Placement(WORKER), second: Placement(WORKER)}
        grants = await asyncio.gather(*requests)
        assert {grant.dispatcher for grant in grants} == {FIRST}

    in_fleet(run)


def test_cancelled_request_is_withdrawn():
    async def run(fleet):
        request = fleet.node.request()
        dispatcher = fleet.first.dispatcher
        await until(lambda: dispatcher.waiting, "queued")
        [query_id] = dispatcher.waiting
        request.cancel()
        await until(lambda: dispatcher.withdrawn == [query_id], "withdrawn")
        assert not dispatcher.waiting and fleet.node.queue.waiting == 0

    in_fleet(run)


def test_grant_that_arrives_with_the_cancellation_is_returned():
    """The caller may leave between the arrival of the grant and the next step of its task."""

    async def run(fleet):
        request = fleet.node.request()
        dispatcher = fleet.first.dispatcher
        await until(lambda: dispatcher.waiting, "queued")
        handle = fleet.node.socket.handlers[GRANT]

        def cancel_on_arrival(message, sender):
            handle(message, sender)
            request.cancel()

        fleet.node.socket.handlers[GRANT] = cancel_on_arrival
        query_id = dispatcher.decide(Placement(WORKER))
        await until(lambda: dispatcher.unused == [query_id], "grant returned")
        assert request.cancelled() and not dispatcher.granted

    in_fleet(run)


def test_grant_after_a_lost_withdrawal_is_returned():
    async def run(fleet):
        request = fleet.node.request()
        dispatcher = fleet.first.dispatcher
        await until(lambda: dispatcher.waiting, "queued")
        fleet.network.lost.append(WITHDRAWAL)
        request.cancel()
        await until(lambda: not fleet.network.lost, "withdrawal lost")
        query_id = dispatcher.decide(Placement(WORKER))
        await until(lambda: dispatcher.unused == [query_id], "grant returned")
        assert PROGRESS in fleet.network.kinds(FIRST)

    in_fleet(run)


def test_wait_ends_at_the_deadline():
    async def run(fleet):
        with pytest.raises(Overloaded):
            await fleet.node.request(seconds=0.1)
        await until(lambda: len(fleet.first.dispatcher.withdrawn) == 1, "withdrawn")

    in_fleet(run)


def test_node_that_is_the_dispatcher_sends_no_datagrams():
    async def run(fleet):
        node = fleet.first
        request = node.request()
        await until(lambda: len(node.dispatcher.enqueued) >= 2, "renewed")
        node.dispatcher.decide(Placement(WORKER))
        assert (await request).queued
        cancelled = node.request()
        await until(lambda: node.dispatcher.waiting, "queued")
        cancelled.cancel()
        await until(lambda: not node.dispatcher.waiting, "withdrawn")
        node.dispatcher.decide_on_arrival = Overloaded(0.3)
        with pytest.raises(Overloaded):
            await node.request()
        assert not fleet.network.sent

    in_fleet(run)


def test_server_decides_only_while_something_waits():
    async def run(fleet):
        calls = []
        dispatcher = fleet.first.dispatcher
        advance = dispatcher.advance_queues
        dispatcher.advance_queues = lambda: (calls.append(1), advance())[1]
        request = fleet.node.request()
        await until(lambda: len(calls) > 2, "advancing")
        dispatcher.decide(Placement(WORKER))
        await request
        await until(lambda: fleet.first.server._advancing is None, "stopped")
        count = len(calls)
        await asyncio.sleep(0.1)
        assert len(calls) == count

    in_fleet(run)


def test_fault_in_a_decision_does_not_stop_the_queue():
    async def run(fleet):
        dispatcher = fleet.first.dispatcher
        advance = dispatcher.advance_queues
        faults = [RuntimeError("fault")] * 3

        def fail_at_first():
            if faults:
                raise faults.pop()
            return advance()

        dispatcher.advance_queues = fail_at_first
        request = fleet.node.request()
        await until(lambda: not faults, "failed")
        dispatcher.decide(Placement(WORKER))
        assert (await request).queued

    in_fleet(run)


def test_wait_reports_a_dispatcher_that_never_replies():
    async def run(fleet):
        fleet.network.silent.add(FIRST)
        with pytest.raises(QueueUnavailable) as unavailable:
            await fleet.node.queue.wait(FIRST, QueryId("n", 1), fleet.node.terms())
        assert not unavailable.value.ever_replied and fleet.node.queue.has_queue(FIRST)
        assert fleet.node.queue.record_ignored(FIRST) and not fleet.node.queue.has_queue(FIRST)
        assert fleet.node.queue.has_queue(SECOND)

    in_fleet(run)


@pytest.mark.parametrize("waits", [True, False])
def test_grant_received_twice_before_its_request_continues_is_kept(waits):
    """A renewal may cross the grant. The second copy must not end the grant of a running request."""

    async def run(fleet):
        dispatcher = fleet.first.dispatcher
        if not waits:
            dispatcher.grant = lambda query_id, query: Placement(WORKER)
        handle = fleet.node.socket.handlers[GRANT]

        def receive_twice(message, sender):
            handle(message, sender)
            if message.worker:
                handle(message, sender)

        fleet.node.socket.handlers[GRANT] = receive_twice
        request = fleet.node.request()
        if waits:
            await until(lambda: dispatcher.waiting, "queued")
            dispatcher.decide(Placement(WORKER))
        assert (await request).placement.worker is WORKER
        assert PROGRESS not in fleet.network.kinds(FIRST)

    in_fleet(run)


def test_grant_that_crosses_a_rejection_is_returned():
    """The node has given up the request, so it must not keep the slot of a worker."""

    async def run(fleet):
        request = fleet.node.request()
        dispatcher = fleet.first.dispatcher
        await until(lambda: dispatcher.waiting, "queued")
        [query_id] = dispatcher.waiting
        rejection = WorkerGrant.of(query_id.number, f"d-{FIRST}", Overloaded(0.4))
        grant = WorkerGrant.of(query_id.number, f"d-{FIRST}", Placement(WORKER))
        for reply in (rejection, grant):
            fleet.node.socket.handlers[GRANT](reply, FIRST)
        with pytest.raises(Overloaded):
            await request
        assert PROGRESS in fleet.network.kinds(FIRST)

    in_fleet(run)


def test_grant_of_a_query_that_is_cancelled_on_arrival_is_returned():
    """The caller may leave between the arrival of the grant and the next step of its task."""

    async def run(fleet):
        dispatcher = fleet.first.dispatcher
        dispatcher.grant = lambda query_id, query: dispatcher.granted.setdefault(
            query_id, Placement(WORKER)
        )
        request = fleet.node.request()
        handle = fleet.node.socket.handlers[GRANT]

        def cancel_on_arrival(message, sender):
            handle(message, sender)
            request.cancel()

        fleet.node.socket.handlers[GRANT] = cancel_on_arrival
        await until(lambda: dispatcher.unused, "grant returned")
        assert request.cancelled() and not dispatcher.granted

    in_fleet(run)


def test_node_whose_requests_wait_reports_that_it_runs_none(monkeypatch):
    """After a lost final report its grant would otherwise hold a slot for as long as the node
    renews waiting requests, forever if it was the only slot."""
    monkeypatch.setattr(grant_reports, "RUNNING_REPORT_SECONDS", 0.01)

    async def run(fleet):
        reports = []
        fleet.first.dispatcher.reconcile_running = lambda *report: reports.append(report)
        reporting = asyncio.get_running_loop().create_task(fleet.node.link.run())
        request = fleet.node.request()
        await until(lambda: fleet.first.dispatcher.waiting, "queued")
        reports.clear()
        await until(lambda: reports, "reported")
        assert reports[0] == (f"d-{NODE}", [], [])
        for task in (request, reporting):
            task.cancel()

    in_fleet(run)


def test_dispatcher_that_replies_later_than_the_timeout_keeps_its_requests(monkeypatch):
    """Timeouts are learned from queries; leaving for late replies to renewals would enqueue all
    requests of a busy dispatcher again every second."""
    monkeypatch.setattr(queue_link, "RENEWAL_SECONDS", 0.06)

    async def run(fleet):
        request = fleet.node.request()
        dispatcher = fleet.first.dispatcher
        await until(lambda: dispatcher.waiting, "queued")
        await asyncio.sleep(0.01)
        handle = fleet.node.socket.handlers[QUEUED]
        loop = asyncio.get_running_loop()
        fleet.node.socket.handlers[QUEUED] = lambda *notice: loop.call_later(0.03, handle, *notice)
        fleet.node.health.timeout_seconds = lambda address: 0.01
        count = len(dispatcher.enqueued)
        renewals = queue_link.MAX_UNANSWERED_RENEWALS + 2
        await until(lambda: len(dispatcher.enqueued) >= count + renewals, "renewed")
        assert len(set(dispatcher.enqueued)) == 1 and not dispatcher.withdrawn
        request.cancel()

    in_fleet(run)


def test_server_keeps_no_address_of_a_node_whose_requests_do_not_wait():
    """Each start of a node has another incarnation, so the table would grow without limit."""

    async def run(fleet):
        fleet.first.dispatcher.decide_on_arrival = Overloaded(0.9)
        with pytest.raises(Overloaded):
            await fleet.node.request()
        assert not fleet.first.server._addresses

    in_fleet(run)


@pytest.mark.parametrize("brittle", [True, False])
def test_request_for_brittle_workers_waits_for_a_slow_dispatcher(brittle):
    async def run(fleet):
        fleet.first.dispatcher.grant = lambda query_id, query: Placement(WORKER)
        fleet.node.records.brittle = {"s"} if brittle else set()
        fleet.network.silent.add(FIRST)
        requests = [fleet.node.request_until_granted() for _ in range(4)]
        # Longer than a node waits for a reply that it does not require.
        await asyncio.sleep(2 * MAX_TIMEOUT_SECONDS * dispatch_link.MAX_SENDS)
        fleet.network.silent.clear()
        results = await asyncio.gather(*requests, return_exceptions=True)
        if not brittle:
            assert all(isinstance(result, DispatcherUnavailable) for result in results)
            return
        assert [result.dispatcher for result in results] == 4 * [FIRST]
        assert fleet.node.link.local_choices == 0

    in_fleet(run)


def test_request_for_brittle_workers_goes_to_the_next_dispatcher_if_one_fails(monkeypatch):
    monkeypatch.setattr(dispatch_link, "REQUIRED_REPLY_SECONDS", 0.03)

    async def run(fleet):
        fleet.second.dispatcher.grant = lambda query_id, query: Placement(WORKER)
        fleet.node.records.brittle = {"s"}
        fleet.network.silent.add(FIRST)
        grant = await fleet.node.request_until_granted()
        assert grant.dispatcher == SECOND
        fleet.network.silent.add(SECOND)
        with pytest.raises(DispatcherUnavailable):
            await fleet.node.request()
        assert fleet.node.link.local_choices == 1

    in_fleet(run)


@pytest.mark.parametrize("brittle", [True, False])
def test_grants_of_new_dispatcher_for_brittle_workers_are_returned_until_nodes_have_reported(
    brittle,
):
    async def run(fleet):
        unused = []
        first = fleet.first.dispatcher
        first.grant = lambda query_id, query: Placement(WORKER)
        first.record_progress = lambda query_id, progress: unused.append(progress)
        fleet.node.records.brittle = {"s"} if brittle else set()
        granted = await fleet.node.request()
        if not brittle:
            assert granted is not None and not unused
            return
        assert granted is None
        await asyncio.sleep(dispatch_link.TAKEOVER_SECONDS)
        assert unused == [Progress.UNUSED]
        assert await fleet.node.request() is not None

    in_fleet(run)
