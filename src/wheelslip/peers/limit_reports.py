"""Reports the rate limits that workers name to other nodes, and takes their reports.

A node reports what it sees in answers to all relays at once, since one of them counts for the
limits: a limit that is news, and each answer without one while it still believes in one. The relays
decide when a limit has ended, and pass changes on to the nodes that follow them. Reports are
repeated: datagrams are lost, and a relay that has started again knows nothing.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import NamedTuple

from wheelslip.peers.datagrams import DatagramSocket
from wheelslip.routing.named_limits import LimitReport, WorkerRateLimits

LIMITS = "limits"
"""Kind of the messages."""

REPEAT_SECONDS = 1.0
"""Pause between two reports of a limit that has not changed."""

PART_REPORTS = 16
"""Reports in one datagram, so that it fits a packet of 1,400 bytes."""


class LimitsReported(NamedTuple):
    """Limits of some workers as the sender believes them."""

    reports: list[LimitReport]


class LimitReports:
    """Reports limits to other nodes.

    :param address: of this node, ``IP:PORT``.
    :param take: takes the report of the node at an address, and whether answers without a limit are
        to be counted; returns whether it changed a belief.
    :param relays: returns the addresses of all relays.
    :param followers: returns the addresses of the nodes that follow this one.
    """

    def __init__(
        self,
        address: str,
        socket: DatagramSocket,
        limits: WorkerRateLimits,
        take: Callable[[LimitReport, str, bool], bool],
        relays: Callable[[], list[str]],
        followers: Callable[[], list[str]],
    ):
        self._address = address
        self._socket = socket
        self._limits = limits
        self._take = take
        self._relays = relays
        self._followers = followers
        socket.register(LIMITS, LimitsReported, self._received)

    async def run(self) -> None:
        """Repeat reports for ever."""
        while True:
            await asyncio.sleep(REPEAT_SECONDS)
            self._repeat()

    def _repeat(self) -> None:
        """Repeat what answers to this node have shown; a relay repeats all that it believes."""
        direct = self._limits.drain_direct_reports()
        if self._is_relay():
            receivers = {*self._relays(), *self._followers()}
            self._send(self._others(receivers), self._limits.reports())
        else:
            self._send(self._others(self._relays()), direct)

    def announce(self, report: LimitReport) -> None:
        """Report what this node has seen in an answer."""
        self._send(self._others(self._relays()), [report])
        if self._is_relay() and self._limits.rate(report.incarnation) == report.rate:
            self._send(self._others(self._followers()), [report])

    def report_to(self, address: str) -> None:
        """Report all limits to a node that may not know them."""
        self._send([address], self._limits.reports())

    def _is_relay(self) -> bool:
        return self._address in self._relays()

    def _others(self, addresses: Iterable[str]) -> list[str]:
        return sorted(set(addresses) - {self._address})

    def _send(self, addresses: list[str], reports: list[LimitReport]) -> None:
        if not addresses:
            return
        for first in range(0, len(reports), PART_REPORTS):
            part = LimitsReported(reports[first : first + PART_REPORTS])
            self._socket.send_to(addresses, LIMITS, part)

    def _received(self, message: LimitsReported, sender: str) -> None:
        is_relay = self._is_relay()
        changed = [one.incarnation for one in message.reports if self._take(one, sender, is_relay)]
        if not is_relay:
            return
        self._send(self._others(self._followers()), [self._limits.report(one) for one in changed])
        # A node that missed the end of a limit would hand back grants for ever.
        self._send([sender], self._limits.corrections(message.reports))
