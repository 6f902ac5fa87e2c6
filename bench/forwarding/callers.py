"""Callers of a randomised run of forwarding nodes.

Some callers open a connection for each request. Others reuse a persistent connection until it is
closed, also while the node is shutting down.
"""

import asyncio
import random
import time

import h11

from bench.forwarding.judge import RunChecker
from bench.forwarding.record import Call
from bench.forwarding.world import MODEL, World
from standins.platform_site import Caller, Response

CALL_TIMEOUT_SECONDS = 8.0
"""A call without a complete response within this time is recorded as unanswered."""

MAX_PAUSE_SECONDS = 0.1
"""Longest pause of a caller between two requests."""

PATHS = ("/plain/x", "/safe/x", "/stream/x", "/resumed/x")
SESSIONS = 20
DEADLINES_MS = (0, 3000, 4500)
"""Times that callers give; 0 for none."""

REVOKED_SHARE = 0.1
"""Share of the requests that are sent with a revoked API key."""


class Callers:
    """All callers of one run.

    :param persistent_count: number of callers that reuse their connection.
    :param single_use_count: number of callers that open a connection for each request.
    """

    def __init__(
        self,
        world: World,
        checker: RunChecker,
        rng: random.Random,
        persistent_count: int,
        single_use_count: int,
    ):
        self._world = world
        self._rng = rng
        self._checker = checker
        self._persistent_count = persistent_count
        self._single_use_count = single_use_count

    async def run(self, until: float) -> None:
        """Send requests.

        :param until: monotonic time after which no further request is sent.
        """
        callers = [self._reuse_connections(until) for _ in range(self._persistent_count)]
        await asyncio.gather(
            *callers, *(self.use_new_connections(until) for _ in range(self._single_use_count))
        )

    async def use_new_connections(self, until: float) -> None:
        """Send requests on a connection each.

        :param until: monotonic time after which no further request is sent.
        """
        world = self._world
        while time.monotonic() < until:
            await self.call(world.draw_node(self._rng), *self._draw_path_and_key())
            await self._pause()

    async def _reuse_connections(self, until: float) -> None:
        world = self._world
        caller, name = None, ""
        while time.monotonic() < until:
            if caller is None:
                name = world.draw_node(self._rng)
                try:
                    caller = await Caller.connect(world.site.addresses[name])
                except OSError:
                    # The node is down; its unanswered calls are checked on single-use connections.
                    await self._pause()
                    continue
            call = await self.call(name, *self._draw_path_and_key(), caller)
            if not call.complete or not _is_usable(caller):
                caller.abort()
                caller = None
            await self._pause()
        if caller is not None:
            caller.abort()

    async def _pause(self) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, MAX_PAUSE_SECONDS))

    def _draw_path_and_key(self) -> tuple[str, str]:
        """Return a random path and an API key, which for some requests is a revoked one."""
        rng, world = self._rng, self._world
        key = world.keys[-1]
        if world.record.revocations and rng.random() < REVOKED_SHARE:
            key = rng.choice(world.record.revocations[-2:]).key
        return rng.choice(PATHS), key

    async def call(
        self,
        name: str,
        path: str,
        key: str,
        caller: Caller | None = None,
        request_body: bytes = b"x",
        prompt: str = "",
    ) -> Call:
        """Send a request, record it as a call and check its response.

        :param caller: an open connection; ``None`` for a new one.
        :param prompt: parts of the prompt; empty to draw them.
        """
        rng, world = self._rng, self._world
        request_id = f"{rng.getrandbits(64):016x}"
        headers = {}
        if path.startswith(("/stream", "/resumed")):
            prefix = prompt or f"aa:1000,{rng.randrange(SESSIONS):04x}:1000,{request_id[:8]}:1000"
            headers = {
                "Wheelslip_Model_Id": MODEL,
                "Wheelslip_Token_Usage": "3000,6",
                "Wheelslip_Prefix_Hash": prefix,
            }
        # Drawn from the id, so that the choices of other requests do not depend on it.
        deadline_ms = DEADLINES_MS[int(request_id, 16) % len(DEADLINES_MS)]
        if deadline_ms:
            headers["Wheelslip_Deadline_Ms"] = deadline_ms
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                if caller is None:
                    answer = await world.site.request(
                        path, request_id, name, key=key, body=request_body, **headers
                    )
                else:
                    caller.send(path, request_id, key=key, body=request_body, **headers)
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
            request_body,
            _signing_worker(answer, request_id, "server-leaving"),
            _signing_worker(answer, request_id, "server-limit"),
            answer.headers.get("server-limit", ""),
            answer.headers.get("retry-after", ""),
            prompt,
            deadline_ms,
        )
        world.record.calls.append(call)
        self._checker.check_response(call)
        return call

    async def wait_until_all_serve(self, seconds: float) -> None:
        """Wait until every node answers a plain and a streamed request with status 200.

        A node that does not within the given time is recorded as a violation.
        """
        deadline = time.monotonic() + seconds
        for name in self._world.nodes:
            for path in ("/safe/x", "/resumed/x"):
                while (await self.call(name, path, self._world.keys[-1])).status != 200:
                    if time.monotonic() > deadline:
                        text = f"{name} does not serve {path} without faults"
                        self._world.record.violations.append(text)
                        break
                    await asyncio.sleep(MAX_PAUSE_SECONDS)


def _signing_worker(answer: Response, request_id: str, header: str) -> str:
    """Return the id of the worker that signed a response, taken from its signature header.

    :return: an empty string when the response lacks ``header``.
    """
    if header not in answer.headers:
        return ""
    signature = answer.headers.get("wheelslip-response-signature", "")
    return signature.removeprefix("sig-").removesuffix(f"-{request_id}")


def _is_usable(caller: Caller) -> bool:
    """Whether the connection is open and its last response did not announce that it closes."""
    return caller.parser.our_state is h11.IDLE and not caller.reader.at_eof()
