"""Load, cached prompts and failures of each worker, recorded from the requests sent to it."""

from collections.abc import Callable

from wheelslip.deployment import EngineProfile, Incarnation, Worker
from wheelslip.routing.caches.holdings import CachedParts
from wheelslip.routing.load_table import LoadAtWorker
from wheelslip.routing.placement import Placement
from wheelslip.routing.speeds.worker_speed import SpeedEstimates
from wheelslip.routing.worker_load import WorkerLoad

SUSPECT_SECONDS = 2.0
"""Time for which an unreachable worker is avoided."""

PREFILL_TOKENS_PER_SECOND = 30_000.0
"""Assumed prefill rate of a worker while speeds are not learned."""

INITIAL_REQUEST_SECONDS = 1.0
"""Initial estimate of the duration of a request at a model engine."""

REQUEST_SMOOTHING = 0.05

FAILURE_WEIGHT = 0.3


class WorkerRecords:
    """Load, cached prompts and failures by worker incarnation.

    :param is_registered: returns whether a worker is registered. No records are created for a
        departed worker, even when its last requests end later.
    :param speeds: learned speeds; ``None`` to use constants.
    :param learn_speeds: returns whether speeds are learned and used.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        is_registered: Callable[[Incarnation], bool],
        speeds: SpeedEstimates | None = None,
        learn_speeds: Callable[[], bool] = lambda: True,
    ):
        self._clock = clock
        self._speeds = speeds
        self._learn_speeds = learn_speeds
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

    @property
    def speeds(self) -> SpeedEstimates | None:
        """Learned speeds; ``None`` while they are switched off."""
        return self._speeds if self._speeds is not None and self._learn_speeds() else None

    def engine_speeds(self, service: str) -> SpeedEstimates | None:
        """Return the learned speeds of model engines if they replace the assumed ones.

        Estimates vary with the streams beside a prefill. Unless the engines of a service are far
        faster than assumed, that variation would move requests more than the true differences do.
        """
        speeds = self.speeds
        if speeds is None or not speeds.is_faster(PREFILL_TOKENS_PER_SECOND, service):
            return None
        return speeds

    def prefill_rate(self, worker: Worker) -> float:
        """Return the prefill rate of a worker in tokens per second."""
        info = worker.info
        speeds = self.engine_speeds(info.service)
        if speeds is None:
            return PREFILL_TOKENS_PER_SECOND
        return speeds.prefill_rate(info.id, info.service)

    def _service_rate(self, service: str) -> float:
        speeds = self.engine_speeds(service)
        return PREFILL_TOKENS_PER_SECOND if speeds is None else speeds.service_rate(service)

    def _first_token_overhead(self, worker: Worker) -> float:
        """Return the part of the time to a first token that does not depend on the prompt.

        The median of the service: a worker's own estimate includes what its streams cost at the
        time, and placement by it undoes the separation of long and short prompts.
        """
        speeds = self.engine_speeds(worker.info.service)
        return 0.0 if speeds is None else speeds.first_token_overhead(worker.info.service)

    def _mean_request_seconds(self, service: str, worker: Worker | None = None) -> float:
        """Return the mean duration of a request of a service, or of one at a worker."""
        speeds = self.engine_speeds(service)
        if speeds is None:
            return self._request_seconds
        if worker is None:
            return speeds.service_request_seconds(service)
        return speeds.request_seconds(worker.info.id, service)

    def _priority_seconds(self, service: str, priority: int) -> float:
        """Return the mean duration of requests of a priority, 0 while it is unknown."""
        speeds = self.engine_speeds(service)
        return 0.0 if speeds is None else speeds.priority_seconds(service, priority)

    def _duration_factor(self, worker: Worker) -> float:
        """Return the mean duration of requests at a worker relative to its service's."""
        speeds = self.speeds
        if speeds is None:
            return 1.0
        return speeds.duration_factor(worker.info.id, worker.info.service)

    def _unseen_tokens(self, worker_id: Incarnation) -> int:
        """Return the prompt tokens that a worker computes for requests not recorded here."""
        return 0

    def forget(self, worker_id: Incarnation) -> None:
        """Delete the records of a departed worker."""
        if self._speeds is not None:
            self._speeds.forget(worker_id)
        self._loads.pop(worker_id, None)
        self._cached_parts.pop(worker_id, None)

    def begin(self, placement: Placement) -> float:
        """Record that a request is sent.

        :return: the send time, to be passed to :meth:`first_token` and :meth:`end`.
        """
        load = self.load(placement.worker.info.id)
        load.running += 1
        load.add_prefill(placement.prefill_tokens, placement.priority)
        load.held_tokens += placement.held_tokens
        began_at = self._clock()
        load.waiting.add(began_at)
        unseen = 0 if self.speeds is None else self._unseen_tokens(placement.worker.info.id)
        load.window.begin(began_at, unseen)
        return began_at

    def first_token(self, placement: Placement, began_at: float) -> None:
        """Record that a worker has computed a prompt and has it cached."""
        load = self.load(placement.worker.info.id)
        load.remove_prefill(placement.prefill_tokens, placement.priority)
        load.waiting.discard(began_at)
        load.needs_probe = False
        load.record_wait(began_at, self._clock())
        self._learn_prefill(placement, began_at, load)
        parts = self._cached_parts.get(placement.worker.info.id)
        if parts is not None and placement.chain:
            parts.record(placement.chain)

    def _learn_prefill(self, placement: Placement, began_at: float, load: WorkerLoad) -> None:
        """Learn the speed of a worker from a first token.

        Transfers of KV cache are no prefill, so requests with one are not measured.
        """
        now = self._clock()
        info = placement.worker.info
        is_measured = placement.priority is not None and not placement.fetched_tokens
        speeds = self.speeds
        overhead_seconds = speeds.first_token_overhead(info.service, info.id) if speeds else 0.0
        sample = load.window.first_token(
            placement.prefill_tokens, began_at, now, overhead_seconds, is_measured
        )
        if sample is None or speeds is None or not self._worker_is_registered(info.id):
            return
        speeds.record_first_token(
            info.id, info.service, sample.tokens, sample.seconds, now, sample.has_overhead
        )

    def _learn_duration(self, placement: Placement, seconds: float) -> None:
        info = placement.worker.info
        speeds = self.speeds
        if speeds is None or placement.priority is None or not self._worker_is_registered(info.id):
            return
        speeds.record_duration(info.id, info.service, placement.priority, seconds, self._clock())

    def end(
        self,
        placement: Placement,
        began_at: float,
        had_first_token: bool,
        completed: bool = False,
    ) -> None:
        """Record that a request has left its worker.

        :param completed: the request ended without a failure, with or without a first token.
        """
        load = self.load(placement.worker.info.id)
        load.waiting.discard(began_at)
        load.running = max(0, load.running - 1)
        load.held_tokens = max(0, load.held_tokens - placement.held_tokens)
        duration = self._clock() - began_at
        if completed and (had_first_token or not placement.chain):
            self._learn_duration(placement, duration)
        if had_first_token:
            self._request_seconds += REQUEST_SMOOTHING * (duration - self._request_seconds)
        else:
            load.window.abandon()
            load.remove_prefill(placement.prefill_tokens, placement.priority)

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
