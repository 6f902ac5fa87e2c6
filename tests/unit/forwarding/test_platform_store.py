"""Timeout of an unanswered watch, which must leave time to poll a peer before the drain time of a
worker that departed after the watch was sent has passed."""

import asyncio

from wheelslip.forwarding.registry_sync import WATCH_TIMEOUT_SECONDS
from wheelslip.forwarding_settings import BoundsSection
from wheelslip.platform.store import PlatformStore

PEER_POLL_SECONDS = 0.5


class RecordingStore(PlatformStore):
    """Store client whose calls return immediately and record their timeout."""

    def __init__(self):
        super().__init__(lambda: "127.0.0.1:9")
        self.timeouts: list[float] = []

    async def _exchange(self, method, target, body, timeout_seconds):
        self.timeouts.append(timeout_seconds)
        return 200, b'{"changes": [], "at": 7}'


def test_unanswered_watch_times_out_before_the_drain_time_of_a_worker():
    store = RecordingStore()
    batch = asyncio.run(store.watch("", 7, WATCH_TIMEOUT_SECONDS))
    assert batch.revision == 7
    (timeout,) = store.timeouts
    assert (
        WATCH_TIMEOUT_SECONDS < timeout < BoundsSection().worker_drain_ms / 1000 - PEER_POLL_SECONDS
    )
