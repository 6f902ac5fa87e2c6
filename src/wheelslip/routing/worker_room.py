"""Limit of the requests that a node without a dispatcher sends to each worker.

Without a limit, each node that chooses by itself adds to the queues at the workers, which do not know
how long callers wait.
"""

from collections import Counter

from wheelslip.deployment import EngineProfile, Incarnation, Worker
from wheelslip.routing.load_table import LoadAtWorker
from wheelslip.routing.placement import Placement, PlacementQuery


class WorkerRoom:
    """Decides whether workers have room for one more request, as far as this node knows.

    Requests whose worker is chosen but to which no connection is open yet are counted too:
    otherwise all requests that arrive while connections are opened go to the same free slots.
    """

    def __init__(self):
        self._unsent: Counter[Incarnation] = Counter()
        self._unsent_tokens: Counter[Incarnation] = Counter()

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
