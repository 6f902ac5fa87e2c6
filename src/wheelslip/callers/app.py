"""HTTP application of the caller API: routing, completions, health and metrics."""

import time
import uuid
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from wheelslip.callers.admission import (
    PolicySet,
    TenantLimiter,
    apply_policy,
    authenticate,
    charged_tokens,
    find_workload,
)
from wheelslip.callers.answer import CompletionChunk, CompletionWriter
from wheelslip.callers.call import CHAT_PATH, COMPLETION_PATH, Call, RelayServices
from wheelslip.callers.claimed_relay import ClaimedRelay
from wheelslip.callers.relay import RepeatableRelay
from wheelslip.callers.schema import parse_completion
from wheelslip.errors import ErrorKind, WheelslipError
from wheelslip.events import LogEvent, log_event
from wheelslip.http_service import (
    EVENT_STREAM_TYPE,
    ServiceRequest,
    ServiceResponse,
    error_response,
    json_response,
)
from wheelslip.metrics import NodeMetrics
from wheelslip.operators.configuration import Configuration
from wheelslip.stopping import StopState

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@dataclass
class CallerServices:
    """Services of the node that the caller API uses.

    :ivar configuration: returns the configuration in force, or ``None`` before the first.
    :ivar refresh_metrics: updates the gauges before the metrics are exported.
    """

    relay: RelayServices
    configuration: Callable[[], Configuration | None]
    limiter: TenantLimiter
    policies: PolicySet
    metrics: NodeMetrics
    stop_state: StopState
    refresh_metrics: Callable[[], None]


class CallerApp:
    """Handles requests to the caller API."""

    def __init__(self, services: CallerServices):
        self._services = services
        self._routes = {
            ("POST", CHAT_PATH): self._chat,
            ("POST", COMPLETION_PATH): self._completion,
            ("GET", "/v1/models"): self._models,
            ("GET", "/healthz"): self._health,
            ("GET", "/readyz"): self._ready,
            ("GET", "/metrics"): self._metrics,
        }

    def handle(self, request: ServiceRequest) -> ServiceResponse:
        """Return the response to one request; errors become error responses."""
        request_id = uuid.uuid4().hex
        try:
            handler = self._routes.get((request.method, request.path))
            if handler is None:
                raise _route_error(request, {path for _, path in self._routes})
            return handler(request, request_id)
        except WheelslipError as error:
            return error_response(error, request_id)
        except Exception as error:  # report internal faults as errors, not dropped connections
            log_event(LogEvent.REQUEST_FAULT, request=request_id, reason=repr(error))
            fault = WheelslipError(ErrorKind.INTERNAL_ERROR, "internal error")
            return error_response(fault, request_id)

    def _chat(self, request: ServiceRequest, request_id: str) -> ServiceResponse:
        return self._handle_completion(request, request_id, chat=True)

    def _completion(self, request: ServiceRequest, request_id: str) -> ServiceResponse:
        return self._handle_completion(request, request_id, chat=False)

    def _handle_completion(
        self, request: ServiceRequest, request_id: str, chat: bool
    ) -> ServiceResponse:
        arrived = time.monotonic()
        services = self._services
        if services.stop_state.refuses_new:
            raise WheelslipError(ErrorKind.NODE_STOPPING, "this node is stopping")
        configuration = self._configuration()
        tenant = authenticate(configuration, request.headers.get("authorization"))
        completion = parse_completion(request, chat)
        workload = find_workload(configuration, completion)
        call = Call(request_id, completion, tenant, workload, arrived)
        try:
            apply_policy(services.policies, call, services.relay.router.counts)
            services.limiter.admit(tenant, charged_tokens(completion), arrived)
        except WheelslipError as error:
            self._record_outcome(call, error.kind.value)
            raise
        return self._respond(call)

    def _respond(self, call: Call) -> ServiceResponse:
        writer = CompletionWriter(call.request, call.request_id, int(time.time()))
        chunks = self._with_metrics(call, self._chunks(call, writer))
        headers = {"X-Request-Id": call.request_id}
        if not call.request.stream:
            return json_response(writer.completion(chunks), 200, **headers)
        # An error before the first chunk can still be reported with an HTTP status.
        first = next(chunks)
        body = writer.event_stream(_prepend(first, chunks))
        return ServiceResponse(200, body, headers, EVENT_STREAM_TYPE)

    def _chunks(self, call: Call, writer: CompletionWriter) -> Iterator[CompletionChunk]:
        if call.request.idempotency_key is not None and not call.workload.spec.repeatable:
            return ClaimedRelay(self._services.relay, call, writer).chunks()
        return RepeatableRelay(self._services.relay, call).chunks()

    def _with_metrics(
        self, call: Call, chunks: Iterator[CompletionChunk]
    ) -> Iterator[CompletionChunk]:
        """Yield ``chunks``, record metrics, and release the tenant's stream at the end."""
        services = self._services
        outcome = "caller_gone"
        first = True
        try:
            with services.stop_state.running_request():
                for chunk in chunks:
                    if first:
                        first = False
                        seconds = time.monotonic() - call.arrived
                        services.metrics.first_token.labels(call.workload.name).observe(seconds)
                    if chunk.usage is not None:
                        self._count_tokens(call, chunk)
                    yield chunk
            outcome = "ok"
        except WheelslipError as error:
            outcome = error.kind.value
            raise
        finally:
            services.limiter.release(call.tenant)
            self._record_outcome(call, outcome)

    def _record_outcome(self, call: Call, outcome: str) -> None:
        labels = (call.tenant.name, call.workload.name, outcome)
        self._services.metrics.requests.labels(*labels).inc()
        event = LogEvent.REQUEST_FINISHED if outcome == "ok" else LogEvent.REQUEST_REFUSED
        log_event(
            event,
            request=call.request_id,
            tenant=call.tenant.name,
            workload=call.workload.name,
            outcome=outcome,
            attempts=call.attempts,
            seconds=round(time.monotonic() - call.arrived, 4),
        )

    def _count_tokens(self, call: Call, chunk: CompletionChunk) -> None:
        counter = self._services.metrics.prompt_tokens
        cached = chunk.usage.cached_tokens
        counter.labels(call.workload.name, "yes").inc(cached)
        counter.labels(call.workload.name, "no").inc(max(0, chunk.usage.prompt_tokens - cached))

    def _models(self, request: ServiceRequest, request_id: str) -> ServiceResponse:
        configuration = self._configuration()
        authenticate(configuration, request.headers.get("authorization"))
        names = sorted({*configuration.workloads, *configuration.models})
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "wheelslip"} for name in names
        ]
        return json_response({"object": "list", "data": data})

    def _health(self, request: ServiceRequest, request_id: str) -> ServiceResponse:
        return json_response({"status": "ok"})

    def _ready(self, request: ServiceRequest, request_id: str) -> ServiceResponse:
        if self._services.stop_state.stopping:
            raise WheelslipError(ErrorKind.NODE_STOPPING, "this node is stopping")
        configuration = self._configuration()
        return json_response({"status": "ready", "revision": configuration.revision})

    def _metrics(self, request: ServiceRequest, request_id: str) -> ServiceResponse:
        self._services.refresh_metrics()
        body = self._services.metrics.exposition()
        return ServiceResponse(200, body, content_type=METRICS_TYPE)

    def _configuration(self) -> Configuration:
        configuration = self._services.configuration()
        if configuration is None:
            raise WheelslipError(ErrorKind.NOT_READY, "no configuration is loaded yet")
        return configuration


def _route_error(request: ServiceRequest, paths: set[str]) -> WheelslipError:
    if request.path in paths:
        message = f"{request.path} does not support {request.method}"
        return WheelslipError(ErrorKind.METHOD_NOT_ALLOWED, message)
    return WheelslipError(ErrorKind.PATH_NOT_FOUND, f"path {request.path} does not exist")


def _prepend(first: CompletionChunk, rest: Iterator[CompletionChunk]) -> Iterator[CompletionChunk]:
    """Yield ``first`` and then ``rest``; closing this generator closes ``rest``."""
    try:
        yield first
        yield from rest
    finally:
        rest.close()
