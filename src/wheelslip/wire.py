"""Netstring frames of JSON: the framing of every message between nodes."""

import socket
from typing import TypeVar

import msgspec

MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Largest frame taken; a full configuration snapshot is the largest message sent."""

_MAX_LENGTH_DIGITS = len(str(MAX_FRAME_BYTES))
_RECEIVE_BYTES = 65536

MessageT = TypeVar("MessageT")


class FrameError(Exception):
    """A peer sent bytes that are not a netstring of the expected JSON."""


def encode_frame(message: object) -> bytes:
    """Return ``message`` as one netstring of JSON."""
    payload = msgspec.json.encode(message)
    return b"%d:%s," % (len(payload), payload)


def decode_frame(frame: bytes, message_type: type[MessageT]) -> MessageT:
    """Decode exactly one netstring.

    :raises FrameError: when the framing or the JSON is wrong.
    """
    payload, rest = split_frame(frame)
    if payload is None or rest:
        raise FrameError("not exactly one frame")
    return decode_payload(payload, message_type)


def read_payload(connection: socket.socket) -> bytes:
    """Read the payload of one frame from a stream socket, as its timeout allows.

    :raises FrameError: when the framing is wrong, or the peer closed early.
    :raises OSError: as the socket raises it.
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


def split_frame(buffer: bytes) -> tuple[bytes | None, bytes]:
    """Return the payload of the first frame and the bytes after it.

    The payload is ``None`` while the frame is not whole.

    :raises FrameError: when the framing is wrong.
    """
    colon = buffer.find(b":", 0, _MAX_LENGTH_DIGITS + 1)
    if colon < 0:
        if len(buffer) > _MAX_LENGTH_DIGITS:
            raise FrameError("frame length missing")
        return None, buffer
    digits = buffer[:colon]
    if not digits.isdigit() or int(digits) > MAX_FRAME_BYTES:
        raise FrameError("frame length is not a number in range")
    end = colon + 1 + int(digits)
    if len(buffer) <= end:
        return None, buffer
    if buffer[end : end + 1] != b",":
        raise FrameError("frame does not end in a comma")
    return buffer[colon + 1 : end], buffer[end + 1 :]


def decode_payload(payload: bytes, message_type: type[MessageT]) -> MessageT:
    """Decode the JSON of one frame.

    :raises FrameError: when it is not the expected message.
    """
    try:
        return msgspec.json.decode(payload, type=message_type)
    except msgspec.MsgspecError as error:
        raise FrameError(f"frame content: {error}") from error
