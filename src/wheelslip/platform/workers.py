"""Reports of workers and orders to them (PROTOCOL, "Requests")."""

from collections.abc import Callable

import msgspec

from wheelslip.deployment import ResponseMetadata, WorkerInfo
from wheelslip.forwarding.answer_notices import AnswerSource
from wheelslip.forwarding.control_calls import ControlAnswer, ControlCalls
from wheelslip.forwarding.interface import WeightsOrder, WorkerReport, WorkerUnreachable
from wheelslip.platform.headers import EXPECT_INSTANCE, PlatformHeaders


class _ModelWeights(msgspec.Struct):
    name: str
    version: int = 1


class _Report(msgspec.Struct):
    busy: bool = False
    sequence: int = 0
    queued: int = 0
    active: int = 0
    model_ids: list[_ModelWeights] = []
    born: int = 0


class PlatformWorkers:
    """Calls of workers beside requests (PROTOCOL, "Requests").

    :ivar on_answer: called with what a worker tells of itself in an answer.
    """

    def __init__(self):
        self._dialect = PlatformHeaders()
        self._calls = ControlCalls(self._dialect)
        self.on_answer: Callable[[WorkerInfo, int, ResponseMetadata, AnswerSource], None] = (
            lambda worker, status, metadata, source: None
        )

    async def report(self, worker: WorkerInfo) -> WorkerReport:
        """Ask a worker for its report (`GET /report`)."""
        answer = await self._exchange(worker, "GET", b"/report")
        if answer.status != 200:
            self._tell(worker, answer, AnswerSource.REPORT)
            raise WorkerUnreachable(f"report: status {answer.status}")
        try:
            report = msgspec.json.decode(answer.body, type=_Report)
        except msgspec.MsgspecError as error:
            raise WorkerUnreachable(f"report: {error}") from error
        if report.born in (0, worker.born):
            self._tell(worker, answer, AnswerSource.REPORT)
        weights = {one.name: one.version for one in report.model_ids}
        return WorkerReport(
            report.busy, report.sequence, weights, report.active, report.queued, report.born
        )

    async def order_weights(self, order: WeightsOrder) -> int:
        """Give the order to load a version once running requests have ended (`POST /order`)."""
        document = {
            "opcode": "version",
            "model_id": order.model,
            "version": order.version,
            "fetch_mode": "queue",
            "holder": order.holder,
            "fence": order.fencing_token,
            "expected_rev": order.expected_sequence,
        }
        answer = await self._exchange(
            order.worker, "POST", b"/order", msgspec.json.encode(document)
        )
        self._tell(order.worker, answer, AnswerSource.ORDER)
        return answer.status

    async def _exchange(
        self, worker: WorkerInfo, method: str, target: bytes, body: bytes = b""
    ) -> ControlAnswer:
        headers = [(b"Host", worker.address.encode()), (EXPECT_INSTANCE, worker.worker_id.encode())]
        if body:
            headers.append((b"Content-Type", b"application/json"))
            headers.append((b"Content-Length", b"%d" % len(body)))
        return await self._calls.exchange(worker, method, target, headers, body)

    def _tell(self, worker: WorkerInfo, answer: ControlAnswer, source: AnswerSource) -> None:
        metadata = self._dialect.decode_answer(answer.response.headers)
        if metadata.instance in (None, worker.worker_id):
            self.on_answer(worker, answer.status, metadata, source)
