"""Stand-in key-value service with the etcd v3 JSON gateway: transactions, leases and watches.

Requests beyond a rate limit are rejected with status 429. Outages, delays and lost responses
are injected by a :class:`standins.fault_proxy.FaultProxy` in front of the service, so that a
change can take effect although its response is lost.
"""

import base64
import itertools
import json
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass

import fire

from wheelslip.http_service import (
    HttpService,
    ServiceLimits,
    ServiceRequest,
    ServiceResponse,
    json_response,
)

_EXPIRY_CHECK_SECONDS = 0.1
_WATCH_PROGRESS_SECONDS = 0.5


def _decode(text: str) -> bytes:
    return base64.b64decode(text)


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


@dataclass(frozen=True)
class _Entry:
    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int

    def document(self) -> dict:
        return {
            "key": _encode(self.key),
            "value": _encode(self.value),
            "create_revision": str(self.create_revision),
            "mod_revision": str(self.mod_revision),
            "version": str(self.version),
            "lease": str(self.lease),
        }


@dataclass
class _Lease:
    seconds: int
    expires_at: float


class KeyValueStore:
    """Key-value store without its HTTP server; callers must hold :attr:`changed`.

    :ivar changed: condition that is notified after changes of keys.
    :ivar revision: revision of the latest change.
    :ivar compacted_revision: latest revision whose events are no longer available.
    """

    def __init__(self):
        self.changed = threading.Condition()
        self.revision = 1
        self.compacted_revision = 0
        self._entries: dict[bytes, _Entry] = {}
        self._history: list[tuple[int, str, _Entry]] = []
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = itertools.count(1000)

    def range(self, request: dict) -> dict:
        """Return one key, or all keys from ``key`` up to, but not including, ``range_end``."""
        entries = self._select(request)
        return {
            "header": self.header(),
            "kvs": [entry.document() for entry in entries],
            "count": str(len(entries)),
        }

    def transact(self, request: dict) -> dict:
        """Execute a transaction; all its changes, also nested ones, get the same revision."""
        previous_revision = self.revision
        self.revision = previous_revision + 1
        response = self._transact(request)
        if not self._history or self._history[-1][0] != self.revision:
            self.revision = previous_revision
        self.changed.notify_all()
        response["header"] = self.header()
        return response

    def grant(self, seconds: int) -> dict:
        """Grant a lease.

        :param seconds: time to live.
        """
        lease_id = next(self._lease_ids)
        self._leases[lease_id] = _Lease(seconds, time.monotonic() + seconds)
        return {"header": self.header(), "ID": str(lease_id), "TTL": str(seconds)}

    def keep_alive(self, lease_id: int) -> dict:
        """Renew a lease; the response for an expired or unknown one has a ``TTL`` of 0."""
        lease = self._leases.get(lease_id)
        if lease is not None:
            lease.expires_at = time.monotonic() + lease.seconds
        ttl = lease.seconds if lease else 0
        return {"result": {"header": self.header(), "ID": str(lease_id), "TTL": str(ttl)}}

    def revoke(self, lease_id: int) -> dict:
        """Revoke a lease and delete its keys."""
        self._leases.pop(lease_id, None)
        entries = [entry for entry in self._entries.values() if entry.lease == lease_id]
        if entries:
            self.revision += 1
            for entry in entries:
                self._delete(entry)
            self.changed.notify_all()
        return {"header": self.header()}

    def expire_leases(self) -> None:
        """Revoke all expired leases."""
        now = time.monotonic()
        for lease_id, lease in list(self._leases.items()):
            if lease.expires_at < now:
                self.revoke(lease_id)

    def events_from(self, request: dict, start: int) -> list[tuple[int, dict]]:
        """Return ``(revision, event)`` for changes of the watched keys since revision ``start``."""
        key, end = self._key_range(request)
        return [
            (revision, {"type": kind, "kv": entry.document()})
            for revision, kind, entry in self._history
            if revision >= start and self._in_range(entry.key, key, end)
        ]

    def compact(self) -> None:
        """Discard the events of all revisions so far."""
        self.compacted_revision = self.revision
        self._history = []

    def header(self) -> dict:
        """Return the response header with the current revision."""
        return {"revision": str(self.revision)}

    def _key_range(self, request: dict) -> tuple[bytes, bytes | None]:
        end = request.get("range_end")
        return _decode(request["key"]), _decode(end) if end else None

    @staticmethod
    def _in_range(candidate: bytes, key: bytes, end: bytes | None) -> bool:
        return candidate == key if end is None else key <= candidate < end

    def _select(self, request: dict) -> list[_Entry]:
        key, end = self._key_range(request)
        if end is None:
            entry = self._entries.get(key)
            return [entry] if entry else []
        entries = [entry for entry in self._entries.values() if self._in_range(entry.key, key, end)]
        return sorted(entries, key=lambda entry: entry.key)

    def _transact(self, request: dict) -> dict:
        succeeded = all(self._comparison_holds(compare) for compare in request.get("compare", []))
        operations = request.get("success" if succeeded else "failure", [])
        return {
            "succeeded": succeeded,
            "responses": [self._execute(operation) for operation in operations],
        }

    def _comparison_holds(self, compare: dict) -> bool:
        entry = self._entries.get(_decode(compare["key"]))
        target = compare["target"]
        if target == "VALUE":
            actual, expected = entry.value if entry else b"", _decode(compare["value"])
        else:
            name = {"CREATE": "create_revision", "MOD": "mod_revision", "VERSION": "version"}[
                target
            ]
            actual, expected = getattr(entry, name) if entry else 0, int(compare.get(name, 0))
        relation = compare.get("result", "EQUAL")
        if relation == "EQUAL":
            return actual == expected
        return actual > expected if relation == "GREATER" else actual < expected

    def _execute(self, operation: dict) -> dict:
        if "request_range" in operation:
            return {"response_range": self.range(operation["request_range"])}
        if "request_put" in operation:
            self._put(operation["request_put"])
            return {"response_put": {}}
        if "request_delete_range" in operation:
            entries = self._select(operation["request_delete_range"])
            for entry in entries:
                self._delete(entry)
            return {"response_delete_range": {"deleted": str(len(entries))}}
        return {"response_txn": self._transact(operation["request_txn"])}

    def _put(self, request: dict) -> None:
        key = _decode(request["key"])
        old = self._entries.get(key)
        entry = _Entry(
            key,
            _decode(request.get("value", "")),
            old.create_revision if old else self.revision,
            self.revision,
            old.version + 1 if old else 1,
            int(request.get("lease", 0)),
        )
        self._entries[key] = entry
        self._history.append((self.revision, "PUT", entry))

    def _delete(self, entry: _Entry) -> None:
        del self._entries[entry.key]
        self._history.append((self.revision, "DELETE", entry))


class KeyValueServer:
    """HTTP server of the store, with a rate limit.

    ``POST /control`` accepts ``compact`` (discard the history) and ``requests_per_second`` (the
    new rate limit), and returns the request counters and the revision.

    :param requests_per_second: rate limit; unused capacity of up to one second accumulates.
    """

    def __init__(self, address: str, requests_per_second: float):
        self._store = KeyValueStore()
        self._rate = requests_per_second
        self._available_tokens = requests_per_second
        self._refilled_at = time.monotonic()
        self._counts = {"requests": 0, "limited": 0}
        limits = ServiceLimits(threads=64, timeout_seconds=30)
        self._service = HttpService("key-value", address, self._handle, limits)

    def serve(self) -> None:
        """Serve requests and expire leases until the process is terminated."""
        self._service.start()
        while True:
            time.sleep(_EXPIRY_CHECK_SECONDS)
            with self._store.changed:
                self._store.expire_leases()

    def _handle(self, request: ServiceRequest) -> ServiceResponse:
        if request.path == "/control":
            return self._control(request.json_object())
        document = request.json_object()
        if request.path == "/v3/watch":
            return ServiceResponse(200, self._watch(document["create_request"]))
        store = self._store
        handlers = {
            "/v3/kv/range": store.range,
            "/v3/kv/txn": store.transact,
            "/v3/lease/grant": lambda body: store.grant(int(body["TTL"])),
            "/v3/lease/keepalive": lambda body: store.keep_alive(int(body["ID"])),
            "/v3/lease/revoke": lambda body: store.revoke(int(body["ID"])),
        }
        with store.changed:
            self._counts["requests"] += 1
            if not self._acquire_token():
                self._counts["limited"] += 1
                return json_response({"error": "rate limit"}, 429)
            return json_response(handlers[request.path](document))

    def _acquire_token(self) -> bool:
        now = time.monotonic()
        refill = (now - self._refilled_at) * self._rate
        self._available_tokens = min(self._rate, self._available_tokens + refill)
        self._refilled_at = now
        if self._available_tokens < 1:
            return False
        self._available_tokens -= 1
        return True

    def _control(self, change: dict) -> ServiceResponse:
        with self._store.changed:
            if change.get("compact"):
                self._store.compact()
            self._rate = float(change.get("requests_per_second", self._rate))
            return json_response(self._counts | {"revision": self._store.revision})

    def _watch(self, request: dict) -> Iterator[bytes]:
        store = self._store
        next_revision = int(request.get("start_revision") or store.revision + 1)
        yield self._encode_result({"created": True, "header": store.header()})
        while True:
            with store.changed:
                if next_revision <= store.compacted_revision:
                    cancellation = {
                        "canceled": True,
                        "compact_revision": str(store.compacted_revision),
                    }
                    break
                changes = store.events_from(request, next_revision)
                if not changes:
                    store.changed.wait(_WATCH_PROGRESS_SECONDS)
                    changes = store.events_from(request, next_revision)
                header = store.header()
                next_revision = max(next_revision, store.revision + 1)
            # A watch without events sends its progress; this also detects a disconnected client.
            events = [event for _, event in changes]
            yield self._encode_result({"header": header, "events": events})
        yield self._encode_result(cancellation)

    @staticmethod
    def _encode_result(result: dict) -> bytes:
        return json.dumps({"result": result}).encode() + b"\n"


def main(address: str, requests_per_second: float = 200.0) -> None:
    """Run the stand-in key-value service until the process is terminated."""
    KeyValueServer(address, requests_per_second).serve()


if __name__ == "__main__":
    fire.Fire(main)
