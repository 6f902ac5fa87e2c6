"""Records which requests, identified by fingerprint, crashed the workers that ran them.

A crash is a pair of a request fingerprint and a worker incarnation, so a crash that several nodes
report counts once. A completed run of a request clears all earlier crashes of its fingerprint,
because a worker that crashes takes all its requests with it, and most of them are harmless. Crashes
and clearings are only ever added, so nodes reach the same result in whichever order they arrive.

The module does no I/O; the clock is injected.
"""

import enum
from collections.abc import Callable, Iterable
from typing import NamedTuple

from wheelslip.deployment import Incarnation

TRIAL_THRESHOLD = 2
"""Number of crashes from which a fingerprint is suspected. The fleet runs one suspected request of
a service at a time, so that causes can be told apart. A single crash may have any cause."""

REFUSAL_THRESHOLD = 3
"""Number of crashes from which a fingerprint is refused, provided that one occurred while it ran
alone and that everything else at that worker has been cleared since. Without this condition, a
popular request would be refused after several workers fail at once for an unrelated reason."""

ALONE_REFUSAL_THRESHOLD = 2
"""Number of crashes while running alone that prove the cause if nothing that was lost there explains
other crashes too, and no group of suspected contents explains all of them. With 1, a harmless content
that ran beside three deadly ones at two engines was refused."""

AMBIGUOUS_REFUSAL_THRESHOLD = 3
"""The same whatever else was lost there. Another node may send a request that is not suspected yet to the
worker of a trial."""

BASE_REFUSAL_SECONDS = 60.0
"""Refusal period after the first crash while running alone, doubled by each further one. After it,
trials are allowed again, since the workers may have been repaired."""

MAX_REFUSAL_SECONDS = 600.0
"""Upper bound of the refusal period: workers that are not repaired crash once in this time."""

REPORT_WAIT_SECONDS = 1.0
"""Time for which a refusal waits for other nodes to report what else ran at the crashed worker, if
such a report could make another fingerprint a suspect. Reports arrive through the store 0.1 to 0.3 s
later; without the wait, a harmless content that shared an engine with a deadly one was refused."""

RETENTION_SECONDS = 3600.0
"""Time after its last crash at which a fingerprint is deleted."""

MAX_FINGERPRINTS = 4096
"""Maximum number of stored fingerprints. Those with the fewest uncleared crashes are evicted first,
and among them the oldest."""


class Crash(NamedTuple):
    """A worker incarnation that ended while it ran a request with a fingerprint.

    :ivar alone: no other suspected fingerprint ran at the time.
    """

    fingerprint: str
    incarnation: Incarnation
    alone: bool = False


class _CrashRecord(NamedTuple):
    recorded_at: float
    alone: bool


class FingerprintStatus(enum.Enum):
    """How requests with a fingerprint are handled."""

    FREE = "free"
    TRIAL = "trial"
    REFUSED = "refused"


class CrashLedger:
    """Crashes by request fingerprint.

    :param clock: steady clock in seconds.
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._records: dict[str, dict[Incarnation, _CrashRecord]] = {}
        self._cleared: dict[str, set[Incarnation]] = {}
        self._fingerprints: dict[Incarnation, set[str]] = {}

    def __len__(self) -> int:
        """Return the number of stored fingerprints, including cleared ones."""
        return len(self._records)

    def record(self, crash: Crash) -> bool:
        """Record a crash; return whether it adds information."""
        records = self._records.setdefault(crash.fingerprint, {})
        current = records.get(crash.incarnation)
        if current is not None and current.alone >= crash.alone:
            return False
        records[crash.incarnation] = _CrashRecord(self._clock(), crash.alone)
        self._fingerprints.setdefault(crash.incarnation, set()).add(crash.fingerprint)
        self._trim()
        return True

    def clear(self, crashes: Iterable[Crash]) -> None:
        """Record crashes that a completed run has cleared, at this node or another."""
        is_new = False
        for crash in crashes:
            cleared = self._cleared.setdefault(crash.fingerprint, set())
            is_new = is_new or crash.incarnation not in cleared
            cleared.add(crash.incarnation)
            record = _CrashRecord(self._clock(), crash.alone)
            self._records.setdefault(crash.fingerprint, {}).setdefault(crash.incarnation, record)
        if is_new:
            self._trim()

    def crashes(self, fingerprint: str) -> list[Crash]:
        """Return the uncleared crashes of a fingerprint, the oldest first."""
        return [
            Crash(fingerprint, incarnation, record.alone)
            for incarnation, record in self._uncleared(fingerprint).items()
        ]

    def status(
        self, fingerprint: str, explained: frozenset[Incarnation] = frozenset()
    ) -> FingerprintStatus:
        """Return how requests with a fingerprint are handled now.

        :param explained: crashes that have another cause.
        """
        count = len(self._uncleared(fingerprint, explained))
        if count < TRIAL_THRESHOLD:
            return FingerprintStatus.FREE
        if count < REFUSAL_THRESHOLD or self.refused_seconds(fingerprint, explained) <= 0:
            return FingerprintStatus.TRIAL
        return (
            FingerprintStatus.REFUSED
            if self._is_proven_cause(fingerprint, explained)
            else FingerprintStatus.TRIAL
        )

    def _is_proven_cause(self, fingerprint: str, explained: frozenset[Incarnation]) -> bool:
        """Return whether workers crashed when nothing else can have been the cause."""
        alone = [
            incarnation
            for incarnation, record in self._uncleared(fingerprint, explained).items()
            if record.alone
        ]
        if len(alone) >= AMBIGUOUS_REFUSAL_THRESHOLD:
            return True
        unambiguous = [each for each in alone if not self._has_other_cause(fingerprint, each)]
        if len(unambiguous) >= ALONE_REFUSAL_THRESHOLD and not self._is_explained_by_several(
            fingerprint
        ):
            return True
        return any(
            not self._has_other_suspects(fingerprint, incarnation)
            and not self._awaits_reports(fingerprint, incarnation)
            for incarnation in alone
        )

    def _awaits_reports(self, fingerprint: str, incarnation: Incarnation) -> bool:
        """Return whether a pending report could name another suspect at a crashed worker."""
        if self._clock() >= (
            self._records[fingerprint][incarnation].recorded_at + REPORT_WAIT_SECONDS
        ):
            return False
        # A cleared crash counts as reported, whether the crash or its clearing arrived first.
        return any(
            len(self._uncleared(other)) >= TRIAL_THRESHOLD - 1
            for other, records in self._records.items()
            if other != fingerprint and incarnation not in records
        )

    def pending_report_seconds(self, fingerprint: str) -> float:
        """Return the longest time for which a refusal still waits for reports of other nodes."""
        alone = [key for key, record in self._uncleared(fingerprint).items() if record.alone]
        waits = [
            self._records[fingerprint][incarnation].recorded_at
            + REPORT_WAIT_SECONDS
            - self._clock()
            for incarnation in alone
            if self._awaits_reports(fingerprint, incarnation)
        ]
        return max(waits, default=0.0)

    def ended_at(self, incarnation: Incarnation) -> float | None:
        """Return when the first crash of a worker was recorded; ``None`` without one."""
        fingerprints = self._fingerprints.get(incarnation, ())
        return min(
            (self._records[fingerprint][incarnation].recorded_at for fingerprint in fingerprints),
            default=None,
        )

    def _has_other_suspects(self, fingerprint: str, incarnation: Incarnation) -> bool:
        """Return whether another fingerprint has an uncleared crash at the same incarnation."""
        return bool(self._others_lost_at(fingerprint, incarnation))

    def _has_other_cause(self, fingerprint: str, incarnation: Incarnation) -> bool:
        """Return whether something lost at a crash was also lost in crashes without a fingerprint."""
        own = self._uncleared(fingerprint).keys()
        others = self._others_lost_at(fingerprint, incarnation)
        return any(not self._uncleared(other).keys() <= own for other in others)

    def _is_explained_by_several(self, fingerprint: str) -> bool:
        """Return whether each crash is beside another suspected fingerprint, of which none had all.

        A popular content is lost beside each of several deadly ones.
        """
        own = self._uncleared(fingerprint).keys()
        lost_beside = {other for each in own for other in self._others_lost_at(fingerprint, each)}
        crashes = [self._uncleared(other).keys() & own for other in lost_beside]
        suspected = [each for each in crashes if TRIAL_THRESHOLD <= len(each) < len(own)]
        return frozenset().union(*suspected) == own

    def _others_lost_at(self, fingerprint: str, incarnation: Incarnation) -> list[str]:
        """Return the other fingerprints with an uncleared crash at an incarnation."""
        others = self._fingerprints.get(incarnation, set()) - {fingerprint}
        return [other for other in others if incarnation in self._uncleared(other)]

    def refused_seconds(
        self, fingerprint: str, explained: frozenset[Incarnation] = frozenset()
    ) -> float:
        """Return the time until the refusal period ends, 0 if there is none."""
        records = self._uncleared(fingerprint, explained).values()
        times = [record.recorded_at for record in records if record.alone]
        if not times:
            return 0.0
        seconds = min(MAX_REFUSAL_SECONDS, BASE_REFUSAL_SECONDS * 2 ** (len(times) - 1))
        return max(0.0, max(times) + seconds - self._clock())

    def repeated_at(self, incarnations: Iterable[Incarnation]) -> dict[str, set[Incarnation]]:
        """Return the uncleared crashes of the suspected fingerprints at some incarnations."""
        fingerprints = set().union(*(self._fingerprints.get(each, ()) for each in incarnations))
        crashes = {each: set(self._uncleared(each)) for each in fingerprints}
        return {each: at for each, at in crashes.items() if len(at) >= TRIAL_THRESHOLD}

    def refused_count(self) -> int:
        """Return the number of fingerprints that are refused now."""
        return sum(
            self.status(fingerprint) is FingerprintStatus.REFUSED for fingerprint in self._records
        )

    def _uncleared(
        self, fingerprint: str, explained: frozenset[Incarnation] = frozenset()
    ) -> dict[Incarnation, _CrashRecord]:
        left_out = self._cleared.get(fingerprint, set()) | explained
        records = self._records.get(fingerprint, {})
        return {key: record for key, record in records.items() if key not in left_out}

    def _trim(self) -> None:
        oldest = self._clock() - RETENTION_SECONDS
        for fingerprint in [key for key in self._records if self._last_crash_at(key) < oldest]:
            self._delete(fingerprint)
        while len(self._records) > MAX_FINGERPRINTS:
            self._delete(min(self._records, key=self._retention_key))

    def _last_crash_at(self, fingerprint: str) -> float:
        return max(record.recorded_at for record in self._records[fingerprint].values())

    def _retention_key(self, fingerprint: str) -> tuple[int, float]:
        return len(self._uncleared(fingerprint)), self._last_crash_at(fingerprint)

    def _delete(self, fingerprint: str) -> None:
        for incarnation in self._records.pop(fingerprint):
            fingerprints = self._fingerprints.get(incarnation, set())
            fingerprints.discard(fingerprint)
            if not fingerprints:
                self._fingerprints.pop(incarnation, None)
        self._cleared.pop(fingerprint, None)
