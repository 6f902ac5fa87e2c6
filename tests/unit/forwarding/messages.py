"""One sample of every message between forwarding nodes and of every record they keep in the store.

    PYTHONPATH=src:. python -m tests.unit.forwarding.messages > tests/unit/forwarding/recorded/COMMIT.json

writes what this build sends, for the builds that come after it.
"""

import json
from typing import NamedTuple

import msgspec

from wheelslip.deployment import Incarnation, PromptPart
from wheelslip.forwarding.crash_reports import CrashReport
from wheelslip.forwarding.entry_log import EntryChange
from wheelslip.forwarding.feed import FeedBatch, FeedPoll
from wheelslip.forwarding.rollout_record import RolloutRecord
from wheelslip.peers.dispatch_messages import (
    KeptTold,
    ProgressTold,
    RunningTold,
    VoteReleased,
    VotesTold,
    VoteTaken,
    VoteTold,
    WorkerAsk,
    WorkerGrant,
)
from wheelslip.peers.limit_reports import LimitsReported
from wheelslip.routing.crash_ledger import Crash
from wheelslip.routing.dispatcher import Progress, QueryId
from wheelslip.routing.fleet_choice import RunningRequest
from wheelslip.routing.fleet_memory import CachedPrompt
from wheelslip.routing.load_table import LoadAtWorker, ZoneLoads
from wheelslip.routing.named_limits import LimitReport
from wheelslip.routing.placement import PlacementQuery

START = Incarnation("i-1/1764700000000")
CHAIN = ((2**64 - 1, 800), (17, 410))
LOADS = [LoadAtWorker(START, 3, 1200, 4000)]


class Sample(NamedTuple):
    """A message or record under the name that the recorded files have it by."""

    name: str
    content: object


def samples() -> list[Sample]:
    """Return one of each, no field at its default where that can be told apart."""
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
        frozenset({START}),
        frozenset({Incarnation("i-2")}),
        True,
        "tenant-1",
        3060.0,
    )
    running = RunningRequest(7, START, 3, CHAIN, 120, 3060)
    changes = [EntryChange("servers/i-1", b"{}", 41), EntryChange("servers/i-2", None, 42)]
    grant = WorkerGrant(7, "d1", START, 3, 120, "10.0.0.1:80", "10.0.0.2:80", 0.5, True, True)
    crash = Crash("c0ffee", START, True)
    told = [Sample(f"progress {one.value}", ProgressTold("n1", 7, one)) for one in list(Progress)]
    return [
        Sample("ask", WorkerAsk.of(QueryId("n1", 7), query, counts_only=True)),
        Sample("grant", grant),
        *told,
        Sample("running", RunningTold("n1", [7, 8], [running])),
        Sample("kept", KeptTold([CachedPrompt(START, CHAIN)])),
        Sample("vote", VoteTold(True)),
        Sample("voted", VoteTaken(9)),
        Sample("votes", VotesTold(5, 1.5)),
        Sample("released", VoteReleased(4)),
        Sample(
            "limits", LimitsReported([LimitReport(START, 2.5, 0.25), LimitReport(START, None, 0.5)])
        ),
        Sample("loads", ZoneLoads("z1", 0, 99, 12, LOADS, [2**64 - 1])),
        Sample("poll", FeedPoll(40, "10.0.0.3:7300", LOADS, [17])),
        Sample("batch", FeedBatch(42, True, changes, -0.2, 1.5, LOADS, [17])),
        Sample("rollout record", RolloutRecord(12, [START], {START: {"m": 3}}, ["i-2"])),
        Sample("crash report", CrashReport([crash], [crash])),
    ]


def encoded() -> dict[str, str]:
    """Return the JSON that this build sends for each sample."""
    return {one.name: msgspec.json.encode(one.content).decode() for one in samples()}


if __name__ == "__main__":
    print(json.dumps(encoded(), indent=1))
