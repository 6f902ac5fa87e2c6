"""Samples of all messages between forwarding nodes and of all records in the store.

    PYTHONPATH=src:. python -m tests.unit.forwarding.messages > tests/unit/forwarding/recorded/COMMIT.json

records the samples as sent by this build, to test later builds against them.
"""

import json
from typing import NamedTuple

import msgspec

from wheelslip.crashes.ledger import Crash
from wheelslip.crashes.part_reports import PartReport
from wheelslip.crashes.reports import CrashReport
from wheelslip.deployment import Incarnation, PromptPart
from wheelslip.forwarding.feed import FeedBatch, FeedPoll
from wheelslip.forwarding.rollout_record import RolloutRecord
from wheelslip.peers.dispatch_messages import (
    BrittleReport,
    CachedPromptsReport,
    EnqueueRequest,
    ProgressReport,
    QueuedNotice,
    RunningReport,
    StartNotice,
    Vote,
    VoteCountReport,
    VoteRelease,
    VoteReply,
    Withdrawal,
    WorkerGrant,
    WorkerQuery,
)
from wheelslip.peers.limit_reports import LimitReportBatch
from wheelslip.registry.entry_log import EntryChange
from wheelslip.routing.caches.fleet_memory import CachedPrompt
from wheelslip.routing.dispatcher import Progress, QueryId
from wheelslip.routing.fleet_choice import RunningRequest
from wheelslip.routing.limits.named_limits import LimitReport
from wheelslip.routing.load_table import LoadAtWorker, ZoneLoads
from wheelslip.routing.placement import PlacementQuery
from wheelslip.streams.messages import (
    BackupQuery,
    BackupReply,
    OriginQuery,
    OriginReply,
    RecordBatch,
    SaveConfirmation,
    SaveFailure,
    SaveRequest,
)
from wheelslip.streams.saved_records import SavedBatch
from wheelslip.streams.version_records import StreamOrigin
from wheelslip.streams.version_register import VersionRecord
from wheelslip.tunnels.messages import TunnelIdle, TunnelOpen, TunnelReply, TunnelStatus

INCARNATION = Incarnation("i-1/1764700000000")
CHAIN = ((2**64 - 1, 800), (17, 410))
LOADS = [LoadAtWorker(INCARNATION, 3, 1200, 4000)]


class Sample(NamedTuple):
    """A message or record and its key in the recorded files."""

    name: str
    content: object


def samples() -> list[Sample]:
    """Return one sample of each; fields differ from their defaults where possible."""
    query = PlacementQuery(
        "engines",
        "group",
        "m",
        3000,
        60,
        (PromptPart("5c", 800),),
        "t1",
        0.6,
        0.8,
        2,
        "z1",
        frozenset({INCARNATION}),
        frozenset({Incarnation("i-2")}),
        True,
        "tenant-1",
        3060.0,
    )
    running = RunningRequest(7, INCARNATION, 3, CHAIN, 120, 3060)
    changes = [EntryChange("servers/i-1", b"{}", 41), EntryChange("servers/i-2", None, 42)]
    grant = WorkerGrant(7, "d1", INCARNATION, 3, 120, "10.0.0.1:80", "10.0.0.2:80", 0.5, True, True)
    crash = Crash("c0ffee", INCARNATION, True)
    progress_reports = [
        Sample(f"progress {progress.value}", ProgressReport("n1", 7, progress))
        for progress in list(Progress)
    ]
    origin = StreamOrigin("engines", "v1.2")
    return [
        Sample("ask", WorkerQuery.of(QueryId("n1", 7), query, charge_only=True)),
        Sample("grant", grant),
        *progress_reports,
        Sample("running", RunningReport("n1", [7, 8], [running])),
        Sample(
            "enqueue",
            EnqueueRequest(WorkerQuery.of(QueryId("n1", 7), query), 0.25, 3.5, "c0ffee"),
        ),
        Sample("queued", QueuedNotice(7, "d1", 0.125)),
        Sample("withdraw", Withdrawal("n1", 7)),
        Sample("kept", CachedPromptsReport([CachedPrompt(INCARNATION, CHAIN)])),
        Sample("vote", Vote(True)),
        Sample("voted", VoteReply(9)),
        Sample("votes", VoteCountReport(5, 1.5)),
        Sample("released", VoteRelease(4)),
        Sample("started", StartNotice(0.25)),
        Sample(
            "limits",
            LimitReportBatch(
                [LimitReport(INCARNATION, 2.5, 0.25), LimitReport(INCARNATION, None, 0.5)]
            ),
        ),
        Sample("loads", ZoneLoads("z1", 0, 99, 12, LOADS, [2**64 - 1])),
        Sample("poll", FeedPoll(40, "10.0.0.3:7300", LOADS, [17])),
        Sample("batch", FeedBatch(42, True, changes, -0.2, 1.5, LOADS, [17])),
        Sample(
            "rollout record", RolloutRecord(12, [INCARNATION], {INCARNATION: {"m": 3}}, ["i-2"])
        ),
        Sample("crash report", CrashReport([crash], [crash])),
        Sample(
            "part report",
            PartReport({INCARNATION: ["s1"]}, {INCARNATION: ["s1"]}, {}, {INCARNATION: "c0ffee"}),
        ),
        Sample("streams", RecordBatch(origin, 25, ["9f86d081884c7d65"])),
        Sample("stream query", OriginQuery("10.0.0.3:7300", "engines", ["9f86d081884c7d65"], True)),
        Sample(
            "stream reply", OriginReply({"9f86d081884c7d65": origin}, ["9f86d081884c7d65"], True)
        ),
        Sample("backup query", BackupQuery("10.0.0.3:7300")),
        Sample("backup reply", BackupReply(["10.0.0.4:7300"])),
        Sample("stream save", SaveRequest("10.0.0.3:7300", 7, origin, ["9f86d081884c7d65"])),
        Sample("stream saved", SaveConfirmation(7)),
        Sample("stream unsaved", SaveFailure(7)),
        Sample("saved streams", [SavedBatch(*origin, ["9f86d081884c7d65"])]),
        Sample("registered versions", VersionRecord(("v1", "v1.2"), "v1", 2)),
        Sample("brittle", BrittleReport("engines")),
        Sample("tunnel", TunnelOpen(INCARNATION, "r1")),
        *(
            Sample(f"tunnel {status.value}", TunnelReply(status, ["10.0.0.4:7300"]))
            for status in TunnelStatus
        ),
        Sample("tunnel idle", TunnelIdle()),
    ]


def encoded() -> dict[str, str]:
    """Return the JSON that this build sends for each sample."""
    return {sample.name: msgspec.json.encode(sample.content).decode() for sample in samples()}


if __name__ == "__main__":
    print(json.dumps(encoded(), indent=1))
