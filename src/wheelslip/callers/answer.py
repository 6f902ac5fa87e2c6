"""Responses to callers: parses engine chunks and writes SSE streams and JSON completions."""

import json
from collections.abc import Generator, Iterator
from dataclasses import dataclass

import msgspec

from wheelslip.callers.schema import CompletionRequest
from wheelslip.documents import decode_document
from wheelslip.errors import WheelslipError
from wheelslip.keyvalue.claims import StoredResponse


class _PromptDetails(msgspec.Struct):
    cached_tokens: int = 0


class Usage(msgspec.Struct):
    """Token counts of one response."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _PromptDetails | None = None

    @property
    def cached_tokens(self) -> int:
        """Prompt tokens that the engine served from its prefix cache."""
        return self.prompt_tokens_details.cached_tokens if self.prompt_tokens_details else 0


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None
    text: str | None = None
    finish_reason: str | None = None


class _EngineChunk(msgspec.Struct):
    choices: list[_Choice] = []
    usage: Usage | None = None


@dataclass(frozen=True)
class CompletionChunk:
    """One chunk of a streamed completion, with the fields that the node uses.

    :ivar data: the chunk's JSON as forwarded to the caller.
    :ivar text: generated text in the chunk; empty when there is none.
    :ivar usage: token counts, sent by engines at the end of a response.
    """

    data: bytes
    text: str = ""
    finish_reason: str | None = None
    usage: Usage | None = None


def parse_chunk(data: bytes) -> CompletionChunk:
    """Parse the JSON of an engine's completion chunk.

    :raises DocumentError: when the data is not a completion chunk.
    """
    chunk = decode_document(data, _EngineChunk)
    if not chunk.choices:
        return CompletionChunk(data, usage=chunk.usage)
    choice = chunk.choices[0]
    text = (choice.delta.content if choice.delta else choice.text) or ""
    return CompletionChunk(data, text, choice.finish_reason, chunk.usage)


class CompletionWriter:
    """Writes the chunks and the JSON document of a completion, under one request id."""

    def __init__(self, request: CompletionRequest, request_id: str, created: int):
        self._request = request
        self._id = ("chatcmpl-" if request.chat else "cmpl-") + request_id
        self._created = created

    def event_stream(self, chunks: Generator[CompletionChunk]) -> Iterator[bytes]:
        """Yield the SSE body of a stream, which ends in ``[DONE]`` or in an ``error`` event."""
        event_id = 0
        try:
            for chunk in chunks:
                if chunk.usage is not None and not chunk.text and not self._request.include_usage:
                    continue
                event_id += 1
                yield b"id: %d\ndata: %s\n\n" % (event_id, chunk.data)
        except WheelslipError as error:
            body = json.dumps(error.body(self._id)).encode()
            yield b"id: %d\nevent: error\ndata: %s\n\n" % (event_id + 1, body)
            return
        finally:
            chunks.close()
        yield b"id: %d\ndata: [DONE]\n\n" % (event_id + 1)

    def completion(self, chunks: Iterator[CompletionChunk]) -> dict:
        """Return the completion document of a request that is not streamed."""
        return self._completion_document(merge_chunks(chunks))

    def replay(self, response: StoredResponse) -> Iterator[CompletionChunk]:
        """Yield a stored response as chunks, for a repeated request."""
        usage = Usage(
            response.prompt_tokens,
            response.completion_tokens,
            _PromptDetails(response.cached_tokens),
        )
        yield CompletionChunk(self._encode_chunk(response.text, None), response.text)
        yield CompletionChunk(
            self._encode_chunk("", response.finish_reason), "", response.finish_reason
        )
        yield CompletionChunk(self._encode_usage_chunk(response), usage=usage)

    def _encode_chunk(self, text: str, finish_reason: str | None) -> bytes:
        if self._request.chat:
            delta = {"role": "assistant", "content": text} if text else {}
            choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
        else:
            choice = {"index": 0, "text": text, "finish_reason": finish_reason}
        return json.dumps(self._envelope(chunk=True) | {"choices": [choice]}).encode()

    def _encode_usage_chunk(self, response: StoredResponse) -> bytes:
        document = self._envelope(chunk=True) | {"choices": [], "usage": _usage_document(response)}
        return json.dumps(document).encode()

    def _completion_document(self, response: StoredResponse) -> dict:
        choice: dict[str, object] = {"index": 0, "finish_reason": response.finish_reason}
        if self._request.chat:
            choice["message"] = {"role": "assistant", "content": response.text}
        else:
            choice["text"] = response.text
        usage = _usage_document(response)
        return self._envelope(chunk=False) | {"choices": [choice], "usage": usage}

    def _envelope(self, chunk: bool) -> dict:
        if self._request.chat:
            kind = "chat.completion.chunk" if chunk else "chat.completion"
        else:
            kind = "text_completion"
        return {
            "id": self._id,
            "object": kind,
            "created": self._created,
            "model": self._request.model,
        }


def merge_chunks(chunks: Iterator[CompletionChunk]) -> StoredResponse:
    """Merge the chunks of a completion into one response that can be stored."""
    texts = []
    finish_reason = ""
    usage = Usage()
    for chunk in chunks:
        texts.append(chunk.text)
        finish_reason = chunk.finish_reason or finish_reason
        usage = chunk.usage or usage
    return StoredResponse(
        "".join(texts),
        finish_reason,
        usage.prompt_tokens,
        usage.completion_tokens,
        usage.cached_tokens,
    )


def _usage_document(response: StoredResponse) -> dict:
    """Return the ``usage`` object of the OpenAI API."""
    return {
        "prompt_tokens": response.prompt_tokens,
        "completion_tokens": response.completion_tokens,
        "total_tokens": response.prompt_tokens + response.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": response.cached_tokens},
    }
