"""Load reports between nodes: totals, expiry and datagrams between relays."""

import asyncio
import random

from wheelslip.forwarding.relay_link import (
    LOADS,
    SAVED_PROMPTS_PER_REPORT,
    WORKERS_PER_DATAGRAM,
    RelayLink,
)
from wheelslip.peers.datagrams import DatagramSocket
from wheelslip.routing.load_table import REPORT_TTL_SECONDS, LoadAtWorker, LoadTable, ZoneLoads
from wheelslip.wire import encode_frame

MAX_PACKET_BYTES = 1400


def loads(running=3, tokens=900, worker="w"):
    return [LoadAtWorker(worker, running, tokens)]


def zone(running=3, sequence=1, incarnation=5, part=0, name="z2"):
    return ZoneLoads(name, part, incarnation, sequence, loads(running))


def test_loads_of_all_sources_add_up_until_they_expire():
    table = LoadTable()
    table.record_loads("n2", loads(), 10.0)
    table.record_loads("n3", [LoadAtWorker("w", 1, 100, 70)], 10.0)
    table.record_zone_loads(zone(running=2), 10.0)
    assert table.at_worker("w", 10.1) == LoadAtWorker("w", 6, 1900, 70)
    assert table.at_worker("other", 10.1) == LoadAtWorker("other", 0, 0)
    assert table.at_worker("w", 10.1 + REPORT_TTL_SECONDS) == LoadAtWorker("w", 0, 0)


def test_report_replaces_the_previous_one_of_its_source():
    table = LoadTable()
    table.record_loads("n2", loads(running=7), 10.0)
    assert table.at_worker("w", 10.0).running == 7
    table.record_loads("n2", loads(running=1), 10.01)
    assert table.at_worker("w", 10.01).running == 1


def test_older_zone_report_is_ignored_unless_the_relay_has_restarted():
    table = LoadTable()
    table.record_zone_loads(zone(sequence=7), 10.0)
    table.record_zone_loads(zone(sequence=6, running=99), 10.0)
    assert table.at_worker("w", 10.0).running == 3
    table.record_zone_loads(zone(sequence=1, incarnation=6, running=5), 10.0)
    assert table.at_worker("w", 10.0).running == 5


def test_total_for_a_node_excludes_its_own_loads():
    table = LoadTable()
    table.record_loads("n2", loads(running=1), 10.0)
    table.record_loads("n3", loads(running=2), 10.0)
    table.record_zone_loads(zone(running=4), 10.0)
    (total,) = table.total_without(10.0, loads(running=8), "n2")
    assert total.running == 14


def test_zone_total_excludes_other_zones():
    table = LoadTable()
    table.record_loads("n2", loads(running=1), 10.0)
    table.record_zone_loads(zone(running=4), 10.0)
    (total,) = table.zone_total(10.0, loads(running=8))
    assert total.running == 9


def test_number_of_sources_is_limited(monkeypatch):
    monkeypatch.setattr("wheelslip.routing.load_table.MAX_SOURCES", 3)
    table = LoadTable()
    for number in range(10):
        table.record_loads(f"n{number}", loads(running=1), 10.0)
    assert table.at_worker("w", 10.0).running == 3
    table.drop_expired(10.0 + REPORT_TTL_SECONDS)
    table.record_loads("late", loads(running=1), 10.0 + REPORT_TTL_SECONDS)
    assert table.at_worker("w", 10.0 + REPORT_TTL_SECONDS).running == 1


async def receive(socket: DatagramSocket, frames: list[bytes]) -> None:
    for frame in frames:
        socket.datagram_received(frame, ("127.0.0.1", 0))


def link_of(
    zone_name: str, table: LoadTable, own=(), others=()
) -> tuple[RelayLink, DatagramSocket]:
    socket = DatagramSocket()
    link = RelayLink(
        zone_name,
        socket,
        table,
        lambda: list(own),
        lambda: list(others),
        lambda: 10.0,
        random.Random(1),
    )
    return link, socket


def test_zone_total_reaches_another_relay_in_datagrams_that_fit_a_packet():
    many = [
        LoadAtWorker(f"i-{number:010x}", 60, 400_000, 900_000)
        for number in range(3 * WORKERS_PER_DATAGRAM - 5)
    ]
    first, second = LoadTable(), LoadTable()
    saved = [2**64 - 1 - number for number in range(2 * SAVED_PROMPTS_PER_REPORT)]
    first.saved.merge(saved, 10.0)
    sender, _ = link_of("z1", first, own=many)
    parts = sender._parts(first.zone_total(10.0, many), 10.0)
    frames = [encode_frame((LOADS, part)) for part in parts]
    assert len(frames) == 3 and max(map(len, frames)) <= MAX_PACKET_BYTES
    _, receiver = link_of("z2", second)
    asyncio.run(receive(receiver, [*frames, b"7:garbage,", b"\xff\x00"]))
    assert receiver.refused == 2
    assert all(second.at_worker(load.worker, 10.0) == load for load in many)
    # Only the newest saved prompts are sent.
    assert [key for key in saved if second.saved.has(key, 10.0)] == saved[
        -SAVED_PROMPTS_PER_REPORT:
    ]
    # Loads of the own zone arrive with polls, so datagrams from it are ignored.
    asyncio.run(receive(link_of("z1", first)[1], frames))
    assert first.at_worker(many[0].worker, 10.0).running == 0


async def closed_link() -> DatagramSocket:
    link, socket = link_of("z1", LoadTable(), own=loads(), others=["127.0.0.1:9"])
    await socket.listen("127.0.0.1", 0)
    link.send_report()
    sent = socket.bytes_sent
    socket.close()
    await asyncio.sleep(0.01)
    link.send_report()
    assert socket.bytes_sent == sent
    return socket


def test_nothing_is_sent_after_the_socket_is_closed():
    assert asyncio.run(closed_link()).bytes_sent > 0
