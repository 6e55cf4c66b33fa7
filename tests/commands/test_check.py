import json

import pytest
from cleo.io.outputs import buffered_output

from sycamorespoke import checks, commands

ASKED = "  # asked by Salma: x\n"
SOUND = (
    f"deployment abrr{ASKED}"
    f"group desk kind=service{ASKED}"
    f"route lookups path=/bookings group=desk idempotent=yes{ASKED}"
)
UNUSED = f"{SOUND}group spare kind=service{ASKED}"


@pytest.fixture
def check(tmp_path):
    def run(text, *options):
        path = tmp_path / "rules.txt"
        path.write_text(text, encoding="utf-8")
        output = buffered_output.BufferedOutput()
        words = ["check", str(path), *options]
        return commands.run(words, output=output, error=output), output.fetch()

    return run


def test_sound_rules_are_clean(check):
    assert check(SOUND) == (checks.ExitStatus.CLEAN, "findings: 0\n")


def test_a_finding_is_printed(check):
    code, output = check(UNUSED)
    assert code == checks.ExitStatus.FINDINGS
    assert output == "group spare: without effect: no route uses it\nfindings: 1\n"


@pytest.mark.parametrize("options", [["--json"], ["--format", "json"]])
def test_findings_are_printed_as_json(check, options):
    code, output = check(UNUSED, *options)
    assert code == checks.ExitStatus.FINDINGS
    assert [each["subject"] for each in json.loads(output)["findings"]] == [
        "group spare"
    ]


def test_faults_are_findings_with_their_place(check):
    code, output = check(SOUND + "zone a" + ASKED)
    assert code == checks.ExitStatus.FINDINGS
    assert "rules.txt:4:1: malformed: unknown keyword" in output


def test_differences_from_the_rules_in_force_are_no_findings(check, tmp_path):
    in_force = tmp_path / "in-force.txt"
    in_force.write_text(SOUND.replace("idempotent=yes", "idempotent=no"))
    code, output = check(SOUND, "--against", str(in_force))
    assert code == checks.ExitStatus.CLEAN
    assert output.splitlines() == [
        "findings: 0",
        "route lookups has another idempotent: no before, yes now",
        "differences: 1",
    ]


@pytest.mark.parametrize(
    "options", [["--against", "no-such-file"], ["--format", "yaml"]]
)
def test_what_cannot_be_read_has_a_status_of_its_own(check, options):
    assert check(SOUND, *options)[0] == checks.ExitStatus.UNREADABLE


def test_faults_in_the_rules_in_force_are_told(check, tmp_path):
    in_force = tmp_path / "in-force.txt"
    in_force.write_text("zone a")
    code, output = check(SOUND, "--against", str(in_force))
    assert code == checks.ExitStatus.UNREADABLE
    assert "the rules in force have faults" in output
