"""Requests that wait at their node while no dispatcher replies."""

import asyncio
from unittest.mock import AsyncMock, Mock

import pytest

from wheelslip.forwarding.local_queue import LocalQueue, StillWaiting
from wheelslip.routing.overload import Overloaded
from wheelslip.routing.placement import PlacementQuery
from wheelslip.routing.queue.service_queue import QueueRejected
from wheelslip.routing.queue.service_times import TimesByService
from wheelslip.routing.queue.waiting_request import QueuedQuery

QUEUED = QueuedQuery(PlacementQuery("s", patience_seconds=5.0), 0.0, 5.0)


def test_service_whose_requests_wait_at_their_node_is_short_of_workers():
    """The holder of the lease took workers out of service while its own callers waited."""
    now = 0.0
    records = Mock(start_capacity=Mock(return_value=4))
    queue = LocalQueue(records, TimesByService(), lambda: now)
    attempt = AsyncMock(side_effect=[Overloaded(0.0), "worker"])
    assert "s" not in queue.recent_waits
    assert asyncio.run(queue.start(QUEUED, attempt, lambda: None)) == "worker"
    assert "s" in queue.recent_waits and "other" not in queue.recent_waits
    now = 1.0
    assert "s" not in queue.recent_waits


@pytest.mark.parametrize(
    ("awaits_dispatcher", "ends"), [(True, {StillWaiting}), (False, {StillWaiting, QueueRejected})]
)
def test_requests_of_silent_dispatcher_are_rejected_only_if_all_workers_are_too_few(
    awaits_dispatcher, ends
):
    """The last requests of a burst were rejected as other nodes held the workers at its start."""
    records = Mock(
        start_capacity=Mock(return_value=1),
        total_capacity=Mock(return_value=12),
        is_limited_by_slots=Mock(return_value=True),
    )
    times = TimesByService()
    for _ in range(50):
        times["s"].record_request(0, 0.2, began_before=True)

    async def run():
        queue = LocalQueue(records, times, asyncio.get_running_loop().time)
        queue.awaits_dispatcher = awaits_dispatcher
        attempt = AsyncMock(side_effect=Overloaded(0.0))
        starts = (queue.start(QUEUED, attempt, lambda: None) for _ in range(50))
        return await asyncio.gather(*starts, return_exceptions=True)

    assert {type(outcome) for outcome in asyncio.run(run())} == ends


def test_requests_that_wait_at_their_node_are_not_rejected_when_all_workers_leave():
    """They were rejected by a rate without slots; their node waits for a worker instead."""
    records = Mock(start_capacity=Mock(return_value=4), has_worker=Mock(return_value=True))

    async def run():
        queue = LocalQueue(records, TimesByService(), asyncio.get_running_loop().time)
        attempt = AsyncMock(side_effect=Overloaded(0.0))
        starts = [queue.start(QUEUED, attempt, lambda: None) for _ in range(20)]
        waiting = asyncio.gather(*starts, return_exceptions=True)
        await asyncio.sleep(0.05)
        assert queue.waiting == 20
        records.has_worker.return_value = False
        records.start_capacity.return_value = 0
        outcomes = await waiting
        return outcomes, await queue.start(QUEUED, attempt, lambda: None)

    assert asyncio.run(run()) == ([None] * 20, None)
