"""Schedule of weight loads: by the deadline, and never at all workers at the same time."""

import pytest

from wheelslip.weights.schedule import (
    SAFETY_MARGIN_SECONDS,
    WorkerWeights,
    concurrent_loads,
    next_loads,
)


def fleet(count: int, deadline: float | None, loading: int = 0) -> list[WorkerWeights]:
    return [WorkerWeights(f"w{index}", 1, deadline, index < loading) for index in range(count)]


def test_loads_start_immediately_when_the_deadline_is_distant():
    assert next_loads(fleet(6, deadline=60.0), now=0.0, load_seconds=1.0) == ["w0", "w1"]


def test_least_loaded_workers_load_first():
    workers = [WorkerWeights(f"w{index}", 1, 60.0, False, running=9 - index) for index in range(4)]
    assert next_loads(workers, now=0.0, load_seconds=1.0) == ["w3"]


@pytest.mark.parametrize("count", [1, 2, 3, 6, 9, 12, 24, 60, 120])
def test_rollout_ends_before_the_deadline(count):
    done: set[str] = set()
    loading: dict[str, float] = {}
    now = 0.0
    while len(done) < count:
        done |= {worker for worker, ends_at in loading.items() if ends_at <= now}
        loading = {worker: ends_at for worker, ends_at in loading.items() if ends_at > now}
        workers = [
            WorkerWeights(state.id, 1, None if state.id in done else 8.0, state.id in loading)
            for state in fleet(count, 8.0)
        ]
        for worker in next_loads(workers, now, load_seconds=1.3):
            loading[worker] = now + 1.3
        assert len(loading) <= max(1, count // 2)
        now += 0.1
    assert now < 8.0


def test_more_workers_load_concurrently_when_the_deadline_is_near():
    assert concurrent_loads(fleet(12, deadline=60.0), now=0.0, load_seconds=1.0) == 3
    assert concurrent_loads(fleet(12, deadline=5.0), now=0.0, load_seconds=1.0) == 4
    assert concurrent_loads(fleet(12, deadline=1.0), now=0.0, load_seconds=1.0) == 6


def test_loads_in_progress_count_as_concurrent_loads():
    assert len(next_loads(fleet(12, deadline=60.0, loading=1), 59.0, 1.0)) == 5
    assert next_loads(fleet(12, deadline=60.0, loading=6), 59.0, 1.0) == []


def test_single_worker_is_loaded():
    assert next_loads(fleet(1, deadline=0.0), 100.0, 1.0) == ["w0"]


def test_workers_with_the_newest_version_are_not_loaded():
    assert next_loads(fleet(4, deadline=None), 1e9, 1.0) == []


def test_worker_with_the_earliest_deadline_loads_first():
    workers = [WorkerWeights("late", 2, 9.0, False), WorkerWeights("soon", 1, 5.0, False)]
    assert next_loads(workers, 100.0, 1.0) == ["soon"]


def test_loads_are_deferred_by_a_backlog_but_not_past_the_deadline():
    workers = fleet(6, deadline=20.0)
    assert next_loads(workers, now=0.0, load_seconds=1.0, has_backlog=True) == []
    latest_start = 20.0 - SAFETY_MARGIN_SECONDS - 3 * 1.0
    assert next_loads(workers, now=latest_start - 0.1, load_seconds=1.0, has_backlog=True) == []
    assert next_loads(workers, now=latest_start + 0.1, load_seconds=1.0, has_backlog=True) == [
        "w0",
        "w1",
        "w2",
    ]
