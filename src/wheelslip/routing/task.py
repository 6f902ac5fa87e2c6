"""Router task: a thread that owns the scheduler and receives messages from request threads."""

import queue
import random
import threading
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Protocol

from wheelslip.errors import WheelslipError
from wheelslip.events import LogEvent, log_event
from wheelslip.routing.caches.prefix_registry import PrefixHint, PrefixPlan, PrefixRegistry
from wheelslip.routing.cost import SchedulerOptions
from wheelslip.routing.model import (
    Decision,
    Dispatch,
    EngineInfo,
    HomeLookup,
    HomeUpdate,
    Refusal,
    RoutingRequest,
)
from wheelslip.routing.scheduler import Scheduler

_MAX_TICK_INTERVAL_SECONDS = 0.5


@dataclass(frozen=True)
class _Submit:
    request: RoutingRequest
    reply: "queue.SimpleQueue[Decision]"


@dataclass(frozen=True)
class _SchedulerCall:
    """A call to the scheduler whose decisions are then applied."""

    action: Callable[[Scheduler, float], list[Decision] | None]


@dataclass(frozen=True)
class RouterCounts:
    """Snapshot of the scheduler's counters, for metrics and policies."""

    waiting: int = 0
    running: int = 0
    engines: int = 0
    known_blocks: int = 0


class HomeLink(Protocol):
    """Transport between the router and the home nodes of prefixes."""

    def home_address(self, head: int) -> str | None:
        """Return the address of a prefix's home node; ``None`` when it is this node."""

    def send(self, address: str, message: HomeLookup | HomeUpdate) -> None:
        """Send a lookup or an update to a home node."""

    def reply(self, address: str, head: int, hints: tuple[PrefixHint, ...]) -> None:
        """Reply to a lookup of another node."""


class RouterTask:
    """Runs a :class:`Scheduler` in a thread of its own. The public methods are thread-safe.

    :ivar counts: replaced after each message.
    """

    def __init__(self, options: SchedulerOptions, home_link: HomeLink):
        self._home_link = home_link
        self._registry = PrefixRegistry()
        self._scheduler = Scheduler(options, random.Random())
        self._mailbox: queue.SimpleQueue[_Submit | _SchedulerCall | None] = queue.SimpleQueue()
        self._replies: dict[str, queue.SimpleQueue[Decision]] = {}
        self._thread = threading.Thread(target=self._run, name="router", daemon=True)
        self.counts = RouterCounts()

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread. Drain first: callers that still wait in :meth:`place` block forever."""
        self._mailbox.put(None)
        self._thread.join()

    def place(self, request: RoutingRequest) -> Dispatch:
        """Submit a request and block until it is dispatched to an engine.

        :raises WheelslipError: when the request is refused.
        """
        reply: queue.SimpleQueue[Decision] = queue.SimpleQueue()
        self._mailbox.put(_Submit(request, reply))
        decision = reply.get()
        if isinstance(decision, Refusal):
            message = f"request {request.request_id}: {decision.kind.value}"
            raise WheelslipError(decision.kind, message, decision.retry_after_seconds)
        return decision

    def first_token(self, request_id: str) -> None:
        """Report the first token of a request."""
        self._call(lambda scheduler, now: scheduler.first_token(request_id, now))

    def finished(self, request_id: str, cached_tokens: int | None) -> None:
        """Report a completed request; ``cached_tokens`` is ``None`` if the engine sent none."""
        self._call(lambda scheduler, now: scheduler.finished(request_id, cached_tokens, now))

    def failed(self, request_id: str) -> None:
        """Report that the engine did not respond."""
        self._call(lambda scheduler, now: scheduler.failed(request_id, now))

    def cancelled(self, request_id: str) -> None:
        """Report that a dispatch was not used or that the caller has disconnected."""
        self._call(lambda scheduler, now: scheduler.cancel(request_id, now))

    def observe_load(self, engine: str, running: int, waiting: int) -> None:
        """Report the load that an engine sent with a response."""
        self._call(lambda scheduler, now: scheduler.observe_load(engine, running, waiting, now))

    def update_engine(self, info: EngineInfo) -> None:
        """Add or update an engine."""
        self._call(lambda scheduler, now: scheduler.update_engine(info, now))

    def remove_engine(self, name: str) -> None:
        """Remove an engine."""
        self._call(lambda scheduler, now: scheduler.remove_engine(name))

    def handle_home_lookup(self, address: str, head: int, plan: PrefixPlan) -> None:
        """Reply to another node's lookup of a prefix whose home is this node."""

        def reply(scheduler: Scheduler, now: float) -> None:
            self._home_link.reply(address, head, self._registry.lookup(head, plan, now))

        self._call(reply)

    def handle_home_update(self, head: int, plan: PrefixPlan) -> None:
        """Record another node's update of a prefix whose home is this node."""
        self._call(lambda scheduler, now: self._registry.record(head, plan, now))

    def handle_home_reply(self, head: int, hints: tuple[PrefixHint, ...]) -> None:
        """Pass the reply of a prefix's home node to the scheduler."""
        self._call(lambda scheduler, now: scheduler.handle_home_reply(head, hints, now))

    def _call(self, action: Callable[[Scheduler, float], list[Decision] | None]) -> None:
        self._mailbox.put(_SchedulerCall(action))

    def _run(self) -> None:
        while True:
            message = self._next_message()
            if message is None:
                return
            try:
                self._handle(message)
            except Exception as error:  # keep routing when one message fails
                log_event(LogEvent.TASK_FAILED, task="router", reason=repr(error))
            self._publish_counts()

    def _next_message(self) -> _Submit | _SchedulerCall | None:
        wakeup = self._scheduler.next_wakeup(time.monotonic())
        timeout = _MAX_TICK_INTERVAL_SECONDS
        if wakeup is not None:
            timeout = max(0.0, min(timeout, wakeup - time.monotonic()))
        try:
            return self._mailbox.get(timeout=timeout)
        except queue.Empty:
            return _SchedulerCall(lambda scheduler, now: scheduler.tick(now))

    def _handle(self, message: _Submit | _SchedulerCall) -> None:
        now = time.monotonic()
        if isinstance(message, _Submit):
            self._replies[message.request.request_id] = message.reply
            decisions = self._scheduler.submit(message.request, now)
        else:
            decisions = message.action(self._scheduler, now)
        self._apply(decisions or [], now)

    def _apply(self, decisions: list[Decision], now: float) -> None:
        for decision in decisions:
            if isinstance(decision, HomeLookup | HomeUpdate):
                self._contact_home(decision, now)
            else:
                self._replies.pop(decision.request_id).put(decision)
                _log_long_prefill(decision)

    def _contact_home(self, message: HomeLookup | HomeUpdate, now: float) -> None:
        address = self._home_link.home_address(message.head)
        if address is not None:
            self._home_link.send(address, message)
        elif isinstance(message, HomeUpdate):
            self._registry.record(message.head, message.plan, now)
        else:
            hints = self._registry.lookup(message.head, message.plan, now)
            self._apply(self._scheduler.handle_home_reply(message.head, hints, now), now)

    def _publish_counts(self) -> None:
        scheduler = self._scheduler
        self.counts = RouterCounts(
            scheduler.waiting_count,
            scheduler.running_count,
            len(scheduler.engines()),
            scheduler.known_blocks,
        )


def _log_long_prefill(decision: Dispatch | Refusal) -> None:
    if isinstance(decision, Dispatch) and decision.long_prefill is not None:
        log_event(
            LogEvent.PROMPT_COMPUTED,
            request=decision.request_id,
            engine=decision.engine.name,
            **asdict(decision.long_prefill),
        )
