"""Where streams may begin, and when their first event is forwarded."""

import asyncio
from types import SimpleNamespace

import pytest

from wheelslip.deployment import Incarnation, RouteKind, Worker, WorkerInfo, WorkerState
from wheelslip.errors import ErrorKind, WheelslipError
from wheelslip.forwarding import stream_continuation
from wheelslip.forwarding.stream_continuation import StreamContinuation
from wheelslip.streams.version_link import SaveOutcome
from wheelslip.streams.version_register import RegisteredVersions

ONE = RegisteredVersions(frozenset({"v1"}), "v1")
BOTH = RegisteredVersions(frozenset({"v1", "v2"}), "v1")
BOTH_SAVED = RegisteredVersions(frozenset({"v1", "v2"}), "")


def worker(version: str) -> WorkerInfo:
    address, name = "127.0.0.1:1", Incarnation(f"i-{version}")
    return WorkerInfo(
        name, "s", address, "z", WorkerState.READY, 4, software_version=version, born=1
    )


class Node:
    """A node whose saves end as told; ``None`` for a save that does not end."""

    def __init__(self, registered, in_view=("v1", "v2"), saves=True, store_fails=False):
        self.saved = []
        self.backed_up = []
        self._saves = saves
        workers = [Worker(worker(version), {}) for version in in_view]
        registry = SimpleNamespace(
            workers_of=lambda service: workers,
            workers={each.info.id: each for each in workers},
            health=SimpleNamespace(failing_age=lambda now: 0.1 if store_fails else None),
        )
        link = SimpleNamespace(
            register=SimpleNamespace(
                registered=lambda services: registered,
                in_use=lambda service, version: version in in_view,
            ),
            saved=SimpleNamespace(failed_at=float("-inf")),
            record=lambda keys, origin, seconds: None,
            back_up=lambda keys, origin, seconds: self.backed_up.append(origin.software_version),
            save_soon=self._save_soon,
        )
        self.streams = StreamContinuation(link, registry, None, None, lambda: 100.0)

    def _save_soon(self, keys, origin):
        async def save():
            if self._saves is None:
                await asyncio.sleep(60.0)
            self.saved.append(origin.software_version)
            return SaveOutcome.SAVED if self._saves else SaveOutcome.UNKNOWN

        return asyncio.create_task(save())

    def excluded(self, job):
        return {name.removeprefix("i-") for name in self.streams.excluded_workers(job, "s")}


async def begin_stream(node, job, version):
    job.begun_version = version
    await node.streams.record_first_event(job, worker(version))


def make_job(required_version="", resumable=True, resumed_id=""):
    metadata = SimpleNamespace(
        request_id="r1",
        resumed_id=resumed_id,
        last_event_id=3 if resumed_id else None,
        deadline_seconds=5.0,
    )
    route = SimpleNamespace(
        resumable=resumable,
        kind=RouteKind.STREAM,
        timeout_seconds=5.0,
        split=(SimpleNamespace(service="s"),),
    )
    request = SimpleNamespace(metadata=metadata, arrived=100.0)
    return SimpleNamespace(
        route=route,
        request=request,
        required_version=required_version,
        begun_version="",
        accepts_unverified=False,
        unverified=set(),
        deadline=105.0,
    )


@pytest.mark.parametrize(
    ("registered", "store_fails", "in_view", "excluded"),
    [
        (ONE, False, ("v1", "v2"), {"v2"}),
        (BOTH, False, ("v1", "v2"), set()),
        (BOTH, True, ("v1", "v2"), {"v2"}),
        (BOTH, True, ("v2",), set()),
        (BOTH_SAVED, True, ("v1", "v2"), set()),
        (RegisteredVersions(frozenset(), ""), False, ("v1",), {"v1"}),
    ],
    ids=[
        "version not registered",
        "store available",
        "store away",
        "store away and no worker of the base version",
        "store away without a base version",
        "nothing registered",
    ],
)
def test_workers_at_which_a_stream_may_not_begin(registered, store_fails, in_view, excluded):
    node = Node(registered, in_view, store_fails=store_fails)
    assert node.excluded(make_job()) == excluded
    assert node.excluded(make_job(resumable=False)) == set()
    assert node.excluded(make_job(required_version="v1")) == {"v2"} & set(in_view)


@pytest.mark.parametrize(
    ("registered", "version", "saved"),
    [
        (ONE, "v1", []),
        (BOTH, "v1", ["v1"]),
        (BOTH, "v2", ["v2"]),
        (BOTH_SAVED, "v1", ["v1"]),
        (RegisteredVersions(frozenset({"v1"}), ""), "v1", ["v1"]),
    ],
)
def test_streams_are_saved_unless_their_version_is_the_only_one(registered, version, saved):
    async def play():
        node, job = Node(registered), make_job()
        await begin_stream(node, job, version)
        await asyncio.sleep(0)
        assert node.saved == node.backed_up == saved
        assert job.required_version == version

    asyncio.run(play())


@pytest.mark.parametrize("saves", [False, None], ids=["save fails", "save does not end"])
def test_first_event_of_unsaved_stream_is_not_forwarded_if_it_would_count_as_base_version(
    saves, monkeypatch
):
    monkeypatch.setattr(stream_continuation, "SAVE_SECONDS", 0.02)

    async def play():
        with pytest.raises(WheelslipError) as raised:
            await begin_stream(Node(BOTH, saves=saves), make_job(), "v2")
        assert raised.value.kind is ErrorKind.ENGINE_LOST

    asyncio.run(play())


@pytest.mark.parametrize(
    ("registered", "version", "resumed_id"),
    [(BOTH, "v1", ""), (BOTH_SAVED, "v2", ""), (BOTH, "v2", "r0")],
    ids=["base version", "unknown streams are refused", "stream that is taken up"],
)
def test_first_event_is_forwarded_though_the_save_does_not_end(
    registered, version, resumed_id, monkeypatch
):
    monkeypatch.setattr(stream_continuation, "BRIEF_SAVE_SECONDS", 0.02)

    async def play():
        node = Node(registered, saves=None)
        await begin_stream(node, make_job(resumed_id=resumed_id), version)

    asyncio.run(play())


def test_first_events_do_not_wait_for_a_while_after_a_slow_save(monkeypatch):
    monkeypatch.setattr(stream_continuation, "BRIEF_SAVE_SECONDS", 0.02)

    async def play():
        node = Node(BOTH_SAVED, saves=None)
        await begin_stream(node, make_job(), "v1")
        monkeypatch.setattr(stream_continuation, "BRIEF_SAVE_SECONDS", 60.0)
        async with asyncio.timeout(20.0):
            await begin_stream(node, make_job(), "v1")

    asyncio.run(play())
