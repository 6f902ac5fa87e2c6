"""Client of the etcd v3 JSON gateway.

A failed call raises :class:`KeyValueUnavailable` if it certainly had no effect, and
:class:`KeyValueOutcomeUnknown` if it was sent but its response was lost. In the second case callers
find out whether it took effect by reading the key back.
"""

import base64
from collections.abc import Iterator

import urllib3

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

_RANGE_PATH = "/v3/kv/range"
_TRANSACT_PATH = "/v3/kv/txn"
_WATCH_PATH = "/v3/watch"
_STATUS_RATE_LIMITED = 429

_INVALID_RESPONSE = (ValueError, LookupError, TypeError, AttributeError)
"""Errors of reading fields of a decoded response."""


def _encode(data: str | bytes) -> str:
    raw = data.encode() if isinstance(data, str) else data
    return base64.b64encode(raw).decode()


def _prefix_end(prefix: str) -> bytes:
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1])


def _key_value(document: dict) -> KeyValue:
    return KeyValue(
        base64.b64decode(document["key"]).decode(),
        base64.b64decode(document.get("value", "")),
        int(document["mod_revision"]),
    )


class KeyValueClient:
    """Thread-safe client of one key-value service.

    :param address: ``HOST:PORT`` of the service.
    :param timeout_seconds: timeout of connecting and of each read.
    """

    def __init__(self, address: str, timeout_seconds: float):
        self._base = f"http://{address}"
        self._timeout = timeout_seconds
        self._pool = urllib3.PoolManager(maxsize=8, retries=False)

    def get(self, key: str) -> KeyValue | None:
        """Return one key, ``None`` if it is absent.

        :raises KeyValueUnavailable: if the service does not respond.
        """
        entries = self._range({"key": _encode(key)}).entries
        return entries[0] if entries else None

    def list_prefix(self, prefix: str) -> RangeResult:
        """Return all keys that start with a prefix.

        :raises KeyValueUnavailable: if the service does not respond.
        """
        return self._range({"key": _encode(prefix), "range_end": _encode(_prefix_end(prefix))})

    def transact(self, transaction: Transaction) -> TransactionResult:
        """Run one compare-and-swap.

        :raises KeyValueUnavailable: if it certainly had no effect.
        :raises KeyValueOutcomeUnknown: if its response was lost.
        """
        response = self._post(_TRANSACT_PATH, _transaction_document(transaction))
        return _transaction_result(response, int(response["header"]["revision"]))

    def transact_batch(self, transactions: list[Transaction]) -> list[TransactionResult]:
        """Run independent compare-and-swaps in one call and return the result of each.

        :raises KeyValueUnavailable: if none of them had an effect.
        :raises KeyValueOutcomeUnknown: if the response was lost.
        """
        operations = [
            {"request_txn": _transaction_document(transaction)} for transaction in transactions
        ]
        response = self._post(_TRANSACT_PATH, {"compare": [], "success": operations})
        revision = int(response["header"]["revision"])
        return [
            _transaction_result(result["response_txn"], revision)
            for result in response["responses"]
        ]

    def grant_lease(self, seconds: int) -> int:
        """Grant a lease and return its id.

        :raises KeyValueError: if the service does not respond.
        """
        return int(self._post("/v3/lease/grant", {"TTL": seconds})["ID"])

    def renew_lease(self, lease: int) -> bool:
        """Renew a lease.

        :return: ``False`` if the lease has expired.
        :raises KeyValueError: if the service does not respond.
        """
        response = self._post("/v3/lease/keepalive", {"ID": lease})
        return int(response["result"].get("TTL", 0)) > 0

    def watch(self, prefix: str, start_revision: int) -> Iterator[WatchBatch]:
        """Yield the changes under a prefix, and batches without changes that report progress.

        :param start_revision: revision of the first change to yield.
        :raises WatchCompacted: if the history from that revision on has been compacted.
        :raises KeyValueUnavailable: if the stream ends or no data arrives within the timeout.
        """
        request = {
            "key": _encode(prefix),
            "range_end": _encode(_prefix_end(prefix)),
            "start_revision": start_revision,
        }
        response = self._send(_WATCH_PATH, {"create_request": request}, stream=True)
        try:
            for line in _lines(response):
                yield _watch_batch(decode_document(line, dict)["result"])
        except (urllib3.exceptions.HTTPError, OSError, *_INVALID_RESPONSE) as error:
            raise KeyValueUnavailable(f"watch ended: {error}") from error
        finally:
            response.close()
        raise KeyValueUnavailable("watch ended")

    def _range(self, request: dict) -> RangeResult:
        try:
            response = self._post(_RANGE_PATH, request)
        except KeyValueOutcomeUnknown as error:
            raise KeyValueUnavailable(str(error)) from error
        try:
            entries = tuple(_key_value(document) for document in response.get("kvs", []))
            return RangeResult(int(response["header"]["revision"]), entries)
        except _INVALID_RESPONSE as error:
            raise KeyValueUnavailable(f"{_RANGE_PATH}: invalid response: {error!r}") from error

    def _post(self, path: str, request: dict) -> dict:
        response = self._send(path, request, stream=False)
        try:
            return decode_document(response.data, dict)
        except DocumentError as error:
            raise KeyValueOutcomeUnknown(f"{path}: {error}") from error

    def _send(self, path: str, request: dict, stream: bool) -> urllib3.BaseHTTPResponse:
        try:
            response = self._pool.request(
                "POST",
                self._base + path,
                json=request,
                timeout=urllib3.Timeout(connect=self._timeout, read=self._timeout),
                preload_content=not stream,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise KeyValueUnavailable(f"{path}: {error}") from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise KeyValueOutcomeUnknown(f"{path}: {error}") from error
        if response.status == _STATUS_RATE_LIMITED:
            raise KeyValueUnavailable(f"{path}: rate limited")
        if response.status != 200:
            raise KeyValueOutcomeUnknown(f"{path}: status {response.status}")
        return response


def _transaction_document(transaction: Transaction) -> dict:
    return {
        "compare": [
            {"key": _encode(key), "target": "MOD", "result": "EQUAL", "mod_revision": revision}
            for key, revision in transaction.expected.items()
        ],
        "success": [_operation(change) for change in transaction.changes],
        "failure": [
            {"request_range": {"key": _encode(key)}} for key in transaction.read_on_conflict
        ],
    }


def _operation(change: Put | Delete) -> dict:
    if isinstance(change, Delete):
        return {"request_delete_range": {"key": _encode(change.key)}}
    put = {"key": _encode(change.key), "value": _encode(change.value), "lease": change.lease}
    return {"request_put": put}


def _transaction_result(result: dict, revision: int) -> TransactionResult:
    if result.get("succeeded"):
        return TransactionResult(True, revision)
    conflicting = [
        _key_value(document)
        for response in result.get("responses", [])
        for document in response.get("response_range", {}).get("kvs", [])
    ]
    return TransactionResult(False, revision, tuple(conflicting))


def _lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    buffer = b""
    while True:
        received = response.read1(65536)
        if not received:
            return
        *lines, buffer = (buffer + received).split(b"\n")
        yield from (line for line in lines if line)


def _watch_batch(result: dict) -> WatchBatch:
    if result.get("canceled"):
        raise WatchCompacted(f"history compacted at revision {result.get('compact_revision')}")
    changes = []
    for event in result.get("events", []):
        entry = _key_value(event["kv"])
        value = None if event.get("type") == "DELETE" else entry.value
        changes.append((entry.key, value, entry.mod_revision))
    return WatchBatch(int(result["header"]["revision"]), tuple(changes))
