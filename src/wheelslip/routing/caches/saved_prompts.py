"""Shared prompts that are saved to cache stores, as exchanged between nodes.

A store holds only a few seconds' worth of the computed prompts. If every request saved its prompt,
parts used by a single request would evict the shared ones and fill the link of the store. So the
first request that computes a prompt saves it, and no other does until the record expires. A stale
record only costs a recomputation.
"""

from collections import OrderedDict

SAVED_TTL_SECONDS = 15.0
"""Time after which a saved prompt is saved again by the next request."""

ANNOUNCE_SECONDS = 0.8
"""A node reports a new record for this long, which exceeds the interval between polls, so that
records survive a lost message or a change of relay."""

MAX_ANNOUNCED = 128
"""Maximum number of prompts in one message."""

MAX_PROMPTS = 20_000


class SavedPrompts:
    """Saved prompts by the key of their last shared part, oldest first."""

    def __init__(self):
        self._expires_at: OrderedDict[int, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._expires_at)

    def has(self, key: int, now: float) -> bool:
        """Return whether there is an unexpired record of a prompt."""
        return self._expires_at.get(key, now) > now

    def record(self, key: int, now: float) -> None:
        """Record a prompt that has just been saved."""
        self._expires_at.pop(key, None)
        self._expires_at[key] = now + SAVED_TTL_SECONDS
        while len(self._expires_at) > MAX_PROMPTS:
            self._expires_at.popitem(last=False)

    def merge(self, keys: list[int], now: float) -> None:
        """Add records reported by another node; existing ones are not renewed or reported again."""
        for key in keys:
            if not self.has(key, now):
                self.record(key, now)

    def recent(self, now: float) -> list[int]:
        """Return the newest records, to be reported to other nodes."""
        recorded_since = now + SAVED_TTL_SECONDS - ANNOUNCE_SECONDS
        keys = []
        for key in reversed(self._expires_at):
            if self._expires_at[key] < recorded_since or len(keys) == MAX_ANNOUNCED:
                break
            keys.append(key)
        return keys
