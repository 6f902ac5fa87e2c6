"""Size and encoding of the messages between nodes and dispatchers."""

from wheelslip.deployment import PromptPart
from wheelslip.peers.datagrams import DatagramSocket
from wheelslip.peers.dispatch_messages import (
    CACHED_PROMPTS,
    ENQUEUE,
    ITEMS_PER_DATAGRAM,
    MAX_CONNECTED,
    MAX_EXCLUDED,
    QUERY,
    QUEUED,
    RUNNING,
    WITHDRAWAL,
    CachedPromptsReport,
    EnqueueRequest,
    QueuedNotice,
    RunningReport,
    Withdrawal,
    WorkerQuery,
)
from wheelslip.routing.caches.fleet_memory import CachedPrompt
from wheelslip.routing.dispatcher import QueryId
from wheelslip.routing.fleet_choice import RunningRequest
from wheelslip.routing.placement import PlacementQuery
from wheelslip.routing.queue.request_queue import QueuedQuery
from wheelslip.wire import encode_frame

MAX_PACKET_BYTES = 1400
NODE = "0123456789ab"
CHAIN = tuple((2**64 - 1 - number, 12_345) for number in range(3))
WORKER = "i-0123456789"


def worker_query(parts: int = 6) -> WorkerQuery:
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
    return WorkerQuery.of(QueryId(NODE, 12_345), query)


def test_each_message_fits_in_a_packet():
    running = RunningRequest(12_345, WORKER, 12, CHAIN, 12_345, 12_345)
    query_numbers = list(range(10_000, 10_040))
    excluded = [f"{WORKER}/{1_764_700_000_000 + number}" for number in range(MAX_EXCLUDED)]
    frames = [
        (QUERY, worker_query()),
        (QUERY, worker_query()._replace(excluded=excluded, connected=excluded[:MAX_CONNECTED])),
        (RUNNING, RunningReport(NODE, query_numbers, [running] * ITEMS_PER_DATAGRAM)),
        (CACHED_PROMPTS, CachedPromptsReport([CachedPrompt(WORKER, CHAIN)] * ITEMS_PER_DATAGRAM)),
    ]
    assert max(len(encode_frame(frame)) for frame in frames) <= MAX_PACKET_BYTES


def enqueue_request() -> EnqueueRequest:
    """Return the longest request: full lists, a tenant, and times with all their digits."""
    excluded = frozenset(f"{WORKER}/{1_764_700_000_000 + number}" for number in range(MAX_EXCLUDED))
    query = worker_query().placement_query()
    query = query._replace(
        patience_seconds=-0.123456789012345,
        connected=frozenset(sorted(excluded)[:MAX_CONNECTED]),
        excluded=excluded,
        tenant="tenant-of-some-length",
        limit_units=124_690.0,
    )
    queued = QueuedQuery(query, 1.23456789012345, 12.3456789012345)
    return EnqueueRequest.of(QueryId(NODE, 1_234_567), queued)


def test_each_message_of_the_queue_fits_in_a_packet():
    frames = [
        (ENQUEUE, enqueue_request()),
        (QUEUED, QueuedNotice(1_234_567, NODE, 0.1234)),
        (WITHDRAWAL, Withdrawal(NODE, 1_234_567)),
    ]
    assert max(len(encode_frame(frame)) for frame in frames) <= MAX_PACKET_BYTES


def test_queued_query_is_received_as_it_was_sent():
    received = []
    socket = DatagramSocket()
    socket.register(ENQUEUE, EnqueueRequest, lambda message, sender: received.append(message))
    sent = enqueue_request()
    socket.datagram_received(encode_frame((ENQUEUE, sent)), ("10.0.0.1", 7))
    [message] = received
    assert message == sent
    assert EnqueueRequest.of(sent.query.query_id(), message.queued_query()) == sent


def test_objective_of_an_earlier_build_is_not_taken_for_the_time_of_its_caller():
    """Earlier builds send a fingerprint, and the objective in place of the caller's patience."""
    message = enqueue_request()
    message = message._replace(query=message.query._replace(target_seconds=0.1))
    assert message.queued_query().query.patience_seconds == 0.1
    earlier = message._replace(content="c0ffee").queued_query()
    assert earlier.query.patience_seconds == earlier.deadline_seconds == message.deadline_seconds


def test_query_is_received_unchanged_and_invalid_datagrams_are_counted():
    received = []
    socket = DatagramSocket()
    socket.register(QUERY, WorkerQuery, lambda message, sender: received.append((message, sender)))
    socket.datagram_received(encode_frame((QUERY, worker_query())), ("10.0.0.1", 7))
    for garbage in (
        b"",
        b"7:garbage,",
        encode_frame(("other", 1)),
        encode_frame((QUERY, {"a": 1})),
    ):
        socket.datagram_received(garbage, ("10.0.0.1", 7))
    [(message, sender)] = received
    assert sender == "10.0.0.1:7" and socket.refused == 4
    assert message.query_id() == QueryId(NODE, 12_345)
    assert WorkerQuery.of(message.query_id(), message.placement_query()) == message


def test_number_of_excluded_workers_in_a_query_is_bounded():
    query = PlacementQuery("s", excluded=frozenset(f"i-{number}" for number in range(100)))
    assert len(WorkerQuery.of(QueryId(NODE, 1), query).excluded) == MAX_EXCLUDED
