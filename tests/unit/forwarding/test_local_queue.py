"""Requests that wait at their node while no dispatcher replies."""

import asyncio
from unittest.mock import AsyncMock, Mock

from wheelslip.forwarding.local_queue import LocalQueue
from wheelslip.routing.overload import Overloaded
from wheelslip.routing.placement import PlacementQuery
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
