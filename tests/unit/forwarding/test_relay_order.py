"""Who dispatches a service, as all nodes read it from the store alike."""

import json
import random

from wheelslip.forwarding.registry import Registry
from wheelslip.forwarding.relay import (
    GREATEST_HANDICAP_SECONDS,
    RELAY_PREFIX,
    RelayLease,
    handicap_seconds,
)
from wheelslip.forwarding.settings import BoundsSection
from wheelslip.platform.registry import PlatformRegistry

ENGINE = {"capacity": 8, "kv_capacity": 1000}


def lease_of(relays: dict[str, int]) -> RelayLease:
    view = Registry(PlatformRegistry(), BoundsSection, lambda: 0.0)
    services = [{"name": "a-plain"}, {"name": "b-model", "backend_engine": ENGINE}]
    document = {"version": 1, "services": services}
    view.apply("op/config", json.dumps(document).encode(), 1)
    for zone, revision in relays.items():
        view.apply(RELAY_PREFIX + zone, f"{zone}:1".encode(), revision)
    return RelayLease(
        "z1", "z1:1", None, view, lambda: 1.0, lambda: 0.0, random.Random(1), lambda: 1000.0
    )


def test_the_relay_longest_in_office_dispatches_the_models_and_a_new_one_takes_nothing_away():
    before = lease_of({"z1": 9, "z2": 5, "z3": 7})
    assert before.dispatchers_of("b-model") == ["z2:1", "z3:1", "z1:1"]
    assert before.dispatchers_of("a-plain")[0] == "z3:1"
    after = lease_of({"z0": 12, "z1": 9, "z2": 5, "z3": 7})
    assert after.dispatchers_of("b-model")[0] == "z2:1"
    assert after.dispatchers_of("a-plain")[0] == "z3:1"


def test_a_lost_relay_is_followed_by_the_next():
    assert lease_of({"z1": 9, "z3": 7}).dispatchers_of("b-model")[0] == "z3:1"
    assert lease_of({}).dispatchers_of("b-model") == []


def test_a_slow_link_lets_others_go_first():
    assert handicap_seconds(1000.0) == handicap_seconds(100.0) == 0.0
    assert 0.0 < handicap_seconds(50.0) < handicap_seconds(5.0) < GREATEST_HANDICAP_SECONDS
