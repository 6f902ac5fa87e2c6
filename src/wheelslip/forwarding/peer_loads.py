"""What other nodes have at each worker, as they tell it: pure state, no sockets.

News are small, may be lost and are believed only while fresh. Nothing but the choice of a
worker rests on them.
"""

import random
from dataclasses import dataclass, field

import msgspec

FRESH_SECONDS = 1.2
"""Age up to which a peer's loads count."""

FORGET_SECONDS = 10.0
"""A peer that has been silent for this long is no longer told anything."""

FAN_OUT = 8
"""Most peers told at one time: the traffic of a node does not grow with their number."""

KNOWN_IN_NEWS = 6
"""Addresses of peers in each news, so that nodes find each other."""

MAX_PEERS = 1024


class WorkerLoadNews(msgspec.Struct, array_like=True):
    """What one node has at one worker."""

    worker: str
    running: int
    prompt_tokens: int


class LoadNews(msgspec.Struct, array_like=True):
    """One node's news.

    :ivar incarnation: random at each start.
    :ivar sequence: rises with each news of an incarnation.
    :ivar known: addresses of some peers.
    """

    node: str
    address: str
    incarnation: int
    sequence: int
    loads: list[WorkerLoadNews] = []
    known: list[str] = []


@dataclass
class _Peer:
    address: str
    incarnation: int
    sequence: int
    heard_at: float
    loads: dict[str, WorkerLoadNews] = field(default_factory=dict)


class PeerLoads:
    """The newest news of each peer, and whom to tell next.

    :param seeds: addresses to begin with; they may be stale.
    """

    def __init__(self, node: str, address: str, seeds: list[str], random_source: random.Random):
        self._node = node
        self._address = address
        self._seeds = [seed for seed in seeds if seed != address]
        self._random = random_source
        self._incarnation = random_source.getrandbits(48)
        self._sequence = 0
        self._peers: dict[str, _Peer] = {}
        self._heard_of: dict[str, float] = {}

    def take(self, news: LoadNews, now: float) -> None:
        """Take a peer's news; older ones than known are passed over."""
        if news.node == self._node:
            return
        peer = self._peers.get(news.node)
        if peer is not None and peer.incarnation == news.incarnation:
            if news.sequence <= peer.sequence:
                return
        elif peer is None and len(self._peers) >= MAX_PEERS:
            return
        loads = {load.worker: load for load in news.loads}
        self._peers[news.node] = _Peer(news.address, news.incarnation, news.sequence, now, loads)
        for address in news.known[:KNOWN_IN_NEWS]:
            if address != self._address and len(self._heard_of) < MAX_PEERS:
                self._heard_of.setdefault(address, now)

    def news(self, loads: list[WorkerLoadNews], now: float) -> LoadNews:
        """Return this node's next news."""
        self._sequence += 1
        addresses = [peer.address for peer in self._living(now)]
        known = self._random.sample(addresses, min(KNOWN_IN_NEWS, len(addresses)))
        return LoadNews(self._node, self._address, self._incarnation, self._sequence, loads, known)

    def targets(self, now: float) -> list[str]:
        """Return the addresses to tell now: peers, some heard of, and a seed."""
        self._heard_of = {
            address: since
            for address, since in self._heard_of.items()
            if now - since < FORGET_SECONDS
        }
        addresses = {peer.address for peer in self._living(now)} | set(self._heard_of)
        if len(addresses) < FAN_OUT and self._seeds:
            addresses.add(self._random.choice(self._seeds))
        return self._random.sample(sorted(addresses), min(FAN_OUT, len(addresses)))

    def addresses(self) -> list[str]:
        """Return where other nodes may be: those heard, heard of, and the seeds."""
        known = {peer.address for peer in self._peers.values()}
        return sorted(known | set(self._heard_of) | set(self._seeds))

    def _living(self, now: float) -> list[_Peer]:
        return [peer for peer in self._peers.values() if now - peer.heard_at < FORGET_SECONDS]

    def at_worker(self, worker: str, now: float) -> tuple[float, float]:
        """Return running requests and prompt tokens of all other nodes at a worker.

        Where only some peers were heard of late, their sum stands for all living ones.
        """
        living = self._living(now)
        fresh = [peer for peer in living if now - peer.heard_at < FRESH_SECONDS]
        if not fresh:
            return 0.0, 0.0
        loads = [peer.loads[worker] for peer in fresh if worker in peer.loads]
        share = len(living) / len(fresh)
        running = sum(load.running for load in loads) * share
        return running, sum(load.prompt_tokens for load in loads) * share
