"""The error, event and guarantee pages and the list of mutations match the code."""

import pathlib
import re

import pytest

from scripts.generate_error_page import PAGE, render
from scripts.prove_failing import MUTATIONS
from wheelslip.errors import ERROR_TABLE, ErrorKind, RunState, WheelslipError
from wheelslip.events import LogEvent
from wheelslip.http_service import error_response

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SOURCE = ROOT / "src" / "wheelslip"


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_error_response_matches_the_table(kind):
    definition = ERROR_TABLE[kind]
    response = error_response(WheelslipError(kind, "why"), "r1")
    body = WheelslipError(kind, "why").body("r1")["error"]
    assert response.status == definition.status
    assert 400 <= definition.status < 600
    assert body["code"] == kind.value
    assert body["run_state"] == definition.run_state.value
    assert body["retry"] is definition.retry
    assert ("Retry-After" in response.headers) == (definition.retry_after_seconds is not None)
    if definition.status in (429, 503):
        assert definition.retry_after_seconds is not None


def test_table_entries_have_run_state_and_complete_sentence():
    for definition in ERROR_TABLE.values():
        assert isinstance(definition.run_state, RunState)
        assert definition.meaning.endswith(".")


def test_error_responses_are_built_only_from_the_table():
    """Only errors.py and http_service.py may contain error statuses or bodies."""
    pattern = re.compile(
        r"json_response\([^)]*\b[45]\d\d\b|ServiceResponse\(\s*[45]\d\d|\"run_state\""
    )
    allowed = {SOURCE / "errors.py", SOURCE / "http_service.py"}
    violations = [
        path.name
        for path in SOURCE.rglob("*.py")
        if path not in allowed and pattern.search(path.read_text())
    ]
    assert violations == []


def test_error_page_is_generated_from_the_table():
    assert PAGE.read_text() == render()


def test_event_catalogue_matches_the_code():
    page = (ROOT / "docs" / "EVENTS.md").read_text()
    rows = {int(number): name for number, name in re.findall(r"^\| (\d+) \| `(\w+)`", page, re.M)}
    assert rows == {int(event): event.name.lower() for event in LogEvent}


def test_every_event_is_logged_somewhere():
    text = "\n".join(path.read_text() for path in SOURCE.rglob("*.py"))
    unused = [event.name for event in LogEvent if text.count(f"LogEvent.{event.name}") == 0]
    assert unused == []


def test_guarantees_refer_to_existing_tests():
    page = (ROOT / "docs" / "GUARANTEES.md").read_text()
    references = re.findall(r"`(tests/[^`:]+\.py)::(\w+)", page)
    missing = [
        f"{file}::{name}"
        for file, name in references
        if not (ROOT / file).exists() or f"def {name}(" not in (ROOT / file).read_text()
    ]
    assert references and missing == []


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda mutation: mutation.name)
def test_mutation_replaces_existing_code_and_its_test_exists(mutation):
    for edit in mutation.edits:
        assert (SOURCE / edit.file).read_text().count(edit.old) == 1
    path, _, name = mutation.test.partition("::")
    assert f"def {name.partition('[')[0]}(" in (ROOT / path).resolve().read_text()
