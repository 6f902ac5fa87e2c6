"""Exchange of stream records between nodes.

A node sends the records of its streams to two backups, so that they outlast it. A node that is to
continue a stream of which it has no record asks all nodes: relays forward the query to their
followers, and only nodes that have the record reply to a forwarded one.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

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
    BackupQuery,
    BackupReply,
    OriginQuery,
    OriginReply,
    RecordBatch,
)
from wheelslip.streams.version_records import StreamOrigin, StreamRecords, VersionHistory

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

QUERIES_PER_SECOND = 50.0
MAX_QUERIES_AT_ONCE = 200.0
"""Rate limit of the streams that a node asks others for: each query reaches all nodes. Those above it
are treated as unknown. A worker that ends breaks at most some 50 streams of one node."""


class _Query:
    """A query in progress, shared by all requests that continue the same stream."""

    def __init__(self):
        self.found: asyncio.Future[StreamOrigin | None] = asyncio.get_running_loop().create_future()
        self.replied: set[str] = set()
        self.versions_differ = False


class StreamVersionLink:
    """Records streams, sends the records to backups, and asks other nodes for missing ones.

    :param address: address of this node, ``IP:PORT``; empty without other nodes.
    :param peers: returns the addresses of the nodes that this node knows.
    :param relays: returns the addresses of the relays.
    :param followers: returns the addresses of the followers of this node.
    :ivar records: of this node's streams and of those for which it is a backup.
    :ivar history: software versions in use.
    :ivar queried: number of streams that other nodes were asked for.
    :ivar unknown: number of these that no node knew.
    """

    def __init__(
        self,
        address: str,
        socket: DatagramSocket,
        records: StreamRecords,
        history: VersionHistory,
        peers: Callable[[], list[str]],
        relays: Callable[[], list[str]],
        followers: Callable[[], list[str]],
        clock: Callable[[], float],
        random_source: random.Random,
    ):
        self._address = address
        self._socket = socket
        self.records = records
        self.history = history
        self._peers = peers
        self._relays = relays
        self._followers = followers
        self._clock = clock
        self._random = random_source
        self._referred: list[str] = []
        self._backups: list[str] = []
        self._backups_until = 0.0
        self._unsent: dict[tuple[StreamOrigin, int], list[str]] = {}
        self._has_unsent = asyncio.Event()
        self._urgent = asyncio.Event()
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

    # Records of this node's streams

    def record(
        self, keys: Iterable[str], origin: StreamOrigin, seconds: float, urgent: bool = False
    ) -> None:
        """Record the origin of streams here and at the backups.

        :param urgent: send it without delay, because it replaces an earlier origin.
        """
        keys = list(keys)
        self.records.record(keys, origin, seconds)
        if not self._address:
            return
        self._unsent.setdefault((origin, int(seconds) + 1), []).extend(keys)
        self._has_unsent.set()
        if urgent:
            self._urgent.set()

    async def run(self) -> None:
        """Send new records to the backups until cancelled."""
        while True:
            await self._has_unsent.wait()
            await self._pause(COALESCE_SECONDS)
            self._has_unsent.clear()
            self._urgent.clear()
            self._send_records()
            self.records.remove_expired()
            await self._pause(MIN_SEND_INTERVAL_SECONDS)

    async def _pause(self, seconds: float) -> None:
        """Wait for a time, or until an urgent record has to be sent."""
        urgent = asyncio.ensure_future(self._urgent.wait())
        try:
            await asyncio.wait([urgent], timeout=seconds)
        finally:
            urgent.cancel()

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

    # Streams that this node continues

    async def find_origin(self, key: str, service: str) -> StreamOrigin | None:
        """Return the origin of a stream, as far as this node or another one knows it.

        :param key: key of the stream; empty if the caller did not name it.
        :param service: service that is about to continue the stream.
        :return: ``None`` if several versions are in use and no node knows the origin.
        """
        origin = self.records.find(key) if key else None
        if origin is not None:
            return origin
        if self.history.is_complete or not self._address:
            sole = self.history.sole_version(service)
            if sole is not None:
                return StreamOrigin(service, sole)
        if not self._address or not self._may_ask(key):
            self.unknown += 1
            return None
        query = await self._ask(key, service)
        if query.found.done():
            return query.found.result()
        self.unknown += 1
        sole = self.history.sole_version(service)
        if sole is None or query.versions_differ or not query.replied:
            return None
        return StreamOrigin(service, sole)

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
            differ = len(self.history.versions(message.service)) > 1
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
            if key in message.origins and not query.found.done():
                query.found.set_result(message.origins[key])
