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
from wheelslip.routing.named_limits import WorkerRateLimits

RecordT = TypeVar("RecordT", bound=msgspec.Struct)

DOUBT_MARGIN_SECONDS = 0.3
"""A doubtful worker gets nothing this long before the contact time is over: a request is
some 10 ms under way, and up to 200 ms on a slowed link."""

LOADING_RECORD_SECONDS = 6.0
"""A record of loading workers is void after this: its holder may have died."""

LONGEST_START_SECONDS = 2.0
"""A process first looks at its clock so long after it was started, at most: 1.9 s beside much other
work (randomised runs), 0.2 s on half a core."""

REFUSED_LINES_PER_SECOND = 10.0
"""Log lines about documents that cannot be read which one node writes on average."""


@dataclass
class _Named:
    """A version of a model's weights.

    :ivar since: the latest moment at which it was surely not named yet; ``None`` when it was
        there at this node's first view.
    :ivar counted_from: from then on its bound runs: that moment, or the end of an outage within
        the bound.
    """

    version: int
    since: float | None
    counted_from: float | None


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
        self.log = EntryLog()
        self._own: dict[str, tuple[bytes, int]] = {}
        self._named: dict[str, list[_Named]] = {}
        self.health = StoreHealth()
        self._changed = asyncio.Event()
        self._log_budget = LogBudget(REFUSED_LINES_PER_SECOND, clock)
        self._refused: dict[str, UnusableEntry] = {}
        self.refused_entries = 0
        self.configuration: RoutingConfiguration | None = None
        self.notices = AnswerNotices(clock, self._announce)
        self.view = WorkerView(bounds, clock, self.notices)
        self.loading: frozenset[Incarnation] = frozenset()
        self.loading_since = clock()
        self.on_own_entry: Callable[[str], None] = lambda key: None

    # Freshness

    def confirm(self, sent_at: float) -> None:
        """The store answered a call that was sent at ``sent_at``: the view was current then."""
        self.health.confirm(sent_at)

    def note_failed_call(self, sent_at: float) -> None:
        """The store did not answer a call that this node sent at ``sent_at``."""
        self.health.note_failed(sent_at, self._clock())
        if self.health.outage_at == sent_at:
            self._put_bounds_off(sent_at)

    def note_outage(self, sent_at: float) -> None:
        """Calls fail at a node that no other can tell whether the store answers."""
        self.health.note_outage(sent_at)
        self._put_bounds_off(sent_at)

    def _put_bounds_off(self, outage_at: float) -> None:
        """Have the bounds on replaced weights begin anew that an outage interrupts.

        One that has passed before it has passed for good, whatever happens to the store later.
        """
        seconds = self._bounds().weights_deadline_ms / 1000
        for named in [one for versions in self._named.values() for one in versions]:
            if named.since is not None and named.counted_from + seconds > outage_at:
                named.counted_from = outage_at

    def age(self) -> float:
        """Return the seconds since the view was last confirmed; infinite before the first."""
        if self.health.confirmed_at is None:
            return float("inf")
        return self._clock() - self.health.confirmed_at

    def drain_seconds(self) -> float:
        """Return how long after its leaving a worker may still get new requests."""
        return self._bounds().worker_drain_ms / 1000

    def _in_doubt_until(self) -> float | None:
        """Return until when an engine whose entry vanishes now is used; ``None`` if it is gone.

        Doubt is about entries that lapsed in an outage. It also ends in time should the engine have
        left: its leaving is acknowledged at most an instant before it is learnt.
        """
        trouble_at = self.health.trouble_at
        if trouble_at is None:
            return None
        bounds = self._bounds()
        ends = (
            trouble_at + bounds.contact_ms / 1000 - DOUBT_MARGIN_SECONDS,
            self._clock() + self.drain_seconds() - DOUBT_MARGIN_SECONDS,
        )
        return min(ends) if self._clock() < min(ends) else None

    # Changes

    async def changed(self) -> None:
        """Wait for the next change of the view."""
        await self._changed.wait()

    def _announce(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def apply(self, key: str, value: bytes | None, revision: int) -> None:
        """Take one change of the store; older ones than known are passed over."""
        if not self.log.take(key, value, revision):
            return
        if value is None:
            self._remove(key)
        else:
            self._put(key, value, revision)
        self._announce()

    def replace_all(self, entries: dict[str, tuple[bytes, int]], at: int) -> None:
        """Take a whole listing: what is not in it is gone as of revision ``at``.

        It proves nothing about what has changed after that: it may come from a node that is behind.
        """
        self.log.note_listing(at)
        for key in self.log:
            if key not in entries and self.log.revision_of(key) <= at:
                self.apply(key, None, max(at, self.log.revision_of(key) + 1))
        for key, (value, revision) in entries.items():
            self.apply(key, value, revision)

    def _put(self, key: str, value: bytes, revision: int) -> None:
        document = self._dialect.decode(key, value)
        if isinstance(document, UnusableEntry):
            self._refuse(document)
            return
        self._refused.pop(key, None)
        if isinstance(document, RoutingConfiguration):
            self._take_configuration(document)
        elif isinstance(document, WorkerInfo):
            self.view.take(document)
        elif isinstance(document, NamedWeights):
            self._take_named(document)
        else:
            self._own[key] = (value, revision)
            self.on_own_entry(key)

    def _refuse(self, entry: UnusableEntry) -> None:
        """Take a document that cannot be read.

        It names no worker any more, so one that was known under its key gets nothing new. What
        operators wrote last that could be read stays in force.
        """
        worker_id = self._dialect.worker_id(entry.key)
        if worker_id is not None:
            self.view.take_unusable(worker_id)
        if self._refused.get(entry.key) == entry:
            return
        self._refused[entry.key] = entry
        self.refused_entries += 1
        self._log_budget.log(LogEvent.REGISTRY_ENTRY_REFUSED, **entry._asdict())

    def _take_configuration(self, document: RoutingConfiguration) -> None:
        current = self.configuration
        if current is not None and document.version <= current.version:
            return
        self.configuration = document
        log_event(LogEvent.CONFIGURATION_IN_FORCE, revision=document.version)

    def _take_named(self, named: NamedWeights) -> None:
        versions = self._named.setdefault(named.model, [])
        if not versions or named.version > versions[-1].version:
            # Learnt now, named at any moment since the view was last known to be current.
            since = self.health.confirmed_at
            versions.append(_Named(named.version, since, since))

    def _remove(self, key: str) -> None:
        if self._own.pop(key, None) is not None:
            self.on_own_entry(key)
        self._refused.pop(key, None)
        worker_id = self._dialect.worker_id(key)
        if worker_id is None:
            return
        # An entry that vanishes around an outage is no proof that its worker is gone.
        doubted = self.view.remove(worker_id, self._in_doubt_until())
        if doubted is not None:
            self._log_doubtful(doubted.info)

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
            self._announce()

    # Reading

    def own_entry(self, key: str) -> tuple[bytes, int] | None:
        """Return value and revision of one of the system's own keys."""
        return self._own.get(key)

    def own_record(self, key: str, record_type: type[RecordT]) -> RecordT | None:
        """Return the record under one of the system's own keys.

        ``None`` where there is none, or where it cannot be read; that is logged.
        """
        entry = self.own_entry(key)
        if entry is None:
            return None
        try:
            return msgspec.json.decode(entry[0], type=record_type)
        except msgspec.MsgspecError as exc:
            log_event(LogEvent.REGISTRY_ENTRY_REFUSED, key=key, reason=str(exc))
            return None

    def own_entries(self, prefix: str) -> dict[str, bytes]:
        """Return the system's own keys that begin with a prefix."""
        return {key: value for key, (value, _) in self._own.items() if key.startswith(prefix)}

    @property
    def workers(self) -> dict[Incarnation, Worker]:
        """The workers that are known, by incarnation."""
        return self.view.workers

    def workers_of(self, service: str) -> list[Worker]:
        """Return the workers of a service that take new requests."""
        return self.view.in_use(service)

    def takes_requests(self, incarnation: Incarnation) -> bool:
        """Return whether a worker still takes new requests."""
        worker = self.workers.get(incarnation)
        return worker is not None and self.view.takes_requests(worker)

    def may_begin(self, incarnation: Incarnation, is_counted: bool) -> bool:
        """Return whether a request of this node may begin at a worker at this moment.

        :param is_counted: it was counted for the limit that the worker names, if there is one.
        """
        if not is_counted and self.limits.rate(incarnation) is not None:
            return False
        return self.takes_requests(incarnation) and self.notices.may_begin(incarnation)

    @property
    def limits(self) -> WorkerRateLimits:
        """The rate limits that workers name."""
        return self.notices.limits

    def has_limited(self, service: str) -> bool:
        """Return whether a worker of a service names a limit."""
        starts = self.limits.limited_incarnations()
        return any(
            one in self.workers and self.workers[one].info.service == service for one in starts
        )

    def withheld(self, service: str) -> frozenset[Incarnation]:
        """Return the workers of a service that have told this node to send them nothing now."""
        return self.notices.withheld(
            one.info.id for one in self.workers.values() if one.info.service == service
        )

    def rests_until(self, service: str) -> float | None:
        """Return when the first of the workers in use that rest returns; ``None`` if none rests."""
        in_use = [one.info.id for one in self.workers_of(service)]
        resting = self.notices.withheld(in_use)
        return min(map(self.notices.backoff_until, resting), default=None)

    def mark_replaced(self, incarnation: Incarnation) -> None:
        """Another process answered at a worker's address."""
        if self.view.mark_replaced(incarnation):
            self._announce()

    def takes_orders(self, worker: Worker) -> bool:
        """Whether a worker is worth an order: of a declared service, serving, not in doubt."""
        declared = self.configuration.services if self.configuration is not None else {}
        return worker.info.service in declared and self.view.takes_orders(worker)

    # Weights

    def loading_now(self) -> frozenset[Incarnation]:
        """Return the workers that load; a record that has not changed for long is void."""
        if self._clock() - self.loading_since > LOADING_RECORD_SECONDS:
            return frozenset()
        return self.loading

    def take_rollout(
        self,
        loading: frozenset[Incarnation],
        weights: dict[Incarnation, dict[str, int]],
    ) -> None:
        """Take what the holder of the rollout tells: who loads, and versions it has seen."""
        self.loading = loading
        self.loading_since = self._clock()
        self.view.learn_weights(weights)

    def note_weights(self, incarnation: Incarnation, model: str, version: int) -> None:
        """A worker said itself which version it has; its word goes before its entry."""
        if self.view.note_weights(incarnation, model, version):
            self._announce()

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
                return self._started if named.since is None else named.since
        return None

    def begins_until(self, model: str, version: int) -> float:
        """Return until when a request may begin on a version; infinite for the newest.

        The bound counts a stretch without disruption, so it begins anew after an outage of the
        store that interrupts it.
        """
        for named in self._named.get(model, ()):
            if named.version > version:
                return self._last_beginning(named)
        return float("inf")

    def _last_beginning(self, named: _Named) -> float:
        """Return until when requests may begin on weights that ``named`` has replaced."""
        if named.since is None:
            # Perhaps named long ago: a node is not judged until the contact time after the start
            # of its process, which came before its first look at the clock.
            return self._started - LONGEST_START_SECONDS + self._bounds().contact_ms / 1000
        return named.counted_from + self._bounds().weights_deadline_ms / 1000
