"""The task by which relays tell each other the loads of their zones, by datagrams."""

import asyncio
import random
from collections.abc import Callable, Iterator

from wheelslip.peers.datagrams import DatagramSocket
from wheelslip.routing.load_table import LoadAtWorker, LoadTable, ZoneLoads

LOADS = "loads"
"""Kind of the messages."""

TELL_SECONDS = 0.1
TELL_SECONDS_PER_RELAY = 0.025
"""Pause between two tellings: it grows with the number of relays that are told."""

PART_WORKERS = 16
"""Workers in one datagram, so that it fits a packet of 1,400 bytes."""

PART_PROMPTS = 24
"""Saved prompts in the first datagram, for the same reason."""


class RelayLink:
    """Tells the other relays and takes what they tell.

    :param own_loads: returns what this node has at its workers now.
    :param other_relays: returns the addresses to tell; nobody while this node is no relay.
    """

    def __init__(
        self,
        zone: str,
        socket: DatagramSocket,
        table: LoadTable,
        own_loads: Callable[[], list[LoadAtWorker]],
        other_relays: Callable[[], list[str]],
        clock: Callable[[], float],
        random_source: random.Random,
    ):
        self._zone = zone
        self._socket = socket
        self._table = table
        self._own_loads = own_loads
        self._other_relays = other_relays
        self._clock = clock
        self._incarnation = random_source.getrandbits(48)
        self._sequence = 0
        socket.register(LOADS, ZoneLoads, self._hear)

    def _hear(self, news: ZoneLoads, sender: str) -> None:
        if news.zone != self._zone:
            self._table.record_zone_loads(news, self._clock())

    async def run(self) -> None:
        """Tell the other relays for ever."""
        while True:
            pause = TELL_SECONDS_PER_RELAY * len(self._other_relays())
            await asyncio.sleep(max(TELL_SECONDS, pause))
            self.tell()

    def tell(self) -> None:
        """Tell now, if there is anybody to tell and the socket is open."""
        now = self._clock()
        self._table.drop_expired(now)
        addresses = self._other_relays()
        if not addresses or not self._socket.open:
            return
        self._sequence += 1
        for part in self._parts(self._table.zone_total(now, self._own_loads()), now):
            self._socket.send_to(addresses, LOADS, part)

    def _parts(self, loads: list[LoadAtWorker], now: float) -> Iterator[ZoneLoads]:
        loads = sorted(loads)
        saved = self._table.saved.recent(now)[:PART_PROMPTS]
        for number, first in enumerate(range(0, max(1, len(loads)), PART_WORKERS)):
            part = loads[first : first + PART_WORKERS]
            yield ZoneLoads(self._zone, number, self._incarnation, self._sequence, part, saved)
            saved = []
