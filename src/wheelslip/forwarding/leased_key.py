"""A leased key of the store, held by at most one node at a time.

The revision at which the key was created is the holder's fencing token. The validity of the lease
is counted from before the call that granted or renewed it, so a stalled or disconnected holder
stops using the token before another node can acquire the key.
"""

import asyncio
import random
from collections.abc import Callable

from wheelslip.events import LogEvent, log_event
from wheelslip.keyvalue.model import KeyValueError, Put, Transaction, era_of
from wheelslip.registry.interface import KeyValueStore
from wheelslip.registry.registry import Registry

RENEWALS_PER_LEASE = 3
"""A renewal that is not answered within one interval is sent again in parallel, so that a single
lost response does not end the lease."""

FOREIGN_VALUE = "not a value that nodes write"
"""Reason for refusing the value of a leased key."""

POLL_SECONDS = 0.1
ELECTION_JITTER_SECONDS = 0.3


class LeasedKey:
    """Acquires, renews and releases a leased key; owned by a single task.

    :param value: value of the key, which describes its holder to other nodes.
    :param lease_seconds: returns the duration of a lease without renewal.
    :param election_delay_seconds: returns by how long this node delays its candidacy in favor of
        better suited nodes.
    """

    def __init__(
        self,
        key: str,
        value: bytes,
        store: KeyValueStore,
        registry: Registry,
        lease_seconds: Callable[[], float],
        clock: Callable[[], float],
        random_source: random.Random,
        election_delay_seconds: Callable[[], float] = lambda: 0.0,
    ):
        self._election_delay_seconds = election_delay_seconds
        self._key = key
        self._value = value
        self._store = store
        self._registry = registry
        self._lease_seconds = lease_seconds
        self._clock = clock
        self._random = random_source
        self._lease = 0
        self._token = 0
        self._valid_until = 0.0
        self._renew_at = 0.0
        self._stopped = False

    def token(self) -> int | None:
        """Return the fencing token, ``None`` unless the key is certainly held."""
        if self._token and self._clock() < self._valid_until:
            return None if self._is_of_earlier_era() else self._token
        return None

    def _is_of_earlier_era(self) -> bool:
        """Return whether the store has returned from a copy that may lack the key."""
        return self._registry.era > era_of(self._token)

    async def run(self) -> None:
        """Acquire the key whenever it is free and renew its lease, until stopped."""
        while not self._stopped:
            try:
                await self._step()
            except KeyValueError as error:
                log_event(LogEvent.LEASE_CALL_FAILED, duty=self._key, reason=str(error))
                await asyncio.sleep(self._random.uniform(0.1, ELECTION_JITTER_SECONDS))
            if self._token and self._clock() >= self._valid_until:
                self.mark_lost("lapsed")

    async def _step(self) -> None:
        if self._token and self._is_overwritten():
            await self.release("overwritten")
            return
        if self._token:
            await (self._confirm() if self._is_of_earlier_era() else self._renew())
            return
        if not self._may_acquire():
            await asyncio.sleep(POLL_SECONDS)
            return
        jitter = self._random.uniform(0, ELECTION_JITTER_SECONDS)
        await asyncio.sleep(jitter + self._election_delay_seconds())
        if self._may_acquire() and not self._stopped:
            await self._acquire()

    def _is_own_value(self, value: bytes) -> bool:
        """Return whether a node can have written a value of the key."""
        raise NotImplementedError

    def _is_overwritten(self) -> bool:
        """Return whether the key has a value that no node has written.

        Such a value has no lease, so the key does not become free by itself.
        """
        entry = self._registry.system_entry(self._key)
        if entry is None or self._is_own_value(entry[0]):
            return False
        self._registry.refuse_system_entry(self._key, FOREIGN_VALUE)
        return True

    def _may_acquire(self) -> bool:
        is_free = self._registry.system_entry(self._key) is None or self._is_overwritten()
        return self._registry.configuration is not None and is_free

    async def _acquire(self) -> None:
        sent_at = self._clock()
        overwritten = self._registry.system_entry(self._key)
        revision = overwritten[1] if overwritten is not None else 0
        seconds = self._lease_seconds()
        lease = await self._store.grant_lease(seconds)
        put = Put(self._key, self._value, lease)
        result = await self._store.transact(Transaction({self._key: revision}, (put,)))
        if not result.succeeded:
            await self._store.revoke_lease(lease)
            # Another node has acquired the key; wait until the watch reports it.
            await asyncio.sleep(POLL_SECONDS)
            return
        self._lease, self._token = lease, result.revision
        self._set_validity(sent_at, seconds)
        self._on_acquired()
        log_event(LogEvent.LEASE_GAINED, duty=self._key, fencing_token=self._token)

    def _on_acquired(self) -> None:
        """Hook for subclasses, called when a new token has been set."""

    async def _confirm(self) -> None:
        """Keep the key with a new token if the copy of the store has it and its lease."""
        entry = self._registry.system_entry(self._key)
        if entry is None or entry[0] != self._value:
            await self.release("store restored")
            return
        seconds = self._lease_seconds()
        sent_at, exists = await self._send_renewal(seconds / RENEWALS_PER_LEASE)
        if not exists:
            self.mark_lost("store restored")
            return
        self._token = entry[1]
        self._set_validity(sent_at, seconds)
        log_event(LogEvent.LEASE_GAINED, duty=self._key, fencing_token=self._token)

    async def _renew(self) -> None:
        seconds = self._lease_seconds()
        await asyncio.sleep(max(0.0, self._renew_at - self._clock()))
        sent_at, exists = await self._send_renewal(seconds / RENEWALS_PER_LEASE)
        if not exists:
            self.mark_lost("over")
            return
        self._set_validity(sent_at, seconds)

    async def _send_renewal(self, retry_after_seconds: float) -> tuple[float, bool]:
        """Send a renewal, and a second one in parallel if the first is not answered in time.

        :return: when the renewal answered first was sent, and whether the lease still existed.
        :raises KeyValueError: when the renewal that finishes first fails.
        """
        sent_at: dict[asyncio.Task, float] = {}
        try:
            for timeout in (retry_after_seconds, None):
                call = asyncio.create_task(self._store.renew_lease(self._lease))
                sent_at[call] = self._clock()
                done, _ = await asyncio.wait(
                    sent_at, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
                )
                if done:
                    break
            answered = done.pop()
            return sent_at[answered], answered.result()
        finally:
            for call in sent_at:
                call.cancel()
            await asyncio.gather(*sent_at, return_exceptions=True)

    def _set_validity(self, sent_at: float, seconds: float) -> None:
        """Record that the lease is valid for ``seconds`` from the sending of a call."""
        self._valid_until = sent_at + seconds
        self._renew_at = sent_at + seconds / RENEWALS_PER_LEASE

    def mark_lost(self, reason: str) -> None:
        """Discard the token; the next holder acquires a higher one."""
        if self._token:
            log_event(LogEvent.LEASE_LOST, duty=self._key, reason=reason)
        self._token = 0
        self._lease = 0

    async def release(self, reason: str) -> None:
        """Discard the token and end the lease, so that other nodes can acquire the key at once."""
        lease = self._lease
        self.mark_lost(reason)
        if lease:
            try:
                await self._store.revoke_lease(lease)
            except KeyValueError as error:
                log_event(LogEvent.LEASE_CALL_FAILED, duty=self._key, reason=str(error))

    async def stop(self) -> None:
        """Release the key and do not acquire it again."""
        self._stopped = True
        await self.release("stopping")
