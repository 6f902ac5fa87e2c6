"""What a node learns from the holders' records: when a worker was last ordered."""

import msgspec
import pytest

from tests.unit.forwarding.test_holder import BOUNDS, Clock
from wheelslip.forwarding.holder import HOLDER_KEY, ROLLOUT_KEY
from wheelslip.forwarding.registry import Registry
from wheelslip.forwarding.rollout_record import RolloutRecord, RolloutView
from wheelslip.platform.registry import PlatformRegistry

NEVER = float("-inf")


class OwnEntries(Registry):
    """A registry whose own entries are set by hand."""

    def __init__(self, clock):
        super().__init__(PlatformRegistry(), lambda: BOUNDS, clock)
        self.entries = {}

    def system_entry(self, key):
        return self.entries.get(key)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def registry(clock):
    return OwnEntries(clock)


@pytest.fixture
def view(registry, clock):
    return RolloutView(registry, clock)


def hold(registry, view, token):
    registry.entries[HOLDER_KEY] = (b"n1/1", token) if token else None
    view.entry_changed(HOLDER_KEY)


def write(registry, view, record):
    registry.entries[ROLLOUT_KEY] = (msgspec.json.encode(record), 1)
    view.entry_changed(ROLLOUT_KEY)


def test_a_living_holder_may_order_until_now(registry, view, clock):
    hold(registry, view, 7)
    write(registry, view, RolloutRecord(7, ["i-1"]))
    clock.now += 5
    assert view.last_order("i-1") == clock.now
    assert view.last_order("i-2") == NEVER


def test_a_lost_holder_has_ordered_until_its_key_was_gone(registry, view, clock):
    hold(registry, view, 7)
    write(registry, view, RolloutRecord(7, ["i-1"]))
    clock.now += 5
    hold(registry, view, 0)
    gone_at = clock.now
    clock.now += 5
    hold(registry, view, 9)
    assert view.last_order("i-1") == gone_at


def test_a_worker_that_has_loaded_was_ordered_before_the_record_said_so(registry, view, clock):
    hold(registry, view, 7)
    write(registry, view, RolloutRecord(7, ["i-1"]))
    clock.now += 5
    write(registry, view, RolloutRecord(7, [], recent=["i-1"]))
    written_at = clock.now
    clock.now += 5
    hold(registry, view, 0)
    assert view.last_order("i-1") == written_at


def test_a_node_that_has_just_started_takes_the_latest_time_that_may_be(registry, view, clock):
    hold(registry, view, 9)
    write(registry, view, RolloutRecord(7, ["i-1"], recent=["i-2"]))
    seen_at = clock.now
    clock.now += 5
    assert view.last_order("i-1") == view.last_order("i-2") == seen_at
