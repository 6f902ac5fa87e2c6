"""Short randomised fault runs with fixed seeds; ``make soak`` runs longer ones."""

import pytest

from bench.soak import report, soak_run

SECONDS = 12.0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_seeded_faults_cause_no_violations(tmp_path, seed):
    history, violations = soak_run(tmp_path / "soak", seed, SECONDS)
    print(report(seed, history, violations))
    assert violations == []
    assert len(history.calls) > 20
    assert any(call.outcomes[-1][1].is_complete for call in history.calls if not call.repeatable)
