"""Schema of completion requests, and their validation."""

import hashlib
import json
import math
from dataclasses import dataclass
from typing import Annotated

import msgspec

from wheelslip.errors import ErrorKind, WheelslipError
from wheelslip.http_service import ServiceRequest
from wheelslip.routing.caches.prefix import render_chat

DEADLINE_HEADER = "x-deadline-seconds"
IDEMPOTENCY_HEADER = "idempotency-key"
MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
MAX_DEADLINE_SECONDS = 3600.0
DEFAULT_OUTPUT_TOKENS = 16
"""Default of the OpenAI completions API when ``max_tokens`` is absent."""

PositiveInt = Annotated[int, msgspec.Meta(gt=0)]


class TextPart(msgspec.Struct):
    """One part of a message's content."""

    type: str
    text: str = ""


class ChatMessage(msgspec.Struct):
    """One message of a chat."""

    role: Annotated[str, msgspec.Meta(min_length=1)]
    content: str | list[TextPart] | None = None


class StreamOptions(msgspec.Struct):
    """Options of a streamed response."""

    include_usage: bool = False


class _Common(msgspec.Struct):
    """Fields common to both kinds of completion."""

    model: Annotated[str, msgspec.Meta(min_length=1)]
    stream: bool | None = None
    stream_options: StreamOptions | None = None
    max_tokens: PositiveInt | None = None
    max_completion_tokens: PositiveInt | None = None
    n: int | None = None


class ChatBody(_Common, kw_only=True):
    """Body of a chat completion; other fields are forwarded without validation."""

    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]


class CompletionBody(_Common, kw_only=True):
    """Body of a completion; other fields are forwarded without validation."""

    prompt: Annotated[str, msgspec.Meta(min_length=1)]


@dataclass(frozen=True)
class CompletionRequest:
    """A validated completion request.

    :ivar document: the request body as received.
    :ivar digest: digest of the body, to detect reuse of an idempotency key for another body.
    :ivar deadline_seconds: time from arrival to the first token; ``None`` when the caller
        sets no deadline.
    """

    chat: bool
    model: str
    stream: bool
    include_usage: bool
    max_tokens: int
    document: dict
    prompt_text: str
    digest: str
    idempotency_key: str | None
    deadline_seconds: float | None


def parse_completion(request: ServiceRequest, chat: bool) -> CompletionRequest:
    """Validate the body and the headers of a completion request.

    :raises WheelslipError: ``invalid_request``, naming the field.
    """
    document = request.json_object()
    try:
        body = msgspec.convert(document, ChatBody if chat else CompletionBody)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(" - at ")
        field = path.strip("`").removeprefix("$").lstrip(".") or "body"
        raise WheelslipError(ErrorKind.INVALID_REQUEST, f"{field}: {reason}") from error
    if body.n not in (None, 1):
        raise WheelslipError(ErrorKind.INVALID_REQUEST, "n: only 1 is supported")
    return CompletionRequest(
        chat=chat,
        model=body.model,
        stream=bool(body.stream),
        include_usage=bool(body.stream_options and body.stream_options.include_usage),
        max_tokens=body.max_completion_tokens or body.max_tokens or DEFAULT_OUTPUT_TOKENS,
        document=document,
        prompt_text=render_chat(document["messages"]) if chat else document["prompt"],
        digest=_body_digest(document),
        idempotency_key=_idempotency_key(request),
        deadline_seconds=_deadline_seconds(request),
    )


def _body_digest(document: dict) -> str:
    """Return a digest of the body without the fields that only select streaming."""
    digested = {
        name: value for name, value in document.items() if name not in ("stream", "stream_options")
    }
    return hashlib.sha256(json.dumps(digested, sort_keys=True).encode()).hexdigest()


def _idempotency_key(request: ServiceRequest) -> str | None:
    key = request.headers.get(IDEMPOTENCY_HEADER)
    if key is None:
        return None
    if not key or len(key) > MAX_IDEMPOTENCY_KEY_CHARACTERS:
        raise WheelslipError(
            ErrorKind.INVALID_REQUEST,
            f"Idempotency-Key: must have 1 to {MAX_IDEMPOTENCY_KEY_CHARACTERS} characters",
        )
    return key


def _deadline_seconds(request: ServiceRequest) -> float | None:
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds <= MAX_DEADLINE_SECONDS:
        raise WheelslipError(
            ErrorKind.INVALID_REQUEST,
            f"X-Deadline-Seconds: {text!r} is not a number from 0 to {MAX_DEADLINE_SECONDS:g}",
        )
    return seconds
