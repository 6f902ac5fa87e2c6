"""Grants of one dispatcher to several nodes: placement, recovery, overload and rate limits."""

import contextlib
import json
import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from standins.platform_worker import worker_entry
from wheelslip.deployment import PromptPart
from wheelslip.forwarding_settings import BoundsSection
from wheelslip.platform.registry import PlatformRegistry
from wheelslip.registry.registry import Registry
from wheelslip.routing.caches.fleet_memory import CachedPrompt
from wheelslip.routing.dispatcher import (
    NODE_TIMEOUT_SECONDS,
    UNLISTED_GRACE_SECONDS,
    Dispatcher,
    Progress,
    QueryId,
)
from wheelslip.routing.fleet_choice import RECENT_CONTACT_SECONDS, FleetPlacement, RunningRequest
from wheelslip.routing.limits.limit_authority import SingleNodeAuthority
from wheelslip.routing.limits.tenant_limits import TenantLimited, TenantLimits
from wheelslip.routing.limits.worker_allowance import WorkerAllowance
from wheelslip.routing.overload import (
    MAX_RETRY_SECONDS,
    MIN_RETRY_SECONDS,
    Overloaded,
    RetrySchedule,
)
from wheelslip.routing.placement import PlacementQuery
from wheelslip.routing.queue.waiting_request import QueuedQuery
from wheelslip.routing.worker_records import PREFILL_TOKENS_PER_SECOND, SUSPECT_SECONDS

WORKERS = 6
STORE = "127.0.0.1:9000"
PROFILE = {"capacity": 8, "kv_capacity": 100_000, "kv_token_bytes": 1000, "link_mbps": 1e6}


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def make_dispatcher(clock: Clock, workers: int = WORKERS) -> Dispatcher:
    registry = Registry(PlatformRegistry(), BoundsSection, clock)
    store = {"name": "kept", "kv_store_addr": STORE, "zone": "z", "kv_capacity": 500_000}
    document = {
        "version": 1,
        "tenants": [
            {"name": "t", "rate_per_s": 4010, "burst_size": 8020, "token_unit": "tokenize"}
        ],
        "services": [
            {"name": "s", "backend_engine": PROFILE},
            {"name": "plain"},
            store | {"link_mbps": 1e6},
        ],
    }
    registry.apply("op/config", json.dumps(document).encode(), 1)
    for number in range(workers):
        entry = worker_entry(address=f"127.0.0.1:{1 + number}", model="m")
        registry.apply(f"servers/w{number}", entry, 2 + number)
    limits = TenantLimits(
        lambda: registry.configuration.tenant_limits, SingleNodeAuthority(clock), clock
    )
    allowance = WorkerAllowance(registry.limits, SingleNodeAuthority(clock))
    return Dispatcher(FleetPlacement(registry, clock, random.Random(1)), limits, allowance, clock)


def query(session: str, own: str = "own", **changes) -> PlacementQuery:
    parts = (PromptPart("aa", 1000), PromptPart(session, 2000), PromptPart(own, 1000))
    return PlacementQuery("s", "s", "m", 4000, 10, parts, zone="z")._replace(**changes)


def serve(dispatcher: Dispatcher, query_id: QueryId, placement_query: PlacementQuery):
    placement = dispatcher.grant(query_id, placement_query)
    dispatcher.record_progress(query_id, Progress.FIRST_TOKEN)
    dispatcher.record_progress(query_id, Progress.ENDED)
    return placement


def test_a_repeated_query_returns_the_same_grant_and_is_counted_once():
    dispatcher = make_dispatcher(Clock())
    query_id = QueryId("n1", 1)
    first = dispatcher.grant(query_id, query("5e55"))
    assert dispatcher.grant(query_id, query("5e55")) is first
    assert dispatcher.active_grants == 1
    assert dispatcher.placement.load(first.worker.info.id).running == 1


def test_distinct_prompts_from_many_nodes_are_spread_evenly():
    dispatcher = make_dispatcher(Clock())
    placements = Counter(
        dispatcher.grant(QueryId(f"n{n}", 1), query(f"{n:x}")).worker.info.id for n in range(18)
    )
    assert len(placements) == WORKERS and max(placements.values()) == 3


def test_a_cached_prompt_is_placed_on_its_cache_holder_for_every_node():
    dispatcher = make_dispatcher(Clock())
    first = serve(dispatcher, QueryId("n1", 1), query("5e55", "o1"))
    for node in range(2, 6):
        later = serve(dispatcher, QueryId(f"n{node}", 1), query("5e55", f"o{node}"))
        assert later.worker is first.worker
        assert later.prefill_tokens == 1000


def test_concurrent_queries_for_a_prompt_prefill_its_shared_part_once():
    dispatcher = make_dispatcher(Clock())
    prefills = [
        dispatcher.grant(QueryId(f"n{n}", 1), query("5e55", f"o{n}")).prefill_tokens
        for n in range(3)
    ]
    # Later requests queue behind the first and compute only their own part.
    assert prefills == [4000, 1000, 1000]


def test_a_cache_is_fetched_from_its_holder_only_after_the_prefill_has_finished():
    dispatcher = make_dispatcher(Clock())
    holder = dispatcher.grant(QueryId("n1", 1), query("5e55", "o1"))
    holder_only = frozenset({holder.worker.info.id})
    during_prefill = dispatcher.grant(QueryId("n2", 1), query("5e55", "o2", excluded=holder_only))
    assert during_prefill.prefill_tokens == 4000 and during_prefill.cache.fetch_from == STORE
    dispatcher.record_progress(QueryId("n2", 1), Progress.FAILED)
    dispatcher.record_progress(QueryId("n1", 1), Progress.FIRST_TOKEN)
    fetched = dispatcher.grant(QueryId("n3", 1), query("5e55", "o3", excluded=holder_only))
    assert fetched.prefill_tokens == 1000
    assert fetched.cache.fetch_from in (holder.worker.info.address, STORE)


def test_a_prompt_whose_prefill_failed_is_not_considered_cached():
    dispatcher = make_dispatcher(Clock(), workers=1)
    dispatcher.grant(QueryId("n1", 1), query("5e55"))
    dispatcher.record_progress(QueryId("n1", 1), Progress.FAILED)
    assert dispatcher.grant(QueryId("n1", 2), query("5e55")).prefill_tokens == 4000


def test_a_new_dispatcher_recovers_running_requests_and_cached_prompts():
    clock = Clock()
    old, new = make_dispatcher(clock), make_dispatcher(clock)
    cached = serve(old, QueryId("n1", 1), query("5e55", "o1"))
    new.record_cached_prompts([CachedPrompt(cached.worker.info.id, cached.chain)])
    assert new.grant(QueryId("n2", 1), query("5e55", "o2")).worker.info.id == cached.worker.info.id
    other = next(f"w{n}" for n in range(WORKERS) if f"w{n}" != cached.worker.info.id)
    running = RunningRequest(7, other, 1, (), 30_000, 30_010)
    new.reconcile_running("n1", [7], [running])
    assert new.placement.load(other).prefill_tokens == 30_000
    new.reconcile_running("n1", [7], [running._replace(prefill_tokens=0)])
    assert new.placement.load(other).prefill_tokens == 0
    assert new.placement.load(other).running == 1


def test_a_grant_whose_final_report_was_lost_ends_when_its_node_no_longer_lists_it():
    clock = Clock()
    dispatcher = make_dispatcher(clock)
    dispatcher.grant(QueryId("n1", 1), query("5e55"))
    dispatcher.reconcile_running("n1", [], [])
    # The list may be older than the grant, so a new grant is kept.
    assert dispatcher.active_grants == 1
    clock.now += UNLISTED_GRACE_SECONDS + 0.01
    dispatcher.reconcile_running("n1", [], [])
    assert dispatcher.active_grants == 0


def test_the_grants_of_a_node_that_timed_out_are_ended():
    clock = Clock()
    dispatcher = make_dispatcher(clock)
    worker = dispatcher.grant(QueryId("n1", 1), query("5e55")).worker.info.id
    clock.now += NODE_TIMEOUT_SECONDS + 0.01
    dispatcher.grant(QueryId("n2", 1), query("other"))
    assert dispatcher.active_grants == 1
    assert dispatcher.placement.load(worker).running <= 1


def test_an_unreachable_report_is_ignored_while_another_node_has_recent_contact():
    clock = Clock()
    dispatcher = make_dispatcher(clock)
    worker = dispatcher.grant(QueryId("n1", 1), query("5e55", "o1")).worker.info.id
    serve(dispatcher, QueryId("n2", 1), query("5e55", "o2"))
    dispatcher.record_progress(QueryId("n1", 1), Progress.UNREACHED)
    assert dispatcher.placement.load(worker).suspect_until <= clock.now
    clock.now += RECENT_CONTACT_SECONDS + 0.01
    dispatcher.grant(QueryId("n1", 2), query("5e55", "o3"))
    dispatcher.record_progress(QueryId("n1", 2), Progress.UNREACHED)
    assert dispatcher.placement.load(worker).suspect_until > clock.now
    assert dispatcher.grant(QueryId("n2", 2), query("5e55", "o4")).worker.info.id != worker


def test_no_grant_is_issued_when_no_worker_serves_the_request():
    dispatcher = make_dispatcher(Clock())
    assert dispatcher.grant(QueryId("n1", 1), query("5e55", service="plain")) is None
    assert dispatcher.active_grants == 0


def test_overload_refuses_only_requests_that_cannot_begin_while_their_callers_wait():
    dispatcher = make_dispatcher(Clock())
    # Each of these prompts takes 2 s to compute at the assumed rate.
    long = query("5e55", prompt_tokens=60_000, patience_seconds=1.0)
    for number in range(WORKERS):
        dispatcher.grant(
            QueryId("n1", number), long._replace(prompt=(PromptPart(f"{number}", 60_000),))
        )
    with pytest.raises(Overloaded) as refused:
        dispatcher.grant(QueryId("n2", 1), query("5e55", patience_seconds=1.0))
    # 2 s of backlog, less the time for which the caller waits.
    assert 1.0 < refused.value.retry_seconds < 2.0
    assert dispatcher.active_grants == WORKERS and dispatcher.overload_refusals == 1
    # A request that was sent to a worker before is not refused.
    resent = dispatcher.grant(
        QueryId("n3", 1), query("5e55", patience_seconds=1.0, sent_before=True)
    )
    assert resent is not None
    dispatcher.record_progress(QueryId("n3", 1), Progress.ENDED)
    # A caller that waits longer is admitted, and so are all requests once a prefill has finished.
    patient = dispatcher.grant(QueryId("n2", 2), query("5e55", patience_seconds=4.0))
    assert patient is not None
    dispatcher.record_progress(QueryId("n2", 2), Progress.ENDED)
    dispatcher.record_progress(QueryId("n1", 0), Progress.FIRST_TOKEN)
    assert dispatcher.grant(QueryId("n2", 3), query("5e55", patience_seconds=1.0)) is not None


def test_backlog_of_less_urgent_prompts_does_not_refuse_an_urgent_request():
    """Workers admit by priority, so it starts before them."""
    dispatcher = make_dispatcher(Clock(), workers=1)
    backlog = query("5e55", prompt_tokens=60_000, patience_seconds=9.0, priority=2)
    for number in range(2):
        assert dispatcher.grant(QueryId("n1", number), backlog)
    with pytest.raises(Overloaded):
        dispatcher.grant(QueryId("n2", 1), query("5e55", patience_seconds=3.0, priority=2))
    assert dispatcher.grant(QueryId("n2", 2), query("5e55", patience_seconds=3.0, priority=1))


def test_idle_engine_takes_a_prompt_however_long_it_seems():
    """Speeds are estimates: a refusal would be final although the caller might be served."""
    dispatcher = make_dispatcher(Clock(), workers=1)
    prompt = query("5e55", prompt_tokens=90_000, patience_seconds=1.0)
    assert dispatcher.grant(QueryId("n1", 1), prompt)


@given(
    patience=st.floats(0.1, 20.0), ahead=st.integers(1, 60_000), tokens=st.integers(4000, 30_000)
)
def test_engines_take_what_can_begin_while_its_caller_waits_and_nothing_else(
    patience, ahead, tokens
):
    """Engines refused by a share of the objective of the route."""
    dispatcher = make_dispatcher(Clock(), workers=1)
    first = query("5e55", prompt_tokens=ahead, patience_seconds=60.0)
    second = query("0ther", prompt_tokens=tokens, patience_seconds=patience)
    dispatcher.grant(QueryId("n1", 1), first._replace(prompt=(PromptPart("a", ahead),)))
    second = second._replace(prompt=(PromptPart("b", tokens),))
    needed = (ahead + tokens) / PREFILL_TOKENS_PER_SECOND
    if needed < patience:
        assert dispatcher.grant(QueryId("n1", 2), second)
    elif needed > patience:
        with pytest.raises(Overloaded) as refused:
            dispatcher.grant(QueryId("n1", 2), second)
        assert refused.value.retry_seconds == pytest.approx(
            max(MIN_RETRY_SECONDS, min(ahead / PREFILL_TOKENS_PER_SECOND, needed - patience)),
            abs=1e-6,
        )


def test_retry_times_of_refused_callers_are_spaced_and_bounded():
    schedule = RetrySchedule()
    delays = [schedule.retry_seconds(10.0, 0.5, 0.2, 60.0) for _ in range(3)]
    assert delays == pytest.approx([0.5, 0.7, 0.9])
    assert schedule.retry_seconds(20.0, 0.1, 0.2, 60.0) == pytest.approx(0.1)
    assert schedule.retry_seconds(20.0, 1e9, 0.2, 60.0) == MAX_RETRY_SECONDS


def test_callers_that_do_not_wait_for_their_time_delay_no_others():
    """Callers honour a third of the time that they have left."""
    schedule = RetrySchedule()
    delays = [schedule.retry_seconds(10.0, 0.9, 0.2, 3.0) for _ in range(3)]
    assert delays == pytest.approx([0.9, 1.1, 1.1])
    assert schedule.retry_seconds(10.0, 0.9, 0.2, 6.0) == pytest.approx(1.1)


def limited(session: str, own: str = "own", **changes) -> PlacementQuery:
    return query(session, own, tenant="t", limit_units=4010.0, **changes)


def fill_buckets(clock: Clock, dispatcher: Dispatcher) -> None:
    """Load the rate limits and let the token buckets fill up."""
    dispatcher.grant(QueryId("n0", 1), query("first"))
    dispatcher.record_progress(QueryId("n0", 1), Progress.ENDED)
    clock.now += 2.0


def test_a_tenant_over_its_limit_is_refused_and_repeated_queries_are_charged_once():
    clock = Clock()
    dispatcher = make_dispatcher(clock)
    fill_buckets(clock, dispatcher)
    for number in (1, 1, 1, 2):
        assert dispatcher.grant(QueryId("n1", number), limited(f"s{number}")) is not None
    with pytest.raises(TenantLimited) as caught:
        dispatcher.grant(QueryId("n1", 3), limited("s3"))
    assert 0.9 < caught.value.retry_seconds <= 1.0
    # A request without a tenant is not affected.
    assert dispatcher.grant(QueryId("n1", 4), query("s4")) is not None
    clock.now += 1.0
    assert dispatcher.grant(QueryId("n1", 3), limited("s3")) is not None


@pytest.mark.parametrize(
    ("progress", "is_refunded"),
    [
        (Progress.UNREACHED, True),
        (Progress.UNUSED, True),
        (Progress.NOT_RUN, True),
        (Progress.ENDED, False),
        (Progress.FAILED, False),
    ],
)
def test_the_charge_of_a_request_that_did_not_run_is_refunded(progress, is_refunded):
    clock = Clock()
    dispatcher = make_dispatcher(clock)
    fill_buckets(clock, dispatcher)
    for number in (1, 2):
        dispatcher.grant(QueryId("n1", number), limited(f"s{number}"))
    dispatcher.record_progress(QueryId("n1", 1), progress)
    if is_refunded:
        assert dispatcher.grant(QueryId("n1", 3), limited("s3")) is not None
    else:
        with pytest.raises(TenantLimited):
            dispatcher.grant(QueryId("n1", 3), limited("s3"))


def test_a_request_without_a_worker_is_not_charged():
    clock = Clock()
    dispatcher = make_dispatcher(clock, workers=0)
    fill_buckets(clock, dispatcher)
    for number in range(1, 9):
        assert dispatcher.grant(QueryId("n1", number), limited("s1")) is None


def test_an_unresponsive_worker_gets_one_trial_request_until_it_responds():
    clock = Clock()
    dispatcher = make_dispatcher(clock)
    silent = dispatcher.grant(QueryId("n1", 1), query("5e55", "o1")).worker.info.id
    dispatcher.record_progress(QueryId("n1", 1), Progress.SILENT)
    clock.now += SUSPECT_SECONDS + 0.01
    queries = [query(f"{number:04x}", "o1") for number in range(4 * WORKERS)]
    grants = {
        number: dispatcher.grant(QueryId("n2", number), new_query)
        for number, new_query in enumerate(queries)
    }
    trials = [number for number, grant in grants.items() if grant.worker.info.id == silent]
    assert len(trials) == 1
    # After a response it is used like the others again.
    dispatcher.record_progress(QueryId("n2", trials[0]), Progress.FIRST_TOKEN)
    later_grants = [
        dispatcher.grant(QueryId("n3", number), new_query)
        for number, new_query in enumerate(queries)
    ]
    assert sum(grant.worker.info.id == silent for grant in later_grants) > 1


def test_refused_query_that_is_enqueued_where_nothing_queues_takes_one_turn():
    """Each refused caller took two turns, so callers were told twice the time."""
    clock = Clock()
    dispatcher = make_dispatcher(clock)
    for number in range(400):
        with contextlib.suppress(Overloaded):
            dispatcher.grant(QueryId("n", number), query(f"{number:04x}"))
    with pytest.raises(Overloaded) as refused:
        dispatcher.grant(QueryId("n", 1000), query("aaaa"))
    refusals = dispatcher.overload_refusals
    with pytest.raises(Overloaded) as enqueued:
        dispatcher.enqueue(QueryId("n", 1000), QueuedQuery(query("aaaa")))
    assert enqueued.value.retry_seconds == refused.value.retry_seconds
    assert dispatcher.overload_refusals == refusals
