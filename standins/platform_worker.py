"""Stand-in for a worker of the platform, with or without a model.

It processes each request for a fixed time, streams numbered events, executes orders to load
weights and injects the faults set in :class:`WorkerFaults`. The requests that it processed are
recorded in :attr:`PlatformWorker.runs`.
"""

import asyncio
import enum
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from standins.asyncio_http import ServerConnection, StandInRequest, StandInServer
from standins.endless_data import EndlessData, send_endless_data


class ReportFault(enum.Enum):
    """What a worker does when asked for its report.

    ``LATE``: answer after :data:`LATE_REPORT_SECONDS`. ``REFUSED``: answer 503. ``RESET``: reset the
    connection. ``GARBLED``: answer with a body that is no document. ``WITHOUT_BORN``: omit its start.
    ``OLDER``: name a start before that of its entry.
    """

    LATE = "late"
    REFUSED = "refused"
    RESET = "reset"
    GARBLED = "garbled"
    WITHOUT_BORN = "without born"
    OLDER = "older"


LATE_REPORT_SECONDS = 0.6


@dataclass
class WorkerFaults:
    """Faults of a worker; all are off by default.

    :ivar shed: number of further requests to reject with status 503.
    :ivar lose_responses: number of further requests after whose start the connection is reset.
    :ivar break_after: reset the connection in the middle of the stream event after this ID.
    :ivar end_inside_event: end the response normally in the middle of the stream event after this
        ID.
    :ivar ends_once: do so in streams that begin at the first event only.
    :ivar extra_response: send a second response after a complete one.
    :ivar foreign_response_first: send the response of another request before the right one.
    :ivar unframed: send responses without a length, which end when the connection is closed.
    :ivar unsigned: omit the signature header.
    :ivar ignore_orders: number of further orders after which the connection is reset without a
        response.
    :ivar status: HTTP status of responses to non-streaming requests.
    :ivar crash_on: crash when a request with these bytes in its body starts; empty for never.
    :ivar crash_parts: crash when a request with one of these parts in its prompt, not as the last
        one, starts.
    :ivar crash_tenant: crash only for requests of this tenant; empty for all.
    :ivar crash_after: number of events that a stream delivers before the crash.
    :ivar retry_after: value of the ``Retry-After`` header of rejections; empty to omit it.
    :ivar omit_not_executed: omit the header that reports a rejected request as not executed.
    :ivar max_running: reject requests while this many are running; 0 for no limit.
    :ivar brittle: announce that more rejections in a second than this make the worker crash, and
        do so; ``None`` for a worker that is not brittle.
    :ivar report: fault of its reports.
    :ivar endless: send data without end in place of responses.
    :ivar endless_report: send data without end in place of reports and responses to orders.
    :ivar slow: send such data slowly.
    """

    shed: int = 0
    lose_responses: int = 0
    break_after: int | None = None
    end_inside_event: int | None = None
    ends_once: bool = False
    extra_response: bool = False
    foreign_response_first: bool = False
    unframed: bool = False
    unsigned: bool = False
    ignore_orders: int = 0
    status: int = 200
    crash_on: bytes = b""
    crash_parts: frozenset[str] = frozenset()
    crash_tenant: str = ""
    crash_after: int = 0
    retry_after: str = ""
    omit_not_executed: bool = False
    max_running: int = 0
    brittle: int | None = None
    report: ReportFault | None = None
    endless: EndlessData | None = None
    endless_report: EndlessData | None = None
    slow: bool = False


def worker_entry(
    service: str = "s",
    address: str = "127.0.0.1:1",
    zone: str = "z",
    state: str = "ready",
    capacity: int = 8,
    model: str = "",
    version: int = 1,
    born: int | None = None,
    software_version: str = "v1",
) -> bytes:
    """Return the value that a worker writes to its key in the store.

    :param version: of the model's weights; ignored without a model.
    :param born: start of the worker, in milliseconds of Unix time; ``None`` to omit it.
    """
    document = {
        "service": service,
        "address": address,
        "zone": zone,
        "version": software_version,
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
    """A request that a worker has started to process.

    :ivar version: weights version of the worker at the start.
    :ivar closed_early: the connection was closed by its client before the end.
    :ivar ended: processing has ended without a crash.
    :ivar unframed: the response ends with its connection.
    :ivar began_at: in seconds of the monotonic clock.
    """

    request_id: str
    request: StandInRequest
    version: int
    closed_early: bool = False
    ended: bool = False
    unframed: bool = False
    began_at: float = field(default_factory=time.monotonic)

    def shared_parts(self) -> list[str]:
        """Return the ids of the parts of the prompt, without the last one."""
        parts = self.request.headers.get("wheelslip-prefix-hash", "").split(",")
        return [part.partition(":")[0] for part in parts[:-1]]


class HandedOn(NamedTuple):
    """The deadline of a request that reached a worker.

    :ivar at: in seconds of the monotonic clock.
    :ivar deadline_ms: value of the deadline header; ``None`` without it.
    """

    request_id: str
    at: float
    deadline_ms: int | None


class BackoffRequest(NamedTuple):
    """A rejection that requested a backoff.

    :ivar sent_at: in seconds of the monotonic clock.
    :ivar retry_after: value of the ``Retry-After`` header.
    """

    request_id: str
    sent_at: float
    retry_after: str


@dataclass
class PlatformWorker:
    """A worker with its HTTP server.

    :ivar model: empty for a worker without a model, which does not stream.
    :ivar version: of the loaded weights.
    :ivar events: number of events in a complete stream.
    :ivar software_version: of its program, also named in each event of a stream; empty for the
        default ``v1``, which events do not name.
    :ivar seconds: processing time of a request, or the delay before each event of a stream.
    :ivar capacity: number of concurrent requests in its entry; it runs more if they are sent.
    :ivar release: requests wait for this event before their processing time begins; ``None`` for
        no such wait.
    :ivar load_seconds: time to load other weights.
    :ivar accepted_versions: weights versions that it loads when ordered to.
    :ivar born: start of the worker, in milliseconds of Unix time, included in its entry and
        reports; ``None`` to omit it.
    :ivar crash_on: like ``faults.crash_on``, which it overrides unless it is empty.
    :ivar crash_parts: like ``faults.crash_parts``, added to them.
    :ivar hold_after: streams stop after the event with this ID until their connection is closed;
        ``None`` for no stop.
    :ivar announces_leaving: send the header that announces the worker's departure in every
        response.
    :ivar announced_limit: value of the header that announces a limit in requests per second,
        sent in every response; empty to omit it.
    :ivar on_crash: called with the worker after it has terminated.
    :ivar runs: the requests that it started to process.
    :ivar crashes: the runs that made it crash.
    :ivar arrivals: ID and time (monotonic seconds) of each request, processed or rejected;
        without reports, orders and requests for another worker or weights version.
    :ivar handed_on: the deadlines of these requests.
    :ivar backoff_requests: the rejections that requested a backoff.
    :ivar breakdowns: number of crashes because of too many rejections.
    :ivar running: number of requests being processed.
    :ivar orders: the orders that passed all checks.
    :ivar order_times: time of each of these orders, in monotonic seconds.
    :ivar sequence: number of weights loads started so far.
    :ivar endless_calls: size and duration in seconds of each response without end, when its client
        has closed it.
    :ivar highest_fence: highest fencing token received in an order.
    :ivar refused_fences: fencing tokens of the orders refused as stale.
    :ivar busy: it is loading weights.
    """

    id: str
    model: str = ""
    version: int = 1
    events: int = 4
    seconds: float = 0.0
    load_seconds: float = 0.05
    faults: WorkerFaults = field(default_factory=WorkerFaults)
    accepted_versions: set[int] = field(default_factory=lambda: {1})
    born: int | None = None
    crash_on: bytes = b""
    crash_parts: frozenset[str] = frozenset()
    hold_after: int | None = None
    announces_leaving: bool = False
    announced_limit: str = ""
    capacity: int = 8
    release: asyncio.Event | None = None
    software_version: str = ""
    on_crash: Callable[["PlatformWorker"], None] = lambda worker: None

    def __post_init__(self):
        self.server = StandInServer(self._handle)
        self.runs: list[Run] = []
        self.crashes: list[Run] = []
        self.arrivals: list[tuple[str, float]] = []
        self.handed_on: list[HandedOn] = []
        self.backoff_requests: list[BackoffRequest] = []
        self._rejected_at: list[float] = []
        self.breakdowns = 0
        self.running = 0
        self.orders: list[dict] = []
        self.order_times: list[float] = []
        self.sequence = 0
        self.highest_fence = 0
        self.endless_calls: list[tuple[int, float]] = []
        self.refused_fences: list[int] = []
        self.busy = False
        self._load_tasks: set[asyncio.Task] = set()

    def entry(self, service: str, zone: str, state: str = "ready") -> bytes:
        """Return the worker's entry in the store."""
        return worker_entry(
            service,
            self.server.address,
            zone,
            state,
            self.capacity,
            self.model,
            self.version,
            self.born,
            self.software_version or "v1",
        )

    async def _handle(self, request: StandInRequest, connection: ServerConnection) -> None:
        if not self.server.running:
            # The process has ended; the request was received before.
            connection.reset()
            return
        expected = request.headers.get("wheelslip-expect-instance", self.id)
        version = request.headers.get("wheelslip-expect-version", str(self.version))
        if expected != self.id or (self.model and version != str(self.version)):
            self._respond(connection, request, 421, b"")
            return
        endless = self.faults.endless_report
        if request.path in ("/report", "/order") and endless is not None:
            if endless is EndlessData.AFTER_RESPONSE:
                connection.send_raw(_raw_response(200, [], b"{}"))
            await self._send_endless(endless, "", connection)
            return
        if request.path == "/report":
            await self._send_report(connection)
            return
        if request.path == "/order":
            self._handle_order(json.loads(request.body), connection)
            return
        request_id = request.headers.get("wheelslip-request-id", "")
        self._record_arrival(request_id, request)
        if self.faults.shed or self.busy or self._is_full():
            self.faults.shed = max(0, self.faults.shed - 1)
            self._reject(request, connection)
            if self._breaks():
                self.breakdowns += 1
                await self.terminate()
            return
        self.running += 1
        try:
            await self._run(request, connection)
        finally:
            self.running -= 1

    def _record_arrival(self, request_id: str, request: StandInRequest) -> None:
        now = time.monotonic()
        self.arrivals.append((request_id, now))
        deadline = request.headers.get("wheelslip-deadline-ms")
        self.handed_on.append(HandedOn(request_id, now, int(deadline) if deadline else None))

    def _is_full(self) -> bool:
        return 0 < self.faults.max_running <= self.running

    def _breaks(self) -> bool:
        """Return whether a brittle worker has rejected too many requests within a second."""
        now = time.monotonic()
        self._rejected_at = [at for at in self._rejected_at if now - at < 1.0] + [now]
        return self.faults.brittle is not None and len(self._rejected_at) > self.faults.brittle

    def _reject(self, request: StandInRequest, connection: ServerConnection) -> None:
        headers = [] if self.faults.omit_not_executed else [("Wheelslip-Not-Executed", "1")]
        if self.faults.retry_after:
            headers.append(("Retry-After", self.faults.retry_after))
            request_id = request.headers.get("wheelslip-request-id", "")
            self.backoff_requests.append(
                BackoffRequest(request_id, time.monotonic(), self.faults.retry_after)
            )
        self._respond(connection, request, 503, b"", headers)

    def _announcement_headers(self) -> list[tuple[str, str]]:
        """Return the headers that announce departure and rate limit in every response."""
        headers = [("Server-Leaving", "1")] if self.announces_leaving else []
        if self.faults.brittle is not None:
            headers.append(("Server-Brittle", str(self.faults.brittle)))
        if self.announced_limit:
            headers.append(("Server-Limit", self.announced_limit))
        return headers

    async def _run(self, request: StandInRequest, connection: ServerConnection) -> None:
        run = Run(request.headers.get("wheelslip-request-id", ""), request, self.version)
        self.runs.append(run)
        if self.faults.lose_responses:
            self.faults.lose_responses -= 1
            connection.reset()
            return
        if self._triggers_crash(run) and not self.faults.crash_after:
            await self._crash(run)
            return
        endless = self.faults.endless
        if endless not in (None, EndlessData.AFTER_RESPONSE):
            await self._send_endless(endless, run.request_id, connection)
            return
        connection.watch_for_close()
        if self.model:
            await self._send_stream(run, connection)
        else:
            await self._send_plain(run, connection)
        await connection.stop_watching()
        # A process that has ended cannot send the rest of its responses.
        run.ended = self.server.running
        if endless is EndlessData.AFTER_RESPONSE and self.server.running:
            await self._send_endless(endless, run.request_id, connection)

    async def _send_endless(
        self, kind: EndlessData, request_id: str, connection: ServerConnection
    ) -> None:
        connection.watch_for_close()
        began_at = time.monotonic()
        head = _raw_head(200, self._headers(request_id)).removesuffix(b"\r\n")
        sent = await send_endless_data(kind, head, connection, self.faults.slow)
        self.endless_calls.append((sent, time.monotonic() - began_at))
        connection.reset()

    def _triggers_crash(self, run: Run) -> bool:
        tenant = run.request.headers.get("wheelslip-tenant-id", "")
        if self.faults.crash_tenant not in ("", tenant):
            return False
        if (self.crash_parts | self.faults.crash_parts) & set(run.shared_parts()):
            return True
        marker = self.crash_on or self.faults.crash_on
        return bool(marker) and marker in run.request.body

    async def _crash(self, run: Run) -> None:
        self.crashes.append(run)
        await self.terminate()

    async def terminate(self) -> None:
        """Terminate like a killed process: stop listening and abort all connections."""
        await self.server.stop()
        self.on_crash(self)

    async def _wait(self, run: Run, connection: ServerConnection) -> bool:
        """Wait for the processing time; return whether the client is still connected."""
        if self.release is not None:
            await self.release.wait()
        try:
            async with asyncio.timeout(self.seconds or 0.001):
                await connection.closed.wait()
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
        return headers + self._announcement_headers()

    async def _send_plain(self, run: Run, connection: ServerConnection) -> None:
        if not await self._wait(run, connection):
            return
        body = f"answer of {self.id} to {run.request_id}".encode()
        if self.faults.foreign_response_first:
            foreign_body = b"not yours"
            connection.send_raw(_raw_response(200, [*self._headers("another")], foreign_body))
        if self.faults.unframed:
            head = _raw_head(200, self._headers(run.request_id))
            connection.send_raw_head(head)
            connection.send_raw(body)
            connection.close()
            return
        connection.send_response(self.faults.status, self._headers(run.request_id), body)
        if self.faults.extra_response:
            connection.send_raw(_raw_response(200, self._headers("another"), b"surplus"))

    async def _send_stream(self, run: Run, connection: ServerConnection) -> None:
        first = int(run.request.headers.get("last-event-id", "0")) + 1
        headers = [*self._headers(run.request_id), ("Content-Type", "text/event-stream")]
        run.unframed = self.faults.unframed
        if run.unframed:
            connection.send_raw_head(_raw_head(200, headers))
            send, end = connection.send_raw, connection.close
        else:
            connection.send_head(200, [*headers, ("Transfer-Encoding", "chunked")])
            send, end = connection.send_body, connection.end_response
        for number in range(first, self.events + 1):
            if not await self._wait(run, connection):
                return
            if self.hold_after is not None and number > self.hold_after:
                await connection.closed.wait()
                return
            if self.faults.break_after is not None and number > self.faults.break_after:
                connection.send_body(f"id: {number}\ndata: t".encode())
                await asyncio.sleep(0.02)
                connection.reset()
                return
            if self._triggers_crash(run) and number > self.faults.crash_after:
                await asyncio.sleep(0.02)
                await self._crash(run)
                return
            if self._ends_inside(number, first):
                send(f"id: {number}\ndata: t".encode())
                break
            send(self._event(number))
        end()

    def _ends_inside(self, number: int, first: int) -> bool:
        """Return whether a stream that began at an event ends inside another one."""
        if self.faults.ends_once and first > 1:
            return False
        last = self.faults.end_inside_event
        return last is not None and number > last

    def _event(self, number: int) -> bytes:
        version = f": {self.software_version}\n" if self.software_version else ""
        return f"id: {number}\ndata: token {number}\n{version}\n".encode()

    def _respond(
        self,
        connection: ServerConnection,
        request: StandInRequest,
        status: int,
        body: bytes,
        extra: list[tuple[str, str]] | None = None,
    ) -> None:
        request_id = request.headers.get("wheelslip-request-id", "")
        headers = [("Wheelslip-Request-Id", request_id), ("Wheelslip-Instance-Id", self.id)]
        if self.model:
            headers.append(("Wheelslip-Weight-Versions", str(self.version)))
        connection.send_response(
            status, [*headers, *self._announcement_headers(), *(extra or [])], body
        )

    async def _send_report(self, connection: ServerConnection) -> None:
        fault, born = self.faults.report, self.born
        headers = [("Content-Type", "application/json"), *self._announcement_headers()]
        match fault:
            case ReportFault.LATE:
                await asyncio.sleep(LATE_REPORT_SECONDS)
            case ReportFault.REFUSED:
                connection.send_response(503, headers, b"")
                return
            case ReportFault.RESET:
                connection.reset()
                return
            case ReportFault.GARBLED:
                connection.send_response(200, headers, b'{"phase": "unif')
                return
            case ReportFault.WITHOUT_BORN:
                born = None
            case ReportFault.OLDER:
                born -= 1_000_000
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
        if born is not None:
            document["born"] = born
        connection.send_response(200, headers, json.dumps(document).encode())

    def _handle_order(self, order: dict, connection: ServerConnection) -> None:
        status = self._apply_order(order)
        if self.faults.ignore_orders:
            self.faults.ignore_orders -= 1
            connection.reset()
            return
        connection.send_response(status, self._announcement_headers(), b"")

    def _apply_order(self, order: dict) -> int:
        if "holder" not in order or "fence" not in order:
            return 400
        if order["fence"] < self.highest_fence:
            self.refused_fences.append(order["fence"])
            return 412
        self.highest_fence = order["fence"]
        if self.busy or order.get("expected_rev", self.sequence) != self.sequence:
            return 409
        if order["version"] not in self.accepted_versions:
            return 400
        self.orders.append(order)
        self.order_times.append(time.monotonic())
        if order["version"] == self.version:
            return 200
        self.sequence += 1
        self.busy = True
        task = asyncio.get_running_loop().create_task(self._load_weights(order["version"]))
        self._load_tasks.add(task)
        task.add_done_callback(self._load_tasks.discard)
        return 202

    async def _load_weights(self, version: int) -> None:
        await asyncio.sleep(self.load_seconds)
        self.version = version
        self.busy = False


def _raw_head(status: int, headers: list[tuple[str, str]]) -> bytes:
    lines = [f"HTTP/1.1 {status} OK", *[f"{name}: {value}" for name, value in headers]]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _raw_response(status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
    return _raw_head(status, [*headers, ("Content-Length", str(len(body)))]) + body
