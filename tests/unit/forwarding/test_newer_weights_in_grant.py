"""A grant names the weights version of its worker to a node that knows an older one."""

import asyncio
import json
import random
from unittest.mock import Mock

from standins.platform_worker import worker_entry
from wheelslip.deployment import PromptPart
from wheelslip.forwarding_settings import BoundsSection
from wheelslip.peers.dispatch_link import DispatchLink
from wheelslip.peers.dispatch_messages import QUERY, WorkerGrant
from wheelslip.peers.dispatcher_health import DispatcherHealth
from wheelslip.peers.queue_link import QueueLink
from wheelslip.platform.registry import PlatformRegistry
from wheelslip.registry.registry import Registry
from wheelslip.routing.placement import PlacementQuery
from wheelslip.routing.worker_choice import WorkerPlacement

DISPATCHER = "127.0.0.2:1"
PROFILE = {"capacity": 8, "kv_capacity": 100_000, "kv_token_bytes": 1000, "link_mbps": 1e6}


class Clock:
    now = 100.0

    def __call__(self) -> float:
        return self.now


class GrantingSocket:
    """Answers each query with a grant of a worker on a weights version."""

    def __init__(self, incarnation: str, version: int):
        self._incarnation, self._version = incarnation, version

    def register(self, kind, message_type, handle):
        self._handle = handle

    def send(self, address, kind, message):
        if kind == QUERY:
            grant = WorkerGrant(message.query_number, "d", self._incarnation, self._version)
            asyncio.get_running_loop().call_soon(self._handle, grant, address)


def make_registry(clock: Clock) -> Registry:
    """Return the view of a node that knows version 1 and the name of version 2, long overdue."""
    registry = Registry(PlatformRegistry(), BoundsSection, clock)
    document = {"version": 1, "services": [{"name": "s", "backend_engine": PROFILE}]}
    registry.apply("op/config", json.dumps(document).encode(), 1)
    registry.apply("servers/w", worker_entry(address="127.0.0.1:1", model="m"), 2)
    registry.apply("op/version/m", b'{"model_id":"m","version":2}', 3)
    clock.now += 60.0
    return registry


def make_link(registry: Registry, clock: Clock, version: int) -> DispatchLink:
    incarnation = next(iter(registry.workers))
    source = random.Random(1)
    socket, health = GrantingSocket(incarnation, version), DispatcherHealth(clock, source)
    queue = QueueLink(
        "127.0.0.1:9", socket, Mock(), lambda service: [], health, lambda *wait: None, clock
    )
    return DispatchLink(
        "n",
        "127.0.0.1:9",
        socket,
        None,
        WorkerPlacement(registry, clock, source),
        lambda service: [DISPATCHER],
        health,
        list,
        registry.notices.limits,
        lambda address: None,
        queue,
        clock,
    )


def test_node_with_outdated_weights_in_its_view_uses_the_grant_of_a_newer_version():
    """The node refused every grant, sent nothing and so never observed the newer version."""
    clock = Clock()
    registry = make_registry(clock)
    link = make_link(registry, clock, version=2)
    query = PlacementQuery("s", "s", "m", 100, 10, (PromptPart("aa", 100),))
    grant = asyncio.run(link.request_grant(query))
    assert grant.placement.weights_version == 2
    assert next(iter(registry.workers.values())).weights["m"] == 2
