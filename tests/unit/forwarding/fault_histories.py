"""Random fault histories of a fleet: kills, pauses, cuts, and restarts of many nodes at once."""

import os
from typing import TYPE_CHECKING

from hypothesis import strategies as st

if TYPE_CHECKING:
    from tests.unit.forwarding.test_tenant_limits import World

NODES = 20
MAX_EVENTS = 10
MAX_TICKS = 12
"""Ticks after one event. A window of 8 s has 32, so that it often contains several mass events."""

HISTORIES = int(os.environ.get("WHEELSLIP_HISTORIES", "60"))
"""Number of histories that each property test draws; set by ``make histories``."""

LOWER_NODES = st.one_of(st.integers(1, 4), st.integers(1, NODES - 1))
"""Size of the lower side of a cut or of a partial restart. The first nodes are the relays, so that
small sizes divide the relays."""

NODE = st.one_of(st.integers(0, 3), st.integers(0, NODES - 1))
"""One node, often a relay or the node that replaces one."""

MASS_EVENT = st.one_of(
    st.tuples(st.just("kill all"), st.just(0)),
    st.tuples(st.sampled_from(["restart lower", "restart upper"]), LOWER_NODES),
)

CUT = st.tuples(st.sampled_from(["cut", "cut one way"]), LOWER_NODES)

NODE_EVENT = st.tuples(st.sampled_from(["kill", "restart", "freeze", "wake", "stop"]), NODE)

HEAL = st.tuples(st.just("heal"), st.just(0))

EVENT = st.one_of(MASS_EVENT, CUT, NODE_EVENT, NODE_EVENT, HEAL)

HISTORY = st.lists(st.tuples(EVENT, st.integers(1, MAX_TICKS)), min_size=1, max_size=MAX_EVENTS)


def apply_fault(world: "World", kind: str, number: int) -> None:
    """Apply one event of a fault history."""
    match kind:
        case "kill":
            world.kill(number)
        case "restart":
            world.restart(number)
        case "freeze":
            world.frozen.add(number)
        case "wake":
            world.frozen.discard(number)
        case "cut" | "cut one way":
            world.partition(number, both_ways=kind == "cut")
        case "heal":
            world.cuts.clear()
        case "stop":
            world.nodes[number].votes.release()
        case "kill all" | "restart upper":
            world.kill_and_restart(range(number, NODES))
        case "restart lower":
            world.kill_and_restart(range(number))
