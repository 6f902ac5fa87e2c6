"""What a choice for all nodes weighs: who keeps a prompt, and what each worker would cost."""

from typing import NamedTuple

from wheelslip.deployment import CacheStore, EngineProfile, Worker
from wheelslip.routing.cache_moves import MoveEnd
from wheelslip.routing.holdings import Chain


class Keeper(NamedTuple):
    """A worker or store that keeps a part of a prompt, and how many tokens of it."""

    tokens: int
    end: MoveEnd


class PromptHoldings(NamedTuple):
    """A prompt at workers of one version of the weights.

    :ivar cached: tokens from the beginning that each worker keeps or reads just now.
    :ivar source: from where the shared parts may be fetched; ``None`` from nowhere.
    :ivar source_tokens: how many tokens from the beginning the source has.
    :ivar recent: first and last token of each shared part that was used of late.
    """

    chain: Chain
    cached: dict[str, int]
    source: MoveEnd | None
    source_tokens: int
    recent: list[tuple[int, int]]

    def reread_tokens(self, first: int) -> int:
        """Return how many tokens are read again by who reads from a token on."""
        return sum(max(0, end - max(first, start)) for start, end in self.recent)


class Offer(NamedTuple):
    """What a worker would cost a request.

    :ivar wait_seconds: until the worker turns to the request.
    :ivar read_seconds: for fetching and reading its prompt then.
    """

    cost: float
    worker: Worker
    read_tokens: int
    fetched_tokens: int
    wait_seconds: float
    read_seconds: float


def end_of_store(store: CacheStore) -> MoveEnd:
    """Return a store as an end of moves."""
    return MoveEnd(store.address, store.zone, store.link_bytes_per_second)


def end_of(worker: Worker, engine: EngineProfile) -> MoveEnd:
    """Return a worker as an end of moves."""
    return MoveEnd(worker.info.address, worker.info.zone, engine.link_bytes_per_second)
