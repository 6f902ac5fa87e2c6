"""One node's view of an engine: in-flight requests, reported load and estimated speed."""

from dataclasses import dataclass, field

from wheelslip.routing.model import EngineInfo, EngineState
from wheelslip.routing.retry import Circuit

INITIAL_PREFILL_TOKENS_PER_SECOND = 8000.0
MAX_PREFILL_BACKLOG_SECONDS = 1.0
"""Prefill time that a node queues at an engine; further requests wait in the node's queue."""

CONGESTED_QUEUE_LENGTH = 8
"""Reported queue length from which a node keeps at most :data:`MIN_QUEUED_REQUESTS` waiting."""

MIN_QUEUED_REQUESTS = 4
"""Requests that each node may have waiting at a congested engine, to keep it busy."""

REQUEST_OVERHEAD_SECONDS = 0.02
"""Engine time of a request besides its uncached tokens, about one batch step."""

SHORT_PREFILL_TOKENS = 1024
"""Requests with fewer uncached tokens are used to estimate the queueing delay, others to
estimate the prefill rate."""

_RATE_SMOOTHING = 0.1
_PREFILL_SMOOTHING = 0.2
_DELAY_SMOOTHING = 0.3

LOAD_REPORT_TTL_SECONDS = 2.0


@dataclass
class InFlight:
    """A request that this node has sent to the engine.

    :ivar was_alone: no other request of this node was in flight when its first token arrived.
    """

    uncached_tokens: int
    sent_at: float
    first_token_at: float | None = None
    was_alone: bool = False


@dataclass
class EngineView:
    """State of one engine incarnation as one node observes it.

    :ivar prefill_rate: estimated prompt tokens per second.
    :ivar mean_prefill_seconds: smoothed prefill time of the node's requests to the engine.
    :ivar queue_delay: smoothed queueing delay in seconds, last updated at ``queue_delay_at``.
    """

    info: EngineInfo
    circuit: Circuit
    in_flight: dict[str, InFlight] = field(default_factory=dict)
    prefill_rate: float = INITIAL_PREFILL_TOKENS_PER_SECOND
    mean_prefill_seconds: float = REQUEST_OVERHEAD_SECONDS
    queue_delay: float = 0.0
    queue_delay_at: float = float("-inf")
    reported_running: int = 0
    reported_waiting: int = 0
    reported_at: float = float("-inf")

    def is_available(self, now: float) -> bool:
        """Return whether the engine is serving and its circuit is closed or half-open."""
        return self.info.state is EngineState.SERVING and self.circuit.allows(now)

    def prefill_backlog_seconds(self, now: float) -> float:
        """Return the remaining prefill time of the prompts that this node has sent."""
        backlog = 0.0
        oldest: InFlight | None = None
        for request in self.in_flight.values():
            if request.first_token_at is None:
                backlog += self.prefill_seconds(request.uncached_tokens)
                if oldest is None or request.sent_at < oldest.sent_at:
                    oldest = request
        if oldest is None:
            return 0.0
        # Prompts are computed in order, so only the oldest is partly done. Its elapsed time is
        # capped: an overdue prompt does not reduce the backlog of the others.
        done = min(now - oldest.sent_at, self.prefill_seconds(oldest.uncached_tokens))
        return backlog - done

    def prefill_seconds(self, uncached_tokens: int) -> float:
        """Return the estimated engine time of a prompt up to its first token."""
        return uncached_tokens / self.prefill_rate + REQUEST_OVERHEAD_SECONDS

    def wait_seconds(self, now: float) -> float:
        """Return the expected queueing time of a new prompt.

        The node's own backlog is tracked exactly. Reported waiting requests in excess of the
        node's own belong to other nodes; they are assumed to take as long as the node's recent
        requests to this engine.
        """
        wait = self.prefill_backlog_seconds(now)
        if now - self.reported_at <= LOAD_REPORT_TTL_SECONDS:
            own_waiting = sum(request.first_token_at is None for request in self.in_flight.values())
            others_waiting = max(0, self.reported_waiting - own_waiting)
            wait += others_waiting * self.mean_prefill_seconds
        return max(wait, self._observed_delay(now))

    def has_capacity(self, now: float) -> bool:
        """Return whether another request may be sent now instead of waiting at the node."""
        own_waiting = sum(request.first_token_at is None for request in self.in_flight.values())
        fresh = now - self.reported_at <= LOAD_REPORT_TTL_SECONDS
        if (
            fresh
            and self.reported_waiting >= CONGESTED_QUEUE_LENGTH
            and own_waiting >= MIN_QUEUED_REQUESTS
        ):
            return False
        return self.prefill_backlog_seconds(now) <= MAX_PREFILL_BACKLOG_SECONDS

    def _observed_delay(self, now: float) -> float:
        """Return how long short requests waited in addition to their prefill time.

        Includes delays that the backlog does not show, such as a full batch. A short request
        that is overdue now counts before its first token arrives.
        """
        overdue = max(
            (
                now - request.sent_at - self.prefill_seconds(request.uncached_tokens)
                for request in self.in_flight.values()
                if request.first_token_at is None and request.uncached_tokens < SHORT_PREFILL_TOKENS
            ),
            default=0.0,
        )
        age = now - self.queue_delay_at
        recent = self.queue_delay if age <= LOAD_REPORT_TTL_SECONDS else 0.0
        return max(0.0, overdue, recent)

    def record_first_token(self, request_id: str, now: float) -> None:
        """Record a first token; update the queueing delay if the request is short."""
        request = self.in_flight.get(request_id)
        if request is None or request.first_token_at is not None:
            return
        request.first_token_at = now
        seconds = now - request.sent_at
        request.was_alone = len(self.in_flight) == 1
        if request.uncached_tokens >= SHORT_PREFILL_TOKENS:
            return
        delay = max(0.0, seconds - self.prefill_seconds(request.uncached_tokens))
        self.queue_delay += _DELAY_SMOOTHING * (delay - self.queue_delay)
        self.queue_delay_at = now

    def record_sent(self, request_id: str, uncached_tokens: int, now: float) -> None:
        """Record a request sent to the engine."""
        self.in_flight[request_id] = InFlight(uncached_tokens, now)
        seconds = self.prefill_seconds(uncached_tokens)
        self.mean_prefill_seconds += _PREFILL_SMOOTHING * (seconds - self.mean_prefill_seconds)

    def running(self, now: float) -> int:
        """Return the number of running requests, reported or at least those of this node."""
        if now - self.reported_at > LOAD_REPORT_TTL_SECONDS:
            return len(self.in_flight)
        return max(len(self.in_flight), self.reported_running)

    def record_load(self, running: int, waiting: int, now: float) -> None:
        """Record a load report from a response or from the engine's status endpoint."""
        self.reported_running = running
        self.reported_waiting = waiting
        self.reported_at = now

    def record_prefill_rate(self, request_id: str, uncached_tokens: int) -> None:
        """Update the prefill rate from a long prompt that was computed alone."""
        request = self.in_flight.get(request_id)
        if request is None or not request.was_alone or uncached_tokens < SHORT_PREFILL_TOKENS:
            return
        seconds = request.first_token_at - request.sent_at - REQUEST_OVERHEAD_SECONDS
        if seconds > 0:
            sample = uncached_tokens / seconds
            self.prefill_rate += _RATE_SMOOTHING * (sample - self.prefill_rate)
