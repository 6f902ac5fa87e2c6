"""Enforcement of the rate limits of tenants and workers at one node."""

from collections.abc import Callable

from wheelslip.deployment import TenantLimit
from wheelslip.forwarding.relay import RelayLease
from wheelslip.forwarding_settings import BoundsSection
from wheelslip.peers.datagrams import DatagramSocket
from wheelslip.peers.dispatcher_health import DispatcherHealth
from wheelslip.peers.limit_votes import LimitVotes
from wheelslip.registry.registry import Registry
from wheelslip.routing.limits.limit_authority import Authority, SingleNodeAuthority, VotedAuthority
from wheelslip.routing.limits.tenant_limits import LimitTolerance, TenantLimits
from wheelslip.routing.limits.worker_allowance import WorkerAllowance


class LimitMeter:
    """A node's authority over rate limits, its token buckets and its vote for a meter.

    :param address: address of this node.
    :param relay: None for a node without peers, which has full authority.
    :ivar limits: rate limits of tenants.
    :ivar allowance: this node's share of the rate limits announced by workers.
    :ivar votes: None for a node without peers.
    """

    def __init__(
        self,
        address: str,
        registry: Registry,
        relay: RelayLease | None,
        datagrams: DatagramSocket,
        health: DispatcherHealth,
        bounds: Callable[[], BoundsSection],
        clock: Callable[[], float],
    ):
        self._address = address
        self._registry = registry
        self._bounds = bounds
        self._clock = clock
        self.authority = self._make_authority(relay)
        self.limits = TenantLimits(self._tenant_limits, self.authority, clock, self._tolerance)
        self.allowance = WorkerAllowance(registry.limits, self.authority)
        self.votes = self._make_votes(relay, datagrams, health) if relay is not None else None

    def _make_authority(self, relay: RelayLease | None) -> Authority:
        if relay is None:
            return SingleNodeAuthority(self._clock)
        return VotedAuthority(
            self._address,
            relay.addresses_by_tenure,
            lambda: self._bounds().limit_overage,
            self._clock,
        )

    def _make_votes(
        self, relay: RelayLease, datagrams: DatagramSocket, health: DispatcherHealth
    ) -> LimitVotes:
        return LimitVotes(
            self._address,
            datagrams,
            self.authority,
            self.limits,
            relay.addresses_by_tenure,
            health.is_responsive,
            lambda: bool(self._tenant_limits()) or self._registry.limits.count() > 0,
            self._clock,
        )

    def _tenant_limits(self) -> dict[str, TenantLimit] | None:
        cfg = self._registry.configuration
        return cfg.tenant_limits if cfg is not None else None

    def _tolerance(self) -> LimitTolerance:
        bounds = self._bounds()
        return LimitTolerance(bounds.limit_window_seconds, bounds.limit_overage, bounds.limit_slack)

    def available_meters(self) -> list[str]:
        """Return the nodes that may charge a request for which no dispatcher is available."""
        return self.votes.available_meters() if self.votes is not None else []

    def release(self) -> None:
        """Release this node's authority before it stops."""
        if self.votes is not None:
            self.votes.release()

    def gauges(self) -> dict[str, Callable[[], float]]:
        """Return functions for the current values, by metric name."""
        return {
            "limit_share": self.authority.share,
            "limit_fleet": lambda: float(self.authority.fleet_size),
            "requests_over_tenant_limits": lambda: float(self.limits.refused),
            "limited_engine_grants": lambda: float(self.allowance.granted),
            "limited_engine_grants_returned": lambda: float(self.allowance.refunded),
            "requests_over_engine_limits": lambda: float(self.allowance.refused),
        }
