"""A node that has just started tells others what has changed since a revision before its first view.

An engine left by removal while a follower could not read the store. The follower asked a peer that
had started after the removal and listed the store without the engine: among the changes since the
follower's revision the peer named no removal, for it had never known the engine. The follower took
itself for current from then on, and went on giving the engine requests for good, since no later
answer ever names that removal. A random history showed it in 12 steps: start, leave, a listing by
one node, a poll of it by the other; the engine's entry was still in use at revision 4 where the node was
current to revision 5, at which it had gone.
"""

import asyncio
import itertools
import random

import pytest

from standins.platform_worker import worker_entry
from wheelslip.forwarding.feed import FeedBatch, FeedPoll, FeedServer
from wheelslip.forwarding.registry import Registry
from wheelslip.forwarding.registry_sync import RegistrySync
from wheelslip.forwarding.settings import BoundsSection
from wheelslip.keyvalue.model import KeyValue, RangeResult
from wheelslip.platform.registry import PlatformRegistry
from wheelslip.routing.load_table import LoadTable

_ticks = itertools.count()


def clock() -> float:
    """Return a time that goes on, so that an answer without changes is not waited for."""
    return 100.0 + 0.05 * next(_ticks)


class Node:
    """A view, its reader and what answers polls from it."""

    def __init__(self):
        self.registry = Registry(PlatformRegistry(), BoundsSection, clock)
        self.sync = RegistrySync(None, self.registry, clock, random.Random(1))
        self.server = FeedServer(self.registry, LoadTable(), list, clock)

    def read_all(self, revision: int, *workers: str) -> None:
        """Read the whole store; its entries are all of revision 1."""
        entries = tuple(KeyValue(f"servers/{one}", worker_entry(), 1) for one in workers)
        self.sync._take_listing(RangeResult(revision, entries))
        self.registry.confirm(clock())

    def poll(self, other: "Node") -> FeedBatch:
        batch = asyncio.run(other.server.answer(FeedPoll(self.sync._after)))
        self.sync._take(batch, clock())
        return batch

    def in_use(self) -> list[str]:
        return sorted(one.info.id for one in self.registry.workers_of("s"))


@pytest.fixture
def follower():
    node = Node()
    node.read_all(5, "i-1", "i-2")
    return node


def test_a_removal_before_the_first_view_of_the_node_that_is_polled_is_learnt(follower):
    started = Node()
    started.read_all(7, "i-2")
    follower.poll(started)
    assert follower.in_use() == ["i-2"]


def test_a_removal_between_two_listings_of_the_node_that_is_polled_is_learnt(follower):
    """What was entered after its first listing and removed before its second it never knew."""
    reader = Node()
    reader.read_all(3, "i-2")
    reader.read_all(7, "i-2")
    follower.poll(reader)
    assert follower.in_use() == ["i-2"]


def test_a_node_that_polls_from_before_a_gap_gets_changes_alone(follower):
    """The reader lists anew whenever history is lost; a whole listing for all its followers each time
    would hold up its link."""
    reader = Node()
    reader.read_all(6, "i-1", "i-2")
    follower.poll(reader)
    reader.read_all(9, "i-2")
    assert not follower.poll(reader).is_snapshot
    assert follower.in_use() == ["i-2"]
