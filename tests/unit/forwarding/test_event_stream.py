"""Event splitting returns complete events only, however the bytes are chunked."""

import pytest

from wheelslip.forwarding.event_stream import EventSplitter

STREAM = b"id: 1\ndata: one\n\nwheelslip-x: 3\nid: 2\ndata: two\n\nid: 3\r\ndata: three\r\n\r\n"


@pytest.mark.parametrize("size", range(1, len(STREAM) + 1))
def test_events_are_independent_of_chunk_size(size):
    splitter = EventSplitter()
    events = []
    for start in range(0, len(STREAM), size):
        events += splitter.feed(STREAM[start : start + size])
    assert [event.id for event in events] == [1, 2, 3]
    assert b"".join(event.raw for event in events) == STREAM
    assert not splitter.incomplete


def test_incomplete_event_is_buffered():
    splitter = EventSplitter()
    assert [event.id for event in splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")] == [1]
    assert splitter.incomplete
