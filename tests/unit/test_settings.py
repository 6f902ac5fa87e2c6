"""Invalid settings are reported before a node starts, in one line with file, key and reason."""

import subprocess
import sys

import pytest

from wheelslip.settings import SettingsError, load_settings

VALID_SETTINGS = """
[node]
name = "n1"
zone = "worcester"
callers = "127.0.0.1:8100"
operators = "127.0.0.1:8101"
peers = "127.0.0.1:8102"
[platform]
key_value = "127.0.0.1:2379"
machine_list = "127.0.0.1:2380"
"""


@pytest.fixture
def write_settings(tmp_path):
    def _write_settings(text):
        path = tmp_path / "node.toml"
        path.write_text(text)
        return str(path)

    return _write_settings


def test_valid_settings_load_and_flags_override_the_file(write_settings):
    settings = load_settings(write_settings(VALID_SETTINGS), {"node.zone": "providence"})
    assert settings.node.name == "n1"
    assert settings.node.zone == "providence"
    assert settings.limits.max_body_bytes > 0


@pytest.mark.parametrize(
    ("old", "new", "parts"),
    [
        ('zone = "worcester"', "", ["node", "zone"]),
        ('zone = "worcester"', 'zone = ""', ["node.zone"]),
        ('name = "n1"', "name = 3", ["node.name", "str"]),
        ('name = "n1"', 'name = "n1"\ncolour = "red"', ["node", "colour"]),
        ('"127.0.0.1:8102"', '"localhost:8102"', ["node.peers", "localhost"]),
        ('"127.0.0.1:8102"', '"127.0.0.1:99999"', ["node.peers", "99999"]),
        ('"127.0.0.1:2379"', '"127.0.0.1"', ["platform.key_value"]),
        ("[platform]", "[limits]\nmax_body_bytes = -1\n[platform]", ["limits.max_body_bytes"]),
        ("[platform]", "[limits]\nmax_body = 1\n[platform]", ["limits", "max_body"]),
        ("[node]", "[node", ["is not TOML"]),
    ],
)
def test_invalid_settings_error_has_file_key_and_reason(write_settings, old, new, parts):
    path = write_settings(VALID_SETTINGS.replace(old, new))
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    message = str(caught.value)
    assert message.startswith(path)
    assert "\n" not in message
    assert all(part in message for part in parts), message


def test_node_with_invalid_settings_exits_with_status_2_and_one_line(write_settings):
    path = write_settings(VALID_SETTINGS.replace('zone = "worcester"', ""))
    result = subprocess.run(
        [sys.executable, "-m", "wheelslip.cli", "node", "--settings", path],
        capture_output=True,
        text=True,
    )
    assert result.returncode == 2
    assert len(result.stderr.strip().splitlines()) == 1
    assert path in result.stderr and "zone" in result.stderr


def test_error_for_unreadable_file_has_its_path(tmp_path):
    with pytest.raises(SettingsError, match="absent.toml: cannot be read"):
        load_settings(str(tmp_path / "absent.toml"))
