"""Grants of workers to the requests of all nodes. Pure: clock and random source are injected.

A node asks with a number of its own; asking again with it gives the same grant. Each grant
is a ticket until its node tells that the request has ended. Nodes list what they have
running once in a while, so a ticket whose end was lost goes, and a dispatcher that has just
taken over learns what runs.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from wheelslip.routing.fleet_choice import FleetPlacement, RunningRequest
from wheelslip.routing.fleet_memory import KeptPrompt
from wheelslip.routing.overload import Overloaded
from wheelslip.routing.placement import Placement, PlacementQuery
from wheelslip.routing.tenant_limits import Charge, NoAuthority, TenantLimits
from wheelslip.routing.worker_allowance import LimitedChoice, WorkerAllowance

UNLISTED_SECONDS = 1.0
"""A ticket this old that its node does not list any more has ended."""

SILENT_NODE_SECONDS = 4.0
"""The tickets of a node that has not been heard for this long are void: nodes list what they
have running each second."""

SWEEP_SECONDS = 0.5

COUNTED_SECONDS = 2.0
"""A question that only counts a request may be repeated for this long: an answer is awaited
for less."""


class Progress(Enum):
    """What a node tells about a request at a worker.

    ``SILENT`` means that the worker did not acknowledge what it was sent,
    ``NOT_RUN`` means that the worker refused it before it ran, ``UNUSED`` that it was not sent.
    """

    FIRST_TOKEN = "first"
    ENDED = "ended"
    FAILED = "failed"
    SILENT = "silent"
    NOT_RUN = "not_run"
    UNUSED = "unused"
    UNREACHED = "unreached"


class QueryId(NamedTuple):
    """A node's incarnation and the number of its question."""

    node: str
    number: int


@dataclass
class _Ticket:
    placement: Placement
    began_at: float
    had_first_token: bool = False
    charge: Charge | None = None


class Dispatcher:
    """Chooses workers for all nodes and keeps the tickets of what it has granted.

    :param limits: of tenants.
    :param allowance: this node's part of the limits that workers name.
    :ivar grants_issued: grants since the start.
    :ivar overload_refusals: questions that got no worker since the start, for overload.
    """

    def __init__(
        self,
        placement: FleetPlacement,
        limits: TenantLimits,
        allowance: WorkerAllowance,
        clock: Callable[[], float],
    ):
        self.placement = placement
        self._limits = limits
        self._allowance = allowance
        self._choice = LimitedChoice(placement, allowance)
        self._clock = clock
        self._counted: dict[QueryId, float] = {}
        self._tickets: dict[QueryId, _Ticket] = {}
        self._heard_at: dict[str, float] = {}
        self._swept_at = clock()
        self.grants_issued = 0
        self.overload_refusals = 0

    @property
    def active_grants(self) -> int:
        """Requests that are believed to run by a grant of this dispatcher."""
        return len(self._tickets)

    def grant(self, query_id: QueryId, query: PlacementQuery) -> Placement | None:
        """Grant a worker; ``None`` when none may take the request now.

        :raises TenantLimited: when its tenant is over its limit.
        :raises Overloaded: when none can begin it in time.
        """
        self._hear(query_id.node)
        self._sweep()
        known = self._tickets.get(query_id)
        if known is not None:
            return known.placement
        try:
            charge = self._limits.take(query)
        except NoAuthority:
            # The node that asks follows another dispatcher in a moment.
            return None
        placement = self._place(query, charge)
        if placement is not None:
            self.grants_issued += 1
            began_at = self.placement.begin(placement)
            self._tickets[query_id] = _Ticket(placement, began_at, charge=charge)
        return placement

    def _place(self, query: PlacementQuery, charge: Charge | None) -> Placement | None:
        """Choose a worker, and give back what was counted when there is none."""
        try:
            placement = self._choice.choose(query, self._clock())
        except Overloaded:
            self._limits.give_back(charge)
            self.overload_refusals += 1
            raise
        if placement is None:
            self._limits.give_back(charge)
        return placement

    def count(self, query_id: QueryId, query: PlacementQuery) -> None:
        """Count a request for its tenant's limit whose node chooses the worker by itself.

        :raises TenantLimited: when the tenant is over its limit.
        :raises NoAuthority: when another node has to be asked.
        """
        self._hear(query_id.node)
        self._sweep()
        if query_id not in self._counted:
            self._limits.take(query)
            self._counted[query_id] = self._clock() + COUNTED_SECONDS

    def record_progress(self, query_id: QueryId, progress: Progress) -> None:
        """Take what a node tells about a granted request; unknown tickets are passed over."""
        self._hear(query_id.node)
        ticket = self._tickets.get(query_id)
        if ticket is None:
            return
        worker_id = ticket.placement.worker.info.id
        match progress:
            case Progress.FIRST_TOKEN:
                self._first_token(ticket)
                self.placement.heard(worker_id, query_id.node)
            case Progress.ENDED:
                if ticket.had_first_token or not ticket.placement.chain:
                    self.placement.note_outcome(worker_id, failed=False)
                    self.placement.heard(worker_id, query_id.node)
                self._end(query_id)
            case Progress.FAILED:
                self.placement.note_outcome(worker_id, failed=True)
                self._end(query_id)
            case Progress.SILENT:
                self.placement.note_outcome(worker_id, failed=True)
                self.placement.unreached(worker_id, query_id.node)
                self._end(query_id)
            case Progress.NOT_RUN:
                self.placement.note_outcome(worker_id, failed=True)
                self._end_not_run(query_id)
            case Progress.UNUSED:
                self._end_not_sent(query_id)
            case Progress.UNREACHED:
                self.placement.unreached(worker_id, query_id.node)
                self._end_not_sent(query_id)

    def _end_not_sent(self, query_id: QueryId) -> None:
        placement = self._tickets[query_id].placement
        if placement.is_counted:
            self._allowance.give_back(placement.worker.info.id)
        self._end_not_run(query_id)

    def _end_not_run(self, query_id: QueryId) -> None:
        self._limits.give_back(self._tickets[query_id].charge)
        self._end(query_id)

    def _first_token(self, ticket: _Ticket) -> None:
        if not ticket.had_first_token:
            ticket.had_first_token = True
            self.placement.first_token(ticket.placement, ticket.began_at)

    def _end(self, query_id: QueryId) -> None:
        ticket = self._tickets.pop(query_id)
        self.placement.end(ticket.placement, ticket.began_at, ticket.had_first_token)

    def reconcile_running(self, node: str, asks: list[int], requests: list[RunningRequest]) -> None:
        """Take a node's list of all that it has running by grants.

        :param asks: the numbers of all of it.
        :param requests: a part of it in full.
        """
        self._hear(node)
        listed = set(asks)
        now = self._clock()
        for query_id, ticket in list(self._tickets.items()):
            unlisted = query_id.node == node and query_id.number not in listed
            if unlisted and now - ticket.began_at > UNLISTED_SECONDS:
                self._end(query_id)
        for one in requests:
            self._adopt(QueryId(node, one.ask), one)

    def _adopt(self, query_id: QueryId, one: RunningRequest) -> None:
        """Take over a request that another dispatcher has granted, or what was lost of it."""
        ticket = self._tickets.get(query_id)
        if ticket is None:
            placement = self.placement.adopted(one)
            if placement is None:
                return
            ticket = _Ticket(placement, self.placement.begin(placement))
            self._tickets[query_id] = ticket
        if one.unread_tokens == 0:
            self._first_token(ticket)

    def record_cached_prompts(self, prompts: list[KeptPrompt]) -> None:
        """Take over prompts that workers have read, as a node remembers them."""
        for one in prompts:
            self.placement.learn(one)

    def _hear(self, node: str) -> None:
        self._heard_at[node] = self._clock()

    def _sweep(self) -> None:
        """End the tickets of nodes that are silent."""
        now = self._clock()
        if now - self._swept_at < SWEEP_SECONDS:
            return
        self._swept_at = now
        self._counted = {one: until for one, until in self._counted.items() if now < until}
        silent = {node for node, at in self._heard_at.items() if now - at > SILENT_NODE_SECONDS}
        for node in silent:
            del self._heard_at[node]
        for query_id in [one for one in self._tickets if one.node not in self._heard_at]:
            self._end(query_id)
