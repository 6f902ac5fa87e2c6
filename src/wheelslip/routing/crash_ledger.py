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
"""From so many engines on, a content runs at one engine at a time in the whole fleet, and no other
suspected one beside it: what only ran beside the cause is told from it. One engine may end for any
reason, with all that runs there."""

REFUSED_FROM = 3
"""From so many on it is refused, if one of them ended while the content ran alone in that sense, and
all else that ran there has run whole since: several engines that lose power at one moment all end
under what is asked for often, and a content that ends engines may run beside for the first time (one
that was not under suspicion yet had a harmless one refused in 1 of 16 randomised runs of processes)."""

REFUSED_FROM_ALONE = 2
"""From so many that ended while it ran alone it is refused whatever else ran there. With 1, a content
that ran beside three deadly ones at two engines was refused in 1 of 26 randomised runs of processes."""

REFUSED_SECONDS = 60.0
"""So long after the first engine that ended under it alone one request is tried again, and twice as
long after each further one: a mended engine gets the content back, and what had bad luck too."""

MAX_REFUSED_SECONDS = 600.0
"""No refusal lasts longer: an engine that is not mended ends once in that time."""

REPORT_WAIT_SECONDS = 1.0
"""A verdict waits so long for what other nodes lost at the same engine, where another content could be
suspected by that: the news come 0.1 to 0.3 s later by the store. Without it a harmless content that
shared an engine with a deadly one was refused for 3.4 s in 1 of 53 randomised runs of processes."""

FORGOTTEN_SECONDS = 3600.0
"""A content under which no engine has ended for so long is forgotten."""

MAX_FINGERPRINTS = 4096
"""Most contents kept, some 1 MB; those with the fewest crashes go first, the oldest of them before
others."""


class Crash(NamedTuple):
    """A start of an engine that ended while it ran a content.

    :ivar alone: no other suspected content ran then.
    """

    fingerprint: str
    incarnation: Incarnation
    alone: bool = False


class _Seen(NamedTuple):
    at: float
    alone: bool


class FingerprintStatus(enum.Enum):
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
        self._seen: dict[str, dict[Incarnation, _Seen]] = {}
        self._cleared: dict[str, set[Incarnation]] = {}
        self._ran_at: dict[Incarnation, set[str]] = {}

    def __len__(self) -> int:
        """Return the number of contents that are known, cleared ones included."""
        return len(self._seen)

    def record(self, crash: Crash) -> bool:
        """Take a crash; return whether it is news."""
        starts = self._seen.setdefault(crash.fingerprint, {})
        known = starts.get(crash.incarnation)
        if known is not None and known.alone >= crash.alone:
            return False
        starts[crash.incarnation] = _Seen(self._clock(), crash.alone)
        self._ran_at.setdefault(crash.incarnation, set()).add(crash.fingerprint)
        self._trim()
        return True

    def clear(self, crashes: Iterable[Crash]) -> None:
        """Take what a whole run has cleared, here or at another node."""
        is_news = False
        for one in crashes:
            cleared = self._cleared.setdefault(one.fingerprint, set())
            is_news = is_news or one.incarnation not in cleared
            cleared.add(one.incarnation)
            seen = _Seen(self._clock(), one.alone)
            self._seen.setdefault(one.fingerprint, {}).setdefault(one.incarnation, seen)
        if is_news:
            self._trim()

    def crashes(self, content: str) -> list[Crash]:
        """Return the crashes of a content that no whole run has cleared, the oldest first."""
        return [Crash(content, start, one.alone) for start, one in self._open(content).items()]

    def status(self, content: str) -> FingerprintStatus:
        """Return what is done with a request of a content now."""
        count = len(self._open(content))
        if count < TRIAL_FROM:
            return FingerprintStatus.FREE
        if count < REFUSED_FROM or self.refused_seconds(content) <= 0:
            return FingerprintStatus.TRIAL
        return FingerprintStatus.REFUSED if self._is_the_cause(content) else FingerprintStatus.TRIAL

    def _is_the_cause(self, content: str) -> bool:
        """Whether engines ended under a content while nothing else can have been the cause."""
        alone = [start for start, one in self._open(content).items() if one.alone]
        if len(alone) >= REFUSED_FROM_ALONE:
            return True
        return any(
            not self._others_open(content, start) and not self._awaits_news(content, start)
            for start in alone
        )

    def _awaits_news(self, content: str, start: Incarnation) -> bool:
        """Whether news of another content at the same start may still come, and would matter."""
        if self._clock() >= self._seen[content][start].at + REPORT_WAIT_SECONDS:
            return False
        # What a clearing told of is known too, whichever of it and the crash came first.
        return any(
            len(self._open(other)) >= TRIAL_FROM - 1
            for other, starts in self._seen.items()
            if other != content and start not in starts
        )

    def pending_report_seconds(self, content: str) -> float:
        """Return for how long the verdict on a content still waits for news, at most."""
        starts = [start for start, one in self._open(content).items() if one.alone]
        waits = [
            self._seen[content][one].at + REPORT_WAIT_SECONDS - self._clock()
            for one in starts
            if self._awaits_news(content, one)
        ]
        return max(waits, default=0.0)

    def ended_at(self, start: Incarnation) -> float | None:
        """Return when this node learned that a start of an engine has ended, ``None`` if it has not."""
        contents = self._ran_at.get(start, ())
        return min((self._seen[one][start].at for one in contents), default=None)

    def _others_open(self, content: str, start: Incarnation) -> bool:
        """Whether another content ran at a start that ended and has not run whole since."""
        others = self._ran_at.get(start, set()) - {content}
        return any(start in self._open(other) for other in others)

    def refused_seconds(self, content: str) -> float:
        """Return the seconds until a refused content may be tried again, 0 for one that is not."""
        alone = [one.at for one in self._open(content).values() if one.alone]
        if not alone:
            return 0.0
        seconds = min(MAX_REFUSED_SECONDS, REFUSED_SECONDS * 2 ** (len(alone) - 1))
        return max(0.0, max(alone) + seconds - self._clock())

    def refused_count(self) -> int:
        """Return the number of contents that are refused now."""
        return sum(self.status(one) is FingerprintStatus.REFUSED for one in self._seen)

    def _open(self, content: str) -> dict[Incarnation, _Seen]:
        cleared = self._cleared.get(content, set())
        starts = self._seen.get(content, {})
        return {start: one for start, one in starts.items() if start not in cleared}

    def _trim(self) -> None:
        oldest = self._clock() - FORGOTTEN_SECONDS
        for content in [one for one in self._seen if self._last(one) < oldest]:
            self._forget(content)
        while len(self._seen) > MAX_FINGERPRINTS:
            self._forget(min(self._seen, key=self._worth_keeping))

    def _last(self, content: str) -> float:
        return max(one.at for one in self._seen[content].values())

    def _worth_keeping(self, content: str) -> tuple[int, float]:
        return len(self._open(content)), self._last(content)

    def _forget(self, content: str) -> None:
        for start in self._seen.pop(content):
            contents = self._ran_at.get(start, set())
            contents.discard(content)
            if not contents:
                self._ran_at.pop(start, None)
        self._cleared.pop(content, None)
