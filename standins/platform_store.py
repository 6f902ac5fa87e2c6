"""Stand-in of the platform's metadata store, after the published PROTOCOL page.

The model is pure (clock injected), so that it runs in virtual time too; the server puts it
on a socket and adds faults: outages, throttling, answers lost or done late, history lost.
"""

import asyncio
import base64
import itertools
import json
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.asyncio_http import Exchange, StandInRequest, StandInServer

PAGE_ITEMS = 50


@dataclass
class StoredItem:
    """One item as it was last written."""

    key: str
    value: bytes
    revision: int
    made: int
    lease: int = 0

    def document(self) -> dict:
        """Return the item as it goes over the wire."""
        return {
            "tls_key": self.key,
            "payload": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "made": self.made,
            "lease": self.lease,
        }


@dataclass
class _Lease:
    seconds: float
    ends_at: float


class HistoryGone(Exception):
    """The revisions asked for are no longer kept."""


@dataclass
class PlatformStoreModel:
    """Items, history and leases.

    :ivar clock: seconds.
    """

    clock: Callable[[], float]
    items: dict[str, StoredItem] = field(default_factory=dict)
    revision: int = 0

    def __post_init__(self):
        self._history: list[dict] = []
        self._oldest_kept = 0
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = itertools.count(1)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write one key, as operators and workers do."""
        self.revision += 1
        known = self.items.get(key)
        made = known.made if known else self.revision
        self.items[key] = StoredItem(key, value, self.revision, made, lease)
        self._history.append(self.items[key].document())
        return self.revision

    def remove(self, key: str) -> None:
        """Remove one key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._history.append({"tls_key": key, "revision": self.revision, "gone": True})

    def changes_after(self, prefix: str, after: int) -> list[dict]:
        """Return changes under a prefix.

        :raises HistoryGone: when some may be missing.
        """
        self.expire()
        if after < self._oldest_kept:
            raise HistoryGone
        return [
            one
            for one in self._history
            if one["revision"] > after and one["tls_key"].startswith(prefix)
        ]

    def compact(self) -> None:
        """Forget the history."""
        self._history.clear()
        self._oldest_kept = self.revision

    def transact(self, document: dict) -> tuple[int, dict]:
        """Do all or nothing; return status and body."""
        self.expire()
        expected = document.get("expected_rev", [])
        for row in expected:
            item = self.items.get(row["tls_key"])
            if (item.revision if item else 0) != row["revision"]:
                found = [self.items.get(one["tls_key"]) for one in expected]
                return 412, {"items": [one.document() for one in found if one]}
        puts = document.get("put", [])
        if any(one.get("lease") and one["lease"] not in self._leases for one in puts):
            return 404, {"error": "no such lease"}
        keys = [one["tls_key"] for one in puts] + document.get("remove", [])
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {"error": "not the system's to write"}
        for one in puts:
            self.put(one["tls_key"], base64.b64decode(one["payload"]), one.get("lease", 0))
        for key in document.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    def grant(self, seconds: float) -> int:
        """Grant a lease."""
        lease = next(self._lease_ids)
        self._leases[lease] = _Lease(seconds, self.clock() + seconds)
        return lease

    def keep(self, lease: int) -> bool:
        """Renew a lease."""
        self.expire()
        if lease not in self._leases:
            return False
        self._leases[lease].ends_at = self.clock() + self._leases[lease].seconds
        return True

    def end(self, lease: int) -> None:
        """End a lease with its keys."""
        if self._leases.pop(lease, None) is None:
            return
        for key in [one.key for one in self.items.values() if one.lease == lease]:
            self.remove(key)

    def expire(self) -> None:
        """End the leases whose time is over."""
        now = self.clock()
        for lease in [one for one, state in self._leases.items() if state.ends_at <= now]:
            self.end(lease)


class PlatformStoreServer:
    """The store on a socket.

    :ivar refuse: status given to every call while set, such as 503 or 429.
    :ivar lose_answers: number of transactions whose answer is lost after they were done.
    :ivar calls: (method, path) of each call.
    """

    def __init__(self, model: PlatformStoreModel):
        self.model = model
        self.server = StandInServer(self._handle)
        self.refuse = 0
        self.lose_answers = 0
        self.calls: list[tuple[str, str]] = []

    async def _handle(self, request: StandInRequest, exchange: Exchange) -> None:
        self.calls.append((request.method, request.path))
        if self.refuse:
            self._send(exchange, self.refuse, {"error": "refused"})
            return
        name = request.path.strip("/").split("/")[0]
        if name == "kv-watch":
            await self._watch(request, exchange)
        elif name == "kv-range":
            self._send(exchange, 200, self._range(request.query))
        elif name == "kv-txn":
            status, body = self.model.transact(json.loads(request.body))
            if self.lose_answers:
                self.lose_answers -= 1
                exchange.reset()
                return
            self._send(exchange, status, body)
        else:
            self._lease_call(name, request, exchange)

    def _lease_call(self, name: str, request: StandInRequest, exchange: Exchange) -> None:
        if name == "kv-lease":
            milliseconds = json.loads(request.body)["ttl_ms"]
            lease = self.model.grant(milliseconds / 1000)
            self._send(exchange, 200, {"lease": lease, "ttl_ms": milliseconds})
            return
        lease = int(request.path.rpartition("/")[2])
        if name == "kv-keep":
            kept = self.model.keep(lease)
            self._send(exchange, 200 if kept else 404, {"ttl_ms": 1000})
            return
        self.model.end(lease)
        self._send(exchange, 200, {})

    def _range(self, query: dict[str, str]) -> dict:
        self.model.expire()
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.model.items if key.startswith(prefix) and key > after)
        page = [self.model.items[key].document() for key in keys[:PAGE_ITEMS]]
        return {"items": page, "more": len(keys) > PAGE_ITEMS, "at": self.model.revision}

    async def _watch(self, request: StandInRequest, exchange: Exchange) -> None:
        prefix, after = request.query.get("path_prefix", ""), int(request.query["after"])
        ends_at = self.model.clock() + int(request.query["wait_ms"]) / 1000
        while True:
            try:
                changes = self.model.changes_after(prefix, after)
            except HistoryGone:
                self._send(exchange, 410, {"error": "history gone"})
                return
            if self.refuse:
                exchange.reset()
                return
            if changes or self.model.clock() >= ends_at:
                self._send(exchange, 200, {"changes": changes, "at": self.model.revision})
                return
            await asyncio.sleep(0.005)

    def _send(self, exchange: Exchange, status: int, document: dict) -> None:
        headers = [("Content-Type", "application/json")]
        exchange.answer(status, headers, json.dumps(document).encode())
