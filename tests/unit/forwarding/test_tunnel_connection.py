"""End of a tunnel as seen by the node that has opened it."""

import asyncio
import socket

import pytest

from wheelslip.connections.http_client import PeerLost
from wheelslip.tunnels.client import TunnelConnection
from wheelslip.tunnels.frames import LOST_FRAME


class Transport:
    """Transport without a socket."""

    def set_write_buffer_limits(self, high):
        pass

    def get_extra_info(self, name):
        return socket.socket()

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return False

    def write(self, data):
        pass

    def abort(self):
        pass


def open_connection() -> TunnelConnection:
    connection = TunnelConnection("127.0.0.1:1", lambda: None)
    connection.connection_made(Transport())
    connection.send("GET", b"/", [(b"Host", b"h")], b"")
    return connection


def receive(connection: TunnelConnection, data: bytes) -> None:
    connection.get_buffer(0)[: len(data)] = data
    connection.buffer_updated(len(data))


async def loss_of(connection: TunnelConnection) -> PeerLost:
    with pytest.raises(PeerLost) as raised:
        await connection.next_event()
    return raised.value


@pytest.mark.parametrize("exc", [ConnectionResetError(), TimeoutError(), None])
def test_loss_of_the_tunnel_itself_is_not_attributed_to_the_worker(exc):
    connection = open_connection()
    connection.connection_lost(exc)
    assert asyncio.run(loss_of(connection)).path_lost


def test_loss_behind_the_tunnel_is_attributed_to_the_worker():
    connection = open_connection()
    receive(connection, LOST_FRAME)
    connection.connection_lost(None)
    assert not asyncio.run(loss_of(connection)).path_lost
