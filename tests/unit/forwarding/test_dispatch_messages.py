"""Messages between nodes and dispatchers."""

from wheelslip.deployment import PromptPart
from wheelslip.peers.datagrams import DatagramSocket
from wheelslip.peers.dispatch_messages import (
    ASK,
    KEPT,
    MAX_CONNECTED,
    MAX_EXCLUDED,
    PART_REQUESTS,
    RUNNING,
    KeptTold,
    RunningTold,
    WorkerAsk,
)
from wheelslip.routing.dispatcher import QueryId
from wheelslip.routing.fleet_choice import RunningRequest
from wheelslip.routing.fleet_memory import CachedPrompt
from wheelslip.routing.placement import PlacementQuery
from wheelslip.wire import encode_frame

MAX_PACKET_BYTES = 1400
NODE = "0123456789ab"
CHAIN = tuple((2**64 - 1 - number, 12_345) for number in range(3))
WORKER = "i-0123456789"


def asked(parts: int = 6) -> WorkerAsk:
    query = PlacementQuery(
        "service-name",
        "service-name",
        "model-name",
        123_456,
        1234,
        tuple(PromptPart(f"{number:08x}", 12_345) for number in range(parts)),
        "t0123456789abcdef",
        0.6,
        0.8,
        1,
        "zone-of-some-length",
        frozenset(f"i-{number:010x}" for number in range(2 * MAX_CONNECTED)),
        frozenset({WORKER, "i-1"}),
    )
    return WorkerAsk.of(QueryId(NODE, 12_345), query)


def test_each_message_fits_a_packet():
    running = RunningRequest(12_345, WORKER, 12, CHAIN, 12_345, 12_345)
    asks = list(range(10_000, 10_040))
    ruled_out = [f"{WORKER}/{1_764_700_000_000 + number}" for number in range(MAX_EXCLUDED)]
    frames = [
        (ASK, asked()),
        (ASK, asked()._replace(excluded=ruled_out, connected=ruled_out[:MAX_CONNECTED])),
        (RUNNING, RunningTold(NODE, asks, [running] * PART_REQUESTS)),
        (KEPT, KeptTold([CachedPrompt(WORKER, CHAIN)] * PART_REQUESTS)),
    ]
    assert max(len(encode_frame(one)) for one in frames) <= MAX_PACKET_BYTES


def test_a_question_arrives_as_it_was_asked_and_garbage_is_counted():
    heard = []
    socket = DatagramSocket()
    socket.register(ASK, WorkerAsk, lambda message, sender: heard.append((message, sender)))
    socket.datagram_received(encode_frame((ASK, asked())), ("10.0.0.1", 7))
    for garbage in (b"", b"7:garbage,", encode_frame(("other", 1)), encode_frame((ASK, {"a": 1}))):
        socket.datagram_received(garbage, ("10.0.0.1", 7))
    [(message, sender)] = heard
    assert sender == "10.0.0.1:7" and socket.refused == 4
    assert message.query_id() == QueryId(NODE, 12_345)
    assert WorkerAsk.of(message.query_id(), message.query()) == message


def test_a_question_rules_so_many_workers_out_and_no_more():
    query = PlacementQuery("s", excluded=frozenset(f"i-{one}" for one in range(100)))
    assert len(WorkerAsk.of(QueryId(NODE, 1), query).excluded) == MAX_EXCLUDED
