"""Index of the prompt blocks that each engine incarnation is expected to have cached.

The index is a heuristic: engines check salt, incarnation and weights version themselves, so a
stale entry affects latency but never correctness. It is updated from the cached token count in
each response, from completed prefills and from cache events.
"""

from dataclasses import dataclass, field

from wheelslip.routing.caches.prefix import BLOCK_TOKENS

INITIAL_RESIDENCE_SECONDS = 5.0
"""Initial estimate of the time until an engine evicts an unused block."""

MIN_RESIDENCE_SECONDS = 0.5
MAX_RESIDENCE_SECONDS = 600.0
_RESIDENCE_GROWTH = 1.5
_RESIDENCE_SHRINK = 0.9
DEFAULT_MAX_BLOCKS = 63_000
"""Maximum number of blocks that a node records: 24 million over 380 nodes."""


@dataclass
class _EngineBlocks:
    """Cached blocks of one engine incarnation: time of the last known use by key."""

    incarnation: str
    last_used: dict[int, float] = field(default_factory=dict)
    residence_seconds: float = INITIAL_RESIDENCE_SECONDS


class PrefixIndex:
    """Expected cache contents by engine; a new incarnation starts empty."""

    def __init__(self, max_blocks: int = DEFAULT_MAX_BLOCKS):
        self._max_blocks = max_blocks
        self._engines: dict[str, _EngineBlocks] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def set_incarnation(self, engine: str, incarnation: str) -> None:
        """Clear the entries of an engine if its incarnation has changed."""
        blocks = self._engines.get(engine)
        if blocks is None or blocks.incarnation != incarnation:
            self.discard_engine(engine)
            self._engines[engine] = _EngineBlocks(incarnation)

    def discard_engine(self, engine: str) -> None:
        """Remove an engine and its blocks."""
        blocks = self._engines.pop(engine, None)
        if blocks is not None:
            self._size -= len(blocks.last_used)

    def residence_seconds(self, engine: str) -> float:
        """Return the estimated time until the engine evicts an unused block."""
        blocks = self._engines.get(engine)
        return blocks.residence_seconds if blocks else INITIAL_RESIDENCE_SECONDS

    def cached_blocks(self, engine: str, keys: tuple[int, ...], now: float) -> int:
        """Return how many leading blocks of a prompt the engine is expected to have cached."""
        blocks = self._engines.get(engine)
        if blocks is None:
            return 0
        oldest = now - blocks.residence_seconds
        last_used = blocks.last_used
        count = 0
        for key in keys:
            used = last_used.get(key)
            if used is None or used < oldest:
                break
            count += 1
        return count

    def first_block_age(self, engine: str, keys: tuple[int, ...], now: float) -> float | None:
        """Return the seconds since a prompt's first block was last used; ``None`` if not indexed."""
        blocks = self._engines.get(engine)
        used = blocks.last_used.get(keys[0]) if blocks and keys else None
        return None if used is None else now - used

    def record_response(
        self,
        engine: str,
        incarnation: str,
        keys: tuple[int, ...],
        cached_tokens: int,
        first_block_age: float | None,
        now: float,
    ) -> None:
        """Record a response: all blocks of its prompt are now cached.

        :param cached_tokens: prompt tokens that were cached when the request arrived.
        :param first_block_age: result of :meth:`first_block_age` when the request was sent, to
            update the residence time.
        """
        blocks = self._engines.get(engine)
        if blocks is None or blocks.incarnation != incarnation:
            return
        if first_block_age is not None:
            _update_residence(blocks, cached_tokens >= BLOCK_TOKENS, first_block_age)
        self._store(blocks, keys, now)

    def record_stored(
        self, engine: str, incarnation: str, keys: tuple[int, ...], now: float
    ) -> None:
        """Record that blocks are cached."""
        blocks = self._engines.get(engine)
        if blocks is not None and blocks.incarnation == incarnation:
            self._store(blocks, keys, now)

    def record_removed(self, engine: str, incarnation: str, keys: tuple[int, ...]) -> None:
        """Record a cache event: blocks were evicted."""
        blocks = self._engines.get(engine)
        if blocks is None or blocks.incarnation != incarnation:
            return
        for key in keys:
            if blocks.last_used.pop(key, None) is not None:
                self._size -= 1

    def record_cleared(self, engine: str, incarnation: str) -> None:
        """Clear an engine's entries after its cache was cleared or cache events were lost."""
        blocks = self._engines.get(engine)
        if blocks is not None and blocks.incarnation == incarnation:
            self._size -= len(blocks.last_used)
            blocks.last_used.clear()

    def _store(self, blocks: _EngineBlocks, keys: tuple[int, ...], now: float) -> None:
        before = len(blocks.last_used)
        # Deepest first: _trim() drops the oldest entries, so a chain loses its tail first.
        for key in reversed(keys):
            used = blocks.last_used.pop(key, now)
            blocks.last_used[key] = max(used, now)
        self._size += len(blocks.last_used) - before
        self._trim()

    def _trim(self) -> None:
        while self._size > self._max_blocks:
            largest = max(self._engines.values(), key=lambda blocks: len(blocks.last_used))
            surplus = min(self._size - self._max_blocks, len(largest.last_used))
            for key in list(largest.last_used)[:surplus]:
                del largest.last_used[key]
            self._size -= surplus


def _update_residence(blocks: _EngineBlocks, hit: bool, age: float) -> None:
    """Adjust the residence time by whether a block of a known age was still cached."""
    if hit and age > blocks.residence_seconds / _RESIDENCE_GROWTH:
        blocks.residence_seconds = min(age * _RESIDENCE_GROWTH, MAX_RESIDENCE_SECONDS)
    elif not hit and age < blocks.residence_seconds:
        shrunk = max(age, blocks.residence_seconds * _RESIDENCE_SHRINK)
        blocks.residence_seconds = max(shrunk, MIN_RESIDENCE_SECONDS)
