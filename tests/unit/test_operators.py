"""Declarations, configuration, policies and the local configuration replica."""

import msgspec
import pytest

from wheelslip.operators.configuration import (
    Configuration,
    ConfigurationChange,
    ConfigurationState,
    check_objects,
)
from wheelslip.operators.declarations import PolicyCase, PolicySpec
from wheelslip.operators.files import DeclarationsInvalid, read_declarations
from wheelslip.operators.holder import ConfigurationReplica
from wheelslip.operators.policy import (
    SAMPLE_FACTS,
    PolicyError,
    PolicyFacts,
    PolicyProgram,
    check_policy,
)

POOL = "kind: Pool\nmetadata: {name: p}\nspec: {loads_at_once: 2}\n"


@pytest.mark.parametrize("desk", ["thibodeau", "tbilisi"])
def test_example_declarations_are_valid(desk):
    objects = read_declarations(f"examples/{desk}")
    stored = {key: msgspec.json.encode(spec).decode() for key, spec in objects.items()}
    assert check_objects(stored) == []
    assert Configuration(ConfigurationState(1, "c", stored)).workloads


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        ("kind: Pool\nmetadata: {name: p}\nspec: {colour: red}\n", ["document 1", "colour"]),
        ("kind: Pool\nmetadata: {name: p}\nspec: {loads_at_once: two}\n", ["loads_at_once"]),
        ("kind: Pool\nmetadata: {name: p}\nspec: {loads_at_once: 0}\n", ["loads_at_once", ">= 1"]),
        ("kind: Pond\nmetadata: {name: p}\n", ["kind", "Pond"]),
        ("kind: Pool\nmetadata: {name: Not_Good}\n", ["metadata.name"]),
        ("kind: Pool\nmetadata: {name: p}\nextra: 1\n", ["extra"]),
        (POOL + "---\n" + POOL, ["document 2", "metadata.name", "declared before"]),
        ("kind: [\n", ["is not YAML"]),
        ("- a\n", ["document 1"]),
    ],
)
def test_invalid_declaration_is_reported_with_file_document_path_and_reason(tmp_path, text, parts):
    path = tmp_path / "bad.yaml"
    path.write_text(text)
    with pytest.raises(DeclarationsInvalid) as caught:
        read_declarations(str(path))
    message = str(caught.value)
    assert str(path) in message
    assert all(part in message for part in parts), message


def test_all_validation_errors_are_reported_together(tmp_path):
    path = tmp_path / "bad.yaml"
    path.write_text("kind: Pool\nmetadata: {name: p}\nspec: {x: 1}\n---\nkind: Pond\n")
    with pytest.raises(DeclarationsInvalid) as caught:
        read_declarations(str(path))
    assert len(caught.value.problems) == 2


HASH = "sha256:" + "a" * 64


@pytest.mark.parametrize(
    ("objects", "parts"),
    [
        ({"Model/m": '{"pool":"p","version":"v1"}'}, ["Model/m", "spec.pool", "'p'"]),
        (
            {
                "Tenant/a": f'{{"key_hashes":["{HASH}"]}}',
                "Tenant/b": f'{{"key_hashes":["{HASH}"]}}',
            },
            ["Tenant/b", "key_hashes[0]", "Tenant/a"],
        ),
        ({"Policy/p": '{"program":"def decide(r, t, s): return 3"}'}, ["Policy/p", "program"]),
        (
            {
                "Pool/p": "{}",
                "Model/m": '{"pool":"p","version":"v1"}',
                "Workload/w": '{"model":"m","class":"patient","deadline_seconds":1}',
                "Tenant/a": f'{{"key_hashes":["{HASH}"],"limits":{{"tokens_per_second":10}}}}',
            },
            ["Tenant/a", "tokens_per_second", "max_output_tokens"],
        ),
    ],
)
def test_inconsistent_objects_are_rejected(objects, parts):
    problems = [str(problem) for problem in check_objects(objects)]
    assert len(problems) == 1
    assert all(part in problems[0] for part in parts), problems


def test_replica_accepts_only_consecutive_changes_and_higher_revisions():
    replica = ConfigurationReplica()
    assert not replica.activate()
    assert replica.apply_change(ConfigurationChange(0, 5, "a", {"Pool/p": "{}"}))
    assert replica.activate() and replica.in_force.revision == 5
    assert not replica.apply_change(ConfigurationChange(4, 9, "gap", {}))
    assert not replica.replace_state(ConfigurationState(3, "old", {}))
    assert not replica.replace_state(ConfigurationState(5, "same", {}))
    assert replica.in_force.revision == 5
    assert replica.apply_change(ConfigurationChange(5, 8, "b", {"Pool/p": None}))
    assert replica.in_force.revision == 5
    assert replica.activate() and replica.in_force.state.objects == {}
    assert [change.revision for change in replica.changes_after(5)] == [8]
    assert replica.changes_after(4) is None and replica.changes_after(8) == ()


def test_empty_configuration_is_in_force_only_if_allowed():
    replica = ConfigurationReplica()
    assert not replica.activate()
    assert replica.activate(allow_empty=True) and replica.in_force.revision == 0


def facts(**request):
    return PolicyFacts(
        SAMPLE_FACTS["request"] | request, SAMPLE_FACTS["tenant"], SAMPLE_FACTS["system"]
    )


def test_policy_decision_depends_on_the_facts():
    program = PolicyProgram(
        "p",
        "def decide(request, tenant, system):\n"
        '    if request["prompt_tokens"] > 50000:\n'
        '        return {"action": "refuse", "retry_after_seconds": 30.0}\n'
        '    return {"action": "run", "priority": 5}\n',
    )
    assert program.decide(facts(prompt_tokens=60000)).action.value == "refuse"
    assert program.decide(facts(prompt_tokens=10)).priority == 5


@pytest.mark.parametrize(
    ("program", "part"),
    [
        ("def f(x:", "Parse error"),
        ("x = 1", "decide"),
        ('def decide(r, t, s): return {"action": "fly"}', "action"),
        ("def decide(r, t, s): return {'speed': 1}", "speed"),
        ("def decide(r, t, s): return r['absent']", "absent"),
        ("def decide(r, t, s):\n  x = 0\n  for i in range(1000000000):\n    x += 1\n", "cancel"),
        ("def decide(r, t, s): return decide(r, t, s)", "stack"),
        ("load('os.star', 'os')\ndef decide(r, t, s): return {}", ""),
    ],
)
def test_invalid_or_runaway_policy_is_rejected(program, part):
    with pytest.raises(PolicyError) as caught:
        check_policy("p", PolicySpec(program=program))
    assert part in str(caught.value)


def test_failing_policy_case_is_named_in_the_error():
    spec = PolicySpec(
        program='def decide(r, t, s): return {"action": "run"}',
        cases=(PolicyCase(name="waits", expect={"action": "wait"}),),
    )
    with pytest.raises(PolicyError, match="case 'waits': action is 'run'"):
        check_policy("p", spec)
