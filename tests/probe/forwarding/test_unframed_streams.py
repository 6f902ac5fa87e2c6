"""Streams without a length or chunks, which end with their connection."""

import pytest

from standins.platform_worker import WorkerFaults
from tests.probe.forwarding.test_failures import start_engines
from tests.probe.forwarding.test_path import PROMPT

EVENTS = 4
BREAK_AFTER = 2
RESUMED, PLAIN = "/resumed/x", "/stream/x"


@pytest.mark.parametrize("unframed", [True, False], ids=["unframed", "chunked"])
@pytest.mark.parametrize("path", [RESUMED, PLAIN], ids=["resumable", "not resumable"])
@pytest.mark.parametrize("inside_event", [True, False], ids=["inside an event", "whole"])
async def test_stream_that_ends_inside_an_event_is_not_complete(site, unframed, path, inside_event):
    fleet = await start_engines(site, 2)
    for engine in fleet:
        engine.faults = WorkerFaults(
            unframed=unframed, end_inside_event=BREAK_AFTER if inside_event else None
        )
    answer = await site.request(path, "r1", **PROMPT)
    events = answer.body.count(b"\n\n")
    assert answer.status == 200
    assert answer.body.endswith(b"\n\n"), "no part of an event reaches the caller"
    if not inside_event:
        assert answer.complete and events == EVENTS
        return
    assert not answer.complete
    # A resumable stream goes on once at the other worker, which ends inside its event too.
    assert events == BREAK_AFTER


@pytest.mark.parametrize("unframed", [True, False], ids=["unframed", "chunked"])
async def test_resumable_stream_that_ends_inside_an_event_goes_on_at_another_worker(site, unframed):
    fleet = await start_engines(site, 2)
    for engine in fleet:
        engine.faults = WorkerFaults(
            unframed=unframed, end_inside_event=BREAK_AFTER, ends_once=True
        )
    answer = await site.request(RESUMED, "r1", **PROMPT)
    assert answer.complete and answer.body.count(b"\n\n") == EVENTS
    assert len(site.runs("r1")) == 2


@pytest.mark.parametrize("unframed", [True, False], ids=["unframed", "chunked"])
@pytest.mark.parametrize("path", [RESUMED, PLAIN], ids=["resumable", "not resumable"])
async def test_stream_without_events_is_complete_only_if_its_framing_says_so(site, unframed, path):
    fleet = await start_engines(site, 2)
    for engine in fleet:
        engine.faults = WorkerFaults(unframed=unframed)
        engine.events = 0
    answer = await site.request(path, "r1", **PROMPT)
    if not unframed:
        assert answer.status == 200 and answer.complete
        return
    assert answer.status == 502
    assert len(site.runs("r1")) == (2 if path == RESUMED else 1)


async def test_unframed_stream_without_further_events_completes_a_resumed_one(site):
    engine, *_ = await start_engines(site, 1)
    engine.faults = WorkerFaults(unframed=True)
    answer = await site.request(RESUMED, "r1", Last_Event_Id=str(EVENTS), **PROMPT)
    assert answer.status == 200 and answer.complete and not answer.body
