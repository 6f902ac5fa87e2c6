"""Control calls to workers, such as reports and orders, on persistent connections."""

import asyncio
from typing import NamedTuple

import h11

from wheelslip.connections.http_client import (
    HttpConnection,
    PeerLost,
    PeerUnreachable,
    connect,
    read_response,
)
from wheelslip.deployment import Headers, WorkerInfo
from wheelslip.registry.interface import ConnectionFactory, RequestDialect, WorkerUnreachable

CALL_TIMEOUT_SECONDS = 1.0

MAX_RESPONSE_BYTES = 256 * 1024
"""Maximum size of the body of a report or of the response to an order."""

MAX_IDLE_CONNECTIONS = 64
"""Maximum number of connections kept open between calls."""


class ControlResponse(NamedTuple):
    """Complete response of a worker to a control call."""

    response: h11.Response
    body: bytes

    @property
    def status(self) -> int:
        """HTTP status code of the response."""
        return self.response.status_code


class ControlCalls:
    """Sends control calls, one at a time to each worker, and reuses connections."""

    def __init__(self, dialect: RequestDialect):
        self._dialect = dialect
        self._idle: dict[str, HttpConnection] = {}

    async def exchange(
        self,
        worker: WorkerInfo,
        method: str,
        target: bytes,
        headers: Headers,
        body: bytes = b"",
        connect: ConnectionFactory | None = None,
    ) -> ControlResponse:
        """Send a request and return the complete response.

        :param connect: opens a connection for this call alone; ``None`` to reuse direct ones.
        :raises WorkerUnreachable: if no complete response is received in time.
        """
        connection = await (connect() if connect is not None else self._connection(worker))
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                connection.send(method, target, headers, body)
                result = ControlResponse(*await read_response(connection, MAX_RESPONSE_BYTES))
        except (PeerLost, TimeoutError) as error:
            connection.close()
            raise WorkerUnreachable(f"{target.decode()}: {error!r}") from error
        if connect is not None:
            connection.close()
        else:
            self._release(worker, connection, result.response)
        return result

    async def _connection(self, worker: WorkerInfo) -> HttpConnection:
        connection = self._idle.pop(worker.id, None)
        if connection is not None and connection.open:
            return connection
        try:
            return await connect(worker.address)
        except PeerUnreachable as error:
            raise WorkerUnreachable(str(error)) from error

    def _release(
        self, worker: WorkerInfo, connection: HttpConnection, response: h11.Response
    ) -> None:
        """Keep a connection open for the next call, or close it if it cannot be reused."""
        closes = self._dialect.decode_response(response.headers).closes_connection
        self._idle = {key: idle for key, idle in self._idle.items() if idle.open}
        if closes or not connection.reusable or len(self._idle) >= MAX_IDLE_CONNECTIONS:
            connection.close()
            return
        connection.make_ready()
        self._idle[worker.id] = connection
