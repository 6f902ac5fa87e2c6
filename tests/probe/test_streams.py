"""Promise 2: every stream is complete and in order, or ends in an explicit error."""

import time

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from standins.cluster import Cluster, EngineSpec, NodeSpec
from standins.fault_proxy import Fault
from tests.probe.callers import Callers, chat_body, send
from tests.probe.judge import assert_own_and_whole


@pytest.fixture(scope="module")
def small_cluster(tmp_path_factory):
    engines = [EngineSpec("engine-1", "worcester", options={"step_seconds": 0.005})]
    nodes = [NodeSpec("node-1", "worcester")]
    with Cluster(tmp_path_factory.mktemp("streams"), engines, nodes) as cluster:
        cluster.wait_configuration("node-1")
        cluster.apply("node-1", "examples/thibodeau")
        cluster.wait_engines(1)
        yield cluster


@settings(
    derandomize=True,
    max_examples=40,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(cut=st.integers(min_value=0, max_value=4500), stream=st.booleans())
def test_connection_cut_at_any_byte(small_cluster, cut, stream):
    """8 tokens take about 2,500 bytes from the engine; the proxy cuts each connection once."""
    small_cluster.wait_engines(1)
    proxy = small_cluster.engine_proxies["engine-1"]
    proxy.cut_bytes = cut
    # Readings of the engine's status pass: after two that are cut the node rightly serves nobody.
    proxy.exempt_match = b"GET /status "
    proxy.fault = Fault.CUT_AFTER_BYTES
    callers = Callers(small_cluster)
    callers.start("node-1", stream=stream)
    # The first connection is cut; its resumption passes.
    before = proxy.connections
    deadline = time.monotonic() + 0.05
    while proxy.connections == before and time.monotonic() < deadline:
        time.sleep(0.001)
    time.sleep(0.02)
    proxy.fault = Fault.PASS
    (outcome,) = callers.join()
    assert outcome.whole, outcome


def test_engine_killed_mid_stream_continues_elsewhere(make_cluster):
    cluster = make_cluster(engines=2, nodes=1)
    killed = []

    def kill_the_one_that_serves(outcome):
        if len(outcome.tokens) == 5 and not killed:
            incarnation = cluster.runs("started")[-1]["incarnation"]
            name = engine_of(cluster, incarnation)
            killed.append(name)
            cluster.processes[name].kill()

    body = chat_body("killed", tokens=40)
    outcome = send(cluster, "node-1", body, on_token=kill_the_one_that_serves)
    assert killed
    assert outcome.whole, outcome
    assert outcome.usage is None or outcome.usage["completion_tokens"] == 40


def test_engine_frozen_mid_stream_continues_elsewhere(make_cluster):
    cluster = make_cluster(engines=2, nodes=1)
    frozen = []

    def freeze(outcome):
        if len(outcome.tokens) == 5 and not frozen:
            name = engine_of(cluster, cluster.runs("started")[-1]["incarnation"])
            frozen.append(name)
            cluster.processes[name].pause()

    outcome = send(cluster, "node-1", chat_body("frozen", tokens=40), on_token=freeze)
    assert frozen
    assert outcome.whole, outcome


def test_last_engine_killed_mid_stream_ends_in_an_explicit_error(make_cluster):
    cluster = make_cluster(engines=1, nodes=1)

    def kill(outcome):
        if len(outcome.tokens) == 5:
            cluster.processes["engine-1"].kill()

    outcome = send(cluster, "node-1", chat_body("alone", tokens=40), on_token=kill)
    assert outcome.status == 200 and not outcome.done
    assert outcome.run_state == "may_have_run"
    assert_own_and_whole([outcome])


def test_slow_caller_gets_every_token(make_cluster):
    cluster = make_cluster(engines=1, nodes=1)
    outcome = send(
        cluster, "node-1", chat_body("slow", tokens=60), on_token=lambda _: time.sleep(0.05)
    )
    assert outcome.whole


def test_plain_answer_survives_the_loss_of_its_engine(make_cluster):
    cluster = make_cluster(engines=2, nodes=1)
    callers = Callers(cluster)
    callers.start("node-1", stream=False, tokens=60)
    while not cluster.runs("started"):
        time.sleep(0.02)
    time.sleep(0.2)
    name = engine_of(cluster, cluster.runs("started")[-1]["incarnation"])
    cluster.processes[name].kill()
    (outcome,) = callers.join()
    assert outcome.whole, outcome


def engine_of(cluster, incarnation):
    engines = cluster.status("node-1")["engines"]
    return next(one["name"] for one in engines if one["incarnation"] == incarnation)
