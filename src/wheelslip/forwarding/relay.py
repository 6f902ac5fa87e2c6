"""One node of each zone passes the store's changes on to its zone, and one reads the store.

The store arbitrates: the relay of a zone holds a key under a lease, whose value is the
address at which it answers polls. The first of the relays reads the store, the others poll
it. Who does not know a relay, or finds it silent or out of touch, reads the store itself, so
a lost relay costs calls and never freshness.
"""

import random
from collections.abc import Callable

from wheelslip.forwarding.interface import KeyValueStore
from wheelslip.forwarding.leased_key import LeasedKey
from wheelslip.forwarding.registry import Registry

RELAY_PREFIX = "wheelslip/relay/"
LEASE_SECONDS = 3.0

MAX_CONTENDER_AGE_SECONDS = 2.5
"""Only a node with a view this young offers to read the store for others."""


GREATEST_HANDICAP_SECONDS = 0.6
"""A node whose link is slow lets others of its zone go first by up to this: a change of the
store goes to all followers at once, some 100 KB for 28 of them, and on a link of 20 Mbit/s
that holds up the questions to a dispatcher for 50 ms."""

WIDE_LINK_MEGABITS = 100.0
"""From this bandwidth on, in Mbit/s, a node lets nobody go first."""


def handicap_seconds(link_megabits: float) -> float:
    """Return how long a node with a link of so many Mbit/s lets others go first."""
    return GREATEST_HANDICAP_SECONDS * max(0.0, 1.0 - link_megabits / WIDE_LINK_MEGABITS)


class RelayLease(LeasedKey):
    """The key of a zone's relay.

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
            lambda: handicap_seconds(link_megabits()),
        )
        self._address = address

    def _may_gain(self) -> bool:
        return super()._may_gain() and self._registry.age() < MAX_CONTENDER_AGE_SECONDS

    def other_zones(self) -> list[str]:
        """Return the addresses of the other zones' relays, while this node is a relay."""
        if self.token() is None:
            return []
        relays = self._registry.system_entries(RELAY_PREFIX)
        return sorted(value.decode("latin-1") for key, value in relays.items() if key != self._key)

    def addresses(self) -> list[str]:
        """Return the addresses of all relays but this node."""
        relays = self._registry.system_entries(RELAY_PREFIX).values()
        return [one.decode("latin-1") for one in relays if one != self._value]

    def by_tenure(self) -> list[str]:
        """Return the addresses of the relays of all zones, the longest in office first.

        All nodes see the same order: that of the revisions at which the keys were made.
        """
        keys = self._registry.system_entries(RELAY_PREFIX)
        entries = sorted(self._registry.system_entry(key)[::-1] for key in keys)
        return [value.decode("latin-1") for _, value in entries]

    def dispatchers_of(self, service: str) -> list[str]:
        """Return who chooses the workers of a service, the first choice first.

        Where tenants or workers of the service have limits, the first relay chooses, since it counts
        for the limits as it does so. Otherwise services are dealt out to the relays in order of tenure,
        those of model engines first: the longest in office knows most, and a new relay takes no
        service away.
        """
        relays = self.by_tenure()
        cfg = self._registry.configuration
        if (
            not relays
            or cfg is None
            or cfg.tenant_limits
            or self._registry.has_limited_worker(service)
        ):
            return relays
        services = sorted(cfg.services.values(), key=lambda one: (one.engine is None, one.name))
        names = [one.name for one in services]
        first = names.index(service) % len(relays) if service in names else 0
        return relays[first:] + relays[:first]

    def node_to_follow(self) -> str | None:
        """Return the address of the node whose view this node polls, ``None`` for the store.

        A node follows the relay of its zone, and the relays follow the first among them, so
        that one node reads the store for all. Each follows only a relay whose key comes before
        its own, whatever it knows of the others, so none follow each other in a circle.
        """
        relays = self._registry.system_entries(RELAY_PREFIX)
        followed = self._key if self.token() is None else min([self._key, *relays])
        value = relays.get(followed)
        return value.decode("latin-1") if value not in (None, self._value) else None
