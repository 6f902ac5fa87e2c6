"""A forwarded request under way."""

from dataclasses import dataclass, field
from functools import cached_property

import h11

from wheelslip.deployment import ForwardedRequest, Incarnation, Route, Tenant
from wheelslip.routing.fingerprint import request_fingerprint


@dataclass(frozen=True)
class WholeAnswer:
    """A worker's whole answer that was not passed on yet."""

    response: h11.Response
    body: bytes


@dataclass
class Job:
    """One request under way and what has happened to it.

    :ivar sent: attempts that reached a worker, whether it ran them or not.
    :ivar may_have_run: attempts that were not proven not run.
    :ivar delivered: id of the last event passed on to the caller.
    :ivar counted: this node had it counted for its tenant's limit, apart from any grant.
    :ivar last_start: of the engine that it was sent to last.
    :ivar last_sent_at: when that was, in seconds of the steady clock.
    :ivar on_trial: engines ended under its content before; this node sends it to one alone.
    :ivar failure_passed_on: the caller got a worker's own failure as its answer.
    """

    request: ForwardedRequest
    route: Route
    tenant: Tenant | None
    wall: str
    deadline: float
    sent: int = 0
    may_have_run: int = 0
    excluded: set[Incarnation] = field(default_factory=set)
    delivered: int | None = None
    failure: WholeAnswer | None = None
    failure_passed_on: bool = False
    counted: bool = False
    reason: str = ""
    worker_id: str = ""
    last_start: Incarnation | None = None
    last_sent_at: float = 0.0
    on_trial: bool = False
    weights_version: int | None = None
    first_event_at: float = 0.0

    @property
    def priority(self) -> int:
        """The priority of the request, 0 for the most urgent: a tenant's goes before its route's."""
        if self.tenant is not None and self.tenant.priority is not None:
            return self.tenant.priority
        return self.route.priority

    @cached_property
    def fingerprint(self) -> str:
        """The identity of the request's content, computed when it is first asked for."""
        request = self.request
        tenant = self.tenant.name if self.tenant is not None else ""
        return request_fingerprint(request.method, request.target, tenant, request.body)
