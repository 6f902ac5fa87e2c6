"""Order and bounds of the request queue, and its use by the dispatcher, without a network."""

import random
from types import SimpleNamespace

import pytest

from wheelslip.deployment import (
    EngineProfile,
    Service,
    TenantLimit,
    Worker,
    WorkerInfo,
    WorkerState,
)
from wheelslip.routing.dispatcher import Dispatcher, NoWorker, Progress, QueryId
from wheelslip.routing.fleet_choice import FleetPlacement, RunningRequest
from wheelslip.routing.limits.limit_authority import SingleNodeAuthority
from wheelslip.routing.limits.named_limits import WorkerRateLimits
from wheelslip.routing.limits.tenant_limits import TenantLimited, TenantLimits
from wheelslip.routing.limits.worker_allowance import WorkerAllowance
from wheelslip.routing.overload import Overloaded
from wheelslip.routing.placement import Placement, PlacementQuery
from wheelslip.routing.queue import request_queue
from wheelslip.routing.queue.request_queue import (
    LOWER_PRIORITY_INTERVAL,
    MAX_WAITING,
    RENEWAL_SECONDS,
    QueuedQuery,
    RequestQueue,
)
from wheelslip.routing.queue.service_queue import QueueRejected, ServiceQueue
from wheelslip.routing.queue.service_times import ServiceTimes
from wheelslip.routing.queue.start_rate import StartRate
from wheelslip.routing.queue.waiting_request import WorkTimes
from wheelslip.routing.worker_slots import PAUSE_SECONDS

ENGINE = EngineProfile(4, 100_000, 1000, 1e9)


def queued(tenant="a", priority=0, patience=1.0, **changes) -> QueuedQuery:
    options = {
        key: changes.pop(key) for key in ("waited_seconds", "deadline_seconds") if key in changes
    }
    query = PlacementQuery(
        "s", tenant=tenant, priority=priority, patience_seconds=patience, **changes
    )
    return QueuedQuery(query, **({"deadline_seconds": max(10.0, patience)} | options))


def make_queue(clock) -> RequestQueue:
    return RequestQueue(clock, StartRate(clock, lambda: 10.0, ServiceTimes()))


def add(queue: RequestQueue, query_id: str, each: QueuedQuery, **options) -> None:
    queue.offer(queue.submit(query_id, each, WorkTimes(), **options))


def order(queue: RequestQueue) -> list[str]:
    return [request.query_id for request in queue.in_order()]


def start_all(queue: RequestQueue) -> list[str]:
    started = []
    while len(queue):
        request = next(queue.in_order())
        queue.record_start(request)
        started.append(request.query_id)
    return started


def test_requests_start_by_priority(clock):
    """Guards against less urgent requests ahead of urgent ones, whatever their callers' time."""
    queue = make_queue(clock)
    add(queue, "lower", queued(priority=2, patience=0.5))
    add(queue, "urgent", queued(patience=5.0))
    add(queue, "sent", queued(priority=2, sent_before=True, patience=-1.0))
    assert order(queue) == ["sent", "urgent", "lower"]


def test_tenants_of_a_priority_take_turns(clock):
    """Guards against a flooding tenant that delays the requests of others."""
    queue = make_queue(clock)
    for number in range(5):
        add(queue, f"flood{number}", queued("flood"))
    add(queue, "b0", queued("b"))
    add(queue, "b1", queued("b"))
    assert order(queue)[:4] == ["flood0", "b0", "flood1", "b1"]


def test_tenants_without_waiting_requests_are_forgotten(clock):
    """Guards against a record for each tenant that ever sent a request, without a queue to sweep."""
    queue = make_queue(clock)
    for number in range(100):
        request = queue.submit(number, queued(f"t{number}"), WorkTimes())
        assert queue.is_next(request)
        queue.wait_seconds(request)
        queue.record_start(request)
    for number in range(100):
        queue.wait_seconds(queue.submit(number, queued(f"u{number}"), WorkTimes()))
    assert sum(len(each._flows) for each in queue._classes.values()) == 0


def test_rejected_and_withdrawn_requests_cost_their_tenant_nothing(clock):
    """Guards against a tenant that falls behind because its requests were not served."""
    queue = make_queue(clock)
    for number in range(5):
        add(queue, f"a{number}", queued("a"))
    for number in range(5):
        queue.remove(f"a{number}")
    add(queue, "b", queued("b", patience=1.1))
    add(queue, "a", queued("a", patience=1.0))
    assert order(queue) == ["a", "b"]


def test_requests_of_a_failed_dispatcher_keep_their_order(clock):
    """Guards against an order by the arrival of renewals at the next dispatcher."""
    queue = make_queue(clock)
    for waited in (0.1, 0.3, 0.2):
        each = queued(patience=1.0 - waited, waited_seconds=waited)
        add(queue, f"waited {waited}", each)
    assert order(queue) == ["waited 0.3", "waited 0.2", "waited 0.1"]


def test_lower_priority_gets_one_start_in_eight(clock):
    """Guards against starvation of lower priorities, and of urgent requests by them."""
    queue = make_queue(clock)
    for number in range(40):
        add(queue, f"u{number}", queued())
    for number in range(10):
        add(queue, f"l{number}", queued(priority=2))
    started = start_all(queue)[:32]
    lower = [position for position, name in enumerate(started) if name.startswith("l")]
    assert lower == [LOWER_PRIORITY_INTERVAL * turn - 1 for turn in (1, 2, 3, 4)]


def test_unrenewed_requests_are_dropped(clock):
    """Guards against grants for the requests of a node that has failed."""
    queue = make_queue(clock)
    add(queue, "kept", queued(patience=5.0))
    add(queue, "lost", queued(patience=5.0))
    clock.now += RENEWAL_SECONDS - 0.1
    assert queue.renew("kept")
    clock.now += 0.2
    assert queue.sweep() == []
    assert order(queue) == ["kept"]


def test_full_queue_rejects_the_last_in_order(clock):
    """Guards against unbounded memory, and against urgent requests rejected for lower ones."""
    queue = make_queue(clock)
    for number in range(MAX_WAITING):
        add(queue, number, queued(priority=1, patience=1.0 + number))
    urgent = queue.submit("urgent", queued(), WorkTimes())
    assert [request.query_id for request in queue.offer(urgent)] == [MAX_WAITING - 1]
    last = queue.submit("last", queued(priority=2), WorkTimes())
    assert queue.offer(last) == [last]
    assert len(queue) == MAX_WAITING


def busy_queue(clock, rate: float, priority: int = 0) -> RequestQueue:
    """Return an empty queue that has measured a rate of starts."""
    queue = make_queue(clock)
    for _ in range(int(5 * rate)):
        add(queue, "first", queued(priority=priority))
        clock.now += 1.0 / rate
        queue.record_start(queue.get("first"))
    return queue


def test_request_that_cannot_start_in_time_is_rejected_at_arrival(clock):
    """Guards against requests held until their deadline: 20 starts/s, callers who wait 0.5 s."""
    queue = busy_queue(clock, 20.0)
    rejected = [queue.offer(queue.submit(n, queued(patience=0.5), WorkTimes())) for n in range(30)]
    accepted = sum(not each for each in rejected)
    assert 5 <= accepted <= 10
    assert not queue.sweep()


def test_overtaken_requests_are_rejected_at_once(clock):
    """Guards against lower-priority requests that wait behind a burst of urgent ones."""
    queue = busy_queue(clock, 20.0, priority=2)
    for number in range(5):
        add(queue, f"l{number}", queued(priority=2, patience=0.45))
    assert queue.sweep() == []
    clock.now += 0.01
    for number in range(20):
        add(queue, f"u{number}", queued(patience=1.5))
    rejected = queue.sweep()
    # The first is in time by the share of lower priorities.
    assert [request.query_id for request in rejected] == ["l1", "l2", "l3", "l4"]
    assert all(queue.was_overtaken(request) for request in rejected)
    assert len(queue) == 21


def test_pause_of_the_dispatcher_does_not_lower_the_rate(clock):
    """Guards against a dispatcher that counts its own pause as time without starts.

    At 100 starts/s, 60 requests with 1.1 s left are served in time.
    """
    queue = busy_queue(clock, 100.0)
    for number in range(60):
        add(queue, number, queued(patience=2.0))
    clock.now += 0.9
    assert queue.sweep() == []
    assert len(queue) == 60


def test_search_of_a_long_queue_computes_rates_once_for_each_class(clock):
    """Guards against searches that take longer than their interval on a slow machine."""
    queue = busy_queue(clock, 20.0)
    for number in range(300):
        add(queue, number, queued(priority=number % 3, patience=1000.0))
    calls = []
    rate = queue._rate.rate
    queue._rate.rate = lambda: (calls.append(1), rate())[1]
    assert queue.sweep() == []
    assert len(queue) == 300
    assert len(calls) <= 10


class View(SimpleNamespace):
    """Workers of a service ``s``; those in ``away`` do not accept requests."""

    def __init__(self, engine=None, models=("",), capacity=2):
        infos = [
            WorkerInfo(f"w{n}", "s", f"w{n}", "", WorkerState.READY, capacity)
            for n in range(len(models))
        ]
        workers = {
            info.id: Worker(info, {model: 1}) for info, model in zip(infos, models, strict=True)
        }
        configuration = SimpleNamespace(services={"s": Service("s", 10, engine)}, cache_stores=())
        super().__init__(workers=workers, configuration=configuration, away=set(), asked=0)

    def workers_of(self, service):
        self.asked += 1
        return [worker for key, worker in self.workers.items() if key not in self.away]

    def loading_workers(self):
        return frozenset()

    def start_deadline(self, model, version):
        return float("inf") if version else 0.0


def make_dispatcher(clock, view: View, enabled=True, limits=None) -> Dispatcher:
    authority = SingleNodeAuthority(clock)
    tenant_limits = limits or {}
    return Dispatcher(
        FleetPlacement(view, clock, random.Random(1)),
        TenantLimits(lambda: tenant_limits, authority, clock),
        WorkerAllowance(WorkerRateLimits(clock), authority),
        clock,
        lambda: enabled,
    )


def ask(dispatcher: Dispatcher, number: int, **changes) -> Placement | None:
    """Enqueue a request as a node does after its query was refused."""
    each = queued(**changes)
    try:
        return dispatcher.grant(QueryId("n", number), each.query)
    except Overloaded:
        return dispatcher.enqueue(QueryId("n", number), each)


def end(dispatcher: Dispatcher, number: int, progress=Progress.ENDED) -> None:
    dispatcher.record_progress(QueryId("n", number), progress)


def decided(dispatcher: Dispatcher) -> dict[int, object]:
    return {query_id.number: decision for query_id, decision in dispatcher.advance_queues()}


def test_request_waits_until_a_slot_is_free(clock):
    """Guards against requests that queue at a worker instead of the dispatcher."""
    dispatcher = make_dispatcher(clock, View())
    assert ask(dispatcher, 1) and ask(dispatcher, 2)
    assert ask(dispatcher, 3) is None
    assert ask(dispatcher, 3) is None
    assert dispatcher.queue_depth() == dispatcher.queued == 1
    assert dispatcher.advance_queues() == []
    end(dispatcher, 1)
    assert isinstance(decided(dispatcher)[3], Placement)
    assert ask(dispatcher, 3).worker.info.id == "w0"
    assert dispatcher.queue_depth() == 0


def test_new_request_is_refused_while_an_earlier_one_waits(clock):
    """Guards against newcomers that take the slot of a waiting request."""
    dispatcher = make_dispatcher(clock, View())
    for number in (1, 2, 3):
        ask(dispatcher, number)
    end(dispatcher, 1)
    with pytest.raises(Overloaded):
        dispatcher.grant(QueryId("n", 4), queued(priority=1).query)
    assert dispatcher.queue_depth() == 1
    assert list(decided(dispatcher)) == [3]


def test_advancing_a_full_service_tries_no_request(clock):
    """Guards against a choice of workers for each waiting request in each pass."""
    view = View()
    dispatcher = make_dispatcher(clock, view)
    for number in range(100):
        ask(dispatcher, number, patience=50.0)
    view.asked = 0
    assert dispatcher.advance_queues() == []
    assert view.asked <= 3


def test_disabled_queue_grants_without_bound(clock):
    dispatcher = make_dispatcher(clock, View(), enabled=False)
    assert all(dispatcher.enqueue(QueryId("n", n), queued()) for n in range(10))
    assert dispatcher.queue_depth() == 0


def test_withdrawn_request_is_not_granted(clock):
    """Guards against slots that are held for callers that have left."""
    dispatcher = make_dispatcher(clock, View())
    for number in (1, 2, 3):
        ask(dispatcher, number)
    dispatcher.withdraw(QueryId("n", 3))
    dispatcher.withdraw(QueryId("n", 1))
    assert dispatcher.advance_queues() == []
    assert dispatcher.active_grants == 1


def test_request_without_any_worker_is_not_queued(clock):
    view = View()
    view.away.add("w0")
    dispatcher = make_dispatcher(clock, view)
    with pytest.raises(NoWorker):
        dispatcher.enqueue(QueryId("n", 1), queued())


def test_loss_of_all_workers_returns_waiting_requests_to_their_nodes(clock):
    """Guards against requests that wait at a dispatcher for workers that have left.

    A renewal that crosses the decision gets it again, as the node no longer holds the request here.
    """
    view = View()
    dispatcher = make_dispatcher(clock, view)
    for number in (1, 2, 3):
        ask(dispatcher, number)
    view.away.add("w0")
    assert isinstance(decided(dispatcher)[3], NoWorker)
    assert dispatcher.queue_depth() == 0
    with pytest.raises(NoWorker):
        dispatcher.enqueue(QueryId("n", 3), queued())


def test_request_that_arrives_as_all_workers_are_lost_does_not_wait_at_the_dispatcher(clock):
    """It was judged by a rate without slots, before the others had returned to their nodes."""
    view = View()
    dispatcher = make_dispatcher(clock, view)
    for number in range(20):
        ask(dispatcher, number)
    view.away.add("w0")
    with pytest.raises(NoWorker):
        dispatcher.enqueue(QueryId("n", 30), queued(priority=1))


def test_requests_wait_while_the_only_worker_pauses_after_rejections(clock):
    """All were rejected by a rate without slots, though the pause lasts half a second."""
    dispatcher = make_dispatcher(clock, View())
    for number in range(10):
        ask(dispatcher, number, patience=5.0)
    for number in (0, 1):
        end(dispatcher, number, Progress.NOT_RUN)
    for _ in range(5):
        clock.now += 0.06
        assert not decided(dispatcher)
        for number in range(2, 10):
            dispatcher.enqueue(QueryId("n", number), queued())
    clock.now += 0.3
    assert isinstance(decided(dispatcher)[2], Placement)


def test_renewal_after_the_queue_was_switched_off_grants_once(clock):
    """Guards against a second grant that replaces the first, whose load then stays for ever."""
    dispatcher = make_dispatcher(clock, View())
    for number in (1, 2, 3):
        ask(dispatcher, number)
    dispatcher.placement.limits_admission = lambda: False
    assert dispatcher.enqueue(QueryId("n", 3), queued())
    for number in (1, 2):
        end(dispatcher, number)
    assert decided(dispatcher) == {}
    end(dispatcher, 3)
    assert dispatcher.placement.load("w0").running == 0


def test_waiting_request_that_its_node_runs_is_not_granted(clock):
    """Guards against a second grant of a request that a restored grant accounts for."""
    dispatcher = make_dispatcher(clock, View())
    for number in (1, 2, 3):
        ask(dispatcher, number)
    dispatcher.reconcile_running("n", [1, 2, 3], [RunningRequest(3, "w0", None, (), 0, 0)])
    for number in (1, 2):
        end(dispatcher, number)
    assert decided(dispatcher) == {}
    end(dispatcher, 3)
    assert dispatcher.placement.load("w0").running == 0


@pytest.mark.parametrize("engine", [None, ENGINE])
def test_unreachable_workers_count_if_there_are_no_others(clock, engine):
    """Guards against a queue rejected as a whole because all workers are briefly suspected."""
    placement = make_dispatcher(clock, View(engine, ("", ""), capacity=4)).placement
    placement.suspect("w0")
    assert placement.start_capacity("s") == 4
    placement.suspect("w1")
    assert placement.may_start_soon("s")
    assert placement.start_capacity("s") == 8


def test_request_displaced_from_a_full_queue_is_rejected_once(clock, monkeypatch):
    """Guards against a renewal before the next pass that enqueues the request once more."""
    monkeypatch.setattr(request_queue, "MAX_WAITING", 2)
    dispatcher = make_dispatcher(clock, View())
    for number in (1, 2):
        ask(dispatcher, number)
    for number in (3, 4):
        ask(dispatcher, number, priority=1, patience=2.0 + number)
    clock.now += 0.01
    assert ask(dispatcher, 5) is None
    with pytest.raises(QueueRejected) as renewal:
        dispatcher.enqueue(QueryId("n", 4), queued(priority=1, patience=6.0))
    assert decided(dispatcher) == {4: renewal.value}
    assert dispatcher.displaced + dispatcher.rejected == 1


def test_request_with_excluded_workers_does_not_block_others(clock):
    """Guards against a queue held up by a request that only one busy worker may take."""
    dispatcher = make_dispatcher(clock, View(models=("", "")))
    for number in range(1, 5):
        ask(dispatcher, number)
    ask(dispatcher, 5, excluded=frozenset({"w0"}))
    ask(dispatcher, 6, patience=1.5)
    at_w0 = next(
        query_id.number
        for query_id, grant in dispatcher._grants.items()
        if grant.placement.worker.info.id == "w0"
    )
    end(dispatcher, at_w0)
    assert list(decided(dispatcher)) == [6]


def test_requests_of_another_model_do_not_block(clock):
    """Guards against a queue held up by a model whose engines are all busy."""
    view = View(ENGINE, ("m", "m"))
    dispatcher = make_dispatcher(clock, view)
    tokens = {"prompt_tokens": 2500, "output_tokens": 1}
    for number in range(1, 4):
        ask(dispatcher, number, model="m", **tokens)
    assert dispatcher.queue_depth() == 1
    ask(dispatcher, 4, model="other", excluded=frozenset({"w0"}), patience=1.5, **tokens)
    end(dispatcher, 2, Progress.FIRST_TOKEN)
    assert dispatcher.advance_queues()


def test_retried_request_is_placed_first_and_never_rejected(clock):
    """Guards against losing a request whose worker failed."""
    dispatcher = make_dispatcher(clock, View())
    for number in (1, 2, 3):
        ask(dispatcher, number)
    assert ask(dispatcher, 4, priority=9, patience=-5.0, sent_before=True) is None
    end(dispatcher, 1)
    assert list(decided(dispatcher)) == [4]


def test_only_started_requests_are_charged_to_their_tenant(clock):
    """Guards against limits spent on requests that never run, and exceeded by waiting ones."""
    limits = {"t": TenantLimit(10.0, 10.0)}
    dispatcher = make_dispatcher(clock, View(), limits=limits)
    charged = {"tenant": "t", "limit_units": 1.0, "patience": 5.0}
    with pytest.raises(TenantLimited):
        ask(dispatcher, 0, **charged)
    clock.now += 1.0
    for number in (1, 2, 3):
        ask(dispatcher, number, **charged)
    assert dispatcher.queue_depth() == 1
    for number in range(10, 18):
        dispatcher.charge(QueryId("n", number), queued(**charged).query)
    with pytest.raises(TenantLimited):
        dispatcher.charge(QueryId("n", 18), queued(**charged).query)
    with pytest.raises(TenantLimited):
        dispatcher.enqueue(QueryId("n", 4), queued(**charged))
    end(dispatcher, 1)
    assert isinstance(decided(dispatcher)[3], TenantLimited)
    assert dispatcher.queue_depth() == 0


def test_worker_that_rejects_is_given_less_until_it_serves(clock):
    """Guards against a faulty worker that always has a free slot and rejects every request."""
    dispatcher = make_dispatcher(clock, View(capacity=4))
    for number in range(1, 5):
        ask(dispatcher, number)
        end(dispatcher, number, Progress.NOT_RUN)
    assert ask(dispatcher, 10) is None
    clock.now += PAUSE_SECONDS + 0.01
    assert isinstance(decided(dispatcher)[10], Placement)
    assert ask(dispatcher, 11, patience=5.0) is None
    end(dispatcher, 10)
    assert list(decided(dispatcher)) == [11]


def busy_service(clock, rate=20.0) -> ServiceQueue:
    """Return the queue of a service that has measured a rate of starts, with one waiting request."""
    queue = ServiceQueue(clock, lambda: 10.0, ServiceTimes())
    for number in range(int(5 * rate)):
        queue.offer(queue.submit(number, queued()))
        clock.now += 1.0 / rate
        queue.requests.record_start(queue.requests.get(number))
    queue.offer(queue.submit("waiting", queued(patience=5.0)))
    return queue


def test_request_granted_after_the_queue_is_switched_off_no_longer_waits(clock):
    """Settings are reloaded while requests wait. A second grant would end the first, which runs."""
    enabled = [True]
    dispatcher = make_dispatcher(clock, View(capacity=1))
    dispatcher._queue_enabled = lambda: enabled[0]
    first, second = (QueryId("n", number) for number in (1, 2))
    assert dispatcher.enqueue(first, queued()) is not None
    assert dispatcher.enqueue(second, queued()) is None
    enabled[0] = False
    assert dispatcher.enqueue(second, queued()) is not None
    assert dispatcher.queue_depth() == 0
    dispatcher.record_progress(first, Progress.ENDED)
    assert dispatcher.advance_queues() == [] and dispatcher.active_grants == 1
