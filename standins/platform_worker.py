"""Stand-in of a model or plain worker, after the published PROTOCOL page.

It runs one request for a fixed time, streams numbered events, takes orders, and misbehaves
as told: :class:`WorkerFaults`. What it ran is kept in :attr:`PlatformWorker.runs`.
"""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from standins.asyncio_http import Exchange, StandInRequest, StandInServer


@dataclass
class WorkerFaults:
    """How a worker misbehaves; all off by default.

    :ivar shed: answer 503 not executed to this many requests.
    :ivar lose_answer: run this many requests and break the connection off.
    :ivar break_after: break a stream off in the middle of the event after this id.
    :ivar surplus_after: send a second answer after a whole one.
    :ivar foreign_first: send another request's answer before one's own.
    :ivar unframed: answer without a length and end with the connection.
    :ivar early_status: answer so before the body was read, and keep the connection.
    :ivar unsigned: leave the signature out.
    :ivar ignore_orders: take orders without an answer.
    :ivar status: answer plain requests so, as the worker's own failure.
    :ivar crash_on: begin a request with this in its body, and the process ends.
    :ivar crash_tenant: only for this tenant; empty for all.
    :ivar crash_after: a stream has that many events before the process ends.
    :ivar rest: asked for in answers that turn requests away, as it is written; empty for none.
    :ivar hides_not_run: such an answer does not say that the request was not run.
    :ivar shed_while: requests are turned away while so many are under way; 0 for never.
    """

    shed: int = 0
    lose_answer: int = 0
    break_after: int | None = None
    surplus_after: bool = False
    foreign_first: bool = False
    unframed: bool = False
    unsigned: bool = False
    ignore_orders: int = 0
    status: int = 200
    crash_on: bytes = b""
    crash_tenant: str = ""
    crash_after: int = 0
    rest: str = ""
    hides_not_run: bool = False
    shed_while: int = 0


def worker_entry(
    service: str = "s",
    address: str = "127.0.0.1:1",
    zone: str = "z",
    state: str = "ready",
    capacity: int = 8,
    model: str = "",
    version: int = 1,
    born: int | None = None,
) -> bytes:
    """Return an entry of the store, whole, as a worker writes it.

    :param version: of the model's weights.
    :param born: Unix millisecond of the worker's start; ``None`` for one that tells none.
    """
    document = {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "capacity": capacity,
        "state": state,
        "cold_left_ms": 0,
        "sequence": 1,
    }
    if model:
        document["model_ids"] = [{"name": model, "version": version}]
    if born is not None:
        document["born"] = born
    return json.dumps(document).encode()


@dataclass
class Run:
    """One request that began to run.

    :ivar began_at: seconds of the steady clock.
    """

    request_id: str
    request: StandInRequest
    version: int
    closed_early: bool = False
    ended: bool = False
    began_at: float = field(default_factory=time.monotonic)


class RestAsked(NamedTuple):
    """An answer that turned a request away and asked for rest.

    :ivar at: seconds of the steady clock.
    :ivar seconds: as it was written.
    """

    request_id: str
    at: float
    seconds: str


@dataclass
class PlatformWorker:
    """One incarnation.

    :ivar seconds: how long a request runs; a stream pauses that long before each event.
    :ivar load_seconds: how long new weights take.
    :ivar arrivals: id and moment of each request that reached it, run or shed; neither reports
        and orders nor requests for another instance or version.
    :ivar born: Unix millisecond of its start, told in all that it says of itself; ``None`` for
        a worker that tells none.
    :ivar deadly: the same as ``faults.crash_on``, whatever its faults are at the time.
    :ivar says_leaving: it says in all its answers that it leaves, whatever its entry says.
    :ivar limit: requests a second that it names in all its answers, as it is written; empty for
        none.
    :ivar rests: the answers that asked for rest.
    :ivar on_crash: called once the process has ended, for whoever starts it again.
    """

    id: str
    model: str = ""
    version: int = 1
    events: int = 4
    seconds: float = 0.0
    load_seconds: float = 0.05
    faults: WorkerFaults = field(default_factory=WorkerFaults)
    named_versions: set[int] = field(default_factory=lambda: {1})
    born: int | None = None
    deadly: bytes = b""
    says_leaving: bool = False
    limit: str = ""
    on_crash: Callable[["PlatformWorker"], None] = lambda worker: None

    def __post_init__(self):
        self.server = StandInServer(self._handle)
        self.runs: list[Run] = []
        self.crashes: list[Run] = []
        self.arrivals: list[tuple[str, float]] = []
        self.rests: list[RestAsked] = []
        self.running = 0
        self.orders: list[dict] = []
        self.ordered_at: list[float] = []
        self.sequence = 0
        self.highest_fence = 0
        self.refused_fences: list[int] = []
        self.busy = False
        self._loading: set[asyncio.Task] = set()

    def entry(self, service: str, zone: str, state: str = "ready", capacity: int = 8) -> bytes:
        """Return the worker's entry in the store."""
        return worker_entry(
            service,
            self.server.address,
            zone,
            state,
            capacity,
            self.model,
            self.version,
            self.born,
        )

    async def _handle(self, request: StandInRequest, exchange: Exchange) -> None:
        expected = request.headers.get("wheelslip-expect-instance", self.id)
        version = request.headers.get("wheelslip-expect-version", str(self.version))
        if expected != self.id or (self.model and version != str(self.version)):
            self._answer(exchange, request, 421, b"")
            return
        if request.path == "/report":
            self._report(exchange)
            return
        if request.path == "/order":
            self._order(json.loads(request.body), exchange)
            return
        request_id = request.headers.get("wheelslip-request-id", "")
        self.arrivals.append((request_id, time.monotonic()))
        if self.faults.shed or self.busy or self._is_full():
            self.faults.shed = max(0, self.faults.shed - 1)
            self._turn_away(request, exchange)
            return
        self.running += 1
        try:
            await self._run(request, exchange)
        finally:
            self.running -= 1

    def _is_full(self) -> bool:
        return 0 < self.faults.shed_while <= self.running

    def _turn_away(self, request: StandInRequest, exchange: Exchange) -> None:
        headers = [] if self.faults.hides_not_run else [("Wheelslip-Not-Executed", "1")]
        if self.faults.rest:
            headers.append(("Retry-After", self.faults.rest))
            request_id = request.headers.get("wheelslip-request-id", "")
            self.rests.append(RestAsked(request_id, time.monotonic(), self.faults.rest))
        self._answer(exchange, request, 503, b"", headers)

    def _of_itself(self) -> list[tuple[str, str]]:
        """Return what it says of itself in every answer."""
        headers = [("Server-Leaving", "1")] if self.says_leaving else []
        if self.limit:
            headers.append(("Server-Limit", self.limit))
        return headers

    async def _run(self, request: StandInRequest, exchange: Exchange) -> None:
        run = Run(request.headers.get("wheelslip-request-id", ""), request, self.version)
        self.runs.append(run)
        if self.faults.lose_answer:
            self.faults.lose_answer -= 1
            exchange.reset()
            return
        if self._crashes_under(run) and not self.faults.crash_after:
            await self._crash(run)
            return
        exchange.watch_for_close()
        if self.model:
            await self._stream(run, exchange)
        else:
            await self._plain(run, exchange)
        await exchange.stop_watching()
        run.ended = True

    def _crashes_under(self, run: Run) -> bool:
        tenant = run.request.headers.get("wheelslip-tenant-id", "")
        if self.faults.crash_tenant not in ("", tenant):
            return False
        marker = self.deadly or self.faults.crash_on
        return bool(marker) and marker in run.request.body

    async def _crash(self, run: Run) -> None:
        self.crashes.append(run)
        await self.end()

    async def end(self) -> None:
        """End as a process does: nothing listens any more and all connections break."""
        await self.server.stop()
        self.on_crash(self)

    async def _wait(self, run: Run, exchange: Exchange) -> bool:
        """Work for a while; return whether the caller is still there."""
        try:
            async with asyncio.timeout(self.seconds or 0.001):
                await exchange.closed.wait()
        except TimeoutError:
            return True
        run.closed_early = True
        return False

    def _headers(self, request_id: str) -> list[tuple[str, str]]:
        headers = [("Wheelslip-Request-Id", request_id), ("Keep-Alive", "timeout=5")]
        if not self.faults.unsigned:
            headers.append(("Wheelslip-Response-Signature", f"sig-{self.id}-{request_id}"))
        if self.model:
            headers.append(("Wheelslip-Weight-Versions", str(self.version)))
        return headers + self._of_itself()

    async def _plain(self, run: Run, exchange: Exchange) -> None:
        if not await self._wait(run, exchange):
            return
        body = f"answer of {self.id} to {run.request_id}".encode()
        if self.faults.foreign_first:
            foreign = b"not yours"
            exchange.raw(_raw_answer(200, [*self._headers("another")], foreign))
        if self.faults.unframed:
            head = _raw_head(200, self._headers(run.request_id))
            exchange.raw(head + body)
            exchange.close()
            return
        exchange.answer(self.faults.status, self._headers(run.request_id), body)
        if self.faults.surplus_after:
            exchange.raw(_raw_answer(200, self._headers("another"), b"surplus"))

    async def _stream(self, run: Run, exchange: Exchange) -> None:
        first = int(run.request.headers.get("last-event-id", "0")) + 1
        headers = [*self._headers(run.request_id), ("Content-Type", "text/event-stream")]
        exchange.start(200, [*headers, ("Transfer-Encoding", "chunked")])
        for number in range(first, self.events + 1):
            if not await self._wait(run, exchange):
                return
            if self.faults.break_after is not None and number > self.faults.break_after:
                exchange.data(f"id: {number}\ndata: t".encode())
                await asyncio.sleep(0.02)
                exchange.reset()
                return
            if self._crashes_under(run) and number > self.faults.crash_after:
                await asyncio.sleep(0.02)
                await self._crash(run)
                return
            exchange.data(f"id: {number}\ndata: token {number}\n\n".encode())
        exchange.end()

    def _answer(
        self,
        exchange: Exchange,
        request: StandInRequest,
        status: int,
        body: bytes,
        extra: list[tuple[str, str]] | None = None,
    ) -> None:
        request_id = request.headers.get("wheelslip-request-id", "")
        headers = [("Wheelslip-Request-Id", request_id), ("Wheelslip-Instance-Id", self.id)]
        if self.model:
            headers.append(("Wheelslip-Weight-Versions", str(self.version)))
        exchange.answer(status, [*headers, *self._of_itself(), *(extra or [])], body)

    def _report(self, exchange: Exchange) -> None:
        document = {
            "phase": "unified",
            "model_ids": [{"name": self.model, "version": self.version, "lora_adapters": []}],
            "busy": self.busy,
            "sequence": self.sequence,
            "queued": 0,
            "active": 0,
            "kv_used": 0,
            "kv_total": 1,
            "open_handles": 0,
        }
        if self.born is not None:
            document["born"] = self.born
        headers = [("Content-Type", "application/json"), *self._of_itself()]
        exchange.answer(200, headers, json.dumps(document).encode())

    def _order(self, order: dict, exchange: Exchange) -> None:
        status = self._take_order(order)
        if self.faults.ignore_orders:
            self.faults.ignore_orders -= 1
            exchange.reset()
            return
        exchange.answer(status, self._of_itself(), b"")

    def _take_order(self, order: dict) -> int:
        if "holder" not in order or "fence" not in order:
            return 400
        if order["fence"] < self.highest_fence:
            self.refused_fences.append(order["fence"])
            return 412
        self.highest_fence = order["fence"]
        if self.busy or order.get("expected_rev", self.sequence) != self.sequence:
            return 409
        if order["version"] not in self.named_versions:
            return 400
        self.orders.append(order)
        self.ordered_at.append(time.monotonic())
        if order["version"] == self.version:
            return 200
        self.sequence += 1
        self.busy = True
        task = asyncio.get_running_loop().create_task(self._load(order["version"]))
        self._loading.add(task)
        task.add_done_callback(self._loading.discard)
        return 202

    async def _load(self, version: int) -> None:
        await asyncio.sleep(self.load_seconds)
        self.version = version
        self.busy = False


def _raw_head(status: int, headers: list[tuple[str, str]]) -> bytes:
    lines = [f"HTTP/1.1 {status} OK", *[f"{name}: {value}" for name, value in headers]]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _raw_answer(status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
    return _raw_head(status, [*headers, ("Content-Length", str(len(body)))]) + body
