"""Splitting of a server-sent event stream into complete events."""

import re
from dataclasses import dataclass

_SEPARATOR = re.compile(rb"\r?\n\r?\n")
_MAX_SEPARATOR_BYTES = 4
_ID = re.compile(rb"(?m)^id: ?(\d+)\r?$")


@dataclass(frozen=True)
class StreamEvent:
    """One complete event.

    :ivar raw: bytes of the event, including its separator.
    :ivar id: ``None`` if the event has no numeric id.
    """

    raw: bytes
    id: int | None

    @property
    def is_comment(self) -> bool:
        """Whether it has comments or blank lines only, as are sent to keep a connection open."""
        if not self.raw.startswith((b":", b"\r", b"\n")):
            return False
        lines = self.raw.splitlines()
        return all(line.startswith(b":") for line in lines if line)


class EventSplitter:
    """Buffers received bytes and returns complete events only."""

    def __init__(self):
        self._buffer = b""

    @property
    def incomplete(self) -> bool:
        """Whether part of an event is buffered."""
        return bool(self._buffer.strip())

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes of incomplete events."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes and return the events completed by them."""
        # What was received before contains at most the beginning of a separator.
        searched = max(0, len(self._buffer) - _MAX_SEPARATOR_BYTES + 1)
        self._buffer += data
        events = []
        while match := _SEPARATOR.search(self._buffer, searched):
            searched = 0
            raw = self._buffer[: match.end()]
            self._buffer = self._buffer[match.end() :]
            id_match = _ID.search(raw)
            events.append(StreamEvent(raw, int(id_match.group(1)) if id_match else None))
        return events
