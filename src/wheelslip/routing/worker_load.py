"""Load and failure statistics of one worker, recorded from one node's requests."""

import math
from collections import Counter
from dataclasses import dataclass, field

from wheelslip.routing.speeds.prefill_window import PrefillWindow

WAIT_MEMORY_SECONDS = 4.0
"""Time constant with which the longest wait at a worker decays."""

FAILURE_MEMORY_SECONDS = 2.0
"""Time constant with which the failure rate decays, so that an avoided worker is tried again."""


@dataclass
class WorkerLoad:
    """Load and failure statistics of one worker.

    :ivar running: number of requests at the worker.
    :ivar prefill_tokens: prompt tokens still to be computed, of requests without a first token.
    :ivar held_tokens: KV cache tokens that the requests need until they end.
    :ivar failure_rate: exponentially weighted share of failed requests.
    :ivar needs_probe: the worker was unreachable and has not responded since; one request at a
        time probes it.
    :ivar waiting: send times of the requests without a first token.
    :ivar window: measures the prefill work.
    """

    running: int = 0
    prefill_tokens: int = 0
    held_tokens: int = 0
    failure_rate: float = 0.0
    failure_rate_at: float = 0.0
    suspect_until: float = 0.0
    needs_probe: bool = False
    longest_wait: float = 0.0
    longest_wait_at: float = 0.0
    waiting: set[float] = field(default_factory=set)
    window: PrefillWindow = field(default_factory=PrefillWindow)
    _tokens_by_priority: Counter[int] = field(default_factory=Counter)

    def add_prefill(self, tokens: int, priority: int | None) -> None:
        """Add prompt tokens to be computed; an unknown priority counts as the most urgent."""
        self.prefill_tokens += tokens
        self._tokens_by_priority[priority or 0] += tokens

    def remove_prefill(self, tokens: int, priority: int | None) -> None:
        """Remove prompt tokens that are computed, or whose request has left."""
        self.prefill_tokens = max(0, self.prefill_tokens - tokens)
        self._tokens_by_priority[priority or 0] -= tokens

    def prefill_ahead(self, priority: int) -> int:
        """Return the prompt tokens computed before those of a new request: workers admit by priority."""
        return sum(
            tokens for other, tokens in self._tokens_by_priority.items() if other <= priority
        )

    def is_avoided(self, now: float) -> bool:
        """Return whether requests should go elsewhere because the worker was unreachable."""
        return now < self.suspect_until or (self.needs_probe and bool(self.waiting))

    def expected_wait(self, now: float) -> float:
        """Return the expected wait for a first token.

        This is the longest recent wait, decayed by its age, or the wait of the oldest request
        without a first token if that is longer.
        """
        decayed = self.longest_wait * math.exp((self.longest_wait_at - now) / WAIT_MEMORY_SECONDS)
        return max(decayed, now - min(self.waiting, default=now))

    def record_wait(self, began_at: float, now: float) -> None:
        """Record how long a request waited for its first token."""
        if now - began_at >= self.expected_wait(now):
            self.longest_wait = now - began_at
            self.longest_wait_at = now

    def recent_failure_rate(self, now: float) -> float:
        """Return the failure rate, decayed by its age."""
        if not self.failure_rate:
            return 0.0
        return self.failure_rate * math.exp((self.failure_rate_at - now) / FAILURE_MEMORY_SECONDS)
