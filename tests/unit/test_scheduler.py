"""Scheduler decisions and prefix registry, with an injected clock."""

import random

import pytest

from wheelslip.errors import ErrorKind
from wheelslip.routing.caches.prefix import BLOCK_TOKENS
from wheelslip.routing.caches.prefix_registry import (
    CHECKPOINT_BLOCKS,
    OVERDUE_EXPIRY_SECONDS,
    OVERDUE_RECHECK_SECONDS,
    PrefixHint,
    PrefixPlan,
    PrefixRegistry,
    checkpoints,
    registry_head,
)
from wheelslip.routing.caches.sharing import HOME_LOOKUP_TIMEOUT_SECONDS
from wheelslip.routing.cost import SchedulerOptions
from wheelslip.routing.model import (
    RECOMPUTE_WEIGHT,
    Dispatch,
    EngineInfo,
    EngineState,
    HomeLookup,
    HomeUpdate,
    Refusal,
    RoutingRequest,
    ServiceClass,
)
from wheelslip.routing.scheduler import Scheduler

LONG = tuple(range(1000, 1200))


def engine(name, zone="z", incarnation="i1", state=EngineState.SERVING, version="v1"):
    return EngineInfo(name, "", zone, incarnation, "m", version, state)


def request(name, keys=(), now=0.0, deadline=100.0, service_class=ServiceClass.INTERACTIVE):
    tokens = len(keys) * BLOCK_TOKENS + 50
    return RoutingRequest(
        name, "t", "m", service_class, lambda version: keys, tokens, 10, now, now + deadline
    )


@pytest.fixture
def scheduler():
    instance = Scheduler(SchedulerOptions(zone="z", use_home_lookup=False), random.Random(1))
    for name in ("a", "b", "c"):
        instance.update_engine(engine(name), 0.0)
    return instance


def of_type(decisions, kind):
    return [decision for decision in decisions if isinstance(decision, kind)]


def test_engine_with_the_cached_prefix_is_chosen_again(scheduler):
    (first,) = of_type(scheduler.submit(request("r1", LONG), 0.0), Dispatch)
    scheduler.first_token("r1", 1.0)
    scheduler.finished("r1", 0, 1.5)
    (second,) = of_type(scheduler.submit(request("r2", LONG, 2.0), 2.0), Dispatch)
    assert second.engine.name == first.engine.name
    assert second.predicted_cached_tokens == len(LONG) * BLOCK_TOKENS


def test_replaced_engine_starts_with_an_empty_cache(scheduler):
    (first,) = of_type(scheduler.submit(request("r1", LONG), 0.0), Dispatch)
    scheduler.first_token("r1", 1.0)
    scheduler.finished("r1", 0, 1.5)
    scheduler.update_engine(engine(first.engine.name, incarnation="i2"), 2.0)
    (second,) = of_type(scheduler.submit(request("r2", LONG, 2.0), 2.0), Dispatch)
    if second.engine.name == first.engine.name:
        assert second.engine.incarnation == "i2"
        assert second.predicted_cached_tokens < len(LONG) * BLOCK_TOKENS


def test_followers_wait_for_the_leader_and_are_sent_to_its_engine(scheduler):
    (leader,) = of_type(scheduler.submit(request("lead", LONG), 0.0), Dispatch)
    assert scheduler.submit(request("f1", LONG, 0.1), 0.1) == []
    assert scheduler.submit(request("f2", LONG, 0.1), 0.1) == []
    assert scheduler.waiting_count == 2
    released = of_type(scheduler.first_token("lead", 1.6), Dispatch)
    assert {dispatch.engine.name for dispatch in released} == {leader.engine.name}
    assert {dispatch.request_id for dispatch in released} == {"f1", "f2"}


def test_followers_are_dispatched_when_their_leader_fails(scheduler):
    scheduler.submit(request("lead", LONG), 0.0)
    scheduler.submit(request("f1", LONG, 0.1), 0.1)
    assert of_type(scheduler.failed("lead", 0.5), Dispatch)


def test_leaving_and_down_engines_get_no_requests(scheduler):
    scheduler.update_engine(engine("a", state=EngineState.LEAVING), 0.0)
    scheduler.update_engine(engine("b", state=EngineState.DOWN), 0.0)
    for number in range(5):
        (dispatch,) = of_type(scheduler.submit(request(f"r{number}"), 0.0), Dispatch)
        assert dispatch.engine.name == "c"


def test_requests_without_an_engine_or_with_a_full_queue_are_refused():
    scheduler = Scheduler(SchedulerOptions(max_waiting=0), random.Random(1))
    (refusal,) = scheduler.submit(request("r1"), 0.0)
    assert refusal.kind is ErrorKind.NO_ENGINE and refusal.retry_after_seconds > 0
    scheduler.update_engine(engine("a"), 0.0)
    (refusal,) = scheduler.submit(request("r2"), 0.0)
    assert refusal.kind is ErrorKind.QUEUE_FULL


def test_waiting_request_is_refused_when_its_deadline_passes(scheduler):
    scheduler.submit(request("lead", LONG), 0.0)
    scheduler.submit(request("f1", LONG, 0.1, deadline=0.4), 0.1)
    (refusal,) = of_type(scheduler.tick(0.6), Refusal)
    assert refusal.request_id == "f1" and refusal.kind is ErrorKind.DEADLINE_UNREACHABLE


def test_idle_time_does_not_count_as_time_that_requests_need(scheduler):
    """After a quiet minute, requests that engines could serve were refused as too late."""
    for number in range(3):
        scheduler.submit(request(f"r{number}", now=60.0 * number), 60.0 * number)
        scheduler.finished(f"r{number}", None, 60.0 * number + 0.1)
    scheduler.submit(request("lead", LONG, 121.0), 121.0)
    assert scheduler.submit(request("f1", LONG, 121.1, deadline=4.0), 121.1) == []
    assert scheduler.waiting_count == 1


def test_requests_are_spread_evenly_over_equal_engines(scheduler):
    names = []
    for number in range(30):
        names += [dispatch.engine.name for dispatch in scheduler.submit(request(f"r{number}"), 0.0)]
    assert {names.count(name) for name in ("a", "b", "c")} == {10}


def test_engine_with_an_open_circuit_gets_no_requests(scheduler):
    for number in range(3):
        failing = request(f"r{number}")
        failing.excluded = {"b", "c"}
        scheduler.submit(failing, 0.0)
        scheduler.failed(f"r{number}", 0.0)
    for number in range(4):
        (dispatch,) = of_type(scheduler.submit(request(f"s{number}"), 0.1), Dispatch)
        assert dispatch.engine.name != "a"


def scheduler_with_home_lookup():
    instance = Scheduler(SchedulerOptions(zone="z"), random.Random(1))
    for name in ("a", "b"):
        instance.update_engine(engine(name), 0.0)
    return instance


def test_home_is_looked_up_once_before_a_long_prefill():
    scheduler = scheduler_with_home_lookup()
    (lookup,) = scheduler.submit(request("r1", LONG), 0.0)
    assert isinstance(lookup, HomeLookup) and lookup.head == registry_head(LONG)
    assert scheduler.submit(request("r2", LONG), 0.001) == []
    decisions = scheduler.handle_home_reply(lookup.head, (), 0.002)
    assert len(of_type(decisions, Dispatch)) == 1 and len(of_type(decisions, HomeUpdate)) == 1
    assert scheduler.waiting_count == 1


def test_requests_wait_for_a_remote_prefill_until_its_home_reports_completion():
    scheduler = scheduler_with_home_lookup()
    (lookup,) = scheduler.submit(request("r1", LONG), 0.0)
    pending = PrefixHint("b", "i1", len(LONG), 0.5, 0.0)
    assert scheduler.handle_home_reply(lookup.head, (pending,), 0.01) == []
    (repeated,) = scheduler.tick(0.6)
    assert isinstance(repeated, HomeLookup)
    ready = PrefixHint("b", "i1", len(LONG), 0.0, 0.1)
    (dispatch,) = of_type(scheduler.handle_home_reply(lookup.head, (ready,), 0.61), Dispatch)
    assert dispatch.engine.name == "b"
    assert dispatch.predicted_cached_tokens == len(LONG) * BLOCK_TOKENS


def test_hint_for_an_earlier_incarnation_is_ignored():
    scheduler = scheduler_with_home_lookup()
    (lookup,) = scheduler.submit(request("r1", LONG), 0.0)
    stale = PrefixHint("b", "i0", len(LONG), 0.0, 0.1)
    (dispatch,) = of_type(scheduler.handle_home_reply(lookup.head, (stale,), 0.01), Dispatch)
    assert dispatch.predicted_cached_tokens < len(LONG) * BLOCK_TOKENS


def test_lost_lookup_delays_a_request_only_by_its_timeout():
    scheduler = scheduler_with_home_lookup()
    scheduler.submit(request("r1", LONG), 0.0)
    assert of_type(scheduler.tick(HOME_LOOKUP_TIMEOUT_SECONDS / 2), Dispatch) == []
    assert len(of_type(scheduler.tick(HOME_LOOKUP_TIMEOUT_SECONDS * 1.1), Dispatch)) == 1


def plan(keys, name="a", ready_in=1.0):
    return PrefixPlan(name, "i1", ready_in, checkpoints(keys))


def test_registry_returns_the_plan_of_the_first_node_to_the_second():
    registry = PrefixRegistry()
    assert registry.lookup(1, plan(LONG), 0.0) == ()
    (hint,) = registry.lookup(1, plan(LONG, "b"), 0.1)
    assert hint.engine == "a" and hint.blocks == len(LONG)
    assert hint.ready_in_seconds == pytest.approx(0.9)
    registry.record(1, plan(LONG, "a", 0.0), 1.5)
    (hint,) = registry.lookup(1, plan(LONG, "b"), 2.0)
    assert hint.ready_in_seconds == 0 and hint.idle_seconds == pytest.approx(0.5)


def test_registry_rechecks_an_overdue_prefill_and_then_expires_it():
    registry = PrefixRegistry()
    registry.record(1, plan(LONG), 0.0)
    (hint,) = registry.lookup(1, plan(LONG, "b"), 3.0)
    assert hint.ready_in_seconds == OVERDUE_RECHECK_SECONDS
    assert registry.lookup(1, plan(LONG, "b"), 2.0 + OVERDUE_EXPIRY_SECONDS) == ()


def test_registry_reports_the_shared_depth_of_a_nested_prompt():
    registry = PrefixRegistry()
    registry.record(1, plan(LONG, ready_in=0.0), 0.0)
    other = LONG[:100] + tuple(range(5000, 5100))
    (hint,) = registry.lookup(1, plan(other, "b"), 0.1)
    assert hint.blocks == 100 - 100 % CHECKPOINT_BLOCKS


def interactive_request(name, keys, now=0.0):
    routing_request = request(name, keys, now)
    routing_request.recompute_weight = RECOMPUTE_WEIGHT[ServiceClass.INTERACTIVE]
    return routing_request


def test_prefix_that_another_node_computes_is_not_estimated_as_cached():
    """Guards against several nodes computing the same cold prefix: the cache estimate for the home
    engine must not include a prefix that it is still computing for another node.
    """
    registry = PrefixRegistry()
    nodes = [scheduler_with_home_lookup() for _ in range(3)]
    replies = []
    for number, node in enumerate(nodes):
        for position in range(3):
            for lookup in node.submit(interactive_request(f"r{number}-{position}", LONG), 0.0):
                replies.append((node, lookup.head, registry.lookup(lookup.head, lookup.plan, 0.0)))
    decisions = [
        decision for node, *reply in replies for decision in node.handle_home_reply(*reply, 0.001)
    ]
    dispatches = of_type(decisions, Dispatch)
    assert [dispatch.request_id for dispatch in dispatches] == ["r0-0"]


@pytest.mark.parametrize("learned_share", [0.0, 0.5, 1.0])
def test_followers_wait_for_a_remote_prefill_at_every_learned_hit_share(learned_share):
    """Guards against ignoring a remote prefill when the learned hit share is high."""
    scheduler = scheduler_with_home_lookup()
    for number in range(100):
        keys = tuple(range(10_000 * (number + 1), 10_000 * (number + 1) + len(LONG)))
        (lookup,) = scheduler.submit(interactive_request(f"learn{number}", keys), 0.0)
        scheduler.handle_home_reply(lookup.head, (), 0.0)
        cached_tokens = int(learned_share * len(keys) * BLOCK_TOKENS)
        scheduler.finished(f"learn{number}", cached_tokens, 0.0)
    (lookup,) = scheduler.submit(interactive_request("r1", LONG), 0.0)
    pending = PrefixHint(lookup.plan.engine, "i1", len(LONG), 1.65, 0.0)
    assert scheduler.handle_home_reply(lookup.head, (pending,), 0.01) == []
    assert scheduler.tick(1.0) == []
