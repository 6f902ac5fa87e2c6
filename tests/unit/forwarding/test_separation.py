"""Selection of workers for short requests."""

from wheelslip.routing.separation import PromptSeparation

WORKERS = [f"w{number}" for number in range(6)]


def test_no_workers_are_reserved_while_all_requests_have_the_same_length():
    separation = PromptSeparation()
    assert separation.short_workers(WORKERS) == frozenset()
    separation.record(0.3, True, 1.0)
    assert separation.short_workers(WORKERS) == frozenset()


def test_both_lengths_have_workers_for_every_share_of_prefill_time():
    for short_seconds in (0.001, 0.02, 0.3, 30.0):
        separation = PromptSeparation()
        for tick in range(100):
            separation.record(0.3, True, tick * 0.1)
            separation.record(short_seconds, False, tick * 0.1)
        assert 1 <= len(separation.short_workers(WORKERS)) <= len(WORKERS) - 1


def test_nodes_with_similar_traffic_select_the_same_workers():
    first, second = PromptSeparation(), PromptSeparation()
    for tick in range(50):
        first.record(0.3, True, tick * 0.1)
        first.record(0.02, False, tick * 0.1)
        second.record(0.31, True, tick * 0.13)
        second.record(0.021, False, tick * 0.13)
    assert first.short_workers(WORKERS) == second.short_workers(list(reversed(WORKERS)))


def test_fallback_workers_get_short_requests_only_when_there_are_not_enough_others():
    separation = PromptSeparation()
    for tick in range(100):
        separation.record(0.3, True, tick * 0.1)
        separation.record(0.15, False, tick * 0.1)
    default = separation.short_workers(WORKERS)
    others = [worker for worker in WORKERS if worker not in default]
    assert separation.short_workers(WORKERS, fallback=default) == frozenset(others)
    assert separation.short_workers(WORKERS, fallback=WORKERS) == default
    mixed = separation.short_workers(WORKERS, fallback=[*others, *sorted(default)[:1]])
    assert set(sorted(default)[1:]) < mixed and len(mixed) == len(default)
