"""One node's view of the deployment: configuration, workers and named weights versions.

:mod:`wheelslip.forwarding.registry_sync` updates the view. Updates are monotonic: a key changes
only with a higher revision, and the configuration only with a higher version.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from wheelslip.deployment import (
    DesiredWeights,
    Incarnation,
    RoutingConfiguration,
    UnusableEntry,
    Worker,
    WorkerInfo,
)
from wheelslip.documents import DocumentError, decode_document
from wheelslip.events import LogBudget, LogEvent, log_event
from wheelslip.forwarding_settings import BoundsSection
from wheelslip.keyvalue.model import era_of
from wheelslip.registry.answer_notices import ResponseNotices
from wheelslip.registry.entry_log import EntryLog
from wheelslip.registry.interface import RegistryDialect
from wheelslip.registry.store_health import StoreHealth
from wheelslip.registry.worker_view import WorkerView
from wheelslip.routing.limits.named_limits import WorkerRateLimits

RecordT = TypeVar("RecordT", bound=msgspec.Struct)

DOUBTFUL_MARGIN_SECONDS = 0.3
"""Time before its deadline at which a doubtful worker stops receiving requests, so that requests
in transit arrive before the deadline."""

LOADING_RECORD_TTL_SECONDS = 6.0
"""Age from which a record of loading workers is ignored, since its writer may have crashed."""

MAX_PROCESS_START_SECONDS = 2.0
"""Upper bound on the time between the start of the process and its first reading of the clock."""

REFUSAL_LOGS_PER_SECOND = 10.0
"""Average rate of log lines about unreadable documents."""


@dataclass
class _NamedVersion:
    """A weights version that the operator has named for a model.

    :ivar named_after: last time at which a current view did not contain the version; ``None`` when
        the node's first view contained it.
    :ivar deadline_runs_from: start of the deadline of the versions that this one replaces:
        ``named_after``, or the last failed call of an outage that began before that deadline.
    """

    version: int
    named_after: float | None
    deadline_runs_from: float | None


class Registry:
    """The view of one node.

    :param bounds: returns the bounds in force.
    :param clock: steady clock in seconds.
    :param ignored_prefix: prefix of keys that are no part of the view.
    :ivar entry_log: latest value of every key of the store.
    :ivar health: availability of the store.
    :ivar configuration: the configuration in force; ``None`` before the first one was read.
    :ivar notices: shutdown, backoff and rate limit notices from the responses of workers.
    :ivar loading: incarnations that the rollout takes out of service to load weights.
    :ivar on_system_entry: called with the key of each changed entry that wheelslip itself writes.
    :ivar refused_entries: number of unreadable documents since the start; unchanged ones count
        once.
    """

    def __init__(
        self,
        dialect: RegistryDialect,
        bounds: Callable[[], BoundsSection],
        clock: Callable[[], float],
        ignored_prefix: str = "\0",
    ):
        self._dialect = dialect
        self._bounds = bounds
        self._clock = clock
        self._started = clock()
        self.entry_log = EntryLog()
        self._ignored_prefix = ignored_prefix
        self._system_entries: dict[str, tuple[bytes, int]] = {}
        self._system_records: dict[
            str, tuple[tuple[bytes, int], msgspec.Struct | UnusableEntry]
        ] = {}
        self._named: dict[str, list[_NamedVersion]] = {}
        self.health = StoreHealth()
        self.restored_at: float | None = None
        self._changed = asyncio.Event()
        self._log_budget = LogBudget(REFUSAL_LOGS_PER_SECOND, clock)
        self._refused: dict[str, UnusableEntry] = {}
        self.refused_entries = 0
        self.configuration: RoutingConfiguration | None = None
        self.notices = ResponseNotices(clock, self._notify_changed)
        self.view = WorkerView(bounds, clock, self.notices)
        self.loading: frozenset[Incarnation] = frozenset()
        self.loading_recorded_at = clock()
        self.on_system_entry: Callable[[str], None] = lambda key: None

    # Age of the view and availability of the store

    def confirm(self, sent_at: float) -> None:
        """Record that the view was current when a call that the store answered was sent."""
        self.health.confirm(sent_at)

    def record_failed_call(self, sent_at: float) -> None:
        """Record that a call of this node failed.

        :param sent_at: when the call was sent.
        """
        self.health.record_failed(sent_at, self._clock())
        if self.health.outage_at == sent_at:
            self._restart_deadlines(sent_at)

    def record_outage(self, sent_at: float) -> None:
        """Record an outage of the store, without evidence from other nodes.

        :param sent_at: when the last failed call was sent.
        """
        self.health.record_outage(sent_at)
        self._restart_deadlines(sent_at)

    def _restart_deadlines(self, outage_at: float) -> None:
        """Restart the deadlines for replaced weights that had not expired when an outage began.

        Expired deadlines stay expired.
        """
        seconds = self._bounds().weights_deadline_ms / 1000
        for named in [version for versions in self._named.values() for version in versions]:
            if named.named_after is not None and named.deadline_runs_from + seconds > outage_at:
                named.deadline_runs_from = outage_at

    def age(self) -> float:
        """Return the seconds since the view was last current; infinite if it never was."""
        if self.health.confirmed_at is None:
            return float("inf")
        return self._clock() - self.health.confirmed_at

    def gauges(self) -> dict[str, Callable[[], float]]:
        """Return the gauges by name."""
        return {
            "known_workers": lambda: float(len(self.workers)),
            "registry_entries_refused": lambda: float(self.refused_entries),
            "registry_age_seconds": lambda: min(self.age(), 1e6),
        }

    def drain_seconds(self) -> float:
        """Return the seconds for which a departing worker may still receive new requests."""
        return self._bounds().worker_drain_ms / 1000

    def _doubtful_until(self) -> float | None:
        """Return until when a worker whose entry vanishes now stays in use.

        Leases of live workers expire during an outage of the store. The drain time limits the
        result in case the worker departed deliberately.

        :return: a time on the node's clock; ``None`` when the worker is to be removed at once.
        """
        outage_at = self._outage_at()
        if outage_at is None:
            return None
        bounds = self._bounds()
        ends = (
            outage_at + bounds.contact_ms / 1000 - DOUBTFUL_MARGIN_SECONDS,
            self._earliest_removal() + self.drain_seconds() - DOUBTFUL_MARGIN_SECONDS,
        )
        return min(ends) if self._clock() < min(ends) else None

    def _outage_at(self) -> float | None:
        """Return when the store was last away, as far as this node knows."""
        outages = (self.health.suspected_outage_at, self.restored_at)
        return max((at for at in outages if at is not None), default=None)

    def _earliest_removal(self) -> float:
        """Return the earliest time at which an entry that is now missing can have been removed.

        After the return of the store from a copy, removals become known late and all at once.
        """
        now, restored_at = self._clock(), self.restored_at
        if restored_at is None or now - restored_at > self.drain_seconds():
            return now
        confirmed_at = self.health.confirmed_at
        return now if confirmed_at is None else max(confirmed_at, self.health.failed_sent_at)

    # Changes of the store

    @property
    def era(self) -> int:
        """Era of the store of which this view is."""
        return era_of(self.entry_log.revision)

    def begin_update(self, revision: int) -> None:
        """Prepare for changes up to a revision, which may be the first of a new era.

        The store has returned from an older copy then: leases and late entries may be missing, and
        entries of workers that departed since may be there again.
        """
        if self.entry_log.revision and era_of(revision) > self.era:
            self.restored_at = self._clock()
            self.view.record_restored()
            log_event(LogEvent.REGISTRY_RESTORED, era=era_of(revision), revision=revision)

    async def changed(self) -> None:
        """Wait until the view changes."""
        await self._changed.wait()

    def _notify_changed(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def apply(self, key: str, value: bytes | None, revision: int) -> None:
        """Apply one change of the store; ignore changes that are not newer than the view.

        :param value: ``None`` when the key was removed.
        """
        if key.startswith(self._ignored_prefix) or not self.entry_log.apply(key, value, revision):
            return
        if value is None:
            self._remove(key)
        else:
            self._put(key, value, revision)
        self._notify_changed()

    def replace_all(self, entries: dict[str, tuple[bytes, int]], listing_revision: int) -> None:
        """Apply a complete listing: keys that it does not contain were removed.

        The listing may come from a node with an older view, so keys that changed after it stay.

        :param entries: value and revision by key.
        :param listing_revision: revision of the store at which the listing was read.
        """
        self.entry_log.begin_listing(listing_revision)
        for key in self.entry_log:
            if key not in entries and self.entry_log.revision_of(key) <= listing_revision:
                self.apply(key, None, max(listing_revision, self.entry_log.revision_of(key) + 1))
        for key, (value, revision) in entries.items():
            self.apply(key, value, revision)

    def _put(self, key: str, value: bytes, revision: int) -> None:
        document = self._dialect.decode(key, value)
        if isinstance(document, UnusableEntry):
            self._refuse(document)
            return
        self._refused.pop(key, None)
        if isinstance(document, RoutingConfiguration):
            self._apply_configuration(document)
        elif isinstance(document, WorkerInfo):
            self.view.apply(document)
        elif isinstance(document, DesiredWeights):
            self._record_named_weights(document)
        else:
            self._system_entries[key] = (value, revision)
            self.on_system_entry(key)

    def _refuse(self, entry: UnusableEntry) -> None:
        """Handle a document that cannot be decoded.

        A worker whose entry is unreadable receives no new requests. Of an operator's documents,
        the last readable version stays in force.
        """
        worker_id = self._dialect.worker_id(entry.key)
        if worker_id is not None:
            self.view.mark_unusable(worker_id)
        if self._refused.get(entry.key) == entry:
            return
        self._refused[entry.key] = entry
        self.refused_entries += 1
        self._log_budget.log(LogEvent.REGISTRY_ENTRY_REFUSED, **entry._asdict())

    def _apply_configuration(self, document: RoutingConfiguration) -> None:
        current = self.configuration
        if current is not None and document.version <= current.version:
            return
        self.configuration = document
        log_event(LogEvent.CONFIGURATION_IN_FORCE, revision=document.version)

    def _record_named_weights(self, named: DesiredWeights) -> None:
        versions = self._named.setdefault(named.model, [])
        if not versions or named.version > versions[-1].version:
            # It may have been named at any time since the view was last current.
            named_after = self.health.confirmed_at
            versions.append(_NamedVersion(named.version, named_after, named_after))

    def _remove(self, key: str) -> None:
        self._system_records.pop(key, None)
        if self._system_entries.pop(key, None) is not None:
            self.on_system_entry(key)
        self._refused.pop(key, None)
        worker_id = self._dialect.worker_id(key)
        if worker_id is None:
            return
        # The lease of a live worker may have expired during an outage.
        doubtful = self.view.remove(worker_id, self._doubtful_until())
        if doubtful is not None:
            self._log_doubtful(doubtful.info)

    def _log_doubtful(self, info: WorkerInfo) -> None:
        log_event(
            LogEvent.ENGINE_DOUBTFUL,
            engine=info.worker_id,
            incarnation=info.id,
            zone=info.zone,
            trouble_age=round(self._clock() - self._outage_at(), 3),
        )

    def apply_expirations(self) -> None:
        """Apply all expirations: backoffs, rate limits, doubtful workers and deferred entries."""
        self.notices.expire_backoffs()
        self.limits.expire(self.workers)
        if self.view.expire():
            self._notify_changed()

    # Entries that wheelslip itself writes

    def system_entry(self, key: str) -> tuple[bytes, int] | None:
        """Return value and revision of a key that wheelslip itself writes."""
        return self._system_entries.get(key)

    def system_record(self, key: str, record_type: type[RecordT]) -> RecordT | UnusableEntry | None:
        """Return the record under a key that wheelslip itself writes.

        :return: ``None`` without the key; an unusable entry, which is logged, when the value is no
            such record.
        """
        entry = self.system_entry(key)
        if entry is None:
            return None
        known = self._system_records.get(key)
        if known is not None and known[0] is entry:
            return known[1]
        try:
            record = decode_document(entry[0], record_type)
        except DocumentError as exc:
            record = self.refuse_system_entry(key, str(exc))
        self._system_records[key] = (entry, record)
        return record

    def refuse_system_entry(self, key: str, reason: str) -> UnusableEntry:
        """Log that a key that wheelslip itself writes has a value that is not its own."""
        entry = UnusableEntry.of(key, reason)
        self._refuse(entry)
        return entry

    def system_entries(self, prefix: str) -> dict[str, bytes]:
        """Return the values that wheelslip itself writes under a prefix, by key."""
        return {
            key: value for key, (value, _) in self._system_entries.items() if key.startswith(prefix)
        }

    # Queries on workers

    @property
    def workers(self) -> dict[Incarnation, Worker]:
        """The workers of the view, by incarnation."""
        return self.view.workers

    def workers_of(self, service: str) -> list[Worker]:
        """Return the workers of a service that accept new requests."""
        return self.view.in_use(service)

    def has_others(self, service: str, excluded: set[Incarnation]) -> bool:
        """Return whether a service has registered workers that are not excluded.

        They may not accept requests now.
        """
        return any(
            worker.info.service == service and incarnation not in excluded
            for incarnation, worker in self.workers.items()
        )

    def accepts_requests(self, incarnation: Incarnation) -> bool:
        """Return whether a worker accepts new requests."""
        worker = self.workers.get(incarnation)
        return worker is not None and self.view.accepts_requests(worker)

    def may_begin(self, incarnation: Incarnation, rate_limit_charged: bool) -> bool:
        """Return whether a request of this node may be sent to a worker now.

        :param rate_limit_charged: whether the request was charged to the worker's rate limit.
        """
        if not rate_limit_charged and self.limits.rate(incarnation) is not None:
            return False
        return self.accepts_requests(incarnation) and self.notices.may_begin(incarnation)

    @property
    def limits(self) -> WorkerRateLimits:
        """The rate limits that workers have announced."""
        return self.notices.limits

    def has_limited_worker(self, service: str) -> bool:
        """Return whether any worker of a service has a rate limit."""
        limited = self.limits.limited_incarnations()
        return any(
            incarnation in self.workers and self.workers[incarnation].info.service == service
            for incarnation in limited
        )

    def withheld(self, service: str) -> frozenset[Incarnation]:
        """Return the workers of a service at which no request may begin now."""
        return self.notices.withheld(
            worker.info.id for worker in self.workers.values() if worker.info.service == service
        )

    def earliest_backoff_end(self, service: str) -> float | None:
        """Return when the first backoff among the workers in use ends; ``None`` without any."""
        in_use = [worker.info.id for worker in self.workers_of(service)]
        backing_off = self.notices.withheld(in_use)
        return min(map(self.notices.backoff_until, backing_off), default=None)

    def record_process(self, incarnation: Incarnation, born: int) -> None:
        """Record which process of a worker has responded, by its start in Unix milliseconds.

        A process that started after the one in the view serves on, but its software version is not
        known until its entry is seen.
        """
        if self.view.record_process(incarnation, born):
            log_event(LogEvent.ENGINE_RESTARTED, incarnation=incarnation, born=born)
            self._notify_changed()

    def mark_replaced(self, incarnation: Incarnation) -> None:
        """Record that a worker with another id answered at a worker's address."""
        if self.view.mark_replaced(incarnation):
            self._notify_changed()

    def accepts_orders(self, worker: Worker) -> bool:
        """Return whether to send control orders to a worker.

        It must belong to a configured service, serve requests and not be doubtful.
        """
        declared = self.configuration.services if self.configuration is not None else {}
        return worker.info.service in declared and self.view.accepts_orders(worker)

    # Weights versions and loads

    def loading_workers(self) -> frozenset[Incarnation]:
        """Return the incarnations that load weights, by the latest record unless it is too old."""
        if self._clock() - self.loading_recorded_at > LOADING_RECORD_TTL_SECONDS:
            return frozenset()
        return self.loading

    def apply_rollout(
        self,
        loading: frozenset[Incarnation],
        weights: dict[Incarnation, dict[str, int]],
    ) -> None:
        """Apply a record of the rollout's lease holder.

        :param loading: incarnations that load weights.
        :param weights: weights versions that the holder observed, by incarnation and model.
        """
        self.loading = loading
        self.loading_recorded_at = self._clock()
        self.view.merge_weights(weights)

    def record_weights(self, incarnation: Incarnation, model: str, version: int) -> None:
        """Record a weights version that a worker reported; it overrides the worker's entry."""
        if self.view.record_weights(incarnation, model, version):
            self._notify_changed()

    def models(self) -> list[str]:
        """Return the models for which a weights version has been named."""
        return list(self._named)

    def newest_weights(self, model: str) -> int | None:
        """Return the newest version named for a model."""
        versions = self._named.get(model)
        return versions[-1].version if versions else None

    def pending_since(self, model: str, version: int) -> float | None:
        """Return the earliest time at which a version above ``version`` can have been named.

        :return: the start of this node when its first view contained that version; ``None`` when
            no such version has been named.
        """
        for named in self._named.get(model, ()):
            if named.version > version:
                return self._started if named.named_after is None else named.named_after
        return None

    def start_deadline(self, model: str, version: int) -> float:
        """Return until when a request may start on a weights version; infinite for the newest.

        An outage of the store that begins before the deadline restarts it.
        """
        for named in self._named.get(model, ()):
            if named.version > version:
                return self._deadline_after(named)
        return float("inf")

    def _deadline_after(self, named: _NamedVersion) -> float:
        """Return until when requests may start on weights that ``named`` has replaced."""
        if named.named_after is None:
            # The version may be old, so the node gets no more than the contact time since the
            # start of its process, which began before the first reading of the clock.
            return self._started - MAX_PROCESS_START_SECONDS + self._bounds().contact_ms / 1000
        return named.deadline_runs_from + self._bounds().weights_deadline_ms / 1000
