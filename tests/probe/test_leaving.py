"""Promise 7: a back end that is leaving gets no new work after a few seconds."""

import threading
import time

import pytest

from tests.probe.callers import chat_body, send

LIMIT_SECONDS = 8.0
"""Generous bound on a busy machine; docs/MEASUREMENTS.md has the seconds measured."""


def leave_by_machine_list(cluster):
    cluster.control_machines({"states": {"engine-1": "leaving"}})


def leave_by_removal_from_the_list(cluster):
    cluster.control_machines({"machines": cluster.machines()[1:]})


def leave_by_the_engines_own_answer(cluster):
    cluster.control_machines({"freeze": True})
    assert cluster.order_engine("engine-1", {"fencing_token": 1, "action": "drain"}) == 200


def leave_by_operator_drain(cluster):
    cluster.control_machines({"freeze": True})
    cluster.command("drain", "engine-1", "--node", cluster.operators("node-3"))


@pytest.mark.parametrize(
    "leave",
    [
        leave_by_machine_list,
        leave_by_removal_from_the_list,
        leave_by_the_engines_own_answer,
        leave_by_operator_drain,
    ],
)
def test_leaving_engine_gets_no_new_work(make_cluster, leave):
    cluster = make_cluster(engines=3, nodes=3)
    incarnation = {one["name"]: one["incarnation"] for one in cluster.status("node-1")["engines"]}[
        "engine-1"
    ]
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
    before = at_engine(cluster, incarnation)
    leave(cluster)
    left_at = time.monotonic()
    time.sleep(LIMIT_SECONDS)
    settled = at_engine(cluster, incarnation)
    time.sleep(1.5)
    stop.set()
    for thread in threads:
        thread.join(30)
    assert before > 0 and time.monotonic() - left_at > LIMIT_SECONDS
    assert at_engine(cluster, incarnation) == settled
    assert [outcome for outcome in outcomes if not outcome.is_complete] == []
    for node in cluster.nodes:
        states = {one["name"]: one["state"] for one in cluster.status(node)["engines"]}
        assert states["engine-1"] == "leaving"


def at_engine(cluster, incarnation):
    return sum(run["incarnation"] == incarnation for run in cluster.runs("accepted"))
