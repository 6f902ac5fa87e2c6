"""Choice of the nodes through which tunnels are opened."""

import enum
import random
from collections import Counter
from collections.abc import Callable


class PeerFailure(enum.Enum):
    """Why a tunnel through a node could not be opened.

    ``NO_PATH``: the node has no path to the worker. ``FULL``: no memory. ``STOPPING``: it shuts
    down. ``UNSUPPORTED``: it closed the connection without a reply, as older builds do. ``SILENT``:
    no connection to it, or no reply.
    """

    NO_PATH = "no_path"
    FULL = "full"
    STOPPING = "stopping"
    UNSUPPORTED = "unsupported"
    SILENT = "silent"


AVOIDED_SECONDS = {
    PeerFailure.NO_PATH: 2.0,
    PeerFailure.FULL: 0.5,
    PeerFailure.STOPPING: 10.0,
    PeerFailure.UNSUPPORTED: 10.0,
    PeerFailure.SILENT: 2.0,
}
"""Time for which a node is not asked again."""

REFERRAL_SECONDS = 30.0
"""Time for which a node that another one has named is a candidate."""


class TunnelPeers:
    """Candidates for tunnels, their failures and the number of tunnels through each.

    :param addresses: returns the addresses of the nodes that this node knows.
    :param address: address of this node.
    """

    def __init__(
        self,
        addresses: Callable[[], list[str]],
        address: str,
        clock: Callable[[], float],
        random_source: random.Random,
    ):
        self._addresses = addresses
        self._address = address
        self._clock = clock
        self._random = random_source
        self._avoided_until: dict[str, float] = {}
        self._referred_until: dict[str, float] = {}
        self._tunnels: Counter[str] = Counter()

    @property
    def open_tunnels(self) -> int:
        """Number of open tunnels, also those without a request."""
        return self._tunnels.total()

    def choose(self, tried: set[str]) -> str | None:
        """Return the candidate with the fewest tunnels of this node; ``None`` if none is left."""
        now = self._clock()
        self._referred_until = {
            address: until for address, until in self._referred_until.items() if now < until
        }
        candidates = {*self._addresses(), *self._referred_until} - tried - {self._address}
        usable = [peer for peer in candidates if now >= self._avoided_until.get(peer, 0.0)]
        return min(
            usable, key=lambda peer: (self._tunnels[peer], self._random.random()), default=None
        )

    def record_failed(self, address: str, failure: PeerFailure) -> None:
        """Avoid a node for a while."""
        self._avoided_until[address] = self._clock() + AVOIDED_SECONDS[failure]

    def record_referrals(self, addresses: list[str]) -> None:
        """Record nodes that another one has named."""
        until = self._clock() + REFERRAL_SECONDS
        self._referred_until |= dict.fromkeys(addresses, until)

    def record_opened(self, address: str) -> None:
        """Count a tunnel."""
        self._tunnels[address] += 1

    def record_closed(self, address: str) -> None:
        """Stop counting a tunnel."""
        self._tunnels[address] -= 1
        if self._tunnels[address] <= 0:
            del self._tunnels[address]
