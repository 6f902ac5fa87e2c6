"""The bound on replaced weights when the store goes down after it has passed.

Version 2 was named 0.5 s into the traffic, and requests might begin on version 1 until 8.5 s. All
engines crashed, and came back at 14.2 s with version 1, as engines that restart do. The store had
been down from 11 to 14 s, so every node took the bound to begin anew at its last failed call:
requests began on version 1 up to 20.3 s after version 2 had been named, where 8 s are allowed.
The bound counts in one stretch without disruption of the store, and that stretch was over before the
outage. Only an outage that begins before the bound has passed moves it.
"""

import json

import pytest

from wheelslip.forwarding.registry import Registry
from wheelslip.forwarding.registry_sync import UNANSWERED_SECONDS
from wheelslip.forwarding.settings import BoundsSection
from wheelslip.platform.registry import PlatformRegistry

BOUNDS = BoundsSection(weights_deadline_ms=8000)
NAMED_AT = 120.0
PASSED_AT = 128.0


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def registry(clock):
    """A view in which version 2 of a model was named at ``NAMED_AT``."""
    registry = Registry(PlatformRegistry(), lambda: BOUNDS, clock)
    clock.now = NAMED_AT
    registry.confirm(NAMED_AT)
    name_weights(registry, 2)
    return registry


def name_weights(registry, version):
    document = json.dumps({"model_id": "m", "version": version}).encode()
    registry.apply("op/version/m", document, version)


def fail(registry, *moments):
    for moment in moments:
        registry.note_failed_call(moment, UNANSWERED_SECONDS)


def regain(registry, moment):
    registry.note_answered()
    registry.confirm(moment)


def test_a_bound_that_has_passed_stays_passed(registry):
    registry.confirm(130.0)
    fail(registry, 133.0, 134.0)
    assert registry.begins_until("m", 1) == PASSED_AT
    regain(registry, 134.5)
    assert registry.begins_until("m", 1) == PASSED_AT


def test_an_outage_that_begins_before_the_bound_moves_it(registry):
    registry.confirm(124.0)
    fail(registry, 127.0, 131.0)
    regain(registry, 131.5)
    assert registry.begins_until("m", 1) == 131.0 + 8.0


def test_outages_that_follow_each_other_within_the_bound_move_it_each_time(registry):
    fail(registry, 125.0)
    regain(registry, 125.5)
    fail(registry, 131.0)
    regain(registry, 131.5)
    assert registry.begins_until("m", 1) == 131.0 + 8.0
    registry.confirm(140.0)
    fail(registry, 143.0)
    assert registry.begins_until("m", 1) == 131.0 + 8.0


def test_an_outage_that_is_taken_back_leaves_the_bound_as_the_one_before_moved_it(registry):
    fail(registry, 125.0)
    regain(registry, 125.5)
    fail(registry, 131.0)
    registry.confirm(131.2)
    fail(registry, 131.5)
    assert registry.trouble_at == 125.0
    assert registry.begins_until("m", 1) == 125.0 + 8.0


def test_a_version_that_is_named_after_an_outage_has_its_own_bound(registry):
    fail(registry, 133.0)
    regain(registry, 134.0)
    name_weights(registry, 3)
    assert registry.begins_until("m", 1) == PASSED_AT
    assert registry.begins_until("m", 2) == 134.0 + 8.0
