"""HTTP server on cheroot with typed requests and responses, and errors from the error table.

The caller API, the operator API and the stand-ins are handlers of this server.
"""

import contextlib
import json
import socket
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from urllib.parse import parse_qs

from cheroot import wsgi
from cheroot.server import HTTPConnection, HTTPRequest

from wheelslip.errors import ErrorKind, WheelslipError
from wheelslip.settings import Address

JSON_TYPE = "application/json"
EVENT_STREAM_TYPE = "text/event-stream"
SEND_BUFFER_BYTES = 32 * 1024
"""``SO_SNDBUF`` of a connection; Linux doubles the value."""

_REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 429: "Too Many Requests"}
_CHEROOT_ERROR_KINDS = {
    "405": ErrorKind.METHOD_NOT_ALLOWED,
    "408": ErrorKind.BODY_INCOMPLETE,
    "413": ErrorKind.HEADERS_TOO_LARGE,
    "414": ErrorKind.HEADERS_TOO_LARGE,
    "431": ErrorKind.HEADERS_TOO_LARGE,
    "500": ErrorKind.INTERNAL_ERROR,
    "503": ErrorKind.QUEUE_FULL,
}


@dataclass(frozen=True)
class ServiceRequest:
    """An HTTP request.

    :ivar query: last value of each parameter.
    :ivar headers: values by name in lower case.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json_object(self) -> dict:
        """Return the body as a JSON object.

        :raises WheelslipError: ``invalid_request`` if it is not a JSON object.
        """
        try:
            document = json.loads(self.body)
        except (ValueError, RecursionError) as error:
            raise WheelslipError(
                ErrorKind.INVALID_REQUEST, f"body: is not JSON: {error}"
            ) from error
        if not isinstance(document, dict):
            raise WheelslipError(ErrorKind.INVALID_REQUEST, "body: is not a JSON object")
        return document


@dataclass
class ServiceResponse:
    """An HTTP response.

    :ivar body: an iterator is sent as it yields.
    """

    status: int = 200
    body: bytes | Iterator[bytes] = b""
    headers: dict[str, str] = field(default_factory=dict)
    content_type: str = JSON_TYPE


Handler = Callable[[ServiceRequest], ServiceResponse]


def json_response(document: object, status: int = 200, **headers: str) -> ServiceResponse:
    """Return ``document`` as a JSON response."""
    return ServiceResponse(status, json.dumps(document).encode(), dict(headers))


def error_response(error: WheelslipError, request_id: str | None = None) -> ServiceResponse:
    """Return the response to ``error`` according to the error table."""
    response = json_response(error.body(request_id), error.definition.status)
    if error.retry_after_seconds is not None:
        # Retry-After is in whole seconds; round up so that callers do not retry too early.
        response.headers["Retry-After"] = str(max(1, -int(-error.retry_after_seconds // 1)))
    if request_id is not None:
        response.headers["X-Request-Id"] = request_id
    return response


class _TableErrorRequest(HTTPRequest):
    """Request whose errors raised by cheroot are answered according to the error table."""

    def simple_response(self, status, msg=""):
        code = str(status)[:3]
        if code < "400":
            super().simple_response(status, msg)
            return
        kind = _CHEROOT_ERROR_KINDS.get(code, ErrorKind.INVALID_REQUEST)
        error = WheelslipError(kind, str(msg) or str(status))
        response = error_response(error)
        lines = [f"{self.server.protocol} {response.status} {kind.value}"]
        lines += [f"{name}: {value}" for name, value in response.headers.items()]
        lines += [f"Content-Type: {JSON_TYPE}", f"Content-Length: {len(response.body)}"]
        lines += ["Connection: close", "", ""]
        self.close_connection = True
        with contextlib.suppress(OSError):
            self.conn.wfile.write("\r\n".join(lines).encode() + response.body)


class _TableErrorConnection(HTTPConnection):
    RequestHandlerClass = _TableErrorRequest


@dataclass(frozen=True)
class ServiceLimits:
    """Limits of one service: sizes in bytes, times in seconds."""

    threads: int = 16
    max_body_bytes: int = 16 * 1024 * 1024
    max_header_bytes: int = 64 * 1024
    timeout_seconds: float = 10.0


class HttpService:
    """HTTP server that serves one handler on one address."""

    def __init__(self, name: str, address: str, handler: Handler, limits: ServiceLimits):
        bind_address = Address.parse(address)
        self._handler = handler
        self._limits = limits
        self._server = wsgi.Server(
            (bind_address.host, bind_address.port),
            self._application,
            numthreads=limits.threads,
            max=limits.threads,
            server_name=name,
            timeout=limits.timeout_seconds,
            request_queue_size=512,
            shutdown_timeout=1,
        )
        self._server.ConnectionClass = _TableErrorConnection
        self._server.max_request_header_size = limits.max_header_bytes
        self._thread = threading.Thread(target=self._server.serve, name=name, daemon=True)

    def start(self) -> None:
        """Bind the address and start serving.

        :raises OSError: if the address cannot be bound.
        """
        self._server.prepare()
        # Inherited by accepted connections. When a caller stops reading, its stream blocks after
        # this many bytes and ends at the timeout instead of filling memory.
        self._server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self._thread.start()

    def stop(self) -> None:
        """Stop serving and close open connections."""
        self._server.stop()
        self._thread.join()

    def _application(self, environ: dict, start_response: Callable) -> Iterator[bytes]:
        try:
            response = self._handler(self._read_request(environ))
        except WheelslipError as error:
            response = error_response(error)
        headers = dict(response.headers)
        headers["Content-Type"] = response.content_type
        if isinstance(response.body, bytes):
            headers["Content-Length"] = str(len(response.body))
        reason = _REASONS.get(response.status, "Status")
        start_response(f"{response.status} {reason}", list(headers.items()))
        return [response.body] if isinstance(response.body, bytes) else response.body

    def _read_request(self, environ: dict) -> ServiceRequest:
        headers = {
            name[5:].replace("_", "-").lower(): value
            for name, value in environ.items()
            if name.startswith("HTTP_")
        }
        query = parse_qs(environ.get("QUERY_STRING", ""))
        return ServiceRequest(
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"],
            query={name: values[-1] for name, values in query.items()},
            headers=headers,
            body=self._read_body(environ),
        )

    def _read_body(self, environ: dict) -> bytes:
        limit = self._limits.max_body_bytes
        content_length = environ.get("CONTENT_LENGTH")
        if content_length and int(content_length) > limit:
            raise WheelslipError(
                ErrorKind.BODY_TOO_LARGE, f"body: {content_length} bytes, the limit is {limit}"
            )
        try:
            body = environ["wsgi.input"].read(int(content_length) if content_length else limit + 1)
        except (OSError, ValueError) as error:
            raise WheelslipError(
                ErrorKind.BODY_INCOMPLETE, "body: could not be read completely"
            ) from error
        if content_length and len(body) < int(content_length):
            raise WheelslipError(
                ErrorKind.BODY_INCOMPLETE, f"body: {len(body)} of {content_length} bytes received"
            )
        if len(body) > limit:
            raise WheelslipError(ErrorKind.BODY_TOO_LARGE, f"body: over the limit of {limit}")
        return body
