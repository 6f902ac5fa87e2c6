"""Order of the dispatchers of a service, and election delay of relays."""

import json
import random

from wheelslip.forwarding.relay import (
    MAX_ELECTION_DELAY_SECONDS,
    RELAY_PREFIX,
    RelayLease,
    election_delay_seconds,
)
from wheelslip.forwarding_settings import BoundsSection
from wheelslip.platform.registry import PlatformRegistry
from wheelslip.registry.registry import Registry

ADDRESSES = {f"z{number}": f"127.0.0.{number + 1}:1" for number in range(4)}
ENGINE = {"capacity": 8, "kv_capacity": 1000}


def relay_lease(relays: dict[str, int]) -> RelayLease:
    registry = Registry(PlatformRegistry(), BoundsSection, lambda: 0.0)
    services = [{"name": "a-plain"}, {"name": "b-model", "backend_engine": ENGINE}]
    document = {"version": 1, "services": services}
    registry.apply("op/config", json.dumps(document).encode(), 1)
    for zone, revision in relays.items():
        registry.apply(RELAY_PREFIX + zone, ADDRESSES[zone].encode(), revision)
    return RelayLease(
        "z1",
        ADDRESSES["z1"],
        None,
        registry,
        lambda: 1.0,
        lambda: 0.0,
        random.Random(1),
        lambda: 1000.0,
    )


def test_services_are_assigned_by_tenure_and_a_new_relay_takes_over_none():
    before = relay_lease({"z1": 9, "z2": 5, "z3": 7})
    assert before.dispatchers_of("b-model") == [ADDRESSES["z2"], ADDRESSES["z3"], ADDRESSES["z1"]]
    assert before.dispatchers_of("a-plain")[0] == ADDRESSES["z3"]
    after = relay_lease({"z0": 12, "z1": 9, "z2": 5, "z3": 7})
    assert after.dispatchers_of("b-model")[0] == ADDRESSES["z2"]
    assert after.dispatchers_of("a-plain")[0] == ADDRESSES["z3"]


def test_lost_relay_is_replaced_by_the_next():
    assert relay_lease({"z1": 9, "z3": 7}).dispatchers_of("b-model")[0] == ADDRESSES["z3"]
    assert relay_lease({}).dispatchers_of("b-model") == []


def test_election_delay_is_longer_for_slower_links():
    assert election_delay_seconds(1000.0) == election_delay_seconds(100.0) == 0.0
    assert (
        0.0
        < election_delay_seconds(50.0)
        < election_delay_seconds(5.0)
        < MAX_ELECTION_DELAY_SECONDS
    )
