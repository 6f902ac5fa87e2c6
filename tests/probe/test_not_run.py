"""No engine accepted a request that is reported as ``not_run`` (guarantee 5)."""

import random
import time

import pytest

from standins.fault_proxy import Fault
from tests.probe.callers import Callers
from tests.probe.judge import assert_not_run_is_accurate, assert_own_and_complete

FAULTS = [
    Fault.REFUSE,
    Fault.BLACKHOLE,
    Fault.BLACKHOLE_TO_SERVER,
    Fault.BLACKHOLE_TO_CLIENT,
    Fault.LOSE_ANSWER,
    Fault.CUT_AFTER_BYTES,
]


@pytest.mark.parametrize("fault", FAULTS)
def test_not_run_is_accurate_under_one_fault_at_every_engine(make_cluster, fault):
    cluster = make_cluster(engines=2, nodes=1, limits={"engine_stall_seconds": 0.5})
    callers = Callers(cluster)
    for proxy in cluster.engine_proxies.values():
        proxy.cut_bytes = 40
        proxy.fault = fault
    for n in range(12):
        headers = {"Idempotency-Key": f"k{n}", "X-Deadline-Seconds": "1"}
        callers.start("node-1", headers, model="notice" if n % 2 else "lookup")
        time.sleep(0.05)
    outcomes = callers.join()
    assert_own_and_complete(outcomes)
    not_run_count = assert_not_run_is_accurate(cluster, outcomes)
    refused = [outcome for outcome in outcomes if outcome.error]
    assert refused and not_run_count <= len(refused)


def test_not_run_is_accurate_under_changing_faults(make_cluster):
    cluster = make_cluster(engines=2, nodes=2, limits={"engine_stall_seconds": 0.5})
    random_source = random.Random(5)
    callers = Callers(cluster)
    for n in range(120):
        if n % 6 == 0:
            proxy = random_source.choice(list(cluster.engine_proxies.values()))
            proxy.cut_bytes = random_source.randrange(2000)
            proxy.fault = random_source.choice([*FAULTS, Fault.PASS, Fault.PASS])
        headers = {"Idempotency-Key": f"k{n}", "X-Deadline-Seconds": "2"}
        callers.start(f"node-{n % 2 + 1}", headers, model="notice" if n % 2 else "lookup")
        time.sleep(0.05)
    for proxy in cluster.engine_proxies.values():
        proxy.fault = Fault.PASS
    outcomes = callers.join()
    assert len(outcomes) == 120
    assert_own_and_complete(outcomes)
    assert_not_run_is_accurate(cluster, outcomes)
