"""Tests that an engine that is leaving receives no new requests after a few seconds."""

import threading
import time

import pytest

from tests.probe.callers import chat_body, send

DRAIN_LIMIT_SECONDS = 8.0
"""Time until all nodes have stopped sending requests to a leaving engine."""


def leave_by_machine_list(cluster):
    cluster.control_machines({"states": {"engine-1": "leaving"}})


def leave_by_removal_from_the_list(cluster):
    cluster.control_machines({"machines": cluster.machines()[1:]})


def leave_by_the_engines_own_answer(cluster):
    cluster.control_machines({"freeze": True})
    assert cluster.order_engine("engine-1", {"fencing_token": 1, "action": "drain"}) == 200


def leave_by_operator_drain(cluster):
    cluster.control_machines({"freeze": True})
    cluster.command("drain", "engine-1", "--node", cluster.operator_address("node-3"))


@pytest.mark.parametrize(
    "leave",
    [
        leave_by_machine_list,
        leave_by_removal_from_the_list,
        leave_by_the_engines_own_answer,
        leave_by_operator_drain,
    ],
)
def test_leaving_engine_gets_no_new_requests(make_cluster, leave):
    cluster = make_cluster(engines=3, nodes=3)
    incarnation = {
        engine["name"]: engine["incarnation"] for engine in cluster.status("node-1")["engines"]
    }["engine-1"]
    stop = threading.Event()
    outcomes = []

    def load(node):
        number = 0
        while not stop.is_set():
            number += 1
            outcomes.append(send(cluster, node, chat_body(f"{node}{number}", tokens=2)))

    threads = [
        threading.Thread(target=load, args=(node,), daemon=True)
        for node in cluster.nodes
        for _ in range(4)
    ]
    for thread in threads:
        thread.start()
    time.sleep(1.0)
    before = count_accepted_runs(cluster, incarnation)
    leave(cluster)
    leave_started_at = time.monotonic()
    time.sleep(DRAIN_LIMIT_SECONDS)
    after_drain = count_accepted_runs(cluster, incarnation)
    time.sleep(1.5)
    stop.set()
    for thread in threads:
        thread.join(30)
    assert before > 0 and time.monotonic() - leave_started_at > DRAIN_LIMIT_SECONDS
    assert count_accepted_runs(cluster, incarnation) == after_drain
    assert [outcome for outcome in outcomes if not outcome.is_complete] == []
    for node in cluster.nodes:
        states = {engine["name"]: engine["state"] for engine in cluster.status(node)["engines"]}
        assert states["engine-1"] == "leaving"


def count_accepted_runs(cluster, incarnation):
    return sum(run["incarnation"] == incarnation for run in cluster.runs("accepted"))
