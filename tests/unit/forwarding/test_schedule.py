"""When weights are loaded: in time, newest once, never all workers at a time."""

from wheelslip.weights.schedule import (
    WorkerWeights,
    loads_at_once,
    next_loads,
    rollout_begins,
)


def fleet(count: int, due: float | None, loading: int = 0) -> list[WorkerWeights]:
    return [WorkerWeights(f"w{one}", 1, due, one < loading) for one in range(count)]


def test_nothing_is_loaded_long_before_the_bound():
    assert next_loads(fleet(6, due=8.0), now=0.0, load_seconds=1.0) == []


def test_all_waves_end_before_the_bound():
    workers = fleet(9, due=8.0)
    begins = rollout_begins(workers, load_seconds=1.0)
    waves = -(-9 // loads_at_once(9))
    assert begins + waves * 1.0 < 8.0


def test_some_workers_always_serve_on():
    for count in range(2, 40):
        assert 1 <= loads_at_once(count) <= count - 1
    assert len(next_loads(fleet(6, due=0.0, loading=1), 100.0, 1.0)) == loads_at_once(6) - 1
    assert next_loads(fleet(6, due=0.0, loading=2), 100.0, 1.0) == []


def test_the_only_worker_is_loaded_too():
    assert next_loads(fleet(1, due=0.0), 100.0, 1.0) == ["w0"]


def test_workers_with_the_newest_version_are_left_alone():
    assert rollout_begins(fleet(4, due=None), 1.0) is None
    assert next_loads(fleet(4, due=None), 1e9, 1.0) == []


def test_the_earliest_bound_goes_first():
    workers = [WorkerWeights("late", 2, 9.0, False), WorkerWeights("soon", 1, 5.0, False)]
    assert next_loads(workers, 100.0, 1.0) == ["soon"]
