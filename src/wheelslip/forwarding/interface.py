"""Interfaces between forwarding and the dialect of a platform.

A dialect translates names, formats and calls; it decides nothing.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from wheelslip.deployment import (
    DesiredWeights,
    Dispatch,
    ForwardedRequest,
    Headers,
    RequestMetadata,
    ResponseMetadata,
    RoutingConfiguration,
    UnusableEntry,
    WorkerInfo,
)
from wheelslip.forwarding.answer_notices import AnswerSource
from wheelslip.keyvalue.model import RangeResult, Transaction, TransactionResult, WatchBatch


class RequestDialect(Protocol):
    """Headers of requests and answers."""

    def decode_request(self, headers: Headers) -> RequestMetadata:
        """Read a caller's headers.

        :raises ValueError: naming the header that cannot be used.
        """

    def worker_headers(self, request: ForwardedRequest, dispatch: Dispatch) -> Headers:
        """Return the headers for a worker, without those that frame the body."""

    def own_answer_headers(self, request_id: str | None) -> Headers:
        """Return what every answer of the node's own carries."""

    def decode_answer(self, headers: Iterable[tuple[bytes, bytes]]) -> ResponseMetadata:
        """Read a worker's answer headers; names are in lower case."""


class RegistryDialect(Protocol):
    """Keys and documents of the registry that operators and workers write."""

    def decode(
        self, key: str, value: bytes
    ) -> RoutingConfiguration | WorkerInfo | DesiredWeights | UnusableEntry | None:
        """Return the typed content of one key, ``None`` when it is none of these."""

    def worker_id(self, key: str) -> str | None:
        """Return the worker that a key stands for."""


class KeyValueStore(Protocol):
    """An asynchronous key-value service."""

    async def range(self, prefix: str) -> RangeResult:
        """Return all keys under a prefix.

        :raises KeyValueUnavailable: when the service does not answer.
        """

    async def watch(self, prefix: str, after: int, wait_seconds: float) -> WatchBatch:
        """Wait for changes after a revision, at most ``wait_seconds``.

        :raises WatchCompacted: when that history is gone.
        :raises KeyValueUnavailable: when the service does not answer.
        """

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Do all changes or none.

        :raises KeyValueUnavailable: when nothing was done.
        :raises KeyValueOutcomeUnknown: when the answer was lost.
        """

    async def grant_lease(self, seconds: float) -> int:
        """Grant a lease and return its id."""

    async def keep_lease(self, lease: int) -> bool:
        """Renew a lease; ``False`` when it is over."""

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""


@dataclass(frozen=True)
class WorkerReport:
    """A worker's own account, some hundred milliseconds old.

    :ivar busy: an order is under way.
    :ivar sequence: orders taken since its start.
    :ivar born: Unix millisecond of its start; 0 when it tells none.
    """

    busy: bool
    sequence: int
    weights: dict[str, int]
    running: int
    waiting: int
    born: int = 0


@dataclass(frozen=True)
class WeightsOrder:
    """Load a version of a model's weights once running requests have ended.

    :ivar expected_sequence: the order is void when the worker has taken another since.
    """

    worker: WorkerInfo
    model: str
    version: int
    holder: str
    fencing_token: int
    expected_sequence: int


class WorkerUnreachable(Exception):
    """A worker gave no useful answer; what was asked may have been done."""


class WorkerControl(Protocol):
    """Reports and orders of workers.

    :ivar on_answer: called with what a worker tells of itself in an answer.
    """

    on_answer: Callable[[WorkerInfo, int, ResponseMetadata, AnswerSource], None]

    async def report(self, worker: WorkerInfo) -> WorkerReport:
        """Ask a worker for its report.

        :raises WorkerUnreachable: when it does not answer usefully.
        """

    async def order_weights(self, order: WeightsOrder) -> int:
        """Give an order and return the status of its answer.

        :raises WorkerUnreachable: when no answer came; the order may have been taken.
        """
