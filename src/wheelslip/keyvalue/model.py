"""Types of a key-value service that every dialect of it shares: outcomes, keys, transactions.

Outcomes are kept apart: :class:`KeyValueUnavailable` means that the request surely had no
effect, :class:`KeyValueOutcomeUnknown` that it was sent and its answer was lost.
"""

from dataclasses import dataclass, field


class KeyValueError(Exception):
    """The key-value service did not answer usefully."""


class KeyValueUnavailable(KeyValueError):
    """The request had no effect: it was not sent, or it was refused."""


class KeyValueOutcomeUnknown(KeyValueError):
    """The request was sent and its answer was lost; it may have taken effect."""


class WatchCompacted(KeyValueError):
    """The watch asked for revisions that the service has forgotten."""


@dataclass(frozen=True)
class KeyValue:
    """One stored key with the revision of its last change."""

    key: str
    value: bytes
    mod_revision: int


@dataclass(frozen=True)
class Put:
    """Write one key, bound to a lease when one is given."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True)
class Delete:
    """Delete one key."""

    key: str


@dataclass(frozen=True)
class Transaction:
    """One compare-and-swap.

    :param expected: key to the mod revision it must have; 0 means absent.
    :param changes: what to do when all expectations hold.
    :param read_on_conflict: keys to return when one does not hold.
    """

    expected: dict[str, int]
    changes: tuple[Put | Delete, ...]
    read_on_conflict: tuple[str, ...] = ()


@dataclass(frozen=True)
class TransactionResult:
    """Whether the swap took effect, at which revision, and the keys read on conflict."""

    succeeded: bool
    revision: int
    conflicting: tuple[KeyValue, ...] = ()


@dataclass(frozen=True)
class RangeResult:
    """Keys in a range and the service's revision at that moment."""

    revision: int
    entries: tuple[KeyValue, ...]


@dataclass(frozen=True)
class WatchBatch:
    """Changes up to ``revision``; a deleted key has value ``None``."""

    revision: int
    changes: tuple[tuple[str, bytes | None, int], ...] = field(default=())
