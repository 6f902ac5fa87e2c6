"""Error responses that a node returns itself."""

import msgspec

from wheelslip.deployment import Headers
from wheelslip.errors import WheelslipError

_REASON_PHRASES = {
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def reason_phrase(status: int) -> bytes:
    """Return the reason phrase of a status code."""
    return _REASON_PHRASES.get(status, b"Error")


def error_response(error: WheelslipError, request_id: str | None) -> tuple[int, Headers, bytes]:
    """Return status code, headers and body of the response for an error."""
    body = msgspec.json.encode(error.body(request_id))
    headers = [(b"Content-Type", b"application/json"), (b"Content-Length", b"%d" % len(body))]
    if error.retry_after_seconds is not None:
        headers.append((b"Retry-After", f"{error.retry_after_seconds:g}".encode()))
    return error.definition.status, headers, body
