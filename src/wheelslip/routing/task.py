"""The router task: owns the scheduler; request threads talk to it by messages."""

import queue
import random
import threading
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Protocol

from wheelslip.errors import WheelslipError
from wheelslip.events import LogEvent, log_event
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
from wheelslip.routing.prefix_registry import PrefixHint, PrefixPlan, PrefixRegistry
from wheelslip.routing.scheduler import Scheduler

_IDLE_SECONDS = 0.5


@dataclass(frozen=True)
class _Submit:
    request: RoutingRequest
    reply: "queue.SimpleQueue[Decision]"


@dataclass(frozen=True)
class _Act:
    """Run one scheduler call and carry out its decisions."""

    action: Callable[[Scheduler, float], list[Decision] | None]


@dataclass(frozen=True)
class RouterCounts:
    """A snapshot for metrics and policies."""

    waiting: int = 0
    running: int = 0
    engines: int = 0
    known_blocks: int = 0


class HomeLink(Protocol):
    """How the router reaches the home nodes of prefixes."""

    def home_address(self, head: int) -> str | None:
        """Return the home's address, or ``None`` when it is this node."""

    def send(self, address: str, message: HomeLookup | HomeUpdate) -> None:
        """Send a question or news."""

    def answer(self, address: str, head: int, hints: tuple[PrefixHint, ...]) -> None:
        """Send an answer."""


class RouterTask:
    """Runs one :class:`Scheduler` in one thread.

    :ivar counts: replaced after each message, safe to read from any thread.
    """

    def __init__(self, options: SchedulerOptions, home_link: HomeLink):
        self._home_link = home_link
        self._registry = PrefixRegistry()
        self._scheduler = Scheduler(options, random.Random())
        self._mailbox: queue.SimpleQueue[_Submit | _Act | None] = queue.SimpleQueue()
        self._replies: dict[str, queue.SimpleQueue[Decision]] = {}
        self._thread = threading.Thread(target=self._run, name="router", daemon=True)
        self.counts = RouterCounts()

    def start(self) -> None:
        """Begin to decide."""
        self._thread.start()

    def stop(self) -> None:
        """End the task; requests still waiting get no answer, so drain first."""
        self._mailbox.put(None)
        self._thread.join()

    def place(self, request: RoutingRequest) -> Dispatch:
        """Wait for the engine to send a request to.

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
        self._act(lambda scheduler, now: scheduler.first_token(request_id, now))

    def finished(self, request_id: str, cached_tokens: int | None) -> None:
        """Report a complete answer."""
        self._act(lambda scheduler, now: scheduler.finished(request_id, cached_tokens, now))

    def failed(self, request_id: str) -> None:
        """Report that the engine did not answer."""
        self._act(lambda scheduler, now: scheduler.failed(request_id, now))

    def cancelled(self, request_id: str) -> None:
        """Report that a dispatch was not used, or its caller is gone."""
        self._act(lambda scheduler, now: scheduler.cancel(request_id, now))

    def observe_load(self, engine: str, running: int, waiting: int) -> None:
        """Report load that came with an answer."""
        self._act(lambda scheduler, now: scheduler.observe_load(engine, running, waiting, now))

    def update_engine(self, info: EngineInfo) -> None:
        """Report an engine's facts."""
        self._act(lambda scheduler, now: scheduler.update_engine(info, now))

    def remove_engine(self, name: str) -> None:
        """Report that an engine is gone."""
        self._act(lambda scheduler, now: scheduler.remove_engine(name))

    def handle_home_lookup(self, address: str, head: int, plan: PrefixPlan) -> None:
        """Answer another node's question about a prefix whose home is here."""

        def answer(scheduler: Scheduler, now: float) -> None:
            self._home_link.answer(address, head, self._registry.lookup(head, plan, now))

        self._act(answer)

    def handle_home_update(self, head: int, plan: PrefixPlan) -> None:
        """Take another node's news of a prefix whose home is here."""
        self._act(lambda scheduler, now: self._registry.record(head, plan, now))

    def handle_home_reply(self, head: int, hints: tuple[PrefixHint, ...]) -> None:
        """Take the answer of a prefix's home."""
        self._act(lambda scheduler, now: scheduler.handle_home_reply(head, hints, now))

    def _act(self, action: Callable[[Scheduler, float], list[Decision] | None]) -> None:
        self._mailbox.put(_Act(action))

    def _run(self) -> None:
        while True:
            message = self._next_message()
            if message is None:
                return
            try:
                self._take(message)
            except Exception as error:  # the router must outlive any one request
                log_event(LogEvent.TASK_FAILED, task="router", reason=repr(error))
            self._publish_counts()

    def _next_message(self) -> _Submit | _Act | None:
        wakeup = self._scheduler.next_wakeup(time.monotonic())
        timeout = _IDLE_SECONDS
        if wakeup is not None:
            timeout = max(0.0, min(timeout, wakeup - time.monotonic()))
        try:
            return self._mailbox.get(timeout=timeout)
        except queue.Empty:
            return _Act(lambda scheduler, now: scheduler.tick(now))

    def _take(self, message: _Submit | _Act) -> None:
        now = time.monotonic()
        if isinstance(message, _Submit):
            self._replies[message.request.request_id] = message.reply
            decisions = self._scheduler.submit(message.request, now)
        else:
            decisions = message.action(self._scheduler, now)
        self._carry_out(decisions or [], now)

    def _carry_out(self, decisions: list[Decision], now: float) -> None:
        for decision in decisions:
            if isinstance(decision, HomeLookup | HomeUpdate):
                self._talk_to_home(decision, now)
            else:
                self._replies.pop(decision.request_id).put(decision)
                _log_long_prefill(decision)

    def _talk_to_home(self, message: HomeLookup | HomeUpdate, now: float) -> None:
        address = self._home_link.home_address(message.head)
        if address is not None:
            self._home_link.send(address, message)
        elif isinstance(message, HomeUpdate):
            self._registry.record(message.head, message.plan, now)
        else:
            hints = self._registry.lookup(message.head, message.plan, now)
            self._carry_out(self._scheduler.handle_home_reply(message.head, hints, now), now)

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
