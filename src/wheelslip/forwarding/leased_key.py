"""A key of the store that one node holds under a lease, for as long as it lives.

The revision at which the key was made is the holder's token. The lease counts from before
the call that renewed it, so a frozen or cut holder stops by itself.
"""

import asyncio
import random
from collections.abc import Callable

from wheelslip.events import LogEvent, log_event
from wheelslip.forwarding.interface import KeyValueStore
from wheelslip.forwarding.registry import Registry
from wheelslip.keyvalue.model import KeyValueError, Put, Transaction

RENEWALS_PER_LEASE = 3
"""One whose answer is not there after the pause between two is sent once more beside it. A call waits for
its answer for 1.5 s, and one lost answer ended a lease of 1.5 s or 3.0 s."""

POLL_SECONDS = 0.1
ELECTION_JITTER_SECONDS = 0.3


class LeasedKey:
    """Gains, renews and gives up one key; one task owns it.

    :param value: what the key tells others about its holder.
    :param lease_seconds: returns how long a lease lasts without a renewal.
    :param handicap_seconds: returns how long this node lets better suited ones go first.
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
        handicap_seconds: Callable[[], float] = lambda: 0.0,
    ):
        self._handicap_seconds = handicap_seconds
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
        """Return the token while the key is surely held, else ``None``."""
        if self._token and self._clock() < self._valid_until:
            return self._token
        return None

    async def run(self) -> None:
        """Hold the key whenever nobody else does, for ever."""
        while not self._stopped:
            try:
                await self._step()
            except KeyValueError as error:
                log_event(LogEvent.LEASE_CALL_FAILED, duty=self._key, reason=str(error))
                await asyncio.sleep(self._random.uniform(0.1, ELECTION_JITTER_SECONDS))
            if self._token and self._clock() >= self._valid_until:
                self.lose("lapsed")

    async def _step(self) -> None:
        if self._token:
            await self._renew()
            return
        if not self._may_gain():
            await asyncio.sleep(POLL_SECONDS)
            return
        jitter = self._random.uniform(0, ELECTION_JITTER_SECONDS)
        await asyncio.sleep(jitter + self._handicap_seconds())
        if self._may_gain() and not self._stopped:
            await self._gain()

    def _may_gain(self) -> bool:
        return self._registry.configuration is not None and not self._registry.system_entry(
            self._key
        )

    async def _gain(self) -> None:
        sent_at = self._clock()
        seconds = self._lease_seconds()
        lease = await self._store.grant_lease(seconds)
        put = Put(self._key, self._value, lease)
        result = await self._store.transact(Transaction({self._key: 0}, (put,)))
        if not result.succeeded:
            await self._store.end_lease(lease)
            # The holder's key is on its way through the watch.
            await asyncio.sleep(POLL_SECONDS)
            return
        self._lease, self._token = lease, result.revision
        self._note_valid(sent_at, seconds)
        self._gained()
        log_event(LogEvent.LEASE_GAINED, duty=self._key, fencing_token=self._token)

    def _gained(self) -> None:
        """Take note of a new token."""

    async def _renew(self) -> None:
        seconds = self._lease_seconds()
        await asyncio.sleep(max(0.0, self._renew_at - self._clock()))
        sent_at, is_there = await self._keep(seconds / RENEWALS_PER_LEASE)
        if not is_there:
            self.lose("over")
            return
        self._note_valid(sent_at, seconds)

    async def _keep(self, patience_seconds: float) -> tuple[float, bool]:
        """Return when the renewal that was answered was sent, and whether the lease was there.

        :raises KeyValueError: when none was answered, or the store refuses.
        """
        sent_at: dict[asyncio.Task, float] = {}
        try:
            for timeout in (patience_seconds, None):
                call = asyncio.create_task(self._store.keep_lease(self._lease))
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

    def _note_valid(self, sent_at: float, seconds: float) -> None:
        """The store has granted so much from the sending of a call on."""
        self._valid_until = sent_at + seconds
        self._renew_at = sent_at + seconds / RENEWALS_PER_LEASE

    def lose(self, reason: str) -> None:
        """Hold the key no longer; whoever may gain it next gets a higher token."""
        if self._token:
            log_event(LogEvent.LEASE_LOST, duty=self._key, reason=reason)
        self._token = 0
        self._lease = 0

    async def resign(self, reason: str) -> None:
        """Hold the key no longer and end its lease, so that it is free at once."""
        lease = self._lease
        self.lose(reason)
        if lease:
            try:
                await self._store.end_lease(lease)
            except KeyValueError as error:
                log_event(LogEvent.LEASE_CALL_FAILED, duty=self._key, reason=str(error))

    async def give_up(self) -> None:
        """Resign for a planned stop."""
        self._stopped = True
        await self.resign("stopping")
