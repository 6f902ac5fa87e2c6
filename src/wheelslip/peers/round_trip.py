"""Adaptive timeout for replies of a peer (after RFC 6298)."""

INITIAL_TIMEOUT_SECONDS = 0.06
"""Timeout before the first reply is observed."""

MIN_TIMEOUT_SECONDS = 0.02
"""Minimum timeout, which covers late timers on the event loop."""

MAX_TIMEOUT_SECONDS = 0.15
"""Maximum timeout, which bounds the delay that a lost dispatcher adds to a request."""

SMOOTHING = 1 / 8
VARIATION_SMOOTHING = 1 / 4
VARIATION_MULTIPLIER = 4.0
"""alpha, beta and K of RFC 6298, section 2."""


class RoundTrip:
    """Smoothed round-trip time of one peer and its variation.

    :ivar timeout_seconds: current timeout for a reply.
    """

    def __init__(self):
        self._smoothed: float | None = None
        self._variation = 0.0
        self.timeout_seconds = INITIAL_TIMEOUT_SECONDS

    def observe(self, seconds: float) -> None:
        """Update the timeout with a reply.

        :param seconds: time since the query was first sent.
        """
        if self._smoothed is None:
            self._smoothed, self._variation = seconds, seconds / 2
        else:
            difference = abs(seconds - self._smoothed)
            self._variation += VARIATION_SMOOTHING * (difference - self._variation)
            self._smoothed += SMOOTHING * (seconds - self._smoothed)
        timeout = self._smoothed + VARIATION_MULTIPLIER * self._variation
        self.timeout_seconds = min(MAX_TIMEOUT_SECONDS, max(MIN_TIMEOUT_SECONDS, timeout))

    def back_off(self) -> None:
        """Double the timeout after a query without a reply."""
        self.timeout_seconds = min(MAX_TIMEOUT_SECONDS, 2 * self.timeout_seconds)
