"""Control messages of tunnels, sent over connections between the peer addresses of two nodes.

The first message on a connection is a :class:`TunnelOpen`. Builds without tunnels close the
connection, as they accept only polls of the change feed there.
"""

import enum
from typing import Literal, NamedTuple

from wheelslip.deployment import Incarnation


class TunnelOpen(NamedTuple):
    """Asks for a connection to a worker for one request, a new one or the one that is open."""

    worker: Incarnation
    request_id: str
    kind: Literal["tunnel"] = "tunnel"


class TunnelIdle(NamedTuple):
    """Tells that the request has ended; the connection stays open for another one."""

    kind: Literal["idle"] = "idle"


class TunnelStatus(enum.Enum):
    """Reply to a :class:`TunnelOpen`.

    ``OPEN``: the connection is open. ``UNREACHABLE``: no connection to the worker could be
    opened. ``NO_PATH``: the replying node itself has no path to the worker. ``NOT_IN_USE``: in its
    view the worker accepts no requests. ``FULL``: it has no memory for the tunnel. ``STOPPING``: it
    shuts down.
    """

    OPEN = "open"
    UNREACHABLE = "unreachable"
    NO_PATH = "no_path"
    NOT_IN_USE = "not_in_use"
    FULL = "full"
    STOPPING = "stopping"


class TunnelReply(NamedTuple):
    """Reply to a :class:`TunnelOpen`.

    :ivar peers: addresses of some other nodes that may serve tunnels.
    """

    status: TunnelStatus
    peers: list[str]


def is_tunnel_message(payload: bytes) -> bool:
    """Return whether the first message on a connection asks for a tunnel.

    A poll of the change feed begins with a number or null.
    """
    return payload.startswith(b'["')
