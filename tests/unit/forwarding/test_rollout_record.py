"""Upper bound on the time of the last order to a worker, derived from the holders' records."""

import msgspec
import pytest

from tests.unit.forwarding.test_holder import BOUNDS, Clock
from wheelslip.forwarding.holder import HOLDER_KEY, ROLLOUT_KEY
from wheelslip.forwarding.rollout_record import RolloutRecord, RolloutView
from wheelslip.platform.registry import PlatformRegistry
from wheelslip.registry.registry import Registry

NEVER = float("-inf")


class StubRegistry(Registry):
    """Registry whose system entries are set directly."""

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
    return StubRegistry(clock)


@pytest.fixture
def view(registry, clock):
    return RolloutView(registry, clock)


def set_holder(registry, view, token):
    registry.entries[HOLDER_KEY] = (b"n1/1", token) if token else None
    view.entry_changed(HOLDER_KEY)


def write_record(registry, view, record):
    registry.entries[ROLLOUT_KEY] = (msgspec.json.encode(record), 1)
    view.entry_changed(ROLLOUT_KEY)


def test_current_holder_may_have_ordered_until_now(registry, view, clock):
    set_holder(registry, view, 7)
    write_record(registry, view, RolloutRecord(7, ["i-1"]))
    clock.now += 5
    assert view.latest_order_time("i-1") == clock.now
    assert view.latest_order_time("i-2") == NEVER


def test_lost_holder_may_have_ordered_until_its_key_was_removed(registry, view, clock):
    set_holder(registry, view, 7)
    write_record(registry, view, RolloutRecord(7, ["i-1"]))
    clock.now += 5
    set_holder(registry, view, 0)
    removed_at = clock.now
    clock.now += 5
    set_holder(registry, view, 9)
    assert view.latest_order_time("i-1") == removed_at


def test_loaded_worker_was_ordered_before_its_record_was_seen(registry, view, clock):
    set_holder(registry, view, 7)
    write_record(registry, view, RolloutRecord(7, ["i-1"]))
    clock.now += 5
    write_record(registry, view, RolloutRecord(7, [], recent=["i-1"]))
    written_at = clock.now
    clock.now += 5
    set_holder(registry, view, 0)
    assert view.latest_order_time("i-1") == written_at


def test_unseen_former_holder_may_have_ordered_until_its_record_was_seen(registry, view, clock):
    set_holder(registry, view, 9)
    write_record(registry, view, RolloutRecord(7, ["i-1"], recent=["i-2"]))
    seen_at = clock.now
    clock.now += 5
    assert view.latest_order_time("i-1") == view.latest_order_time("i-2") == seen_at
