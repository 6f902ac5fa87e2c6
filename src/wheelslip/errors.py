"""Error kinds and the responses that they produce.

Every error response is built from :data:`ERROR_TABLE`; no other module sets an error status, a
run state or a retry hint. ``scripts/generate_error_page.py`` generates ``docs/ERRORS.md`` from
the table.
"""

import enum
from dataclasses import dataclass


class RunState(enum.StrEnum):
    """Whether an engine executed the request, as far as this is certain."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class ErrorKind(enum.StrEnum):
    """Every kind of error in wheelslip's responses."""

    INVALID_REQUEST = "invalid_request"
    IDEMPOTENCY_KEY_REQUIRED = "idempotency_key_required"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    AUTHENTICATION_FAILED = "authentication_failed"
    MODEL_NOT_FOUND = "model_not_found"
    PATH_NOT_FOUND = "path_not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    BODY_INCOMPLETE = "body_incomplete"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    TENANT_LIMIT_EXCEEDED = "tenant_limit_exceeded"
    QUEUE_FULL = "queue_full"
    MEMORY_FULL = "memory_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    POLICY_REFUSED = "policy_refused"
    NOT_READY = "not_ready"
    NODE_STOPPING = "node_stopping"
    NO_ENGINE = "no_engine"
    REQUEST_CRASHES_ENGINES = "request_crashes_engines"
    REQUEST_SUSPECTED = "request_suspected"
    STREAM_VERSION_GONE = "stream_version_gone"
    STREAM_VERSION_UNKNOWN = "stream_version_unknown"
    ATTEMPTS_EXHAUSTED = "attempts_exhausted"
    CLAIM_STORE_UNAVAILABLE = "claim_store_unavailable"
    CLAIM_UNRESOLVED = "claim_unresolved"
    CLAIM_LOST = "claim_lost"
    ANSWER_NOT_KEPT = "answer_not_kept"
    ENGINE_LOST = "engine_lost"
    DEADLINE_PASSED = "deadline_passed"
    CONFIGURATION_INVALID = "configuration_invalid"
    CONFIGURATION_CONFLICT = "configuration_conflict"
    CONFIGURATION_STORE_UNAVAILABLE = "configuration_store_unavailable"
    CONFIGURATION_OUTCOME_UNKNOWN = "configuration_outcome_unknown"
    INTERNAL_ERROR = "internal_error"


@dataclass(frozen=True)
class ErrorDefinition:
    """Response to one error kind.

    :ivar status: HTTP status code.
    :ivar run_state: whether the request was executed.
    :ivar retry: whether a retry of the same request may succeed.
    :ivar retry_after_seconds: default ``Retry-After``; ``None`` sends no header.
    :ivar meaning: description for the error page.
    """

    status: int
    run_state: RunState
    retry: bool
    retry_after_seconds: int | None
    meaning: str


_NOT_RUN = RunState.NOT_RUN
_MAY_HAVE_RUN = RunState.MAY_HAVE_RUN

ERROR_TABLE: dict[ErrorKind, ErrorDefinition] = {
    ErrorKind.INVALID_REQUEST: ErrorDefinition(
        400, _NOT_RUN, False, None, "The request is malformed; the message names the field."
    ),
    ErrorKind.IDEMPOTENCY_KEY_REQUIRED: ErrorDefinition(
        400, _NOT_RUN, False, None, "The workload may not be repeated and needs Idempotency-Key."
    ),
    ErrorKind.IDEMPOTENCY_KEY_REUSED: ErrorDefinition(
        422, _NOT_RUN, False, None, "The Idempotency-Key was used before with another body."
    ),
    ErrorKind.AUTHENTICATION_FAILED: ErrorDefinition(
        401, _NOT_RUN, False, None, "The bearer key is missing or belongs to no tenant."
    ),
    ErrorKind.MODEL_NOT_FOUND: ErrorDefinition(
        404, _NOT_RUN, False, None, "No workload or model of that name is declared for the tenant."
    ),
    ErrorKind.PATH_NOT_FOUND: ErrorDefinition(404, _NOT_RUN, False, None, "No such path."),
    ErrorKind.METHOD_NOT_ALLOWED: ErrorDefinition(
        405, _NOT_RUN, False, None, "The path does not take this method."
    ),
    ErrorKind.BODY_INCOMPLETE: ErrorDefinition(
        408, _NOT_RUN, True, None, "The body ended before its announced length."
    ),
    ErrorKind.BODY_TOO_LARGE: ErrorDefinition(
        413, _NOT_RUN, False, None, "The body is larger than limits.max_body_bytes."
    ),
    ErrorKind.HEADERS_TOO_LARGE: ErrorDefinition(
        431, _NOT_RUN, False, None, "The headers are larger than limits.max_header_bytes."
    ),
    ErrorKind.TENANT_LIMIT_EXCEEDED: ErrorDefinition(
        429, _NOT_RUN, True, 1, "The tenant is over a declared limit."
    ),
    ErrorKind.QUEUE_FULL: ErrorDefinition(429, _NOT_RUN, True, 1, "The waiting queue is full."),
    ErrorKind.MEMORY_FULL: ErrorDefinition(
        503, _NOT_RUN, True, 1, "The node has no memory for the request body."
    ),
    ErrorKind.DEADLINE_UNREACHABLE: ErrorDefinition(
        429, _NOT_RUN, True, 1, "No engine can give the first token before the deadline."
    ),
    ErrorKind.POLICY_REFUSED: ErrorDefinition(
        429, _NOT_RUN, True, 5, "The operator's policy refuses the request for now."
    ),
    ErrorKind.NOT_READY: ErrorDefinition(
        503, _NOT_RUN, True, 1, "The node holds no configuration yet."
    ),
    ErrorKind.NODE_STOPPING: ErrorDefinition(
        503, _NOT_RUN, True, 1, "The node is stopping; another node serves."
    ),
    ErrorKind.NO_ENGINE: ErrorDefinition(
        503, _NOT_RUN, True, 2, "No live engine serves the model."
    ),
    ErrorKind.REQUEST_CRASHES_ENGINES: ErrorDefinition(
        503,
        _NOT_RUN,
        False,
        60,
        "Engines ended while they ran the same content for the same tenant. A repeat before "
        "Retry-After is refused too.",
    ),
    ErrorKind.REQUEST_SUSPECTED: ErrorDefinition(
        503,
        _NOT_RUN,
        True,
        1,
        "Engines ended while they ran the same content; such requests run one at a time.",
    ),
    ErrorKind.STREAM_VERSION_GONE: ErrorDefinition(
        503,
        _NOT_RUN,
        False,
        10,
        "No worker of the software version that began the stream is in use; only a new stream can "
        "be served.",
    ),
    ErrorKind.STREAM_VERSION_UNKNOWN: ErrorDefinition(
        503,
        _NOT_RUN,
        True,
        1,
        "Workers of several software versions serve, and no node that replied knows which one "
        "began the stream.",
    ),
    ErrorKind.ATTEMPTS_EXHAUSTED: ErrorDefinition(
        503, _NOT_RUN, True, 2, "Every attempt was proven not run and the retry budget is spent."
    ),
    ErrorKind.CLAIM_STORE_UNAVAILABLE: ErrorDefinition(
        503, _NOT_RUN, True, 5, "The key-value service did not take the claim; nothing was sent."
    ),
    ErrorKind.CLAIM_UNRESOLVED: ErrorDefinition(
        503,
        _MAY_HAVE_RUN,
        True,
        2,
        "An earlier attempt holds the claim and cannot be asked just now.",
    ),
    ErrorKind.CLAIM_LOST: ErrorDefinition(
        502, _MAY_HAVE_RUN, False, None, "The engine that held the only permitted attempt is dead."
    ),
    ErrorKind.ANSWER_NOT_KEPT: ErrorDefinition(
        410, RunState.RAN, False, None, "The request ran; its answer is no longer kept."
    ),
    ErrorKind.ENGINE_LOST: ErrorDefinition(
        502, _MAY_HAVE_RUN, True, 1, "The engine was lost after the request was sent."
    ),
    ErrorKind.DEADLINE_PASSED: ErrorDefinition(
        504,
        _MAY_HAVE_RUN,
        True,
        None,
        "The deadline passed after the request was sent to an engine.",
    ),
    ErrorKind.CONFIGURATION_INVALID: ErrorDefinition(
        400, _NOT_RUN, False, None, "A declaration failed its checks; nothing was applied."
    ),
    ErrorKind.CONFIGURATION_CONFLICT: ErrorDefinition(
        409, _NOT_RUN, False, None, "Another change was accepted first; the message names both."
    ),
    ErrorKind.CONFIGURATION_STORE_UNAVAILABLE: ErrorDefinition(
        503, _NOT_RUN, True, 5, "The key-value service was not reached; nothing was applied."
    ),
    ErrorKind.CONFIGURATION_OUTCOME_UNKNOWN: ErrorDefinition(
        504, _MAY_HAVE_RUN, True, 5, "The change was sent and its outcome could not be read back."
    ),
    ErrorKind.INTERNAL_ERROR: ErrorDefinition(
        500, _MAY_HAVE_RUN, False, None, "A fault in wheelslip itself; the log has the request id."
    ),
}


class WheelslipError(Exception):
    """An error that ends a request.

    :param kind: key of the response in :data:`ERROR_TABLE`.
    :param message: description for the caller, with the field and place where there is one.
    :param retry_after_seconds: replaces the table's ``Retry-After``; ``None`` to keep it.
    """

    def __init__(self, kind: ErrorKind, message: str, retry_after_seconds: float | None = None):
        super().__init__(message)
        self.kind = kind
        self.message = message
        self.definition = ERROR_TABLE[kind]
        self.retry_after_seconds = retry_after_seconds
        if retry_after_seconds is None:
            self.retry_after_seconds = self.definition.retry_after_seconds

    def body(self, request_id: str | None = None) -> dict:
        """Return the JSON body of the response, in the format that OpenAI clients parse."""
        return {
            "error": {
                "message": self.message,
                "type": self.kind.value,
                "code": self.kind.value,
                "run_state": self.definition.run_state.value,
                "retry": self.definition.retry,
                "retry_after_seconds": self.retry_after_seconds,
                "request_id": request_id,
            }
        }
