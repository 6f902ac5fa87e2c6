"""Settings of a forwarding node, validated when its TOML file is loaded."""

from typing import Annotated

import msgspec

from wheelslip.settings import (
    Address,
    NonEmptyText,
    PositiveFloat,
    PositiveInt,
    check_address,
    read_settings,
)

NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0.0)]


class NodeSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Identity and listening addresses of the node.

    :ivar callers: address for requests of callers.
    :ivar readiness: address for readiness checks.
    :ivar metrics: address for metrics; empty to serve none.
    :ivar peers: address for datagrams between nodes, empty for a node without peers. Nodes on
        different machines use the same port.
    :ivar seeds: addresses of some other nodes, see :meth:`seed_addresses`.
    """

    name: NonEmptyText
    zone: NonEmptyText
    callers: str
    readiness: str
    metrics: str = ""
    peers: str = ""
    seeds: tuple[str, ...] = ()

    def seed_addresses(self) -> list[str]:
        """Return the addresses at which the seeds receive datagrams.

        A seed on another machine uses the port of ``peers``; one on this machine uses its own.
        """
        own_host, _, port = self.peers.rpartition(":")
        hosts = [seed.rpartition(":")[0] for seed in self.seeds]
        return [
            seed if host == own_host else f"{host}:{port}"
            for host, seed in zip(hosts, self.seeds, strict=True)
        ]


class StoreSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Key-value store for configuration, worker entries and leases."""

    address: str
    min_lease_ms: PositiveInt = 1000


class LimitsSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Resource limits of the machine.

    :ivar link_megabits: bandwidth of its network link in Mbit/s.
    """

    memory_megabytes: PositiveInt = 300
    max_descriptors: PositiveInt = 1024
    link_megabits: PositiveFloat = 1000.0


class BoundsSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Service level bounds of the deployment.

    :ivar contact_ms: time after the end of a disruption for which its effects are tolerated.
    :ivar worker_drain_ms: time after which a departing worker receives no new requests.
    :ivar stop_grace_seconds: time from SIGTERM to SIGKILL.
    :ivar key_revocation_ms: time after which requests with a revoked key are rejected.
    :ivar retry_ratio: maximum ratio of retries to requests of all nodes together.
    :ivar retry_window_seconds: window over which ``retry_ratio`` applies.
    :ivar holder_lease_ms: minimum time between orders of two different holders.
    :ivar thaw_slack_ms: delay of an order that is tolerated after a process was suspended.
    :ivar weights_deadline_ms: time after which no request starts on replaced weights.
    :ivar heartbeat_ms: interval at which workers renew their entries.
    :ivar limit_window_seconds: window over which the limits of tenants apply.
    :ivar limit_overage: ratio by which a tenant may exceed its limit in a window.
    :ivar limit_slack: additional tolerance in a window, in units of the limit.
    """

    contact_ms: PositiveInt = 3000
    worker_drain_ms: PositiveInt = 2000
    stop_grace_seconds: PositiveFloat = 8.0
    key_revocation_ms: PositiveInt = 5000
    retry_ratio: PositiveFloat = 0.2
    retry_window_seconds: PositiveFloat = 10.0
    holder_lease_ms: PositiveInt = 3000
    thaw_slack_ms: PositiveInt = 300
    weights_deadline_ms: PositiveInt = 8000
    heartbeat_ms: PositiveInt = 1200
    limit_window_seconds: PositiveFloat = 8.0
    limit_overage: NonNegativeFloat = 0.0
    limit_slack: NonNegativeFloat = 0.0


class RoutingSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Switches of parts of the routing.

    :ivar dispatch: whether one node of the fleet chooses the workers of a service for all nodes.
    :ivar limit_admission: whether the dispatcher rejects requests that no worker can start in time.
    :ivar queue: whether requests that no worker can start soon wait at the dispatcher.
    :ivar learn_speeds: whether the speeds of workers are learned from their requests, rather than
        assumed to be the same.
    :ivar overload_contract: contract whose presence switches ``queue`` and ``learn_speeds`` on.
    """

    dispatch: bool = True
    limit_admission: bool = True
    queue: bool = False
    overload_contract: str = ""
    learn_speeds: bool = False


class ForwardingSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """All settings of a forwarding node.

    :ivar contracts: names of the contracts that the deployment has in force.
    """

    node: NodeSection
    store: StoreSection
    limits: LimitsSection = msgspec.field(default_factory=LimitsSection)
    bounds: BoundsSection = msgspec.field(default_factory=BoundsSection)
    routing: RoutingSection = msgspec.field(default_factory=RoutingSection)
    contracts: dict[str, bool] = msgspec.field(default_factory=dict)

    @property
    def queues_requests(self) -> bool:
        """Whether requests that no worker can start soon wait at the dispatcher."""
        return self.routing.queue or self._has_overload_contract

    @property
    def learns_speeds(self) -> bool:
        """Whether the speeds of workers are learned."""
        return self.routing.learn_speeds or self._has_overload_contract

    @property
    def _has_overload_contract(self) -> bool:
        return self.contracts.get(self.routing.overload_contract, False)


def load_forwarding_settings(path: str) -> ForwardingSettings:
    """Read and check a settings file.

    :raises SettingsError: if the file is invalid; names the file, the key and the reason.
    """
    settings = read_settings(path, ForwardingSettings)
    check_address(path, "node.callers", settings.node.callers)
    check_address(path, "node.readiness", settings.node.readiness)
    if settings.node.metrics:
        check_address(path, "node.metrics", settings.node.metrics)
    if settings.node.peers:
        check_address(path, "node.peers", settings.node.peers)
    for position, seed in enumerate(settings.node.seeds):
        check_address(path, f"node.seeds[{position}]", seed)
    check_address(path, "store.address", settings.store.address)
    return settings


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and port of a validated address."""
    address = Address.parse(text)
    return address.host, address.port
