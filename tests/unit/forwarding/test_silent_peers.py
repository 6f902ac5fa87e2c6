"""Polls of unresponsive peers after a failed store call must not delay the next call."""

import asyncio
import random
import time

import pytest

from wheelslip.documents import decode_document
from wheelslip.forwarding.feed import FeedBatch, FeedClient, FeedPoll
from wheelslip.forwarding.registry_sync import RegistrySync
from wheelslip.forwarding_settings import BoundsSection
from wheelslip.keyvalue.model import KeyValueUnavailable, WatchBatch
from wheelslip.platform.registry import PlatformRegistry
from wheelslip.registry.registry import Registry
from wheelslip.wire import encode_frame, split_frame

SEEDS_POLLING_THREE_PEERS = (5, 6, 10)
DRAIN_SECONDS = BoundsSection().worker_drain_ms / 1000


class ResettingStore:
    """Resets the first watch at the end of its wait, and answers the others."""

    def __init__(self):
        self.started_at = []
        self.called_again = asyncio.Event()

    async def watch(self, prefix, after, wait_seconds):
        self.started_at.append(time.monotonic())
        if len(self.started_at) > 1:
            self.called_again.set()
        await asyncio.sleep(wait_seconds)
        if len(self.started_at) > 1:
            return WatchBatch(after)
        raise KeyValueUnavailable("reset")


class StoreReader:
    """Relay lease of a node that reads the store itself."""

    def token(self):
        return 1

    def node_to_follow(self):
        return None


async def seconds_until_next_call(seed: int) -> float:
    writers: list[asyncio.StreamWriter] = []
    silent = await asyncio.start_server(
        lambda reader, writer: writers.append(writer), "127.0.0.1", 0
    )
    address = "{}:{}".format(*silent.sockets[0].getsockname())
    registry = Registry(PlatformRegistry(), BoundsSection, time.monotonic)
    store = ResettingStore()
    sync = RegistrySync(
        store, registry, time.monotonic, random.Random(seed), StoreReader(), lambda: [address]
    )
    sync._advance(5)
    registry.confirm(time.monotonic())
    running = asyncio.create_task(sync.run())
    await store.called_again.wait()
    running.cancel()
    silent.close()
    for writer in writers:
        writer.close()
    return store.started_at[1] - store.started_at[0]


@pytest.mark.parametrize("seed", SEEDS_POLLING_THREE_PEERS)
def test_unresponsive_peers_do_not_delay_the_next_store_call(seed):
    assert asyncio.run(seconds_until_next_call(seed)) < DRAIN_SECONDS


async def response_after_cancelled_poll() -> FeedBatch:
    poll_received, may_answer = asyncio.Event(), asyncio.Event()

    async def answer_late(reader, writer):
        buffer = b""
        while data := await reader.read(1024):
            payload, buffer = split_frame(buffer + data)
            poll = decode_document(payload, FeedPoll)
            poll_received.set()
            await may_answer.wait()
            writer.write(encode_frame(FeedBatch(poll.after, False, [], 0.0, None)))

    server = await asyncio.start_server(answer_late, "127.0.0.1", 0)
    address = "{}:{}".format(*server.sockets[0].getsockname())
    client = FeedClient()
    cancelled = asyncio.create_task(client.poll(address, FeedPoll(5)))
    await poll_received.wait()
    cancelled.cancel()
    await asyncio.wait({cancelled})
    may_answer.set()
    try:
        return await client.poll(address, FeedPoll(8))
    finally:
        client.close()
        server.close()


def test_response_to_a_cancelled_poll_is_not_returned_by_the_next():
    assert asyncio.run(response_after_cancelled_poll()).revision == 8
