"""Interfaces between request forwarding and the protocol of a platform.

Implementations only translate names, formats and calls.
"""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from wheelslip.connections.http_client import HttpConnection
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
from wheelslip.keyvalue.model import RangeResult, Transaction, TransactionResult, WatchBatch
from wheelslip.registry.answer_notices import ResponseSource

ConnectionFactory = Callable[[], Awaitable[HttpConnection]]
"""Opens a connection to a worker; raises ``PeerUnreachable`` if that is not possible."""


class RequestDialect(Protocol):
    """Translates the headers of requests and responses."""

    def decode_request(self, headers: Headers) -> RequestMetadata:
        """Decode the headers of a caller's request.

        :raises ValueError: if a header is invalid; names the header.
        """

    def worker_headers(self, request: ForwardedRequest, dispatch: Dispatch) -> Headers:
        """Return the headers of a request to a worker, without those that frame the body."""

    def own_response_headers(self, request_id: str | None) -> Headers:
        """Return the headers that the node adds to every response that it generates itself."""

    def decode_response(self, headers: Iterable[tuple[bytes, bytes]]) -> ResponseMetadata:
        """Decode the headers of a worker's response; names are in lower case."""


class RegistryDialect(Protocol):
    """Translates the keys and documents that operators and workers write to the registry."""

    def decode(
        self, key: str, value: bytes
    ) -> RoutingConfiguration | WorkerInfo | DesiredWeights | UnusableEntry | None:
        """Return the decoded document under a key; None if the key has another purpose."""

    def worker_id(self, key: str) -> str | None:
        """Return the id of the worker that a key is the entry of; None for other keys."""


class KeyValueStore(Protocol):
    """Asynchronous client of a key-value store.

    :ivar era: rises each time the store returns from an older copy, which it then continues with
        revisions that it has given out before; ``None`` before the first response.
    """

    era: int | None

    async def range(self, prefix: str) -> RangeResult:
        """Return all keys under a prefix.

        :raises KeyValueUnavailable: if the store does not respond.
        """

    async def watch(self, prefix: str, after: int, wait_seconds: float) -> WatchBatch:
        """Wait for changes after a revision, at most ``wait_seconds``.

        :raises WatchCompacted: if the history after that revision has been compacted.
        :raises KeyValueUnavailable: if the store does not respond.
        """

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Apply all changes of a transaction or none.

        :raises KeyValueUnavailable: if the transaction was not executed.
        :raises KeyValueOutcomeUnknown: if the response was lost.
        """

    async def grant_lease(self, seconds: float) -> int:
        """Grant a lease and return its id."""

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and remove its keys."""


@dataclass(frozen=True)
class WorkerReport:
    """Status report of a worker, up to some hundred milliseconds old.

    :ivar busy: whether the worker is executing an order.
    :ivar sequence: number of orders accepted since its start.
    :ivar weights: loaded version of each model.
    :ivar running: number of running requests.
    :ivar waiting: number of queued requests.
    :ivar born: time of its start in Unix milliseconds; 0 if not reported.
    """

    busy: bool
    sequence: int
    weights: dict[str, int]
    running: int
    waiting: int
    born: int = 0


@dataclass(frozen=True)
class WeightsOrder:
    """Order to load a version of a model's weights after the running requests have ended.

    :ivar holder: name of the node that gives the order.
    :ivar fencing_token: fencing token of its lease.
    :ivar expected_sequence: :attr:`WorkerReport.sequence` at which the order applies; the worker
        rejects it if it has accepted another order since.
    """

    worker: WorkerInfo
    model: str
    version: int
    holder: str
    fencing_token: int
    expected_sequence: int


class WorkerUnreachable(Exception):
    """Raised when a worker sends no usable response; it may have executed the call."""


class WorkerControl(Protocol):
    """Control calls to workers.

    :ivar on_response: called with the status and the metadata of each response.
    """

    on_response: Callable[[WorkerInfo, int, ResponseMetadata, ResponseSource], None]

    async def report(
        self, worker: WorkerInfo, connect: ConnectionFactory | None = None
    ) -> WorkerReport:
        """Request the status report of a worker.

        :param connect: opens the connection to use; ``None`` for a direct one, which is reused.
        :raises WorkerUnreachable: if there is no usable response.
        """

    async def order_weights(self, order: WeightsOrder) -> int:
        """Send an order and return the HTTP status of the response.

        :raises WorkerUnreachable: if there is no response; the order may have been accepted.
        """
