"""Keeps the registry view current: from the store, or from a relay.

Reading the store is one listing, then watches from its revision on. A relay is polled from
the same revision, so a node changes between the two without a gap.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable, Sequence

from wheelslip.events import LogEvent, log_event
from wheelslip.forwarding.feed import FeedBatch, FeedClient, FeedPoll, FeedUnavailable
from wheelslip.forwarding.interface import KeyValueStore
from wheelslip.forwarding.registry import Registry
from wheelslip.forwarding.relay import RelayLease
from wheelslip.forwarding.stall_meter import StallMeter
from wheelslip.keyvalue.model import KeyValueError, RangeResult, WatchBatch, WatchCompacted
from wheelslip.routing.load_table import LoadAtWorker, LoadTable

WATCH_SECONDS = 0.6
"""A watch returns at least this often, so that the age of the view is known: a view counts as
confirmed when the watch was sent, so it is up to twice as old, and two polls older at the
nodes that do not read the store themselves."""

GATHER_SECONDS = 0.12
"""Pause after changes, so that those which follow closely come with one call."""

LOOK_SECONDS = 0.02
"""Wait of a watch that only asks whether the store answers, and what has changed."""

FAILURES_OF_TROUBLE = 2
"""So many failed calls in a row are logged as trouble, and are an outage to a node that no other
can tell better. A single one is not: connections are reset and watches cut while the store is
well."""

STALL_SECONDS = 0.7
"""A call that fails while this process stood still for so long says nothing of the store: a shorter
pause fails no call that was answered in time (the grace of a watch). Without this, an engine that
left while its node stood still for 2.5 s was held in doubt in 4 of 4 runs, with it in none."""

PEERS_ASKED = (1, 3)
"""Range of how many peers are asked after a failed call, one after the other: they look at the
store as soon as they hear of the failure, within 0.2 s."""

ASKING_SECONDS = 1.0
"""All asking of peers after one failed call, however many are silent: this node may be the only one in
trouble, and its next call is answered. With 1.0 s for each of three it knew of no worker that left for
3.9 s."""

RETRY_SECONDS = (0.05, 0.15)
"""Range of the pause after each; random, so that many nodes do not call together."""

RELAY_RETRY_SECONDS = (0.8, 1.6)
"""Range of the time for which a silent relay is not asked again."""

STALE_SECONDS = 2.2
"""A relay whose view is older is out of touch: the store is asked itself, now and then. Without
trouble a view is younger: 1.2 s at the reader, and two waits of a poll more at each of two relays."""

LOOK_RESERVE_SECONDS = 0.35
"""The store is asked so long before a worker that left may get nothing more, counted from the age of the
view: for the look itself and what follows it. Longer ones would have views without trouble looked after
where that time is 2 s."""

RELAY_STALE_SECONDS = 1.8
"""The same for a relay, on which the nodes of its zone depend."""

_RELAY = ""
"""Source of loads that a relay told."""

OWN_LOOK_SECONDS = (0.7, 1.4)
"""Range of the pause between such looks."""


class RegistrySync:
    """The task that owns all reading of the store.

    :param relay: the key of the zone's relay; ``None`` where nodes do not reach each other.
    :param peer_addresses: returns where other nodes may answer polls, for a start beside a
        store that is silent.
    :param address: where this node answers polls, for those whom it polls.
    :param table: takes what other nodes have at workers.
    :param own_loads: returns what this node has there.
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
        self._asked = FeedClient()
        self._after: int | None = None
        self._failures = 0
        self._followed: str | None = None
        self._source_fails = False
        self._relay_silent_until = float("-inf")
        self._own_look_at = float("-inf")

    async def run(self) -> None:
        """Follow the store for ever."""
        while True:
            address = self._relay_to_follow()
            if address is None:
                await self._read_store()
            else:
                await self._follow(address)
            self._registry.expire_workers()

    # The store itself

    async def _read_store(self, wait_seconds: float = WATCH_SECONDS) -> None:
        self._note_source(None)
        with StallMeter() as stall:
            await self._call_store(wait_seconds, stall)

    async def _call_store(self, wait_seconds: float, stall: StallMeter) -> None:
        sent_at = self._clock()
        try:
            if self._after is None:
                listing = await self._store.range("")
                self._note_available(sent_at)
                self._take_listing(listing)
            else:
                batch = await self._store.watch("", self._after, wait_seconds)
                self._note_available(sent_at)
                await self._take_changes(batch)
            self._registry.confirm(sent_at)
        except WatchCompacted:
            # What is in force stays in force until a new listing has been read. The store has
            # answered: lost history is no outage, and engines leave beside it as at other times.
            self._note_available(sent_at)
            self._after = None
        except KeyValueError as error:
            if stall.seconds() < STALL_SECONDS:
                self._note_failure(error, sent_at)
            else:
                log_event(LogEvent.PROCESS_STALLED, seconds=round(stall.seconds(), 3))
            await self._ask_peers()

    def _take_listing(self, listing: RangeResult) -> None:
        entries = {one.key: (one.value, one.mod_revision) for one in listing.entries}
        self._registry.replace_all(entries, listing.revision)
        self._advance(listing.revision)

    async def _take_changes(self, batch: WatchBatch) -> None:
        for key, value, revision in batch.changes:
            self._registry.apply(key, value, revision)
        self._advance(batch.revision)
        if batch.changes:
            await asyncio.sleep(GATHER_SECONDS)

    def _advance(self, revision: int) -> None:
        self._after = max(self._after or 0, revision)
        self._registry.log.at = max(self._registry.log.at, self._after)

    def _note_available(self, sent_at: float) -> None:
        """The store has answered; to be called before the answer's changes are taken."""
        if self._failures >= FAILURES_OF_TROUBLE:
            log_event(LogEvent.KEY_VALUE_REGAINED)
        self._failures = 0
        self._registry.health.note_answered(sent_at, self._clock())

    def _note_failure(self, error: KeyValueError, sent_at: float) -> None:
        self._failures += 1
        self._registry.note_failed_call(sent_at)
        if self._relay is None and self._failures >= FAILURES_OF_TROUBLE:
            self._registry.note_outage(sent_at)
        if self._failures == FAILURES_OF_TROUBLE:
            seconds = round(self._clock() - sent_at, 3)
            log_event(LogEvent.KEY_VALUE_UNAVAILABLE, reason=str(error), seconds=seconds)

    # Other nodes

    def _relay_to_follow(self) -> str | None:
        if self._relay is None or self._after is None:
            return None
        if self._clock() < self._relay_silent_until:
            return None
        return self._relay.node_to_follow()

    async def _follow(self, address: str) -> None:
        self._note_source(address)
        poll = asyncio.create_task(self._poll(address))
        try:
            # A relay that falls silent says nothing of its view: a worker that had left got work for
            # 2.2 s where the age was looked at only between two polls.
            while not await self._has_ended(poll):
                await self._look()
            poll.result()
        except FeedUnavailable as exc:
            self._relay_silent_until = self._clock() + self._random.uniform(*RELAY_RETRY_SECONDS)
            log_event(LogEvent.RELAY_LOST, relay=address, reason=str(exc))
            return
        finally:
            poll.cancel()
        if self._is_relay() and self._registry.age() > RELAY_STALE_SECONDS:
            # Its whole zone depends on it: it reads the store until the other is current.
            self._relay_silent_until = self._clock() + self._random.uniform(*RELAY_RETRY_SECONDS)
            await self._read_store(LOOK_SECONDS)
        elif self._seconds_to_look() <= 0:
            await self._look()

    async def _has_ended(self, poll: asyncio.Task) -> bool:
        """Wait for a poll to end; return ``False`` where a look at the store is due before."""
        # One that is answered at once tells as much as a look.
        seconds = max(LOOK_SECONDS, self._seconds_to_look())
        done, _ = await asyncio.wait({poll}, timeout=seconds)
        return bool(done)

    async def _look(self) -> None:
        """Ask the store whether it answers, and what has changed."""
        self._own_look_at = self._clock() + self._random.uniform(*OWN_LOOK_SECONDS)
        await self._read_store(LOOK_SECONDS)

    def _seconds_to_look(self) -> float:
        """Return how long it is until the store is to be asked whether it answers.

        A node whose relay fails looks itself: it learns what the relay cannot tell, and the relay
        learns from it that the trouble is its own.
        """
        until_stale = 0.0 if self._source_fails else self._stale_seconds() - self._registry.age()
        return max(until_stale, self._own_look_at - self._clock())

    def _stale_seconds(self) -> float:
        """Return the age of a view from which the store is asked.

        A worker that left just after the view was current may get nothing once its drain time is over.
        """
        return min(STALE_SECONDS, self._registry.drain_seconds() - LOOK_RESERVE_SECONDS)

    def _is_relay(self) -> bool:
        return self._relay is not None and self._relay.token() is not None

    async def _poll(self, address: str) -> None:
        """Poll the node that is followed, and exchange loads with it.

        :raises FeedUnavailable: when it does not tell.
        """
        # Relays tell each other the loads of their zones by datagrams; a poll would count
        # them twice.
        if self._is_relay():
            await self._poll_view(self._feed, address)
            return
        batch = await self._poll_view(self._feed, address, self._address, self._own_loads())
        self._table.record_loads(_RELAY, batch.loads, self._clock())

    async def _poll_view(
        self,
        client: FeedClient,
        address: str,
        own_address: str = "",
        loads: Sequence[LoadAtWorker] = (),
    ) -> FeedBatch:
        """Learn what another node knows of the store.

        :param client: has one poll under way at a time.
        :raises FeedUnavailable: when it does not tell.
        """
        sent_at = self._clock()
        saved = self._table.saved
        poll = FeedPoll(self._after, own_address, list(loads), saved.recent(sent_at))
        batch = await client.poll(address, poll)
        self._take(batch, sent_at)
        saved.merge(batch.saved, self._clock())
        return batch

    def _take(self, batch: FeedBatch, sent_at: float) -> None:
        self._source_fails = batch.failing_age is not None
        if batch.is_snapshot:
            entries = {one.key: (one.value, one.revision) for one in batch.changes}
            self._registry.replace_all(entries, batch.revision)
        else:
            for one in batch.changes:
                self._registry.apply(one.key, one.value, one.revision)
        self._advance(batch.revision)
        self._registry.confirm(sent_at + batch.confirmed_offset)

    async def _ask_peers(self) -> None:
        """Learn from any other nodes while the store does not answer.

        Loads are not exchanged with them: they come from and go to the followed node, and would
        be passed round and added up again.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ASKING_SECONDS):
                for _ in range(self._random.randint(*PEERS_ASKED)):
                    await self._ask_any_peer()
                    await asyncio.sleep(self._random.uniform(*RETRY_SECONDS))

    async def _ask_any_peer(self) -> None:
        addresses = self._peer_addresses() if self._relay is not None else []
        if addresses:
            with contextlib.suppress(FeedUnavailable):
                await self._poll_view(self._asked, self._random.choice(addresses))

    def _note_source(self, address: str | None) -> None:
        if address != self._followed:
            self._followed = address
            log_event(LogEvent.RELAY_FOLLOWED, relay=address, revision=self._after)
