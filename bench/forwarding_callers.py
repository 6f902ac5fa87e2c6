"""The callers of a randomised run of forwarding nodes.

Some open a connection for each request; others keep theirs and use it until the process at its
other end is gone, also while that process is being stopped.
"""

import asyncio
import random
import time

import h11

from bench.forwarding_judge import Judge
from bench.forwarding_record import Call
from bench.forwarding_world import MODEL, World
from standins.platform_site import Caller, Response

CALL_SECONDS = 8.0
"""A caller that got no whole answer in this time gives up, and counts it as silence."""

PAUSE_SECONDS = 0.1
"""Longest pause of a caller between two requests."""

PATHS = ("/plain/x", "/safe/x", "/stream/x", "/resumed/x")
SESSIONS = 20
REVOKED_SHARE = 0.1
"""Part of the requests that are sent with a key which was taken away."""


class Callers:
    """All callers of one run.

    :param kept_open: number of callers that keep their connections.
    :param single: number of those that open one for each request.
    """

    def __init__(self, world: World, judge: Judge, rng: random.Random, kept_open: int, single: int):
        self._world = world
        self._rng = rng
        self._judge = judge
        self._kept_open = kept_open
        self._single = single

    async def run(self, until: float) -> None:
        """Send requests until a moment."""
        callers = [self._keep_using(until) for _ in range(self._kept_open)]
        await asyncio.gather(*callers, *(self._open_each(until) for _ in range(self._single)))

    async def _open_each(self, until: float) -> None:
        world = self._world
        while time.monotonic() < until:
            await self.call(self._rng.choice(world.nodes), *self._what())
            await self._pause()

    async def _keep_using(self, until: float) -> None:
        world = self._world
        caller, name = None, ""
        while time.monotonic() < until:
            if caller is None:
                name = self._rng.choice(world.nodes)
                try:
                    caller = await Caller.connect(world.site.addresses[name])
                except OSError:
                    # A node that is down refuses; callers of one connection a request judge it.
                    await self._pause()
                    continue
            call = await self.call(name, *self._what(), caller)
            if not call.complete or not _is_usable(caller):
                caller.abort()
                caller = None
            await self._pause()
        if caller is not None:
            caller.abort()

    async def _pause(self) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, PAUSE_SECONDS))

    def _what(self) -> tuple[str, str]:
        """Return path and key of a request; some are sent with a key that was taken away."""
        rng, world = self._rng, self._world
        key = world.keys[-1]
        if world.record.revoked and rng.random() < REVOKED_SHARE:
            key = rng.choice(world.record.revoked[-2:]).key
        return rng.choice(PATHS), key

    async def call(
        self,
        name: str,
        path: str,
        key: str,
        caller: Caller | None = None,
        content: bytes = b"x",
    ) -> Call:
        """Send one request, on an open connection or one of its own, and judge its answer."""
        rng, world = self._rng, self._world
        request_id = f"{rng.getrandbits(64):016x}"
        headers = {}
        if path.startswith(("/stream", "/resumed")):
            prefix = f"aa:1000,{rng.randrange(SESSIONS):04x}:1000,{request_id[:8]}:1000"
            headers = {
                "Wheelslip_Model_Id": MODEL,
                "Wheelslip_Token_Usage": "3000,6",
                "Wheelslip_Prefix_Hash": prefix,
            }
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(CALL_SECONDS):
                if caller is None:
                    answer = await world.site.request(
                        path, request_id, name, key=key, body=content, **headers
                    )
                else:
                    caller.send(path, request_id, key=key, body=content, **headers)
                    answer = await caller.read_response()
            error = ""
        except (OSError, AssertionError, TimeoutError, h11.ProtocolError) as exc:
            answer, error = Response(0, {}, b"", False), repr(exc)
        call = Call(
            name,
            request_id,
            path,
            key,
            sent_at,
            time.monotonic(),
            answer.status,
            answer.body,
            answer.complete,
            error,
            content,
            _worker_of(answer, request_id, "server-leaving"),
            _worker_of(answer, request_id, "server-limit"),
            answer.headers.get("server-limit", ""),
        )
        world.record.calls.append(call)
        self._judge.judge_answer(call)
        return call

    async def until_all_serve(self, seconds: float) -> None:
        """Wait until every node answers a plain and a streamed request with success.

        Whoever does not in time is a violation.
        """
        deadline = time.monotonic() + seconds
        for name in self._world.nodes:
            for path in ("/safe/x", "/resumed/x"):
                while (await self.call(name, path, self._world.keys[-1])).status != 200:
                    if time.monotonic() > deadline:
                        text = f"{name} does not serve {path} without faults"
                        self._world.record.violations.append(text)
                        break
                    await asyncio.sleep(PAUSE_SECONDS)


def _worker_of(answer: Response, request_id: str, header: str) -> str:
    """Return the worker that signed an answer with a header; empty for others."""
    if header not in answer.headers:
        return ""
    signature = answer.headers.get("wheelslip-response-signature", "")
    return signature.removeprefix("sig-").removesuffix(f"-{request_id}")


def _is_usable(caller: Caller) -> bool:
    """Whether another request may be sent: the node has neither closed nor said it would."""
    return caller.parser.our_state is h11.IDLE and not caller.reader.at_eof()
