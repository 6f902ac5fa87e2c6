"""Retry budget, backoff with jitter, and a circuit breaker for each engine incarnation."""

import random
from dataclasses import dataclass

RETRY_RATIO = 0.2
"""Retries allowed for each first attempt, so that an outage adds at most a fifth of the load."""

RETRY_RESERVE = 10.0
"""Retries that may accumulate, and that are available at the start."""

BACKOFF_BASE_SECONDS = 0.05
BACKOFF_MAX_SECONDS = 1.0

CIRCUIT_FAILURES = 3
"""Consecutive failures that open a circuit."""

CIRCUIT_OPEN_SECONDS = 2.0


class RetryBudget:
    """Allows retries as a share of first attempts, with a small reserve."""

    def __init__(self, ratio: float = RETRY_RATIO, reserve: float = RETRY_RESERVE):
        self._ratio = ratio
        self._reserve = reserve
        self._balance = reserve

    def record_first_attempt(self) -> None:
        """Add the share of one first attempt to the budget."""
        self._balance = min(self._reserve, self._balance + self._ratio)

    def take_retry(self) -> bool:
        """Take one retry from the budget; return ``False`` if it is exhausted."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


def backoff_seconds(retry: int, random_source: random.Random) -> float:
    """Return a full-jitter pause before retry number ``retry`` (from 1)."""
    ceiling = min(BACKOFF_MAX_SECONDS, BACKOFF_BASE_SECONDS * 2 ** (retry - 1))
    return random_source.uniform(0, ceiling)


@dataclass
class Circuit:
    """Circuit breaker that opens after consecutive failures of one engine incarnation.

    Once :attr:`open_until` has passed it allows requests again; one more failure reopens it.
    """

    incarnation: str
    failures: int = 0
    open_until: float = 0.0

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        return self.failures < CIRCUIT_FAILURES or now >= self.open_until

    def record_success(self) -> None:
        """Close the circuit."""
        self.failures = 0

    def record_failure(self, now: float, random_source: random.Random) -> bool:
        """Count a failure; return whether this one opened the circuit."""
        self.failures += 1
        if self.failures >= CIRCUIT_FAILURES:
            # Jitter keeps the nodes from probing a failed engine all at the same moment.
            self.open_until = now + CIRCUIT_OPEN_SECONDS * random_source.uniform(0.75, 1.25)
        return self.failures == CIRCUIT_FAILURES
