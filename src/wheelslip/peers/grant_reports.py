"""Grants of this node's requests, and the reports about them to dispatchers.

Nodes report their running requests and recently cached prompts to a new dispatcher, so that it can
rebuild the state of the previous one.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from wheelslip.events import LogEvent, log_event
from wheelslip.peers.datagrams import DatagramSocket
from wheelslip.peers.dispatch_messages import (
    BRITTLE,
    CACHED_PROMPTS,
    ITEMS_PER_DATAGRAM,
    PROGRESS,
    RUNNING,
    BrittleReport,
    CachedPromptsReport,
    ProgressReport,
    RunningReport,
)
from wheelslip.peers.queue_link import QueueLink
from wheelslip.routing.caches.fleet_memory import CachedPrompt
from wheelslip.routing.dispatcher import Dispatcher, Progress, QueryId
from wheelslip.routing.fleet_choice import RunningRequest
from wheelslip.routing.placement import Placement

RUNNING_REPORT_SECONDS = 1.0
"""Interval between reports of running requests."""

CACHED_PROMPT_SECONDS = 8.0
"""Time for which a cached prompt is reported to new dispatchers; under load, workers evict it
after about as long."""

MAX_CACHED_PROMPTS = 256
"""Maximum number of recorded prompts."""


class _RecentPrompt(NamedTuple):
    """A prompt that a worker has cached, recorded for a new dispatcher."""

    expires_at: float
    service: str
    prompt: CachedPrompt


@dataclass
class Grant:
    """A worker granted to one request of this node.

    :ivar dispatcher: address of the node that issued the grant.
    :ivar queued: the request may have waited for the grant in the queue of the dispatcher.
    """

    query_id: QueryId
    dispatcher: str
    service: str
    placement: Placement
    had_first_token: bool = False
    queued: bool = False

    def as_running_request(self) -> RunningRequest:
        """Return the request as reported to a dispatcher."""
        placement = self.placement
        return RunningRequest(
            self.query_id.number,
            placement.worker.info.id,
            placement.weights_version,
            placement.chain,
            0 if self.had_first_token else placement.prefill_tokens,
            placement.held_tokens,
        )


class GrantReports:
    """Keeps the grants of running requests and reports them to the dispatchers.

    :param incarnation: incarnation of this node, random at each start.
    :param address: address of this node, ``IP:PORT``.
    :param dispatcher: dispatcher of this node, called directly if it is the one to tell.
    :param queue: requests of this node that wait at dispatchers.
    :param is_brittle: returns whether the workers of a service are brittle, as this node knows.
    """

    def __init__(
        self,
        incarnation: str,
        address: str,
        socket: DatagramSocket,
        dispatcher: Dispatcher,
        queue: QueueLink,
        is_brittle: Callable[[str], bool],
        clock: Callable[[], float],
    ):
        self._is_brittle = is_brittle
        self._incarnation = incarnation
        self._address = address
        self._socket = socket
        self._dispatcher = dispatcher
        self._queue = queue
        self._clock = clock
        self._grants: dict[int, Grant] = {}
        self._current_dispatchers: dict[str, tuple[str, str]] = {}
        self._recent_prompts: deque[_RecentPrompt] = deque(maxlen=MAX_CACHED_PROMPTS)

    def add(self, grant: Grant) -> None:
        """Add the grant of a request that is about to be sent."""
        self._grants[grant.query_id.number] = grant

    def has_grant(self, query_number: int) -> bool:
        """Return whether the grant for a query belongs to a running request."""
        return query_number in self._grants

    def report_progress(self, grant: Grant, progress: Progress) -> None:
        """Report progress to the dispatchers; all values but ``FIRST_TOKEN`` end the grant."""
        if progress is Progress.FIRST_TOKEN:
            grant.had_first_token = True
            self._record_cached_prompt(grant)
        else:
            self._grants.pop(grant.query_id.number, None)
        current, _ = self._current_dispatchers.get(grant.service, (grant.dispatcher, ""))
        for address in {grant.dispatcher, current}:
            self.send_progress(address, grant.query_id, progress)

    def _record_cached_prompt(self, grant: Grant) -> None:
        placement = grant.placement
        if placement.chain:
            prompt = CachedPrompt(placement.worker.info.id, placement.chain)
            self._recent_prompts.append(
                _RecentPrompt(self._clock() + CACHED_PROMPT_SECONDS, grant.service, prompt)
            )

    def send_progress(self, address: str, query_id: QueryId, progress: Progress) -> None:
        """Report the progress of a query to one dispatcher."""
        if address == self._address:
            self._dispatcher.record_progress(query_id, progress)
            self._queue.capacity_changed()
        else:
            self._socket.send(address, PROGRESS, ProgressReport(*query_id, progress))

    async def run(self) -> None:
        """Report running requests to the dispatchers periodically until cancelled."""
        while True:
            await asyncio.sleep(RUNNING_REPORT_SECONDS)
            services = {grant.service for grant in self._grants.values()}
            # A grant whose final report was lost ends when it is not listed. Without a report it
            # would hold its slot for as long as this node's waiting requests are renewed.
            for service in services | self._queue.services():
                self._report_running(service)

    def follow_dispatcher(self, service: str, address: str, incarnation: str) -> bool:
        """Record the dispatcher of a service and report the state of this node if it is new.

        :return: whether it is new.
        """
        if self._current_dispatchers.get(service) == (address, incarnation):
            return False
        self._current_dispatchers[service] = (address, incarnation)
        log_event(LogEvent.DISPATCHER_FOLLOWED, dispatcher=address, workload=service)
        self._report_running(service)
        self._report_cached_prompts(service, address)
        return True

    def _report_cached_prompts(self, service: str, address: str) -> None:
        now = self._clock()
        prompts = [
            recent.prompt
            for recent in self._recent_prompts
            if recent.service == service and now < recent.expires_at
        ]
        for start in range(0, len(prompts), ITEMS_PER_DATAGRAM):
            part = prompts[start : start + ITEMS_PER_DATAGRAM]
            if address == self._address:
                self._dispatcher.record_cached_prompts(part)
            else:
                self._socket.send(address, CACHED_PROMPTS, CachedPromptsReport(part))

    def _report_running(self, service: str) -> None:
        address, _ = self._current_dispatchers.get(service, ("", ""))
        grants = [grant for grant in self._grants.values() if grant.service == service]
        query_numbers = list(self._grants)
        if not address:
            return
        if self._is_brittle(service) and address != self._address:
            self._socket.send(address, BRITTLE, BrittleReport(service))
        for start in range(0, max(1, len(grants)), ITEMS_PER_DATAGRAM):
            part = [
                grant.as_running_request() for grant in grants[start : start + ITEMS_PER_DATAGRAM]
            ]
            if address == self._address:
                self._dispatcher.reconcile_running(self._incarnation, query_numbers, part)
            else:
                self._socket.send(
                    address, RUNNING, RunningReport(self._incarnation, query_numbers, part)
                )
