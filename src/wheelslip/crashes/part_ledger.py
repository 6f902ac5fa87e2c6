"""Records which prompt parts crash the workers that begin to answer them.

A part crashes workers whatever else the request holds, so the bodies differ and the fingerprints of
:mod:`wheelslip.crashes.ledger` never repeat. A worker that crashes takes all its requests with it,
so most of the parts recorded at a crash are harmless. These rules tell them apart:

- A request that is answered completely clears all its parts, since the crash would have come at
  the beginning of the answer.
- A part is suspected after several crashes at different moments without such an answer in between.
- It is not suspected if the crashes have a better explanation: requests that were repeated, one
  tenant that used it, or parts that were answered less recently or never.
- Suspected parts run in trials, one at a time. If trials of two different requests crashed their
  workers, the suspected parts that these had are proven together: requests that contain all of them
  are refused for a while.

The module does no I/O; the clock is injected.
"""

from collections.abc import Callable, Iterable, Iterator
from functools import lru_cache
from itertools import groupby
from typing import NamedTuple

import xxhash

from wheelslip.crashes.ledger import (
    BASE_REFUSAL_SECONDS,
    MAX_REFUSAL_SECONDS,
    RETENTION_SECONDS,
    FingerprintStatus,
)
from wheelslip.deployment import Incarnation

SUSPICION_CRASHES = 3
"""Number of crashes without a complete answer from which a part is suspected."""

MOMENT_SECONDS = 1.0
"""Crashes within this time count as one moment, as they may have one other cause, such as the loss
of a rack. Their evidence is found within 0.6 s and reported within 0.3 s."""

SUSPICION_MOMENTS = 2

PROOF_REQUESTS = 2
"""Number of different requests whose trials crashed workers from which parts are refused. Something else
in a single request may be the cause, or another request at its worker."""

REPEATED_CRASHES = 2
"""Number of crashes without other explanation from which a repeated request explains them."""

_SCOPES = {"t": 1, "i": 1, "s": 2}
"""Order of keys by their first character: one tenant, then all tenants."""

EVIDENCE_DELAY_SECONDS = 1.0
"""A complete answer clears crashes that are recorded up to this long after it, because a crash is
recorded later than it occurs."""

MAX_KEYS = 4096
"""Maximum number of parts with crashes, and of parts with the time of their last answer."""

EVICTED_AT_ONCE = 256
"""Number of parts that are evicted below the maximum, so that evictions are rare."""

TRIM_SECONDS = 60.0
"""Interval at which parts with old crashes are deleted."""

CACHED_KEYS = 4096


class PartKeys(NamedTuple):
    """Keys under which a part of a request's prompt is recorded.

    :ivar shared: of the part at all tenants; ``None`` for a tenant that shares no prompt parts.
    :ivar tenant: of the part at the tenant of the request.
    """

    shared: str | None
    tenant: str

    def all(self) -> tuple[str, ...]:
        """Return both keys, or the only one."""
        return (self.tenant,) if self.shared is None else (self.shared, self.tenant)


@lru_cache(maxsize=CACHED_KEYS)
def part_keys(part_id: str, tenant: str, isolated: bool) -> PartKeys:
    """Return the keys of a part in a request of a tenant."""
    part_hash = xxhash.xxh3_64_hexdigest(part_id.encode())
    tenant_hash = xxhash.xxh32_hexdigest(tenant.encode())
    if isolated:
        return PartKeys(None, f"i{part_hash}{tenant_hash}")
    return PartKeys(f"s{part_hash}", f"t{part_hash}{tenant_hash}")


class PartCrash(NamedTuple):
    """A worker incarnation that ended while it ran a request with a part.

    :ivar tried: fingerprint of the request if it was on trial for the part; empty otherwise.
    """

    key: str
    incarnation: Incarnation
    tried: str = ""


class _Record(NamedTuple):
    recorded_at: float
    tried: str


class PartLedger:
    """Crashes by prompt part.

    :param repeated_requests: returns the crashes of requests that were lost repeatedly, by
        fingerprint, as far as any of some incarnations is among them.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        repeated_requests: Callable[[set[Incarnation]], dict[str, set[Incarnation]]],
    ):
        self._clock = clock
        self._repeated_requests = repeated_requests
        self._uncleared: dict[str, dict[Incarnation, _Record]] = {}
        self._cleared: dict[str, set[Incarnation]] = {}
        self._last_crash_at: dict[str, float] = {}
        self._trial_keys: dict[Incarnation, set[str]] = {}
        self._next_trim_at = 0.0
        self._answered_at: dict[str, float] = {}
        self._suspects: frozenset[str] | None = None
        self._candidates: frozenset[str] = frozenset()

    def __len__(self) -> int:
        """Return the number of parts with crashes, including cleared ones."""
        return len(self._last_crash_at)

    def record(self, crash: PartCrash) -> bool:
        """Record a crash; return whether it adds information."""
        if crash.incarnation in self._cleared.get(crash.key, ()):
            return False
        records = self._uncleared.setdefault(crash.key, {})
        current = records.get(crash.incarnation)
        if current is not None and (current.tried or not crash.tried):
            return False
        now = self._clock()
        records[crash.incarnation] = _Record(now, crash.tried)
        self._last_crash_at[crash.key] = now
        if crash.tried:
            self._trial_keys.setdefault(crash.incarnation, set()).add(crash.key)
        answered_at = self._answered_at.get(crash.key, float("-inf"))
        if answered_at > now - EVIDENCE_DELAY_SECONDS and not crash.tried:
            self.clear([crash])
        self._suspects = None
        self._trim()
        return True

    def clear(self, crashes: Iterable[PartCrash]) -> None:
        """Record crashes that a complete answer has cleared, at this node or another."""
        for crash in crashes:
            self._cleared.setdefault(crash.key, set()).add(crash.incarnation)
            self._uncleared.setdefault(crash.key, {}).pop(crash.incarnation, None)
            self._last_crash_at.setdefault(crash.key, self._clock())
            self._remove_trial_key(crash.incarnation, crash.key)
        self._suspects = None
        self._trim()

    def _remove_trial_key(self, incarnation: Incarnation, key: str) -> None:
        keys = self._trial_keys.get(incarnation, set())
        keys.discard(key)
        if not keys:
            self._trial_keys.pop(incarnation, None)

    def record_answer(self, keys: Iterable[str]) -> list[PartCrash]:
        """Record that a request was answered completely.

        :param keys: of its parts, and its fingerprint.

        :return: the crashes that this clears.
        """
        now = self._clock()
        cleared = []
        for key in keys:
            self._answered_at.pop(key, None)
            self._answered_at[key] = now
            cleared += self.crashes(key)
        while len(self._answered_at) > MAX_KEYS:
            del self._answered_at[next(iter(self._answered_at))]
        if cleared:
            self.clear(cleared)
        return cleared

    def crashes(self, key: str) -> list[PartCrash]:
        """Return the crashes of a part that are not cleared, the oldest first."""
        return [
            PartCrash(key, incarnation, record.tried)
            for incarnation, record in self._uncleared.get(key, {}).items()
        ]

    def status(self, parts: Iterable[PartKeys]) -> FingerprintStatus:
        """Return how requests with some parts are handled now."""
        keys = {key for each in parts for key in each.all()}
        if not any(self._uncleared.get(key) for key in keys):
            return FingerprintStatus.FREE
        if self.refused_seconds(keys) > 0:
            return FingerprintStatus.REFUSED
        return FingerprintStatus.TRIAL if keys & self.suspects() else FingerprintStatus.FREE

    def suspects(self) -> frozenset[str]:
        """Return the keys of the suspected parts."""
        if self._suspects is None:
            self._suspects = self._find_suspects()
        return self._suspects

    def refused_seconds(self, keys: set[str]) -> float:
        """Return the time for which requests with some keys are still refused, 0 for none."""
        trials = [trial for key in keys for trial in self._trials(key, keys)]
        if len({trial.tried for trial in trials}) < PROOF_REQUESTS:
            return 0.0
        doublings = len(trials) - PROOF_REQUESTS
        seconds = min(MAX_REFUSAL_SECONDS, BASE_REFUSAL_SECONDS * 2**doublings)
        return max(0.0, max(trial.recorded_at for trial in trials) + seconds - self._clock())

    def refused_keys(self) -> set[str]:
        """Return the keys of parts that are refused now on their own."""
        tried = {key for keys in self._trial_keys.values() for key in keys}
        return {key for key in tried if self.refused_seconds({key}) > 0}

    def trial_keys(self, parts: Iterable[PartKeys]) -> frozenset[str]:
        """Return the keys that a crash in a trial of a request proves together.

        These are the suspected parts and those that are not only because of others. Empty if the
        request is on trial for another reason.
        """
        suspects = self.suspects()
        chosen, has_suspect = set(), False
        for part in parts:
            keys = [key for key in part.all() if key in self._candidates | suspects]
            keys.sort(key=lambda key: (key not in suspects, _SCOPES[key[0]]))
            chosen.update(keys[:1])
            has_suspect = has_suspect or bool(suspects & set(keys))
        return frozenset(chosen) if has_suspect else frozenset()

    def explained(self) -> frozenset[Incarnation]:
        """Return the crashes in which suspected parts were lost."""
        return frozenset().union(*(self._uncleared[key] for key in self.suspects()))

    def other_causes(
        self, crashes: Iterable[Incarnation], keys: set[str]
    ) -> frozenset[Incarnation]:
        """Return the crashes of a request that parts of other requests may explain.

        These are parts that were lost there and also in crashes without the request.

        :param crashes: of the request.
        :param keys: of its own parts.
        """
        crashes = frozenset(crashes)
        others = [
            records.keys()
            for key, records in self._uncleared.items()
            if key not in keys and not records.keys() <= crashes
        ]
        return crashes.intersection(frozenset().union(*others))

    def _trials(self, key: str, keys: set[str]) -> list[_Record]:
        """Return the crashes in trials for some keys or fewer, of which one key is the first."""
        return [
            record
            for incarnation, record in self._uncleared.get(key, {}).items()
            if record.tried
            and self._trial_keys[incarnation] <= keys
            and min(self._trial_keys[incarnation]) == key
        ]

    def _find_suspects(self) -> frozenset[str]:
        """Return the parts that explain the crashes best.

        Requests and parts are taken in the order of their last answers, those that were never
        answered first, and of their numbers of crashes. Each explains its crashes.
        """
        parts = [key for key in self._uncleared if self._is_sufficient(key, set())]
        lost_at = set().union(*(self._uncleared[key] for key in parts))
        requests = self._repeated_requests(lost_at)
        crashes = {**requests, **{key: set(self._uncleared[key]) for key in parts}}
        suspects: set[str] = set()
        explained: set[Incarnation] = set()
        explained_by_requests: set[Incarnation] = set()
        for keys in self._ranked(crashes):
            repeated = [
                key
                for key in keys
                if key in requests and len(crashes[key] - explained) >= REPEATED_CRASHES
            ]
            found = [
                key for key in keys if key not in requests and self._is_sufficient(key, explained)
            ]
            suspects.update(found)
            explained_by_requests.update(*(crashes[key] for key in repeated))
            explained.update(*(crashes[key] for key in repeated + found))
        self._candidates = frozenset(
            key for key in parts if self._is_sufficient(key, explained_by_requests)
        )
        return frozenset(suspects)

    def _ranked(self, crashes: dict[str, set[Incarnation]]) -> Iterator[list[str]]:
        """Return groups of keys that explain crashes equally well, the best first."""

        def rank(key: str) -> tuple[float, int, int]:
            return self._rank(key, crashes[key])

        for _, group in groupby(sorted(crashes, key=rank), key=rank):
            yield list(group)

    def _rank(self, key: str, crashes: set[Incarnation]) -> tuple[float, int, int]:
        """Return the sort key of a part's key or a fingerprint; narrower ones come first."""
        scope = _SCOPES.get(key[0], 0) if key in self._uncleared else 0
        return self._answered_at.get(key, float("-inf")), -len(crashes), scope

    def _is_sufficient(self, key: str, explained: set[Incarnation]) -> bool:
        """Return whether the crashes without other explanation make a part suspected."""
        records = self._uncleared.get(key, {})
        if len(records) < SUSPICION_CRASHES:
            return False
        times = sorted(
            record.recorded_at
            for incarnation, record in records.items()
            if incarnation not in explained
        )
        if len(times) < SUSPICION_CRASHES:
            return False
        moments, moment_ends = 0, float("-inf")
        for time in times:
            if time > moment_ends:
                moments, moment_ends = moments + 1, time + MOMENT_SECONDS
        return moments >= SUSPICION_MOMENTS

    def _trim(self) -> None:
        """Delete parts whose last crash is old, and those above the maximum number."""
        now = self._clock()
        if now >= self._next_trim_at:
            self._next_trim_at = now + TRIM_SECONDS
            oldest = now - RETENTION_SECONDS
            for key in [key for key, at in self._last_crash_at.items() if at < oldest]:
                self._delete(key)
        if len(self._last_crash_at) > MAX_KEYS:
            by_value = sorted(self._last_crash_at, key=self._retention_key)
            for key in by_value[: len(by_value) - MAX_KEYS + EVICTED_AT_ONCE]:
                self._delete(key)

    def _retention_key(self, key: str) -> tuple[int, float]:
        return len(self._uncleared.get(key, ())), self._last_crash_at[key]

    def _delete(self, key: str) -> None:
        del self._last_crash_at[key]
        for incarnation in self._uncleared.pop(key, {}):
            self._remove_trial_key(incarnation, key)
        self._cleared.pop(key, None)
