"""Cached state of a dead engine, another tenant or older weights is never used."""

import hashlib

import yaml

from standins.cluster import wait_until
from tests.probe.callers import Callers, chat_body, send
from tests.probe.judge import assert_cache_is_isolated

LONG = "A stadium's weekend log. " * 200


def served_or_refused(cluster, name: str) -> bool:
    """Send a request; return whether it was served. Any refusal must be reported as not run."""
    outcome = send(cluster, "node-1", chat_body(name, prefix=LONG))
    assert outcome.is_complete or outcome.error["run_state"] == "not_run", outcome
    return outcome.is_complete


def test_restarted_engine_refuses_its_old_incarnation_and_is_discovered(make_cluster):
    """The engine restarts while the node still routes to its old incarnation."""
    cluster = make_cluster(engines=1, nodes=1)
    assert send(cluster, "node-1", chat_body("warm", prefix=LONG)).is_complete
    cluster.processes["engine-1"].kill()
    cluster.start_engine("engine-1")
    cluster.wait_http(f"http://{cluster.host('engine-1')}:7000/status")
    # A node that has detected the failure but not the new engine refuses with "not run".
    wait_until(lambda: served_or_refused(cluster, "n0"), "the new engine serves")
    outcomes = [send(cluster, "node-1", chat_body(f"n{n}", prefix=LONG)) for n in range(1, 3)]
    assert all(outcome.is_complete for outcome in outcomes), outcomes
    assert_cache_is_isolated(cluster)
    assert len(cluster.runs("started")) == 4
    incarnations = [run["incarnation"] for run in cluster.runs("started")]
    assert len(set(incarnations)) == 2
    first_after_restart = cluster.runs("started")[1]
    assert first_after_restart["cached_tokens"] == 0


def test_weights_changed_before_arrival_do_not_use_the_old_cache(make_cluster):
    """Engines keep their cache across a weights update; only the salt separates the versions."""
    cluster = make_cluster(engines=1, nodes=1)
    assert send(cluster, "node-1", chat_body("old", prefix=LONG)).is_complete
    # Swap the weights without informing the nodes, so the next request still expects v1. The
    # high token fences off the placement controller, which would restore v1.
    order = {"fencing_token": 10**9, "action": "swap_weights", "weights_version": "v2"}
    assert cluster.order_engine("engine-1", order) == 200
    outcomes = [send(cluster, "node-1", chat_body(f"new{n}", prefix=LONG)) for n in range(3)]
    assert all(outcome.is_complete for outcome in outcomes)
    assert {run["weights_version"] for run in cluster.runs("started")} == {"v1", "v2"}
    assert_cache_is_isolated(cluster)


def test_tenants_with_identical_prompts_do_not_share_cached_state(make_cluster, tmp_path):
    cluster = make_cluster(engines=1, nodes=1)
    tenant = {
        "kind": "Tenant",
        "metadata": {"name": "other-desk"},
        "spec": {"key_hashes": ["sha256:" + hashlib.sha256(b"other-key").hexdigest()]},
    }
    path = tmp_path / "other.yaml"
    path.write_text(yaml.safe_dump(tenant))
    cluster.apply("node-1", str(path))
    body = chat_body("same", prefix=LONG, stream=False)
    own = [send(cluster, "node-1", body), send(cluster, "node-1", body)]
    other = send(cluster, "node-1", body, key="other-key")
    assert own[1].usage["prompt_tokens_details"]["cached_tokens"] > 0
    assert other.is_complete and other.usage["prompt_tokens_details"]["cached_tokens"] == 0
    assert_cache_is_isolated(cluster)


def all_nodes_serve_by(cluster, name) -> bool:
    """Return whether both nodes list the current incarnation of an engine as serving."""
    url = f"http://{cluster.host(name)}:7000/status"
    incarnation = cluster.http.request("GET", url).json()["incarnation"]
    return all(
        any(
            engine["incarnation"] == incarnation and engine["state"] == "serving"
            for engine in cluster.status(node)["engines"]
        )
        for node in ("node-1", "node-2")
    )


def test_replaced_engines_under_load_never_use_old_state(make_cluster):
    cluster = make_cluster(engines=2, nodes=2)
    callers = Callers(cluster)
    for round_number in range(4):
        for n in range(10):
            callers.start(f"node-{n % 2 + 1}", prefix=LONG, tokens=4)
        name = f"engine-{round_number % 2 + 1}"
        cluster.processes[name].kill()
        cluster.start_engine(name)
        cluster.wait_http(f"http://{cluster.host(name)}:7000/status")
        # Kill the next engine only after both nodes use this one, so that one is always up.
        wait_until(lambda engine=name: all_nodes_serve_by(cluster, engine), f"{name} is found")
    outcomes = callers.join()
    assert len(outcomes) == 40
    assert sum(outcome.is_complete for outcome in outcomes) >= 20
    wait_until(lambda: cluster.serving_engines("node-1") == 2, "both engines are back")
    assert_cache_is_isolated(cluster)
