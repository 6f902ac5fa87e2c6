"""Signals that arrive before a node is ready for them."""

import pathlib
import subprocess
import sys

PROGRAM = pathlib.Path(__file__).resolve().parents[3] / "deploy" / "node.py"

SIGNAL_AT_FIRST_IMPORT = """
import os, runpy, signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "wheelslip":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder())
runpy.run_path(sys.argv[1], run_name="node")
print("alive")
"""


def test_sighup_while_the_program_is_loaded_does_not_end_the_process():
    process = subprocess.run(
        [sys.executable, "-c", SIGNAL_AT_FIRST_IMPORT, str(PROGRAM)],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert (process.returncode, process.stdout) == (0, "alive\n"), process.stderr
