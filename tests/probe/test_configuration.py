"""An accepted configuration takes effect in every zone and never reverts."""

import json
import threading
import time

import pytest
import yaml

from standins.cluster import wait_until
from standins.fault_proxy import Fault

IN_FORCE_SECONDS = 11.0


@pytest.fixture
def workload_file(tmp_path):
    def _write(name, deadline):
        document = {
            "kind": "Workload",
            "metadata": {"name": name},
            "spec": {"model": "matcher", "class": "patient", "deadline_seconds": deadline},
        }
        path = tmp_path / f"{name}-{deadline}.yaml"
        path.write_text(yaml.safe_dump(document))
        return str(path)

    return _write


def objects(cluster, node):
    return cluster.http.request("GET", f"http://{cluster.operator_address(node)}/v1/objects").json()


def deadline_at(cluster, node, name):
    spec = objects(cluster, node)["objects"].get(f"Workload/{name}")
    return spec and spec["deadline_seconds"]


def apply_raw(cluster, node, name, deadline, expected, change_id):
    body = {
        "objects": {
            f"Workload/{name}": {
                "model": "matcher",
                "class": "patient",
                "deadline_seconds": deadline,
            }
        },
        "expected_revision": expected,
        "change_id": change_id,
    }
    return cluster.http.request(
        "POST", f"http://{cluster.operator_address(node)}/v1/apply", json=body, timeout=30
    )


class RevisionWatch:
    """Polls the revision in force of every node and records each decrease."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._stop = threading.Event()
        self.decreases = []
        self.reads = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        highest = {}
        while not self._stop.wait(0.05):
            for node in self._cluster.nodes:
                url = f"http://{self._cluster.caller_address(node)}/readyz"
                try:
                    response = self._cluster.http.request("GET", url, timeout=0.5)
                    revision = response.json().get("revision")
                except Exception:
                    continue
                if revision is None:
                    continue
                self.reads += 1
                if revision < highest.get(node, 0):
                    self.decreases.append((node, highest[node], revision))
                highest[node] = max(revision, highest.get(node, 0))

    def finish(self):
        self._stop.set()
        self._thread.join()
        assert self.reads > 0
        assert self.decreases == []


def test_concurrent_changes_have_one_winner_and_the_others_conflict(make_cluster):
    cluster = make_cluster(engines=1, nodes=3)
    watch = RevisionWatch(cluster)
    for round_number in range(5):
        expected = objects(cluster, "node-1")["revision"]
        for node in cluster.nodes:
            wait_until(
                lambda node=node, expected=expected: objects(cluster, node)["revision"] == expected,
                "nodes agree",
            )
        responses = {}

        def race(node, round_number=round_number, expected=expected, responses=responses):
            deadline = round_number * 10 + int(node[-1])
            change = f"change-{round_number}-{node}"
            responses[node] = apply_raw(cluster, node, "raced", deadline, expected, change)

        threads = [threading.Thread(target=race, args=(node,)) for node in cluster.nodes]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        accepted = [node for node, response in responses.items() if response.status == 200]
        refused = [node for node in responses if node not in accepted]
        assert len(accepted) == 1, {node: response.data for node, response in responses.items()}
        for node in refused:
            error = responses[node].json()["error"]
            assert error["code"] == "configuration_conflict"
            assert f"change-{round_number}-{accepted[0]}" in error["message"]
        accepted_deadline = round_number * 10 + int(accepted[0][-1])
        for node in cluster.nodes:
            wait_until(
                lambda node=node, accepted_deadline=accepted_deadline: (
                    deadline_at(cluster, node, "raced") == accepted_deadline
                ),
                f"the accepted change is in force at {node}",
                IN_FORCE_SECONDS,
            )
    watch.finish()


def test_change_with_a_lost_response_is_reported_as_accepted(make_cluster):
    cluster = make_cluster(engines=1, nodes=2)
    proxy = cluster.key_value_proxies["node-1"]
    expected = objects(cluster, "node-1")["revision"]
    proxy.match = b"/v3/kv/txn"
    proxy.fault = Fault.LOSE_ANSWER
    responses = []
    operator = threading.Thread(
        target=lambda: responses.append(apply_raw(cluster, "node-1", "lost", 7, expected, "lost-1"))
    )
    operator.start()
    wait_until(lambda: proxy.dropped_responses >= 1, "the response is lost")
    proxy.fault = Fault.PASS
    operator.join(30)
    (response,) = responses
    assert response.status == 200, response.data
    assert response.json()["outcome"] == "accepted"
    retried = apply_raw(cluster, "node-1", "lost", 7, expected, "lost-1")
    assert retried.status == 200 or retried.json()["error"]["code"] == "configuration_conflict"
    wait_until(lambda: deadline_at(cluster, "node-2", "lost") == 7, "in force", IN_FORCE_SECONDS)


def test_unknown_outcome_is_reported_and_resolved_by_the_change_id(make_cluster):
    cluster = make_cluster(engines=1, nodes=2)
    proxy = cluster.key_value_proxies["node-1"]
    expected = objects(cluster, "node-1")["revision"]
    proxy.match = b"/v3/kv/txn"
    proxy.fault = Fault.LOSE_ANSWER
    response = apply_raw(cluster, "node-1", "unknown", 7, expected, "unknown-1")
    # Only transaction responses are lost: reading the head resolves the outcome.
    assert response.status == 200 and response.json()["outcome"] == "accepted", response.data
    proxy.match = b""
    expected = objects(cluster, "node-1")["revision"]
    proxy.fault = Fault.PASS
    second = []
    operator = threading.Thread(
        target=lambda: second.append(apply_raw(cluster, "node-1", "unknown", 8, expected, "u-2"))
    )
    proxy.match = b"/v3/kv/txn"
    proxy.fault = Fault.LOSE_ANSWER
    lost_before = proxy.dropped_responses
    operator.start()
    wait_until(lambda: proxy.dropped_responses > lost_before, "the response is lost")
    proxy.fault = Fault.BLACKHOLE
    operator.join(60)
    assert second[0].json()["error"]["code"] == "configuration_outcome_unknown", second[0].data
    proxy.fault = Fault.PASS
    resolved = apply_raw(cluster, "node-2", "unknown", 8, expected, "u-2")
    assert resolved.status == 200, resolved.data
    for node in cluster.nodes:
        wait_until(lambda node=node: deadline_at(cluster, node, "unknown") == 8, "in force", 11.0)


def test_accepted_change_survives_service_outage_and_kill_of_the_accepting_node(
    make_cluster, workload_file
):
    cluster = make_cluster(engines=1, nodes=3)
    watch = RevisionWatch(cluster)
    cluster.apply("node-1", workload_file("kept", 9), "--wait", "0")
    for proxy in cluster.key_value_proxies.values():
        proxy.fault = Fault.REFUSE
    cluster.processes["node-1"].kill()
    cluster.start_node("node-1")
    for node in cluster.nodes:
        wait_until(
            lambda node=node: ready(cluster, node) and deadline_at(cluster, node, "kept") == 9,
            f"{node} has the accepted change without the service",
            IN_FORCE_SECONDS,
        )
    watch.finish()


def ready(cluster, node):
    try:
        url = f"http://{cluster.caller_address(node)}/readyz"
        return cluster.http.request("GET", url, timeout=1).status == 200
    except Exception:
        return False


def test_partitioned_zone_receives_changes_from_peers_after_healing(make_cluster, workload_file):
    cluster = make_cluster(engines=1, nodes=3)
    watch = RevisionWatch(cluster)
    isolated = "node-3"
    others = {cluster.host(node) for node in cluster.nodes if node != isolated}
    cluster.peer_proxies[isolated].blocked_sources = others
    for node in ("node-1", "node-2"):
        cluster.peer_proxies[node].blocked_sources = {cluster.host(isolated)}
    cluster.key_value_proxies[isolated].fault = Fault.REFUSE
    time.sleep(0.5)
    cluster.apply("node-1", workload_file("cut", 5), "--wait", "0")
    wait_until(lambda: deadline_at(cluster, "node-2", "cut") == 5, "in force", IN_FORCE_SECONDS)
    assert deadline_at(cluster, isolated, "cut") is None
    for proxy in cluster.peer_proxies.values():
        proxy.blocked_sources = set()
    wait_until(
        lambda: deadline_at(cluster, isolated, "cut") == 5,
        "the healed zone has the change without the service",
        IN_FORCE_SECONDS + 10,
    )
    watch.finish()


def test_paused_node_catches_up_after_several_changes_and_a_compaction(make_cluster, workload_file):
    cluster = make_cluster(engines=1, nodes=2)
    watch = RevisionWatch(cluster)
    cluster.processes["node-2"].pause()
    for n in range(4):
        cluster.apply("node-1", workload_file("many", 20 + n), "--wait", "0")
    cluster.control_key_value({"compact": True})
    cluster.processes["node-2"].resume()
    wait_until(lambda: deadline_at(cluster, "node-2", "many") == 23, "in force", 20)
    watch.finish()


def test_watch_that_misses_events_is_recovered(make_cluster, workload_file):
    """The watch of node-2 stalls while changes are accepted and the store is compacted."""
    cluster = make_cluster(engines=1, nodes=2)
    for n in range(3):
        for proxy in cluster.key_value_proxies.values():
            proxy.fault = Fault.PASS
        cluster.apply("node-1", workload_file("gap", 30 + n), "--wait", "0")
        cluster.key_value_proxies["node-2"].fault = Fault.BLACKHOLE_TO_CLIENT
        cluster.control_key_value({"compact": True})
        time.sleep(0.3)
    cluster.key_value_proxies["node-2"].fault = Fault.PASS
    for node in cluster.nodes:
        wait_until(
            lambda node=node: deadline_at(cluster, node, "gap") == 32, "in force", IN_FORCE_SECONDS
        )


def test_node_that_boots_with_a_stale_peer_uses_the_higher_revision(make_cluster, workload_file):
    """node-3 missed a change; node-2 restarts while the key-value service is unreachable."""
    cluster = make_cluster(engines=1, nodes=3)
    watch = RevisionWatch(cluster)
    stale = objects(cluster, "node-3")["revision"]
    cluster.processes["node-3"].pause()
    cluster.apply("node-1", workload_file("fresh", 6), "--wait", "0")
    for proxy in cluster.key_value_proxies.values():
        proxy.fault = Fault.REFUSE
    wait_until(lambda: deadline_at(cluster, "node-2", "fresh") == 6, "in force", 11)
    cluster.processes["node-2"].kill()
    cluster.processes["node-3"].resume()
    cluster.start_node("node-2")
    wait_until(lambda: ready(cluster, "node-2"), "node-2 serves")
    assert objects(cluster, "node-2")["revision"] > stale
    watch.finish()


def test_apply_is_idempotent_and_rejects_invalid_objects_atomically(make_cluster, tmp_path):
    cluster = make_cluster(engines=1, nodes=1)
    before = objects(cluster, "node-1")["revision"]
    assert "unchanged" in cluster.apply("node-1", "examples/thibodeau")
    assert objects(cluster, "node-1")["revision"] == before
    bad = tmp_path / "bad.yaml"
    bad.write_text(
        "kind: Workload\nmetadata: {name: good}\n"
        "spec: {model: matcher, class: patient, deadline_seconds: 1}\n---\n"
        "kind: Workload\nmetadata: {name: dangling}\n"
        "spec: {model: nowhere, class: patient, deadline_seconds: 1}\n"
    )
    output = cluster.apply("node-1", str(bad), expect=1)
    assert "Workload/dangling" in output and "spec.model" in output and "nowhere" in output
    assert "Workload/good" not in objects(cluster, "node-1")["objects"]
    shown = json.loads(
        cluster.command(
            "get", "Tenant", "--node", cluster.operator_address("node-1"), "--output", "json"
        )
    )
    assert list(shown["objects"]) == ["Tenant/claims-desk"]
    conflict = cluster.apply("node-1", str(bad), "--expected-revision", "1", expect=1)
    assert "refused" in conflict
