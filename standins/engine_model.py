"""Simulated model engine with continuous batching, a prefix cache and priorities.

:class:`EngineModel` reads no clock: callers pass the time as ``now``, in seconds, and call
:meth:`EngineModel.advance`. It is used by the stand-in engine server in real time and by the
emulator of the benchmarks in virtual time.
"""

import heapq
import itertools
from collections import OrderedDict
from dataclasses import dataclass, field

from wheelslip.routing.caches.prefix import BLOCK_TOKENS


@dataclass(frozen=True)
class EngineProfile:
    """Speed and capacity of one engine.

    :param prefill_tokens_per_second: prompt tokens computed per second.
    :param step_seconds: fixed part of the duration of a batch step.
    :param decode_seconds: added to a step for each sequence that decodes in it.
    :param max_batch: maximum number of running sequences.
    :param prefill_chunk_tokens: maximum number of prompt tokens computed in one step.
    :param cache_blocks: capacity of the prefix cache in blocks.
    :param idle_eviction_seconds: time without use after which a block is evicted.
    """

    prefill_tokens_per_second: float = 8000.0
    step_seconds: float = 0.02
    decode_seconds: float = 0.0005
    max_batch: int = 64
    prefill_chunk_tokens: int = 2048
    cache_blocks: int = 4000
    idle_eviction_seconds: float = 8.0


@dataclass(frozen=True)
class BlockOrigin:
    """User and weights version for which a cached block was computed."""

    user: str
    weights_version: str


@dataclass
class Sequence:
    """One request in the engine.

    :ivar block_keys: keys of the prompt's blocks in the prefix cache, from its start on.
    :ivar priority: sequences with lower values are admitted first.
    :ivar cached_tokens: prompt tokens taken from the prefix cache.
    :ivar cached_origins: origins of the cached blocks that were used.
    :ivar prefill_remaining: prompt tokens still to be computed.
    :ivar emitted_tokens: output tokens produced so far.
    :ivar arrival_time: when the sequence was submitted.
    :ivar start_time: when the sequence was admitted to the batch, or ``None`` before.
    """

    request_id: str
    block_keys: tuple[int, ...]
    prompt_tokens: int
    output_tokens: int
    origin: BlockOrigin
    priority: int = 0
    cached_tokens: int = 0
    cached_origins: tuple[BlockOrigin, ...] = ()
    prefill_remaining: int = 0
    emitted_tokens: int = 0
    arrival_time: float = 0.0
    start_time: float | None = None


@dataclass(frozen=True)
class TokenEvent:
    """One output token of a sequence.

    :ivar index: position in the output, from 0.
    :ivar finished: whether this is the last token.
    :ivar emitted_at: time of its emission in seconds.
    """

    request_id: str
    index: int
    finished: bool
    emitted_at: float


@dataclass
class _Block:
    origin: BlockOrigin
    last_used: float


@dataclass
class CacheChanges:
    """Keys of blocks added to and evicted from a prefix cache, in order."""

    stored: list[int] = field(default_factory=list)
    removed: list[int] = field(default_factory=list)


class PrefixCache:
    """Cached prompt blocks with eviction by capacity (least recently used) and by idle time.

    :ivar changes: blocks added and evicted since the cache was created.
    """

    def __init__(self, capacity: int, idle_seconds: float):
        self._blocks: OrderedDict[int, _Block] = OrderedDict()
        self._capacity = capacity
        self._idle_seconds = idle_seconds
        self.changes = CacheChanges()

    def __len__(self) -> int:
        return len(self._blocks)

    def __contains__(self, key: int) -> bool:
        return key in self._blocks

    def match(self, keys: tuple[int, ...], now: float) -> list[_Block]:
        """Return the blocks of the longest cached prefix and update their time of use."""
        self.evict_idle(now)
        matched = []
        for key in keys:
            block = self._blocks.get(key)
            if block is None:
                break
            matched.append(block)
        # From the last block to the first, so that the first block of a prefix is evicted last.
        for key in reversed(keys[: len(matched)]):
            self._blocks[key].last_used = now
            self._blocks.move_to_end(key)
        return matched

    def store(self, keys: tuple[int, ...], origin: BlockOrigin, now: float) -> None:
        """Add the blocks of a computed prompt and evict blocks beyond the capacity."""
        for key in reversed(keys):
            block = self._blocks.get(key)
            if block is None:
                self._blocks[key] = _Block(origin, now)
                self.changes.stored.append(key)
            else:
                block.last_used = now
                self._blocks.move_to_end(key)
        while len(self._blocks) > self._capacity:
            self._evict_oldest()

    def evict_idle(self, now: float) -> None:
        """Evict blocks that were not used for the idle time."""
        while self._blocks:
            oldest = next(iter(self._blocks.values()))
            if now - oldest.last_used < self._idle_seconds:
                return
            self._evict_oldest()

    def _evict_oldest(self) -> None:
        key, _ = self._blocks.popitem(last=False)
        self.changes.removed.append(key)


class EngineModel:
    """Continuous batching of sequences in steps of simulated duration."""

    def __init__(self, profile: EngineProfile):
        self.profile = profile
        self.cache = PrefixCache(profile.cache_blocks, profile.idle_eviction_seconds)
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._running: dict[str, Sequence] = {}
        self._cancelled: set[str] = set()
        self._arrivals = itertools.count()
        self._step_end: float | None = None
        self._step_prefill: dict[str, int] = {}

    @property
    def running_count(self) -> int:
        """Number of sequences in the batch."""
        return len(self._running)

    @property
    def waiting_count(self) -> int:
        """Number of queued sequences."""
        return len(self._waiting)

    def submit(self, sequence: Sequence, now: float) -> None:
        """Queue a sequence and start a step if the engine is idle."""
        sequence.arrival_time = now
        heapq.heappush(self._waiting, (sequence.priority, next(self._arrivals), sequence))
        if self._step_end is None:
            self._begin_step(now)

    def cancel(self, request_id: str) -> None:
        """Remove a queued or running sequence; unknown ids are ignored."""
        self._running.pop(request_id, None)
        self._waiting = [entry for entry in self._waiting if entry[2].request_id != request_id]
        heapq.heapify(self._waiting)

    def next_time(self) -> float | None:
        """Return when the current step ends, or ``None`` when the engine is idle."""
        return self._step_end

    def advance(self, now: float) -> list[TokenEvent]:
        """Finish all steps that end by ``now`` and return the tokens produced in them."""
        events: list[TokenEvent] = []
        while self._step_end is not None and self._step_end <= now:
            step_end = self._step_end
            events.extend(self._finish_step(step_end))
            self._begin_step(step_end)
        return events

    def _begin_step(self, now: float) -> None:
        self._admit(now)
        if not self._running:
            self._step_end = None
            return
        budget = self.profile.prefill_chunk_tokens
        self._step_prefill = {}
        decoding = 0
        for sequence in self._running.values():
            if sequence.prefill_remaining == 0:
                decoding += 1
                continue
            chunk_tokens = min(budget, sequence.prefill_remaining)
            budget -= chunk_tokens
            if chunk_tokens:
                self._step_prefill[sequence.request_id] = chunk_tokens
        prefill_tokens = self.profile.prefill_chunk_tokens - budget
        duration = self.profile.step_seconds
        duration += prefill_tokens / self.profile.prefill_tokens_per_second
        duration += decoding * self.profile.decode_seconds
        self._step_end = now + duration

    def _admit(self, now: float) -> None:
        while self._waiting and len(self._running) < self.profile.max_batch:
            _, _, sequence = heapq.heappop(self._waiting)
            matched = self.cache.match(sequence.block_keys, now)
            sequence.cached_tokens = min(len(matched) * BLOCK_TOKENS, sequence.prompt_tokens - 1)
            sequence.cached_origins = tuple(block.origin for block in matched)
            # As in real engines, the last prompt token is always computed, so prefill takes a step.
            sequence.prefill_remaining = max(1, sequence.prompt_tokens - sequence.cached_tokens)
            sequence.start_time = now
            self._running[sequence.request_id] = sequence

    def _finish_step(self, now: float) -> list[TokenEvent]:
        events = []
        for sequence in list(self._running.values()):
            chunk_tokens = self._step_prefill.get(sequence.request_id, 0)
            if sequence.prefill_remaining:
                sequence.prefill_remaining -= chunk_tokens
                if sequence.prefill_remaining:
                    continue
                self.cache.store(sequence.block_keys, sequence.origin, now)
            events.append(self._emit(sequence, now))
        return events

    def _emit(self, sequence: Sequence, now: float) -> TokenEvent:
        index = sequence.emitted_tokens
        sequence.emitted_tokens += 1
        finished = sequence.emitted_tokens >= sequence.output_tokens
        if finished:
            del self._running[sequence.request_id]
        return TokenEvent(sequence.request_id, index, finished, now)
