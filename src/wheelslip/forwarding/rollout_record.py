"""The holder's record of a rollout, and what a node learns from the records of holders."""

from collections.abc import Callable

import msgspec

from wheelslip.deployment import Incarnation, worker_id_of
from wheelslip.forwarding.holder import HOLDER_KEY, ROLLOUT_KEY
from wheelslip.forwarding.registry import Registry


class RolloutRecord(msgspec.Struct):
    """What the holder tells all nodes.

    :ivar loading: incarnations of workers that are out of service for loading.
    :ivar weights: version of each model by incarnation.
    :ivar fencing_token: of the holder that wrote it.
    :ivar recent: worker ids that load no more, but may have been ordered shortly before the
        record was written: within the time in which two holders must not take turns. That holds
        for a worker whichever of its starts got the order, which may reach it late.
    """

    fencing_token: int = 0
    loading: list[Incarnation] = []
    weights: dict[Incarnation, dict[str, int]] = {}
    recent: list[str] = []

    def ordered_ids(self) -> set[str]:
        """Return the ids of the workers that its writer may have ordered of late."""
        return {*map(worker_id_of, self.loading), *self.recent}


class RolloutView:
    """What this node sees of the holders' records: who loads, and when orders were last given.

    A holder gives orders only to workers that its record names as loading, and can write a
    record only while the holder's key is its own. So another holder's last order to a worker
    came before its record named the worker no more, or before its key was gone.

    :ivar record: the newest one seen.
    """

    def __init__(self, registry: Registry, clock: Callable[[], float]):
        self._registry = registry
        self._clock = clock
        self.record = RolloutRecord()
        self._record_at = float("-inf")
        self._holder = 0
        self._ended: dict[int, float] = {}

    def entry_changed(self, key: str) -> None:
        """Take a change of one of the system's own keys into account."""
        if key == HOLDER_KEY:
            self._take_holder()
        elif key == ROLLOUT_KEY:
            self._take_record()

    def last_order(self, worker_id: str) -> float:
        """Return a time, on this node's clock, after which the record's writer gave no order
        to a worker; minus infinity for a worker that it did not order of late."""
        record = self.record
        if worker_id in record.recent:
            return self._record_at
        if worker_id not in record.ordered_ids():
            return float("-inf")
        if record.fencing_token == self._holder:
            return self._clock()
        return self._ended.get(record.fencing_token, self._record_at)

    def _take_holder(self) -> None:
        entry = self._registry.system_entry(HOLDER_KEY)
        holder = entry[1] if entry else 0
        if self._holder and holder != self._holder:
            self._ended[self._holder] = self._clock()
        self._holder = holder

    def _take_record(self) -> None:
        record = self._registry.system_record(ROLLOUT_KEY, RolloutRecord)
        if record is None:
            return
        self.record = record
        self._record_at = self._clock()
        self._registry.apply_rollout(frozenset(record.loading), record.weights)
