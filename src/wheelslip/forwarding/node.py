"""A forwarding node: construction, tasks and reload."""

import asyncio
import random
import signal
import sys
from collections import Counter
from collections.abc import Callable

from wheelslip.clocks import steady_seconds
from wheelslip.connections.worker_pool import WorkerPool
from wheelslip.crashes.guard import CrashGuard
from wheelslip.deployment import WorkerInfo
from wheelslip.events import LogEvent, NonBlockingHandler, configure_logging, log_event
from wheelslip.forwarding.assignment import WorkerAssigner
from wheelslip.forwarding.feed import FeedServer
from wheelslip.forwarding.forwarder import Forwarder
from wheelslip.forwarding.holder import HolderLease
from wheelslip.forwarding.limit_meter import LimitMeter
from wheelslip.forwarding.long_tasks import BackgroundTasks
from wheelslip.forwarding.metrics import ForwardingMetrics
from wheelslip.forwarding.process_checks import ProcessChecks
from wheelslip.forwarding.registry_sync import RegistrySync
from wheelslip.forwarding.relay import RelayLease
from wheelslip.forwarding.relay_addresses import RelayAddresses
from wheelslip.forwarding.relay_link import RelayLink
from wheelslip.forwarding.rollout import WeightsRollout
from wheelslip.forwarding.rollout_record import RolloutView
from wheelslip.forwarding.server import (
    READY_AGE_SHARE,
    CallerServer,
    MetricsServer,
    ReadinessServer,
)
from wheelslip.forwarding.settings_file import SettingsFile
from wheelslip.forwarding.shutdown import GracefulShutdown
from wheelslip.forwarding.speed_notices import log_speed_change
from wheelslip.forwarding.stream_continuation import StreamContinuation
from wheelslip.forwarding_settings import BoundsSection, ForwardingSettings, parse_address
from wheelslip.keyvalue.eras import OrderedStore
from wheelslip.memory.account import MemoryUse, account_bytes
from wheelslip.memory.node_memory import NodeMemory
from wheelslip.peers.datagrams import DatagramSocket
from wheelslip.peers.dispatch_link import DispatchLink
from wheelslip.peers.dispatch_server import DispatchServer
from wheelslip.peers.dispatcher_health import DispatcherHealth
from wheelslip.peers.limit_reports import LimitReporter
from wheelslip.peers.queue_link import QueueLink
from wheelslip.peers.queue_server import QueueServer
from wheelslip.registry.interface import (
    KeyValueStore,
    RegistryDialect,
    RequestDialect,
    WorkerControl,
)
from wheelslip.registry.registry import Registry
from wheelslip.routing.dispatcher import Dispatcher
from wheelslip.routing.fleet_choice import FleetPlacement
from wheelslip.routing.load_table import LoadTable
from wheelslip.routing.queue.service_times import TimesByService
from wheelslip.routing.speeds.worker_speed import SpeedEstimates
from wheelslip.routing.worker_choice import WorkerPlacement
from wheelslip.streams.saved_records import STREAMS_PREFIX, SavedStreamRecords
from wheelslip.streams.version_link import StreamVersionLink
from wheelslip.streams.version_records import StreamRecords
from wheelslip.streams.version_register import VersionRegister
from wheelslip.tunnels.connector import WorkerConnector
from wheelslip.tunnels.direct_paths import DirectPaths
from wheelslip.tunnels.peers import TunnelPeers
from wheelslip.tunnels.server import TunnelServer

MAX_REFERRALS = 6
"""Maximum number of other nodes that a reply about a tunnel names."""


class ForwardingNode:
    """A node with all its roles, in one process.

    :param settings_path: path of a TOML file, read again when it changes and on SIGHUP.
    :param requests: dialect of requests and responses.
    :param documents: dialect of the registry's keys and documents.
    :param make_store: builds the store client from a function that returns the store's address.
    :param control: client for the workers' reports and orders.
    :param clock: steady clock in seconds.
    """

    def __init__(
        self,
        settings_path: str,
        requests: RequestDialect,
        documents: RegistryDialect,
        make_store: Callable[[Callable[[], str]], KeyValueStore],
        control: WorkerControl,
        clock: Callable[[], float] = steady_seconds,
    ):
        self._settings_file = SettingsFile(settings_path)
        self._clock = clock
        self._random = random_source = random.Random()
        store = OrderedStore(make_store(lambda: self.settings.store.address))
        self._registry = Registry(documents, self.bounds, clock, STREAMS_PREFIX)
        control.on_response = self._registry.notices.record_response
        section = self.settings.node
        self._table = table = LoadTable()
        self._paths = DirectPaths(clock)
        self._tunnel_peers = TunnelPeers(self._peer_addresses, section.peers, clock, random_source)
        peers = self._tunnel_peers if section.peers else None
        self._connector = WorkerConnector(self._paths, peers, clock)
        self._pool = WorkerPool(clock, self._paths, self._connector)
        own_speeds = SpeedEstimates(clock)
        self._speeds = SpeedEstimates(clock, own_speeds, log_speed_change)
        self._placement = WorkerPlacement(
            self._registry,
            clock,
            random_source,
            table,
            own_speeds,
            self._learns_speeds,
            lambda: self.settings.queues_requests,
        )
        self._fleet = FleetPlacement(
            self._registry,
            clock,
            random_source,
            table,
            lambda: self.settings.routing.limit_admission,
            self._speeds,
            self._learns_speeds,
        )
        self._placement.brittle = self._fleet.brittle = self._registry.notices.brittle
        own_loads = self._placement.own_loads
        self._registry.view.on_removed = self._forget_worker
        self._rollout_view = RolloutView(self._registry, clock)
        self._crash_guard = CrashGuard(
            section.name,
            store,
            self._registry,
            clock,
            random_source,
            self._connector.reached_by_peer if section.peers else None,
        )
        self._registry.on_system_entry = self._system_entry_changed
        self._relay = self._make_relay(store, random_source) if section.peers else None
        relays = RelayAddresses(self._relay, section.peers)
        self._feed = FeedServer(self._registry, table, own_loads, clock)
        self._datagrams = DatagramSocket()
        self._relay_link = RelayLink(
            section.zone,
            self._datagrams,
            table,
            own_loads,
            relays.in_other_zones,
            clock,
            random_source,
        )
        health = DispatcherHealth(clock, random_source)
        self._meter = LimitMeter(
            section.peers,
            self._registry,
            self._relay,
            self._datagrams,
            health,
            self.bounds,
            clock,
        )
        times = TimesByService()
        self._dispatcher = Dispatcher(
            self._fleet, self._meter.limits, self._meter.allowance, clock, self._uses_queue, times
        )
        notices = self._registry.notices
        self._limit_reports = LimitReporter(
            section.peers,
            self._datagrams,
            notices.limits,
            notices.apply_report,
            relays.by_tenure,
            self._feed.recent_followers,
        )
        notices.report_limit = self._limit_reports.report_observation
        self._memory = NodeMemory(
            lambda: account_bytes(self.settings.limits.memory_megabytes), clock
        )
        self._tunnel_server = TunnelServer(
            self._registry, self._paths, self._memory, self._referrals, clock
        )
        self._feed.accept_tunnel = self._tunnel_server.accept
        self._metrics = ForwardingMetrics()
        incarnation = f"{random_source.getrandbits(48):012x}"
        queue_server = QueueServer(
            incarnation,
            self._datagrams,
            self._dispatcher,
            self._uses_queue,
            self._limit_reports.report_to,
            clock,
        )
        self._queue_link = QueueLink(
            section.peers,
            self._datagrams,
            queue_server,
            relays.dispatchers_of,
            health,
            self._metrics.record_queue_wait,
            clock,
        )
        self._dispatch_link = DispatchLink(
            incarnation,
            section.peers,
            self._datagrams,
            self._dispatcher,
            self._placement,
            relays.dispatchers_of,
            health,
            self._meter.available_meters,
            notices.limits,
            self._limit_reports.report_to,
            self._queue_link,
            clock,
        )
        self._dispatch_server = DispatchServer(
            incarnation,
            self._datagrams,
            self._dispatcher,
            self._limit_reports.report_to,
            queue_server,
            self._registry.notices.brittle.record,
        )
        self._sync = RegistrySync(
            store,
            self._registry,
            clock,
            random_source,
            self._relay,
            self._peer_addresses,
            section.peers,
            table,
            own_loads,
        )
        self._stream_versions = StreamVersionLink(
            section.peers,
            self._datagrams,
            StreamRecords(clock),
            SavedStreamRecords(store, incarnation, clock),
            VersionRegister(
                store, self._registry, self._streaming_services, relays.update_delay_seconds, clock
            ),
            self._peer_addresses,
            relays.by_tenure,
            self._feed.recent_followers,
            relays.nearest_first,
            clock,
            random_source,
        )
        self._streams = StreamContinuation(
            self._stream_versions,
            self._registry,
            ProcessChecks(control, self._connector, self._paths, clock),
            self.bounds,
            clock,
        )
        self._assigner = WorkerAssigner(
            section.zone,
            self._registry,
            self._placement,
            self._pool,
            self._dispatch_link if section.peers else None,
            self._meter.limits,
            self._meter.allowance,
            times,
            lambda: self.settings.routing.dispatch,
            self._uses_queue,
            self._streams.excluded_workers,
            clock,
        )
        self._forwarder = Forwarder(
            requests,
            self._registry,
            self._assigner,
            self._pool,
            self._crash_guard,
            self._streams,
            self.bounds,
            clock,
            self._metrics,
        )
        self._lease = HolderLease(
            store,
            self._registry,
            self.settings.node.name,
            self.bounds,
            self._min_lease_seconds,
            clock,
            random_source,
            relays.is_relay,
            lambda: self._paths.isolated,
        )
        self._rollout = WeightsRollout(
            store,
            control,
            self._registry,
            self._rollout_view,
            self._placement,
            self._lease,
            self.bounds,
            self._has_waited,
            clock,
        )
        self._rollout.on_unreachable = self._connector.check_path
        self._callers = CallerServer(
            self._forwarder,
            self._registry,
            clock,
            self._memory,
        )
        self._readiness = ReadinessServer(self.is_ready, clock)
        self._metrics.gauges = self._gauges()
        self._metrics_server = MetricsServer(self._metrics, clock)
        self._tasks = BackgroundTasks()

    @property
    def settings(self) -> ForwardingSettings:
        """The settings in force."""
        return self._settings_file.settings

    def bounds(self) -> BoundsSection:
        """Return the bounds in force."""
        return self.settings.bounds

    def worker_ids(self) -> set[str]:
        """Return the ids of the workers in the view."""
        return {worker.info.worker_id for worker in self._registry.workers.values()}

    def accepts_new_requests(self, worker_id: str) -> bool:
        """Return whether a worker is in the view and accepts new requests."""
        worker = self._registry.view.by_id(worker_id)
        return worker is not None and self._registry.view.accepts_requests(worker)

    def configuration_version(self) -> int | None:
        """Return the version of the configuration in force; ``None`` without one."""
        configuration = self._registry.configuration
        return configuration.version if configuration else None

    def gauge(self, name: str) -> float:
        """Return the current value of a gauge."""
        return self._metrics.gauges[name]()

    def sends(self) -> Counter[tuple[str, str]]:
        """Return the number of requests sent to workers, by service and ``first`` or ``retry``."""
        return self._metrics.sends

    def running_requests_at(self, worker_id: str) -> float:
        """Return the in-flight requests of all nodes at a worker, as recorded by this node."""
        worker = self._registry.view.by_id(worker_id)
        return self._placement.total_load(worker.info.id).running if worker is not None else 0.0

    def hold_bytes(self, count: int, use: MemoryUse = MemoryUse.REQUEST_BODY) -> None:
        """Reserve memory without a connection, as far as there is room; for tests."""
        self._memory.hold_without_connection(use, count)

    def receive_datagram(self, data: bytes) -> None:
        """Handle a datagram as if the socket had received it."""
        self._datagrams.datagram_received(data, ("127.0.0.1", 0))

    def stop_receiving(self) -> None:
        """Close the datagram socket, as in a network partition."""
        self._datagrams.close()

    def close_tunnels(self) -> None:
        """Close the tunnels that this node serves, as its end would."""
        self._tunnel_server.close()

    def refuse_tunnels(self) -> None:
        """Close connections that ask for tunnels, as builds without tunnels do."""
        self._feed.accept_tunnel = None

    def relay_addresses(self) -> list[str]:
        """Return the addresses of the relays in the view, the longest-serving first."""
        return self._relay.addresses_by_tenure()

    def refuses_new(self) -> bool:
        """Return whether the shutdown has reached the phase that refuses new requests."""
        return self._callers.refuses_new

    def view_age(self) -> float:
        """Return the seconds since the view was last current; infinite if it never was."""
        return self._registry.age()

    def is_ready(self) -> bool:
        """Return whether this node is ready: configured, with a current view and not stopping."""
        max_age = READY_AGE_SHARE * self.bounds().key_revocation_ms / 1000
        has_configuration = self._registry.configuration is not None
        return has_configuration and self._registry.age() < max_age and not self._callers.stopping

    def _learns_speeds(self) -> bool:
        return self.settings.learns_speeds

    def _min_lease_seconds(self) -> float:
        return self.settings.store.min_lease_ms / 1000

    def _make_relay(self, store: KeyValueStore, random_source: random.Random) -> RelayLease:
        section = self.settings.node
        return RelayLease(
            section.zone,
            section.peers,
            store,
            self._registry,
            self._min_lease_seconds,
            self._clock,
            random_source,
            lambda: self.settings.limits.link_megabits,
        )

    def _has_waited(self, service: str) -> bool:
        queues = (self._queue_link, self._assigner.local_queue)
        return any(service in queue.recent_waits for queue in queues)

    def _uses_queue(self) -> bool:
        return self.settings.queues_requests

    def _peer_addresses(self) -> list[str]:
        section = self.settings.node
        others = {
            *section.seed_addresses(),
            *self._relay.other_addresses(),
            *self._feed.recent_followers(),
        }
        return sorted(others - {section.peers})

    def _streaming_services(self) -> set[str]:
        cfg = self._registry.configuration
        return cfg.streaming_services if cfg is not None else set()

    def _referrals(self) -> list[str]:
        """Return some other nodes that may serve tunnels."""
        addresses = self._peer_addresses()
        return self._random.sample(addresses, min(MAX_REFERRALS, len(addresses)))

    def _gauges(self) -> dict[str, Callable[[], float]]:
        local_queue = self._assigner.local_queue
        return {
            "ready": lambda: float(self.is_ready()),
            "running_requests": lambda: float(self._callers.busy),
            "configuration_version": lambda: float(self.configuration_version() or 0),
            "holder": lambda: float(self._lease.token() is not None),
            "relay": lambda: float(self._relay is not None and self._relay.token() is not None),
            "followers": lambda: float(len(self._feed.connections)),
            "saved_prompts": lambda: float(len(self._table.saved)),
            "waiting_requests": lambda: float(self._queue_link.waiting + local_queue.waiting),
            "queue_rejected_alone": lambda: float(local_queue.rejected),
            "learned_prefill_rate": lambda: (
                self._speeds.mean_rate() if self._learns_speeds() else 0.0
            ),
            "worker_connections_opened": lambda: float(self._connector.opened),
            "tunnels_open": lambda: float(self._tunnel_peers.open_tunnels),
            **self._meter.gauges(),
            **self._memory.gauges(),
            **self._registry.gauges(),
            **self._registry.notices.gauges(),
            **self._dispatcher.gauges(),
            **self._dispatch_link.gauges(),
            **self._datagrams.gauges(),
            **self._crash_guard.gauges(),
            **self._paths.gauges(),
            **self._tunnel_server.gauges(),
            **self._streams.gauges(),
            **self._stream_versions.gauges(),
        }

    def _system_entry_changed(self, key: str) -> None:
        self._rollout_view.entry_changed(key)
        self._crash_guard.entry_changed(key)

    def _forget_worker(self, info: WorkerInfo) -> None:
        incarnation = info.id
        self._pool.close_idle(incarnation)
        self._paths.forget(incarnation)
        self._placement.forget(incarnation)
        self._fleet.forget(incarnation)
        self._streams.forget(incarnation)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        node = self.settings.node
        handler = NonBlockingHandler(sys.stdout.fileno())
        configure_logging(node.name, node.zone, handler)
        loop = asyncio.get_running_loop()
        stop_requested = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
        loop.add_signal_handler(signal.SIGINT, stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        await stop_requested.wait()
        await self.stop()

    async def start(self) -> None:
        """Open the listening sockets and start all tasks."""
        node = self.settings.node
        await self._readiness.listen(*parse_address(node.readiness))
        await self._callers.listen(*parse_address(node.callers))
        if node.metrics:
            await self._metrics_server.listen(*parse_address(node.metrics))
        if node.peers:
            await self._datagrams.listen(*parse_address(node.peers))
            await self._feed.listen(*parse_address(node.peers))
            for name, work in (
                ("relay", self._relay.run),
                ("relays", self._relay_link.run),
                ("dispatch", self._dispatch_link.run),
                ("votes", self._meter.votes.run),
                ("limits", self._limit_reports.run),
                ("streams", self._stream_versions.run),
            ):
                self._tasks.start(name, work)
        for name, work in (
            ("registry", self._sync.run),
            ("lease", self._lease.run),
            ("rollout", self._rollout.run),
            ("software versions", self._stream_versions.register.run),
            ("saved streams", self._stream_versions.saved.run),
            ("crashes", self._crash_guard.reports.run),
            ("part crashes", self._crash_guard.part_reports.run),
            ("pool", self._pool.sweep),
            ("paths", self._connector.probe_while_isolated),
            ("callers", self._callers.sweep),
            ("settings", self._settings_file.watch),
        ):
            self._tasks.start(name, work)
        log_event(LogEvent.NODE_STARTED, callers=node.callers, peers=node.peers)

    async def stop(self) -> None:
        """Shut down: fail readiness, drain requests within the grace time, and close."""
        shutdown = GracefulShutdown(
            self._callers, self._tunnel_server, self._release_leases, self._close, self._clock
        )
        await shutdown.run(self.bounds().stop_grace_seconds)

    def terminate(self) -> None:
        """Abort all requests and close all sockets, as when the process is killed; for tests."""
        self._callers.abort()
        self._close()

    def _close(self) -> None:
        self._tasks.cancel()
        self._callers.close()
        self._readiness.close()
        self._metrics_server.close()
        self._datagrams.close()
        self._feed.close()
        self._tunnel_server.close()
        self._streams.close()
        self._connector.close()

    async def _release_leases(self) -> None:
        await self._lease.stop()
        if self._relay is not None:
            await self._relay.stop()
            self._meter.release()

    def reload(self) -> None:
        """Read the settings again; invalid ones leave the previous ones in force."""
        self._settings_file.reload()
