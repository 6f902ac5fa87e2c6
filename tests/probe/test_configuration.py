"""Promise 9: an accepted configuration is in force in every zone and never reverts."""

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
    """Reads every node's revision in force until stopped; it must never fall."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._stop = threading.Event()
        self.falls = []
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
                    self.falls.append((node, highest[node], revision))
                highest[node] = max(revision, highest.get(node, 0))

    def finish(self):
        self._stop.set()
        self._thread.join()
        assert self.reads > 0
        assert self.falls == []


def test_racing_operators_are_each_told_the_truth(make_cluster):
    cluster = make_cluster(engines=1, nodes=3)
    watch = RevisionWatch(cluster)
    for round_number in range(5):
        expected = objects(cluster, "node-1")["revision"]
        for node in cluster.nodes:
            wait_until(
                lambda node=node, expected=expected: objects(cluster, node)["revision"] == expected,
                "nodes agree",
            )
        answers = {}

        def race(node, round_number=round_number, expected=expected, answers=answers):
            deadline = round_number * 10 + int(node[-1])
            change = f"change-{round_number}-{node}"
            answers[node] = apply_raw(cluster, node, "raced", deadline, expected, change)

        threads = [threading.Thread(target=race, args=(node,)) for node in cluster.nodes]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        accepted = [node for node, answer in answers.items() if answer.status == 200]
        refused = [node for node in answers if node not in accepted]
        assert len(accepted) == 1, {node: answer.data for node, answer in answers.items()}
        for node in refused:
            error = answers[node].json()["error"]
            assert error["code"] == "configuration_conflict"
            assert f"change-{round_number}-{accepted[0]}" in error["message"]
        wanted = round_number * 10 + int(accepted[0][-1])
        for node in cluster.nodes:
            wait_until(
                lambda node=node, wanted=wanted: deadline_at(cluster, node, "raced") == wanted,
                f"the accepted change is in force at {node}",
                IN_FORCE_SECONDS,
            )
    watch.finish()


def test_answer_lost_after_the_change_took_effect(make_cluster):
    cluster = make_cluster(engines=1, nodes=2)
    proxy = cluster.key_value_proxies["node-1"]
    expected = objects(cluster, "node-1")["revision"]
    proxy.match = b"/v3/kv/txn"
    proxy.fault = Fault.LOSE_ANSWER
    answers = []
    operator = threading.Thread(
        target=lambda: answers.append(apply_raw(cluster, "node-1", "lost", 7, expected, "lost-1"))
    )
    operator.start()
    wait_until(lambda: proxy.dropped_responses >= 1, "the answer is lost")
    proxy.fault = Fault.PASS
    operator.join(30)
    (answer,) = answers
    assert answer.status == 200, answer.data
    assert answer.json()["outcome"] == "accepted"
    again = apply_raw(cluster, "node-1", "lost", 7, expected, "lost-1")
    assert again.status == 200 or again.json()["error"]["code"] == "configuration_conflict"
    wait_until(lambda: deadline_at(cluster, "node-2", "lost") == 7, "in force", IN_FORCE_SECONDS)


def test_unknown_outcome_is_told_as_unknown_and_resolved_by_its_change_id(make_cluster):
    cluster = make_cluster(engines=1, nodes=2)
    proxy = cluster.key_value_proxies["node-1"]
    expected = objects(cluster, "node-1")["revision"]
    proxy.match = b"/v3/kv/txn"
    proxy.fault = Fault.LOSE_ANSWER
    answer = apply_raw(cluster, "node-1", "unknown", 7, expected, "unknown-1")
    # Reading the head works throughout, so the truth is found out in spite of the losses.
    assert answer.status == 200 and answer.json()["outcome"] == "accepted", answer.data
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
    wait_until(lambda: proxy.dropped_responses > lost_before, "the answer is lost")
    proxy.fault = Fault.BLACKHOLE
    operator.join(60)
    assert second[0].json()["error"]["code"] == "configuration_outcome_unknown", second[0].data
    proxy.fault = Fault.PASS
    resolved = apply_raw(cluster, "node-2", "unknown", 8, expected, "u-2")
    assert resolved.status == 200, resolved.data
    for node in cluster.nodes:
        wait_until(lambda node=node: deadline_at(cluster, node, "unknown") == 8, "in force", 11.0)


def test_service_out_right_after_acceptance_and_acceptor_killed(make_cluster, workload_file):
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


def test_zone_cut_off_and_back(make_cluster, workload_file):
    cluster = make_cluster(engines=1, nodes=3)
    watch = RevisionWatch(cluster)
    cut_off = "node-3"
    others = {cluster.host(node) for node in cluster.nodes if node != cut_off}
    cluster.peer_proxies[cut_off].blocked_sources = others
    for node in ("node-1", "node-2"):
        cluster.peer_proxies[node].blocked_sources = {cluster.host(cut_off)}
    cluster.key_value_proxies[cut_off].fault = Fault.REFUSE
    time.sleep(0.5)
    cluster.apply("node-1", workload_file("cut", 5), "--wait", "0")
    wait_until(lambda: deadline_at(cluster, "node-2", "cut") == 5, "in force", IN_FORCE_SECONDS)
    assert deadline_at(cluster, cut_off, "cut") is None
    for proxy in cluster.peer_proxies.values():
        proxy.blocked_sources = set()
    wait_until(
        lambda: deadline_at(cluster, cut_off, "cut") == 5,
        "the zone that is back has the change, still without the service",
        IN_FORCE_SECONDS + 10,
    )
    watch.finish()


def test_node_paused_through_several_changes_and_a_compaction(make_cluster, workload_file):
    cluster = make_cluster(engines=1, nodes=2)
    watch = RevisionWatch(cluster)
    cluster.processes["node-2"].pause()
    for n in range(4):
        cluster.apply("node-1", workload_file("many", 20 + n), "--wait", "0")
    cluster.control_key_value({"compact": True})
    cluster.processes["node-2"].resume()
    wait_until(lambda: deadline_at(cluster, "node-2", "many") == 23, "in force", 20)
    watch.finish()


def test_watch_that_misses_events_is_noticed(make_cluster, workload_file):
    """Both nodes' watches are cut while changes are accepted by a third path."""
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


def test_node_booting_from_a_stale_peer_takes_the_higher_revision(make_cluster, workload_file):
    """node-3 is cut off and stale; node-2 restarts with the service down and asks both."""
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


def test_apply_is_idempotent_refused_whole_and_tells_every_problem(make_cluster, tmp_path):
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
