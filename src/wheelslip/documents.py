"""Decoding of JSON documents that other processes have written.

The store, workers and other nodes may send any bytes. Size and depth are checked before a document
is decoded, so whether it is accepted does not depend on the process that decodes it.
"""

from itertools import accumulate
from typing import TypeVar

import msgspec

MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
"""Maximum size of a document; the largest one is a full configuration snapshot."""

MAX_DEPTH = 64
"""Maximum depth of nested arrays and objects. The decoder itself recurses, and fails at a depth that
depends on its caller's stack."""

_OTHER_THAN_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))
_DEPTH_CHANGES = {ord("["): 1, ord("{"): 1, ord("]"): -1, ord("}"): -1}

DocumentT = TypeVar("DocumentT")


class DocumentError(ValueError):
    """Raised when bytes are not a document of the expected type, or are too large or too deep."""


def decode_document(
    data: bytes | msgspec.Raw,
    document_type: type[DocumentT],
    max_bytes: int = MAX_DOCUMENT_BYTES,
) -> DocumentT:
    """Decode a JSON document.

    :raises DocumentError: if it is invalid.
    """
    raw = bytes(data)
    if len(raw) > max_bytes:
        raise DocumentError(f"document of {len(raw)} bytes, {max_bytes} are allowed")
    if _is_too_deep(raw):
        raise DocumentError(f"document nested deeper than {MAX_DEPTH} levels")
    try:
        return msgspec.json.decode(raw, type=document_type)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise DocumentError(str(exc)) from exc


def _is_too_deep(data: bytes) -> bool:
    if data.count(b"[") + data.count(b"{") <= MAX_DEPTH:
        return False
    depths = accumulate(map(_DEPTH_CHANGES.__getitem__, _brackets(data)))
    return any(depth > MAX_DEPTH for depth in depths)


def _brackets(data: bytes) -> bytes:
    """Return the brackets of a document that are not inside strings."""
    without_escapes = data.replace(rb"\\", b"").replace(rb"\"", b"")
    outside_strings = b"".join(without_escapes.split(b'"')[::2])
    return outside_strings.translate(None, _OTHER_THAN_BRACKETS)
