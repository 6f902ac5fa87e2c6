"""How long to wait for a peer's answer, learned from its answers (after RFC 6298)."""

INITIAL_SECONDS = 0.06
"""Longest wait before the first answer is known."""

LEAST_SECONDS = 0.02
"""Shortest wait: a way to another zone and back takes some 3 ms, and timers are late."""

MOST_SECONDS = 0.15
"""Longest wait: a fifth of the time within which a first token has its full worth."""

SMOOTHING = 1 / 8
VARIATION_SMOOTHING = 1 / 4
VARIATIONS = 4.0
"""Weights of the smoothed time and of its variation (RFC 6298, section 2)."""


class RoundTrip:
    """Smoothed round trip time of one peer and its variation."""

    def __init__(self):
        self._smoothed: float | None = None
        self._variation = 0.0
        self.timeout_seconds = INITIAL_SECONDS

    def observe(self, seconds: float) -> None:
        """An answer came this long after its question was first sent."""
        if self._smoothed is None:
            self._smoothed, self._variation = seconds, seconds / 2
        else:
            difference = abs(seconds - self._smoothed)
            self._variation += VARIATION_SMOOTHING * (difference - self._variation)
            self._smoothed += SMOOTHING * (seconds - self._smoothed)
        timeout = self._smoothed + VARIATIONS * self._variation
        self.timeout_seconds = min(MOST_SECONDS, max(LEAST_SECONDS, timeout))

    def back_off(self) -> None:
        """No answer came: wait longer the next time."""
        self.timeout_seconds = min(MOST_SECONDS, 2 * self.timeout_seconds)
