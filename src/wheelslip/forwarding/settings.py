"""Checked settings of a forwarding node: one TOML file, read again on reload."""

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
    """Who this node is and where it listens.

    :ivar metrics: optional; without it no metrics are served.
    :ivar peers: optional address for datagrams between nodes; all nodes use the same port.
    :ivar seeds: addresses of some nodes, see :meth:`seed_addresses`.
    """

    name: NonEmptyText
    zone: NonEmptyText
    callers: str
    readiness: str
    metrics: str = ""
    peers: str = ""
    seeds: tuple[str, ...] = ()

    def seed_addresses(self) -> list[str]:
        """Return where the seeds hear datagrams.

        On another machine that is the port of ``peers``; on one's own, the seed's.
        """
        own_host, _, port = self.peers.rpartition(":")
        hosts = [seed.rpartition(":")[0] for seed in self.seeds]
        return [
            seed if host == own_host else f"{host}:{port}"
            for host, seed in zip(hosts, self.seeds, strict=True)
        ]


class StoreSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The key-value service that holds configuration, workers and leases."""

    address: str
    min_lease_ms: PositiveInt = 1000


class LimitsSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Bounds of the machine.

    :ivar link_megabits: bandwidth of its link, in Mbit/s.
    """

    memory_megabytes: PositiveInt = 300
    max_descriptors: PositiveInt = 1024
    link_megabits: PositiveFloat = 1000.0


class BoundsSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Bounds in time and number that the deployment promises its users.

    :ivar contact_ms: a disruption counts until this long after its end.
    :ivar worker_drain_ms: a leaving worker gets nothing new after this.
    :ivar stop_grace_seconds: time from SIGTERM to SIGKILL.
    :ivar key_revocation_ms: a revoked key must not be served later than this.
    :ivar retry_ratio: retries of all nodes together, as a share of requests.
    :ivar retry_window_seconds: the window over which ``retry_ratio`` is counted.
    :ivar holder_lease_ms: two holders must not give orders within this of each other.
    :ivar thaw_slack_ms: orders delayed by less than this are excused.
    :ivar weights_deadline_ms: no request begins on older weights later than this.
    :ivar heartbeat_ms: how often a worker renews its entry.
    :ivar limit_window_seconds: the window over which a tenant's limit is judged.
    :ivar limit_overage: part by which a tenant may exceed its limit in a window.
    :ivar limit_slack: and on top of that, in units of the limits.
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
    """Switches of mechanisms, for experiments; all are on by default.

    :ivar dispatch: one node of the fleet chooses the workers of a service for all nodes.
    :ivar limit_admission: the dispatcher gives no worker to what none can begin in time.
    """

    dispatch: bool = True
    limit_admission: bool = True


class ForwardingSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """All settings of a forwarding node."""

    node: NodeSection
    store: StoreSection
    limits: LimitsSection = msgspec.field(default_factory=LimitsSection)
    bounds: BoundsSection = msgspec.field(default_factory=BoundsSection)
    routing: RoutingSection = msgspec.field(default_factory=RoutingSection)


def load_forwarding_settings(path: str) -> ForwardingSettings:
    """Read and check a settings file.

    :raises SettingsError: naming file, key and reason.
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
    """Return the host and port of a checked address."""
    address = Address.parse(text)
    return address.host, address.port
