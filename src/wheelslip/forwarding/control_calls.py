"""Calls to workers beside requests, such as reports and orders, on kept connections."""

import asyncio
from typing import NamedTuple

import h11

from wheelslip.deployment import Headers, WorkerInfo
from wheelslip.forwarding.http_client import (
    HttpConnection,
    PeerLost,
    PeerUnreachable,
    connect,
    read_whole,
)
from wheelslip.forwarding.interface import RequestDialect, WorkerUnreachable

CALL_SECONDS = 1.0

MAX_KEPT = 64
"""Connections kept between calls; workers close those that rest."""


class ControlAnswer(NamedTuple):
    """A whole answer of a worker."""

    response: h11.Response
    body: bytes

    @property
    def status(self) -> int:
        """The status of the answer."""
        return self.response.status_code


class ControlCalls:
    """Makes one call at a time to each worker, and keeps its connection for the next."""

    def __init__(self, dialect: RequestDialect):
        self._dialect = dialect
        self._kept: dict[str, HttpConnection] = {}

    async def exchange(
        self, worker: WorkerInfo, method: str, target: bytes, headers: Headers, body: bytes = b""
    ) -> ControlAnswer:
        """Send a request and return its whole answer.

        :raises WorkerUnreachable: when none comes in time.
        """
        connection = await self._connection(worker)
        try:
            async with asyncio.timeout(CALL_SECONDS):
                connection.send(method, target, headers, body)
                answer = ControlAnswer(*await read_whole(connection))
        except (PeerLost, TimeoutError) as error:
            connection.close()
            raise WorkerUnreachable(f"{target.decode()}: {error!r}") from error
        self._keep(worker, connection, answer.response)
        return answer

    async def _connection(self, worker: WorkerInfo) -> HttpConnection:
        kept = self._kept.pop(worker.id, None)
        if kept is not None and kept.open:
            return kept
        try:
            return await connect(worker.address)
        except PeerUnreachable as error:
            raise WorkerUnreachable(str(error)) from error

    def _keep(self, worker: WorkerInfo, connection: HttpConnection, response: h11.Response) -> None:
        """Keep a connection for the next call: several follow while a worker loads."""
        closes = self._dialect.decode_answer(response.headers).closes_connection
        self._kept = {key: one for key, one in self._kept.items() if one.open}
        if closes or not connection.reusable or len(self._kept) >= MAX_KEPT:
            connection.close()
            return
        connection.make_ready()
        self._kept[worker.id] = connection
