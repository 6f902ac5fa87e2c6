"""Tests that restarted nodes serve requests regardless of the key-value service."""

import threading
import time

import pytest

from standins.cluster import wait_until
from standins.fault_proxy import Fault
from tests.probe.callers import chat_body, send


def key_value_up(proxy):
    proxy.fault = Fault.PASS


def key_value_slow(proxy):
    proxy.delay_seconds = 3.0


def key_value_down(proxy):
    proxy.fault = Fault.BLACKHOLE


def revision(cluster, node):
    response = cluster.http.request("GET", f"http://{cluster.caller_address(node)}/readyz")
    return response.json().get("revision")


def seconds_to_first_response(cluster, node, process):
    """Return the seconds from process start to the first complete response."""
    number = 0

    def served():
        nonlocal number
        number += 1
        return send(cluster, node, chat_body(f"first{number}", tokens=1)).is_complete

    wait_until(served, f"{node} serves")
    return time.monotonic() - process.started_at


@pytest.mark.parametrize("key_value", [key_value_up, key_value_slow, key_value_down])
def test_node_killed_under_load_restarts_without_waiting_for_the_service(make_cluster, key_value):
    cluster = make_cluster(engines=2, nodes=3)
    before = revision(cluster, "node-1")
    stop = threading.Event()

    def load():
        number = 0
        while not stop.is_set():
            number += 1
            send(cluster, "node-1", chat_body(f"load{number}", tokens=4))
            time.sleep(0.05)

    threads = [threading.Thread(target=load, daemon=True) for _ in range(3)]
    for thread in threads:
        thread.start()
    for proxy in cluster.key_value_proxies.values():
        key_value(proxy)
    time.sleep(0.5)
    process = cluster.processes["node-1"]
    process.kill()
    cluster.start_node("node-1")
    seconds = seconds_to_first_response(cluster, "node-1", process)
    stop.set()
    print(f"first answer {seconds:.2f} s after process start, {key_value.__name__}")
    assert revision(cluster, "node-1") >= before
    # Startup must not wait for responses of the key-value service.
    assert seconds < 15


def test_all_nodes_of_a_zone_restart_while_the_service_is_unreachable(make_cluster):
    cluster = make_cluster(engines=3, nodes=6)
    zone = ["node-1", "node-4"]
    before = max(revision(cluster, node) for node in zone)
    for proxy in cluster.key_value_proxies.values():
        proxy.fault = Fault.BLACKHOLE
    for node in zone:
        cluster.processes[node].kill()
    for node in zone:
        cluster.start_node(node)
    for node in zone:
        seconds_to_first_response(cluster, node, cluster.processes[node])
        assert revision(cluster, node) >= before


def test_simultaneous_restart_of_all_nodes_sends_few_service_requests(make_cluster):
    cluster = make_cluster(engines=2, nodes=6)
    requests_before = cluster.control_key_value({})["requests"]
    for node in cluster.nodes:
        cluster.processes[node].kill()
    for node in cluster.nodes:
        cluster.start_node(node)
    for node in cluster.nodes:
        seconds_to_first_response(cluster, node, cluster.processes[node])
    requests_sent = cluster.control_key_value({})["requests"] - requests_before
    assert requests_sent < 6 * 10
