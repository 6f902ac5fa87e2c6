"""Choice between idle direct connections, idle tunnels and new connections."""

import asyncio

import pytest

from wheelslip.connections.http_client import PeerUnreachable
from wheelslip.connections.worker_pool import WorkerPool
from wheelslip.deployment import Incarnation, ResponseMetadata, WorkerInfo, WorkerState
from wheelslip.tunnels.direct_connection import connect_directly
from wheelslip.tunnels.direct_paths import RETRY_SECONDS, DirectPaths

WORKER = WorkerInfo(Incarnation("w"), "s", "127.0.0.1:1", "z", WorkerState.READY, 8)
METADATA = ResponseMetadata("r", True, False, None, None, 60.0, False)


class Clock:
    now = 100.0

    def __call__(self) -> float:
        return self.now


class Connection:
    """Idle connection; ``via`` is empty for a direct one."""

    open = reusable = True

    def __init__(self, via: str = ""):
        self.via = via

    def make_ready(self) -> None:
        pass

    def close(self) -> None:
        self.open = False


class Connector:
    """Opens direct connections and accepts all idle ones."""

    def __init__(self):
        self.opened = []

    async def connect(self, worker, request_id):
        self.opened.append(Connection())
        return self.opened[-1]

    async def reopen(self, connection, worker, request_id):
        return True


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def paths(clock):
    return DirectPaths(clock)


def pool_with(paths, clock, connection) -> tuple[WorkerPool, Connector]:
    connector = Connector()
    pool = WorkerPool(clock, paths, connector)
    pool.release(WORKER, connection, METADATA)
    return pool, connector


def lose_path(paths, hangs: bool) -> None:
    paths.record_reached_by_peer(WORKER.id)
    paths.record_failed(WORKER, "no reply", hangs)


def test_idle_tunnel_is_used_until_a_direct_connection_is_due_again(paths, clock):
    """Otherwise a node with steady traffic keeps to tunnels after its paths have returned."""
    lose_path(paths, hangs=True)
    tunnel = Connection("127.0.0.1:2")
    pool, connector = pool_with(paths, clock, tunnel)
    assert asyncio.run(pool.acquire(WORKER)) is tunnel
    pool.release(WORKER, tunnel, METADATA)
    clock.now += RETRY_SECONDS
    assert asyncio.run(pool.acquire(WORKER)) is connector.opened[0]
    assert tunnel.open


@pytest.mark.parametrize("hangs", [True, False])
def test_idle_direct_connection_is_used_unless_the_path_hangs(paths, clock, hangs):
    connection = Connection()
    pool, _ = pool_with(paths, clock, connection)
    lose_path(paths, hangs)
    assert (asyncio.run(pool.acquire(WORKER)) is connection) is not hangs


def test_idle_tunnel_is_closed_when_the_path_has_returned(paths, clock):
    lose_path(paths, hangs=True)
    tunnel = Connection("127.0.0.1:2")
    pool, connector = pool_with(paths, clock, tunnel)
    paths.record_connected(WORKER)
    assert asyncio.run(pool.acquire(WORKER)) is connector.opened[0]
    assert not tunnel.open


@pytest.mark.parametrize(
    ("error", "hangs"), [(ConnectionResetError(), False), (TimeoutError(), True)]
)
def test_only_a_path_without_replies_makes_open_connections_suspect(paths, error, hangs):
    """Where new connections are reset, open ones may continue."""

    async def connect() -> None:
        async def fail(*arguments):
            raise error

        asyncio.get_running_loop().create_connection = fail
        with pytest.raises(PeerUnreachable):
            await connect_directly(paths, WORKER, asyncio.Protocol, 1.0)

    asyncio.run(connect())
    assert paths.distrusts_open_connections(WORKER.id) is hangs
