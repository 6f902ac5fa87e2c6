"""Calls of the platform's metadata store (PROTOCOL, "The platform's metadata store")."""

import asyncio
import base64
from collections.abc import Callable
from urllib.parse import quote

import msgspec

from wheelslip.deployment import Headers
from wheelslip.forwarding.http_client import (
    HttpConnection,
    PeerLost,
    PeerUnreachable,
    connect,
    read_response,
)
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

CALL_SECONDS = 1.5
"""Longest wait for an answer beyond what the call itself asks for."""

WATCH_GRACE_SECONDS = 0.7
"""The same for a watch. Whoever reads for others knows of no engine that leaves while a silent
watch is waited for, and 2 s after its leaving an engine may get nothing more. A store that is 90 times
slower than usual answers within 0.4 s."""


class _Item(msgspec.Struct):
    tls_key: str
    revision: int
    payload: str = ""
    gone: bool = False

    def value(self) -> bytes:
        # One item that cannot be decoded must not stop the rest of a listing or a watch: it is
        # handed on as it stands, and refused by whoever reads its key.
        try:
            return base64.b64decode(self.payload)
        except ValueError:
            return self.payload.encode()


class _Items(msgspec.Struct):
    items: list[_Item]
    at: int
    more: bool = False


class _Found(msgspec.Struct):
    items: list[_Item] = []
    at: int = 0


class _Changes(msgspec.Struct):
    changes: list[_Item]
    at: int


class _Done(msgspec.Struct):
    revision: int


class _Lease(msgspec.Struct):
    lease: int


class PlatformStore:
    """The asynchronous client of one store
    (PROTOCOL, "The platform's metadata store"; each method is one call there).

    :param address: returns ``IP:PORT`` in force now.
    """

    def __init__(self, address: Callable[[], str]):
        self._address = address
        self._idle: list[tuple[str, HttpConnection]] = []

    async def range(self, prefix: str) -> RangeResult:
        """Return all keys under a prefix, page by page (`GET /kv-range`)."""
        entries: dict[str, KeyValue] = {}
        first_at = None
        after = ""
        while True:
            query = f"?path_prefix={quote(prefix, safe='')}"
            query += f"&after={quote(after, safe='')}" if after else ""
            body = await self._read(f"/kv-range{query}", CALL_SECONDS)
            page = _decode(body, _Items)
            # Pages are no snapshot: watches go on from the first page's revision.
            first_at = page.at if first_at is None else first_at
            for item in page.items:
                entries[item.tls_key] = KeyValue(item.tls_key, item.value(), item.revision)
            if not page.more or not page.items:
                return RangeResult(first_at, tuple(entries.values()))
            after = page.items[-1].tls_key

    async def watch(self, prefix: str, after: int, wait_seconds: float) -> WatchBatch:
        """Wait for changes after a revision (`GET /kv-watch`)."""
        query = f"path_prefix={quote(prefix, safe='')}&after={after}"
        query += f"&wait_ms={int(wait_seconds * 1000)}"
        body = await self._read(f"/kv-watch?{query}", wait_seconds + WATCH_GRACE_SECONDS)
        batch = _decode(body, _Changes)
        changes = tuple(
            (item.tls_key, None if item.gone else item.value(), item.revision)
            for item in batch.changes
        )
        return WatchBatch(batch.at, changes)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Do all changes or none (`POST /kv-txn`)."""
        document = {
            "expected_rev": [
                {"tls_key": key, "revision": revision}
                for key, revision in transaction.expected.items()
            ],
            "put": [_put(one) for one in transaction.changes if isinstance(one, Put)],
            "remove": [one.key for one in transaction.changes if isinstance(one, Delete)],
        }
        status, body = await self._call("POST", "/kv-txn", document)
        if status == 412:
            found = _decode(body, _Found)
            items = tuple(KeyValue(one.tls_key, one.value(), one.revision) for one in found.items)
            return TransactionResult(False, found.at, items)
        _check(status)
        return TransactionResult(True, _decode(body, _Done).revision)

    async def grant_lease(self, seconds: float) -> int:
        """Grant a lease and return its id (`POST /kv-lease`)."""
        status, body = await self._call("POST", "/kv-lease", {"ttl_ms": int(seconds * 1000)})
        _check(status)
        return _decode(body, _Lease).lease

    async def keep_lease(self, lease: int) -> bool:
        """Renew a lease (`POST /kv-keep/ID`)."""
        status, _ = await self._call("POST", f"/kv-keep/{lease}", None)
        if status == 404:
            return False
        _check(status)
        return True

    async def end_lease(self, lease: int) -> None:
        """End a lease (`DELETE /kv-lease-end/ID`)."""
        await self._call("DELETE", f"/kv-lease-end/{lease}", None)

    async def _read(self, target: str, seconds: float) -> bytes:
        try:
            status, body = await self._exchange("GET", target, b"", seconds)
        except KeyValueOutcomeUnknown as error:
            raise KeyValueUnavailable(str(error)) from error
        if status == 410:
            raise WatchCompacted(target)
        _check(status)
        return body

    async def _call(self, method: str, target: str, document: object) -> tuple[int, bytes]:
        body = b"" if document is None else msgspec.json.encode(document)
        return await self._exchange(method, target, body, CALL_SECONDS)

    async def _exchange(
        self, method: str, target: str, body: bytes, seconds: float
    ) -> tuple[int, bytes]:
        address = self._address()
        connection = await self._connection(address)
        done = False
        try:
            async with asyncio.timeout(seconds):
                connection.send(method, target.encode(), _headers(address, body), body)
                response, answer = await read_response(connection)
            done = True
        except (PeerLost, TimeoutError) as error:
            raise KeyValueOutcomeUnknown(f"{target}: {error!r}") from error
        finally:
            if done and connection.reusable:
                connection.make_ready()
                self._idle.append((address, connection))
            else:
                connection.close()
        return response.status_code, answer

    async def _connection(self, address: str) -> HttpConnection:
        while self._idle:
            kept_address, connection = self._idle.pop()
            if kept_address == address and connection.open:
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


def _put(one: Put) -> dict:
    document = {"tls_key": one.key, "payload": base64.b64encode(one.value).decode()}
    return document | ({"lease": one.lease} if one.lease else {})


def _decode(body: bytes, kind):
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, ValueError) as error:
        raise KeyValueUnavailable(f"unreadable answer: {error}") from error


def _check(status: int) -> None:
    if status == 429:
        raise KeyValueUnavailable("rate limited")
    if status != 200:
        raise KeyValueUnavailable(f"status {status}")
