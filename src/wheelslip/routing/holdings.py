"""What each worker is believed to keep of prompts, from the requests that were placed.

A hint only: salts and preconditions at the worker decide what may be used.
"""

from collections import OrderedDict
from collections.abc import Iterable

import xxhash

Chain = tuple[tuple[int, int], ...]
"""Parts of a prompt in order: (key over all parts so far, tokens of this part)."""


def chain_of(salt: str, parts: tuple[tuple[str, int], ...]) -> Chain:
    """Return the chain of a prompt under a salt; its keys are the same at all nodes.

    :param parts: id and tokens of each part, in order.
    """
    key = xxhash.xxh3_64_intdigest(salt.encode())
    chain = []
    for part_id, tokens in parts:
        key = xxhash.xxh3_64_intdigest(f"{key:x}/{part_id}".encode())
        chain.append((key, tokens))
    return tuple(chain)


class WorkerHoldings:
    """Least recently used parts of one worker, within its memory."""

    def __init__(self, capacity_tokens: int):
        self._capacity = capacity_tokens
        self._parts: OrderedDict[int, int] = OrderedDict()
        self._tokens = 0

    def record(self, chain: Chain) -> None:
        """The worker has just read these parts; the last are the first to give way."""
        for key, tokens in reversed(chain):
            self._tokens += tokens - self._parts.pop(key, 0)
            self._parts[key] = tokens
        while self._tokens > self._capacity and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def __contains__(self, key: int) -> bool:
        return key in self._parts

    def discard(self, keys: Iterable[int]) -> None:
        """The worker has not read these parts after all."""
        for key in keys:
            self._tokens -= self._parts.pop(key, 0)

    def cached_tokens(self, chain: Chain) -> int:
        """Return how many tokens from the beginning are believed kept."""
        total = 0
        for key, tokens in chain:
            if key not in self._parts:
                break
            total += tokens
        return total
