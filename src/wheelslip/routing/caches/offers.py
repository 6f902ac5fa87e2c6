"""Estimates used by the fleet-wide selection: where a prompt is cached, and each worker's cost."""

from typing import NamedTuple

from wheelslip.deployment import CacheStore, EngineProfile, Worker
from wheelslip.routing.caches.cache_moves import TransferEndpoint
from wheelslip.routing.caches.holdings import Chain


class CacheHolder(NamedTuple):
    """A worker or store that has the first ``tokens`` tokens of a prompt cached."""

    tokens: int
    endpoint: TransferEndpoint


class PromptCacheState(NamedTuple):
    """Where a prompt is cached, for one version of the weights.

    :ivar cached_tokens: length of the prefix that each worker has cached or is computing.
    :ivar source: from where the shared parts can be fetched; ``None`` without a source.
    :ivar source_tokens: length of the prefix that the source has cached.
    :ivar recent_ranges: first token and end of each recently used shared part.
    """

    chain: Chain
    cached_tokens: dict[str, int]
    source: TransferEndpoint | None
    source_tokens: int
    recent_ranges: list[tuple[int, int]]

    def recomputed_tokens(self, first: int) -> int:
        """Return how many recently used tokens a prefill that starts at a token recomputes."""
        return sum(max(0, end - max(first, start)) for start, end in self.recent_ranges)


class WorkerEstimate(NamedTuple):
    """Estimated cost of a request at a worker.

    :ivar cost: in seconds.
    :ivar wait_seconds: time until the worker starts the request.
    :ivar slot_wait_seconds: part of it until a slot and memory are free.
    :ivar prefill_seconds: time to fetch and compute the prompt after that.
    """

    cost: float
    worker: Worker
    prefill_tokens: int
    fetched_tokens: int
    wait_seconds: float
    slot_wait_seconds: float
    prefill_seconds: float


def store_endpoint(store: CacheStore) -> TransferEndpoint:
    """Return the transfer endpoint of a store."""
    return TransferEndpoint(store.address, store.zone, store.link_bytes_per_second)


def worker_endpoint(worker: Worker, engine: EngineProfile) -> TransferEndpoint:
    """Return the transfer endpoint of a worker."""
    return TransferEndpoint(worker.info.address, worker.info.zone, engine.link_bytes_per_second)
