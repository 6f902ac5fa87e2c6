"""Placement controller: one node per pool carries out rollouts while it holds a fenced lease."""

import threading
from collections.abc import Callable

from wheelslip.engines.client import EngineClient, EngineError
from wheelslip.engines.directory import EngineDirectory
from wheelslip.events import LogEvent, log_event
from wheelslip.keyvalue.client import KeyValueClient
from wheelslip.keyvalue.lease import DutyLease, LeaseNotHeld
from wheelslip.operators.configuration import Configuration
from wheelslip.peers.messages import MemberInfo
from wheelslip.routing import rendezvous
from wheelslip.routing.model import EngineInfo, EngineState
from wheelslip.weights.rollout import EnginePhase, EngineSnapshot, Order, OrderKind, next_orders

RECONCILE_INTERVAL_SECONDS = 1.0
LEASE_SECONDS = 5
_DUTY = "placement"


class PlacementController:
    """Reconciles the pools whose placement duty is assigned to this node by rendezvous hashing.

    :param members: returns the live nodes.
    :param configuration: returns the current configuration, ``None`` if there is none yet.
    """

    def __init__(
        self,
        this_node: MemberInfo,
        key_value: KeyValueClient,
        client: EngineClient,
        directory: EngineDirectory,
        members: Callable[[], tuple[MemberInfo, ...]],
        configuration: Callable[[], Configuration | None],
    ):
        self._this_node = this_node
        self._key_value = key_value
        self._client = client
        self._directory = directory
        self._members = members
        self._configuration = configuration
        self._leases: dict[str, DutyLease] = {}
        self._held_pools: set[str] = set()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="placement", daemon=True)

    def start(self) -> None:
        """Start the reconcile thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the reconcile thread. The leases expire, and other nodes continue."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.wait(RECONCILE_INTERVAL_SECONDS):
            configuration = self._configuration()
            if configuration is None:
                continue
            for pool, spec in configuration.pools.items():
                desired_versions = {
                    name: model.version
                    for name, model in configuration.models.items()
                    if model.pool == pool
                }
                if self._owns(pool) and self._needs_orders(desired_versions):
                    self._reconcile(pool, desired_versions, spec.loads_at_once)

    def _owns(self, pool: str) -> bool:
        names = [member.name for member in self._members()]
        return rendezvous.owner(f"{_DUTY}/{pool}", names) == self._this_node.name

    def _engines(self, desired_versions: dict[str, str]) -> list[EngineInfo]:
        return [engine for engine in self._directory.engines() if engine.model in desired_versions]

    def _needs_orders(self, desired_versions: dict[str, str]) -> bool:
        """Return whether an engine may need an order; otherwise no lease is acquired."""
        return any(
            engine.weights_version != desired_versions[engine.model]
            or engine.state is not EngineState.SERVING
            for engine in self._engines(desired_versions)
            if engine.state is not EngineState.DOWN
        )

    def _reconcile(
        self, pool: str, desired_versions: dict[str, str], max_concurrent_loads: int
    ) -> None:
        lease = self._leases.get(pool)
        if lease is None:
            duty = f"{_DUTY}/{pool}"
            lease = DutyLease(self._key_value, duty, self._this_node.name, LEASE_SECONDS)
            self._leases[pool] = lease
        try:
            token = lease.fencing_token()
        except LeaseNotHeld as error:
            if pool in self._held_pools:
                log_event(LogEvent.LEASE_LOST, duty=f"{_DUTY}/{pool}", reason=str(error))
            self._held_pools.discard(pool)
            return
        self._held_pools.add(pool)
        engines = {engine.name: engine for engine in self._engines(desired_versions)}
        snapshots = [
            snapshot for engine in engines.values() if (snapshot := self._read_snapshot(engine))
        ]
        for order in next_orders(snapshots, desired_versions, max_concurrent_loads):
            self._send_order(engines[order.engine], order, token)

    def _read_snapshot(self, engine: EngineInfo) -> EngineSnapshot | None:
        try:
            status = self._client.status(engine.address)
        except EngineError:
            return None
        phases = {phase.value for phase in EnginePhase}
        phase = EnginePhase(status.state) if status.state in phases else EnginePhase.LEAVING
        running = status.running + status.waiting
        return EngineSnapshot(engine.name, status.model, status.weights_version, phase, running)

    def _send_order(self, engine: EngineInfo, order: Order, token: int) -> None:
        document = {"action": order.kind.value}
        if order.kind is OrderKind.LOAD_WEIGHTS:
            document["weights_version"] = order.weights_version
        fields = {"engine": engine.name, "order": order.kind.value, "fencing_token": token}
        try:
            self._client.send_order(engine, token, document)
        except EngineError as error:
            # The order may have been accepted; the next step reads the state of the engine.
            log_event(LogEvent.ORDER_REFUSED, reason=str(error), **fields)
            return
        log_event(LogEvent.ORDER_GIVEN, **fields)
        self._directory.schedule_check(engine.name)
