"""Retry window, weighted round robin, and cached prompt parts."""

from wheelslip.forwarding_settings import BoundsSection
from wheelslip.routing.caches.holdings import CachedParts, chain_of
from wheelslip.routing.retry_window import RetryWindow
from wheelslip.routing.split import WeightedRoundRobin


def test_retries_stay_below_ratio_in_every_window():
    window = RetryWindow("s", lambda: BoundsSection(retry_ratio=0.2, retry_window_seconds=10.0))
    first_attempts, retries = [], []
    for tick in range(4000):
        now = tick * 0.01
        if tick < 2000 or tick % 40 == 0:
            window.record_first_attempt(now)
            first_attempts.append(now)
        retry = window.reserve(now)
        if retry is not None and retry.send(now):
            retries.append(now)
    for start in (0.0, 5.0, 12.0, 20.0, 24.0, 29.0):
        count = sum(start - 10 <= time < start + 10 for time in first_attempts)
        assert sum(start <= time < start + 10 for time in retries) <= 0.2 * count


def test_node_without_traffic_gets_no_retries():
    window = RetryWindow("s", lambda: BoundsSection(retry_ratio=0.2, retry_window_seconds=10.0))
    window.record_first_attempt(0.0)
    assert window.reserve(0.0) is None


def test_every_sequence_of_choices_follows_weights():
    split = WeightedRoundRobin()
    chosen = [split.choose({"new": 10, "old": 90}) for _ in range(200)]
    for start in range(0, 200, 10):
        assert chosen[start : start + 10].count("new") == 1


def test_zero_weight_is_never_chosen():
    split = WeightedRoundRobin()
    assert {split.choose({"a": 0, "b": 1}) for _ in range(5)} == {"b"}
    assert split.choose({"a": 0}) is None


def test_cached_tokens_require_complete_prefix():
    cached_parts = CachedParts(capacity_tokens=1000)
    chain = chain_of("salt", (("a", 100), ("b", 200), ("c", 50)))
    cached_parts.record(chain)
    assert cached_parts.cached_tokens(chain) == 350
    assert cached_parts.cached_tokens(chain_of("other", (("a", 100),))) == 0
    assert cached_parts.cached_tokens(chain_of("salt", (("b", 200),))) == 0


def test_least_recently_used_parts_are_evicted_last_part_first():
    cached_parts = CachedParts(capacity_tokens=300)
    first = chain_of("salt", (("a", 100), ("b", 100)))
    cached_parts.record(first)
    cached_parts.record(chain_of("salt", (("c", 200),)))
    assert cached_parts.cached_tokens(first) == 100
