"""The rollout record that a holder publishes, and a node's view of the published records."""

from collections.abc import Callable

import msgspec

from wheelslip.deployment import Incarnation, UnusableEntry, worker_id_of
from wheelslip.forwarding.holder import HOLDER_KEY, ROLLOUT_KEY
from wheelslip.registry.registry import Registry


class RolloutRecord(msgspec.Struct):
    """State of the rollout, published by the holder to all nodes.

    :ivar fencing_token: token of the holder that wrote the record.
    :ivar loading: incarnations of workers that are out of service while they load.
    :ivar weights: version of each model by incarnation.
    :ivar recent: ids of workers that no longer load, but may have been ordered so recently that
        another holder must not order them yet. Worker ids, because a delayed order may reach a
        later incarnation of the worker.
    """

    fencing_token: int = 0
    loading: list[Incarnation] = []
    weights: dict[Incarnation, dict[str, int]] = {}
    recent: list[str] = []

    def recently_ordered_ids(self) -> set[str]:
        """Return the ids of the workers that the writer of the record may have ordered."""
        return {*map(worker_id_of, self.loading), *self.recent}


class RolloutView:
    """A node's view of the holders' records: which workers load and when orders were last sent.

    A holder orders only workers that its record names as loading, and can write a record only
    while it holds the holder key. So its last order to a worker precedes the record that no
    longer names the worker, or the removal of the holder key.

    :ivar record: the newest record seen.
    :ivar unreadable_at: when a record was seen last that cannot be decoded.
    """

    def __init__(self, registry: Registry, clock: Callable[[], float]):
        self._registry = registry
        self._clock = clock
        self.record = RolloutRecord()
        self.unreadable_at = float("-inf")
        self._record_seen_at = float("-inf")
        self._holder_token = 0
        self._ended_at: dict[int, float] = {}

    def entry_changed(self, key: str) -> None:
        """Process a change of a system entry."""
        if key == HOLDER_KEY:
            self._update_holder()
        elif key == ROLLOUT_KEY:
            self._update_record()

    def latest_order_time(self, worker_id: str) -> float:
        """Return an upper bound on when the writer of the record last ordered a worker.

        :return: time on this node's clock; minus infinity if the record does not name the worker
            as loading or recently ordered.
        """
        record = self.record
        if worker_id in record.recent:
            return self._record_seen_at
        if worker_id not in record.recently_ordered_ids():
            return float("-inf")
        if record.fencing_token == self._holder_token:
            return self._clock()
        return self._ended_at.get(record.fencing_token, self._record_seen_at)

    def _update_holder(self) -> None:
        entry = self._registry.system_entry(HOLDER_KEY)
        token = entry[1] if entry else 0
        if self._holder_token and token != self._holder_token:
            self._ended_at[self._holder_token] = self._clock()
        self._holder_token = token

    def _update_record(self) -> None:
        record = self._registry.system_record(ROLLOUT_KEY, RolloutRecord)
        if isinstance(record, UnusableEntry):
            self.unreadable_at = self._clock()
            return
        if record is None or record.fencing_token < self.record.fencing_token:
            # A copy of the store may hold the record of an earlier holder.
            return
        self.record = record
        self._record_seen_at = self._clock()
        self._registry.apply_rollout(frozenset(record.loading), record.weights)
