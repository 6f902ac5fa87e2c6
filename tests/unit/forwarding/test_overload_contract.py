"""Contracts of a deployment that switch the parts for overload on."""

import msgspec
import pytest

from wheelslip.forwarding_settings import ForwardingSettings

NODE = {"name": "n", "zone": "z", "callers": "127.0.0.1:1", "readiness": "127.0.0.1:2"}


def settings_of(routing: dict, contracts: dict[str, bool]) -> ForwardingSettings:
    document = {"node": NODE, "store": {"address": "127.0.0.1:3"}}
    return msgspec.convert(
        document | {"routing": routing, "contracts": contracts}, ForwardingSettings
    )


@pytest.mark.parametrize(
    ("routing", "contracts", "is_on"),
    [
        ({}, {"a": True}, False),
        ({"overload_contract": "a"}, {"b": True}, False),
        ({"overload_contract": "a"}, {"a": True}, True),
        ({"queue": True, "learn_speeds": True}, {}, True),
    ],
)
def test_queue_and_learned_speeds_follow_the_contract(routing, contracts, is_on):
    """Deployments without the contract are served as before."""
    settings = settings_of(routing, contracts)
    assert settings.queues_requests is is_on
    assert settings.learns_speeds is is_on
