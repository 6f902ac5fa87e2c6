"""Splitting of a server-sent event stream into whole events."""

import re
from dataclasses import dataclass

_SEPARATOR = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"(?m)^id: ?(\d+)\r?$")


@dataclass(frozen=True)
class StreamEvent:
    """One whole event with its separator; ``id`` is ``None`` when it carries none."""

    raw: bytes
    id: int | None


class EventSplitter:
    """Collects bytes and gives out whole events; part of one is never given out."""

    def __init__(self):
        self._rest = b""

    @property
    def incomplete(self) -> bool:
        """Whether bytes of an unfinished event are held."""
        return bool(self._rest.strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that became whole."""
        self._rest += data
        events = []
        while match := _SEPARATOR.search(self._rest):
            raw = self._rest[: match.end()]
            self._rest = self._rest[match.end() :]
            found = _ID.search(raw)
            events.append(StreamEvent(raw, int(found.group(1)) if found else None))
        return events
