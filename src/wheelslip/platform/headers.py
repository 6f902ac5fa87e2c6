"""Headers of requests and responses (PROTOCOL, "Requests", "Answers" and "KV cache")."""

import re
from collections.abc import Iterable

from wheelslip.deployment import (
    CachePlan,
    Dispatch,
    ForwardedRequest,
    Headers,
    PromptPart,
    RequestMetadata,
    ResponseMetadata,
)

REQUEST_ID = b"Wheelslip-Request-Id"
DEADLINE = b"Wheelslip-Deadline-Ms"
TENANT = b"Wheelslip-Tenant-Id"
EXPECT_INSTANCE = b"Wheelslip-Expect-Instance"
EXPECT_VERSION = b"Wheelslip-Expect-Version"
PRIORITY = b"Wheelslip-Request-Priority"
CACHE_SALT = b"Wheelslip-Cache-Salt"
KV_FETCH = b"Wheelslip-Kv-Fetch"
KV_SAVE = b"Wheelslip-Kv-Save"
LAST_EVENT_ID = b"Last-Event-Id"
RESUMES = b"Resumes"
AUTHORIZATION = b"Authorization"
AUTHORIZATION_SCHEME = "token "

_MODEL = b"wheelslip-model-id"
_TOKENS = b"wheelslip-token-usage"
_PREFIX = b"wheelslip-prefix-hash"
_SIGNATURE = b"wheelslip-response-signature"
_NOT_EXECUTED = b"wheelslip-not-executed"
_INSTANCE = b"wheelslip-instance-id"
_VERSIONS = b"wheelslip-weight-versions"
_LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"
_RATE_LIMIT = b"server-limit"
_BRITTLE = b"server-brittle"

_SECONDS_PATTERN = re.compile(r"\d+(\.\d+)?", re.ASCII)
"""Decimal number of seconds in ``Retry-After``. Dates and other formats are ignored."""

_RATE_PATTERN = re.compile(r"\d+(\.\d+)?|\.\d+", re.ASCII)
"""Rate in requests per second, without sign, exponent or unit."""

MAX_LOGGED_CHARACTERS = 40
"""Length to which an invalid header value is truncated for the log."""

_SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE,
        TENANT,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        PRIORITY,
        CACHE_SALT,
        KV_FETCH,
        KV_SAVE,
        LAST_EVENT_ID,
        AUTHORIZATION,
        b"Wheelslip-Kv-Hold",
        b"Wheelslip-Kv-Backup",
        b"Wheelslip-Pin-Ms",
        b"Kv-From",
    )
)
"""Headers that only the system sets; they are removed from callers' requests."""

_HOP_BY_HOP_HEADERS = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade".split()
    + [b"content-length", b"expect"]
)


class PlatformHeaders:
    """Decoder and encoder of the headers of requests and responses."""

    def decode_request(self, headers: Headers) -> RequestMetadata:
        """Decode the headers of a caller's request.

        :raises ValueError: if a header is invalid; the message names the header.
        """
        values = {name.lower(): value.decode("latin-1") for name, value in headers}
        prompt_tokens, output_tokens = _decode_token_usage(values.get(_TOKENS, ""))
        deadline = values.get(DEADLINE.lower())
        authorization = values.get(AUTHORIZATION.lower(), "")
        has_key = authorization.lower().startswith(AUTHORIZATION_SCHEME)
        return RequestMetadata(
            request_id=values.get(REQUEST_ID.lower(), ""),
            deadline_seconds=_decode_integer(DEADLINE, deadline) / 1000 if deadline else None,
            api_key=authorization[len(AUTHORIZATION_SCHEME) :].strip() if has_key else None,
            model=values.get(_MODEL, ""),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            prompt=_decode_prompt(values.get(_PREFIX, "")),
            last_event_id=_decode_event_id(values.get(LAST_EVENT_ID.lower())),
            resumed_id=values.get(RESUMES.lower(), "").strip(),
        )

    def worker_headers(self, request: ForwardedRequest, dispatch: Dispatch) -> Headers:
        """Return the headers of a request to a worker, without those that frame its body."""
        removed = _SYSTEM_HEADERS | _HOP_BY_HOP_HEADERS | _connection_names(request.headers)
        headers = [header for header in request.headers if header[0].lower() not in removed]
        headers.append((DEADLINE, b"%d" % max(1, int(dispatch.remaining_seconds * 1000))))
        headers.append((EXPECT_INSTANCE, dispatch.worker.worker_id.encode()))
        cache = dispatch.cache or CachePlan("")
        optional = (
            (TENANT, dispatch.tenant),
            (PRIORITY, dispatch.priority),
            (EXPECT_VERSION, dispatch.weights_version),
            (LAST_EVENT_ID, dispatch.last_event_id),
            (CACHE_SALT, cache.salt or None),
            (KV_FETCH, cache.fetch_from or None),
            (KV_SAVE, cache.save_to or None),
        )
        headers += [(name, str(value).encode()) for name, value in optional if value is not None]
        return headers

    def decode_response(self, headers: Iterable[tuple[bytes, bytes]]) -> ResponseMetadata:
        """Decode the headers of a worker's response."""
        values = {name.lower(): value.decode("latin-1") for name, value in headers}
        version = values.get(_VERSIONS, "")
        limit = values.get(_RATE_LIMIT)
        rate = _decode_rate(limit)
        return ResponseMetadata(
            request_id=values.get(REQUEST_ID.lower()),
            signed=_SIGNATURE in values,
            not_executed=_NOT_EXECUTED in values,
            instance=values.get(_INSTANCE),
            weights_version=int(version) if version.isdigit() else None,
            keep_alive_seconds=_decode_keep_alive(values.get(b"keep-alive", "")),
            closes_connection="close" in values.get(b"connection", "").lower(),
            leaving=values.get(_LEAVING, "").strip() == "1",
            retry_seconds=_decode_seconds(values.get(_RETRY_AFTER, "")),
            rate_limit=rate,
            max_rejections=_decode_event_id(values.get(_BRITTLE)),
            unreadable_limit=limit[:MAX_LOGGED_CHARACTERS] if limit and rate is None else "",
        )

    def own_response_headers(self, request_id: str | None) -> Headers:
        """Return the headers of a response that the node generates itself."""
        return [(REQUEST_ID, request_id.encode("latin-1"))] if request_id else []


def _connection_names(headers: Headers) -> frozenset[bytes]:
    connection_values = [value for name, value in headers if name.lower() == b"connection"]
    return frozenset(
        token.strip().lower() for header in connection_values for token in header.split(b",")
    )


def _decode_integer(name: bytes, text: str) -> int:
    if not text.isdigit():
        raise ValueError(f"{name.decode()}: {text!r} is not a whole number")
    return int(text)


def _decode_event_id(text: str | None) -> int | None:
    return int(text) if text is not None and text.isdigit() else None


def _decode_token_usage(text: str) -> tuple[int, int]:
    first, _, second = text.partition(",")
    if not first.strip().isdigit() or not second.strip().isdigit():
        return 0, 0
    return int(first), int(second)


def _decode_prompt(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for part in text.split(","):
        part_id, _, tokens = part.strip().partition(":")
        if part_id and tokens.isdigit():
            parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


def _decode_seconds(text: str) -> float | None:
    """Return a number of seconds, ``None`` if it is invalid and infinity if it exceeds a float."""
    text = text.strip()
    return float(text) if _SECONDS_PATTERN.fullmatch(text) else None


def _decode_rate(text: str | None) -> float | None:
    """Return a rate, ``None`` if it is absent or invalid and infinity if it exceeds a float."""
    text = (text or "").strip()
    return float(text) if _RATE_PATTERN.fullmatch(text) else None


def _decode_keep_alive(text: str) -> float | None:
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return float(text) if text.strip().isdigit() else None
