"""Header names of requests and answers (PROTOCOL, "Requests", "Answers", "KV cache")."""

import re
from collections.abc import Iterable

from wheelslip.deployment import (
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
AUTHORIZATION = b"Authorization"
KEY_SCHEME = "token "

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

_SECONDS = re.compile(r"\d+(\.\d+)?", re.ASCII)
"""Seconds, fractions included. Dates, signs, exponents and the like tell no time to come back."""

_DECIMAL = re.compile(r"\d+(\.\d+)?|\.\d+", re.ASCII)
"""A rate. Signs, exponents, units and words are none."""

SHOWN_CHARACTERS = 40
"""So much of a value that cannot be read goes into the log."""

_OWNED_BY_SYSTEM = frozenset(
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
"""Set by the system or not at all; what a caller sends there goes no further."""

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


class PlatformHeaders:
    """The dialect of requests and answers (PROTOCOL, "Requests", "Answers", "KV cache")."""

    def decode_request(self, headers: Headers) -> RequestMetadata:
        """Read a caller's headers (PROTOCOL, "Requests").

        :raises ValueError: naming the header that cannot be used.
        """
        values = {name.lower(): value.decode("latin-1") for name, value in headers}
        prompt_tokens, output_tokens = _token_usage(values.get(_TOKENS, ""))
        deadline = values.get(DEADLINE.lower())
        last_event = values.get(LAST_EVENT_ID.lower())
        authorization = values.get(AUTHORIZATION.lower(), "")
        has_key = authorization.lower().startswith(KEY_SCHEME)
        return RequestMetadata(
            request_id=values.get(REQUEST_ID.lower(), ""),
            deadline_seconds=_number(DEADLINE, deadline) / 1000 if deadline else None,
            api_key=authorization[len(KEY_SCHEME) :].strip() if has_key else None,
            model=values.get(_MODEL, ""),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            prompt=_prompt(values.get(_PREFIX, "")),
            last_event_id=_event_id(last_event),
        )

    def worker_headers(self, request: ForwardedRequest, dispatch: Dispatch) -> Headers:
        """Return the headers for a worker (PROTOCOL, "Workers")."""
        named = _connection_names(request.headers)
        headers = [
            (name, value)
            for name, value in request.headers
            if name.lower() not in _OWNED_BY_SYSTEM
            and name.lower() not in _HOP_BY_HOP
            and name.lower() not in named
        ]
        headers.append((DEADLINE, b"%d" % max(1, int(dispatch.remaining_seconds * 1000))))
        headers.append((EXPECT_INSTANCE, dispatch.worker.worker_id.encode()))
        optional = (
            (TENANT, dispatch.tenant),
            (PRIORITY, dispatch.priority),
            (EXPECT_VERSION, dispatch.weights_version),
            (LAST_EVENT_ID, dispatch.last_event_id),
        )
        headers += [(name, str(value).encode()) for name, value in optional if value is not None]
        if dispatch.cache is not None:
            headers.append((CACHE_SALT, dispatch.cache.salt.encode()))
            if dispatch.cache.fetch_from:
                headers.append((KV_FETCH, dispatch.cache.fetch_from.encode()))
            if dispatch.cache.save_to:
                headers.append((KV_SAVE, dispatch.cache.save_to.encode()))
        return headers

    def decode_answer(self, headers: Iterable[tuple[bytes, bytes]]) -> ResponseMetadata:
        """Read a worker's answer (PROTOCOL, "Answers", "Workers")."""
        values = {name.lower(): value.decode("latin-1") for name, value in headers}
        version = values.get(_VERSIONS, "")
        limit = values.get(_RATE_LIMIT)
        rate = _rate(limit)
        return ResponseMetadata(
            request_id=values.get(REQUEST_ID.lower()),
            signed=_SIGNATURE in values,
            not_executed=_NOT_EXECUTED in values,
            instance=values.get(_INSTANCE),
            weights_version=int(version) if version.isdigit() else None,
            keep_alive_seconds=_keep_alive(values.get(b"keep-alive", "")),
            closes_connection="close" in values.get(b"connection", "").lower(),
            leaving=values.get(_LEAVING, "").strip() == "1",
            retry_seconds=_seconds(values.get(_RETRY_AFTER, "")),
            rate_limit=rate,
            unreadable_limit=limit[:SHOWN_CHARACTERS] if limit and rate is None else "",
        )

    def own_answer_headers(self, request_id: str | None) -> Headers:
        """Return what every answer of the system's own carries (PROTOCOL, "Answers")."""
        return [(REQUEST_ID, request_id.encode("latin-1"))] if request_id else []


def _connection_names(headers: Headers) -> frozenset[bytes]:
    listed = [value for name, value in headers if name.lower() == b"connection"]
    return frozenset(token.strip().lower() for one in listed for token in one.split(b","))


def _number(name: bytes, text: str) -> int:
    if not text.isdigit():
        raise ValueError(f"{name.decode()}: {text!r} is not a whole number")
    return int(text)


def _event_id(text: str | None) -> int | None:
    return int(text) if text is not None and text.isdigit() else None


def _token_usage(text: str) -> tuple[int, int]:
    first, _, second = text.partition(",")
    if not first.strip().isdigit() or not second.strip().isdigit():
        return 0, 0
    return int(first), int(second)


def _prompt(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for part in text.split(","):
        part_id, _, tokens = part.strip().partition(":")
        if part_id and tokens.isdigit():
            parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


def _seconds(text: str) -> float | None:
    """Return a time in seconds, ``None`` for what is none; too many digits for a number are infinite."""
    text = text.strip()
    return float(text) if _SECONDS.fullmatch(text) else None


def _rate(text: str | None) -> float | None:
    """Return a rate, ``None`` for what is none; too many digits for a number are infinite."""
    text = (text or "").strip()
    return float(text) if _DECIMAL.fullmatch(text) else None


def _keep_alive(text: str) -> float | None:
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return float(text) if text.strip().isdigit() else None
