"""What one node has at a worker, and how it fared there."""

import math
from dataclasses import dataclass, field

WAIT_MEMORY_SECONDS = 4.0
"""Time constant in which long waits at a worker are forgotten."""

FAILURE_MEMORY_SECONDS = 2.0
"""Time constant in which failures are forgotten, so that an avoided worker is tried again."""


@dataclass
class WorkerLoad:
    """What this node has at a worker and how it fared there.

    :ivar prompt_tokens: of requests without a first token yet.
    :ivar held_tokens: of KV cache that the requests need until they end.
    :ivar failure: share of failures, exponentially weighted.
    :ivar on_trial: it was silent, and nothing has been heard of it since; one request at a
        time finds out whether it is back.
    :ivar waiting: when each request without a first token was sent.
    """

    running: int = 0
    prompt_tokens: int = 0
    held_tokens: int = 0
    failure: float = 0.0
    failure_at: float = 0.0
    suspect_until: float = 0.0
    on_trial: bool = False
    longest_wait: float = 0.0
    longest_wait_at: float = 0.0
    waiting: set[float] = field(default_factory=set)

    def is_avoided(self, now: float) -> bool:
        """Whether a request had better go elsewhere, since the worker was silent of late."""
        return now < self.suspect_until or (self.on_trial and bool(self.waiting))

    def expected_wait(self, now: float) -> float:
        """Return the longest wait for a first token, faded, or of a request still waiting."""
        faded = self.longest_wait * math.exp((self.longest_wait_at - now) / WAIT_MEMORY_SECONDS)
        return max(faded, now - min(self.waiting, default=now))

    def note_wait(self, began_at: float, now: float) -> None:
        """A request waited for its first token."""
        if now - began_at >= self.expected_wait(now):
            self.longest_wait = now - began_at
            self.longest_wait_at = now

    def recent_failure(self, now: float) -> float:
        """Return the share of failures, faded by its age."""
        if not self.failure:
            return 0.0
        return self.failure * math.exp((self.failure_at - now) / FAILURE_MEMORY_SECONDS)
