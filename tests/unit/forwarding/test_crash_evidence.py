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

from standins.fault_proxy import Fault, FaultProxy
from standins.platform_site import free_port
from wheelslip.deployment import Incarnation
from wheelslip.forwarding.crash_evidence import CrashEvidence
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
    view = types.SimpleNamespace(of_id=lambda worker_id: known)
    return types.SimpleNamespace(view=view, takes_requests=lambda start: True)


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
