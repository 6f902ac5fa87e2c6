"""Retries stay within their budget, and failed requests return without delay."""

import time

from standins.fault_proxy import Fault
from tests.probe.callers import Callers
from wheelslip.routing.retry import RETRY_RATIO, RETRY_RESERVE

REQUESTS = 120


def test_outage_of_half_the_engines_stays_within_retry_budget(make_cluster):
    cluster = make_cluster(engines=4, nodes=1)
    proxies = cluster.engine_proxies
    faulty_proxies = [proxies["engine-1"], proxies["engine-2"]]
    for proxy in faulty_proxies:
        proxy.cut_bytes = 40
        proxy.fault = Fault.CUT_AFTER_BYTES
    callers = Callers(cluster)
    for n in range(REQUESTS):
        callers.start("node-1", tokens=2, prefix=f"prefix {n} " * 40)
        time.sleep(0.02)
    outcomes = callers.join()
    attempts = [
        event["attempts"]
        for event in cluster.processes["node-1"].events()
        if event.get("event") in (200, 201) and "attempts" in event
    ]
    assert len(attempts) == REQUESTS
    assert sum(attempts) <= REQUESTS * (1 + RETRY_RATIO) + RETRY_RESERVE
    assert sum(outcome.is_complete for outcome in outcomes) > REQUESTS // 2
    assert all(outcome.is_complete or outcome.error is not None for outcome in outcomes)


def test_request_without_usable_engine_fails_before_its_deadline(make_cluster):
    """Every engine refuses connections; the error is returned well before the deadline."""
    cluster = make_cluster(engines=2, nodes=1)
    for proxy in cluster.engine_proxies.values():
        proxy.fault = Fault.REFUSE
    callers = Callers(cluster)
    outcome = callers.call("node-1", {"X-Deadline-Seconds": "60"})
    assert outcome.error is not None and outcome.run_state in ("not_run", "may_have_run")
    assert "Retry-After" in outcome.headers
    assert outcome.seconds < 20
