"""One node's view of one engine: its own requests there, reported load, learned speeds."""

from dataclasses import dataclass, field

from wheelslip.routing.model import EngineInfo, EngineState
from wheelslip.routing.retry import Circuit

INITIAL_PREFILL_TOKENS_PER_SECOND = 8000.0
MAX_BACKLOG_SECONDS = 1.0
"""Prompt computation sent ahead to an engine; more waits at the node, in the node's order."""

CONGESTED_WAITING = 8
"""Requests waiting in an engine from which a node adds none beyond :data:`MIN_WAITING`."""

MIN_WAITING = 4
"""Requests of one node that may wait in an engine whatever its load, so it never idles."""

REQUEST_OVERHEAD_SECONDS = 0.02
"""Engine time of a request beside its uncached tokens: about one batch step."""

SHORT_PREFILL_TOKENS = 1024
"""Requests below this many uncached tokens show the queue's delay, not their own prefill."""

_RATE_SMOOTHING = 0.1
_PREFILL_SMOOTHING = 0.2
_DELAY_SMOOTHING = 0.3
LOAD_REPORT_SECONDS = 2.0
"""A load report older than this says nothing."""


@dataclass
class InFlight:
    """A request that this node has at the engine."""

    uncached_tokens: int
    sent_at: float
    first_token_at: float | None = None
    was_alone: bool = False


@dataclass
class EngineView:
    """What one node knows of one engine incarnation."""

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
        """Return whether new work may be sent there."""
        return self.info.state is EngineState.SERVING and self.circuit.allows(now)

    def prefill_backlog_seconds(self, now: float) -> float:
        """Return how long the engine still computes prompts that this node has sent."""
        backlog = 0.0
        oldest: InFlight | None = None
        for one in self.in_flight.values():
            if one.first_token_at is None:
                backlog += self.prefill_seconds(one.uncached_tokens)
                if oldest is None or one.sent_at < oldest.sent_at:
                    oldest = one
        if oldest is None:
            return 0.0
        # Prompts that are late still have to be computed, so only the one at work counts
        # as partly done.
        done = min(now - oldest.sent_at, self.prefill_seconds(oldest.uncached_tokens))
        return backlog - done

    def prefill_seconds(self, uncached_tokens: int) -> float:
        """Return the engine time that a prompt takes before its first token."""
        return uncached_tokens / self.prefill_rate + REQUEST_OVERHEAD_SECONDS

    def wait_seconds(self, now: float) -> float:
        """Return the expected wait before a new prompt is computed.

        The node's own backlog is exact and current. Of the reported queue, which lags, only
        what exceeds the node's own requests counts: those are other nodes', and are taken to
        be like the node's own recent requests to this engine.
        """
        wait = self.prefill_backlog_seconds(now)
        if now - self.reported_at <= LOAD_REPORT_SECONDS:
            own_waiting = sum(one.first_token_at is None for one in self.in_flight.values())
            others_waiting = max(0, self.reported_waiting - own_waiting)
            wait += others_waiting * self.mean_prefill_seconds
        return max(wait, self._observed_delay(now))

    def has_capacity(self, now: float) -> bool:
        """Return whether more should be sent now; else it waits at the node."""
        own_waiting = sum(one.first_token_at is None for one in self.in_flight.values())
        fresh = now - self.reported_at <= LOAD_REPORT_SECONDS
        if fresh and self.reported_waiting >= CONGESTED_WAITING and own_waiting >= MIN_WAITING:
            return False
        return self.prefill_backlog_seconds(now) <= MAX_BACKLOG_SECONDS

    def _observed_delay(self, now: float) -> float:
        """Return what recent requests waited beyond their own computation.

        This covers what no backlog shows: a full batch, other nodes' streams. A request that
        is overdue now is the freshest sign of it.
        """
        overdue = max(
            (
                now - one.sent_at - self.prefill_seconds(one.uncached_tokens)
                for one in self.in_flight.values()
                if one.first_token_at is None and one.uncached_tokens < SHORT_PREFILL_TOKENS
            ),
            default=0.0,
        )
        age = now - self.queue_delay_at
        recent = self.queue_delay if age <= LOAD_REPORT_SECONDS else 0.0
        return max(0.0, overdue, recent)

    def record_first_token(self, request_id: str, now: float) -> None:
        """Learn from a first token how long requests wait in the engine."""
        one = self.in_flight.get(request_id)
        if one is None or one.first_token_at is not None:
            return
        one.first_token_at = now
        seconds = now - one.sent_at
        one.was_alone = len(self.in_flight) == 1
        if one.uncached_tokens >= SHORT_PREFILL_TOKENS:
            return
        delay = max(0.0, seconds - self.prefill_seconds(one.uncached_tokens))
        self.queue_delay += _DELAY_SMOOTHING * (delay - self.queue_delay)
        self.queue_delay_at = now

    def record_sent(self, request_id: str, uncached_tokens: int, now: float) -> None:
        """Count a request sent to the engine."""
        self.in_flight[request_id] = InFlight(uncached_tokens, now)
        seconds = self.prefill_seconds(uncached_tokens)
        self.mean_prefill_seconds += _PREFILL_SMOOTHING * (seconds - self.mean_prefill_seconds)

    def running(self, now: float) -> int:
        """Return the requests believed to run there, the node's own or all reported."""
        if now - self.reported_at > LOAD_REPORT_SECONDS:
            return len(self.in_flight)
        return max(len(self.in_flight), self.reported_running)

    def record_load(self, running: int, waiting: int, now: float) -> None:
        """Take a load report, in band or from the engine's status."""
        self.reported_running = running
        self.reported_waiting = waiting
        self.reported_at = now

    def record_prefill_rate(self, request_id: str, uncached_tokens: int) -> None:
        """Learn the prefill rate from a prompt computed alone, knowing what was cached."""
        one = self.in_flight.get(request_id)
        if one is None or not one.was_alone or uncached_tokens < SHORT_PREFILL_TOKENS:
            return
        seconds = one.first_token_at - one.sent_at - REQUEST_OVERHEAD_SECONDS
        if seconds > 0:
            sample = uncached_tokens / seconds
            self.prefill_rate += _RATE_SMOOTHING * (sample - self.prefill_rate)
