"""Admission: who is calling, which workload, within which limits, under which policy."""

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
from wheelslip.routing.limits import TokenBucket
from wheelslip.routing.prefix import count_tokens
from wheelslip.routing.task import RouterCounts


def authenticate(configuration: Configuration, authorization: str | None) -> Tenant:
    """Return the tenant of a bearer key.

    :raises WheelslipError: ``authentication_failed``.
    """
    scheme, _, key = (authorization or "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise WheelslipError(ErrorKind.AUTHENTICATION_FAILED, "Authorization: no bearer key")
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    tenant = configuration.tenant_of(f"sha256:{digest}")
    if tenant is None:
        raise WheelslipError(ErrorKind.AUTHENTICATION_FAILED, "Authorization: unknown key")
    return tenant


def find_workload(configuration: Configuration, request: CompletionRequest) -> Workload:
    """Return the workload that a request names.

    :raises WheelslipError: when there is none, or the request does not fit it.
    """
    workload = configuration.workload_for(request.model)
    if workload is None:
        message = f"model: no workload or model {request.model!r} is declared"
        raise WheelslipError(ErrorKind.MODEL_NOT_FOUND, message)
    if request.max_tokens > workload.spec.max_output_tokens:
        limit = workload.spec.max_output_tokens
        message = f"max_tokens: {request.max_tokens} is over the workload's {limit}"
        raise WheelslipError(ErrorKind.INVALID_REQUEST, message)
    if not workload.spec.repeatable and request.idempotency_key is None:
        message = f"Idempotency-Key: required by workload {workload.name!r}"
        raise WheelslipError(ErrorKind.IDEMPOTENCY_KEY_REQUIRED, message)
    return workload


@dataclass
class _TenantUsage:
    requests: TokenBucket
    tokens: TokenBucket
    streams: int = 0


class TenantLimiter:
    """Holds a tenant's limits at this node; each node has a share of the whole limit.

    :param share: returns this node's share of a tenant's limits, from 0 to 1.
    """

    def __init__(self, share: Callable[[str], float]):
        self._share = share
        self._usage: dict[str, _TenantUsage] = {}
        self._lock = threading.Lock()

    def admit(self, tenant: Tenant, tokens: int, now: float) -> None:
        """Count one request and its tokens, and open a stream.

        :raises WheelslipError: ``tenant_limit_exceeded`` naming the limit.
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
                _refuse_if(usage.requests.acquire(1, now), tenant, "requests_per_second")
            if limits.tokens_per_second is not None:
                _refuse_if(usage.tokens.acquire(tokens, now), tenant, "tokens_per_second")
            usage.streams += 1

    def release(self, tenant: Tenant) -> None:
        """Close a stream."""
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
    limit = limits.tokens_per_second if tokens else limits.requests_per_second
    rate = (limit or 1.0) * share
    return rate, max(1.0, rate * limits.burst_seconds)


def _refuse_if(seconds: float, tenant: Tenant, limit: str) -> None:
    if seconds > 0:
        _refuse(tenant, limit, seconds)


def _refuse(tenant: Tenant, limit: str, retry_after_seconds: float) -> None:
    message = f"tenant {tenant.name!r} is over its limit {limit}"
    raise WheelslipError(ErrorKind.TENANT_LIMIT_EXCEEDED, message, retry_after_seconds)


@dataclass
class _ActivePolicy:
    spec: PolicySpec
    program: PolicyProgram
    failing: bool = False


@dataclass
class PolicySet:
    """The policies in force; each falls back to its last good decision for a workload."""

    metrics: NodeMetrics
    _active: dict[str, _ActivePolicy] = field(default_factory=dict)
    _last_good: dict[tuple[str, str], PolicyDecision] = field(default_factory=dict)

    def update(self, configuration: Configuration) -> None:
        """Take the policies of a new configuration; unchanged programs are kept."""
        active = {}
        for name, spec in configuration.policies.items():
            current = self._active.get(name)
            if current is not None and current.spec == spec:
                active[name] = current
                continue
            try:
                active[name] = _ActivePolicy(spec, PolicyProgram(name, spec.program))
            except PolicyError as error:
                self._report(name, error)
                if current is not None:
                    active[name] = current
        self._active = active

    def decide(self, call: Call, counts: RouterCounts) -> PolicyDecision:
        """Return the decision of the first policy that names the call's workload."""
        workload = call.workload.name
        for name, active in self._active.items():
            if active.spec.workloads and workload not in active.spec.workloads:
                continue
            try:
                decision = active.program.decide(_facts(call, counts))
            except PolicyError as error:
                self._report(name, error)
                return self._last_good.get((name, workload), DEFAULT_DECISION)
            self._last_good[(name, workload)] = decision
            return decision
        return DEFAULT_DECISION

    def _report(self, name: str, error: PolicyError) -> None:
        self.metrics.policy_failures.labels(name).inc()
        log_event(LogEvent.POLICY_FAILED, policy=name, reason=str(error))


def apply_policy(policies: PolicySet, call: Call, counts: RouterCounts) -> None:
    """Let the policies decide on a call.

    :raises WheelslipError: ``policy_refused``.
    """
    decision = policies.decide(call, counts)
    if decision.action is PolicyAction.REFUSE:
        message = f"policy refuses workload {call.workload.name!r} for now"
        raise WheelslipError(ErrorKind.POLICY_REFUSED, message, decision.retry_after_seconds)
    call.policy = decision


def tokens_of(request: CompletionRequest) -> int:
    """Return the tokens that a request counts for against its tenant's limit."""
    return count_tokens(request.prompt_text) + request.max_tokens


def _facts(call: Call, counts: RouterCounts) -> PolicyFacts:
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
