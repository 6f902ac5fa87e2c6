"""Software versions of streams: who knows them, for how long, and what happens without a record."""

import asyncio
import random
from unittest.mock import AsyncMock, Mock

import msgspec
import pytest

from wheelslip.deployment import Incarnation, Worker, WorkerInfo, WorkerState
from wheelslip.forwarding.forwarder import Forwarder
from wheelslip.keyvalue.model import KeyValueUnavailable
from wheelslip.routing.placement import PlacementQuery
from wheelslip.streams import messages, version_link
from wheelslip.streams.version_link import KnownOrigin, SaveOutcome, StreamVersionLink
from wheelslip.streams.version_records import MAX_RECORDS, StreamOrigin, StreamRecords, stream_key
from wheelslip.streams.version_register import RegisteredVersions
from wheelslip.wire import encode_frame

V1, V2 = StreamOrigin("s", "v1"), StreamOrigin("s", "v2")
MAX_DATAGRAM_BYTES = 1400


class Clock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


class Network:
    """Delivers datagrams between the nodes of one event loop, except to dead ones."""

    def __init__(self):
        self.sockets = {}
        self.dead = set()
        self.sent = []

    def socket(self, address):
        self.sockets[address] = Socket(self, address)
        return self.sockets[address]

    def deliver(self, sender, receiver, kind, message):
        self.sent.append((sender, receiver, kind, message))
        if receiver in self.dead or sender in self.dead or receiver not in self.sockets:
            return
        message_type, handle = self.sockets[receiver].receivers.get(kind, (None, None))
        if handle is not None:
            decoded = msgspec.json.decode(msgspec.json.encode(message), type=message_type)
            asyncio.get_running_loop().call_soon(handle, decoded, sender)


class Socket:
    def __init__(self, network, address):
        self._network = network
        self._address = address
        self.receivers = {}

    def register(self, kind, message_type, handle):
        self.receivers[kind] = (message_type, handle)

    def send(self, address, kind, message):
        self._network.deliver(self._address, address, kind, message)

    def send_to(self, addresses, kind, message):
        for address in addresses:
            self.send(address, kind, message)


class Register:
    """Registered versions; the store is away unless ``store_versions`` is set.

    :ivar confirmed_at: time at which they were current.
    """

    confirmed_at = float("-inf")
    is_failing = False

    def __init__(self, versions, store_versions=None):
        self._versions = _registered(versions)
        self._store_versions = store_versions

    def registered(self, services):
        return self._versions

    def may_miss_records(self):
        return False

    def store_is_failing(self):
        return self.is_failing

    def is_current_since(self, moment):
        return self.confirmed_at >= moment

    async def read(self, services):
        if self._store_versions is None:
            raise KeyValueUnavailable("away")
        return self._store_versions


class Saved:
    """Saved records, none of which is confirmed while the store is away."""

    failed_at = float("-inf")

    def __init__(self, store):
        self.store = store

    async def save(self, keys, origin):
        if self.store is not None:
            self.store |= dict.fromkeys(keys, origin)
        return self.store is not None

    async def find(self, key):
        if self.store is None:
            raise KeyValueUnavailable("away")
        return self.store.get(key)


def _registered(versions, base=None):
    base = (versions[0] if len(versions) == 1 else "") if base is None else base
    return RegisteredVersions(frozenset(versions), base)


def make_link(
    network,
    address,
    relays=(),
    followers=(),
    versions=("v1", "v2"),
    clock=None,
    store=None,
    store_versions=None,
    writers=(),
):
    clock = clock or Clock()
    return StreamVersionLink(
        address,
        network.socket(address),
        StreamRecords(clock),
        Saved(store),
        Register(versions, store_versions),
        lambda: [],
        lambda: list(relays),
        lambda: list(followers),
        lambda: list(writers),
        clock,
        random.Random(1),
    )


async def origin_of(link, key):
    known = await link.find_origin(key, ["s"])
    return known.origin if known is not None else None


async def publish(link, *keys, origin=V1):
    link.record(keys, origin, 30.0)
    link.back_up(keys, origin, 30.0)
    task = asyncio.create_task(link.run())
    await asyncio.sleep(0.05)
    task.cancel()


def test_record_outlasts_its_node_and_one_backup():
    async def play():
        network = Network()
        links = {
            name: make_link(network, name, relays=("a", "b", "c", "d"))
            for name in ("a", "b", "c", "d")
        }
        await publish(links["a"], "k")
        holders = [name for name in "bcd" if links[name].records.find("k")]
        assert len(holders) == version_link.BACKUPS
        (asker,) = set("bcd") - set(holders)
        network.dead = {"a", holders[0]}
        assert await origin_of(links[asker], "k") == V1

    asyncio.run(play())


def test_record_held_by_follower_of_another_relay_is_found():
    async def play():
        network = Network()
        make_link(network, "r1", ("r1", "r2"), ("f1", "f2"))
        make_link(network, "r2", ("r1", "r2"), ("f3",))
        holder = make_link(network, "f3", ("r1", "r2"))
        asker = make_link(network, "f1", ("r1", "r2"))
        holder.records.record(["k"], V2, 30.0)
        assert await origin_of(asker, "k") == V2
        assert not [each for each in network.sent if each[0] == "f2"], "f2 knows nothing"

    asyncio.run(play())


def test_followers_are_backups_of_each_other_once_the_relay_has_named_them():
    async def play():
        network = Network()
        names = ["f1", "f2", "f3", "f4"]
        make_link(network, "r1", ("r1",), names)
        links = {name: make_link(network, name, ("r1",)) for name in names}
        await publish(links["f1"], "first")
        links["f1"]._backups_until = 0.0
        await publish(links["f1"], "second")
        assert sum(links[name].records.find("second") == V1 for name in names[1:]) == 2

    asyncio.run(play())


@pytest.mark.parametrize(
    ("versions", "peer_versions", "confirmed_after", "expected"),
    [
        (("v1",), ("v1",), 0.5, V1),
        (("v1",), ("v1",), -0.5, None),
        (("v1",), ("v1", "v2"), 0.5, None),
        (("v1", "v2"), ("v1", "v2"), 0.5, None),
        (("v1",), None, -0.5, None),
    ],
    ids=["one version", "views of before", "peer has seen two", "two versions", "no peer replies"],
)
def test_started_node_without_record_continues_only_where_one_version_is_in_use(
    versions, peer_versions, confirmed_after, expected
):
    async def play():
        network, clock = Network(), Clock()
        asker = make_link(network, "a", ("a", "b"), versions=versions, clock=clock)
        asker.register.confirmed_at = clock.now + confirmed_after
        if peer_versions:
            make_link(network, "b", ("a", "b"), versions=peer_versions)
        assert await origin_of(asker, "k") == expected
        assert asker.unknown == 1

    asyncio.run(play())


def test_concurrent_requests_for_one_stream_share_a_query():
    async def play():
        network = Network()
        asker = make_link(network, "a", ("a", "b"))
        make_link(network, "b", ("a", "b")).records.record(["k"], V2, 30.0)
        found = await asyncio.gather(*(origin_of(asker, "k") for _ in range(8)))
        assert found == [V2] * 8
        assert [kind for *_, kind, _ in network.sent] == [messages.QUERY, messages.REPLY]

    asyncio.run(play())


def test_records_are_bounded_and_expire():
    clock = Clock()
    records = StreamRecords(clock)
    records.record([str(number) for number in range(MAX_RECORDS + 10)], V1, 30.0)
    assert len(records) == MAX_RECORDS
    assert records.find("9") is None and records.find("10") == V1
    clock.now += 31.0
    records.remove_expired()
    assert len(records) == 0


def test_expired_records_are_deleted_when_others_are_added():
    """With one version nothing is sent to backups, after which records were deleted."""
    clock = Clock()
    records = StreamRecords(clock)
    for number in range(50):
        records.record([str(number)], V1, 30.0)
        clock.now += 10.0
    assert len(records) == 3


def test_largest_datagrams_fit_into_one_packet():
    keys = [stream_key(str(number)) for number in range(messages.KEYS_PER_BATCH)]
    origin = StreamOrigin("s" * 24, "v" * 12)
    asked = keys[: messages.KEYS_PER_QUERY]
    for message in (
        messages.RecordBatch(origin, 600, keys),
        messages.OriginQuery("127.100.100.100:65535", "s" * 24, asked, True),
        messages.OriginReply(dict.fromkeys(asked, origin), asked, True),
        messages.SaveRequest("127.100.100.100:65535", 2**31, origin, keys[:2]),
    ):
        assert len(encode_frame(("stream_reply", message))) <= MAX_DATAGRAM_BYTES


def test_query_allows_only_workers_of_the_required_version():
    info = WorkerInfo(
        Incarnation("w"), "s", "127.0.0.1:1", "z", WorkerState.READY, 4, software_version="v2"
    )
    worker = Worker(info, {})
    assert PlacementQuery("s").allows(worker.info)
    assert PlacementQuery("s", software_version="v2").allows(worker.info)
    assert not PlacementQuery("s", software_version="v1").allows(worker.info)
    assert not PlacementQuery("s", excluded=frozenset({info.id})).allows(worker.info)


def test_queries_are_limited_as_each_reaches_all_nodes():
    async def play():
        network = Network()
        asker = make_link(network, "a", ("a", "b"))
        make_link(network, "b", ("a", "b")).records.record(["known"], V1, 30.0)
        limit = int(version_link.MAX_QUERIES_AT_ONCE)
        keys = [stream_key(str(number)) for number in range(2 * limit)]
        found = await asyncio.gather(*(origin_of(asker, key) for key in keys))
        assert found == [None] * len(keys) and asker.queried == limit

    asyncio.run(play())


def test_cancelled_check_of_restarted_worker_returns_its_grant():
    async def play():
        streams = Mock(verify_process=AsyncMock(side_effect=asyncio.CancelledError))
        forwarder = Forwarder(*[Mock()] * 5, streams, Mock(), Mock(), Mock())
        assignment, connection = Mock(), Mock()
        with pytest.raises(asyncio.CancelledError):
            await forwarder._leads_to_required_process(Mock(), assignment, connection)
        assignment.record_unused.assert_called_once_with()
        connection.close.assert_called_once_with()

    asyncio.run(play())


def test_node_that_stands_still_for_a_moment_is_waited_for():
    """A record was called unknown when its node replied after 0.2 s."""

    async def play():
        network = Network()
        asker = make_link(network, "a", ("a", "b"))
        holder = make_link(network, "b", ("a", "b"))
        holder.records.record(["k"], V1, 30.0)
        network.dead.add("b")
        found = asyncio.create_task(origin_of(asker, "k"))
        await asyncio.sleep(0.25)
        network.dead.clear()
        assert await found == V1

    asyncio.run(play())


@pytest.mark.parametrize(
    ("saved", "registered", "key", "expected"),
    [
        ({"k": V2}, _registered(("v1", "v2"), "v1"), "k", KnownOrigin(V2, "store")),
        ({"k": V2}, _registered(("v1",)), "k", KnownOrigin(V2, "store")),
        ({}, _registered(("v1", "v2"), "v1"), "k", KnownOrigin(V1, "base")),
        ({}, _registered(("v1", "v2"), ""), "k", None),
        ({}, _registered(("v1", "v2"), "v1"), "", None),
        ({}, _registered(("v1",)), "", KnownOrigin(V1, "base")),
        ({}, _registered((), ""), "k", None),
    ],
    ids=[
        "saved",
        "saved, its version is not registered any more",
        "unsaved, with a base version",
        "unsaved, without a base version",
        "unnamed while versions differ",
        "unnamed with one version",
        "nothing registered",
    ],
)
def test_store_tells_origin_of_stream_that_no_node_knows(saved, registered, key, expected):
    async def play():
        network = Network()
        link = make_link(network, "a", ("a", "b"), store=saved, store_versions=registered)
        make_link(network, "b", ("a", "b"))
        assert await link.find_origin(key, ["s"]) == expected

    asyncio.run(play())


def test_record_is_saved_through_next_relay_when_the_first_has_ended():
    async def play():
        network = Network()
        store = {}
        link = make_link(network, "f", ("r1", "r2"), writers=("r1", "r2"))
        for relay in ("r1", "r2"):
            make_link(network, relay, ("r1", "r2"), store=store)
        network.dead.add("r1")
        assert await link.save(["k"], V2) is SaveOutcome.SAVED
        assert store == {"k": V2}

    asyncio.run(play())


@pytest.mark.parametrize(
    ("dead", "failing", "expected"),
    [
        ((), ("f", "r1", "r2"), SaveOutcome.STORE_AWAY),
        ((), ("f", "r1"), SaveOutcome.UNKNOWN),
        (("r2",), ("f", "r1", "r2"), SaveOutcome.UNKNOWN),
        (("r1", "r2"), ("f", "r1", "r2"), SaveOutcome.UNKNOWN),
    ],
    ids=["away for all", "away for some", "a relay is silent", "node alone"],
)
def test_store_is_away_only_if_all_nodes_that_save_records_say_so(dead, failing, expected):
    async def play():
        network = Network()
        link = make_link(network, "f", ("r1", "r2"), writers=("r1", "r2", "f"))
        links = [link, *(make_link(network, relay, ("r1", "r2")) for relay in ("r1", "r2"))]
        for each in links:
            each.register.is_failing = each._address in failing
        network.dead.update(dead)
        assert await link.save(["k"], V2) is expected

    asyncio.run(play())
