"""Client of the platform's metadata store (PROTOCOL, "The platform's metadata store")."""

import asyncio
import base64
from collections.abc import Callable
from urllib.parse import quote

import msgspec

from wheelslip.connections.http_client import (
    HttpConnection,
    PeerLost,
    PeerUnreachable,
    connect,
    read_response,
)
from wheelslip.deployment import Headers
from wheelslip.documents import DocumentError, decode_document
from wheelslip.keyvalue.model import (
    Delete,
    KeyValue,
    KeyValueOutcomeUnknown,
    KeyValueUnavailable,
    Put,
    RangeResult,
    Transaction,
    TransactionResult,
    WatchBatch,
    WatchCompacted,
)

CALL_TIMEOUT_SECONDS = 1.5
"""Timeout of a call other than a watch."""

WATCH_TIMEOUT_MARGIN_SECONDS = 0.7
"""Time added to the requested wait to get the timeout of a watch. Short, so that a node without
responses from the store polls its peers before the drain time of a departed worker has passed."""


class _Item(msgspec.Struct):
    tls_key: str
    revision: int
    payload: str = ""
    gone: bool = False

    def value(self) -> bytes:
        # An invalid payload is returned undecoded so that it does not fail the whole call.
        try:
            return base64.b64decode(self.payload)
        except ValueError:
            return self.payload.encode()


class _Page(msgspec.Struct):
    items: list[_Item]
    at: int
    more: bool = False


class _Conflict(msgspec.Struct):
    items: list[_Item] = []
    at: int = 0


class _Changes(msgspec.Struct):
    changes: list[_Item]
    at: int


class _Committed(msgspec.Struct):
    revision: int


class _GrantedLease(msgspec.Struct):
    lease: int


ERA_HEADER = b"store-era"


class PlatformStore:
    """Asynchronous client of one store.

    :param address: returns the current ``IP:PORT`` of the store.
    :ivar era: as named by the latest response; ``None`` before the first one.
    """

    def __init__(self, address: Callable[[], str]):
        self._address = address
        self.era: int | None = None
        self._idle: list[tuple[str, HttpConnection]] = []

    async def range(self, prefix: str) -> RangeResult:
        """Return all keys under a prefix, read in pages (`GET /kv-range`)."""
        entries: dict[str, KeyValue] = {}
        revision = None
        after = ""
        while True:
            query = f"?path_prefix={quote(prefix, safe='')}"
            query += f"&after={quote(after, safe='')}" if after else ""
            body = await self._read(f"/kv-range{query}", CALL_TIMEOUT_SECONDS)
            page = _decode(body, _Page)
            # The pages are not one snapshot: watches must start at the revision of the first.
            revision = page.at if revision is None else revision
            for item in page.items:
                entries[item.tls_key] = KeyValue(item.tls_key, item.value(), item.revision)
            if not page.more or not page.items:
                return RangeResult(revision, tuple(entries.values()))
            after = page.items[-1].tls_key

    async def watch(self, prefix: str, after: int, wait_seconds: float) -> WatchBatch:
        """Wait for changes after a revision, at most ``wait_seconds`` (`GET /kv-watch`)."""
        query = f"path_prefix={quote(prefix, safe='')}&after={after}"
        query += f"&wait_ms={int(wait_seconds * 1000)}"
        body = await self._read(f"/kv-watch?{query}", wait_seconds + WATCH_TIMEOUT_MARGIN_SECONDS)
        response = _decode(body, _Changes)
        changes = tuple(
            (item.tls_key, None if item.gone else item.value(), item.revision)
            for item in response.changes
        )
        return WatchBatch(response.at, changes)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Make all changes of a transaction or none (`POST /kv-txn`)."""
        document = {
            "expected_rev": [
                {"tls_key": key, "revision": revision}
                for key, revision in transaction.expected.items()
            ],
            "put": [
                _put_document(change) for change in transaction.changes if isinstance(change, Put)
            ],
            "remove": [change.key for change in transaction.changes if isinstance(change, Delete)],
        }
        status, body = await self._call("POST", "/kv-txn", document)
        if status == 412:
            conflict = _decode(body, _Conflict)
            items = tuple(
                KeyValue(item.tls_key, item.value(), item.revision) for item in conflict.items
            )
            return TransactionResult(False, conflict.at, items)
        _check_status(status)
        return TransactionResult(True, _decode(body, _Committed).revision)

    async def grant_lease(self, seconds: float) -> int:
        """Grant a lease and return its id (`POST /kv-lease`)."""
        status, body = await self._call("POST", "/kv-lease", {"ttl_ms": int(seconds * 1000)})
        _check_status(status)
        return _decode(body, _GrantedLease).lease

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease and return ``False`` if it has expired (`POST /kv-keep/ID`)."""
        status, _ = await self._call("POST", f"/kv-keep/{lease}", None)
        if status == 404:
            return False
        _check_status(status)
        return True

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which removes its keys (`DELETE /kv-lease-end/ID`)."""
        await self._call("DELETE", f"/kv-lease-end/{lease}", None)

    async def _read(self, target: str, timeout_seconds: float) -> bytes:
        try:
            status, body = await self._exchange("GET", target, b"", timeout_seconds)
        except KeyValueOutcomeUnknown as error:
            raise KeyValueUnavailable(str(error)) from error
        if status == 410:
            raise WatchCompacted(target)
        _check_status(status)
        return body

    async def _call(self, method: str, target: str, document: object) -> tuple[int, bytes]:
        body = b"" if document is None else msgspec.json.encode(document)
        return await self._exchange(method, target, body, CALL_TIMEOUT_SECONDS)

    async def _exchange(
        self, method: str, target: str, body: bytes, timeout_seconds: float
    ) -> tuple[int, bytes]:
        address = self._address()
        connection = await self._connection(address)
        completed = False
        try:
            async with asyncio.timeout(timeout_seconds):
                connection.send(method, target.encode(), _headers(address, body), body)
                response, response_body = await read_response(connection)
            completed = True
        except (PeerLost, TimeoutError) as error:
            raise KeyValueOutcomeUnknown(f"{target}: {error!r}") from error
        finally:
            if completed and connection.reusable:
                connection.make_ready()
                self._idle.append((address, connection))
            else:
                connection.close()
        self.era = _decode(dict(response.headers).get(ERA_HEADER, b"0"), int)
        return response.status_code, response_body

    async def _connection(self, address: str) -> HttpConnection:
        while self._idle:
            idle_address, connection = self._idle.pop()
            if idle_address == address and connection.open:
                return connection
            connection.close()
        try:
            return await connect(address)
        except PeerUnreachable as error:
            raise KeyValueUnavailable(str(error)) from error


def _headers(address: str, body: bytes) -> Headers:
    headers = [(b"Host", address.encode())]
    if body:
        headers.append((b"Content-Type", b"application/json"))
    headers.append((b"Content-Length", b"%d" % len(body)))
    return headers


def _put_document(put: Put) -> dict:
    document = {"tls_key": put.key, "payload": base64.b64encode(put.value).decode()}
    return document | ({"lease": put.lease} if put.lease else {})


def _decode(body: bytes, kind):
    try:
        return decode_document(body, kind)
    except DocumentError as error:
        raise KeyValueUnavailable(f"response cannot be decoded: {error}") from error


def _check_status(status: int) -> None:
    if status == 429:
        raise KeyValueUnavailable("rate limited")
    if status != 200:
        raise KeyValueUnavailable(f"status {status}")
