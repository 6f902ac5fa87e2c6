"""Rollout of weights versions by fenced orders with limited concurrency."""

import threading
import time

import yaml

from standins.cluster import wait_until
from tests.probe.callers import chat_body, send
from tests.probe.judge import assert_cache_is_isolated, assert_own_and_complete


def model_file(tmp_path, version):
    document = {
        "kind": "Model",
        "metadata": {"name": "matcher"},
        "spec": {"pool": "matcher", "version": version, "replicas": 6},
    }
    path = tmp_path / f"model-{version}.yaml"
    path.write_text(yaml.safe_dump(document))
    return str(path)


def all_serve(cluster, node, version):
    engines = cluster.status(node)["engines"]
    return all(
        engine["weights_version"] == version and engine["state"] == "serving" for engine in engines
    )


def loads(cluster):
    return cluster.http.request("GET", f"http://{cluster.weight_store_address}/counts").json()


def test_new_version_is_rolled_out_under_load_without_losing_requests(make_cluster, tmp_path):
    cluster = make_cluster(engines=4, nodes=2)
    stop = threading.Event()
    outcomes = []

    def load(worker):
        number = 0
        while not stop.is_set():
            number += 1
            body = chat_body(f"{worker}-{number}", prefix="A long log. " * 200, tokens=10)
            outcomes.append(send(cluster, f"node-{worker % 2 + 1}", body))

    threads = [threading.Thread(target=load, args=(n,), daemon=True) for n in range(4)]
    for thread in threads:
        thread.start()
    cluster.apply("node-1", model_file(tmp_path, "v2"))
    for node in cluster.nodes:
        wait_until(lambda node=node: all_serve(cluster, node, "v2"), f"{node}: all serve v2", 60)
    stop.set()
    for thread in threads:
        thread.join(60)
    assert_own_and_complete(outcomes)
    assert all(outcome.is_complete for outcome in outcomes)
    assert_cache_is_isolated(cluster)
    assert loads(cluster)["most_at_once"] <= 2
    assert len(loads(cluster)["loads"]) == 4


def test_rollout_with_paused_controllers_loads_each_engine_once(make_cluster, tmp_path):
    """Guards against loading a version twice on an engine when the controller moves."""
    cluster = make_cluster(engines=4, nodes=3)
    cluster.apply("node-1", model_file(tmp_path, "v2"))
    for node in cluster.nodes:
        time.sleep(0.7)
        cluster.processes[node].pause()
        time.sleep(6.5)  # longer than the lease and the time to declare a node dead
        cluster.processes[node].resume()
    for node in cluster.nodes:
        wait_until(lambda node=node: all_serve(cluster, node, "v2"), f"{node}: all serve v2", 90)
    counted = loads(cluster)
    assert sorted(load["version"] for load in counted["loads"]) == ["v2"] * 4
    assert len({load["engine"] for load in counted["loads"]}) == 4
    assert counted["most_at_once"] <= 2
    tokens = {}
    for order in cluster.runs("order"):
        assert order["fencing_token"] >= tokens.get(order["incarnation"], 0)
        tokens[order["incarnation"]] = order["fencing_token"]


def test_order_with_a_lower_fencing_token_is_refused(make_cluster):
    cluster = make_cluster(engines=1, nodes=1)
    assert cluster.order_engine("engine-1", {"fencing_token": 900_000, "action": "hold"}) == 200
    assert cluster.order_engine("engine-1", {"fencing_token": 5, "action": "serve"}) == 409
