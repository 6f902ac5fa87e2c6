"""Random histories of workers' entries, received by watches, listings, stale listings and polls.

After every change a node must send requests only to the newest incarnation it has received, only
as its entry allows, and use no weights version of an older incarnation.
"""

import base64
import json
from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.platform_store import PlatformStoreModel
from standins.platform_worker import worker_entry
from wheelslip.documents import decode_document
from wheelslip.forwarding.feed import FeedBatch, FeedPoll, FeedServer
from wheelslip.forwarding.registry_sync import RegistrySync
from wheelslip.forwarding_settings import BoundsSection
from wheelslip.platform.registry import PlatformRegistry
from wheelslip.registry import entry_log
from wheelslip.registry.registry import Registry
from wheelslip.routing.load_table import LoadTable
from wheelslip.wire import encode_frame, split_frame

WORKERS = ("a", "b")
NODES = 2
INVALID_ENTRIES = (b"\xff", b"{}", b"[" * 5000, b'{"service": "s", "state": "ready"}')


class WorkerIncarnation(NamedTuple):
    """One incarnation of a worker."""

    born: int
    address: str
    version: int

    def entry(self, state: str = "ready") -> bytes:
        return worker_entry("s", self.address, "z", state, 8, "m", self.version, self.born)


class ExpectedWorker:
    """The expected state of one worker in a node's view, tracked independently of the node."""

    def __init__(self):
        self.incarnation: WorkerIncarnation | None = None
        self.state = ""
        self.usable = False
        self.versions: set[int] = set()
        self.departed_born = 0

    def receive(self, value: bytes | None, incarnations: dict[int, WorkerIncarnation]) -> None:
        """Update the expected state by an entry, or by its removal for ``None``."""
        document = _document(value)
        if value is None:
            self._end()
        elif document is None:
            self.usable = False
        elif self._is_applied(document):
            if self.incarnation is not None and document["born"] > self.incarnation.born:
                self._end()
            self.incarnation = incarnations[document["born"]]
            self.state = document["state"]
            self.usable = self.state == "ready"
            self.versions.add(self.incarnation.version)
            if not self.usable:
                self.departed_born = max(self.departed_born, self.incarnation.born)

    def _end(self) -> None:
        """Record that the incarnation and all older ones have departed."""
        self.departed_born = max(
            self.departed_born, self.incarnation.born if self.incarnation else 0
        )
        self.incarnation, self.state, self.usable, self.versions = None, "", False, set()

    def _is_applied(self, document: dict) -> bool:
        """Return whether an entry is applied at once: late writes of departed ones are deferred."""
        born = document["born"]
        if self.incarnation is not None and (born <= self.incarnation.born):
            in_use = self.state == "ready" or document["state"] != "ready"
            return born == self.incarnation.born and in_use
        return born > self.departed_born or document["state"] != "ready"


def _document(value: bytes | None) -> dict | None:
    return None if value is None or value in INVALID_ENTRIES else json.loads(value)


class Node(Registry):
    """A node's view that is checked after each change."""

    def __init__(self, history: "History"):
        super().__init__(PlatformRegistry(), BoundsSection, lambda: 100.0)
        self.history = history
        self.expected = {worker: ExpectedWorker() for worker in WORKERS}
        self.connected: set[str] = set()
        self.view.on_removed = lambda info: self.connected.discard(info.id)
        self.sync = RegistrySync(None, self, lambda: 100.0, None)
        self.server = FeedServer(self, LoadTable(), list, lambda: 100.0)

    def apply(self, key: str, value: bytes | None, revision: int) -> None:
        expected = self.expected[key.rpartition("/")[2]]
        received_to = self.history.received.get((id(self), key), 0)
        if key not in self.entry_log:
            # A key that is absent from a complete log was removed by the log's revision.
            received_to = max(received_to, self.entry_log.revision)
        newest = revision > received_to
        super().apply(key, value, revision)
        if newest:
            self.history.received[(id(self), key)] = revision
            expected.receive(value, self.history.incarnations)
        self.check()

    def check(self) -> None:
        in_use = {used.info.worker_id: used for used in self.workers_of("s")}
        self.connected |= {used.info.id for used in in_use.values()}
        assert self.connected <= set(self.workers), "a connection outlives its incarnation"
        for worker_id, expected in self.expected.items():
            worker = in_use.get(worker_id)
            assert (worker is not None) == expected.usable
            if worker is None:
                continue
            assert (worker.info.born, worker.info.address) == expected.incarnation[:2]
            assert worker.weights["m"] in expected.versions


class History:
    """The store's history, and the nodes that receive it."""

    def __init__(self):
        self.store = PlatformStoreModel(lambda: 100.0)
        self.incarnations: dict[int, WorkerIncarnation] = {}
        self.of_worker: dict[str, list[WorkerIncarnation]] = {worker: [] for worker in WORKERS}
        self.listings: list[tuple[int, dict[str, tuple[bytes, int]]]] = []
        self.received: dict[tuple[int, str], int] = {}
        self.changes: dict[str, list[tuple[int, bytes | None]]] = {
            f"servers/{worker}": [] for worker in WORKERS
        }
        self.nodes = [Node(self) for _ in range(NODES)]

    def play(self, kind: str, worker: str, first: int, second: int) -> None:
        """Do one step; the numbers select a node, an incarnation or a listing."""
        self.listings.append((self.store.revision, self._listing()))
        match kind:
            case "start":
                born = len(self.incarnations) + 1
                incarnation = WorkerIncarnation(born, f"127.0.0.1:{born}", first % 3 + 1)
                self.incarnations[born] = incarnation
                self.of_worker[worker].append(incarnation)
                self._put(worker, incarnation.entry())
            case "drain" if self.of_worker[worker]:
                self._put(worker, self.of_worker[worker][-1].entry("draining"))
            case "late" if self.of_worker[worker]:
                incarnations = self.of_worker[worker]
                self._put(worker, incarnations[first % len(incarnations)].entry())
            case "spoil":
                self._put(worker, INVALID_ENTRIES[first % len(INVALID_ENTRIES)])
            case "leave" if f"servers/{worker}" in self.store.items:
                self.store.remove(f"servers/{worker}")
                self.changes[f"servers/{worker}"].append((self.store.revision, None))
            case "watch":
                self._watch(self.nodes[first % NODES])
            case "poll":
                self._poll(self.nodes[first % NODES], self.nodes[second % NODES])
            case "list":
                self._list(self.nodes[first % NODES])
            case "list behind" if self.listings:
                revision, entries = self.listings[-1 - second % len(self.listings)]
                node = self.nodes[first % NODES]
                node.replace_all(entries, revision)
                node.sync._advance(revision)

    def check_complete(self) -> None:
        """Check that each node has every change up to the revision of its log."""
        for node in self.nodes:
            for key, changes in self.changes.items():
                past = [change for change in changes if change[0] <= node.entry_log.revision]
                if past:
                    self._check_key(node, key, *past[-1])

    def _check_key(self, node: Node, key: str, revision: int, value: bytes | None) -> None:
        if value is None:
            assert key not in node.entry_log or node.entry_log.revision_of(key) > revision
        elif key in node.entry_log:
            assert node.entry_log.revision_of(key) >= revision
        else:
            later_removals = [
                change for change in self.changes[key] if change[0] > revision and change[1] is None
            ]
            assert later_removals, "a worker disappeared without a removal"

    def _put(self, worker: str, value: bytes) -> None:
        revision = self.store.put(f"servers/{worker}", value)
        self.changes[f"servers/{worker}"].append((revision, value))

    def _watch(self, node: Node) -> None:
        for change in self.store.changes_after("", node.sync._revision or 0):
            item = self._value_of(change)
            node.apply(change["tls_key"], item, change["revision"])
        node.sync._advance(self.store.revision)

    def _value_of(self, change: dict) -> bytes | None:
        return None if change.get("gone") else base64.b64decode(change["payload"])

    def _list(self, node: Node) -> None:
        node.replace_all(self._listing(), self.store.revision)
        node.sync._advance(self.store.revision)

    def _listing(self) -> dict[str, tuple[bytes, int]]:
        return {item.key: (item.value, item.revision) for item in self.store.items.values()}

    def _poll(self, node: Node, other: Node) -> None:
        poll = FeedPoll(node.sync._revision)
        changes, whole = other.server._changes(poll)
        payload, _ = split_frame(encode_frame(other.server._batch(poll, changes, whole, 100.0)))
        batch = decode_document(payload, FeedBatch)
        changes = [change.decompressed() for change in batch.changes]
        node.sync._apply_batch(batch._replace(changes=changes, confirmed_offset=0.0), 100.0)


KINDS = ("start", "drain", "late", "spoil", "leave", "watch", "poll", "list", "list behind")

STEPS = st.lists(
    st.tuples(
        st.sampled_from(KINDS), st.sampled_from(WORKERS), st.integers(0, 40), st.integers(0, 40)
    ),
    # Hypothesis prefers short lists, but relevant histories have ten steps and more.
    min_size=25,
    max_size=70,
)


@pytest.mark.parametrize("max_removed_keys", [1, entry_log.MAX_REMOVED_KEYS])
@given(steps=STEPS)
@settings(max_examples=300)
def test_nodes_send_only_what_the_newest_received_entry_allows(max_removed_keys, steps):
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(entry_log, "MAX_REMOVED_KEYS", max_removed_keys)
        history = History()
        for step in steps:
            history.play(*step)
            history.check_complete()
