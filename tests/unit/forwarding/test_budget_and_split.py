"""Retry window, smooth split, holdings."""

from wheelslip.routing.holdings import CachedParts, chain_of
from wheelslip.routing.retry_window import RetryWindow
from wheelslip.routing.split import SmoothSplit


def test_repeats_stay_under_the_ratio_in_every_window():
    window = RetryWindow(ratio=0.2, window_seconds=10.0)
    firsts, repeats = [], []
    for tick in range(4000):
        now = tick * 0.01
        if tick < 2000 or tick % 40 == 0:
            window.record_first(now)
            firsts.append(now)
        if window.take_repeat(now):
            repeats.append(now)
    for start in (0.0, 5.0, 12.0, 20.0, 24.0, 29.0):
        first = sum(start - 10 <= time < start + 10 for time in firsts)
        assert sum(start <= time < start + 10 for time in repeats) <= 0.2 * first


def test_a_node_without_traffic_has_no_reserve_to_spend():
    window = RetryWindow(ratio=0.2, window_seconds=10.0)
    window.record_first(0.0)
    assert not window.take_repeat(0.0)


def test_every_run_of_choices_has_the_weights_shares():
    split = SmoothSplit()
    chosen = [split.choose({"new": 10, "old": 90}) for _ in range(200)]
    for start in range(0, 200, 10):
        assert chosen[start : start + 10].count("new") == 1


def test_a_part_of_weight_nought_is_never_chosen():
    split = SmoothSplit()
    assert {split.choose({"a": 0, "b": 1}) for _ in range(5)} == {"b"}
    assert split.choose({"a": 0}) is None


def test_a_part_counts_only_with_every_part_before_it():
    holdings = CachedParts(capacity_tokens=1000)
    chain = chain_of("salt", (("a", 100), ("b", 200), ("c", 50)))
    holdings.record(chain)
    assert holdings.cached_tokens(chain) == 350
    assert holdings.cached_tokens(chain_of("other", (("a", 100),))) == 0
    assert holdings.cached_tokens(chain_of("salt", (("b", 200),))) == 0


def test_the_parts_unused_longest_give_way_and_the_last_before_the_first():
    holdings = CachedParts(capacity_tokens=300)
    first = chain_of("salt", (("a", 100), ("b", 100)))
    holdings.record(first)
    holdings.record(chain_of("salt", (("c", 200),)))
    assert holdings.cached_tokens(first) == 100
