"""The relays as a node sees them, if it has peers at all."""

from wheelslip.forwarding.relay import RelayLease


class RelayAddresses:
    """Addresses of the relays in the orders in which a node uses them.

    :param relay: ``None`` for a node without peers, which has no relays and does a relay's work.
    :param own_address: address of this node, ``IP:PORT``.
    """

    def __init__(self, relay: RelayLease | None, own_address: str):
        self._relay = relay
        self._own_address = own_address

    def dispatchers_of(self, service: str) -> list[str]:
        """Return the dispatchers of a service in order of preference."""
        return self._relay.dispatchers_of(service) if self._relay else []

    def in_other_zones(self) -> list[str]:
        """Return the relays of the other zones; empty if this node is no relay."""
        return self._relay.other_zone_addresses() if self._relay else []

    def by_tenure(self) -> list[str]:
        """Return the relays of all zones, longest tenure first."""
        return self._relay.addresses_by_tenure() if self._relay else []

    def nearest_first(self) -> list[str]:
        """Return the relays, that of this node's zone first, and this node."""
        return self._relay.nearest_first() if self._relay else [self._own_address]

    def update_delay_seconds(self) -> float:
        """Return how long this node leaves an update of a shared record to other nodes."""
        return self._relay.update_delay_seconds() if self._relay else 0.0

    def is_relay(self) -> bool:
        """Return whether this node does the work of a relay."""
        return self._relay is None or self._relay.token() is not None
