"""Record of a randomised run of forwarding nodes: injected faults, calls and worker activity.

All times are seconds of the monotonic clock of the process that runs the callers, the store and the
workers.
"""

import contextlib
import enum
import math
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from standins.platform_worker import PlatformWorker


class Call(NamedTuple):
    """A request and its response; ``status`` is 0 when there was no response.

    :ivar leaving_worker: id of the worker that sent the response header, if the header announces
        that the worker is leaving; empty otherwise.
    :ivar limited_worker: the same, if the header announces a rate limit.
    :ivar limit: the announced rate limit, as it is written in the header.
    :ivar retry_after: value of the ``Retry-After`` header; empty without it.
    :ivar prompt: parts of the prompt; empty if they were drawn.
    :ivar deadline_ms: time that the caller gave; 0 for none.
    """

    node: str
    request_id: str
    path: str
    key: str
    sent_at: float
    ended_at: float
    status: int
    body: bytes
    complete: bool
    error: str = ""
    request_body: bytes = b"x"
    leaving_worker: str = ""
    limited_worker: str = ""
    limit: str = ""
    retry_after: str = ""
    prompt: str = ""
    deadline_ms: int = 0

    @property
    def service(self) -> str:
        """Service of the route."""
        return "plain" if self.path.startswith(("/plain", "/safe")) else "engines"


class Revocation(NamedTuple):
    """A revoked API key, and the time from which requests with it must be refused."""

    key: str
    deadline: float


@dataclass
class NodeOutage:
    """A period in which a node may leave calls unanswered, including its startup."""

    node: str
    began_at: float
    ended_at: float


class Component(enum.Enum):
    """Kind of component that a disruption affects."""

    NODE = "node"
    """One node: its process, its connections, or its access to the store."""

    CORE = "core"
    """The store, for all nodes."""

    LINK = "link"
    """A network link, identified by the worker or node behind it."""

    WORKER = "worker"
    """One worker, which exits or misbehaves."""


@dataclass
class Disruption:
    """A disruption of one component; ``ended_at`` is infinite while it lasts.

    :ivar name: of the node or of the worker's incarnation; empty for the store.
    :ivar planned: whether it is a stop by SIGTERM or the start that follows.
    """

    component: Component
    name: str
    began_at: float
    ended_at: float = math.inf
    planned: bool = False

    def overlaps(self, since: float, until: float) -> bool:
        """Whether the disruption overlaps a time range, bounds included."""
        return self.began_at <= until and self.ended_at >= since


@dataclass
class Departure:
    """Withdrawal of a worker from use, acknowledged by the store.

    The worker's entry was removed, marked as draining or made unusable.

    :ivar worker: name of the worker's incarnation.
    :ivar returned_at: when its entry was ready again; infinite if it never was.
    """

    worker: str
    acknowledged_at: float
    returned_at: float = math.inf


class DesiredVersion(NamedTuple):
    """Desired weights version that the store acknowledged."""

    version: int
    acknowledged_at: float


class AnnouncedLimit(NamedTuple):
    """Rate limit that a worker announces in its responses from a time on; empty for none."""

    worker: PlatformWorker
    at: float
    value: str


class ProcessStart(NamedTuple):
    """Start of a node's process, and the name of the checkout that it runs."""

    at: float
    node: str
    build: str


class PathCut(NamedTuple):
    """Period in which a node has no path to any worker.

    :ivar ends_exchanges: whether open connections are cut as well.
    """

    node: str
    began_at: float
    ended_at: float
    ends_exchanges: bool = True


@dataclass
class Record:
    """Everything that is recorded in one run.

    :ivar workers: all workers that were ever started, by the name of their incarnation.
    :ivar worker_started_at: when they were started, by the same name.
    :ivar violations: descriptions of broken guarantees.
    :ivar other_streams: when requests for streams were sent that are checked by their callers and are
        no calls here, by id.
    """

    began_at: float = field(default_factory=time.monotonic)
    calls: list[Call] = field(default_factory=list)
    revocations: list[Revocation] = field(default_factory=list)
    node_outages: list[NodeOutage] = field(default_factory=list)
    disruptions: list[Disruption] = field(default_factory=list)
    departures: list[Departure] = field(default_factory=list)
    desired_versions: list[DesiredVersion] = field(default_factory=list)
    announced_limits: list[AnnouncedLimit] = field(default_factory=list)
    process_starts: list[ProcessStart] = field(default_factory=list)
    path_cuts: list[PathCut] = field(default_factory=list)
    workers: dict[str, PlatformWorker] = field(default_factory=dict)
    worker_started_at: dict[str, float] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    other_streams: dict[str, float] = field(default_factory=dict)

    @contextlib.contextmanager
    def disrupted(
        self, component: Component, name: str = "", planned: bool = False
    ) -> Iterator[Disruption]:
        """Record a disruption that lasts as long as the ``with`` block."""
        disruption = Disruption(component, name, time.monotonic(), planned=planned)
        self.disruptions.append(disruption)
        try:
            yield disruption
        finally:
            disruption.ended_at = time.monotonic()

    def record_moment(self, component: Component, name: str = "", planned: bool = False) -> None:
        """Record a disruption without duration, such as a start."""
        with self.disrupted(component, name, planned):
            pass

    def seconds(self, moment: float) -> float:
        """Return a monotonic time as seconds since the start of the run, to milliseconds."""
        return round(moment - self.began_at, 3)
