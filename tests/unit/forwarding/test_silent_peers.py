"""A node whose call of the store was reset asks other nodes, and those are silent.

The store answers when it is asked again, and nothing has struck this node. It asked up to three peers, one
after the other and each for 1.0 s, before it looked again: 3.88 to 3.98 s after the call before, in which
it knew of no worker that left, where 2.0 s are allowed.
"""

import asyncio
import random
import time

import pytest

from wheelslip.forwarding.feed import FeedBatch, FeedClient, FeedPoll
from wheelslip.forwarding.registry import Registry
from wheelslip.forwarding.registry_sync import RegistrySync
from wheelslip.forwarding.settings import BoundsSection
from wheelslip.keyvalue.model import KeyValueUnavailable, WatchBatch
from wheelslip.platform.registry import PlatformRegistry
from wheelslip.wire import decode_payload, encode_frame, split_frame

SEEDS_THAT_ASK_THREE = (5, 6, 10)
DRAIN_SECONDS = BoundsSection().worker_drain_ms / 1000


class ResettingStore:
    """Resets one watch at the end of its wait, and answers the others."""

    def __init__(self):
        self.begun_at = []
        self.answered = asyncio.Event()

    async def watch(self, prefix, after, wait_seconds):
        self.begun_at.append(time.monotonic())
        if len(self.begun_at) > 1:
            self.answered.set()
        await asyncio.sleep(wait_seconds)
        if len(self.begun_at) > 1:
            return WatchBatch(after)
        raise KeyValueUnavailable("reset")


class OnlyRelay:
    """This node reads the store itself."""

    def token(self):
        return 1

    def node_to_follow(self):
        return None


async def seconds_until_the_next_call(seed: int) -> float:
    silent = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    address = "{}:{}".format(*silent.sockets[0].getsockname())
    registry = Registry(PlatformRegistry(), BoundsSection, time.monotonic)
    store = ResettingStore()
    sync = RegistrySync(
        store, registry, time.monotonic, random.Random(seed), OnlyRelay(), lambda: [address]
    )
    sync._advance(5)
    registry.confirm(time.monotonic())
    running = asyncio.create_task(sync.run())
    await store.answered.wait()
    running.cancel()
    silent.close()
    return store.begun_at[1] - store.begun_at[0]


@pytest.mark.parametrize("seed", SEEDS_THAT_ASK_THREE)
def test_silent_peers_do_not_keep_a_node_from_a_store_that_answers(seed):
    assert asyncio.run(seconds_until_the_next_call(seed)) < DRAIN_SECONDS


async def answer_after_one_given_up() -> FeedBatch:
    asked, may_answer = asyncio.Event(), asyncio.Event()

    async def answer_late(reader, writer):
        buffer = b""
        while data := await reader.read(1024):
            payload, buffer = split_frame(buffer + data)
            poll = decode_payload(payload, FeedPoll)
            asked.set()
            await may_answer.wait()
            writer.write(encode_frame(FeedBatch(poll.after, False, [], 0.0, None)))

    server = await asyncio.start_server(answer_late, "127.0.0.1", 0)
    address = "{}:{}".format(*server.sockets[0].getsockname())
    client = FeedClient()
    given_up = asyncio.create_task(client.poll(address, FeedPoll(5)))
    await asked.wait()
    given_up.cancel()
    await asyncio.wait({given_up})
    may_answer.set()
    try:
        return await client.poll(address, FeedPoll(8))
    finally:
        client.close()
        server.close()


def test_the_answer_to_a_poll_that_was_given_up_is_not_that_of_the_next():
    assert asyncio.run(answer_after_one_given_up()).at == 8
