"""A caller's admitted request, and the node services used to relay it."""

import random
import time
from dataclasses import dataclass, field

from wheelslip.callers.schema import CompletionRequest
from wheelslip.engines.client import EngineClient
from wheelslip.engines.directory import EngineDirectory
from wheelslip.keyvalue.claims import ClaimStore
from wheelslip.operators.configuration import Tenant, Workload
from wheelslip.operators.policy import DEFAULT_DECISION, PolicyAction, PolicyDecision
from wheelslip.routing.caches.prefix import cache_salt, count_tokens, prefix_keys
from wheelslip.routing.model import ENGINE_PRIORITY, RECOMPUTE_WEIGHT, RoutingRequest
from wheelslip.routing.retry import RetryBudget
from wheelslip.routing.task import RouterTask

CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"

WAIT_PRIORITY_OFFSET = 10_000
"""Added to the queue priority of requests for which a policy returns ``wait``."""


@dataclass
class RelayServices:
    """Services shared by the relays of all requests."""

    router: RouterTask
    engine_client: EngineClient
    directory: EngineDirectory
    claims: ClaimStore
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    random_source: random.Random = field(default_factory=random.Random)


@dataclass
class DeliveredOutput:
    """Output already sent to the caller, from which another engine can continue."""

    texts: list[str] = field(default_factory=list)

    @property
    def tokens(self) -> int:
        """Number of delivered tokens; each event with text has exactly one token."""
        return len(self.texts)

    @property
    def text(self) -> str:
        """The delivered text."""
        return "".join(self.texts)


@dataclass
class Call:
    """One admitted request of a caller.

    :ivar arrived: time of arrival, on the monotonic clock.
    :ivar attempts: number of attempts started so far.
    """

    request_id: str
    request: CompletionRequest
    tenant: Tenant
    workload: Workload
    arrived: float
    policy: PolicyDecision = DEFAULT_DECISION
    attempts: int = 0

    @property
    def deadline(self) -> float:
        """Deadline for the first token, on the monotonic clock."""
        seconds = self.request.deadline_seconds or self.workload.spec.deadline_seconds
        return self.arrived + seconds

    @property
    def queue_priority(self) -> int:
        """Priority in the node's queue; requests with ``wait`` are queued behind all others."""
        must_wait = self.policy.action is PolicyAction.WAIT
        return self.policy.priority + (WAIT_PRIORITY_OFFSET if must_wait else 0)

    @property
    def path(self) -> str:
        """URL path of the request at an engine."""
        return CHAT_PATH if self.request.chat else COMPLETION_PATH

    def next_attempt_id(self) -> str:
        """Return a new attempt id, unique across nodes."""
        self.attempts += 1
        return f"{self.request_id}-{self.attempts}"

    def routing_request(self, delivered: DeliveredOutput, excluded: set[str]) -> RoutingRequest:
        """Return the scheduler's description of the request.

        :param excluded: names of engines that must not be selected.
        """
        model = self.workload.spec.model
        service_class = self.workload.spec.service_class
        prompt = self.request.prompt_text + delivered.text
        tenant = self.tenant.name
        recompute_weight = RECOMPUTE_WEIGHT[service_class] * self.policy.recompute_weight
        return RoutingRequest(
            request_id=self.request_id,
            tenant=tenant,
            model=model,
            service_class=service_class,
            keys_for=lambda version: prefix_keys(cache_salt(tenant, model, version), prompt),
            prompt_tokens=max(1, count_tokens(prompt)),
            output_tokens=self.request.max_tokens - delivered.tokens,
            arrived=self.arrived,
            deadline=self.deadline if not delivered.tokens else time.monotonic() + 30.0,
            weight=self.tenant.spec.weight,
            priority=self.queue_priority,
            recompute_weight=recompute_weight,
            excluded=set(excluded),
        )

    def engine_document(self, weights_version: str, delivered: DeliveredOutput) -> dict:
        """Return the request body for an engine, which continues after the delivered output."""
        model = self.workload.spec.model
        document = dict(self.request.document)
        document.pop("max_completion_tokens", None)
        document |= {
            "model": model,
            "stream": True,
            "stream_options": {"include_usage": True},
            "max_tokens": self.request.max_tokens - delivered.tokens,
            # Separates cached state by tenant, model and weights version.
            "cache_salt": cache_salt(self.tenant.name, model, weights_version),
            "priority": ENGINE_PRIORITY[self.workload.spec.service_class] + self.policy.priority,
            "user": self.tenant.name,
        }
        if not delivered.tokens:
            return document
        if self.request.chat:
            partial = {"role": "assistant", "content": delivered.text}
            document["messages"] = [*document["messages"], partial]
            document["add_generation_prompt"] = False
            document["continue_final_message"] = True
        else:
            document["prompt"] += delivered.text
        return document
