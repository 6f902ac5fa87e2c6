"""Workers of several software versions side by side and rolling, and callers of long streams.

Callers take up streams that break, at any node, as the platform's clients do.
"""

import asyncio
import itertools
import random
import re
import time
from collections import Counter

import h11

from bench.forwarding.record import Component
from bench.forwarding.world import MODEL, World

VERSION_SECONDS = 6.0
"""Time after which started workers have a newer version."""

STREAMERS = 6
MAX_REQUESTS = 4
"""Requests of a caller for one stream."""

BREAK_SECONDS = (0.4, 2.5)
"""Range of the time between two resets of the connections of a worker."""

REQUEST_SECONDS = 5.0

STREAM_SECONDS = 8.0
"""Time for which a caller takes a stream up again."""

HELD_STREAMS = 12
"""Number of streams that are begun to be broken by the end of all nodes."""

HELD_AFTER = 2
"""Event after which these stop until their connection is closed."""

BEGIN_SECONDS = 1.0
"""Time for these to begin."""

_EVENT = re.compile(rb"id: (\d+)\ndata: token \d+\n: (\w+)\n\n")


class VersionedStreams:
    """Gives workers their versions, breaks their connections and sends streams.

    :ivar counts: streams by outcome.
    """

    def __init__(self, world: World, rng: random.Random):
        self._world = world
        self._rng = rng
        self._numbers = itertools.count(1)
        self._began_at = time.monotonic()
        self.counts: Counter[str] = Counter()
        world.software_version = self._draw_version

    def _draw_version(self) -> str:
        newest = 2 + int((time.monotonic() - self._began_at) / VERSION_SECONDS)
        return f"v{self._rng.choice((newest - 1, newest))}"

    async def run(self, until: float) -> None:
        """Send streams and break connections.

        :param until: monotonic time after which nothing new is started.
        """
        await asyncio.gather(
            self._break_connections(until), *(self._stream(until) for _ in range(STREAMERS))
        )

    async def _break_connections(self, until: float) -> None:
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.uniform(*BREAK_SECONDS))
            workers = [worker for worker in self._world.site.workers.values() if worker.model]
            if workers:
                worker = self._rng.choice(workers)
                name = self._world.incarnation_name(worker.id)
                self._world.record.record_moment(Component.WORKER, name)
                worker.server.reset_all()
                self.counts["resets"] += 1

    def reset_engines(self) -> None:
        """Break the connections of all engines."""
        for worker in list(self._world.site.workers.values()):
            if worker.model:
                name = self._world.incarnation_name(worker.id)
                self._world.record.record_moment(Component.WORKER, name)
                worker.server.reset_all()

    async def _stream(self, until: float) -> None:
        while time.monotonic() < until:
            await self._send_until_complete()
            await asyncio.sleep(self._rng.uniform(0.0, 0.2))

    async def hold_streams(
        self, seconds: float = BEGIN_SECONDS, count: int = HELD_STREAMS
    ) -> asyncio.Task:
        """Begin streams that stop after some events.

        :param seconds: time for them to begin.
        :return: task that takes the streams up once their connections are closed.
        """
        engines = [worker for worker in self._world.site.workers.values() if worker.model]
        for worker in engines:
            worker.hold_after = HELD_AFTER
        streams = [self._send_until_complete() for _ in range(count)]
        task = asyncio.ensure_future(asyncio.gather(*streams))
        await asyncio.sleep(seconds)
        for worker in engines:
            worker.hold_after = None
        return task

    async def _send_until_complete(self) -> None:
        """Send a stream, take it up while it is incomplete, and check its versions."""
        first_id, events, versions = "", [], []
        answered = 0
        ends_at = time.monotonic() + STREAM_SECONDS
        while answered < MAX_REQUESTS and time.monotonic() < ends_at:
            request_id = f"stream-{next(self._numbers)}"
            headers = {"Resumes": first_id, "Last_Event_Id": events[-1]} if events else {}
            body, is_complete = await self._request(request_id, headers)
            found = _EVENT.findall(body)
            if found:
                first_id = first_id or request_id
            events += [int(number) for number, _ in found]
            versions += [version.decode() for _, version in found]
            if is_complete and events:
                break
            # The platform hands no connection to a node that does not listen.
            answered += bool(body)
            self.counts["broken or refused"] += bool(events)
            for kind in ("stream_version_gone", "stream_version_unknown"):
                self.counts[kind] += kind.encode() in body
            await asyncio.sleep(self._rng.uniform(0.0, 0.3))
        self._check(first_id, events, versions)

    async def _request(self, request_id: str, headers: dict) -> tuple[bytes, bool]:
        world = self._world
        headers = headers | {
            "Wheelslip_Model_Id": MODEL,
            "Wheelslip_Token_Usage": "300,6",
            "Wheelslip_Prefix_Hash": f"aa:100,{request_id}:200",
            "Wheelslip_Deadline_Ms": int(REQUEST_SECONDS * 1000),
        }
        world.record.other_streams[request_id] = time.monotonic()
        name = self._rng.choice(world.nodes)
        try:
            async with asyncio.timeout(REQUEST_SECONDS):
                answer = await world.site.request(
                    "/resumed/x", request_id, name, key=world.keys[-1], **headers
                )
        except (OSError, AssertionError, TimeoutError, h11.ProtocolError):
            return b"", False
        return answer.body, answer.complete and answer.status == 200

    def _check(self, first_id: str, events: list[int], versions: list[str]) -> None:
        violations = self._world.record.violations
        if len(set(versions)) > 1:
            violations.append(f"ORDER stream {first_id} has events of {sorted(set(versions))}")
        if events != list(range(1, len(events) + 1)):
            violations.append(f"ORDER stream {first_id} has events {events}")
        self.counts["versions " + str(len(set(versions)))] += 1
