"""Keys, transactions and errors that all clients of key-value services share.

A failed call raises :class:`KeyValueUnavailable` if it certainly had no effect, and
:class:`KeyValueOutcomeUnknown` if it was sent but its response was lost.
"""

from dataclasses import dataclass, field

ERA_BITS = 40
"""Position of the era of a store in a revision: the store's own revisions stay below 2 ** 40."""


def ordered_revision(era: int, revision: int) -> int:
    """Return a revision that is higher than all revisions of earlier eras."""
    return (era << ERA_BITS) | revision


def era_of(revision: int) -> int:
    """Return the era of an ordered revision."""
    return revision >> ERA_BITS


def store_revision(revision: int) -> int:
    """Return the store's own revision of an ordered one."""
    return revision & ((1 << ERA_BITS) - 1)


class KeyValueError(Exception):
    """Base class of failed calls to the key-value service."""


class KeyValueUnavailable(KeyValueError):
    """Raised when a call had no effect because it was not sent or was rejected."""


class KeyValueOutcomeUnknown(KeyValueError):
    """Raised when the response to a call was lost; the call may have taken effect."""


class WatchCompacted(KeyValueError):
    """Raised when a watch starts at a revision whose history is no longer available."""


@dataclass(frozen=True)
class KeyValue:
    """A stored key, its value and the revision of its last change."""

    key: str
    value: bytes
    mod_revision: int


@dataclass(frozen=True)
class Put:
    """Write of one key.

    :ivar lease: lease with which the key is removed; 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True)
class Delete:
    """Removal of one key."""

    key: str


@dataclass(frozen=True)
class Transaction:
    """One compare-and-swap.

    :ivar expected: expected revision of the last change by key; 0 if the key must be absent.
    :ivar changes: changes that are made if all revisions are as expected.
    :ivar read_on_conflict: keys that are returned otherwise.
    """

    expected: dict[str, int]
    changes: tuple[Put | Delete, ...]
    read_on_conflict: tuple[str, ...] = ()


@dataclass(frozen=True)
class TransactionResult:
    """Result of a transaction.

    :ivar succeeded: whether the changes were made.
    :ivar revision: revision of the service after the transaction.
    :ivar conflicting: the keys that were read because a revision was not as expected.
    """

    succeeded: bool
    revision: int
    conflicting: tuple[KeyValue, ...] = ()


@dataclass(frozen=True)
class RangeResult:
    """Keys in a range, and the revision of the service at which they were read."""

    revision: int
    entries: tuple[KeyValue, ...]


@dataclass(frozen=True)
class WatchBatch:
    """Changes up to a revision of the service.

    :ivar changes: key, value and revision of each change; the value of a removed key is ``None``.
    """

    revision: int
    changes: tuple[tuple[str, bytes | None, int], ...] = field(default=())
