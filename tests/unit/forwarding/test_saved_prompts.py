"""Records of prompts saved to cache stores and their exchange between nodes."""

from wheelslip.routing.caches.saved_prompts import (
    ANNOUNCE_SECONDS,
    MAX_ANNOUNCED,
    MAX_PROMPTS,
    SAVED_TTL_SECONDS,
    SavedPrompts,
)


def test_record_of_saved_prompt_expires():
    saved = SavedPrompts()
    assert not saved.has(1, 10.0)
    saved.record(1, 10.0)
    assert saved.has(1, 10.0 + SAVED_TTL_SECONDS - 0.1)
    assert not saved.has(1, 10.0 + SAVED_TTL_SECONDS)


def test_records_are_announced_briefly_and_do_not_circulate_between_two_nodes():
    first, second = SavedPrompts(), SavedPrompts()
    first.record(1, 10.0)
    second.merge(first.recent(10.1), 10.1)
    assert second.has(1, 10.2) and second.recent(10.2) == [1]
    first.merge(second.recent(10.2), 10.2)
    assert first.recent(10.0 + ANNOUNCE_SECONDS + 0.1) == []
    assert second.recent(10.1 + ANNOUNCE_SECONDS + 0.1) == []


def test_newest_records_are_announced_first_and_oldest_are_dropped_at_the_limit():
    saved = SavedPrompts()
    for key in range(MAX_PROMPTS + 10):
        saved.record(key, 10.0)
    assert saved.recent(10.0) == list(range(MAX_PROMPTS + 9, MAX_PROMPTS + 9 - MAX_ANNOUNCED, -1))
    assert not saved.has(9, 10.0) and saved.has(10, 10.0)
