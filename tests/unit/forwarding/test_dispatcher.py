"""Grants of one dispatcher for many nodes."""

import json
import random
from collections import Counter

import pytest

from standins.platform_worker import worker_entry
from wheelslip.deployment import PromptPart
from wheelslip.forwarding.registry import Registry
from wheelslip.forwarding.settings import BoundsSection
from wheelslip.platform.registry import PlatformRegistry
from wheelslip.routing.dispatcher import (
    SILENT_NODE_SECONDS,
    UNLISTED_SECONDS,
    Dispatcher,
    Progress,
    QueryId,
)
from wheelslip.routing.fleet_choice import HEARD_SECONDS, FleetPlacement, RunningRequest
from wheelslip.routing.fleet_memory import KeptPrompt
from wheelslip.routing.limit_authority import WholeAuthority
from wheelslip.routing.overload import (
    LEAST_WAIT_SECONDS,
    MOST_RETRY_SECONDS,
    AdmissionLimits,
    Overloaded,
    Turns,
)
from wheelslip.routing.placement import PlacementQuery
from wheelslip.routing.tenant_limits import TenantLimited, TenantLimits
from wheelslip.routing.worker_allowance import WorkerAllowance
from wheelslip.routing.worker_records import SUSPECT_SECONDS

WORKERS = 6
STORE = "127.0.0.1:9000"
PROFILE = {"capacity": 8, "kv_capacity": 100_000, "kv_token_bytes": 1000, "link_mbps": 1e6}


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def dispatcher_of(clock: Clock, workers: int = WORKERS) -> Dispatcher:
    view = Registry(PlatformRegistry(), BoundsSection, clock)
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
    view.apply("op/config", json.dumps(document).encode(), 1)
    for number in range(workers):
        entry = worker_entry(address=f"127.0.0.1:{1 + number}", model="m")
        view.apply(f"servers/w{number}", entry, 2 + number)
    limits = TenantLimits(lambda: view.configuration.tenant_limits, WholeAuthority(clock), clock)
    allowance = WorkerAllowance(view.limits, WholeAuthority(clock))
    return Dispatcher(FleetPlacement(view, clock, random.Random(1)), limits, allowance, clock)


def query(session: str, own: str = "own", **changes) -> PlacementQuery:
    parts = (PromptPart("aa", 1000), PromptPart(session, 2000), PromptPart(own, 1000))
    return PlacementQuery("s", "s", "m", 4000, 10, parts, zone="z")._replace(**changes)


def serve(dispatcher: Dispatcher, query_id: QueryId, asked: PlacementQuery):
    placement = dispatcher.grant(query_id, asked)
    dispatcher.record_progress(query_id, Progress.FIRST_TOKEN)
    dispatcher.record_progress(query_id, Progress.ENDED)
    return placement


def test_a_repeated_question_gets_the_same_grant_and_counts_once():
    dispatcher = dispatcher_of(Clock())
    query_id = QueryId("n1", 1)
    first = dispatcher.grant(query_id, query("5e55"))
    assert dispatcher.grant(query_id, query("5e55")) is first
    assert dispatcher.active_grants == 1
    assert dispatcher.placement.load(first.worker.info.id).running == 1


def test_prompts_of_many_nodes_that_are_all_different_spread_evenly():
    dispatcher = dispatcher_of(Clock())
    taken = Counter(
        dispatcher.grant(QueryId(f"n{n}", 1), query(f"{n:x}")).worker.info.id for n in range(18)
    )
    assert len(taken) == WORKERS and max(taken.values()) == 3


def test_a_prompt_goes_where_it_is_kept_whichever_node_asks():
    dispatcher = dispatcher_of(Clock())
    first = serve(dispatcher, QueryId("n1", 1), query("5e55", "o1"))
    for node in range(2, 6):
        again = serve(dispatcher, QueryId(f"n{node}", 1), query("5e55", f"o{node}"))
        assert again.worker is first.worker
        assert again.read_tokens == 1000


def test_a_prompt_is_read_once_while_many_ask_for_it():
    dispatcher = dispatcher_of(Clock())
    reads = [
        dispatcher.grant(QueryId(f"n{n}", 1), query("5e55", f"o{n}")).read_tokens for n in range(3)
    ]
    # The first reads all of it; who comes meanwhile waits behind it and reads its own part.
    assert reads == [4000, 1000, 1000]


def test_a_busy_keeper_is_fetched_from_and_one_that_still_reads_is_not():
    dispatcher = dispatcher_of(Clock())
    reading = dispatcher.grant(QueryId("n1", 1), query("5e55", "o1"))
    elsewhere = frozenset({reading.worker.info.id})
    while_read = dispatcher.grant(QueryId("n2", 1), query("5e55", "o2", excluded=elsewhere))
    assert while_read.read_tokens == 4000 and while_read.cache.fetch_from == STORE
    dispatcher.record_progress(QueryId("n2", 1), Progress.FAILED)
    dispatcher.record_progress(QueryId("n1", 1), Progress.FIRST_TOKEN)
    fetched = dispatcher.grant(QueryId("n3", 1), query("5e55", "o3", excluded=elsewhere))
    assert fetched.read_tokens == 1000
    assert fetched.cache.fetch_from in (reading.worker.info.address, STORE)


def test_what_a_failed_request_did_not_read_is_not_believed_kept():
    dispatcher = dispatcher_of(Clock(), workers=1)
    dispatcher.grant(QueryId("n1", 1), query("5e55"))
    dispatcher.record_progress(QueryId("n1", 1), Progress.FAILED)
    assert dispatcher.grant(QueryId("n1", 2), query("5e55")).read_tokens == 4000


def test_a_new_dispatcher_learns_what_runs_and_what_is_kept():
    clock = Clock()
    old, new = dispatcher_of(clock), dispatcher_of(clock)
    kept = serve(old, QueryId("n1", 1), query("5e55", "o1"))
    new.record_cached_prompts([KeptPrompt(kept.worker.info.id, kept.chain)])
    assert new.grant(QueryId("n2", 1), query("5e55", "o2")).worker.info.id == kept.worker.info.id
    other = next(f"w{n}" for n in range(WORKERS) if f"w{n}" != kept.worker.info.id)
    running = RunningRequest(7, other, 1, (), 30_000, 30_010)
    new.reconcile_running("n1", [7], [running])
    assert new.placement.load(other).prompt_tokens == 30_000
    new.reconcile_running("n1", [7], [running._replace(unread_tokens=0)])
    assert new.placement.load(other).prompt_tokens == 0
    assert new.placement.load(other).running == 1


def test_a_ticket_whose_end_was_lost_goes_when_its_node_no_longer_lists_it():
    clock = Clock()
    dispatcher = dispatcher_of(clock)
    dispatcher.grant(QueryId("n1", 1), query("5e55"))
    dispatcher.reconcile_running("n1", [], [])
    # The list may have been made before the grant arrived.
    assert dispatcher.active_grants == 1
    clock.now += UNLISTED_SECONDS + 0.01
    dispatcher.reconcile_running("n1", [], [])
    assert dispatcher.active_grants == 0


def test_the_tickets_of_a_silent_node_are_void():
    clock = Clock()
    dispatcher = dispatcher_of(clock)
    worker = dispatcher.grant(QueryId("n1", 1), query("5e55")).worker.info.id
    clock.now += SILENT_NODE_SECONDS + 0.01
    dispatcher.grant(QueryId("n2", 1), query("other"))
    assert dispatcher.active_grants == 1
    assert dispatcher.placement.load(worker).running <= 1


def test_one_node_that_is_cut_off_does_not_take_workers_from_the_others():
    clock = Clock()
    dispatcher = dispatcher_of(clock)
    held = dispatcher.grant(QueryId("n1", 1), query("5e55", "o1")).worker.info.id
    serve(dispatcher, QueryId("n2", 1), query("5e55", "o2"))
    dispatcher.record_progress(QueryId("n1", 1), Progress.UNREACHED)
    assert dispatcher.placement.load(held).suspect_until <= clock.now
    clock.now += HEARD_SECONDS + 0.01
    dispatcher.grant(QueryId("n1", 2), query("5e55", "o3"))
    dispatcher.record_progress(QueryId("n1", 2), Progress.UNREACHED)
    assert dispatcher.placement.load(held).suspect_until > clock.now
    assert dispatcher.grant(QueryId("n2", 2), query("5e55", "o4")).worker.info.id != held


def test_no_grant_is_given_where_no_worker_may_take_the_request():
    dispatcher = dispatcher_of(Clock())
    assert dispatcher.grant(QueryId("n1", 1), query("5e55", service="plain")) is None
    assert dispatcher.active_grants == 0


def test_in_overload_only_what_can_begin_in_time_gets_a_worker():
    dispatcher = dispatcher_of(Clock())
    # One prompt is read in 2 s at the rate that is assumed.
    long = query("5e55", prompt_tokens=60_000, target_seconds=1.0)
    for number in range(WORKERS):
        dispatcher.grant(
            QueryId("n1", number), long._replace(prompt=(PromptPart(f"{number}", 60_000),))
        )
    with pytest.raises(Overloaded) as refused:
        dispatcher.grant(QueryId("n2", 1), query("5e55", target_seconds=1.0))
    # 2 s are read before it, and it may wait for what its target leaves after reading it.
    assert 1.0 < refused.value.retry_seconds < 2.0
    assert dispatcher.active_grants == WORKERS and dispatcher.overload_refusals == 1
    # One that has been at a worker before goes on.
    begun = dispatcher.grant(QueryId("n3", 1), query("5e55", target_seconds=1.0, begun=True))
    assert begun is not None
    dispatcher.record_progress(QueryId("n3", 1), Progress.ENDED)
    # A kind of request with more patience still gets one, and so do all once one is read.
    patient = dispatcher.grant(QueryId("n2", 2), query("5e55", target_seconds=4.0))
    assert patient is not None
    dispatcher.record_progress(QueryId("n2", 2), Progress.ENDED)
    dispatcher.record_progress(QueryId("n1", 0), Progress.FIRST_TOKEN)
    assert dispatcher.grant(QueryId("n2", 3), query("5e55", target_seconds=1.0)) is not None


@pytest.mark.parametrize("urgent_target", [0.1, 0.5, 0.8, 2.0])
@pytest.mark.parametrize("urgent_reads", [0.0, 0.3, 3.0])
def test_a_more_urgent_kind_of_request_is_never_refused_before_a_less_urgent_one(
    urgent_target, urgent_reads
):
    limits = AdmissionLimits()
    for _ in range(2):
        urgent = limits.longest_wait(0, urgent_target, urgent_reads)
        patient = limits.longest_wait(1, 0.8, 0.3)
        assert limits.longest_wait(0, urgent_target, urgent_reads) >= patient
    assert urgent >= patient


def test_what_is_admitted_begins_within_its_target_and_a_late_or_long_one_is_not_shut_out():
    limits = AdmissionLimits()
    assert limits.longest_wait(0, 0.8, 0.3) == pytest.approx(0.5)
    # A prompt that takes longer to read than its target may wait for half of that.
    assert limits.longest_wait(1, 0.8, 3.0) == pytest.approx(0.4)
    assert limits.longest_wait(2, -1.0, 0.1) == LEAST_WAIT_SECONDS


def test_refused_callers_come_back_one_after_the_other_and_not_before_there_is_room():
    turns = Turns()
    told = [turns.retry_seconds(10.0, 0.5, 0.2) for _ in range(3)]
    assert told == pytest.approx([0.5, 0.7, 0.9])
    assert turns.retry_seconds(20.0, 0.1, 0.2) == pytest.approx(0.1)
    assert turns.retry_seconds(20.0, 1e9, 0.2) == MOST_RETRY_SECONDS


def limited(session: str, own: str = "own", **changes) -> PlacementQuery:
    return query(session, own, tenant="t", limit_units=4010.0, **changes)


def fill(clock: Clock, dispatcher: Dispatcher) -> None:
    """Take notice of the limits, and let the buckets fill."""
    dispatcher.grant(QueryId("n0", 1), query("first"))
    dispatcher.record_progress(QueryId("n0", 1), Progress.ENDED)
    clock.now += 2.0


def test_grants_of_a_tenant_end_at_its_limit_and_a_repeated_question_counts_once():
    clock = Clock()
    dispatcher = dispatcher_of(clock)
    fill(clock, dispatcher)
    for number in (1, 1, 1, 2):
        assert dispatcher.grant(QueryId("n1", number), limited(f"s{number}")) is not None
    with pytest.raises(TenantLimited) as caught:
        dispatcher.grant(QueryId("n1", 3), limited("s3"))
    assert 0.9 < caught.value.retry_seconds <= 1.0
    # Another tenant, or none, is not affected.
    assert dispatcher.grant(QueryId("n1", 4), query("s4")) is not None
    clock.now += 1.0
    assert dispatcher.grant(QueryId("n1", 3), limited("s3")) is not None


@pytest.mark.parametrize(
    ("progress", "runs_again"),
    [
        (Progress.UNREACHED, True),
        (Progress.UNUSED, True),
        (Progress.NOT_RUN, True),
        (Progress.ENDED, False),
        (Progress.FAILED, False),
    ],
)
def test_what_was_proven_not_to_run_is_given_back(progress, runs_again):
    clock = Clock()
    dispatcher = dispatcher_of(clock)
    fill(clock, dispatcher)
    for number in (1, 2):
        dispatcher.grant(QueryId("n1", number), limited(f"s{number}"))
    dispatcher.record_progress(QueryId("n1", 1), progress)
    if runs_again:
        assert dispatcher.grant(QueryId("n1", 3), limited("s3")) is not None
    else:
        with pytest.raises(TenantLimited):
            dispatcher.grant(QueryId("n1", 3), limited("s3"))


def test_a_request_that_gets_no_worker_is_not_counted():
    clock = Clock()
    dispatcher = dispatcher_of(clock, workers=0)
    fill(clock, dispatcher)
    for number in range(1, 9):
        assert dispatcher.grant(QueryId("n1", number), limited("s1")) is None


def test_a_silent_worker_gets_one_request_at_a_time_until_it_is_heard():
    clock = Clock()
    dispatcher = dispatcher_of(clock)
    silent = dispatcher.grant(QueryId("n1", 1), query("5e55", "o1")).worker.info.id
    dispatcher.record_progress(QueryId("n1", 1), Progress.SILENT)
    clock.now += SUSPECT_SECONDS + 0.01
    asked = [query(f"{number:04x}", "o1") for number in range(4 * WORKERS)]
    grants = {
        number: dispatcher.grant(QueryId("n2", number), one) for number, one in enumerate(asked)
    }
    trials = [number for number, one in grants.items() if one.worker.info.id == silent]
    assert len(trials) == 1
    # Once it is heard, it takes its part again.
    dispatcher.record_progress(QueryId("n2", trials[0]), Progress.FIRST_TOKEN)
    more = [dispatcher.grant(QueryId("n3", number), one) for number, one in enumerate(asked)]
    assert sum(one.worker.info.id == silent for one in more) > 1
