"""Admission of forwarded requests: headers, route, API key and deadline.

Permanent errors (401, 404) are returned only if the registry view is recent; with a stale view the
caller receives a retryable error instead.
"""

from collections.abc import Callable

import xxhash

from wheelslip.deployment import ForwardedRequest, Route, RoutingConfiguration, Tenant
from wheelslip.errors import ErrorKind, WheelslipError
from wheelslip.forwarding.caller_connection import ReceivedRequest
from wheelslip.forwarding_settings import BoundsSection
from wheelslip.job import Job
from wheelslip.registry.interface import RequestDialect
from wheelslip.registry.registry import Registry

MAX_VIEW_AGE_SECONDS = 2.0
"""Maximum age of the view by which unknown routes and keys are rejected permanently."""

KEY_VIEW_AGE_SHARE = 0.7
"""Maximum age of the view by which API keys are accepted, as a share of the revocation bound."""


class Admission:
    """Validates received requests and creates their jobs."""

    def __init__(
        self,
        dialect: RequestDialect,
        registry: Registry,
        bounds: Callable[[], BoundsSection],
    ):
        self._dialect = dialect
        self._registry = registry
        self._bounds = bounds

    def admit(self, received: ReceivedRequest) -> Job:
        """Validate a request and return its job.

        :raises WheelslipError: if the request is rejected.
        """
        return self._admit(self._decode(received))

    def confirm(self, job: Job) -> None:
        """Check the API key of a request again after it has waited.

        :raises WheelslipError: if the key has been revoked, or if it cannot be verified.
        """
        if job.tenant is None:
            return
        tenant = self._tenant(self._registry.configuration, job.route, job.request)
        if tenant is not None and tenant.name != job.tenant.name:
            self._reject_unknown(ErrorKind.AUTHENTICATION_FAILED, "the API key has been revoked")

    def _decode(self, received: ReceivedRequest) -> ForwardedRequest:
        try:
            metadata = self._dialect.decode_request(received.headers)
        except ValueError as error:
            raise WheelslipError(ErrorKind.INVALID_REQUEST, str(error)) from error
        host = next((value for name, value in received.headers if name.lower() == b"host"), b"")
        return ForwardedRequest(
            received.method,
            received.target,
            host.decode("latin-1").lower(),
            received.headers,
            received.body,
            metadata,
            received.arrived,
        )

    def _admit(self, request: ForwardedRequest) -> Job:
        configuration = self._registry.configuration
        if configuration is None:
            raise WheelslipError(ErrorKind.NOT_READY, "no configuration is loaded yet")
        route = configuration.match(request.host, request.path)
        if route is None:
            self._reject_unknown(ErrorKind.PATH_NOT_FOUND, "no route for this host and path")
        tenant = self._tenant(configuration, route, request)
        deadline = request.arrived + route.timeout_seconds
        if request.metadata.deadline_seconds is not None:
            deadline = min(deadline, request.arrived + request.metadata.deadline_seconds)
        return Job(
            request,
            route,
            tenant,
            _cache_namespace(configuration, tenant),
            deadline,
            last_delivered_id=request.metadata.last_event_id,
        )

    def _tenant(
        self, configuration: RoutingConfiguration, route: Route, request: ForwardedRequest
    ) -> Tenant | None:
        if route.public or not configuration.keys_required:
            return None
        max_age = KEY_VIEW_AGE_SHARE * self._bounds().key_revocation_ms / 1000
        if self._registry.age() > max_age:
            raise WheelslipError(ErrorKind.NOT_READY, "API keys cannot be verified at present")
        tenant = configuration.tenants_by_key.get(request.metadata.api_key or "")
        if tenant is None:
            self._reject_unknown(ErrorKind.AUTHENTICATION_FAILED, "unknown API key")
        return tenant

    def _reject_unknown(self, kind: ErrorKind, message: str) -> None:
        """Reject an unknown route or key, permanently only if the view is recent.

        :raises WheelslipError: always.
        """
        if self._registry.age() > MAX_VIEW_AGE_SECONDS:
            raise WheelslipError(ErrorKind.NOT_READY, "the configuration may be stale")
        raise WheelslipError(kind, message)


def _cache_namespace(configuration: RoutingConfiguration, tenant: Tenant | None) -> str:
    """Return the namespace of cached prompts that separates isolated tenants from all others.

    The shared namespace depends on the names of all isolated tenants, so that prompts cached before
    a tenant became isolated are not reused afterwards. Names are hashed, as they may contain
    characters that are not allowed in headers.
    """
    if tenant is not None and tenant.isolated:
        return "t" + xxhash.xxh3_64_hexdigest(tenant.name.encode())
    return "s" + xxhash.xxh3_64_hexdigest("\0".join(configuration.isolated_tenants).encode())
