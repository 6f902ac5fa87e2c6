"""Locks in the store that serialize trial runs of suspected requests.

A request is suspected if workers crashed while running it. At most one suspected request of a
service runs at a time across all nodes, so that harmless requests that ran next to the actual cause
can complete. A lock is a key written with compare-and-swap, so only one node can acquire it.
"""

from collections.abc import Callable
from typing import NamedTuple

from wheelslip.events import LogEvent, log_event
from wheelslip.keyvalue.model import Delete, KeyValueError, Put, Transaction
from wheelslip.registry.interface import KeyValueStore
from wheelslip.registry.registry import Registry

TRIALS_PREFIX = "wheelslip/trials/"

LOCK_EXPIRY_SECONDS = 6.0
"""A lock expires this long after its key last changed in the registry view, as its node may have
died. An engine that ends under a request ends as it begins to run it, and evidence of that takes
at most 4 s."""

MAX_SEND_DELAY_SECONDS = 2.0
"""Time from the acquisition of a lock within which its request must be sent, so that the lock is held
until the evidence is complete."""

ACQUIRE_RETRY_SECONDS = 0.25
"""Minimum interval between two attempts of a node to acquire a lock: at most four calls of the store
a second and node for a content that many request, as the view shows another node's lock 0.1 to
0.3 s late."""


class TrialLock(NamedTuple):
    """A trial lock held by this node.

    :ivar revision: store revision at which the lock was acquired.
    :ivar send_until: time until which its request may be sent, in seconds of the steady clock.
    """

    key: str
    revision: int
    send_until: float


class TrialLocks:
    """Acquires and releases trial locks, one per service.

    :param node: name of this node, stored as the value of the key.
    """

    def __init__(
        self, node: str, store: KeyValueStore, registry: Registry, clock: Callable[[], float]
    ):
        self._node = node
        self._store = store
        self._registry = registry
        self._clock = clock
        self._expires_at: dict[str, float] = {}
        self._next_try_at: dict[str, float] = {}

    def entry_changed(self, key: str) -> None:
        """Update the expiry of a lock after its key changed in the registry view."""
        if not key.startswith(TRIALS_PREFIX):
            return
        if self._registry.system_entry(key) is None:
            self._expires_at.pop(key, None)
        else:
            self._expires_at[key] = self._clock() + LOCK_EXPIRY_SECONDS

    def may_acquire(self, service: str) -> bool:
        """Return whether no other node is known to hold the lock and an attempt is due."""
        key = TRIALS_PREFIX + service
        return self._clock() >= max(self._expires_at.get(key, 0.0), self._next_try_at.get(key, 0.0))

    async def acquire(self, service: str) -> TrialLock | None:
        """Try to acquire the trial lock of a service.

        :return: ``None`` if another node holds the lock or the store is unavailable.
        """
        if not self.may_acquire(service):
            return None
        key, now = TRIALS_PREFIX + service, self._clock()
        self._next_try_at[key] = now + ACQUIRE_RETRY_SECONDS
        entry = self._registry.system_entry(key)
        expected = {key: entry[1] if entry else 0}
        try:
            put = Put(key, self._node.encode())
            result = await self._store.transact(Transaction(expected, (put,)))
        except KeyValueError as exc:
            log_event(LogEvent.LEASE_CALL_FAILED, duty=key, reason=str(exc))
            return None
        if not result.succeeded:
            return None
        return TrialLock(key, result.revision, now + MAX_SEND_DELAY_SECONDS)

    async def release(self, lock: TrialLock) -> None:
        """Release a lock; if the store is unavailable, the lock expires instead."""
        release = Transaction({lock.key: lock.revision}, (Delete(lock.key),))
        try:
            await self._store.transact(release)
        except KeyValueError as exc:
            log_event(LogEvent.LEASE_CALL_FAILED, duty=lock.key, reason=str(exc))
