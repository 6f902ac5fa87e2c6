"""Prompt parts cached at workers and stores, recorded from the requests of all nodes.

The dispatcher records every request that it grants and the outcome. The records may still be
wrong: the worker itself decides by salt and precondition which cached parts it uses.
"""

from collections import Counter, OrderedDict, defaultdict
from collections.abc import Callable
from typing import NamedTuple

from wheelslip.deployment import CacheStore, EngineProfile, Incarnation
from wheelslip.routing.caches.holdings import CachedParts, Chain
from wheelslip.routing.caches.saved_prompts import SavedPrompts
from wheelslip.routing.placement import Placement

DEFAULT_STORE_TOKENS = 1_000_000
"""Assumed capacity of a store whose configuration does not specify one."""

RECENT_USE_SECONDS = 10.0
"""A shared part that was not used for this long is recomputed without the extra cost."""

MAX_USED_PARTS = 50_000


class CachedPrompt(NamedTuple):
    """A prompt that a worker has computed, reported to a dispatcher without a record of it."""

    worker: Incarnation
    chain: Chain


class FleetCacheIndex:
    """Cached prompt parts by worker and store, parts being computed, and times of last use."""

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._workers: dict[Incarnation, CachedParts] = {}
        self._computing: defaultdict[Incarnation, Counter[int]] = defaultdict(Counter)
        self._stores: dict[str, CachedParts] = {}
        self._saved = SavedPrompts()
        self._used_at: OrderedDict[int, float] = OrderedDict()

    def forget(self, worker_id: Incarnation) -> None:
        """Delete the records of a departed worker."""
        self._workers.pop(worker_id, None)
        self._computing.pop(worker_id, None)

    def _worker_parts(self, worker_id: Incarnation, engine: EngineProfile) -> CachedParts:
        parts = self._workers.get(worker_id)
        if parts is None:
            parts = self._workers[worker_id] = CachedParts(engine.cache_tokens)
        return parts

    def cached_tokens(self, worker_id: Incarnation, engine: EngineProfile, chain: Chain) -> int:
        """Return the length of the prefix that a worker has cached or is computing."""
        return self._worker_parts(worker_id, engine).cached_tokens(chain)

    def fetchable_tokens(self, worker_id: Incarnation, engine: EngineProfile, shared: Chain) -> int:
        """Return the length of the prefix that other workers can fetch from a worker now."""
        parts, computing = self._worker_parts(worker_id, engine), self._computing.get(worker_id)
        total = 0
        for key, tokens in shared:
            if key not in parts or (computing and computing.get(key)):
                break
            total += tokens
        return total

    def uncached_keys(
        self, worker_id: Incarnation, engine: EngineProfile, chain: Chain
    ) -> tuple[int, ...]:
        """Return the keys of the parts that a worker neither has cached nor is computing."""
        parts = self._worker_parts(worker_id, engine)
        return tuple(key for key, _ in chain if key not in parts)

    def record_prompt(self, prompt: CachedPrompt, engine: EngineProfile) -> None:
        """Record a prompt that a worker computed under another dispatcher."""
        self._worker_parts(prompt.worker, engine).record(prompt.chain)

    def begin(self, placement: Placement, engine: EngineProfile) -> None:
        """Record that a worker starts to compute a prompt."""
        worker_id = placement.worker.info.id
        self._worker_parts(worker_id, engine).record(placement.chain)
        self._computing[worker_id].update(placement.uncached_keys)
        self._record_use(placement.chain[:-1])

    def finish(self, placement: Placement, engine: EngineProfile) -> None:
        """Record that a worker has computed a prompt."""
        self._end_computing(placement)
        self._worker_parts(placement.worker.info.id, engine).record(placement.chain)

    def abandon(self, placement: Placement) -> None:
        """Record that a worker did not compute a prompt.

        Parts that another request is computing there stay recorded.
        """
        worker_id = placement.worker.info.id
        self._end_computing(placement)
        parts, computing = self._workers.get(worker_id), self._computing[worker_id]
        if parts is not None:
            parts.discard(key for key in placement.uncached_keys if not computing.get(key))

    def _end_computing(self, placement: Placement) -> None:
        computing = self._computing[placement.worker.info.id]
        for key in placement.uncached_keys:
            computing[key] -= 1
            if computing[key] <= 0:
                del computing[key]

    def recently_used_ranges(self, shared: Chain) -> list[tuple[int, int]]:
        """Return first token and end of each shared part that was recently used."""
        used_since = self._clock() - RECENT_USE_SECONDS
        ranges, start = [], 0
        for key, tokens in shared:
            if self._used_at.get(key, float("-inf")) >= used_since:
                ranges.append((start, start + tokens))
            start += tokens
        return ranges

    def _record_use(self, shared: Chain) -> None:
        now = self._clock()
        for key, _ in shared:
            self._used_at.pop(key, None)
            self._used_at[key] = now
        while len(self._used_at) > MAX_USED_PARTS:
            self._used_at.popitem(last=False)

    def _store_parts(self, store: CacheStore) -> CachedParts:
        if store.address not in self._stores:
            capacity_tokens = store.cache_tokens or DEFAULT_STORE_TOKENS
            self._stores[store.address] = CachedParts(capacity_tokens)
        return self._stores[store.address]

    def stored_tokens(self, store: CacheStore, shared: Chain) -> int:
        """Return the length of the prefix that a store has cached."""
        return self._store_parts(store).cached_tokens(shared)

    def is_saved(self, store: CacheStore, chain: Chain) -> bool:
        """Return whether a prompt need not be saved to a store again."""
        key = chain[-2][0] if len(chain) > 1 else chain[-1][0]
        # A store may restart unnoticed and lose its content, so the record of a save expires.
        return self._saved.has(key, self._clock()) and key in self._store_parts(store)

    def record_fetch(self, store: CacheStore, shared: Chain) -> None:
        """Record that a worker fetches shared parts from a store."""
        self._store_parts(store).record(shared)

    def record_save(self, store: CacheStore, placement: Placement) -> None:
        """Record that a worker saves a prompt to a store."""
        self._saved.record(placement.shared_key, self._clock())
        self._store_parts(store).record(placement.chain)
