"""The pages that list errors, events and proofs agree with the code."""

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
def test_every_kind_is_answered_as_the_table_says(kind):
    answer = ERROR_TABLE[kind]
    response = error_response(WheelslipError(kind, "why"), "r1")
    body = WheelslipError(kind, "why").body("r1")["error"]
    assert response.status == answer.status
    assert 400 <= answer.status < 600
    assert body["code"] == kind.value
    assert body["run_state"] == answer.run_state.value
    assert body["retry"] is answer.retry
    assert ("Retry-After" in response.headers) == (answer.retry_after_seconds is not None)
    if answer.status in (429, 503):
        assert answer.retry_after_seconds is not None


def test_only_a_kind_that_ran_nothing_may_say_not_run_and_retry_at_once():
    for answer in ERROR_TABLE.values():
        assert isinstance(answer.run_state, RunState)
        assert answer.meaning.endswith(".")


def test_no_error_answer_is_built_outside_the_table():
    """Only errors.py and http_service.py know error statuses or bodies."""
    pattern = re.compile(
        r"json_response\([^)]*\b[45]\d\d\b|ServiceResponse\(\s*[45]\d\d|\"run_state\""
    )
    allowed = {SOURCE / "errors.py", SOURCE / "http_service.py"}
    found = [
        path.name
        for path in SOURCE.rglob("*.py")
        if path not in allowed and pattern.search(path.read_text())
    ]
    assert found == []


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


def test_guarantees_name_tests_that_exist():
    page = (ROOT / "docs" / "GUARANTEES.md").read_text()
    named = re.findall(r"`(tests/[^`:]+\.py)::(\w+)", page)
    missing = [
        f"{file}::{name}"
        for file, name in named
        if not (ROOT / file).exists() or f"def {name}(" not in (ROOT / file).read_text()
    ]
    assert named and missing == []


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda one: one.name)
def test_every_mutation_takes_out_what_the_source_holds(mutation):
    for edit in mutation.edits:
        assert (SOURCE / edit.file).read_text().count(edit.old) == 1
    path, _, name = mutation.test.partition("::")
    assert f"def {name.partition('[')[0]}(" in (ROOT / path).resolve().read_text()
