"""A non-repeatable request runs at most once (guarantee 6)."""

import threading
import time

import pytest

from standins.cluster import wait_until
from standins.fault_proxy import Fault
from tests.probe.callers import Callers, chat_body, send
from tests.probe.judge import assert_at_most_once, assert_own_and_complete, prompt_digest


def notice_body(nonce, tokens=8):
    return chat_body(nonce, model="notice", tokens=tokens)


def key_headers(name, deadline="10"):
    return {"Idempotency-Key": name, "X-Deadline-Seconds": deadline}


def runs_of(cluster, nonce):
    digest = prompt_digest(nonce)
    return [run for run in cluster.runs("accepted") if run["base_prompt_digest"] == digest]


def send_until_final(cluster, node, nonce, headers, tokens=8, seconds=30.0):
    """Send a request repeatedly while its error permits a retry."""
    deadline = time.monotonic() + seconds
    while True:
        outcome = send(cluster, node, notice_body(nonce, tokens), headers)
        if outcome.is_complete or time.monotonic() > deadline:
            return outcome
        if outcome.error is not None and not outcome.error["retry"]:
            return outcome
        time.sleep(0.2)


def test_repeated_key_returns_stored_response(make_cluster):
    cluster = make_cluster(engines=2, nodes=2)
    first = send(cluster, "node-1", notice_body("kept"), key_headers("k"))
    repeated = send(cluster, "node-2", notice_body("kept"), key_headers("k"))
    plain = send(cluster, "node-2", notice_body("kept") | {"stream": False}, key_headers("k"))
    assert first.is_complete and repeated.is_complete and plain.is_complete
    assert len(runs_of(cluster, "kept")) == 1
    other = send(cluster, "node-1", notice_body("another body"), key_headers("k"))
    assert other.kind == "idempotency_key_reused"
    assert runs_of(cluster, "another body") == []


def test_concurrent_requests_with_same_key_run_once(make_cluster):
    cluster = make_cluster(engines=3, nodes=3)
    outcomes = []
    nonces = [f"race{n}" for n in range(10)]

    def call(node, nonce):
        outcomes.append(send_until_final(cluster, node, nonce, key_headers(nonce)))

    threads = [
        threading.Thread(target=call, args=(node, nonce))
        for nonce in nonces
        for node in cluster.nodes
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert_own_and_complete(outcomes)
    assert sum(outcome.is_complete for outcome in outcomes) == 30
    assert_at_most_once(cluster, nonces)


@pytest.mark.parametrize("kill_after_seconds", [0.0, 0.01, 0.03, 0.06, 0.12, 0.3])
def test_node_killed_during_claim_runs_request_once(make_cluster, kill_after_seconds):
    cluster = make_cluster(engines=2, nodes=2)
    nonces = [f"step{n}" for n in range(5)]
    callers = [
        threading.Thread(
            target=send,
            args=(cluster, "node-1", notice_body(nonce, 20), key_headers(nonce)),
            daemon=True,
        )
        for nonce in nonces
    ]
    for caller in callers:
        caller.start()
    time.sleep(kill_after_seconds)
    cluster.processes["node-1"].kill()
    outcomes = [
        send_until_final(cluster, "node-2", nonce, key_headers(nonce), tokens=20)
        for nonce in nonces
    ]
    assert all(outcome.is_complete for outcome in outcomes), outcomes
    assert_at_most_once(cluster, nonces)


def test_lost_replies_of_key_value_store_run_request_once(make_cluster):
    cluster = make_cluster(engines=2, nodes=2)
    proxy = cluster.key_value_proxies["node-1"]
    proxy.fault = Fault.LOSE_ANSWER
    callers = Callers(cluster)
    outcomes = []
    nonces = [f"lost{n}" for n in range(6)]

    def call(nonce):
        outcomes.append(send_until_final(cluster, "node-1", nonce, key_headers(nonce)))

    threads = [threading.Thread(target=call, args=(nonce,)) for nonce in nonces]
    for thread in threads:
        thread.start()
    wait_until(lambda: proxy.dropped_responses >= 6, "six replies are lost")
    proxy.fault = Fault.PASS
    for thread in threads:
        thread.join()
    assert all(outcome.is_complete for outcome in outcomes), outcomes
    assert callers.outcomes == []
    assert_at_most_once(cluster, nonces)


def test_attempt_arriving_after_takeover_is_refused(make_cluster):
    """The owner's request is delayed until after another node has taken the claim over."""
    cluster = make_cluster(engines=2, nodes=2)
    owner_host = cluster.host("node-1")
    for proxy in cluster.engine_proxies.values():
        proxy.held_sources = {owner_host}
    results = []
    owner = threading.Thread(
        target=lambda: results.append(
            send(cluster, "node-1", notice_body("held"), key_headers("held", "30"))
        )
    )
    owner.start()
    time.sleep(1.0)
    other = send_until_final(cluster, "node-2", "held", key_headers("held"))
    assert other.is_complete, other
    for proxy in cluster.engine_proxies.values():
        proxy.held_sources = set()
    owner.join(60)
    time.sleep(1.0)
    assert len(runs_of(cluster, "held")) == 1
    assert_own_and_complete(results)


def test_claim_owner_paused_during_takeover_runs_request_once(make_cluster):
    """The paused owner resumes with an outdated view of its claim."""
    cluster = make_cluster(engines=2, nodes=2)
    for proxy in cluster.engine_proxies.values():
        proxy.held_sources = {cluster.host("node-1")}
    results = []
    owner = threading.Thread(
        target=lambda: results.append(
            send(cluster, "node-1", notice_body("paused"), key_headers("paused", "30"))
        )
    )
    owner.start()
    time.sleep(0.5)
    cluster.processes["node-1"].pause()
    other = send_until_final(cluster, "node-2", "paused", key_headers("paused"))
    for proxy in cluster.engine_proxies.values():
        proxy.held_sources = set()
    cluster.processes["node-1"].resume()
    owner.join(60)
    assert other.is_complete, other
    assert len(runs_of(cluster, "paused")) == 1
    assert_own_and_complete(results)


def test_killed_engine_of_claim_is_reported_and_not_retried(make_cluster):
    cluster = make_cluster(engines=2, nodes=1)
    killed = []

    def kill(outcome):
        if len(outcome.tokens) == 5 and not killed:
            incarnation = cluster.runs("accepted")[-1]["incarnation"]
            engines = cluster.status("node-1")["engines"]
            name = next(
                engine["name"] for engine in engines if engine["incarnation"] == incarnation
            )
            killed.append(name)
            cluster.processes[name].kill()
            cluster.start_engine(name)

    outcome = send(cluster, "node-1", notice_body("dead", 40), key_headers("dead"), on_token=kill)
    assert killed and outcome.run_state == "may_have_run"
    repeated = send_until_final(cluster, "node-1", "dead", key_headers("dead"), 40)
    assert repeated.kind == "claim_lost"
    assert len(runs_of(cluster, "dead")) == 1


def test_paused_engine_is_rejoined_after_resume(make_cluster):
    cluster = make_cluster(engines=2, nodes=2)
    paused = []

    def pause(outcome):
        if len(outcome.tokens) == 5 and not paused:
            incarnation = cluster.runs("accepted")[-1]["incarnation"]
            engines = cluster.status("node-1")["engines"]
            name = next(
                engine["name"] for engine in engines if engine["incarnation"] == incarnation
            )
            paused.append(name)
            cluster.processes[name].pause()
            threading.Timer(4.0, cluster.processes[name].resume).start()

    outcome = send(
        cluster, "node-1", notice_body("ice", 40), key_headers("ice", "30"), on_token=pause
    )
    assert paused
    assert outcome.is_complete, outcome
    assert len(runs_of(cluster, "ice")) == 1


def test_claimed_attempt_completes_after_caller_disconnect(make_cluster):
    cluster = make_cluster(engines=1, nodes=1)
    body = notice_body("gone", 60)
    url = f"http://{cluster.caller_address('node-1')}/v1/chat/completions"
    headers = key_headers("gone") | {"Authorization": "Bearer thibodeau-key"}
    response = cluster.http.request("POST", url, json=body, headers=headers, preload_content=False)
    response.read1(10)
    response.close()
    repeated = send_until_final(cluster, "node-1", "gone", key_headers("gone"), 60)
    assert repeated.is_complete
    assert len(runs_of(cluster, "gone")) == 1


def test_key_value_outage_refuses_claims_until_recovery(make_cluster):
    cluster = make_cluster(engines=2, nodes=2)
    for proxy in cluster.key_value_proxies.values():
        proxy.fault = Fault.REFUSE
    refused = send(cluster, "node-1", notice_body("out"), key_headers("out", "0.5"))
    lookup = send(cluster, "node-2", chat_body("lookup goes on"))
    assert refused.kind == "claim_store_unavailable" and refused.run_state == "not_run"
    assert "Retry-After" in refused.headers and refused.seconds < 5
    assert lookup.is_complete
    assert runs_of(cluster, "out") == []
    for proxy in cluster.key_value_proxies.values():
        proxy.fault = Fault.PASS
    assert send_until_final(cluster, "node-2", "out", key_headers("out")).is_complete
    assert len(runs_of(cluster, "out")) == 1


def test_partitioned_zone_runs_claimed_request_once(make_cluster):
    """Engine responses reach neither node until the partition ends."""
    cluster = make_cluster(engines=2, nodes=2)
    for proxy in cluster.engine_proxies.values():
        proxy.fault = Fault.BLACKHOLE_TO_CLIENT
    first = send(cluster, "node-2", notice_body("cut"), key_headers("cut", "1"))
    assert first.error is not None and first.run_state == "may_have_run", first
    second = send(cluster, "node-1", notice_body("cut"), key_headers("cut", "1"))
    assert second.run_state == "may_have_run"
    for proxy in cluster.engine_proxies.values():
        proxy.fault = Fault.PASS
    healed = send_until_final(cluster, "node-1", "cut", key_headers("cut"))
    assert healed.is_complete, healed
    assert len(runs_of(cluster, "cut")) == 1
