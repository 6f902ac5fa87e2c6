"""The client of the store gives up on a silent watch while an engine that leaves may still be used.

A node that the store leaves without an answer, while it serves the others, waited 2.1 s for its watch. Only
then did it ask another node, and an engine that had left just after the watch was sent could get requests
until then, where 2 s are allowed.
"""

import asyncio

from wheelslip.forwarding.registry_sync import WATCH_TIMEOUT_SECONDS
from wheelslip.forwarding.settings import BoundsSection
from wheelslip.platform.store import PlatformStore

POLL_OF_A_PEER_SECONDS = 0.5


class RecordingStore(PlatformStore):
    """Answers each call at once; keeps how long it would have waited."""

    def __init__(self):
        super().__init__(lambda: "127.0.0.1:9")
        self.waits: list[float] = []

    async def _exchange(self, method, target, body, seconds):
        self.waits.append(seconds)
        return 200, b'{"changes": [], "at": 7}'


def test_a_silent_watch_ends_before_an_engine_that_leaves_may_not_be_used():
    store = RecordingStore()
    batch = asyncio.run(store.watch("", 7, WATCH_TIMEOUT_SECONDS))
    assert batch.revision == 7
    (wait,) = store.waits
    assert (
        WATCH_TIMEOUT_SECONDS
        < wait
        < BoundsSection().worker_drain_ms / 1000 - POLL_OF_A_PEER_SECONDS
    )
