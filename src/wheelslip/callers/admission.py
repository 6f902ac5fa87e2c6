"""Admission of requests: authentication, workload lookup, tenant limits and policies."""

import hashlib
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from wheelslip.callers.call import Call
from wheelslip.callers.schema import CompletionRequest
from wheelslip.errors import ErrorKind, WheelslipError
from wheelslip.events import LogEvent, log_event
from wheelslip.metrics import NodeMetrics
from wheelslip.operators.configuration import Configuration, Tenant, Workload
from wheelslip.operators.declarations import PolicySpec, TenantLimits
from wheelslip.operators.policy import (
    DEFAULT_DECISION,
    PolicyAction,
    PolicyDecision,
    PolicyError,
    PolicyFacts,
    PolicyProgram,
)
from wheelslip.routing.caches.prefix import count_tokens
from wheelslip.routing.limits.token_bucket import TokenBucket
from wheelslip.routing.task import RouterCounts


def authenticate(configuration: Configuration, authorization: str | None) -> Tenant:
    """Return the tenant that a bearer key authenticates.

    :param authorization: the ``Authorization`` header, or ``None`` when it is absent.
    :raises WheelslipError: ``authentication_failed``, when the key is missing or unknown.
    """
    scheme, _, key = (authorization or "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise WheelslipError(ErrorKind.AUTHENTICATION_FAILED, "Authorization: missing bearer key")
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    tenant = configuration.tenant_of(f"sha256:{digest}")
    if tenant is None:
        raise WheelslipError(ErrorKind.AUTHENTICATION_FAILED, "Authorization: unknown key")
    return tenant


def find_workload(configuration: Configuration, request: CompletionRequest) -> Workload:
    """Return the workload for a request's model.

    :raises WheelslipError: when no workload serves the model, ``max_tokens`` exceeds the
        workload's limit, or a required ``Idempotency-Key`` is missing.
    """
    workload = configuration.workload_for(request.model)
    if workload is None:
        message = f"model: no workload or model {request.model!r} is declared"
        raise WheelslipError(ErrorKind.MODEL_NOT_FOUND, message)
    if request.max_tokens > workload.spec.max_output_tokens:
        limit = workload.spec.max_output_tokens
        message = f"max_tokens: {request.max_tokens} exceeds the workload's limit of {limit}"
        raise WheelslipError(ErrorKind.INVALID_REQUEST, message)
    if not workload.spec.repeatable and request.idempotency_key is None:
        message = f"Idempotency-Key: required by workload {workload.name!r}"
        raise WheelslipError(ErrorKind.IDEMPOTENCY_KEY_REQUIRED, message)
    return workload


@dataclass
class _TenantUsage:
    """One tenant's rate limiters and the number of its open streams."""

    requests: TokenBucket
    tokens: TokenBucket
    streams: int = 0


class TenantLimiter:
    """Enforces this node's share of each tenant's limits.

    :param share: returns the fraction of a tenant's limits that this node may use, from 0 to 1.
    """

    def __init__(self, share: Callable[[str], float]):
        self._share = share
        self._usage: dict[str, _TenantUsage] = {}
        self._lock = threading.Lock()

    def admit(self, tenant: Tenant, tokens: int, now: float) -> None:
        """Charge one request and its tokens to a tenant, and count an open stream.

        :raises WheelslipError: ``tenant_limit_exceeded``, naming the exceeded limit.
        """
        limits = tenant.spec.limits
        with self._lock:
            share = self._share(tenant.name)
            usage = self._usage_of(tenant, share, now)
            if limits.concurrent_streams is not None:
                allowed = max(1, round(limits.concurrent_streams * share))
                if usage.streams >= allowed:
                    _refuse(tenant, "concurrent_streams", 1.0)
            if limits.requests_per_second is not None:
                _refuse_if_limited(usage.requests.acquire(1, now), tenant, "requests_per_second")
            if limits.tokens_per_second is not None:
                _refuse_if_limited(usage.tokens.acquire(tokens, now), tenant, "tokens_per_second")
            usage.streams += 1

    def release(self, tenant: Tenant) -> None:
        """Stop counting one of the tenant's open streams."""
        with self._lock:
            self._usage[tenant.name].streams -= 1

    def _usage_of(self, tenant: Tenant, share: float, now: float) -> _TenantUsage:
        usage = self._usage.get(tenant.name)
        request_rate, request_burst = _rate_and_burst(tenant.spec.limits, share, tokens=False)
        token_rate, token_burst = _rate_and_burst(tenant.spec.limits, share, tokens=True)
        if usage is None:
            usage = _TenantUsage(
                TokenBucket(request_rate, request_burst, request_burst, now),
                TokenBucket(token_rate, token_burst, token_burst, now),
            )
            self._usage[tenant.name] = usage
        usage.requests.set_rate(request_rate, request_burst)
        usage.tokens.set_rate(token_rate, token_burst)
        return usage


def _rate_and_burst(limits: TenantLimits, share: float, tokens: bool) -> tuple[float, float]:
    """Return the rate per second and the burst size of the token or request limit."""
    limit = limits.tokens_per_second if tokens else limits.requests_per_second
    rate = (limit or 1.0) * share
    return rate, max(1.0, rate * limits.burst_seconds)


def _refuse_if_limited(wait_seconds: float, tenant: Tenant, limit: str) -> None:
    if wait_seconds > 0:
        _refuse(tenant, limit, wait_seconds)


def _refuse(tenant: Tenant, limit: str, retry_after_seconds: float) -> None:
    message = f"tenant {tenant.name!r} exceeds its limit {limit}"
    raise WheelslipError(ErrorKind.TENANT_LIMIT_EXCEEDED, message, retry_after_seconds)


@dataclass
class _ActivePolicy:
    """A policy with its compiled program."""

    spec: PolicySpec
    program: PolicyProgram
    failing: bool = False


@dataclass
class PolicySet:
    """The active policies.

    When a policy program fails, its last successful decision for the workload is used.
    """

    metrics: NodeMetrics
    _active: dict[str, _ActivePolicy] = field(default_factory=dict)
    _last_good: dict[tuple[str, str], PolicyDecision] = field(default_factory=dict)

    def update(self, configuration: Configuration) -> None:
        """Apply the policies of a new configuration.

        Unchanged policies keep their compiled program. A policy that does not compile
        keeps its previous version, if there is one.
        """
        active = {}
        for name, spec in configuration.policies.items():
            current = self._active.get(name)
            if current is not None and current.spec == spec:
                active[name] = current
                continue
            try:
                active[name] = _ActivePolicy(spec, PolicyProgram(name, spec.program))
            except PolicyError as error:
                self._report_failure(name, error)
                if current is not None:
                    active[name] = current
        self._active = active

    def decide(self, call: Call, counts: RouterCounts) -> PolicyDecision:
        """Return the decision of the first policy that applies to the call's workload.

        A policy without a list of workloads applies to all of them. The default decision is
        returned when no policy applies, or the policy fails and has no earlier decision.
        """
        workload = call.workload.name
        for name, active in self._active.items():
            if active.spec.workloads and workload not in active.spec.workloads:
                continue
            try:
                decision = active.program.decide(_policy_facts(call, counts))
            except PolicyError as error:
                self._report_failure(name, error)
                return self._last_good.get((name, workload), DEFAULT_DECISION)
            self._last_good[(name, workload)] = decision
            return decision
        return DEFAULT_DECISION

    def _report_failure(self, name: str, error: PolicyError) -> None:
        self.metrics.policy_failures.labels(name).inc()
        log_event(LogEvent.POLICY_FAILED, policy=name, reason=str(error))


def apply_policy(policies: PolicySet, call: Call, counts: RouterCounts) -> None:
    """Evaluate the policies for a call and store the decision in it.

    :raises WheelslipError: ``policy_refused``, when the decision is to refuse the request.
    """
    decision = policies.decide(call, counts)
    if decision.action is PolicyAction.REFUSE:
        message = f"policy currently refuses workload {call.workload.name!r}"
        raise WheelslipError(ErrorKind.POLICY_REFUSED, message, decision.retry_after_seconds)
    call.policy = decision


def charged_tokens(request: CompletionRequest) -> int:
    """Return the tokens charged to the tenant's limit: the prompt plus ``max_tokens``."""
    return count_tokens(request.prompt_text) + request.max_tokens


def _policy_facts(call: Call, counts: RouterCounts) -> PolicyFacts:
    """Return the values that a policy program can read."""
    spec = call.workload.spec
    return PolicyFacts(
        request={
            "workload": call.workload.name,
            "class": spec.service_class.value,
            "prompt_tokens": count_tokens(call.request.prompt_text),
            "output_tokens": call.request.max_tokens,
            "repeatable": spec.repeatable,
            "deadline_seconds": call.deadline - time.monotonic(),
        },
        tenant={"name": call.tenant.name, "weight": call.tenant.spec.weight},
        system={
            "waiting_requests": counts.waiting,
            "running_requests": counts.running,
            "engines": counts.engines,
        },
    )
