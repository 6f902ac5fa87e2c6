"""Answers to callers: reading engines' chunks, writing SSE, plain and kept answers."""

import json
from collections.abc import Generator, Iterator
from dataclasses import dataclass

import msgspec

from wheelslip.callers.schema import CompletionRequest
from wheelslip.errors import WheelslipError
from wheelslip.keyvalue.claims import StoredResponse


class _PromptDetails(msgspec.Struct):
    cached_tokens: int = 0


class Usage(msgspec.Struct):
    """Token counts of one answer."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _PromptDetails | None = None

    @property
    def cached_tokens(self) -> int:
        """Prompt tokens that the engine had cached."""
        return self.prompt_tokens_details.cached_tokens if self.prompt_tokens_details else 0


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None
    text: str | None = None
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = []
    usage: Usage | None = None


@dataclass(frozen=True)
class AnswerPart:
    """One event of an answer, with what the node needs to know of it.

    :param data: the chunk's JSON as it goes to the caller.
    """

    data: bytes
    text: str = ""
    finish_reason: str | None = None
    usage: Usage | None = None


_decode_chunk = msgspec.json.Decoder(_Chunk).decode


def read_part(data: bytes) -> AnswerPart:
    """Return an engine's chunk as a part.

    :raises msgspec.MsgspecError: when it is not a completion chunk.
    """
    chunk = _decode_chunk(data)
    if not chunk.choices:
        return AnswerPart(data, usage=chunk.usage)
    choice = chunk.choices[0]
    text = (choice.delta.content if choice.delta else choice.text) or ""
    return AnswerPart(data, text, choice.finish_reason, chunk.usage)


class AnswerWriter:
    """Builds chunks and whole answers under the caller's own request id."""

    def __init__(self, request: CompletionRequest, request_id: str, created: int):
        self._request = request
        self._id = ("chatcmpl-" if request.chat else "cmpl-") + request_id
        self._created = created

    def event_stream(self, parts: Generator[AnswerPart]) -> Iterator[bytes]:
        """Yield an SSE body; it ends in a done event or in an explicit error event."""
        event_id = 0
        try:
            for part in parts:
                if part.usage is not None and not part.text and not self._request.include_usage:
                    continue
                event_id += 1
                yield b"id: %d\ndata: %s\n\n" % (event_id, part.data)
        except WheelslipError as error:
            body = json.dumps(error.body(self._id)).encode()
            yield b"id: %d\nevent: error\ndata: %s\n\n" % (event_id + 1, body)
            return
        finally:
            parts.close()
        yield b"id: %d\ndata: [DONE]\n\n" % (event_id + 1)

    def whole(self, parts: Iterator[AnswerPart]) -> dict:
        """Return a plain answer made of all parts."""
        return self._whole_answer(collect(parts))

    def parts_of_kept(self, answer: StoredResponse) -> Iterator[AnswerPart]:
        """Yield a kept answer as parts, so that it can be streamed again."""
        usage = Usage(
            answer.prompt_tokens,
            answer.completion_tokens,
            _PromptDetails(answer.cached_tokens),
        )
        yield AnswerPart(self._chunk(answer.text, None), answer.text)
        yield AnswerPart(self._chunk("", answer.finish_reason), "", answer.finish_reason)
        yield AnswerPart(self._usage_chunk(answer), usage=usage)

    def _chunk(self, text: str, finish_reason: str | None) -> bytes:
        if self._request.chat:
            delta = {"role": "assistant", "content": text} if text else {}
            choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
        else:
            choice = {"index": 0, "text": text, "finish_reason": finish_reason}
        return json.dumps(self._head(chunk=True) | {"choices": [choice]}).encode()

    def _usage_chunk(self, answer: StoredResponse) -> bytes:
        document = self._head(chunk=True) | {"choices": [], "usage": _usage_document(answer)}
        return json.dumps(document).encode()

    def _whole_answer(self, answer: StoredResponse) -> dict:
        choice: dict[str, object] = {"index": 0, "finish_reason": answer.finish_reason}
        if self._request.chat:
            choice["message"] = {"role": "assistant", "content": answer.text}
        else:
            choice["text"] = answer.text
        usage = _usage_document(answer)
        return self._head(chunk=False) | {"choices": [choice], "usage": usage}

    def _head(self, chunk: bool) -> dict:
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


def collect(parts: Iterator[AnswerPart]) -> StoredResponse:
    """Return all parts of an answer as one."""
    texts = []
    finish_reason = ""
    usage = Usage()
    for part in parts:
        texts.append(part.text)
        finish_reason = part.finish_reason or finish_reason
        usage = part.usage or usage
    return StoredResponse(
        "".join(texts),
        finish_reason,
        usage.prompt_tokens,
        usage.completion_tokens,
        usage.cached_tokens,
    )


def _usage_document(answer: StoredResponse) -> dict:
    return {
        "prompt_tokens": answer.prompt_tokens,
        "completion_tokens": answer.completion_tokens,
        "total_tokens": answer.prompt_tokens + answer.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": answer.cached_tokens},
    }
