"""The scheduler's decisions, one mechanism at a time, with an injected clock."""

import random

import pytest

from wheelslip.errors import ErrorKind
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
from wheelslip.routing.prefix import BLOCK_TOKENS
from wheelslip.routing.prefix_registry import (
    CHECKPOINT_BLOCKS,
    GIVE_UP_LATE_SECONDS,
    RECHECK_SECONDS,
    PrefixHint,
    PrefixPlan,
    PrefixRegistry,
    checkpoints,
    registry_head,
)
from wheelslip.routing.scheduler import Scheduler
from wheelslip.routing.sharing import HOME_LOOKUP_TIMEOUT_SECONDS

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
    made = Scheduler(SchedulerOptions(zone="z", ask_home=False), random.Random(1))
    for name in ("a", "b", "c"):
        made.update_engine(engine(name), 0.0)
    return made


def only(decisions, kind):
    return [one for one in decisions if isinstance(one, kind)]


def test_warm_engine_is_chosen_again(scheduler):
    (first,) = only(scheduler.submit(request("r1", LONG), 0.0), Dispatch)
    scheduler.first_token("r1", 1.0)
    scheduler.finished("r1", 0, 1.5)
    (second,) = only(scheduler.submit(request("r2", LONG, 2.0), 2.0), Dispatch)
    assert second.engine.name == first.engine.name
    assert second.predicted_cached_tokens == len(LONG) * BLOCK_TOKENS


def test_replaced_engine_is_believed_empty(scheduler):
    (first,) = only(scheduler.submit(request("r1", LONG), 0.0), Dispatch)
    scheduler.first_token("r1", 1.0)
    scheduler.finished("r1", 0, 1.5)
    scheduler.update_engine(engine(first.engine.name, incarnation="i2"), 2.0)
    (second,) = only(scheduler.submit(request("r2", LONG, 2.0), 2.0), Dispatch)
    if second.engine.name == first.engine.name:
        assert second.engine.incarnation == "i2"
        assert second.predicted_cached_tokens < len(LONG) * BLOCK_TOKENS


def test_followers_wait_for_the_first_and_go_where_it_went(scheduler):
    (leader,) = only(scheduler.submit(request("lead", LONG), 0.0), Dispatch)
    assert scheduler.submit(request("f1", LONG, 0.1), 0.1) == []
    assert scheduler.submit(request("f2", LONG, 0.1), 0.1) == []
    assert scheduler.waiting_count == 2
    released = only(scheduler.first_token("lead", 1.6), Dispatch)
    assert {one.engine.name for one in released} == {leader.engine.name}
    assert {one.request_id for one in released} == {"f1", "f2"}


def test_followers_do_not_wait_for_a_leader_that_failed(scheduler):
    scheduler.submit(request("lead", LONG), 0.0)
    scheduler.submit(request("f1", LONG, 0.1), 0.1)
    assert only(scheduler.failed("lead", 0.5), Dispatch)


def test_leaving_and_down_engines_get_nothing(scheduler):
    scheduler.update_engine(engine("a", state=EngineState.LEAVING), 0.0)
    scheduler.update_engine(engine("b", state=EngineState.DOWN), 0.0)
    for number in range(5):
        (one,) = only(scheduler.submit(request(f"r{number}"), 0.0), Dispatch)
        assert one.engine.name == "c"


def test_no_engine_and_full_queue_are_refused_at_once():
    scheduler = Scheduler(SchedulerOptions(max_waiting=0), random.Random(1))
    (refusal,) = scheduler.submit(request("r1"), 0.0)
    assert refusal.kind is ErrorKind.NO_ENGINE and refusal.retry_after_seconds > 0
    scheduler.update_engine(engine("a"), 0.0)
    (refusal,) = scheduler.submit(request("r2"), 0.0)
    assert refusal.kind is ErrorKind.QUEUE_FULL


def test_waiting_request_is_refused_when_its_deadline_passes(scheduler):
    scheduler.submit(request("lead", LONG), 0.0)
    scheduler.submit(request("f1", LONG, 0.1, deadline=0.4), 0.1)
    (refusal,) = only(scheduler.tick(0.6), Refusal)
    assert refusal.request_id == "f1" and refusal.kind is ErrorKind.DEADLINE_UNREACHABLE


def test_equal_engines_share_the_load(scheduler):
    names = []
    for number in range(30):
        names += [one.engine.name for one in scheduler.submit(request(f"r{number}"), 0.0)]
    assert {names.count(name) for name in ("a", "b", "c")} == {10}


def test_failing_engine_is_left_alone_for_a_while(scheduler):
    for number in range(3):
        one = request(f"r{number}")
        one.excluded = {"b", "c"}
        scheduler.submit(one, 0.0)
        scheduler.failed(f"r{number}", 0.0)
    for number in range(4):
        (one,) = only(scheduler.submit(request(f"s{number}"), 0.1), Dispatch)
        assert one.engine.name != "a"


def asking_scheduler():
    made = Scheduler(SchedulerOptions(zone="z"), random.Random(1))
    for name in ("a", "b"):
        made.update_engine(engine(name), 0.0)
    return made


def test_home_is_asked_before_a_long_prefill_and_only_once():
    scheduler = asking_scheduler()
    (ask,) = scheduler.submit(request("r1", LONG), 0.0)
    assert isinstance(ask, HomeLookup) and ask.head == registry_head(LONG)
    assert scheduler.submit(request("r2", LONG), 0.001) == []
    decisions = scheduler.handle_home_reply(ask.head, (), 0.002)
    assert len(only(decisions, Dispatch)) == 1 and len(only(decisions, HomeUpdate)) == 1
    assert scheduler.waiting_count == 1


def test_prompt_computed_by_another_node_is_followed_until_its_home_says_it_is_there():
    scheduler = asking_scheduler()
    (ask,) = scheduler.submit(request("r1", LONG), 0.0)
    coming = PrefixHint("b", "i1", len(LONG), 0.5, 0.0)
    assert scheduler.handle_home_reply(ask.head, (coming,), 0.01) == []
    (again,) = scheduler.tick(0.6)
    assert isinstance(again, HomeLookup)
    there = PrefixHint("b", "i1", len(LONG), 0.0, 0.1)
    (sent,) = only(scheduler.handle_home_reply(ask.head, (there,), 0.61), Dispatch)
    assert sent.engine.name == "b"
    assert sent.predicted_cached_tokens == len(LONG) * BLOCK_TOKENS


def test_hint_of_a_dead_incarnation_is_not_believed():
    scheduler = asking_scheduler()
    (ask,) = scheduler.submit(request("r1", LONG), 0.0)
    stale = PrefixHint("b", "i0", len(LONG), 0.0, 0.1)
    (sent,) = only(scheduler.handle_home_reply(ask.head, (stale,), 0.01), Dispatch)
    assert sent.predicted_cached_tokens < len(LONG) * BLOCK_TOKENS


def test_lost_question_costs_its_timeout_only():
    scheduler = asking_scheduler()
    scheduler.submit(request("r1", LONG), 0.0)
    assert only(scheduler.tick(HOME_LOOKUP_TIMEOUT_SECONDS / 2), Dispatch) == []
    assert len(only(scheduler.tick(HOME_LOOKUP_TIMEOUT_SECONDS * 1.1), Dispatch)) == 1


def plan(keys, name="a", ready_in=1.0):
    return PrefixPlan(name, "i1", ready_in, checkpoints(keys))


def test_registry_lets_the_first_asker_compute_and_tells_the_second():
    registry = PrefixRegistry()
    assert registry.lookup(1, plan(LONG), 0.0) == ()
    (hint,) = registry.lookup(1, plan(LONG, "b"), 0.1)
    assert hint.engine == "a" and hint.blocks == len(LONG)
    assert hint.ready_in_seconds == pytest.approx(0.9)
    registry.record(1, plan(LONG, "a", 0.0), 1.5)
    (hint,) = registry.lookup(1, plan(LONG, "b"), 2.0)
    assert hint.ready_in_seconds == 0 and hint.idle_seconds == pytest.approx(0.5)


def test_registry_does_not_call_an_overdue_prompt_there_and_gives_it_up_in_time():
    registry = PrefixRegistry()
    registry.record(1, plan(LONG), 0.0)
    (hint,) = registry.lookup(1, plan(LONG, "b"), 3.0)
    assert hint.ready_in_seconds == RECHECK_SECONDS
    assert registry.lookup(1, plan(LONG, "b"), 2.0 + GIVE_UP_LATE_SECONDS) == ()


def test_registry_tells_how_deep_a_nested_prompt_is_shared():
    registry = PrefixRegistry()
    registry.record(1, plan(LONG, ready_in=0.0), 0.0)
    other = LONG[:100] + tuple(range(5000, 5100))
    (hint,) = registry.lookup(1, plan(other, "b"), 0.1)
    assert hint.blocks == 100 - 100 % CHECKPOINT_BLOCKS


def clerks_request(name, keys, now=0.0):
    made = request(name, keys, now)
    made.recompute_weight = RECOMPUTE_WEIGHT[ServiceClass.INTERACTIVE]
    return made


def test_prompt_that_another_node_computes_is_not_guessed_to_be_cached():
    """Nodes computed a cold prefix again though its home had told them that another did.

    A node takes the engine that a prefix goes to by its hash to hold half of it, from other
    nodes' requests. That guess made computing there look cheaper than waiting for another
    node's computation on this very engine, of which nothing was cached yet. Event 207 of the
    second node: guessed_tokens 6560 of 13140, cost_seconds 1.639, following [["engine-3/...",
    1.787]]; the engine found 0 cached. In 23 runs at a load of 5 to 44 on 16 cores 4 to 7 of 36
    requests computed one of four prefixes, up to three of them the same one, each from another
    node.
    """
    registry = PrefixRegistry()
    nodes = [asking_scheduler() for _ in range(3)]
    answers = []
    for number, node in enumerate(nodes):
        for row in range(3):
            for ask in node.submit(clerks_request(f"r{number}-{row}", LONG), 0.0):
                answers.append((node, ask.head, registry.lookup(ask.head, ask.plan, 0.0)))
    decisions = [one for node, *answer in answers for one in node.handle_home_reply(*answer, 0.001)]
    sent = only(decisions, Dispatch)
    assert [one.request_id for one in sent] == ["r0-0"]


@pytest.mark.parametrize("learned_share", [0.0, 0.5, 1.0])
def test_followers_of_another_node_wait_whatever_is_guessed_of_its_engine(learned_share):
    """The share that homes were found to hold moves with every answer, up to the whole prompt.

    At a share near one a request was sent without a look at what others compute. That the
    prefix's home node tells of a computation on this engine counts, whatever the share.
    """
    scheduler = asking_scheduler()
    for number in range(100):
        keys = tuple(range(10_000 * (number + 1), 10_000 * (number + 1) + len(LONG)))
        (ask,) = scheduler.submit(clerks_request(f"learn{number}", keys), 0.0)
        scheduler.handle_home_reply(ask.head, (), 0.0)
        cached_tokens = int(learned_share * len(keys) * BLOCK_TOKENS)
        scheduler.finished(f"learn{number}", cached_tokens, 0.0)
    (ask,) = scheduler.submit(clerks_request("r1", LONG), 0.0)
    coming = PrefixHint(ask.plan.engine, "i1", len(LONG), 1.65, 0.0)
    assert scheduler.handle_home_reply(ask.head, (coming,), 0.01) == []
    assert scheduler.tick(1.0) == []
