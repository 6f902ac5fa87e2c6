"""Exchange of the rate limits that workers announce.

A node reports observations from responses to all relays at once, because one of them meters the
limits: a new or changed limit, and each response without a limit while one is recorded. The relays
decide when a limit is lifted and forward changes to their followers. Reports are repeated because
datagrams may be lost and a restarted relay has no records.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import NamedTuple

from wheelslip.peers.datagrams import DatagramSocket
from wheelslip.routing.limits.named_limits import LimitReport, WorkerRateLimits

LIMITS = "limits"
"""Kind of the datagrams."""

REPORT_INTERVAL_SECONDS = 1.0
"""Interval between repeated reports of an unchanged limit."""

REPORTS_PER_DATAGRAM = 16
"""Reports in one datagram, which has to fit in 1,400 bytes."""


class LimitReportBatch(NamedTuple):
    """Reports the limits of some workers as recorded by the sender."""

    reports: list[LimitReport]


class LimitReporter:
    """Sends and receives reports of worker rate limits.

    :param address: address of this node, ``IP:PORT``.
    :param apply_report: applies a report of the node at an address; the flag states if responses
        without a limit count towards lifting it. Returns whether the recorded limit changed.
    :param relays: returns the addresses of all relays.
    :param followers: returns the addresses of the followers of this node.
    """

    def __init__(
        self,
        address: str,
        socket: DatagramSocket,
        limits: WorkerRateLimits,
        apply_report: Callable[[LimitReport, str, bool], bool],
        relays: Callable[[], list[str]],
        followers: Callable[[], list[str]],
    ):
        self._address = address
        self._socket = socket
        self._limits = limits
        self._apply_report = apply_report
        self._relays = relays
        self._followers = followers
        socket.register(LIMITS, LimitReportBatch, self._handle_reports)

    async def run(self) -> None:
        """Repeat reports periodically until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)
            self._repeat_reports()

    def _repeat_reports(self) -> None:
        """Repeat the direct observations of this node, or all recorded limits if it is a relay."""
        direct = self._limits.drain_direct_reports()
        if self._is_relay():
            receivers = {*self._relays(), *self._followers()}
            self._send(self._without_self(receivers), self._limits.reports())
        else:
            self._send(self._without_self(self._relays()), direct)

    def report_observation(self, report: LimitReport) -> None:
        """Report an observation from a response to this node."""
        self._send(self._without_self(self._relays()), [report])
        if self._is_relay() and self._limits.rate(report.incarnation) == report.rate:
            self._send(self._without_self(self._followers()), [report])

    def report_to(self, address: str) -> None:
        """Report all recorded limits to the node at an address."""
        self._send([address], self._limits.reports())

    def _is_relay(self) -> bool:
        return self._address in self._relays()

    def _without_self(self, addresses: Iterable[str]) -> list[str]:
        return sorted(set(addresses) - {self._address})

    def _send(self, addresses: list[str], reports: list[LimitReport]) -> None:
        if not addresses:
            return
        for start in range(0, len(reports), REPORTS_PER_DATAGRAM):
            part = LimitReportBatch(reports[start : start + REPORTS_PER_DATAGRAM])
            self._socket.send_to(addresses, LIMITS, part)

    def _handle_reports(self, message: LimitReportBatch, sender: str) -> None:
        is_relay = self._is_relay()
        changed = [
            report.incarnation
            for report in message.reports
            if self._apply_report(report, sender, is_relay)
        ]
        if not is_relay:
            return
        self._send(
            self._without_self(self._followers()),
            [self._limits.report(incarnation) for incarnation in changed],
        )
        # A sender that missed the lifting of a limit would keep returning uncharged grants.
        self._send([sender], self._limits.corrections(message.reports))
