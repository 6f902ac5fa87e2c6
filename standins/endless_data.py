"""Responses of a faulty worker that go on until the client closes the connection."""

import asyncio
import enum

from standins.asyncio_http import ServerConnection

SLICE_BYTES = 32 * 1024
FAST_PAUSE_SECONDS = 0.0005
SLOW_PAUSE_SECONDS = 0.1


class EndlessData(enum.Enum):
    """What is sent without end, after which beginning of a response."""

    HEAD_GARBAGE = "garbage in place of a head"
    STATUS_LINE = "status line"
    HEADERS = "headers"
    INFORMATIONAL = "informational responses"
    FOREIGN = "responses to other requests"
    BODY_GARBAGE = "garbage in place of chunks"
    CHUNK_HEAD = "head of a chunk"
    TRAILERS = "trailers"
    PLAIN_BODY = "body without events"
    EVENT = "one event"
    COMMENTS = "comments"
    AFTER_RESPONSE = "bytes after a response"


CONTINUOUS = (
    EndlessData.STATUS_LINE,
    EndlessData.HEADERS,
    EndlessData.INFORMATIONAL,
    EndlessData.CHUNK_HEAD,
    EndlessData.TRAILERS,
    EndlessData.PLAIN_BODY,
    EndlessData.EVENT,
    EndlessData.COMMENTS,
)
"""Kinds whose data is valid as far as it has come, so only its amount shows the fault."""


def _first_and_next(kind: EndlessData, head: bytes) -> tuple[bytes, bytes]:
    """Return the beginning of a response, and what follows again and again.

    :param head: status line and headers of a response, without those that frame its body and
        without the empty line.
    """
    chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
    filler = b"x" * 1024
    garbage = b"\x00\xff\r\n" * 16
    header = b"X-Filler: " + filler + b"\r\n"
    chunk = b"400\r\n" + filler + b"\r\n"
    foreign = b"Wheelslip-Request-Id: another\r\nContent-Length: 1024\r\n\r\n" + filler
    responses = {
        EndlessData.HEAD_GARBAGE: (b"", garbage),
        EndlessData.STATUS_LINE: (b"HTTP/1.1 200 ", filler),
        EndlessData.HEADERS: (head, header),
        EndlessData.INFORMATIONAL: (b"", b"HTTP/1.1 103 Early Hints\r\n" + header + b"\r\n"),
        EndlessData.FOREIGN: (b"", b"HTTP/1.1 200 OK\r\n" + foreign),
        EndlessData.BODY_GARBAGE: (chunked, garbage),
        EndlessData.CHUNK_HEAD: (chunked + b"5;", filler),
        EndlessData.TRAILERS: (chunked + b"0\r\n", header),
        EndlessData.PLAIN_BODY: (chunked, chunk),
        EndlessData.EVENT: (chunked + b"11\r\nid: 1\ndata: token\r\n", chunk),
        EndlessData.COMMENTS: (chunked, b"402\r\n:" + filler[1:] + b"\n\n\r\n"),
        EndlessData.AFTER_RESPONSE: (b"", filler),
    }
    return responses[kind]


async def send_endless_data(
    kind: EndlessData, head: bytes, connection: ServerConnection, slow: bool = False
) -> int:
    """Send data until the client closes the connection, and return the number of bytes.

    Data of :attr:`EndlessData.AFTER_RESPONSE` is to be sent after a complete response.

    :param slow: send a piece of some ten bytes every 0.1 s instead of as much as the client reads.
    """
    first, following = _first_and_next(kind, head)
    if not slow:
        following *= max(1, SLICE_BYTES // len(following))
    connection.send_raw(first)
    sent = len(first)
    while not connection.closed.is_set():
        connection.send_raw(following)
        sent += len(following)
        await connection.drain()
        await asyncio.sleep(SLOW_PAUSE_SECONDS if slow else FAST_PAUSE_SECONDS)
    return sent
