"""Stand-in for the platform's metadata store.

:class:`PlatformStoreModel` implements the store without I/O and with an injected clock, so that
it also runs in virtual time. :class:`PlatformStoreServer` serves it over HTTP and adds faults:
error statuses for every call, and transactions whose response is lost.
"""

import asyncio
import base64
import itertools
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from standins.asyncio_http import ServerConnection, StandInRequest, StandInServer

PAGE_ITEMS = 50
"""Maximum number of items in one page of a range read."""


@dataclass
class StoredItem:
    """Current state of one key.

    :ivar revision: of the latest write.
    :ivar created_revision: of the first write since the key last did not exist.
    :ivar lease: ID of the lease that the key is attached to; 0 for none.
    """

    key: str
    value: bytes
    revision: int
    created_revision: int
    lease: int = 0

    def document(self) -> dict:
        """Return the item's JSON representation in the store's protocol."""
        return {
            "tls_key": self.key,
            "payload": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "made": self.created_revision,
            "lease": self.lease,
        }


@dataclass
class _Lease:
    ttl_seconds: float
    expires_at: float


class StoreCopy(NamedTuple):
    """Copy of a store's state, to return from."""

    items: dict[str, StoredItem]
    revision: int
    leases: dict[int, float]


class HistoryCompacted(Exception):
    """Raised when changes are requested that have been removed by compaction."""


@dataclass
class PlatformStoreModel:
    """State of the store: items, change history and leases.

    :ivar clock: returns monotonic seconds.
    :ivar items: by key.
    :ivar revision: of the latest change.
    :ivar era: rises each time the store returns from a copy.
    """

    clock: Callable[[], float]
    items: dict[str, StoredItem] = field(default_factory=dict)
    revision: int = 0
    era: int = 0

    def __post_init__(self):
        self._history: list[dict] = []
        self._compacted_revision = 0
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = itertools.count(1)

    def copy(self) -> StoreCopy:
        """Return a copy of items, revision and leases."""
        leases = {lease: state.ttl_seconds for lease, state in self._leases.items()}
        return StoreCopy(dict(self.items), self.revision, leases)

    def restore(self, copy: StoreCopy) -> None:
        """Return from a copy: what was written since is gone, and its revisions are free again."""
        self.era += 1
        self.items = dict(copy.items)
        self.revision = copy.revision
        self._history = [row for row in self._history if row["revision"] <= copy.revision]
        now = self.clock()
        self._leases = {lease: _Lease(ttl, now + ttl) for lease, ttl in copy.leases.items()}

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write one key without the checks of a transaction, as operators and workers do.

        :return: the new revision.
        """
        self.revision += 1
        existing = self.items.get(key)
        created_revision = existing.created_revision if existing else self.revision
        self.items[key] = StoredItem(key, value, self.revision, created_revision, lease)
        self._history.append(self.items[key].document())
        return self.revision

    def remove(self, key: str) -> None:
        """Remove one key if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._history.append({"tls_key": key, "revision": self.revision, "gone": True})

    def changes_after(self, prefix: str, after: int) -> list[dict]:
        """Return the changes of keys with a prefix, oldest first.

        :param after: revision; only later changes are returned.
        :raises HistoryCompacted: if the history since this revision is incomplete.
        """
        self.expire_leases()
        if after < self._compacted_revision or after > self.revision:
            raise HistoryCompacted
        return [
            change
            for change in self._history
            if change["revision"] > after and change["tls_key"].startswith(prefix)
        ]

    def compact(self) -> None:
        """Remove the history up to the current revision."""
        self._history.clear()
        self._compacted_revision = self.revision

    def transact(self, document: dict) -> tuple[int, dict]:
        """Execute a transaction atomically.

        :return: HTTP status and body of the response.
        """
        self.expire_leases()
        expected = document.get("expected_rev", [])
        for condition in expected:
            item = self.items.get(condition["tls_key"])
            if (item.revision if item else 0) != condition["revision"]:
                current_items = [self.items.get(row["tls_key"]) for row in expected]
                return 412, {"items": [current.document() for current in current_items if current]}
        puts = document.get("put", [])
        if any(put.get("lease") and put["lease"] not in self._leases for put in puts):
            return 404, {"error": "no such lease"}
        keys = [put["tls_key"] for put in puts] + document.get("remove", [])
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {"error": "not the system's to write"}
        for put in puts:
            self.put(put["tls_key"], base64.b64decode(put["payload"]), put.get("lease", 0))
        for key in document.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    def grant_lease(self, seconds: float) -> int:
        """Grant a lease.

        :param seconds: time to live.
        :return: ID of the lease.
        """
        lease = next(self._lease_ids)
        self._leases[lease] = _Lease(seconds, self.clock() + seconds)
        return lease

    def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return whether it exists."""
        self.expire_leases()
        if lease not in self._leases:
            return False
        self._leases[lease].expires_at = self.clock() + self._leases[lease].ttl_seconds
        return True

    def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and remove the keys attached to it."""
        if self._leases.pop(lease, None) is None:
            return
        for key in [item.key for item in self.items.values() if item.lease == lease]:
            self.remove(key)

    def expire_leases(self) -> None:
        """Revoke the leases whose time to live has elapsed."""
        now = self.clock()
        for lease in [key for key, state in self._leases.items() if state.expires_at <= now]:
            self.revoke_lease(lease)


class PlatformStoreServer:
    """HTTP server for a store, with faults.

    :ivar error_status: HTTP status returned for every call while non-zero, such as 503 or 429.
    :ivar lose_responses: number of further transactions that are executed but whose connection
        is reset before the response.
    :ivar calls: method and path of each received call.
    """

    def __init__(self, model: PlatformStoreModel):
        self.model = model
        self.server = StandInServer(self._handle)
        self.error_status = 0
        self.lose_responses = 0
        self.calls: list[tuple[str, str]] = []

    async def _handle(self, request: StandInRequest, connection: ServerConnection) -> None:
        self.calls.append((request.method, request.path))
        if self.error_status:
            self._send(connection, self.error_status, {"error": "refused"})
            return
        name = request.path.strip("/").split("/")[0]
        if name == "kv-watch":
            await self._handle_watch(request, connection)
        elif name == "kv-range":
            self._send(connection, 200, self._read_range(request.query))
        elif name == "kv-txn":
            status, body = self.model.transact(json.loads(request.body))
            if self.lose_responses:
                self.lose_responses -= 1
                connection.reset()
                return
            self._send(connection, status, body)
        else:
            self._handle_lease(name, request, connection)

    def _handle_lease(
        self, name: str, request: StandInRequest, connection: ServerConnection
    ) -> None:
        if name == "kv-lease":
            ttl_ms = json.loads(request.body)["ttl_ms"]
            lease = self.model.grant_lease(ttl_ms / 1000)
            self._send(connection, 200, {"lease": lease, "ttl_ms": ttl_ms})
            return
        lease = int(request.path.rpartition("/")[2])
        if name == "kv-keep":
            renewed = self.model.renew_lease(lease)
            self._send(connection, 200 if renewed else 404, {"ttl_ms": 1000})
            return
        self.model.revoke_lease(lease)
        self._send(connection, 200, {})

    def _read_range(self, query: dict[str, str]) -> dict:
        self.model.expire_leases()
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.model.items if key.startswith(prefix) and key > after)
        page = [self.model.items[key].document() for key in keys[:PAGE_ITEMS]]
        return {"items": page, "more": len(keys) > PAGE_ITEMS, "at": self.model.revision}

    async def _handle_watch(self, request: StandInRequest, connection: ServerConnection) -> None:
        prefix, after = request.query.get("path_prefix", ""), int(request.query["after"])
        deadline = self.model.clock() + int(request.query["wait_ms"]) / 1000
        while True:
            try:
                changes = self.model.changes_after(prefix, after)
            except HistoryCompacted:
                self._send(connection, 410, {"error": "history gone"})
                return
            if self.error_status:
                connection.reset()
                return
            if changes or self.model.clock() >= deadline:
                self._send(connection, 200, {"changes": changes, "at": self.model.revision})
                return
            await asyncio.sleep(0.005)

    def _send(self, connection: ServerConnection, status: int, document: dict) -> None:
        headers = [("Content-Type", "application/json"), ("Store-Era", str(self.model.era))]
        connection.send_response(status, headers, json.dumps(document).encode())
