"""Retry budget, backoff, circuit breakers, token buckets, rollout steps and framing."""

import random

import pytest

from wheelslip.documents import DocumentError
from wheelslip.routing.limits.token_bucket import TokenBucket
from wheelslip.routing.retry import (
    BACKOFF_MAX_SECONDS,
    CIRCUIT_FAILURES,
    RETRY_RATIO,
    RETRY_RESERVE,
    Circuit,
    RetryBudget,
    backoff_seconds,
)
from wheelslip.weights.rollout import EnginePhase, EngineSnapshot, Order, OrderKind, next_orders
from wheelslip.wire import FrameError, decode_frame, encode_frame


def test_retries_stay_within_share_of_first_attempts():
    budget = RetryBudget()
    retries = 0
    for _ in range(1000):
        budget.record_first_attempt()
        while budget.take_retry():
            retries += 1
    assert retries <= 1000 * RETRY_RATIO + RETRY_RESERVE


def test_backoff_is_jittered_and_bounded():
    source = random.Random(1)
    pauses = [backoff_seconds(retry, source) for retry in range(1, 20) for _ in range(20)]
    assert min(pauses) >= 0 and max(pauses) <= BACKOFF_MAX_SECONDS
    assert len(set(pauses)) > 300


def test_circuit_opens_after_failures_and_allows_probe_after_delay():
    circuit = Circuit("i1")
    source = random.Random(1)
    opened = [circuit.record_failure(10.0, source) for _ in range(CIRCUIT_FAILURES)]
    assert opened == [False] * (CIRCUIT_FAILURES - 1) + [True]
    assert not circuit.allows(10.0) and circuit.allows(13.0)
    circuit.record_success()
    assert circuit.allows(10.0)


def test_bucket_limits_rate_and_returns_wait():
    bucket = TokenBucket(rate=2.0, capacity=4.0, level=4.0)
    admitted = sum(bucket.acquire(1, second / 100) == 0 for second in range(1000))
    assert admitted == pytest.approx(4 + 2 * 10, abs=1)
    waits = [bucket.acquire(1, 10.0) for _ in range(6)]
    assert 0 < waits[-1] <= 0.5


def snapshot(name, version="v1", phase=EnginePhase.SERVING, running=0):
    return EngineSnapshot(name, "m", version, phase, running)


def test_rollout_holds_limited_number_and_leaves_one_serving():
    engines = [snapshot(name) for name in "abcd"]
    orders = next_orders(engines, {"m": "v2"}, 2)
    assert orders == [Order("a", OrderKind.HOLD), Order("b", OrderKind.HOLD)]
    assert len(next_orders(engines[:2], {"m": "v2"}, 2)) == 1
    assert len(next_orders(engines[:1], {"m": "v2"}, 2)) == 1


def test_rollout_loads_only_idle_engine_and_serves_only_new_version():
    held = snapshot("a", phase=EnginePhase.HELD, running=3)
    others = [snapshot("b", "v2")]
    assert next_orders([held, *others], {"m": "v2"}, 1) == []
    empty = snapshot("a", phase=EnginePhase.HELD)
    assert next_orders([empty, *others], {"m": "v2"}, 1) == [
        Order("a", OrderKind.LOAD_WEIGHTS, "v2")
    ]
    loaded = snapshot("a", "v2", EnginePhase.HELD)
    assert next_orders([loaded, *others], {"m": "v2"}, 1) == [Order("a", OrderKind.SERVE)]
    loading = snapshot("a", phase=EnginePhase.LOADING)
    assert next_orders([loading, *others], {"m": "v2"}, 1) == []
    assert next_orders([snapshot("a", phase=EnginePhase.LEAVING)], {"m": "v2"}, 1) == []


def test_frames_round_trip_and_invalid_frames_are_rejected():
    frame = encode_frame({"a": 1})
    assert frame == b'7:{"a":1},'
    assert decode_frame(frame, dict) == {"a": 1}
    for bad in (b"", b"7", b'7:{"a":1}', b'7:{"a":1}x', b"x:1,", b"99999999999:1,", frame * 2):
        with pytest.raises(FrameError):
            decode_frame(bad, dict)
    with pytest.raises(DocumentError, match="Expected `array`, got `object`"):
        decode_frame(frame, list)
