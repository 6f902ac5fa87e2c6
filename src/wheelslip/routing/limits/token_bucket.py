"""Token bucket used by all rate limits.

The callers determine the part of a limit that a node may grant: on the OpenAI path it is the node's
share of the limit, on the forwarding path it follows from votes of the nodes
(:mod:`wheelslip.routing.limits.limit_authority`).
"""

from dataclasses import dataclass


@dataclass
class TokenBucket:
    """Allows ``rate`` units per second on average, with a burst of ``capacity`` units."""

    rate: float
    capacity: float
    level: float = 0.0
    updated_at: float = 0.0

    def refill(self, now: float) -> None:
        """Add the units accrued since the last refill."""
        self.level = min(self.capacity, self.level + (now - self.updated_at) * self.rate)
        self.updated_at = now

    def acquire(self, amount: float, now: float, overdraft: float = 0.0) -> float:
        """Take ``amount`` units if they are available.

        :param overdraft: how far the level may fall below zero.
        :return: 0 if the units were taken, otherwise the seconds until they are available.
        """
        self.refill(now)
        # An amount above the capacity is granted from a full bucket and leaves a negative level.
        needed = min(amount, self.capacity) - overdraft
        if self.level < needed:
            return (needed - self.level) / self.rate
        self.level -= amount
        return 0.0

    def refund(self, amount: float) -> None:
        """Return units that were acquired but not used."""
        self.level = min(self.capacity, self.level + amount)

    def set_rate(self, rate: float, capacity: float) -> None:
        """Change rate and capacity, keeping the relative fill level."""
        if self.capacity > 0:
            self.level *= capacity / self.capacity
        self.rate = rate
        self.capacity = capacity
