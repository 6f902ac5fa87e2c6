"""Frames between the nodes at the ends of a tunnel."""

import pytest

from wheelslip.documents import DocumentError, decode_document
from wheelslip.forwarding.feed import FeedPoll
from wheelslip.tunnels.frames import (
    CLOSED_FRAME,
    LOST_FRAME,
    FrameDecoder,
    TunnelControl,
    TunnelData,
    TunnelEnd,
    encode_data,
)
from wheelslip.tunnels.messages import TunnelOpen, is_tunnel_message
from wheelslip.wire import FrameError, encode_frame, split_frame

DATA = (b"GET / HTTP/1.1\r\n", b"3:abc,")


def decode(stream: bytes, step: int) -> list:
    """Return the events of a stream that is received in pieces; adjacent data is joined."""
    decoder, events = FrameDecoder(), []
    for start in range(0, len(stream), step):
        for event in decoder.feed(memoryview(stream[start : start + step])):
            is_data = isinstance(event, TunnelData)
            event = bytes(event.data) if is_data else event
            if is_data and events and isinstance(events[-1], bytes):
                events[-1] += event
            else:
                events.append(event)
    return events


@pytest.mark.parametrize("step", [1, 2, 3, 7, 1000])
def test_frames_are_split_wherever_the_stream_is_cut(step):
    control = encode_frame(TunnelOpen("i-1", "r1"))
    stream = control + b"".join(encode_data(*DATA)) + LOST_FRAME + control + CLOSED_FRAME
    payload, _ = split_frame(control)
    assert decode(stream, step) == [
        TunnelControl(payload),
        b"".join(DATA),
        TunnelEnd.LOST,
        TunnelControl(payload),
        TunnelEnd.CLOSED,
    ]


@pytest.mark.parametrize(
    "stream", [b"x:=", b"3:?ab,", b"0:,", b"3:=abc", b"99999999999:=", b"99999:[", b"12345678901"]
)
def test_invalid_frames_are_refused(stream):
    with pytest.raises(FrameError):
        decode(stream, 1)


def test_builds_without_tunnels_refuse_the_first_message():
    payload, _ = split_frame(encode_frame(TunnelOpen("i-1", "r1")))
    assert is_tunnel_message(payload)
    with pytest.raises(DocumentError):
        decode_document(payload, FeedPoll)


def test_polls_of_the_feed_are_no_tunnel_messages():
    for after in (None, 7):
        payload, _ = split_frame(encode_frame(FeedPoll(after, "127.0.0.1:1")))
        assert not is_tunnel_message(payload)
