"""The lease of the one node that gives orders to workers."""

import random
from collections.abc import Callable

from wheelslip.forwarding.interface import KeyValueStore
from wheelslip.forwarding.leased_key import LeasedKey
from wheelslip.forwarding.registry import Registry
from wheelslip.forwarding.relay import RELAY_PREFIX
from wheelslip.forwarding.settings import BoundsSection

HOLDER_KEY = "wheelslip/holder"
ROLLOUT_KEY = "wheelslip/rollout"
"""The holder's record of the workers that load; it is written before the first order to a
worker, on condition that the holder's key is unchanged."""

LEASE_SHARE = 0.5
"""The lease lasts this share of the time within which two holders must not take turns at a
worker: a lost holder is found sooner, and the next waits out the whole time at each worker
that the last one may have ordered."""


class HolderLease(LeasedKey):
    """The holder's key.

    :param is_relay: whether this node is the relay of its zone.
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
    ):
        self.identity = f"{name}/{random_source.getrandbits(64):016x}"
        super().__init__(
            HOLDER_KEY,
            self.identity.encode(),
            store,
            registry,
            lambda: max(min_lease_seconds(), LEASE_SHARE * bounds().holder_lease_ms / 1000),
            clock,
            random_source,
        )
        self._is_relay = is_relay

    def _may_gain(self) -> bool:
        # Only relays contend, or at each loss all nodes of the fleet would call the store.
        relays = self._registry.system_entries(RELAY_PREFIX)
        return super()._may_gain() and (self._is_relay() or not relays)
