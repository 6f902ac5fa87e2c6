"""Exchange of zone loads between relays by datagrams."""

import asyncio
import random
from collections.abc import Callable, Iterator

from wheelslip.peers.datagrams import DatagramSocket
from wheelslip.routing.load_table import LoadAtWorker, LoadTable, ZoneLoads

LOADS = "loads"
"""Datagram kind of the load reports."""

MIN_REPORT_INTERVAL_SECONDS = 0.1
REPORT_INTERVAL_SECONDS_PER_RELAY = 0.025
"""The interval between reports increases with the number of recipients."""

WORKERS_PER_DATAGRAM = 16
"""Keeps a datagram within a packet of 1,400 bytes."""

SAVED_PROMPTS_PER_REPORT = 24
"""Saved prompts in the first datagram of a report; limited for the same reason."""


class RelayLink:
    """Sends load reports to the other relays and records the reports received from them.

    :param own_loads: returns the loads of this node's requests at the workers.
    :param other_relays: returns the recipients' addresses; empty while this node is no relay.
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
        socket.register(LOADS, ZoneLoads, self._receive)

    def _receive(self, report: ZoneLoads, sender: str) -> None:
        if report.zone != self._zone:
            self._table.record_zone_loads(report, self._clock())

    async def run(self) -> None:
        """Send reports periodically until cancelled."""
        while True:
            interval = REPORT_INTERVAL_SECONDS_PER_RELAY * len(self._other_relays())
            await asyncio.sleep(max(MIN_REPORT_INTERVAL_SECONDS, interval))
            self.send_report()

    def send_report(self) -> None:
        """Send a report if there are other relays and the socket is open."""
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
        saved = self._table.saved.recent(now)[:SAVED_PROMPTS_PER_REPORT]
        for number, first in enumerate(range(0, max(1, len(loads)), WORKERS_PER_DATAGRAM)):
            part = loads[first : first + WORKERS_PER_DATAGRAM]
            yield ZoneLoads(self._zone, number, self._incarnation, self._sequence, part, saved)
            saved = []
