"""Prefills in progress, which requests with the same prefix may wait for."""

from collections.abc import Iterator
from dataclasses import dataclass


@dataclass
class Prefill:
    """A prompt that an engine is computing.

    :ivar keys: prefix keys of the prompt.
    :ivar remote_head: registry head of the prompt if another node sent it, else ``None``. Only
        the head's home node reports the end of such a prefill.
    """

    engine: str
    keys: tuple[int, ...]
    started_at: float
    expected_end: float
    uncached_tokens: int = 0
    remote_head: int | None = None

    def shared_blocks(self, keys: tuple[int, ...]) -> int:
        """Return the length of the common prefix, in blocks.

        A key covers all blocks up to its own, so a binary search finds the first difference.
        """
        low, high = 0, min(len(self.keys), len(keys))
        while low < high:
            middle = (low + high + 1) // 2
            if self.keys[middle - 1] == keys[middle - 1]:
                low = middle
            else:
                high = middle - 1
        return low


class ActivePrefills:
    """Prefills in progress by name: the request id, or engine and head for remote ones."""

    def __init__(self):
        self._prefills: dict[str, Prefill] = {}

    def __iter__(self) -> Iterator[tuple[str, Prefill]]:
        return iter(self._prefills.items())

    def add(self, name: str, prefill: Prefill) -> None:
        """Add or replace a prefill."""
        self._prefills[name] = prefill

    def remove(self, name: str) -> Prefill | None:
        """Remove and return a prefill; ``None`` when there is none."""
        return self._prefills.pop(name, None)

    def remove_engine(self, engine: str) -> None:
        """Remove all prefills of an engine."""
        for name, prefill in list(self._prefills.items()):
            if prefill.engine == engine:
                del self._prefills[name]

    def remove_due_remote(self, now: float) -> list[int]:
        """Remove the remote prefills whose expected end has passed and return their heads."""
        due = [
            (name, prefill.remote_head)
            for name, prefill in self._prefills.items()
            if prefill.remote_head is not None and now >= prefill.expected_end
        ]
        for name, _ in due:
            del self._prefills[name]
        return [head for _, head in due]
