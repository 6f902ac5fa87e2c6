"""A trial of a harmless content was sent to an engine that was known to have ended, and condemned it.

e1-1 ended without a word while much was running there, and its entry stood on for two seconds more::

    06:29:43,311 n3 engine_ended_under content=5b1adf incarnation=e1-1/1796279379880 alone=false
    06:29:44,444 n3 attempt_failed content=5b1adf incarnation=e1-1/1796279379880 "connection reset"
    06:29:44,980 n3 engine_ended_under content=5b1adf incarnation=e1-1/1796279379880 alone=true

What else had run there ran whole at 46.398 elsewhere and was cleared, so the trial that had come to nothing
was the proof left: 22 requests were refused as ending engines until 48.130.
"""

import asyncio
import types

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.fault_proxy import Fault, FaultProxy
from standins.platform_site import free_port
from wheelslip.deployment import Incarnation
from wheelslip.forwarding import crash_evidence
from wheelslip.forwarding.crash_evidence import CrashEvidence
from wheelslip.forwarding.http_client import PeerRefused, PeerUnreachable
from wheelslip.routing.crash_ledger import Crash

START = Incarnation("e1-1/7")
NODES = 40
"""A reset comes before a connection is known to be there, or after; of so many, some see the first."""


def ended_engine() -> types.SimpleNamespace:
    """An engine in view at whose address nothing listens."""
    return types.SimpleNamespace(
        id=START, worker_id="e1-1", born=7, zone="z1", address=f"127.0.0.1:{free_port()}"
    )


def registry_of(engine) -> types.SimpleNamespace:
    known = types.SimpleNamespace(info=engine, replaced=False)
    view = types.SimpleNamespace(by_id=lambda worker_id: known)
    return types.SimpleNamespace(view=view, accepts_requests=lambda start: True)


async def judged(*losses: tuple[str, bool]) -> list[Crash]:
    """Lose answers at one engine, each when the one before has been judged; return the crashes."""
    engine = ended_engine()
    crashes = []
    evidence = CrashEvidence(registry_of(engine), crashes.append)
    for content, alone in losses:
        evidence.lost(content, engine, alone)
        await evidence.settled(START)
    return crashes


def test_what_is_sent_to_an_engine_that_has_ended_is_no_proof_against_it():
    crashes = asyncio.run(judged(("much asked for", False), ("on trial", True)))
    assert crashes == [Crash("much asked for", START)]


async def judged_behind_a_link_that_refuses() -> list[Crash]:
    server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    link = FaultProxy(("127.0.0.1", free_port()), server.sockets[0].getsockname())
    link.fault = Fault.REFUSE
    engine = ended_engine()
    engine.address = link.address
    crashes = []
    judges = [CrashEvidence(registry_of(engine), crashes.append) for _ in range(NODES)]
    try:
        for one in judges:
            one.lost("on trial", engine, True)
        await asyncio.gather(*(one.settled(START) for one in judges))
    finally:
        link.stop()
        server.close()
    return crashes


def test_a_link_that_resets_connections_is_no_end_of_the_engine_behind_it():
    """A harmless content was refused for the rest of a run, at all nodes: 586 requests.

    It had its first turn beside a content that ended an engine for the first time, and its second at
    p1, whose link reset all connections for 2 s; p1 itself ended 3.0 s later, under another content::

        07:11:02,097 n7 attempt_failed content=0d97f8 incarnation=p1/1796281861448 "connection reset"
        07:11:02,129 n7 engine_ended_under content=0d97f8 incarnation=p1/1796281861448 alone=true
    """
    assert asyncio.run(judged_behind_a_link_that_refuses()) == []


def test_what_ran_alone_when_the_engine_ended_is_one():
    assert asyncio.run(judged(("on trial", True))) == [Crash("on trial", START, alone=True)]


def test_what_was_sent_before_its_engine_was_known_to_have_ended_is_evidence():
    """Two contents ran together; the loss of one is noticed after the other's was judged."""

    async def lose() -> list[Crash]:
        engine, crashes = ended_engine(), []
        evidence = CrashEvidence(registry_of(engine), crashes.append, clock=lambda: 10.0)
        for content in ("one", "beside it"):
            evidence.lost(content, engine, False, sent_at=9.0)
            await evidence.settled(START)
        return crashes

    assert asyncio.run(lose()) == [Crash("one", START), Crash("beside it", START)]


def test_what_is_sent_to_an_engine_that_others_know_to_have_ended_is_no_proof_either():
    async def lose(sent_at: float) -> list[Crash]:
        engine, crashes = ended_engine(), []
        evidence = CrashEvidence(registry_of(engine), crashes.append, lambda start: 5.0)
        evidence.lost("on trial", engine, True, sent_at)
        await evidence.settled(START)
        return crashes

    assert asyncio.run(lose(6.0)) == []
    assert asyncio.run(lose(4.0)) == [Crash("on trial", START, alone=True)]


SEEN = {
    "refused": PeerRefused("refused"),
    "reset": PeerUnreachable("reset"),
    "silent": PeerUnreachable("time out"),
    "accepted": None,
}
"""What a node may see when it connects to an engine."""


class Looks:
    """Stands in for connecting: what each look at an engine sees, in order."""

    def __init__(self, seen: list[str]):
        self._seen = seen
        self.count = 0

    async def connect(self, address: str) -> types.SimpleNamespace:
        error = SEEN[self._seen[self.count]]
        self.count += 1
        if error is not None:
            raise error
        return types.SimpleNamespace(close=lambda: None)


async def judged_by(looks: Looks, later_start_after: int | None) -> list[Crash]:
    """Judge one loss; a later start is known after so many looks."""
    engine, crashes = ended_engine(), []
    later = types.SimpleNamespace(id=Incarnation("e1-1/8"), born=8)

    def known(worker_id):
        has_later = later_start_after is not None and looks.count >= later_start_after
        return types.SimpleNamespace(info=later if has_later else engine, replaced=False)

    registry = registry_of(engine)
    registry.view.by_id = known
    evidence = CrashEvidence(registry, crashes.append)
    evidence.lost("content", engine, False)
    await evidence.settled(START)
    return crashes


@settings(max_examples=200)
@given(
    seen=st.lists(st.sampled_from(sorted(SEEN)), min_size=2, max_size=2),
    later_start_after=st.one_of(st.none(), st.integers(0, 2)),
)
def test_only_a_refused_connection_or_a_later_start_shows_an_end(seen, later_start_after):
    looks = Looks(seen)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(crash_evidence, "connect", looks.connect)
        patch.setattr(crash_evidence, "LOOKS_SECONDS", (0.0, 0.0))
        patch.setattr(crash_evidence, "LATER_START_SECONDS", 0.0)
        crashes = asyncio.run(judged_by(looks, later_start_after))
    has_ended = "refused" in seen or later_start_after is not None
    assert crashes == ([Crash("content", START)] if has_ended else [])
