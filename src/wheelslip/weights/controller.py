"""The placement controller: one node a pool carries rollouts out, under a fenced lease."""

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

RECONCILE_SECONDS = 1.0
LEASE_SECONDS = 5
_DUTY = "placement"


class PlacementController:
    """Reconciles every pool whose duty hashes to this node."""

    def __init__(
        self,
        me: MemberInfo,
        key_value: KeyValueClient,
        client: EngineClient,
        directory: EngineDirectory,
        members: Callable[[], tuple[MemberInfo, ...]],
        configuration: Callable[[], Configuration | None],
    ):
        self._me = me
        self._key_value = key_value
        self._client = client
        self._directory = directory
        self._members = members
        self._configuration = configuration
        self._leases: dict[str, DutyLease] = {}
        self._holding: set[str] = set()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="placement", daemon=True)

    def start(self) -> None:
        """Begin to reconcile."""
        self._thread.start()

    def stop(self) -> None:
        """End; the lease lapses and another node goes on."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.wait(RECONCILE_SECONDS):
            configuration = self._configuration()
            if configuration is None:
                continue
            for pool, spec in configuration.pools.items():
                wanted = {
                    name: model.version
                    for name, model in configuration.models.items()
                    if model.pool == pool
                }
                if self._owns(pool) and self._differs(wanted):
                    self._reconcile(pool, wanted, spec.loads_at_once)

    def _owns(self, pool: str) -> bool:
        names = [member.name for member in self._members()]
        return rendezvous.owner(f"{_DUTY}/{pool}", names) == self._me.name

    def _engines(self, wanted: dict[str, str]) -> list[EngineInfo]:
        return [one for one in self._directory.engines() if one.model in wanted]

    def _differs(self, wanted: dict[str, str]) -> bool:
        """Whether any engine may need an order; a pool at rest costs no lease."""
        return any(
            one.weights_version != wanted[one.model] or one.state is not EngineState.SERVING
            for one in self._engines(wanted)
            if one.state is not EngineState.DOWN
        )

    def _reconcile(self, pool: str, wanted: dict[str, str], loads_at_once: int) -> None:
        lease = self._leases.get(pool)
        if lease is None:
            duty = f"{_DUTY}/{pool}"
            lease = DutyLease(self._key_value, duty, self._me.name, LEASE_SECONDS)
            self._leases[pool] = lease
        try:
            token = lease.fencing_token()
        except LeaseNotHeld as error:
            if pool in self._holding:
                log_event(LogEvent.LEASE_LOST, duty=f"{_DUTY}/{pool}", reason=str(error))
            self._holding.discard(pool)
            return
        self._holding.add(pool)
        engines = {one.name: one for one in self._engines(wanted)}
        snapshots = [snapshot for one in engines.values() if (snapshot := self._read(one))]
        for order in next_orders(snapshots, wanted, loads_at_once):
            self._give(engines[order.engine], order, token)

    def _read(self, engine: EngineInfo) -> EngineSnapshot | None:
        try:
            status = self._client.status(engine.address)
        except EngineError:
            return None
        known = {phase.value for phase in EnginePhase}
        phase = EnginePhase(status.state) if status.state in known else EnginePhase.LEAVING
        running = status.running + status.waiting
        return EngineSnapshot(engine.name, status.model, status.weights_version, phase, running)

    def _give(self, engine: EngineInfo, order: Order, token: int) -> None:
        document = {"action": order.kind.value}
        if order.kind is OrderKind.LOAD_WEIGHTS:
            document["weights_version"] = order.weights_version
        fields = {"engine": engine.name, "order": order.kind.value, "fencing_token": token}
        try:
            self._client.send_order(engine, token, document)
        except EngineError as error:
            # A lost answer may hide an order taken; the next step asks the engine itself.
            log_event(LogEvent.ORDER_REFUSED, reason=str(error), **fields)
            return
        log_event(LogEvent.ORDER_GIVEN, **fields)
        self._directory.schedule_check(engine.name)
