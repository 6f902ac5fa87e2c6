"""Whether the workers of a service can begin a request in time.

In overload a queue in order of arrival makes all requests late: what is sent to a worker waits
behind what is late already. So a request that no worker can begin within its target is not
sent: it waits a moment, and then its caller is told when to come back.
"""

ADMITTED_SHARE = 0.8
"""Part of a target that may pass before a worker begins; the rest is for reading the prompt and
making the first tokens."""

URGENT_FACTOR = 1.15
"""A kind of request may wait this much longer than one that is less urgent, so that it is not
refused first although its target may be shorter."""

LEAST_RETRY_SECONDS = 0.4
"""Shortest time after which a refused caller is told to come back."""

MOST_RETRY_SECONDS = 1.5
"""Longest such time: callers wait up to a third of what is left to them, of five seconds at
the deployments with the least."""


class AdmissionLimits:
    """The longest wait at the workers of one service, by priority, learned from its requests."""

    def __init__(self):
        self._targets: dict[int, float] = {}

    def longest_wait(self, priority: int, target_seconds: float) -> float:
        """Return how long a request may wait for its turn at a worker.

        :param priority: 0 is the most urgent.
        """
        self._targets[priority] = target_seconds
        longest = 0.0
        for other in sorted(self._targets, reverse=True):
            if other < priority:
                break
            longest = max(ADMITTED_SHARE * self._targets[other], URGENT_FACTOR * longest)
        return longest


def retry_seconds(wait_seconds: float) -> float:
    """Return after how long a caller shall come back when the shortest wait is this long."""
    return min(MOST_RETRY_SECONDS, max(LEAST_RETRY_SECONDS, wait_seconds))
