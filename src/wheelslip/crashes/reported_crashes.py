"""The crashes and clearings in the report of one node."""

from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from wheelslip.deployment import Incarnation

CrashT = TypeVar("CrashT", bound=tuple)
"""A named tuple whose first two fields identify it: a key and the incarnation that ended."""

_CrashId = tuple[str, Incarnation]


class ReportedCrashes(Generic[CrashT]):
    """Crashes that a node observed and those that it cleared, up to a maximum number of each.

    :param maximum: of the crashes, and of the clearings.
    :param uncleared_count: returns how many uncleared crashes a key has. Crashes of the keys with the
        fewest are evicted first, clearings in their order.
    """

    def __init__(self, maximum: int, uncleared_count: Callable[[str], int]):
        self._maximum = maximum
        self._uncleared_count = uncleared_count
        self._crashes: dict[_CrashId, CrashT] = {}
        self._cleared: dict[_CrashId, CrashT] = {}

    def add(self, crash: CrashT) -> None:
        """Add a crash, or replace an earlier record of it."""
        self._crashes[crash[:2]] = crash
        self._trim()

    def clear(self, crash: CrashT) -> None:
        """Add a crash that was cleared."""
        self._cleared[crash[:2]] = crash
        self._trim()

    def crashes(self) -> list[CrashT]:
        """Return the crashes, the oldest first."""
        return list(self._crashes.values())

    def cleared(self) -> list[CrashT]:
        """Return the cleared crashes, the oldest first."""
        return list(self._cleared.values())

    def restore(self, crashes: Iterable[CrashT], cleared: Iterable[CrashT]) -> None:
        """Add what a previous process of the node has reported."""
        self._crashes = {crash[:2]: crash for crash in crashes} | self._crashes
        self._cleared = {crash[:2]: crash for crash in cleared} | self._cleared
        self._trim()

    def is_contained_in(self, crashes: Iterable[CrashT]) -> bool:
        """Return whether a stored report has all crashes of this node."""
        return self._crashes.keys() <= {crash[:2] for crash in crashes}

    def _trim(self) -> None:
        while len(self._cleared) > self._maximum:
            del self._cleared[next(iter(self._cleared))]
        while len(self._crashes) > self._maximum:
            del self._crashes[min(self._crashes, key=self._retention_key)]

    def _retention_key(self, crash_id: _CrashId) -> int:
        return self._uncleared_count(crash_id[0])
