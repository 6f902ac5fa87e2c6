"""A response that is broken off must not look complete to the caller."""

import asyncio
from types import SimpleNamespace
from unittest.mock import Mock

import pytest

from wheelslip.deployment import CallerLimits
from wheelslip.forwarding.caller_connection import CallerConnection
from wheelslip.memory.node_memory import NodeMemory


class BreakingOwner(SimpleNamespace):
    """Breaks off each response after its first part."""

    stopping = False
    clock = staticmethod(lambda: 0.0)
    limits = staticmethod(CallerLimits)
    connection_opened = connection_closed = Mock()

    def __init__(self):
        self.memory = NodeMemory(lambda: 1_000_000, self.clock)

    def open_memory(self, connection):
        return self.memory.open(connection)

    async def handle(self, request, connection):
        connection.write_head(200, [(b"Transfer-Encoding", b"chunked")])
        connection.write_body(b"data: 1\n\n")
        await asyncio.sleep(0.05)
        connection.abort()


async def read_response(version: str) -> bytes:
    loop = asyncio.get_running_loop()
    owner = BreakingOwner()
    server = await loop.create_server(lambda: CallerConnection(owner), "127.0.0.1", 0)
    try:
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        writer.write(f"GET / HTTP/{version}\r\nHost: h\r\n\r\n".encode())
        async with asyncio.timeout(10):
            response = await reader.readuntil(b"data: 1\n\n")
            response += await reader.read()
        writer.close()
        return response
    finally:
        server.close()


def test_response_without_chunks_is_reset():
    """A response to HTTP/1.0 ends with its connection."""
    with pytest.raises(ConnectionResetError):
        asyncio.run(read_response("1.0"))


def test_response_with_chunks_ends_without_its_last_chunk():
    assert not asyncio.run(read_response("1.1")).endswith(b"0\r\n\r\n")
