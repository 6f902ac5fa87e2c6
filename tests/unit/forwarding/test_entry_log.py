"""The log of the store's entries and removals that a node passes on."""

import pytest

from wheelslip.keyvalue.model import WatchCompacted
from wheelslip.registry import entry_log
from wheelslip.registry.entry_log import EntryChange, EntryLog


def test_latest_change_of_each_key_is_returned_in_revision_order():
    log = EntryLog()
    assert log.apply("b", b"1", 5)
    assert log.apply("a", b"2", 7)
    assert log.apply("b", b"3", 9)
    assert not log.apply("a", b"old", 6)
    assert log.changes_after(4) == [EntryChange("a", b"2", 7), EntryChange("b", b"3", 9)]
    assert log.changes_after(7) == [EntryChange("b", b"3", 9)]
    assert log.changes_after(9) == []


def test_removal_is_returned_and_not_undone_by_an_older_write():
    log = EntryLog()
    log.apply("a", b"1", 5)
    assert log.apply("a", None, 6)
    assert not log.apply("a", b"late", 5)
    assert "a" not in log and list(log) == []
    assert log.changes_after(5) == [EntryChange("a", None, 6)]
    assert log.apply("a", b"again", 8)
    assert log.changes_after(5) == [EntryChange("a", b"again", 8)]


def test_changes_before_the_recorded_removals_raise_watch_compacted(monkeypatch):
    monkeypatch.setattr(entry_log, "MAX_REMOVED_KEYS", 2)
    log = EntryLog()
    for number in range(1, 6):
        log.apply(f"k{number}", b"", number)
        log.apply(f"k{number}", None, 10 + number)
    with pytest.raises(WatchCompacted):
        log.changes_after(12)
    assert [change.key for change in log.changes_after(13)] == ["k4", "k5"]


def test_large_values_are_compressed_and_restored_unchanged():
    value = b'{"routes":[' + b'{"host":"a.example"},' * 2000 + b"]}"
    log = EntryLog()
    log.apply("op/config", value, 3)
    (change,) = log.changes_after(2)
    assert len(change.value) < len(value) / 10
    assert change.decompressed() == EntryChange("op/config", value, 3)
    with pytest.raises(ValueError, match="op/config"):
        change._replace(value=b"garbage").decompressed()


def test_discarded_removal_is_not_undone_by_an_older_listing(monkeypatch):
    """Otherwise a stale listing would put a departed worker back into use."""
    monkeypatch.setattr(entry_log, "MAX_REMOVED_KEYS", 1)
    log = EntryLog()
    log.apply("a", b"1", 5)
    log.apply("a", None, 6)
    log.apply("b", b"1", 7)
    log.apply("b", None, 8)
    assert not log.apply("a", b"1", 5)
    assert log.apply("a", b"again", 9)


def test_key_removed_before_the_first_view_is_not_restored_by_a_stale_node():
    """Otherwise a stale peer would put a worker back into use that the first listing lacked."""
    log = EntryLog()
    log.apply("b", b"1", 7)
    log.revision = 9
    assert not log.apply("a", b"1", 5)
    assert log.apply("a", b"again", 10)
