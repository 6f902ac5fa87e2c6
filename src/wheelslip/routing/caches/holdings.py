"""Estimate of the prompt parts cached at a worker or store, from the requests sent there.

The estimate may be wrong: the worker itself decides by salt and precondition which cached parts
it uses.
"""

from collections import OrderedDict
from collections.abc import Iterable

import xxhash

Chain = tuple[tuple[int, int], ...]
"""Parts of a prompt in order: (hash over all parts up to this one, tokens of this part)."""


def chain_of(salt: str, parts: tuple[tuple[str, int], ...]) -> Chain:
    """Return the hash chain of a prompt under a salt; its keys are the same at all nodes.

    :param parts: id and tokens of each part, in order.
    """
    key = xxhash.xxh3_64_intdigest(salt.encode())
    chain = []
    for part_id, tokens in parts:
        key = xxhash.xxh3_64_intdigest(f"{key:x}/{part_id}".encode())
        chain.append((key, tokens))
    return tuple(chain)


class CachedParts:
    """Prompt parts in one cache, evicted in least recently used order.

    :param capacity_tokens: capacity of the cache.
    """

    def __init__(self, capacity_tokens: int):
        self._capacity = capacity_tokens
        self._parts: OrderedDict[int, int] = OrderedDict()
        self._tokens = 0

    def record(self, chain: Chain) -> None:
        """Record the parts as just used; the last parts are evicted first."""
        for key, tokens in reversed(chain):
            self._tokens += tokens - self._parts.pop(key, 0)
            self._parts[key] = tokens
        while self._tokens > self._capacity and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def __contains__(self, key: int) -> bool:
        return key in self._parts

    def discard(self, keys: Iterable[int]) -> None:
        """Remove parts that were not computed after all."""
        for key in keys:
            self._tokens -= self._parts.pop(key, 0)

    def cached_tokens(self, chain: Chain) -> int:
        """Return the length in tokens of the prefix that is estimated to be cached."""
        total = 0
        for key, tokens in chain:
            if key not in self._parts:
                break
            total += tokens
        return total
