"""The relay of each zone, which distributes changes of the store to the nodes of its zone.

The relay of a zone holds a leased key whose value is the address at which it answers polls. The
relay with the smallest key reads the store, and the other relays poll it. A node without a
known relay, or whose relay is unreachable or stale, reads the store itself, so the loss of a relay adds
calls to the store but does not make views stale.
"""

import functools
import random
from collections.abc import Callable

from wheelslip.forwarding.leased_key import FOREIGN_VALUE, LeasedKey
from wheelslip.registry.interface import KeyValueStore
from wheelslip.registry.registry import Registry
from wheelslip.settings import Address

RELAY_PREFIX = "wheelslip/relay/"
LEASE_SECONDS = 3.0

MAX_CANDIDATE_VIEW_AGE_SECONDS = 2.5
"""A node whose view is older does not become a relay."""

RELAY_UPDATE_SECONDS = (0.1, 0.3)
"""Range of the time for which relays leave an update of a shared record to the first relay."""

FOLLOWER_UPDATE_SECONDS = (0.5, 2.0)
"""The same for nodes that are not relays."""

MAX_ELECTION_DELAY_SECONDS = 0.6
"""Election delay of a node without bandwidth. A relay sends each change to all its followers at
once, which delays other messages on a slow link."""

NO_DELAY_LINK_MEGABITS = 100.0
"""Bandwidth in Mbit/s from which a node takes part in an election without delay."""


MAX_CACHED_ADDRESSES = 64
"""Maximum number of decoded addresses in the cache; some times the number of zones."""


@functools.lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def _decode_address(value: bytes) -> str | None:
    """Return the address in the value of a relay's key, ``None`` if there is none."""
    text = value.decode("latin-1")
    try:
        Address.parse(text)
    except ValueError:
        return None
    return text


def relay_addresses(registry: Registry) -> dict[str, str]:
    """Return the addresses of the relays by key; values that are no addresses are left out."""
    addresses = {}
    for key, value in registry.system_entries(RELAY_PREFIX).items():
        address = _decode_address(value)
        if address is None:
            registry.refuse_system_entry(key, FOREIGN_VALUE)
        else:
            addresses[key] = address
    return addresses


def election_delay_seconds(link_megabits: float) -> float:
    """Return by how long a node delays its candidacy in favor of nodes with faster links.

    :param link_megabits: bandwidth of the node's link in Mbit/s.
    """
    return MAX_ELECTION_DELAY_SECONDS * max(0.0, 1.0 - link_megabits / NO_DELAY_LINK_MEGABITS)


class RelayLease(LeasedKey):
    """Leased key of the relay of a zone.

    :param address: where this node answers polls, ``IP:PORT``.
    :param link_megabits: returns the bandwidth of this node's link in Mbit/s.
    """

    def __init__(
        self,
        zone: str,
        address: str,
        store: KeyValueStore,
        registry: Registry,
        min_lease_seconds: Callable[[], float],
        clock: Callable[[], float],
        random_source: random.Random,
        link_megabits: Callable[[], float],
    ):
        super().__init__(
            RELAY_PREFIX + zone,
            address.encode(),
            store,
            registry,
            lambda: max(min_lease_seconds(), LEASE_SECONDS),
            clock,
            random_source,
            lambda: election_delay_seconds(link_megabits()),
        )
        self._address = address

    def _is_own_value(self, value: bytes) -> bool:
        return _decode_address(value) is not None

    def _may_acquire(self) -> bool:
        return super()._may_acquire() and self._registry.age() < MAX_CANDIDATE_VIEW_AGE_SECONDS

    def other_zone_addresses(self) -> list[str]:
        """Return the addresses of the other zones' relays; empty if this node is no relay."""
        if self.token() is None:
            return []
        relays = relay_addresses(self._registry)
        return sorted(address for key, address in relays.items() if key != self._key)

    def other_addresses(self) -> list[str]:
        """Return the addresses of the relays of all zones except this node."""
        relays = relay_addresses(self._registry).values()
        return [address for address in relays if address != self._address]

    def addresses_by_tenure(self) -> list[str]:
        """Return the addresses of the relays of all zones, longest tenure first.

        The order is that of the revisions at which the keys were created, and so the same on all
        nodes.
        """
        relays = relay_addresses(self._registry)
        by_revision = sorted(relays, key=lambda key: self._registry.system_entry(key)[1])
        return [relays[key] for key in by_revision]

    def nearest_first(self) -> list[str]:
        """Return the addresses of the relays, that of this node's zone first, and of this node."""
        relays = self.addresses_by_tenure()
        nearest = self._address if self._address in relays else self.node_to_follow()
        ordered = sorted(relays, key=lambda address: address != nearest)
        return ordered if self._address in ordered else [*ordered, self._address]

    def update_delay_seconds(self) -> float:
        """Return how long this node leaves an update of a shared record to other nodes."""
        relays = self.addresses_by_tenure()
        if relays[:1] == [self._address]:
            return 0.0
        is_early = self._address in relays or not relays
        return self._random.uniform(
            *(RELAY_UPDATE_SECONDS if is_early else FOLLOWER_UPDATE_SECONDS)
        )

    def dispatchers_of(self, service: str) -> list[str]:
        """Return the addresses of the dispatchers of a service, in order of preference.

        If there are rate limits for tenants or for workers of the service, the relay with the
        longest tenure comes first, since the dispatcher also enforces the limits. Otherwise
        services are distributed over the relays in order of tenure, those of model engines first:
        those relays have the most complete placement state, and a new relay takes over no service.
        """
        relays = self.addresses_by_tenure()
        cfg = self._registry.configuration
        if (
            not relays
            or cfg is None
            or cfg.tenant_limits
            or self._registry.has_limited_worker(service)
        ):
            return relays
        services = sorted(cfg.services.values(), key=lambda item: (item.engine is None, item.name))
        names = [item.name for item in services]
        first = names.index(service) % len(relays) if service in names else 0
        return relays[first:] + relays[:first]

    def node_to_follow(self) -> str | None:
        """Return the address of the node that this node polls, ``None`` to read the store.

        A node follows the relay of its zone, and the relays follow the one with the smallest key.
        Each relay follows only relays whose keys sort before its own, so even nodes with different
        views of the relays do not follow each other in a cycle.
        """
        relays = relay_addresses(self._registry)
        followed = self._key if self.token() is None else min([self._key, *relays])
        address = relays.get(followed)
        return address if address != self._address else None
