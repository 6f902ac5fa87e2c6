"""The queues of a dispatcher: which waiting requests of all services start or are rejected.

No I/O: the clock and the function that grants a worker are injected.
"""

from collections.abc import Callable
from itertools import islice

from wheelslip.routing.fleet_choice import FleetPlacement
from wheelslip.routing.limits.tenant_limits import NoAuthority, TenantLimited, TenantLimits
from wheelslip.routing.overload import MIN_RETRY_SECONDS, Overloaded
from wheelslip.routing.placement import Placement, PlacementQuery
from wheelslip.routing.queue.service_queue import ServiceQueue, ServiceQueues
from wheelslip.routing.queue.service_times import TimesByService
from wheelslip.routing.queue.waiting_request import QueryId, QueuedQuery, WaitingRequest

DECISION_MEMORY_SECONDS = 1.5
"""How long a rejection or withdrawal is repeated to a node that still renews its request, longer
than the interval of renewals plus the delay of a datagram."""

MAX_FAILED_TRIES = 2
"""Number of kinds of waiting requests tried without success in one pass. Requests of another model
or with other excluded workers may start although the first in order cannot."""

MAX_PASSED_REQUESTS = 64
"""Number of waiting requests that one pass looks at to find another kind."""


class NoWorker(Exception):
    """Raised when no worker may take a request now, whatever its load."""


Decision = Placement | Overloaded | TenantLimited | NoWorker
"""Decision on a waiting request: its worker, or the exception that ends its wait."""


class DispatchQueues:
    """The queues of all services, and the decisions that their nodes may not have received yet.

    :param placement: the workers of the services.
    :param limits: tenant rate limits.
    :param grant: grants a worker that can start a request soon. Returns ``None`` when none may
        take it; raises ``Overloaded``, ``TenantLimited`` or ``NoAuthority``.
    :param times: how long the workers of each service need for requests.
    """

    def __init__(
        self,
        placement: FleetPlacement,
        limits: TenantLimits,
        clock: Callable[[], float],
        grant: Callable[[QueryId, PlacementQuery], Placement | None],
        times: TimesByService,
    ):
        self._placement = placement
        self._limits = limits
        self._clock = clock
        self._grant = grant
        self._queues = ServiceQueues(clock, placement, times, placement.start_capacity)
        self._decided: dict[QueryId, tuple[float, Overloaded | TenantLimited | NoWorker]] = {}
        self._undelivered: list[tuple[QueryId, Decision]] = []

    @property
    def queued(self) -> int:
        """Number of requests that have waited since the start."""
        return sum(queue.queued for queue in self._queues.values())

    @property
    def displaced(self) -> int:
        """Number of waiting requests rejected because they were overtaken."""
        return sum(queue.displaced for queue in self._queues.values())

    @property
    def rejected(self) -> int:
        """Number of requests rejected for other reasons."""
        return sum(queue.rejected for queue in self._queues.values())

    def depth(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(queue.requests) for queue in self._queues.values())

    def expected_seconds(self, query_id: QueryId) -> float:
        """Return the expected time until a waiting request starts; 0 if it does not wait."""
        for queue in self._queues.values():
            request = queue.requests.get(query_id)
            if request is not None:
                return queue.requests.wait_seconds(request)
        return 0.0

    def start_if_next(self, query_id: QueryId, query: PlacementQuery) -> Placement | None:
        """Grant a worker without letting the request wait; ``None`` when no worker may take it.

        :raises Overloaded: when a waiting request starts before it, or no worker can start it soon.
        :raises TenantLimited: when the tenant exceeds its rate limit.
        """
        queue = self._queues[query.service]
        request = queue.submit(query_id, QueuedQuery(query))
        try:
            if self._may_start(queue, request):
                return self._start(queue, request)
        except NoAuthority:
            return None
        except Overloaded:
            pass
        # Builds without a queue tell callers this time.
        raise Overloaded(max(MIN_RETRY_SECONDS, queue.requests.wait_seconds(request)))

    def enqueue(self, query_id: QueryId, queued: QueuedQuery) -> Placement | None:
        """Grant a worker, or let the request wait or renew it; ``None`` means that it waits.

        :raises Overloaded: when the request is rejected.
        :raises TenantLimited: when the tenant exceeds its rate limit.
        :raises NoWorker: when no worker may take the request now.
        """
        queue = self._queues[queued.query.service]
        if queue.requests.renew(query_id):
            return None
        if query_id in self._decided:
            raise self._decided[query_id][1]
        return self._start_or_wait(queue, query_id, queued)

    def withdraw(self, query_id: QueryId) -> None:
        """Remove a waiting request; a renewal that crosses the withdrawal is rejected."""
        self._remember(query_id, Overloaded(MIN_RETRY_SECONDS))
        self.remove(query_id)

    def remove(self, query_id: QueryId) -> None:
        """Remove a waiting request that is granted without the queue."""
        for queue in self._queues.values():
            queue.requests.remove(query_id)

    def advance(self) -> list[tuple[QueryId, Decision]]:
        """Return the decisions on waiting requests: grants and rejections."""
        decisions, self._undelivered = self._undelivered, []
        for service, queue in self._queues.items():
            if not queue.requests:
                continue
            if not self._placement.has_worker(service):
                decisions += [
                    (request.query_id, self._return_to_node(queue, request))
                    for request in list(queue.requests.in_order())
                ]
            for request in queue.sweep():
                decisions.append((request.query_id, self._reject(queue, request)))
            decisions += self._start_waiting(service, queue)
        return decisions

    def forget_decisions(self) -> None:
        """Drop the decisions that no renewal can cross any more."""
        now = self._clock()
        self._decided = {
            query_id: decided for query_id, decided in self._decided.items() if now < decided[0]
        }

    def _start_or_wait(
        self, queue: ServiceQueue, query_id: QueryId, queued: QueuedQuery
    ) -> Placement | None:
        self._limits.check(queued.query)
        request = queue.submit(query_id, queued)
        if self._may_start(queue, request):
            try:
                placement = self._start(queue, request)
            except NoAuthority as exc:
                raise NoWorker from exc
            except Overloaded:
                pass
            else:
                if placement is None:
                    raise NoWorker
                return placement
        if not self._placement.has_worker(queued.query.service):
            raise NoWorker
        try:
            displaced = queue.offer(request)
        except Overloaded as exc:
            self._remember(query_id, exc)
            raise
        for each in displaced:
            self._undelivered.append((each.query_id, self._reject(queue, each)))
        return None

    def _may_start(self, queue: ServiceQueue, request: WaitingRequest) -> bool:
        """Return whether a new request is to be placed before all waiting ones."""
        if request.query.sent_before:
            return True
        service = request.query.service
        if not self._placement.may_start_soon(service) and self._placement.has_worker(service):
            return False
        return queue.requests.is_next(request)

    def _start(self, queue: ServiceQueue, request: WaitingRequest) -> Placement | None:
        """Grant a worker that can start a request soon; return ``None`` when none may take it.

        :raises Overloaded: when no worker can start it soon.
        :raises TenantLimited: when the tenant exceeds its rate limit.
        :raises NoAuthority: when another node must count the request.
        """
        placement = self._grant(request.query_id, request.remaining_query(self._clock()))
        if placement is not None:
            queue.requests.record_start(request)
        return placement

    def _start_waiting(self, service: str, queue: ServiceQueue) -> list[tuple[QueryId, Decision]]:
        """Start waiting requests in order until one is found that no worker can start."""
        decisions = []
        failed: set[tuple] = set()
        while len(failed) < MAX_FAILED_TRIES and self._placement.may_start_soon(service):
            waiting = islice(queue.requests.in_order(), MAX_PASSED_REQUESTS)
            request = next((each for each in waiting if _kind(each) not in failed), None)
            if request is None:
                break
            decision = self._try_start(queue, request)
            if decision is None:
                failed.add(_kind(request))
            else:
                decisions.append((request.query_id, decision))
        return decisions

    def _try_start(self, queue: ServiceQueue, request: WaitingRequest) -> Decision | None:
        """Decide on a waiting request; return ``None`` when it continues to wait."""
        try:
            placement = self._start(queue, request)
        except TenantLimited as exc:
            queue.requests.remove(request.query_id)
            self._remember(request.query_id, exc)
            return exc
        except (Overloaded, NoAuthority):
            return None
        if placement is None and not self._placement.has_worker(
            request.query.service, request.query.excluded
        ):
            return self._return_to_node(queue, request)
        return placement

    def _return_to_node(self, queue: ServiceQueue, request: WaitingRequest) -> NoWorker:
        """End the wait of a request at this dispatcher; its node waits for a worker."""
        queue.requests.remove(request.query_id)
        decision = NoWorker()
        self._remember(request.query_id, decision)
        return decision

    def _reject(self, queue: ServiceQueue, request: WaitingRequest) -> Overloaded:
        queue.requests.remove(request.query_id)
        rejection = queue.reject(request)
        self._remember(request.query_id, rejection)
        return rejection

    def _remember(self, query_id: QueryId, decision: Overloaded | TenantLimited | NoWorker) -> None:
        """Repeat a decision if a renewal crosses it, as the node does not hold the request."""
        self._decided[query_id] = (self._clock() + DECISION_MEMORY_SECONDS, decision)


def _kind(request: WaitingRequest) -> tuple:
    """Return what two requests have in common if none can start when the other cannot."""
    query = request.query
    return query.model, query.excluded, query.tenant if query.limit_units else ""
