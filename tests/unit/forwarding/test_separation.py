"""Which workers are for short requests."""

from wheelslip.routing.separation import PromptSeparation

WORKERS = [f"w{number}" for number in range(6)]


def test_nothing_is_set_aside_while_all_requests_are_of_one_length():
    separation = PromptSeparation()
    assert separation.short_workers(WORKERS) == frozenset()
    separation.record(0.3, True, 1.0)
    assert separation.short_workers(WORKERS) == frozenset()


def test_the_share_follows_the_reading_time_and_both_lengths_have_workers():
    for short_seconds in (0.001, 0.02, 0.3, 30.0):
        separation = PromptSeparation()
        for tick in range(100):
            separation.record(0.3, True, tick * 0.1)
            separation.record(short_seconds, False, tick * 0.1)
        assert 1 <= len(separation.short_workers(WORKERS)) <= len(WORKERS) - 1


def test_nodes_name_the_same_workers():
    first, second = PromptSeparation(), PromptSeparation()
    for tick in range(50):
        first.record(0.3, True, tick * 0.1)
        first.record(0.02, False, tick * 0.1)
        second.record(0.31, True, tick * 0.13)
        second.record(0.021, False, tick * 0.13)
    assert first.short_workers(WORKERS) == second.short_workers(list(reversed(WORKERS)))


def test_workers_that_are_to_be_taken_last_get_short_requests_only_when_others_lack():
    separation = PromptSeparation()
    for tick in range(100):
        separation.record(0.3, True, tick * 0.1)
        separation.record(0.15, False, tick * 0.1)
    usual = separation.short_workers(WORKERS)
    others = [one for one in WORKERS if one not in usual]
    assert separation.short_workers(WORKERS, last=usual) == frozenset(others)
    assert separation.short_workers(WORKERS, last=WORKERS) == usual
    mixed = separation.short_workers(WORKERS, last=[*others, *sorted(usual)[:1]])
    assert set(sorted(usual)[1:]) < mixed and len(mixed) == len(usual)
