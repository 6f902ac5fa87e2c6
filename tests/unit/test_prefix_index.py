"""Prefix index and fair queue, compared with reference models; derandomized."""

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from wheelslip.routing.caches.index import PrefixIndex
from wheelslip.routing.caches.prefix import BLOCK_BYTES, cache_salt, prefix_keys
from wheelslip.routing.model import RoutingRequest, ServiceClass
from wheelslip.routing.queue.fair_queue import FairQueue

DETERMINISTIC = settings(derandomize=True, max_examples=200, deadline=None)

ENGINES = ("a", "b")
INCARNATIONS = ("1", "2", "3")
PROMPTS = ("x" * BLOCK_BYTES * 3, "x" * BLOCK_BYTES * 2 + "y" * BLOCK_BYTES, "z" * BLOCK_BYTES)
SALTS = tuple(cache_salt(t, "m", v) for t in ("t1", "t2") for v in ("v1", "v2"))

operations = st.lists(
    st.tuples(
        st.sampled_from(("store", "answer", "remove", "clear", "replace", "forget", "wait")),
        st.sampled_from(ENGINES),
        st.sampled_from(INCARNATIONS),
        st.sampled_from(SALTS),
        st.sampled_from(PROMPTS),
    ),
    max_size=40,
)


class ReferenceIndex:
    """Current incarnation of each engine and the keys stored under it."""

    def __init__(self):
        self.incarnation = {}
        self.stored = {engine: set() for engine in ENGINES}

    def apply(self, kind, engine, incarnation, keys):
        current = self.incarnation.get(engine) == incarnation
        if kind == "forget" or (kind == "replace" and not current):
            self.stored[engine] = set()
            self.incarnation[engine] = incarnation if kind == "replace" else None
        elif kind in ("store", "answer") and current:
            self.stored[engine] |= set(keys)
        elif kind == "remove" and current:
            self.stored[engine] -= set(keys)
        elif kind == "clear" and current:
            self.stored[engine] = set()


def apply_step(index, kind, engine, incarnation, keys, now):
    calls = {
        "replace": lambda: index.set_incarnation(engine, incarnation),
        "store": lambda: index.record_stored(engine, incarnation, keys, now),
        "answer": lambda: index.record_response(engine, incarnation, keys, 64, 1.0, now),
        "remove": lambda: index.record_removed(engine, incarnation, keys),
        "clear": lambda: index.record_cleared(engine, incarnation),
        "forget": lambda: index.discard_engine(engine),
        "wait": lambda: None,
    }
    calls[kind]()


@DETERMINISTIC
@given(operations)
def test_index_never_reports_blocks_that_the_reference_model_does_not_hold(steps):
    """Guards against hits from an earlier incarnation, another tenant or other weights."""
    index, reference = PrefixIndex(), ReferenceIndex()
    for now, (kind, engine, incarnation, salt, prompt) in enumerate(steps):
        keys = prefix_keys(salt, prompt)
        apply_step(index, kind, engine, incarnation, keys, float(now))
        reference.apply(kind, engine, incarnation, keys)
        for other, other_salt, other_prompt in itertools.product(ENGINES, SALTS, PROMPTS):
            wanted = prefix_keys(other_salt, other_prompt)
            count = index.cached_blocks(other, wanted, float(now))
            assert set(wanted[:count]) <= reference.stored[other]
        assert len(index) == sum(len(keys) for keys in reference.stored.values())


def test_blocks_count_as_cached_only_for_their_residence_time():
    index = PrefixIndex()
    index.set_incarnation("a", "1")
    keys = prefix_keys(SALTS[0], PROMPTS[0])
    index.record_stored("a", "1", keys, 0.0)
    assert index.cached_blocks("a", keys, 1.0) == 3
    assert index.cached_blocks("a", keys, 1000.0) == 0


def test_residence_time_shrinks_on_a_miss_and_grows_on_a_hit():
    index = PrefixIndex()
    index.set_incarnation("a", "1")
    keys = prefix_keys(SALTS[0], PROMPTS[0])
    before = index.residence_seconds("a")
    index.record_response("a", "1", keys, 0, 1.0, 1.0)
    assert index.residence_seconds("a") < before
    index.record_response("a", "1", keys, 192, 20.0, 21.0)
    assert index.residence_seconds("a") >= 20.0


def test_full_index_evicts_the_oldest_blocks():
    index = PrefixIndex(max_blocks=100)
    index.set_incarnation("a", "1")
    for number in range(30):
        keys = tuple(range(number * 10, number * 10 + 10))
        index.record_stored("a", "1", keys, float(number))
    assert len(index) == 100
    assert index.cached_blocks("a", tuple(range(290, 300)), 29.0) == 10


def request(name, tenant, service_class, tokens=100, weight=1.0, priority=0):
    return RoutingRequest(
        name, tenant, "m", service_class, lambda version: (), tokens, 1, 0.0, 10.0, weight, priority
    )


@DETERMINISTIC
@given(
    st.lists(
        st.tuples(
            st.sampled_from(("push", "pop", "remove")),
            st.sampled_from(("t1", "t2", "t3")),
            st.sampled_from(list(ServiceClass)),
            st.integers(min_value=0, max_value=30),
        ),
        max_size=60,
    )
)
def test_queue_matches_the_reference_model_and_orders_by_class(steps):
    queue = FairQueue()
    reference = {}
    for number, (kind, tenant, service_class, target) in enumerate(steps):
        if kind == "push":
            pushed = request(f"r{number}", tenant, service_class)
            queue.push(pushed)
            reference[pushed.request_id] = pushed
        elif kind == "pop" and reference:
            first = next(queue.in_order())
            assert queue.remove(first.request_id) is reference.pop(first.request_id)
        elif kind == "remove":
            assert queue.remove(f"r{target}") is reference.pop(f"r{target}", None)
        order = list(queue.in_order())
        assert len(queue) == len(reference) == len(order)
        assert {queued.request_id for queued in order} == set(reference)
        classes = [queued.service_class is ServiceClass.PATIENT for queued in order]
        assert classes == sorted(classes)


def test_tenant_over_its_share_does_not_delay_other_tenants():
    queue = FairQueue()
    for number in range(40):
        queue.push(request(f"big{number}", "big", ServiceClass.INTERACTIVE))
    for number in range(2):
        queue.push(request(f"small{number}", "small", ServiceClass.INTERACTIVE))
    order = [queued.request_id for queued in queue.in_order()]
    assert order.index("small0") <= 2 and order.index("small1") <= 4


def test_tenants_are_served_in_proportion_to_their_weights():
    queue = FairQueue()
    for number in range(12):
        queue.push(request(f"heavy{number}", "heavy", ServiceClass.INTERACTIVE, weight=3.0))
        queue.push(request(f"light{number}", "light", ServiceClass.INTERACTIVE, weight=1.0))
    first = [queued.tenant for queued in list(queue.in_order())[:8]]
    assert first.count("heavy") == 6
