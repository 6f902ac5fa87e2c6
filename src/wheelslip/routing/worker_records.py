"""Load, cached prompts and failures of each worker, recorded from the requests sent to it."""

from collections.abc import Callable

from wheelslip.deployment import EngineProfile, Incarnation
from wheelslip.routing.holdings import CachedParts
from wheelslip.routing.load_table import LoadAtWorker
from wheelslip.routing.placement import Placement
from wheelslip.routing.worker_load import WorkerLoad

SUSPECT_SECONDS = 2.0
"""Time for which an unreachable worker is avoided."""

INITIAL_REQUEST_SECONDS = 1.0
"""Initial estimate of the duration of a request at a model engine."""

REQUEST_SMOOTHING = 0.05

FAILURE_WEIGHT = 0.3


class WorkerRecords:
    """Load, cached prompts and failures by worker incarnation.

    :param is_registered: returns whether a worker is registered. No records are created for a
        departed worker, even when its last requests end later.
    """

    def __init__(self, clock: Callable[[], float], is_registered: Callable[[Incarnation], bool]):
        self._clock = clock
        self._worker_is_registered = is_registered
        self._loads: dict[Incarnation, WorkerLoad] = {}
        self._cached_parts: dict[Incarnation, CachedParts] = {}
        self._request_seconds = INITIAL_REQUEST_SECONDS

    def load(self, worker_id: Incarnation) -> WorkerLoad:
        """Return the recorded load of a worker, or a new record."""
        load = self._loads.get(worker_id)
        if load is None:
            load = WorkerLoad()
            if self._worker_is_registered(worker_id):
                self._loads[worker_id] = load
        return load

    def own_loads(self) -> list[LoadAtWorker]:
        """Return the loads of this node to report to other nodes."""
        return [
            LoadAtWorker(worker_id, load.running, load.prefill_tokens, load.held_tokens)
            for worker_id, load in sorted(self._loads.items())
            if load.running
        ]

    def cached_parts(self, worker_id: Incarnation, engine: EngineProfile) -> CachedParts:
        """Return the prompt parts recorded as cached at a worker."""
        parts = self._cached_parts.get(worker_id)
        if parts is None:
            parts = self._cached_parts[worker_id] = CachedParts(engine.cache_tokens)
        return parts

    def forget(self, worker_id: Incarnation) -> None:
        """Delete the records of a departed worker."""
        self._loads.pop(worker_id, None)
        self._cached_parts.pop(worker_id, None)

    def begin(self, placement: Placement) -> float:
        """Record that a request is sent.

        :return: the send time, to be passed to :meth:`first_token` and :meth:`end`.
        """
        load = self.load(placement.worker.info.id)
        load.running += 1
        load.prefill_tokens += placement.prefill_tokens
        load.held_tokens += placement.held_tokens
        began_at = self._clock()
        load.waiting.add(began_at)
        return began_at

    def first_token(self, placement: Placement, began_at: float) -> None:
        """Record that a worker has computed a prompt and has it cached."""
        load = self.load(placement.worker.info.id)
        load.prefill_tokens = max(0, load.prefill_tokens - placement.prefill_tokens)
        load.waiting.discard(began_at)
        load.needs_probe = False
        load.record_wait(began_at, self._clock())
        parts = self._cached_parts.get(placement.worker.info.id)
        if parts is not None and placement.chain:
            parts.record(placement.chain)

    def end(self, placement: Placement, began_at: float, had_first_token: bool) -> None:
        """Record that a request has left its worker."""
        load = self.load(placement.worker.info.id)
        load.waiting.discard(began_at)
        load.running = max(0, load.running - 1)
        load.held_tokens = max(0, load.held_tokens - placement.held_tokens)
        if had_first_token:
            duration = self._clock() - began_at
            self._request_seconds += REQUEST_SMOOTHING * (duration - self._request_seconds)
        else:
            load.prefill_tokens = max(0, load.prefill_tokens - placement.prefill_tokens)

    def record_outcome(self, worker_id: Incarnation, failed: bool) -> None:
        """Update the failure rate of a worker."""
        load = self.load(worker_id)
        now = self._clock()
        decayed = load.recent_failure_rate(now)
        load.failure_rate = decayed + FAILURE_WEIGHT * (float(failed) - decayed)
        load.failure_rate_at = now
        if not failed:
            load.needs_probe = False

    def suspect(self, worker_id: Incarnation) -> None:
        """Record that a worker is unreachable."""
        load = self.load(worker_id)
        load.suspect_until = self._clock() + SUSPECT_SECONDS
        load.needs_probe = True
