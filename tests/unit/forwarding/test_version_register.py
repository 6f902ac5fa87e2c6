"""Register of software versions: which versions it holds, and which streams need a record."""

import asyncio
import json

import pytest

from wheelslip.keyvalue.model import KeyValueOutcomeUnknown, TransactionResult
from wheelslip.streams.saved_records import LEASE_TERM_SECONDS, SavedStreamRecords
from wheelslip.streams.version_records import StreamOrigin
from wheelslip.streams.version_register import (
    BASE_ABSENCE_SECONDS,
    MAX_OBSERVATION_GAP_SECONDS,
    RETENTION_SECONDS,
    Observation,
    VersionRecord,
    _Watched,
    updated_record,
)

V1, V2 = StreamOrigin("s", "v1"), StreamOrigin("s", "v2")
ONE = VersionRecord(("v1",), "v1")
BOTH = VersionRecord(("v1", "v2"), "v1")
BOTH_SAVED = VersionRecord(("v1", "v2"), "")


def observed(*in_view, unchanged=0.0, **absent):
    return Observation(frozenset(in_view), absent, unchanged)


@pytest.mark.parametrize(
    ("record", "seen", "expected"),
    [
        (None, observed(), None),
        (None, observed("v1"), ONE),
        (None, observed("v1", "v2"), BOTH_SAVED),
        (ONE, observed("v1", "v2"), BOTH),
        (ONE, observed("v2", v1=1.0), BOTH),
        (ONE, observed(v1=1000.0), ONE),
        (BOTH, observed("v1", "v2", unchanged=RETENTION_SECONDS), BOTH_SAVED),
        (BOTH, observed("v2", v1=BASE_ABSENCE_SECONDS), BOTH_SAVED),
        (BOTH, observed("v2", v1=BASE_ABSENCE_SECONDS - 1), BOTH),
        (BOTH_SAVED, observed("v2", v1=RETENTION_SECONDS - 1), BOTH_SAVED),
        (BOTH_SAVED, observed("v2", v1=RETENTION_SECONDS), VersionRecord(("v2",), "v2")),
        (BOTH_SAVED, observed("v1", "v2", unchanged=1000.0), BOTH_SAVED),
        (VersionRecord(("v1",), ""), observed("v1", unchanged=1.0), VersionRecord(("v1",), "")),
        (VersionRecord(("v1",), ""), observed("v1", unchanged=RETENTION_SECONDS), ONE),
    ],
)
def test_record_follows_versions_in_view(record, seen, expected):
    assert updated_record(record, seen, 0, False) == expected


@pytest.mark.parametrize(
    ("seen", "knows_earlier_eras", "expected"),
    [
        (observed("v1"), True, VersionRecord(("v1",), "v1", 1)),
        (observed("v1"), False, VersionRecord(("v1",), "", 1)),
        (observed("v1", "v2"), True, VersionRecord(("v1", "v2"), "", 1)),
    ],
    ids=["seen by a node that ran before", "by a node that has just started", "two versions"],
)
def test_store_that_returned_from_older_copy_names_no_base_version_unless_known(
    seen, knows_earlier_eras, expected
):
    assert updated_record(ONE, seen, 1, knows_earlier_eras) == expected


class Store:
    """Store that records transactions, and loses the responses to the first ones."""

    def __init__(self, lost=0):
        self.lost = lost
        self.leases = 0
        self.sent = []

    async def grant_lease(self, seconds):
        self.leases += 1
        return self.leases

    async def transact(self, transaction):
        self.sent.append(transaction)
        if self.lost:
            self.lost -= 1
            raise KeyValueOutcomeUnknown("lost")
        return TransactionResult(True, len(self.sent))


async def save_all(store, *batches, clock=lambda: 0.0):
    records = SavedStreamRecords(store, "node", clock)
    task = asyncio.create_task(records.run())
    results = [
        await asyncio.gather(*(records.save([key], origin) for key, origin in batch))
        for batch in batches
    ]
    task.cancel()
    return results


def test_streams_that_begin_together_share_a_call():
    store = Store()
    ((*results,),) = asyncio.run(save_all(store, [("a1", V1), ("a2", V2), ("b1", V1)]))
    assert results == [True] * 3
    (transaction,) = store.sent
    values = {put.key: json.loads(put.value) for put in transaction.changes}
    assert values == {
        "wheelslip/streams/a/node/0": [["s", "v1", ["a1"]], ["s", "v2", ["a2"]]],
        "wheelslip/streams/b/node/0": [["s", "v1", ["b1"]]],
    }


def test_call_that_the_store_executes_late_replaces_no_records():
    """A lost call may be executed seconds later, so it must not write a key that is used again."""
    store = Store(lost=1)
    results = asyncio.run(save_all(store, [("a1", V1)], [("a2", V2)]))
    assert results == [[False], [True]]
    first, second = store.sent
    assert set(first.expected.values()) | set(second.expected.values()) == {0}
    assert not first.expected.keys() & second.expected.keys()


def test_records_get_new_lease_in_each_term_and_after_failures():
    store, now = Store(lost=1), [0.0]

    def clock():
        now[0] += LEASE_TERM_SECONDS / 4
        return now[0]

    asyncio.run(save_all(store, *[[(f"a{number}", V1)] for number in range(8)], clock=clock))
    leases = [put.lease for transaction in store.sent for put in transaction.changes]
    assert leases[0] != leases[1]
    assert leases == sorted(leases) and 3 <= len(set(leases)) < 8


def test_unreadable_record_is_replaced_without_a_base_version_by_a_node_that_never_read_it():
    watched = _Watched(0.0)
    assert watched.replacement(ONE, 1.0) == VersionRecord(("v1",), "")
    watched.read_at = 1.0
    assert watched.replacement(ONE, 2.0) == ONE
    assert watched.replacement(ONE, 2.0 + MAX_OBSERVATION_GAP_SECONDS).base == ""
