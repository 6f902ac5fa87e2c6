"""Which contents of requests ended the engines that ran them, as far as a node knows.

Each crash is one pair of a content and a start of an engine, so nodes that learn of the same one
count it once. A whole run clears the pairs that its content had until then: an engine that ends takes
all that ran there with it, and most of that is harmless. Pairs and clearings are only ever added,
so it does not matter in which order they come. Pure state: no sockets, the clock is injected.
"""

import enum
from collections.abc import Callable, Iterable
from typing import NamedTuple

from wheelslip.deployment import Incarnation

TRIAL_FROM = 2
"""From so many engines on, a content runs at one engine at a time in the whole fleet: what only ran
beside the cause is told from it. One engine may end for any reason, with all that runs there."""

REFUSED_FROM = 3
"""From so many on it is refused: three at most end under one content before all nodes know."""

REFUSED_SECONDS = 600.0
"""So long after the last crash one request is tried again: a mended engine gets it back, and one
that is not ends once in that time."""

FORGOTTEN_SECONDS = 3600.0
"""A content under which no engine has ended for so long is forgotten."""

MAX_CONTENTS = 4096
"""Most contents kept, some 1 MB; those with the fewest crashes go first, the oldest of them before
others."""


class Crash(NamedTuple):
    """A start of an engine that ended while it ran a content."""

    content: str
    start: Incarnation


class Standing(enum.Enum):
    """What is done with a request of a content."""

    FREE = "free"
    TRIAL = "trial"
    REFUSED = "refused"


class CrashLedger:
    """Crashes by content.

    :param clock: steady clock in seconds.
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._seen_at: dict[str, dict[Incarnation, float]] = {}
        self._cleared: dict[str, set[Incarnation]] = {}

    def __len__(self) -> int:
        """Return the number of contents that are known, cleared ones included."""
        return len(self._seen_at)

    def take(self, crash: Crash) -> bool:
        """Take a crash; return whether it is news."""
        starts = self._seen_at.setdefault(crash.content, {})
        if crash.start in starts:
            return False
        starts[crash.start] = self._clock()
        self._trim()
        return True

    def clear(self, crashes: Iterable[Crash]) -> None:
        """Take what a whole run has cleared, here or at another node."""
        for one in crashes:
            self._cleared.setdefault(one.content, set()).add(one.start)
            self._seen_at.setdefault(one.content, {}).setdefault(one.start, self._clock())
        self._trim()

    def crashes(self, content: str) -> list[Crash]:
        """Return the crashes of a content that no whole run has cleared, the oldest first."""
        return [Crash(content, start) for start in self._open(content)]

    def standing(self, content: str) -> Standing:
        """Return what is done with a request of a content now."""
        count = len(self._open(content))
        if count < TRIAL_FROM:
            return Standing.FREE
        if count < REFUSED_FROM or self.refused_seconds(content) <= 0:
            return Standing.TRIAL
        return Standing.REFUSED

    def refused_seconds(self, content: str) -> float:
        """Return the seconds until a refused content may be tried again."""
        last = max(self._open(content).values(), default=float("-inf"))
        return last + REFUSED_SECONDS - self._clock()

    def refused(self) -> int:
        """Return the number of contents that are refused now."""
        return sum(self.standing(one) is Standing.REFUSED for one in self._seen_at)

    def _open(self, content: str) -> dict[Incarnation, float]:
        cleared = self._cleared.get(content, set())
        starts = self._seen_at.get(content, {})
        return {start: seen_at for start, seen_at in starts.items() if start not in cleared}

    def _trim(self) -> None:
        oldest = self._clock() - FORGOTTEN_SECONDS
        for content in [one for one in self._seen_at if self._last(one) < oldest]:
            self._forget(content)
        while len(self._seen_at) > MAX_CONTENTS:
            self._forget(min(self._seen_at, key=self._worth_keeping))

    def _last(self, content: str) -> float:
        return max(self._seen_at[content].values())

    def _worth_keeping(self, content: str) -> tuple[int, float]:
        return len(self._open(content)), self._last(content)

    def _forget(self, content: str) -> None:
        del self._seen_at[content]
        self._cleared.pop(content, None)
