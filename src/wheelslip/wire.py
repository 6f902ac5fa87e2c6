"""Framing of messages between nodes: JSON in netstrings."""

import socket
from typing import TypeVar

import msgspec

from wheelslip.documents import MAX_DOCUMENT_BYTES, DocumentError, decode_document

MAX_FRAME_BYTES = MAX_DOCUMENT_BYTES
"""Maximum payload size."""

_MAX_LENGTH_DIGITS = len(str(MAX_FRAME_BYTES))
_RECEIVE_BYTES = 65536

MessageT = TypeVar("MessageT")


class FrameError(DocumentError):
    """Raised when a peer's bytes are not a netstring."""


def encode_frame(message: object) -> bytes:
    """Return ``message`` as JSON in a netstring."""
    payload = msgspec.json.encode(message)
    return b"%d:%s," % (len(payload), payload)


def decode_frame(frame: bytes, message_type: type[MessageT]) -> MessageT:
    """Decode the message of exactly one netstring.

    :raises DocumentError: if the framing or the message is invalid.
    """
    payload, rest = split_frame(frame)
    if payload is None or rest:
        raise FrameError("not exactly one frame")
    return decode_document(payload, message_type)


def read_payload(connection: socket.socket) -> bytes:
    """Read the payload of one frame from a stream socket, with the socket timeout for each read.

    :raises FrameError: if the framing is invalid or the peer closed the connection early.
    :raises OSError: if reading from the socket fails.
    """
    buffer = b""
    while True:
        payload, rest = split_frame(buffer)
        if payload is not None:
            if rest:
                raise FrameError("bytes after the frame")
            return payload
        received = connection.recv(_RECEIVE_BYTES)
        if not received:
            raise FrameError("connection closed inside a frame")
        buffer += received


def split_frame(buffer: bytes, max_bytes: int = MAX_FRAME_BYTES) -> tuple[bytes | None, bytes]:
    """Return the payload of the first frame and the bytes after it.

    The payload is ``None`` while the frame is incomplete.

    :param max_bytes: maximum size of the payload.
    :raises FrameError: if the framing is invalid.
    """
    colon = buffer.find(b":", 0, _MAX_LENGTH_DIGITS + 1)
    if colon < 0:
        if len(buffer) > _MAX_LENGTH_DIGITS:
            raise FrameError("frame length missing")
        return None, buffer
    digits = buffer[:colon]
    if not digits.isdigit() or int(digits) > max_bytes:
        raise FrameError("frame length is not a number in range")
    end = colon + 1 + int(digits)
    if len(buffer) <= end:
        return None, buffer
    if buffer[end : end + 1] != b",":
        raise FrameError("frame does not end in a comma")
    return buffer[colon + 1 : end], buffer[end + 1 :]
