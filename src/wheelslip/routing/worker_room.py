"""Limit of the requests that a node without a dispatcher sends to each worker.

Nodes that choose by themselves do not queue. Without a limit, each of them adds to the queues at
the workers until every request misses its target.
"""

from collections import Counter, defaultdict
from collections.abc import Mapping

from wheelslip.deployment import EngineProfile, Incarnation, Worker
from wheelslip.routing.load_table import LoadAtWorker
from wheelslip.routing.overload import RetrySchedule
from wheelslip.routing.placement import Placement, PlacementQuery
from wheelslip.routing.worker_records import INITIAL_REQUEST_SECONDS

MIN_RETRY_SECONDS = 0.05

DURATION_SMOOTHING = 0.05


class WorkerRoom:
    """Decides whether workers have room for one more request, as far as this node knows.

    Requests whose worker is chosen but to which no connection is open yet are counted too:
    otherwise all requests that arrive while connections are opened go to the same free slots.

    :ivar rejected: number of requests rejected since the start.
    """

    def __init__(self):
        self._unsent: Counter[Incarnation] = Counter()
        self._unsent_tokens: Counter[Incarnation] = Counter()
        self._retry_schedules: defaultdict[str, RetrySchedule] = defaultdict(RetrySchedule)
        self._mean_seconds: dict[str, float] = {}
        self.rejected = 0

    def record_duration(self, service: str, seconds: float) -> None:
        """Record how long a served request was at its worker."""
        mean = self._mean_seconds.get(service, seconds)
        self._mean_seconds[service] = mean + DURATION_SMOOTHING * (seconds - mean)

    def add_unsent(self, placement: Placement) -> None:
        """Count a request that is about to be sent."""
        self._unsent[placement.worker.info.id] += 1
        self._unsent_tokens[placement.worker.info.id] += placement.held_tokens

    def remove_unsent(self, placement: Placement) -> None:
        """Remove a request that is sent now, or that will not be sent."""
        worker_id = placement.worker.info.id
        self._unsent[worker_id] -= 1
        self._unsent_tokens[worker_id] -= placement.held_tokens
        if self._unsent[worker_id] <= 0:
            del self._unsent[worker_id], self._unsent_tokens[worker_id]

    def has_room(
        self,
        worker: Worker,
        load: LoadAtWorker,
        query: PlacementQuery,
        engine: EngineProfile | None,
    ) -> bool:
        """Return whether a worker can start one more request.

        A prompt that exceeds the KV cache of an engine is left to the engine to reject.

        :param load: requests at the worker, from all nodes.
        """
        running = load.running + self._unsent[worker.info.id]
        if engine is None:
            return running < max(1, worker.info.capacity)
        if running == 0:
            return True
        held = load.held_tokens + self._unsent_tokens[worker.info.id]
        needed = query.prompt_tokens + query.output_tokens
        return running < engine.capacity and held + needed <= engine.cache_tokens

    def retry_seconds(
        self, service: str, own_running: Mapping[Incarnation, int], now: float
    ) -> float:
        """Count a rejection and return after how long its caller should retry.

        Callers of this node return at the rate at which its own requests end. Other nodes do the
        same, so together they use the capacity that becomes free, without knowing their number.

        :param own_running: number of sent requests of this node by worker of the service.
        """
        self.rejected += 1
        mean = self._mean_seconds.get(service, INITIAL_REQUEST_SECONDS)
        unsent = sum(self._unsent[worker_id] for worker_id in own_running)
        spacing = mean / max(1, sum(own_running.values()) + unsent)
        seconds = self._retry_schedules[service].retry_seconds(now, spacing, spacing)
        return max(MIN_RETRY_SECONDS, seconds)
