"""Rendezvous hashing: consistent selection without coordination between nodes."""

from collections.abc import Iterable

import xxhash


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Return ``candidates`` in descending order of rendezvous weight for ``key``."""
    return sorted(candidates, key=lambda name: (-_weight(key, name), name))


def owner(key: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate with the highest weight for ``key``; ``None`` when there are none."""
    return min(candidates, key=lambda name: (-_weight(key, name), name), default=None)


def _weight(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
