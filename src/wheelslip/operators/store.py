"""Stores the configuration in the key-value service.

A change is one transaction that compares and swaps the head key and writes the changed
objects. A change is *accepted* when its transaction committed; its revision is the one that
the service assigned.
"""

import enum
import time
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from wheelslip.documents import DocumentError, decode_document
from wheelslip.events import LogEvent, log_event
from wheelslip.keyvalue.client import KeyValueClient
from wheelslip.keyvalue.model import (
    Delete,
    KeyValueOutcomeUnknown,
    KeyValueUnavailable,
    Put,
    Transaction,
    WatchBatch,
)
from wheelslip.operators.configuration import ConfigurationChange, ConfigurationState

PREFIX = "/wheelslip/configuration/"
HEAD_KEY = PREFIX + "head"
OBJECT_PREFIX = PREFIX + "objects/"

_MAX_RECENT_CHANGES = 32
_RESOLVE_RETRY_SECONDS = 0.2


class RecentChange(msgspec.Struct, frozen=True):
    """An accepted change, listed in the head so that retries can detect it."""

    change_id: str
    previous: int


class Head(msgspec.Struct, frozen=True):
    """Value of the head key: the latest change and the most recent ones before it."""

    change_id: str
    previous: int
    recent: tuple[RecentChange, ...] = ()

    def accepted(self, change_id: str) -> bool:
        """Return whether the change is the latest one or one of the recent ones."""
        return change_id == self.change_id or any(
            change.change_id == change_id for change in self.recent
        )

    def revision_of(self, change_id: str) -> int | None:
        """Return the revision of a superseded change; ``None`` if it is not listed."""
        revision = self.previous
        for change in self.recent:
            if change.change_id == change_id:
                return revision
            revision = change.previous
        return None


class WriteOutcome(enum.Enum):
    """Outcome of writing a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class WriteResult:
    """Result of writing a change.

    :ivar change: the accepted change; ``None`` if it was not accepted or was already superseded.
    :ivar superseded_revision: revision of an accepted change that was already superseded.
    :ivar head_change_id: latest change, if it is another one.
    :ivar head_revision: revision of the latest change, if it is another one.
    """

    outcome: WriteOutcome
    change: ConfigurationChange | None = None
    head_change_id: str = ""
    head_revision: int = 0
    superseded_revision: int = 0


class RevisionGap(Exception):
    """Raised when a watched change is not based on the previous one: an event was missed."""


class ConfigurationStore:
    """Reads, writes and watches the configuration through a key-value client."""

    def __init__(self, client: KeyValueClient):
        self._client = client

    def read(self) -> ConfigurationState:
        """Return the complete state.

        :raises KeyValueError: when the service cannot be read.
        """
        entries = self._client.list_prefix(PREFIX).entries
        objects = {
            entry.key.removeprefix(OBJECT_PREFIX): entry.value.decode()
            for entry in entries
            if entry.key.startswith(OBJECT_PREFIX)
        }
        for entry in entries:
            if entry.key == HEAD_KEY:
                head = _decode_head(entry.value)
                return ConfigurationState(entry.mod_revision, head.change_id, objects)
        return ConfigurationState()

    def has_accepted(self, change_id: str) -> bool:
        """Return whether the change is listed in the head as accepted.

        :raises KeyValueError: when the service cannot be read.
        """
        current = self._client.get(HEAD_KEY)
        if current is None:
            return False
        return _decode_head(current.value).accepted(change_id)

    def write(
        self, expected: int, change_id: str, objects: dict[str, str | None], deadline: float
    ) -> WriteResult:
        """Write a change based on revision ``expected``.

        After a lost response the write is retried. It takes effect at most once: the transaction
        requires the head to be at ``expected``, and the head contains the ids of recent changes.

        :param deadline: monotonic time after which an unknown outcome is returned.
        """
        sent_before = False
        while True:
            try:
                return self._write_once(expected, change_id, objects)
            except KeyValueUnavailable:
                if not sent_before:
                    return WriteResult(WriteOutcome.NOT_SENT)
            except KeyValueOutcomeUnknown as error:
                sent_before = True
                log_event(LogEvent.KEY_VALUE_ANSWER_LOST, change_id=change_id, reason=str(error))
            if time.monotonic() >= deadline:
                return WriteResult(WriteOutcome.UNKNOWN)
            time.sleep(_RESOLVE_RETRY_SECONDS)

    def watch(self, state: ConfigurationState) -> Iterator[ConfigurationChange | None]:
        """Yield the changes after ``state``, and ``None`` for each batch without changes.

        :raises RevisionGap: when a change is not based on the previous one.
        :raises KeyValueError: when the watch ends.
        """
        revision = state.revision
        for batch in self._client.watch(PREFIX, revision + 1):
            changes = _group_changes(batch)
            if not changes:
                yield None
            for change in changes:
                if change.previous != revision:
                    raise RevisionGap(
                        f"change {change.revision} is based on revision {change.previous}"
                    )
                revision = change.revision
                yield change

    def _write_once(
        self, expected: int, change_id: str, objects: dict[str, str | None]
    ) -> WriteResult:
        current = self._client.get(HEAD_KEY)
        head = _decode_head(current.value) if current else None
        revision = current.mod_revision if current else 0
        if head is not None and head.accepted(change_id):
            return self._already_accepted(head, revision, change_id, objects)
        if revision != expected:
            head_change_id = head.change_id if head else ""
            return WriteResult(WriteOutcome.CONFLICT, None, head_change_id, revision)
        result = self._client.transact(
            Transaction({HEAD_KEY: expected}, _operations(head, expected, change_id, objects))
        )
        if result.succeeded:
            change = ConfigurationChange(expected, result.revision, change_id, objects)
            return WriteResult(WriteOutcome.ACCEPTED, change)
        return self._write_once(expected, change_id, objects)

    @staticmethod
    def _already_accepted(
        head: Head, revision: int, change_id: str, objects: dict[str, str | None]
    ) -> WriteResult:
        """Return the result for a change that is already in the head, latest or superseded."""
        if head.change_id == change_id:
            change = ConfigurationChange(head.previous, revision, change_id, objects)
            return WriteResult(WriteOutcome.ACCEPTED, change)
        own_revision = head.revision_of(change_id) or 0
        return WriteResult(WriteOutcome.ACCEPTED, None, head.change_id, revision, own_revision)


def _decode_head(value: bytes) -> Head:
    """Return the stored head.

    :raises KeyValueUnavailable: if it cannot be decoded.
    """
    try:
        return decode_document(value, Head)
    except DocumentError as error:
        raise KeyValueUnavailable(f"{HEAD_KEY}: {error}") from error


def _operations(
    head: Head | None, expected: int, change_id: str, objects: dict[str, str | None]
) -> tuple[Put | Delete, ...]:
    """Return the writes of a change: the new head and the changed objects."""
    recent = ()
    if head is not None:
        latest = RecentChange(head.change_id, head.previous)
        recent = (latest, *head.recent)[:_MAX_RECENT_CHANGES]
    operations: list[Put | Delete] = [
        Put(HEAD_KEY, msgspec.json.encode(Head(change_id, expected, recent)))
    ]
    for key, spec in objects.items():
        if spec is None:
            operations.append(Delete(OBJECT_PREFIX + key))
        else:
            operations.append(Put(OBJECT_PREFIX + key, spec.encode()))
    return tuple(operations)


def _group_changes(batch: WatchBatch) -> list[ConfigurationChange]:
    """Group watched key events into changes by revision.

    :raises RevisionGap: when a revision wrote objects without the head.
    """
    by_revision: dict[int, dict[str, bytes | None]] = {}
    for key, value, revision in batch.changes:
        by_revision.setdefault(revision, {})[key] = value
    changes = []
    for revision, values in sorted(by_revision.items()):
        head_value = values.pop(HEAD_KEY, None)
        if head_value is None:
            raise RevisionGap(f"revision {revision} wrote objects without the head")
        head = _decode_head(head_value)
        objects = {
            key.removeprefix(OBJECT_PREFIX): None if value is None else value.decode()
            for key, value in values.items()
        }
        changes.append(ConfigurationChange(head.previous, revision, head.change_id, objects))
    return changes
