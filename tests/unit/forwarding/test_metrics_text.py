"""A deployed node answered every question for its metrics with a fault.

The metrics library imports ``ssl`` when it is loaded, and deployed processes run without that module:
``request_fault ... ModuleNotFoundError('import of ssl halted; None in sys.modules')``, 78 lines in 95 s
at seven nodes. Tests had asked nodes in a process that has the module.
"""

import sys

from prometheus_client.parser import text_string_to_metric_families

from wheelslip.forwarding.metrics import ForwardingMetrics


def figures() -> ForwardingMetrics:
    metrics = ForwardingMetrics()
    metrics.request_ended("stream", "answered", 0.3)
    metrics.request_ended("stream", "answered", 0.02)
    metrics.attempts["lost"] += 3
    metrics.first_byte.observe(0.15)
    metrics.gauges = {"ready": lambda: 1.0}
    return metrics


def test_the_text_is_written_without_the_modules_that_a_deployed_node_lacks(monkeypatch):
    for name in [one for one in sys.modules if one.startswith("prometheus_client")]:
        monkeypatch.delitem(sys.modules, name)
    monkeypatch.setitem(sys.modules, "ssl", None)
    assert b"wheelslip_ready 1.0" in figures().exposition()


def test_the_text_is_read_by_the_library_as_the_figures_that_were_counted():
    text = figures().exposition().decode()
    families = {one.name: one for one in text_string_to_metric_families(text)}
    samples = {
        (one.name, *sorted(one.labels.items())): one.value
        for family in families.values()
        for one in family.samples
    }
    labels = (("kind", "stream"), ("outcome", "answered"))
    assert samples[("wheelslip_requests_total", *labels)] == 2
    assert samples[("wheelslip_attempts_total", ("outcome", "lost"))] == 3
    assert samples[("wheelslip_request_seconds_bucket", ("le", "0.2"))] == 1
    assert samples[("wheelslip_request_seconds_bucket", ("le", "+Inf"))] == 2
    assert samples[("wheelslip_request_seconds_count",)] == 2
    assert abs(samples[("wheelslip_request_seconds_sum",)] - 0.32) < 1e-9
    assert samples[("wheelslip_ready",)] == 1
    assert families["wheelslip_request_seconds"].type == "histogram"
    assert families["wheelslip_requests"].type == "counter"
