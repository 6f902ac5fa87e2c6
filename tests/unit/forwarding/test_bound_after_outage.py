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
from wheelslip.forwarding.settings import BoundsSection
from wheelslip.platform.registry import PlatformRegistry

BOUNDS = BoundsSection(weights_deadline_ms=8000)
NAMED_AT = 120.0
PASSED_AT = 128.0


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


def fail(registry, clock, first, last):
    """Have a call fail each half second."""
    moment = first
    while moment <= last:
        clock.now = moment
        registry.record_failed_call(moment)
        moment += 0.5


def regain(registry, clock, moment):
    clock.now = moment
    registry.health.note_answered(moment, moment)
    registry.confirm(moment)


def test_expired_deadline_stays_expired(registry, clock):
    registry.confirm(130.0)
    fail(registry, clock, 131.0, 134.0)
    assert registry.start_deadline("m", 1) == PASSED_AT
    regain(registry, clock, 134.5)
    assert registry.start_deadline("m", 1) == PASSED_AT


def test_outage_before_the_deadline_restarts_it(registry, clock):
    registry.confirm(124.0)
    fail(registry, clock, 125.0, 131.0)
    regain(registry, clock, 131.5)
    assert registry.start_deadline("m", 1) == 131.0 + 8.0


def test_each_outage_before_the_deadline_restarts_it(registry, clock):
    fail(registry, clock, 123.0, 125.0)
    regain(registry, clock, 125.5)
    fail(registry, clock, 129.0, 131.0)
    regain(registry, clock, 131.5)
    assert registry.start_deadline("m", 1) == 131.0 + 8.0
    registry.confirm(140.0)
    fail(registry, clock, 141.0, 143.0)
    assert registry.start_deadline("m", 1) == 131.0 + 8.0


def test_calls_failing_at_one_node_leave_a_restarted_deadline_unchanged(registry, clock):
    fail(registry, clock, 123.0, 125.0)
    regain(registry, clock, 125.5)
    fail(registry, clock, 126.0, 127.5)
    registry.confirm(127.7)
    fail(registry, clock, 128.0, 130.0)
    assert registry.health.outage_at == 125.0
    assert registry.start_deadline("m", 1) == 125.0 + 8.0


def test_version_named_after_an_outage_has_its_own_deadline(registry, clock):
    fail(registry, clock, 131.0, 133.0)
    regain(registry, clock, 134.0)
    name_weights(registry, 3)
    assert registry.start_deadline("m", 1) == PASSED_AT
    assert registry.start_deadline("m", 2) == 134.0 + 8.0
