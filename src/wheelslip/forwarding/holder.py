"""The lease of the one node that gives orders to workers.

The holder's key names it; the revision at which the key was made is its fencing token. The
lease counts from before the call that renewed it, so a frozen or cut holder stops by itself.
"""

import asyncio
import random
from collections.abc import Callable

from wheelslip.events import LogEvent, log_event
from wheelslip.forwarding.interface import KeyValueStore
from wheelslip.forwarding.registry import Registry
from wheelslip.forwarding.settings import BoundsSection
from wheelslip.keyvalue.model import KeyValueError, Put, Transaction

HOLDER_KEY = "wheelslip/holder"
ROLLOUT_KEY = "wheelslip/rollout"
"""The holder's record of the workers that load; it is written before the first order to a
worker, on condition that the holder's key is unchanged."""

LEASE_SHARE = 0.5
"""The lease lasts this share of the time within which two holders must not take turns: a
lost holder is found sooner, and the next waits out the whole time in any case."""

RENEWALS_PER_LEASE = 3
POLL_SECONDS = 0.1
ELECTION_JITTER_SECONDS = 0.3


class HolderLease:
    """Gains, renews and gives up the lease; one task owns it."""

    def __init__(
        self,
        store: KeyValueStore,
        registry: Registry,
        name: str,
        bounds: Callable[[], BoundsSection],
        min_lease_seconds: Callable[[], float],
        clock: Callable[[], float],
        random_source: random.Random,
        last_order_by_others: Callable[[], float],
    ):
        self._store = store
        self._registry = registry
        self._identity = f"{name}/{random_source.getrandbits(64):016x}"
        self._bounds = bounds
        self._min_lease_seconds = min_lease_seconds
        self._clock = clock
        self._random = random_source
        self._last_order_by_others = last_order_by_others
        self._lease = 0
        self._token = 0
        self._valid_until = 0.0
        self._acts_from = 0.0
        self._stopped = False

    @property
    def identity(self) -> str:
        """The name under which this process holds."""
        return self._identity

    def fencing_token(self) -> int | None:
        """Return the token if orders may be given at this moment, else ``None``."""
        now = self._clock()
        if self._token and self._acts_from <= now < self._valid_until:
            return self._token
        return None

    def _seconds(self) -> float:
        share = LEASE_SHARE * self._bounds().holder_lease_ms / 1000
        return max(self._min_lease_seconds(), share)

    async def run(self) -> None:
        """Hold the lease whenever nobody else does, for ever."""
        while not self._stopped:
            try:
                await self._step()
            except KeyValueError as error:
                log_event(LogEvent.LEASE_CALL_FAILED, reason=str(error))
                await asyncio.sleep(self._random.uniform(0.1, ELECTION_JITTER_SECONDS))
            if self._token and self._clock() >= self._valid_until:
                self._lose("lapsed")

    async def _step(self) -> None:
        if self._token:
            await self._renew()
            return
        if self._registry.configuration is None or self._registry.own_entry(HOLDER_KEY):
            await asyncio.sleep(POLL_SECONDS)
            return
        await asyncio.sleep(self._random.uniform(0, ELECTION_JITTER_SECONDS))
        if self._registry.own_entry(HOLDER_KEY) is None and not self._stopped:
            await self._gain()

    async def _gain(self) -> None:
        sent_at = self._clock()
        seconds = self._seconds()
        lease = await self._store.grant_lease(seconds)
        put = Put(HOLDER_KEY, self._identity.encode(), lease)
        result = await self._store.transact(Transaction({HOLDER_KEY: 0}, (put,)))
        if not result.succeeded:
            await self._store.end_lease(lease)
            # The holder's key is on its way through the watch.
            await asyncio.sleep(POLL_SECONDS)
            return
        self._lease, self._token = lease, result.revision
        self._valid_until = sent_at + seconds
        bounds = self._bounds()
        quiet = (bounds.holder_lease_ms + bounds.thaw_slack_ms) / 1000
        self._acts_from = self._last_order_by_others() + quiet
        log_event(LogEvent.LEASE_GAINED, fencing_token=self._token)

    async def _renew(self) -> None:
        seconds = self._seconds()
        await asyncio.sleep(seconds / RENEWALS_PER_LEASE)
        sent_at = self._clock()
        if not await self._store.keep_lease(self._lease):
            self._lose("over")
            return
        self._valid_until = sent_at + seconds

    def _lose(self, reason: str) -> None:
        if self._token:
            log_event(LogEvent.LEASE_LOST, duty="weights", reason=reason)
        self._token = 0
        self._lease = 0

    async def give_up(self) -> None:
        """End the lease for a planned stop, so that another node takes over sooner."""
        self._stopped = True
        lease, self._token, self._lease = self._lease, 0, 0
        if lease:
            try:
                await self._store.end_lease(lease)
            except KeyValueError as error:
                log_event(LogEvent.LEASE_CALL_FAILED, reason=str(error))
