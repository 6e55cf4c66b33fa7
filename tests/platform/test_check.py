"""The check of a configuration's file, as operators run it."""

import io
import json
import subprocess
import sys

import pytest

from sycamorespoke import checks, platform
from sycamorespoke.platform import _objects

ROUTE = {
    "Name": "r-1",
    "Host": "a.example",
    "PathPrefix": "/x/",
    "Kind": "safe",
    "TimeoutMs": 2500,
    "TargetLatencyMs": 600,
    "Service": "s",
    "MaxAttempts": 2,
}
SERVICE = {"Name": "s", "MaxConns": 37, "ColdStartS": 3.0, "ColdPerS": 20.0}
CONFIGURATION = {
    "Version": 4,
    "Routes": [ROUTE],
    "Services": [SERVICE],
    "Tenants": [{"Name": "t", "ApiKeys": ["secret"]}],
    "Limits": {"MaxHeaderBytes": 999, "MaxBodyBytes": 9999},
}
HIDDEN = {**CONFIGURATION, "Routes": [ROUTE, {**ROUTE, "Name": "r-2"}]}


@pytest.fixture
def check(tmp_path):
    def run(value, *options, data=None, in_force=None):
        path = tmp_path / "new.json"
        path.write_bytes(json.dumps(value).encode() if data is None else data)
        if in_force is not None:
            path_in_force = tmp_path / "in-force.json"
            path_in_force.write_text(json.dumps(in_force))
            options = (*options, "--against", str(path_in_force))
        output, error = io.StringIO(), io.StringIO()
        status = checks.run_command(
            ["check", str(path), *options],
            _objects.parse_configuration_file,
            platform.make_deployment,
            output,
            error,
        )
        return status, output.getvalue(), error.getvalue()

    return run


def test_a_sound_configuration_is_clean(check):
    assert check(CONFIGURATION) == (checks.ExitStatus.CLEAN, "findings: 0\n", "")


def test_findings_are_printed(check):
    status, output, _ = check(HIDDEN)
    assert status == checks.ExitStatus.FINDINGS
    assert output == (
        "route r-2: never matches: route r-1, which comes first, has the same host and"
        " prefix\nfindings: 1\n"
    )


def test_findings_are_printed_as_json(check):
    status, output, _ = check(HIDDEN, "--format", "json")
    (finding,) = json.loads(output)["findings"]
    assert status == checks.ExitStatus.FINDINGS
    assert (finding["kind"], finding["subject"]) == ("never matches", "route r-2")


def test_all_malformed_entries_are_printed_at_once(check):
    malformed = {
        **CONFIGURATION,
        "Version": "4",
        "Routes": [{**ROUTE, "Kind": "odd"}, ROUTE, {**ROUTE, "TimeoutMs": "1"}],
        "Tenants": [7],
        "Limits": [1],
    }
    status, output, _ = check(malformed)
    assert status == checks.ExitStatus.FINDINGS
    assert output.splitlines() == [
        "configuration: malformed: Version has the wrong type",
        "Routes[0]: malformed: the kind of a route is unknown",
        "Routes[2]: malformed: TimeoutMs is not a number of 0 or more",
        "Tenants[0]: malformed: account has the wrong type",
        "configuration: malformed: Limits has the wrong type",
        "findings: 5",
    ]


def test_a_configuration_is_refused_by_the_gateway_as_by_the_check(check):
    malformed = {**CONFIGURATION, "Routes": [{**ROUTE, "Kind": "odd"}]}
    _, output, _ = check(malformed)
    stored = _objects.StoredObject("main", 7, malformed)
    with pytest.raises(_objects.MalformedObjectError) as refusal:
        _objects.parse_configuration(stored, 0.0)
    assert str(refusal.value) == "Routes[0]: the kind of a route is unknown"
    assert "Routes[0]: malformed: the kind of a route is unknown" in output


def test_a_misspelt_field_is_found(check):
    route = {key: value for key, value in ROUTE.items() if key != "MaxAttempts"}
    status, output, _ = check(
        {
            **CONFIGURATION,
            "Routes": [{**route, "MaxAttempt": 2, "Colour": "red"}],
            "Limits": {"maxheaderbytes": 999, "HeaderTimeoutMs": 5},
        }
    )
    assert status == checks.ExitStatus.FINDINGS
    assert output.splitlines() == [
        "Routes[0]: misspelt: MaxAttempt is not read; perhaps MaxAttempts is meant",
        "Limits: misspelt: maxheaderbytes is not read; perhaps MaxHeaderBytes is meant",
        "findings: 2",
    ]


def test_fields_of_the_platform_that_the_gateway_does_not_read_are_no_findings(check):
    service = {**SERVICE, "HealthPath": "/healthz", "Protocol": "http", "Tls": False}
    limits = {"HeaderTimeoutMs": 5000}
    sound = {**CONFIGURATION, "Services": [service], "Limits": limits}
    assert check(sound)[0] == checks.ExitStatus.CLEAN


@pytest.mark.parametrize(
    "data", [b"", b"{", b"[" * 5000, b"[]", b"7", b'{"Version": 1e400}', b"\xff"]
)
def test_a_file_that_is_no_configuration_is_unreadable(check, data):
    status, output, error = check(None, data=data)
    assert (status, output) == (checks.ExitStatus.UNREADABLE, "")
    assert "is no configuration" in error


def test_a_missing_file_is_unreadable(check):
    status, _, error = check(CONFIGURATION, "--against", "no-such-file")
    assert status == checks.ExitStatus.UNREADABLE
    assert "no-such-file cannot be read" in error


def test_the_object_of_the_store_is_checked_as_its_value_is(check):
    stored = {"Metadata": {"Name": "main", "Revision": 3}, "Spec": HIDDEN}
    assert check(stored) == check(HIDDEN)


def test_differences_from_a_file_are_no_findings(check):
    changed = {**CONFIGURATION, "Version": 5, "Routes": [{**ROUTE, "TimeoutMs": 3000}]}
    status, output, _ = check(changed, in_force=CONFIGURATION)
    assert status == checks.ExitStatus.CLEAN
    assert output.splitlines() == [
        "findings: 0",
        "route r-1 has another timeout_s: 2.5 before, 3 now",
        "differences: 1",
    ]


def test_the_version_in_force_is_read_from_the_store(check, fake_store):
    fake_store.put("config", "main", {**CONFIGURATION, "Version": 9})
    status, output, _ = check(CONFIGURATION, "--store", fake_store.address)
    assert status == checks.ExitStatus.FINDINGS
    assert output.splitlines()[0].startswith("version 4: not newer: version 9")


def test_a_store_without_a_configuration_is_unreadable(check, fake_store):
    status, _, error = check(CONFIGURATION, "--store", fake_store.address)
    assert status == checks.ExitStatus.UNREADABLE
    assert "holds 0 configurations" in error


@pytest.mark.parametrize("address", ["store", "127.0.0.1:0", "127.0.0.1:1"])
def test_a_store_that_cannot_be_reached_is_unreadable(check, address):
    status, _, error = check(CONFIGURATION, "--store", address)
    assert status == checks.ExitStatus.UNREADABLE
    assert address in error


def test_no_key_is_printed(check):
    accounts = [{"Name": name, "ApiKeys": ["secret"]} for name in ("t", "u")]
    status, output, error = check(
        {**CONFIGURATION, "Tenants": accounts}, in_force={**CONFIGURATION, "Version": 3}
    )
    assert status == checks.ExitStatus.FINDINGS
    assert "secret" not in output + error


@pytest.mark.processes
@pytest.mark.parametrize(
    ("value", "status"),
    [
        (CONFIGURATION, checks.ExitStatus.CLEAN),
        (HIDDEN, checks.ExitStatus.FINDINGS),
        (7, checks.ExitStatus.UNREADABLE),
    ],
)
def test_the_exit_status_of_the_process_says_what_was_found(tmp_path, value, status):
    path = tmp_path / "new.json"
    path.write_text(json.dumps(value))
    command = [sys.executable, "-m", "sycamorespoke.platform", "check", str(path)]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    assert result.returncode == status
    assert ("findings:" in result.stdout) == (status != checks.ExitStatus.UNREADABLE)
