"""Records of engines as nodes spread them: all nodes end with the same one, whoever wrote it and in which order."""

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
def told():
    return []


@pytest.fixture
def task(told):
    address = f"127.0.0.1:{free_port()}"
    member = MemberInfo("n0", "z0", "r", address, "")
    counts = TrafficCounts()
    task = MembershipTask(
        address,
        member,
        (),
        lambda *_: None,
        told.append,
        PeerCaller("127.0.0.1", counts),
        counts,
    )
    yield task
    task.abandon()


def test_a_peers_record_that_came_first_is_followed_by_the_own_one(task, told):
    """A reader that learned of a newer state meanwhile must not be left with the older one."""
    task.start()
    task.answer_sync(SyncRequest((record(6, "held"),)))
    task.publish(KEY, "serving")
    wait_until(lambda: len(told) == 2, "both records are told")
    assert [(one.version, msgspec.json.decode(one.value)) for one in told] == [
        (6, "held"),
        (7, "serving"),
    ]


def test_tables_with_one_version_but_two_values_differ():
    tables = [ReplicatedTable(), ReplicatedTable()]
    for table, value in zip(tables, ("held", "serving"), strict=True):
        table.merge(record(6, value), 2)
    assert tables[0].digest != tables[1].digest
