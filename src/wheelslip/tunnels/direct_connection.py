"""Connections to workers on this node's own paths."""

from collections.abc import Callable

from wheelslip.connections.http_client import (
    PeerUnanswered,
    PeerUnreachable,
    ProtocolT,
    open_connection,
)
from wheelslip.deployment import WorkerInfo
from wheelslip.tunnels.direct_paths import DirectPaths


async def connect_directly(
    paths: DirectPaths,
    worker: WorkerInfo,
    factory: Callable[[], ProtocolT],
    timeout_seconds: float,
) -> ProtocolT:
    """Open a connection to a worker, and record whether this node has a path to it.

    :raises PeerUnreachable: if that is not possible.
    """
    try:
        protocol = await open_connection(worker.address, factory, timeout_seconds)
    except PeerUnreachable as error:
        paths.record_failed(worker, str(error), hangs=isinstance(error, PeerUnanswered))
        raise
    paths.record_connected(worker)
    return protocol
