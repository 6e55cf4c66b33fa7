"""Who knows the platform: its folder, and nobody else."""

import ast
import pathlib
import re

import sycamorespoke

ROOT = pathlib.Path(sycamorespoke.__file__).parent
ADAPTER = ROOT / "platform"
ADAPTER_MODULE = "sycamorespoke.platform"
# Names of the wire that would mean a leak; ordinary words are left out.
WIRE_NAMES = re.compile(
    r"X-Sycamorespoke|StoreRevision|KvStoreAddr|ColdRemainingMs|MaxAttempts"
    r"|TargetLatencyMs|PathPrefix|ApiKeys|/sycamorespoke/(objects|report|order|kv-)"
)


def list_modules_outside():
    return [path for path in ROOT.rglob("*.py") if ADAPTER not in path.parents]


def imported_modules(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def test_nothing_outside_the_adapter_imports_it():
    importing = [
        path.name
        for path in list_modules_outside()
        if any(name.startswith(ADAPTER_MODULE) for name in imported_modules(path))
    ]
    assert importing == []


def test_nothing_outside_the_adapter_knows_its_names():
    knowing = [
        path.name
        for path in list_modules_outside()
        if WIRE_NAMES.search(path.read_text())
    ]
    assert knowing == []


def test_the_adapter_is_small():
    lines = sum(len(path.read_text().splitlines()) for path in ADAPTER.glob("*.py"))
    assert lines < 1500
