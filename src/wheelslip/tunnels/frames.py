"""Frames of a tunnel: netstrings that hold a control message or bytes of the tunneled connection.

===========  ===============================================================
First byte   Payload
===========  ===============================================================
``[``        control message, JSON
``=``        bytes of the tunneled connection
``.``        empty: the worker has closed the connection
``!``        empty: the connection to the worker was lost
===========  ===============================================================
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from wheelslip.wire import FrameError

MAX_CONTROL_BYTES = 16 * 1024

MAX_DATA_BYTES = 64 * 1024 * 1024
"""Maximum size of one data frame, which is not buffered; above the largest request body."""

_MAX_LENGTH_DIGITS = len(str(MAX_DATA_BYTES))

_DATA = b"="
_CONTROL = b"["
_CLOSED = b"."
_LOST = b"!"

CLOSED_FRAME = b"1:.,"
LOST_FRAME = b"1:!,"


class TunnelEnd(enum.Enum):
    """How the connection to the worker ended."""

    CLOSED = "closed"
    LOST = "lost"


class TunnelData(NamedTuple):
    """Bytes of the tunneled connection; valid until the next read."""

    data: memoryview


class TunnelControl(NamedTuple):
    """Payload of a control message."""

    payload: bytes


TunnelEvent = TunnelControl | TunnelData | TunnelEnd


def encode_data(*parts: bytes) -> list[bytes]:
    """Return the parts of a data frame, to be written one after the other."""
    size = sum(map(len, parts)) + 1
    return [b"%d:=" % size, *parts, b","]


class FrameDecoder:
    """Splits received bytes into control messages and pieces of data."""

    def __init__(self):
        self._head = b""
        self._kind = b""
        self._remaining = 0
        self._control = b""

    def feed(self, data: memoryview) -> Iterator[TunnelEvent]:
        """Return the events that received bytes complete; data is passed on as it arrives.

        :raises FrameError: if the framing is invalid.
        """
        while data:
            if not self._kind:
                data = self._read_head(data)
            elif self._remaining:
                piece, data = data[: self._remaining], data[self._remaining :]
                self._remaining -= len(piece)
                if self._kind == _DATA:
                    yield TunnelData(piece)
                else:
                    self._control += bytes(piece)
            else:
                event = self._end_frame(bytes(data[:1]))
                data = data[1:]
                if event is not None:
                    yield event

    def _read_head(self, data: memoryview) -> memoryview:
        """Read the length and the kind of a frame, as far as they have been received."""
        for position in range(len(data)):
            byte = bytes(data[position : position + 1])
            if not self._head.endswith(b":"):
                self._head += byte
                if len(self._head) > _MAX_LENGTH_DIGITS + 1:
                    raise FrameError("frame length missing")
                continue
            self._begin_frame(byte)
            return data[position + 1 :]
        return data[len(data) :]

    def _begin_frame(self, kind: bytes) -> None:
        digits = self._head[:-1]
        if not digits.isdigit() or not 1 <= int(digits) <= MAX_DATA_BYTES:
            raise FrameError("frame length is not a number in range")
        self._remaining = int(digits) - 1
        if kind not in (_DATA, _CONTROL, _CLOSED, _LOST):
            raise FrameError("frame of an unknown kind")
        if kind != _DATA and self._remaining >= MAX_CONTROL_BYTES:
            raise FrameError("control message too long")
        self._kind, self._head = kind, b""
        self._control = kind if kind == _CONTROL else b""

    def _end_frame(self, terminator: bytes) -> TunnelEvent | None:
        if terminator != b",":
            raise FrameError("frame does not end in a comma")
        kind, self._kind = self._kind, b""
        match kind:
            case b"[":
                return TunnelControl(self._control)
            case b".":
                return TunnelEnd.CLOSED
            case b"!":
                return TunnelEnd.LOST
        return None
