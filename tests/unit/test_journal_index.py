"""The index of the journal: every entry is found by its site, commit, reason and id."""

import json

from scripts.generate_journal_index import read, render


def write(folder, name, **changes):
    document = {
        "id": name,
        "at": ["2026-12-02T10:00:00Z", "2026-12-02T10:01:00Z"],
        "site": "kmd-tbilisi",
        "cmd": "run",
        "head": "0123456789abcdef",
        "dirty": False,
        "why": "trial: a | b",
        "days": [{"G": 0.5, "rules": {}, "fault": None}],
    }
    (folder / f"x-{name}.json").write_text(json.dumps(document | changes))


def test_plays_of_one_reason_stand_in_one_row(tmp_path):
    for number in range(5):
        write(tmp_path, f"a{number}", days=[{"G": number / 10, "rules": {}, "fault": None}])
    (row,) = [line for line in render(read(tmp_path)).splitlines() if line.startswith("| run")]
    assert row == r"| run | 0123456 | trial: a \| b | 5 | 0.200 | 0 | 5: a0 to a4 |"


def test_sites_commits_and_broken_rules_are_kept_apart(tmp_path):
    write(tmp_path, "b1", site="z", days=[{"G": 0.4, "rules": {"ONE": 1}, "fault": None}])
    write(tmp_path, "b2", head="fedcba9876543210", dirty=True, cmd="hunt")
    page = render(read(tmp_path))
    assert "## kmd-tbilisi" in page and "## z" in page
    assert "| run | 0123456 | trial: a \\| b | 1 | 0.400 | 1 | b1 |" in page
    assert "| hunt | fedcba9+ | trial: a \\| b | 1 | 0.500 | 0 | b2 |" in page


def test_a_run_that_was_ended_early_has_a_row_without_figures(tmp_path):
    write(tmp_path, "c1", days=None, why="", at=["2026-12-02T10:00:00Z", ""])
    assert "| run | 0123456 | - | 0 | - | 0 | c1 |" in render(read(tmp_path))
