import pathlib

import pytest
from cleo.io.outputs import buffered_output

from sycamorespoke import commands, domain, rules, settings

ROOT = pathlib.Path(__file__).parents[2]
OPERATIONS = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")


@pytest.mark.parametrize("path", sorted(ROOT.glob("examples/*.rules")), ids=str)
def test_rules_example_parses(path):
    text = path.read_text(encoding="utf-8")
    assert isinstance(rules.parse(text, path.name), domain.Configuration)


def test_broken_rules_example_output_documented(monkeypatch):
    monkeypatch.chdir(ROOT)
    output = buffered_output.BufferedOutput()
    words = ["rules", "check", "examples/broken/broken.rules"]
    code = commands.run(words, output=output, error=output)
    assert code == commands.ExitCode.REFUSED
    assert f"$ sycamorespoke {' '.join(words)}\n{output.fetch()}```" in OPERATIONS


def test_broken_settings_example_output_documented(monkeypatch):
    monkeypatch.chdir(ROOT)
    file = "examples/broken/entry.yaml"
    faults = settings.load(file, settings.EntrySettings)
    command = f"sycamorespoke-entry --settings {file} --check"
    assert f"$ {command}\n{faults}\n```" in OPERATIONS


@pytest.mark.parametrize("code", list(commands.ExitCode))
def test_exit_code_documented(code):
    assert f"| {code.value} | {code.name.lower().replace('_', ' ')} |" in OPERATIONS
