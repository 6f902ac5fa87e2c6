"""The token bucket behind all tenants' limits.

How much of a limit a node may give out is decided elsewhere: by this node's share on the
OpenAI path, by votes of the nodes on the forwarding path (``tenant_limits``).
"""

from dataclasses import dataclass


@dataclass
class TokenBucket:
    """Allows ``rate`` units a second on average, with a burst of ``capacity`` units."""

    rate: float
    capacity: float
    level: float = 0.0
    updated_at: float = 0.0

    def refill(self, now: float) -> None:
        """Add what has come since the last time."""
        self.level = min(self.capacity, self.level + (now - self.updated_at) * self.rate)
        self.updated_at = now

    def acquire(self, amount: float, now: float, overdraft: float = 0.0) -> float:
        """Take ``amount`` if it is there; return 0, or the seconds until it will be.

        :param overdraft: how far the level may fall below zero by this.
        """
        self.refill(now)
        # An amount above the capacity passes once the bucket is full, and leaves a debt.
        needed = min(amount, self.capacity) - overdraft
        if self.level < needed:
            return (needed - self.level) / self.rate
        self.level -= amount
        return 0.0

    def refund(self, amount: float) -> None:
        """Put back what was taken and not used."""
        self.level = min(self.capacity, self.level + amount)

    def set_rate(self, rate: float, capacity: float) -> None:
        """Change the rate; a full bucket stays full."""
        if self.capacity > 0:
            self.level *= capacity / self.capacity
        self.rate = rate
        self.capacity = capacity
