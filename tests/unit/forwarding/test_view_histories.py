"""Random histories of workers' entries, as several nodes learn of them, break no promise.

Workers start, drain, leave and start again under their ids, late entries of older starts and
unusable ones of other writers come between; each node learns of it by its own watches and
listings, by polls of another node, or by listings that are behind. After every single change a
node sends nothing to a worker whose newest entry, as far as it knows, does not allow it (DRAIN), to
no start but the newest that it knows, at that start's address (ROUTE), and believes no version of
an older start (VERSION).
"""

import base64
import json
from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.platform_store import PlatformStoreModel
from standins.platform_worker import worker_entry
from wheelslip.forwarding import entry_log
from wheelslip.forwarding.feed import FeedBatch, FeedPoll, FeedServer
from wheelslip.forwarding.registry import Registry
from wheelslip.forwarding.registry_sync import RegistrySync
from wheelslip.forwarding.settings import BoundsSection
from wheelslip.platform.registry import PlatformRegistry
from wheelslip.routing.load_table import LoadTable
from wheelslip.wire import decode_payload, encode_frame, split_frame

WORKERS = ("a", "b")
NODES = 2
SPOILT = (b"\xff", b"{}", b"[" * 5000, b'{"service": "s", "state": "ready"}')


class Start(NamedTuple):
    """One start of a worker."""

    born: int
    address: str
    version: int

    def entry(self, state: str = "ready") -> bytes:
        return worker_entry("s", self.address, "z", state, 8, "m", self.version, self.born)


class Known:
    """What a node has been told of one worker, by an account of the test's own."""

    def __init__(self):
        self.start: Start | None = None
        self.state = ""
        self.usable = False
        self.versions: set[int] = set()
        self.left = 0

    def told(self, value: bytes | None, starts: dict[int, Start]) -> None:
        document = _document(value)
        if value is None:
            self._end()
        elif document is None:
            self.usable = False
        elif self._is_believed(document):
            if self.start is not None and document["born"] > self.start.born:
                self._end()
            self.start = starts[document["born"]]
            self.state = document["state"]
            self.usable = self.state == "ready"
            self.versions.add(self.start.version)
            if not self.usable:
                self.left = max(self.left, self.start.born)

    def _end(self) -> None:
        """The start has left, and with it all older ones."""
        self.left = max(self.left, self.start.born if self.start else 0)
        self.start, self.state, self.usable, self.versions = None, "", False, set()

    def _is_believed(self, document: dict) -> bool:
        """An entry of a start that left, or of an older one, may have been written before that."""
        born = document["born"]
        if self.start is not None and (born <= self.start.born):
            in_use = self.state == "ready" or document["state"] != "ready"
            return born == self.start.born and in_use
        return born > self.left or document["state"] != "ready"


def _document(value: bytes | None) -> dict | None:
    return None if value is None or value in SPOILT else json.loads(value)


class Node(Registry):
    """A node's view that is checked after each change it takes."""

    def __init__(self, history: "History"):
        super().__init__(PlatformRegistry(), BoundsSection, lambda: 100.0)
        self.history = history
        self.known = {worker: Known() for worker in WORKERS}
        self.connected: set[str] = set()
        self.view.on_gone = self.connected.discard
        self.sync = RegistrySync(None, self, lambda: 100.0, None)
        self.server = FeedServer(self, LoadTable(), list, lambda: 100.0)

    def apply(self, key: str, value: bytes | None, revision: int) -> None:
        known = self.known[key.rpartition("/")[2]]
        known_to = self.history.told.get((id(self), key), 0)
        if key not in self.log:
            # Unknown although this node knows all keys up to a revision: it has gone by then.
            known_to = max(known_to, self.log.at)
        newest = revision > known_to
        super().apply(key, value, revision)
        if newest:
            self.history.told[(id(self), key)] = revision
            known.told(value, self.history.starts)
        self.check()

    def check(self) -> None:
        sent_to = {one.info.worker_id: one for one in self.workers_of("s")}
        self.connected |= {one.info.id for one in sent_to.values()}
        assert self.connected <= set(self.workers), "a connection outlives its worker's start"
        for worker_id, known in self.known.items():
            worker = sent_to.get(worker_id)
            assert (worker is not None) == known.usable
            if worker is None:
                continue
            assert (worker.info.born, worker.info.address) == known.start[:2]
            assert worker.weights["m"] in known.versions


class History:
    """The store's history, and the nodes that learn of it."""

    def __init__(self):
        self.store = PlatformStoreModel(lambda: 100.0)
        self.starts: dict[int, Start] = {}
        self.of_worker: dict[str, list[Start]] = {worker: [] for worker in WORKERS}
        self.listings: list[tuple[int, dict[str, tuple[bytes, int]]]] = []
        self.told: dict[tuple[int, str], int] = {}
        self.changes: dict[str, list[tuple[int, bytes | None]]] = {
            f"servers/{worker}": [] for worker in WORKERS
        }
        self.nodes = [Node(self) for _ in range(NODES)]

    def play(self, kind: str, worker: str, first: int, second: int) -> None:
        """Do one thing; numbers choose among what is there."""
        self.listings.append((self.store.revision, self._listing()))
        match kind:
            case "start":
                born = len(self.starts) + 1
                start = Start(born, f"127.0.0.1:{born}", first % 3 + 1)
                self.starts[born] = start
                self.of_worker[worker].append(start)
                self._put(worker, start.entry())
            case "drain" if self.of_worker[worker]:
                self._put(worker, self.of_worker[worker][-1].entry("draining"))
            case "late" if self.of_worker[worker]:
                starts = self.of_worker[worker]
                self._put(worker, starts[first % len(starts)].entry())
            case "spoil":
                self._put(worker, SPOILT[first % len(SPOILT)])
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
                at, entries = self.listings[-1 - second % len(self.listings)]
                node = self.nodes[first % NODES]
                node.replace_all(entries, at)
                node.sync._advance(at)

    def check_complete(self) -> None:
        """Each node knows every change up to the revision that it takes itself to be current to."""
        for node in self.nodes:
            for key, changes in self.changes.items():
                done = [one for one in changes if one[0] <= node.log.at]
                if done:
                    self._check_key(node, key, *done[-1])

    def _check_key(self, node: Node, key: str, revision: int, value: bytes | None) -> None:
        if value is None:
            assert key not in node.log or node.log.revision_of(key) > revision
        elif key in node.log:
            assert node.log.revision_of(key) >= revision
        else:
            later = [one for one in self.changes[key] if one[0] > revision and one[1] is None]
            assert later, "a worker that nobody removed is gone"

    def _put(self, worker: str, value: bytes) -> None:
        revision = self.store.put(f"servers/{worker}", value)
        self.changes[f"servers/{worker}"].append((revision, value))

    def _watch(self, node: Node) -> None:
        for change in self.store.changes_after("", node.sync._after or 0):
            item = self._value_of(change)
            node.apply(change["tls_key"], item, change["revision"])
        node.sync._advance(self.store.revision)

    def _value_of(self, change: dict) -> bytes | None:
        return None if change.get("gone") else base64.b64decode(change["payload"])

    def _list(self, node: Node) -> None:
        node.replace_all(self._listing(), self.store.revision)
        node.sync._advance(self.store.revision)

    def _listing(self) -> dict[str, tuple[bytes, int]]:
        return {one.key: (one.value, one.revision) for one in self.store.items.values()}

    def _poll(self, node: Node, other: Node) -> None:
        poll = FeedPoll(node.sync._after)
        changes, whole = other.server._changes(poll)
        payload, _ = split_frame(encode_frame(other.server._batch(poll, changes, whole, 100.0)))
        batch = decode_payload(payload, FeedBatch)
        changes = [one.unpacked() for one in batch.changes]
        node.sync._take(batch._replace(changes=changes, confirmed_offset=0.0), 100.0)


KINDS = ("start", "drain", "late", "spoil", "leave", "watch", "poll", "list", "list behind")
"""Hypothesis draws shorter lists of steps more often; what matters here takes ten and more."""

STEPS = st.lists(
    st.tuples(
        st.sampled_from(KINDS), st.sampled_from(WORKERS), st.integers(0, 40), st.integers(0, 40)
    ),
    min_size=25,
    max_size=70,
)


@pytest.mark.parametrize("gone_remembered", [1, entry_log.MAX_GONE])
@given(steps=STEPS)
@settings(max_examples=300, deadline=None, derandomize=True)
def test_no_node_sends_what_the_newest_entry_it_knows_does_not_allow(gone_remembered, steps):
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(entry_log, "MAX_GONE", gone_remembered)
        history = History()
        for step in steps:
            history.play(*step)
            history.check_complete()
