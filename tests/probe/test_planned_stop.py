"""Tests that a planned stop of a node interrupts no request in progress."""

import itertools
import threading
import time

from tests.probe.callers import Callers, chat_body, send
from tests.probe.judge import assert_at_most_once, assert_own_and_complete


def test_requests_in_progress_finish_during_a_planned_stop(make_cluster):
    cluster = make_cluster(engines=1, nodes=1, engine_options={"max_batch": 4})
    callers = Callers(cluster)
    for n in range(12):
        headers = {"Idempotency-Key": f"s{n}", "X-Deadline-Seconds": "60"}
        callers.start("node-1", headers, model="notice" if n % 3 == 0 else "lookup", tokens=30)
    time.sleep(0.5)
    status = cluster.processes["node-1"].terminate()
    outcomes = callers.join()
    assert status == 0
    assert sum(outcome.is_complete for outcome in outcomes) == 12, outcomes


def test_stopping_node_fails_readiness_before_it_refuses_requests(make_cluster):
    cluster = make_cluster(engines=1, nodes=1)
    callers = Callers(cluster)
    callers.start("node-1", tokens=150)
    time.sleep(0.3)
    cluster.processes["node-1"].process.terminate()
    time.sleep(0.3)
    ready = cluster.http.request("GET", f"http://{cluster.caller_address('node-1')}/readyz")
    assert ready.status == 503
    during_lame_duck = send(cluster, "node-1", chat_body("late", tokens=2))
    assert during_lame_duck.is_complete
    time.sleep(1.2)
    refused = send(cluster, "node-1", chat_body("too late"))
    assert refused.kind == "node_stopping" and refused.run_state == "not_run"
    outcomes = callers.join()
    assert outcomes[0].is_complete
    assert cluster.processes["node-1"].process.wait(30) == 0


def test_rolling_restart_under_load_loses_no_request(make_cluster):
    cluster = make_cluster(engines=3, nodes=3)
    stop = threading.Event()
    ready = dict.fromkeys(cluster.nodes, True)
    nodes = itertools.cycle(cluster.nodes)
    lock = threading.Lock()
    outcomes = []
    nonces = []

    def next_ready_node():
        with lock:
            return next(node for node in nodes if ready[node])

    def load(worker):
        for number in itertools.count():
            if stop.is_set():
                return
            nonce = f"w{worker}-{number}"
            headers = {"Idempotency-Key": nonce, "X-Deadline-Seconds": "20"}
            model = "notice" if number % 4 == 0 else "lookup"
            nonces.append(nonce)
            node = next_ready_node()
            outcomes.append((node, send(cluster, node, chat_body(nonce, model, 10), headers)))

    threads = [threading.Thread(target=load, args=(n,), daemon=True) for n in range(9)]
    for thread in threads:
        thread.start()
    for node in cluster.nodes:
        # Like a load balancer, send no new requests to a node that is not ready.
        process = cluster.processes[node]
        process.process.terminate()
        ready[node] = False
        assert process.process.wait(60) == 0
        cluster.start_node(node)
        cluster.wait_http(f"http://{cluster.caller_address(node)}/readyz")
        cluster.wait_engines(3, [node])
        ready[node] = True
    stop.set()
    for thread in threads:
        thread.join(60)
    results = [outcome for _, outcome in outcomes]
    assert len(results) > 50
    assert_own_and_complete(results)
    failed = [
        (node, result.kind, result.failure) for node, result in outcomes if not result.is_complete
    ]
    assert failed == []
    assert_at_most_once(cluster, nonces)
