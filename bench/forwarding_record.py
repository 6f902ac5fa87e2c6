"""What a randomised run of forwarding nodes has done and seen: the facts that its judge reads.

All times are seconds of the steady clock of the run's own process, which is also that of the
store and the workers.
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
    """One request and what its caller got; ``status`` is 0 when no answer came at all.

    :ivar leaving_worker: id of the worker that wrote the answer's head, if that says that it leaves.
    :ivar limited_worker: the same, if that names a limit.
    :ivar limit: the limit that it names, as it is written.
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
    content: bytes = b"x"
    leaving_worker: str = ""
    limited_worker: str = ""
    limit: str = ""


class Revocation(NamedTuple):
    """A key that was taken away, and from when on it must not be honoured."""

    key: str
    deadline: float


@dataclass
class Strike:
    """A time during which silence of a node is no surprise; starting up is part of it."""

    node: str
    began_at: float
    ended_at: float


class Part(enum.Enum):
    """What a disruption strikes."""

    NODE = "node"
    """One node: its process, its links, or the store's willingness to serve it."""

    CORE = "core"
    """The store, for all nodes."""

    LINK = "link"
    """A network link; named after the worker at its end, or after a node."""

    WORKER = "worker"
    """One worker, which breaks off or misbehaves."""


@dataclass
class Disruption:
    """Something struck one part; ``ended_at`` is infinite while it lasts.

    :ivar planned: a stop by SIGTERM or the start after it.
    """

    part: Part
    name: str
    began_at: float
    ended_at: float = math.inf
    planned: bool = False

    def touches(self, since: float, until: float) -> bool:
        """Whether some of it lies between two moments."""
        return self.began_at <= until and self.ended_at >= since


@dataclass
class Leaving:
    """The store acknowledged that a worker is draining or gone.

    :ivar returned_at: when it was entered as ready again; infinite when it was not.
    """

    worker: str
    acknowledged_at: float
    returned_at: float = math.inf


class Naming(NamedTuple):
    """The store acknowledged a version of the weights."""

    version: int
    acknowledged_at: float


class LimitNamed(NamedTuple):
    """From a moment on, a start of a worker names a limit in its answers; empty for none."""

    worker: PlatformWorker
    at: float
    value: str


class BuildStarted(NamedTuple):
    """A process of a node was started from a checkout of this name."""

    at: float
    node: str
    build: str


@dataclass
class Record:
    """The facts of one run.

    :ivar workers: every instance that ever served, by name.
    :ivar violations: broken promises, found while the run goes on or by its judge.
    """

    began_at: float = field(default_factory=time.monotonic)
    calls: list[Call] = field(default_factory=list)
    revoked: list[Revocation] = field(default_factory=list)
    strikes: list[Strike] = field(default_factory=list)
    disruptions: list[Disruption] = field(default_factory=list)
    leavings: list[Leaving] = field(default_factory=list)
    namings: list[Naming] = field(default_factory=list)
    limits: list[LimitNamed] = field(default_factory=list)
    builds: list[BuildStarted] = field(default_factory=list)
    workers: dict[str, PlatformWorker] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)

    @contextlib.contextmanager
    def disrupted(self, part: Part, name: str = "", planned: bool = False) -> Iterator[Disruption]:
        """Note a disruption for as long as the block lasts."""
        one = Disruption(part, name, time.monotonic(), planned=planned)
        self.disruptions.append(one)
        try:
            yield one
        finally:
            one.ended_at = time.monotonic()

    def note_moment(self, part: Part, name: str = "", planned: bool = False) -> None:
        """Note a disruption without length, such as a start."""
        with self.disrupted(part, name, planned):
            pass

    def seconds(self, moment: float) -> float:
        """Return a moment as seconds since the run began."""
        return round(moment - self.began_at, 3)
