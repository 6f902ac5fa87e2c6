"""A change whose answer was lost, and that others have superseded when it is sent again."""

from wheelslip.keyvalue.model import KeyValue, TransactionResult
from wheelslip.operators.store import ConfigurationStore, WriteOutcome


class Client:
    """A key-value service whose revisions rise by ten."""

    def __init__(self):
        self.head = None
        self.revision = 0

    def get(self, key):
        return self.head

    def transact(self, transaction):
        self.revision += 10
        put = next(change for change in transaction.changes if change.key in transaction.expected)
        self.head = KeyValue(put.key, put.value, self.revision)
        return TransactionResult(True, self.revision)


def test_superseded_change_is_accepted_with_its_own_revision():
    """It was answered with the revision of the change that superseded it."""
    store = ConfigurationStore(Client())
    revision, revisions = 0, {}
    for name in ("a", "b", "c", "d"):
        result = store._write_once(revision, name, {})
        revision = revisions[name] = result.change.revision
    for name in ("a", "b", "c"):
        result = store._write_once(0, name, {})
        assert result.outcome is WriteOutcome.ACCEPTED and result.change is None
        assert result.superseded_revision == revisions[name]
    assert store._write_once(0, "d", {}).change.revision == revisions["d"]
