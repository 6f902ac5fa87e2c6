"""Synchronization of the registry view with the store, directly or through a relay.

The store is read by one listing and then by watches from its revision on. A relay is polled from
the same revision, so a node can switch between the two without missing a change.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable, Sequence

from wheelslip.events import LogEvent, log_event
from wheelslip.forwarding.feed import FeedBatch, FeedClient, FeedPoll, FeedUnavailable
from wheelslip.forwarding.relay import RelayLease
from wheelslip.forwarding.stall_meter import StallMeter
from wheelslip.keyvalue.model import KeyValueError, RangeResult, WatchBatch, WatchCompacted
from wheelslip.registry.interface import KeyValueStore
from wheelslip.registry.registry import Registry
from wheelslip.routing.load_table import LoadAtWorker, LoadTable

WATCH_TIMEOUT_SECONDS = 0.6
"""Longest wait of a watch. The view counts as current as of the time at which the watch was sent,
so this limits its age."""

COALESCE_SECONDS = 0.12
"""Pause after changes, so that one call returns those that follow closely."""

PROBE_WAIT_SECONDS = 0.02
"""Longest wait of a watch that probes whether the store is available."""

OUTAGE_FAILURES = 2
"""Consecutive failed calls that are logged as unavailability of the store. A node without peers
takes them for an outage. Single calls also fail by connection resets."""

STALL_SECONDS = 0.7
"""Stall of the event loop from which a failed call is not attributed to the store. Shorter stalls
are within the timeout margin of a watch."""

PEER_POLLS = (1, 3)
"""Range of the number of consecutive peer polls after a failed call. Peers query the store as soon as
they learn of the failure, within 0.2 s."""

PEER_POLLS_TIMEOUT_SECONDS = 1.0
"""Timeout of all peer polls after one failed call, so that unresponsive peers do not delay the next
call to the store: this node may be the only one in trouble. With 1.0 s for each of three peers, it
did not know for 3.9 s that a worker had left."""

PEER_POLL_PAUSE_SECONDS = (0.05, 0.15)
"""Range of the random pause after each peer poll, which spreads the calls of many nodes."""

RELAY_RETRY_SECONDS = (0.8, 1.6)
"""Range of the backoff before an unresponsive relay is polled again."""

STALE_SECONDS = 2.2
"""Age of the view from which a follower probes the store itself. Views stay younger than this while
the store and the relays are available."""

PROBE_MARGIN_SECONDS = 0.35
"""Time reserved for a probe before the drain time of a worker that may have departed since the view
was current. With a longer one, views without trouble would be probed where the drain time is 2 s."""

RELAY_STALE_SECONDS = 1.8
"""Age of the view from which a relay reads the store itself, since its zone depends on it."""

_RELAY_SOURCE = ""
"""Source under which loads reported by the relay are recorded."""

PROBE_INTERVAL_SECONDS = (0.7, 1.4)
"""Range of the interval between probes of the store by a follower."""


class RegistrySync:
    """Task that reads the store, or polls a relay, and updates the view.

    :param relay: lease of the zone's relay; ``None`` for a node without peers.
    :param peer_addresses: returns the addresses of nodes that may answer polls while the store
        is unavailable.
    :param address: address at which this node answers polls, sent with its own polls.
    :param table: records the loads of other nodes at workers.
    :param own_loads: returns the loads of this node at workers.
    """

    def __init__(
        self,
        store: KeyValueStore,
        registry: Registry,
        clock: Callable[[], float],
        random_source: random.Random,
        relay: RelayLease | None = None,
        peer_addresses: Callable[[], list[str]] = list,
        address: str = "",
        table: LoadTable | None = None,
        own_loads: Callable[[], list[LoadAtWorker]] = list,
    ):
        self._address = address
        self._table = table or LoadTable()
        self._own_loads = own_loads
        self._store = store
        self._registry = registry
        self._clock = clock
        self._random = random_source
        self._relay = relay
        self._peer_addresses = peer_addresses
        self._feed = FeedClient()
        self._peer_feed = FeedClient()
        self._revision: int | None = None
        self._history_lost = False
        self._failures = 0
        self._followed: str | None = None
        self._source_failing = False
        self._relay_backoff_until = float("-inf")
        self._next_probe_at = float("-inf")

    async def run(self) -> None:
        """Keep the view current until cancelled."""
        while True:
            address = self._relay_to_follow()
            if address is None:
                await self._read_store()
            else:
                await self._follow(address)
            self._registry.apply_expirations()

    # Reading the store

    async def _read_store(self, wait_seconds: float = WATCH_TIMEOUT_SECONDS) -> None:
        self._log_source(None)
        with StallMeter() as stall:
            await self._call_store(wait_seconds, stall)

    async def _call_store(self, wait_seconds: float, stall: StallMeter) -> None:
        sent_at = self._clock()
        try:
            if self._needs_listing():
                listing = await self._store.range("")
                self._record_response(sent_at)
                self._apply_listing(listing)
            else:
                batch = await self._store.watch("", self._revision, wait_seconds)
                self._record_response(sent_at)
                await self._apply_changes(batch)
            self._registry.confirm(sent_at)
        except WatchCompacted:
            # The store answered, so compacted history is no outage. The view stays in force until
            # a new listing has been read.
            self._record_response(sent_at)
            self._history_lost = True
        except KeyValueError as exc:
            if stall.seconds() < STALL_SECONDS:
                self._record_failure(exc, sent_at)
            else:
                log_event(LogEvent.PROCESS_STALLED, seconds=round(stall.seconds(), 3))
            await self._poll_peers()

    def _needs_listing(self) -> bool:
        """Return whether the store has to be listed before it can be watched.

        Another node's batch does not make up for lost history: its view may be as old.
        """
        return self._revision is None or self._history_lost

    def _apply_listing(self, listing: RangeResult) -> None:
        entries = {entry.key: (entry.value, entry.mod_revision) for entry in listing.entries}
        self._registry.begin_update(listing.revision)
        self._registry.replace_all(entries, listing.revision)
        self._advance(listing.revision)
        self._history_lost = False

    async def _apply_changes(self, batch: WatchBatch) -> None:
        for key, value, revision in batch.changes:
            self._registry.apply(key, value, revision)
        self._advance(batch.revision)
        if batch.changes:
            await asyncio.sleep(COALESCE_SECONDS)

    def _advance(self, revision: int) -> None:
        self._revision = max(self._revision or 0, revision)
        self._registry.entry_log.revision = max(self._registry.entry_log.revision, self._revision)

    def _record_response(self, sent_at: float) -> None:
        """Record that the store answered; call this before its changes are applied."""
        if self._failures >= OUTAGE_FAILURES:
            log_event(LogEvent.KEY_VALUE_REGAINED)
        self._failures = 0
        self._registry.health.record_answered(sent_at, self._clock())

    def _record_failure(self, error: KeyValueError, sent_at: float) -> None:
        self._failures += 1
        self._registry.record_failed_call(sent_at)
        if self._relay is None and self._failures >= OUTAGE_FAILURES:
            self._registry.record_outage(sent_at)
        if self._failures == OUTAGE_FAILURES:
            seconds = round(self._clock() - sent_at, 3)
            log_event(LogEvent.KEY_VALUE_UNAVAILABLE, reason=str(error), seconds=seconds)

    # Following a relay and polling peers

    def _relay_to_follow(self) -> str | None:
        if self._relay is None or self._needs_listing():
            return None
        if self._clock() < self._relay_backoff_until:
            return None
        return self._relay.node_to_follow()

    async def _follow(self, address: str) -> None:
        self._log_source(address)
        poll = asyncio.create_task(self._poll(address))
        try:
            # The view also becomes stale during the poll of an unresponsive relay.
            while not await self._poll_finished(poll):
                await self._probe_store()
            poll.result()
        except FeedUnavailable as exc:
            self._relay_backoff_until = self._clock() + self._random.uniform(*RELAY_RETRY_SECONDS)
            log_event(LogEvent.RELAY_LOST, relay=address, reason=str(exc))
            return
        finally:
            poll.cancel()
        if self._is_relay() and self._registry.age() > RELAY_STALE_SECONDS:
            # Read the store until the followed relay is current again.
            self._relay_backoff_until = self._clock() + self._random.uniform(*RELAY_RETRY_SECONDS)
            await self._read_store(PROBE_WAIT_SECONDS)
        elif self._seconds_until_probe() <= 0:
            await self._probe_store()

    async def _poll_finished(self, poll: asyncio.Task) -> bool:
        """Wait for a poll to end; return ``False`` when a probe of the store is due before."""
        # A poll that is answered within the wait of a probe makes the probe unnecessary.
        seconds = max(PROBE_WAIT_SECONDS, self._seconds_until_probe())
        done, _ = await asyncio.wait({poll}, timeout=seconds)
        return bool(done)

    async def _probe_store(self) -> None:
        """Check whether the store answers, and apply its changes."""
        self._next_probe_at = self._clock() + self._random.uniform(*PROBE_INTERVAL_SECONDS)
        await self._read_store(PROBE_WAIT_SECONDS)

    def _seconds_until_probe(self) -> float:
        """Return the seconds until the next probe of the store is due.

        A node also probes the store when the calls of its relay fail. The relay polls its peers
        and sees by the age of their views whether only its own calls fail.
        """
        until_stale = 0.0 if self._source_failing else self._stale_age() - self._registry.age()
        return max(until_stale, self._next_probe_at - self._clock())

    def _stale_age(self) -> float:
        """Return the age of the view from which the store is probed.

        The drain time limits it: a worker may have departed just after the view was current.
        """
        return min(STALE_SECONDS, self._registry.drain_seconds() - PROBE_MARGIN_SECONDS)

    def _is_relay(self) -> bool:
        return self._relay is not None and self._relay.token() is not None

    async def _poll(self, address: str) -> None:
        """Poll the followed node and exchange loads with it.

        :raises FeedUnavailable: when it does not answer.
        """
        # Relays exchange the loads of their zones by datagrams; polls would count them twice.
        if self._is_relay():
            await self._poll_view(self._feed, address)
            return
        batch = await self._poll_view(self._feed, address, self._address, self._own_loads())
        self._table.record_loads(_RELAY_SOURCE, batch.loads, self._clock())

    async def _poll_view(
        self,
        client: FeedClient,
        address: str,
        own_address: str = "",
        loads: Sequence[LoadAtWorker] = (),
    ) -> FeedBatch:
        """Apply the changes in another node's view and return its reply.

        :param client: client without a poll in flight.
        :raises FeedUnavailable: when the node does not answer.
        """
        sent_at = self._clock()
        saved = self._table.saved
        poll = FeedPoll(self._revision, own_address, list(loads), saved.recent(sent_at))
        batch = await client.poll(address, poll)
        self._apply_batch(batch, sent_at)
        saved.merge(batch.saved, self._clock())
        return batch

    def _apply_batch(self, batch: FeedBatch, sent_at: float) -> None:
        self._source_failing = batch.failing_age is not None
        self._registry.begin_update(batch.revision)
        if batch.is_snapshot:
            entries = {change.key: (change.value, change.revision) for change in batch.changes}
            self._registry.replace_all(entries, batch.revision)
        else:
            for change in batch.changes:
                self._registry.apply(change.key, change.value, change.revision)
        self._advance(batch.revision)
        self._registry.confirm(sent_at + batch.confirmed_offset)

    async def _poll_peers(self) -> None:
        """Poll random peers while the store does not answer.

        Loads are exchanged with the followed node alone; otherwise they would be counted more than
        once.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PEER_POLLS_TIMEOUT_SECONDS):
                for _ in range(self._random.randint(*PEER_POLLS)):
                    await self._poll_random_peer()
                    await asyncio.sleep(self._random.uniform(*PEER_POLL_PAUSE_SECONDS))

    async def _poll_random_peer(self) -> None:
        addresses = self._peer_addresses() if self._relay is not None else []
        if addresses:
            with contextlib.suppress(FeedUnavailable):
                await self._poll_view(self._peer_feed, self._random.choice(addresses))

    def _log_source(self, address: str | None) -> None:
        if address != self._followed:
            self._followed = address
            log_event(LogEvent.RELAY_FOLLOWED, relay=address, revision=self._revision)
