"""A node process: creates, connects, starts and stops its tasks and services."""

import threading
import time

from wheelslip.callers.admission import PolicySet, TenantLimiter
from wheelslip.callers.app import CallerApp, CallerServices
from wheelslip.callers.call import RelayServices
from wheelslip.engines.client import EngineClient
from wheelslip.engines.directory import EngineDirectory
from wheelslip.events import LogEvent, log_event
from wheelslip.http_service import HttpService, ServiceLimits
from wheelslip.keyvalue.claims import ClaimStore
from wheelslip.keyvalue.client import KeyValueClient
from wheelslip.machines.client import MachineListClient
from wheelslip.metrics import NodeMetrics
from wheelslip.operators.api import OperatorApp, OperatorServices
from wheelslip.operators.configuration import Configuration
from wheelslip.operators.store import ConfigurationStore
from wheelslip.operators.task import ConfigurationTask
from wheelslip.peers.connection import PeerCaller, PeerServer, TrafficCounts
from wheelslip.peers.messages import (
    ConfigurationPull,
    ConfigurationPush,
    MemberInfo,
    PeerReply,
    PeerRequest,
    Record,
    SyncRequest,
)
from wheelslip.peers.prefix_link import PrefixLink
from wheelslip.peers.task import MembershipTask
from wheelslip.routing.cost import SchedulerOptions
from wheelslip.routing.task import RouterTask
from wheelslip.settings import Address, Settings
from wheelslip.stopping import StopState
from wheelslip.weights.controller import PlacementController

_OPERATOR_THREADS = 8


class Node:
    """A node with its router, peer protocol, caller API and operator API."""

    def __init__(self, settings: Settings):
        self._settings = settings
        self._stop_state = StopState()
        self._ready_logged = threading.Event()
        self._metrics = NodeMetrics()
        self._policies = PolicySet(self._metrics)
        node, limits = settings.node, settings.limits
        traffic = TrafficCounts()
        source_host = Address.parse(node.peers).host
        peer_caller = PeerCaller(source_host, traffic)
        own_member = MemberInfo(
            node.name, node.zone, node.region, node.advertised or node.peers, node.operators
        )
        key_value = KeyValueClient(settings.platform.key_value, limits.key_value_timeout_seconds)
        store = ConfigurationStore(key_value)
        self._membership = MembershipTask(
            node.peers,
            own_member,
            node.seeds,
            self._on_revision,
            self._on_record,
            peer_caller,
            traffic,
            on_prefix=lambda message: self._prefix_link.receive(message, self._router),
        )
        self._prefix_link = PrefixLink(own_member, self._membership)
        self._configuration = ConfigurationTask(
            own_member,
            peer_caller,
            node.seeds,
            store,
            self._live_members,
            self._apply_configuration,
        )
        self._router = RouterTask(
            SchedulerOptions(
                zone=node.zone,
                max_waiting=limits.max_waiting_requests,
                home_lookup_timeout_seconds=limits.home_answer_seconds,
            ),
            self._prefix_link,
        )
        self._engine_client = EngineClient(
            limits.engine_connect_seconds,
            limits.engine_stall_seconds,
            limits.caller_threads,
            source_host,
        )
        self._directory = EngineDirectory(
            own_member,
            MachineListClient(settings.platform.machine_list, limits.key_value_timeout_seconds),
            self._engine_client,
            self._router,
            self._live_members,
            self._membership.publish,
        )
        self._claims = ClaimStore(key_value)
        self._placement = PlacementController(
            own_member,
            key_value,
            self._engine_client,
            self._directory,
            self._live_members,
            lambda: self._configuration.in_force,
        )
        self._peer_server = PeerServer(node.peers, self._handle_peer_request, traffic)
        self._caller_service = HttpService(
            "callers", node.callers, self._caller_app().handle, _caller_limits(settings)
        )
        operator_app = OperatorApp(
            OperatorServices(
                own_member,
                peer_caller,
                store,
                self._configuration,
                self._membership,
                self._directory,
            )
        )
        self._operator_service = HttpService(
            "operators", node.operators, operator_app.handle, ServiceLimits(_OPERATOR_THREADS)
        )

    def start(self) -> None:
        """Start all tasks; requests are served once a configuration is in force.

        :raises OSError: if an address cannot be bound.
        """
        self._peer_server.start()
        self._router.start()
        self._membership.start()
        self._claims.start()
        self._configuration.start()
        self._directory.start()
        self._placement.start()
        self._operator_service.start()
        self._caller_service.start()
        node = self._settings.node
        log_event(LogEvent.NODE_STARTED, callers=node.callers, peers=node.peers)

    def stop(self) -> int:
        """Finish running requests until the stop deadline, then stop all tasks.

        :return: number of requests and claims still unfinished at the deadline.
        """
        deadline = time.monotonic() + self._settings.limits.stop_deadline_seconds
        log_event(LogEvent.NODE_STOP_REQUESTED)
        unfinished = self._stop_state.drain(deadline)
        unfinished += self._claims.stop(deadline)
        if unfinished:
            log_event(LogEvent.NODE_STOP_CUT, cut=unfinished)
        self._caller_service.stop()
        self._placement.stop()
        self._directory.stop()
        self._configuration.stop()
        self._membership.stop()
        self._peer_server.stop()
        self._operator_service.stop()
        self._router.stop()
        log_event(LogEvent.NODE_STOPPED)
        return unfinished

    def _caller_app(self) -> CallerApp:
        relay = RelayServices(self._router, self._engine_client, self._directory, self._claims)
        return CallerApp(
            CallerServices(
                relay,
                lambda: self._configuration.in_force,
                TenantLimiter(self._tenant_limit_share),
                self._policies,
                self._metrics,
                self._stop_state,
                self._refresh_metrics,
            )
        )

    def _live_members(self) -> tuple[MemberInfo, ...]:
        return self._membership.view.live_members

    def _tenant_limit_share(self, tenant: str) -> float:
        return 1.0 / max(1, len(self._live_members()))

    def _on_revision(self, address: str, revision: int) -> None:
        self._configuration.record_peer_revision(address, revision)

    def _on_record(self, record: Record) -> None:
        self._directory.apply_record(record)

    def _apply_configuration(self, configuration: Configuration) -> None:
        self._policies.update(configuration)
        self._directory.set_drained(configuration.drained_engines)
        self._membership.announce_revision(configuration.revision)
        if not self._ready_logged.is_set():
            self._ready_logged.set()
            log_event(LogEvent.NODE_READY, revision=configuration.revision)

    def _handle_peer_request(self, request: PeerRequest) -> PeerReply:
        if isinstance(request, SyncRequest):
            return self._membership.handle_sync(request)
        if isinstance(request, ConfigurationPull):
            return self._configuration.handle_pull(request)
        if isinstance(request, ConfigurationPush):
            return self._configuration.handle_push(request)
        return self._configuration.revision_reply()

    def _refresh_metrics(self) -> None:
        counts = self._router.counts
        traffic = self._membership.traffic
        revision = self._configuration.revision_reply().revision
        for name, value in (
            ("waiting_requests", counts.waiting),
            ("running_requests", counts.running),
            ("known_engines", counts.engines),
            ("known_blocks", counts.known_blocks),
            ("live_members", len(self._live_members())),
            ("configuration_revision", revision),
            ("control_bytes_sent", traffic.bytes_sent),
            ("control_bytes_received", traffic.bytes_received),
            ("control_messages_sent", traffic.messages_sent),
        ):
            self._metrics.set_gauge(name, value)


def _caller_limits(settings: Settings) -> ServiceLimits:
    limits = settings.limits
    return ServiceLimits(
        limits.caller_threads,
        limits.max_body_bytes,
        limits.max_header_bytes,
        limits.caller_timeout_seconds,
    )
