"""The journal index groups entries by site, command, commit and reason."""

import json

from scripts.generate_journal_index import read_entries, render


def write_entry(directory, entry_id, **changes):
    document = {
        "id": entry_id,
        "at": ["2026-12-02T10:00:00Z", "2026-12-02T10:01:00Z"],
        "site": "kmd-tbilisi",
        "cmd": "run",
        "head": "0123456789abcdef",
        "dirty": False,
        "why": "trial: a | b",
        "days": [{"G": 0.5, "rules": {}, "fault": None}],
    }
    (directory / f"x-{entry_id}.json").write_text(json.dumps(document | changes))


def test_entries_with_same_reason_share_one_row(tmp_path):
    for number in range(5):
        write_entry(tmp_path, f"a{number}", days=[{"G": number / 10, "rules": {}, "fault": None}])
    (row,) = [
        line for line in render(read_entries(tmp_path)).splitlines() if line.startswith("| run")
    ]
    assert row == r"| run | 0123456 | trial: a \| b | 5 | 0.200 | 0 | 5: a0 to a4 |"


def test_entries_of_different_sites_and_commits_have_separate_rows(tmp_path):
    write_entry(tmp_path, "b1", site="z", days=[{"G": 0.4, "rules": {"ONE": 1}, "fault": None}])
    write_entry(tmp_path, "b2", head="fedcba9876543210", dirty=True, cmd="hunt")
    page = render(read_entries(tmp_path))
    assert "## kmd-tbilisi" in page and "## z" in page
    assert "| run | 0123456 | trial: a \\| b | 1 | 0.400 | 1 | b1 |" in page
    assert "| hunt | fedcba9+ | trial: a \\| b | 1 | 0.500 | 0 | b2 |" in page


def test_run_ended_early_has_row_without_score(tmp_path):
    write_entry(tmp_path, "c1", days=None, why="", at=["2026-12-02T10:00:00Z", ""])
    assert "| run | 0123456 | - | 0 | - | 0 | c1 |" in render(read_entries(tmp_path))
