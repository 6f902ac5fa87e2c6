"""Reports from workers and orders to them (PROTOCOL, "Requests")."""

from collections.abc import Callable

import msgspec

from wheelslip.connections.control_calls import ControlCalls, ControlResponse
from wheelslip.deployment import ResponseMetadata, WorkerInfo
from wheelslip.documents import DocumentError, decode_document
from wheelslip.platform.headers import EXPECT_INSTANCE, PlatformHeaders
from wheelslip.platform.registry import ModelWeights
from wheelslip.registry.answer_notices import ResponseSource
from wheelslip.registry.interface import WeightsOrder, WorkerReport, WorkerUnreachable


class _Report(msgspec.Struct):
    busy: bool = False
    sequence: int = 0
    queued: int = 0
    active: int = 0
    model_ids: list[ModelWeights] = []
    born: int = 0


class PlatformWorkers:
    """Client for the reports and orders of workers.

    :ivar on_response: called with the metadata of each response that is not from another worker.
    """

    def __init__(self):
        self._dialect = PlatformHeaders()
        self._calls = ControlCalls(self._dialect)
        self.on_response: Callable[[WorkerInfo, int, ResponseMetadata, ResponseSource], None] = (
            lambda worker, status, metadata, source: None
        )

    async def report(self, worker: WorkerInfo, connect: Callable | None = None) -> WorkerReport:
        """Request the report of a worker (`GET /report`)."""
        response = await self._exchange(worker, "GET", b"/report", connect=connect)
        if response.status != 200:
            self._notify(worker, response, ResponseSource.REPORT)
            raise WorkerUnreachable(f"report: status {response.status}")
        try:
            report = decode_document(response.body, _Report)
        except DocumentError as error:
            raise WorkerUnreachable(f"report: {error}") from error
        if report.born in (0, worker.born):
            self._notify(worker, response, ResponseSource.REPORT)
        weights = {model.name: model.version for model in report.model_ids}
        return WorkerReport(
            report.busy, report.sequence, weights, report.active, report.queued, report.born
        )

    async def order_weights(self, order: WeightsOrder) -> int:
        """Order a worker to load weights and return the response status (`POST /order`)."""
        document = {
            "opcode": "version",
            "model_id": order.model,
            "version": order.version,
            "fetch_mode": "queue",
            "holder": order.holder,
            "fence": order.fencing_token,
            "expected_rev": order.expected_sequence,
        }
        response = await self._exchange(
            order.worker, "POST", b"/order", msgspec.json.encode(document)
        )
        self._notify(order.worker, response, ResponseSource.ORDER)
        return response.status

    async def _exchange(
        self,
        worker: WorkerInfo,
        method: str,
        target: bytes,
        body=b"",
        connect: Callable | None = None,
    ) -> ControlResponse:
        headers = [(b"Host", worker.address.encode()), (EXPECT_INSTANCE, worker.worker_id.encode())]
        if body:
            headers.append((b"Content-Type", b"application/json"))
            headers.append((b"Content-Length", b"%d" % len(body)))
        return await self._calls.exchange(worker, method, target, headers, body, connect)

    def _notify(self, worker: WorkerInfo, result: ControlResponse, source: ResponseSource) -> None:
        metadata = self._dialect.decode_response(result.response.headers)
        if metadata.instance in (None, worker.worker_id):
            self.on_response(worker, result.status, metadata, source)
