"""Register of the software versions of each service, kept in the store.

Streams may begin only at workers whose version is in the register, so a node that has just started
knows all versions at which streams can have begun. While a service has one version, that is its
base version: a stream without a saved record began there. Streams of other versions are saved in
the store before their first event is forwarded, as long as there is a base version.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from wheelslip.deployment import UnusableEntry
from wheelslip.documents import DocumentError, decode_document
from wheelslip.events import LogEvent, log_event
from wheelslip.keyvalue.model import KeyValueError, Put, Transaction
from wheelslip.registry.interface import KeyValueStore
from wheelslip.registry.registry import Registry

VERSIONS_PREFIX = "wheelslip/versions/"

RETENTION_SECONDS = 60.0
"""Time for which a version stays registered after its last worker has left, and a base version is
kept after another version has joined. Streams are taken up within this time."""

BASE_ABSENCE_SECONDS = 5.0
"""Time without a worker of the base version after which there is no base version any more. Entries
that lapsed during an outage of the store are back before."""

MAX_OBSERVATION_GAP_SECONDS = 5.0
"""Gap between two current views after which the observed times start anew."""

UNKNOWN_RECORD_DELAY_SECONDS = 2.5
"""Time for which a node that has never read a record leaves its replacement to nodes that have."""

CHECK_SECONDS = 0.5
RETRY_SECONDS = 0.2


class VersionRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Registered versions of a service, as stored.

    :ivar versions: versions at which streams may have begun, sorted.
    :ivar base: version of the streams that are not saved; empty if that cannot be told.
    :ivar era: era of the store in which the record was written.
    """

    versions: tuple[str, ...]
    base: str = ""
    era: int = 0


class RegisteredVersions(NamedTuple):
    """Registered versions of one or several services.

    :ivar base: version of the streams that are not saved; empty if that cannot be told.
    """

    versions: frozenset[str]
    base: str

    @property
    def differ(self) -> bool:
        """Whether streams of several versions can be in progress."""
        return len(self.versions) > 1


class Observation(NamedTuple):
    """What one node has observed of a service without interruption.

    :ivar in_view: versions of the workers in the view.
    :ivar absent_seconds: time since the last worker was in the view, by registered version.
    :ivar unchanged_seconds: time since the record last changed.
    """

    in_view: frozenset[str]
    absent_seconds: dict[str, float]
    unchanged_seconds: float


def updated_record(
    record: VersionRecord | None, seen: Observation, era: int, knows_earlier_eras: bool
) -> VersionRecord | None:
    """Return the record that corresponds to an observation.

    :param record: the present record, if there is one.
    :param era: era of the store.
    :param knows_earlier_eras: whether the node has seen all versions of earlier eras, so that
        ``record`` contains them.
    """
    if record is None:
        if not seen.in_view:
            return None
        base = next(iter(seen.in_view)) if len(seen.in_view) == 1 else ""
        return VersionRecord(tuple(sorted(seen.in_view)), base, era)
    versions, base = {*record.versions, *seen.in_view}, record.base
    if record.era != era:
        # Versions and saved streams may be missing from the copy.
        base = base if knows_earlier_eras and len(versions) == 1 else ""
        return VersionRecord(tuple(sorted(versions)), base, era)
    expired = {
        version
        for version, seconds in seen.absent_seconds.items()
        if seconds >= RETENTION_SECONDS and version not in seen.in_view
    }
    versions -= expired if versions - expired else set()
    settled = seen.unchanged_seconds >= RETENTION_SECONDS
    if len(versions) == 1:
        if len(record.versions) > 1 or settled:
            base = next(iter(versions))
    elif settled or seen.absent_seconds.get(base, 0.0) >= BASE_ABSENCE_SECONDS:
        base = ""
    return VersionRecord(tuple(sorted(versions)), base, era)


class _Watched:
    """Times since when a node has observed something of a service."""

    def __init__(self, now: float):
        self.record: VersionRecord | None = None
        self.unchanged_since = now
        self.last_seen: dict[str, float] = {}
        self.outdated_since: float | None = None
        self.read_at = float("-inf")

    def replacement(self, wanted: VersionRecord, now: float) -> VersionRecord:
        """Return what replaces a record that cannot be decoded.

        It keeps a base version only if this node has read the record until just before. Otherwise
        streams that are not saved may have begun at any version.
        """
        if now - self.read_at > MAX_OBSERVATION_GAP_SECONDS:
            return VersionRecord(wanted.versions, "", wanted.era)
        return wanted


class VersionRegister:
    """Reads the register from the view, and updates it in the store.

    :param services: returns the services that answer with streams.
    :param write_delay_seconds: returns how long this node leaves an update to other nodes.
    """

    def __init__(
        self,
        store: KeyValueStore,
        registry: Registry,
        services: Callable[[], Iterable[str]],
        write_delay_seconds: Callable[[], float],
        clock: Callable[[], float],
    ):
        self._store = store
        self._registry = registry
        self._services = services
        self._write_delay_seconds = write_delay_seconds
        self._clock = clock
        self._watched: dict[str, _Watched] = {}
        self._checked_at = float("-inf")

    # Registered versions

    def registered(self, services: Iterable[str]) -> RegisteredVersions:
        """Return the registered versions of services, by the view of this node."""
        return _joined([self._record(service) for service in services], self._registry.era)

    async def read(self, services: Iterable[str]) -> RegisteredVersions:
        """Return the registered versions of services, by the store.

        :raises KeyValueError: if the store does not respond.
        """
        listing = await self._store.range(VERSIONS_PREFIX)
        records = {entry.key: _decode(entry.key, entry.value) for entry in listing.entries}
        found = [records.get(VERSIONS_PREFIX + service) for service in services]
        return _joined(found, self._store.era)

    def may_miss_records(self) -> bool:
        """Return whether streams that are still recorded may not have been saved.

        Records cannot be saved while the store is not available to the node that carries a stream.
        """
        health = self._registry.health
        unavailable_at = max(health.interrupted_at, health.failed_sent_at)
        return self._clock() - unavailable_at < RETENTION_SECONDS

    def store_is_failing(self) -> bool:
        """Return whether the store has not responded to the last calls of this node."""
        return self._registry.health.failing_age(self._clock()) is not None

    def is_current_since(self, moment: float) -> bool:
        """Return whether the view contains all that was registered until a moment."""
        confirmed_at = self._registry.health.confirmed_at
        return confirmed_at is not None and confirmed_at >= moment

    def in_use(self, service: str, version: str) -> bool:
        """Return whether a worker of a version is in the view."""
        return version in self._registry.view.software_versions(service)

    def _record(self, service: str) -> VersionRecord | None:
        """Return the record of a service; the last known one if the store has lost it.

        A record that cannot be decoded counts as lost.
        """
        record = self._registry.system_record(VERSIONS_PREFIX + service, VersionRecord)
        watched = self._watched.get(service)
        known = watched.record if watched is not None else None
        if isinstance(record, UnusableEntry):
            return known
        if known is None or (record is not None and record.era == self._registry.era):
            return record
        # The store has returned from an older copy.
        versions = {*known.versions, *(record.versions if record is not None else ())}
        return VersionRecord(tuple(sorted(versions)), known.base, known.era)

    # Updates

    async def run(self) -> None:
        """Keep the register up to date until cancelled."""
        while True:
            changed = asyncio.ensure_future(self._registry.changed())
            retry = await self._update_all()
            try:
                await asyncio.wait([changed], timeout=RETRY_SECONDS if retry else CHECK_SECONDS)
            finally:
                changed.cancel()

    async def _update_all(self) -> bool:
        """Write the records that are out of date; return whether any still is."""
        now = self._clock()
        if self._registry.age() > MAX_OBSERVATION_GAP_SECONDS:
            return False
        if now - self._checked_at > MAX_OBSERVATION_GAP_SECONDS:
            self._forget_times(now)
        self._checked_at = now
        outdated = False
        for service in sorted(set(self._services())):
            outdated = await self._update(service, now) or outdated
        return outdated

    def _forget_times(self, now: float) -> None:
        for watched in self._watched.values():
            watched.unchanged_since = now
            watched.last_seen = dict.fromkeys(watched.last_seen, now)

    async def _update(self, service: str, now: float) -> bool:
        """Write the record of a service if it is out of date and the delay has passed."""
        record = self._record(service)
        watched = self._watched.setdefault(service, _Watched(now))
        seen = self._observe(service, record, watched, now)
        knows_earlier_eras = self._registry.restored_at is not None
        wanted = updated_record(record, seen, self._registry.era, knows_earlier_eras)
        key = VERSIONS_PREFIX + service
        stored = self._registry.system_record(key, VersionRecord)
        is_unreadable = isinstance(stored, UnusableEntry)
        if stored is not None and not is_unreadable:
            watched.read_at = now
        if is_unreadable and wanted is not None:
            wanted = watched.replacement(wanted, now)
        if wanted is None or wanted == stored:
            watched.outdated_since = None
            return False
        if watched.outdated_since is None:
            watched.outdated_since = now + self._write_delay_seconds()
            if is_unreadable and record is None:
                watched.outdated_since += UNKNOWN_RECORD_DELAY_SECONDS
        if now >= watched.outdated_since:
            entry = self._registry.system_entry(key)
            await self._write(service, wanted, entry[1] if entry is not None else 0)
        return True

    def _observe(
        self, service: str, record: VersionRecord | None, watched: _Watched, now: float
    ) -> Observation:
        if record != watched.record:
            watched.record, watched.unchanged_since = record, now
        in_view = frozenset(self._registry.view.software_versions(service) - {""})
        registered = record.versions if record is not None else ()
        watched.last_seen = {
            version: now if version in in_view else watched.last_seen.get(version, now)
            for version in registered
        }
        absent = {version: now - at for version, at in watched.last_seen.items()}
        return Observation(in_view, absent, now - watched.unchanged_since)

    async def _write(self, service: str, record: VersionRecord, revision: int) -> None:
        key = VERSIONS_PREFIX + service
        put = Put(key, msgspec.json.encode(record))
        try:
            result = await self._store.transact(Transaction({key: revision}, (put,)))
        except KeyValueError as error:
            log_event(LogEvent.VERSIONS_NOT_REGISTERED, workload=service, reason=str(error))
            return
        if result.succeeded:
            log_event(
                LogEvent.VERSIONS_REGISTERED,
                workload=service,
                versions=record.versions,
                base=record.base,
            )


def _decode(key: str, value: bytes) -> VersionRecord | None:
    try:
        return decode_document(value, VersionRecord)
    except DocumentError as exc:
        log_event(LogEvent.REGISTRY_ENTRY_REFUSED, key=key, reason=str(exc))
        return None


def _joined(records: list[VersionRecord | None], era: int) -> RegisteredVersions:
    """Return the versions of several services together.

    There is a base version only if all services have the same one.
    """
    if not records or None in records:
        known = [record for record in records if record is not None]
        return RegisteredVersions(frozenset().union(*(each.versions for each in known)), "")
    versions = frozenset().union(*(record.versions for record in records))
    bases = {record.base if record.era == era else "" for record in records}
    return RegisteredVersions(versions, bases.pop() if len(bases) == 1 else "")
