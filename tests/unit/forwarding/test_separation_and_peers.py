"""Which workers are for short requests, and what peers tell of their loads."""

import asyncio
import random

import msgspec

from wheelslip.forwarding.peer_link import PeerLink
from wheelslip.forwarding.peer_loads import (
    FAN_OUT,
    FORGET_SECONDS,
    FRESH_SECONDS,
    LoadNews,
    PeerLoads,
    WorkerLoadNews,
)
from wheelslip.routing.separation import PromptSeparation
from wheelslip.wire import decode_frame, encode_frame

WORKERS = [f"w{number}" for number in range(6)]


def test_nothing_is_set_aside_while_all_requests_are_of_one_length():
    separation = PromptSeparation()
    assert separation.short_workers(WORKERS) == frozenset()
    separation.note(0.3, True, 1.0)
    assert separation.short_workers(WORKERS) == frozenset()


def test_the_share_follows_the_reading_time_and_both_lengths_have_workers():
    for short_seconds in (0.001, 0.02, 0.3, 30.0):
        separation = PromptSeparation()
        for tick in range(100):
            separation.note(0.3, True, tick * 0.1)
            separation.note(short_seconds, False, tick * 0.1)
        assert 1 <= len(separation.short_workers(WORKERS)) <= len(WORKERS) - 1


def test_nodes_name_the_same_workers():
    first, second = PromptSeparation(), PromptSeparation()
    for tick in range(50):
        first.note(0.3, True, tick * 0.1)
        first.note(0.02, False, tick * 0.1)
        second.note(0.31, True, tick * 0.13)
        second.note(0.021, False, tick * 0.13)
    assert first.short_workers(WORKERS) == second.short_workers(list(reversed(WORKERS)))


def peers(name="n1", seeds=("127.0.0.1:9",)):
    return PeerLoads(name, f"127.0.0.1:{name[1:]}", list(seeds), random.Random(1))


def news(name, sequence=1, incarnation=5, running=3, tokens=900, known=()):
    loads = [WorkerLoadNews("w", running, tokens)]
    return LoadNews(name, f"127.0.0.1:{name[1:]}", incarnation, sequence, loads, list(known))


def test_loads_of_peers_add_up_while_they_are_fresh():
    view = peers()
    view.take(news("n2"), 10.0)
    view.take(news("n3", running=1, tokens=100), 10.0)
    assert view.at_worker("w", 10.1) == (4.0, 1000.0)
    assert view.at_worker("other", 10.1) == (0.0, 0.0)
    assert view.at_worker("w", 10.1 + FRESH_SECONDS) == (0.0, 0.0)


def test_some_peers_stand_for_those_not_heard_of_just_now():
    view = peers()
    view.take(news("n2"), 10.0)
    view.take(news("n3"), 10.0 + FRESH_SECONDS)
    assert view.at_worker("w", 10.1 + FRESH_SECONDS) == (6.0, 1800.0)


def test_older_news_are_passed_over_and_a_restart_begins_anew():
    view = peers()
    view.take(news("n2", sequence=7), 10.0)
    view.take(news("n2", sequence=6, running=99), 10.0)
    assert view.at_worker("w", 10.0)[0] == 3.0
    view.take(news("n2", sequence=1, incarnation=6, running=5), 10.0)
    assert view.at_worker("w", 10.0)[0] == 5.0


def test_ones_own_news_are_not_counted():
    view = peers()
    view.take(news("n1"), 10.0)
    assert view.at_worker("w", 10.0) == (0.0, 0.0)


def test_seeds_are_told_until_peers_are_known_and_the_fan_out_is_bounded():
    view = peers()
    assert view.targets(10.0) == ["127.0.0.1:9"]
    for number in range(2, 60):
        view.take(news(f"n{number}"), 10.0)
    targets = view.targets(10.0)
    assert len(set(targets)) == len(targets) == FAN_OUT
    assert view.targets(11.0 + FORGET_SECONDS) == ["127.0.0.1:9"]


def test_peers_find_each_other_through_one_seed():
    views = {f"n{number}": peers(f"n{number}", ["127.0.0.1:1"]) for number in range(1, 8)}
    for tick in range(8):
        now = 10.0 + tick * 0.25
        for view in views.values():
            told = view.news([], now)
            for address in view.targets(now):
                views[f"n{address.rpartition(':')[2]}"].take(told, now)
    assert all(len(view.targets(12.0)) >= 6 for view in views.values())


def test_news_go_through_a_frame():
    told = news("n2", known=["127.0.0.1:3"])
    frame = encode_frame(told)
    assert decode_frame(frame, LoadNews) == told
    assert msgspec.json.decode(frame[frame.index(b":") + 1 : -1])[0] == "n2"


async def closed_link() -> PeerLink:
    loads = [[WorkerLoadNews("w", 1, 1)], [WorkerLoadNews("w", 2, 2)]]
    link = PeerLink(peers(), lambda: loads.pop(0), lambda: 10.0)
    await link.listen("127.0.0.1", 0)
    link.tell()
    link.close()
    await asyncio.sleep(0.01)
    link.tell()
    return link


def test_news_after_the_socket_was_closed_go_nowhere():
    assert asyncio.run(closed_link()).bytes_sent > 0
