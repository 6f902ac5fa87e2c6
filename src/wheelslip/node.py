"""Wiring of one node: every task, how they reach each other, start and planned stop."""

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
    PeerAnswer,
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
    """The whole product on one machine."""

    def __init__(self, settings: Settings):
        self._settings = settings
        self._stop_state = StopState()
        self._ready_logged = threading.Event()
        self._metrics = NodeMetrics()
        self._policies = PolicySet(self._metrics)
        node, limits = settings.node, settings.limits
        traffic = TrafficCounts()
        source_host = Address.parse(node.peers).host
        caller = PeerCaller(source_host, traffic)
        me = MemberInfo(
            node.name, node.zone, node.region, node.advertised or node.peers, node.operators
        )
        key_value = KeyValueClient(settings.platform.key_value, limits.key_value_timeout_seconds)
        store = ConfigurationStore(key_value)
        self._membership = MembershipTask(
            node.peers,
            me,
            node.seeds,
            self._see_revision,
            self._see_record,
            caller,
            traffic,
            on_prefix=lambda message: self._prefix_link.receive(message, self._router),
        )
        self._prefix_link = PrefixLink(me, self._membership)
        self._configuration = ConfigurationTask(
            me, caller, node.seeds, store, self._live_members, self._put_in_force
        )
        self._router = RouterTask(
            SchedulerOptions(
                zone=node.zone,
                max_waiting=limits.max_waiting_requests,
                ask_timeout_seconds=limits.home_answer_seconds,
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
            me,
            MachineListClient(settings.platform.machine_list, limits.key_value_timeout_seconds),
            self._engine_client,
            self._router,
            self._live_members,
            self._membership.publish,
        )
        self._claims = ClaimStore(key_value)
        self._placement = PlacementController(
            me,
            key_value,
            self._engine_client,
            self._directory,
            self._live_members,
            lambda: self._configuration.in_force,
        )
        self._peer_server = PeerServer(node.peers, self._answer_peer, traffic)
        self._caller_service = HttpService(
            "callers", node.callers, self._caller_app().handle, _caller_limits(settings)
        )
        operator_app = OperatorApp(
            OperatorServices(
                me, caller, store, self._configuration, self._membership, self._directory
            )
        )
        self._operator_service = HttpService(
            "operators", node.operators, operator_app.handle, ServiceLimits(_OPERATOR_THREADS)
        )

    def start(self) -> None:
        """Start every task; requests are served once a configuration is in force.

        :raises OSError: when an address cannot be bound.
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
        """Finish running requests, hand duties over and end.

        :return: how many requests were cut off at the deadline.
        """
        give_up_at = time.monotonic() + self._settings.limits.stop_deadline_seconds
        log_event(LogEvent.NODE_STOP_REQUESTED)
        cut = self._stop_state.drain(give_up_at)
        cut += self._claims.stop(give_up_at)
        if cut:
            log_event(LogEvent.NODE_STOP_CUT, cut=cut)
        self._caller_service.stop()
        self._placement.stop()
        self._directory.stop()
        self._configuration.stop()
        self._membership.stop()
        self._peer_server.stop()
        self._operator_service.stop()
        self._router.stop()
        log_event(LogEvent.NODE_STOPPED)
        return cut

    def _caller_app(self) -> CallerApp:
        relay = RelayServices(self._router, self._engine_client, self._directory, self._claims)
        return CallerApp(
            CallerServices(
                relay,
                lambda: self._configuration.in_force,
                TenantLimiter(self._share_of_limits),
                self._policies,
                self._metrics,
                self._stop_state,
                self._refresh_metrics,
            )
        )

    def _live_members(self) -> tuple[MemberInfo, ...]:
        return self._membership.view.members

    def _share_of_limits(self, tenant: str) -> float:
        return 1.0 / max(1, len(self._live_members()))

    def _see_revision(self, address: str, revision: int) -> None:
        self._configuration.see_revision(address, revision)

    def _see_record(self, record: Record) -> None:
        self._directory.apply_record(record)

    def _put_in_force(self, configuration: Configuration) -> None:
        self._policies.update(configuration)
        self._directory.set_drained(configuration.drained_engines)
        self._membership.announce_revision(configuration.revision)
        if not self._ready_logged.is_set():
            self._ready_logged.set()
            log_event(LogEvent.NODE_READY, revision=configuration.revision)

    def _answer_peer(self, request: PeerRequest) -> PeerAnswer:
        if isinstance(request, SyncRequest):
            return self._membership.answer_sync(request)
        if isinstance(request, ConfigurationPull):
            return self._configuration.answer_pull(request)
        if isinstance(request, ConfigurationPush):
            return self._configuration.take_push(request)
        return self._configuration.answer_revision()

    def _refresh_metrics(self) -> None:
        counts = self._router.counts
        traffic = self._membership.traffic
        revision = self._configuration.answer_revision().revision
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
