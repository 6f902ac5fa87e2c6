"""Lease of the holder, the only node that sends orders to workers."""

import random
import re
from collections.abc import Callable

from wheelslip.forwarding.leased_key import LeasedKey
from wheelslip.forwarding.relay import relay_addresses
from wheelslip.forwarding_settings import BoundsSection
from wheelslip.registry.interface import KeyValueStore
from wheelslip.registry.registry import Registry

HOLDER_KEY = "wheelslip/holder"
ROLLOUT_KEY = "wheelslip/rollout"
"""Key of the holder's record of the loading workers. Written before the first order to a worker,
on the condition that the holder key is unchanged."""

LEASE_FRACTION = 0.5
"""Duration of the lease as a fraction of ``holder_lease_ms``. A lost holder is replaced sooner;
the new one still waits the full time before it orders a worker that the lost one may have ordered.
"""

_IDENTITY_PATTERN = re.compile(rb".+/[0-9a-f]{16}")


class HolderLease(LeasedKey):
    """Leased key of the holder.

    A holder that reaches no worker cannot give orders, so it leaves the key to another node.

    :param is_relay: returns whether this node is the relay of its zone.
    :param is_isolated: returns whether this node reaches no worker.
    """

    def __init__(
        self,
        store: KeyValueStore,
        registry: Registry,
        name: str,
        bounds: Callable[[], BoundsSection],
        min_lease_seconds: Callable[[], float],
        clock: Callable[[], float],
        random_source: random.Random,
        is_relay: Callable[[], bool] = lambda: True,
        is_isolated: Callable[[], bool] = lambda: False,
    ):
        self.identity = f"{name}/{random_source.getrandbits(64):016x}"
        super().__init__(
            HOLDER_KEY,
            self.identity.encode(),
            store,
            registry,
            lambda: max(min_lease_seconds(), LEASE_FRACTION * bounds().holder_lease_ms / 1000),
            clock,
            random_source,
        )
        self._is_relay = is_relay
        self._is_isolated = is_isolated

    async def _step(self) -> None:
        if self.token() is not None and self._is_isolated():
            await self.release("isolated")
            return
        await super()._step()

    def _is_own_value(self, value: bytes) -> bool:
        return _IDENTITY_PATTERN.fullmatch(value) is not None

    def _may_acquire(self) -> bool:
        # Only relays are candidates, which limits the calls to the store after a loss.
        relays = relay_addresses(self._registry)
        if self._is_isolated():
            return False
        return super()._may_acquire() and (self._is_relay() or not relays)
