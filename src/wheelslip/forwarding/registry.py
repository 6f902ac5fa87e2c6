"""What this node knows of the deployment: configuration, workers, named weights.

The view is fed by ``registry_sync`` and read by everything else. It never falls back: a key
is changed only by a higher revision, and the configuration only by a higher version.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from wheelslip.deployment import (
    Incarnation,
    NamedWeights,
    RoutingConfiguration,
    UnusableEntry,
    Worker,
    WorkerInfo,
)
from wheelslip.events import LogBudget, LogEvent, log_event
from wheelslip.forwarding.answer_notices import AnswerNotices
from wheelslip.forwarding.entry_log import EntryLog
from wheelslip.forwarding.interface import RegistryDialect
from wheelslip.forwarding.settings import BoundsSection
from wheelslip.forwarding.store_health import StoreHealth
from wheelslip.forwarding.worker_view import WorkerView
from wheelslip.routing.named_limits import NamedLimits

RecordT = TypeVar("RecordT", bound=msgspec.Struct)

DOUBTFUL_MARGIN_SECONDS = 0.3
"""A doubtful worker gets nothing this long before the contact time is over: a request is
some 10 ms under way, and up to 200 ms on a slowed link."""

LOADING_RECORD_TTL_SECONDS = 6.0
"""A record of loading workers is void after this: its holder may have died."""

MAX_PROCESS_START_SECONDS = 2.0
"""A process first looks at its clock so long after it was started, at most: 1.9 s beside much other
work (randomised runs), 0.2 s on half a core."""

REFUSAL_LOGS_PER_SECOND = 10.0
"""Log lines about documents that cannot be read which one node writes on average."""


@dataclass
class _NamedVersion:
    """A version of a model's weights.

    :ivar named_after: the latest moment at which it was surely not named yet; ``None`` when it was
        there at this node's first view.
    :ivar deadline_runs_from: from then on its bound runs: that moment, or the end of an outage within
        the bound.
    """

    version: int
    named_after: float | None
    deadline_runs_from: float | None


class Registry:
    """The view of one node.

    :param clock: steady clock in seconds.
    :ivar notices: what engines said of themselves in their answers.
    :ivar refused_entries: documents that could not be read since the start, each change once.
    """

    def __init__(
        self,
        dialect: RegistryDialect,
        bounds: Callable[[], BoundsSection],
        clock: Callable[[], float],
    ):
        self._dialect = dialect
        self._bounds = bounds
        self._clock = clock
        self._started = clock()
        self.entry_log = EntryLog()
        self._own: dict[str, tuple[bytes, int]] = {}
        self._named: dict[str, list[_NamedVersion]] = {}
        self.health = StoreHealth()
        self._changed = asyncio.Event()
        self._log_budget = LogBudget(REFUSAL_LOGS_PER_SECOND, clock)
        self._refused: dict[str, UnusableEntry] = {}
        self.refused_entries = 0
        self.configuration: RoutingConfiguration | None = None
        self.notices = AnswerNotices(clock, self._notify_changed)
        self.view = WorkerView(bounds, clock, self.notices)
        self.loading: frozenset[Incarnation] = frozenset()
        self.loading_recorded_at = clock()
        self.on_system_entry: Callable[[str], None] = lambda key: None

    # Freshness

    def confirm(self, sent_at: float) -> None:
        """The store answered a call that was sent at ``sent_at``: the view was current then."""
        self.health.confirm(sent_at)

    def record_failed_call(self, sent_at: float) -> None:
        """The store did not answer a call that this node sent at ``sent_at``."""
        self.health.note_failed(sent_at, self._clock())
        if self.health.outage_at == sent_at:
            self._restart_deadlines(sent_at)

    def record_outage(self, sent_at: float) -> None:
        """Calls fail at a node that no other can tell whether the store answers."""
        self.health.note_outage(sent_at)
        self._restart_deadlines(sent_at)

    def _restart_deadlines(self, outage_at: float) -> None:
        """Have the bounds on replaced weights begin anew that an outage interrupts.

        One that has passed before it has passed for good, whatever happens to the store later.
        """
        seconds = self._bounds().weights_deadline_ms / 1000
        for named in [named for versions in self._named.values() for named in versions]:
            if named.named_after is not None and named.deadline_runs_from + seconds > outage_at:
                named.deadline_runs_from = outage_at

    def age(self) -> float:
        """Return the seconds since the view was last confirmed; infinite before the first."""
        if self.health.confirmed_at is None:
            return float("inf")
        return self._clock() - self.health.confirmed_at

    def drain_seconds(self) -> float:
        """Return how long after its leaving a worker may still get new requests."""
        return self._bounds().worker_drain_ms / 1000

    def _doubtful_until(self) -> float | None:
        """Return until when an engine whose entry vanishes now is used; ``None`` if it is gone.

        Doubt is about entries that lapsed in an outage. It also ends in time should the engine have
        left: its leaving is acknowledged at most an instant before it is learnt.
        """
        trouble_at = self.health.trouble_at
        if trouble_at is None:
            return None
        bounds = self._bounds()
        ends = (
            trouble_at + bounds.contact_ms / 1000 - DOUBTFUL_MARGIN_SECONDS,
            self._clock() + self.drain_seconds() - DOUBTFUL_MARGIN_SECONDS,
        )
        return min(ends) if self._clock() < min(ends) else None

    # Changes

    async def changed(self) -> None:
        """Wait for the next change of the view."""
        await self._changed.wait()

    def _notify_changed(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def apply(self, key: str, value: bytes | None, revision: int) -> None:
        """Take one change of the store; older ones than known are passed over."""
        if not self.entry_log.apply(key, value, revision):
            return
        if value is None:
            self._remove(key)
        else:
            self._put(key, value, revision)
        self._notify_changed()

    def replace_all(self, entries: dict[str, tuple[bytes, int]], listing_revision: int) -> None:
        """Take a whole listing: what is not in it is gone as of revision ``at``.

        It proves nothing about what has changed after that: it may come from a node that is behind.
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
        elif isinstance(document, NamedWeights):
            self._record_named_weights(document)
        else:
            self._own[key] = (value, revision)
            self.on_system_entry(key)

    def _refuse(self, entry: UnusableEntry) -> None:
        """Take a document that cannot be read.

        It names no worker any more, so one that was known under its key gets nothing new. What
        operators wrote last that could be read stays in force.
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

    def _record_named_weights(self, named: NamedWeights) -> None:
        versions = self._named.setdefault(named.model, [])
        if not versions or named.version > versions[-1].version:
            # Learnt now, named at any moment since the view was last known to be current.
            named_after = self.health.confirmed_at
            versions.append(_NamedVersion(named.version, named_after, named_after))

    def _remove(self, key: str) -> None:
        if self._own.pop(key, None) is not None:
            self.on_system_entry(key)
        self._refused.pop(key, None)
        worker_id = self._dialect.worker_id(key)
        if worker_id is None:
            return
        # An entry that vanishes around an outage is no proof that its worker is gone.
        doubtful = self.view.remove(worker_id, self._doubtful_until())
        if doubtful is not None:
            self._log_doubtful(doubtful.info)

    def _log_doubtful(self, info: WorkerInfo) -> None:
        log_event(
            LogEvent.ENGINE_DOUBTFUL,
            engine=info.worker_id,
            incarnation=info.id,
            zone=info.zone,
            trouble_age=round(self._clock() - self.health.trouble_at, 3),
        )

    def expire_workers(self) -> None:
        """Drop workers that did not come back in time, and do what else is due in the view."""
        self.notices.tell_ended()
        self.limits.expire(self.workers)
        if self.view.expire():
            self._notify_changed()

    # Reading

    def system_entry(self, key: str) -> tuple[bytes, int] | None:
        """Return value and revision of one of the system's own keys."""
        return self._own.get(key)

    def system_record(self, key: str, record_type: type[RecordT]) -> RecordT | None:
        """Return the record under one of the system's own keys.

        ``None`` where there is none, or where it cannot be read; that is logged.
        """
        entry = self.system_entry(key)
        if entry is None:
            return None
        try:
            return msgspec.json.decode(entry[0], type=record_type)
        except msgspec.MsgspecError as exc:
            log_event(LogEvent.REGISTRY_ENTRY_REFUSED, key=key, reason=str(exc))
            return None

    def system_entries(self, prefix: str) -> dict[str, bytes]:
        """Return the system's own keys that begin with a prefix."""
        return {key: value for key, (value, _) in self._own.items() if key.startswith(prefix)}

    @property
    def workers(self) -> dict[Incarnation, Worker]:
        """The workers that are known, by incarnation."""
        return self.view.workers

    def workers_of(self, service: str) -> list[Worker]:
        """Return the workers of a service that take new requests."""
        return self.view.in_use(service)

    def accepts_requests(self, incarnation: Incarnation) -> bool:
        """Return whether a worker still takes new requests."""
        worker = self.workers.get(incarnation)
        return worker is not None and self.view.accepts_requests(worker)

    def may_begin(self, incarnation: Incarnation, rate_limit_charged: bool) -> bool:
        """Return whether a request of this node may begin at a worker at this moment.

        :param rate_limit_charged: it was counted for the limit that the worker names, if there is one.
        """
        if not rate_limit_charged and self.limits.rate(incarnation) is not None:
            return False
        return self.accepts_requests(incarnation) and self.notices.may_begin(incarnation)

    @property
    def limits(self) -> NamedLimits:
        """The rate limits that workers name."""
        return self.notices.limits

    def has_limited_worker(self, service: str) -> bool:
        """Return whether a worker of a service names a limit."""
        limited = self.limits.limited_starts()
        return any(
            incarnation in self.workers and self.workers[incarnation].info.service == service
            for incarnation in limited
        )

    def withheld(self, service: str) -> frozenset[Incarnation]:
        """Return the workers of a service that have told this node to send them nothing now."""
        return self.notices.withheld(
            worker.info.id for worker in self.workers.values() if worker.info.service == service
        )

    def earliest_backoff_end(self, service: str) -> float | None:
        """Return when the first of the workers in use that rest returns; ``None`` if none rests."""
        in_use = [worker.info.id for worker in self.workers_of(service)]
        backing_off = self.notices.withheld(in_use)
        return min(map(self.notices.rest_until, backing_off), default=None)

    def mark_replaced(self, incarnation: Incarnation) -> None:
        """Another process answered at a worker's address."""
        if self.view.mark_replaced(incarnation):
            self._notify_changed()

    def accepts_orders(self, worker: Worker) -> bool:
        """Whether a worker is worth an order: of a declared service, serving, not in doubt."""
        declared = self.configuration.services if self.configuration is not None else {}
        return worker.info.service in declared and self.view.accepts_orders(worker)

    # Weights

    def loading_workers(self) -> frozenset[Incarnation]:
        """Return the workers that load; a record that has not changed for long is void."""
        if self._clock() - self.loading_recorded_at > LOADING_RECORD_TTL_SECONDS:
            return frozenset()
        return self.loading

    def apply_rollout(
        self,
        loading: frozenset[Incarnation],
        weights: dict[Incarnation, dict[str, int]],
    ) -> None:
        """Take what the holder of the rollout tells: who loads, and versions it has seen."""
        self.loading = loading
        self.loading_recorded_at = self._clock()
        self.view.merge_weights(weights)

    def record_weights(self, incarnation: Incarnation, model: str, version: int) -> None:
        """A worker said itself which version it has; its word goes before its entry."""
        if self.view.record_weights(incarnation, model, version):
            self._notify_changed()

    def models(self) -> list[str]:
        """Return the models for which weights have been named."""
        return list(self._named)

    def newest_weights(self, model: str) -> int | None:
        """Return the newest version named for a model."""
        versions = self._named.get(model)
        return versions[-1].version if versions else None

    def pending_since(self, model: str, version: int) -> float | None:
        """Return when the first version above ``version`` was seen named."""
        for named in self._named.get(model, ()):
            if named.version > version:
                return self._started if named.named_after is None else named.named_after
        return None

    def start_deadline(self, model: str, version: int) -> float:
        """Return until when a request may begin on a version; infinite for the newest.

        The bound counts a stretch without disruption, so it begins anew after an outage of the
        store that interrupts it.
        """
        for named in self._named.get(model, ()):
            if named.version > version:
                return self._deadline_after(named)
        return float("inf")

    def _deadline_after(self, named: _NamedVersion) -> float:
        """Return until when requests may begin on weights that ``named`` has replaced."""
        if named.named_after is None:
            # Perhaps named long ago: a node is not judged until the contact time after the start
            # of its process, which came before its first look at the clock.
            return self._started - MAX_PROCESS_START_SECONDS + self._bounds().contact_ms / 1000
        return named.deadline_runs_from + self._bounds().weights_deadline_ms / 1000
