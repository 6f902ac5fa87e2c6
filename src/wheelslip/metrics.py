"""Prometheus metrics of one node."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

_FIRST_TOKEN_BUCKETS_SECONDS = (0.05, 0.1, 0.2, 0.3, 0.48, 0.75, 1, 2, 5, 10, 30)


class NodeMetrics:
    """All metrics of a node, in a separate registry."""

    def __init__(self):
        self._registry = CollectorRegistry()
        self.requests = Counter(
            "wheelslip_requests_total",
            "Requests ended, by tenant, workload and outcome (ok or an error kind)",
            ["tenant", "workload", "outcome"],
            registry=self._registry,
        )
        self.first_token = Histogram(
            "wheelslip_first_token_seconds",
            "Seconds from arrival to the first token",
            ["workload"],
            buckets=_FIRST_TOKEN_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self.prompt_tokens = Counter(
            "wheelslip_prompt_tokens_total",
            "Prompt tokens of complete answers, by whether the engine had them cached",
            ["workload", "cached"],
            registry=self._registry,
        )
        self.policy_failures = Counter(
            "wheelslip_policy_failures_total",
            "Policy decisions that failed and fell back",
            ["policy"],
            registry=self._registry,
        )
        self._gauges = {
            name: Gauge(f"wheelslip_{name}", text, registry=self._registry)
            for name, text in (
                ("waiting_requests", "Requests waiting at this node"),
                ("running_requests", "Requests this node has at engines"),
                ("known_engines", "Engines in view"),
                ("known_blocks", "Blocks in the prefix index"),
                ("live_members", "Nodes believed to live"),
                ("configuration_revision", "Configuration revision in force"),
                ("control_bytes_sent", "Control bytes sent to other nodes since start"),
                ("control_bytes_received", "Control bytes received from other nodes since start"),
                ("control_messages_sent", "Control messages sent to other nodes since start"),
            )
        }

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge by its name without the ``wheelslip_`` prefix."""
        self._gauges[name].set(value)

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text exposition format."""
        return generate_latest(self._registry)
