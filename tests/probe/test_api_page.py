"""The commands of docs/API.md succeed against a real node."""

import os
import pathlib
import re
import subprocess

PAGE = pathlib.Path(__file__).resolve().parent.parent.parent / "docs" / "API.md"


def test_commands_of_api_page_succeed(make_cluster):
    cluster = make_cluster(engines=2, nodes=1)
    environment = os.environ | {
        "CALLERS": cluster.caller_address("node-1"),
        "OPERATORS": cluster.operator_address("node-1"),
        "KEY": "thibodeau-key",
    }
    blocks = re.findall(r"```sh\n(.*?)```", PAGE.read_text(), re.S)
    assert len(blocks) >= 7
    for block in blocks:
        result = subprocess.run(
            ["bash", "-ec", block], env=environment, capture_output=True, text=True, timeout=60
        )
        assert result.returncode == 0, block + result.stderr
        assert result.stdout and '"error"' not in result.stdout, block + result.stdout
