"""The metrics text is valid and needs no module that deployed nodes lack."""

import sys

from prometheus_client.parser import text_string_to_metric_families

from wheelslip.forwarding.metrics import ForwardingMetrics


def sample_metrics() -> ForwardingMetrics:
    metrics = ForwardingMetrics()
    metrics.request_ended("stream", "answered", 0.3)
    metrics.request_ended("stream", "answered", 0.02)
    metrics.attempts["lost"] += 3
    metrics.record_send("s", is_retry=False)
    metrics.record_send("s", is_retry=True)
    metrics.retries_denied["s"] += 2
    metrics.first_byte.observe(0.15)
    metrics.record_queue_wait(0, 0.03)
    metrics.record_queue_wait(2, 0.3)
    metrics.record_queue_wait(2, 0.5)
    metrics.gauges = {"ready": lambda: 1.0}
    return metrics


def test_exposition_needs_neither_ssl_nor_prometheus_client(monkeypatch):
    for name in [module for module in sys.modules if module.startswith("prometheus_client")]:
        monkeypatch.delitem(sys.modules, name)
    monkeypatch.setitem(sys.modules, "ssl", None)
    assert b"wheelslip_ready 1.0" in sample_metrics().exposition()


def test_exposition_is_parsed_as_the_recorded_values():
    text = sample_metrics().exposition().decode()
    families = {parsed.name: parsed for parsed in text_string_to_metric_families(text)}
    samples = {
        (sample.name, *sorted(sample.labels.items())): sample.value
        for family in families.values()
        for sample in family.samples
    }
    labels = (("kind", "stream"), ("outcome", "answered"))
    assert samples[("wheelslip_requests_total", *labels)] == 2
    assert samples[("wheelslip_attempts_total", ("outcome", "lost"))] == 3
    assert samples[("wheelslip_sends_total", ("send", "retry"), ("service", "s"))] == 1
    assert samples[("wheelslip_retries_denied_total", ("service", "s"))] == 2
    assert samples[("wheelslip_request_seconds_bucket", ("le", "0.2"))] == 1
    assert samples[("wheelslip_request_seconds_bucket", ("le", "+Inf"))] == 2
    assert samples[("wheelslip_request_seconds_count",)] == 2
    assert abs(samples[("wheelslip_request_seconds_sum",)] - 0.32) < 1e-9
    wait, priority = "wheelslip_queue_wait_seconds", ("priority", "2")
    assert samples[(f"{wait}_bucket", ("le", "0.4"), priority)] == 1
    assert samples[(f"{wait}_count", priority)] == 2
    assert samples[(f"{wait}_count", ("priority", "0"))] == 1
    assert abs(samples[(f"{wait}_sum", priority)] - 0.8) < 1e-9
    assert samples[("wheelslip_ready",)] == 1
    assert families["wheelslip_request_seconds"].type == "histogram"
    assert families["wheelslip_requests"].type == "counter"
