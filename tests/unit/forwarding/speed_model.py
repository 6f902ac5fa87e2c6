"""Model of workers in virtual time: prompts are computed in order of arrival, then decoded."""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable

TICK_SECONDS = 0.001


class VirtualClock:
    def __init__(self):
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class ModelWorker:
    """Computes prompts in chunks of one tick; a rate of 0 is a frozen worker."""

    def __init__(self, rate: float, overhead_seconds: float = 0.015, jitter_seconds: float = 0.01):
        self.rate = rate
        self.overhead_seconds = overhead_seconds
        self.jitter_seconds = jitter_seconds
        self.queue: deque[list] = deque()

    def send(self, tokens: int, on_computed: Callable[[], None]) -> None:
        self.queue.append([float(tokens), on_computed])

    def advance(self, seconds: float) -> None:
        budget = self.rate * seconds
        while self.queue and budget > 0.0:
            head = self.queue[0]
            done = min(budget, head[0])
            head[0] -= done
            budget -= done
            if head[0] <= 0.0:
                self.queue.popleft()
                head[1]()


class World:
    """Workers, timed calls and a clock."""

    def __init__(self, workers: dict[str, ModelWorker], seed: int):
        self.clock = VirtualClock()
        self.workers = workers
        self.random = random.Random(seed)
        self._calls: list = []
        self._order = itertools.count()

    def call_later(self, seconds: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._calls, (self.clock.now + seconds, next(self._order), call))

    def send(self, worker_id: str, tokens: int, on_first_token: Callable[[], None]) -> None:
        """Send a request; its first token comes an overhead after its prompt is computed."""
        worker = self.workers[worker_id]
        overhead = worker.overhead_seconds + self.random.uniform(0.0, worker.jitter_seconds)
        worker.send(tokens, lambda: self.call_later(overhead, on_first_token))

    def run(self, seconds: float) -> None:
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.now += TICK_SECONDS
            while self._calls and self._calls[0][0] <= self.clock.now:
                heapq.heappop(self._calls)[2]()
            for worker in self.workers.values():
                worker.advance(TICK_SECONDS)
