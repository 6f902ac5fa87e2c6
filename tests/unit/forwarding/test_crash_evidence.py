"""Which observations after a lost response count as a crash of the worker."""

import asyncio
import dataclasses
import time
import types
from unittest.mock import Mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.fault_proxy import Fault, FaultProxy
from standins.platform_site import free_port
from wheelslip.connections.http_client import PeerRefused, PeerUnreachable
from wheelslip.crashes import evidence as crash_evidence
from wheelslip.crashes.evidence import CrashEvidence
from wheelslip.crashes.guard import CrashGuard
from wheelslip.crashes.ledger import Crash
from wheelslip.deployment import Incarnation, WorkerInfo, WorkerState
from wheelslip.registry.worker_view import WorkerView

INCARNATION = Incarnation("e1-1/7")
NODES = 40
"""A connection may be reset before or after it is established; enough nodes observe both cases."""


def ended_worker() -> types.SimpleNamespace:
    """Return a worker that is in the view but does not listen at its address."""
    return types.SimpleNamespace(
        id=INCARNATION, worker_id="e1-1", born=7, zone="z1", address=f"127.0.0.1:{free_port()}"
    )


def registry_of(worker) -> types.SimpleNamespace:
    registered = types.SimpleNamespace(
        info=worker, replaced=False, restarted_as=0, process=worker.id
    )
    view = types.SimpleNamespace(
        by_id=lambda worker_id: registered, may_end_deliberately=lambda info: False
    )
    return types.SimpleNamespace(view=view, workers={worker.id: registered})


async def crashes_after(*losses: tuple[str, bool]) -> list[Crash]:
    """Return the crashes reported for lost responses of one worker, each checked in turn."""
    worker = ended_worker()
    crashes = []
    evidence = CrashEvidence(registry_of(worker), crashes.append)
    for fingerprint, alone in losses:
        evidence.record_lost_response(fingerprint, worker, alone)
        await evidence.wait_until_checked(INCARNATION)
    return crashes


def test_request_sent_after_end_of_worker_is_no_crash():
    crashes = asyncio.run(crashes_after(("much asked for", False), ("on trial", True)))
    assert crashes == [Crash("much asked for", INCARNATION)]


async def crashes_behind_resetting_link() -> list[Crash]:
    server = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
    link = FaultProxy(("127.0.0.1", free_port()), server.sockets[0].getsockname())
    link.fault = Fault.REFUSE
    worker = ended_worker()
    worker.address = link.address
    crashes = []
    evidences = [CrashEvidence(registry_of(worker), crashes.append) for _ in range(NODES)]
    try:
        for evidence in evidences:
            evidence.record_lost_response("on trial", worker, True)
        await asyncio.gather(*(evidence.wait_until_checked(INCARNATION) for evidence in evidences))
    finally:
        link.stop()
        server.close()
    return crashes


def test_connection_resets_are_no_crash():
    assert asyncio.run(crashes_behind_resetting_link()) == []


def test_request_that_ran_alone_is_reported_as_alone():
    assert asyncio.run(crashes_after(("on trial", True))) == [
        Crash("on trial", INCARNATION, alone=True)
    ]


def test_request_sent_before_recorded_end_is_a_crash():
    """The second of two concurrent losses is recorded after the check of the first has ended."""

    async def lose_responses() -> list[Crash]:
        worker, crashes = ended_worker(), []
        evidence = CrashEvidence(registry_of(worker), crashes.append, clock=lambda: 10.0)
        for fingerprint in ("one", "beside it"):
            evidence.record_lost_response(fingerprint, worker, False, sent_at=9.0)
            await evidence.wait_until_checked(INCARNATION)
        return crashes

    assert asyncio.run(lose_responses()) == [
        Crash("one", INCARNATION),
        Crash("beside it", INCARNATION),
    ]


def test_request_sent_after_reported_end_is_no_crash():
    async def lose_responses(sent_at: float) -> list[Crash]:
        worker, crashes = ended_worker(), []
        evidence = CrashEvidence(registry_of(worker), crashes.append, lambda incarnation: 5.0)
        evidence.record_lost_response("on trial", worker, True, sent_at)
        await evidence.wait_until_checked(INCARNATION)
        return crashes

    assert asyncio.run(lose_responses(6.0)) == []
    assert asyncio.run(lose_responses(4.0)) == [Crash("on trial", INCARNATION, alone=True)]


CONNECT_RESULTS = {
    "refused": PeerRefused("refused"),
    "reset": PeerUnreachable("reset"),
    "silent": PeerUnreachable("time out"),
    "accepted": None,
}
"""Possible results of connecting to a worker."""


class ProbeResults:
    """Replacement for ``connect`` that gives the results of the probes in order."""

    def __init__(self, results: list[str]):
        self._results = results
        self.count = 0

    async def connect(self, address: str) -> types.SimpleNamespace:
        error = CONNECT_RESULTS[self._results[self.count]]
        self.count += 1
        if error is not None:
            raise error
        return types.SimpleNamespace(close=lambda: None)


async def crashes_after_probes(
    probes: ProbeResults, later_incarnation_after: int | None
) -> list[Crash]:
    """Return the crashes after one lost response.

    :param later_incarnation_after: number of probes after which a later incarnation is in view.
    """
    worker, crashes = ended_worker(), []
    later = types.SimpleNamespace(id=Incarnation("e1-1/8"), born=8)

    def by_id(worker_id):
        has_later = later_incarnation_after is not None and probes.count >= later_incarnation_after
        info = later if has_later else worker
        return types.SimpleNamespace(info=info, replaced=False, restarted_as=0)

    registry = registry_of(worker)
    registry.view.by_id = by_id
    evidence = CrashEvidence(registry, crashes.append)
    evidence.record_lost_response("content", worker, False)
    await evidence.wait_until_checked(INCARNATION)
    return crashes


@settings(max_examples=200)
@given(
    results=st.lists(st.sampled_from(sorted(CONNECT_RESULTS)), min_size=2, max_size=2),
    later_incarnation_after=st.one_of(st.none(), st.integers(0, 2)),
)
def test_only_refused_connection_or_later_incarnation_is_a_crash(results, later_incarnation_after):
    probes = ProbeResults(results)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(crash_evidence, "connect", probes.connect)
        patch.setattr(crash_evidence, "PROBE_DELAYS_SECONDS", (0.0, 0.0))
        patch.setattr(crash_evidence, "REPLACEMENT_WAIT_SECONDS", 0.0)
        crashes = asyncio.run(crashes_after_probes(probes, later_incarnation_after))
    has_ended = "refused" in results or later_incarnation_after is not None
    assert crashes == ([Crash("content", INCARNATION)] if has_ended else [])


def make_view(leaving: bool = False) -> WorkerView:
    notices = Mock(is_leaving=Mock(return_value=leaving))
    return WorkerView(lambda: types.SimpleNamespace(heartbeat_ms=100), time.monotonic, notices)


def entry(born: int = 7, state: WorkerState = WorkerState.READY) -> WorkerInfo:
    incarnation = Incarnation(f"e1-1/{born}")
    return WorkerInfo(incarnation, "s", f"127.0.0.1:{free_port()}", "z1", state, 4, born=born)


DRAINING = WorkerState.DRAINING


@pytest.mark.parametrize(
    ("entries", "leaving", "counts"),
    [
        ([entry()], False, True),
        ([entry(), entry(8)], False, True),
        ([entry(), entry(state=DRAINING)], False, False),
        ([entry(), entry(state=DRAINING), entry(8)], False, False),
        ([entry()], True, False),
        ([], False, False),
    ],
    ids=["in use", "restarted", "draining", "drained and restarted", "said so", "removed"],
)
def test_end_of_worker_counts_as_crash_unless_it_was_departing(entries, leaving, counts):
    """The crash of a worker that had restarted before its loss was handled was not counted."""

    async def play():
        view, crashes = make_view(leaving), []
        for info in entries:
            view.apply(info)
        registry = types.SimpleNamespace(view=view, workers=view.workers)
        evidence = CrashEvidence(registry, crashes.append)
        evidence.record_lost_response("content", entry(), True)
        await evidence.wait_until_checked(INCARNATION)
        return crashes

    assert len(asyncio.run(play())) == counts


def test_crash_of_worker_with_invalid_entry_is_counted():
    async def play():
        view, crashes = make_view(), []
        view.apply(entry())
        view.mark_unusable("e1-1")
        evidence = CrashEvidence(
            types.SimpleNamespace(view=view, workers=view.workers), crashes.append
        )
        evidence.record_lost_response("content", entry(), True)
        await evidence.wait_until_checked(INCARNATION)
        return crashes

    assert asyncio.run(play()) == [Crash("content", INCARNATION, True)]


def test_lost_response_of_restarted_worker_is_no_crash_of_its_new_process():
    """The later process was in use already; that it is not the one of the entry shows no crash."""

    async def play():
        crashes = []
        server = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
        worker = WorkerInfo(
            INCARNATION,
            "s",
            "{}:{}".format(*server.sockets[0].getsockname()),
            "z1",
            WorkerState.READY,
            4,
            born=7,
        )
        view = make_view()
        view.apply(worker)
        view.record_process(worker.id, 8)
        registry = types.SimpleNamespace(view=view, workers=view.workers)
        evidence = CrashEvidence(registry, crashes.append, clock=clock)
        evidence.record_lost_response("content", worker, True, sent_at=clock() + 1.0)
        await evidence.wait_until_checked(worker.id)
        lost_before = list(crashes)
        evidence.record_lost_response("content", worker, True, sent_at=clock() + 1.0)
        view.record_process(worker.id, 9)
        await evidence.wait_until_checked(Incarnation("e1-1/8"))
        server.close()
        return lost_before, crashes

    clock = time.monotonic
    before, crashes = asyncio.run(play())
    assert before == [] and crashes == [Crash("content", Incarnation("e1-1/8"), True)]


def test_reset_of_restarted_worker_is_no_crash_once_its_entry_is_seen():
    """The request was put down to the process before, which the entry shows as replaced."""

    async def play():
        server = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        before, after = (dataclasses.replace(entry(born), address=address) for born in (7, 8))
        view, crashes = make_view(), []
        view.apply(before)
        view.record_process(before.id, 8)
        view.apply(after)
        registry = types.SimpleNamespace(view=view, workers=view.workers)
        guard = CrashGuard.__new__(CrashGuard)
        guard._evidence = CrashEvidence(registry, crashes.append)
        guard._clock = time.monotonic
        job = Mock(
            attempt_began_answer_at=1.0,
            last_incarnation=after.id,
            last_sent_at=0.0,
            on_trial=False,
            shared_part_ids=[],
            trial_keys=frozenset(),
        )
        guard.record_lost_response(job, before)
        for incarnation in (before.id, after.id):
            await guard._evidence.wait_until_checked(incarnation)
        server.close()
        return crashes

    assert asyncio.run(play()) == []
