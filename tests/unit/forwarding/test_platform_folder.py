"""The platform's names are used in its package only, which imports no decision logic."""

import pathlib
import re

SOURCE = pathlib.Path(__file__).resolve().parents[3] / "src" / "wheelslip"
PACKAGE = SOURCE / "platform"
PLATFORM_NAMES = re.compile(
    r"Wheelslip-[A-Z]|tls_key|kv-(txn|watch|range|key|lease|keep|events|list)|expected_rev\b|"
    r"op/(config|version)|WHEELSLIP_NODE_FILE|kv_store_addr|gap_aim|fetch_mode|servers/|"
    r"path_prefix=|backend_engine|target_latency_ms|session_affinity=True|wait_ms"
)
DECISION_MODULES = (
    "wheelslip.routing",
    "wheelslip.weights",
    "wheelslip.forwarding.forwarder",
    "wheelslip.registry.registry",
    "wheelslip.forwarding.rollout",
    "wheelslip.forwarding.holder",
)
MAX_LINES = 700


def test_platform_names_are_used_only_in_the_platform_package():
    leaks = [
        f"{path.relative_to(SOURCE)}: {match.group(0)}"
        for path in SOURCE.rglob("*.py")
        if PACKAGE not in path.parents
        for match in [PLATFORM_NAMES.search(path.read_text())]
        if match
    ]
    assert leaks == []


def test_platform_package_imports_no_decision_modules():
    imports = re.compile(r"^\s*(?:from|import) (wheelslip[\w.]*)", re.M)
    forbidden = [
        f"{path.name}: {name}"
        for path in PACKAGE.glob("*.py")
        for name in imports.findall(path.read_text())
        if name in DECISION_MODULES or name.startswith(("wheelslip.routing.", "wheelslip.weights."))
    ]
    assert forbidden == []


def test_platform_package_stays_below_the_line_limit():
    lines = sum(
        1 for path in PACKAGE.glob("*.py") for line in path.read_text().splitlines() if line.strip()
    )
    assert lines <= MAX_LINES
