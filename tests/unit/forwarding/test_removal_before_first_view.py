"""Removals before a node's first view must reach the followers that poll it.

Otherwise the follower would send requests to a removed worker indefinitely.
"""

import asyncio
import itertools
import random

import pytest

from standins.platform_worker import worker_entry
from wheelslip.forwarding.feed import FeedBatch, FeedPoll, FeedServer
from wheelslip.forwarding.registry_sync import RegistrySync
from wheelslip.forwarding_settings import BoundsSection
from wheelslip.keyvalue.model import KeyValue, RangeResult
from wheelslip.platform.registry import PlatformRegistry
from wheelslip.registry.registry import Registry
from wheelslip.routing.load_table import LoadTable

_ticks = itertools.count()


def clock() -> float:
    """Return an advancing time, so that a poll without changes is answered at once."""
    return 100.0 + 0.05 * next(_ticks)


class Node:
    """A view, its synchronization and its feed server."""

    def __init__(self):
        self.registry = Registry(PlatformRegistry(), BoundsSection, clock)
        self.sync = RegistrySync(None, self.registry, clock, random.Random(1))
        self.server = FeedServer(self.registry, LoadTable(), list, clock)

    def read_all(self, revision: int, *workers: str) -> None:
        """Apply a complete listing whose entries are all of revision 1."""
        entries = tuple(KeyValue(f"servers/{worker}", worker_entry(), 1) for worker in workers)
        self.sync._apply_listing(RangeResult(revision, entries))
        self.registry.confirm(clock())

    def poll(self, other: "Node") -> FeedBatch:
        batch = asyncio.run(other.server.reply(FeedPoll(self.sync._revision)))
        self.sync._apply_batch(batch, clock())
        return batch

    def in_use(self) -> list[str]:
        return sorted(worker.info.id for worker in self.registry.workers_of("s"))


@pytest.fixture
def follower():
    node = Node()
    node.read_all(5, "i-1", "i-2")
    return node


def test_removal_before_the_first_view_of_a_polled_node_is_applied(follower):
    started = Node()
    started.read_all(7, "i-2")
    follower.poll(started)
    assert follower.in_use() == ["i-2"]


def test_removal_between_two_listings_of_a_polled_node_is_applied(follower):
    """The polled node never saw an entry that was added and removed between its listings."""
    reader = Node()
    reader.read_all(3, "i-2")
    reader.read_all(7, "i-2")
    follower.poll(reader)
    assert follower.in_use() == ["i-2"]


def test_poll_from_a_revision_before_a_gap_returns_only_changes(follower):
    """Complete listings for all followers after each lost history would load the reader's link."""
    reader = Node()
    reader.read_all(6, "i-1", "i-2")
    follower.poll(reader)
    reader.read_all(9, "i-2")
    assert not follower.poll(reader).is_snapshot
    assert follower.in_use() == ["i-2"]
