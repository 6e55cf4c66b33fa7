"""Tests that only the adapter depends on the platform."""

import ast
import pathlib
import re

import sycamorespoke

ROOT = pathlib.Path(sycamorespoke.__file__).parent
ADAPTER = ROOT / "platform"
ADAPTER_MODULE = "sycamorespoke.platform"
# Wire names that must not occur outside the adapter. Names that are also ordinary words
# are left out.
WIRE_NAMES = re.compile(
    r"X-Sycamorespoke|StoreRevision|KvStoreAddr|ColdRemainingMs|MaxAttempts"
    r"|TargetLatencyMs|PathPrefix|ApiKeys|/sycamorespoke/(objects|report|order|kv-)"
)


def list_modules_outside_adapter():
    return [path for path in ROOT.rglob("*.py") if ADAPTER not in path.parents]


def iterate_imports(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def test_no_module_outside_the_adapter_imports_it():
    importing = [
        path.name
        for path in list_modules_outside_adapter()
        if any(name.startswith(ADAPTER_MODULE) for name in iterate_imports(path))
    ]
    assert importing == []


def test_no_module_outside_the_adapter_contains_wire_names():
    leaking = [
        path.name
        for path in list_modules_outside_adapter()
        if WIRE_NAMES.search(path.read_text())
    ]
    assert leaking == []


def test_the_adapter_has_fewer_than_1500_lines():
    lines = sum(len(path.read_text().splitlines()) for path in ADAPTER.glob("*.py"))
    assert lines < 1500
