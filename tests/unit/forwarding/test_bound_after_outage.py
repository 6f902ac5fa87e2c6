"""An outage of the store restarts a deadline for replaced weights only before it has expired."""

import json

import pytest

from wheelslip.forwarding_settings import BoundsSection
from wheelslip.platform.registry import PlatformRegistry
from wheelslip.registry.registry import Registry

BOUNDS = BoundsSection(weights_deadline_ms=8000)
NAMED_AT = 120.0
DEADLINE_AT = 128.0


@pytest.fixture
def registry(clock):
    """Return a view in which version 2 of a model was named at ``NAMED_AT``."""
    registry = Registry(PlatformRegistry(), lambda: BOUNDS, clock)
    clock.now = NAMED_AT
    registry.confirm(NAMED_AT)
    name_weights(registry, 2)
    return registry


def name_weights(registry, version):
    document = json.dumps({"model_id": "m", "version": version}).encode()
    registry.apply("op/version/m", document, version)


def fail_calls(registry, clock, first, last):
    """Record a failed call every half second."""
    sent_at = first
    while sent_at <= last:
        clock.now = sent_at
        registry.record_failed_call(sent_at)
        sent_at += 0.5


def answer_call(registry, clock, now):
    clock.now = now
    registry.health.record_answered(now, now)
    registry.confirm(now)


def test_expired_deadline_stays_expired(registry, clock):
    registry.confirm(130.0)
    fail_calls(registry, clock, 131.0, 134.0)
    assert registry.start_deadline("m", 1) == DEADLINE_AT
    answer_call(registry, clock, 134.5)
    assert registry.start_deadline("m", 1) == DEADLINE_AT


def test_outage_before_the_deadline_restarts_it(registry, clock):
    registry.confirm(124.0)
    fail_calls(registry, clock, 125.0, 131.0)
    answer_call(registry, clock, 131.5)
    assert registry.start_deadline("m", 1) == 131.0 + 8.0


def test_each_outage_before_the_deadline_restarts_it(registry, clock):
    fail_calls(registry, clock, 123.0, 125.0)
    answer_call(registry, clock, 125.5)
    fail_calls(registry, clock, 129.0, 131.0)
    answer_call(registry, clock, 131.5)
    assert registry.start_deadline("m", 1) == 131.0 + 8.0
    registry.confirm(140.0)
    fail_calls(registry, clock, 141.0, 143.0)
    assert registry.start_deadline("m", 1) == 131.0 + 8.0


def test_calls_failing_at_one_node_leave_a_restarted_deadline_unchanged(registry, clock):
    fail_calls(registry, clock, 123.0, 125.0)
    answer_call(registry, clock, 125.5)
    fail_calls(registry, clock, 126.0, 127.5)
    registry.confirm(127.7)
    fail_calls(registry, clock, 128.0, 130.0)
    assert registry.health.outage_at == 125.0
    assert registry.start_deadline("m", 1) == 125.0 + 8.0


def test_version_named_after_an_outage_has_its_own_deadline(registry, clock):
    fail_calls(registry, clock, 131.0, 133.0)
    answer_call(registry, clock, 134.0)
    name_weights(registry, 3)
    assert registry.start_deadline("m", 1) == DEADLINE_AT
    assert registry.start_deadline("m", 2) == 134.0 + 8.0
