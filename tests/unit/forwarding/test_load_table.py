"""What nodes tell each other of their loads, and how far it is believed."""

import asyncio
import random

from wheelslip.forwarding.relay_link import LOADS, PART_PROMPTS, PART_WORKERS, RelayLink
from wheelslip.peers.datagrams import DatagramSocket
from wheelslip.routing.load_table import FRESH_SECONDS, LoadAtWorker, LoadTable, ZoneLoads
from wheelslip.wire import encode_frame

MAX_PACKET_BYTES = 1400


def loads(running=3, tokens=900, worker="w"):
    return [LoadAtWorker(worker, running, tokens)]


def zone(running=3, sequence=1, incarnation=5, part=0, name="z2"):
    return ZoneLoads(name, part, incarnation, sequence, loads(running))


def test_loads_of_all_sources_add_up_while_they_are_fresh():
    table = LoadTable()
    table.take("n2", loads(), 10.0)
    table.take("n3", [LoadAtWorker("w", 1, 100, 70)], 10.0)
    table.take_zone(zone(running=2), 10.0)
    assert table.at_worker("w", 10.1) == LoadAtWorker("w", 6, 1900, 70)
    assert table.at_worker("other", 10.1) == LoadAtWorker("other", 0, 0)
    assert table.at_worker("w", 10.1 + FRESH_SECONDS) == LoadAtWorker("w", 0, 0)


def test_news_take_the_place_of_older_ones_of_the_same_source():
    table = LoadTable()
    table.take("n2", loads(running=7), 10.0)
    assert table.at_worker("w", 10.0).running == 7
    table.take("n2", loads(running=1), 10.01)
    assert table.at_worker("w", 10.01).running == 1


def test_older_news_of_a_zone_are_passed_over_and_a_new_relay_begins_anew():
    table = LoadTable()
    table.take_zone(zone(sequence=7), 10.0)
    table.take_zone(zone(sequence=6, running=99), 10.0)
    assert table.at_worker("w", 10.0).running == 3
    table.take_zone(zone(sequence=1, incarnation=6, running=5), 10.0)
    assert table.at_worker("w", 10.0).running == 5


def test_who_asks_is_told_of_all_others_and_not_of_itself():
    table = LoadTable()
    table.take("n2", loads(running=1), 10.0)
    table.take("n3", loads(running=2), 10.0)
    table.take_zone(zone(running=4), 10.0)
    (told,) = table.others(10.0, loads(running=8), "n2")
    assert told.running == 14


def test_the_sum_of_a_zone_leaves_other_zones_out():
    table = LoadTable()
    table.take("n2", loads(running=1), 10.0)
    table.take_zone(zone(running=4), 10.0)
    (told,) = table.own_zone(10.0, loads(running=8))
    assert told.running == 9


def test_sources_are_bounded(monkeypatch):
    monkeypatch.setattr("wheelslip.routing.load_table.MAX_SOURCES", 3)
    table = LoadTable()
    for number in range(10):
        table.take(f"n{number}", loads(running=1), 10.0)
    assert table.at_worker("w", 10.0).running == 3
    table.forget_old(10.0 + FRESH_SECONDS)
    table.take("late", loads(running=1), 10.0 + FRESH_SECONDS)
    assert table.at_worker("w", 10.0 + FRESH_SECONDS).running == 1


async def hear(socket: DatagramSocket, frames: list[bytes]) -> None:
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


def test_one_relay_learns_the_sum_of_another_zone_in_datagrams_that_fit_a_packet():
    many = [
        LoadAtWorker(f"i-{number:010x}", 60, 400_000, 900_000)
        for number in range(3 * PART_WORKERS - 5)
    ]
    first, second = LoadTable(), LoadTable()
    saved = [2**64 - 1 - number for number in range(2 * PART_PROMPTS)]
    first.saved.learn(saved, 10.0)
    sender, _ = link_of("z1", first, own=many)
    parts = sender._parts(first.own_zone(10.0, many), 10.0)
    frames = [encode_frame((LOADS, part)) for part in parts]
    assert len(frames) == 3 and max(map(len, frames)) <= MAX_PACKET_BYTES
    _, receiver = link_of("z2", second)
    asyncio.run(hear(receiver, [*frames, b"7:garbage,", b"\xff\x00"]))
    assert receiver.refused == 2
    assert all(second.at_worker(one.worker, 10.0) == one for one in many)
    # The newest are told.
    assert [key for key in saved if second.saved.has(key, 10.0)] == saved[-PART_PROMPTS:]
    # News of the own zone come by polls; a datagram would count them twice.
    asyncio.run(hear(link_of("z1", first)[1], frames))
    assert first.at_worker(many[0].worker, 10.0).running == 0


async def closed_link() -> DatagramSocket:
    link, socket = link_of("z1", LoadTable(), own=loads(), others=["127.0.0.1:9"])
    await socket.listen("127.0.0.1", 0)
    link.tell()
    sent = socket.bytes_sent
    socket.close()
    await asyncio.sleep(0.01)
    link.tell()
    assert socket.bytes_sent == sent
    return socket


def test_news_after_the_socket_was_closed_go_nowhere():
    assert asyncio.run(closed_link()).bytes_sent > 0
