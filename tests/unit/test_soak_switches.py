"""Switches of the soak of forwarding nodes on the command line."""

import pathlib
import re

import fire
import pytest

from bench.forwarding import soak
from bench.forwarding.soak import SoakOptions

MAKEFILE = pathlib.Path(__file__).resolve().parents[2] / "Makefile"
RECIPE = MAKEFILE.read_text().partition("\nforwarding-soak:")[2].partition("\n\n")[0]
SWITCHES = re.findall(r"\$\(if \$\([A-Z]+\),--(\w+)\)", RECIPE)
VALUES = {"older": "0123abc", "nodes": 7}


class _Parsed(Exception):
    pass


def parse(monkeypatch, *arguments) -> SoakOptions:
    """Return the options that a command line sets, without performing the run."""
    received = {}

    async def run_seed(seed, seconds, folder, **options):
        received.update(options)
        raise _Parsed

    monkeypatch.setattr(soak, "run_seed", run_seed)
    with pytest.raises(_Parsed):
        fire.Fire(soak.main, command=list(arguments))
    return SoakOptions(**received)


def test_makefile_has_a_switch_for_each_option():
    documented = {*SWITCHES, "nodes", "older"}
    assert documented == set(SoakOptions._fields) - {"restarts"}


@pytest.mark.parametrize("name", SWITCHES)
def test_switch_sets_its_option(name, monkeypatch, tmp_path):
    """``--notices`` was read as "no" to an option "tices"."""
    options = parse(monkeypatch, f"--folder={tmp_path}", f"--{name}")
    assert options == SoakOptions(**{name: True})


@pytest.mark.parametrize("name", VALUES)
def test_value_sets_its_option(name, monkeypatch, tmp_path):
    options = parse(monkeypatch, f"--folder={tmp_path}", f"--{name}", repr(VALUES[name]))
    assert options == SoakOptions(**{name: VALUES[name]})
