"""Configuration in the key-value service: layout, acceptance, reading and watching.

A change is one compare-and-swap on the head key, with every object it writes beside it.
*Accepted* means that this swap took effect; its revision is the service's.
"""

import enum
import time
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

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

_RECENT_CHANGES = 32
_RESOLVE_PAUSE_SECONDS = 0.2


class RecentChange(msgspec.Struct, frozen=True):
    """An accepted change, kept in the head so that lost answers can be resolved."""

    change_id: str
    previous: int


class Head(msgspec.Struct, frozen=True):
    """Value of the head key: the latest change and those shortly before it."""

    change_id: str
    previous: int
    recent: tuple[RecentChange, ...] = ()

    def accepted(self, change_id: str) -> bool:
        """Return whether a change is the latest one or among the recent ones."""
        return change_id == self.change_id or any(one.change_id == change_id for one in self.recent)


class WriteOutcome(enum.Enum):
    """What became of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class WriteResult:
    """Outcome of a change; ``other_change_id`` names the one that was first."""

    outcome: WriteOutcome
    change: ConfigurationChange | None = None
    other_change_id: str = ""
    other_revision: int = 0


class GapInChanges(Exception):
    """A watched change does not follow the one before: an event was missed."""


class ConfigurationStore:
    """Reads and writes the configuration through one key-value client."""

    def __init__(self, client: KeyValueClient):
        self._client = client

    def read(self) -> ConfigurationState:
        """Return the whole state.

        :raises KeyValueError: when the service does not answer.
        """
        entries = self._client.list_prefix(PREFIX).entries
        objects = {
            entry.key.removeprefix(OBJECT_PREFIX): entry.value.decode()
            for entry in entries
            if entry.key.startswith(OBJECT_PREFIX)
        }
        for entry in entries:
            if entry.key == HEAD_KEY:
                head = msgspec.json.decode(entry.value, type=Head)
                return ConfigurationState(entry.mod_revision, head.change_id, objects)
        return ConfigurationState()

    def has_accepted(self, change_id: str) -> bool:
        """Return whether a change is known to be accepted.

        :raises KeyValueError: when the service does not answer.
        """
        current = self._client.get(HEAD_KEY)
        if current is None:
            return False
        return msgspec.json.decode(current.value, type=Head).accepted(change_id)

    def write(
        self, expected: int, change_id: str, objects: dict[str, str | None], give_up_at: float
    ) -> WriteResult:
        """Try to make a change follow revision ``expected``.

        A lost answer is resolved by repeating the same swap: it can take effect only once,
        because it expects the head it was made against, and the head names its change id.

        :param give_up_at: on the monotonic clock, when to stop resolving.
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
            if time.monotonic() >= give_up_at:
                return WriteResult(WriteOutcome.UNKNOWN)
            time.sleep(_RESOLVE_PAUSE_SECONDS)

    def watch(self, state: ConfigurationState) -> Iterator[ConfigurationChange | None]:
        """Yield each change after ``state``, and ``None`` as idle progress.

        :raises GapInChanges: when a change does not follow the one before.
        :raises KeyValueError: when the watch ends.
        """
        revision = state.revision
        for batch in self._client.watch(PREFIX, revision + 1):
            changes = _changes_of(batch)
            if not changes:
                yield None
            for change in changes:
                if change.previous != revision:
                    raise GapInChanges(f"change {change.revision} follows {change.previous}")
                revision = change.revision
                yield change

    def _write_once(
        self, expected: int, change_id: str, objects: dict[str, str | None]
    ) -> WriteResult:
        current = self._client.get(HEAD_KEY)
        head = msgspec.json.decode(current.value, type=Head) if current else None
        revision = current.mod_revision if current else 0
        if head is not None and head.accepted(change_id):
            return self._accepted_before(head, revision, change_id, objects)
        if revision != expected:
            other = head.change_id if head else ""
            return WriteResult(WriteOutcome.CONFLICT, None, other, revision)
        result = self._client.transact(
            Transaction({HEAD_KEY: expected}, _puts(head, expected, change_id, objects))
        )
        if result.succeeded:
            change = ConfigurationChange(expected, result.revision, change_id, objects)
            return WriteResult(WriteOutcome.ACCEPTED, change)
        return self._write_once(expected, change_id, objects)

    @staticmethod
    def _accepted_before(
        head: Head, revision: int, change_id: str, objects: dict[str, str | None]
    ) -> WriteResult:
        """Return acceptance of a change whose answer was lost, perhaps already superseded."""
        if head.change_id == change_id:
            change = ConfigurationChange(head.previous, revision, change_id, objects)
            return WriteResult(WriteOutcome.ACCEPTED, change)
        return WriteResult(WriteOutcome.ACCEPTED, None, head.change_id, revision)


def _puts(
    head: Head | None, expected: int, change_id: str, objects: dict[str, str | None]
) -> tuple[Put | Delete, ...]:
    recent = ()
    if head is not None:
        latest = RecentChange(head.change_id, head.previous)
        recent = (latest, *head.recent)[:_RECENT_CHANGES]
    changes: list[Put | Delete] = [
        Put(HEAD_KEY, msgspec.json.encode(Head(change_id, expected, recent)))
    ]
    for key, spec in objects.items():
        if spec is None:
            changes.append(Delete(OBJECT_PREFIX + key))
        else:
            changes.append(Put(OBJECT_PREFIX + key, spec.encode()))
    return tuple(changes)


def _changes_of(batch: WatchBatch) -> list[ConfigurationChange]:
    """Group watched events into changes: all keys of one revision belong together."""
    by_revision: dict[int, dict[str, bytes | None]] = {}
    for key, value, revision in batch.changes:
        by_revision.setdefault(revision, {})[key] = value
    changes = []
    for revision, values in sorted(by_revision.items()):
        head_value = values.pop(HEAD_KEY, None)
        if head_value is None:
            raise GapInChanges(f"revision {revision} changed objects without the head")
        head = msgspec.json.decode(head_value, type=Head)
        objects = {
            key.removeprefix(OBJECT_PREFIX): None if value is None else value.decode()
            for key, value in values.items()
        }
        changes.append(ConfigurationChange(head.previous, revision, head.change_id, objects))
    return changes
