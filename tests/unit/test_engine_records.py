"""Tests of engine records that several nodes write concurrently."""

import msgspec
import pytest

from standins.cluster import wait_until
from standins.platform_site import free_port
from wheelslip.peers.connection import PeerCaller, TrafficCounts
from wheelslip.peers.messages import MemberInfo, Record, SyncRequest
from wheelslip.peers.table import ReplicatedTable
from wheelslip.peers.task import MembershipTask

KEY = "e/engine-4"


def record(version, value):
    return Record(KEY, version, msgspec.Raw(msgspec.json.encode(value)))


@pytest.fixture
def applied_records():
    return []


@pytest.fixture
def task(applied_records):
    address = f"127.0.0.1:{free_port()}"
    member = MemberInfo("n0", "z0", "r", address, "")
    counts = TrafficCounts()
    task = MembershipTask(
        address,
        member,
        (),
        lambda *_: None,
        applied_records.append,
        PeerCaller("127.0.0.1", counts),
        counts,
    )
    yield task
    task.terminate()


def test_local_write_after_a_peer_record_is_reported_with_the_next_version(task, applied_records):
    """Guards against a subscriber that keeps the peer's record after a later local write."""
    task.start()
    task.handle_sync(SyncRequest((record(6, "held"),)))
    task.publish(KEY, "serving")
    wait_until(lambda: len(applied_records) == 2, "both records are reported")
    assert [(entry.version, msgspec.json.decode(entry.value)) for entry in applied_records] == [
        (6, "held"),
        (7, "serving"),
    ]


def test_digests_differ_for_equal_versions_with_different_values():
    tables = [ReplicatedTable(), ReplicatedTable()]
    for table, value in zip(tables, ("held", "serving"), strict=True):
        table.merge(record(6, value), 2)
    assert tables[0].digest != tables[1].digest
