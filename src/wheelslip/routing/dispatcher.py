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
from wheelslip.routing.fleet_memory import CachedPrompt
from wheelslip.routing.overload import Overloaded
from wheelslip.routing.placement import Placement, PlacementQuery
from wheelslip.routing.tenant_limits import Charge, NoAuthority, TenantLimits
from wheelslip.routing.worker_allowance import RateLimitedChoice, WorkerAllowance

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


class TicketId(NamedTuple):
    """A node's incarnation and the number of its question."""

    node: str
    ask: int


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
    :ivar given: grants since the start.
    :ivar held_back: questions that got no worker since the start, for overload.
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
        self._choice = RateLimitedChoice(placement, allowance)
        self._clock = clock
        self._counted: dict[TicketId, float] = {}
        self._tickets: dict[TicketId, _Ticket] = {}
        self._heard_at: dict[str, float] = {}
        self._swept_at = clock()
        self.given = 0
        self.held_back = 0

    @property
    def granted(self) -> int:
        """Requests that are believed to run by a grant of this dispatcher."""
        return len(self._tickets)

    def ask(self, ticket_id: TicketId, query: PlacementQuery) -> Placement | None:
        """Grant a worker; ``None`` when none may take the request now.

        :raises TenantLimited: when its tenant is over its limit.
        :raises Overloaded: when none can begin it in time.
        """
        self._hear(ticket_id.node)
        self._sweep()
        known = self._tickets.get(ticket_id)
        if known is not None:
            return known.placement
        try:
            charge = self._limits.charge(query)
        except NoAuthority:
            # The node that asks follows another dispatcher in a moment.
            return None
        placement = self._place(query, charge)
        if placement is not None:
            self.given += 1
            began_at = self.placement.begin(placement)
            self._tickets[ticket_id] = _Ticket(placement, began_at, charge=charge)
        return placement

    def _place(self, query: PlacementQuery, charge: Charge | None) -> Placement | None:
        """Choose a worker, and give back what was counted when there is none."""
        try:
            placement = self._choice.choose(query, self._clock())
        except Overloaded:
            self._limits.refund(charge)
            self.held_back += 1
            raise
        if placement is None:
            self._limits.refund(charge)
        return placement

    def count(self, ticket_id: TicketId, query: PlacementQuery) -> None:
        """Count a request for its tenant's limit whose node chooses the worker by itself.

        :raises TenantLimited: when the tenant is over its limit.
        :raises NoAuthority: when another node has to be asked.
        """
        self._hear(ticket_id.node)
        self._sweep()
        if ticket_id not in self._counted:
            self._limits.charge(query)
            self._counted[ticket_id] = self._clock() + COUNTED_SECONDS

    def progress(self, ticket_id: TicketId, progress: Progress) -> None:
        """Take what a node tells about a granted request; unknown tickets are passed over."""
        self._hear(ticket_id.node)
        ticket = self._tickets.get(ticket_id)
        if ticket is None:
            return
        worker_id = ticket.placement.worker.info.id
        match progress:
            case Progress.FIRST_TOKEN:
                self._first_token(ticket)
                self.placement.record_contact(worker_id, ticket_id.node)
            case Progress.ENDED:
                if ticket.had_first_token or not ticket.placement.chain:
                    self.placement.record_outcome(worker_id, failed=False)
                    self.placement.record_contact(worker_id, ticket_id.node)
                self._end(ticket_id)
            case Progress.FAILED:
                self.placement.record_outcome(worker_id, failed=True)
                self._end(ticket_id)
            case Progress.SILENT:
                self.placement.record_outcome(worker_id, failed=True)
                self.placement.record_unreachable(worker_id, ticket_id.node)
                self._end(ticket_id)
            case Progress.NOT_RUN:
                self.placement.record_outcome(worker_id, failed=True)
                self._end_not_run(ticket_id)
            case Progress.UNUSED:
                self._end_not_sent(ticket_id)
            case Progress.UNREACHED:
                self.placement.record_unreachable(worker_id, ticket_id.node)
                self._end_not_sent(ticket_id)

    def _end_not_sent(self, ticket_id: TicketId) -> None:
        placement = self._tickets[ticket_id].placement
        if placement.rate_limit_charged:
            self._allowance.refund(placement.worker.info.id)
        self._end_not_run(ticket_id)

    def _end_not_run(self, ticket_id: TicketId) -> None:
        self._limits.refund(self._tickets[ticket_id].charge)
        self._end(ticket_id)

    def _first_token(self, ticket: _Ticket) -> None:
        if not ticket.had_first_token:
            ticket.had_first_token = True
            self.placement.first_token(ticket.placement, ticket.began_at)

    def _end(self, ticket_id: TicketId) -> None:
        ticket = self._tickets.pop(ticket_id)
        self.placement.end(ticket.placement, ticket.began_at, ticket.had_first_token)

    def running(self, node: str, asks: list[int], requests: list[RunningRequest]) -> None:
        """Take a node's list of all that it has running by grants.

        :param asks: the numbers of all of it.
        :param requests: a part of it in full.
        """
        self._hear(node)
        listed = set(asks)
        now = self._clock()
        for ticket_id, ticket in list(self._tickets.items()):
            unlisted = ticket_id.node == node and ticket_id.ask not in listed
            if unlisted and now - ticket.began_at > UNLISTED_SECONDS:
                self._end(ticket_id)
        for one in requests:
            self._adopt(TicketId(node, one.ask), one)

    def _adopt(self, ticket_id: TicketId, one: RunningRequest) -> None:
        """Take over a request that another dispatcher has granted, or what was lost of it."""
        ticket = self._tickets.get(ticket_id)
        if ticket is None:
            placement = self.placement.rebuild_placement(one)
            if placement is None:
                return
            ticket = _Ticket(placement, self.placement.begin(placement))
            self._tickets[ticket_id] = ticket
        if one.prefill_tokens == 0:
            self._first_token(ticket)

    def kept(self, prompts: list[CachedPrompt]) -> None:
        """Take over prompts that workers have read, as a node remembers them."""
        for one in prompts:
            self.placement.record_cached_prompt(one)

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
        for ticket_id in [one for one in self._tickets if one.node not in self._heard_at]:
            self._end(ticket_id)
