"""Promise 6: a request that may not be repeated runs at most once."""

import threading
import time

import pytest

from standins.cluster import wait_until
from standins.fault_proxy import Fault
from tests.probe.callers import Callers, chat_body, send
from tests.probe.judge import assert_at_most_once, assert_own_and_whole, digest_of


def notice(nonce, tokens=8):
    return chat_body(nonce, model="notice", tokens=tokens)


def key(name, deadline="10"):
    return {"Idempotency-Key": name, "X-Deadline-Seconds": deadline}


def runs_of(cluster, nonce):
    digest = digest_of(nonce)
    return [run for run in cluster.runs("accepted") if run["base_prompt_digest"] == digest]


def retry_elsewhere(cluster, node, nonce, headers, tokens=8, seconds=30.0):
    """Repeat a key as a caller does: while told to come back."""
    give_up_at = time.monotonic() + seconds
    while True:
        outcome = send(cluster, node, notice(nonce, tokens), headers)
        if outcome.whole or time.monotonic() > give_up_at:
            return outcome
        if outcome.error is not None and not outcome.error["retry"]:
            return outcome
        time.sleep(0.2)


def test_repeats_of_a_key_get_the_kept_answer(make_cluster):
    cluster = make_cluster(engines=2, nodes=2)
    first = send(cluster, "node-1", notice("kept"), key("k"))
    again = send(cluster, "node-2", notice("kept"), key("k"))
    plain = send(cluster, "node-2", notice("kept") | {"stream": False}, key("k"))
    assert first.whole and again.whole and plain.whole
    assert len(runs_of(cluster, "kept")) == 1
    other = send(cluster, "node-1", notice("another body"), key("k"))
    assert other.kind == "idempotency_key_reused"
    assert runs_of(cluster, "another body") == []


def test_same_key_at_all_nodes_at_the_same_time(make_cluster):
    cluster = make_cluster(engines=3, nodes=3)
    outcomes = []
    nonces = [f"race{n}" for n in range(10)]

    def call(node, nonce):
        outcomes.append(retry_elsewhere(cluster, node, nonce, key(nonce)))

    threads = [
        threading.Thread(target=call, args=(node, nonce))
        for nonce in nonces
        for node in cluster.nodes
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert_own_and_whole(outcomes)
    assert sum(outcome.whole for outcome in outcomes) == 30
    assert_at_most_once(cluster, nonces)


@pytest.mark.parametrize("kill_after_seconds", [0.0, 0.01, 0.03, 0.06, 0.12, 0.3])
def test_node_killed_at_any_step_of_a_claim(make_cluster, kill_after_seconds):
    cluster = make_cluster(engines=2, nodes=2)
    nonces = [f"step{n}" for n in range(5)]
    callers = [
        threading.Thread(
            target=send, args=(cluster, "node-1", notice(nonce, 20), key(nonce)), daemon=True
        )
        for nonce in nonces
    ]
    for caller in callers:
        caller.start()
    time.sleep(kill_after_seconds)
    cluster.processes["node-1"].kill()
    outcomes = [
        retry_elsewhere(cluster, "node-2", nonce, key(nonce), tokens=20) for nonce in nonces
    ]
    assert all(outcome.whole for outcome in outcomes), outcomes
    assert_at_most_once(cluster, nonces)


def test_key_value_answers_lost_after_their_effect(make_cluster):
    cluster = make_cluster(engines=2, nodes=2)
    proxy = cluster.key_value_proxies["node-1"]
    proxy.fault = Fault.LOSE_ANSWER
    callers = Callers(cluster)
    outcomes = []
    nonces = [f"lost{n}" for n in range(6)]

    def call(nonce):
        outcomes.append(retry_elsewhere(cluster, "node-1", nonce, key(nonce)))

    threads = [threading.Thread(target=call, args=(nonce,)) for nonce in nonces]
    for thread in threads:
        thread.start()
    wait_until(lambda: proxy.dropped_responses >= 6, "six answers are lost")
    proxy.fault = Fault.PASS
    for thread in threads:
        thread.join()
    assert all(outcome.whole for outcome in outcomes), outcomes
    assert callers.outcomes == []
    assert_at_most_once(cluster, nonces)


def test_attempt_that_arrives_after_its_claim_passed_on_is_refused(make_cluster):
    """The owner's request is held on its way; it arrives after another node took over."""
    cluster = make_cluster(engines=2, nodes=2)
    owner_host = cluster.host("node-1")
    for proxy in cluster.engine_proxies.values():
        proxy.held_sources = {owner_host}
    results = []
    owner = threading.Thread(
        target=lambda: results.append(send(cluster, "node-1", notice("held"), key("held", "30")))
    )
    owner.start()
    time.sleep(1.0)
    other = retry_elsewhere(cluster, "node-2", "held", key("held"))
    assert other.whole, other
    for proxy in cluster.engine_proxies.values():
        proxy.held_sources = set()
    owner.join(60)
    time.sleep(1.0)
    assert len(runs_of(cluster, "held")) == 1
    assert_own_and_whole(results)


def test_owner_paused_while_another_node_takes_over(make_cluster):
    """The paused node still believes it holds the claim when it goes on."""
    cluster = make_cluster(engines=2, nodes=2)
    for proxy in cluster.engine_proxies.values():
        proxy.held_sources = {cluster.host("node-1")}
    results = []
    owner = threading.Thread(
        target=lambda: results.append(
            send(cluster, "node-1", notice("paused"), key("paused", "30"))
        )
    )
    owner.start()
    time.sleep(0.5)
    cluster.processes["node-1"].pause()
    other = retry_elsewhere(cluster, "node-2", "paused", key("paused"))
    for proxy in cluster.engine_proxies.values():
        proxy.held_sources = set()
    cluster.processes["node-1"].resume()
    owner.join(60)
    assert other.whole, other
    assert len(runs_of(cluster, "paused")) == 1
    assert_own_and_whole(results)


def test_claimed_engine_dead_is_reported_and_never_run_again(make_cluster):
    cluster = make_cluster(engines=2, nodes=1)
    killed = []

    def kill(outcome):
        if len(outcome.tokens) == 5 and not killed:
            incarnation = cluster.runs("accepted")[-1]["incarnation"]
            engines = cluster.status("node-1")["engines"]
            name = next(one["name"] for one in engines if one["incarnation"] == incarnation)
            killed.append(name)
            cluster.processes[name].kill()
            cluster.start_engine(name)

    outcome = send(cluster, "node-1", notice("dead", 40), key("dead"), on_token=kill)
    assert killed and outcome.run_state == "may_have_run"
    again = retry_elsewhere(cluster, "node-1", "dead", key("dead"), 40)
    assert again.kind == "claim_lost"
    assert len(runs_of(cluster, "dead")) == 1


def test_frozen_engine_is_joined_again_when_it_answers(make_cluster):
    cluster = make_cluster(engines=2, nodes=2)
    frozen = []

    def freeze(outcome):
        if len(outcome.tokens) == 5 and not frozen:
            incarnation = cluster.runs("accepted")[-1]["incarnation"]
            engines = cluster.status("node-1")["engines"]
            name = next(one["name"] for one in engines if one["incarnation"] == incarnation)
            frozen.append(name)
            cluster.processes[name].pause()
            threading.Timer(4.0, cluster.processes[name].resume).start()

    outcome = send(cluster, "node-1", notice("ice", 40), key("ice", "30"), on_token=freeze)
    assert frozen
    assert outcome.whole, outcome
    assert len(runs_of(cluster, "ice")) == 1


def test_caller_gone_leaves_the_attempt_to_finish_for_a_repeat(make_cluster):
    cluster = make_cluster(engines=1, nodes=1)
    body = notice("gone", 60)
    url = f"http://{cluster.caller_address('node-1')}/v1/chat/completions"
    headers = key("gone") | {"Authorization": "Bearer thibodeau-key"}
    response = cluster.http.request("POST", url, json=body, headers=headers, preload_content=False)
    response.read1(10)
    response.close()
    again = retry_elsewhere(cluster, "node-1", "gone", key("gone"), 60)
    assert again.whole
    assert len(runs_of(cluster, "gone")) == 1


def test_key_value_outage_refuses_at_once_runs_nothing_and_heals(make_cluster):
    cluster = make_cluster(engines=2, nodes=2)
    for proxy in cluster.key_value_proxies.values():
        proxy.fault = Fault.REFUSE
    refused = send(cluster, "node-1", notice("out"), key("out", "0.5"))
    lookup = send(cluster, "node-2", chat_body("lookup goes on"))
    assert refused.kind == "claim_store_unavailable" and refused.run_state == "not_run"
    assert "Retry-After" in refused.headers and refused.seconds < 5
    assert lookup.whole
    assert runs_of(cluster, "out") == []
    for proxy in cluster.key_value_proxies.values():
        proxy.fault = Fault.PASS
    assert retry_elsewhere(cluster, "node-2", "out", key("out")).whole
    assert len(runs_of(cluster, "out")) == 1


def test_zone_cut_in_two_claims_once(make_cluster):
    """node-1 cannot reach the engine that node-2's claim names, nor node-2 itself."""
    cluster = make_cluster(engines=2, nodes=2)
    for proxy in cluster.engine_proxies.values():
        proxy.fault = Fault.BLACKHOLE_TO_CLIENT
    first = send(cluster, "node-2", notice("cut"), key("cut", "1"))
    assert first.error is not None and first.run_state == "may_have_run", first
    second = send(cluster, "node-1", notice("cut"), key("cut", "1"))
    assert second.run_state == "may_have_run"
    for proxy in cluster.engine_proxies.values():
        proxy.fault = Fault.PASS
    healed = retry_elsewhere(cluster, "node-1", "cut", key("cut"))
    assert healed.whole, healed
    assert len(runs_of(cluster, "cut")) == 1
