"""State of an in-flight forwarded request."""

from dataclasses import dataclass, field
from functools import cached_property

import h11

from wheelslip.crashes.trials import TrialLock
from wheelslip.deployment import ForwardedRequest, Incarnation, Route, Tenant
from wheelslip.routing.fingerprint import request_fingerprint
from wheelslip.routing.retry_window import Retry


@dataclass(frozen=True)
class BufferedResponse:
    """A worker's response that was read completely before being forwarded."""

    response: h11.Response
    body: bytes


@dataclass
class Job:
    """State of one in-flight request.

    :ivar tenant: ``None`` if the route needs no API key.
    :ivar cache_namespace: separates cached prompts of isolated tenants.
    :ivar deadline: in seconds of the steady clock.
    :ivar attempts_sent: attempts that were sent to a worker, executed or not.
    :ivar may_have_run: attempts that the worker may have executed.
    :ivar excluded: worker incarnations that are not tried again.
    :ivar retry: reservation of the next attempt; ``None`` before the first one.
    :ivar last_delivered_id: id of the last event that the caller has received, in this or an earlier
        response.
    :ivar failed_response: last server error response of a worker.
    :ivar failure_forwarded: a server error response of a worker was forwarded to the caller.
    :ivar quota_charged: the request was charged to the tenant's quota without a grant.
    :ivar failure_reason: why the last attempt failed, for logs and error messages.
    :ivar worker_id: worker of the last attempt.
    :ivar software_version: of that worker.
    :ivar required_version: software version that may continue the stream, or the name of the process
        that began it while its version is not known; empty for any.
    :ivar begun_version: the same of a stream that the present attempt begins.
    :ivar unverified: worker incarnations that are avoided, as it is not known whether they have
        restarted with another version.
    :ivar accepts_unverified: no other workers are available, so they are not avoided any more.
    :ivar via: address of the node through which the last attempt was tunneled; empty for none.
    :ivar last_incarnation: worker incarnation that the request was last sent to, which may be a later
        one than that of the entry.
    :ivar last_sent_at: when it was sent there, in seconds of the steady clock.
    :ivar trial_lock: trial lock that the request holds, as it is suspected of crashing workers.
    :ivar trial_keys: keys of the suspected prompt parts of a request on trial.
    :ivar has_waited: the request was put into the queue of a dispatcher.
    :ivar attempt_began_answer_at: when the last attempt brought its first event, 0 before that.
    :ivar first_event_at: when the first event was forwarded, 0 before that.
    """

    request: ForwardedRequest
    route: Route
    tenant: Tenant | None
    cache_namespace: str
    deadline: float
    attempts_sent: int = 0
    may_have_run: int = 0
    excluded: set[Incarnation] = field(default_factory=set)
    retry: Retry | None = None
    last_delivered_id: int | None = None
    failed_response: BufferedResponse | None = None
    failure_forwarded: bool = False
    quota_charged: bool = False
    failure_reason: str = ""
    worker_id: str = ""
    software_version: str = ""
    required_version: str = ""
    begun_version: str = ""
    unverified: set[Incarnation] = field(default_factory=set)
    accepts_unverified: bool = False
    via: str = ""
    last_incarnation: Incarnation | None = None
    last_sent_at: float = 0.0
    trial_lock: TrialLock | None = None
    trial_keys: frozenset[str] = frozenset()
    weights_version: int | None = None
    has_waited: bool = False
    attempt_began_answer_at: float = 0.0
    first_event_at: float = 0.0

    @property
    def response_deadline(self) -> float:
        """Time after which the caller does not wait for the response to begin."""
        if self.first_event_at:
            return self.deadline
        return min(self.deadline, self.request.arrived + self.route.patience_seconds)

    @property
    def on_trial(self) -> bool:
        """Whether the request holds the trial lock of its service."""
        return self.trial_lock is not None

    @property
    def priority(self) -> int:
        """Priority of the tenant, or else of the route; 0 is the most urgent."""
        if self.tenant is not None and self.tenant.priority is not None:
            return self.tenant.priority
        return self.route.priority

    @property
    def shared_part_ids(self) -> list[str]:
        """Ids of the prompt parts that other requests may have: all but the last."""
        return [part.id for part in self.request.metadata.prompt[:-1]]

    @cached_property
    def fingerprint(self) -> str:
        """Fingerprint of method, target, tenant and body."""
        request = self.request
        tenant = self.tenant.name if self.tenant is not None else ""
        return request_fingerprint(request.method, request.target, tenant, request.body)
