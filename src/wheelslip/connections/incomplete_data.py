"""Detection of data that never completes a part of a response."""

MAX_BYTES = 64 * 1024
"""Bytes without a complete part after which a response is given up."""

MAX_SECONDS = 1.5
"""The same in time, if data keeps arriving: a peer that is only silent is waited for."""

MIN_READS = 4
"""Number of reads from which data counts as arriving continuously."""


class IncompleteData:
    """Data received since the last complete part of a response."""

    def __init__(self):
        self._bytes = 0
        self._reads = 0
        self._since = 0.0

    def clear(self) -> None:
        """Record that a part is complete."""
        self._bytes = self._reads = 0

    def add(self, count: int, now: float) -> bool:
        """Record a read that completed no part.

        :return: whether the response is to be given up.
        """
        if not self._reads:
            self._since = now
        self._reads += 1
        self._bytes += count
        lasts = self._reads >= MIN_READS and now - self._since > MAX_SECONDS
        return self._bytes > MAX_BYTES or lasts
