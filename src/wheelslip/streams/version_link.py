"""Records of streams at other nodes and in the store.

While versions differ, a node has the records of its streams saved in the store, through a relay, so
that few nodes write. It also sends them to two backups, which know them while the store is away. A
node that is to continue a stream of which it has no record reads the store. If that does not tell,
it asks all nodes: relays forward the query to their followers, and only nodes that have the record
reply to a forwarded one.
"""

import asyncio
import enum
import itertools
import random
from collections.abc import Callable, Coroutine, Iterable, Sequence
from typing import NamedTuple, TypeVar

from wheelslip.keyvalue.model import KeyValueError
from wheelslip.peers.datagrams import DatagramSocket
from wheelslip.routing.limits.token_bucket import TokenBucket
from wheelslip.streams.messages import (
    BACKUP_QUERY,
    BACKUP_REPLY,
    KEYS_PER_BATCH,
    KEYS_PER_QUERY,
    QUERY,
    RECORDS,
    REPLY,
    SAVE,
    SAVED,
    UNSAVED,
    BackupQuery,
    BackupReply,
    OriginQuery,
    OriginReply,
    RecordBatch,
    SaveConfirmation,
    SaveFailure,
    SaveRequest,
)
from wheelslip.streams.process_names import is_unverified
from wheelslip.streams.saved_records import SavedStreamRecords
from wheelslip.streams.version_records import StreamOrigin, StreamRecords
from wheelslip.streams.version_register import RegisteredVersions, VersionRegister

ResultT = TypeVar("ResultT")

BACKUPS = 2
"""Number of other nodes that hold the records of a node's streams."""

BACKUP_TERM_SECONDS = 10.0
"""Time after which a node chooses its backups anew."""

MAX_REFERRED = 6
"""Maximum number of followers that a relay names as backups."""

COALESCE_SECONDS = 0.02
"""Delay before records are sent, so that streams that begin together share a datagram."""

MIN_SEND_INTERVAL_SECONDS = 0.2
"""Minimum interval between two sends of records, which bounds the traffic of a busy node."""

QUERY_COALESCE_SECONDS = 0.005

QUERY_SECONDS = (0.08, 0.12, 0.2, 0.2)
"""Times to wait for replies after each send of a query."""

MIN_QUERIES = 2
"""Number of sends after which a query ends once all nodes that were asked directly have replied; until
then, followers of relays may reply. Nodes that stand still for a moment are waited for."""

STORE_READ_SECONDS = 0.4
"""Time to wait for the store before the other nodes are asked."""

SAVE_ATTEMPT_SECONDS = 0.12
"""Time after which the next relay is asked to save a record."""

MAX_SAVE_ATTEMPTS = 5

QUERIES_PER_SECOND = 50.0
MAX_QUERIES_AT_ONCE = 200.0
"""Rate limit of the streams that a node asks others for: each query reaches all nodes. Those above it
are treated as unknown. A worker that ends breaks at most some 50 streams of one node."""


class SaveOutcome(enum.Enum):
    """Whether records are in the store.

    ``STORE_AWAY``: not, as the store responds to none of the nodes that save records. ``UNKNOWN``: not
    confirmed, and this node may be the only one that does not reach the store.
    """

    SAVED = "saved"
    STORE_AWAY = "store away"
    UNKNOWN = "unknown"


class KnownOrigin(NamedTuple):
    """Origin of a stream, and how it is known, as described for event 210."""

    origin: StreamOrigin
    known_by: str

    @classmethod
    def of(cls, origin: StreamOrigin | None, known_by: str) -> "KnownOrigin | None":
        """Return a found origin and where it was found."""
        return cls(origin, known_by) if origin is not None else None

    @property
    def verified(self) -> bool:
        """Whether the version of the stream, or the process that began it, is known."""
        return not is_unverified(self.origin.software_version)


class _Query:
    """A query in progress, shared by all requests that continue the same stream."""

    def __init__(self):
        self.found: asyncio.Future[StreamOrigin | None] = asyncio.get_running_loop().create_future()
        self.replied: set[str] = set()
        self.versions_differ = False
        self.unverified: StreamOrigin | None = None

    def record(self, origin: StreamOrigin) -> None:
        """Record an origin that a node has replied."""
        if is_unverified(origin.software_version):
            # Another node may know more.
            self.unverified = origin
        elif not self.found.done():
            self.found.set_result(origin)

    def result(self) -> StreamOrigin | None:
        """Return the best origin that any node has replied."""
        return self.found.result() if self.found.done() else self.unverified


class StreamVersionLink:
    """Records streams, sends the records to backups, and asks other nodes for missing ones.

    :param address: address of this node, ``IP:PORT``; empty without other nodes.
    :param peers: returns the addresses of the nodes that this node knows.
    :param relays: returns the addresses of the relays.
    :param followers: returns the addresses of the followers of this node.
    :param writers: returns the addresses of the nodes that save records, in the order in which this
        node asks them; this node's own address for itself.
    :ivar records: of this node's streams and of those for which it is a backup.
    :ivar saved: records in the store.
    :ivar register: versions in use.
    :ivar queried: number of streams that other nodes were asked for.
    :ivar unknown: number of these that no node knew.
    """

    def __init__(
        self,
        address: str,
        socket: DatagramSocket,
        records: StreamRecords,
        saved: SavedStreamRecords,
        register: VersionRegister,
        peers: Callable[[], list[str]],
        relays: Callable[[], list[str]],
        followers: Callable[[], list[str]],
        writers: Callable[[], list[str]],
        clock: Callable[[], float],
        random_source: random.Random,
    ):
        self._address = address
        self._socket = socket
        self.records = records
        self.saved = saved
        self.register = register
        self._peers = peers
        self._relays = relays
        self._followers = followers
        self._writers = writers
        self._clock = clock
        self._random = random_source
        self._referred: list[str] = []
        self._backups: list[str] = []
        self._backups_until = 0.0
        self._unsent: dict[tuple[StreamOrigin, int], list[str]] = {}
        self._has_unsent = asyncio.Event()
        self._save_numbers = itertools.count(1)
        self._unconfirmed: dict[int, asyncio.Future[SaveOutcome]] = {}
        self._tasks: set[asyncio.Task] = set()
        self._queries: dict[str, _Query] = {}
        self._unasked: dict[str, list[str]] = {}
        self._budget = TokenBucket(QUERIES_PER_SECOND, MAX_QUERIES_AT_ONCE, MAX_QUERIES_AT_ONCE)
        self.queried = 0
        self.unknown = 0
        socket.register(RECORDS, RecordBatch, self._handle_records)
        socket.register(QUERY, OriginQuery, self._handle_query)
        socket.register(REPLY, OriginReply, self._handle_reply)
        socket.register(BACKUP_QUERY, BackupQuery, self._handle_backup_query)
        socket.register(BACKUP_REPLY, BackupReply, self._handle_backup_reply)
        socket.register(SAVE, SaveRequest, self._handle_save)
        socket.register(SAVED, SaveConfirmation, self._handle_confirmation)
        socket.register(UNSAVED, SaveFailure, self._handle_failure)

    def gauges(self) -> dict[str, Callable[[], float]]:
        """Return the gauges by name."""
        return {
            "stream_records": lambda: float(len(self.records)),
            "stream_records_saved": lambda: float(self.saved.saved),
            "stream_origins_queried": lambda: float(self.queried),
            "stream_origins_unknown": lambda: float(self.unknown),
        }

    # Records of this node's streams

    def record(self, keys: Iterable[str], origin: StreamOrigin, seconds: float) -> None:
        """Record the origin of streams here."""
        self.records.record(keys, origin, seconds)

    def back_up(self, keys: Iterable[str], origin: StreamOrigin, seconds: float) -> None:
        """Send the origin of streams to the backups."""
        if not self._address:
            return
        self._unsent.setdefault((origin, int(seconds) + 1), []).extend(keys)
        self._has_unsent.set()

    async def run(self) -> None:
        """Send new records to the backups until cancelled."""
        while True:
            await self._has_unsent.wait()
            await asyncio.sleep(COALESCE_SECONDS)
            self._has_unsent.clear()
            self._send_records()
            self.records.remove_expired()
            await asyncio.sleep(MIN_SEND_INTERVAL_SECONDS)

    def _send_records(self) -> None:
        unsent, self._unsent = self._unsent, {}
        backups = self._current_backups()
        for (origin, seconds), keys in unsent.items():
            for start in range(0, len(keys), KEYS_PER_BATCH):
                batch = RecordBatch(origin, seconds, keys[start : start + KEYS_PER_BATCH])
                self._socket.send_to(backups, RECORDS, batch)

    def _current_backups(self) -> list[str]:
        relays = self._without_self(self._relays())
        usable = set(self._backups) <= {*relays, *self._followers(), *self._referred}
        if usable and self._backups and self._clock() < self._backups_until:
            return self._backups
        self._backups_until = self._clock() + BACKUP_TERM_SECONDS
        candidates = self._without_self([*self._followers(), *self._referred])
        if len(candidates) < BACKUPS:
            candidates = self._without_self([*candidates, *relays]) or self._peers()
        self._backups = self._random.sample(candidates, min(BACKUPS, len(candidates)))
        if relays:
            relay = self._random.choice(relays)
            self._socket.send(relay, BACKUP_QUERY, BackupQuery(self._address))
        return self._backups

    def _without_self(self, addresses: Iterable[str]) -> list[str]:
        return sorted(set(addresses) - {self._address})

    def _handle_backup_query(self, message: BackupQuery, sender: str) -> None:
        followers = sorted(set(self._followers()) - {message.address})
        named = self._random.sample(followers, min(MAX_REFERRED, len(followers)))
        self._socket.send(message.address, BACKUP_REPLY, BackupReply(named))

    def _handle_backup_reply(self, message: BackupReply, sender: str) -> None:
        self._referred = self._without_self(message.addresses)

    def _handle_records(self, message: RecordBatch, sender: str) -> None:
        self.records.record(message.keys, message.origin, message.seconds)

    # Records in the store

    async def save(self, keys: Sequence[str], origin: StreamOrigin) -> SaveOutcome:
        """Have records saved in the store."""
        writers = self._writers()
        asked, away = set(), set()
        for writer, _ in zip(itertools.cycle(writers), range(MAX_SAVE_ATTEMPTS), strict=False):
            if writer == self._address:
                outcome = await self._save_locally(keys, origin)
            else:
                outcome = await self._request_save(writer, keys, origin)
            if outcome is SaveOutcome.SAVED:
                return outcome
            asked.add(writer)
            if outcome is SaveOutcome.STORE_AWAY:
                away.add(writer)
            if away.issuperset(writers):
                break
        return SaveOutcome.STORE_AWAY if away == asked else SaveOutcome.UNKNOWN

    def save_soon(self, keys: Sequence[str], origin: StreamOrigin) -> asyncio.Task[SaveOutcome]:
        """Have records saved without waiting for it."""
        return self._run_in_background(self.save(keys, origin))

    def _run_in_background(self, work: Coroutine[None, None, ResultT]) -> asyncio.Task[ResultT]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _save_locally(self, keys: Sequence[str], origin: StreamOrigin) -> SaveOutcome:
        began_at = self._clock()
        saving = self._run_in_background(self.saved.save(keys, origin))
        if self.register.store_is_failing():
            return SaveOutcome.STORE_AWAY
        if await asyncio.shield(saving):
            return SaveOutcome.SAVED
        has_failed = self.saved.failed_at >= began_at
        return SaveOutcome.STORE_AWAY if has_failed else SaveOutcome.UNKNOWN

    async def _request_save(
        self, writer: str, keys: Sequence[str], origin: StreamOrigin
    ) -> SaveOutcome:
        number = next(self._save_numbers)
        confirmed = self._unconfirmed[number] = asyncio.get_running_loop().create_future()
        self._socket.send(writer, SAVE, SaveRequest(self._address, number, origin, list(keys)))
        try:
            async with asyncio.timeout(SAVE_ATTEMPT_SECONDS):
                return await confirmed
        except TimeoutError:
            return SaveOutcome.UNKNOWN
        finally:
            del self._unconfirmed[number]

    def _handle_save(self, message: SaveRequest, sender: str) -> None:
        self._run_in_background(self._save_for(message))

    async def _save_for(self, message: SaveRequest) -> None:
        match await self._save_locally(message.keys, message.origin):
            case SaveOutcome.SAVED:
                self._socket.send(message.address, SAVED, SaveConfirmation(message.number))
            case SaveOutcome.STORE_AWAY:
                self._socket.send(message.address, UNSAVED, SaveFailure(message.number))

    def _handle_confirmation(self, message: SaveConfirmation, sender: str) -> None:
        self._end_request(message.number, SaveOutcome.SAVED)

    def _handle_failure(self, message: SaveFailure, sender: str) -> None:
        self._end_request(message.number, SaveOutcome.STORE_AWAY)

    def _end_request(self, number: int, outcome: SaveOutcome) -> None:
        confirmed = self._unconfirmed.get(number)
        if confirmed is not None and not confirmed.done():
            confirmed.set_result(outcome)

    # Streams that this node continues

    async def find_origin(self, key: str, services: Sequence[str]) -> KnownOrigin | None:
        """Return the origin of a stream, as far as this node, the store or another node knows it.

        :param key: key of the stream; empty if the caller did not name it.
        :param services: services of the route, the one that is about to continue the stream first.
        :return: ``None`` if several versions are in use and the origin is not known.
        """
        asked_at = self._clock()
        recorded = KnownOrigin.of(self.records.find(key) if key else None, "record")
        if recorded is not None and recorded.verified:
            return recorded
        registered, saved = await self._read_store(key, services)
        if saved is not None and saved.verified:
            return saved
        known = recorded or saved
        base = None
        if registered is not None and _implies_base(key, registered):
            base = KnownOrigin(StreamOrigin(services[0], registered.base), "base")
        if known is None and base is not None and not self.register.may_miss_records():
            return base
        if not self._address or not self._may_ask(key):
            return known or base
        query = await self._ask(key, services[0])
        known = KnownOrigin.of(query.result(), "node") or known
        if known is not None:
            return known
        self.unknown += 1
        if registered is None and not query.versions_differ:
            return self._sole_origin(services, asked_at)
        return base

    async def _read_store(
        self, key: str, services: Sequence[str]
    ) -> tuple[RegisteredVersions | None, KnownOrigin | None]:
        """Return the registered versions and the saved record of a stream, ``None`` if not known."""
        try:
            async with asyncio.timeout(STORE_READ_SECONDS):
                registered = await self.register.read(services)
                saved = await self.saved.find(key) if key else None
        except (KeyValueError, TimeoutError):
            return None, None
        return registered, KnownOrigin.of(saved, "store")

    def _sole_origin(self, services: Sequence[str], asked_at: float) -> KnownOrigin | None:
        """Return the origin of an unknown stream if only one version can have begun it.

        Another version may have joined since the view was current, and the nodes that reply may be
        cut off together with this one.

        :param asked_at: time at which the stream had begun already.
        """
        if not self.register.is_current_since(asked_at):
            return None
        registered = self.register.registered(services)
        if registered.differ or not registered.base:
            return None
        return KnownOrigin(StreamOrigin(services[0], registered.base), "sole")

    def _may_ask(self, key: str) -> bool:
        return key in self._queries or not self._budget.acquire(1.0, self._clock())

    async def _ask(self, key: str, service: str) -> _Query:
        """Ask all nodes for the origin of a stream, and wait for the reply or for the timeout."""
        query = self._queries.get(key)
        if query is None:
            query = self._queries[key] = _Query()
            self.queried += 1
            asyncio.get_running_loop().call_later(sum(QUERY_SECONDS), self._end_query, key, query)
        # Without a key, replies only tell whether versions differ.
        for sends, seconds in enumerate(QUERY_SECONDS if key else QUERY_SECONDS[:1]):
            if sends >= MIN_QUERIES and query.replied >= set(self._asked_directly()):
                break
            self._send_soon(key, service)
            await asyncio.wait([query.found], timeout=seconds)
            if query.found.done():
                break
        return query

    def _asked_directly(self) -> list[str]:
        return self._without_self([*self._peers(), *self._relays(), *self._followers()])

    def _end_query(self, key: str, query: _Query) -> None:
        if self._queries.get(key) is query:
            del self._queries[key]

    def _send_soon(self, key: str, service: str) -> None:
        """Send a query together with others of the next moment."""
        if service not in self._unasked:
            self._unasked[service] = []
            loop = asyncio.get_running_loop()
            loop.call_later(QUERY_COALESCE_SECONDS, self._send_queries, service)
        if key not in self._unasked[service]:
            self._unasked[service].append(key)

    def _send_queries(self, service: str) -> None:
        keys = self._unasked.pop(service)
        addresses = self._asked_directly()
        for start in range(0, len(keys), KEYS_PER_QUERY):
            part = OriginQuery(self._address, service, keys[start : start + KEYS_PER_QUERY])
            self._socket.send_to(addresses, QUERY, part)

    def _handle_query(self, message: OriginQuery, sender: str) -> None:
        known = {key: self.records.find(key) for key in message.keys}
        origins = {key: origin for key, origin in known.items() if origin is not None}
        if origins or not message.forwarded:
            differ = self.register.registered([message.service]).differ
            reply = OriginReply(origins, message.keys, differ)
            self._socket.send(message.address, REPLY, reply)
        if not message.forwarded and len(origins) < len(message.keys):
            followers = set(self._followers()) - {message.address}
            self._socket.send_to(sorted(followers), QUERY, message._replace(forwarded=True))

    def _handle_reply(self, message: OriginReply, sender: str) -> None:
        for key in message.keys:
            query = self._queries.get(key)
            if query is None:
                continue
            query.replied.add(sender)
            query.versions_differ = query.versions_differ or message.versions_differ
            if key in message.origins:
                query.record(message.origins[key])


def _implies_base(key: str, registered: RegisteredVersions) -> bool:
    """Return whether a stream without a saved record began at the base version.

    :param key: empty if it is not known which stream it is, so that its record cannot be found.
    """
    return bool(registered.base) and (bool(key) or not registered.differ)
