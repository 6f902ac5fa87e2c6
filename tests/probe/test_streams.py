"""Every stream is complete and in order, or ends in an error event (guarantee 2)."""

import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.cluster import Cluster, EngineSpec, NodeSpec
from standins.fault_proxy import Fault
from tests.probe.callers import Callers, chat_body, send
from tests.probe.judge import assert_own_and_complete


@pytest.fixture(scope="module")
def small_cluster(tmp_path_factory):
    engines = [EngineSpec("engine-1", "worcester", options={"step_seconds": 0.005})]
    nodes = [NodeSpec("node-1", "worcester")]
    with Cluster(tmp_path_factory.mktemp("streams"), engines, nodes) as cluster:
        cluster.wait_configuration("node-1")
        cluster.apply("node-1", "examples/thibodeau")
        cluster.wait_engines(1)
        yield cluster


@settings(max_examples=40)
@given(cut=st.integers(min_value=0, max_value=4500), stream=st.booleans())
def test_response_is_complete_after_connection_cut_at_any_byte(small_cluster, cut, stream):
    """The stream has about 2,500 bytes, so that some cuts are beyond its end."""
    small_cluster.wait_engines(1)
    proxy = small_cluster.engine_proxies["engine-1"]
    proxy.cut_bytes = cut
    # Status reads are not cut: two failed reads would mark the only engine as down.
    proxy.exempt_match = b"GET /status "
    proxy.fault = Fault.CUT_AFTER_BYTES
    callers = Callers(small_cluster)
    callers.start("node-1", stream=stream)
    # Only the first connection is cut, not the resumed one.
    previous_connections = proxy.connections
    deadline = time.monotonic() + 0.05
    while proxy.connections == previous_connections and time.monotonic() < deadline:
        time.sleep(0.001)
    time.sleep(0.02)
    proxy.fault = Fault.PASS
    (outcome,) = callers.join()
    assert outcome.is_complete, outcome


def test_stream_continues_at_another_engine_after_kill(make_cluster):
    cluster = make_cluster(engines=2, nodes=1)
    killed = []

    def kill_serving_engine(outcome):
        if len(outcome.tokens) == 5 and not killed:
            incarnation = cluster.runs("started")[-1]["incarnation"]
            name = engine_of(cluster, incarnation)
            killed.append(name)
            cluster.processes[name].kill()

    body = chat_body("killed", tokens=40)
    outcome = send(cluster, "node-1", body, on_token=kill_serving_engine)
    assert killed
    assert outcome.is_complete, outcome
    assert outcome.usage is None or outcome.usage["completion_tokens"] == 40


def test_stream_continues_at_another_engine_after_stall(make_cluster):
    cluster = make_cluster(engines=2, nodes=1)
    paused = []

    def pause(outcome):
        if len(outcome.tokens) == 5 and not paused:
            name = engine_of(cluster, cluster.runs("started")[-1]["incarnation"])
            paused.append(name)
            cluster.processes[name].pause()

    outcome = send(cluster, "node-1", chat_body("frozen", tokens=40), on_token=pause)
    assert paused
    assert outcome.is_complete, outcome


def test_stream_ends_in_error_event_after_only_engine_is_killed(make_cluster):
    cluster = make_cluster(engines=1, nodes=1)

    def kill(outcome):
        if len(outcome.tokens) == 5:
            cluster.processes["engine-1"].kill()

    outcome = send(cluster, "node-1", chat_body("alone", tokens=40), on_token=kill)
    assert outcome.status == 200 and not outcome.done
    assert outcome.run_state == "may_have_run"
    assert_own_and_complete([outcome])


def test_slow_caller_receives_every_token(make_cluster):
    cluster = make_cluster(engines=1, nodes=1)
    outcome = send(
        cluster, "node-1", chat_body("slow", tokens=60), on_token=lambda _: time.sleep(0.05)
    )
    assert outcome.is_complete


def test_plain_response_is_complete_after_engine_is_killed(make_cluster):
    cluster = make_cluster(engines=2, nodes=1)
    callers = Callers(cluster)
    callers.start("node-1", stream=False, tokens=60)
    while not cluster.runs("started"):
        time.sleep(0.02)
    time.sleep(0.2)
    name = engine_of(cluster, cluster.runs("started")[-1]["incarnation"])
    cluster.processes[name].kill()
    (outcome,) = callers.join()
    assert outcome.is_complete, outcome


def engine_of(cluster, incarnation):
    engines = cluster.status("node-1")["engines"]
    return next(engine["name"] for engine in engines if engine["incarnation"] == incarnation)
